//! State shared by all connections of a listener: its limits, its open connections and requests, and its shutdown.

use crate::client::MAX_COPIED_BODY;
use crate::client_limits::ClientLimits;
use crate::framing::{Oversize, SizeJudge};
use crate::serve::Limits;
use event_listener::Event;
use metrics::{counter, gauge};
use skylarkdock_dispatch::descriptors::{CallerAdmission, Shares};
use skylarkdock_dispatch::shutdown::Shutdown;
use skylarkdock_freshness::final_answers::{FinalAnswer, Unproven};
use skylarkdock_http1::head::RequestHead;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;
use std::task::Waker;

/// Number of requests that ended during a shutdown, by their end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ShutdownEnds {
    /// Requests with the answer of an upstream.
    pub answered: u32,
    /// Requests that no upstream has run.
    pub refused: u32,
    /// Requests without an answer that an upstream may have run.
    pub unknown: u32,
}

/// Function that tells from the head of a request whether its body may be needed.
pub struct BodyJudge(pub Box<dyn Fn(&RequestHead) -> bool>);

impl fmt::Debug for BodyJudge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("BodyJudge")
    }
}

/// Function that returns the limits for the next request.
struct LimitsSource(Box<dyn Fn() -> Limits>);

impl fmt::Debug for LimitsSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LimitsSource")
    }
}

/// Name of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenerName(pub &'static str);

impl Default for ListenerName {
    fn default() -> Self {
        Self("callers")
    }
}

/// State shared by all connections of a listener.
#[derive(Debug, Default)]
pub struct ListenerState {
    /// Whether the host is shutting down. Connections are then closed after their pending answers.
    pub is_leaving: Cell<bool>,
    /// The shutdown, once the host was told to stop. Requests that probably outlast it are refused.
    pub shutdown: Cell<Option<Shutdown>>,
    /// Notified when `shutdown` is set.
    pub shutdown_started: Event,
    /// Requests that have ended during the shutdown.
    pub shutdown_ends: Cell<ShutdownEnds>,
    /// Number of requests that are running.
    pub in_flight: Cell<usize>,
    /// Number of open connections.
    pub open: Cell<usize>,
    /// Number of connections with a request that is being received or running, or with an answer that is being written.
    pub busy: Cell<usize>,
    /// Limits for callers, once they are configured.
    pub limits: Cell<Option<Limits>>,
    /// Version of the configuration that they are from; zero while they are built in.
    pub limits_version: Cell<u64>,
    /// Shares of the descriptors, on the listener of callers.
    pub shares: Cell<Option<Shares>>,
    /// Limits for clients that misbehave.
    pub client_limits: Cell<ClientLimits>,
    /// Name of the listener in logs and metrics.
    pub name: Cell<ListenerName>,
    /// Whether the handler copies bodies whole.
    pub copies_bodies: Cell<bool>,
    body_judge: OnceCell<BodyJudge>,
    limits_source: OnceCell<LimitsSource>,
    /// Whether callers have their share, as it was logged.
    is_full: Cell<bool>,
    /// Connections without a request.
    pub(crate) idle: IdleConnections,
    size_judge: OnceCell<SizeJudge>,
}

/// Connections without a request, by when they became so.
#[derive(Debug, Default)]
pub(crate) struct IdleConnections {
    next: Cell<u64>,
    by_age: RefCell<BTreeMap<u64, IdleConnection>>,
}

/// Connection without a request.
#[derive(Debug)]
struct IdleConnection {
    is_unwanted: Rc<Cell<bool>>,
    waker: Waker,
}

impl IdleConnections {
    /// Adds a connection and returns its key. If it is to be closed, `is_unwanted` is set and the connection woken.
    pub(crate) fn add(&self, is_unwanted: &Rc<Cell<bool>>, waker: &Waker) -> u64 {
        let key = self.next.get();
        self.next.set(key + 1);
        let connection =
            IdleConnection { is_unwanted: Rc::clone(is_unwanted), waker: waker.clone() };
        self.by_age.borrow_mut().insert(key, connection);
        key
    }

    /// Removes a connection, which may be gone already.
    pub(crate) fn remove(&self, key: u64) {
        self.by_age.borrow_mut().remove(&key);
    }

    fn count(&self) -> u32 {
        u32::try_from(self.by_age.borrow().len()).unwrap_or(u32::MAX)
    }

