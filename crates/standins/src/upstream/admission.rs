//! Admission of requests by draining state, deadline, fencing token, grant and free slots.

use crate::lagged::Lagged;
use crate::upstream::grants::{FencedRange, GrantRefusal, GrantRequest, Grants};
use crate::upstream::runs::{Outcome, RequestInfo, RunHistory, RunId};
use http::StatusCode;
use serde::Serialize;
use skylarkdock_units::{ids, times};

use ids::RangeIndex;
use times::{HostTime, Millis};

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// A newer fencing token has been seen for the range.
    Token,
    /// No valid grant covers the range.
    Grant,
    /// All slots are in use, or the fault `shed` is active.
    Shed,
    /// The upstream is draining.
    Drain,
    /// The deadline has passed before the start.
    Deadline,
}

impl RefusalReason {
    /// Returns the value of the response header `skylarkdock-refused`.
    pub const fn header_value(self) -> &'static str {
        match self {
            Self::Token => "token",
            Self::Grant => "grant",
            Self::Shed => "shed",
            Self::Drain => "drain",
            Self::Deadline => "deadline",
        }
    }

    /// Returns the status code of the response.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::Token | Self::Grant => StatusCode::CONFLICT,
            Self::Shed | Self::Drain => StatusCode::SERVICE_UNAVAILABLE,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Numbers of refused requests by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct RefusalCounts {
    /// Requests with an outdated fencing token.
    pub token: u64,
    /// Requests without a valid grant.
    pub grant: u64,
    /// Requests that found no free slot.
    pub shed: u64,
    /// Requests during the drain.
    pub drain: u64,
    /// Requests past their deadline.
    pub deadline: u64,
}

impl RefusalCounts {
    const fn add(&mut self, refused: RefusalReason) {
        let count = match refused {
            RefusalReason::Token => &mut self.token,
            RefusalReason::Grant => &mut self.grant,
            RefusalReason::Shed => &mut self.shed,
            RefusalReason::Drain => &mut self.drain,
            RefusalReason::Deadline => &mut self.deadline,
        };
        *count += 1;
    }
}

/// Status that the health call reports, before the faults `lie_healthy` and `lie_load`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthStatus {
    /// Whether the upstream is draining.
    pub draining: bool,
    /// Number of running requests.
    pub busy: usize,
}

/// Settings of the admission of requests.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionSettings {
    /// Maximum number of requests that run at once.
    pub slots: usize,
    /// Whether fencing tokens and grants are checked.
    pub checks_orders: bool,
    /// Maximum number of ended runs, and of intervals, that are retained.
    pub keep_runs: usize,
}

/// A request that waits for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IncomingRequest {
    /// Ids, key, range and fencing token of the request.
    pub work: RequestInfo,
    /// Time after which the caller no longer waits for the response.
    pub deadline: Option<HostTime>,
}

/// Admits requests by grants and slots, and records their runs.
#[derive(Debug)]
pub struct AdmissionController {
    settings: AdmissionSettings,
    draining: bool,
    status_lag: Millis,
    shedding: bool,
    grants: Grants,
    runs: RunHistory,
    refused: RefusalCounts,
    status: Lagged<HealthStatus>,
}

