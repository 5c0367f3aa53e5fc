//! Route table: finds the route of a request by host and path prefix.

use crate::traffic_split::TrafficSplit;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::times::Millis;
use std::sync::Arc;

/// Whether a request may be sent again when an earlier attempt may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Idempotency {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    Once,
}

/// Matching rule and request settings of one route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route in logs.
    pub name: Arc<str>,
    /// Value of the `Host` header, in lower case.
    pub host: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may run more than once.
    pub idempotency: Idempotency,
    /// Services that run the requests, with their weights.
    pub split: TrafficSplit,
    /// Upper bound for the deadline of a request, from its arrival.
    pub timeout: Millis,
    /// Target time for an answer, from the arrival of the request.
    pub objective: Millis,
    /// Largest number of upstreams that one request may be sent to.
    pub attempts: u32,
    /// Scheduling rank; 0 is served first.
    pub rank: u8,
}

/// Routes of one configuration, by host and longest prefix.
#[derive(Debug, Clone, Default)]
pub struct Routes {
    by_host: FastMap<Arc<str>, Vec<Arc<Route>>>,
}

impl Routes {
    /// Builds the table from routes in any order.
    pub fn new(routes: impl IntoIterator<Item = Route>) -> Self {
        let mut by_host: FastMap<Arc<str>, Vec<Arc<Route>>> = FastMap::default();
        for route in routes {
            by_host.entry(Arc::clone(&route.host)).or_default().push(Arc::new(route));
        }
        for list in by_host.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { by_host }
    }

    /// Returns the route of `host` with the longest prefix of `path`. The host is matched without case; an entry with
    /// the port is used if there is none without it.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let lower_case = host.to_ascii_lowercase();
        let name = without_port(&lower_case);
        let list = self.by_host.get(name).or_else(|| self.by_host.get(lower_case.as_str()))?;
        list.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Iterates over the routes in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flatten()
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// Returns whether the table has no route.
    pub fn is_empty(&self) -> bool {
        self.by_host.is_empty()
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if !port.is_empty() && port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}
