//! Registered upstreams. Entries that may have expired only because the store was unavailable are kept until their
//! upstreams had time to write them again.
//!
//! An entry also disappears when its upstream leaves, so each kept entry needs evidence of an outage. How long this host
//! has not read the store is none: it may have had no reason to. A failed read is only weak evidence, as the store may
//! refuse this host alone. An outage is a time in which this host's reads failed and no host is known to have read the
//! store.

use crate::view::{Entry, ListedUpstream, UpstreamChange};
use serde::{Deserialize, Serialize};
use skylarkdock_units::collections::{FastMap, FastSet};
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};

/// Heartbeat intervals of silence after which the store drops an entry.
const EXPIRY_HEARTBEATS: u64 = 3;
/// Time after the end of an outage within which upstreams that still run write their expired entries again.
const REWRITE_TIME: Millis = Millis(2_000);
/// Shortest outage in which entries expire, in heartbeat intervals. An entry expires after three intervals without a
/// heartbeat, and the last one before an outage may be one interval old.
const MIN_OUTAGE_HEARTBEATS: u64 = 2;

#[derive(Debug, Clone)]
struct RegisteredUpstream {
    listed: ListedUpstream,
    /// When the entry is dropped unless it is written again before; `None` unless it was deleted and is kept in spite
    /// of that.
    kept_until: Option<HostTime>,
}

/// Change of one entry of the registry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegistryChange {
    /// An upstream wrote its entry.
    Put(Entry),
    /// An upstream's entry was deleted or has expired.
    Drop(UpstreamId),
}

/// Entry that a host keeps although it was deleted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptEntry {
    /// The entry before its deletion.
    pub entry: Entry,
    /// Time until it is dropped unless it is written again.
    pub remaining: Millis,
}

/// Registered upstreams by id, including those that are shutting down.
#[derive(Debug)]
pub struct Registry {
    upstreams: FastMap<UpstreamId, RegisteredUpstream>,
    /// Upstreams that have changed since [`Registry::take_changes`] was last called.
    changed: FastSet<UpstreamId>,
    /// Interval at which an upstream writes its entry.
    heartbeat: Millis,
    /// Latest time at which any host is known to have read the store; zero before anything was read.
    read_at: HostTime,
    /// When this host sent its last read that failed.
    failed_at: HostTime,
    /// First read known after the last pause in which the store may have been away.
    read_since: HostTime,
}

impl Registry {
    /// Creates an empty registry of upstreams that write their entries at intervals of `heartbeat`.
    pub fn new(heartbeat: Millis) -> Self {
        let never = HostTime(0);
        Self {
            upstreams: FastMap::default(),
            changed: FastSet::default(),
            heartbeat,
            read_at: never,
            failed_at: never,
            read_since: never,
        }
    }

    /// Records that a read which this host sent at `asked_at` failed.
    pub fn on_failed_read(&mut self, asked_at: HostTime) {
        self.failed_at = self.failed_at.max(asked_at);
    }

    /// Applies what this host read from the store, in the order in which it was recorded. The read was sent at
    /// `asked_at`. With `is_whole` the changes contain all entries, and others were deleted. Deleted entries are kept
    /// for now if the store was unavailable before the read. Returns the changes that are more than heartbeats.
    pub fn apply_read(
        &mut self,
        changes: Vec<RegistryChange>,
        is_whole: bool,
        asked_at: HostTime,
        now: HostTime,
    ) -> Vec<RegistryChange> {
        let missing = if is_whole { self.missing(present(&changes)) } else { Vec::new() };
        // Those that are kept already stay until their time has passed.
        let is_kept =
            |id: &UpstreamId| self.upstreams.get(id).is_some_and(|u| u.kept_until.is_some());
        let missing: Vec<UpstreamId> = missing.into_iter().filter(|id| !is_kept(id)).collect();
        let kept_until = self.follows_outage(asked_at).then(|| asked_at + REWRITE_TIME);
        if kept_until.is_some() {
            let pause = asked_at.since(self.read_at);
            log::info!(pause:% = pause; "registry: the store was unavailable, expired entries are kept for now");
        }
        self.advance(asked_at);
        let mut significant = Vec::new();
        let missing = missing.into_iter().map(RegistryChange::Drop);
        for change in missing.chain(changes) {
            let is_significant = match &change {
                RegistryChange::Put(entry) => self.put(entry.clone(), now),
                RegistryChange::Drop(id) => match kept_until {
                    Some(until) => self.keep(id, until, now),
                    None => self.drop_deleted(id, now),
                },
            };
            if is_significant {
                significant.push(change);
            }
        }
        significant.extend(self.drop_expired(asked_at, now).into_iter().map(RegistryChange::Drop));
        significant
    }

