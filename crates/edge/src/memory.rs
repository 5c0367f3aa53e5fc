//! Memory that the process holds for others. Both threads draw from it, for connections at all listeners and for answers.
//!
//! It belongs to the process, as its memory does: hosts that share a process in tests share it, too.

use crate::clock;
use crate::listener::ListenerName;
use metrics::gauge;
use skylarkdock_dispatch::memory_budget::{self, AccountId, Grant, MemoryBudget, Stage};
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::measures::ByteSize;
use std::future::poll_fn;
use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, LazyLock, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

/// Budget of the process, who waits for it and who is to give some back.
struct HostMemory {
    budget: MemoryBudget,
    /// Connections, to be woken when they are to close.
    connections: FastMap<AccountId, Connection>,
    /// Those who wait until memory is given back.
    waiting: Vec<Waker>,
}

struct Connection {
    listener: ListenerName,
    is_closing: Arc<AtomicBool>,
    waker: Option<Waker>,
}

static MEMORY: LazyLock<Mutex<HostMemory>> = LazyLock::new(|| {
    Mutex::new(HostMemory {
        budget: MemoryBudget::new(memory_budget::budget_of(memory_budget::DEFAULT_MEMORY)),
        connections: FastMap::default(),
        waiting: Vec::new(),
    })
});

fn lock() -> MutexGuard<'static, HostMemory> {
    MEMORY.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sets the budget.
pub fn set_budget(budget: ByteSize) {
    lock().budget.set_capacity(budget);
}

/// Returns what is held, and the budget.
pub fn usage() -> (ByteSize, ByteSize) {
    let memory = lock();
    (memory.budget.held(), memory.budget.capacity())
}

/// Tells a connection of a listener to close that has stopped within a request, or reads no answers. Returns whether there is
/// one.
pub(crate) fn close_stopped(listener: ListenerName) -> bool {
    let memory = &mut *lock();
    let connections = &memory.connections;
    let is_candidate = |id| connections.get(&id).is_some_and(|c| c.listener == listener);
    let Some(id) = memory.budget.close_stopped(is_candidate, clock::now()) else { return false };
    memory.tell_closing(&[id]);
    true
}

/// Sets the gauges of what is held.
#[expect(clippy::cast_precision_loss, reason = "gauges need no more")]
pub(crate) fn set_gauges() {
    let (ByteSize(held), ByteSize(budget)) = usage();
    gauge!("skylarkdock_held_bytes").set(held as f64);
    gauge!("skylarkdock_held_limit_bytes").set(budget as f64);
}

impl HostMemory {
    fn tell_closing(&self, chosen: &[AccountId]) {
        for connection in chosen.iter().filter_map(|id| self.connections.get(id)) {
            connection.is_closing.store(true, Ordering::Relaxed);
            if let Some(waker) = &connection.waker {
                waker.wake_by_ref();
            }
        }
    }

    fn wake_waiting(&mut self) {
        for waker in self.waiting.drain(..) {
            waker.wake();
        }
    }

    fn wait(&mut self, cx: &Context<'_>) {
        if !self.waiting.iter().any(|waker| waker.will_wake(cx.waker())) {
            self.waiting.push(cx.waker().clone());
        }
    }
}

/// What one connection holds. It is given back when this is dropped.
#[derive(Debug)]
pub(crate) struct Account {
    id: AccountId,
    is_closing: Arc<AtomicBool>,
    has_waker: bool,
    /// What was granted or recorded last.
    held: u64,
    stage: Stage,
}

/// Answer to a connection that asks for memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Asked {
    Granted,
    /// Its task is woken when there may be some.
    Wait,
    Refused,
}

