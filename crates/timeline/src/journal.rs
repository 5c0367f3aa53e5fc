//! Event journal of one process, which stamps, numbers and keeps its events.

use crate::clock::{Clock, ClockError, Stamp};
use crate::event::{Event, EventRef};
use crate::kind::EventKind;
use crate::ring::{Limits, Ring};
use skylarkdock_units::ids::HostId;
use skylarkdock_units::times::WallTime;

/// The clock, the event numbers and the ring buffer of one process.
#[derive(Debug)]
pub struct Journal {
    host: HostId,
    clock: Clock,
    ring: Ring,
    last_seq: u64,
}

impl Journal {
    /// Creates an empty journal.
    pub const fn new(host: HostId, clock: Clock, limits: Limits) -> Self {
        Self { host, clock, ring: Ring::new(limits), last_seq: 0 }
    }

    /// Records an event and returns a reference to it, for use as the cause of others.
    pub fn record(&mut self, now: WallTime, kind: EventKind, cause: Option<EventRef>) -> EventRef {
        self.last_seq += 1;
        let stamp = self.clock.tick(now);
        let event = Event { stamp, host: self.host.clone(), seq: self.last_seq, kind, cause };
        let reference = event.reference();
        self.ring.push(event);
        reference
    }

    /// Issues a stamp to send with a message.
    pub fn stamp(&mut self, now: WallTime) -> Stamp {
        self.clock.tick(now)
    }

    /// Advances the clock past the stamp of a received message.
    ///
    /// # Errors
    ///
    /// Returns a [`ClockError`] if the stamp is too far ahead of the wall clock.
    pub fn observe(&mut self, stamp: Stamp, now: WallTime) -> Result<(), ClockError> {
        self.clock.observe(stamp, now).map(|_| ())
    }

    /// Returns the ring buffer with the events that are kept.
    pub const fn ring(&self) -> &Ring {
        &self.ring
    }
}
