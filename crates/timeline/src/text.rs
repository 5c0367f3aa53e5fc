//! Display of events as text, one line for each.

use crate::date::Rfc3339Utc;
use crate::event::Event;
use crate::kind::EventKind;
use skylarkdock_units::ids::{Offset, ServiceName};
use std::fmt::{self, Display, Formatter};

impl Display for Event {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { stamp, host, seq, kind, cause } = self;
        write!(f, "{}+{} {host}:{seq} {kind}", Rfc3339Utc(stamp.wall), stamp.count)?;
        match cause {
            Some(cause) => write!(f, " (caused by {cause})"),
            None => Ok(()),
        }
    }
}

impl Display for EventKind {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Started { .. }
            | Self::PeerStateAdopted { .. }
            | Self::CheckpointWritten { .. }
            | Self::DrainStarted
            | Self::DrainDone => self.fmt_process(f),
            Self::RecordInForce { .. }
            | Self::RecordRefused { .. }
            | Self::RecordUnreadable { .. }
            | Self::Retired { .. } => self.fmt_record(f),
            Self::LeaseAcquired { .. }
            | Self::LeaseLost { .. }
            | Self::LeaseReleased { .. }
            | Self::TakeoverStarted { .. } => self.fmt_lease(f),
            Self::UpstreamAssigned { range, upstream, from, why } => {
                write!(f, "upstream-assigned {range} to {upstream}")?;
                write_optional(f, " from ", from.as_ref())?;
                write!(f, ": {why}")
            }
            Self::HotKeySplit { range, key, upstream } => {
                write!(f, "hot-key-split {range} key {key} to {upstream}")
            }
            Self::HotKeyMerged { range, key } => write!(f, "hot-key-merged {range} key {key}"),
            Self::UpstreamDown { service, upstream } => {
                write!(f, "upstream-down {service} {upstream}")
            }
            Self::UpstreamUp { service, upstream } => write!(f, "upstream-up {service} {upstream}"),
            Self::UpstreamEjected { service, upstream } => {
                write!(f, "upstream-ejected {service} {upstream}")
            }
            Self::UpstreamDraining { service, upstream } => {
                write!(f, "upstream-draining {service} {upstream}")
            }
            Self::HostSuspected { member } => write!(f, "host-suspected {member}"),
            Self::HostLive { member } => write!(f, "host-live {member}"),
            Self::HostLeaving { member } => write!(f, "host-leaving {member}"),
            Self::HostGone { member } => write!(f, "host-gone {member}"),
            Self::CutSeen { from } => write!(f, "cut-seen from {from}"),
            Self::PeerRefused { reason } => write!(f, "peer-refused: {reason}"),
            Self::LogOutage => f.write_str("log-outage"),
            Self::LogBack { after_ms } => write!(f, "log-back after {after_ms}"),
            Self::Quarantined { fingerprint, deaths } => {
                write!(f, "quarantined {fingerprint} after {deaths} deaths")
            }
            Self::Shed { service, class, count } => write!(f, "shed {service} {class} {count}"),
            Self::RequestUnknown { id } => write!(f, "request-unknown {id}"),
        }
    }
}

impl EventKind {
    fn fmt_process(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Started { member } => write!(f, "started {member}"),
            Self::PeerStateAdopted { offset, from } => {
                write!(f, "peer-state-adopted at {offset} from {from}")
            }
            Self::CheckpointWritten { base, bytes } => {
                write!(f, "checkpoint-written base {base} {bytes}")
            }
            Self::DrainStarted => f.write_str("drain-started"),
            _ => f.write_str("drain-done"),
        }
    }

    fn fmt_record(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::RecordInForce { service, revision, by } => {
                write_record(f, "record-in-force", service, *revision, by)
            }
            Self::Retired { service, revision, by } => {
                write_record(f, "retired", service, *revision, by)
            }
            Self::RecordRefused { service, revision, reason } => {
                write!(f, "record-refused {service} revision {revision}: {reason}")
            }
            Self::RecordUnreadable { offset, service } => {
                write!(f, "record-unreadable at {offset}")?;
                write_optional(f, " of ", service.as_ref())
            }
            _ => Ok(()),
        }
    }

    fn fmt_lease(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::LeaseAcquired { range, epoch, after_ms, why } => {
                write!(f, "lease-acquired {range} epoch {epoch} after {after_ms}: {why}")
            }
            Self::LeaseLost { range, epoch, why } => {
                write!(f, "lease-lost {range} epoch {epoch}: {why}")
            }
            Self::LeaseReleased { range, epoch, to } => {
                write!(f, "lease-released {range} epoch {epoch}")?;
                write_optional(f, " to ", to.as_ref())
            }
            Self::TakeoverStarted { range, epoch, from } => {
                write!(f, "takeover-started {range} epoch {epoch}")?;
                write_optional(f, " from ", from.as_ref())
            }
            _ => Ok(()),
        }
    }
}

fn write_record(
    f: &mut Formatter<'_>,
    event_name: &str,
    service: &ServiceName,
    revision: Offset,
    by: &str,
) -> fmt::Result {
    // Names of publishers are free text; escaping keeps a line break in them from forging another event's line.
    write!(f, "{event_name} {service} revision {revision} by {}", by.escape_debug())
}

fn write_optional<T: Display>(
    f: &mut Formatter<'_>,
    prefix: &str,
    value: Option<&T>,
) -> fmt::Result {
    match value {
        Some(value) => write!(f, "{prefix}{value}"),
        None => Ok(()),
    }
}
