//! Simulates the load of keys on upstreams under a placement strategy, while hot keys change and upstreams join and leave.

use crate::baselines;
use crate::keys::Keys;
use serde::Serialize;
use skylarkdock_placement::hot::{self, KeyLoad};
use skylarkdock_placement::upstreams::{self, RangePlacement};
use skylarkdock_policy::hotkeys::HotKeySketch;
use skylarkdock_records::Service;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{RangeIndex, UpstreamId};
use skylarkdock_units::keys::KeyHash;
use skylarkdock_units::times::HostTime;
use std::collections::BTreeMap;

const SLACK_PERCENT: u64 = 5;
const SAMPLED_REQUESTS: usize = 400_000;
const LOAD_BOUND: f64 = 1.05;
/// Number of placement passes after each change of the load.
const PLACEMENT_PASSES: usize = 3;

/// Strategy that assigns keys to upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Strategy {
    /// Ranges with equal weights.
    EqualRanges,
    /// Ranges weighted by their measured load.
    WeightedRanges,
    /// Ranges weighted by their measured load, with hot keys split out and placed one by one.
    SplitKeys,
    /// Index of the range modulo the number of upstreams.
    Modulo,
    /// Consistent hashing with bounded loads.
    Bounded,
}

impl Strategy {
    /// All strategies, in the order of the report.
    pub const ALL: [Self; 5] =
        [Self::EqualRanges, Self::WeightedRanges, Self::SplitKeys, Self::Modulo, Self::Bounded];
}

/// Placement of the keys of one service under one strategy.
pub struct Simulation {
    strategy: Strategy,
    service: Service,
    rng: fastrand::Rng,
    ranges: BTreeMap<RangeIndex, RangePlacement>,
    split: FastMap<KeyHash, UpstreamId>,
}

impl Simulation {
    /// Creates a simulation in which no range has an upstream.
    pub fn new(strategy: Strategy, service: Service, seed: u64) -> Self {
        let place = |index| (RangeIndex(index), RangePlacement { upstream: None, weight: 1 });
        let ranges = (0..service.ranges).map(place).collect();
        let rng = fastrand::Rng::with_seed(seed);
        Self { strategy, service, rng, ranges, split: FastMap::default() }
    }

    /// Replaces the service, such as by one with another set of upstreams.
    pub fn set_service(&mut self, service: Service) {
        self.service = service;
    }

    /// Draws requests, measures their load as a host would, and runs `PLACEMENT_PASSES` placement passes.
    pub fn settle(&mut self, keys: &Keys) {
        let keys = self.observe(keys);
        for _ in 0..PLACEMENT_PASSES {
            self.place(&keys);
        }
    }

    /// Returns the load of the busiest upstream divided by the mean load, computed from the true shares of the keys.
    pub fn imbalance(&self, keys: &Keys) -> f64 {
        let mut loads: BTreeMap<&UpstreamId, f64> = BTreeMap::new();
        for (key, share) in keys.shares() {
            if let Some(owner) = self.owner(key) {
                *loads.entry(owner).or_default() += share;
            }
        }
        let max_load = loads.values().copied().fold(0.0, f64::max);
        max_load * self.service.upstreams.len() as f64
    }

    /// Returns the owning upstream of each key.
    pub fn owners(&self, keys: &Keys) -> FastMap<KeyHash, UpstreamId> {
        keys.shares().filter_map(|(key, _)| Some((key, self.owner(key)?.clone()))).collect()
    }

    /// Returns the number of keys that are split out of their ranges.
    pub fn split_keys(&self) -> usize {
        self.split.len()
    }

    fn owner(&self, key: KeyHash) -> Option<&UpstreamId> {
        let range = || self.ranges.get(&self.service.range_of(key))?.upstream.as_ref();
        self.split.get(&key).or_else(range)
    }

    /// Draws requests and returns the load of the hottest keys.
    fn observe(&mut self, keys: &Keys) -> Vec<KeyLoad> {
        let mut sketch = HotKeySketch::new(HostTime(0));
        self.ranges.values_mut().for_each(|placed| placed.weight = 0);
        for _ in 0..SAMPLED_REQUESTS {
            let key = keys.draw(self.rng.f64());
            if self.strategy == Strategy::SplitKeys {
                sketch.observe(key, HostTime(0));
            }
            if let Some(placed) = self.ranges.get_mut(&self.service.range_of(key)) {
                placed.weight += 1;
            }
        }
        self.ranges.values_mut().for_each(|placed| placed.weight = placed.weight.max(1));
        let hottest = sketch.hottest(2 * hot::MAX_SPLIT_KEYS).into_iter();
        let load = |hot: skylarkdock_policy::hotkeys::HotKey| KeyLoad {
            key: hot.key,
            weight: hot.count - hot.error,
            upstream: None,
        };
        hottest.map(load).collect()
    }

    fn place(&mut self, keys: &[KeyLoad]) {
        let ids: Vec<String> = self.service.upstreams.iter().map(|u| u.id.to_string()).collect();
        let weights: Vec<u64> = self.ranges.values().map(|placed| placed.weight).collect();
        match self.strategy {
            Strategy::EqualRanges => {
                let mut equal = self.ranges.clone();
                equal.values_mut().for_each(|placed| placed.weight = 1);
                let target =
                    upstreams::target_owners(&self.service, &equal, &|_| true, SLACK_PERCENT);
                self.set_owners(target);
            }
            Strategy::WeightedRanges => {
                let target =
                    upstreams::target_owners(&self.service, &self.ranges, &|_| true, SLACK_PERCENT);
                self.set_owners(target);
            }
            Strategy::SplitKeys => self.place_split(keys),
            Strategy::Modulo => self.set_owners_by_name(baselines::modulo(weights.len(), &ids)),
            Strategy::Bounded => {
                self.set_owners_by_name(baselines::bounded(&weights, &ids, LOAD_BOUND))
            }
        }
    }

    fn place_split(&mut self, keys: &[KeyLoad]) {
        let mut keys = keys.to_vec();
        keys.iter_mut().for_each(|load| load.upstream = self.split.get(&load.key).cloned());
        let target =
            hot::target_placement(&self.service, &self.ranges, &keys, &|_| true, SLACK_PERCENT);
        self.split =
            target.hot.into_values().flatten().map(|hot| (hot.key, hot.upstream)).collect();
        self.set_owners(target.ranges);
    }

    fn set_owners(&mut self, target: BTreeMap<RangeIndex, UpstreamId>) {
        for (index, owner) in target {
            if let Some(placed) = self.ranges.get_mut(&index) {
                placed.upstream = Some(owner);
            }
        }
    }

    fn set_owners_by_name(&mut self, owners: Vec<String>) {
        for (placed, owner) in self.ranges.values_mut().zip(owners) {
            placed.upstream = owner.parse().ok();
        }
    }
}
