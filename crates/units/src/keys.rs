//! Key hashes, and the assignment of hashes to key ranges.

use crate::UnitError;
use crate::ids::RangeIndex;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use xxhash_rust::xxh3;

/// Stable hash of a key (XXH3, 64 bits); every host and every release computes the same value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub u64);

impl KeyHash {
    /// Hashes a key.
    pub fn of(key: &str) -> Self {
        Self(xxh3::xxh3_64(key.as_bytes()))
    }

    /// Returns the range of the key if the hash space is divided into `range_count` equal ranges.
    pub fn range(self, range_count: u32) -> RangeIndex {
        let index = (u128::from(self.0) * u128::from(range_count)) >> 64;
        RangeIndex(u32::try_from(index).unwrap_or(u32::MAX))
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for KeyHash {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let form = "a key hash, for example 00000000deadbeef";
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| UnitError::Form { text: text.to_owned(), form })
    }
}
