//! Kinds of events, with the data that each carries.

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

/// Hash that identifies copies of the same request.
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

crate::reasons::text_enum!(
    /// Subject area of an event, for selection and display.
    Topic, "a topic of events, for example lease" {
        /// The daemon itself: start, drain, checkpoints.
        Process = "process",
        /// Routing records.
        Record = "record",
        /// Leases of ranges.
        Lease = "lease",
        /// Upstreams, and the ranges and hot keys assigned to them.
        Upstream = "upstream",
        /// Other hosts.
        Host = "host",
        /// The platform's log.
        Log = "log",
        /// Callers' requests.
        Request = "request",
    }
);

/// Kind of an event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// The daemon started.
    Started {
        /// This host and the incarnation of its daemon.
        member: Member,
    },
    /// The daemon adopted another host's state up to a log offset.
    PeerStateAdopted {
        /// Log offset up to which the adopted state applies.
        offset: Offset,
        /// The host that sent the state.
        from: HostId,
    },
    /// A routing record came into force.
    RecordInForce {
        /// The service.
        service: ServiceName,
        /// The record's offset.
        revision: Offset,
        /// Who published the record.
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
    /// This release can't read a record in the log.
    RecordUnreadable {
        /// The record's offset.
        offset: Offset,
        /// The service, if that part of the record can be read.
        service: Option<ServiceName>,
    },
    /// A service's record was retired.
    Retired {
        /// The service.
        service: ServiceName,
        /// Offset of the record that retired the service.
        revision: Offset,
        /// Who retired the service.
        by: String,
    },
    /// This host acquired the lease of a range.
    LeaseAcquired {
        /// The range.
        range: RangeId,
        /// The lease's fencing token.
        epoch: Epoch,
        /// Time for which the range had no holder, as far as this host knows.
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
    /// This host released a lease of its own accord.
    LeaseReleased {
        /// The range.
        range: RangeId,
        /// The fencing token of the released lease.
        epoch: Epoch,
        /// The member intended as the next holder, if there is one.
        to: Option<Member>,
    },
    /// This host started to take over a range.
    TakeoverStarted {
        /// The range.
        range: RangeId,
        /// The fencing token that this host requests.
        epoch: Epoch,
        /// The previous holder, if known.
        from: Option<Member>,
    },
    /// An upstream was assigned to a range.
    UpstreamAssigned {
        /// The range.
        range: RangeId,
        /// The upstream.
        upstream: UpstreamId,
        /// The previous upstream, if there was one.
        from: Option<UpstreamId>,
        /// Why.
        why: AssignReason,
    },
    /// A hot key was assigned to an upstream separately from its range.
    HotKeySplit {
        /// The range that contains the key.
        range: RangeId,
        /// The key.
        key: KeyHash,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// A key that is no longer hot was returned to the upstream of its range.
    HotKeyMerged {
        /// The range that contains the key.
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
    /// An upstream failed too many requests and is excluded for a while.
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
    /// Another host does not answer and became suspect.
    HostSuspected {
        /// The host and the incarnation of its daemon.
        member: Member,
    },
    /// Another host became live.
    HostLive {
        /// The host and the incarnation of its daemon.
        member: Member,
    },
    /// Another host announced that it leaves.
    HostLeaving {
        /// The host and the incarnation of its daemon.
        member: Member,
    },
    /// Another host did not answer for so long that it is considered gone.
    HostGone {
        /// The host and the incarnation of its daemon.
        member: Member,
    },
    /// Another host does not answer this host although a third host reaches it (a partial partition).
    CutSeen {
        /// The host that does not answer.
        from: HostId,
    },
    /// The platform's log stopped answering.
    LogOutage,
    /// The platform's log answers again.
    LogBack {
        /// Duration of the outage.
        after_ms: Millis,
    },
    /// A checkpoint was appended to the log.
    CheckpointWritten {
        /// Log offset up to which the checkpoint covers the log.
        base: Offset,
        /// Size of the checkpoint.
        bytes: ByteSize,
    },
    /// A request that crashes upstreams is no longer forwarded.
    Quarantined {
        /// The request's fingerprint.
        fingerprint: Fingerprint,
        /// Upstreams that died while running it.
        deaths: u32,
    },
    /// Requests of a class were shed since the previous event of this kind.
    Shed {
        /// The service.
        service: ServiceName,
        /// Class of the shed requests.
        class: Class,
        /// Number of requests shed.
        count: u32,
    },
    /// It is unknown whether a request was run.
    RequestUnknown {
        /// The request.
        id: RequestId,
    },
    /// This host started to drain, because it leaves.
    DrainStarted,
    /// This host finished draining: it has no request in flight and holds no lease.
    DrainDone,
    /// A message or connection of a peer was refused.
    PeerRefused {
        /// Why.
        reason: PeerReason,
    },
}

impl EventKind {
    /// Returns the topic that the kind of event belongs to.
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
