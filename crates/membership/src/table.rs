//! The table of known hosts, and the digests by which hosts compare their tables.

use crate::config::MAX_HOSTS;
use crate::merge::merge;
use crate::messages::{HostEntry, HostState};
use skylarkdock_units::ids::HostId;
use skylarkdock_units::keys::KeyHash;
use skylarkdock_units::times::HostTime;
use std::collections::BTreeMap;

/// Number of buckets into which hosts are hashed; each bucket has its own digest.
pub(crate) const BUCKET_COUNT: usize = 32;

/// An entry of the table with the times at which this host learned of it.
#[derive(Debug, Clone)]
pub(crate) struct HostRecord {
    pub(crate) entry: HostEntry,
    /// When this host last received a message from the host or news about it.
    pub(crate) last_heard: HostTime,
    /// Since when the entry has its present incarnation, version and state.
    pub(crate) state_since: HostTime,
}

/// All known hosts, including this one.
#[derive(Debug)]
pub(crate) struct Table {
    records: BTreeMap<HostId, HostRecord>,
    bucket_digests: [u64; BUCKET_COUNT],
}

/// Effect of merging an entry into the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    /// The table did not change: it had this entry or a newer one, has no room, or does not add gone hosts.
    Unchanged,
    /// Only the version of the host's entry changed.
    VersionChanged,
    /// A part of the host's entry changed that a [`crate::HostView`] shows.
    ViewChanged,
}

impl Table {
    pub(crate) const fn new() -> Self {
        Self { records: BTreeMap::new(), bucket_digests: [0; BUCKET_COUNT] }
    }

    pub(crate) fn get(&self, host: &HostId) -> Option<&HostRecord> {
        self.records.get(host)
    }

    pub(crate) fn entry(&self, host: &HostId) -> Option<&HostEntry> {
        self.records.get(host).map(|record| &record.entry)
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &HostRecord> {
        self.records.values()
    }

    /// Records that a message from a host, or news about it, was received.
    pub(crate) fn mark_heard(&mut self, host: &HostId, now: HostTime) {
        if let Some(record) = self.records.get_mut(host) {
            record.last_heard = now;
        }
    }

    /// Merges an entry received from another host.
    pub(crate) fn merge(&mut self, new: HostEntry, now: HostTime) -> MergeOutcome {
        let old = self.records.get(&new.member.host);
        if old.is_none() && self.records.len() >= MAX_HOSTS {
            return MergeOutcome::Unchanged;
        }
        let Some(kept) = merge(old.map(|record| &record.entry), new) else {
            return MergeOutcome::Unchanged;
        };
        let old_with_new_version =
            old.map(|record| HostEntry { version: kept.version, ..record.entry.clone() });
        let outcome = if old_with_new_version.as_ref() == Some(&kept) {
            MergeOutcome::VersionChanged
        } else {
            MergeOutcome::ViewChanged
        };
        self.put(kept, now);
        outcome
    }

    /// Inserts or replaces a host's entry, and updates the digests and times.
    pub(crate) fn put(&mut self, entry: HostEntry, now: HostTime) {
        let host = entry.member.host.clone();
        let bucket = bucket_index(&host);
        let old = self.records.get(&host);
        self.bucket_digests[bucket] ^=
            old.map_or(0, |old| entry_digest(&old.entry)) ^ entry_digest(&entry);
        let unchanged = old.filter(|old| same_member_version_and_state(&old.entry, &entry));
        let state_since = unchanged.map_or(now, |old| old.state_since);
        let is_silent = matches!(entry.state, HostState::Suspect | HostState::Gone);
        let last_heard = old.filter(|_| is_silent).map_or(now, |old| old.last_heard);
        self.records.insert(host, HostRecord { entry, last_heard, state_since });
    }

    /// Gives all suspect hosts the full time again to refute the suspicion.
    pub(crate) fn restart_suspicion_timeouts(&mut self, now: HostTime) {
        let suspects =
            self.records.values_mut().filter(|record| record.entry.state == HostState::Suspect);
        suspects.for_each(|record| record.state_since = now);
    }

    pub(crate) fn remove(&mut self, host: &HostId) -> Option<HostRecord> {
        let record = self.records.remove(host)?;
        self.bucket_digests[bucket_index(host)] ^= entry_digest(&record.entry);
        Some(record)
    }

    pub(crate) const fn bucket_digests(&self) -> &[u64; BUCKET_COUNT] {
        &self.bucket_digests
    }

    pub(crate) fn digest(&self) -> u64 {
        self.bucket_digests.iter().fold(0, |sum, bucket| sum.rotate_left(1) ^ bucket)
    }

    /// Returns up to `limit` entries of hosts that sort after `after`, from the buckets whose digests
    /// differ from `their_digests`.
    pub(crate) fn entries_in_differing_buckets(
        &self,
        their_digests: &[u64; BUCKET_COUNT],
        after: Option<&HostId>,
        limit: usize,
    ) -> Vec<HostEntry> {
        let is_after = |host: &HostId| after.is_none_or(|after| host > after);
        let differs = |host: &HostId| {
            let bucket = bucket_index(host);
            their_digests[bucket] != self.bucket_digests[bucket]
        };
        let chosen = self.records.iter().filter(|(host, _)| is_after(host) && differs(host));
        chosen.take(limit).map(|(_, record)| record.entry.clone()).collect()
    }
}

fn same_member_version_and_state(a: &HostEntry, b: &HostEntry) -> bool {
    a.member == b.member && a.version == b.version && a.state == b.state
}

fn bucket_index(host: &HostId) -> usize {
    usize::try_from(KeyHash::of(host.as_str()).0 % BUCKET_COUNT as u64).unwrap_or_default()
}

/// Returns the entry's contribution to its bucket's digest.
///
/// A suspect host counts as live and a gone host as absent, because hosts enter these states at
/// different times.
fn entry_digest(entry: &HostEntry) -> u64 {
    let HostEntry { member, version, state, .. } = entry;
    match state {
        HostState::Gone => 0,
        HostState::Live | HostState::Suspect => KeyHash::of(&format!("{member}/{version}")).0,
        HostState::Leaving => KeyHash::of(&format!("{member}/{version}/leaving")).0,
    }
}
