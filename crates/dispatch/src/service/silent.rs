//! The part of a service's routing that concerns upstreams which never answer when full.

use super::{Candidates, Service, millis_u32};
use crate::routes::Idempotency;
use crate::routing::RoutingRequest;
use crate::silence::{self, HostCounts, Silence};
use crate::upstream::{Distance, Upstream, as_f32};
use skylarkdock_units::times::HostTime;

impl Service {
    /// Returns what is known of timeouts of the upstreams.
    pub const fn silence(&self) -> &Silence {
        &self.silence
    }

    /// Returns what is known of timeouts of the upstreams, for changes.
    pub const fn silence_mut(&mut self) -> &mut Silence {
        &mut self.silence
    }

    /// Returns whether this host has a place left at an upstream.
    pub(super) fn has_place(&self, upstream: &Upstream, now: HostTime) -> bool {
        if !self.silence.is_limited(now) {
            return true;
        }
        let info = upstream.info();
        let is_far = info.distance == Distance::Far;
        let hosts = HostCounts { all: self.hosts, region: self.region_hosts, is_far };
        upstream.in_flight() < self.silence.limit(&info.id, hosts, info.slots, now)
    }

    /// Returns whether load reports show so little load that the places of other hosts may be used.
    pub(super) fn is_quiet(&self, candidates: &Candidates) -> bool {
        let Candidates { load, in_flight, capacity, .. } = *candidates;
        load > in_flight && silence::is_quiet(load, capacity)
    }

    /// Returns whether a request that may run only once would probably end unknown at an upstream.
    pub(super) fn is_too_slow_for_once(
        &self,
        request: &RoutingRequest,
        expected_ms: f32,
        now: HostTime,
    ) -> bool {
        request.idempotency == Idempotency::Once
            && self.silence.is_limited(now)
            && !silence::is_in_time(expected_ms, as_f32(millis_u32(request.deadline, now)))
    }

    /// Returns whether a waiting request that may run only once would probably end unknown at any upstream.
    pub(super) fn is_too_late_once(&self, request: &RoutingRequest, now: HostTime) -> bool {
        self.is_too_slow_for_once(request, self.mean_service_ms(), now)
    }
}
