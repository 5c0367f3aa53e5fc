//! Configuration versions that hosts know to exist, and whether the one in force is out of date.
//!
//! A configuration may be large and late where small messages still arrive. So hosts tell each other which versions they
//! have, without the configurations. A host that knows of a newer version than it has knows that its own is out of date,
//! which the age of its last proof alone does not show: in an outage of the store all proofs are old.
//!
//! A version is claimed by the host that has it; others pass the claim on. A single wrong claim must not keep hosts from
//! serving: it counts for a limited time, and not at all once a later read of the store shows no such version.

use skylarkdock_units::times::{HostTime, Millis};

/// Time for which a version may have existed when hosts without it begin to refuse requests, in percent of the time within
/// which it has to be in force. The rest is for the way of the claim.
const REFUSE_PERCENT: u64 = 90;
/// Longest time for which a version that a host reads from the store counts as published before, in percent of the same
/// time. After an outage the last proof that it did not exist may be much older, and says nothing.
const MAX_PROOF_GAP_PERCENT: u64 = 55;
/// Time after it first heard of a newer version for which a host trusts a claim that no second host makes.
const SOLE_CLAIM_TIME: Millis = Millis(5_000);
/// Time after its publication for which a version is told. A host that has not heard of it by then was cut off.
const TELL_TIME: Millis = Millis(10_000);
/// Number of hosts whose claims are kept.
const MAX_ORIGINS: usize = 6;
/// Number of claims that are kept of each host.
const MAX_CLAIMS_PER_ORIGIN: usize = 4;
/// Number of claims in one message.
pub const MAX_TOLD: usize = 8;

/// Hash of the name of the host that has a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Origin(pub u32);

/// Claim of a host that it has a version, as told to other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Host that has the version.
    pub origin: Origin,
    /// The version.
    pub version: u64,
    /// Longest time for which the version may have existed.
    pub age: Millis,
}

/// Proof that the store had no newer version at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Proof {
    /// The time.
    pub at: HostTime,
    /// Newest version at that time.
    pub version: u64,
}

/// Why a host refuses requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outdated {
    /// Newest version that a host claims to have.
    pub version: u64,
    /// Host that claims to have it.
    pub origin: Origin,
    /// Number of hosts that have a newer version than this one.
    pub witnesses: usize,
    /// Longest time for which a newer version may have existed.
    pub age: Millis,
}

/// Time limits for configurations that are out of date.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    refuse_after: Millis,
    max_proof_gap: Millis,
}

impl Limits {
    /// Creates the limits for the time within which a configuration has to be in force.
    pub const fn new(apply_time: Millis) -> Self {
        Self {
            refuse_after: Millis(apply_time.0 * REFUSE_PERCENT / 100),
            max_proof_gap: Millis(apply_time.0 * MAX_PROOF_GAP_PERCENT / 100),
        }
    }
}

/// Returns the time from which on a version that a host gets at `now` may have been published. `absent_at` is the latest time
/// at which the store is known to this host to have had older versions only, and `told` the result on the host that this one
/// gets the version from, if it was another.
pub fn published_after(
    absent_at: HostTime,
    told: Option<HostTime>,
    limits: Limits,
    now: HostTime,
) -> HostTime {
    let earliest = told.unwrap_or(HostTime(now.0.saturating_sub(limits.max_proof_gap.0)));
    absent_at.max(earliest).min(now)
}

/// Claim with the times by this host's clock.
#[derive(Debug, Clone, Copy)]
struct KnownClaim {
    origin: Origin,
    version: u64,
    /// Earliest time at which the version may have been published.
    since: HostTime,
    /// When this host first heard of the claim.
    heard_at: HostTime,
}

/// Newer versions than the one in force that a host claims to have.
struct Witness {
    origin: Origin,
    version: u64,
    since: HostTime,
    heard_at: HostTime,
}

/// Versions that this host has or has heard of.
#[derive(Debug)]
pub struct KnownVersions {
    own: Origin,
    in_force: u64,
    claims: Vec<KnownClaim>,
    /// Newest version of which others say that this host had it, and when it heard so. One that is newer than the one in
    /// force is from before it was started again.
    before_start: Option<(u64, HostTime)>,
}

