//! Routing state of one service on one host: upstreams, key owners and waiting requests.
//!
//! Requests wait while no upstream has capacity for them, under overload or while upstreams are slow, cold, failing or
//! leaving. They are served by rank, and within a rank those that can still meet their objective come first. A request
//! that can't be served in time is refused immediately with a retry delay, so that its caller does not wait in vain or
//! take a place in the queue.

mod evacuation;
mod limits;
mod pressure;
mod regions;
mod rest;
mod silent;

use crate::arrivals::ArrivalRates;
use crate::key_owners::{KeyMap, KeyOwners};
use crate::notices;
use crate::restricted_demand::RestrictedDemand;
use crate::retry_after;
use crate::routes::Idempotency;
use crate::routing::{RefusalReason, RoutingDecision, RoutingRequest};
use crate::silence::Silence;
use crate::upstream::{AttemptOutcome, Distance, Upstream, UpstreamInfo, as_f32};
use crate::value::ValueRule;
use regions::Selection;
use skylarkdock_units::collections::{FastMap, FastSet};
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};

/// Mean service time before the first measurement, in milliseconds.
const INITIAL_SERVICE_MS: f32 = 100.0;
/// Deviation before the first measurement, as a fraction of the service time.
const INITIAL_DEVIATION: f32 = 0.6;
/// Smallest deviation used for hedging, as a fraction of the service time.
const MIN_DEVIATION: f32 = 0.25;
/// Largest deviation of a single sample, as a fraction of the service time.
const MAX_DEVIATION: f32 = 3.0;
/// Weight of a new sample in the moving average of the deviation.
const DEVIATION_WEIGHT: f32 = 0.03;
/// The mean service time is recomputed after as many answers as the number of upstreams divided by this, so that the
/// cost per answer does not grow with the number of upstreams.
const MEAN_UPDATE_DIVISOR: usize = 8;
/// Number of deviations above the expected time after which a request is hedged; about 1 in 50 answers takes longer.
const HEDGE_DEVIATIONS: f32 = 4.5;
/// Longest expected wait of a request that can meet its objective, in percent of the time until the objective minus the
/// service time.
const WAIT_PERCENT: u64 = 50;
/// Longest expected wait of a request that can't meet its objective, in percent of the time until the deadline minus
/// the service time.
const PAST_OBJECTIVE_WAIT_PERCENT: u64 = 30;
/// Jitter on the expected time of an upstream per host of the region, as a fraction. Without it, many hosts with the
/// same load reports would all send to the same upstream until the next reports.
const JITTER_PER_HOST: f32 = 0.01;
/// Largest jitter on the expected time of an upstream, as a fraction.
const MAX_JITTER: f32 = 0.6;
/// Factor of the expected time of an upstream to which a connection is open, which has no jitter instead. Hundreds of hosts
/// that spread their requests over all upstreams of a service would open a connection for nearly each request, as none is
/// used again before it is closed. An upstream that is faster by more than this is still preferred.
const OPEN_CONNECTION_FACTOR: f32 = 0.7;
/// Factor of the expected time of an upstream in another availability zone, as traffic between zones is paid for. It delays
/// no caller by more than the difference between two free upstreams.
const OTHER_ZONE_FACTOR: f32 = 1.1;
/// Load from which the upstreams of a scope count as nearly full, in percent of their capacity.
const FULL_PERCENT: u64 = 80;
/// Requests that a host may have at nearly full upstreams, in percent of its equal share of their capacity. Otherwise
/// the requests that many hosts send between two load reports would overload them, and ranks would no longer decide.
const OWN_SHARE_PERCENT: u64 = 130;
/// Fraction of the capacity that is assumed to remain for a rank, however many requests of ranks served before it
/// arrive.
const MIN_CAPACITY_SHARE: f32 = 0.1;
/// Requests per millisecond that upstreams without room are assumed to take, which makes the expected wait long and finite.
const MIN_REQUESTS_PER_MS: f32 = 0.001;
/// Longest wait of a request whose key has no known or no usable owner, counted from its arrival. Half of the time from
/// the arrival to the objective bounds the wait too.
const MAX_HANDOVER_WAIT: Millis = Millis(600);
/// Expected time until an upstream, or the owner of a key, is usable again. Bounded further by the caller's remaining
/// time.
const NO_UPSTREAM_DELAY: Millis = Millis(700);
/// Largest number of requests in the queue of a service.
const MAX_WAITING: usize = 256;

