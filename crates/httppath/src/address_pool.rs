//! Pool of the connections to one address: idle connections, a limited number of slots for open ones, and the queue of
//! callers that wait for either.

use crate::client_connection::ClientConnection;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Numbers of connections and of waiting callers of one address.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Open connections and those being opened, idle ones included.
    pub open: usize,
    /// Open connections without a request.
    pub idle: usize,
    /// Callers queued for a connection.
    pub waiting: usize,
}

/// Permission to have one connection to an address open. When dropped, it goes to the next caller in the queue.
pub(crate) struct Slot {
    address_pool: Arc<AddressPool>,
}

impl Slot {
    pub(crate) fn address_pool(&self) -> &Arc<AddressPool> {
        &self.address_pool
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.address_pool.release_slot();
    }
}

/// An open connection and its slot. The connection closes before the slot is released.
pub(crate) struct PooledConnection {
    pub(crate) connection: Box<ClientConnection>,
    pub(crate) slot: Slot,
}

/// What a caller sends its request on.
pub(crate) enum Checkout {
    /// An open connection that has no other request.
    Reused(PooledConnection),
    /// A slot for a new connection.
    New(Slot),
}

struct IdleConnection {
    conn: PooledConnection,
    since: Instant,
}

struct Waiter {
    id: u64,
    tx: async_channel::Sender<Checkout>,
}

#[derive(Default)]
struct AddressState {
    open: usize,
    idle: VecDeque<IdleConnection>,
    waiters: VecDeque<Waiter>,
    next_waiter: u64,
    closed: bool,
}

/// Limits on the connections to one address.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    pub(crate) max_open: usize,
    pub(crate) max_idle: usize,
}

pub(crate) struct AddressPool {
    limits: Limits,
    state: Mutex<AddressState>,
}

/// A caller's entry in the queue; dropping it takes the caller out of the queue.
pub(crate) struct QueueEntry {
    address_pool: Arc<AddressPool>,
    id: u64,
    rx: async_channel::Receiver<Checkout>,
}

impl QueueEntry {
    pub(crate) async fn wait(&self) -> Option<Checkout> {
        self.rx.recv().await.ok()
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        self.rx.close();
        let mut state = self.address_pool.lock();
        let found = state.waiters.binary_search_by_key(&self.id, |waiter| waiter.id);
        let waiter = found.ok().and_then(|index| state.waiters.remove(index));
        drop(state);
        drop(waiter);
        // What the caller was given but did not receive goes to the next one.
        match self.rx.try_recv() {
            Ok(Checkout::Reused(conn)) => release(conn),
            Ok(Checkout::New(slot)) => drop(slot),
            Err(_) => {}
        }
    }
}

/// A checkout, or an entry in the queue for one.
pub(crate) enum CheckoutResult {
    Ready(Checkout),
    Queued(QueueEntry),
}

impl AddressPool {
    pub(crate) fn new(limits: Limits) -> Arc<Self> {
        Arc::new(Self { limits, state: Mutex::default() })
    }

    fn lock(&self) -> MutexGuard<'_, AddressState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn counts(&self) -> ConnectionCounts {
        let state = self.lock();
        ConnectionCounts { open: state.open, idle: state.idle.len(), waiting: state.waiters.len() }
    }

    pub(crate) fn check_out(self: &Arc<Self>) -> CheckoutResult {
        let mut state = self.lock();
        if let Some(idle) = state.idle.pop_back() {
            return CheckoutResult::Ready(Checkout::Reused(idle.conn));
        }
        if state.open < self.limits.max_open {
            state.open += 1;
            return CheckoutResult::Ready(Checkout::New(Slot { address_pool: Arc::clone(self) }));
        }
        let id = state.next_waiter;
        state.next_waiter += 1;
        let (tx, rx) = async_channel::bounded(1);
        state.waiters.push_back(Waiter { id, tx });
        CheckoutResult::Queued(QueueEntry { address_pool: Arc::clone(self), id, rx })
    }

    /// Takes a slot for a warm connection if fewer than `min_open` connections are open.
    pub(crate) fn acquire_slot_below(self: &Arc<Self>, min_open: usize) -> Option<Slot> {
        let mut state = self.lock();
        if state.closed || state.open >= min_open.min(self.limits.max_open) {
            return None;
        }
        state.open += 1;
        Some(Slot { address_pool: Arc::clone(self) })
    }

    fn release_slot(self: &Arc<Self>) {
        let mut state = self.lock();
        let Some(waiter) = state.waiters.pop_front() else {
            state.open -= 1;
            return;
        };
        drop(state);
        let slot = Slot { address_pool: Arc::clone(self) };
        // If the caller has just left the queue, the send fails and drops the slot, which releases it to the next one.
        let _ = waiter.tx.try_send(Checkout::New(slot));
    }

    /// Closes the idle connections that the peer has closed, and those idle since before `idle_before` as long as more
    /// than `min_open` connections are open.
    pub(crate) fn close_stale(self: &Arc<Self>, idle_before: Option<Instant>, min_open: usize) {
        let count = self.lock().idle.len();
        for _ in 0..count {
            let Some(mut idle) = self.lock().idle.pop_front() else { return };
            let usable = idle.conn.connection.is_open();
            let expired = idle_before.is_some_and(|before| idle.since < before);
            let mut state = self.lock();
            let within_min_open = state.open <= min_open;
            if usable && !state.closed && (!expired || within_min_open) && state.waiters.is_empty()
            {
                state.idle.push_back(idle);
                continue;
            }
            drop(state);
            if usable && !expired {
                release(idle.conn);
            }
        }
    }

    /// Closes all idle connections now, and the others when their response ends.
    pub(crate) fn close(&self) {
        let mut state = self.lock();
        state.closed = true;
        let idle = std::mem::take(&mut state.idle);
        drop(state);
        drop(idle);
    }
}

/// Hands a usable connection to the next caller in the queue, or keeps it idle.
pub(crate) fn release(mut conn: PooledConnection) {
    let address_pool = Arc::clone(conn.slot.address_pool());
    loop {
        let mut state = address_pool.lock();
        let Some(waiter) = state.waiters.pop_front() else {
            if !state.closed && state.idle.len() < address_pool.limits.max_idle {
                state.idle.push_back(IdleConnection { conn, since: Instant::now() });
                return;
            }
            drop(state);
            drop(conn);
            return;
        };
        drop(state);
        match waiter.tx.try_send(Checkout::Reused(conn)) {
            Ok(()) => return,
            Err(e) => match e.into_inner() {
                Checkout::Reused(returned) => conn = returned,
                Checkout::New(slot) => return drop(slot),
            },
        }
    }
}
