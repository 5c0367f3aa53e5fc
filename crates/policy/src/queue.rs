//! Bounded queue of one upstream: by priority class, then fair among callers, within deadlines.
//!
//! A request that can't be answered in time is refused at once. Refusals are final.

use crate::fair::FairList;
use crate::service_time::ServiceTime;
use serde::{Deserialize, Serialize};
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

const CLASSES: usize = 3;

/// Priority class of a request; the first goes first.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
#[serde(rename_all = "kebab-case")]
pub enum Priority {
    /// Orders, permit filings, bookings and payments.
    Critical,
    /// Status checks that somebody waits for.
    #[default]
    Interactive,
    /// Pulls of logs, reports and manifests.
    Bulk,
}

impl Priority {
    /// Every class, the first one first.
    pub const ALL: [Self; CLASSES] = [Self::Critical, Self::Interactive, Self::Bulk];

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

/// The text names no priority class.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is not a priority class, expected critical, interactive or bulk")]
pub struct PriorityError {
    /// What was given.
    pub text: String,
}

impl FromStr for Priority {
    type Err = PriorityError;

    fn from_str(text: &str) -> Result<Self, PriorityError> {
        let found = Self::ALL.into_iter().find(|class| class.to_string() == text);
        found.ok_or_else(|| PriorityError { text: text.to_owned() })
    }
}

/// Who sent a request, as far as fairness goes: a hash of the caller's address or name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// Number of a waiting request in its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A request to be started on the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job<T> {
    /// Who sent it.
    pub caller: CallerId,
    /// Its class.
    pub priority: Priority,
    /// When nobody waits for its answer any more.
    pub deadline: HostTime,
    /// The request itself.
    pub item: T,
}

/// Slots of the upstream that this holder may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slots {
    /// The limit in force.
    pub limit: u32,
    /// Those of them that are free.
    pub free: u32,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Reason {
    /// It could not be answered before its deadline.
    #[error("the deadline can't be met")]
    Deadline,
    /// The queue is full of requests that are not less urgent.
    #[error("the queue is full")]
    Full,
    /// It made room for a more urgent one.
    #[error("a more urgent request took the place")]
    Shed,
}

/// A request that is refused; it was not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refused<T> {
    /// The request.
    pub job: Job<T>,
    /// Why.
    pub reason: Reason,
    /// When the backlog of today will have been worked off.
    pub retry_after: Millis,
}

/// What becomes of an offered request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Offer<T> {
    /// It is to be started now.
    Start(Job<T>),
    /// It waits, possibly in the place of a less urgent one.
    Queued {
        /// Its number, by which it can be cancelled.
        ticket: Ticket,
        /// The request that made room.
        shed: Option<Refused<T>>,
    },
    /// It is refused.
    Refused(Refused<T>),
}

/// What a free slot is used for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Next<T> {
    /// The request to start.
    pub job: Option<Job<T>>,
    /// Requests that can't meet their deadlines any more.
    pub refused: Vec<Refused<T>>,
}

/// A waiting request and when it has to start to be answered in time.
#[derive(Debug)]
struct Entry<T> {
    job: Job<T>,
    start_by: HostTime,
}

/// The requests that wait for one upstream.
#[derive(Debug)]
pub struct Queue<T> {
    max: usize,
    service: ServiceTime,
    limit: u32,
    classes: [FairList; CLASSES],
    entries: FastMap<Ticket, Entry<T>>,
    by_start: BTreeSet<(HostTime, Ticket)>,
    last_ticket: u64,
}

impl<T> Queue<T> {
    /// Creates an empty queue of at most `max` requests.
    pub fn new(max: usize, service: ServiceTime) -> Self {
        Self {
            max,
            service,
            limit: 1,
            classes: Default::default(),
            entries: FastMap::default(),
            by_start: BTreeSet::new(),
            last_ticket: 0,
        }
    }

    /// Decides about a request that arrives.
    pub fn offer(&mut self, job: Job<T>, slots: Slots, now: HostTime) -> Offer<T> {
        self.limit = slots.limit;
        if now >= job.deadline {
            return Offer::Refused(self.refuse(job, Reason::Deadline));
        }
        if self.is_empty() && slots.free > 0 {
            return Offer::Start(job);
        }
        let start_by = self.start_by(&job, now);
        if now + self.wait(&job, slots) > start_by {
            return Offer::Refused(self.refuse(job, Reason::Deadline));
        }
        if self.len() < self.max {
            return Offer::Queued { ticket: self.push(job, start_by), shed: None };
        }
        let Some(victim) = self.victim(&job) else {
            return Offer::Refused(self.refuse(job, Reason::Full));
        };
        let shed = self.remove(victim).map(|job| self.refuse(job, Reason::Shed));
        Offer::Queued { ticket: self.push(job, start_by), shed }
    }

