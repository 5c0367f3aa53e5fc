//! Logarithmic histogram that estimates percentiles of recent latencies in constant memory.

use skylarkdock_units::times::Millis;

const MIN_SAMPLES: u64 = 50;
const HALVING_SAMPLES: u64 = 2048;
const SUB_BUCKETS_PER_OCTAVE: u64 = 8;
const BUCKET_COUNT: usize = 160;

/// Histogram of recent latencies. A bucket is at most an eighth of its values wide, which bounds the error.
#[derive(Debug, Clone)]
pub struct LatencyHistogram {
    buckets: [u64; BUCKET_COUNT],
    samples: u64,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self { buckets: [0; BUCKET_COUNT], samples: 0 }
    }
}

impl LatencyHistogram {
    /// Records a latency. All counts are halved at intervals, so that older latencies lose weight.
    pub fn observe(&mut self, latency: Millis) {
        self.buckets[bucket_of(latency.0)] += 1;
        self.samples += 1;
        if self.samples >= HALVING_SAMPLES {
            self.buckets.iter_mut().for_each(|count| *count /= 2);
            self.samples = self.buckets.iter().sum();
        }
    }

    /// Returns an upper bound of the `percent` percentile, or `None` while there are too few samples.
    pub fn percentile(&self, percent: u64) -> Option<Millis> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        let rank = (self.samples * percent).div_ceil(100);
        let mut cumulative = 0;
        let index = self.buckets.iter().position(|count| {
            cumulative += count;
            cumulative >= rank
        })?;
        Some(Millis(upper_bound(index)))
    }
}

fn bucket_of(value: u64) -> usize {
    if value < SUB_BUCKETS_PER_OCTAVE {
        return usize::try_from(value).unwrap_or(0);
    }
    let exponent = u64::from(value.ilog2() - SUB_BUCKETS_PER_OCTAVE.ilog2());
    let index = exponent * SUB_BUCKETS_PER_OCTAVE + (value >> exponent);
    usize::try_from(index).unwrap_or(usize::MAX).min(BUCKET_COUNT - 1)
}

fn upper_bound(index: usize) -> u64 {
    let index = u64::try_from(index).unwrap_or(u64::MAX);
    if index < 2 * SUB_BUCKETS_PER_OCTAVE {
        return index;
    }
    let exponent = index / SUB_BUCKETS_PER_OCTAVE - 1;
    let mantissa = index % SUB_BUCKETS_PER_OCTAVE + SUB_BUCKETS_PER_OCTAVE;
    ((mantissa + 1) << exponent) - 1
}
