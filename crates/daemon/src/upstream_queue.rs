//! Limits the requests that this host runs on an upstream concurrently, and queues the others.

use crate::clock;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use skylarkdock_policy::queue::{
    CallerId, Job, Offer, Priority, Queue, RefusalReason, Refused, Slots,
};
use skylarkdock_policy::service_time::ServiceTime;
use skylarkdock_policy::slots::{Limiter, LimiterBuilder, RangeShare, Slot};
use skylarkdock_records::service::Upstream;
use skylarkdock_units::ids::{ServiceName, UpstreamId};
use skylarkdock_units::times::{HostTime, Millis};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

const QUEUE_CAPACITY_PER_SLOT: usize = 64;
const SLOT_RAMP_MS: Millis = Millis(2_000);
const MIN_RETRY_AFTER_MS: Millis = Millis(100);

/// The request queue of one upstream on this host, with the concurrency slots that the host may use.
pub struct UpstreamQueue {
    /// The service.
    pub service: ServiceName,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Address of the upstream.
    pub addr: SocketAddr,
    state: Mutex<State>,
    failures: AtomicU32,
    draining: AtomicBool,
}

struct State {
    limiter: Limiter,
    queue: Queue<Sender<SlotDecision>>,
}

/// Outcome of a request for a slot.
enum SlotDecision {
    Start(Permit),
    Refused(SlotRefusal),
}

/// Reason for refusing a request without running it, and when it may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotRefusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Delay after which a retry may succeed.
    pub retry_after: Millis,
}

/// A request for a slot.
#[derive(Debug, Clone, Copy)]
pub struct SlotRequest {
    /// The caller that sent the request.
    pub caller: CallerId,
    /// Priority class of the request.
    pub priority: Priority,
    /// Time after which the caller no longer waits for the response.
    pub deadline: HostTime,
}