impl AdmissionController {
    /// Creates an idle controller without grants.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            draining: false,
            status_lag: Millis(0),
            shedding: false,
            grants: Grants::default(),
            runs: RunHistory::new(settings.keep_runs),
            refused: RefusalCounts::default(),
            status: Lagged::new(HealthStatus { draining: false, busy: 0 }),
        }
    }

    /// Admits a request; returns the id of its run and the run count of its request id.
    ///
    /// # Errors
    /// Returns the reason why the request is refused.
    pub fn start(
        &mut self,
        now: HostTime,
        request: IncomingRequest,
    ) -> Result<(RunId, u64), RefusalReason> {
        self.cancel_expired(now);
        let grant_expiry =
            self.check(now, &request).inspect_err(|refused| self.refused.add(*refused))?;
        let started = self.runs.start(now, request.work, grant_expiry);
        self.record_status(now);
        Ok(started)
    }

    /// Ends a run; returns `false` when it had already ended, or was cancelled because its grant expired.
    pub fn end(&mut self, now: HostTime, id: RunId, outcome: Outcome) -> bool {
        self.cancel_expired(now);
        let ended = self.runs.end(now, id, outcome);
        self.record_status(now);
        ended
    }

    /// Cancels the runs whose grant has expired.
    pub fn cancel_expired(&mut self, now: HostTime) {
        self.runs.cancel_expired(now);
        self.record_status(now);
    }

    /// Starts the drain: new requests are refused.
    pub fn drain(&mut self, now: HostTime) {
        self.draining = true;
        self.record_status(now);
    }

    /// Sets the age of the reported status and whether all requests are shed.
    pub fn set_faults(&mut self, now: HostTime, status_lag: Millis, shedding: bool) {
        self.status.apply_due(now, self.status_lag);
        self.status_lag = status_lag;
        self.shedding = shedding;
    }

    /// Applies a grant request; returns the refused ranges, each with the newer fencing token seen.
    pub fn apply(&mut self, now: HostTime, request: &GrantRequest) -> Vec<FencedRange> {
        self.cancel_expired(now);
        let refused = self.grants.apply(request);
        let is_refused = |grant: &FencedRange| refused.iter().any(|r| r.range == grant.range);
        for grant in request.grants.iter().filter(|grant| !is_refused(grant)) {
            self.runs.extend_grant(grant.range, grant.token, request.until_ms);
        }
        refused
    }

    /// Returns the withdrawn ranges that still have running requests.
    pub fn still_running(&self, request: &GrantRequest) -> Vec<RangeIndex> {
        let withdrawals = request.withdraw.iter();
        let running = withdrawals
            .filter(|withdrawal| self.runs.is_running(withdrawal.range, withdrawal.token));
        running.map(|withdrawal| withdrawal.range).collect()
    }

    /// Returns the status as of the configured lag before `now`.
    pub fn status(&mut self, now: HostTime) -> HealthStatus {
        *self.status.visible(now, self.status_lag)
    }

    /// Returns whether the upstream is draining and no request is running.
    pub fn is_drained(&self) -> bool {
        self.draining && self.runs.running_count() == 0
    }

    /// Returns whether the upstream is draining.
    pub const fn is_draining(&self) -> bool {
        self.draining
    }

    /// Returns the history of runs.
    pub const fn runs(&self) -> &RunHistory {
        &self.runs
    }

    /// Returns the numbers of refused requests.
    pub const fn refused(&self) -> RefusalCounts {
        self.refused
    }

    /// Returns the settings of the admission.
    pub const fn settings(&self) -> AdmissionSettings {
        self.settings
    }

    /// Decides whether to admit a request; returns the expiry of its grant if grants are checked.
    fn check(
        &mut self,
        now: HostTime,
        request: &IncomingRequest,
    ) -> Result<Option<HostTime>, RefusalReason> {
        if self.draining {
            return Err(RefusalReason::Drain);
        }
        if request.deadline.is_some_and(|deadline| deadline <= now) {
            return Err(RefusalReason::Deadline);
        }
        let checks = self.settings.checks_orders;
        let grant_expiry = checks.then(|| self.check_grant(now, &request.work)).transpose()?;
        if self.shedding || self.runs.running_count() >= self.settings.slots {
            return Err(RefusalReason::Shed);
        }
        Ok(grant_expiry)
    }

    fn check_grant(
        &mut self,
        now: HostTime,
        work: &RequestInfo,
    ) -> Result<HostTime, RefusalReason> {
        let (Some(range), Some(token)) = (work.range, work.token) else {
            return Err(RefusalReason::Grant);
        };
        let expiry = self.grants.admit(FencedRange { range, token }, now);
        expiry.map_err(|grant_refusal| match grant_refusal {
            GrantRefusal::Token => RefusalReason::Token,
            GrantRefusal::Grant => RefusalReason::Grant,
        })
    }

    fn record_status(&mut self, now: HostTime) {
        let status = HealthStatus { draining: self.draining, busy: self.runs.running_count() };
        self.status.set(now, self.status_lag, status);
    }
}
