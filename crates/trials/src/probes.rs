//! Probes send requests for one key per range at a fixed interval and measure how long a key is not served.
//!
//! Each key is probed with repeatable and with once-only requests, since a new holder may start to serve the two at
//! different times.

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

/// Interval between two probes of a key with the same kind of request.
pub const PROBE_INTERVAL_MS: Millis = Millis(40);

const PROBE_TIMEOUT_MS: Millis = Millis(1_000);
/// First seed of the probes, kept apart from the callers' seeds, since equal seeds generate equal request ids.
const FIRST_SEED: u64 = 1 << 63;
const MAX_OPEN_CONNECTIONS: usize = 1_000;
const MAX_PROBED_RANGES: u32 = 32;
const MAX_KEY_CANDIDATES: u32 = 100_000;

/// Results of the probes of one key with one kind of request.
#[derive(Debug, Clone, Default)]
struct ProbeResults {
    key: String,
    /// Times of the answers with outcome `done`, in ascending order.
    served_at: Vec<HostTime>,
    /// Description of the latest probe without such an answer.
    last_failure: String,
}

type SharedResults = Arc<Mutex<Vec<ProbeResults>>>;

/// Longest time without service of each probed key.
#[derive(Debug, Clone, Default)]
pub struct Gaps {
    /// Values for repeatable requests.
    pub repeatable: Vec<Millis>,
    /// Values for once-only requests.
    pub once_only: Vec<Millis>,
}

impl Gaps {
    /// Appends the values of `other`.
    pub fn append(&mut self, mut other: Self) {
        self.repeatable.append(&mut other.repeatable);
        self.once_only.append(&mut other.once_only);
    }
}

/// Running probes; they stop when this is dropped.
pub struct Probes {
    results: SharedResults,
    _tasks: Vec<Task<()>>,
}

#[derive(Clone)]
struct Prober {
    executor: Executor,
    pool: Pool,
    balancer: Balancer,
    results: SharedResults,
}

impl Probes {
    /// Starts to probe one key for each of the first 32 ranges.
    pub fn start(executor: &Executor, balancer: Balancer, ranges: u32) -> Self {
        let keys = key_per_range(ranges);
        let results: SharedResults = Arc::new(Mutex::new(
            keys.iter()
                .chain(&keys)
                .map(|key| ProbeResults { key: key.clone(), ..ProbeResults::default() })
                .collect(),
        ));
        let prober = Prober {
            executor: executor.clone(),
            pool: Pool::builder(executor.clone()).max_open(MAX_OPEN_CONNECTIONS).build(),
            balancer,
            results: Arc::clone(&results),
        };
        let kinds = [false, true].into_iter();
        let keys_with_kind =
            kinds.flat_map(|once_only| keys.iter().map(move |key| (once_only, key)));
        let probe = |(index, (once_only, key)): (usize, (bool, &String))| {
            executor.spawn(prober.clone().probe(index, key.clone(), once_only))
        };
        let tasks = keys_with_kind.enumerate().map(probe).collect();
        Self { results, _tasks: tasks }
    }

    /// Returns the longest time without service of each key between `from` and `to`.
    pub fn gaps(&self, from: HostTime, to: HostTime) -> Gaps {
        let results = self.results.lock().unwrap_or_else(PoisonError::into_inner);
        let gaps = results.iter().map(|results| longest_gap(&results.served_at, from, to));
        let mut repeatable: Vec<Millis> = gaps.collect();
        let once_only = repeatable.split_off(repeatable.len() / 2);
        Gaps { repeatable, once_only }
    }

    /// Returns whether each key was served after `from` for both kinds of requests.
    pub fn all_served_since(&self, from: HostTime) -> bool {
        let results = self.results.lock().unwrap_or_else(PoisonError::into_inner);
        results.iter().all(|results| results.is_served_since(from))
    }

    /// Returns the keys that were not served after `from`, each with its latest failure.
    pub fn unserved_since(&self, from: HostTime) -> Vec<String> {
        let results = self.results.lock().unwrap_or_else(PoisonError::into_inner);
        let unserved = results.iter().filter(|results| !results.is_served_since(from));
        unserved.map(|results| format!("{}: {}", results.key, results.last_failure)).collect()
    }
}

impl ProbeResults {
    fn is_served_since(&self, from: HostTime) -> bool {
        self.served_at.last().is_some_and(|time| *time > from)
    }

    fn record(&mut self, result: &AttemptResult) {
        if let AttemptResult::Answer(answer) = result
            && answer.outcome == Some(Outcome::Done)
        {
            self.served_at.push(clock::host_now());
            return;
        }
        let reason = result.reason().unwrap_or_default();
        self.last_failure = format!("{} {reason}", result.label());
    }
}

impl Prober {
    async fn probe(self, index: usize, key: String, once_only: bool) {
        let mut rng = fastrand::Rng::with_seed(FIRST_SEED + index as u64);
        loop {
            let request = CallerRequest { id: new_id(&mut rng), key: key.clone(), once_only };
            let host_addr = self.balancer.pick(rng.usize(..));
            let (pool, results) = (self.pool.clone(), Arc::clone(&self.results));
            let send = async move {
                let result = attempt::send(&pool, &request, host_addr, PROBE_TIMEOUT_MS).await;
                results.lock().unwrap_or_else(PoisonError::into_inner)[index].record(&result);
            };
            self.executor.spawn(send).detach();
            Timer::after(PROBE_INTERVAL_MS.duration()).await;
        }
    }
}

/// Returns one key for each of the first 32 ranges, in order of range.
pub fn key_per_range(ranges: u32) -> Vec<String> {
    let key_of = |range: u32| {
        let candidates = (0..MAX_KEY_CANDIDATES).map(|number| format!("probe-{number}"));
        candidates.into_iter().find(|key| KeyHash::of(key).range(ranges).0 == range)
    };
    (0..ranges.min(MAX_PROBED_RANGES)).filter_map(key_of).collect()
}

/// Returns the longest time between `from` and `to` without one of the times in `served_at`, which are sorted.
pub fn longest_gap(served_at: &[HostTime], from: HostTime, to: HostTime) -> Millis {
    let within = served_at.iter().filter(|time| **time > from && **time < to);
    let mut longest = Millis(0);
    let mut last = from;
    for time in within.chain([&to]) {
        longest = longest.max(time.since(last));
        last = last.max(*time);
    }
    longest
}
