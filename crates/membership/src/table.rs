//! The table of hosts with its digests.

use crate::config::MAX_HOSTS;
use crate::merge::merge;
use crate::messages::{HostEntry, HostState};
use skylarkdock_units::ids::HostId;
use skylarkdock_units::keys::KeyHash;
use skylarkdock_units::times::HostTime;
use std::collections::BTreeMap;

/// Parts of the table with a digest each.
pub(crate) const BUCKETS: usize = 32;

/// A host in the table.
#[derive(Debug, Clone)]
pub(crate) struct Record {
    pub(crate) entry: HostEntry,
    /// When something was last heard of it.
    pub(crate) heard: HostTime,
    /// Since when it has its state.
    pub(crate) since: HostTime,
}

/// All hosts, this one included.
#[derive(Debug)]
pub(crate) struct Table {
    records: BTreeMap<HostId, Record>,
    buckets: [u64; BUCKETS],
}

/// What a new entry did to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Merged {
    /// The entry was known.
    Nothing,
    /// Only the version is new.
    Version,
    /// Something that callers see is new.
    View,
}

impl Table {
    pub(crate) const fn new() -> Self {
        Self { records: BTreeMap::new(), buckets: [0; BUCKETS] }
    }

    pub(crate) fn get(&self, host: &HostId) -> Option<&Record> {
        self.records.get(host)
    }

    pub(crate) fn entry(&self, host: &HostId) -> Option<&HostEntry> {
        self.records.get(host).map(|record| &record.entry)
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Notes that something was heard of a host.
    pub(crate) fn heard(&mut self, host: &HostId, now: HostTime) {
        if let Some(record) = self.records.get_mut(host) {
            record.heard = now;
        }
    }

    /// Takes in what another host says.
    pub(crate) fn merge(&mut self, new: HostEntry, now: HostTime) -> Merged {
        let old = self.records.get(&new.member.host);
        if old.is_none() && self.records.len() >= MAX_HOSTS {
            return Merged::Nothing;
        }
        let Some(kept) = merge(old.map(|record| &record.entry), new) else {
            return Merged::Nothing;
        };
        let seen = old.map(|record| HostEntry { version: kept.version, ..record.entry.clone() });
        let merged = if seen.as_ref() == Some(&kept) { Merged::Version } else { Merged::View };
        self.put(kept, now);
        merged
    }

    /// Sets a host's entry.
    pub(crate) fn put(&mut self, entry: HostEntry, now: HostTime) {
        let host = entry.member.host.clone();
        let bucket = bucket_of(&host);
        let old = self.records.get(&host);
        self.buckets[bucket] ^= old.map_or(0, |old| weight(&old.entry)) ^ weight(&entry);
        let kept = old.filter(|old| same_claim(&old.entry, &entry));
        let since = kept.map_or(now, |old| old.since);
        let silent = matches!(entry.state, HostState::Suspect | HostState::Gone);
        let heard = old.filter(|_| silent).map_or(now, |old| old.heard);
        self.records.insert(host, Record { entry, heard, since });
    }

    /// Restarts the time that suspect hosts have to refute.
    pub(crate) fn restart_suspicions(&mut self, now: HostTime) {
        let suspects = self.records.values_mut().filter(|r| r.entry.state == HostState::Suspect);
        suspects.for_each(|record| record.since = now);
    }

    pub(crate) fn remove(&mut self, host: &HostId) -> Option<Record> {
        let record = self.records.remove(host)?;
        self.buckets[bucket_of(host)] ^= weight(&record.entry);
        Some(record)
    }

    pub(crate) const fn buckets(&self) -> &[u64; BUCKETS] {
        &self.buckets
    }

    pub(crate) fn digest(&self) -> u64 {
        self.buckets.iter().fold(0, |sum, bucket| sum.rotate_left(1) ^ bucket)
    }

    /// Returns up to `limit` entries behind `after` in buckets that differ from `theirs`.
    pub(crate) fn differing(
        &self,
        theirs: &[u64; BUCKETS],
        after: Option<&HostId>,
        limit: usize,
    ) -> Vec<HostEntry> {
        let behind = |host: &HostId| after.is_none_or(|after| host > after);
        let differs = |host: &HostId| {
            let bucket = bucket_of(host);
            theirs[bucket] != self.buckets[bucket]
        };
        let chosen = self.records.iter().filter(|(host, _)| behind(host) && differs(host));
        chosen.take(limit).map(|(_, record)| record.entry.clone()).collect()
    }
}

fn same_claim(a: &HostEntry, b: &HostEntry) -> bool {
    a.member == b.member && a.version == b.version && a.state == b.state
}

fn bucket_of(host: &HostId) -> usize {
    usize::try_from(KeyHash::of(host.as_str()).0 % BUCKETS as u64).unwrap_or_default()
}

/// Returns the entry's part in the digest.
///
/// Suspect counts as live and gone as absent, as hosts pass these states at different times.
fn weight(entry: &HostEntry) -> u64 {
    let HostEntry { member, version, state, .. } = entry;
    match state {
        HostState::Gone => 0,
        HostState::Live | HostState::Suspect => KeyHash::of(&format!("{member}/{version}")).0,
        HostState::Leaving => KeyHash::of(&format!("{member}/{version}/leaving")).0,
    }
}
