//! The part of a service's routing that concerns requests which may be served only in some regions.
//!
//! Hosts of all regions send such requests directly to the upstreams of the allowed regions, so those upstreams are shared
//! by all hosts and not only by the hosts of their region. Requests that can be served elsewhere leave them the capacity
//! that they need, see [`crate::restricted_demand`].

use super::{NO_UPSTREAM_DELAY, SearchScope, Service, millis_u32};
use crate::notices;
use crate::regions::AllowedRegions;
use crate::restricted_demand::RegionCapacity;
use crate::routing::{RefusalReason, RoutingDecision, RoutingRequest};
use crate::upstream::{Distance, Upstream, as_f32};
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::HostTime;

/// Other regions are considered when the expected time in the own region exceeds this percentage of the time until the
/// objective.
const OTHER_REGION_FROM_PERCENT: u32 = 80;

/// Upstreams that a request may use at a moment.
#[derive(Debug)]
pub(super) struct Selection {
    /// Number of hosts that share these upstreams.
    pub(super) hosts: u32,
    /// Whether hosts of all regions share them because the request may be served only in some regions.
    pub(super) is_shared: bool,
    /// Regions that are left to requests which can't be served elsewhere.
    pub(super) reserved: Vec<AllowedRegions>,
}

impl Selection {
    /// Returns the part of an upstream's load that counts against its capacity. What hosts of another region send is reported
    /// only each 0.75 s, the time of two or three requests. Upstreams that were full then would be left idle until the next
    /// report, so only load beyond the capacity counts, and the share of each host bounds what all send together.
    pub(super) fn counted_load(&self, upstream: &Upstream, load: u32) -> u32 {
        if self.is_shared {
            load.saturating_sub(upstream.capacity()).max(upstream.in_flight())
        } else {
            load
        }
    }

    /// Returns whether a request may use an upstream.
    pub(super) fn contains(&self, request: &RoutingRequest, upstream: &Upstream) -> bool {
        request.may_use(upstream)
            && !self.reserved.iter().any(|regions| regions.allows(upstream.info().region.as_ref()))
    }
}

/// Capacity and competition that a request without a key finds.
#[derive(Debug, Clone, Copy)]
pub(super) struct OwnShare {
    /// Requests per millisecond that the upstreams take from this host.
    pub(super) equal_per_ms: f32,
    /// Requests per millisecond that they take from all hosts.
    pub(super) total_per_ms: f32,
    /// Requests per millisecond that this host sends to them.
    pub(super) sent_per_ms: f32,
    /// Requests per millisecond of more urgent ranks that arrive for them at this host.
    pub(super) urgent_per_ms: f32,
    /// Fraction of the requests with other allowed regions that compete for them.
    pub(super) competing: f32,
}

impl RoutingRequest {
    /// Returns whether the request may be sent to an upstream, by its region.
    pub fn may_use(&self, upstream: &Upstream) -> bool {
        self.regions.allows(upstream.info().region.as_ref())
    }
}

impl Service {
    /// Refuses a request that no upstream of the service may run now because of its allowed regions. Nothing is gained by
    /// holding it, as upstreams of other regions don't count.
    pub(super) fn refuse_not_allowed(
        &self,
        request: &RoutingRequest,
        now: HostTime,
    ) -> Option<RoutingDecision> {
        if !request.regions.is_restricted() {
            return None;
        }
        let refuse = |reason| Some(self.refusal(request, reason, NO_UPSTREAM_DELAY, now));
        let owner = self.keys.as_ref().zip(request.key);
        let owner = owner.and_then(|(keys, key)| keys.available_owner(key, now));
        let owner = owner.and_then(|id| self.upstreams.get(id));
        if owner.is_some_and(|owner| !request.may_use(owner)) {
            return refuse(RefusalReason::OwnerNotAllowed);
        }
        let leaving_time = notices::sending_time(self.drain_time);
        let can_run = |upstream: &Upstream| {
            request.may_use(upstream)
                && upstream.is_usable(now)
                && !upstream.has_left(leaving_time, now)
        };
        if self.upstreams.values().any(can_run) {
            return None;
        }
        refuse(RefusalReason::NoAllowedUpstream)
    }

