//! Which requests are served and which are refused while a service has more requests than its upstreams can run, by
//! what callers lose.
//!
//! An answer after its objective has kept only a part of its worth but takes the same capacity, so under pressure only
//! requests that can still meet their objective wait, and the others are refused at once. Pressure follows from the load
//! reports, which all hosts have, so that hosts apply the rule at the same time. Without pressure nothing is changed.
//!
//! Two bounds come before the worth: a more urgent rank is not served less often than a less urgent one, and each route
//! gets a small part of its requests served.

mod ages;

use crate::regions::AllowedRegions;
use crate::routing::{RefusalReason, RoutingRequest};
use crate::upstream::as_f32;
use crate::work::{RouteKey, Work, WorkEstimates};
use ages::CallerAges;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::times::{HostTime, Millis};

/// Time constant of the load by which pressure is told, in milliseconds.
const PRESSURE_TIME_MS: f32 = 500.0;
/// Interval at which the load of the upstreams is summed up. Between two load reports it changes little.
const OBSERVATION_INTERVAL: Millis = Millis(20);
/// Load of the upstreams, as a part of what they accept, above which a service is under pressure. With 0.9, bursts at 0.9 of
/// the capacity raised what callers lose from 0.011 to 0.014.
const PRESSURE_FROM: f32 = 0.96;
/// Load below which pressure ends.
const PRESSURE_UNTIL: f32 = 0.88;
/// Time that a request needs until its objective as a multiple of its expected wait. Others that arrive meanwhile may have
/// less time left and go first; without it 14 in 100 refusals came only after a wait.
const WAIT_FACTOR: u64 = 2;
/// Time constant of the parts of requests that are served, in milliseconds. With 63 hosts, one has a few requests of a
/// route in this time.
const SHARE_TIME_MS: f32 = 4_000.0;
/// Part of a route's requests below which it counts as starved.
const MIN_ROUTE_SHARE: f32 = 0.02;
/// Requests of a rank or route within [`SHARE_TIME_MS`] from which its part is known.
const MIN_SHARE_REQUESTS: f32 = 2.0;
/// Requests within [`SHARE_TIME_MS`] below which a route is forgotten.
const FORGOTTEN_REQUESTS: f32 = 0.01;
/// Part of the worth that a late answer keeps: 0.3 to 0.5 where it is known.
const LATE_WORTH: f32 = 0.45;
/// Part of the price that a request has to be worth. Not all answers by which the price is set come in time.
const PRICE_FACTOR: f32 = 0.8;
/// Part of the time that a refused caller has for its return that is used to spread returns.
const RETURN_PERCENT: u64 = 60;
/// Largest number of lists of allowed regions with a state of their own.
const MAX_SCOPES: usize = 16;
/// Shortest time until a refused caller returns.
const MIN_RETURN: Millis = Millis(20);
/// Divisor of the caller's remaining time that gives the longest delay.
const MAX_DELAY_DIVISOR: u64 = 3;

/// Returns the worth that is assumed of an answer by its rank. Callers don't tell it; in known deployments it is about 3,
/// 2 and 1.
const fn worth(rank: u8) -> f32 {
    match rank {
        0 => 3.0,
        1 => 2.0,
        2 => 1.0,
        _ => 0.5,
    }
}

/// Load of a service's upstreams as the host knows it from its own requests and from load reports.
#[derive(Debug, Default)]
struct Pressure {
    load: f32,
    observed_at: Option<HostTime>,
    is_high: bool,
}

impl Pressure {
    fn observe(&mut self, load: f32, now: HostTime) {
        let since = self.observed_at.map_or(Millis(0), |at| now.since(at));
        self.observed_at = Some(now);
        let weight =
            1.0 - (-as_f32(u32::try_from(since.0).unwrap_or(u32::MAX)) / PRESSURE_TIME_MS).exp();
        self.load += (load - self.load) * weight;
        self.is_high = self.load >= if self.is_high { PRESSURE_UNTIL } else { PRESSURE_FROM };
    }
}

