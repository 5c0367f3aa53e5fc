//! What the calls of an upstream share: its desk, its faults, and the end of each run.

use crate::clock;
use crate::shared::Shared;
use crate::upstream::UpstreamSettings;
use crate::upstream::desk::{Arrival, Desk, Refused};
use crate::upstream::faults::UpstreamFaults;
use crate::upstream::runs::{Outcome, Remaining, RunId};
use async_io::Timer;
use futures_lite::future;
use skylarkdock_units::times;
use std::time::Duration;
use thiserror::Error;

use times::{HostTime, Millis};

/// The desk and the faults.
pub struct State {
    /// Decides and records what runs.
    pub desk: Desk,
    faults: UpstreamFaults,
    choice: fastrand::Rng,
    started: HostTime,
    work: WorkTime,
}

/// How long a request takes.
#[derive(Debug, Clone, Copy)]
pub struct WorkTime {
    /// Time of a request.
    pub usual: Millis,
    /// Time after the start in which requests take longer.
    pub cold: Millis,
    /// Factor in that time.
    pub cold_factor: f64,
}

/// How an answer is to be spoilt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spoiled {
    /// It has status 500.
    pub error: bool,
    /// Its body is cut short.
    pub cut: bool,
}

impl State {
    /// Starts idle and without faults.
    pub fn new(settings: &UpstreamSettings) -> Self {
        Self {
            desk: Desk::new(settings.desk()),
            faults: UpstreamFaults::default(),
            choice: fastrand::Rng::with_seed(0),
            started: clock::host_now(),
            work: settings.work_time(),
        }
    }

    /// Returns the faults in force.
    pub const fn faults(&self) -> &UpstreamFaults {
        &self.faults
    }

    /// Replaces the faults.
    pub fn set_faults(&mut self, faults: UpstreamFaults) {
        self.desk.set_faults(clock::host_now(), Millis(faults.lag_ms), faults.shed);
        self.choice = fastrand::Rng::with_seed(faults.seed);
        self.faults = faults;
    }

    /// Returns how long a request takes that starts now.
    pub fn work_time(&self) -> Duration {
        let is_cold = clock::host_now().since(self.started) < self.work.cold;
        let cold_factor = if is_cold { self.work.cold_factor } else { 1.0 };
        let factor = cold_factor * self.faults.slow_factor;
        let seconds = self.work.usual.duration().as_secs_f64() * factor;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Decides how the next answer is spoilt.
    pub fn spoil(&mut self) -> Spoiled {
        let error = self.choice.f64() < self.faults.error_share;
        let left = self.faults.truncate_next.checked_sub(1);
        self.faults.truncate_next = left.unwrap_or(0);
        Spoiled { error, cut: left.is_some() }
    }
}

/// The grant of a run lapsed before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the grant lapsed")]
pub struct Lapsed;

/// A run in progress; it is recorded as cancelled when dropped before its end.
pub struct RunGuard {
    state: Shared<State>,
    id: RunId,
    run: u64,
}

impl RunGuard {
    /// Starts a run.
    ///
    /// # Errors
    /// Returns why the request may not run.
    pub fn start(state: &Shared<State>, arrival: Arrival) -> Result<Self, Refused> {
        let started = state.with(|state| state.desk.start(clock::host_now(), arrival));
        started.map(|(id, run)| Self { state: state.clone(), id, run })
    }

    /// Returns how many runs of this request id have started, this one included.
    pub const fn run(&self) -> u64 {
        self.run
    }

    /// Records that the work is done.
    ///
    /// # Errors
    /// Fails when the grant lapsed before; the work has no effect then.
    pub fn complete(&self) -> Result<(), Lapsed> {
        if self.end(Outcome::Completed) { Ok(()) } else { Err(Lapsed) }
    }

    /// Checks that the run's grant has not lapsed.
    ///
    /// # Errors
    /// Fails when it has; the work must have no effect then.
    pub fn check(&self) -> Result<(), Lapsed> {
        if self.remaining() == Remaining::Ended { Err(Lapsed) } else { Ok(()) }
    }

    /// Waits until the run's grant has lapsed.
    pub async fn lapsed(&self) {
        loop {
            match self.remaining() {
                Remaining::Ended => return,
                Remaining::Unlimited => return future::pending().await,
                Remaining::Span(left) => Timer::after(left.duration()).await,
            };
        }
    }

    fn remaining(&self) -> Remaining {
        self.state.with(|state| state.desk.runs().remaining(clock::host_now(), self.id))
    }

    fn end(&self, outcome: Outcome) -> bool {
        self.state.update(|state| state.desk.end(clock::host_now(), self.id, outcome))
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        // Does nothing to a run that is complete.
        self.end(Outcome::Cancelled);
    }
}

/// Waits until the upstream is not frozen.
pub async fn thawed(state: &Shared<State>) {
    state.wait_for(|state| (!state.faults().freeze).then_some(())).await;
}
