//! A run: requests on a schedule or one after the other, until the time is over.

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
const RESEND_DELAY: Millis = Millis(20);
const UNKNOWN_OUTCOME: &str = "unknown";

/// Why a run has no result.
#[derive(Debug, Error)]
pub enum RunError {
    /// The threads could not be started.
    #[error("threads could not be started")]
    Threads(#[source] io::Error),
    /// The history could not be written.
    #[error("history could not be written")]
    History(#[source] io::Error),
    /// The path template gives no valid path.
    #[error("path template gives no valid path")]
    Path(#[source] InvalidUri),
    /// The histograms could not be made.
    #[error("histograms could not be made")]
    Histogram(#[source] hdrhistogram::CreationError),
}

/// Sends requests as the settings say and returns what was measured.
///
/// # Errors
///
/// Fails when the run can't start or its history can't be written. Failed requests are counted, not errors.
pub fn run(settings: &Settings) -> Result<Summary, RunError> {
    let executor = Executor::start("load", settings.threads).map_err(RunError::Threads)?;
    let history = settings.history.as_deref().map(HistoryWriter::create).transpose();
    let history = history.map_err(RunError::History)?;
    let keys = Arc::new(KeyDistribution::new(settings.keys, settings.zipf, settings.hot_change));
    let client = Client::new(settings, &executor);
    let mut plan = Plan::new(Arc::clone(&keys), settings.once_only_share, settings.seed);
    let first = plan.next(Millis(0), client.clock.wall(Duration::ZERO));
    client.request(&first, client.target(0, 1)).map_err(RunError::Path)?;
    let load = Arc::new(Load {
        client,
        stats: Mutex::new(Stats::new().map_err(RunError::Histogram)?),
        history: history.as_ref().map(HistoryWriter::sender),
        warmup: settings.warmup.duration(),
        end: (settings.warmup + settings.duration).duration(),
        resend_unknown: settings.resend_unknown,
    });
    match settings.rate {
        Some(rate) => async_io::block_on(scheduled(&load, &executor, plan, rate)),
        None => async_io::block_on(looped(&load, &executor, &keys, settings)),
    }
    executor.stop();
    let measured = settings.duration.duration();
    let summary = load.lock().summary(settings.rate, measured);
    drop(executor);
    drop(load);
    if let Some(history) = history {
        history.finish().map_err(RunError::History)?;
    }
    Ok(summary)
}

/// Starts each request at its time, whether or not earlier ones were answered.
async fn scheduled(load: &Arc<Load>, executor: &Executor, mut plan: Plan, rate: PerSecond) {
    let (alive, all_done) = async_channel::bounded::<Infallible>(1);
    for index in 0.. {
        let intended = Duration::from_nanos(index * 1_000_000_000 / u64::from(rate.0));
        if intended >= load.end {
            break;
        }
        if intended > load.client.clock.elapsed() {
            Timer::at(load.client.clock.start + intended).await;
        }
        let planned = plan.next(millis(intended), load.client.clock.wall(intended));
        let (load, alive) = (Arc::clone(load), alive.clone());
        let task = async move {
            load.request(&planned, index, intended).await;
            drop(alive);
        };
        executor.spawn(task).detach();
    }
    drop(alive);
    // Ends when every request has dropped its sender.
    let _ = all_done.recv().await;
}

/// Sends one request after the other on each connection.
async fn looped(
    load: &Arc<Load>,
    executor: &Executor,
    keys: &Arc<KeyDistribution>,
    settings: &Settings,
) {
    let workers = settings.connections as u64;
    let step = settings.connections;
    let worker = |first: u64| {
        let load = Arc::clone(load);
        let seed = settings.seed.wrapping_mul(workers).wrapping_add(first);
        let mut plan = Plan::new(Arc::clone(keys), settings.once_only_share, seed);
        async move {
            for index in (first..).step_by(step) {
                let now = load.client.clock.elapsed();
                if now >= load.end {
                    return;
                }
                let planned = plan.next(millis(now), load.client.clock.wall(now));
                load.request(&planned, index, now).await;
            }
        }
    };
    let tasks: Vec<_> = (0..workers).map(|first| executor.spawn(worker(first))).collect();
    for task in tasks {
        task.await;
    }
}

/// What the requests of a run share.
struct Load {
    client: Client,
    stats: Mutex<Stats>,
    history: Option<Sender<HistoryEntry>>,
    warmup: Duration,
    end: Duration,
    resend_unknown: bool,
}

impl Load {
    fn lock(&self) -> std::sync::MutexGuard<'_, Stats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends one request, again if need be, and counts it.
    async fn request(&self, planned: &PlannedRequest, index: u64, intended: Duration) {
        let started = self.client.clock.elapsed();
        let warmup = intended < self.warmup;
        for attempt in 1..=MAX_ATTEMPTS {
            let target = self.client.target(index, attempt);
            // The template was tried before the run.
            let Ok(req) = self.client.request(planned, target) else { return };
            let mut entry = attempt::run(&self.client, planned, target, req, attempt).await;
            entry.warmup = warmup;
            let last = attempt == MAX_ATTEMPTS || !self.resends(&entry);
            if last && !warmup {
                let latency = self.client.clock.elapsed().saturating_sub(intended);
                let start_lag = started.saturating_sub(intended);
                self.lock().record(&entry, RequestTimes { start_lag, latency });
            }
            if let Some(history) = &self.history {
                // Its thread ends early only after a write error, which the end of the run reports.
                let _ = history.send(entry);
            }
            if last {
                return;
            }
            Timer::after(RESEND_DELAY.duration() * attempt).await;
        }
    }

    fn resends(&self, entry: &HistoryEntry) -> bool {
        let lost = entry.failure.is_some_and(Failure::may_have_run);
        let told_unknown = entry.outcome.as_deref() == Some(UNKNOWN_OUTCOME);
        self.resend_unknown && (lost || told_unknown)
    }
}

fn millis(span: Duration) -> Millis {
    Millis(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}
