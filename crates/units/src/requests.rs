//! Ids of requests and of log records.

use crate::UnitError;
use crate::times::WallTime;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use uuid::Uuid;

/// Id of a caller's request: a version 7 UUID (RFC 9562), which contains its creation time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(Uuid);

impl RequestId {
    /// Builds an id from its creation time and ten random bytes.
    pub fn new(issued: WallTime, random: &[u8; 10]) -> Self {
        Self(uuid::Builder::from_unix_timestamp_millis(issued.0, random).into_uuid())
    }

    /// Returns the creation time, by the wall clock of the process that created the id.
    pub fn issued(self) -> WallTime {
        let bytes = self.0.as_bytes();
        let unix_millis =
            bytes[..6].iter().fold(0, |millis, byte| (millis << 8) | u64::from(*byte));
        WallTime(unix_millis)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for RequestId {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let form = "a UUID of version 7, for example 019ae7a4-5c00-7000-8000-000000000000";
        let form_error = || UnitError::Form { text: text.to_owned(), form };
        let id = Uuid::parse_str(text).map_err(|_| form_error())?;
        if id.get_version_num() == 7 { Ok(Self(id)) } else { Err(form_error()) }
    }
}

/// Id of a log record, chosen by its writer; identifies the record when the response to its append
/// was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecordId(pub Uuid);

impl fmt::Display for RecordId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for RecordId {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let form = "a UUID, for example 6f2c1d9e-3c1f-4a52-9a55-1f0f6a1f2b3c";
        Uuid::parse_str(text).map(Self).map_err(|_| UnitError::Form { text: text.to_owned(), form })
    }
}
