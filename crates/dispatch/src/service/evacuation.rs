//! The part of a service's routing that concerns upstreams in evacuated availability zones.

use super::{NO_UPSTREAM_DELAY, Service};
use crate::routing::{RefusalReason, RoutingDecision, RoutingRequest};
use crate::upstream::Upstream;
use skylarkdock_units::times::HostTime;

impl Service {
    /// Refuses a request if upstreams in the regions that it may be sent to are evacuated and no other is left there, also one
    /// that could wait for another owner of its key. An upstream in backoff is left: it may be usable again in time.
    pub(super) fn refuse_evacuated(
        &self,
        request: &RoutingRequest,
        now: HostTime,
    ) -> Option<RoutingDecision> {
        let is_evacuated = |upstream: &&Upstream| upstream.info().is_evacuated;
        if !self.upstreams.values().any(|upstream| is_evacuated(&upstream)) {
            return None;
        }
        let mut running = self.upstreams.values().filter(|upstream| {
            let info = upstream.info();
            !info.is_leaving && request.may_use(upstream)
        });
        let is_left = running.any(|upstream| !is_evacuated(&upstream));
        (!is_left).then(|| self.refusal(request, RefusalReason::NoUpstream, NO_UPSTREAM_DELAY, now))
    }
}
