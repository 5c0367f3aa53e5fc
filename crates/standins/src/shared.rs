//! State shared between the connections of a process, with notification of its updates.

use async_channel::{Receiver, Sender};
use std::convert::Infallible;
use std::sync::{Arc, Mutex, PoisonError};

struct Inner<T> {
    value: T,
    update_signal: (Sender<Infallible>, Receiver<Infallible>),
}

/// A value behind a mutex; [`Shared::update`] wakes the tasks in [`Shared::wait_for`].
pub struct Shared<T>(Arc<Mutex<Inner<T>>>);

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<T> Shared<T> {
    /// Wraps a value.
    pub fn new(value: T) -> Self {
        Self(Arc::new(Mutex::new(Inner { value, update_signal: async_channel::bounded(1) })))
    }

    /// Runs `f` on the locked value without waking waiting tasks.
    pub fn with<R>(&self, f: impl FnOnce(&mut T) -> R) -> R {
        let mut inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        f(&mut inner.value)
    }

    /// Runs `f` on the locked value, then wakes all waiting tasks.
    pub fn update<R>(&self, f: impl FnOnce(&mut T) -> R) -> R {
        let mut inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let result = f(&mut inner.value);
        let (tx, _) = std::mem::replace(&mut inner.update_signal, async_channel::bounded(1));
        tx.close();
        result
    }

    /// Waits until `f` returns a value; `f` is called at once and again after each [`Shared::update`].
    pub async fn wait_for<R>(&self, mut f: impl FnMut(&mut T) -> Option<R>) -> R {
        loop {
            let updated = match self.poll_condition(&mut f) {
                Ok(result) => return result,
                Err(updated) => updated,
            };
            // No message is ever sent; `recv` returns when the sender is closed.
            let _closed = updated.recv().await;
        }
    }

    fn poll_condition<R>(
        &self,
        f: &mut impl FnMut(&mut T) -> Option<R>,
    ) -> Result<R, Receiver<Infallible>> {
        let mut inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let ready = f(&mut inner.value);
        ready.ok_or_else(|| inner.update_signal.1.clone())
    }
}
