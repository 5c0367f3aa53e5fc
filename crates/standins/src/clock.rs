//! Readings of the system clocks.

use rustix::time::{ClockId, clock_gettime};
use skylarkdock_units::times;
use std::time::{SystemTime, UNIX_EPOCH};
use times::{HostTime, WallTime};

/// Reads `CLOCK_BOOTTIME`, which advances while the machine is suspended.
pub fn host_now() -> HostTime {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(now.tv_nsec).unwrap_or(0);
    HostTime(seconds * 1000 + nanos / 1_000_000)
}

/// Reads the wall clock as milliseconds since the Unix epoch.
pub fn wall_now() -> WallTime {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(u64::try_from(now.as_millis()).unwrap_or(u64::MAX))
}
