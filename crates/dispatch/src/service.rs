//! One service on one host: its upstreams, who owns which key, and the requests that wait.
//!
//! Load pattern: more requests than slots, for seconds, while some upstreams are slow, cold, failing or leaving. What
//! can be answered within its objective goes first, by rank; what can't be served in time is refused at once
//! with the time at which to come back, so that its caller neither holds a place nor waits for nothing.

use crate::arrivals::ArrivalRates;
use crate::key_owners::{KeyMap, KeyOwners};
use crate::retry_after;
use crate::routing::{RefusalReason, RoutingDecision, RoutingRequest};
use crate::upstream::{Distance, Ended, Listing, Upstream, as_f32};
use skylarkdock_units::collections::{FastMap, FastSet};
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};

/// Time assumed for a request before any was measured, in milliseconds.
const ASSUMED_SERVICE_MS: f32 = 100.0;
/// Deviation assumed before any request was measured, the least one, and the largest that one request counts with.
const ASSUMED_DEVIATION: f32 = 0.6;
const MIN_DEVIATION: f32 = 0.25;
const MAX_DEVIATION: f32 = 3.0;
/// Weight of a new sample of the deviation.
const DEVIATION_WEIGHT: f32 = 0.03;
/// Answers after which the typical time is learnt anew: as many as this part of the upstreams, so that the work for each
/// answer does not grow with them.
const TYPICAL_PARTS: usize = 8;
/// Deviations above the expected time from which an answer counts as late: about 1 in 50 comes later.
const LATE_DEVIATIONS: f32 = 4.5;
/// Part of the time left until the objective that a request may spend waiting, in percent.
const WAIT_PERCENT: u64 = 50;
/// Part of the time left until its limit that a request past its objective may spend waiting, in percent.
const LATE_WAIT_PERCENT: u64 = 30;
/// Part of its objective by which a request in its region must be expected before another region is used, in percent.
const FAR_FROM_PERCENT: u64 = 80;
/// Part of an upstream's expected time by which hosts differ in their view of it, for each host that shares it, and at
/// most. Many hosts that go by the same reports would otherwise all send to the same one until the next reports.
const BLUR_PER_HOST: f32 = 0.01;
const MAX_BLUR: f32 = 0.6;
/// Requests at the upstreams from which they count as about full, in percent of those that they take.
const FULL_PERCENT: u32 = 80;
/// Requests that a host may then have at them, in percent of its equal share. What many hosts send between two reports
/// would otherwise overrun them, and who is served would no longer go by rank.
const SHARE_PERCENT: u32 = 130;
/// Part of the room that is assumed to be left by higher ranks at least.
const LEAST_SHARE: f32 = 0.1;
/// Longest wait for a key whose owner is being changed.
const MOVE_WAIT: Millis = Millis(600);
/// Pause told when no upstream can be reached; the caller's own time bounds it further.
const OUTAGE_PAUSE: Millis = Millis(700);
/// Most requests that wait for one service.
const MAX_WAITING: usize = 256;

/// Which upstreams are looked at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reach {
    /// Those of the host's region.
    Region,
    /// Those of other regions.
    Beyond,
}

/// What upstreams look like for one request.
#[derive(Debug, Default)]
struct Survey {
    /// The one with the shortest expected time, with that.
    best: Option<(UpstreamId, f32)>,
    /// Requests that all take, that all hosts have there, and that this host has.
    room: u32,
    load: u32,
    own: u32,
}

impl Survey {
    /// Returns the best one, unless all are about full and this host has its share of what is sent there.
    fn allowed(self, sharers: u32) -> Option<(UpstreamId, f32)> {
        let share = (self.room * SHARE_PERCENT / 100 / sharers.max(1)).max(1);
        let is_full = self.load * 100 >= self.room * FULL_PERCENT;
        self.best.filter(|_| !is_full || self.own < share)
    }
}

/// A service as one host sees it.
#[derive(Debug)]
pub struct Service {
    upstreams: FastMap<UpstreamId, Upstream>,
    keys: Option<KeyOwners>,
    waiting: Vec<RoutingRequest>,
    arrivals: ArrivalRates,
    /// Hosts that send to the service from this region.
    sharers: u32,
    /// Hosts that send to the owners of its keys.
    hosts: u32,
    /// Mean of the learnt times of the upstreams, in milliseconds.
    typical_ms: f32,
    /// Answers since that was learnt.
    untaught: u32,
    /// Mean distance of a request's time from the learnt time of its upstream, as a part of that.
    deviation: f32,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            upstreams: FastMap::default(),
            keys: None,
            waiting: Vec::new(),
            arrivals: ArrivalRates::default(),
            sharers: 1,
            hosts: 1,
            typical_ms: ASSUMED_SERVICE_MS,
            untaught: 0,
            deviation: ASSUMED_DEVIATION,
        }
    }
}

