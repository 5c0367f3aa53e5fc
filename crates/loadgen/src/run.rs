//! A run: sends requests on a schedule (open loop) or one after the other per connection (closed loop), for a fixed
//! time.

use crate::attempt;
use crate::client::Client;
use crate::failures::Failure;
use crate::history::{HistoryEntry, HistoryWriter};
use crate::keys::KeyDistribution;
use crate::plan::{Plan, PlannedRequest};
use crate::settings::Settings;
use crate::stats::{RequestTimes, Stats};
use crate::summary::Summary;
use async_io::Timer;
use http::uri::InvalidUri;
use skylarkdock_httppath::executor::Executor;
use skylarkdock_units::measures::PerSecond;
use skylarkdock_units::times::Millis;
use std::convert::Infallible;
use std::io;
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use thiserror::Error;

const MAX_ATTEMPTS: u32 = 6;
/// Delay before the first resend. Each further resend waits one delay longer.
const RESEND_DELAY_MS: Millis = Millis(20);
const UNKNOWN_OUTCOME: &str = "unknown";

/// Why a run has no result.
#[derive(Debug, Error)]
pub enum RunError {
    /// The threads that send could not be started.
    #[error("sender threads could not be started")]
    Threads(#[source] io::Error),
    /// The history file could not be created or written.
    #[error("history file could not be created or written")]
    History(#[source] io::Error),
    /// The path template with a key inserted is not a valid path.
    #[error("path template does not produce a valid path")]
    Path(#[source] InvalidUri),
    /// The latency histograms could not be created.
    #[error("latency histograms could not be created")]
    Histogram(#[source] hdrhistogram::CreationError),
}

/// Sends requests as the settings say and returns what was measured.
///
/// # Errors
///
/// Fails when the run can't start or its history can't be written. Failed requests are counted in
/// the result and are not errors.
pub fn run(settings: &Settings) -> Result<Summary, RunError> {
    let executor = Executor::start("load", settings.threads).map_err(RunError::Threads)?;
    let history = settings.history.as_deref().map(HistoryWriter::create).transpose();
    let history = history.map_err(RunError::History)?;
    let keys = Arc::new(KeyDistribution::new(settings.keys, settings.zipf, settings.hot_change));
    let client = Client::new(settings, &executor);
    let mut plan = Plan::new(Arc::clone(&keys), settings.once_only_share, settings.seed);
    let sample_request = plan.next(Millis(0), client.clock.wall_time(Duration::ZERO));
    client.build_request(&sample_request, client.target(0, 1)).map_err(RunError::Path)?;
    let state = Arc::new(RunState {
        client,
        stats: Mutex::new(Stats::new().map_err(RunError::Histogram)?),
        history: history.as_ref().map(HistoryWriter::sender),
        warmup: settings.warmup.duration(),
        end: (settings.warmup + settings.duration).duration(),
        resend_unknown: settings.resend_unknown,
    });
    match settings.rate {
        Some(rate) => async_io::block_on(run_open_loop(&state, &executor, plan, rate)),
        None => async_io::block_on(run_closed_loop(&state, &executor, &keys, settings)),
    }
    executor.stop();
    let measured_duration = settings.duration.duration();
    let summary = state.lock_stats().summary(settings.rate, measured_duration);
    drop(executor);
    drop(state);
    if let Some(history) = history {
        history.finish().map_err(RunError::History)?;
    }
    Ok(summary)
}

/// Starts each request at its scheduled time, whether or not earlier ones have ended.
async fn run_open_loop(
    state: &Arc<RunState>,
    executor: &Executor,
    mut plan: Plan,
    rate: PerSecond,
) {
    let (in_flight, all_ended) = async_channel::bounded::<Infallible>(1);
    for index in 0.. {
        let intended_start = Duration::from_nanos(index * 1_000_000_000 / u64::from(rate.0));
        if intended_start >= state.end {
            break;
        }
        if intended_start > state.client.clock.elapsed() {
            Timer::at(state.client.clock.start + intended_start).await;
        }
        let planned =
            plan.next(as_millis(intended_start), state.client.clock.wall_time(intended_start));
        let (state, in_flight) = (Arc::clone(state), in_flight.clone());
        let task = async move {
            state.send_request(&planned, index, intended_start).await;
            drop(in_flight);
        };
        executor.spawn(task).detach();
    }
    drop(in_flight);
    // The channel closes when the last request in flight drops its sender.
    let _ = all_ended.recv().await;
}

/// Runs one worker per connection, which sends its next request when the last one has ended.
async fn run_closed_loop(
    state: &Arc<RunState>,
    executor: &Executor,
    keys: &Arc<KeyDistribution>,
    settings: &Settings,
) {
    let worker_count = settings.connections as u64;
    let index_step = settings.connections;
    let worker = |worker_index: u64| {
        let state = Arc::clone(state);
        let seed = settings.seed.wrapping_mul(worker_count).wrapping_add(worker_index);
        let mut plan = Plan::new(Arc::clone(keys), settings.once_only_share, seed);
        async move {
            for index in (worker_index..).step_by(index_step) {
                let now = state.client.clock.elapsed();
                if now >= state.end {
                    return;
                }
                let planned = plan.next(as_millis(now), state.client.clock.wall_time(now));
                state.send_request(&planned, index, now).await;
            }
        }
    };
    let tasks: Vec<_> = (0..worker_count).map(|index| executor.spawn(worker(index))).collect();
    for task in tasks {
        task.await;
    }
}

/// State that all requests of a run share.
struct RunState {
    client: Client,
    stats: Mutex<Stats>,
    history: Option<Sender<HistoryEntry>>,
    warmup: Duration,
    end: Duration,
    resend_unknown: bool,
}

impl RunState {
    fn lock_stats(&self) -> std::sync::MutexGuard<'_, Stats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends one request, with its resends, and records it unless it was intended to start during the warm-up.
    async fn send_request(&self, planned: &PlannedRequest, index: u64, intended_start: Duration) {
        let started = self.client.clock.elapsed();
        let is_warmup = intended_start < self.warmup;
        for attempt in 1..=MAX_ATTEMPTS {
            let target = self.client.target(index, attempt);
            // `run` has checked the path template before the first request.
            let Ok(req) = self.client.build_request(planned, target) else { return };
            let mut entry = attempt::send(&self.client, planned, target, req, attempt).await;
            entry.warmup = is_warmup;
            let is_last_attempt = attempt == MAX_ATTEMPTS || !self.should_resend(&entry);
            if is_last_attempt && !is_warmup {
                let latency = self.client.clock.elapsed().saturating_sub(intended_start);
                let start_lag = started.saturating_sub(intended_start);
                self.lock_stats().record(&entry, RequestTimes { start_lag, latency });
            }
            if let Some(history) = &self.history {
                // Sending fails only after a write error ended the thread; `HistoryWriter::finish` returns that error.
                let _ = history.send(entry);
            }
            if is_last_attempt {
                return;
            }
            Timer::after(RESEND_DELAY_MS.duration() * attempt).await;
        }
    }

    fn should_resend(&self, entry: &HistoryEntry) -> bool {
        let may_have_run = entry.failure.is_some_and(Failure::may_have_run);
        let has_unknown_outcome = entry.outcome.as_deref() == Some(UNKNOWN_OUTCOME);
        self.resend_unknown && (may_have_run || has_unknown_outcome)
    }
}

fn as_millis(duration: Duration) -> Millis {
    Millis(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
}
