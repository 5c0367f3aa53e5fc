//! Types of the calls that return the status and the events of one host.

use serde::{Deserialize, Serialize};
use skylarkdock_timeline::filter::Filter;
use skylarkdock_timeline::ring::Page;
use skylarkdock_units::ids::{HostId, Incarnation, Offset, Region, Zone};
use std::fmt;

/// State of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServingState {
    /// It reads the log and does not accept requests yet.
    Starting,
    /// It accepts requests.
    Serving,
    /// It finishes the requests that it has accepted, and then stops.
    Draining,
}

impl fmt::Display for ServingState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Draining => "draining",
        })
    }
}

/// Status of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Id of the host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: Zone,
    /// Its region.
    pub region: Region,
    /// Incarnation of its daemon, which changes with each start.
    pub incarnation: Incarnation,
    /// State of its daemon.
    pub state: ServingState,
    /// Offset of the last log record that this host has applied.
    pub applied: Offset,
    /// Whether the host can reach the platform's log.
    pub log_reachable: bool,
    /// Number of services with a record in force.
    pub services: u32,
    /// Number of ranges whose lease the host holds.
    pub ranges_held: u32,
}

/// Parameters of `events`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventsParams {
    /// Only events with a larger sequence number; 0 for all events.
    pub since_seq: u64,
    /// Maximum number of events returned.
    pub limit: u32,
    /// Conditions that returned events match.
    #[serde(default)]
    pub filter: Filter,
}

/// Result of `events`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventsResult {
    /// The host.
    pub host: HostId,
    /// Incarnation of its daemon. Sequence numbers of events start again with each incarnation.
    pub incarnation: Incarnation,
    /// The events, with the sequence number from which to continue.
    #[serde(flatten)]
    pub page: Page,
}
