//! Load of other hosts at the upstreams, taken from their load reports.
//!
//! Hosts share upstreams without seeing each other's requests. A report gives the number of requests that one host, or
//! all hosts of an availability zone, have at each upstream. A newer report replaces the previous one of the same
//! source, and a report without a successor expires. The cost of a report depends on its own size and not on the number
//! of hosts.

use skylarkdock_units::collections::{FastMap, FastSet};
use skylarkdock_units::times::{HostTime, Millis};
use std::hash::Hash;

/// Age at which a report expires.
const REPORT_LIFETIME: Millis = Millis(1_200);

/// Hash of an upstream id; the same on all hosts.
pub type UpstreamHash = u32;

#[derive(Debug, Clone)]
struct LoadReport {
    at: HostTime,
    load: Vec<(UpstreamHash, u32)>,
}

/// Latest load report of each source `S`, with the totals per upstream.
#[derive(Debug, Clone)]
pub struct PeerLoad<S> {
    reports: FastMap<S, LoadReport>,
    totals: FastMap<UpstreamHash, u64>,
}

impl<S> Default for PeerLoad<S> {
    fn default() -> Self {
        Self { reports: FastMap::default(), totals: FastMap::default() }
    }
}

impl<S: Copy + Eq + Hash> PeerLoad<S> {
    /// Replaces the report of `source`. Returns the upstreams in the new or the previous report.
    pub fn apply_report(
        &mut self,
        source: S,
        load: Vec<(UpstreamHash, u32)>,
        now: HostTime,
    ) -> FastSet<UpstreamHash> {
        let mut affected = self.remove_report(source);
        for (id, count) in &load {
            *self.totals.entry(*id).or_default() += u64::from(*count);
            affected.insert(*id);
        }
        self.reports.insert(source, LoadReport { at: now, load });
        affected
    }

    /// Removes expired reports. Returns the upstreams in them.
    pub fn expire_reports(&mut self, now: HostTime) -> FastSet<UpstreamHash> {
        let is_expired = |report: &LoadReport| now.since(report.at) >= REPORT_LIFETIME;
        let expired: Vec<S> = self
            .reports
            .iter()
            .filter(|(_, report)| is_expired(report))
            .map(|(source, _)| *source)
            .collect();
        expired.into_iter().flat_map(|source| self.remove_report(source)).collect()
    }

    fn remove_report(&mut self, source: S) -> FastSet<UpstreamHash> {
        let Some(report) = self.reports.remove(&source) else { return FastSet::default() };
        let mut affected = FastSet::default();
        for (id, count) in report.load {
            affected.insert(id);
            if let Some(total) = self.totals.get_mut(&id) {
                *total = total.saturating_sub(u64::from(count));
                if *total == 0 {
                    self.totals.remove(&id);
                }
            }
        }
        affected
    }

    /// Returns the number of requests that all sources report at an upstream.
    pub fn total(&self, id: UpstreamHash) -> u32 {
        let total = self.totals.get(&id).copied().unwrap_or_default();
        u32::try_from(total).unwrap_or(u32::MAX)
    }

    /// Returns the totals per upstream over the sources for which `include` returns true.
    pub fn totals_where(&self, include: impl Fn(S) -> bool) -> FastMap<UpstreamHash, u32> {
        let mut totals: FastMap<UpstreamHash, u32> = FastMap::default();
        for (_, report) in self.reports.iter().filter(|(source, _)| include(**source)) {
            for (id, count) in &report.load {
                let total = totals.entry(*id).or_default();
                *total = total.saturating_add(*count);
            }
        }
        totals
    }

    /// Returns `totals`, sorted by hash, without what the given sources report. Upstreams of which nothing remains are left
    /// out.
    pub fn subtract_reports(
        &self,
        totals: &[(UpstreamHash, u32)],
        sources: impl Iterator<Item = S>,
    ) -> Vec<(UpstreamHash, u32)> {
        let mut reported: FastMap<UpstreamHash, u32> = FastMap::default();
        for report in sources.filter_map(|source| self.reports.get(&source)) {
            for (id, count) in &report.load {
                let total = reported.entry(*id).or_default();
                *total = total.saturating_add(*count);
            }
        }
        let rest = totals.iter().map(|(id, total)| {
            let count = reported.get(id).copied().unwrap_or_default();
            (*id, total.saturating_sub(count))
        });
        rest.filter(|(_, count)| *count > 0).collect()
    }

    /// Returns when the last report of a source arrived.
    pub fn last_report_at(&self, source: S) -> Option<HostTime> {
        self.reports.get(&source).map(|report| report.at)
    }
}

/// Returns loads in the order of the hashes, as reports contain them.
pub fn sorted(load: &FastMap<UpstreamHash, u32>) -> Vec<(UpstreamHash, u32)> {
    let mut sorted: Vec<(UpstreamHash, u32)> =
        load.iter().map(|(hash, count)| (*hash, *count)).collect();
    sorted.sort_unstable();
    sorted
}