    /// Returns whether the upstreams that a request may use are shared by the hosts of all regions. That is not so if the
    /// request is served in its host's region like one that may be served anywhere.
    fn is_shared(&self, request: &RoutingRequest) -> bool {
        if !request.regions.is_restricted() {
            return false;
        }
        let (mut has_near, mut has_far) = (false, false);
        for upstream in self.upstreams.values() {
            if !request.may_use(upstream) {
                return true;
            }
            let is_far = upstream.info().distance == Distance::Far;
            has_far |= is_far;
            has_near |= !is_far;
        }
        !(has_near && has_far)
    }

    /// Returns the largest distance of the upstreams to which requests like this one are sent in the first place: those in the
    /// host's region, or all allowed ones if hosts of all regions share them.
    pub(super) fn first_choice_distance(&self, request: &RoutingRequest) -> Distance {
        if self.is_shared(request) { Distance::Far } else { Distance::Region }
    }

    /// Returns the upstreams that a request may use, without the regions that are left to others of any rank, or with
    /// `of_urgent` only of its own rank and more urgent ones.
    fn selection(
        &self,
        request: &RoutingRequest,
        of_urgent: bool,
        mean_ms: f32,
        now: HostTime,
    ) -> Selection {
        let is_shared = self.is_shared(request);
        let hosts = if is_shared { self.hosts } else { self.region_hosts };
        let max_rank = if of_urgent { request.rank } else { u8::MAX };
        let reserved = if self.restricted.is_empty() {
            Vec::new()
        } else {
            self.restricted.reserved(&request.regions, max_rank, self.hosts, now, |regions| {
                self.region_capacity(request, regions, mean_ms, now)
            })
        };
        Selection { hosts, is_shared, reserved }
    }

    /// Returns what the upstreams of some regions take, or `None` if a request can't be served elsewhere.
    fn region_capacity(
        &self,
        request: &RoutingRequest,
        regions: &AllowedRegions,
        mean_ms: f32,
        now: HostTime,
    ) -> Option<RegionCapacity> {
        let mut capacity = RegionCapacity { hosts: self.hosts, ..RegionCapacity::default() };
        let mut can_go_elsewhere = false;
        for upstream in self.upstreams.values().filter(|upstream| upstream.accepts(now)) {
            let info = upstream.info();
            if !regions.allows(info.region.as_ref()) {
                can_go_elsewhere |= request.may_use(upstream);
                continue;
            }
            capacity.slots += u64::from(info.slots);
            capacity.load += u64::from(upstream.load(now));
            capacity.requests_per_ms += upstream.requests_per_ms(mean_ms);
            if info.distance != Distance::Far {
                capacity.hosts = self.region_hosts;
            }
        }
        can_go_elsewhere.then_some(capacity)
    }

    /// Returns the upstream for a request of a service without keys, or `None` if no upstream has capacity for it.
    pub(super) fn choose_unsharded(
        &self,
        request: &RoutingRequest,
        mean_ms: f32,
        now: HostTime,
    ) -> Option<UpstreamId> {
        let selection = self.selection(request, false, mean_ms, now);
        let chosen = self.choose_selected(request, &selection, mean_ms, now);
        if chosen.is_some() || selection.reserved.is_empty() {
            return chosen;
        }
        // Where no other region has room, less urgent requests have no claim on the reserved ones.
        let selection = self.selection(request, true, mean_ms, now);
        self.choose_selected(request, &selection, mean_ms, now)
    }

