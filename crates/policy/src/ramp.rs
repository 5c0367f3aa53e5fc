//! Ramp-up (slow start) of the concurrency limit of an upstream that starts cold.

use skylarkdock_units::times::{HostTime, Millis};

/// Raises a limit linearly from one to its full value over a fixed time after the upstream becomes healthy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ramp {
    duration: Millis,
    healthy_since: Option<HostTime>,
}

impl Ramp {
    /// Creates the ramp of an upstream that has not been healthy yet.
    pub fn new(duration: Millis) -> Self {
        Self { duration, healthy_since: None }
    }

    /// Starts the ramp-up unless it was started since the last [`Ramp::reset`].
    pub fn mark_healthy(&mut self, now: HostTime) {
        self.healthy_since.get_or_insert(now);
    }

    /// Sets the limit back to one until the upstream is healthy again.
    pub fn reset(&mut self) {
        self.healthy_since = None;
    }

    /// Returns the limit in force: at most 1 before the upstream is healthy, `full` after the ramp-up.
    pub fn limit(&self, full: u32, now: HostTime) -> u32 {
        let Some(since) = self.healthy_since else { return full.min(1) };
        let elapsed = now.since(since);
        if elapsed >= self.duration || full <= 1 {
            return full;
        }
        let gained = u64::from(full - 1) * elapsed.0 / self.duration.0;
        1 + u32::try_from(gained).unwrap_or(u32::MAX)
    }
}
