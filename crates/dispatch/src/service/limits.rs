//! The part of a service's routing that concerns upstreams which limit their rate.

use super::{Service, to_millis};
use crate::permits::{Demand, MAX_WANTED};
use crate::routing::{RefusalReason, RoutingDecision, RoutingRequest};
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::HostTime;

impl Service {
    /// Uses a permit for an upstream that is chosen. It is used at the decision, so that no other request is sent with
    /// it before this one has started.
    pub(super) fn take_permit(&mut self, id: &UpstreamId, now: HostTime) {
        if let Some(upstream) = self.upstreams.get_mut(id) {
            upstream.permits_mut().take(now);
        }
    }

    /// Records that a request can't be sent to limited upstreams for want of a permit, although it is for them. In a
    /// sharded service that shows from the queue.
    pub(super) fn record_demand(
        &mut self,
        request: &RoutingRequest,
        chosen: Option<&UpstreamId>,
        now: HostTime,
    ) {
        if let Some(keys) = &self.keys {
            let owner = request.key.and_then(|key| keys.owner(key)).cloned();
            if chosen.is_none()
                && let Some(owner) = owner.and_then(|id| self.upstreams.get_mut(&id))
                && request.may_use(owner)
                && owner.rest_until(now).is_none()
                && !owner.permits().is_available(now)
            {
                owner.record_demand(request.rank);
            }
            return;
        }
        let leaving_time = self.leaving_time(request, now);
        let max_distance = self.first_choice_distance(request);
        let lacking = self.upstreams.values_mut().filter(|upstream| {
            upstream.permits().permit_rate().is_some()
                && upstream.accepts(now)
                && !upstream.has_left(leaving_time, now)
                && request.may_use(upstream)
                && upstream.info().distance <= max_distance
                && !upstream.permits().is_available(now)
        });
        lacking.for_each(|upstream| upstream.record_demand(request.rank));
    }

    /// Returns the permits that this host needs for each limited upstream: for the requests that lacked one since the
    /// last call and, in a sharded service, for those that wait.
    pub fn take_demands(&mut self) -> Vec<(UpstreamId, Demand)> {
        let mut demands = Vec::new();
        for (id, upstream) in &mut self.upstreams {
            if !upstream.permits().is_in_use() {
                continue;
            }
            let mut demand = upstream.take_demand().unwrap_or_default();
            if self.keys.is_some() && upstream.permits().cold_bound().is_some() {
                // A permit for a cold upstream expires before another request comes for it.
                demand = Demand::default();
            }
            if let Some(keys) = &self.keys {
                let waiting = self.waiting.iter().filter(|request| {
                    request.may_use(upstream)
                        && request.key.and_then(|key| keys.owner(key)) == Some(id)
                });
                let ranks: Vec<u8> = waiting.map(|request| request.rank).collect();
                if let Some(rank) = ranks.iter().min() {
                    let waiting = u8::try_from(ranks.len()).unwrap_or(MAX_WANTED).min(MAX_WANTED);
                    let rank = if demand.count == 0 { *rank } else { demand.rank.min(*rank) };
                    demand = Demand { count: demand.count.max(waiting), rank };
                }
            }
            if upstream.permits().cold_bound().is_some() && upstream.uses_host_limit(self.hosts) {
                // It would expire before it can be used.
                demand.count = 0;
            }
            demands.push((id.clone(), demand));
        }
        demands
    }

    /// Refuses a waiting request whose owner issues no permit in time.
    pub(super) fn refuse_limited(
        &self,
        request: &RoutingRequest,
        now: HostTime,
    ) -> Option<RoutingDecision> {
        let owner = self.available_owner(request.key?, now)?;
        let permits = owner.permits();
        if permits.is_available(now) {
            return None;
        }
        let service_time = to_millis(owner.service_ms().unwrap_or(self.mean_service_ms()));
        let wait = permits.expected_wait(request.rank, now);
        let decision =
            self.admit_if_wait_fits(request, RefusalReason::Limited, wait, service_time, now);
        (decision != RoutingDecision::Wait).then_some(decision)
    }
}
