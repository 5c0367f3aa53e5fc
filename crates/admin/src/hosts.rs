//! Types of the call that lists the entry hosts.

use serde::{Deserialize, Serialize};
use skylarkdock_units::ids::{Member, Region, Zone};
use skylarkdock_units::times::Millis;
use std::fmt;
use std::net::SocketAddr;

/// State of an entry host, as the queried host sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The queried host receives signs of life of it.
    Live,
    /// No sign of life was received recently.
    Suspect,
    /// It announced that it is leaving.
    Leaving,
    /// It left, or no sign of life was received for a long time.
    Gone,
}

impl fmt::Display for HostState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Live => "live",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        })
    }
}

/// An entry host, as the queried host sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRow {
    /// Its host id and the incarnation of its daemon.
    pub member: Member,
    /// Its availability zone.
    pub zone: Zone,
    /// Its region.
    pub region: Region,
    /// State of the host.
    pub state: HostState,
    /// Address for other hosts.
    pub peer: SocketAddr,
    /// Address for callers and operators.
    pub http: SocketAddr,
    /// Time since the last sign of life, received directly or through other hosts.
    pub heard_ms_ago: Millis,
}
