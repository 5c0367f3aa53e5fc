//! Records of the store and changes of the registry that a host knows and can send to others.

use super::encoded::{self, Versions};
use super::registry::RegistryChange;
use crate::store::{Page, Topic};
use skylarkdock_freshness::evacuations::Evacuations;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::times::HostTime;
use std::collections::VecDeque;

/// Changes of the registry that are kept for followers. One that has missed more gets all entries.
const MAX_CHANGES: usize = 2_048;

/// Records of a topic other than the registry that this host knows.
#[derive(Default, Clone)]
pub struct TopicRecords {
    /// Newest value of each key, empty for a deleted one, and the offset after the page that contained it.
    pub records: FastMap<String, (Vec<u8>, u64)>,
    /// Offset after the last known record.
    pub next: u64,
    /// Latest time at which the store is known to have had no newer record.
    pub proof_at: HostTime,
}

/// Records and registry changes that this host can send to others.
pub struct KnownRecords {
    /// Random id of this process. Versions of different runs can't be compared.
    pub run: u64,
    /// Records of the operators' configuration.
    pub config: TopicRecords,
    /// Evacuations, of the records in the topic of the configuration.
    pub evacuations: Evacuations,
    /// Records written by the entry hosts.
    pub fleet: TopicRecords,
    /// Versions of the large records of both topics, by key.
    pub versions: FastMap<String, Versions>,
    /// Latest time at which the store is known to have had no newer change of the registry.
    pub registry_proof_at: HostTime,
    /// Offset after the last record of the registry that this host has applied; `None` if it must read all entries.
    pub registry_next: Option<u64>,
    /// Whether this host keeps entries that were deleted. Others may not know of the deletions, so they must not read on
    /// from this host's offset.
    pub keeps_entries: bool,
    /// Latest time at which the store is known to have accepted a leader's heartbeat; `None` if it never did.
    pub leader_seen_at: Option<HostTime>,
    /// Latest changes of the registry, at most `MAX_CHANGES`.
    pub changes: VecDeque<RegistryChange>,
    /// Number of registry changes since the process started, including those no longer kept.
    pub version: u64,
    /// Whether this host has received updates since it last had no source of them.
    pub has_source: bool,
    /// Whether the source's own reads of the registry fail.
    pub source_reads_fail: bool,
    /// Whether this host's last read of the registry failed.
    pub reads_fail: bool,
}

impl Default for KnownRecords {
    fn default() -> Self {
        Self {
            run: fastrand::u64(1..),
            config: TopicRecords::default(),
            evacuations: Evacuations::default(),
            fleet: TopicRecords::default(),
            versions: FastMap::default(),
            registry_proof_at: HostTime(0),
            registry_next: None,
            keeps_entries: false,
            leader_seen_at: None,
            changes: VecDeque::new(),
            version: 0,
            has_source: false,
            source_reads_fail: false,
            reads_fail: false,
        }
    }
}

impl KnownRecords {
    /// Returns the records of a topic other than the registry.
    pub fn topic(&mut self, topic: Topic) -> &mut TopicRecords {
        if topic == Topic::Config { &mut self.config } else { &mut self.fleet }
    }

    /// Stores a page of a topic, of which the store had no newer records at `proof_at`. For the registry only the
    /// time and the offset are stored. With `is_whole` the page contains all keys, and others count as deleted. Records that this host knows
    /// from after the page stay: it may have written them while the page was read.
    pub fn record_page(&mut self, topic: Topic, page: &Page, is_whole: bool, proof_at: HostTime) {
        if topic == Topic::Upstreams {
            self.registry_proof_at = self.registry_proof_at.max(proof_at);
            self.registry_next = Some(page.next);
            return;
        }
        let known = if topic == Topic::Config { &mut self.config } else { &mut self.fleet };
        if is_whole {
            let present = known.records.values_mut().filter(|(value, _)| !value.is_empty());
            for (value, offset) in present.filter(|(_, offset)| *offset <= page.next) {
                value.clear();
                *offset = page.next;
            }
        }
        for record in &page.records {
            let is_older = |(_, offset): &(Vec<u8>, u64)| page.next < *offset;
            if known.records.get(&record.key).is_some_and(is_older) {
                continue;
            }
            known.records.insert(record.key.clone(), (record.value.clone(), page.next));
            if encoded::is_large(&record.value) {
                self.versions.entry(record.key.clone()).or_default().add(&record.value);
            }
        }
        known.next = known.next.max(page.next);
        known.proof_at = known.proof_at.max(proof_at);
    }

    /// Stores changes of the registry, each with the next version.
    pub fn record_changes(&mut self, changes: &[RegistryChange]) {
        for change in changes {
            self.version += 1;
            self.changes.push_back(change.clone());
        }
        while self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Records whether this host's last read of the registry failed.
    pub const fn set_reads_fail(&mut self, reads_fail: bool) {
        self.reads_fail = reads_fail;
    }

    /// Returns whether this host gets updates from another.
    pub const fn has_source(&self) -> bool {
        self.has_source
    }

    /// Returns whether the own reads of the host that sends updates to this one fail.
    pub const fn source_reads_fail(&self) -> bool {
        self.source_reads_fail
    }

    /// Returns the latest time at which the store is known to have had no newer record of a topic.
    pub const fn proof_at(&self, topic: Topic) -> HostTime {
        match topic {
            Topic::Config => self.config.proof_at,
            Topic::Upstreams => self.registry_proof_at,
            Topic::Fleet => self.fleet.proof_at,
        }
    }

    /// Returns the latest time at which the store is known to have accepted a leader's heartbeat, if it ever did.
    pub const fn leader_seen_at(&self) -> Option<HostTime> {
        self.leader_seen_at
    }

    /// Records that the store accepted a leader's heartbeat which was sent at `at`.
    pub fn record_leader(&mut self, at: HostTime) {
        self.leader_seen_at = self.leader_seen_at.max(Some(at));
    }

    /// Returns the offset from which a host that has applied all of this one's updates can read the registry on; `None` if it
    /// must read all entries.
    pub fn registry_next_for_others(&self) -> Option<u64> {
        self.registry_next.filter(|_| !self.keeps_entries)
    }

    /// Returns the offset from which to continue reading the store; `None` to start with the newest record of each key.
    pub fn next(&self, topic: Topic) -> Option<u64> {
        let next = match topic {
            // Others passed on the configuration without the evacuations up to there.
            Topic::Config => Some(self.config.next).filter(|next| !self.evacuations.lacks(*next)),
            Topic::Upstreams => self.registry_next,
            Topic::Fleet => Some(self.fleet.next),
        };
        // The log still has replaced records.
        next.filter(|next| *next > 0)
    }
}
