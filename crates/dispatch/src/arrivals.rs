//! Arrival rate of requests at a host, by rank.
//!
//! Ranks with smaller numbers are served first. Under sustained overload, requests of such ranks that arrive while a
//! request waits are served before it. Admission subtracts their rate from the capacity left for the waiting request.

use crate::upstream::as_f32;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::times::HostTime;

/// Usual time constant of the exponential decay, in milliseconds.
const AVERAGING_TIME_MS: f32 = 1_000.0;

/// Exponentially decaying count of arrivals per rank.
#[derive(Debug)]
pub(crate) struct ArrivalRates {
    counts: FastMap<u8, (f32, HostTime)>,
    averaging_ms: f32,
}

impl Default for ArrivalRates {
    fn default() -> Self {
        Self::over(AVERAGING_TIME_MS)
    }
}

impl ArrivalRates {
    /// Creates counts that decay with a time constant, in milliseconds.
    pub(crate) fn over(averaging_ms: f32) -> Self {
        Self { counts: FastMap::default(), averaging_ms }
    }

    /// Counts the arrival of a request of `rank`.
    pub(crate) fn record(&mut self, rank: u8, now: HostTime) {
        let count = self.counts.entry(rank).or_insert((0.0, now));
        *count = (decayed(*count, now, self.averaging_ms) + 1.0, now);
    }

    /// Returns the arrivals per millisecond of all ranks that are served before `rank`.
    pub(crate) fn rate_above(&self, rank: u8, now: HostTime) -> f32 {
        self.rate_of(|counted| counted < rank, now)
    }

    /// Returns the arrivals per millisecond of `rank` and all ranks that are served before it.
    pub(crate) fn rate_up_to(&self, rank: u8, now: HostTime) -> f32 {
        self.rate_of(|counted| counted <= rank, now)
    }

    /// Returns the arrivals per millisecond of all ranks.
    pub(crate) fn rate(&self, now: HostTime) -> f32 {
        self.rate_of(|_| true, now)
    }

    fn rate_of(&self, is_counted: impl Fn(u8) -> bool, now: HostTime) -> f32 {
        let counts = self.counts.iter().filter(|(rank, _)| is_counted(**rank));
        let sum: f32 = counts.map(|(_, count)| decayed(*count, now, self.averaging_ms)).sum();
        sum / self.averaging_ms
    }
}

fn decayed((count, at): (f32, HostTime), now: HostTime, averaging_ms: f32) -> f32 {
    count * (-as_f32(u32::try_from(now.since(at).0).unwrap_or(u32::MAX)) / averaging_ms).exp()
}
