//! Routing policies of the simulated hosts: that of the real hosts, and baselines to compare with.

mod queues;

use queues::{Discipline, QueueRouter};
use skylarkdock_dispatch::retry_after;
use skylarkdock_dispatch::routing::{RefusalReason, RoutingDecision, RoutingRequest};
use skylarkdock_dispatch::service::Service;
use skylarkdock_dispatch::upstream::{AttemptOutcome, Distance, UpstreamInfo};
use skylarkdock_dispatch::work::RouteKey;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};
use std::fmt;
use std::str::FromStr;

/// Retry delay that the baseline policies tell refused callers.
const BASELINE_RETRY_DELAY: Millis = Millis(100);

/// Routing policy of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The decisions of `skylarkdock-dispatch`.
    Dispatch,
    /// Like `Dispatch`, but hosts ignore that upstreams ask for a rest.
    IgnoreRest,
    /// Like `Dispatch`, but a request is refused instead of queued.
    NoQueue,
    /// The upstream with the fewest requests from this host; nothing is queued.
    LeastInFlight,
    /// Each upstream in turn; nothing is queued.
    RoundRobin,
    /// Like `Dispatch`, with the rule for pressure of `skylarkdock_dispatch::value`.
    Value,
    /// A queue by earliest deadline.
    DeadlineFirst,
    /// A queue by least expected work.
    ShortestFirst,
    /// A queue by rank and arrival.
    StrictRank,
    /// A queue by rank and least expected work.
    RankWork,
    /// Admission by thresholds of rank and caller that follow the wait, as published for DAGOR.
    RankThreshold,
    /// Admission by credits that follow a target delay, as published for Breakwater.
    DelayTarget,
}

impl Policy {
    /// All policies, with that of the real hosts first.
    pub const ALL: [Self; 5] =
        [Self::Dispatch, Self::IgnoreRest, Self::NoQueue, Self::LeastInFlight, Self::RoundRobin];
    /// The policies that differ in which requests are delayed and refused, with that of the real hosts first.
    pub const ORDERS: [Self; 8] = [
        Self::Dispatch,
        Self::Value,
        Self::DeadlineFirst,
        Self::ShortestFirst,
        Self::StrictRank,
        Self::RankWork,
        Self::RankThreshold,
        Self::DelayTarget,
    ];
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Dispatch => "dispatch",
            Self::IgnoreRest => "ignore-rest",
            Self::NoQueue => "no-queue",
            Self::LeastInFlight => "least-in-flight",
            Self::RoundRobin => "round-robin",
            Self::Value => "value",
            Self::DeadlineFirst => "deadline-first",
            Self::ShortestFirst => "shortest-first",
            Self::StrictRank => "strict-rank",
            Self::RankWork => "rank-work",
            Self::RankThreshold => "rank-threshold",
            Self::DelayTarget => "delay-target",
        })
    }
}

impl FromStr for Policy {
    type Err = eyre::Report;

    fn from_str(text: &str) -> eyre::Result<Self> {
        let found =
            Self::ALL.into_iter().chain(Self::ORDERS).find(|policy| policy.to_string() == text);
        found.ok_or_else(|| eyre::eyre!("unknown policy {text:?}; see --help"))
    }
}

/// Routing state of one simulated host.
pub struct HostRouter {
    policy: Policy,
    service: Service,
    ids: Vec<UpstreamId>,
    in_flight: FastMap<UpstreamId, u32>,
    next_index: usize,
    queue: Option<QueueRouter>,
}

impl HostRouter {
    /// Creates the state of one of `hosts` hosts. The baseline policies start at `first_index`, so that hosts do not
    /// send to the same upstreams in step.
    pub fn new(
        policy: Policy,
        upstream_infos: &[UpstreamInfo],
        hosts: u32,
        first_index: usize,
    ) -> Self {
        let mut service = Service::default();
        service.set_upstreams(upstream_infos.to_vec());
        service.set_host_counts(hosts, hosts);
        service.set_value_rule(policy == Policy::Value);
        let slots: u32 = upstream_infos.iter().map(|info| info.slots).sum();
        let queue = Discipline::of(policy)
            .map(|discipline| QueueRouter::new(discipline, f64::from(slots) / f64::from(hosts)));
        let ids = upstream_infos.iter().map(|info| info.id.clone()).collect();
        Self { policy, service, ids, in_flight: FastMap::default(), next_index: first_index, queue }
    }

