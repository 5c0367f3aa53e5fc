//! Time for which a caller has been trying, told from the remaining time that it names.
//!
//! A caller that was refused and comes back names the rest of its time, while the objective of a route counts from the
//! arrival at a host. Callers of one route usually start with the same time, so the largest one that is common tells how
//! much a caller has used.

use crate::work::RouteKey;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::times::Millis;

/// Difference up to which two times count as equal: two network transfers.
const TOLERANCE: Millis = Millis(15);
/// Part of a route's requests that have to name the full time, in percent. Two of three may be returns; where fewer
/// name the same time, callers start with different times and nothing can be told.
const MIN_FULL_PERCENT: u32 = 20;
/// Requests after which counts are halved.
const MEMORY: u32 = 200;
/// Largest number of routes; all are learnt again beyond it.
const MAX_ROUTES: usize = 512;
/// Requests from which the full time is known.
const MIN_REQUESTS: u32 = 10;

#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    full: Millis,
    at_full: u32,
    all: u32,
}

/// Full times that the callers of each route name.
#[derive(Debug, Default)]
pub(super) struct CallerAges {
    by_route: FastMap<RouteKey, Seen>,
}

impl CallerAges {
    /// Records the remaining time that a caller names and returns how much of its time it has used, as far as can be
    /// told.
    pub(super) fn observe(&mut self, route: RouteKey, remaining: Millis) -> Millis {
        if self.by_route.len() >= MAX_ROUTES && !self.by_route.contains_key(&route) {
            self.by_route.clear();
        }
        let seen = self.by_route.entry(route).or_default();
        if remaining.0 > seen.full.0 + TOLERANCE.0 {
            *seen = Seen { full: remaining, at_full: 0, all: 0 };
        }
        seen.all += 1;
        let used = Millis(seen.full.0.saturating_sub(remaining.0));
        let is_full = used <= TOLERANCE;
        seen.at_full += u32::from(is_full);
        let is_known =
            seen.all >= MIN_REQUESTS && seen.at_full * 100 >= seen.all * MIN_FULL_PERCENT;
        if seen.all >= MEMORY {
            // A full time that is no longer common gives way to a shorter one.
            if !is_known {
                *seen = Seen::default();
            } else {
                seen.all /= 2;
                seen.at_full /= 2;
            }
        }
        if is_full || !is_known { Millis(0) } else { used }
    }
}
