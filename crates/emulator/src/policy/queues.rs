//! Published and textbook orders of delay and refusal, over the choice of upstreams of the real hosts.

use super::Policy;
use skylarkdock_dispatch::retry_after;
use skylarkdock_dispatch::routing::{RefusalReason, RoutingDecision, RoutingRequest};
use skylarkdock_dispatch::service::Service;
use skylarkdock_dispatch::upstream::AttemptOutcome;
use skylarkdock_dispatch::work::{RouteKey, WorkEstimates};
use skylarkdock_units::collections::FastSet;
use skylarkdock_units::times::{HostTime, Millis};

/// Largest number of waiting requests of a host, the same as on real hosts.
const MAX_WAITING: usize = 256;
/// Length of a window after which thresholds move, as published for DAGOR.
const THRESHOLD_WINDOW: Millis = Millis(1_000);
/// Mean wait in a window that counts as overload, as published for DAGOR.
const THRESHOLD_WAIT_MS: f64 = 20.0;
/// Factor on the admitted requests after a window with overload, as published for DAGOR.
const THRESHOLD_DECREASE: f64 = 0.95;
/// Part of the requests that is added after a window without overload, as published for DAGOR.
const THRESHOLD_INCREASE: f64 = 0.01;
/// Groups of callers within a rank, as published for DAGOR.
const CALLER_GROUPS: u64 = 128;
/// Ranks that have thresholds.
const RANKS: u64 = 4;
/// Target of the wait at a host. Breakwater's is a fraction of the objective; objectives here are 300 to 1,000 ms.
const TARGET_WAIT_MS: f64 = 80.0;
/// Interval at which credits are adjusted; Breakwater does it each round trip.
const CREDIT_INTERVAL: Millis = Millis(10);
/// Largest decrease of credits by a wait of twice the target, as published for Breakwater.
const CREDIT_DECREASE: f64 = 0.02;
/// Credits that are added in an interval, as a part of them. Breakwater adds 0.1 % of the number of clients.
const CREDIT_INCREASE: f64 = 0.001;

/// How requests wait and which are admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Discipline {
    /// By deadline.
    Deadline,
    /// By expected work.
    Work,
    /// By rank and arrival.
    Rank,
    /// By rank and expected work.
    RankWork,
    /// In order of arrival, above a threshold of rank and caller.
    Threshold,
    /// In order of arrival, within credits.
    Credits,
}

impl Discipline {
    /// Returns the discipline of a policy that has one.
    pub const fn of(policy: Policy) -> Option<Self> {
        match policy {
            Policy::DeadlineFirst => Some(Self::Deadline),
            Policy::ShortestFirst => Some(Self::Work),
            Policy::StrictRank => Some(Self::Rank),
            Policy::RankWork => Some(Self::RankWork),
            Policy::RankThreshold => Some(Self::Threshold),
            Policy::DelayTarget => Some(Self::Credits),
            _ => None,
        }
    }
}

/// Waiting requests of one host.
pub struct QueueRouter {
    discipline: Discipline,
    /// Slots of all upstreams divided by the number of hosts.
    slot_share: f64,
    waiting: Vec<RoutingRequest>,
    work: WorkEstimates,
    outstanding: f64,
    credits: f64,
    credits_at: HostTime,
    window_start: HostTime,
    window_wait_ms: f64,
    window_started: f64,
    /// Requests of the window by threshold.
    window_asked: Vec<f64>,
    window_admitted: f64,
    threshold: u64,
}

impl QueueRouter {
    /// Creates an empty queue.
    pub fn new(discipline: Discipline, slot_share: f64) -> Self {
        let levels = usize::try_from(RANKS * CALLER_GROUPS).unwrap_or_default();
        Self {
            discipline,
            slot_share,
            waiting: Vec::new(),
            work: WorkEstimates::default(),
            outstanding: 0.0,
            credits: slot_share.max(2.0),
            credits_at: HostTime(0),
            window_start: HostTime(0),
            window_wait_ms: 0.0,
            window_started: 0.0,
            window_asked: vec![0.0; levels],
            window_admitted: 0.0,
            threshold: RANKS * CALLER_GROUPS,
        }
    }

    /// Returns the number of waiting requests.
    pub const fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Decides on a request that has arrived or whose last attempt failed.
    pub fn decide(
        &mut self,
        service: &Service,
        request: RoutingRequest,
        now: HostTime,
    ) -> RoutingDecision {
        self.adjust(now);
        if request.tried.is_empty() && !self.admits(&request) {
            return self.refuse(service, &request, now);
        }
        if self.waiting.is_empty()
            && let Some(id) = service.free_upstream(&request, now)
        {
            self.on_send(&request, now);
            return RoutingDecision::Send(id);
        }
        let mean_ms = f64::from(service.mean_service_ms());
        let wait_ms = (count(self.waiting.len()) + 1.0) * mean_ms / self.slot_share.max(0.1);
        let remaining_ms = float(request.deadline.since(now).0);
        if self.waiting.len() >= MAX_WAITING || wait_ms + mean_ms > remaining_ms {
            return self.refuse(service, &request, now);
        }
        self.waiting.push(request);
        RoutingDecision::Wait
    }

