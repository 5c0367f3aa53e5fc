//! Counters and latency histograms that are updated during a run.

use crate::history::HistoryEntry;
use crate::summary::{Quantiles, Summary};
use hdrhistogram::{CreationError, Histogram};
use skylarkdock_units::measures::PerSecond;
use std::time::Duration;

const MAX_LATENCY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Measurements of the requests that have ended so far.
pub struct Stats {
    counts: Summary,
    latency: Histogram<u64>,
    start_lag: Histogram<u64>,
}

/// Start lag and latency of one request, over all of its attempts.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestTimes {
    /// Time from the intended start to the actual start of the first attempt.
    pub start_lag: Duration,
    /// Time from the intended start to the end of the last attempt.
    pub latency: Duration,
}

impl Stats {
    /// Returns counters at 0 and empty histograms.
    ///
    /// # Errors
    ///
    /// Fails when the histograms can't be created.
    pub fn new() -> Result<Self, CreationError> {
        let histogram = || Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        Ok(Self { counts: Summary::default(), latency: histogram()?, start_lag: histogram()? })
    }

    /// Records a request that has ended, classified by its last attempt.
    pub fn record(&mut self, last_attempt: &HistoryEntry, times: RequestTimes) {
        self.counts.requests += 1;
        self.counts.resends += u64::from(last_attempt.attempt.saturating_sub(1));
        self.start_lag.saturating_record(as_micros_u64(times.start_lag));
        if let Some(failure) = last_attempt.failure {
            *self.counts.failures.entry(failure).or_default() += 1;
            return;
        }
        self.counts.answered += 1;
        self.counts.misnamed += u64::from(last_attempt.named == Some(false));
        *self.counts.statuses.entry(last_attempt.status.unwrap_or(0)).or_default() += 1;
        if let Some(outcome) = &last_attempt.outcome {
            match self.counts.outcomes.get_mut(outcome) {
                Some(count) => *count += 1,
                None => drop(self.counts.outcomes.insert(outcome.clone(), 1)),
            }
        }
        self.latency.saturating_record(as_micros_u64(times.latency));
    }

    /// Returns the result of a run that was measured for `duration`; `rate` is the scheduled rate, if any.
    pub fn summary(&self, rate: Option<PerSecond>, duration: Duration) -> Summary {
        let seconds = duration.as_secs_f64();
        Summary {
            rate_asked: rate.map(|rate| rate.0),
            rate_achieved: self.counts.answered as f64 / seconds,
            seconds,
            latency: quantiles_of(&self.latency),
            start_lag: quantiles_of(&self.start_lag),
            ..self.counts.clone()
        }
    }
}

fn as_micros_u64(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn quantiles_of(histogram: &Histogram<u64>) -> Quantiles {
    Quantiles {
        p50_us: histogram.value_at_quantile(0.5),
        p90_us: histogram.value_at_quantile(0.9),
        p99_us: histogram.value_at_quantile(0.99),
        p99_9_us: histogram.value_at_quantile(0.999),
        max_us: histogram.max(),
    }
}