impl Service {
    /// Replaces the upstreams; what was learnt of those that stay is kept.
    pub fn set_upstreams(&mut self, listings: Vec<Listing>) {
        let there: FastSet<UpstreamId> =
            listings.iter().map(|listing| listing.id.clone()).collect();
        self.upstreams.retain(|id, upstream| upstream.in_flight() > 0 || there.contains(id));
        for (id, upstream) in &mut self.upstreams {
            if !there.contains(id) {
                let listing = Listing { is_leaving: true, ..upstream.listing().clone() };
                upstream.set_listing(listing);
            }
        }
        for listing in listings {
            match self.upstreams.get_mut(&listing.id) {
                Some(upstream) => upstream.set_listing(listing),
                None => {
                    self.upstreams.insert(listing.id.clone(), Upstream::new(listing));
                }
            }
        }
        self.learn_typical();
    }

    /// Sets the owners of the keys, `None` for a service that is not divided.
    pub fn set_keys(&mut self, map: Option<KeyMap>) {
        match (&mut self.keys, map) {
            (Some(keys), Some(map)) => keys.replace(map),
            (keys, map) => *keys = map.map(KeyOwners::new),
        }
    }

    /// Notes that the owner of a key said that it does not hold it.
    pub fn on_misdirected(&mut self, key: u16, id: &UpstreamId, now: HostTime) {
        if let Some(keys) = &mut self.keys {
            keys.on_misdirected(key, id, now);
        }
    }

    /// Returns the owner of a key that it may be sent to now.
    fn available_owner(&self, key: u16, now: HostTime) -> Option<&Upstream> {
        let id = self.keys.as_ref()?.available_owner(key, now)?;
        self.upstreams.get(id).filter(|owner| owner.is_usable(now))
    }

    /// Sets how many hosts there are, and how many of them in this region.
    pub fn set_sharers(&mut self, hosts: u32, near: u32) {
        self.hosts = hosts;
        self.sharers = near;
    }

    /// Returns an upstream.
    pub fn upstream(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.upstreams.get(id)
    }

    /// Returns an upstream for changes.
    pub fn upstream_mut(&mut self, id: &UpstreamId) -> Option<&mut Upstream> {
        self.upstreams.get_mut(id)
    }

    /// Returns all upstreams for changes.
    pub fn upstreams_mut(&mut self) -> impl Iterator<Item = &mut Upstream> {
        self.upstreams.values_mut()
    }

    /// Returns all upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the time that a request typically takes, in milliseconds.
    pub const fn typical_ms(&self) -> f32 {
        self.typical_ms
    }

    /// Learns the time that a request typically takes anew.
    fn learn_typical(&mut self) {
        let learnt = self.upstreams.values().filter_map(Upstream::service_ms);
        let (sum, count) = learnt.fold((0.0, 0_u32), |(sum, count), ms| (sum + ms, count + 1));
        self.typical_ms = if count == 0 { ASSUMED_SERVICE_MS } else { sum / as_f32(count) };
    }

    /// Decides about a request that has just arrived, or comes again after an attempt.
    pub fn offer(&mut self, request: RoutingRequest, now: HostTime) -> RoutingDecision {
        if request.tried.is_empty() {
            self.arrivals.record(request.rank, now);
        }
        let typical = self.typical_ms();
        if let Some(id) = self.choose(&request, typical, now) {
            return RoutingDecision::Send(id);
        }
        let decision = self.admit(&request, typical, now);
        if decision == RoutingDecision::Wait {
            self.waiting.push(request);
        }
        decision
    }

    /// Returns when a request that has just gone to an upstream is late enough to be sent a second time.
    pub fn late_at(&self, id: &UpstreamId, now: HostTime) -> Option<HostTime> {
        let upstream = self.upstreams.get(id)?;
        let expected = upstream.expected_ms(self.typical_ms(), upstream.load(now), now);
        Some(
            now + to_millis(expected * (1.0 + self.deviation.max(MIN_DEVIATION) * LATE_DEVIATIONS)),
        )
    }

    /// Returns an upstream with a free slot for the second attempt of a late request.
    pub fn second(&self, request: &RoutingRequest, now: HostTime) -> Option<UpstreamId> {
        let id = self.choose(request, self.typical_ms(), now)?;
        let upstream = self.upstreams.get(&id)?;
        let is_free = upstream.load(now) < upstream.listing().slots;
        (is_free && upstream.listing().distance != Distance::Far).then_some(id)
    }

