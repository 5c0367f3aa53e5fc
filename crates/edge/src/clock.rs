//! The host's clock.

use rustix::time::{ClockId, clock_gettime};
use skylarkdock_units::times::HostTime;
use std::time::{Duration, Instant};

/// Returns the current time of the boot-time clock, which also advances while the host is suspended.
pub fn now() -> HostTime {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    HostTime(seconds * 1_000 + nanos / 1_000_000)
}

/// Converts a time of the host's clock to an [`Instant`], for timers. A time in the past becomes the current instant.
pub fn instant(time: HostTime) -> Instant {
    Instant::now() + Duration::from_millis(time.since(now()).0)
}
