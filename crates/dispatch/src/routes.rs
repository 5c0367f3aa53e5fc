//! Route table: finds the route of a request by host and path prefix.

use crate::regions::AllowedRegions;
use crate::traffic_split::TrafficSplit;
use crate::uri::{self, Authority};
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::times::Millis;
use std::cmp::Reverse;
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
    /// Regions in which requests may be served.
    pub regions: AllowedRegions,
}

/// Route with the normalized forms of its host and prefix.
#[derive(Debug, Clone)]
struct NormalizedRoute {
    port: Option<String>,
    prefix: String,
    route: Arc<Route>,
}

/// Routes of one configuration, by host and longest prefix.
#[derive(Debug, Clone, Default)]
pub struct Routes {
    by_host: FastMap<Arc<str>, Vec<Arc<Route>>>,
    by_name: FastMap<String, Vec<NormalizedRoute>>,
}

impl Routes {
    /// Builds the table from routes in any order.
    pub fn new(routes: impl IntoIterator<Item = Route>) -> Self {
        let mut by_host: FastMap<Arc<str>, Vec<Arc<Route>>> = FastMap::default();
        let mut by_name: FastMap<String, Vec<NormalizedRoute>> = FastMap::default();
        for route in routes {
            let route = Arc::new(route);
            let Authority { name, port } = Authority::parse(&route.host);
            let prefix = uri::normalize_path(&route.prefix);
            let normalized = NormalizedRoute { port, prefix, route: Arc::clone(&route) };
            by_name.entry(name).or_default().push(normalized);
            by_host.entry(Arc::clone(&route.host)).or_default().push(route);
        }
        for list in by_host.values_mut() {
            list.sort_by_key(|route| Reverse(route.prefix.len()));
        }
        for list in by_name.values_mut() {
            // All hosts agree on the route where several hosts of the configuration have the same name.
            list.sort_by(|a, b| {
                let key = |entry: &NormalizedRoute| Reverse(entry.prefix.len());
                key(a).cmp(&key(b)).then_with(|| a.route.host.cmp(&b.route.host))
            });
        }
        Self { by_host, by_name }
    }

    /// Returns the route of `host`, the value of a `Host` field, with the longest prefix of `path`. Where none matches as it
    /// is written, an equivalent host counts (without a port, or with the dot of the root zone), then an equivalent path
    /// (RFC 3986, section 6.2.2).
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let literal = self.by_host.get(host.to_ascii_lowercase().as_str());
        let is_match = |route: &&Arc<Route>| path.starts_with(&*route.prefix);
        literal.and_then(|list| list.iter().find(is_match)).or_else(|| {
            let normalized = self.find_normalized(&Authority::parse(host), path);
            normalized.map(|entry| &entry.route)
        })
    }

    fn find_normalized(&self, host: &Authority, path: &str) -> Option<&NormalizedRoute> {
        let list = self.by_name.get(&host.name)?;
        let is_host = |entry: &&NormalizedRoute| host.allows_port(entry.port.as_deref());
        let mut entries = list.iter().filter(is_host);
        entries.clone().find(|entry| path.starts_with(&*entry.route.prefix)).or_else(|| {
            let path = uri::normalize_path(path);
            entries.find(|entry| path.starts_with(&entry.prefix))
        })
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
