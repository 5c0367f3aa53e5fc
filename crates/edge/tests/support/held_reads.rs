//! Holds the reads of answers back, so that a write of a request learns of a reset before they do.

use futures_lite::future;
use skylarkdock_dispatch::memory_budget::{self, DEFAULT_MEMORY};
use skylarkdock_edge::memory::{self, AnswerMemory};
use skylarkdock_units::measures::ByteSize;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time after a reset within which a waiting write learns of it.
pub const RESET_TIME: Duration = Duration::from_millis(100);
/// The memory for answers belongs to the process, so tests that use it run one at a time.
static IN_USE: Mutex<()> = Mutex::new(());

/// Right of a test to hold reads back. They go on when this is dropped.
pub struct Turn(MutexGuard<'static, ()>);

impl Drop for Turn {
    fn drop(&mut self) {
        release();
    }
}

/// Waits until no other test holds reads back.
pub fn wait_for_turn() -> Turn {
    Turn(IN_USE.lock().unwrap_or_else(PoisonError::into_inner))
}

/// Holds the reads of answers to requests back. Those that wait for bytes already get them.
pub fn hold() {
    memory::set_budget(ByteSize(0));
}

/// Lets answers be read again.
pub fn release() {
    memory::set_budget(memory_budget::budget_of(DEFAULT_MEMORY));
    // Gives it back at once, which wakes those who wait for memory.
    future::block_on(AnswerMemory::default().grow(1)).unwrap();
}
