//! Notices of configuration versions between hosts, in wire format.
//!
//! A notice is a datagram of its own. It begins with a tag, so that hosts of earlier versions take it for a damaged load
//! report and ignore it.

use serde::{Deserialize, Serialize};
use skylarkdock_freshness::versions::{Claim, MAX_TOLD, Origin};
use skylarkdock_units::times::Millis;
use thiserror::Error;

/// First bytes of a notice. No load report begins with them, as they are no valid hash of a host, and messages about
/// crashes, trials and permits begin otherwise.
const TAG: [u8; 5] = [0xff, 0xff, 0xff, 0xff, 0x7c];

/// Claim in wire format, with its age in milliseconds, as the clocks of hosts differ.
#[derive(Debug, Serialize, Deserialize)]
struct WireClaim {
    origin: u32,
    version: u64,
    age: u64,
}

/// Notice in wire format. Later versions may append fields, which earlier ones skip.
#[derive(Debug, Serialize, Deserialize)]
struct WireNotice {
    claims: Vec<WireClaim>,
}

/// Reason for which a notice can't be encoded or decoded.
#[derive(Debug, Error)]
#[error("can't encode or decode a notice of versions")]
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
pub fn encode(claims: &[Claim]) -> Result<Vec<u8>, NoticeError> {
    let claims = claims.iter().map(|claim| WireClaim {
        origin: claim.origin.0,
        version: claim.version,
        age: claim.age.0,
    });
    let notice = WireNotice { claims: claims.collect() };
    postcard::to_extend(&notice, TAG.to_vec()).map_err(NoticeError)
}

/// Decodes a notice. More claims than a notice has are left out.
///
/// # Errors
///
/// Fails if the datagram is no notice.
pub fn decode(bytes: &[u8]) -> Result<Vec<Claim>, NoticeError> {
    let bytes = bytes.strip_prefix(&TAG).unwrap_or_default();
    let notice: WireNotice = postcard::from_bytes(bytes).map_err(NoticeError)?;
    let claims = notice.claims.into_iter().take(MAX_TOLD).map(|claim| Claim {
        origin: Origin(claim.origin),
        version: claim.version,
        age: Millis(claim.age),
    });
    Ok(claims.collect())
}
