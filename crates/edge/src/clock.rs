//! The host's clock.

use rustix::time::{ClockId, clock_gettime};
use skylarkdock_units::times::HostTime;
use std::time::{Duration, Instant};

/// Returns the time of the clock that goes on while the host is suspended.
pub fn now() -> HostTime {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    HostTime(seconds * 1_000 + nanos / 1_000_000)
}

/// Returns the moment, for timers, at which the host's clock will show `time`.
pub fn instant(time: HostTime) -> Instant {
    Instant::now() + Duration::from_millis(time.since(now()).0)
}
