//! The routing table that the control thread publishes and the traffic threads read.

use crate::clock;
use crate::desk::Desk;
use arc_swap::{ArcSwap, ArcSwapOption};
use event_listener::Event;
use skylarkdock_outcomes::memory::Memory;
use skylarkdock_outcomes::quarantine::Quarantine;
use skylarkdock_policy::budget::AttemptBudgets;
use skylarkdock_records::Service;
use skylarkdock_units::collections::{FastMap, FastSet};
use skylarkdock_units::ids::{Epoch, HostId, Member, RangeId, ServiceName};
use skylarkdock_units::times::HostTime;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Services and hosts as the control thread last saw them.
#[derive(Default)]
pub struct Table {
    /// Services in force.
    pub services: FastMap<ServiceName, Arc<ServiceTable>>,
    /// HTTP addresses of the hosts that are not gone.
    pub hosts: FastMap<HostId, SocketAddr>,
    /// Those of them that have not been heard of for a while.
    pub silent: FastSet<HostId>,
}

/// The table, replaced as a whole.
pub type SharedTable = Arc<ArcSwap<Table>>;

/// A service and its ranges.
pub struct ServiceTable {
    /// Its routing record.
    pub service: Arc<Service>,
    /// Its ranges by index.
    pub ranges: Vec<Arc<RangeSlot>>,
    /// What its requests share.
    pub shared: Arc<Shared>,
}

/// What the requests of a service share on this host.
#[derive(Default)]
pub struct Shared {
    /// AttemptBudgets for extra attempts.
    budgets: Mutex<AttemptBudgets>,
    /// Requests that crashed upstreams.
    quarantine: Mutex<Quarantine>,
}

impl Shared {
    /// Locks the budgets.
    pub fn budgets(&self) -> MutexGuard<'_, AttemptBudgets> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the quarantine.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A lease that this host holds, with the upstream that gets the range's requests.
pub struct Lease {
    /// The fencing token.
    pub epoch: Epoch,
    /// The owning upstream.
    pub desk: Arc<Desk>,
}

/// A range: how it is served here, or who else may serve it.
pub struct RangeSlot {
    /// The range.
    pub id: RangeId,
    /// Members of its lease in order.
    pub members: ArcSwap<Vec<Member>>,
    /// The lease held here.
    lease: ArcSwapOption<Lease>,
    open: AtomicBool,
    until: AtomicU64,
    in_flight: AtomicU32,
    /// Place in `members` that served the last forwarded request.
    hint: AtomicUsize,
    memory: Mutex<Option<Memory>>,
    /// Told when the lease held here changes.
    changed: Event,
}

impl RangeSlot {
    /// Builds a range that is not served here.
    pub fn new(id: RangeId) -> Self {
        Self {
            id,
            members: ArcSwap::default(),
            lease: ArcSwapOption::empty(),
            open: AtomicBool::new(false),
            until: AtomicU64::new(0),
            in_flight: AtomicU32::new(0),
            hint: AtomicUsize::new(0),
            memory: Mutex::new(None),
            changed: Event::new(),
        }
    }

    /// Lets requests in under a lease.
    pub fn open(&self, lease: Lease) {
        self.lease.store(Some(Arc::new(lease)));
        self.open.store(true, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }

    /// Lets no new requests in; those in flight go on while the lease runs.
    pub fn close(&self) {
        self.open.store(false, Ordering::SeqCst);
    }

    /// Ends the lease: nothing more is sent.
    pub fn end(&self) {
        self.close();
        self.until.store(0, Ordering::SeqCst);
        self.lease.store(None);
        self.changed.notify(usize::MAX);
    }

    /// Extends the lease.
    pub fn extend(&self, until: HostTime) {
        self.until.store(until.0, Ordering::SeqCst);
    }

    /// Tells whether new requests are let in.
    pub fn is_open(&self) -> bool {
        self.open.load(Ordering::SeqCst)
    }

    /// Returns how many requests are in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Tells whether a lease is still running, by the clock that runs during suspension.
    pub fn runs(&self, epoch: Epoch) -> bool {
        let same = self.lease.load().as_ref().is_some_and(|lease| lease.epoch == epoch);
        same && clock::host_time().0 < self.until.load(Ordering::SeqCst)
    }

    /// Tells whether an upstream still serves the range under a lease held here.
    pub fn is_served_by(&self, desk: &Arc<Desk>) -> bool {
        self.lease.load().as_ref().is_some_and(|lease| Arc::ptr_eq(&lease.desk, desk))
    }

    /// Waits until an upstream does not serve the range any more under a lease held here.
    pub async fn until_not_served_by(&self, desk: &Arc<Desk>) {
        loop {
            let changed = self.changed.listen();
            if !self.is_served_by(desk) {
                return;
            }
            changed.await;
        }
    }

    /// Lets a request in, if the range is served here.
    pub fn enter(self: &Arc<Self>) -> Option<Entry> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let visit = Visit(Arc::clone(self));
        if !self.is_open() {
            return None;
        }
        let lease = self.lease.load_full()?;
        self.runs(lease.epoch).then_some(Entry { visit, lease })
    }

    /// Locks the range's at-most-once memory.
    pub fn memory(&self) -> MutexGuard<'_, Option<Memory>> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the members in the order in which they should be asked.
    pub fn candidates(&self) -> Vec<Member> {
        let members = self.members.load();
        let mut ordered = members.as_ref().clone();
        if !ordered.is_empty() {
            let first = self.hint.load(Ordering::Relaxed) % ordered.len();
            ordered.rotate_left(first);
        }
        ordered
    }

    /// Notes which member served a request.
    pub fn served_by(&self, member: &Member) {
        let place = self.members.load().iter().position(|candidate| candidate == member);
        if let Some(place) = place {
            self.hint.store(place, Ordering::Relaxed);
        }
    }
}

/// A request in flight; counts until it is dropped.
pub struct Visit(Arc<RangeSlot>);

impl Visit {
    /// Returns the range.
    pub fn range(&self) -> &Arc<RangeSlot> {
        &self.0
    }
}

impl Drop for Visit {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A request that was let in.
pub struct Entry {
    /// Keeps it counted.
    pub visit: Visit,
    /// The lease under which it was let in.
    pub lease: Arc<Lease>,
}
