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
use skylarkdock_units::ids::{ServiceName, UpstreamId};
use skylarkdock_units::times::{HostTime, Millis};

/// Heartbeat intervals of silence after which the store drops an entry.
///
/// An entry with an earlier start is first taken for a late write of a former process. If it stands for this long, the
/// process with the later start does not write: there was none, or the upstream's clock was set back.
const EXPIRY_HEARTBEATS: u64 = 3;
/// Time after the end of an outage within which upstreams that still run write their expired entries again.
const REWRITE_TIME: Millis = Millis(2_000);
/// Shortest outage in which entries expire, in heartbeat intervals. An entry expires after three intervals without a
/// heartbeat, and the last one before an outage may be one interval old.
const MIN_OUTAGE_HEARTBEATS: u64 = 2;

/// Time in which an upstream that still runs writes its entry again after another writer has replaced it, in heartbeat
/// intervals.
const REPLACED_ENTRY_HEARTBEATS: u64 = 2;

/// Difference up to which the ends of a cold time that two heartbeats state count as equal: entries reach a reader with
/// different delays.
const COLD_TOLERANCE: Millis = Millis(500);

#[derive(Debug, Clone)]
struct RegisteredUpstream {
    listed: ListedUpstream,
    /// When the entry is dropped unless it is written again before; `None` unless it was deleted or replaced by one that
    /// can't be read, and is kept in spite of that.
    kept_until: Option<HostTime>,
    /// Entry with an earlier start that the store has in place of this one, and when it was first known.
    earlier: Option<(Entry, HostTime)>,
}

/// Change of one entry of the registry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RegistryChange {
    /// An upstream wrote its entry.
    Put(Entry),
    /// An upstream's entry was deleted or has expired.
    Drop(UpstreamId),
}

/// What a host has read of the registry.
#[derive(Debug, Default)]
pub struct RegistryPage {
    /// Readable entries and deletions, in the order in which they were recorded.
    pub changes: Vec<RegistryChange>,
    /// Upstreams whose newest entry can't be read.
    pub unreadable: FastSet<UpstreamId>,
    /// Whether the page has all entries.
    pub is_whole: bool,
}

