//! Answers recorded for repeated requests.

use crate::fingerprint;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// An upstream's answer, recorded to be replayed when the caller repeats the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Value of the `content-type` header, if there was one.
    pub content_type: Option<String>,
    /// The body, or its length and digest.
    pub body: Body,
}

/// Body of a recorded answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The whole body.
    Whole(Bytes),
    /// Length and digest of a body that was too large to keep or was dropped to limit memory use.
    Digest {
        /// Length in bytes.
        len: u64,
        /// First 16 bytes of its BLAKE3 hash.
        digest: [u8; 16],
    },
}

impl Body {
    /// Returns the number of body bytes held in memory.
    pub fn kept_bytes(&self) -> u64 {
        match self {
            Self::Whole(bytes) => byte_len(bytes),
            Self::Digest { .. } => 0,
        }
    }

    /// Returns a copy of the body that keeps only its length and digest.
    pub fn to_digest_only(&self) -> Self {
        match self {
            Self::Whole(bytes) => {
                Self::Digest { len: byte_len(bytes), digest: fingerprint::digest(bytes) }
            }
            Self::Digest { .. } => self.clone(),
        }
    }
}

impl Answer {
    /// Returns a copy of the answer that keeps only the length and digest of its body.
    pub fn to_digest_only(&self) -> Self {
        Self {
            status: self.status,
            content_type: self.content_type.clone(),
            body: self.body.to_digest_only(),
        }
    }
}

fn byte_len(bytes: &Bytes) -> u64 {
    u64::try_from(bytes.len()).unwrap_or(u64::MAX)
}
