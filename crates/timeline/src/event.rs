//! Events, and references to events of any process.

use crate::clock::Stamp;
use crate::kind::EventKind;
use serde::{Deserialize, Serialize};
use skylarkdock_units::UnitError;
use skylarkdock_units::ids::HostId;
use std::fmt;
use std::str::FromStr;

/// Reference to an event of any process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EventRef {
    /// The host that the event happened on.
    pub host: HostId,
    /// The event's number on that host.
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
        let form_error = || UnitError::Form { text: text.to_owned(), form };
        let (host, seq) = text.rsplit_once(':').ok_or_else(form_error)?;
        Ok(Self { host: host.parse()?, seq: seq.parse().map_err(|_| form_error())? })
    }
}

/// Something that happened in a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// When the event happened, by the process's hybrid logical clock.
    pub stamp: Stamp,
    /// The host that the event happened on.
    pub host: HostId,
    /// The event's number on that host, counted from 1 in each incarnation of the daemon.
    pub seq: u64,
    /// The event's kind, with its data.
    pub kind: EventKind,
    /// The event that caused this one, on this or another host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<EventRef>,
}

impl Event {
    /// Returns a reference to the event, for use as the cause of others.
    pub fn reference(&self) -> EventRef {
        EventRef { host: self.host.clone(), seq: self.seq }
    }

    /// Returns the memory that the event takes, in bytes, counting names even if they are shared.
    pub fn memory_bytes(&self) -> usize {
        let cause_len = self.cause.as_ref().map_or(0, |cause| cause.host.as_str().len());
        size_of::<Self>() + self.host.as_str().len() + self.kind.text_len() + cause_len
    }

    pub(crate) fn sort_key(&self) -> (Stamp, &HostId, u64) {
        (self.stamp, &self.host, self.seq)
    }
}
