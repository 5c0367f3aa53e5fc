//! Validation of a request before it is routed, and its rejection.

use super::Traffic;
use super::rejection::Rejection;
use crate::answer::Answer;
use crate::clock;
use crate::framing::{self, Oversize};
use crate::serve::Incoming;
use crate::view::Config;
use metrics::counter;
use skylarkdock_dispatch::routes::Route;
use skylarkdock_freshness::final_answers::{
    ConfigFault, CurrentConfig, Evidence, FinalAnswer, RequestFault, Unproven,
};
use skylarkdock_freshness::missing_routes;
use skylarkdock_http1::fields;
use skylarkdock_http1::head::RequestHead;
use skylarkdock_units::ids::ServiceName;
use skylarkdock_units::times::{HostTime, Millis};
use std::sync::Arc;

/// What a valid request says of itself, with its route.
pub(super) struct Accepted {
    pub(super) id: String,
    /// Value of the `Host` header, in lower case.
    pub(super) host: String,
    pub(super) route: Arc<Route>,
    pub(super) service: ServiceName,
    pub(super) key: Option<u16>,
    /// Time that its caller waits; the route may allow less.
    pub(super) deadline: Millis,
}

impl Traffic {
    /// Finds the route of a request and validates its headers.
    pub(super) fn accept(
        &self,
        incoming: &Incoming,
        arrived: HostTime,
    ) -> Result<Accepted, Rejection> {
        let names = &self.protocol.names;
        let head = &incoming.head;
        if head.headers.get(names.expected).is_some() {
            return Err(Rejection::ForUpstream);
        }
        let view = Arc::clone(&self.view.borrow());
        let Some(config) = &view.config else {
            return Err(Rejection::Unproven(Unproven::NoConfig));
        };
        if self.is_config_outdated(arrived) {
            return Err(Rejection::ConfigOutdated);
        }
        let invalid = |fault| Rejection::Final(FinalAnswer::invalid(fault));
        let Some(host) = head.host() else {
            return Err(invalid(RequestFault::NoHost));
        };
        let Some(route) = config.routes.find(host, head.path()) else {
            return Err(self.without_route(config.version, arrived).into());
        };
        let route = Arc::clone(route);
        let Some(id) = fields::id(&head.headers, names.request_id).map(str::to_owned) else {
            return Err(invalid(RequestFault::NoRequestId));
        };
        let deadline = fields::millis(&head.headers, names.deadline)
            .map_err(|_| invalid(RequestFault::InvalidDeadline))?
            .map_or(route.timeout, Millis);
        let key = fields::key(&head.headers, names.key).transpose();
        let service = self.pick_service(&route, config, matches!(key, Some(Ok(_))));
        let key = match (config.is_sharded(&service), key) {
            (false, _) => None,
            (true, Some(Ok(key))) => Some(key),
            (true, key) => {
                let fault =
                    if key.is_some() { ConfigFault::InvalidKey } else { ConfigFault::NoKey };
                let allows = |earlier: &Config| earlier.takes_without_key(host, head.path());
                return Err(self.not_allowed(fault, config.version, arrived, allows).into());
            }
        };
        Ok(Accepted { id, host: host.to_ascii_lowercase(), route, service, key, deadline })
    }

    /// Returns whether a request may be accepted, as far as its target tells. Otherwise [`Self::accept`] rejects it, whatever its
    /// body is.
    pub(super) fn may_be_accepted(&self, head: &RequestHead) -> bool {
        let names = &self.protocol.names;
        if head.headers.get(names.expected).is_some() {
            return false;
        }
        let view = Arc::clone(&self.view.borrow());
        let Some(config) = &view.config else { return false };
        if self.is_config_outdated(clock::now()) {
            // It may wait for the newer configuration.
            return true;
        }
        let origin_form;
        let head = if head.target.starts_with('/') {
            head
        } else {
            origin_form = head.clone().into_origin_form();
            &origin_form
        };
        head.host().is_some_and(|host| config.routes.find(host, head.path()).is_some())
    }

