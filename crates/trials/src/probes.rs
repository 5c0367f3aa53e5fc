//! Probes: requests for one key per range, sent on a schedule, that measure for how long a key is not served.
//!
//! Each key is probed with repeatable and with once-only requests, since a new holder can serve the two from
//! different times on.

use crate::balancer::Balancer;
use crate::callers::attempt::{self, CallerRequest};
use crate::callers::new_id;
use crate::history::AttemptResult;
use async_executor::Task;
use async_io::Timer;
use skylarkdock_httppath::executor::Executor;
use skylarkdock_httppath::pool::Pool;
use skylarkdock_outcomes::outcome::Outcome;
use skylarkdock_standins::clock;
use skylarkdock_units::keys::KeyHash;
use skylarkdock_units::times::{HostTime, Millis};
use std::sync::{Arc, Mutex, PoisonError};

/// Time between two probes of a key.
pub const INTERVAL_MS: Millis = Millis(40);

const TIMEOUT_MS: Millis = Millis(1_000);
/// Start of the probes' seeds, apart from those of callers, since equal seeds give equal request ids.
const SEED: u64 = 1 << 63;
const MAX_OPEN: usize = 1_000;
const MAX_KEYS: u32 = 32;
const MAX_TRIES: u32 = 100_000;

/// What probes of one key and kind found.
#[derive(Debug, Clone, Default)]
struct Found {
    key: String,
    /// When probes were answered.
    served: Vec<HostTime>,
    /// How the last probe that was not answered ended.
    last_failure: String,
}

type Served = Arc<Mutex<Vec<Found>>>;

/// Longest times without service, one for each key.
#[derive(Debug, Clone, Default)]
pub struct Gaps {
    /// Of repeatable requests.
    pub repeatable: Vec<Millis>,
    /// Of once-only requests.
    pub once_only: Vec<Millis>,
}

impl Gaps {
    /// Adds all of another.
    pub fn append(&mut self, mut other: Self) {
        self.repeatable.append(&mut other.repeatable);
        self.once_only.append(&mut other.once_only);
    }
}

/// Probes at work.
pub struct Probes {
    served: Served,
    _tasks: Vec<Task<()>>,
}

#[derive(Clone)]
struct Prober {
    executor: Executor,
    pool: Pool,
    balancer: Balancer,
    served: Served,
}

impl Probes {
    /// Starts to probe a key of each range, of at most 32 ranges.
    pub fn start(executor: &Executor, balancer: Balancer, ranges: u32) -> Self {
        let keys = keys_of_ranges(ranges);
        let served: Served = Arc::new(Mutex::new(
            keys.iter()
                .chain(&keys)
                .map(|key| Found { key: key.clone(), ..Found::default() })
                .collect(),
        ));
        let prober = Prober {
            executor: executor.clone(),
            pool: Pool::builder(executor.clone()).max_open(MAX_OPEN).build(),
            balancer,
            served: Arc::clone(&served),
        };
        let kinds = [false, true].into_iter();
        let probed = kinds.flat_map(|once_only| keys.iter().map(move |key| (once_only, key)));
        let probe = |(place, (once_only, key)): (usize, (bool, &String))| {
            executor.spawn(prober.clone().probe(place, key.clone(), once_only))
        };
        let tasks = probed.enumerate().map(probe).collect();
        Self { served, _tasks: tasks }
    }

    /// Returns for each key the longest time between `from` and `to` in which it was not served.
    pub fn gaps(&self, from: HostTime, to: HostTime) -> Gaps {
        let served = self.served.lock().unwrap_or_else(PoisonError::into_inner);
        let gaps = served.iter().map(|found| longest_gap(&found.served, from, to));
        let mut repeatable: Vec<Millis> = gaps.collect();
        let once_only = repeatable.split_off(repeatable.len() / 2);
        Gaps { repeatable, once_only }
    }

    /// Returns whether each key was served since `from`, both kinds of requests.
    pub fn all_served_since(&self, from: HostTime) -> bool {
        let served = self.served.lock().unwrap_or_else(PoisonError::into_inner);
        served.iter().all(|found| found.is_served_since(from))
    }

    /// Returns the keys that were not served since `from`, each with its last failure.
    pub fn unserved_since(&self, from: HostTime) -> Vec<String> {
        let served = self.served.lock().unwrap_or_else(PoisonError::into_inner);
        let unserved = served.iter().filter(|found| !found.is_served_since(from));
        unserved.map(|found| format!("{}: {}", found.key, found.last_failure)).collect()
    }
}

impl Found {
    fn is_served_since(&self, from: HostTime) -> bool {
        self.served.last().is_some_and(|end| *end > from)
    }

    fn note(&mut self, result: &AttemptResult) {
        if let AttemptResult::Answer(answer) = result
            && answer.outcome == Some(Outcome::Done)
        {
            self.served.push(clock::host_now());
            return;
        }
        let reason = result.reason().unwrap_or_default();
        self.last_failure = format!("{} {reason}", result.label());
    }
}

impl Prober {
    async fn probe(self, place: usize, key: String, once_only: bool) {
        let mut rng = fastrand::Rng::with_seed(SEED + place as u64);
        loop {
            let request = CallerRequest { id: new_id(&mut rng), key: key.clone(), once_only };
            let host_addr = self.balancer.pick(rng.usize(..));
            let (pool, served) = (self.pool.clone(), Arc::clone(&self.served));
            let send = async move {
                let result = attempt::send(&pool, &request, host_addr, TIMEOUT_MS).await;
                served.lock().unwrap_or_else(PoisonError::into_inner)[place].note(&result);
            };
            self.executor.spawn(send).detach();
            Timer::after(INTERVAL_MS.duration()).await;
        }
    }
}

/// Returns one key for each of the first ranges.
pub fn keys_of_ranges(ranges: u32) -> Vec<String> {
    let key_of = |range: u32| {
        let candidates = (0..MAX_TRIES).map(|number| format!("probe-{number}"));
        candidates.into_iter().find(|key| KeyHash::of(key).range(ranges).0 == range)
    };
    (0..ranges.min(MAX_KEYS)).filter_map(key_of).collect()
}

/// Returns the longest time between `from` and `to` without one of the sorted `ends`.
pub fn longest_gap(ends: &[HostTime], from: HostTime, to: HostTime) -> Millis {
    let within = ends.iter().filter(|end| **end > from && **end < to);
    let mut longest = Millis(0);
    let mut last = from;
    for end in within.chain([&to]) {
        longest = longest.max(end.since(last));
        last = last.max(*end);
    }
    longest
}
