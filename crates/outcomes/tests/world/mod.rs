//! Simulation of successive holders of one range and of the requests sent to them, with an oracle that counts runs.

pub mod steps;

use proptest::sample::Index;
use proptest_state_machine::StateMachineTest;
use skylarkdock_outcomes::answer::{Answer, Body};
use skylarkdock_outcomes::fingerprint::Fingerprint;
use skylarkdock_outcomes::handover::{Chunk, ChunkLimits, ImportProgress};
use skylarkdock_outcomes::limits::{Limits, LimitsBuilder};
use skylarkdock_outcomes::memory::{
    Attempt, AttemptEnd, BeginDecision, FinishEffect, LeaseStart, Memory, Request,
};
use skylarkdock_outcomes::outcome::Outcome;
use skylarkdock_units::ids::{Epoch, Offset};
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::requests::RequestId;
use skylarkdock_units::times::{Millis, WallTime};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use steps::{End, Fault, Step, StepSequence, Transition};

const CALLER_SKEW_MS: u64 = 100;
const HOST_SKEW_MS: u64 = 40;
const RETENTION_MS: u64 = 3000;
const MAX_ENTRIES: usize = 6;
const START_MS: u64 = 1_000_000;
const CHUNKS: ChunkLimits = ChunkLimits { entries: 2, size: ByteSize(4096) };

thread_local! {
    pub static INJECTED_FAULT: Cell<Fault> = const { Cell::new(Fault::None) };
    pub static EVENT_COUNTS: RefCell<BTreeMap<String, u64>> = const { RefCell::new(BTreeMap::new()) };
}

fn record_event(event: impl Into<String>) {
    EVENT_COUNTS.with_borrow_mut(|counts| *counts.entry(event.into()).or_insert(0) += 1);
}