    /// Decides about those that wait: returns each that is sent or refused now.
    pub fn next(&mut self, now: HostTime) -> Vec<(RoutingRequest, RoutingDecision)> {
        let mut decided = Vec::new();
        let typical = self.typical_ms();
        let service = to_millis(typical);
        self.waiting.sort_by_key(|request| place(request, service, now));
        let mut index = 0;
        let mut sent: FastMap<UpstreamId, u32> = FastMap::default();
        while index < self.waiting.len() {
            let request = &self.waiting[index];
            let latest = request.deadline.0.saturating_sub(to_millis(typical).0 / 2);
            let decision = if now.0 >= latest {
                Some(self.refusal(request, RefusalReason::Expired, Millis(0), now))
            } else {
                match self.choose(request, typical, now) {
                    // One request for each upstream and round: the caller notes it before the next round.
                    Some(id) if !sent.contains_key(&id) => {
                        sent.insert(id.clone(), 1);
                        Some(RoutingDecision::Send(id))
                    }
                    Some(_) => None,
                    None => self.overdue(request, now),
                }
            };
            match decision {
                Some(decision) => decided.push((self.waiting.remove(index), decision)),
                None => index += 1,
            }
        }
        decided
    }

    /// Forgets a request that waits.
    pub fn cancel(&mut self, ticket: u64) {
        self.waiting.retain(|request| request.ticket != ticket);
    }

