//! The queue and the slots of one upstream on this host.

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

const QUEUED_PER_SLOT: usize = 64;
const RAMP_MS: Millis = Millis(2_000);
const MIN_RETRY_AFTER_MS: Millis = Millis(100);

/// The queue and the slots of one upstream on this host.
pub struct Desk {
    /// The service.
    pub service: ServiceName,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Where it listens.
    pub addr: SocketAddr,
    state: Mutex<State>,
    failures: AtomicU32,
    draining: AtomicBool,
}

struct State {
    limiter: Limiter,
    queue: Queue<Sender<Turn>>,
}

/// What a waiting request is told.
enum Turn {
    Start(Permit),
    Refused(Denied),
}

/// Why a request gets no slot. It was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Denied {
    /// Why.
    pub reason: RefusalReason,
    /// When it is worth coming back.
    pub retry_after: Millis,
}

/// What a request asks a slot for.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// Who sent it.
    pub caller: CallerId,
    /// Its class.
    pub priority: Priority,
    /// When nobody waits for its answer any more.
    pub deadline: HostTime,
}

impl Desk {
    /// Builds the desk of an upstream.
    pub fn new(service: ServiceName, upstream: &Upstream) -> Self {
        let limiter = LimiterBuilder::new()
            .slots(upstream.slots)
            .connections(upstream.connections)
            .ramp(RAMP_MS)
            .build();
        let queued = QUEUED_PER_SLOT * upstream.slots as usize;
        Self {
            service,
            upstream: upstream.id.clone(),
            addr: upstream.address,
            state: Mutex::new(State { limiter, queue: Queue::new(queued, ServiceTime::default()) }),
            failures: AtomicU32::new(0),
            draining: AtomicBool::new(false),
        }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns an error as soon as it is clear that there will be none before the deadline.
    pub async fn slot(self: &Arc<Self>, demand: Demand) -> Result<Permit, Denied> {
        let (tx, rx) = async_channel::bounded(1);
        let job = Job {
            caller: demand.caller,
            priority: demand.priority,
            deadline: demand.deadline,
            item: tx,
        };
        match self.offer(job) {
            Some(Turn::Start(permit)) => Ok(permit),
            Some(Turn::Refused(denied)) => Err(denied),
            None => self.wait(rx, demand.deadline).await,
        }
    }

    async fn wait(
        self: &Arc<Self>,
        rx: Receiver<Turn>,
        deadline: HostTime,
    ) -> Result<Permit, Denied> {
        let told = async { rx.recv().await.ok() };
        let passed = async {
            let left = deadline.since(clock::host_time());
            Timer::after(left.duration()).await;
            None
        };
        match told.or(passed).await {
            Some(Turn::Start(permit)) => Ok(permit),
            Some(Turn::Refused(denied)) => Err(denied),
            None => {
                Err(Denied { reason: RefusalReason::Deadline, retry_after: MIN_RETRY_AFTER_MS })
            }
        }
    }

    fn offer(self: &Arc<Self>, job: Job<Sender<Turn>>) -> Option<Turn> {
        let now = clock::host_time();
        let mut state = self.lock();
        let slots = Slots { limit: state.limiter.limit(now), free: state.limiter.free(now) };
        match state.queue.offer(job, slots, now) {
            Offer::Start(_) => match state.limiter.acquire(now) {
                Ok(slot) => Some(Turn::Start(self.permit(slot, now))),
                Err(_) => Some(Turn::Refused(Denied {
                    reason: RefusalReason::Full,
                    retry_after: MIN_RETRY_AFTER_MS,
                })),
            },
            Offer::Queued { shed, .. } => {
                drop(state);
                shed.into_iter().for_each(refuse);
                None
            }
            Offer::Refused(refused) => Some(Turn::Refused(denied(&refused))),
        }
    }

    fn permit(self: &Arc<Self>, slot: Slot, since: HostTime) -> Permit {
        Permit { desk: Arc::clone(self), slot: Some(slot), since }
    }

    /// Starts waiting requests on free slots and refuses those that are too late.
    pub fn pump(self: &Arc<Self>) {
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
                Some(job) => started.push((job, self.permit(slot, now))),
                None => {
                    state.limiter.release(slot);
                    break;
                }
            }
        }
        drop(state);
        refused.into_iter().for_each(refuse);
        for (job, permit) in started {
            // A caller that left drops its permit, which pumps again.
            let _ = job.item.try_send(Turn::Start(permit));
        }
    }

    /// Sets the part of the upstream's slots that this host may use.
    pub fn set_share(&self, share: RangeShare) {
        self.lock().limiter.set_share(share);
    }

    /// Notes a whole answer.
    pub fn succeeded(&self) {
        self.failures.store(0, Ordering::Relaxed);
        self.lock().limiter.mark_healthy(clock::host_time());
    }

    /// Notes a failed connection.
    pub fn failed(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the failures since the last whole answer.
    pub fn failures(&self) -> u32 {
        self.failures.load(Ordering::Relaxed)
    }

    /// Notes that the upstream was lost and will start cold.
    pub fn lost(&self) {
        self.lock().limiter.mark_lost();
    }

    /// Notes that the upstream leaves and takes no new work.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Tells whether the upstream was seen leaving.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Notes whether the upstream leaves, as its health endpoint says.
    pub fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn release(self: &Arc<Self>, slot: Slot, since: HostTime) {
        let mut state = self.lock();
        state.limiter.release(slot);
        state.queue.observe(clock::host_time().since(since));
        drop(state);
        self.pump();
    }
}

fn denied(refused: &Refused<Sender<Turn>>) -> Denied {
    let retry_after = refused.retry_after.max(MIN_RETRY_AFTER_MS);
    Denied { reason: refused.reason, retry_after }
}

fn refuse(refused: Refused<Sender<Turn>>) {
    // The caller may have left.
    let _ = refused.job.item.try_send(Turn::Refused(denied(&refused)));
}

/// A slot of an upstream, given back when dropped.
pub struct Permit {
    desk: Arc<Desk>,
    slot: Option<Slot>,
    since: HostTime,
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(slot) = self.slot.take() {
            self.desk.release(slot, self.since);
        }
    }
}
