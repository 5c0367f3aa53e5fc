//! Availability zones that operators have evacuated, as one host knows them.
//!
//! The state is a function of the operators' topic up to an offset, so of two states the one of the larger offset is the
//! newer one, whichever host it comes from. It is small and always passed on as a whole. A host of an earlier version passes
//! on offsets of the topic without it, which therefore say nothing about evacuations.

use crate::copies::{Position, REWRITE_TIME};
use skylarkdock_units::ids::Zone;
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::{BTreeMap, BTreeSet};

/// Time for which a host that knows of newer records than its evacuations include waits for another host to send those,
/// before it reads the store itself.
pub const MAX_LAG: Millis = Millis(600);
/// Time for which a host that knows a configuration but no evacuations does not serve by it. All of its sources are hosts of
/// an earlier version then, which know of none, and the store does not answer.
pub const MAX_STARTUP_WAIT: Millis = Millis(2_000);

/// A state that a host passes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PassedState {
    /// Offset up to which the state includes all records.
    pub next: u64,
    /// Zones that are evacuated according to the records.
    pub zones: Vec<Zone>,
    /// Zones that were evacuated according to an earlier copy of the store, with the remaining time for which that counts.
    pub held: Vec<(Zone, Millis)>,
}

/// When the host first knew the copy of the store that a state is from, and the present time.
#[derive(Debug, Clone, Copy)]
pub struct Times {
    /// When the host first knew the copy.
    pub copy_known_at: HostTime,
    /// The present time.
    pub now: HostTime,
}

/// Evacuated availability zones, as one host knows them.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    /// Offset up to which all records are included; `None` before anything is known.
    next: Option<u64>,
    zones: BTreeSet<Zone>,
    /// Zones that only an earlier copy of the store says are evacuated, and until when that counts.
    held: BTreeMap<Zone, HostTime>,
}

impl Evacuations {
    /// Applies records that this host has read, each a zone and whether it is evacuated from then on. They are all those from
    /// the offset `from` to `next`; without `from`, the newest record of each key.
    ///
    /// Records that don't continue what is known are ignored; [`Self::lacks`] tells that then.
    pub fn on_read(
        &mut self,
        from: Option<u64>,
        changes: impl IntoIterator<Item = (Zone, bool)>,
        next: u64,
        times: Times,
    ) {
        let is_older = self.next.is_some_and(|known| next < known);
        let is_continued = |from: u64| {
            let is_same_copy = Position::of(from).copy == Position::of(next).copy;
            is_same_copy && self.next.is_some_and(|known| from <= known)
        };
        if is_older || from.is_some_and(|from| !is_continued(from)) {
            return;
        }
        let mut zones = if from.is_some() { self.zones.clone() } else { BTreeSet::new() };
        for (zone, is_evacuated) in changes {
            if is_evacuated {
                zones.insert(zone);
            } else {
                zones.remove(&zone);
                // The newest copy says that the evacuation has ended.
                self.held.remove(&zone);
            }
        }
        self.replace(zones, next, times);
    }

    /// Applies the state that another host passed on, if it is newer.
    pub fn on_passed(&mut self, state: PassedState, times: Times) {
        let PassedState { next, zones, held } = state;
        if !self.is_older_than(next) {
            return;
        }
        let is_first_of_copy = self.next.is_none_or(|known| is_earlier_copy(known, next));
        self.replace(zones.into_iter().collect(), next, times);
        if is_first_of_copy {
            for (zone, remaining) in held {
                if !self.zones.contains(&zone) {
                    let until = times.now + remaining.min(REWRITE_TIME);
                    self.held.entry(zone).or_insert(until);
                }
            }
        }
    }

    /// Ends what only an earlier copy of the store says and counts no longer.
    pub fn expire(&mut self, now: HostTime) {
        self.held.retain(|_, until| now < *until);
    }

    /// Iterates over the evacuated zones, in order of their names.
    pub fn zones(&self) -> impl Iterator<Item = &Zone> {
        let all: BTreeSet<&Zone> = self.zones.iter().chain(self.held.keys()).collect();
        all.into_iter()
    }

    /// Returns whether the state of the operators' topic is known up to some offset.
    pub const fn is_known(&self) -> bool {
        self.next.is_some()
    }

    /// Returns whether a state up to an offset is newer than this one.
    pub fn is_older_than(&self, next: u64) -> bool {
        self.next.is_none_or(|known| known < next)
    }

    /// Returns whether records before an offset may be missing.
    pub fn lacks(&self, next: u64) -> bool {
        self.next.unwrap_or_default() < next
    }

    /// Returns the offset up to which the state includes all records; zero before anything is known.
    pub fn next(&self) -> u64 {
        self.next.unwrap_or_default()
    }

    /// Returns the state for other hosts; `None` before anything is known.
    pub fn passed_on(&self, now: HostTime) -> Option<PassedState> {
        let held = self.held.iter().map(|(zone, until)| (zone.clone(), until.since(now)));
        Some(PassedState {
            next: self.next?,
            zones: self.zones.iter().cloned().collect(),
            held: held.collect(),
        })
    }

    /// Replaces the state by a later one. What a later copy of the store lacks still counts until operators have had the time
    /// to write it again.
    fn replace(&mut self, zones: BTreeSet<Zone>, next: u64, times: Times) {
        let before = std::mem::replace(&mut self.zones, zones);
        if self.next.is_some_and(|known| is_earlier_copy(known, next)) {
            let until = times.copy_known_at + REWRITE_TIME;
            for zone in before {
                self.held.entry(zone).or_insert(until);
            }
        }
        self.next = Some(next);
        self.held.retain(|zone, _| !self.zones.contains(zone));
        self.expire(times.now);
    }
}

fn is_earlier_copy(offset: u64, other: u64) -> bool {
    Position::of(offset).copy < Position::of(other).copy
}