    /// Returns the best of the selected upstreams. Other regions than the host's are considered if no upstream in that one has
    /// capacity or if it would take too long.
    fn choose_selected(
        &self,
        request: &RoutingRequest,
        selection: &Selection,
        mean_ms: f32,
        now: HostTime,
    ) -> Option<UpstreamId> {
        // Where the share is only a few requests, rounding it down would leave a part of the upstreams idle.
        let rounding = if selection.is_shared { request.jitter_per_mille.min(999) } else { 0 };
        let near = self
            .candidates(request, mean_ms, now, SearchScope::Region, selection)
            .within_share(selection.hosts, rounding);
        let until_objective = as_f32(millis_u32(request.objective, now));
        let near_is_late = near.as_ref().is_none_or(|(_, expected)| {
            expected * 100.0 > until_objective * as_f32(OTHER_REGION_FROM_PERCENT)
        });
        if !near_is_late {
            return near.map(|(id, _)| id);
        }
        let far = self.candidates(request, mean_ms, now, SearchScope::OtherRegions, selection);
        let far = if selection.is_shared {
            far.within_share(selection.hosts, rounding)
        } else {
            far.best
        };
        match (near, far) {
            (Some((near, near_ms)), Some((_, far_ms))) if near_ms <= far_ms * 1.3 => Some(near),
            (_, Some((far, _))) => Some(far),
            (Some((near, _)), None) => Some(near),
            (None, None) => None,
        }
    }

    /// Records that an upstream is chosen for a request, and uses a permit for it.
    pub(super) fn commit(&mut self, regions: &AllowedRegions, id: &UpstreamId, now: HostTime) {
        self.take_permit(id, now);
        if let Some(upstream) = self.upstreams.get(id) {
            self.restricted.record_send(regions, upstream.info().region.as_ref(), now);
        }
    }

    /// Returns what this host can expect of the upstreams that a request may use and that satisfy `is_open`.
    pub(super) fn own_share(
        &self,
        request: &RoutingRequest,
        is_open: impl Fn(&Upstream) -> bool,
        mean_ms: f32,
        now: HostTime,
    ) -> OwnShare {
        let selection = self.selection(request, true, mean_ms, now);
        let is_reserved = !selection.reserved.is_empty();
        let (mut near, mut far, mut reserved, mut all) = (0.0, 0.0, 0.0, 0.0);
        for upstream in self.upstreams.values().filter(|upstream| is_open(upstream)) {
            let per_ms = upstream.requests_per_ms(mean_ms);
            all += per_ms;
            if !request.may_use(upstream) {
                continue;
            }
            if !selection.contains(request, upstream) {
                reserved += per_ms;
            } else if upstream.info().distance != Distance::Far || selection.is_shared {
                near += per_ms;
            } else if is_reserved {
                far += per_ms;
            }
        }
        let hosts = as_f32(selection.hosts.max(1));
        let mut equal_per_ms = near / hosts + far / as_f32(self.hosts.max(1));
        if is_reserved {
            let need = self.restricted.need_per_ms(&selection.reserved, request.rank, now);
            equal_per_ms += (reserved / as_f32(self.hosts.max(1)) - need).max(0.0);
        }
        let total_per_ms = near + far;
        let regions = &request.regions;
        if !selection.is_shared && !is_reserved {
            return OwnShare {
                equal_per_ms,
                total_per_ms,
                sent_per_ms: self.sends.rate(now),
                urgent_per_ms: self.arrivals.rate_above(request.rank, now),
                competing: 1.0,
            };
        }
        let competing = if all > 0.0 { (total_per_ms / all).min(1.0) } else { 1.0 };
        let own_urgent = self.restricted.rate_above(regions, request.rank, now);
        let other_urgent = (self.arrivals.rate_above(request.rank, now) - own_urgent).max(0.0);
        let sent_per_ms = if regions.is_restricted() {
            self.restricted.sent_per_ms(regions, now)
        } else {
            (self.sends.rate(now) - self.restricted.all_sent_per_ms(now)).max(0.0)
        };
        OwnShare {
            equal_per_ms,
            total_per_ms,
            sent_per_ms,
            urgent_per_ms: own_urgent + other_urgent * competing,
            competing,
        }
    }
}
