//! Values whose changes become visible to readers after a delay.

use skylarkdock_units::times;
use std::collections::VecDeque;
use times::{HostTime, Millis};

/// Maximum number of pending changes; above it the oldest becomes visible early.
const MAX_PENDING: usize = 65_536;

/// A value that readers see as it was a given time ago.
#[derive(Debug, Clone)]
pub struct Lagged<T> {
    visible: T,
    pending: VecDeque<(HostTime, T)>,
}

impl<T> Lagged<T> {
    /// Creates a value that is visible immediately.
    pub const fn new(value: T) -> Self {
        Self { visible: value, pending: VecDeque::new() }
    }

    /// Records a change at `now`, which becomes visible once it is `lag` old.
    pub fn set(&mut self, now: HostTime, lag: Millis, value: T) {
        self.pending.push_back((now, value));
        self.apply_due(now, lag);
        if self.pending.len() > MAX_PENDING {
            self.apply_next();
        }
    }

    /// Makes pending changes visible that are at least `lag` old.
    pub fn apply_due(&mut self, now: HostTime, lag: Millis) {
        while self.pending.front().is_some_and(|(at, _)| now.since(*at) >= lag) {
            self.apply_next();
        }
    }

    /// Returns the value as it was `lag` ago.
    pub fn visible(&mut self, now: HostTime, lag: Millis) -> &T {
        self.apply_due(now, lag);
        &self.visible
    }

    /// Returns the latest value, ignoring the delay.
    pub fn latest(&self) -> &T {
        self.pending.back().map_or(&self.visible, |(_, value)| value)
    }

    fn apply_next(&mut self) {
        if let Some((_, value)) = self.pending.pop_front() {
            self.visible = value;
        }
    }
}
