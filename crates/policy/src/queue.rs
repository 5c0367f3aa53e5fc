//! Bounded request queue of one upstream, ordered by priority class and then by round robin over callers.
//!
//! A request that is not expected to be answered before its deadline is refused as soon as that is known. A
//! refused request is not reconsidered.

use crate::fair::FairQueue;
use crate::service_time::ServiceTime;
use serde::{Deserialize, Serialize};
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

const CLASS_COUNT: usize = 3;

/// Priority class of a request, from the most to the least urgent.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Orders, permit filings, bookings and payments.
    Critical,
    /// Status queries that a caller is waiting for.
    #[default]
    Interactive,
    /// Downloads of logs, reports and manifests.
    Bulk,
}

impl Priority {
    /// Every class, the most urgent first.
    pub const ALL: [Self; CLASS_COUNT] = [Self::Critical, Self::Interactive, Self::Bulk];

    fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Critical => "critical",
            Self::Interactive => "interactive",
            Self::Bulk => "bulk",
        })
    }
}

/// A text that is not the name of a priority class.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is not a priority class, expected critical, interactive or bulk")]
pub struct PriorityError {
    /// The text that failed to parse.
    pub text: String,
}

impl FromStr for Priority {
    type Err = PriorityError;

    fn from_str(text: &str) -> Result<Self, PriorityError> {
        let found = Self::ALL.into_iter().find(|class| class.to_string() == text);
        found.ok_or_else(|| PriorityError { text: text.to_owned() })
    }
}

/// Identifies a caller for fair queueing: a hash of its address or name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// Identifies a waiting request within its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A request to be started on the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job<T> {
    /// The caller that sent it.
    pub caller: CallerId,
    /// Its priority class.
    pub priority: Priority,
    /// Time after which the caller no longer waits for the answer.
    pub deadline: HostTime,
    /// The request itself.
    pub item: T,
}

/// Slots of the upstream that this holder may use at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slots {
    /// The limit in force.
    pub limit: u32,
    /// How many of them are free.
    pub free: u32,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RefusalReason {
    /// It is not expected to be answered before its deadline.
    #[error("the request can't be answered before its deadline")]
    Deadline,
    /// The queue is full and no waiting request may be shed for this one.
    #[error("the queue is full")]
    Full,
    /// It was removed from the full queue for a request of a higher class, or of a caller with fewer waiting requests.
    #[error("the request was shed from the full queue for another one")]
    Shed,
}

/// A refused request; it was not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused<T> {
    /// The request.
    pub job: Job<T>,
    /// Why it was refused.
    pub reason: RefusalReason,
    /// Expected time until the upstream has worked off the waiting requests.
    pub retry_after: Millis,
}

/// Decision about a request that was offered to the queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Offer<T> {
    /// Start it now.
    Start(Job<T>),
    /// It waits, possibly in place of another request.
    Queued {
        /// Ticket for [`Queue::cancel`].
        ticket: Ticket,
        /// The request that was shed to make room, if the queue was full.
        shed: Option<Refused<T>>,
    },
    /// It is refused.
    Refused(Refused<T>),
}

/// Result of [`Queue::next`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Next<T> {
    /// The request to start, if any is left.
    pub job: Option<Job<T>>,
    /// Requests that can no longer be answered before their deadlines.
    pub refused: Vec<Refused<T>>,
}

/// A waiting request and the latest time at which it may start.
#[derive(Debug)]
struct Entry<T> {
    job: Job<T>,
    latest_start: HostTime,
}

/// Queue of the requests that wait for a slot of one upstream.
#[derive(Debug)]
pub struct Queue<T> {
    max_len: usize,
    service_time: ServiceTime,
    limit: u32,
    queue_by_class: [FairQueue; CLASS_COUNT],
    entries: FastMap<Ticket, Entry<T>>,
    by_latest_start: BTreeSet<(HostTime, Ticket)>,
    last_ticket: u64,
}

impl<T> Queue<T> {
    /// Creates an empty queue of at most `max_len` requests.
    pub fn new(max_len: usize, service_time: ServiceTime) -> Self {
        Self {
            max_len,
            service_time,
            limit: 1,
            queue_by_class: Default::default(),
            entries: FastMap::default(),
            by_latest_start: BTreeSet::new(),
            last_ticket: 0,
        }
    }

    /// Starts, queues or refuses a new request.
    pub fn offer(&mut self, job: Job<T>, slots: Slots, now: HostTime) -> Offer<T> {
        self.limit = slots.limit;
        if now >= job.deadline {
            return Offer::Refused(self.refuse(job, RefusalReason::Deadline));
        }
        if self.is_empty() && slots.free > 0 {
            return Offer::Start(job);
        }
        let latest_start = self.latest_start(&job, now);
        if now + self.expected_wait(&job, slots) > latest_start {
            return Offer::Refused(self.refuse(job, RefusalReason::Deadline));
        }
        if self.len() < self.max_len {
            return Offer::Queued { ticket: self.push(job, latest_start), shed: None };
        }
        let Some(shed_candidate) = self.shed_candidate(&job) else {
            return Offer::Refused(self.refuse(job, RefusalReason::Full));
        };
        let shed = self.remove(shed_candidate).map(|job| self.refuse(job, RefusalReason::Shed));
        Offer::Queued { ticket: self.push(job, latest_start), shed }
    }

