//! Notices of the pace of an upstream between hosts, in wire format.
//!
//! A notice is a datagram of its own. It begins with a tag, so that hosts of earlier versions take it for a damaged load
//! report and ignore it.

use crate::load_reports::NameHash;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// First bytes of a notice. No load report begins with them, as they are no valid hash of a host, and other messages begin
/// otherwise.
const TAG: [u8; 5] = [0xff, 0xff, 0xff, 0xff, 0x7b];

/// Pace that an upstream has just reported. Later versions may append fields, which earlier ones skip.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceNotice {
    /// Hash of the upstream's id.
    pub upstream: NameHash,
    /// Start of its incarnation.
    pub born: u64,
    /// Pace, in percent of the usual one.
    pub pace_percent: u32,
}

/// Reason for which a notice can't be encoded or decoded.
#[derive(Debug, Error)]
#[error("can't encode or decode a notice of a pace")]
pub struct NoticeError(#[source] postcard::Error);

/// Returns whether a datagram is a notice.
pub fn is_notice(bytes: &[u8]) -> bool {
    bytes.starts_with(&TAG)
}

/// Encodes a notice.
///
/// # Errors
///
/// Fails if a field can't be encoded.
pub fn encode(notice: &PaceNotice) -> Result<Vec<u8>, NoticeError> {
    postcard::to_extend(notice, TAG.to_vec()).map_err(NoticeError)
}

/// Decodes a notice.
///
/// # Errors
///
/// Fails if the datagram is no notice.
pub fn decode(bytes: &[u8]) -> Result<PaceNotice, NoticeError> {
    let bytes = bytes.strip_prefix(&TAG).unwrap_or_default();
    postcard::from_bytes(bytes).map_err(NoticeError)
}
