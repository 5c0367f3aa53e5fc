//! The routing table, which the control thread publishes and the traffic threads read.

use crate::clock;
use crate::upstream_queue::UpstreamQueue;
use arc_swap::{ArcSwap, ArcSwapOption};
use event_listener::Event;
use skylarkdock_outcomes::memory::Memory;
use skylarkdock_outcomes::quarantine::Quarantine;
use skylarkdock_policy::budget::AttemptBudgets;
use skylarkdock_records::Service;
use skylarkdock_units::collections::{FastMap, FastSet};
use skylarkdock_units::ids::{Epoch, HostId, Member, RangeId, ServiceName};
use skylarkdock_units::times::{HostTime, Millis};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Largest age of the proof by which a service counts as absent: three of the log's longest polls.
pub const MAX_ABSENCE_PROOF_AGE_MS: Millis = Millis(3_000);

/// Snapshot of the services and hosts that the control thread knows.
#[derive(Default)]
pub struct RoutingTable {
    /// Services whose routing record is in force.
    pub services: FastMap<ServiceName, Arc<ServiceTable>>,
    /// Services in force of which this host can read no revision.
    pub unreadable: FastSet<ServiceName>,
    /// HTTP addresses of all hosts except those in state `Gone`.
    pub hosts: FastMap<HostId, SocketAddr>,
    /// The hosts among them that are suspected of having failed.
    pub suspect_hosts: FastSet<HostId>,
}

impl RoutingTable {
    /// Returns whether no record puts a service in force, given the age of the proof that the table has all records. Its
    /// callers don't send a request again that is rejected for this reason.
    pub fn is_absent(&self, service: &ServiceName, proof_age: Millis) -> bool {
        !self.services.contains_key(service)
            && !self.unreadable.contains(service)
            && proof_age <= MAX_ABSENCE_PROOF_AGE_MS
    }
}

/// The routing table; an update replaces the whole table.
pub type SharedRoutingTable = Arc<ArcSwap<RoutingTable>>;

/// A service and its ranges.
pub struct ServiceTable {
    /// Routing record of the service.
    pub service: Arc<Service>,
    /// Ranges of the service, by index.
    pub ranges: Vec<Arc<RangeRoute>>,
    /// State that all requests to the service share.
    pub shared: Arc<SharedServiceState>,
}

/// State that all requests to a service on this host share.
#[derive(Default)]
pub struct SharedServiceState {
    /// Budgets that limit additional attempts.
    budgets: Mutex<AttemptBudgets>,
    /// Quarantine of requests that crashed upstreams.
    quarantine: Mutex<Quarantine>,
}

impl SharedServiceState {
    /// Locks the budgets.
    pub fn budgets(&self) -> MutexGuard<'_, AttemptBudgets> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the quarantine.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A lease held by this host, and the upstream that serves the range.
pub struct Lease {
    /// Epoch of the lease, sent to the upstream as fencing token.
    pub epoch: Epoch,
    /// Queue of the upstream that owns the range.
    pub upstream_queue: Arc<UpstreamQueue>,
}

/// Routing state of a range: the lease held by this host if any, and the hosts that may serve the range.
pub struct RangeRoute {
    /// Id of the range.
    pub id: RangeId,
    /// Members of the range's lease, in the lease's order.
    pub members: ArcSwap<Vec<Member>>,
    /// Lease held by this host.
    lease: ArcSwapOption<Lease>,
    open: AtomicBool,
    lease_expires_at: AtomicU64,
    in_flight: AtomicU32,
    /// Index in `members` of the host that answered the last forwarded request.
    last_holder_index: AtomicUsize,
    memory: Mutex<Option<Memory>>,
    /// Notified when the lease held by this host changes.
    lease_changed: Event,
}

impl RangeRoute {
    /// Creates the state of a range for which this host holds no lease.
    pub fn new(id: RangeId) -> Self {
        Self {
            id,
            members: ArcSwap::default(),
            lease: ArcSwapOption::empty(),
            open: AtomicBool::new(false),
            lease_expires_at: AtomicU64::new(0),
            in_flight: AtomicU32::new(0),
            last_holder_index: AtomicUsize::new(0),
            memory: Mutex::new(None),
            lease_changed: Event::new(),
        }
    }