    /// Returns whether the store was unavailable before a read that was sent at `asked_at`, for long enough that entries
    /// may have expired.
    fn follows_outage(&self, asked_at: HostTime) -> bool {
        let min_outage = Millis(self.heartbeat.0 * MIN_OUTAGE_HEARTBEATS);
        self.read_at.0 > 0
            && self.failed_at > self.read_at
            && asked_at.since(self.read_at) >= min_outage
    }

    /// Records a read of the store.
    fn advance(&mut self, read_at: HostTime) {
        if read_at.since(self.read_at) >= Millis(self.heartbeat.0 * MIN_OUTAGE_HEARTBEATS) {
            self.read_since = read_at;
        }
        self.read_at = self.read_at.max(read_at);
    }

    /// Returns whether an upstream has certainly written its entry after `since`, in the incarnation that is listed: the
    /// store drops an entry after some heartbeat intervals of silence, and has been read without a pause for longer.
    pub fn has_written_since(&self, id: &UpstreamId, since: HostTime) -> bool {
        let known = self.upstreams.get(id).filter(|known| known.kept_until.is_none());
        let silence = Millis(self.heartbeat.0 * (EXPIRY_HEARTBEATS + 1));
        known.is_some() && self.read_at.since(since.max(self.read_since)) >= silence
    }

    /// Applies what another host knew of the store at `read_at`. That host has judged which deleted entries to keep: `kept` ones
    /// are not added to a registry that is known without them. Returns the changes that are more than heartbeats.
    pub fn apply_update(
        &mut self,
        changes: Vec<RegistryChange>,
        kept: Vec<KeptEntry>,
        is_whole: bool,
        read_at: HostTime,
        now: HostTime,
    ) -> Vec<RegistryChange> {
        let is_first = self.upstreams.is_empty();
        let mut significant = Vec::new();
        if is_whole {
            let mut present = present(&changes);
            present.extend(kept.iter().map(|kept| &kept.entry.id));
            let missing = self.missing(present).into_iter();
            let dropped = missing.filter(|id| self.drop_deleted(id, now));
            significant.extend(dropped.map(RegistryChange::Drop));
        }
        for change in changes {
            let is_significant = match &change {
                RegistryChange::Put(entry) => !self.is_older(entry) && self.put(entry.clone(), now),
                RegistryChange::Drop(id) => self.drop_deleted(id, now),
            };
            if is_significant {
                significant.push(change);
            }
        }
        for KeptEntry { entry, remaining } in kept {
            let id = entry.id.clone();
            if self.upstreams.get(&id).is_some_and(|known| known.listed.entry.born > entry.born) {
                continue;
            }
            if is_first && self.put(entry.clone(), now) {
                significant.push(RegistryChange::Put(entry));
            }
            // Hosts that tell each other of an entry must not extend its time.
            let known_until = self.upstreams.get(&id).and_then(|known| known.kept_until);
            let until = now + remaining;
            self.keep(&id, known_until.map_or(until, |known| known.min(until)), now);
        }
        self.advance(read_at);
        significant
    }

    /// Returns the ids of the entries that are not among those present.
    fn missing(&self, present: FastSet<&UpstreamId>) -> Vec<UpstreamId> {
        self.upstreams.keys().filter(|id| !present.contains(id)).cloned().collect()
    }

