//! Blame for lost upstreams, by request, in a form that hosts can merge in any order.

use crate::fingerprint::Fingerprint;
use serde::{Deserialize, Serialize};
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{Millis, WallTime};
use std::collections::{BTreeMap, BTreeSet};

/// Lost upstreams after which a request is quarantined.
pub const MAX_DEATHS: usize = 2;

const FULL_SHARE: u32 = 1000;
const PROOF_SHARE: u32 = 2000;
const BLAME_LIMIT: u32 = 2000;
const DEATHS_KEPT: usize = 8;
/// First quarantine. Two losses are no proof, as upstreams are also lost for other reasons: then the request runs alone
/// once more. An innocent one is answered and free again.
const FIRST_QUARANTINE_MS: u64 = 4_000;
/// Quarantine after a loss that followed a first one.
const QUARANTINE_MS: u64 = 5 * 60 * 1000;
const FORGET_MS: u64 = 12 * 60 * 60 * 1000;

/// A part of the blame for one lost upstream, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Share(u32);

impl Share {
    /// The share of a request among `count` different ones in flight.
    pub fn among(count: usize) -> Self {
        let count = u32::try_from(count.max(1)).unwrap_or(u32::MAX);
        Self(FULL_SHARE / count)
    }

    /// The share of a suspect that was in flight alone.
    pub const ALONE: Self = Self(PROOF_SHARE);
}

/// The loss of an upstream while the request was in flight.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Death {
    /// When, by the holder's clock.
    pub at: WallTime,
    /// The upstream.
    pub upstream: UpstreamId,
    /// The request's part of the blame.
    pub share: Share,
}

/// What the blame of a request amounts to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// Nothing speaks against it.
    Clean,
    /// An upstream was lost while it was in flight; it has to run alone.
    Suspect,
    /// It must not run before this time.
    Quarantined(WallTime),
}

/// The blame of one request.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Blame {
    deaths: BTreeSet<Death>,
    cleared_at: WallTime,
}

impl Blame {
    /// Adds a death; only the latest few are kept.
    pub fn add(&mut self, death: Death) {
        self.deaths.insert(death);
        self.normalise();
    }

    /// Takes back the blame for every death so far: the request was answered.
    pub fn clear(&mut self, now: WallTime) {
        self.cleared_at = self.cleared_at.max(now).max(self.last_death());
        self.normalise();
    }

    /// Merges what another host knows. Commutative, associative and idempotent.
    pub fn merge(&mut self, other: &Self) {
        self.cleared_at = self.cleared_at.max(other.cleared_at);
        self.deaths.extend(other.deaths.iter().cloned());
        self.normalise();
    }

    /// Returns what the blame amounts to.
    pub fn verdict(&self, now: WallTime) -> Verdict {
        if self.deaths.is_empty() {
            return Verdict::Clean;
        }
        let until = self.last_death() + self.term();
        let total: u32 = self.deaths.iter().map(|death| death.share.0).sum();
        let is_proven = self.deaths.len() >= MAX_DEATHS && total >= BLAME_LIMIT;
        if is_proven && now < until { Verdict::Quarantined(until) } else { Verdict::Suspect }
    }

    /// Returns the time of the latest change.
    pub fn changed_at(&self) -> WallTime {
        self.cleared_at.max(self.last_death())
    }

    /// Returns the length of the quarantine: short after the deaths that led to the first, and from the second on
    /// doubled with each death.
    fn term(&self) -> Millis {
        match self.deaths.len().saturating_sub(MAX_DEATHS) {
            0 => Millis(FIRST_QUARANTINE_MS),
            repeats => Millis(QUARANTINE_MS << (repeats - 1)),
        }
    }

    fn last_death(&self) -> WallTime {
        self.deaths.last().map_or(WallTime(0), |death| death.at)
    }

    fn normalise(&mut self) {
        let cleared_at = self.cleared_at;
        self.deaths.retain(|death| death.at > cleared_at);
        while self.deaths.len() > DEATHS_KEPT {
            self.deaths.pop_first();
        }
    }
}

/// The blame of every request of a service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Blames {
    by_request: BTreeMap<Fingerprint, Blame>,
}

impl Blames {
    /// Returns what the blame of a request amounts to.
    pub fn verdict(&self, fingerprint: Fingerprint, now: WallTime) -> Verdict {
        self.by_request.get(&fingerprint).map_or(Verdict::Clean, |blame| blame.verdict(now))
    }

    /// Adds a death to a request's blame.
    pub fn add(&mut self, fingerprint: Fingerprint, death: Death) {
        self.by_request.entry(fingerprint).or_default().add(death);
    }

    /// Clears a request that was answered, unless it is in quarantine.
    pub fn clear(&mut self, fingerprint: Fingerprint, now: WallTime) {
        let Some(blame) = self.by_request.get_mut(&fingerprint) else { return };
        if blame.verdict(now) == Verdict::Suspect {
            blame.clear(now);
        }
    }

    /// Merges what another host knows. Commutative, associative and idempotent.
    pub fn merge(&mut self, other: &Self) {
        for (fingerprint, blame) in &other.by_request {
            self.by_request.entry(*fingerprint).or_default().merge(blame);
        }
    }

    /// Forgets what is long past, then the least that is above `max` requests.
    pub fn prune(&mut self, now: WallTime, max: usize) {
        self.by_request.retain(|_, blame| blame.changed_at() + Millis(FORGET_MS) > now);
        while self.by_request.len() > max {
            let weight = |blame: &Blame| (blame.verdict(now), blame.changed_at());
            let least = self.by_request.iter().min_by_key(|(_, blame)| weight(blame));
            let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) else { return };
            self.by_request.remove(&fingerprint);
        }
    }

    /// Returns how many requests are known.
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// Returns whether no request is known.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }
}