/// Which upstreams [`Service::candidates`] considers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SearchScope {
    /// Upstreams in the host's region.
    Region,
    /// Upstreams in other regions.
    OtherRegions,
}

/// Best upstream for one request, and the load of all usable upstreams in the same scope.
#[derive(Debug, Default)]
struct Candidates {
    /// Upstream with the lowest expected time, and that time in milliseconds.
    best: Option<(UpstreamId, f32)>,
    /// Number of requests that the upstreams accept from all hosts.
    capacity: u64,
    /// Requests from all hosts.
    load: u64,
    /// Requests from this host.
    in_flight: u64,
}

impl Candidates {
    /// Returns the best upstream, unless the upstreams are nearly full and this host already uses its share. A share that is
    /// no whole number is rounded by `rounding_per_mille`.
    fn within_share(self, hosts: u32, rounding_per_mille: u32) -> Option<(UpstreamId, f32)> {
        let share_per_mille = self.capacity * OWN_SHARE_PERCENT * 10 / u64::from(hosts.max(1));
        let share = ((share_per_mille + u64::from(rounding_per_mille)) / 1_000).max(1);
        let is_full = self.load * 100 >= self.capacity * FULL_PERCENT;
        self.best.filter(|_| !is_full || self.in_flight < share)
    }
}

/// Upstreams, key owners and queue of one service on one host.
#[derive(Debug)]
pub struct Service {
    upstreams: FastMap<UpstreamId, Upstream>,
    /// Upstreams that are no longer listed and still have requests in flight.
    removed: FastSet<UpstreamId>,
    keys: Option<KeyOwners>,
    waiting: Vec<RoutingRequest>,
    arrivals: ArrivalRates,
    /// Requests that were sent to upstreams.
    sends: ArrivalRates,
    /// Requests that may be served only in some regions.
    restricted: RestrictedDemand,
    /// Number of hosts in this region.
    region_hosts: u32,
    /// Time from an upstream's first notice that it leaves to its end.
    drain_time: Millis,
    /// Number of hosts in all regions, which all send to the owners of keys.
    hosts: u32,
    /// Mean of the measured service times of the upstreams, in milliseconds.
    mean_service_ms: f32,
    silence: Silence,
    /// Answers since `mean_service_ms` was last computed.
    answers_since_mean: u32,
    /// Mean absolute deviation of a request's time from the service time of its upstream, as a fraction of the latter.
    deviation: f32,
    /// Rule for times of pressure, if it is enabled.
    value: Option<ValueRule>,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            upstreams: FastMap::default(),
            removed: FastSet::default(),
            keys: None,
            waiting: Vec::new(),
            arrivals: ArrivalRates::default(),
            sends: ArrivalRates::default(),
            restricted: RestrictedDemand::default(),
            region_hosts: 1,
            hosts: 1,
            drain_time: Millis(0),
            mean_service_ms: INITIAL_SERVICE_MS,
            silence: Silence::default(),
            answers_since_mean: 0,
            deviation: INITIAL_DEVIATION,
            value: None,
        }
    }
}

impl Service {
    /// Replaces the upstreams. Measurements of upstreams that stay are kept; a removed upstream with requests in flight
    /// stays as leaving.
    pub fn set_upstreams(&mut self, infos: Vec<UpstreamInfo>) {
        let listed_ids: FastSet<&UpstreamId> = infos.iter().map(|info| &info.id).collect();
        let known_ids = self.upstreams.keys();
        let missing: Vec<UpstreamId> =
            known_ids.filter(|id| !listed_ids.contains(id)).cloned().collect();
        for id in missing {
            self.remove_upstream(&id);
        }
        for info in infos {
            self.put_upstream(info);
        }
        self.silence.set_upstreams(self.upstreams.keys());
        self.update_mean_service_ms();
    }