    /// Removes the next request for a free slot, and refuses those that can no longer be answered in time.
    pub fn next(&mut self, now: HostTime) -> Next<T> {
        let mut refused = self.sweep(now);
        while let Some(job) = self.pop() {
            if now + self.service_time.mean() <= job.deadline {
                return Next { job: Some(job), refused };
            }
            refused.push(self.refuse(job, RefusalReason::Deadline));
        }
        Next { job: None, refused }
    }

    /// Refuses the requests whose latest start time has passed.
    pub fn sweep(&mut self, now: HostTime) -> Vec<Refused<T>> {
        let mut refused = Vec::new();
        while let Some((latest_start, ticket)) = self.by_latest_start.first().copied()
            && now > latest_start
        {
            let overdue = self.remove(ticket).map(|job| self.refuse(job, RefusalReason::Deadline));
            refused.extend(overdue);
        }
        refused
    }

    /// Returns the earliest time at which [`Queue::sweep`] refuses a request.
    pub fn next_sweep(&self) -> Option<HostTime> {
        let (latest_start, _) = self.by_latest_start.first()?;
        Some(*latest_start + Millis(1))
    }

    /// Removes a waiting request, for example because its caller has disconnected.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<Job<T>> {
        self.remove(ticket)
    }

    /// Removes and returns every request, the most urgent first. For an upstream that is gone.
    pub fn drain(&mut self) -> Vec<Job<T>> {
        let mut jobs = Vec::with_capacity(self.len());
        jobs.extend(std::iter::from_fn(|| self.pop()));
        jobs
    }

    /// Records for how long a request held its slot.
    pub fn observe(&mut self, held: Millis) {
        self.service_time.observe(held);
    }

    /// Returns the estimate of the service time.
    pub fn service_time(&self) -> &ServiceTime {
        &self.service_time
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns how many requests of a class wait.
    pub fn waiting_in_class(&self, class: Priority) -> usize {
        self.queue_by_class[class.index()].len()
    }

    /// Returns the expected wait of a request that would start after all those now waiting.
    pub fn backlog(&self) -> Millis {
        self.service_time.expected_wait(self.len(), self.limit)
    }

    /// Returns how long a request that arrives now is expected to wait for a slot.
    fn expected_wait(&self, job: &Job<T>, slots: Slots) -> Millis {
        let class = job.priority.index();
        let in_higher_classes: usize =
            self.queue_by_class[..class].iter().map(FairQueue::len).sum();
        let ahead = in_higher_classes + self.queue_by_class[class].tickets_ahead_of(job.caller);
        self.service_time.expected_wait(ahead, slots.limit)
    }

    /// Returns the latest time at which a request may start: its deadline less the 99th percentile of the service time.
    /// That margin is limited to half of the time left, but is never less than the mean service time.
    fn latest_start(&self, job: &Job<T>, now: HostTime) -> HostTime {
        let half_of_time_left = Millis(job.deadline.since(now).0 / 2);
        let margin = self.service_time.tail().min(half_of_time_left.max(self.service_time.mean()));
        job.deadline - margin
    }

    /// Returns the waiting request to shed for `job`: one of the lowest class below its own, or else one of a caller
    /// with more requests waiting in the same class.
    fn shed_candidate(&self, job: &Job<T>) -> Option<Ticket> {
        let class = job.priority.index();
        let in_lower_class = self.queue_by_class[class + 1..]
            .iter()
            .rev()
            .find_map(FairQueue::newest_of_busiest_caller);
        if let Some((ticket, _)) = in_lower_class {
            return Some(ticket);
        }
        let own_count = self.queue_by_class[class].count_of(job.caller);
        let (ticket, len) = self.queue_by_class[class].newest_of_busiest_caller()?;
        (len > own_count + 1).then_some(ticket)
    }

    fn push(&mut self, job: Job<T>, latest_start: HostTime) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.queue_by_class[job.priority.index()].push(job.caller, ticket);
        self.by_latest_start.insert((latest_start, ticket));
        self.entries.insert(ticket, Entry { job, latest_start });
        ticket
    }

    fn pop(&mut self) -> Option<Job<T>> {
        let ticket = self.queue_by_class.iter_mut().find_map(FairQueue::pop)?;
        self.remove_entry(ticket)
    }

    fn remove_entry(&mut self, ticket: Ticket) -> Option<Job<T>> {
        let entry = self.entries.remove(&ticket)?;
        self.by_latest_start.remove(&(entry.latest_start, ticket));
        Some(entry.job)
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Job<T>> {
        let job = self.remove_entry(ticket)?;
        self.queue_by_class[job.priority.index()].remove(job.caller, ticket);
        Some(job)
    }

    fn refuse(&self, job: Job<T>, reason: RefusalReason) -> Refused<T> {
        Refused { job, reason, retry_after: self.backlog() }
    }
}