    /// Returns the answer to a request that is not accepted. Counts it, and logs what tells a wrong rejection from a right
    /// one.
    pub(super) fn reject(
        &self,
        incoming: &Incoming,
        rejection: Rejection,
        arrived: HostTime,
    ) -> Answer {
        let head = &incoming.head;
        let (answer, reason) = (rejection.answer(), rejection.as_str());
        framing::count_rejection(answer.status, reason);
        let id = head.headers.get_str(self.protocol.names.request_id);
        let (host, path) = (head.headers.get_str("host").unwrap_or_default(), head.path());
        let version = self.config_version();
        let mut route_until = None;
        if matches!(rejection, Rejection::Final(answer) if answer.is_no_route()) {
            let earlier = self.earlier_configs.borrow();
            let had_route = |config: &Arc<Config>| config.routes.find(host, path).is_some();
            route_until = earlier.find_latest(arrived, had_route).map(|config| config.version);
            self.missing_routes.borrow_mut().record(host, path, version, arrived);
        }
        if route_until.is_some() {
            counter!("skylarkdock_missing_routes_total", "change" => "removed").increment(1);
        }
        log::warn!(request:? = id, status = answer.status, reason = reason,
            host = missing_routes::cut(host), path = missing_routes::cut(path),
            body_bytes = incoming.body.len(), config = version,
            proven = self.status.config_proof().version,
            config_age_ms = self.status.config_age(arrived).0, route_until:? = route_until;
            "request: rejected before routing");
        answer
    }

    /// Logs the requests that were rejected for want of a route that the given configuration has.
    pub(super) fn record_found_routes(&self, config: &Config, now: HostTime) {
        let has_route = |host: &str, path: &str| config.routes.find(host, path).is_some();
        let found = self.missing_routes.borrow_mut().take_found(config.version, now, has_route);
        for missing in found {
            counter!("skylarkdock_missing_routes_total", "change" => "added").increment(1);
            log::warn!(host = missing.host.as_str(), path = missing.path.as_str(),
                rejected_by = missing.version, version = config.version,
                before:% = now.since(missing.at);
                "config: a request was rejected before its route was known");
        }
    }

    /// Returns the final answer to a request that exceeds its limits.
    pub(super) fn judge_size(&self, oversize: Oversize) -> Result<FinalAnswer, Unproven> {
        let allows = |earlier: &Config| oversize.may_be_within(&earlier.limits);
        self.not_allowed(oversize.fault(), oversize.version, clock::now(), allows)
    }

    /// Returns the final answer to a request without a route in the given version.
    fn without_route(&self, version: u64, arrived: HostTime) -> Result<FinalAnswer, Unproven> {
        Ok(FinalAnswer::no_route(self.prove_current(version, arrived)?))
    }

    /// Returns the final answer to a request that the given version does not allow. Its caller may have sent it by an earlier
    /// one. The request is not routed by that one, as a host must not go back to an older version.
    fn not_allowed(
        &self,
        fault: ConfigFault,
        version: u64,
        arrived: HostTime,
        allows: impl Fn(&Config) -> bool,
    ) -> Result<FinalAnswer, Unproven> {
        let current = self.prove_current(version, arrived)?;
        let earlier = self.earlier_configs.borrow();
        let none = earlier.prove_none_allows(arrived, |config| allows(config))?;
        Ok(FinalAnswer::not_allowed(fault, current, none))
    }

    /// Proves that a version may be in force when a request arrives.
    fn prove_current(&self, version: u64, arrived: HostTime) -> Result<CurrentConfig, Unproven> {
        let proof = self.status.config_proof();
        let evidence = Evidence {
            applied: version,
            proof,
            newest_known: self.versions.borrow().newest_unrefuted(proof),
            apply_time: self.settings.apply_time,
        };
        evidence.prove(arrived)
    }

    /// Selects a service of the route for a request. One without a key goes to services that need none, if there are any.
    fn pick_service(&self, route: &Route, config: &Config, has_key: bool) -> ServiceName {
        let services = route.split.services();
        let unsharded =
            if !has_key && services.iter().any(|entry| config.is_sharded(&entry.service)) {
                route.split.only(|service| !config.is_sharded(service))
            } else {
                None
            };
        let mut counts = self.route_counts.borrow_mut();
        // Each of the two splits has a count of its own, as its picks match its weights in runs of its own length.
        let count = counts
            .entry((Arc::clone(&route.name), unsharded.is_some()))
            .or_insert_with(|| fastrand::u64(..1 << 32));
        *count += 1;
        unsharded.as_ref().unwrap_or(&route.split).pick(*count).clone()
    }
}
