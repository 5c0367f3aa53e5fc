//! Faults that are injected into links at run time.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Direction in which a link relays bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// To the link's destination.
    To,
    /// From the link's destination.
    From,
}

impl Direction {
    /// Returns the opposite direction.
    pub const fn reverse(self) -> Self {
        match self {
            Self::To => Self::From,
            Self::From => Self::To,
        }
    }
}

/// Directions in which a link discards all bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cut {
    /// Both directions.
    Both,
    /// To the link's destination.
    To,
    /// From the link's destination.
    From,
}

/// Active faults of one link; a missing field turns its fault off.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkFaults {
    /// Directions in which bytes are discarded while connections stay open; new connections hang.
    pub cut: Option<Cut>,
    /// Whether open and new connections are reset.
    pub reset: bool,
    /// One-way delay of each byte, in milliseconds.
    pub latency_ms: u64,
    /// Rate limit per direction, shared by all connections of the link.
    pub bytes_per_second: Option<u64>,
}

impl LinkFaults {
    /// Returns whether bytes in the given direction are discarded.
    pub fn cuts(&self, direction: Direction) -> bool {
        match self.cut {
            None => false,
            Some(Cut::Both) => true,
            Some(Cut::To) => direction == Direction::To,
            Some(Cut::From) => direction == Direction::From,
        }
    }
}

/// Faults by listening address, in requests and responses. Links missing from a request keep their faults.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultsByLink {
    /// Faults of each link by its listening address.
    pub links: BTreeMap<SocketAddr, LinkFaults>,
}
