//! Reads the host's clocks.

use rustix::time::{ClockId, clock_gettime};
use skylarkdock_units::times::{HostTime, WallTime};

fn read_millis(id: ClockId) -> u64 {
    let now = clock_gettime(id);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(now.tv_nsec).unwrap_or(0);
    seconds * 1_000 + nanos / 1_000_000
}

/// Returns the time since boot, including time in suspension.
pub fn host_time() -> HostTime {
    HostTime(read_millis(ClockId::Boottime))
}

/// Returns the wall-clock time since the Unix epoch.
pub fn wall_time() -> WallTime {
    WallTime(read_millis(ClockId::Realtime))
}
