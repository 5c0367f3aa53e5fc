//! Estimate of the work that the requests of a route need, learnt from answers.
//!
//! A host sees only part of the answers, and the share of one route among many hosts is a few a second. The estimate
//! therefore starts at the mean of the service with the weight of a few answers, and returns to it while a route has
//! no answers.

use crate::upstream::as_f32;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::times::HostTime;
use xxhash_rust::xxh3;

/// Weight of the mean of the service in the estimate of a route, in answers.
const PRIOR_ANSWERS: f32 = 3.0;
/// Weight at which older answers are replaced by new ones, in answers. Longer memory would follow a change too late.
const MAX_ANSWERS: f32 = 40.0;
/// Time after which the weight of the answers of a route is halved, in milliseconds.
const HALF_LIFE_MS: f32 = 20_000.0;
/// Smallest estimate, in milliseconds, so that a route of very short requests does not count as free.
const MIN_WORK_MS: f32 = 1.0;
/// Largest sample as a multiple of the estimate. One request in 30 that takes seven times as long must not decide what
/// is expected of the others.
const MAX_SAMPLE_FACTOR: f32 = 3.0;
/// Deviation of a route without answers, as a fraction of its time.
const INITIAL_DEVIATION: f32 = 0.3;
/// Largest number of routes with an estimate; the one without answers for longest gives way.
const MAX_ROUTES: usize = 512;

/// Identifies the route of a request within a service; equal on all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct RouteKey(pub u64);

impl RouteKey {
    /// Returns the key of a route by its name.
    pub fn of(name: &str) -> Self {
        Self(xxh3::xxh3_64(name.as_bytes()))
    }
}

/// What a request of a route is expected to need.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Work {
    /// Time in a slot of an upstream, in milliseconds.
    pub slot_ms: f32,
    /// Time from the send to the answer, with the queue of the upstream, in milliseconds.
    pub answer_ms: f32,
    /// Mean absolute deviation of `answer_ms`, in milliseconds.
    pub deviation_ms: f32,
}

#[derive(Debug, Clone, Copy)]
struct Estimate {
    work: Work,
    answers: f32,
    at: HostTime,
}

impl Estimate {
    /// Returns the weight of the answers at `now`.
    fn weight(&self, now: HostTime) -> f32 {
        let age_ms = as_f32(u32::try_from(now.since(self.at).0).unwrap_or(u32::MAX));
        self.answers * (-age_ms / HALF_LIFE_MS).exp2()
    }
}

/// Estimates of the routes of one service on one host.
#[derive(Debug, Default)]
pub struct WorkEstimates {
    by_route: FastMap<RouteKey, Estimate>,
}

impl WorkEstimates {
    /// Records an answer: its time in a slot, and its time from the send to the answer. `mean_ms` is the mean time in a
    /// slot of all requests of the service.
    pub fn record(
        &mut self,
        route: RouteKey,
        slot_ms: f32,
        answer_ms: f32,
        mean_ms: f32,
        now: HostTime,
    ) {
        let expected = self.expected(route, mean_ms, now);
        let weight = self.by_route.get(&route).map_or(0.0, |estimate| estimate.weight(now));
        if weight == 0.0 && self.by_route.len() >= MAX_ROUTES {
            let oldest = self.by_route.iter().min_by_key(|(route, e)| (e.at, **route));
            if let Some(oldest) = oldest.map(|(route, _)| *route) {
                self.by_route.remove(&oldest);
            }
        }
        let total = (weight + PRIOR_ANSWERS + 1.0).min(MAX_ANSWERS);
        let moved = |old: f32, sample: f32| {
            old + (sample.min(old.max(MIN_WORK_MS) * MAX_SAMPLE_FACTOR) - old) / total
        };
        let work = Work {
            slot_ms: moved(expected.slot_ms, slot_ms),
            answer_ms: moved(expected.answer_ms, answer_ms),
            deviation_ms: moved(expected.deviation_ms, (answer_ms - expected.answer_ms).abs()),
        };
        let answers = (weight + 1.0).min(MAX_ANSWERS - PRIOR_ANSWERS);
        self.by_route.insert(route, Estimate { work, answers, at: now });
    }

    /// Returns what a request of a route is expected to need, if requests of the service take `mean_ms` in a slot on
    /// average.
    pub fn expected(&self, route: RouteKey, mean_ms: f32, now: HostTime) -> Work {
        let mean_ms = mean_ms.max(MIN_WORK_MS);
        let unseen = Work {
            slot_ms: mean_ms,
            answer_ms: mean_ms,
            deviation_ms: mean_ms * INITIAL_DEVIATION,
        };
        let Some(estimate) = self.by_route.get(&route) else { return unseen };
        // The last answer moved the estimate by its share of the prior, so the prior only returns with age.
        let aged = 1.0 - estimate.weight(now) / estimate.answers.max(1.0);
        let between = |learnt: f32, prior: f32| (learnt + (prior - learnt) * aged).max(MIN_WORK_MS);
        Work {
            slot_ms: between(estimate.work.slot_ms, unseen.slot_ms),
            answer_ms: between(estimate.work.answer_ms, unseen.answer_ms),
            deviation_ms: between(estimate.work.deviation_ms, unseen.deviation_ms),
        }
    }
}
