//! Upstreams as registered, and what to make of entries that vanish.

use crate::view::{Entry, ListedUpstream};
use serde::{Deserialize, Serialize};
use skylarkdock_units::collections::{FastMap, FastSet};
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};

/// Time after the store's return within which entries that lapsed during its absence come back.
const RETURN_TIME: Millis = Millis(2_400);
/// Time without a read after which entries may have lapsed for want of the store.
const ABSENT_AFTER: Millis = Millis(1_500);

#[derive(Debug, Clone)]
struct Known {
    listed: ListedUpstream,
    /// When it vanished, if it has.
    dropped_at: Option<HostTime>,
}

/// A record of the registry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// An upstream's entry.
    Put(Entry),
    /// An upstream's entry is gone.
    Drop(UpstreamId),
}

/// The registered upstreams.
#[derive(Debug, Default)]
pub struct Registry {
    known: FastMap<UpstreamId, Known>,
    read_at: HostTime,
    /// Whether the next records are the first after a pause: entries that they drop may only have lapsed.
    is_resuming: bool,
    /// Until when entries that lapsed in the last pause may come back.
    unsure_until: HostTime,
}

impl Registry {
    /// Notes that the store was read at `proof_at`, by this host or by the one that it learns from. After a pause, what
    /// vanished may only have lapsed.
    pub fn on_read(&mut self, proof_at: HostTime, now: HostTime) {
        let pause = proof_at.since(self.read_at);
        if self.read_at.0 > 0 && pause > ABSENT_AFTER {
            log::info!(pause:% = pause; "registry: vanished entries may come back, the store was not read for a while");
            self.unsure_until = now + RETURN_TIME;
            self.is_resuming = true;
        }
        self.read_at = self.read_at.max(proof_at);
    }

    /// Takes over records in their order. With `is_whole` they are all there are. Returns the changes that are more
    /// than signs of life.
    pub fn take(&mut self, changes: Vec<Change>, is_whole: bool, now: HostTime) -> Vec<Change> {
        let mut taken = Vec::new();
        if is_whole {
            let there: FastSet<&UpstreamId> = changes
                .iter()
                .filter_map(|change| match change {
                    Change::Put(entry) => Some(&entry.id),
                    Change::Drop(_) => None,
                })
                .collect();
            let gone: Vec<UpstreamId> =
                self.known.keys().filter(|id| !there.contains(id)).cloned().collect();
            for id in gone {
                if self.drop_entry(&id, now) {
                    taken.push(Change::Drop(id));
                }
            }
        }
        for change in changes {
            let is_taken = match &change {
                Change::Put(entry) => self.put(entry.clone(), now),
                Change::Drop(id) => self.drop_entry(id, now),
            };
            if is_taken {
                taken.push(change);
            }
        }
        self.is_resuming = false;
        taken.extend(self.sweep(now).into_iter().map(Change::Drop));
        taken
    }

    fn put(&mut self, entry: Entry, now: HostTime) -> bool {
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
        self.known
            .insert(id, Known { listed: ListedUpstream { entry, cold_until }, dropped_at: None });
        is_change
    }

    /// Notes that an entry vanished. Returns whether that changes what may be used.
    fn drop_entry(&mut self, id: &UpstreamId, now: HostTime) -> bool {
        if self.is_resuming {
            if let Some(known) = self.known.get_mut(id) {
                known.dropped_at.get_or_insert(now);
            }
            return false;
        }
        self.known.remove(id).is_some()
    }

    /// Drops entries that have not come back in time, and returns them.
    fn sweep(&mut self, now: HostTime) -> Vec<UpstreamId> {
        if now < self.unsure_until {
            return Vec::new();
        }
        let late = self.known.iter().filter(|(_, known)| known.dropped_at.is_some());
        let late: Vec<UpstreamId> = late.map(|(id, _)| id.clone()).collect();
        for id in &late {
            self.known.remove(id);
        }
        late
    }

    /// Returns the upstreams that may be used.
    pub fn listed(&self) -> impl Iterator<Item = &ListedUpstream> {
        self.known.values().map(|known| &known.listed)
    }

    /// Returns an entry.
    pub fn entry(&self, id: &UpstreamId) -> Option<&Entry> {
        self.known.get(id).map(|known| &known.listed.entry)
    }
}
