//! Selection of events by service, range, host, topic and time.

use crate::event::Event;
use crate::kind::{EventKind, Topic};
use serde::{Deserialize, Serialize};
use skylarkdock_units::ids::{HostId, RangeId, ServiceName};
use skylarkdock_units::times::WallTime;

/// Conditions that an event has to meet; a condition that is not set holds for every event.
///
/// There is no condition for a key: events of a key are found by the range that it falls in.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Filter {
    /// The service that the event is about.
    pub service: Option<ServiceName>,
    /// The range that the event is about.
    pub range: Option<RangeId>,
    /// The host that the event happened on.
    pub host: Option<HostId>,
    /// The topic that the event belongs to.
    pub topic: Option<Topic>,
    /// The earliest wall time of the event's stamp, inclusive.
    pub from: Option<WallTime>,
    /// The latest wall time of the event's stamp, inclusive.
    pub to: Option<WallTime>,
}

impl Filter {
    /// Returns whether the event meets every condition.
    pub fn matches(&self, event: &Event) -> bool {
        let kind = &event.kind;
        self.service.as_ref().is_none_or(|service| kind.service() == Some(service))
            && self.range.as_ref().is_none_or(|range| kind.range() == Some(range))
            && self.host.as_ref().is_none_or(|host| event.host == *host)
            && self.topic.is_none_or(|topic| kind.topic() == topic)
            && self.from.is_none_or(|from| event.stamp.wall >= from)
            && self.to.is_none_or(|to| event.stamp.wall <= to)
    }
}

impl EventKind {
    /// Returns the range that the event is about, if it is about a single range.
    pub const fn range(&self) -> Option<&RangeId> {
        match self {
            Self::LeaseAcquired { range, .. }
            | Self::LeaseLost { range, .. }
            | Self::LeaseReleased { range, .. }
            | Self::TakeoverStarted { range, .. }
            | Self::UpstreamAssigned { range, .. }
            | Self::HotKeySplit { range, .. }
            | Self::HotKeyMerged { range, .. } => Some(range),
            _ => None,
        }
    }

    /// Returns the service that the event is about, directly or through its range.
    pub fn service(&self) -> Option<&ServiceName> {
        match self {
            Self::RecordInForce { service, .. }
            | Self::RecordRefused { service, .. }
            | Self::Retired { service, .. }
            | Self::UpstreamDown { service, .. }
            | Self::UpstreamUp { service, .. }
            | Self::UpstreamEjected { service, .. }
            | Self::UpstreamDraining { service, .. }
            | Self::Shed { service, .. } => Some(service),
            Self::RecordUnreadable { service, .. } => service.as_ref(),
            _ => self.range().map(|range| &range.service),
        }
    }

    pub(crate) fn text_len(&self) -> usize {
        let service_len = self.service().map_or(0, |service| service.as_str().len());
        match self {
            Self::RecordInForce { by, .. } | Self::Retired { by, .. } => service_len + by.len(),
            _ => service_len,
        }
    }
}
