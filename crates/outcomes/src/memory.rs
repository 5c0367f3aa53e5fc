//! Deduplication memory of one key range, which ensures that a request runs at most once.
//!
//! A request whose id is not in the memory is run only if the memory covers the time in that id, that is, if it is
//! certain to hold every id of that time that was ever run. [`Memory::covers_after`] is the start of the covered time.

use crate::answer::Answer;
use crate::fingerprint::Fingerprint;
use crate::handover::ReceivedChunks;
use crate::limits::Limits;
use crate::outcome::Outcome;
use crate::settled::{Settled, SettledSet};
use serde::{Deserialize, Serialize};
use skylarkdock_units::ids::Epoch;
use skylarkdock_units::requests::RequestId;
use skylarkdock_units::times::WallTime;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The lease under which a holder takes over its range.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseStart {
    /// Epoch of the lease.
    pub epoch: Epoch,
    /// Epoch of the directly preceding lease, if known; only its hand-over extends the covered time.
    pub predecessor: Option<Epoch>,
    /// When the lease began, by this host's wall clock. Must not be before the end of the preceding lease.
    pub since: WallTime,
}

/// One attempt at running a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// Epoch of the lease under which it began.
    pub epoch: Epoch,
    /// Its number under that lease.
    pub number: u64,
}

/// A request that arrives at the holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Digest of its contents.
    pub fingerprint: Fingerprint,
    /// Whether an entry host generated the id and sends the request for the first time. Must be false once an earlier
    /// send may have reached any holder.
    pub minted: bool,
}

/// How the holder must handle a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginDecision {
    /// Run it. It is recorded as running, and [`Memory::finish`] must be called with this attempt.
    Run(Attempt),
    /// It was run; reply with the recorded answer.
    Recorded(Arc<Answer>),
    /// An attempt is still running.
    StillRunning,
    /// An attempt was made and its result is unknown. It must never be run again.
    Unknown,
    /// The time in its id is not covered, so it may have been run before. It must never be run.
    NotCovered,
    /// The time in its id is too far ahead of this host's clock. It was not run; the id is covered, so no holder has
    /// run it.
    FromFuture,
    /// Its id belongs to a request with other contents; this one was not run.
    Mismatch,
    /// Too many requests are running; it was not run.
    Full,
    /// The range was handed over. Only the next holder knows whether the request was run.
    HandedOver,
}

impl BeginDecision {
    /// Returns the outcome to report to the caller. `None` for a mismatch, and after a hand-over, when only the next
    /// holder knows it.
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Run(_) | Self::StillRunning => Some(Outcome::Running),
            Self::Recorded(_) => Some(Outcome::Done),
            Self::Unknown | Self::NotCovered => Some(Outcome::Unknown),
            Self::FromFuture | Self::Full => Some(Outcome::NotRun),
            Self::Mismatch | Self::HandedOver => None,
        }
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The upstream sent a complete answer.
    Done(Answer),
    /// The attempt provably did not run; the request may be sent again.
    NotRun,
    /// The connection ended without a complete answer.
    Unknown,
}

/// Effect of [`Memory::finish`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinishEffect {
    /// The end of the attempt was recorded.
    Kept,
    /// The request was removed from the memory and may run again.
    Dropped,
    /// The attempt was not open, so nothing changed.
    Ignored,
}

#[derive(Debug, Clone, Copy)]
pub(crate) struct Running {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) attempt: Attempt,
}

/// Deduplication memory of one key range under one lease.
#[derive(Debug, Clone)]
pub struct Memory {
    pub(crate) limits: Limits,
    pub(crate) lease_start: LeaseStart,
    pub(crate) running: BTreeMap<RequestId, Running>,
    pub(crate) settled: SettledSet,
    /// Start of the covered time with regard to earlier holders; evictions here may move it up.
    pub(crate) inherited_covers_after: WallTime,
    /// The latest time in an id that was evicted here.
    pub(crate) evicted_up_to: WallTime,
    pub(crate) handed_over: bool,
    pub(crate) export_count: u32,
    pub(crate) received_chunks: ReceivedChunks,
    next_attempt: u64,
}

impl Memory {
    /// Creates an empty memory that covers only ids issued after `lease_start.since`, with a margin for clock skew.
    pub fn new(lease_start: LeaseStart, limits: Limits) -> Self {
        Self {
            inherited_covers_after: lease_start.since + limits.max_id_skew(),
            limits,
            lease_start,
            running: BTreeMap::new(),
            settled: SettledSet::default(),
            evicted_up_to: WallTime(0),
            handed_over: false,
            export_count: 0,
            received_chunks: ReceivedChunks::default(),
            next_attempt: 0,
        }
    }

    /// Creates the memory of a range that has never had a holder: every id is covered.
    pub fn for_first_holder(lease_start: LeaseStart, limits: Limits) -> Self {
        Self { inherited_covers_after: WallTime(0), ..Self::new(lease_start, limits) }
    }

    /// Returns the lease under which the memory was created.
    pub fn lease_start(&self) -> LeaseStart {
        self.lease_start
    }

