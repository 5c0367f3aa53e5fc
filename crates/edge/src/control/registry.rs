//! Registered upstreams. Entries that expired while the store could not be read are kept until their upstreams had time
//! to write them again.

use crate::view::{Entry, ListedUpstream};
use serde::{Deserialize, Serialize};
use skylarkdock_units::collections::{FastMap, FastSet};
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};

/// Time after reads resume within which upstreams that still run write their expired entries again.
const REWRITE_TIME: Millis = Millis(2_400);
/// Longest time between two reads that is not an outage. After a longer one, entries may have expired only because the
/// store was unavailable.
const MAX_READ_GAP: Millis = Millis(1_500);

#[derive(Debug, Clone)]
struct RegisteredUpstream {
    listed: ListedUpstream,
    /// When the entry was deleted by a read that followed an outage; `None` unless it is kept in spite of that.
    deleted_at: Option<HostTime>,
}

/// Change of one entry of the registry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegistryChange {
    /// An upstream wrote its entry.
    Put(Entry),
    /// An upstream's entry was deleted or has expired.
    Drop(UpstreamId),
}

/// Registered upstreams by id, including those that are shutting down.
#[derive(Debug, Default)]
pub struct Registry {
    upstreams: FastMap<UpstreamId, RegisteredUpstream>,
    read_at: HostTime,
    /// Whether the next changes are the first after an outage, so that a deleted entry may belong to a running
    /// upstream.
    is_after_outage: bool,
    /// Until when entries that expired in the last outage are kept.
    expired_kept_until: HostTime,
}

impl Registry {
    /// Records that the store was read at `proof_at`, by this host or by the one that it gets updates from. Call it
    /// before the changes of that read are applied, so that entries which expired in an outage are kept.
    pub fn on_read(&mut self, proof_at: HostTime, now: HostTime) {
        let read_gap = proof_at.since(self.read_at);
        if self.read_at.0 > 0 && read_gap > MAX_READ_GAP {
            log::info!(pause:% = read_gap; "registry: store was not read for longer than usual, expired entries are kept for now");
            self.expired_kept_until = now + REWRITE_TIME;
            self.is_after_outage = true;
        }
        self.read_at = self.read_at.max(proof_at);
    }

    /// Applies changes in the order in which they were recorded. With `is_whole` they contain all entries, and others
    /// are dropped. Returns the changes that are more than heartbeats.
    pub fn apply(
        &mut self,
        changes: Vec<RegistryChange>,
        is_whole: bool,
        now: HostTime,
    ) -> Vec<RegistryChange> {
        let mut significant = Vec::new();
        if is_whole {
            let present: FastSet<&UpstreamId> = changes
                .iter()
                .filter_map(|change| match change {
                    RegistryChange::Put(entry) => Some(&entry.id),
                    RegistryChange::Drop(_) => None,
                })
                .collect();
            let missing: Vec<UpstreamId> =
                self.upstreams.keys().filter(|id| !present.contains(id)).cloned().collect();
            for id in missing {
                if self.drop_entry(&id, now) {
                    significant.push(RegistryChange::Drop(id));
                }
            }
        }
        for change in changes {
            let is_significant = match &change {
                RegistryChange::Put(entry) => self.put(entry.clone(), now),
                RegistryChange::Drop(id) => self.drop_entry(id, now),
            };
            if is_significant {
                significant.push(change);
            }
        }
        self.is_after_outage = false;
        significant.extend(self.drop_expired(now).into_iter().map(RegistryChange::Drop));
        significant
    }

    /// Stores an entry, unless one of a later incarnation is known. Returns whether the stored entry changed in
    /// more than its heartbeat.
    fn put(&mut self, entry: Entry, now: HostTime) -> bool {
        let known = self.upstreams.get(&entry.id);
        if known.is_some_and(|known| known.listed.entry.born > entry.born) {
            return false;
        }
        let cold_until = match known {
            Some(known) if known.listed.entry.cold == entry.cold => known.listed.cold_until,
            _ => now + entry.cold,
        };
        let is_change = known.is_none_or(|known| {
            let mut previous = known.listed.entry.clone();
            previous.seq = entry.seq;
            previous.cold = entry.cold;
            previous != entry || known.deleted_at.is_some()
        });
        if entry.is_leaving && known.is_none_or(|known| !known.listed.entry.is_leaving) {
            let age = now.since(self.read_at);
            log::info!(upstream:% = entry.id, service:% = entry.service, seq = entry.seq, age:% = age; "registry: upstream is leaving");
        }
        let id = entry.id.clone();
        self.upstreams.insert(
            id,
            RegisteredUpstream { listed: ListedUpstream { entry, cold_until }, deleted_at: None },
        );
        is_change
    }

    /// Drops an entry, or keeps it for now after an outage. Returns whether it was dropped.
    fn drop_entry(&mut self, id: &UpstreamId, now: HostTime) -> bool {
        let age = now.since(self.read_at);
        if self.is_after_outage {
            if let Some(known) = self.upstreams.get_mut(id) {
                let deleted_at = *known.deleted_at.get_or_insert(now);
                let until = self.expired_kept_until.since(now);
                let deleted = now.since(deleted_at);
                log::info!(upstream:% = id, age:% = age, deleted:% = deleted, until:% = until; "registry: deleted entry is kept");
            }
            return false;
        }
        let is_dropped = self.upstreams.remove(id).is_some();
        if is_dropped {
            log::info!(upstream:% = id, age:% = age; "registry: entry dropped");
        }
        is_dropped
    }

    /// Drops the entries that were kept after an outage and not written again in time, and returns their ids.
    fn drop_expired(&mut self, now: HostTime) -> Vec<UpstreamId> {
        if now < self.expired_kept_until {
            return Vec::new();
        }
        let expired = self.upstreams.iter().filter(|(_, known)| known.deleted_at.is_some());
        let expired: Vec<UpstreamId> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            log::info!(upstream:% = id; "registry: kept entry dropped, as its upstream did not write it again");
            self.upstreams.remove(id);
        }
        expired
    }

    /// Returns the registered upstreams, including those that are shutting down, in no particular order.
    pub fn listed(&self) -> impl Iterator<Item = &ListedUpstream> {
        self.upstreams.values().map(|known| &known.listed)
    }

    /// Returns the number of entries that are kept although they were deleted.
    pub fn kept_count(&self) -> usize {
        self.upstreams.values().filter(|known| known.deleted_at.is_some()).count()
    }

    /// Returns the entry of an upstream, if it is registered.
    pub fn entry(&self, id: &UpstreamId) -> Option<&Entry> {
        self.upstreams.get(id).map(|known| &known.listed.entry)
    }
}
