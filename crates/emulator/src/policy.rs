//! How hosts decide: as the project's hosts do, and in simpler ways to compare with.

use skylarkdock_dispatch::retry_after;
use skylarkdock_dispatch::routing::{RefusalReason, RoutingDecision, RoutingRequest};
use skylarkdock_dispatch::service::Service;
use skylarkdock_dispatch::upstream::{AttemptOutcome, Distance, UpstreamInfo};
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};
use std::fmt;
use std::str::FromStr;

/// Pause that the simpler ways tell callers whom nobody serves.
const PLAIN_PAUSE: Millis = Millis(100);

/// A way to decide.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// As the project's hosts do.
    Dispatch,
    /// The same, but nothing waits at a host: who finds no room is refused.
    NoQueue,
    /// The upstream with the fewest requests of this host, at once.
    LeastInFlight,
    /// One upstream after the other, at once.
    RoundRobin,
}

impl Policy {
    /// All of them, the project's first.
    pub const ALL: [Self; 4] =
        [Self::Dispatch, Self::NoQueue, Self::LeastInFlight, Self::RoundRobin];
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Dispatch => "dispatch",
            Self::NoQueue => "no-queue",
            Self::LeastInFlight => "least-in-flight",
            Self::RoundRobin => "round-robin",
        })
    }
}

impl FromStr for Policy {
    type Err = eyre::Report;

    fn from_str(text: &str) -> eyre::Result<Self> {
        let found = Self::ALL.into_iter().find(|policy| policy.to_string() == text);
        found.ok_or_else(|| eyre::eyre!("{text:?} is no policy"))
    }
}

/// What one host decides by.
pub struct Decider {
    policy: Policy,
    service: Service,
    ids: Vec<UpstreamId>,
    in_flight: FastMap<UpstreamId, u32>,
    next: usize,
}

impl Decider {
    /// Starts with the upstreams; the simpler ways start at the `first`, so that hosts don't go in step.
    pub fn new(policy: Policy, listings: &[UpstreamInfo], hosts: u32, first: usize) -> Self {
        let mut service = Service::default();
        service.set_upstreams(listings.to_vec());
        service.set_host_counts(hosts, hosts);
        let ids = listings.iter().map(|listing| listing.id.clone()).collect();
        Self { policy, service, ids, in_flight: FastMap::default(), next: first }
    }

    /// Decides about a request that arrives, or comes again after an attempt.
    pub fn offer(&mut self, request: RoutingRequest, now: HostTime) -> RoutingDecision {
        match self.policy {
            Policy::Dispatch => self.service.decide(request, now),
            Policy::NoQueue => {
                let (left, jitter_per_mille, ticket) =
                    (request.deadline.since(now), request.jitter_per_mille, request.ticket);
                let decision = self.service.decide(request, now);
                if decision != RoutingDecision::Wait {
                    return decision;
                }
                self.service.cancel(ticket);
                let typical = self.service.mean_service_ms();
                let retry_after = retry_after::delay(millis(typical), left, jitter_per_mille);
                RoutingDecision::Refuse { reason: RefusalReason::Overload, retry_after }
            }
            Policy::LeastInFlight => {
                let in_flight = &self.in_flight;
                let count = |id: &UpstreamId| in_flight.get(id).copied().unwrap_or_default();
                let id = untried(&self.ids, self.next, &request).min_by_key(|id| count(id));
                self.next += 1;
                send(id)
            }
            Policy::RoundRobin => {
                let id = untried(&self.ids, self.next, &request).next();
                self.next += 1;
                send(id)
            }
        }
    }

    /// Decides about those that wait.
    pub fn look(&mut self, now: HostTime) -> Vec<(RoutingRequest, RoutingDecision)> {
        self.service.decide_waiting(now)
    }

    /// Returns whether any request waits.
    pub fn has_waiting(&self) -> bool {
        self.service.waiting() > 0
    }

    /// Notes that a request was sent.
    pub fn on_start(&mut self, id: &UpstreamId, now: HostTime) {
        *self.in_flight.entry(id.clone()).or_default() += 1;
        self.service.on_start(id, now);
    }

    /// Notes how an attempt ended.
    pub fn on_end(
        &mut self,
        id: &UpstreamId,
        started: HostTime,
        ended: AttemptOutcome,
        now: HostTime,
    ) {
        if let Some(count) = self.in_flight.get_mut(id) {
            *count = count.saturating_sub(1);
        }
        self.service.on_end(id, started, ended, now);
    }

    /// Returns this host's requests at the upstreams.
    pub const fn load(&self) -> &FastMap<UpstreamId, u32> {
        &self.in_flight
    }

    /// Sets the other hosts' requests at an upstream.
    pub fn set_others(&mut self, id: &UpstreamId, count: u32, now: HostTime) {
        if let Some(upstream) = self.service.upstream_mut(id) {
            upstream.set_peer_load(count, now);
        }
    }
}

/// Returns a listing of an upstream in the host's region.
pub fn listing(id: UpstreamId, slots: u32, cold_until: HostTime) -> UpstreamInfo {
    UpstreamInfo { id, distance: Distance::Zone, slots, cold_until, is_leaving: false }
}

/// Returns the upstreams that a request was not sent to, from the `next` one on.
fn untried<'a>(
    ids: &'a [UpstreamId],
    next: usize,
    request: &RoutingRequest,
) -> impl Iterator<Item = &'a UpstreamId> {
    let from = next % ids.len();
    ids[from..].iter().chain(&ids[..from]).filter(|id| !request.tried.contains(id))
}

fn send(id: Option<&UpstreamId>) -> RoutingDecision {
    match id {
        Some(id) => RoutingDecision::Send(id.clone()),
        None => {
            RoutingDecision::Refuse { reason: RefusalReason::NoUpstream, retry_after: PLAIN_PAUSE }
        }
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "some seconds")]
const fn millis(ms: f32) -> Millis {
    Millis(ms.max(0.0) as u64)
}
