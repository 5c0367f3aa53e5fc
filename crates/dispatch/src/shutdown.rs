//! What a host that was told to stop still does, by the time that it has left.
//!
//! The host exits before the end of its grace period. A request that it sends too late is cut at the exit, and whether it
//! has run is unknown. So a request that probably outlasts the host is refused at once: it has not run, and its caller can
//! send it to another host. Early in the grace period most requests are still served, as the load balancer goes on
//! sending callers to the host for a while.

use crate::routes::Idempotency;
use skylarkdock_units::times::{HostTime, Millis};

/// Shortest time from the stop signal to the exit, after which the load balancer has seen that the host isn't ready.
const MIN_SHUTDOWN_TIME: Millis = Millis(2_400);
/// Time before the end of the grace period at which the host exits by itself, so that it isn't killed.
const EXIT_MARGIN: Millis = Millis(300);
/// Time before the exit at which open requests get their final answers, so that these are written by then.
const FINAL_ANSWER_MARGIN: Millis = Millis(200);
/// Share of the grace period, in percent, after which new requests are refused, so that earlier ones can be answered.
const REFUSE_AFTER_PERCENT: u64 = 48;
/// Time without open requests after which the host may exit.
const MIN_IDLE_TIME: Millis = Millis(300);
/// Multiple of the expected time of an answer that about 1 in 50 answers exceeds.
const USUAL_FACTOR: u64 = 4;
/// Multiple of the expected time of an answer that hardly any answer exceeds.
const RARE_FACTOR: u64 = 8;
/// Expected time until another host takes a refused request; basis of its `Retry-After`.
pub const RETRY_AFTER: Millis = Millis(20);

/// Shutdown of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    told_at: HostTime,
    grace: Millis,
}

/// What of a request decides whether a stopping host sends it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTimes {
    /// Whether it may run more than once.
    pub idempotency: Idempotency,
    /// When it arrived.
    pub arrived: HostTime,
    /// Time within which its route is expected to be answered.
    pub objective: Millis,
    /// When its caller gets an answer in any case.
    pub deadline: HostTime,
}

impl Shutdown {
    /// Creates the shutdown of a host that was told to stop at a time, and is killed `grace` later.
    pub const fn new(told_at: HostTime, grace: Millis) -> Self {
        Self { told_at, grace }
    }

    /// Returns when the host exits at the latest.
    pub fn exit_at(&self) -> HostTime {
        self.told_at + self.grace.saturating_sub(EXIT_MARGIN)
    }

    /// Returns when requests that are still open get a final answer.
    pub fn final_answers_at(&self) -> HostTime {
        self.told_at + self.grace.saturating_sub(EXIT_MARGIN).saturating_sub(FINAL_ANSWER_MARGIN)
    }

    /// Returns whether the host may exit, if it last had an open request at `last_busy_at`.
    pub fn may_exit(&self, last_busy_at: HostTime, now: HostTime) -> bool {
        let is_idle = now.since(last_busy_at) >= MIN_IDLE_TIME;
        now >= self.exit_at() || (is_idle && now >= self.told_at + MIN_SHUTDOWN_TIME)
    }

    /// Returns whether a request may be sent at `now`, if its answer is expected to take `expected`.
    pub fn may_send(&self, req: &RequestTimes, expected: Millis, now: HostTime) -> bool {
        now < self.latest_send(req, expected)
    }

    /// Returns until when a request may be sent, if its answer is expected to take `expected`.
    pub fn latest_send(&self, req: &RequestTimes, expected: Millis) -> HostTime {
        if req.arrived >= self.told_at + Millis(self.grace.0 * REFUSE_AFTER_PERCENT / 100) {
            return req.arrived;
        }
        if req.deadline <= self.final_answers_at() {
            return req.deadline;
        }
        let latest = |factor: u64| {
            let needed = req.objective.0.max(expected.0.saturating_mul(factor));
            HostTime(self.final_answers_at().0.saturating_sub(needed))
        };
        match req.idempotency {
            // Nobody can repeat it once it was cut.
            Idempotency::Once => latest(RARE_FACTOR),
            // Once the load balancer sends no callers any more, few requests come, and those refused reach another host.
            Idempotency::Idempotent => {
                let noticed_at = self.told_at + MIN_SHUTDOWN_TIME;
                latest(RARE_FACTOR).max(latest(USUAL_FACTOR).min(noticed_at))
            }
        }
    }
}