    /// Returns whether a later heartbeat of the same incarnation is known, of an entry that was not deleted.
    fn is_older(&self, entry: &Entry) -> bool {
        let known = self.upstreams.get(&entry.id).filter(|known| known.kept_until.is_none());
        let known = known.map(|known| &known.listed.entry);
        known.is_some_and(|known| known.born == entry.born && known.seq > entry.seq)
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
            previous != entry || known.kept_until.is_some()
        });
        if entry.is_leaving && known.is_none_or(|known| !known.listed.entry.is_leaving) {
            let age = self.age(now);
            log::info!(upstream:% = entry.id, service:% = entry.service, seq = entry.seq, age:% = age; "registry: upstream is leaving");
        }
        let id = entry.id.clone();
        if is_change || known.is_none_or(|known| known.listed.cold_until != cold_until) {
            self.changed.insert(id.clone());
        }
        self.upstreams.insert(
            id,
            RegisteredUpstream { listed: ListedUpstream { entry, cold_until }, kept_until: None },
        );
        is_change
    }

    /// Keeps an entry until `until` although it was deleted. Returns `false`, as the entry stays.
    fn keep(&mut self, id: &UpstreamId, until: HostTime, now: HostTime) -> bool {
        let age = self.age(now);
        if let Some(known) = self.upstreams.get_mut(id) {
            known.kept_until = Some(until);
            log::info!(upstream:% = id, age:% = age, until:% = until.since(now); "registry: deleted entry is kept");
        }
        false
    }

    /// Drops a deleted entry. Returns whether it was known.
    fn drop_deleted(&mut self, id: &UpstreamId, now: HostTime) -> bool {
        let is_known = self.upstreams.remove(id).is_some();
        if is_known {
            self.changed.insert(id.clone());
            log::info!(upstream:% = id, age:% = self.age(now); "registry: entry dropped");
        }
        is_known
    }

    /// Drops the entries that had not been written again at `read_at` although they had the time, and returns their
    /// ids.
    fn drop_expired(&mut self, read_at: HostTime, now: HostTime) -> Vec<UpstreamId> {
        let upstreams = self.upstreams.iter();
        let expired =
            upstreams.filter(|(_, known)| known.kept_until.is_some_and(|at| at <= read_at));
        let expired: Vec<UpstreamId> = expired.map(|(id, _)| id.clone()).collect();
        for id in &expired {
            log::info!(upstream:% = id, age:% = self.age(now); "registry: kept entry dropped, as its upstream did not write it again");
            self.upstreams.remove(id);
            self.changed.insert(id.clone());
        }
        expired
    }

    fn age(&self, now: HostTime) -> Millis {
        now.since(self.read_at)
    }

    /// Returns the upstreams that were listed, changed in more than their heartbeats, or removed since the last call.
    pub fn take_changes(&mut self) -> Vec<UpstreamChange> {
        let changed = std::mem::take(&mut self.changed);
        let change = |id: UpstreamId| match self.upstreams.get(&id) {
            Some(known) => UpstreamChange::Listed(Box::new(known.listed.clone())),
            None => UpstreamChange::Removed(id),
        };
        changed.into_iter().map(change).collect()
    }

    /// Returns whether no upstream is registered.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Returns the registered upstreams, including those that are shutting down, in no particular order.
    pub fn listed(&self) -> impl Iterator<Item = &ListedUpstream> {
        self.upstreams.values().map(|known| &known.listed)
    }

    /// Returns the entries that were not deleted.
    pub fn confirmed(&self) -> impl Iterator<Item = &Entry> {
        let upstreams = self.upstreams.values().filter(|known| known.kept_until.is_none());
        upstreams.map(|known| &known.listed.entry)
    }

    /// Returns whether any entries are kept although they were deleted.
    pub fn keeps_entries(&self) -> bool {
        self.upstreams.values().any(|known| known.kept_until.is_some())
    }

    /// Returns the entries that are kept although they were deleted.
    pub fn kept(&self, now: HostTime) -> impl Iterator<Item = KeptEntry> {
        self.upstreams.values().filter_map(move |known| {
            let remaining = known.kept_until?.since(now);
            Some(KeptEntry { entry: known.listed.entry.clone(), remaining })
        })
    }

    /// Returns the entry of an upstream, if it is registered.
    pub fn entry(&self, id: &UpstreamId) -> Option<&Entry> {
        self.upstreams.get(id).map(|known| &known.listed.entry)
    }
}

/// Returns the ids of the entries that changes put.
fn present(changes: &[RegistryChange]) -> FastSet<&UpstreamId> {
    let puts = changes.iter().filter_map(|change| match change {
        RegistryChange::Put(entry) => Some(&entry.id),
        RegistryChange::Drop(_) => None,
    });
    puts.collect()
}
