//! Arrival rate of requests at a host, by rank.
//!
//! Ranks with smaller numbers are served first. Under sustained overload, requests of such ranks that arrive while a
//! request waits are served before it. Admission subtracts their rate from the capacity left for the waiting request.

use crate::upstream::as_f32;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::times::HostTime;

/// Time constant of the exponential decay, in milliseconds.
const AVERAGING_TIME_MS: f32 = 1_000.0;

/// Exponentially decaying count of arrivals per rank.
#[derive(Debug, Default)]
pub(crate) struct ArrivalRates {
    counts: FastMap<u8, (f32, HostTime)>,
}

impl ArrivalRates {
    /// Counts the arrival of a request of `rank`.
    pub(crate) fn record(&mut self, rank: u8, now: HostTime) {
        let count = self.counts.entry(rank).or_insert((0.0, now));
        *count = (decayed(*count, now) + 1.0, now);
    }

    /// Returns the arrivals per millisecond of all ranks that are served before `rank`.
    pub(crate) fn rate_above(&self, rank: u8, now: HostTime) -> f32 {
        let ranks_before = self.counts.iter().filter(|(counted_rank, _)| **counted_rank < rank);
        ranks_before.map(|(_, count)| decayed(*count, now)).sum::<f32>() / AVERAGING_TIME_MS
    }

    /// Returns the arrivals per millisecond of all ranks.
    pub(crate) fn rate(&self, now: HostTime) -> f32 {
        self.counts.values().map(|count| decayed(*count, now)).sum::<f32>() / AVERAGING_TIME_MS
    }
}

fn decayed((count, at): (f32, HostTime), now: HostTime) -> f32 {
    count * (-as_f32(u32::try_from(now.since(at).0).unwrap_or(u32::MAX)) / AVERAGING_TIME_MS).exp()
}