    /// Decides on the waiting requests. Returns those that are sent or refused now.
    pub fn decide_waiting(
        &mut self,
        service: &Service,
        now: HostTime,
    ) -> Vec<(RoutingRequest, RoutingDecision)> {
        self.adjust(now);
        let mean_ms = service.mean_service_ms();
        let work = |request: &RoutingRequest| {
            let micros = self.work.expected(request.route, mean_ms, now).slot_ms * 1_000.0;
            integer(f64::from(micros))
        };
        let key = |request: &RoutingRequest| match self.discipline {
            Discipline::Deadline => (0, 0, request.deadline),
            Discipline::Work => (0, work(request), request.arrived),
            Discipline::Rank => (request.rank, 0, request.arrived),
            Discipline::RankWork => (request.rank, work(request), request.arrived),
            Discipline::Threshold | Discipline::Credits => (0, 0, request.arrived),
        };
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_key(key);
        let mut used = FastSet::default();
        let mut decided = Vec::new();
        for request in waiting {
            let is_dropped = self.discipline == Discipline::Credits
                && float(now.since(request.arrived).0) > 2.0 * TARGET_WAIT_MS;
            if now >= request.deadline || is_dropped {
                let refusal = self.refuse(service, &request, now);
                self.outstanding -= 1.0;
                decided.push((request, refusal));
                continue;
            }
            match service.free_upstream(&request, now).filter(|id| !used.contains(id)) {
                Some(id) => {
                    used.insert(id.clone());
                    self.on_send(&request, now);
                    decided.push((request, RoutingDecision::Send(id)));
                }
                None => self.waiting.push(request),
            }
        }
        decided
    }

    /// Records the end of an attempt.
    pub fn on_end(
        &mut self,
        service: &Service,
        route: RouteKey,
        started: HostTime,
        outcome: AttemptOutcome,
        now: HostTime,
    ) {
        self.outstanding = (self.outstanding - 1.0).max(0.0);
        if outcome == AttemptOutcome::Answered {
            let answer_ms = millis_f32(now.since(started));
            self.work.record(route, answer_ms, answer_ms, service.mean_service_ms(), now);
        }
    }

    fn on_send(&mut self, request: &RoutingRequest, now: HostTime) {
        self.window_wait_ms += float(now.since(request.arrived).0);
        self.window_started += 1.0;
    }

    fn admits(&mut self, request: &RoutingRequest) -> bool {
        let is_admitted = match self.discipline {
            Discipline::Threshold => {
                let group = request.ticket.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 57;
                let level = u64::from(request.rank).min(RANKS - 1) * CALLER_GROUPS + group;
                self.window_asked[usize::try_from(level).unwrap_or_default()] += 1.0;
                level < self.threshold
            }
            Discipline::Credits => self.outstanding < self.credits,
            _ => true,
        };
        if is_admitted {
            self.window_admitted += 1.0;
            self.outstanding += 1.0;
        }
        is_admitted
    }

    /// Moves threshold and credits.
    fn adjust(&mut self, now: HostTime) {
        if now.since(self.credits_at) >= CREDIT_INTERVAL {
            self.credits_at = now;
            let oldest = self.waiting.iter().map(|request| request.arrived).min();
            let wait_ms = oldest.map_or(0.0, |arrived| float(now.since(arrived).0));
            if wait_ms < TARGET_WAIT_MS {
                self.credits += (self.credits * CREDIT_INCREASE).max(CREDIT_INCREASE);
            } else {
                let excess = (wait_ms - TARGET_WAIT_MS) / TARGET_WAIT_MS;
                self.credits *= (1.0 - CREDIT_DECREASE * excess).max(0.5);
            }
            self.credits = self.credits.max(1.0);
        }
        if now.since(self.window_start) >= THRESHOLD_WINDOW {
            let mean_wait_ms = self.window_wait_ms / self.window_started.max(1.0);
            let asked: f64 = self.window_asked.iter().sum();
            let target = if mean_wait_ms > THRESHOLD_WAIT_MS {
                self.window_admitted * THRESHOLD_DECREASE
            } else {
                self.window_admitted + (asked * THRESHOLD_INCREASE).max(1.0)
            };
            let mut sum = 0.0;
            let first_above = self.window_asked.iter().position(|count| {
                sum += count;
                sum > target
            });
            self.threshold = first_above
                .and_then(|level| u64::try_from(level).ok())
                .unwrap_or(RANKS * CALLER_GROUPS)
                .max(1);
            self.window_asked.fill(0.0);
            (self.window_wait_ms, self.window_started, self.window_admitted) = (0.0, 0.0, 0.0);
            self.window_start = now;
        }
    }

    fn refuse(
        &self,
        service: &Service,
        request: &RoutingRequest,
        now: HostTime,
    ) -> RoutingDecision {
        let expected = Millis(integer(f64::from(service.mean_service_ms())));
        let remaining = request.deadline.since(now);
        RoutingDecision::Refuse {
            reason: RefusalReason::Overload,
            retry_after: retry_after::delay(expected, remaining, request.jitter_per_mille),
        }
    }
}

fn count(value: usize) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}

fn float(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}

#[expect(clippy::cast_possible_truncation, reason = "durations of some seconds")]
fn millis_f32(time: Millis) -> f32 {
    float(time.0) as f32
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "durations of some seconds"
)]
fn integer(value: f64) -> u64 {
    value.max(0.0) as u64
}