    /// Returns the start of the covered time: an id that was issued later and is not in the memory was never run.
    pub fn covers_after(&self) -> WallTime {
        self.inherited_covers_after.max(self.evicted_up_to)
    }

    /// Decides how to handle a request, and records it as running if it must be run.
    ///
    /// The decision is valid only while the lease of [`LeaseStart::epoch`] is held. The caller must check the
    /// lease before acting on the decision.
    pub fn begin(&mut self, req: Request, now: WallTime) -> BeginDecision {
        self.expire(now);
        if let Some(decision) = self.look_up(&req) {
            return decision;
        }
        if self.handed_over {
            return BeginDecision::HandedOver;
        }
        let issued = req.id.issued();
        if !req.minted && !self.is_covered(issued, now) {
            return BeginDecision::NotCovered;
        }
        if issued > now + self.limits.max_caller_skew {
            return BeginDecision::FromFuture;
        }
        if !self.make_room() {
            return BeginDecision::Full;
        }
        BeginDecision::Run(self.start_attempt(&req))
    }

    /// Records how an attempt ended. A definite end that arrives late replaces an unknown one.
    pub fn finish(&mut self, id: RequestId, attempt: Attempt, end: AttemptEnd) -> FinishEffect {
        let Some(fingerprint) = self.open_attempt(id, attempt) else {
            return FinishEffect::Ignored;
        };
        self.running.remove(&id);
        let answer = match end {
            AttemptEnd::NotRun => {
                self.settled.remove(id);
                return FinishEffect::Dropped;
            }
            AttemptEnd::Done(answer) => Some(Arc::new(answer)),
            AttemptEnd::Unknown => None,
        };
        self.settled.insert(id, Settled { fingerprint, attempt, answer }, &self.limits);
        FinishEffect::Kept
    }

    /// Returns the outcome recorded for an id. `None` means that the id is not in the memory, which does not prove
    /// that the request was not run.
    pub fn outcome(&self, id: RequestId) -> Option<Outcome> {
        if self.running.contains_key(&id) {
            return Some(Outcome::Running);
        }
        let settled = self.settled.get(id)?;
        Some(if settled.answer.is_some() { Outcome::Done } else { Outcome::Unknown })
    }

    /// Returns the recorded answer of an id.
    pub fn answer(&self, id: RequestId) -> Option<Arc<Answer>> {
        self.settled.get(id)?.answer.clone()
    }

    /// Returns how many requests are in the memory, running ones included.
    pub fn len(&self) -> usize {
        self.running.len() + self.settled.len()
    }

    /// Returns whether no request is in the memory.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how many requests are running.
    pub fn running_len(&self) -> usize {
        self.running.len()
    }

    /// Returns the total size of the kept bodies in bytes.
    pub fn body_bytes(&self) -> u64 {
        self.settled.body_bytes()
    }

    /// Evicts requests whose ids are older than the retention period.
    pub fn expire(&mut self, now: WallTime) {
        let oldest_kept = now - self.limits.retention;
        while self.settled.oldest().is_some_and(|id| id.issued() < oldest_kept) {
            self.evict_oldest();
        }
    }

    fn look_up(&self, req: &Request) -> Option<BeginDecision> {
        if let Some(running) = self.running.get(&req.id) {
            let is_same_request = running.fingerprint == req.fingerprint;
            return Some(if is_same_request {
                BeginDecision::StillRunning
            } else {
                BeginDecision::Mismatch
            });
        }
        let settled = self.settled.get(req.id)?;
        if settled.fingerprint != req.fingerprint {
            return Some(BeginDecision::Mismatch);
        }
        Some(match &settled.answer {
            Some(answer) => BeginDecision::Recorded(Arc::clone(answer)),
            None => BeginDecision::Unknown,
        })
    }

    fn is_covered(&self, issued: WallTime, now: WallTime) -> bool {
        issued > self.covers_after() && issued + self.limits.retention >= now
    }

    fn start_attempt(&mut self, req: &Request) -> Attempt {
        self.next_attempt += 1;
        let attempt = Attempt { epoch: self.lease_start.epoch, number: self.next_attempt };
        self.running.insert(req.id, Running { fingerprint: req.fingerprint, attempt });
        attempt
    }

    fn open_attempt(&self, id: RequestId, attempt: Attempt) -> Option<Fingerprint> {
        if let Some(running) = self.running.get(&id) {
            return (running.attempt == attempt).then_some(running.fingerprint);
        }
        let settled = self.settled.get(id)?;
        let is_open = settled.answer.is_none() && settled.attempt == attempt;
        is_open.then_some(settled.fingerprint)
    }

    /// Evicts the oldest requests until another one fits. Returns false if all the remaining ones are running.
    pub(crate) fn make_room(&mut self) -> bool {
        while self.len() >= self.limits.max_entries {
            if !self.evict_oldest() {
                return false;
            }
        }
        true
    }

    fn evict_oldest(&mut self) -> bool {
        let Some(issued) = self.settled.evict_oldest() else { return false };
        self.evicted_up_to = self.evicted_up_to.max(issued);
        true
    }
}
