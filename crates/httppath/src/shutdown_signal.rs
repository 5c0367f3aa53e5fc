//! Tells the tasks of a server which stage its shutdown has reached. The stage never goes back.

use skylarkdock_units::collections::FastMap;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker};

/// Stages of a server's shutdown, in order. A server has reached none before its shutdown begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub(crate) enum ShutdownStage {
    /// Accepts connections, and closes each after its next response.
    Draining = 1,
    /// Accepts no more connections.
    Stopping,
    /// Drops the connections that are still open.
    Aborting,
}

/// The stage reached, and the tasks to wake when the next one is.
#[derive(Default)]
pub(crate) struct ShutdownSignal {
    stage: AtomicU8,
    next_id: AtomicU64,
    wakers: Mutex<FastMap<u64, Waker>>,
}

impl ShutdownSignal {
    pub(crate) fn advance_to(&self, stage: ShutdownStage) {
        self.stage.fetch_max(stage as u8, Ordering::SeqCst);
        let wakers = self.wakers.lock().unwrap_or_else(PoisonError::into_inner).clone();
        wakers.into_values().for_each(Waker::wake);
    }

    pub(crate) fn reached(&self, stage: ShutdownStage) -> bool {
        self.stage.load(Ordering::SeqCst) >= stage as u8
    }

    pub(crate) fn watch(self: &Arc<Self>) -> ShutdownWatch {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        ShutdownWatch { signal: Arc::clone(self), id, waker: None }
    }
}

/// Lets one task wait for a stage.
pub(crate) struct ShutdownWatch {
    signal: Arc<ShutdownSignal>,
    id: u64,
    waker: Option<Waker>,
}

impl ShutdownWatch {
    /// Returns ready if the stage is reached; otherwise the task is woken when it is. Takes the lock only if the task's
    /// waker has changed since the last call.
    pub(crate) fn poll(&mut self, cx: &mut Context<'_>, stage: ShutdownStage) -> Poll<()> {
        let registered = self.waker.as_ref().is_some_and(|waker| waker.will_wake(cx.waker()));
        if !registered {
            let mut wakers = self.signal.wakers.lock().unwrap_or_else(PoisonError::into_inner);
            wakers.insert(self.id, cx.waker().clone());
            self.waker = Some(cx.waker().clone());
        }
        if self.signal.reached(stage) { Poll::Ready(()) } else { Poll::Pending }
    }
}

impl Drop for ShutdownWatch {
    fn drop(&mut self) {
        let mut wakers = self.signal.wakers.lock().unwrap_or_else(PoisonError::into_inner);
        let waker = wakers.remove(&self.id);
        drop(wakers);
        drop(waker);
    }
}
