//! Entries of upstreams in the store, which stay there for a while after their writers have ended.

use super::{ENTRY_EXPIRY_MS, STEP_MS, Simulation, UPSTREAMS};
use skylarkdock_spans::plan::Candidate;
use skylarkdock_spans::table::Holder;
use skylarkdock_units::times::HostTime;

/// Time between two writes of an upstream's entry.
const HEARTBEAT_MS: u64 = 850;

/// How late a host sees entries at least and at most, in milliseconds.
const MIN_DELAY_MS: u64 = 800;
const MAX_DELAY_MS: u64 = 3_000;
/// One read in so many changes how late a host sees entries.
const READS_PER_DELAY: u32 = 40;

/// An entry, as an upstream wrote it.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub holder: Holder,
    pub seq: u64,
    written_at: u64,
}

/// All versions of each upstream's entry, and when the store had them from; `None` once it had expired.
#[derive(Debug)]
pub(super) struct Registry {
    versions: Vec<Vec<(u64, Option<Entry>)>>,
}

impl Registry {
    pub(super) fn new() -> Self {
        Self { versions: vec![Vec::new(); UPSTREAMS] }
    }

    /// Returns an upstream's entry as the store had it at a time.
    pub(super) fn entry(&self, index: usize, at: u64) -> Option<&Entry> {
        let versions = &self.versions[index];
        let next = versions.partition_point(|(since, _)| *since <= at);
        versions[..next].last()?.1.as_ref()
    }
}

impl Simulation {
    /// Lets the upstreams that are due write their entries, and removes those that have expired.
    pub(super) fn write_entries(&mut self) {
        let now = self.now;
        for (upstream, versions) in self.upstreams.iter().zip(&mut self.registry.versions) {
            let last = versions.last().and_then(|(_, entry)| entry.as_ref());
            let holder = upstream.holder();
            let is_current = last.is_some_and(|entry| {
                entry.holder == holder && now < entry.written_at + HEARTBEAT_MS
            });
            if upstream.is_up(now) && upstream.reaches_store && !is_current {
                // It grows during a life and starts anew with the next one.
                let seq = (now - upstream.started_at) / STEP_MS + 1;
                versions.push((now, Some(Entry { holder, seq, written_at: now })));
            } else if last.is_some_and(|entry| now >= entry.written_at + ENTRY_EXPIRY_MS) {
                versions.push((now, None));
            }
        }
    }

    /// Reads the registry as it was a while ago, and resumes renewals by it. How long ago changes now and then.
    pub(super) fn read_registry(&mut self, index: usize) {
        let is_late = self.safeguards.troubles.late_entries;
        if is_late && self.trouble_rng.u32(..READS_PER_DELAY) == 0 {
            self.hosts[index].registry_delay = self.trouble_rng.u64(MIN_DELAY_MS..=MAX_DELAY_MS);
        }
        let host = &mut self.hosts[index];
        let seen_at = self.now.saturating_sub(host.registry_delay);
        host.registry_at = host.registry_at.max(seen_at);
        self.resume_holders(index);
    }

    /// Returns the incarnations of upstreams that a host sees in the registry.
    pub(super) fn candidates(&self, host: usize) -> Vec<Candidate> {
        let listed = (0..UPSTREAMS).filter_map(|index| self.listed_holder(host, index));
        listed.map(|holder| Candidate { holder, capacity: 10.0 }).collect()
    }

    fn listed_holder(&self, host: usize, index: usize) -> Option<Holder> {
        let now = self.now;
        let upstream = &self.upstreams[index];
        if !self.safeguards.troubles.has_registry() {
            let is_listed = upstream.is_up(now)
                && (upstream.reaches_store || now < upstream.cut_at + ENTRY_EXPIRY_MS);
            return is_listed.then(|| upstream.listed_holder(now));
        }
        let entry = self.registry.entry(index, self.hosts[host].registry_at)?;
        Some(upstream.foreign_entry(now).unwrap_or_else(|| entry.holder.clone()))
    }

    /// Resumes a host's renewals to suspended holders whose entries it has seen written again.
    fn resume_holders(&mut self, index: usize) {
        if !self.safeguards.troubles.has_registry() {
            return self.resume_running_holders(index);
        }
        for (holder, since) in self.hosts[index].renewals.suspended() {
            let owner = self.index_of(&holder);
            let host = &mut self.hosts[index];
            let entry = self.registry.entry(owner, host.registry_at);
            let Some(entry) = entry.filter(|entry| entry.holder == holder) else { continue };
            let last = *host.suspended_at_seq.entry(holder.clone()).or_insert(entry.seq);
            if entry.seq > last {
                self.fault_counts.stale_resumptions += u64::from(entry.written_at < since.0);
                host.suspended_at_seq.remove(&holder);
                host.renewals.resume(&holder, HostTime(self.now));
            }
        }
    }

    /// Resumes renewals to holders that run one second after their suspension.
    fn resume_running_holders(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        for (holder, at) in host.renewals.suspended() {
            let is_confirmed = self.upstreams.iter().any(|upstream| {
                upstream.listed_holder(self.now) == holder
                    && upstream.reaches_store
                    && upstream.is_up(self.now)
            });
            if is_confirmed && self.now > at.0 + 1_000 {
                host.renewals.resume(&holder, HostTime(self.now));
            }
        }
    }
}
