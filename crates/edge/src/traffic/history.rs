//! Attempts that were made for a request, and how the request ended.

use super::attempt::{AttemptResult, NotRun};
use crate::client::Reply;
use crate::clock;
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};

/// Reason of requests that end otherwise than usual because the host was told to stop.
pub(super) const HOST_IS_LEAVING: &str = "host_is_leaving";

/// Number of permits for cold upstreams that may expire before a request is given up. The first one may, while a connection
/// is opened, which the next attempt uses.
const MAX_UNPERMITTED: u32 = 3;

/// Attempts that were made for a request so far.
#[derive(Default)]
pub(super) struct History {
    /// Number of attempts that reached an upstream.
    pub(super) sent: u32,
    /// Number of attempts that an upstream shed.
    pub(super) shed: u32,
    /// Number of attempts that an upstream answered as misdirected.
    pub(super) misdirected: u32,
    /// Number of attempts that were not made, as their upstreams rest, leave or are evacuated.
    pub(super) withheld: u32,
    /// Number of attempts that were not made, as the permit for a cold upstream expired before.
    unpermitted: u32,
    /// Whether the request waited for the end of another copy of it.
    waited_for_trial: bool,
    /// Upstream of the attempt that is under way.
    pub(super) under_way: Option<UpstreamId>,
    /// Upstreams that may have run the request.
    pub(super) ran: Vec<UpstreamId>,
    /// Upstreams that further attempts avoid.
    pub(super) tried: Vec<UpstreamId>,
    /// Last answer in which an upstream reported a failure.
    pub(super) failure: Option<Reply>,
    /// Time spent waiting for an upstream.
    pub(super) waited: Millis,
    /// Attempts in log format: upstream, result and time since the arrival of the request.
    pub(super) steps: Vec<String>,
}

impl History {
    /// Adds the result of an attempt to the steps for the log.
    pub(super) fn record_step(
        &mut self,
        arrived: HostTime,
        id: &UpstreamId,
        outcome: &AttemptResult,
    ) {
        let elapsed_ms = clock::now().since(arrived).0;
        let result = match outcome {
            AttemptResult::Answered(reply) => reply.head.status.to_string(),
            AttemptResult::NotRun(reason) => reason.as_str().to_owned(),
            AttemptResult::Unknown(ended) => format!("{ended:?}").to_lowercase(),
        };
        self.steps.push(format!("{id}:{result}@{elapsed_ms}ms"));
    }

    /// Adds to the steps that the request waits for the end of another copy, unless it did before.
    pub(super) fn record_trial_wait(&mut self, arrived: HostTime, now: HostTime) {
        if !self.waited_for_trial {
            self.waited_for_trial = true;
            self.steps.push(format!("trial:waits@{}ms", now.since(arrived).0));
        }
    }

    /// Adds to the steps that the host ends while an attempt is under way.
    pub(super) fn record_exit(&mut self, arrived: HostTime, id: &UpstreamId) {
        self.steps.push(format!("{id}:exit@{}ms", clock::now().since(arrived).0));
    }

    /// Records an attempt on an upstream that may have run the request.
    pub(super) fn record_may_have_run(&mut self, id: &UpstreamId) {
        self.sent += 1;
        self.tried.push(id.clone());
        if !self.ran.contains(id) {
            self.ran.push(id.clone());
        }
    }

    /// Returns whether the request may run on an upstream, given the number of upstreams that its route allows.
    pub(super) fn may_run_on(&self, id: &UpstreamId, attempts: u32) -> bool {
        self.ran.contains(id) || (self.ran.len() as u64) < u64::from(attempts)
    }

    /// Returns whether so many permits for cold upstreams expired before the request was sent that it is given up.
    pub(super) const fn missed_permits(&self) -> bool {
        self.unpermitted > MAX_UNPERMITTED
    }

    /// Records an attempt that did not run the request.
    pub(super) fn record_not_run(&mut self, reason: NotRun, id: &UpstreamId, is_keyed: bool) {
        match reason {
            NotRun::Unreachable
            | NotRun::Crashing(_)
            | NotRun::Expired
            | NotRun::NotAllowed
            | NotRun::Shortage(_) => {}
            NotRun::Withheld(_) => self.withheld += 1,
            NotRun::NoPermit => self.unpermitted += 1,
            NotRun::Shed => {
                self.sent += 1;
                self.shed += 1;
            }
            NotRun::Misdirected => {
                self.sent += 1;
                self.misdirected += 1;
            }
        }
        if !is_keyed {
            self.tried.push(id.clone());
        }
    }
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestEnd {
    /// An upstream's answer was forwarded.
    Answered,
    /// The request was refused for this reason; no upstream has run it.
    Refused(&'static str),
    /// The request failed, and an upstream may have run it.
    Unknown,
    /// The host ended while an attempt was under way, so an upstream may have run the request.
    Exit,
}

impl RequestEnd {
    /// Returns the value of the `outcome` label in metrics.
    pub(super) const fn outcome(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused(_) => "refused",
            Self::Unknown | Self::Exit => "unknown",
        }
    }

    /// Returns the value of the `reason` label in metrics and field in logs.
    pub(super) const fn reason(self) -> &'static str {
        match self {
            Self::Refused(reason) => reason,
            Self::Exit => HOST_IS_LEAVING,
            Self::Answered | Self::Unknown => "none",
        }
    }
}
