//! Truncated BLAKE3 digests that identify requests and bodies.

use serde::{Deserialize, Serialize};
use std::fmt;

const DIGEST_BYTES: usize = 16;

/// Digest of the contents of a request, equal on every host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub [u8; DIGEST_BYTES]);

impl Fingerprint {
    /// Digests the parts of a request, for example its method, path, key and body.
    ///
    /// Each part is hashed with its length, so that moving bytes from one part to the next changes the fingerprint.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            let len = u64::try_from(part.len()).unwrap_or(u64::MAX);
            hasher.update(&len.to_le_bytes());
            hasher.update(part);
        }
        Self(truncate(&hasher.finalize()))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

pub(crate) fn digest(bytes: &[u8]) -> [u8; DIGEST_BYTES] {
    truncate(&blake3::hash(bytes))
}

fn truncate(hash: &blake3::Hash) -> [u8; DIGEST_BYTES] {
    let mut digest = [0; DIGEST_BYTES];
    digest.copy_from_slice(&hash.as_bytes()[..DIGEST_BYTES]);
    digest
}
