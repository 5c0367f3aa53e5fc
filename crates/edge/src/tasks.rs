//! Tasks that a host can't do without.
//!
//! The executor drops a task that panics and goes on with the others. Without the task that reads the registry, for
//! example, the host would serve callers by what it last knew. So such a fault is recorded, and the host shuts down.

use crate::status::Status;
use async_executor::LocalExecutor;
use futures_lite::FutureExt;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;

/// Starts a task that a host can't do without. If it panics, the host shuts down.
pub fn spawn(
    ex: &LocalExecutor<'static>,
    status: &Arc<Status>,
    name: &'static str,
    task: impl Future<Output = ()> + 'static,
) {
    let status = Arc::clone(status);
    let watched = async move {
        // What the task has left behind is used only until the host has shut down.
        if AssertUnwindSafe(task).catch_unwind().await.is_err() {
            log::error!(task = name; "host: a task has panicked");
            status.record_fault(name);
        }
    };
    ex.spawn(watched).detach();
}
