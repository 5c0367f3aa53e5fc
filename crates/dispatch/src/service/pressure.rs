//! Order and refusal of requests while the service is under pressure.

use super::{Service, queue_order, to_millis};
use crate::routing::{RefusalReason, RoutingDecision, RoutingRequest};
use crate::upstream::{AttemptOutcome, Distance, Upstream, as_f32};
use crate::value::{Order, ValueRule};
use crate::work::RouteKey;
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};

impl Service {
    /// Enables or disables the rule for times of pressure.
    pub fn set_value_rule(&mut self, is_enabled: bool) {
        match (&self.value, is_enabled) {
            (None, true) => self.value = Some(ValueRule::default()),
            (Some(_), false) => self.value = None,
            _ => {}
        }
    }

    /// Returns whether the rule for times of pressure is enabled and the service is under pressure.
    pub fn is_value_rule_in_force(&self) -> bool {
        self.value.as_ref().is_some_and(ValueRule::is_in_force)
    }

    /// Records the remaining time that a caller names on arrival. Under pressure, returns how much of its time it has used
    /// as far as can be told, by which its objective is earlier than that of a new request.
    pub fn observe_caller(&mut self, route: RouteKey, remaining: Millis) -> Millis {
        let rule = self.value.as_mut();
        rule.map_or(Millis(0), |rule| rule.observe_caller(route, remaining))
    }

    /// Like [`Self::on_end`]. An answer also teaches what requests of the route need.
    pub fn on_end_of(
        &mut self,
        route: RouteKey,
        id: &UpstreamId,
        started: HostTime,
        outcome: AttemptOutcome,
        now: HostTime,
    ) {
        let service_ms = self.upstreams.get(id).and_then(Upstream::service_ms);
        let Some(ratio) = self.record_end(id, started, outcome, now) else { return };
        let mean_ms = self.mean_service_ms();
        let Some(rule) = &mut self.value else { return };
        let answer_ms = as_f32(super::millis_u32(now, started));
        let slot_ms = service_ms.map_or(answer_ms, |service_ms| service_ms * ratio);
        rule.on_answer(route, slot_ms, answer_ms, mean_ms, now);
    }

    /// Returns the upstream to which a request could be sent now. It is not recorded.
    pub fn free_upstream(&self, request: &RoutingRequest, now: HostTime) -> Option<UpstreamId> {
        self.choose_upstream(request, self.mean_service_ms(), now)
    }

    /// Records the arrival of a request, and the load of the upstreams.
    pub(super) fn observe_arrival(&mut self, request: &RoutingRequest, now: HostTime) {
        if self.value.as_ref().is_some_and(|rule| rule.needs_load(&request.regions, now)) {
            self.observe_load(request, now);
        }
        let Some(rule) = &mut self.value else { return };
        if request.tried.is_empty() {
            rule.on_arrival(request, now);
        }
    }

    /// Sums up the load of the upstreams to which requests like this one are sent in the first place.
    fn observe_load(&mut self, request: &RoutingRequest, now: HostTime) {
        let mean_ms = self.mean_service_ms();
        let distance = self.first_choice_distance(request);
        let hosts = if distance == Distance::Far { self.hosts } else { self.region_hosts };
        let usable = self.upstreams.values().filter(|upstream| {
            upstream.accepts(now)
                && upstream.info().distance <= distance
                && request.may_use(upstream)
        });
        let zero = (0, 0, 0.0);
        let (load, capacity, per_ms) = usable.fold(zero, |(load, capacity, per_ms), upstream| {
            (
                load + u64::from(upstream.load(now)),
                capacity + u64::from(upstream.capacity()),
                per_ms + upstream.requests_per_ms(mean_ms),
            )
        });
        let equal_share = per_ms / as_f32(hosts.max(1));
        let sent_per_ms = if request.regions.is_restricted() {
            self.restricted.sent_per_ms(&request.regions, now)
        } else {
            self.sends.rate(now)
        };
        let share = equal_share.max(sent_per_ms.min(per_ms));
        let Some(rule) = &mut self.value else { return };
        rule.observe_load(&request.regions, load, capacity, now);
        rule.update_price(&request.regions, share * mean_ms, mean_ms, now);
    }

    /// Records that a request is sent.
    pub(super) fn observe_send(&mut self, request: &RoutingRequest, now: HostTime) {
        if let Some(rule) = &mut self.value
            && request.tried.is_empty()
        {
            rule.on_send(request, now);
        }
    }

    /// Returns whether the rule for times of pressure applies to a request.
    pub(super) fn is_pressed(&self, request: &RoutingRequest, now: HostTime) -> bool {
        let Some(rule) = &self.value else { return false };
        if self.keys.is_none() {
            return rule.is_pressed(&request.regions);
        }
        let owner = request.key.and_then(|key| self.available_owner(key, now));
        owner.is_some_and(|owner| owner.load(now) >= owner.info().slots)
    }

    /// Returns the refusal of a request that would be answered too late after `wait`.
    pub(super) fn refuse_by_value(
        &self,
        request: &RoutingRequest,
        wait: Millis,
        now: HostTime,
    ) -> Option<RoutingDecision> {
        let rule = self.value.as_ref().filter(|_| self.is_pressed(request, now))?;
        let reason = rule.refusal(request, wait, self.mean_service_ms(), now)?;
        Some(self.refusal(request, reason, wait, now))
    }

    /// Decides on a request that is expected to wait for `wait`; `None` leaves it to the rule without pressure.
    pub(super) fn admit_by_value(
        &self,
        request: &RoutingRequest,
        wait: Millis,
        now: HostTime,
    ) -> Option<RoutingDecision> {
        let rule = self.value.as_ref().filter(|_| self.is_pressed(request, now))?;
        if rule.is_in_time(request, wait, self.mean_service_ms(), now) {
            return Some(RoutingDecision::Wait);
        }
        self.refuse_by_value(request, wait, now)
    }

    /// Returns the delay for a caller that is refused for want of capacity under pressure.
    pub(super) fn return_under_pressure(
        &self,
        request: &RoutingRequest,
        reason: RefusalReason,
        now: HostTime,
    ) -> Option<Millis> {
        let is_capacity =
            matches!(reason, RefusalReason::Overload | RefusalReason::Late | RefusalReason::Rank);
        let rule = self.value.as_ref().filter(|_| is_capacity && self.is_pressed(request, now))?;
        Some(rule.retry_after(request, self.mean_service_ms(), now))
    }

    /// Returns the place of a request in the order in which waiting requests are served.
    pub(super) fn order(&self, request: &RoutingRequest, now: HostTime) -> Order {
        match &self.value {
            Some(rule) if self.is_pressed(request, now) => {
                rule.order(request, self.mean_service_ms(), now)
            }
            _ => {
                let service_time = to_millis(self.mean_service_ms());
                let (rank, is_late, objective) = queue_order(request, service_time, now);
                (rank, false, u32::from(is_late), objective)
            }
        }
    }

    /// Sorts the waiting requests in the order in which they are served.
    pub(super) fn sort_waiting(&mut self, now: HostTime) {
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_cached_key(|request| self.order(request, now));
        self.waiting = waiting;
    }
}