/// Entry that a host keeps although it was deleted or replaced by one that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptEntry {
    /// The entry before that.
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
    /// When this host last learned that the store had come back from an older copy.
    restored_at: Option<HostTime>,
    /// First read known after the last pause in which the store may have been away.
    read_since: HostTime,
    /// Services whose upstreams have a limit while they are cold. For these, heartbeats that change what is known of it
    /// are passed on to other hosts.
    cold_services: FastSet<ServiceName>,
    /// Whether entries have been applied. Upstreams that are found later have started or were silent.
    is_filled: bool,
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
            restored_at: None,
            read_since: never,
            cold_services: FastSet::default(),
            is_filled: false,
        }
    }

    /// Sets the services whose upstreams have a limit while they are cold.
    pub fn set_cold_services<'a>(&mut self, services: impl Iterator<Item = &'a ServiceName>) {
        self.cold_services = services.cloned().collect();
    }

    /// Records that a read which this host sent at `asked_at` failed.
    pub fn on_failed_read(&mut self, asked_at: HostTime) {
        self.failed_at = self.failed_at.max(asked_at);
    }

    /// Records that the store has come back from an older copy, as became known at `now`. Upstreams that were registered
    /// since the copy write their entries again.
    pub fn on_restored(&mut self, now: HostTime) {
        self.restored_at = Some(now);
    }

    /// Applies a page that this host read from the store; see [`Registry::apply_read`]. Of an upstream whose newest entry
    /// can't be read, the one before is kept until the upstream had the time to write another. If it was dropped at once,
    /// the keys of an upstream that still runs would move because of what another writer did.
    pub fn apply_page(
        &mut self,
        page: RegistryPage,
        asked_at: HostTime,
        now: HostTime,
    ) -> Vec<RegistryChange> {
        let RegistryPage { changes, unreadable, is_whole } = page;
        // Before the changes, as those of a whole page don't contain the upstreams, and after them, as they may contain
        // earlier entries of the upstreams.
        self.keep_replaced(&unreadable, asked_at);
        let significant = self.apply_read(changes, is_whole, asked_at, now);
        self.keep_replaced(&unreadable, asked_at);
        significant
    }

    fn keep_replaced(&mut self, unreadable: &FastSet<UpstreamId>, asked_at: HostTime) {
        for id in unreadable {
            let known = self.upstreams.get_mut(id).filter(|known| known.kept_until.is_none());
            let Some(known) = known else { continue };
            let until = asked_at + Millis(self.heartbeat.0 * REPLACED_ENTRY_HEARTBEATS);
            known.kept_until = Some(until);
            log::info!(upstream:% = id, until:% = until.since(asked_at); "registry: entry before an unreadable one is kept");
        }
    }

    /// Applies what this host read from the store, in the order in which it was recorded. The read was sent at
    /// `asked_at`. With `is_whole` the changes contain all entries, and others were deleted. Deleted entries are kept
    /// for now if the store was unavailable before the read, or has just come back from an older copy. Returns the changes that are more than heartbeats.
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
        let follows_outage = self.follows_outage(asked_at);
        let is_restored = self.restored_at.is_some_and(|at| asked_at.since(at) < REWRITE_TIME);
        let keeps_missing = follows_outage || (is_whole && is_restored);
        let kept_until = keeps_missing.then(|| asked_at + REWRITE_TIME);
        if follows_outage {
            let pause = asked_at.since(self.read_at);
            log::info!(pause:% = pause; "registry: the store was unavailable, expired entries are kept for now");
        }
        self.advance(asked_at);
        let mut significant = Vec::new();
        let missing = missing.into_iter().map(RegistryChange::Drop);
        for change in missing.chain(changes) {
            match change {
                RegistryChange::Put(entry) => {
                    significant.extend(self.put_newest(entry, asked_at, now));
                }
                RegistryChange::Drop(id) => {
                    let is_dropped = match kept_until {
                        Some(until) => self.keep(&id, until, now),
                        None => self.drop_deleted(&id, now),
                    };
                    significant.extend(is_dropped.then_some(RegistryChange::Drop(id)));
                }
            }
        }
        self.is_filled |= !self.upstreams.is_empty();
        significant.extend(self.take_earlier(now));
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
        let is_in_store =
            |known: &&RegisteredUpstream| known.kept_until.is_none() && known.earlier.is_none();
        let known = self.upstreams.get(id).filter(is_in_store);
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
            match change {
                // All entries at a time are no older than what is known. Single changes may be.
                RegistryChange::Put(entry) if is_whole || !self.is_older(&entry) => {
                    significant.extend(self.put_newest(entry, read_at, now));
                }
                RegistryChange::Put(_) => {}
                RegistryChange::Drop(id) => {
                    let is_dropped = self.drop_deleted(&id, now);
                    significant.extend(is_dropped.then_some(RegistryChange::Drop(id)));
                }
            }
        }
        for KeptEntry { entry, remaining } in kept {
            let id = entry.id.clone();
            if self.upstreams.get(&id).is_some_and(|known| known.listed.entry.born > entry.born) {
                continue;
            }
            let known = self.upstreams.get(&id);
            // Hosts that tell each other of an entry must not extend its time.
            let known_until = known.and_then(|known| known.kept_until);
            // It may have changed just before it was deleted or replaced.
            let is_news = known.map_or(is_first, |known| {
                self.has_higher_number(&entry) || !is_alike(&known.listed.entry, &entry)
            });
            if is_news {
                significant.extend(self.put_newest(entry, read_at, now));
            }
            let until = now + remaining;
            self.keep(&id, known_until.map_or(until, |known| known.min(until)), now);
        }
        self.is_filled |= !self.upstreams.is_empty();
        self.advance(read_at);
        significant.extend(self.take_earlier(now));
        significant
    }

    /// Returns the ids of the entries that are not among those present.
    fn missing(&self, present: FastSet<&UpstreamId>) -> Vec<UpstreamId> {
        self.upstreams.keys().filter(|id| !present.contains(id)).cloned().collect()
    }

    /// Returns whether an entry of the same incarnation with a higher sequence number is known.
    fn has_higher_number(&self, entry: &Entry) -> bool {
        let known = self.upstreams.get(&entry.id).map(|known| &known.listed.entry);
        known.is_some_and(|known| known.born == entry.born && known.seq > entry.seq)
    }

    /// Returns whether a later heartbeat of the same incarnation is known, of an entry that was not deleted.
    fn is_older(&self, entry: &Entry) -> bool {
        let is_kept = self.upstreams.get(&entry.id).is_some_and(|known| known.kept_until.is_some());
        !is_kept && self.has_higher_number(entry)
    }

    /// Stores an entry that was the newest one of its upstream at `read_at`, and returns the changes that are more than
    /// heartbeats.
    fn put_newest(
        &mut self,
        entry: Entry,
        read_at: HostTime,
        now: HostTime,
    ) -> Vec<RegistryChange> {
        if self.has_higher_number(&entry) {
            // The store's order is the right one, whatever number an entry before had. Other hosts would take this entry
            // for an earlier heartbeat, so they are told to forget the one before.
            self.put(entry.clone(), read_at, now);
            return vec![RegistryChange::Drop(entry.id.clone()), RegistryChange::Put(entry)];
        }
        if self.put(entry.clone(), read_at, now) {
            vec![RegistryChange::Put(entry)]
        } else {
            Vec::new()
        }
    }

    /// Stores an entry that the store had at `read_at`, unless one of a later incarnation is known. Returns whether the
    /// stored entry changed in more than its heartbeat.
    fn put(&mut self, entry: Entry, read_at: HostTime, now: HostTime) -> bool {
        if let Some(known) = self.upstreams.get_mut(&entry.id)
            && known.kept_until.is_none()
            && known.listed.entry.born > entry.born
        {
            let since = known.earlier.take().map_or(read_at, |(_, since)| since);
            known.earlier = Some((entry, since));
            return false;
        }
        let known = self.upstreams.get(&entry.id);
        let same = known.filter(|known| known.listed.entry.born == entry.born);
        let cold_until = match same {
            Some(known) if known.listed.entry.cold == entry.cold => known.listed.cold_until,
            _ => now + entry.cold,
        };
        let is_confirmed = match (known, same) {
            (None, _) => !self.is_filled,
            (_, Some(known)) => known.listed.is_confirmed || entry.seq > known.listed.entry.seq,
            (Some(_), None) => false,
        };
        let is_change = known.is_none_or(|known| {
            !is_alike(&known.listed.entry, &entry) || known.kept_until.is_some()
        });
        let is_cold_news = self.cold_services.contains(&entry.service)
            && known.is_some_and(|known| {
                known.listed.is_confirmed != is_confirmed
                    || is_cold_news(known.listed.cold_until, cold_until, now)
            });
        let is_change = is_change || is_cold_news;
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
            RegisteredUpstream {
                listed: ListedUpstream { entry, cold_until, is_confirmed },
                kept_until: None,
                earlier: None,
            },
        );
        is_change
    }

    /// Replaces entries by those with an earlier start that the store has had in their place for long enough, while it was
    /// read. Returns the changes.
    fn take_earlier(&mut self, now: HostTime) -> Vec<RegistryChange> {
        let silence = Millis(self.heartbeat.0 * EXPIRY_HEARTBEATS);
        let (read_at, read_since) = (self.read_at, self.read_since);
        let has_stood = |since: HostTime| read_at.since(since.max(read_since)) >= silence;
        let due = self.upstreams.values_mut().filter_map(|known| {
            let (entry, _) = known.earlier.take_if(|(_, since)| has_stood(*since))?;
            Some((entry, known.listed.entry.born))
        });
        let due: Vec<(Entry, u64)> = due.collect();
        let mut changes = Vec::new();
        for (entry, former) in due {
            log::info!(upstream:% = entry.id, born = entry.born, former = former, age:% = self.age(now); "registry: entry with an earlier start taken");
            self.upstreams.remove(&entry.id);
            self.put(entry.clone(), read_at, now);
            changes.push(RegistryChange::Drop(entry.id.clone()));
            changes.push(RegistryChange::Put(entry));
        }
        changes
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

    /// Returns the entries that are not kept only for a time.
    pub fn confirmed(&self) -> impl Iterator<Item = &Entry> {
        let upstreams = self.upstreams.values().filter(|known| known.kept_until.is_none());
        upstreams.map(|known| &known.listed.entry)
    }

    /// Returns whether what is known of any upstream differs from the store's entry: it is kept in spite of that entry, or
    /// the store's has an earlier start.
    pub fn keeps_entries(&self) -> bool {
        self.upstreams.values().any(|known| known.kept_until.is_some() || known.earlier.is_some())
    }

    /// Returns the entries that are kept although they were deleted or replaced by unreadable ones.
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

/// Returns whether two entries differ in no more than what each heartbeat changes.
fn is_alike(one: &Entry, other: &Entry) -> bool {
    *one == Entry { seq: one.seq, cold: one.cold, ..other.clone() }
}

/// Returns whether the end of a cold time differs by more than the delay of a heartbeat, or only one of them is over.
fn is_cold_news(known: HostTime, cold_until: HostTime, now: HostTime) -> bool {
    let (known, cold_until) = (known.max(now), cold_until.max(now));
    let differs = known.since(cold_until).max(cold_until.since(known)) > COLD_TOLERANCE;
    differs || (known > now) != (cold_until > now)
}

/// Returns the ids of the entries that changes put.
fn present(changes: &[RegistryChange]) -> FastSet<&UpstreamId> {
    let puts = changes.iter().filter_map(|change| match change {
        RegistryChange::Put(entry) => Some(&entry.id),
        RegistryChange::Drop(_) => None,
    });
    puts.collect()
}
