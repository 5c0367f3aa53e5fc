//! Hedged requests: a second attempt, started while the first attempt at a read is still running.

use crate::budget::AttemptBudget;
use crate::latencies::LatencyHistogram;
use skylarkdock_units::times::HostTime;

const HEDGE_PERCENTILE: u64 = 95;

/// One of the two attempts at a hedged read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeAttempt {
    /// The first attempt.
    First,
    /// The hedged attempt, started if the first is slow.
    Second,
}

/// Action that the caller must take on a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Start the second attempt.
    Start,
    /// Cancel this attempt because the answer of the other one has arrived.
    Cancel(HedgeAttempt),
    /// Fail the read: every attempt has failed.
    Fail,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    First,
    Both,
    Remaining(HedgeAttempt),
    Finished,
}

/// State of the attempts at one read.
#[derive(Debug, Clone, Copy)]
pub struct Hedge {
    state: State,
    due: Option<HostTime>,
}

impl Hedge {
    /// Records the start of the first attempt. A second one becomes due if the request is repeatable and the first
    /// takes longer than the 95th percentile of `latencies`.
    pub fn new(started: HostTime, is_repeatable: bool, latencies: &LatencyHistogram) -> Self {
        let delay = if is_repeatable { latencies.percentile(HEDGE_PERCENTILE) } else { None };
        Self { state: State::First, due: delay.map(|delay| started + delay) }
    }

    /// Returns when to start the second attempt; `None` if there will not be one.
    pub fn due(&self) -> Option<HostTime> {
        self.due
    }

    /// Starts the second attempt if it is due and the budget allows it. A refusal by the budget is final.
    pub fn on_timer(&mut self, now: HostTime, budget: &mut AttemptBudget) -> Option<Action> {
        if self.state != State::First || self.due.is_none_or(|due| now < due) {
            return None;
        }
        self.due = None;
        budget.try_spend().ok()?;
        self.state = State::Both;
        Some(Action::Start)
    }

    /// Records the answer of an attempt and cancels the other attempt if it is still running.
    pub fn on_answer(&mut self, attempt: HedgeAttempt) -> Option<Action> {
        let state = std::mem::replace(&mut self.state, State::Finished);
        self.due = None;
        (state == State::Both).then_some(Action::Cancel(other_attempt(attempt)))
    }

    /// Records the failure of an attempt; the read fails once no attempt is left.
    pub fn on_failure(&mut self, attempt: HedgeAttempt) -> Option<Action> {
        self.due = None;
        if self.state == State::Both {
            self.state = State::Remaining(other_attempt(attempt));
            return None;
        }
        let was_unfinished = self.state != State::Finished;
        self.state = State::Finished;
        was_unfinished.then_some(Action::Fail)
    }
}

fn other_attempt(attempt: HedgeAttempt) -> HedgeAttempt {
    match attempt {
        HedgeAttempt::First => HedgeAttempt::Second,
        HedgeAttempt::Second => HedgeAttempt::First,
    }
}
