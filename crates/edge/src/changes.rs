//! Comparison and validation of configurations.

use crate::view::{Config, ServiceInfo};
use skylarkdock_dispatch::routes::Route;
use skylarkdock_units::collections::FastMap;
use std::fmt;
use std::sync::Arc;

/// Difference of a configuration from the one in force, or a fault for which it should not be published.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    /// The version is not higher than the one in force, so hosts ignore the configuration.
    NotNewer {
        /// The version in force.
        running: u64,
        /// The version of the new configuration.
        offered: u64,
    },
    /// A route refers to a service that the configuration does not list; its requests would be refused.
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: String,
    },
    /// A route or a service was added.
    Added(String),
    /// A route or a service was removed.
    Removed(String),
    /// A value was changed.
    Changed {
        /// Route, service or limits, and the name of the value.
        what: String,
        /// Previous value.
        from: String,
        /// New value.
        to: String,
    },
}

impl Change {
    /// Returns whether the configuration should not be published.
    pub const fn is_fault(&self) -> bool {
        matches!(self, Self::NotNewer { .. } | Self::UnknownService { .. })
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotNewer { running, offered } => {
                write!(f, "ignored: version {offered} is not above {running}, which is in force")
            }
            Self::UnknownService { route, service } => {
                write!(f, "route {route}: service {service} is not listed")
            }
            Self::Added(what) => write!(f, "{what}: added"),
            Self::Removed(what) => write!(f, "{what}: removed"),
            Self::Changed { what, from, to } => write!(f, "{what}: {from} -> {to}"),
        }
    }
}

/// Returns the faults of a configuration that can be found without the one in force.
pub fn faults(config: &Config) -> Vec<Change> {
    let mut faults: Vec<Change> = config
        .routes
        .iter()
        .flat_map(|route| route.split.services().iter().map(move |part| (route, part)))
        .filter(|(_, part)| !config.services.iter().any(|info| info.name == part.service))
        .map(|(route, part)| Change::UnknownService {
            route: route.name.to_string(),
            service: part.service.to_string(),
        })
        .collect();
    faults.sort();
    faults
}

/// Returns the changes from the configuration in force, `running`, to `offered`.
pub fn diff(running: &Config, offered: &Config) -> Vec<Change> {
    let mut changes = Vec::new();
    if offered.version <= running.version {
        let (running, offered) = (running.version, offered.version);
        changes.push(Change::NotNewer { running, offered });
    }
    let routes = |config: &Config| {
        let routes = config.routes.iter();
        routes.map(|route| (format!("route {}", route.name), route_values(route))).collect()
    };
    compare(&routes(running), &routes(offered), &mut changes);
    let services = |config: &Config| {
        let services = config.services.iter();
        services.map(|info| (format!("service {}", info.name), service_values(info))).collect()
    };
    compare(&services(running), &services(offered), &mut changes);
    let limits =
        |config: &Config| FastMap::from_iter([("limits".to_owned(), limit_values(config))]);
    compare(&limits(running), &limits(offered), &mut changes);
    changes.sort();
    changes
}

type FieldValues = Vec<(&'static str, String)>;

fn compare(
    old: &FastMap<String, FieldValues>,
    new: &FastMap<String, FieldValues>,
    out: &mut Vec<Change>,
) {
    let removed = old.keys().filter(|name| !new.contains_key(*name));
    out.extend(removed.map(|name| Change::Removed(name.clone())));
    for (name, values) in new {
        let Some(before) = old.get(name) else {
            out.push(Change::Added(name.clone()));
            continue;
        };
        let pairs = before.iter().zip(values).filter(|((_, from), (_, to))| from != to);
        out.extend(pairs.map(|((field, from), (_, to))| Change::Changed {
            what: format!("{name} {field}"),
            from: from.clone(),
            to: to.clone(),
        }));
    }
}

fn route_values(route: &Arc<Route>) -> FieldValues {
    let parts = route.split.services().iter();
    let split: Vec<String> =
        parts.map(|part| format!("{}={}", part.service, part.weight)).collect();
    vec![
        ("host", route.host.to_string()),
        ("prefix", route.prefix.to_string()),
        ("repeat", format!("{:?}", route.idempotency).to_lowercase()),
        ("services", split.join(",")),
        ("timeout", route.timeout.to_string()),
        ("objective", route.objective.to_string()),
        ("attempts", route.attempts.to_string()),
        ("rank", route.rank.to_string()),
    ]
}

fn service_values(info: &ServiceInfo) -> FieldValues {
    vec![
        ("divided by key", info.is_sharded.to_string()),
        ("connections", info.connection_limit.to_string()),
        ("health path", info.health_path.to_string()),
    ]
}

fn limit_values(config: &Config) -> FieldValues {
    let limits = &config.limits;
    vec![
        ("head", limits.head.to_string()),
        ("body", limits.body.to_string()),
        ("head time", limits.head_time.to_string()),
        ("idle time", limits.idle_time.to_string()),
    ]
}
