//! Types of the call that lists ranges.

use serde::{Deserialize, Serialize};
use skylarkdock_units::ids::{Epoch, Member, Offset, RangeId, ServiceName, UpstreamId};
use skylarkdock_units::keys::KeyHash;

/// Parameters of `ranges`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangesParams {
    /// Only ranges of this service; `None` for those of all services.
    #[serde(default)]
    pub service: Option<ServiceName>,
}

/// A hot key with an upstream of its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HotKey {
    /// Hash of the key.
    pub key: KeyHash,
    /// The upstream that owns it.
    pub upstream: UpstreamId,
}

/// A range of a service's keys, as the queried host sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeRow {
    /// Id of the range.
    pub range: RangeId,
    /// Offset of the log record that assigned its upstream.
    pub assigned: Offset,
    /// Offset of the log record that set the members of its lease.
    pub lease: Offset,
    /// Members of its lease, in order of preference.
    pub members: Vec<Member>,
    /// The upstream that owns it.
    pub upstream: Option<UpstreamId>,
    /// Hot keys of the range, which have upstreams of their own.
    #[serde(default)]
    pub hot: Vec<HotKey>,
    /// Fencing token of the lease, if the queried host holds it.
    pub held: Option<Epoch>,
}
