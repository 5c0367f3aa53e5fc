//! Load reports in wire format.
//!
//! There are two forms. The first one has each entry as a hash and a count. The second one begins with a tag, has a packed
//! load ([`packed_load`]) and is sent only to hosts that said that they read it: a host says so after its reports of the
//! first form, where hosts of earlier versions read nothing, and by sending the second one.

use serde::{Deserialize, Serialize};
use skylarkdock_dispatch::packed_load::{self, UnpackError};
use skylarkdock_dispatch::peer_load::UpstreamHash;
use thiserror::Error;
use xxhash_rust::xxh3;

/// First bytes of a report with a packed load. No report of the first form begins with them, as they are no valid hash of
/// a host, and messages about crashes, trials and permits begin otherwise.
const PACKED_TAG: [u8; 5] = [0xff, 0xff, 0xff, 0xff, 0x7d];
/// Byte after a report of the first form whose sender reads packed loads.
const READS_PACKED: u8 = 1;

/// Hash of a name, which is shorter than the name in a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct NameHash(pub u32);

impl NameHash {
    /// Returns the hash of a name, the same on all hosts.
    pub fn of(name: &str) -> Self {
        let [a, b, c, d, ..] = xxh3::xxh3_64(name.as_bytes()).to_le_bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
    }
}

/// Hosts whose requests a report counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// The sender; sent directly.
    Own,
    /// The sender and the hosts that it is the relay of; sent to its own relay.
    Member,
    /// All hosts of the sender's availability zone.
    Zone,
    /// All hosts that the sender knows of, except those that the receiver reports.
    Rest,
}

impl Scope {
    /// Returns the value of the `scope` label in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Member => "member",
            Self::Zone => "zone",
            Self::Rest => "rest",
        }
    }
}

/// Crash in wire format: the incarnation, the fingerprints of the requests in flight and the load from all hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Hash of the incarnation that ended.
    pub upstream: u32,
    /// Fingerprints of the requests in flight.
    pub in_flight: Vec<u64>,
    /// Number of requests from all hosts.
    pub load: u32,
}

/// Load report of one host, or a part of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Host that sent the report.
    pub host: NameHash,
    /// Hosts whose requests are counted.
    pub scope: Scope,
    /// Index of the part, which selects the upstreams by their hash.
    pub part: u8,
    /// Number of requests at each upstream, sorted by hash if it is to be packed.
    pub load: Vec<(UpstreamHash, u32)>,
    /// Crashes of upstreams with requests in flight.
    pub crashes: Vec<CrashReport>,
}

/// Report with a packed load. Later versions may append fields, which earlier ones skip.
#[derive(Debug, Serialize, Deserialize)]
struct PackedReport {
    host: NameHash,
    scope: Scope,
    part: u8,
    load: Vec<u64>,
    crashes: Vec<CrashReport>,
}

/// Reason for which a datagram is no load report.
#[derive(Debug, Error)]
pub enum ReportError {
    /// It ends early, or a field is out of range.
    #[error("can't decode a report")]
    Format(#[source] postcard::Error),
    /// The packed load is damaged.
    #[error("can't unpack a load")]
    Load(#[source] UnpackError),
}

/// Encodes a report, with a packed load if the receiver reads it.
///
/// # Errors
///
/// Fails if a field can't be encoded.
pub fn encode(report: Report, is_packed: bool) -> Result<Vec<u8>, ReportError> {
    if !is_packed {
        let mut bytes = postcard::to_stdvec(&report).map_err(ReportError::Format)?;
        bytes.push(READS_PACKED);
        return Ok(bytes);
    }
    let Report { host, scope, part, load, crashes } = report;
    let packed = PackedReport { host, scope, part, load: packed_load::pack(&load), crashes };
    postcard::to_extend(&packed, PACKED_TAG.to_vec()).map_err(ReportError::Format)
}

/// Decodes a report. Returns also whether its sender reads packed loads.
///
/// # Errors
///
/// Fails if the datagram is no load report.
pub fn decode(bytes: &[u8]) -> Result<(Report, bool), ReportError> {
    let Some(packed) = bytes.strip_prefix(&PACKED_TAG) else {
        let (report, rest) =
            postcard::take_from_bytes::<Report>(bytes).map_err(ReportError::Format)?;
        return Ok((report, rest.first() == Some(&READS_PACKED)));
    };
    let packed: PackedReport = postcard::from_bytes(packed).map_err(ReportError::Format)?;
    let PackedReport { host, scope, part, load, crashes } = packed;
    let load = packed_load::unpack(&load).map_err(ReportError::Load)?;
    Ok((Report { host, scope, part, load, crashes }, true))
}
