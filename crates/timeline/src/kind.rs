//! Kinds of events.

use crate::reasons::{AcquireReason, AssignReason, Class, LossReason, PeerReason, RecordReason};
use serde::{Deserialize, Serialize};
use skylarkdock_units::UnitError;
use skylarkdock_units::ids::{Epoch, HostId, Member, Offset, RangeId, ServiceName, UpstreamId};
use skylarkdock_units::keys::KeyHash;
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::requests::RequestId;
use skylarkdock_units::times::Millis;
use std::fmt;
use std::str::FromStr;

/// Hash by which copies of the same request are recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let form = "a fingerprint, for example 00000000deadbeef";
        let number = u64::from_str_radix(text, 16);
        number.map(Self).map_err(|_| UnitError::Form { text: text.to_owned(), form })
    }
}

crate::reasons::reason_type!(
    /// What an event is about.
    Topic, "a topic of events, for example lease" {
        /// The process itself: start, drain, checkpoints.
        Process = "process",
        /// Routing records.
        Record = "record",
        /// Leases of ranges.
        Lease = "lease",
        /// Upstreams and their ranges and hot keys.
        Upstream = "upstream",
        /// Other entry hosts.
        Host = "host",
        /// The platform's log.
        Log = "log",
        /// Callers' requests.
        Request = "request",
    }
);

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// The daemon started.
    Started {
        /// The run of the daemon.
        member: Member,
    },
    /// State up to a log offset was taken over from another host.
    PeerStateAdopted {
        /// The offset it reaches.
        offset: Offset,
        /// The host it came from.
        from: HostId,
    },
    /// A routing record came into force.
    RecordInForce {
        /// The service.
        service: ServiceName,
        /// The record's offset.
        revision: Offset,
        /// Who published it.
        by: String,
    },
    /// A routing record in the log was refused.
    RecordRefused {
        /// The service.
        service: ServiceName,
        /// The record's offset.
        revision: Offset,
        /// Why.
        reason: RecordReason,
    },
    /// A record in the log can't be read by this release.
    RecordUnreadable {
        /// The record's offset.
        offset: Offset,
        /// The service, if that much can be read.
        service: Option<ServiceName>,
    },
    /// A service's record was retired.
    Retired {
        /// The service.
        service: ServiceName,
        /// Offset of the record that retired it.
        revision: Offset,
        /// Who retired it.
        by: String,
    },
    /// This host got the lease of a range.
    LeaseAcquired {
        /// The range.
        range: RangeId,
        /// The lease's fencing token.
        epoch: Epoch,
        /// Time that the range had no holder, as far as this host saw.
        after_ms: Millis,
        /// Why.
        why: AcquireReason,
    },
    /// This host lost the lease of a range.
    LeaseLost {
        /// The range.
        range: RangeId,
        /// The fencing token of the lost lease.
        epoch: Epoch,
        /// Why.
        why: LossReason,
    },
    /// This host gave up a lease on its own account.
    LeaseReleased {
        /// The range.
        range: RangeId,
        /// The fencing token of the released lease.
        epoch: Epoch,
        /// The member meant to hold it next.
        to: Option<Member>,
    },
    /// This host began to take over a range.
    TakeoverStarted {
        /// The range.
        range: RangeId,
        /// The fencing token it asks for.
        epoch: Epoch,
        /// The holder before, if known.
        from: Option<Member>,
    },
    /// A range got its owning upstream.
    UpstreamAssigned {
        /// The range.
        range: RangeId,
        /// The upstream.
        upstream: UpstreamId,
        /// The upstream before.
        from: Option<UpstreamId>,
        /// Why.
        why: AssignReason,
    },
    /// A hot key got an upstream of its own.
    HotKeySplit {
        /// The range that the key falls in.
        range: RangeId,
        /// The key.
        key: KeyHash,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// A key that was hot went back to the upstream of its range.
    HotKeyMerged {
        /// The range that the key falls in.
        range: RangeId,
        /// The key.
        key: KeyHash,
    },
    /// An upstream stopped answering.
    UpstreamDown {
        /// The service.
        service: ServiceName,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An upstream answers again.
    UpstreamUp {
        /// The service.
        service: ServiceName,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An upstream failed too many requests and is left out for a while.
    UpstreamEjected {
        /// The service.
        service: ServiceName,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An upstream is leaving.
    UpstreamDraining {
        /// The service.
        service: ServiceName,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Another host is silent.
    HostSuspected {
        /// The run of its daemon.
        member: Member,
    },
    /// Another host is live.
    HostLive {
        /// The run of its daemon.
        member: Member,
    },
    /// Another host is leaving.
    HostLeaving {
        /// The run of its daemon.
        member: Member,
    },
    /// Another host has been silent for so long that it no longer counts.
    HostGone {
        /// The run of its daemon.
        member: Member,
    },
    /// Another host can't be reached while others still hear it.
    CutSeen {
        /// That host.
        from: HostId,
    },
    /// The platform's log stopped answering.
    LogOutage,
    /// The platform's log answers again.
    LogBack {
        /// Length of the outage.
        after_ms: Millis,
    },
    /// A checkpoint was appended to the log.
    CheckpointWritten {
        /// Offset up to which it covers the log.
        base: Offset,
        /// Its size.
        bytes: ByteSize,
    },
    /// A request that ends upstreams is no longer forwarded.
    Quarantined {
        /// The request's fingerprint.
        fingerprint: Fingerprint,
        /// Upstreams that died while running it.
        deaths: u32,
    },
    /// Requests were shed since the event of this kind before.
    Shed {
        /// The service.
        service: ServiceName,
        /// Their class.
        class: Class,
        /// How many.
        count: u32,
    },
    /// Nobody can tell whether a request was run.
    RequestUnknown {
        /// The request.
        id: RequestId,
    },
    /// This host began to leave.
    DrainStarted,
    /// This host has nothing in flight and holds no lease.
    DrainDone,
    /// A message or connection of a peer was refused.
    PeerRefused {
        /// Why.
        reason: PeerReason,
    },
}

impl EventKind {
    /// Returns what the event is about.
    pub const fn topic(&self) -> Topic {
        match self {
            Self::Started { .. }
            | Self::PeerStateAdopted { .. }
            | Self::CheckpointWritten { .. }
            | Self::DrainStarted
            | Self::DrainDone => Topic::Process,
            Self::RecordInForce { .. }
            | Self::RecordRefused { .. }
            | Self::RecordUnreadable { .. }
            | Self::Retired { .. } => Topic::Record,
            Self::LeaseAcquired { .. }
            | Self::LeaseLost { .. }
            | Self::LeaseReleased { .. }
            | Self::TakeoverStarted { .. } => Topic::Lease,
            Self::UpstreamAssigned { .. }
            | Self::HotKeySplit { .. }
            | Self::HotKeyMerged { .. }
            | Self::UpstreamDown { .. }
            | Self::UpstreamUp { .. }
            | Self::UpstreamEjected { .. }
            | Self::UpstreamDraining { .. } => Topic::Upstream,
            Self::HostSuspected { .. }
            | Self::HostLive { .. }
            | Self::HostLeaving { .. }
            | Self::HostGone { .. }
            | Self::CutSeen { .. }
            | Self::PeerRefused { .. } => Topic::Host,
            Self::LogOutage | Self::LogBack { .. } => Topic::Log,
            Self::Quarantined { .. } | Self::Shed { .. } | Self::RequestUnknown { .. } => {
                Topic::Request
            }
        }
    }
}