fn is_injected(fault: Fault) -> bool {
    INJECTED_FAULT.get() == fault
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Execution {
    Open,
    Executed,
    Refused,
}

/// An attempt that a holder decided to make.
#[derive(Debug, Clone)]
struct Run {
    request: Request,
    attempt: Attempt,
    execution: Execution,
}

pub struct World {
    now: u64,
    epochs: u64,
    holder: Memory,
    former_holder: Option<Memory>,
    requests: Vec<Request>,
    runs: Vec<Run>,
    chunks: Vec<Chunk>,
}

fn limits() -> Limits {
    LimitsBuilder::new()
        .retention(Millis(RETENTION_MS))
        .max_caller_skew(Millis(CALLER_SKEW_MS))
        .max_host_skew(Millis(HOST_SKEW_MS))
        .max_entries(MAX_ENTRIES)
        .max_body_size(ByteSize(64))
        .max_total_body_size(ByteSize(80))
        .build()
}

fn answer_to(req: &Request) -> Answer {
    let body = Body::Whole(req.id.to_string().into_bytes().into());
    Answer { status: 200, content_type: None, body }
}

fn epoch(number: u64) -> Epoch {
    Epoch { offset: Offset(number), place: 0 }
}

fn pick<T>(items: &[T], index: Index) -> Option<usize> {
    (!items.is_empty()).then(|| index.index(items.len()))
}

impl World {
    fn new_memory(&mut self, host_clock: WallTime) -> Memory {
        let predecessor = Some(epoch(self.epochs));
        self.epochs += 1;
        let lease_start = LeaseStart { epoch: epoch(self.epochs), predecessor, since: host_clock };
        let ignores_lease_start = is_injected(Fault::StartIgnored);
        if ignores_lease_start {
            Memory::for_first_holder(lease_start, limits())
        } else {
            Memory::new(lease_start, limits())
        }
    }

    fn new_request(&mut self, ahead_ms: i64, minted: bool, host_clock: WallTime) -> Request {
        let caller = WallTime(self.now.saturating_add_signed(ahead_ms));
        let number = u8::try_from(self.requests.len()).unwrap();
        let id = RequestId::new(if minted { host_clock } else { caller }, &[number; 10]);
        let req = Request { id, fingerprint: Fingerprint([number; 16]), minted };
        self.requests.push(Request { minted: false, ..req });
        req
    }

    fn possible_runs(&self, id: RequestId) -> usize {
        self.runs
            .iter()
            .filter(|run| run.request.id == id && run.execution != Execution::Refused)
            .count()
    }

    fn send(&mut self, req: Request, host_clock: WallTime) {
        let covers_after = self.holder.covers_after();
        let mut decision = self.holder.begin(req, host_clock);
        if is_injected(Fault::CoverageIgnored) && decision == BeginDecision::NotCovered {
            decision = self.holder.begin(Request { minted: true, ..req }, host_clock);
        }
        if is_injected(Fault::EvictionForgotten) && self.holder.covers_after() > covers_after {
            self.forget_eviction(covers_after);
        }
        record_event(format!("begin {}", decision_name(&decision)));
        self.check_decision(&req, &decision);
        if let BeginDecision::Run(attempt) = decision {
            self.runs.push(Run { request: req, attempt, execution: Execution::Open });
        }
    }

    /// Checks a holder's decision against the attempts that were made.
    fn check_decision(&self, req: &Request, decision: &BeginDecision) {
        let possible_runs = self.possible_runs(req.id);
        if matches!(decision, BeginDecision::Run(_)) {
            assert_eq!(possible_runs, 0, "{} may run twice", req.id);
        }
        if decision.outcome() == Some(Outcome::NotRun) {
            assert_eq!(possible_runs, 0, "{} is said not to have run", req.id);
        }
        if let BeginDecision::Recorded(answer) = decision {
            let is_source =
                |run: &&Run| run.request.id == req.id && run.execution == Execution::Executed;
            let run = self.runs.iter().find(is_source).expect("it was run");
            assert_eq!(run.request.fingerprint, req.fingerprint);
            let whole = answer_to(req);
            assert!(**answer == whole || **answer == whole.to_digest_only(), "another's answer");
        }
    }

    /// Rebuilds the holder's memory as if evictions had not moved the start of the covered time.
    fn forget_eviction(&mut self, covers_after: WallTime) {
        let lease_start = self.holder.lease_start();
        let chunk =
            self.holder.clone().hand_over(lease_start.epoch, ChunkLimits::default()).remove(0);
        let predecessor = Some(lease_start.epoch);
        self.holder = Memory::new(LeaseStart { predecessor, ..lease_start }, limits());
        let chunk = Chunk { covers_after, ..chunk };
        assert_eq!(self.holder.import(chunk), Ok(ImportProgress::Complete));
    }

    fn end(&mut self, index: usize, end: End, former_only: bool) {
        let run = &mut self.runs[index];
        let attempt_end = match (end, run.execution) {
            (End::Answer, Execution::Open | Execution::Executed) => {
                run.execution = Execution::Executed;
                AttemptEnd::Done(answer_to(&run.request))
            }
            (End::Refusal, Execution::Open | Execution::Refused) => {
                run.execution = Execution::Refused;
                AttemptEnd::NotRun
            }
            (End::Break { executed }, Execution::Open) => {
                run.execution = if executed { Execution::Executed } else { Execution::Open };
                if is_injected(Fault::LostAnswerIsNotRun) {
                    AttemptEnd::NotRun
                } else {
                    AttemptEnd::Unknown
                }
            }
            _ => return,
        };
        let run = run.clone();
        if let Some(former_holder) = &mut self.former_holder {
            former_holder.finish(run.request.id, run.attempt, attempt_end.clone());
        }
        if !former_only {
            self.finish(&run, attempt_end);
        }
    }

    fn finish(&mut self, run: &Run, attempt_end: AttemptEnd) {
        let mut attempt = run.attempt;
        if is_injected(Fault::StaleEndApplies) {
            let same_id = |other: &&Run| other.request.id == run.request.id;
            attempt = self.runs.iter().rfind(same_id).map_or(attempt, |run| run.attempt);
        }
        let outcome_before = self.holder.outcome(run.request.id);
        let effect = self.holder.finish(run.request.id, attempt, attempt_end.clone());
        let is_late =
            outcome_before == Some(Outcome::Unknown) && attempt_end != AttemptEnd::Unknown;
        if is_late && effect != FinishEffect::Ignored {
            record_event("late definite end replaces an unknown one");
        }
        if run.attempt.epoch != self.holder.lease_start().epoch && effect != FinishEffect::Ignored {
            record_event("end of a former holder's attempt recorded");
        }
    }

    fn hand_over(&mut self, redirected: bool, host_clock: WallTime) {
        let next = self.new_memory(host_clock);
        let mut former_holder = std::mem::replace(&mut self.holder, next);
        if redirected {
            self.chunks.extend(former_holder.hand_over(epoch(u64::MAX), CHUNKS));
        }
        let to = self.holder.lease_start().epoch;
        self.chunks.extend(former_holder.hand_over(to, CHUNKS));
        self.former_holder = Some(former_holder);
        record_event("planned hand-over");
    }

    fn lose_holder(&mut self, host_clock: WallTime) {
        self.holder = self.new_memory(host_clock);
        self.former_holder = None;
        record_event("loss");
    }

    fn deliver(&mut self, index: usize, drop: bool) {
        let mut chunk = self.chunks[index].clone();
        if drop {
            self.chunks.swap_remove(index);
            return;
        }
        if is_injected(Fault::PartialHandOverCounts) {
            (chunk.index, chunk.count) = (0, 1);
        }
        if is_injected(Fault::ExportsMixed) {
            chunk.export = 1;
        }
        if is_injected(Fault::UnknownDropped) {
            chunk.entries.retain(|entry| entry.answer.is_some());
        }
        if is_injected(Fault::PredecessorUnchecked) {
            let lease_start = self.holder.lease_start();
            (chunk.from, chunk.to) = (lease_start.predecessor.unwrap(), lease_start.epoch);
        }
        let covers_after = self.holder.covers_after();
        match self.holder.import(chunk) {
            Ok(ImportProgress::Complete) if self.holder.covers_after() < covers_after => {
                record_event("complete hand-over extends the covered time");
            }
            Ok(ImportProgress::Complete) => record_event("complete hand-over"),
            Ok(ImportProgress::Partial) => record_event("partial hand-over"),
            Err(_) => record_event("chunk refused"),
        }
    }
}

fn decision_name(decision: &BeginDecision) -> &'static str {
    match decision {
        BeginDecision::Run(_) => "run",
        BeginDecision::Recorded(_) => "recorded",
        BeginDecision::StillRunning => "still running",
        BeginDecision::Unknown => "unknown",
        BeginDecision::NotCovered => "not covered",
        BeginDecision::FromFuture => "from future",
        BeginDecision::Mismatch => "mismatch",
        BeginDecision::Full => "full",
        BeginDecision::HandedOver => "handed over",
    }
}

