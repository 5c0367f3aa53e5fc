//! One event of one process.

use crate::clock::Stamp;
use crate::kind::EventKind;
use serde::{Deserialize, Serialize};
use skylarkdock_units::UnitError;
use skylarkdock_units::ids::HostId;
use std::fmt;
use std::str::FromStr;

/// Names an event of any process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EventRef {
    /// The host it happened on.
    pub host: HostId,
    /// Its number there.
    pub seq: u64,
}

impl fmt::Display for EventRef {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.host, self.seq)
    }
}

impl FromStr for EventRef {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let form = "an event, for example host-1:12";
        let wrong = || UnitError::Form { text: text.to_owned(), form };
        let (host, seq) = text.rsplit_once(':').ok_or_else(wrong)?;
        Ok(Self { host: host.parse()?, seq: seq.parse().map_err(|_| wrong())? })
    }
}

/// Something that happened in a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When, by the process's hybrid logical clock.
    pub stamp: Stamp,
    /// The host it happened on.
    pub host: HostId,
    /// Its number on that host, counted from 1 in each run of the daemon.
    pub seq: u64,
    /// What happened.
    pub kind: EventKind,
    /// The event that led to it, on this or another host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<EventRef>,
}

impl Event {
    /// Returns the event's name, for use as the cause of others.
    pub fn reference(&self) -> EventRef {
        EventRef { host: self.host.clone(), seq: self.seq }
    }

    /// Returns the memory that the event takes, in bytes; names are counted though often shared.
    pub fn weight(&self) -> usize {
        let cause = self.cause.as_ref().map_or(0, |cause| cause.host.as_str().len());
        size_of::<Self>() + self.host.as_str().len() + self.kind.text_len() + cause
    }

    pub(crate) fn order(&self) -> (Stamp, &HostId, u64) {
        (self.stamp, &self.host, self.seq)
    }
}
