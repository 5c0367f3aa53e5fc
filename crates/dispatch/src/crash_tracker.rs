//! Detection of requests that crash the upstreams which run them.
//!
//! A request with the same path and body may arrive repeatedly, at any host, and crash each upstream that runs it.
//! Every request in flight at a crash becomes a suspect; the weight of the suspicion is divided by the number of
//! requests in flight. A request that was in flight at the crashes of several upstreams is refused for a while.
//!
//! A broken connection alone is no proof of a crash, since links reset connections and upstreams lose answers. It
//! counts as a crash once the upstream can't be connected to or is known to have restarted.

use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};

/// Hash that is equal for requests with the same content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Fingerprint(pub u64);

/// Suspicion from which a request is refused, in thousandths: the sum of the weight and [`BASE_SUSPICION`] over its
/// crashes, of which there must be at least two. A crash with no other request in flight has the weight 1,000.
const REFUSAL_SUSPICION: u32 = 1_900;
/// Suspicion per crash in addition to the weight that depends on the load, in thousandths.
const BASE_SUSPICION: u32 = 300;
/// Time after the last crash for which a suspicion is kept. A crashed upstream takes some seconds to restart, and the
/// request may be repeated in that time; a request that did not cause the crashes is accepted again afterwards.
const SUSPICION_LIFETIME: Millis = Millis(12_000);
/// Longest time between a broken connection and the confirmation of the crash that broke it.
const CONFIRMATION_WINDOW: Millis = Millis(3_000);
/// Time within which reports of a crash of one upstream, from several hosts, count as the same crash.
const DUPLICATE_WINDOW: Millis = Millis(2_000);
/// Largest number of suspects.
const MAX_FINGERPRINTS: usize = 4_096;
/// Largest number of crashes kept for a suspect; enough to refuse it.
const MAX_CRASHES_PER_FINGERPRINT: usize = 8;

/// Crash of an upstream with requests in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// Hash of the upstream id; the same on all hosts.
    pub upstream: u32,
    /// Requests in flight from one host.
    pub in_flight: Vec<Fingerprint>,
    /// Number of requests in flight from all hosts.
    pub load: u32,
}

/// Requests whose connections broke, on an upstream that is not yet known to have crashed.
#[derive(Debug, Clone)]
struct BrokenRequests {
    in_flight: Vec<Fingerprint>,
    load: u32,
    last: HostTime,
}

/// Crash of an upstream at which a suspect was in flight.
#[derive(Debug, Clone, Copy)]
struct SuspectedCrash {
    upstream: u32,
    weight: u32,
    at: HostTime,
}

/// Broken requests and suspects, as known to one host.
#[derive(Debug, Default)]
pub struct CrashTracker {
    broken: FastMap<UpstreamId, BrokenRequests>,
    suspects: FastMap<Fingerprint, Vec<SuspectedCrash>>,
}

impl CrashTracker {
    /// Records that a connection broke before the answer, while all hosts had `load` requests at the upstream.
    pub fn on_broken(
        &mut self,
        id: &UpstreamId,
        fingerprint: Fingerprint,
        load: u32,
        now: HostTime,
    ) {
        self.broken.retain(|_, broken| now.since(broken.last) < CONFIRMATION_WINDOW);
        let broken = self.broken.entry(id.clone()).or_insert_with(|| BrokenRequests {
            in_flight: Vec::new(),
            load: 0,
            last: now,
        });
        if !broken.in_flight.contains(&fingerprint) {
            broken.in_flight.push(fingerprint);
        }
        broken.load = broken.load.max(load);
        broken.last = now;
    }

    /// Records that an upstream can't be connected to or has restarted. Returns the crash if connections to it broke
    /// within the confirmation window.
    pub fn on_unreachable_or_restarted(
        &mut self,
        id: &UpstreamId,
        upstream: u32,
        now: HostTime,
    ) -> Option<Crash> {
        let broken = self.broken.remove(id)?;
        if now.since(broken.last) >= CONFIRMATION_WINDOW {
            return None;
        }
        let crash = Crash { upstream, in_flight: broken.in_flight, load: broken.load };
        self.on_crash(&crash, now);
        Some(crash)
    }

    /// Records a crash seen by this host or reported by another one. Returns whether it was new for any request in it.
    pub fn on_crash(&mut self, crash: &Crash, now: HostTime) -> bool {
        let mut is_new = false;
        let local_in_flight = u32::try_from(crash.in_flight.len()).unwrap_or(u32::MAX);
        let weight = 1_000 / crash.load.max(local_in_flight).max(1);
        self.suspects.retain(|_, crashes| {
            crashes.last().is_some_and(|latest| now.since(latest.at) < SUSPICION_LIFETIME)
        });
        if self.suspects.len() + crash.in_flight.len() > MAX_FINGERPRINTS {
            evict_suspects(&mut self.suspects);
        }
        for fingerprint in &crash.in_flight {
            let crashes = self.suspects.entry(*fingerprint).or_default();
            let is_known = crashes.iter().any(|suspected| {
                suspected.upstream == crash.upstream && now.since(suspected.at) < DUPLICATE_WINDOW
            });
            is_new |= !is_known;
            if !is_known && crashes.len() < MAX_CRASHES_PER_FINGERPRINT {
                crashes.push(SuspectedCrash { upstream: crash.upstream, weight, at: now });
            } else if let Some(last) = crashes.last_mut().filter(|_| !is_known) {
                last.at = now;
            }
        }
        is_new
    }

    /// Returns whether a request is refused because it probably crashes upstreams.
    pub fn is_refused(&self, fingerprint: Fingerprint, now: HostTime) -> bool {
        let Some(crashes) = self.suspects.get(&fingerprint) else { return false };
        let is_fresh =
            crashes.last().is_some_and(|latest| now.since(latest.at) < SUSPICION_LIFETIME);
        let suspicion: u32 = crashes.iter().map(|crash| crash.weight + BASE_SUSPICION).sum();
        is_fresh && crashes.len() >= 2 && suspicion >= REFUSAL_SUSPICION
    }

    /// Returns the number of recorded crashes at which a request was in flight.
    pub fn crash_count(&self, fingerprint: Fingerprint) -> usize {
        self.suspects.get(&fingerprint).map_or(0, Vec::len)
    }
}

/// Drops suspects of a single crash, and all suspects if too many remain. With so many suspects, a single suspicion
/// says little.
fn evict_suspects(suspects: &mut FastMap<Fingerprint, Vec<SuspectedCrash>>) {
    suspects.retain(|_, crashes| crashes.len() > 1);
    if suspects.len() > MAX_FINGERPRINTS / 2 {
        suspects.clear();
    }
}
