//! Requests that crash the upstreams which run them.
//!
//! Such a request comes again with the same path and body. What was in flight when an upstream died is suspected; a
//! crash of an upstream with many requests in flight suspects each of them a little. A request that was alone, or was
//! in flight at several deaths, is refused for a while.

use skylarkdock_units::collections::FastMap;
use skylarkdock_units::times::{HostTime, Millis};

/// Fingerprint of what a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Fingerprint(pub u64);

/// Suspicion from which a request is refused, in thousandths of a certain crash.
const REFUSED_FROM: u32 = 1_900;
/// Time for which a suspicion is kept after the last crash. A crashed upstream is back after some seconds; an innocent
/// request is free again after this.
const KEPT: Millis = Millis(6_000);
/// Most fingerprints kept.
const MAX_KEPT: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct Suspect {
    weight: u32,
    deaths: u32,
    last: HostTime,
}

/// What was in flight at crashes of upstreams.
#[derive(Debug, Default)]
pub struct Crashes {
    suspects: FastMap<Fingerprint, Suspect>,
}

impl Crashes {
    /// Notes that an upstream died with these requests in flight.
    pub fn on_death(&mut self, in_flight: &[Fingerprint], now: HostTime) {
        let Some(weight) =
            1_000_u32.checked_div(u32::try_from(in_flight.len()).unwrap_or(u32::MAX))
        else {
            return;
        };
        self.suspects.retain(|_, suspect| now.since(suspect.last) < KEPT);
        if self.suspects.len() + in_flight.len() > MAX_KEPT {
            self.suspects.clear();
        }
        for print in in_flight {
            let suspect =
                self.suspects.entry(*print).or_insert(Suspect { weight: 0, deaths: 0, last: now });
            suspect.weight += weight;
            suspect.deaths += 1;
            suspect.last = now;
        }
    }

    /// Returns whether a request is to be refused.
    pub fn is_refused(&self, print: Fingerprint, now: HostTime) -> bool {
        self.suspects.get(&print).is_some_and(|suspect| {
            now.since(suspect.last) < KEPT
                && suspect.deaths >= 2
                && suspect.weight + suspect.deaths * 300 >= REFUSED_FROM
        })
    }

    /// Returns the number of deaths that a request was in flight at.
    pub fn deaths(&self, print: Fingerprint) -> u32 {
        self.suspects.get(&print).map_or(0, |suspect| suspect.deaths)
    }
}
