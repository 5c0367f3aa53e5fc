//! Readiness and shutdown state, shared by the threads of a host.

use std::sync::atomic::{AtomicBool, Ordering};

/// State of a host, shared by its threads.
#[derive(Debug, Default)]
pub struct Status {
    is_ready: AtomicBool,
    is_leaving: AtomicBool,
}

impl Status {
    /// Returns whether the host has the state that it needs to serve callers.
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed)
    }

    /// Sets whether the host has the state that it needs to serve callers.
    pub fn set_ready(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Relaxed);
    }

    /// Returns whether the host is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Records that the host is shutting down.
    pub fn set_leaving(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }
}
