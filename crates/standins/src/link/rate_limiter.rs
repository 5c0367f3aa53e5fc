//! Rate limiter for one direction of a link, shared by its connections.

use std::time::Duration;

const NANOS_PER_SECOND: u128 = 1_000_000_000;

/// Schedules transmissions one after the other at a limited rate.
#[derive(Debug, Default)]
pub struct RateLimiter {
    busy_until: Duration,
}

impl RateLimiter {
    /// Schedules a transmission of `bytes` and returns when it ends; without a rate it ends at once.
    /// Times are relative to the start of the link; the rate is in bytes per second.
    pub fn schedule(&mut self, now: Duration, bytes: usize, rate: Option<u64>) -> Duration {
        let Some(rate) = rate else { return now };
        let nanos = bytes as u128 * NANOS_PER_SECOND / u128::from(rate.max(1));
        let transmission_time = Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX));
        self.busy_until = self.busy_until.max(now).saturating_add(transmission_time);
        self.busy_until
    }
}
