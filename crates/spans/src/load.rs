//! Request rate of each key, estimated with an exponentially decaying count.
//!
//! Load pattern: some thousand of all keys get requests at a time and a few of them get many. Which keys these are
//! changes within seconds. Only keys with recent requests are stored.

use skylarkdock_units::collections::FastMap;
use skylarkdock_units::times::{HostTime, Millis};

/// Time after which a request counts half; short, as hot keys change within seconds.
const HALF_LIFE: Millis = Millis(1_200);
/// Decayed count below which a key is dropped.
const MIN_COUNT: f32 = 0.02;

/// Keys with recent requests and their requests per second, in no particular order.
pub type Rates = Vec<(u16, f32)>;

#[derive(Debug, Clone, Copy)]
struct DecayingCount {
    value: f32,
    updated_at: HostTime,
}

/// Estimator of the request rate of each key of one service.
#[derive(Debug, Clone)]
pub struct KeyLoad {
    counts: FastMap<u16, DecayingCount>,
    started_at: HostTime,
}

impl KeyLoad {
    /// Creates an estimator that counts from `now`.
    pub fn new(now: HostTime) -> Self {
        Self { counts: FastMap::default(), started_at: now }
    }

    /// Counts one request for each element of `keys`.
    pub fn add(&mut self, keys: &[u16], now: HostTime) {
        for key in keys {
            let count =
                self.counts.entry(*key).or_insert(DecayingCount { value: 0.0, updated_at: now });
            *count = DecayingCount { value: count.value_at(now) + 1.0, updated_at: now };
        }
    }

    /// Returns the request rate of each key, and drops keys whose count has decayed below `MIN_COUNT`.
    pub fn rates(&mut self, now: HostTime) -> Rates {
        self.counts.retain(|_, count| count.value_at(now) >= MIN_COUNT);
        // The decaying count of a steady rate approaches rate * half-life / ln 2. Shortly after the start it has
        // reached only a part of that, so a smaller divisor applies.
        let steady_window = as_seconds(HALF_LIFE) / std::f32::consts::LN_2;
        let elapsed = as_seconds(now.since(self.started_at));
        let window = steady_window * (1.0 - (-elapsed / steady_window).exp());
        let factor = 1.0 / window.max(0.5);
        self.counts.iter().map(|(key, count)| (*key, count.value_at(now) * factor)).collect()
    }
}

impl DecayingCount {
    fn value_at(self, now: HostTime) -> f32 {
        self.value * (-as_seconds(now.since(self.updated_at)) / as_seconds(HALF_LIFE)).exp2()
    }
}

#[expect(clippy::cast_precision_loss, reason = "minutes at most")]
const fn as_seconds(time: Millis) -> f32 {
    time.0 as f32 / 1000.0
}