impl KnownVersions {
    /// Creates the state of a host that knows no version.
    pub const fn new(own: Origin) -> Self {
        Self { own, in_force: 0, claims: Vec::new(), before_start: None }
    }

    /// Records that this host puts a version in force that may have been published from `since` on.
    pub fn on_in_force(&mut self, version: u64, since: HostTime, now: HostTime) {
        if version <= self.in_force {
            return;
        }
        self.in_force = version;
        self.insert(KnownClaim { origin: self.own, version, since, heard_at: now }, now);
    }

    /// Records a claim that was told to this host.
    pub fn on_claim(&mut self, claim: Claim, now: HostTime) {
        let Claim { origin, version, age } = claim;
        if origin == self.own {
            if self.before_start.is_none_or(|(known, _)| known < version) {
                self.before_start = Some((version, now));
            }
        } else {
            let since = HostTime(now.0.saturating_sub(age.0));
            self.insert(KnownClaim { origin, version, since, heard_at: now }, now);
        }
    }

    fn insert(&mut self, claim: KnownClaim, now: HostTime) {
        let in_force = self.in_force;
        self.claims.retain(|known| known.version > in_force || is_told(known, now));
        if claim.version <= in_force && !is_told(&claim, now) {
            return;
        }
        let is_same = |known: &&mut KnownClaim| {
            known.origin == claim.origin && known.version == claim.version
        };
        if let Some(known) = self.claims.iter_mut().find(is_same) {
            known.since = known.since.min(claim.since);
            return;
        }
        let of_origin = self.claims.iter().filter(|known| known.origin == claim.origin).count();
        if of_origin >= MAX_CLAIMS_PER_ORIGIN {
            self.remove_least_useful(claim.origin);
        } else if of_origin == 0
            && claim.origin != self.own
            && self.count_other_origins() >= MAX_ORIGINS
            && !(claim.version > in_force && self.remove_oldest_origin())
        {
            return;
        }
        self.claims.push(claim);
    }

    /// Removes a claim of a host: the oldest version that is not newer than the one in force, or else the newest but one. The
    /// first newer version tells since when the one in force is out of date, and the newest what may be in force.
    fn remove_least_useful(&mut self, origin: Origin) {
        let in_force = self.in_force;
        let versions = self.claims.iter().filter(|known| known.origin == origin);
        let newest = versions.map(|known| known.version).max().unwrap_or_default();
        let usefulness = |known: &KnownClaim| {
            let is_newer = known.version > in_force;
            let by_age = if is_newer { u64::MAX - known.version } else { known.version };
            (is_newer, known.version == newest, by_age)
        };
        let claims = self.claims.iter().enumerate().filter(|(_, known)| known.origin == origin);
        if let Some((index, _)) = claims.min_by_key(|(_, known)| usefulness(known)) {
            self.claims.remove(index);
        }
    }

    /// Removes the claims of the other host with the oldest newest version, if that is not newer than the one in force. Returns
    /// whether there was one.
    fn remove_oldest_origin(&mut self) -> bool {
        let newest_of = |origin: Origin| {
            let claims = self.claims.iter().filter(|known| known.origin == origin);
            claims.map(|known| known.version).max().unwrap_or_default()
        };
        let others =
            self.claims.iter().map(|known| known.origin).filter(|other| *other != self.own);
        let oldest = others.map(|origin| (newest_of(origin), origin)).min();
        let Some((version, origin)) = oldest else { return false };
        if version > self.in_force {
            return false;
        }
        self.claims.retain(|known| known.origin != origin);
        true
    }

    /// Returns the number of other hosts of which claims are kept.
    fn count_other_origins(&self) -> usize {
        let mut origins: Vec<Origin> = self.claims.iter().map(|known| known.origin).collect();
        origins.retain(|origin| *origin != self.own);
        origins.sort_unstable();
        origins.dedup();
        origins.len()
    }

