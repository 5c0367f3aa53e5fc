//! Routes: which service may run a request, and what may be repeated.

use crate::split::Split;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::times::Millis;
use std::sync::Arc;

/// What may be done with a request whose fate is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Repeat {
    /// It may run any number of times.
    Idempotent,
    /// It may run once at most.
    Once,
}

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: Arc<str>,
    /// Value of the `Host` header, in lower case.
    pub host: Arc<str>,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Services that run the requests, by weight.
    pub split: Split,
    /// Longest time that a request is kept waiting.
    pub timeout: Millis,
    /// Time within which an answer has its full worth.
    pub objective: Millis,
    /// Most upstreams that one request may be sent to.
    pub attempts: u32,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
}

/// All routes of a configuration.
#[derive(Debug, Clone, Default)]
pub struct Routes {
    by_host: FastMap<Arc<str>, Vec<Arc<Route>>>,
}

impl Routes {
    /// Builds the table.
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

    /// Returns the route with the longest prefix that begins `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let lower = host.to_ascii_lowercase();
        let name = without_port(&lower);
        let list = self.by_host.get(name).or_else(|| self.by_host.get(lower.as_str()))?;
        list.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns every route.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flatten()
    }

    /// Returns how many routes there are.
    pub fn len(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// Returns whether there is no route.
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