    /// Adds an upstream, or replaces the registered properties of a known one and keeps its measurements.
    pub fn put_upstream(&mut self, info: UpstreamInfo) {
        self.removed.remove(&info.id);
        match self.upstreams.get_mut(&info.id) {
            Some(upstream) => upstream.set_info(info),
            None => {
                self.upstreams.insert(info.id.clone(), Upstream::new(info));
                self.silence.set_upstreams(self.upstreams.keys());
            }
        }
    }

    /// Removes an upstream. One with requests in flight stays as leaving until they have ended.
    pub fn remove_upstream(&mut self, id: &UpstreamId) {
        let Some(upstream) = self.upstreams.get_mut(id) else { return };
        if upstream.in_flight() > 0 {
            let info = UpstreamInfo { is_leaving: true, ..upstream.info().clone() };
            upstream.set_info(info);
            self.removed.insert(id.clone());
        } else {
            self.upstreams.remove(id);
            self.removed.remove(id);
            self.silence.set_upstreams(self.upstreams.keys());
        }
    }

    /// Sets the owners of the keys; `None` for a service without sharding.
    pub fn set_keys(&mut self, map: Option<KeyMap>) {
        match (&mut self.keys, map) {
            (Some(keys), Some(map)) => keys.replace(map),
            (keys, map) => *keys = map.map(KeyOwners::new),
        }
    }

    /// Records that an upstream answered that it does not hold a key.
    pub fn on_misdirected(&mut self, key: u16, id: &UpstreamId, now: HostTime) {
        if let Some(keys) = &mut self.keys {
            keys.on_misdirected(key, id, now);
        }
    }

    /// Returns the owner of a key if it may get requests for the key, at the latest after a rest.
    fn available_owner(&self, key: u16, now: HostTime) -> Option<&Upstream> {
        let id = self.keys.as_ref()?.available_owner(key, now)?;
        let leaving_time = notices::sending_time(self.drain_time);
        let owner = self.upstreams.get(id)?;
        (owner.is_usable(now) && !owner.has_left(leaving_time, now)).then_some(owner)
    }

    /// Sets the number of hosts in all regions and in this region, including this host.
    pub fn set_host_counts(&mut self, hosts: u32, region_hosts: u32) {
        self.hosts = hosts;
        self.region_hosts = region_hosts;
    }

