//! Records the events of one process: its clock, its numbers and its ring together.

use crate::clock::{Clock, ClockError, Stamp};
use crate::event::{Event, EventRef};
use crate::kind::EventKind;
use crate::ring::{Limits, Ring};
use skylarkdock_units::ids::HostId;
use skylarkdock_units::times::WallTime;

/// The events of one process.
#[derive(Debug)]
pub struct Journal {
    host: HostId,
    clock: Clock,
    ring: Ring,
    last_seq: u64,
}

impl Journal {
    /// Builds an empty journal.
    pub const fn new(host: HostId, clock: Clock, limits: Limits) -> Self {
        Self { host, clock, ring: Ring::new(limits), last_seq: 0 }
    }

    /// Records an event and returns its name, for use as the cause of others.
    pub fn record(&mut self, now: WallTime, kind: EventKind, cause: Option<EventRef>) -> EventRef {
        self.last_seq += 1;
        let stamp = self.clock.tick(now);
        let event = Event { stamp, host: self.host.clone(), seq: self.last_seq, kind, cause };
        let reference = event.reference();
        self.ring.push(event);
        reference
    }

    /// Returns a stamp to send with a message.
    pub fn stamp(&mut self, now: WallTime) -> Stamp {
        self.clock.tick(now)
    }

    /// Takes in the stamp of a message.
    ///
    /// # Errors
    ///
    /// Refuses a stamp too far ahead of the wall clock.
    pub fn observe(&mut self, stamp: Stamp, now: WallTime) -> Result<(), ClockError> {
        self.clock.observe(stamp, now).map(|_| ())
    }

    /// Returns the events kept.
    pub const fn ring(&self) -> &Ring {
        &self.ring
    }
}