    /// Picks the request for a slot that is free, and refuses those that are too late.
    pub fn next(&mut self, now: HostTime) -> Next<T> {
        let mut refused = self.sweep(now);
        while let Some(job) = self.pop() {
            if now + self.service.mean() <= job.deadline {
                return Next { job: Some(job), refused };
            }
            refused.push(self.refuse(job, Reason::Deadline));
        }
        Next { job: None, refused }
    }

    /// Refuses the requests that are unlikely to be answered in time even if they started now.
    pub fn sweep(&mut self, now: HostTime) -> Vec<Refused<T>> {
        let mut refused = Vec::new();
        while let Some((start_by, ticket)) = self.by_start.first().copied()
            && now > start_by
        {
            let late = self.remove(ticket).map(|job| self.refuse(job, Reason::Deadline));
            refused.extend(late);
        }
        refused
    }

    /// Returns when the next sweep will refuse something.
    pub fn next_sweep(&self) -> Option<HostTime> {
        let (start_by, _) = self.by_start.first()?;
        Some(*start_by + Millis(1))
    }

    /// Removes a request whose caller has left.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<Job<T>> {
        self.remove(ticket)
    }

    /// Removes everything, the most urgent first, for an upstream that is gone.
    pub fn drain(&mut self) -> Vec<Job<T>> {
        let mut jobs = Vec::with_capacity(self.len());
        jobs.extend(std::iter::from_fn(|| self.pop()));
        jobs
    }

    /// Takes in how long a request held its slot.
    pub fn observe(&mut self, held: Millis) {
        self.service.observe(held);
    }

    /// Returns the estimate of the service time.
    pub fn service(&self) -> &ServiceTime {
        &self.service
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
    pub fn waiting(&self, class: Priority) -> usize {
        self.classes[class.index()].len()
    }

    /// Returns how long the upstream needs for what waits and one more.
    pub fn backlog(&self) -> Millis {
        self.service.expected_wait(self.len(), self.limit)
    }

    /// Returns how long a request that arrives now is expected to wait.
    fn wait(&self, job: &Job<T>, slots: Slots) -> Millis {
        let class = job.priority.index();
        let above: usize = self.classes[..class].iter().map(FairList::len).sum();
        let ahead = above + self.classes[class].ahead_of(job.caller);
        self.service.expected_wait(ahead, slots.limit)
    }

    /// Returns when a request has to start. The margin for its own run is what few exceed, but not
    /// more than half of the time left.
    fn start_by(&self, job: &Job<T>, now: HostTime) -> HostTime {
        let half = Millis(job.deadline.since(now).0 / 2);
        let margin = self.service.tail().min(half.max(self.service.mean()));
        job.deadline - margin
    }

    /// Picks the waiting request that makes room: of a lower class, else of a caller that has more
    /// waiting in the same class.
    fn victim(&self, job: &Job<T>) -> Option<Ticket> {
        let class = job.priority.index();
        let lower = self.classes[class + 1..].iter().rev().find_map(FairList::longest);
        if let Some((ticket, _)) = lower {
            return Some(ticket);
        }
        let own = self.classes[class].waiting_of(job.caller);
        let (ticket, len) = self.classes[class].longest()?;
        (len > own + 1).then_some(ticket)
    }

    fn push(&mut self, job: Job<T>, start_by: HostTime) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.classes[job.priority.index()].push(job.caller, ticket);
        self.by_start.insert((start_by, ticket));
        self.entries.insert(ticket, Entry { job, start_by });
        ticket
    }

    fn pop(&mut self) -> Option<Job<T>> {
        let ticket = self.classes.iter_mut().find_map(FairList::pop)?;
        self.take(ticket)
    }

    fn take(&mut self, ticket: Ticket) -> Option<Job<T>> {
        let entry = self.entries.remove(&ticket)?;
        self.by_start.remove(&(entry.start_by, ticket));
        Some(entry.job)
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Job<T>> {
        let job = self.take(ticket)?;
        self.classes[job.priority.index()].remove(job.caller, ticket);
        Some(job)
    }

    fn refuse(&self, job: Job<T>, reason: Reason) -> Refused<T> {
        Refused { job, reason, retry_after: self.backlog() }
    }
}
