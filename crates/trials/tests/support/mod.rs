//! Starts small fleets with callers and probes for the tests, and checks their histories.

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
const REQUEST_TIMEOUT_MS: Millis = Millis(10_000);

/// Held by the test whose fleet is running, so that the fleets of a test binary run one at a time.
static FLEET_LOCK: Mutex<()> = Mutex::new(());

/// Waits until no other fleet of this test binary is running.
pub fn lock_fleet() -> MutexGuard<'static, ()> {
    FLEET_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

fn programs() -> Programs {
    static PROGRAMS: OnceLock<Programs> = OnceLock::new();
    PROGRAMS.get_or_init(|| Programs::build().unwrap()).clone()
}

/// Returns the settings of a small fleet: one host and one upstream in each of four zones.
pub fn settings(name: &str) -> FleetSettings {
    let process_log_dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("trials").join(name);
    let _ = std::fs::remove_dir_all(&process_log_dir);
    std::fs::create_dir_all(&process_log_dir).unwrap();
    programs().fleet().hosts(4).upstreams(4).ranges(RANGES).process_log_dir(Some(process_log_dir))
}

/// A serving fleet with running callers and probes.
pub struct TrialFleet {
    pub fleet: Fleet,
    pub callers: Callers,
    pub probes: Probes,
    pub executor: Executor,
    _fleet_lock: MutexGuard<'static, ()>,
}

impl TrialFleet {
    pub fn start(settings: FleetSettings) -> Self {
        let fleet_lock = lock_fleet();
        let fleet = Fleet::start_serving(settings).unwrap();
        let executor = Executor::start("callers", 2).unwrap();
        let balancer = Balancer::start(&executor, fleet.http_addresses());
        let probes = Probes::start(&executor, balancer.clone(), RANGES);
        let settings = CallersSettings { callers: 8, ..CallersSettings::default() };
        let callers = Callers::start(&executor, balancer, settings);
        let trial = Self { fleet, callers, probes, executor, _fleet_lock: fleet_lock };
        trial.wait_for_requests(100);
        trial
    }

    /// Waits until the callers have started `more` further requests.
    pub fn wait_for_requests(&self, more: u64) {
        let target = self.callers.requests() + more;
        waiting::until("the callers have started further requests", || {
            Ok(self.callers.requests() >= target)
        })
        .unwrap();
    }

    /// Waits until the probed key of each range is served for both kinds of requests.
    pub fn wait_until_served(&self) {
        let now = clock::host_now();
        waiting::until("all probed keys are served", || Ok(self.probes.all_served_since(now)))
            .unwrap();
    }

    /// Stops the callers and asserts that the histories violate no check and have a completed once-only request.
    pub fn finish(self, planned_stops_only: bool) -> Vec<Attempt> {
        let Self { fleet, callers, probes, .. } = self;
        drop(probes);
        let history = callers.finish();
        let upstream_history = fleet.upstream_history().unwrap();
        let violations = checks::check(&history, &upstream_history, planned_stops_only);
        assert!(violations.is_empty(), "{} violations: {violations:#?}", violations.len());
        let is_done_once_only =
            |attempt: &&Attempt| attempt.once_only && attempt.outcome() == Some(Outcome::Done);
        assert!(history.iter().filter(is_done_once_only).count() > 0);
        history
    }
}

/// Sends one request to the host at `host_addr` and returns the result.
pub fn send_once(
    executor: &Executor,
    host_addr: SocketAddr,
    key: &str,
    once_only: bool,
) -> AttemptResult {
    let pool = Pool::builder(executor.clone()).max_idle(0).build();
    let id = callers::new_id(&mut fastrand::Rng::new());
    let request = CallerRequest { id, key: key.to_owned(), once_only };
    async_io::block_on(attempt::send(&pool, &request, host_addr, REQUEST_TIMEOUT_MS))
}

pub fn is_done(result: &AttemptResult) -> bool {
    matches!(result, AttemptResult::Answer(answer) if answer.outcome == Some(Outcome::Done))
}
