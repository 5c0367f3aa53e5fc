//! When a refused caller should come back.
//!
//! Load pattern: a service is out of room or out of upstreams and many callers are refused within a short time. If all
//! came back at the same moment they would be refused together again. Each gets the time at which its place in
//! line is expected, spread over the span in which room appears, and inside the part of its own time that it waits.

use skylarkdock_units::times::Millis;

/// Part of its remaining time that a caller waits at most, as a divisor.
const HONOURED_DIVISOR: u64 = 3;
/// Shortest pause, so that a caller doesn't return into the same event.
const MIN_PAUSE: Millis = Millis(20);
/// Spread added to a pause, in percent of it.
const SPREAD_PERCENT: u64 = 40;

/// Returns the pause for a caller with `left` of its time, if room for it is expected after `expected`.
///
/// `point` spreads equal callers, from 0 to 999.
pub fn pause(expected: Millis, left: Millis, point: u32) -> Millis {
    let base = expected.0.max(MIN_PAUSE.0);
    let spread = base * SPREAD_PERCENT * u64::from(point.min(999)) / 100_000;
    let honoured = left.0 / HONOURED_DIVISOR;
    Millis((base + spread).min(honoured.max(1)))
}
