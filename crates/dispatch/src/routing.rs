//! Input and result of a routing decision.

use crate::regions::AllowedRegions;
use crate::routes::Idempotency;
use crate::work::RouteKey;
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};

/// A caller's request as seen by [`crate::service::Service`], which selects an upstream for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutingRequest {
    /// Host-local number that identifies the request while it waits.
    pub ticket: u64,
    /// Scheduling rank; 0 is served first.
    pub rank: u8,
    /// Route of the request, by which its work is estimated.
    pub route: RouteKey,
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// Time of arrival at the host.
    pub arrived: HostTime,
    /// Target time for the answer; the caller still accepts a later one, up to `deadline`.
    pub objective: HostTime,
    /// Time after which the caller no longer waits for an answer.
    pub deadline: HostTime,
    /// Sharding key; only set for sharded services.
    pub key: Option<u16>,
    /// Upstreams that earlier attempts were sent to.
    pub tried: Vec<UpstreamId>,
    /// Regions to which the request may be sent.
    pub regions: AllowedRegions,
    /// Per-request value from 0 to 999 that spreads retry times and the choice between similar upstreams.
    pub jitter_per_mille: u32,
}

/// Why a request was refused without being sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The queue is full, or the request would wait too long in it.
    Overload,
    /// No upstream of the service is usable.
    NoUpstream,
    /// No usable upstream of the service is in an allowed region of the request.
    NoAllowedUpstream,
    /// The owner of the request's key is not in an allowed region of the request.
    OwnerNotAllowed,
    /// The owner of the request's key is unknown or can't be used.
    KeyUnowned,
    /// The upstream limits its rate, and other requests use all of it.
    Limited,
    /// The upstreams that could run the request asked this host for a rest.
    Resting,
    /// The service is under pressure, and the objective of the request can't be met.
    Late,
    /// The service is under pressure, and more urgent requests use all of its capacity.
    Rank,
    /// The deadline came too close while the request waited.
    Expired,
}

impl RefusalReason {
    /// Returns the value of the `reason` field in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::NoUpstream => "no_upstream",
            Self::NoAllowedUpstream => "no_allowed_upstream",
            Self::OwnerNotAllowed => "owner_not_allowed",
            Self::KeyUnowned => "key_unowned",
            Self::Limited => "limited",
            Self::Resting => "resting",
            Self::Rank => "rank",
            Self::Late => "late",
            Self::Expired => "expired",
        }
    }
}

/// Result of a routing decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoutingDecision {
    /// Send the request to this upstream.
    Send(UpstreamId),
    /// Keep the request in the host's queue.
    Wait,
    /// Refuse the request without running it.
    Refuse {
        /// Why it is refused.
        reason: RefusalReason,
        /// Delay after which the caller should retry.
        retry_after: Millis,
    },
}
