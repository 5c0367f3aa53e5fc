//! Upstreams as registered, and what to make of entries that vanish.

use crate::view::{Entry, Listed};
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};

/// Time after the store's return within which entries that lapsed during its absence come back.
const RETURN_TIME: Millis = Millis(2_400);
/// Time without a read after which entries may have lapsed for want of the store.
const ABSENT_AFTER: Millis = Millis(1_500);

#[derive(Debug, Clone)]
struct Known {
    listed: Listed,
    /// When it vanished, if it has.
    dropped_at: Option<HostTime>,
}

/// The registered upstreams.
#[derive(Debug, Default)]
pub struct Registry {
    known: FastMap<UpstreamId, Known>,
    read_at: HostTime,
    /// Until when entries that vanish may come back.
    unsure_until: HostTime,
}

impl Registry {
    /// Notes that the store was read. After a pause, what vanished may only have lapsed.
    pub fn on_read(&mut self, now: HostTime) {
        if self.read_at.0 > 0 && now.since(self.read_at) > ABSENT_AFTER {
            self.unsure_until = now + RETURN_TIME;
        }
        self.read_at = now;
    }

    /// Takes over an entry. Returns whether more changed than the sign of life.
    pub fn put(&mut self, entry: Entry, now: HostTime) -> bool {
        let known = self.known.get(&entry.id);
        if known.is_some_and(|known| known.listed.entry.born > entry.born) {
            return false;
        }
        let cold_until = match known {
            Some(known) if known.listed.entry.cold == entry.cold => known.listed.cold_until,
            _ => now + entry.cold,
        };
        let is_change = known.is_none_or(|known| {
            let mut same = known.listed.entry.clone();
            same.seq = entry.seq;
            same.cold = entry.cold;
            same != entry || known.dropped_at.is_some()
        });
        let id = entry.id.clone();
        self.known.insert(id, Known { listed: Listed { entry, cold_until }, dropped_at: None });
        is_change
    }

    /// Notes that an entry vanished. Returns whether that changes what may be used.
    pub fn drop_entry(&mut self, id: &UpstreamId, now: HostTime) -> bool {
        if now < self.unsure_until {
            if let Some(known) = self.known.get_mut(id) {
                known.dropped_at.get_or_insert(now);
            }
            return false;
        }
        self.known.remove(id).is_some()
    }

    /// Replaces all entries by those of a whole read. Returns whether anything changed.
    pub fn replace(&mut self, entries: Vec<Entry>, now: HostTime) -> bool {
        let gone: Vec<UpstreamId> = self
            .known
            .keys()
            .filter(|id| !entries.iter().any(|entry| entry.id == **id))
            .cloned()
            .collect();
        let mut changed = false;
        for id in gone {
            changed |= self.drop_entry(&id, now);
        }
        for entry in entries {
            changed |= self.put(entry, now);
        }
        changed
    }

    /// Drops entries that have not come back in time. Returns whether there were any.
    pub fn sweep(&mut self, now: HostTime) -> bool {
        if now < self.unsure_until {
            return false;
        }
        let before = self.known.len();
        self.known.retain(|_, known| known.dropped_at.is_none());
        before != self.known.len()
    }

    /// Returns the upstreams that may be used.
    pub fn listed(&self) -> impl Iterator<Item = &Listed> {
        self.known.values().map(|known| &known.listed)
    }

    /// Returns an entry.
    pub fn entry(&self, id: &UpstreamId) -> Option<&Entry> {
        self.known.get(id).map(|known| &known.listed.entry)
    }

    /// Returns whether an upstream's entry vanished and may come back.
    pub fn is_missing(&self, id: &UpstreamId) -> bool {
        self.known.get(id).is_some_and(|known| known.dropped_at.is_some())
    }
}
