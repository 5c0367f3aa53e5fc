//! Failure counts, mean latency and ejection state of one upstream.

use crate::ejection::{Sample, StandingChange, UpstreamReport};
use skylarkdock_units::times::{HostTime, Millis};

const EJECTION_CONSECUTIVE_FAILURES: u32 = 5;
const MAX_ERROR_RATE: f64 = 0.5;
const MIN_SAMPLES: u32 = 20;
const EWMA_WEIGHT: f64 = 0.1;
const BASE_EJECTION_MS: u64 = 5000;
const MAX_EJECTION_MS: u64 = 5 * 60 * 1000;
const MAX_EJECTION_DOUBLINGS: u32 = 10;
const READMISSION_SUCCESSES: u32 = 3;
const TRIAL_TIMEOUT_MS: u64 = 10_000;
const BACKOFF_RESET_SUCCESSES: u32 = 200;
const REPORT_TTL_MS: u64 = 5000;
const HIGH_LOAD: f32 = 0.9;
const REDUCED_PREFERENCE: f32 = 0.5;

/// Whether an upstream may get requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It is not ejected.
    Usable,
    /// Its ejection time is over; it gets one trial request at a time until it is readmitted.
    Trial,
    /// It gets no requests: its ejection time is not over, or a trial request is in flight.
    Ejected,
}

#[derive(Debug, Clone, Copy)]
struct Ejection {
    until: HostTime,
    trial_since: Option<HostTime>,
    successes: u32,
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    sample_count: u32,
    consecutive_failures: u32,
    consecutive_successes: u32,
    error_rate: f64,
    mean_latency_ms: Option<f64>,
    ejection: Option<Ejection>,
    ejection_count: u32,
    report: Option<(UpstreamReport, HostTime)>,
}

impl Health {
    pub(crate) fn observe(&mut self, sample: Sample) {
        self.sample_count = self.sample_count.saturating_add(1);
        match sample {
            Sample::Success(latency) => self.observe_success(latency),
            Sample::Failure => {
                self.consecutive_failures += 1;
                self.consecutive_successes = 0;
                self.error_rate += EWMA_WEIGHT * (1.0 - self.error_rate);
            }
        }
    }

    fn observe_success(&mut self, latency: Millis) {
        let sample_ms = f64::from(u32::try_from(latency.0).unwrap_or(u32::MAX));
        let mean_ms = self.mean_latency_ms.unwrap_or(sample_ms);
        self.mean_latency_ms = Some(mean_ms + EWMA_WEIGHT * (sample_ms - mean_ms));
        self.consecutive_failures = 0;
        self.error_rate -= EWMA_WEIGHT * self.error_rate;
        self.consecutive_successes += 1;
        if self.consecutive_successes >= BACKOFF_RESET_SUCCESSES {
            self.ejection_count = 0;
        }
    }

    pub(crate) fn exceeds_failure_limits(&self) -> bool {
        let is_error_rate_high =
            self.sample_count >= MIN_SAMPLES && self.error_rate > MAX_ERROR_RATE;
        is_error_rate_high || self.consecutive_failures >= EJECTION_CONSECUTIVE_FAILURES
    }

    pub(crate) fn is_slower_than(&self, max_ms: f64) -> bool {
        self.mean_latency_ms().is_some_and(|latency_ms| latency_ms > max_ms)
    }

    /// Returns the moving average of the latency, or `None` while there are too few samples.
    pub(crate) fn mean_latency_ms(&self) -> Option<f64> {
        self.mean_latency_ms.filter(|_| self.sample_count >= MIN_SAMPLES)
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    pub(crate) fn ejected_until(&self) -> Option<HostTime> {
        self.ejection.map(|ejection| ejection.until)
    }

    pub(crate) fn eject(&mut self, now: HostTime) -> StandingChange {
        let duration_ms = (BASE_EJECTION_MS << self.ejection_count.min(MAX_EJECTION_DOUBLINGS))
            .min(MAX_EJECTION_MS);
        let until = now + Millis(duration_ms);
        self.ejection_count += 1;
        self.ejection = Some(Ejection { until, trial_since: None, successes: 0 });
        StandingChange::Ejected(until)
    }

    /// Clears all observations. The ejection count stays, so that another ejection lasts longer.
    pub(crate) fn readmit(&mut self) {
        *self =
            Self { ejection_count: self.ejection_count, report: self.report, ..Self::default() };
    }

    /// Records the result of a request to an ejected upstream; ignored unless it is the result of a trial request.
    pub(crate) fn try_readmit(&mut self, sample: Sample, now: HostTime) -> Option<StandingChange> {
        let ejection = self.ejection.as_mut()?;
        ejection.trial_since.take()?;
        if sample == Sample::Failure {
            return Some(self.eject(now));
        }
        ejection.successes += 1;
        if ejection.successes < READMISSION_SUCCESSES {
            return None;
        }
        self.readmit();
        Some(StandingChange::Readmitted)
    }

    pub(crate) fn standing(&self, now: HostTime) -> Standing {
        let Some(ejection) = self.ejection else { return Standing::Usable };
        let is_in_trial =
            ejection.trial_since.is_some_and(|since| now.since(since) < Millis(TRIAL_TIMEOUT_MS));
        if now < ejection.until || is_in_trial { Standing::Ejected } else { Standing::Trial }
    }

    pub(crate) fn begin_trial(&mut self, now: HostTime) -> bool {
        if self.standing(now) != Standing::Trial {
            return false;
        }
        if let Some(ejection) = &mut self.ejection {
            ejection.trial_since = Some(now);
        }
        true
    }

    pub(crate) fn report(&mut self, report: UpstreamReport, now: HostTime) {
        self.report = Some((report, now));
    }

    pub(crate) fn preference(&self, now: HostTime) -> f32 {
        let Some((report, at)) = self.report else { return 1.0 };
        let is_fresh = now.since(at) < Millis(REPORT_TTL_MS);
        let is_bad = !report.healthy || report.load >= HIGH_LOAD;
        if is_fresh && is_bad { REDUCED_PREFERENCE } else { 1.0 }
    }
}