    /// Starts admitting requests under a lease.
    pub fn open(&self, lease: Lease) {
        self.lease.store(Some(Arc::new(lease)));
        self.open.store(true, Ordering::SeqCst);
        self.lease_changed.notify(usize::MAX);
    }

    /// Stops admitting requests. In-flight requests continue while the lease is valid.
    pub fn close(&self) {
        self.open.store(false, Ordering::SeqCst);
    }

    /// Ends the lease: no further request is sent to the upstream.
    pub fn end_lease(&self) {
        self.close();
        self.lease_expires_at.store(0, Ordering::SeqCst);
        self.lease.store(None);
        self.lease_changed.notify(usize::MAX);
    }

    /// Extends the lease to a new expiry time.
    pub fn extend_lease(&self, expires_at: HostTime) {
        self.lease_expires_at.store(expires_at.0, Ordering::SeqCst);
    }

    /// Returns whether new requests are admitted.
    pub fn is_open(&self) -> bool {
        self.open.load(Ordering::SeqCst)
    }

    /// Returns the number of in-flight requests.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Returns whether the lease of an epoch is held and has not expired. Uses the clock that advances during
    /// suspension.
    pub fn is_lease_valid(&self, epoch: Epoch) -> bool {
        let same = self.lease.load().as_ref().is_some_and(|lease| lease.epoch == epoch);
        same && clock::host_time().0 < self.lease_expires_at.load(Ordering::SeqCst)
    }

    /// Returns whether an upstream serves the range under a lease held by this host.
    pub fn is_served_by(&self, queue: &Arc<UpstreamQueue>) -> bool {
        self.lease.load().as_ref().is_some_and(|lease| Arc::ptr_eq(&lease.upstream_queue, queue))
    }

    /// Waits until an upstream no longer serves the range under a lease held by this host.
    pub async fn wait_until_not_served_by(&self, queue: &Arc<UpstreamQueue>) {
        loop {
            let changed = self.lease_changed.listen();
            if !self.is_served_by(queue) {
                return;
            }
            changed.await;
        }
    }

    /// Admits a request if this host serves the range.
    pub fn admit(self: &Arc<Self>) -> Option<AdmittedRequest> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let in_flight = InFlightGuard(Arc::clone(self));
        if !self.is_open() {
            return None;
        }
        let lease = self.lease.load_full()?;
        self.is_lease_valid(lease.epoch).then_some(AdmittedRequest { in_flight, lease })
    }

    /// Locks the range's deduplication memory.
    pub fn memory(&self) -> MutexGuard<'_, Option<Memory>> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the members in the order in which to forward to them: first the one that answered last.
    pub fn candidates(&self) -> Vec<Member> {
        let members = self.members.load();
        let mut ordered = members.as_ref().clone();
        if !ordered.is_empty() {
            let first = self.last_holder_index.load(Ordering::Relaxed) % ordered.len();
            ordered.rotate_left(first);
        }
        ordered
    }

    /// Records the member that answered a forwarded request.
    pub fn record_holder(&self, member: &Member) {
        let index = self.members.load().iter().position(|candidate| candidate == member);
        if let Some(index) = index {
            self.last_holder_index.store(index, Ordering::Relaxed);
        }
    }
}

/// Counts a request as in flight until it is dropped.
pub struct InFlightGuard(Arc<RangeRoute>);

impl InFlightGuard {
    /// Returns the range that the request is for.
    pub fn range(&self) -> &Arc<RangeRoute> {
        &self.0
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A request that was admitted to a range.
pub struct AdmittedRequest {
    /// Counts the request as in flight.
    pub in_flight: InFlightGuard,
    /// Lease under which the request was admitted.
    pub lease: Arc<Lease>,
}
