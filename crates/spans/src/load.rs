//! Requests for each key, as counted over the last seconds.

use skylarkdock_units::times::{HostTime, Millis};

/// Time after which a request counts half. Hot keys change within seconds.
const HALF_LIFE: Millis = Millis(1_200);
const KEYS: usize = 0x1_0000;

/// Request rates of all keys of a service.
#[derive(Debug, Clone)]
pub struct KeyLoad {
    counts: Vec<f32>,
    aged_at: HostTime,
    started_at: HostTime,
}

impl KeyLoad {
    /// Starts without any request.
    pub fn new(now: HostTime) -> Self {
        Self { counts: vec![0.0; KEYS], aged_at: now, started_at: now }
    }

    /// Counts requests.
    pub fn add(&mut self, keys: &[u16], now: HostTime) {
        self.age(now);
        for key in keys {
            self.counts[usize::from(*key)] += 1.0;
        }
    }

    /// Returns the requests per second of each key.
    pub fn rates(&mut self, now: HostTime) -> Vec<f32> {
        self.age(now);
        // A decaying count of a steady rate approaches rate * half-life / ln 2.
        let full = seconds(HALF_LIFE) / std::f32::consts::LN_2;
        let seen = seconds(now.since(self.started_at));
        let reached = full * (1.0 - (-seen / full).exp());
        let factor = 1.0 / reached.max(0.5);
        self.counts.iter().map(|count| count * factor).collect()
    }

    fn age(&mut self, now: HostTime) {
        let passed = now.since(self.aged_at);
        if passed.0 == 0 {
            return;
        }
        let factor = (-seconds(passed) / seconds(HALF_LIFE)).exp2();
        for count in &mut self.counts {
            *count *= factor;
        }
        self.aged_at = now;
    }
}

#[expect(clippy::cast_precision_loss, reason = "spans of minutes at most")]
const fn seconds(span: Millis) -> f32 {
    span.0 as f32 / 1000.0
}