    /// Returns the upstream with this id, also if it is leaving.
    pub fn upstream(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// Returns the upstream with this id for changes, also if it is leaving.
    pub fn upstream_mut(&mut self, id: &UpstreamId) -> Option<&mut Upstream> {
        self.upstreams.get_mut(id)
    }

    /// Iterates mutably over all upstreams, including leaving ones.
    pub fn upstreams_mut(&mut self) -> impl Iterator<Item = &mut Upstream> {
        self.upstreams.values_mut()
    }

    /// Iterates over all upstreams, including leaving ones.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the mean of the measured service times of the upstreams, in milliseconds.
    pub const fn mean_service_ms(&self) -> f32 {
        self.mean_service_ms
    }

    /// Returns the expected time to the answer of a request that is sent to an upstream at `now`; without an id, to one
    /// that is not chosen yet.
    pub fn expected_time(&self, id: Option<&UpstreamId>, now: HostTime) -> Millis {
        let mean_ms = self.mean_service_ms;
        let upstream = id.and_then(|id| self.upstreams.get(id));
        let expected = |upstream: &Upstream| upstream.expected_ms(mean_ms, upstream.load(now), now);
        to_millis(upstream.map_or(mean_ms, expected))
    }

    /// Recomputes the mean service time from the upstreams that have measurements.
    fn update_mean_service_ms(&mut self) {
        let measured = self.upstreams.values().filter_map(Upstream::service_ms);
        let (sum, count) = measured.fold((0.0, 0_u32), |(sum, count), ms| (sum + ms, count + 1));
        self.mean_service_ms = if count == 0 { INITIAL_SERVICE_MS } else { sum / as_f32(count) };
    }

    /// Decides on a request that has arrived or whose last attempt failed. Queues it if the decision is to wait.
    pub fn decide(&mut self, request: RoutingRequest, now: HostTime) -> RoutingDecision {
        if let Some(refusal) = self.refuse_not_allowed(&request, now) {
            return refusal;
        }
        if request.tried.is_empty() {
            self.arrivals.record(request.rank, now);
            self.restricted.record_arrival(&request.regions, request.rank, now);
        }
        let mean_ms = self.mean_service_ms();
        self.observe_arrival(&request, now);
        if let Some(refusal) = self.refuse_by_value(&request, Millis(0), now) {
            return refusal;
        }
        let chosen = self.choose_upstream(&request, mean_ms, now);
        self.record_demand(&request, chosen.as_ref(), now);
        if let Some(id) = chosen {
            self.commit(&request.regions, &id, now);
            self.observe_send(&request, now);
            return RoutingDecision::Send(id);
        }
        let decision = self.admit(&request, mean_ms, now);
        if decision == RoutingDecision::Wait {
            self.waiting.push(request);
        }
        decision
    }

    /// Returns the time at which a request sent to an upstream at `now` should be hedged if it is not yet answered.
    pub fn hedge_at(&self, id: &UpstreamId, now: HostTime) -> Option<HostTime> {
        let upstream = self.upstreams.get(id)?;
        let expected = upstream.expected_ms(self.mean_service_ms(), upstream.load(now), now);
        Some(
            now + to_millis(
                expected * (1.0 + self.deviation.max(MIN_DEVIATION) * HEDGE_DEVIATIONS),
            ),
        )
    }

    /// Returns the upstream for a hedged attempt: the one that `choose_upstream` returns, if it has a free slot and is
    /// not in another region. No other upstream is considered.
    pub fn choose_hedge(&mut self, request: &RoutingRequest, now: HostTime) -> Option<UpstreamId> {
        let id = self.choose_upstream(request, self.mean_service_ms(), now)?;
        let upstream = self.upstreams.get(&id)?;
        let is_free = upstream.placement_load(now) < upstream.info().slots;
        if !is_free || upstream.info().distance == Distance::Far {
            return None;
        }
        self.commit(&request.regions, &id, now);
        Some(id)
    }

    /// Decides on the waiting requests. Returns those that are sent or refused now, and removes them from the queue.
    /// [`Self::on_start`] must be called for those to send before the next call, as it adds them to the load.
    pub fn decide_waiting(&mut self, now: HostTime) -> Vec<(RoutingRequest, RoutingDecision)> {
        let mut decided = Vec::new();
        let mean_ms = self.mean_service_ms();
        self.sort_waiting(now);
        let mut index = 0;
        let mut sent: FastMap<UpstreamId, u32> = FastMap::default();
        while index < self.waiting.len() {
            let request = &self.waiting[index];
            let latest_start = request.deadline.0.saturating_sub(to_millis(mean_ms).0 / 2);
            let decision = if now.0 >= latest_start || self.is_too_late_once(request, now) {
                Some(self.refusal(request, RefusalReason::Expired, Millis(0), now))
            } else if let Some(refusal) = self.refuse_by_value(request, Millis(0), now) {
                Some(refusal)
            } else {
                match self.choose_upstream(request, mean_ms, now) {
                    // At most one request per upstream and call, as the load only rises when `on_start` is called for
                    // it.
                    Some(id) if !sent.contains_key(&id) => {
                        sent.insert(id.clone(), 1);
                        let regions = request.regions.clone();
                        self.commit(&regions, &id, now);
                        Some(RoutingDecision::Send(id))
                    }
                    Some(_) => None,
                    None => self
                        .refuse_not_allowed(request, now)
                        .or_else(|| self.refuse_evacuated(request, now))
                        .or_else(|| self.refuse_unowned(request, now))
                        .or_else(|| self.refuse_resting(request, now))
                        .or_else(|| self.refuse_limited(request, now)),
                }
            };
            match decision {
                Some(decision) => {
                    let request = self.waiting.remove(index);
                    if matches!(decision, RoutingDecision::Send(_)) {
                        self.observe_send(&request, now);
                    }
                    decided.push((request, decision));
                }
                None => index += 1,
            }
        }
        decided
    }

    /// Removes the request with this ticket from the queue, if it is waiting.
    pub fn cancel(&mut self, ticket: u64) {
        self.waiting.retain(|request| request.ticket != ticket);
    }

    /// Records the start of an attempt at an upstream.
    pub fn on_start(&mut self, id: &UpstreamId, now: HostTime) {
        self.sends.record(0, now);
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.on_start(now);
        }
    }

