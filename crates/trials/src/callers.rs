//! Callers that send requests one after another and resend those whose outcome is unknown.

pub mod attempt;

use crate::balancer::Balancer;
use crate::callers::attempt::CallerRequest;
use crate::history::{Attempt, AttemptResult, History};
use async_executor::Task;
use async_io::Timer;
use skylarkdock_httppath::executor::Executor;
use skylarkdock_httppath::pool::Pool;
use skylarkdock_outcomes::outcome::Outcome;
use skylarkdock_standins::clock;
use skylarkdock_units::requests::RequestId;
use skylarkdock_units::times::Millis;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

const MAX_ATTEMPTS: u32 = 8;
const RESEND_DELAY_MS: Millis = Millis(50);
const ATTEMPT_TIMEOUT_MS: Millis = Millis(4_000);
/// Share of `not-run` answers after which the request is resent with the same id.
const RESEND_SHARE_AFTER_NOT_RUN: f64 = 0.5;

/// Settings of the callers.
#[derive(Debug, Clone)]
pub struct CallersSettings {
    /// Number of callers that send concurrently.
    pub callers: usize,
    /// Number of keys that requests are spread over.
    pub keys: u32,
    /// Share of once-only requests, 0 to 1.
    pub once_only: f64,
    /// Seed of the random choices.
    pub seed: u64,
}

impl Default for CallersSettings {
    fn default() -> Self {
        Self { callers: 16, keys: 200, once_only: 0.5, seed: 0 }
    }
}

/// Running callers.
pub struct Callers {
    shared: Arc<Shared>,
    tasks: Vec<Task<()>>,
}

struct Shared {
    settings: CallersSettings,
    pool: Pool,
    balancer: Balancer,
    history: History,
    stopped: AtomicBool,
    requests: AtomicU64,
}

impl Callers {
    /// Starts the callers.
    pub fn start(executor: &Executor, balancer: Balancer, settings: CallersSettings) -> Self {
        let shared = Arc::new(Shared {
            pool: Pool::builder(executor.clone()).build(),
            balancer,
            history: History::default(),
            stopped: AtomicBool::new(false),
            requests: AtomicU64::new(0),
            settings,
        });
        let caller = |number| {
            let seed = shared.settings.seed.wrapping_mul(1_000_003).wrapping_add(number);
            executor.spawn(run_caller(Arc::clone(&shared), fastrand::Rng::with_seed(seed)))
        };
        let tasks = (0..shared.settings.callers as u64).map(caller).collect();
        Self { shared, tasks }
    }

    /// Returns the number of requests started so far.
    pub fn requests(&self) -> u64 {
        self.shared.requests.load(Ordering::Relaxed)
    }

    /// Stops starting requests, waits for the running ones and returns all attempts.
    pub fn finish(self) -> Vec<Attempt> {
        self.shared.stopped.store(true, Ordering::Relaxed);
        for task in self.tasks {
            async_io::block_on(task);
        }
        self.shared.history.take()
    }
}

async fn run_caller(shared: Arc<Shared>, mut rng: fastrand::Rng) {
    while !shared.stopped.load(Ordering::Relaxed) {
        let request = CallerRequest {
            id: new_id(&mut rng),
            key: format!("key-{}", rng.u32(..shared.settings.keys)),
            once_only: rng.f64() < shared.settings.once_only,
        };
        shared.requests.fetch_add(1, Ordering::Relaxed);
        send_until_settled(&shared, &request, &mut rng).await;
    }
}

/// Returns a new request id with the current time.
pub fn new_id(rng: &mut fastrand::Rng) -> RequestId {
    let mut random = [0; 10];
    rng.fill(&mut random);
    RequestId::new(clock::wall_now(), &random)
}

/// Sends a request until its outcome settles it, at most [`MAX_ATTEMPTS`] times.
async fn send_until_settled(shared: &Shared, request: &CallerRequest, rng: &mut fastrand::Rng) {
    for number in 1..=MAX_ATTEMPTS {
        let host_addr = shared.balancer.pick(rng.usize(..));
        let start = clock::host_now();
        let result = attempt::send(&shared.pool, request, host_addr, ATTEMPT_TIMEOUT_MS).await;
        let attempt = Attempt {
            id: request.id,
            number,
            once_only: request.once_only,
            key: request.key.clone(),
            host_addr,
            start,
            end: clock::host_now(),
            result,
        };
        let is_settled = is_settled(&attempt, rng);
        shared.history.push(attempt);
        if is_settled {
            return;
        }
        Timer::after(RESEND_DELAY_MS.duration()).await;
    }
}

fn is_settled(attempt: &Attempt, rng: &mut fastrand::Rng) -> bool {
    match &attempt.result {
        AttemptResult::NotSent | AttemptResult::Lost | AttemptResult::Truncated => false,
        AttemptResult::Answer(answer) => match answer.outcome {
            Some(Outcome::Done) => true,
            Some(Outcome::NotRun) => rng.f64() >= RESEND_SHARE_AFTER_NOT_RUN,
            _ => false,
        },
    }
}
