//! Token bucket that limits the rate of appends.

use skylarkdock_units::{measures, times};

use measures::PerSecond;
use times::{HostTime, Millis};

const MS_PER_SECOND: u64 = 1000;

/// A token bucket whose capacity is the number of tokens earned in one second.
#[derive(Debug)]
pub struct TokenBucket {
    rate: PerSecond,
    milli_tokens: u64,
    refilled_at: HostTime,
}

impl TokenBucket {
    /// Creates a bucket that is full at `now`.
    pub const fn new(rate: PerSecond, now: HostTime) -> Self {
        Self { rate, milli_tokens: rate.0 as u64 * MS_PER_SECOND, refilled_at: now }
    }

    /// Takes one token if one is available.
    ///
    /// # Errors
    /// Returns the time until the next token is available when the bucket is empty.
    pub fn try_take(&mut self, now: HostTime) -> Result<(), Millis> {
        self.refill(now);
        match self.milli_tokens.checked_sub(MS_PER_SECOND) {
            Some(remaining) => {
                self.milli_tokens = remaining;
                Ok(())
            }
            None => Err(self.time_to_token()),
        }
    }

    fn refill(&mut self, now: HostTime) {
        let rate = u64::from(self.rate.0);
        let earned = now.since(self.refilled_at).0.saturating_mul(rate);
        let capacity = rate * MS_PER_SECOND;
        self.milli_tokens = self.milli_tokens.saturating_add(earned).min(capacity);
        self.refilled_at = now;
    }

    fn time_to_token(&self) -> Millis {
        let missing = MS_PER_SECOND - self.milli_tokens;
        missing.checked_div(u64::from(self.rate.0)).map_or(Millis(MS_PER_SECOND), Millis)
    }
}