    /// Records the end of an attempt that started at `started`, and updates the measurements.
    pub fn on_end(
        &mut self,
        id: &UpstreamId,
        started: HostTime,
        outcome: AttemptOutcome,
        now: HostTime,
    ) {
        self.record_end(id, started, outcome, now);
    }

    /// Like [`Self::on_end`]. If the attempt was answered, returns its time as a multiple of the measured service time of
    /// the upstream.
    fn record_end(
        &mut self,
        id: &UpstreamId,
        started: HostTime,
        outcome: AttemptOutcome,
        now: HostTime,
    ) -> Option<f32> {
        let upstream = self.upstreams.get_mut(id)?;
        let ratio = upstream.on_end(started, outcome, now);
        self.silence.on_end(id, outcome, now);
        if upstream.in_flight() == 0 && self.removed.remove(id) {
            self.upstreams.remove(id);
        }
        if let Some(ratio) = ratio {
            self.deviation +=
                ((ratio - 1.0).abs().min(MAX_DEVIATION) - self.deviation) * DEVIATION_WEIGHT;
            self.answers_since_mean += 1;
            if self.answers_since_mean as usize * MEAN_UPDATE_DIVISOR >= self.upstreams.len() {
                self.answers_since_mean = 0;
                self.update_mean_service_ms();
            }
        }
        ratio
    }

    /// Returns the upstream for a request, or `None` if no upstream has capacity for it. In a sharded service, that is
    /// the owner of the key.
    fn choose_upstream(
        &self,
        request: &RoutingRequest,
        mean_ms: f32,
        now: HostTime,
    ) -> Option<UpstreamId> {
        if self.keys.is_none() {
            return self.choose_unsharded(request, mean_ms, now);
        }
        let owner = self.available_owner(request.key?, now)?;
        // A queue that the owner reports is no reason to wait here, as no other upstream can run the request.
        let is_free = request.may_use(owner)
            && owner.rest_until(now).is_none()
            && owner.has_capacity(self.hosts, owner.load(now), now);
        is_free.then(|| owner.info().id.clone())
    }

    /// Evaluates the usable upstreams in `scope` that are selected.
    fn candidates(
        &self,
        request: &RoutingRequest,
        mean_ms: f32,
        now: HostTime,
        scope: SearchScope,
        selection: &Selection,
    ) -> Candidates {
        let leaving_time = self.leaving_time(request, now);
        let jitter = (as_f32(selection.hosts) * JITTER_PER_HOST).min(MAX_JITTER);
        let is_once = request.idempotency == Idempotency::Once;
        let mut candidates = Candidates::default();
        let mut best: Option<(&Upstream, f32)> = None;
        let mut best_placed: Option<(&Upstream, f32)> = None;
        for upstream in self.upstreams.values() {
            let info = upstream.info();
            let is_other_region = info.distance == Distance::Far;
            if is_other_region != (scope == SearchScope::OtherRegions)
                || !selection.contains(request, upstream)
                || !upstream.accepts(now)
                || upstream.has_left(leaving_time, now)
            {
                continue;
            }
            let load = upstream.placement_load(now);
            candidates.capacity += u64::from(upstream.capacity());
            candidates.load += u64::from(load);
            candidates.in_flight += u64::from(upstream.in_flight());
            if !upstream.has_capacity(selection.hosts, selection.counted_load(upstream, load), now)
                || request.tried.contains(&info.id)
            {
                continue;
            }
            let mut expected = upstream.expected_ms(mean_ms, load, now);
            if self.is_too_slow_for_once(request, expected, now) {
                continue;
            }
            expected *= upstream.reported().slowness_penalty(now);
            if upstream.is_failing() {
                expected *= 3.0;
            }
            if info.distance == Distance::Region {
                expected *= OTHER_ZONE_FACTOR;
            }
            expected *= if upstream.can_reuse_connection(is_once, load, now) {
                OPEN_CONNECTION_FACTOR
            } else {
                let ticket = request.ticket ^ u64::from(request.jitter_per_mille) << 32;
                1.0 + jitter * upstream.request_jitter(ticket)
            };
            if best.is_none_or(|(_, lowest)| expected < lowest) {
                best = Some((upstream, expected));
            }
            if best_placed.is_none_or(|(_, lowest)| expected < lowest)
                && self.has_place(upstream, now)
            {
                best_placed = Some((upstream, expected));
            }
        }
        if best_placed.is_some() || !self.is_quiet(&candidates) {
            best = best_placed;
        }
        candidates.best = best.map(|(upstream, expected)| (upstream.info().id.clone(), expected));
        candidates
    }