    fn close_longest(&self) {
        let longest = self.by_age.borrow_mut().pop_first();
        if let Some((_, IdleConnection { is_unwanted, waker })) = longest {
            is_unwanted.set(true);
            waker.wake();
        }
    }
}

impl ListenerState {
    /// Begins the shutdown.
    pub fn start_shutdown(&self, shutdown: Shutdown) {
        self.is_leaving.set(true);
        self.shutdown.set(Some(shutdown));
        self.shutdown_started.notify(usize::MAX);
    }

    /// Sets what judges requests that exceed their limits. It can be set once.
    pub(crate) fn set_size_judge(&self, judge: SizeJudge) {
        // The first one stays.
        let _ = self.size_judge.set(judge);
    }

    /// Sets what tells whether a request is decided without its body. It can be set once.
    pub fn set_body_judge(&self, judge: BodyJudge) {
        // The first one stays.
        let _ = self.body_judge.set(judge);
    }

    /// Sets where the limits for requests come from, in place of `limits`. It can be set once.
    pub(crate) fn set_limits_source(&self, source: impl Fn() -> Limits + 'static) {
        // The first one stays.
        let _ = self.limits_source.set(LimitsSource(Box::new(source)));
    }

    /// Returns whether a request may need its body.
    pub(crate) fn needs_body(&self, head: &RequestHead) -> bool {
        self.body_judge.get().is_none_or(|judge| judge.0(head))
    }

    /// Returns how many bytes the handler copies of a body of this length.
    pub(crate) fn copied_bytes(&self, body_len: usize) -> u64 {
        let copied =
            if self.copies_bodies.get() { body_len } else { body_len.min(MAX_COPIED_BODY) };
        copied as u64
    }

    /// Returns the answer to a request that exceeds its limits, if it is wrong under every configuration that may be in force.
    pub(crate) fn judge_size(&self, oversize: Oversize) -> Result<FinalAnswer, Unproven> {
        self.size_judge.get().map_or(Err(Unproven::NoConfig), |judge| judge.0(oversize))
    }

    /// Decides on the next connection.
    pub(crate) fn admission(&self) -> CallerAdmission {
        let Some(shares) = self.shares.get() else { return CallerAdmission::Accept };
        shares.admit(u32::try_from(self.open.get()).unwrap_or(u32::MAX), self.idle.count())
    }

    /// Closes the connection that has had no request for longest.
    pub(crate) fn close_idle(&self) {
        counter!("skylarkdock_idle_callers_closed_total").increment(1);
        self.idle.close_longest();
    }

    /// Counts a connection as open or closed, and logs when the share of callers becomes full and when it has room again.
    pub(crate) fn add_open(&self, added: bool) {
        let open = if added { self.open.get() + 1 } else { self.open.get() - 1 };
        self.open.set(open);
        let Some(shares) = self.shares.get() else { return };
        let open = u32::try_from(open).unwrap_or(u32::MAX);
        let name = self.name.get().0;
        gauge!("skylarkdock_descriptors", "purpose" => name).set(f64::from(open));
        let is_full = shares.is_full(open, self.is_full.get());
        if self.is_full.replace(is_full) != is_full {
            let (idle, busy) = (self.idle.count(), self.busy.get());
            if is_full {
                log::warn!(listener = name, open = open, idle = idle, busy = busy, share = shares.callers; "serve: callers have their share of the descriptors");
            } else {
                log::info!(listener = name, open = open, idle = idle, busy = busy, share = shares.callers; "serve: callers' share of the descriptors has room again");
            }
        }
    }

    /// Returns the limits for the next request of any connection.
    pub(crate) fn limits(&self) -> Limits {
        let source = self.limits_source.get();
        source.map_or_else(|| self.limits.get().unwrap_or_default(), |source| source.0())
    }
}

/// Counts a request as in flight until it is dropped.
pub(crate) struct InFlight(Rc<ListenerState>);

impl InFlight {
    pub(crate) fn new(shared: &Rc<ListenerState>) -> Self {
        shared.in_flight.set(shared.in_flight.get() + 1);
        Self(Rc::clone(shared))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Counts a connection as busy until it is dropped.
pub(crate) struct Busy(Rc<ListenerState>);

impl Busy {
    pub(crate) fn new(shared: &Rc<ListenerState>) -> Self {
        shared.busy.set(shared.busy.get() + 1);
        Self(Rc::clone(shared))
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.set(self.0.busy.get() - 1);
    }
}
