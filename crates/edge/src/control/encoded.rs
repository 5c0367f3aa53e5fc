//! Large records in updates between hosts: encoded relative to the version that the receiver has.
//!
//! A configuration of thousands of routes and an ownership table of hundreds of spans change in few places, so that the
//! difference is a small part of the record.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};
use skylarkdock_deltas::{self as deltas, ContentHash, DeltaError};
use std::collections::VecDeque;
use std::rc::Rc;
use thiserror::Error;

/// Size from which a record is encoded, in bytes.
const MIN_SIZE: usize = 2_048;
/// Versions of a record that are kept to encode later ones relative to them. A host that follows has one of the last
/// few.
const MAX_VERSIONS: usize = 3;
/// Encoded records that are kept, as followers that have the same version get the same bytes.
const MAX_ENCODED: usize = 3;

/// Record in wire format.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EncodedRecord {
    /// Key of the record.
    pub key: String,
    /// Hash of the version that `data` is relative to; zero for none.
    base: u64,
    /// Hash of the record.
    hash: u64,
    /// Encoded value in base64.
    data: Rc<str>,
}

/// Reason for which a record could not be decoded.
#[derive(Debug, Error)]
pub enum EncodedRecordError {
    /// This host does not have the version that the record is relative to.
    #[error("relative to an unknown version")]
    UnknownBase,
    /// The text is no base64.
    #[error("not base64")]
    Text(#[source] base64::DecodeError),
    /// The bytes can't be decoded.
    #[error("can't be decoded")]
    Bytes(#[source] DeltaError),
}

/// Latest versions of a large record, and their encodings.
#[derive(Debug, Default)]
pub struct Versions {
    versions: VecDeque<(ContentHash, Rc<[u8]>)>,
    encoded: VecDeque<((u64, ContentHash), Rc<str>)>,
}

/// Returns whether a record is large enough to gain by being encoded.
pub const fn is_large(value: &[u8]) -> bool {
    value.len() >= MIN_SIZE
}

impl Versions {
    /// Adds a version, which becomes the newest one.
    pub fn add(&mut self, value: &[u8]) {
        let hash = ContentHash::of(value);
        if self.versions.back().is_some_and(|(known, _)| *known == hash) {
            return;
        }
        self.versions.push_back((hash, value.into()));
        while self.versions.len() > MAX_VERSIONS {
            self.versions.pop_front();
        }
        self.encoded.clear();
    }

    /// Returns the hash of the newest version; zero if there is none.
    pub fn newest(&self) -> u64 {
        self.versions.back().map_or(0, |(hash, _)| hash.0)
    }

    fn version(&self, hash: u64) -> Option<&Rc<[u8]>> {
        let found = self.versions.iter().find(|(known, _)| known.0 == hash);
        found.map(|(_, value)| value)
    }

    /// Encodes a record for a host that has the version with the hash `base`, or none if that is zero. Returns `None` if
    /// the encoder fails.
    pub fn encode(&mut self, key: &str, value: &[u8], base: u64) -> Option<EncodedRecord> {
        let hash = ContentHash::of(value);
        let known = self.version(base).cloned();
        let base = if known.is_some() { base } else { 0 };
        let found = self.encoded.iter().find(|(which, _)| *which == (base, hash));
        let data = match found {
            Some((_, data)) => Rc::clone(data),
            None => {
                let bytes = deltas::encode(value, known.as_deref().unwrap_or_default());
                let bytes = bytes.inspect_err(|e| log::error!("news: can't encode a record: {e}"));
                let data: Rc<str> = STANDARD.encode(bytes.ok()?).into();
                self.encoded.push_back(((base, hash), Rc::clone(&data)));
                if self.encoded.len() > MAX_ENCODED {
                    self.encoded.pop_front();
                }
                data
            }
        };
        Some(EncodedRecord { key: key.to_owned(), base, hash: hash.0, data })
    }

    /// Decodes the value of a record.
    ///
    /// # Errors
    ///
    /// Fails if the record is relative to a version that is not known, or is damaged.
    pub fn decode(&self, record: &EncodedRecord) -> Result<Vec<u8>, EncodedRecordError> {
        let base = match record.base {
            0 => None,
            base => Some(self.version(base).ok_or(EncodedRecordError::UnknownBase)?),
        };
        let bytes = STANDARD.decode(record.data.as_bytes()).map_err(EncodedRecordError::Text)?;
        deltas::decode(&bytes, base.map_or(&[], |base| base), ContentHash(record.hash))
            .map_err(EncodedRecordError::Bytes)
    }
}