/// Requests of a route that came and were sent lately.
#[derive(Debug, Clone, Default)]
struct Share {
    rank: u8,
    regions: AllowedRegions,
    asked: f32,
    served: f32,
    at: HostTime,
}

impl Share {
    fn decay(&mut self, now: HostTime) {
        let elapsed_ms = as_f32(u32::try_from(now.since(self.at).0).unwrap_or(u32::MAX));
        let factor = (-elapsed_ms / SHARE_TIME_MS).exp();
        self.asked *= factor;
        self.served *= factor;
        self.at = now;
    }

    /// Returns the requests that came per millisecond.
    fn rate(&self, now: HostTime) -> f32 {
        let elapsed_ms = as_f32(u32::try_from(now.since(self.at).0).unwrap_or(u32::MAX));
        self.asked * (-elapsed_ms / SHARE_TIME_MS).exp() / SHARE_TIME_MS
    }

    /// Returns the part that was served, if there were enough requests.
    fn part(&self) -> Option<f32> {
        (self.asked >= MIN_SHARE_REQUESTS).then(|| (self.served / self.asked).min(1.0))
    }
}

/// Order of waiting requests: rank, starved routes first, what the request loses per work in steps, and the latest start.
pub type Order = (u8, bool, u32, HostTime);

/// Returns the index of the first demand with which the sum exceeds `limit`.
fn first_beyond(limit: f32, mut demands: impl Iterator<Item = f32>) -> Option<usize> {
    let mut sum = 0.0;
    demands.position(|demand| {
        sum += demand;
        sum > limit
    })
}

/// State of the capacity that requests with the same allowed regions use.
#[derive(Debug)]
struct Scope {
    regions: AllowedRegions,
    pressure: Pressure,
    /// Worth that the capacity earns with the least worthy requests for which it suffices, by [`worth`] per
    /// millisecond in a slot.
    price: f32,
    /// Least urgent rank for which the capacity suffices.
    last_rank: u8,
}

/// Rule by which the requests of one service wait or are refused under pressure.
#[derive(Debug, Default)]
pub struct ValueRule {
    work: WorkEstimates,
    scopes: Vec<Scope>,
    by_route: FastMap<RouteKey, Share>,
    ages: CallerAges,
}

impl ValueRule {
    /// Returns whether the load of the upstreams is to be summed up again.
    pub fn needs_load(&self, regions: &AllowedRegions, now: HostTime) -> bool {
        let observed_at = self.scope(regions).and_then(|scope| scope.pressure.observed_at);
        observed_at.is_none_or(|at| now.since(at) >= OBSERVATION_INTERVAL)
    }

    fn scope(&self, regions: &AllowedRegions) -> Option<&Scope> {
        self.scopes.iter().find(|scope| scope.regions == *regions)
    }

    fn scope_mut(&mut self, regions: &AllowedRegions) -> &mut Scope {
        let known = self.scopes.iter().position(|scope| scope.regions == *regions);
        let index = known.unwrap_or_else(|| {
            if self.scopes.len() >= MAX_SCOPES {
                self.scopes.remove(0);
            }
            self.scopes.push(Scope {
                regions: regions.clone(),
                pressure: Pressure::default(),
                price: 0.0,
                last_rank: u8::MAX,
            });
            self.scopes.len() - 1
        });
        &mut self.scopes[index]
    }

    /// Records the requests of all hosts at the usable upstreams, and how many these accept.
    pub fn observe_load(
        &mut self,
        regions: &AllowedRegions,
        load: u64,
        capacity: u64,
        now: HostTime,
    ) {
        let bounded = |count: u64| as_f32(u32::try_from(count).unwrap_or(u32::MAX));
        let load = bounded(load) / bounded(capacity.max(1));
        self.scope_mut(regions).pressure.observe(load, now);
    }

