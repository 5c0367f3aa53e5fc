//! Delay that a refused caller is told to wait before it retries.
//!
//! When a service has no free capacity or no usable upstream, many callers are refused within a short time. Equal
//! delays would bring all of them back at the same moment, to be refused again. Each delay therefore starts at the time
//! until capacity is expected, adds a per-caller spread, and is capped to a fraction of the caller's remaining time.

use skylarkdock_units::times::Millis;

/// Divisor of the caller's remaining time that gives the longest delay.
const MAX_DELAY_DIVISOR: u64 = 3;
/// Shortest delay, so that a caller does not retry into the same overload. The limit by the caller's remaining time
/// takes precedence and can make the delay shorter.
const MIN_DELAY: Millis = Millis(20);
/// Largest spread added after a rest, so that a long one does not keep callers away for much longer than it lasts.
const MAX_REST_SPREAD: Millis = Millis(1_000);
/// Largest spread added to a delay, in percent of it.
const SPREAD_PERCENT: u64 = 40;

/// Returns the delay for a caller with `remaining` time, if capacity for its request is expected after `expected`.
///
/// `jitter_per_mille` ranges from 0 to 999 and selects a point within the spread.
pub fn delay(expected: Millis, remaining: Millis, jitter_per_mille: u32) -> Millis {
    let base = expected.0.max(MIN_DELAY.0);
    let spread = base * SPREAD_PERCENT * u64::from(jitter_per_mille.min(999)) / 100_000;
    let longest = remaining.0 / MAX_DELAY_DIVISOR;
    Millis((base + spread).min(longest.max(1)))
}

/// Returns the delay for a caller whose request can't be sent because upstreams rest for `rest`. It is never shorter
/// than the rest and, unlike [`delay`], not bounded by the caller's remaining time: an earlier retry would be refused.
///
/// `jitter_per_mille` ranges from 0 to 999 and selects a point within the spread.
pub fn after_rest(rest: Millis, jitter_per_mille: u32) -> Millis {
    let base = rest.0.max(MIN_DELAY.0);
    let longest_spread = (base * SPREAD_PERCENT / 100).min(MAX_REST_SPREAD.0);
    Millis(base + longest_spread * u64::from(jitter_per_mille.min(999)) / 1_000)
}
