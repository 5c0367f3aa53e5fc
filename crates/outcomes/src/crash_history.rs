//! Record, for each request, of the upstreams that were lost while it was in flight. Hosts can merge their records in
//! any order.

use crate::fingerprint::Fingerprint;
use serde::{Deserialize, Serialize};
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{Millis, WallTime};
use std::collections::{BTreeMap, BTreeSet};

/// Number of lost upstreams from which a request may be quarantined.
pub const QUARANTINE_DEATHS: usize = 2;

const FULL_SHARE_PER_MILLE: u32 = 1000;
const ALONE_SHARE_PER_MILLE: u32 = 2000;
const QUARANTINE_SHARE_PER_MILLE: u32 = 2000;
const MAX_DEATHS_KEPT: usize = 8;
/// Duration of the first quarantine. It is short because upstreams are also lost for other reasons: afterwards the
/// request runs alone once more, and an answer clears it.
const FIRST_QUARANTINE_MS: u64 = 4_000;
/// Duration of the second quarantine; it doubles with each further loss.
const REPEAT_QUARANTINE_MS: u64 = 5 * 60 * 1000;
const RETENTION_MS: u64 = 12 * 60 * 60 * 1000;

/// Share of the suspicion for the loss of one upstream, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SuspicionShare(u32);

impl SuspicionShare {
    /// Returns the share of each of `count` different requests in flight.
    pub fn among(count: usize) -> Self {
        let count = u32::try_from(count.max(1)).unwrap_or(u32::MAX);
        Self(FULL_SHARE_PER_MILLE / count)
    }

    /// The share of a suspect that was in flight alone.
    pub const ALONE: Self = Self(ALONE_SHARE_PER_MILLE);
}

/// The loss of an upstream while the request was in flight.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Death {
    /// Time of the loss, by the holder's clock.
    pub at: WallTime,
    /// The upstream that was lost.
    pub upstream: UpstreamId,
    /// The request's share of the suspicion.
    pub share: SuspicionShare,
}

/// Consequence of a request's crash history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// No upstream was lost while it was in flight, or it was cleared since.
    Clean,
    /// An upstream was lost while it was in flight; it must run alone on its upstream.
    Suspect,
    /// It must not run before this time.
    Quarantined(WallTime),
}

/// Crash history of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashHistory {
    deaths: BTreeSet<Death>,
    cleared_at: WallTime,
}

impl CrashHistory {
    /// Adds a death; only the latest `MAX_DEATHS_KEPT` are kept.
    pub fn add(&mut self, death: Death) {
        self.deaths.insert(death);
        self.prune_deaths();
    }

    /// Discards every death so far because the request was answered.
    pub fn clear(&mut self, now: WallTime) {
        self.cleared_at = self.cleared_at.max(now).max(self.last_death());
        self.prune_deaths();
    }

    /// Merges the record of another host. Commutative, associative and idempotent.
    pub fn merge(&mut self, other: &Self) {
        self.cleared_at = self.cleared_at.max(other.cleared_at);
        self.deaths.extend(other.deaths.iter().cloned());
        self.prune_deaths();
    }

    /// Returns the consequence at `now`.
    pub fn verdict(&self, now: WallTime) -> Verdict {
        if self.deaths.is_empty() {
            return Verdict::Clean;
        }
        let until = self.last_death() + self.quarantine_duration();
        let total_share: u32 = self.deaths.iter().map(|death| death.share.0).sum();
        let reaches_limit =
            self.deaths.len() >= QUARANTINE_DEATHS && total_share >= QUARANTINE_SHARE_PER_MILLE;
        if reaches_limit && now < until { Verdict::Quarantined(until) } else { Verdict::Suspect }
    }

    /// Returns the time of the latest death or clearance.
    pub fn changed_at(&self) -> WallTime {
        self.cleared_at.max(self.last_death())
    }

    /// Returns the duration of the quarantine after the deaths so far: short for the first, and doubled with
    /// each death from the second on.
    fn quarantine_duration(&self) -> Millis {
        match self.deaths.len().saturating_sub(QUARANTINE_DEATHS) {
            0 => Millis(FIRST_QUARANTINE_MS),
            repeat_count => Millis(REPEAT_QUARANTINE_MS << (repeat_count - 1)),
        }
    }

    fn last_death(&self) -> WallTime {
        self.deaths.last().map_or(WallTime(0), |death| death.at)
    }

    fn prune_deaths(&mut self) {
        let cleared_at = self.cleared_at;
        self.deaths.retain(|death| death.at > cleared_at);
        while self.deaths.len() > MAX_DEATHS_KEPT {
            self.deaths.pop_first();
        }
    }
}

/// Crash histories of the requests of a service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashHistories {
    by_request: BTreeMap<Fingerprint, CrashHistory>,
}

impl CrashHistories {
    /// Returns the consequence of a request's crash history.
    pub fn verdict(&self, fingerprint: Fingerprint, now: WallTime) -> Verdict {
        self.by_request.get(&fingerprint).map_or(Verdict::Clean, |history| history.verdict(now))
    }

    /// Returns the histories of some requests.
    pub fn select(&self, fingerprints: &[Fingerprint]) -> Self {
        let known = fingerprints.iter().filter_map(|fingerprint| {
            Some((*fingerprint, self.by_request.get(fingerprint)?.clone()))
        });
        Self { by_request: known.collect() }
    }

    /// Adds a death to a request's crash history.
    pub fn add(&mut self, fingerprint: Fingerprint, death: Death) {
        self.by_request.entry(fingerprint).or_default().add(death);
    }

    /// Clears a suspect that was answered; has no effect during a quarantine.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: WallTime) {
        let Some(history) = self.by_request.get_mut(&fingerprint) else { return };
        if history.verdict(now) == Verdict::Suspect {
            history.clear(now);
        }
    }

    /// Merges the record of another host. Commutative, associative and idempotent.
    pub fn merge(&mut self, other: &Self) {
        for (fingerprint, history) in &other.by_request {
            self.by_request.entry(*fingerprint).or_default().merge(history);
        }
    }

    /// Removes histories older than the retention period, then those with the mildest verdict, oldest first, down
    /// to `max` requests.
    pub fn prune(&mut self, now: WallTime, max: usize) {
        self.by_request.retain(|_, history| history.changed_at() + Millis(RETENTION_MS) > now);
        while self.by_request.len() > max {
            let eviction_order =
                |history: &CrashHistory| (history.verdict(now), history.changed_at());
            let least = self.by_request.iter().min_by_key(|(_, history)| eviction_order(history));
            let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) else { return };
            self.by_request.remove(&fingerprint);
        }
    }

    /// Returns the number of requests with a crash history.
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// Returns whether no request has a crash history.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }
}