    /// Computes the price of the capacity. `slots` is this host's share of the slots.
    pub fn update_price(
        &mut self,
        regions: &AllowedRegions,
        slots: f32,
        mean_ms: f32,
        now: HostTime,
    ) {
        self.by_route.retain(|_, share| share.rate(now) * SHARE_TIME_MS >= FORGOTTEN_REQUESTS);
        let mut demands: Vec<(f32, f32)> = self
            .by_route
            .iter()
            .filter(|(_, share)| share.regions == *regions)
            .map(|(route, share)| {
                let slot_ms = self.work.expected(*route, mean_ms, now).slot_ms;
                (worth(share.rank) / slot_ms, share.rate(now) * slot_ms)
            })
            .collect();
        demands.sort_by(|a, b| b.0.total_cmp(&a.0));
        let marginal = first_beyond(slots, demands.iter().map(|(_, demand)| *demand))
            .and_then(|index| demands.get(index));
        let mut by_rank: Vec<(u8, f32)> = self
            .by_route
            .iter()
            .filter(|(_, share)| share.regions == *regions)
            .map(|(route, share)| {
                let slot_ms = self.work.expected(*route, mean_ms, now).slot_ms;
                (share.rank, share.rate(now) * slot_ms)
            })
            .collect();
        by_rank.sort_by_key(|(rank, _)| *rank);
        let last = first_beyond(slots, by_rank.iter().map(|(_, demand)| *demand));
        let last_rank = last.map_or(u8::MAX, |index| by_rank[index].0);
        // Under pressure some requests are refused, so the least worthy ones set the price where the demand that this host
        // sees does not explain it.
        let price = marginal.or(demands.last()).map_or(0.0, |(density, _)| *density);
        let scope = self.scope_mut(regions);
        (scope.price, scope.last_rank) = (price, last_rank);
    }

    /// Records the remaining time that a caller names. Under pressure, returns how much of its time it has used, as far as
    /// can be told.
    pub fn observe_caller(&mut self, route: RouteKey, remaining: Millis) -> Millis {
        let used = self.ages.observe(route, remaining);
        let regions = self.by_route.get(&route).map(|share| &share.regions);
        let is_pressed = regions.is_some_and(|regions| self.is_pressed(regions));
        if is_pressed { used } else { Millis(0) }
    }

    /// Returns whether the rule applies to requests with these allowed regions.
    pub fn is_pressed(&self, regions: &AllowedRegions) -> bool {
        self.scope(regions).is_some_and(|scope| scope.pressure.is_high)
    }

    /// Returns whether the rule applies to any requests.
    pub fn is_in_force(&self) -> bool {
        self.scopes.iter().any(|scope| scope.pressure.is_high)
    }

    /// Records a request that came from a caller.
    pub fn on_arrival(&mut self, request: &RoutingRequest, now: HostTime) {
        let share = self.by_route.entry(request.route).or_default();
        share.decay(now);
        share.rank = request.rank;
        share.regions = request.regions.clone();
        share.asked += 1.0;
    }

    /// Records the first send of a request.
    pub fn on_send(&mut self, request: &RoutingRequest, now: HostTime) {
        let share = self.by_route.entry(request.route).or_default();
        share.decay(now);
        share.served += 1.0;
    }

    /// Records an answer. See [`WorkEstimates::record`].
    pub fn on_answer(
        &mut self,
        route: RouteKey,
        slot_ms: f32,
        answer_ms: f32,
        mean_ms: f32,
        now: HostTime,
    ) {
        self.work.record(route, slot_ms, answer_ms, mean_ms, now);
    }

    /// Returns what a request is expected to need.
    pub fn work(&self, request: &RoutingRequest, mean_ms: f32, now: HostTime) -> Work {
        self.work.expected(request.route, mean_ms, now)
    }

    /// Returns the latest time at which a request has to be sent to meet its objective.
    fn latest_start(&self, request: &RoutingRequest, mean_ms: f32, now: HostTime) -> HostTime {
        let work = self.work(request, mean_ms, now);
        let needed = work.answer_ms + work.deviation_ms;
        HostTime(request.objective.0.saturating_sub(to_millis(needed).0))
    }