impl UpstreamQueue {
    /// Creates an empty queue for an upstream.
    pub fn new(service: ServiceName, upstream: &Upstream) -> Self {
        let limiter = LimiterBuilder::new()
            .slots(upstream.slots)
            .connections(upstream.connections)
            .ramp(SLOT_RAMP_MS)
            .build();
        let capacity = QUEUE_CAPACITY_PER_SLOT * upstream.slots as usize;
        Self {
            service,
            upstream: upstream.id.clone(),
            addr: upstream.address,
            state: Mutex::new(State {
                limiter,
                queue: Queue::new(capacity, ServiceTime::default()),
            }),
            failures: AtomicU32::new(0),
            draining: AtomicBool::new(false),
        }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns an error as soon as it is known that no slot will be free before the deadline.
    pub async fn acquire_slot(
        self: &Arc<Self>,
        request: SlotRequest,
    ) -> Result<Permit, SlotRefusal> {
        let (tx, rx) = async_channel::bounded(1);
        let job = Job {
            caller: request.caller,
            priority: request.priority,
            deadline: request.deadline,
            item: tx,
        };
        match self.offer(job) {
            Some(SlotDecision::Start(permit)) => Ok(permit),
            Some(SlotDecision::Refused(refusal)) => Err(refusal),
            None => self.wait(rx, request.deadline).await,
        }
    }

    async fn wait(
        self: &Arc<Self>,
        rx: Receiver<SlotDecision>,
        deadline: HostTime,
    ) -> Result<Permit, SlotRefusal> {
        let decision = async { rx.recv().await.ok() };
        let timeout = async {
            let left = deadline.since(clock::host_time());
            Timer::after(left.duration()).await;
            None
        };
        match decision.or(timeout).await {
            Some(SlotDecision::Start(permit)) => Ok(permit),
            Some(SlotDecision::Refused(refusal)) => Err(refusal),
            None => Err(SlotRefusal {
                reason: RefusalReason::Deadline,
                retry_after: MIN_RETRY_AFTER_MS,
            }),
        }
    }

    fn offer(self: &Arc<Self>, job: Job<Sender<SlotDecision>>) -> Option<SlotDecision> {
        let now = clock::host_time();
        let mut state = self.lock();
        let slots = Slots { limit: state.limiter.limit(now), free: state.limiter.free(now) };
        match state.queue.offer(job, slots, now) {
            Offer::Start(_) => match state.limiter.acquire(now) {
                Ok(slot) => Some(SlotDecision::Start(self.new_permit(slot, now))),
                Err(_) => Some(SlotDecision::Refused(SlotRefusal {
                    reason: RefusalReason::Full,
                    retry_after: MIN_RETRY_AFTER_MS,
                })),
            },
            Offer::Queued { shed, .. } => {
                drop(state);
                shed.into_iter().for_each(refuse);
                None
            }
            Offer::Refused(refused) => Some(SlotDecision::Refused(slot_refusal(&refused))),
        }
    }

    fn new_permit(self: &Arc<Self>, slot: Slot, acquired_at: HostTime) -> Permit {
        Permit { queue: Arc::clone(self), slot: Some(slot), acquired_at }
    }

    /// Starts queued requests on free slots and refuses those that can't meet their deadline.
    pub fn process_queue(self: &Arc<Self>) {
        let now = clock::host_time();
        let (mut started, mut refused) = (Vec::new(), Vec::new());
        let mut state = self.lock();
        loop {
            refused.extend(state.queue.sweep(now));
            if state.queue.is_empty() {
                break;
            }
            let Ok(slot) = state.limiter.acquire(now) else { break };
            let next = state.queue.next(now);
            refused.extend(next.refused);
            match next.job {
                Some(job) => started.push((job, self.new_permit(slot, now))),
                None => {
                    state.limiter.release(slot);
                    break;
                }
            }
        }
        drop(state);
        refused.into_iter().for_each(refuse);
        for (job, permit) in started {
            // If the caller has gone, the send fails and drops the permit, which processes the queue again.
            let _ = job.item.try_send(SlotDecision::Start(permit));
        }
    }

    /// Sets the share of the upstream's slots that this host may use.
    pub fn set_share(&self, share: RangeShare) {
        self.lock().limiter.set_share(share);
    }

    /// Records a complete response.
    pub fn record_success(&self) {
        self.failures.store(0, Ordering::Relaxed);
        self.lock().limiter.mark_healthy(clock::host_time());
    }

    /// Records a failed connection.
    pub fn record_failure(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of failed connections since the last complete response.
    pub fn consecutive_failures(&self) -> u32 {
        self.failures.load(Ordering::Relaxed)
    }

    /// Records that the upstream was lost and will be cold when it starts again.
    pub fn mark_lost(&self) {
        self.lock().limiter.mark_lost();
    }

    /// Records that the upstream is draining and accepts no new requests.
    pub fn mark_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Returns whether the upstream is known to be draining.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Sets whether the upstream is draining, as its health endpoint reports.
    pub fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn release(self: &Arc<Self>, slot: Slot, acquired_at: HostTime) {
        let mut state = self.lock();
        state.limiter.release(slot);
        state.queue.observe(clock::host_time().since(acquired_at));
        drop(state);
        self.process_queue();
    }
}

fn slot_refusal(refused: &Refused<Sender<SlotDecision>>) -> SlotRefusal {
    let retry_after = refused.retry_after.max(MIN_RETRY_AFTER_MS);
    SlotRefusal { reason: refused.reason, retry_after }
}

fn refuse(refused: Refused<Sender<SlotDecision>>) {
    // The receiver is gone if the caller has gone.
    let _ = refused.job.item.try_send(SlotDecision::Refused(slot_refusal(&refused)));
}

/// A slot of an upstream, released on drop.
pub struct Permit {
    queue: Arc<UpstreamQueue>,
    slot: Option<Slot>,
    acquired_at: HostTime,
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(slot) = self.slot.take() {
            self.queue.release(slot, self.acquired_at);
        }
    }
}
