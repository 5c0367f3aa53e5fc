//! Estimate of an upstream's service time.

use crate::latencies::LatencyHistogram;
use skylarkdock_units::times::Millis;

const EWMA_WEIGHT: f64 = 0.05;
const INITIAL_MEAN_MS: f64 = 50.0;
const TAIL_PERCENTILE: u64 = 99;
const TAIL_REFRESH_SAMPLES: u32 = 16;

/// Moving average and 99th percentile of the time for which a request holds its slot.
#[derive(Debug, Clone)]
pub struct ServiceTime {
    mean_ms: f64,
    latencies: LatencyHistogram,
    tail: Millis,
    samples_since_tail: u32,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self::from_mean_ms(INITIAL_MEAN_MS)
    }
}

impl ServiceTime {
    /// Creates an estimate that starts from `mean`.
    pub fn from_mean(mean: Millis) -> Self {
        Self::from_mean_ms(to_f64(mean.0))
    }

    fn from_mean_ms(mean_ms: f64) -> Self {
        let latencies = LatencyHistogram::default();
        Self { mean_ms, latencies, tail: Millis(0), samples_since_tail: 0 }
    }

    /// Records for how long one request held its slot.
    pub fn observe(&mut self, held: Millis) {
        self.mean_ms += EWMA_WEIGHT * (to_f64(held.0) - self.mean_ms);
        self.latencies.observe(held);
        self.samples_since_tail += 1;
        if self.samples_since_tail >= TAIL_REFRESH_SAMPLES {
            self.samples_since_tail = 0;
            self.tail = self.latencies.percentile(TAIL_PERCENTILE).unwrap_or_default();
        }
    }

    /// Returns the mean, rounded up and at least 1 ms.
    pub fn mean(&self) -> Millis {
        round_up(self.mean_ms.max(1.0))
    }

    /// Returns the 99th percentile, or the mean if that is larger or there are too few samples.
    pub fn tail(&self) -> Millis {
        self.tail.max(self.mean())
    }

    /// Returns the expected wait of a request behind `ahead` others when all `slots` slots are in use.
    pub fn expected_wait(&self, ahead: usize, slots: u32) -> Millis {
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        round_up(self.mean_ms * (ahead + 1.0) / f64::from(slots.max(1)))
    }
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(millis: u64) -> f64 {
    millis as f64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn round_up(millis: f64) -> Millis {
    Millis(millis.ceil() as u64)
}
