//! The part of a service's routing that concerns upstreams which asked this host for a rest or said that they leave.

use super::{Service, to_millis};
use crate::notices;
use crate::routing::{RefusalReason, RoutingDecision, RoutingRequest};
use crate::upstream::Upstream;
use skylarkdock_units::times::{HostTime, Millis};

impl Service {
    /// Sets the time from an upstream's first notice that it leaves to its end. It is zero before the first call, and
    /// an upstream then gets nothing after its first notice.
    pub const fn set_drain_time(&mut self, drain_time: Millis) {
        self.drain_time = drain_time;
    }

    /// Returns how long after their first notice upstreams that leave may get a request of a service without keys: not
    /// at all if another one that accepts requests was not tried yet.
    pub(super) fn leaving_time(&self, request: &RoutingRequest, now: HostTime) -> Millis {
        let has_other = self.upstreams.values().any(|upstream| {
            upstream.leaving_since().is_none()
                && request.may_use(upstream)
                && upstream.accepts(now)
                && !request.tried.contains(&upstream.info().id)
        });
        if has_other { Millis(0) } else { notices::sending_time(self.drain_time) }
    }

    /// Returns how long a request can't be sent because the upstreams that could run it rest: the owner of its key, or
    /// all usable upstreams of a service without keys. Upstreams that were tried count only if no other is usable.
    pub fn remaining_rest(&self, request: &RoutingRequest, now: HostTime) -> Option<Millis> {
        if self.keys.is_some() {
            let owner = self.available_owner(request.key?, now)?;
            return owner.rest_until(now).map(|until| until.since(now));
        }
        let leaving_time = self.leaving_time(request, now);
        let may_run = |upstream: &&Upstream| {
            request.may_use(upstream)
                && upstream.is_usable(now)
                && !upstream.has_left(leaving_time, now)
        };
        let usable = || self.upstreams.values().filter(may_run);
        let is_untried = |upstream: &&Upstream| !request.tried.contains(&upstream.info().id);
        if usable().any(|upstream| is_untried(&upstream)) {
            shortest_rest(usable().filter(is_untried), now)
        } else {
            shortest_rest(usable(), now)
        }
    }

    /// Decides whether a request waits for the end of a rest. `queue_time` is the expected wait after it.
    pub(super) fn admit_resting(
        &self,
        request: &RoutingRequest,
        rest: Millis,
        queue_time: Millis,
        service_time: Millis,
        now: HostTime,
    ) -> RoutingDecision {
        let wait = rest + queue_time;
        self.admit_if_wait_fits(request, RefusalReason::Resting, wait, service_time, now)
    }

    /// Refuses a waiting request if the upstreams that could run it rest for too long.
    pub(super) fn refuse_resting(
        &self,
        request: &RoutingRequest,
        now: HostTime,
    ) -> Option<RoutingDecision> {
        let rest = self.remaining_rest(request, now)?;
        let service_time = to_millis(self.mean_service_ms());
        let decision = self.admit_resting(request, rest, Millis(0), service_time, now);
        (decision != RoutingDecision::Wait).then_some(decision)
    }
}

/// Returns the shortest remaining rest, or `None` if an upstream does not rest or there is none.
fn shortest_rest<'a>(
    upstreams: impl Iterator<Item = &'a Upstream>,
    now: HostTime,
) -> Option<Millis> {
    let mut shortest: Option<Millis> = None;
    for upstream in upstreams {
        let rest = upstream.rest_until(now)?.since(now);
        shortest = Some(shortest.map_or(rest, |known| known.min(rest)));
    }
    shortest
}
