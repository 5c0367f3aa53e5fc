//! Fleets, callers and checks for the trials.

#![allow(dead_code, clippy::unwrap_used, clippy::expect_used)]

use skylarkdock_httppath::executor::Executor;
use skylarkdock_httppath::pool::Pool;
use skylarkdock_outcomes::outcome::Outcome;
use skylarkdock_standins::clock;
use skylarkdock_trials::balancer::Balancer;
use skylarkdock_trials::callers::attempt::{self, CallerRequest};
use skylarkdock_trials::callers::{self, Callers, CallersSettings};
use skylarkdock_trials::checks;
use skylarkdock_trials::fleet::Fleet;
use skylarkdock_trials::fleet::settings::FleetSettings;
use skylarkdock_trials::history::{Attempt, AttemptResult};
use skylarkdock_trials::probes::Probes;
use skylarkdock_trials::programs::Programs;
use skylarkdock_trials::waiting;
use skylarkdock_units::times::Millis;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};

const RANGES: u32 = 8;
const TIMEOUT_MS: Millis = Millis(10_000);

/// Lets one fleet of a test program run at a time.
static ONE_FLEET: Mutex<()> = Mutex::new(());

/// Waits until no other fleet of this test program runs.
pub fn alone() -> MutexGuard<'static, ()> {
    ONE_FLEET.lock().unwrap_or_else(PoisonError::into_inner)
}

fn programs() -> Programs {
    static BUILT: OnceLock<Programs> = OnceLock::new();
    BUILT.get_or_init(|| Programs::build().unwrap()).clone()
}

/// Returns the settings of a small fleet: one host and one upstream in each of four zones.
pub fn settings(name: &str) -> FleetSettings {
    let logs = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("trials").join(name);
    let _ = std::fs::remove_dir_all(&logs);
    std::fs::create_dir_all(&logs).unwrap();
    programs().fleet().hosts(4).upstreams(4).ranges(RANGES).process_log_dir(Some(logs))
}

/// A fleet that serves, with callers and probes at work.
pub struct Bench {
    pub fleet: Fleet,
    pub callers: Callers,
    pub probes: Probes,
    pub executor: Executor,
    _alone: MutexGuard<'static, ()>,
}

impl Bench {
    pub fn start(settings: FleetSettings) -> Self {
        let alone = alone();
        let fleet = Fleet::start_serving(settings).unwrap();
        let executor = Executor::start("callers", 2).unwrap();
        let balancer = Balancer::start(&executor, fleet.http_addresses());
        let probes = Probes::start(&executor, balancer.clone(), RANGES);
        let settings = CallersSettings { callers: 8, ..CallersSettings::default() };
        let callers = Callers::start(&executor, balancer, settings);
        let bench = Self { fleet, callers, probes, executor, _alone: alone };
        bench.await_requests(100);
        bench
    }

    /// Waits until the callers have started some more requests.
    pub fn await_requests(&self, more: u64) {
        let enough = self.callers.requests() + more;
        waiting::until("callers go on", || Ok(self.callers.requests() >= enough)).unwrap();
    }

    /// Waits until a key of each range is served again.
    pub fn await_served(&self) {
        let now = clock::host_now();
        waiting::until("all keys are served", || Ok(self.probes.all_served_since(now))).unwrap();
    }

    /// Ends the callers and checks all that they were answered.
    pub fn finish(self, planned: bool) -> Vec<Attempt> {
        let Self { fleet, callers, probes, .. } = self;
        drop(probes);
        let history = callers.finish();
        let upstream_history = fleet.upstream_history().unwrap();
        let violations = checks::check(&history, &upstream_history, planned);
        assert!(violations.is_empty(), "{} violations: {violations:#?}", violations.len());
        let once_only =
            |attempt: &&Attempt| attempt.once_only && attempt.outcome() == Some(Outcome::Done);
        assert!(history.iter().filter(once_only).count() > 0);
        history
    }
}

/// Sends one request through a host and returns what came back.
pub fn send_once(
    executor: &Executor,
    host_addr: SocketAddr,
    key: &str,
    once_only: bool,
) -> AttemptResult {
    let pool = Pool::builder(executor.clone()).max_idle(0).build();
    let id = callers::new_id(&mut fastrand::Rng::new());
    let request = CallerRequest { id, key: key.to_owned(), once_only };
    async_io::block_on(attempt::send(&pool, &request, host_addr, TIMEOUT_MS))
}

pub fn is_done(result: &AttemptResult) -> bool {
    matches!(result, AttemptResult::Answer(answer) if answer.outcome == Some(Outcome::Done))
}