    /// Returns the part of its worth that an answer is expected to have if its request is sent at `start`.
    fn expected_worth(&self, request: &RoutingRequest, start: HostTime, work: Work) -> f32 {
        let until_objective =
            as_f32(u32::try_from(request.objective.since(start).0).unwrap_or(u32::MAX));
        let deviations = (until_objective - work.answer_ms) / work.deviation_ms.max(1.0);
        let in_time = (0.5 + 0.5 * deviations).clamp(0.0, 1.0);
        in_time + (1.0 - in_time) * LATE_WORTH
    }

    /// Returns whether a less urgent route was served more often lately.
    fn is_behind(&self, route: RouteKey) -> bool {
        let Some(own) = self.by_route.get(&route) else { return false };
        let Some(own_part) = own.part() else { return false };
        let others = self.by_route.values().filter(|other| other.rank > own.rank);
        others.filter_map(Share::part).any(|part| part > own_part)
    }

    fn is_starved(&self, route: RouteKey) -> bool {
        let part = self.by_route.get(&route).and_then(Share::part);
        part.is_some_and(|part| part < MIN_ROUTE_SHARE)
    }

    /// Returns the order of a waiting request; the lowest is served first.
    pub fn order(&self, request: &RoutingRequest, mean_ms: f32, now: HostTime) -> Order {
        let latest_start = self.latest_start(request, mean_ms, now);
        let work = self.work(request, mean_ms, now);
        // Steps of a half keep the noise of the estimate from ordering requests of equal work.
        let kept = self.expected_worth(request, now, work);
        let step = (work.slot_ms / mean_ms.max(1.0) / kept).max(0.1).log(1.5).round();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small number"
        )]
        let step = (step + 10.0).max(0.0) as u32;
        (request.rank, !self.is_starved(request.route), step, latest_start)
    }

    /// Returns whether a request that waits for `wait` is expected to meet its objective.
    pub fn is_in_time(
        &self,
        request: &RoutingRequest,
        wait: Millis,
        mean_ms: f32,
        now: HostTime,
    ) -> bool {
        now + Millis(wait.0 * WAIT_FACTOR) <= self.latest_start(request, mean_ms, now)
    }

    /// Returns why a request is refused that is expected to wait for `wait`, or `None` if it may wait or be sent.
    pub fn refusal(
        &self,
        request: &RoutingRequest,
        wait: Millis,
        mean_ms: f32,
        now: HostTime,
    ) -> Option<RefusalReason> {
        let scope = self.scope(&request.regions)?;
        if request.rank > scope.last_rank && !self.is_starved(request.route) {
            return Some(RefusalReason::Rank);
        }
        let work = self.work(request, mean_ms, now);
        let kept = self.expected_worth(request, now + Millis(wait.0 * WAIT_FACTOR), work);
        if kept * worth(request.rank) / work.slot_ms >= scope.price * PRICE_FACTOR
            || self.is_behind(request.route)
            || self.is_starved(request.route)
        {
            return None;
        }
        Some(RefusalReason::Late)
    }

    /// Returns the delay after which a refused caller should return. Returns are spread over the time in which the
    /// objective can still be met, as an earlier place is not to be expected under pressure. Later, they are spread over a
    /// third of the caller's remaining time.
    pub fn retry_after(&self, request: &RoutingRequest, mean_ms: f32, now: HostTime) -> Millis {
        let longest = (request.deadline.since(now).0 / MAX_DELAY_DIVISOR).max(1);
        let slack = self.latest_start(request, mean_ms, now).since(now).0 * RETURN_PERCENT / 100;
        let spread = if slack > MIN_RETURN.0 { slack } else { longest };
        let jitter = u64::from(request.jitter_per_mille.min(999));
        Millis((MIN_RETURN.0 + spread * jitter / 1_000).min(longest))
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to a range that fits"
)]
fn to_millis(ms: f32) -> Millis {
    Millis(ms.clamp(0.0, 3_600_000.0) as u64)
}
