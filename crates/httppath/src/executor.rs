//! Async executor with a fixed number of named threads.

use async_executor::Task;
use std::future::Future;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};

/// Runs tasks on its threads until it is stopped or the last handle is dropped.
#[derive(Clone)]
pub struct Executor {
    tasks: Arc<async_executor::Executor<'static>>,
    threads: Arc<Threads>,
}

struct Threads {
    stop_tx: async_channel::Sender<()>,
    handles: Mutex<Vec<JoinHandle<()>>>,
}

impl Executor {
    /// Starts `count` threads, but at least one, with names of the form `name-index`.
    ///
    /// # Errors
    ///
    /// Fails if a thread can't be started; those already started are stopped.
    pub fn start(name: &str, count: usize) -> io::Result<Self> {
        let tasks = Arc::new(async_executor::Executor::new());
        let (stop_tx, stop_rx) = async_channel::bounded::<()>(1);
        let threads = Arc::new(Threads { stop_tx, handles: Mutex::new(Vec::new()) });
        let executor = Self { tasks, threads };
        for index in 0..count.max(1) {
            let tasks = Arc::clone(&executor.tasks);
            let stop_rx = stop_rx.clone();
            let run = move || {
                // Nothing is ever sent: receiving ends when the channel is closed.
                let _ = async_io::block_on(tasks.run(stop_rx.recv()));
            };
            let spawned = thread::Builder::new().name(format!("{name}-{index}")).spawn(run);
            match spawned {
                Ok(handle) => executor.handles().push(handle),
                Err(e) => {
                    executor.stop();
                    return Err(e);
                }
            }
        }
        Ok(executor)
    }

    /// Runs a future as a task; dropping the handle cancels it.
    pub fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.tasks.spawn(future)
    }

    /// Stops the threads and waits for them, except for the calling thread. Tasks that have not ended make no more
    /// progress and are dropped with the executor.
    pub fn stop(&self) {
        self.threads.stop_tx.close();
        let handles = std::mem::take(&mut *self.handles());
        let current = thread::current().id();
        for handle in handles {
            if handle.thread().id() != current {
                // A panic of the thread was already printed and needs no clean-up here.
                let _ = handle.join();
            }
        }
    }

    fn handles(&self) -> std::sync::MutexGuard<'_, Vec<JoinHandle<()>>> {
        self.threads.handles.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Threads {
    fn drop(&mut self) {
        self.stop_tx.close();
    }
}