    /// Decides on a request that has arrived or whose last attempt failed.
    pub fn decide(&mut self, request: RoutingRequest, now: HostTime) -> RoutingDecision {
        match self.policy {
            Policy::Dispatch | Policy::IgnoreRest | Policy::Value => {
                self.service.decide(request, now)
            }
            Policy::DeadlineFirst
            | Policy::ShortestFirst
            | Policy::StrictRank
            | Policy::RankWork
            | Policy::RankThreshold
            | Policy::DelayTarget => match &mut self.queue {
                Some(queue) => queue.decide(&self.service, request, now),
                None => self.service.decide(request, now),
            },
            Policy::NoQueue => {
                let (remaining, jitter_per_mille, ticket) =
                    (request.deadline.since(now), request.jitter_per_mille, request.ticket);
                let decision = self.service.decide(request, now);
                if decision != RoutingDecision::Wait {
                    return decision;
                }
                self.service.cancel(ticket);
                let mean_ms = self.service.mean_service_ms();
                let retry_after = retry_after::delay(millis(mean_ms), remaining, jitter_per_mille);
                RoutingDecision::Refuse { reason: RefusalReason::Overload, retry_after }
            }
            Policy::LeastInFlight => {
                let in_flight = &self.in_flight;
                let count = |id: &UpstreamId| in_flight.get(id).copied().unwrap_or_default();
                let id = untried(&self.ids, self.next_index, &request).min_by_key(|id| count(id));
                self.next_index += 1;
                send_or_refuse(id)
            }
            Policy::RoundRobin => {
                let id = untried(&self.ids, self.next_index, &request).next();
                self.next_index += 1;
                send_or_refuse(id)
            }
        }
    }

    /// Decides on the waiting requests. Returns those that are sent or refused now.
    pub fn decide_waiting(&mut self, now: HostTime) -> Vec<(RoutingRequest, RoutingDecision)> {
        match &mut self.queue {
            Some(queue) => queue.decide_waiting(&self.service, now),
            None => self.service.decide_waiting(now),
        }
    }

    /// Records the remaining time that a caller names, and returns how much of it the caller has used as far as the host
    /// goes by it.
    pub fn observe_caller(&mut self, route: RouteKey, remaining: Millis) -> Millis {
        self.service.observe_caller(route, remaining)
    }

    /// Returns whether any request waits.
    pub fn has_waiting(&self) -> bool {
        self.queue.as_ref().map_or(self.service.waiting(), QueueRouter::waiting) > 0
    }

    /// Records the start of an attempt.
    pub fn on_start(&mut self, id: &UpstreamId, now: HostTime) {
        *self.in_flight.entry(id.clone()).or_default() += 1;
        self.service.on_start(id, now);
    }

    /// Records the end of an attempt that started at `started`.
    pub fn on_end(
        &mut self,
        route: RouteKey,
        id: &UpstreamId,
        started: HostTime,
        outcome: AttemptOutcome,
        now: HostTime,
    ) {
        if let Some(queue) = &mut self.queue {
            queue.on_end(&self.service, route, started, outcome, now);
        }
        if let Some(count) = self.in_flight.get_mut(id) {
            *count = count.saturating_sub(1);
        }
        self.service.on_end_of(route, id, started, outcome, now);
    }

    /// Returns the routing state.
    pub const fn service(&mut self) -> &mut Service {
        &mut self.service
    }

    /// Returns the number of requests from this host at each upstream.
    pub const fn in_flight(&self) -> &FastMap<UpstreamId, u32> {
        &self.in_flight
    }

    /// Sets the number of requests from other hosts at an upstream.
    pub fn set_peer_load(&mut self, id: &UpstreamId, count: u32, now: HostTime) {
        if let Some(upstream) = self.service.upstream_mut(id) {
            upstream.set_peer_load(count, now);
        }
    }
}

/// Returns the properties of an upstream in the host's availability zone.
pub fn upstream_info(id: UpstreamId, slots: u32, cold_until: HostTime) -> UpstreamInfo {
    UpstreamInfo {
        region: None,
        is_evacuated: false,
        id,
        distance: Distance::Zone,
        slots,
        cold_until,
        is_leaving: false,
    }
}

/// Iterates over the upstreams that a request was not sent to, starting at `next_index`.
fn untried<'a>(
    ids: &'a [UpstreamId],
    next_index: usize,
    request: &RoutingRequest,
) -> impl Iterator<Item = &'a UpstreamId> {
    let start = next_index % ids.len();
    ids[start..].iter().chain(&ids[..start]).filter(|id| !request.tried.contains(id))
}

fn send_or_refuse(id: Option<&UpstreamId>) -> RoutingDecision {
    match id {
        Some(id) => RoutingDecision::Send(id.clone()),
        None => RoutingDecision::Refuse {
            reason: RefusalReason::NoUpstream,
            retry_after: BASELINE_RETRY_DELAY,
        },
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "durations of some seconds"
)]
const fn millis(ms: f32) -> Millis {
    Millis(ms.max(0.0) as u64)
}
