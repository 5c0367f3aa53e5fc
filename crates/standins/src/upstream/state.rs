//! State shared by the requests of an upstream: admission, faults and the lifetime of runs.

use crate::clock;
use crate::shared::Shared;
use crate::upstream::UpstreamSettings;
use crate::upstream::admission::{AdmissionController, IncomingRequest, RefusalReason};
use crate::upstream::faults::UpstreamFaults;
use crate::upstream::runs::{Outcome, RemainingTime, RunId};
use async_io::Timer;
use futures_lite::future;
use skylarkdock_units::times;
use std::time::Duration;
use thiserror::Error;

use times::{HostTime, Millis};

/// Admission state, faults and processing time of an upstream.
pub struct State {
    /// Admits requests and records their runs.
    pub admission: AdmissionController,
    faults: UpstreamFaults,
    rng: fastrand::Rng,
    started_at: HostTime,
    work_time: WorkTime,
}

/// Processing time of requests.
#[derive(Debug, Clone, Copy)]
pub struct WorkTime {
    /// Processing time of a request, before factors.
    pub base: Millis,
    /// Time after the start in which `cold_factor` applies.
    pub cold_period: Millis,
    /// Factor of the processing time during the cold period.
    pub cold_factor: f64,
}

/// Faults that are applied to one response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseFaults {
    /// Whether the response has status 500.
    pub error: bool,
    /// Whether the response body is truncated.
    pub truncated: bool,
}

impl State {
    /// Creates the state of an idle upstream without faults.
    pub fn new(settings: &UpstreamSettings) -> Self {
        Self {
            admission: AdmissionController::new(settings.admission()),
            faults: UpstreamFaults::default(),
            rng: fastrand::Rng::with_seed(0),
            started_at: clock::host_now(),
            work_time: settings.work_time(),
        }
    }

    /// Returns the upstream's active faults.
    pub const fn faults(&self) -> &UpstreamFaults {
        &self.faults
    }

    /// Replaces the upstream's faults and reseeds the random generator.
    pub fn set_faults(&mut self, faults: UpstreamFaults) {
        self.admission.set_faults(clock::host_now(), Millis(faults.lag_ms), faults.shed);
        self.rng = fastrand::Rng::with_seed(faults.seed);
        self.faults = faults;
    }

    /// Returns the processing time of a request that starts now.
    pub fn work_time(&self) -> Duration {
        let is_cold = clock::host_now().since(self.started_at) < self.work_time.cold_period;
        let cold_factor = if is_cold { self.work_time.cold_factor } else { 1.0 };
        let factor = cold_factor * self.faults.slow_factor;
        let seconds = self.work_time.base.duration().as_secs_f64() * factor;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Chooses the faults of the next response.
    pub fn choose_response_faults(&mut self) -> ResponseFaults {
        let error = self.rng.f64() < self.faults.error_share;
        let remaining = self.faults.truncate_next.checked_sub(1);
        self.faults.truncate_next = remaining.unwrap_or(0);
        ResponseFaults { error, truncated: remaining.is_some() }
    }
}

/// The grant of a run expired before the run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the grant expired")]
pub struct GrantExpired;

/// A run in progress; dropping it before completion records it as cancelled.
pub struct RunGuard {
    state: Shared<State>,
    id: RunId,
    run: u64,
}

impl RunGuard {
    /// Admits a request and starts its run.
    ///
    /// # Errors
    /// Returns the reason why the request is refused.
    pub fn start(state: &Shared<State>, request: IncomingRequest) -> Result<Self, RefusalReason> {
        let started = state.with(|state| state.admission.start(clock::host_now(), request));
        started.map(|(id, run)| Self { state: state.clone(), id, run })
    }

    /// Returns the number of runs of this request id so far, including this one.
    pub const fn run(&self) -> u64 {
        self.run
    }

    /// Records the run as completed.
    ///
    /// # Errors
    /// Fails when the grant has expired; the request then takes no effect.
    pub fn complete(&self) -> Result<(), GrantExpired> {
        if self.end(Outcome::Completed) { Ok(()) } else { Err(GrantExpired) }
    }

    /// Checks that the run's grant has not expired.
    ///
    /// # Errors
    /// Fails when the grant has expired; the request must not take effect then.
    pub fn check_grant(&self) -> Result<(), GrantExpired> {
        if self.remaining() == RemainingTime::Ended { Err(GrantExpired) } else { Ok(()) }
    }

    /// Waits until the run's grant has expired.
    pub async fn wait_for_grant_expiry(&self) {
        loop {
            match self.remaining() {
                RemainingTime::Ended => return,
                RemainingTime::Unlimited => return future::pending().await,
                RemainingTime::Limited(remaining) => Timer::after(remaining.duration()).await,
            };
        }
    }

    fn remaining(&self) -> RemainingTime {
        self.state.with(|state| state.admission.runs().remaining(clock::host_now(), self.id))
    }

    fn end(&self, outcome: Outcome) -> bool {
        self.state.update(|state| state.admission.end(clock::host_now(), self.id, outcome))
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        // Has no effect on a run that has already ended.
        self.end(Outcome::Cancelled);
    }
}

/// Waits until the fault `freeze` is off.
pub async fn wait_until_thawed(state: &Shared<State>) {
    state.wait_for(|state| (!state.faults().freeze).then_some(())).await;
}