impl StateMachineTest for World {
    type SystemUnderTest = Self;
    type Reference = StepSequence;

    fn init_test((): &()) -> Self {
        let lease_start =
            LeaseStart { epoch: epoch(0), predecessor: None, since: WallTime(START_MS) };
        Self {
            now: START_MS,
            epochs: 0,
            holder: Memory::for_first_holder(lease_start, limits()),
            former_holder: None,
            requests: Vec::new(),
            runs: Vec::new(),
            chunks: Vec::new(),
        }
    }

    fn apply(state: Self, (): &(), (step, skew): Transition) -> Self {
        let mut world = state;
        world.step(step, WallTime(world.now + skew));
        world
    }
}

impl World {
    fn step(&mut self, step: Step, host_clock: WallTime) {
        let evicted = self.holder.covers_after();
        match step {
            Step::Wait(span) => self.now += span,
            Step::New { ahead_ms, minted } => {
                let req = self.new_request(ahead_ms, minted, host_clock);
                self.send(req, host_clock);
            }
            Step::Resend { index, altered } => {
                if let Some(index) = pick(&self.requests, index) {
                    let mut req = self.requests[index];
                    req.fingerprint.0[0] ^= u8::from(altered);
                    self.send(req, host_clock);
                }
            }
            Step::ResendToFormer { index } => {
                if let (Some(index), Some(former_holder)) =
                    (pick(&self.requests, index), &mut self.former_holder)
                {
                    let req = self.requests[index];
                    let decision = former_holder.begin(req, host_clock);
                    assert!(
                        !matches!(decision, BeginDecision::Run(_)),
                        "a former holder runs {}",
                        req.id
                    );
                    self.check_decision(&req, &decision);
                    record_event("sent to a former holder");
                }
            }
            Step::End { index, end, former_only } => {
                if let Some(index) = pick(&self.runs, index) {
                    self.end(index, end, former_only);
                }
            }
            Step::Lose => self.lose_holder(host_clock),
            Step::HandOver { redirected } => self.hand_over(redirected, host_clock),
            Step::ExportAgain => {
                let to = self.holder.lease_start().epoch;
                let chunks = self
                    .former_holder
                    .as_mut()
                    .map(|former_holder| former_holder.hand_over(to, CHUNKS));
                self.chunks.extend(chunks.unwrap_or_default());
            }
            Step::Deliver { index, drop } => {
                if let Some(index) = pick(&self.chunks, index) {
                    self.deliver(index, drop);
                }
            }
        }
        if self.holder.covers_after() > evicted {
            record_event("covered time moved up");
        }
        assert!(self.holder.len() <= MAX_ENTRIES);
        assert!(self.holder.body_bytes() <= 80);
    }
}
