//! Share of the descriptors for connections to upstreams.
//!
//! Load pattern: clients that pipeline requests and read their answers slowly keep connections to upstreams open, as those pass
//! on answers for which there is no memory yet. Beyond its share a host opens one only when another is closed.

use async_lock::{Semaphore, SemaphoreGuardArc};
use std::cell::Cell;
use std::sync::Arc;

/// Right to have a connection open, until it is dropped.
pub type Permit = SemaphoreGuardArc;

/// Connections that may be open at a time.
#[derive(Debug)]
pub struct ConnectionShare {
    free: Arc<Semaphore>,
    waiting: Cell<usize>,
}

/// Counts who waits, until it is dropped.
struct Waiting<'a>(&'a Cell<usize>);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl ConnectionShare {
    /// Creates a share of so many connections.
    pub fn new(connections: u32) -> Self {
        let connections = usize::try_from(connections).unwrap_or(usize::MAX).max(1);
        Self { free: Arc::new(Semaphore::new(connections)), waiting: Cell::default() }
    }

    /// Takes a permit if there is one.
    pub fn try_take(&self) -> Option<Permit> {
        self.free.try_acquire_arc()
    }

    /// Takes a permit once there is one.
    pub async fn take(&self) -> Permit {
        self.waiting.set(self.waiting.get() + 1);
        let _waiting = Waiting(&self.waiting);
        self.free.acquire_arc().await
    }

    /// Returns whether somebody waits, so that connections are closed instead of being kept idle.
    pub fn is_wanted(&self) -> bool {
        self.waiting.get() > 0
    }
}