    /// Decides whether a request waits or is refused when no upstream has capacity.
    fn admit(&self, request: &RoutingRequest, mean_ms: f32, now: HostTime) -> RoutingDecision {
        if let Some(refusal) = self.refuse_evacuated(request, now) {
            return refusal;
        }
        let rest = self.remaining_rest(request, now);
        if self.waiting.len() >= MAX_WAITING {
            return match rest {
                Some(rest) => self.refusal(request, RefusalReason::Resting, rest, now),
                None => self.refusal(request, RefusalReason::Overload, to_millis(mean_ms), now),
            };
        }
        let service_time = to_millis(mean_ms);
        if let Some(keys) = &self.keys {
            let Some(owner) = request.key.and_then(|key| self.available_owner(key, now)) else {
                return self.admit_unowned(request, now);
            };
            let ahead = self.count_ahead(request, now, |other| {
                other.key.and_then(|key| keys.owner(key)) == Some(&owner.info().id)
            });
            let service_ms = owner.service_ms().unwrap_or(mean_ms);
            let slots = as_f32(owner.info().slots.max(1));
            // Requests of other hosts compete for the owner's slots.
            let peer_requests = as_f32(owner.load(now).saturating_sub(owner.in_flight())) + 1.0;
            let own_share = (as_f32(owner.in_flight() + 1)
                / (as_f32(owner.in_flight()) + peer_requests))
                .max(0.1);
            let wait = to_millis(service_ms * as_f32(ahead + 1) / (slots * own_share));
            if let Some(rest) = rest {
                return self.admit_resting(request, rest, wait, to_millis(service_ms), now);
            }
            let permits = owner.permits();
            if let Some(rate) = permits.permit_rate().filter(|_| !permits.is_available(now)) {
                let interval = to_millis(as_f32(ahead) * 1_000.0 / rate.0.max(0.001));
                let wait = Millis(permits.expected_wait(request.rank, now).0 + interval.0);
                let service_time = to_millis(service_ms);
                return self.admit_if_wait_fits(
                    request,
                    RefusalReason::Limited,
                    wait,
                    service_time,
                    now,
                );
            }
            return self.admit_if_wait_fits(
                request,
                RefusalReason::Overload,
                wait,
                to_millis(service_ms),
                now,
            );
        }
        let leaving_time = self.leaving_time(request, now);
        let is_open = |upstream: &Upstream| {
            let is_open = upstream.accepts(now) || (rest.is_some() && upstream.is_usable(now));
            is_open && !upstream.has_left(leaving_time, now)
        };
        let share = self.own_share(request, is_open, mean_ms, now);
        let is_left =
            |upstream: &Upstream| upstream.is_usable(now) && !upstream.has_left(leaving_time, now);
        if share.total_per_ms <= 0.0 && !self.upstreams.values().any(is_left) {
            return self.refusal(request, RefusalReason::NoUpstream, NO_UPSTREAM_DELAY, now);
        }
        let ahead = self.count_ahead(request, now, |other| other.regions == request.regions);
        let others = self.count_ahead(request, now, |other| other.regions != request.regions);
        // Hosts with more callers than others get more of the capacity, as each takes what is free.
        let share_per_ms = share
            .equal_per_ms
            .max(MIN_REQUESTS_PER_MS / as_f32(self.region_hosts.max(1)))
            .max(share.sent_per_ms.min(share.total_per_ms));
        // Requests of ranks with smaller numbers that arrive in the meantime are served first.
        let available_per_ms =
            (share_per_ms - share.urgent_per_ms).max(share_per_ms * MIN_CAPACITY_SHARE);
        let ahead = as_f32(ahead + 1) + as_f32(others) * share.competing;
        let wait = to_millis(ahead / available_per_ms);
        if let Some(rest) = rest {
            return self.admit_resting(request, rest, wait, service_time, now);
        }
        self.admit_if_wait_fits(request, RefusalReason::Overload, wait, service_time, now)
    }