    /// Notes that a request was sent.
    pub fn on_start(&mut self, id: &UpstreamId, now: HostTime) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.on_start(now);
        }
    }

    /// Notes how a request ended.
    pub fn on_end(&mut self, id: &UpstreamId, started: HostTime, ended: Ended, now: HostTime) {
        let upstream = self.upstreams.get_mut(id);
        if let Some(ratio) = upstream.and_then(|upstream| upstream.on_end(started, ended, now)) {
            self.deviation +=
                ((ratio - 1.0).abs().min(MAX_DEVIATION) - self.deviation) * DEVIATION_WEIGHT;
            self.untaught += 1;
            if self.untaught as usize * TYPICAL_PARTS >= self.upstreams.len() {
                self.untaught = 0;
                self.learn_typical();
            }
        }
    }

    /// Returns the upstream that a request goes to now, if one has room.
    fn choose(&self, request: &RoutingRequest, typical: f32, now: HostTime) -> Option<UpstreamId> {
        if self.keys.is_some() {
            let owner = self.available_owner(request.key?, now)?;
            let is_free = owner.has_room(self.hosts, owner.load(now), now);
            return is_free.then(|| owner.listing().id.clone());
        }
        let near = self.survey(request, typical, now, Reach::Region).allowed(self.sharers);
        let until_objective = as_f32(millis_u32(request.objective, now));
        let near_is_late = near.as_ref().is_none_or(|(_, expected)| {
            expected * 100.0 > until_objective * as_f32(FAR_FROM_PERCENT as u32)
        });
        if !near_is_late {
            return near.map(|(id, _)| id);
        }
        let far = self.survey(request, typical, now, Reach::Beyond).best;
        match (near, far) {
            (Some((near, near_ms)), Some((_, far_ms))) if near_ms <= far_ms * 1.3 => Some(near),
            (_, Some((far, _))) => Some(far),
            (Some((near, _)), None) => Some(near),
            (None, None) => None,
        }
    }

    /// Looks at the upstreams in reach: the one with the shortest expected time, and how full they are.
    fn survey(
        &self,
        request: &RoutingRequest,
        typical: f32,
        now: HostTime,
        reach: Reach,
    ) -> Survey {
        let blur = (as_f32(self.sharers) * BLUR_PER_HOST).min(MAX_BLUR);
        let mut survey = Survey::default();
        let mut best: Option<(&Upstream, f32)> = None;
        for upstream in self.upstreams.values() {
            let listing = upstream.listing();
            let is_far = listing.distance == Distance::Far;
            if is_far != (reach == Reach::Beyond) || !upstream.is_usable(now) {
                continue;
            }
            let load = upstream.load(now);
            survey.room += upstream.room();
            survey.load += load;
            survey.own += upstream.in_flight();
            if !upstream.has_room(self.sharers, load, now) || request.tried.contains(&listing.id) {
                continue;
            }
            let mut expected = upstream.expected_ms(typical, load, now);
            if upstream.is_failing() {
                expected *= 3.0;
            }
            expected *= 1.0
                + blur * upstream.unit(request.ticket ^ u64::from(request.jitter_per_mille) << 32);
            if best.is_none_or(|(_, shortest)| expected < shortest) {
                best = Some((upstream, expected));
            }
        }
        survey.best = best.map(|(upstream, expected)| (upstream.listing().id.clone(), expected));
        survey
    }

    /// Decides whether a request for which nobody has room may wait.
    fn admit(&self, request: &RoutingRequest, typical: f32, now: HostTime) -> RoutingDecision {
        if self.waiting.len() >= MAX_WAITING {
            return self.refusal(request, RefusalReason::Overload, to_millis(typical), now);
        }
        let service = to_millis(typical);
        if let Some(keys) = &self.keys {
            let Some(owner) = request.key.and_then(|key| self.available_owner(key, now)) else {
                return self.admit_unowned(request, now);
            };
            let ahead = self.ahead(request, now, |other| {
                other.key.and_then(|key| keys.owner(key)) == Some(&owner.listing().id)
            });
            let service = owner.service_ms().unwrap_or(typical);
            let places = as_f32(owner.listing().slots.max(1));
            // Other hosts have their own requests waiting for the same upstream.
            let rivals = as_f32(owner.load(now).saturating_sub(owner.in_flight()) + 1);
            let own_part =
                (as_f32(owner.in_flight() + 1) / (as_f32(owner.in_flight()) + rivals)).max(0.1);
            let wait = to_millis(service * as_f32(ahead + 1) / (places * own_part));
            return self.admit_within(request, wait, to_millis(service), now);
        }
        let usable = |upstream: &&Upstream| {
            upstream.is_usable(now) && upstream.listing().distance != Distance::Far
        };
        let per_ms: f32 = self
            .upstreams
            .values()
            .filter(usable)
            .map(|up| as_f32(up.listing().slots) / up.service_ms().unwrap_or(typical).max(1.0))
            .sum();
        if per_ms <= 0.0 && !self.upstreams.values().any(|upstream| upstream.is_usable(now)) {
            return self.refusal(request, RefusalReason::NoUpstream, OUTAGE_PAUSE, now);
        }
        let ahead = self.ahead(request, now, |_| true);
        let share = per_ms.max(0.001) / as_f32(self.sharers.max(1));
        // Those of higher ranks that arrive meanwhile go first, too.
        let left = (share - self.arrivals.rate_above(request.rank, now)).max(share * LEAST_SHARE);
        self.admit_within(request, to_millis(as_f32(ahead + 1) / left), service, now)
    }

    fn admit_within(
        &self,
        request: &RoutingRequest,
        wait: Millis,
        service: Millis,
        now: HostTime,
    ) -> RoutingDecision {
        let until_objective = request.objective.0.saturating_sub(now.0 + service.0);
        let until_deadline = request.deadline.0.saturating_sub(now.0 + service.0);
        let allowed = if until_objective > 0 {
            until_objective * WAIT_PERCENT / 100
        } else {
            until_deadline * LATE_WAIT_PERCENT / 100
        };
        if wait.0 <= allowed {
            return RoutingDecision::Wait;
        }
        self.refusal(request, RefusalReason::Overload, wait, now)
    }

    /// Decides about a request whose key has no owner that can be reached.
    fn admit_unowned(&self, request: &RoutingRequest, now: HostTime) -> RoutingDecision {
        let waited = now.since(request.arrived);
        let objective = request.objective.since(request.arrived);
        if waited < MOVE_WAIT.min(Millis(objective.0 / 2)) {
            return RoutingDecision::Wait;
        }
        self.refusal(request, RefusalReason::KeyUnowned, OUTAGE_PAUSE, now)
    }

    /// Refuses a waiting request whose key still has no owner.
    fn overdue(&self, request: &RoutingRequest, now: HostTime) -> Option<RoutingDecision> {
        self.keys.as_ref()?;
        if request.key.is_some_and(|key| self.available_owner(key, now).is_some()) {
            return None;
        }
        match self.admit_unowned(request, now) {
            RoutingDecision::Wait => None,
            refusal => Some(refusal),
        }
    }

    fn ahead(
        &self,
        request: &RoutingRequest,
        now: HostTime,
        counts: impl Fn(&RoutingRequest) -> bool,
    ) -> u32 {
        let service = to_millis(self.typical_ms());
        let own = place(request, service, now);
        let ahead =
            self.waiting.iter().filter(|other| place(other, service, now) <= own && counts(other));
        u32::try_from(ahead.count()).unwrap_or(u32::MAX)
    }

    fn refusal(
        &self,
        request: &RoutingRequest,
        reason: RefusalReason,
        expected: Millis,
        now: HostTime,
    ) -> RoutingDecision {
        let left = request.deadline.since(now);
        RoutingDecision::Refuse {
            reason,
            retry_after: retry_after::delay(expected, left, request.jitter_per_mille),
        }
    }
}

/// Returns what those that wait are ordered by: rank; then whether an answer can still be in time, as one that can't
/// has lost most of its worth; then the objective.
fn place(request: &RoutingRequest, service: Millis, now: HostTime) -> (u8, bool, HostTime) {
    (request.rank, now + service > request.objective, request.objective)
}

fn millis_u32(later: HostTime, now: HostTime) -> u32 {
    u32::try_from(later.since(now).0).unwrap_or(u32::MAX)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "bounded above and below"
)]
fn to_millis(ms: f32) -> Millis {
    Millis(ms.clamp(0.0, 3_600_000.0) as u64)
}
