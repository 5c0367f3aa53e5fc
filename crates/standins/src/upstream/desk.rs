//! Decides which requests an upstream runs: draining, deadlines, tokens, grants and slots.

use crate::lagged::Lagged;
use crate::upstream::grants::{GrantOrder, Grants, RangeToken, Refusal};
use crate::upstream::runs::{Outcome, RunId, Runs, Work};
use http::StatusCode;
use serde::Serialize;
use skylarkdock_units::{ids, times};

use ids::RangeIndex;
use times::{HostTime, Millis};

/// Why a request is not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// A newer token was seen for the range.
    Token,
    /// No grant in force covers the range.
    Grant,
    /// No slot is free.
    Shed,
    /// The upstream is leaving.
    Drain,
    /// The deadline had passed before the start.
    Deadline,
}

impl Refused {
    /// Returns the value of the answer's `skylarkdock-refused` header.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Token => "token",
            Self::Grant => "grant",
            Self::Shed => "shed",
            Self::Drain => "drain",
            Self::Deadline => "deadline",
        }
    }

    /// Returns the answer's status.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::Token | Self::Grant => StatusCode::CONFLICT,
            Self::Shed | Self::Drain => StatusCode::SERVICE_UNAVAILABLE,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// How many requests were refused, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct RefusedCounts {
    /// For a newer token.
    pub token: u64,
    /// For lack of a grant.
    pub grant: u64,
    /// For lack of a slot.
    pub shed: u64,
    /// While leaving.
    pub drain: u64,
    /// After their deadline.
    pub deadline: u64,
}

impl RefusedCounts {
    const fn add(&mut self, refused: Refused) {
        let count = match refused {
            Refused::Token => &mut self.token,
            Refused::Grant => &mut self.grant,
            Refused::Shed => &mut self.shed,
            Refused::Drain => &mut self.drain,
            Refused::Deadline => &mut self.deadline,
        };
        *count += 1;
    }
}

/// What the health call tells, before faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Whether the upstream is leaving.
    pub draining: bool,
    /// Requests that run.
    pub busy: usize,
}

/// Settings of the desk.
#[derive(Debug, Clone, Copy)]
pub struct DeskSettings {
    /// Most requests that run at once.
    pub slots: usize,
    /// Whether tokens and grants are checked.
    pub checks_orders: bool,
    /// Number of ended runs that are kept.
    pub keep_runs: usize,
}

/// A request that asks to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// What it is for.
    pub work: Work,
    /// When nobody waits for the answer any more.
    pub deadline: Option<HostTime>,
}

/// The state of an upstream.
#[derive(Debug)]
pub struct Desk {
    settings: DeskSettings,
    draining: bool,
    lag: Millis,
    shedding: bool,
    grants: Grants,
    runs: Runs,
    refused: RefusedCounts,
    status: Lagged<Status>,
}

impl Desk {
    /// Starts idle.
    pub fn new(settings: DeskSettings) -> Self {
        Self {
            settings,
            draining: false,
            lag: Millis(0),
            shedding: false,
            grants: Grants::default(),
            runs: Runs::new(settings.keep_runs),
            refused: RefusedCounts::default(),
            status: Lagged::new(Status { draining: false, busy: 0 }),
        }
    }

    /// Starts a run and returns its number and the run count of its request id.
    ///
    /// # Errors
    /// Returns why the request may not run.
    pub fn start(&mut self, now: HostTime, arrival: Arrival) -> Result<(RunId, u64), Refused> {
        self.abandon_lapsed(now);
        let lapse = self.check(now, &arrival).inspect_err(|refused| self.refused.add(*refused))?;
        let started = self.runs.start(now, arrival.work, lapse);
        self.note_status(now);
        Ok(started)
    }

    /// Ends a run; returns `false` when it has ended before, or was abandoned because its grant lapsed.
    pub fn end(&mut self, now: HostTime, id: RunId, outcome: Outcome) -> bool {
        self.abandon_lapsed(now);
        let ended = self.runs.end(now, id, outcome);
        self.note_status(now);
        ended
    }

    /// Ends the runs whose grant has lapsed.
    pub fn abandon_lapsed(&mut self, now: HostTime) {
        self.runs.abandon_lapsed(now);
        self.note_status(now);
    }

    /// Refuses new requests from now on.
    pub fn drain(&mut self, now: HostTime) {
        self.draining = true;
        self.note_status(now);
    }

    /// Sets the age of the status shown and whether all requests are shed.
    pub fn set_faults(&mut self, now: HostTime, lag: Millis, shedding: bool) {
        self.status.apply_due(now, self.lag);
        self.lag = lag;
        self.shedding = shedding;
    }

    /// Applies a grant order and returns the ranges refused.
    pub fn apply(&mut self, now: HostTime, order: &GrantOrder) -> Vec<RangeToken> {
        self.abandon_lapsed(now);
        let refused = self.grants.apply(order);
        let is_refused = |grant: &RangeToken| refused.iter().any(|r| r.range == grant.range);
        for grant in order.grants.iter().filter(|grant| !is_refused(grant)) {
            self.runs.extend(grant.range, grant.token, order.until_ms);
        }
        refused
    }

    /// Returns the withdrawn ranges of which requests still run.
    pub fn still_running(&self, order: &GrantOrder) -> Vec<RangeIndex> {
        let withdrawn = order.withdraw.iter();
        let running = withdrawn.filter(|order| self.runs.is_running(order.range, order.token));
        running.map(|order| order.range).collect()
    }

    /// Returns the status as it was a lag ago.
    pub fn status(&mut self, now: HostTime) -> Status {
        *self.status.visible(now, self.lag)
    }

    /// Returns whether the upstream is leaving and runs nothing.
    pub fn is_drained(&self) -> bool {
        self.draining && self.runs.running() == 0
    }

    /// Returns whether the upstream is leaving.
    pub const fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns the record of runs.
    pub const fn runs(&self) -> &Runs {
        &self.runs
    }

    /// Returns how many requests were refused.
    pub const fn refused(&self) -> RefusedCounts {
        self.refused
    }

    /// Returns the settings.
    pub const fn settings(&self) -> DeskSettings {
        self.settings
    }

    /// Decides whether a request may start, and returns when its grant lapses, if it needs one.
    fn check(&mut self, now: HostTime, arrival: &Arrival) -> Result<Option<HostTime>, Refused> {
        if self.draining {
            return Err(Refused::Drain);
        }
        if arrival.deadline.is_some_and(|deadline| deadline <= now) {
            return Err(Refused::Deadline);
        }
        let checks = self.settings.checks_orders;
        let lapse = checks.then(|| self.check_order(now, &arrival.work)).transpose()?;
        if self.shedding || self.runs.running() >= self.settings.slots {
            return Err(Refused::Shed);
        }
        Ok(lapse)
    }

    fn check_order(&mut self, now: HostTime, work: &Work) -> Result<HostTime, Refused> {
        let (Some(range), Some(token)) = (work.range, work.token) else {
            return Err(Refused::Grant);
        };
        let admitted = self.grants.admit(RangeToken { range, token }, now);
        admitted.map_err(|refusal| match refusal {
            Refusal::Token => Refused::Token,
            Refusal::Grant => Refused::Grant,
        })
    }

    fn note_status(&mut self, now: HostTime) {
        let status = Status { draining: self.draining, busy: self.runs.running() };
        self.status.set(now, self.lag, status);
    }
}