    /// Lets a request wait if the expected wait is short enough, and refuses it otherwise.
    fn admit_if_wait_fits(
        &self,
        request: &RoutingRequest,
        reason: RefusalReason,
        wait: Millis,
        service_time: Millis,
        now: HostTime,
    ) -> RoutingDecision {
        if let Some(decision) = self.admit_by_value(request, wait, now) {
            return decision;
        }
        let until_objective = request.objective.0.saturating_sub(now.0 + service_time.0);
        let until_deadline = request.deadline.0.saturating_sub(now.0 + service_time.0);
        let allowed_ms = if until_objective > 0 {
            until_objective * WAIT_PERCENT / 100
        } else {
            until_deadline * PAST_OBJECTIVE_WAIT_PERCENT / 100
        };
        if wait.0 <= allowed_ms {
            return RoutingDecision::Wait;
        }
        self.refusal(request, reason, wait, now)
    }

    /// Decides whether a request waits or is refused when its key has no usable owner.
    fn admit_unowned(&self, request: &RoutingRequest, now: HostTime) -> RoutingDecision {
        let waited = now.since(request.arrived);
        let objective = request.objective.since(request.arrived);
        if waited < MAX_HANDOVER_WAIT.min(Millis(objective.0 / 2)) {
            return RoutingDecision::Wait;
        }
        self.refusal(request, RefusalReason::KeyUnowned, NO_UPSTREAM_DELAY, now)
    }

    /// Refuses a waiting request whose key has had no usable owner for too long.
    fn refuse_unowned(&self, request: &RoutingRequest, now: HostTime) -> Option<RoutingDecision> {
        self.keys.as_ref()?;
        if request.key.is_some_and(|key| self.available_owner(key, now).is_some()) {
            return None;
        }
        match self.admit_unowned(request, now) {
            RoutingDecision::Wait => None,
            refusal => Some(refusal),
        }
    }

    /// Counts the waiting requests that are served before `request` and satisfy `is_counted`.
    fn count_ahead(
        &self,
        request: &RoutingRequest,
        now: HostTime,
        is_counted: impl Fn(&RoutingRequest) -> bool,
    ) -> u32 {
        let own_order = self.order(request, now);
        let ahead = self
            .waiting
            .iter()
            .filter(|other| self.order(other, now) <= own_order && is_counted(other));
        u32::try_from(ahead.count()).unwrap_or(u32::MAX)
    }

    fn refusal(
        &self,
        request: &RoutingRequest,
        reason: RefusalReason,
        expected: Millis,
        now: HostTime,
    ) -> RoutingDecision {
        let jitter_per_mille = request.jitter_per_mille;
        let retry_after = if reason == RefusalReason::Resting {
            retry_after::after_rest(expected, jitter_per_mille)
        } else if let Some(delay) = self.return_under_pressure(request, reason, now) {
            delay
        } else {
            retry_after::delay(expected, request.deadline.since(now), jitter_per_mille)
        };
        RoutingDecision::Refuse { reason, retry_after }
    }
}

/// Returns the sort key of the queue: first the rank, then whether the objective can no longer be met, then the
/// objective. A late answer has lost most of its value, so requests that can still meet the objective come first.
fn queue_order(
    request: &RoutingRequest,
    service_time: Millis,
    now: HostTime,
) -> (u8, bool, HostTime) {
    (request.rank, now + service_time > request.objective, request.objective)
}

fn millis_u32(later: HostTime, now: HostTime) -> u32 {
    u32::try_from(later.since(now).0).unwrap_or(u32::MAX)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to a range that fits"
)]
fn to_millis(ms: f32) -> Millis {
    Millis(ms.clamp(0.0, 3_600_000.0) as u64)
}
