//! Reproducible sequence of requests, drawn from a seeded random generator.

use crate::keys::KeyDistribution;
use skylarkdock_units::requests::RequestId;
use skylarkdock_units::times::{Millis, WallTime};
use std::sync::Arc;

/// A request that the plan has drawn and that is not sent yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Id of the request, the same for each of its attempts.
    pub id: RequestId,
    /// Routing key of the request.
    pub key: String,
    /// Whether the upstream must run the request at most once.
    pub once_only: bool,
}

/// Endless sequence of requests. Plans with equal seeds, distributions and start times draw the same keys and the same
/// once-only requests.
pub struct Plan {
    keys: Arc<KeyDistribution>,
    once_only_share: f64,
    rng: fastrand::Rng,
}

impl Plan {
    /// Returns the sequence for `seed`. `once_only_share`, from 0 to 1, is the probability that a request is once-only.
    pub fn new(keys: Arc<KeyDistribution>, once_only_share: f64, seed: u64) -> Self {
        Self { keys, once_only_share, rng: fastrand::Rng::with_seed(seed) }
    }

    /// Draws the next request. `elapsed` is its start time since the start of the run, `now` the same time on the wall
    /// clock.
    pub fn next(&mut self, elapsed: Millis, now: WallTime) -> PlannedRequest {
        let rank = self.keys.rank_at(self.rng.f64());
        let once_only = self.rng.f64() < self.once_only_share;
        let mut id_entropy = [0; 10];
        self.rng.fill(&mut id_entropy);
        let key = format!("key-{}", self.keys.key_index(rank, elapsed));
        PlannedRequest { id: RequestId::new(now, &id_entropy), key, once_only }
    }
}