    /// Returns the claims to tell other hosts: the newest versions first, each of this host first.
    pub fn claims_to_tell(&self, now: HostTime) -> Vec<Claim> {
        let mut told: Vec<&KnownClaim> =
            self.claims.iter().filter(|known| is_told(known, now)).collect();
        told.sort_by_key(|known| (u64::MAX - known.version, known.origin != self.own, known.since));
        let claims = told.into_iter().take(MAX_TOLD).map(|known| Claim {
            origin: known.origin,
            version: known.version,
            age: now.since(known.since),
        });
        claims.collect()
    }

    /// Returns whether this host first heard of the newest version within the given time.
    pub fn has_news_since(&self, time: Millis, now: HostTime) -> bool {
        let newest = self.newest();
        let claims = self.claims.iter().filter(|known| known.version == newest);
        let first = claims.min_by_key(|known| known.heard_at);
        first.is_some_and(|known| now.since(known.heard_at) <= time && is_told(known, now))
    }

    /// Returns the version in force; zero if none is.
    pub const fn in_force(&self) -> u64 {
        self.in_force
    }

    /// Returns the newest version that this host has heard of; zero if none.
    pub fn newest(&self) -> u64 {
        self.claims.iter().map(|known| known.version).max().unwrap_or_default().max(self.in_force)
    }

    /// Returns the newest version that this host has, or has heard of without a later read of the store that refutes it;
    /// zero if none.
    pub fn newest_unrefuted(&self, proof: Proof) -> u64 {
        let is_unrefuted = |(version, heard_at): &(u64, HostTime)| {
            proof.version >= *version || proof.at <= *heard_at
        };
        let before_start = self.before_start.filter(is_unrefuted).map(|(version, _)| version);
        let witnesses = self.witnesses(proof);
        let newest = witnesses.iter().map(|witness| witness.version).chain(before_start).max();
        newest.unwrap_or_default().max(self.in_force)
    }

    /// Returns why this host, which has `proof`, must not handle requests by the configuration in force; `None` if it may,
    /// or has none.
    pub fn outdated(&self, proof: Proof, limits: Limits, now: HostTime) -> Option<Outdated> {
        let has_newer = self.claims.iter().any(|known| known.version > self.in_force);
        if self.in_force == 0 || !has_newer {
            return None;
        }
        let mut witnesses = self.witnesses(proof);
        witnesses.sort_by_key(|witness| witness.since);
        let is_due = |witness: &Witness| now.since(witness.since) >= limits.refuse_after;
        let sole = witnesses
            .iter()
            .find(|witness| is_due(witness) && now.since(witness.heard_at) < SOLE_CLAIM_TIME);
        let deciding = sole.or_else(|| witnesses.get(1).filter(|witness| is_due(witness)))?;
        let newest = witnesses.iter().max_by_key(|witness| witness.version)?;
        Some(Outdated {
            version: newest.version,
            origin: newest.origin,
            witnesses: witnesses.len(),
            age: now.since(deciding.since),
        })
    }

    /// Returns the hosts that claim to have newer versions, except those of which a claim is refuted: the store had no such
    /// version after this host had heard of it.
    fn witnesses(&self, proof: Proof) -> Vec<Witness> {
        let mut witnesses: Vec<Witness> = Vec::new();
        let newer = || self.claims.iter().filter(|known| known.version > self.in_force);
        // Within the same millisecond the claim may have been heard after the read.
        let is_refuted =
            |known: &KnownClaim| proof.version < known.version && proof.at > known.heard_at;
        for known in newer() {
            if newer().any(|other| other.origin == known.origin && is_refuted(other)) {
                continue;
            }
            match witnesses.iter_mut().find(|witness| witness.origin == known.origin) {
                Some(witness) => {
                    witness.version = witness.version.max(known.version);
                    witness.since = witness.since.min(known.since);
                    witness.heard_at = witness.heard_at.min(known.heard_at);
                }
                None => witnesses.push(Witness {
                    origin: known.origin,
                    version: known.version,
                    since: known.since,
                    heard_at: known.heard_at,
                }),
            }
        }
        witnesses
    }
}

fn is_told(claim: &KnownClaim, now: HostTime) -> bool {
    now.since(claim.since) < TELL_TIME
}
