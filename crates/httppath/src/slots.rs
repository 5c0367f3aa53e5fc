//! Connections to one address: a limited number of slots, idle connections and the queue for both.

use crate::client_connection::ClientConnection;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Numbers of connections and callers of one address.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Open connections and those being opened, idle ones included.
    pub open: usize,
    /// Connections that wait for a request.
    pub idle: usize,
    /// Callers that wait for a connection.
    pub waiting: usize,
}

/// The right to one connection to an address; dropping it passes the right on.
pub(crate) struct Slot {
    address: Arc<Address>,
}

impl Slot {
    pub(crate) fn address(&self) -> &Arc<Address> {
        &self.address
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.address.pass_slot();
    }
}

/// An open connection and its slot. The connection closes before the slot is passed on.
pub(crate) struct Conn {
    pub(crate) line: Box<ClientConnection>,
    pub(crate) slot: Slot,
}

/// What a caller gets to send a request over.
pub(crate) enum Grant {
    Reused(Conn),
    Fresh(Slot),
}

struct Idle {
    conn: Conn,
    since: Instant,
}

struct Waiter {
    id: u64,
    tx: async_channel::Sender<Grant>,
}

#[derive(Default)]
struct State {
    open: usize,
    idle: VecDeque<Idle>,
    waiters: VecDeque<Waiter>,
    next_waiter: u64,
    closed: bool,
}

/// Limits of one address.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    pub(crate) max_open: usize,
    pub(crate) max_idle: usize,
}

pub(crate) struct Address {
    limits: Limits,
    state: Mutex<State>,
}

/// A caller's place in the queue; dropping it leaves the queue.
pub(crate) struct Place {
    address: Arc<Address>,
    id: u64,
    rx: async_channel::Receiver<Grant>,
}

impl Place {
    pub(crate) async fn grant(&self) -> Option<Grant> {
        self.rx.recv().await.ok()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.rx.close();
        let mut state = self.address.lock();
        let found = state.waiters.binary_search_by_key(&self.id, |waiter| waiter.id);
        let waiter = found.ok().and_then(|index| state.waiters.remove(index));
        drop(state);
        drop(waiter);
        // A grant that came too late goes to the next caller.
        match self.rx.try_recv() {
            Ok(Grant::Reused(conn)) => release(conn),
            Ok(Grant::Fresh(slot)) => drop(slot),
            Err(_) => {}
        }
    }
}

/// A grant, or a place in the queue for one.
pub(crate) enum Acquired {
    Now(Grant),
    Later(Place),
}

impl Address {
    pub(crate) fn new(limits: Limits) -> Arc<Self> {
        Arc::new(Self { limits, state: Mutex::default() })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn counts(&self) -> Counts {
        let state = self.lock();
        Counts { open: state.open, idle: state.idle.len(), waiting: state.waiters.len() }
    }

    pub(crate) fn acquire(self: &Arc<Self>) -> Acquired {
        let mut state = self.lock();
        if let Some(idle) = state.idle.pop_back() {
            return Acquired::Now(Grant::Reused(idle.conn));
        }
        if state.open < self.limits.max_open {
            state.open += 1;
            return Acquired::Now(Grant::Fresh(Slot { address: Arc::clone(self) }));
        }
        let id = state.next_waiter;
        state.next_waiter += 1;
        let (tx, rx) = async_channel::bounded(1);
        state.waiters.push_back(Waiter { id, tx });
        Acquired::Later(Place { address: Arc::clone(self), id, rx })
    }

    /// Takes a slot for a connection to be kept warm, as long as fewer than `target` are open.
    pub(crate) fn slot_below(self: &Arc<Self>, target: usize) -> Option<Slot> {
        let mut state = self.lock();
        if state.closed || state.open >= target.min(self.limits.max_open) {
            return None;
        }
        state.open += 1;
        Some(Slot { address: Arc::clone(self) })
    }

    fn pass_slot(self: &Arc<Self>) {
        let mut state = self.lock();
        let Some(waiter) = state.waiters.pop_front() else {
            state.open -= 1;
            return;
        };
        drop(state);
        let slot = Slot { address: Arc::clone(self) };
        // If the caller has just left, the slot comes back, is dropped here and goes to the next one.
        let _ = waiter.tx.try_send(Grant::Fresh(slot));
    }

    /// Closes idle connections that the peer has closed or that are older than `idle_since`, sparing `keep` of the
    /// latter.
    pub(crate) fn sweep(self: &Arc<Self>, idle_since: Option<Instant>, keep: usize) {
        let count = self.lock().idle.len();
        for _ in 0..count {
            let Some(mut idle) = self.lock().idle.pop_front() else { return };
            let usable = idle.conn.line.is_open();
            let expired = idle_since.is_some_and(|limit| idle.since < limit);
            let mut state = self.lock();
            let spared = state.open <= keep;
            if usable && !state.closed && (!expired || spared) && state.waiters.is_empty() {
                state.idle.push_back(idle);
                continue;
            }
            drop(state);
            if usable && !expired {
                release(idle.conn);
            }
        }
    }

    /// Closes all idle connections, and every other one when its exchange ends.
    pub(crate) fn close(&self) {
        let mut state = self.lock();
        state.closed = true;
        let idle = std::mem::take(&mut state.idle);
        drop(state);
        drop(idle);
    }
}

/// Gives a usable connection to the next caller in the queue, or keeps it idle.
pub(crate) fn release(mut conn: Conn) {
    let address = Arc::clone(conn.slot.address());
    loop {
        let mut state = address.lock();
        let Some(waiter) = state.waiters.pop_front() else {
            if !state.closed && state.idle.len() < address.limits.max_idle {
                state.idle.push_back(Idle { conn, since: Instant::now() });
                return;
            }
            drop(state);
            drop(conn);
            return;
        };
        drop(state);
        match waiter.tx.try_send(Grant::Reused(conn)) {
            Ok(()) => return,
            Err(e) => match e.into_inner() {
                Grant::Reused(back) => conn = back,
                Grant::Fresh(slot) => return drop(slot),
            },
        }
    }
}
