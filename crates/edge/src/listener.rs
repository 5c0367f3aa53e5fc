//! State shared by all connections of a listener: its limits, its open connections and requests, and its shutdown.

use crate::framing::{Oversize, SizeJudge};
use crate::serve::Limits;
use event_listener::Event;
use skylarkdock_dispatch::shutdown::Shutdown;
use skylarkdock_freshness::final_answers::{FinalAnswer, Unproven};
use std::cell::{Cell, OnceCell};
use std::rc::Rc;

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
    size_judge: OnceCell<SizeJudge>,
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

    /// Returns the answer to a request that exceeds its limits, if it is wrong under every configuration that may be in force.
    pub(crate) fn judge_size(&self, oversize: Oversize) -> Result<FinalAnswer, Unproven> {
        self.size_judge.get().map_or(Err(Unproven::NoConfig), |judge| judge.0(oversize))
    }

    /// Returns the limits for the next request of any connection.
    pub(crate) fn limits(&self) -> Limits {
        self.limits.get().unwrap_or_default()
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