impl Account {
    /// Opens an account for a connection from an address.
    pub(crate) fn open(addr: Option<IpAddr>, listener: ListenerName) -> Self {
        let is_closing = Arc::new(AtomicBool::new(false));
        let mut memory = lock();
        let id = memory.budget.open(addr, clock::now());
        let connection = Connection { listener, is_closing: Arc::clone(&is_closing), waker: None };
        memory.connections.insert(id, connection);
        Self { id, is_closing, has_waker: false, held: 0, stage: Stage::Idle }
    }

    /// Returns whether the connection is to give back what it holds, and keeps its task to be woken for that.
    pub(crate) fn poll_closing(&mut self, cx: &Context<'_>) -> bool {
        if !self.has_waker {
            self.has_waker = true;
            if let Some(connection) = lock().connections.get_mut(&self.id) {
                connection.waker = Some(cx.waker().clone());
            }
        }
        self.is_closing.load(Ordering::Relaxed)
    }

    /// Asks for memory so that the connection holds `held`.
    pub(crate) fn ask(&mut self, held: u64, cx: &Context<'_>) -> Asked {
        if held <= self.held {
            return Asked::Granted;
        }
        let mut memory = lock();
        match memory.budget.ask(self.id, held - self.held, clock::now()) {
            Grant::Granted => {
                self.held = held;
                Asked::Granted
            }
            Grant::Wait(chosen) => {
                memory.tell_closing(&chosen);
                memory.wait(cx);
                Asked::Wait
            }
            Grant::Refused => Asked::Refused,
        }
    }

    /// Records what the connection holds and does, and how much it has moved since the last time.
    pub(crate) fn record(&mut self, held: u64, stage: Stage, moved: u64) {
        let is_closing = self.is_closing.load(Ordering::Relaxed);
        if held == self.held && stage == self.stage && moved == 0 && !is_closing {
            return;
        }
        let mut memory = lock();
        let is_less = memory.budget.record(self.id, (held, stage), moved, clock::now());
        (self.held, self.stage) = (held, stage);
        if self.is_closing.swap(false, Ordering::Relaxed) {
            memory.budget.on_closing_done(self.id);
            memory.wake_waiting();
        } else if is_less {
            memory.wake_waiting();
        }
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        let mut memory = lock();
        memory.connections.remove(&self.id);
        memory.budget.close(self.id);
        memory.wake_waiting();
    }
}

/// Memory of an answer that is being received or passed on, or of a copy of a body. It is given back when this is dropped.
#[derive(Debug, Default)]
pub struct AnswerMemory(u64);

/// There is no memory for an answer, and nobody who could give some back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("no memory for an answer")]
pub struct NoMemory;

impl AnswerMemory {
    /// Adds bytes that are about to be held, once there is room for them.
    ///
    /// # Errors
    ///
    /// Fails if nobody can give memory back, unless the whole is small: that waits.
    pub async fn grow(&mut self, bytes: u64) -> Result<(), NoMemory> {
        poll_fn(|cx| self.poll_grow(bytes, cx)).await
    }

    fn poll_grow(&mut self, bytes: u64, cx: &Context<'_>) -> Poll<Result<(), NoMemory>> {
        let mut memory = lock();
        match memory.budget.ask_for_answer(bytes, self.0, clock::now()) {
            Grant::Granted => {
                self.0 += bytes;
                return Poll::Ready(Ok(()));
            }
            Grant::Wait(chosen) => memory.tell_closing(&chosen),
            Grant::Refused if self.0 + bytes > memory_budget::SMALL_BYTES => {
                return Poll::Ready(Err(NoMemory));
            }
            Grant::Refused => {}
        }
        memory.wait(cx);
        Poll::Pending
    }

    /// Gives back what is held beyond `bytes`.
    pub fn shrink(&mut self, bytes: u64) {
        let extra = self.0.saturating_sub(bytes);
        if extra == 0 {
            return;
        }
        self.0 -= extra;
        let mut memory = lock();
        memory.budget.give_back(extra);
        memory.wake_waiting();
    }
}

impl Drop for AnswerMemory {
    fn drop(&mut self) {
        self.shrink(0);
    }
}
