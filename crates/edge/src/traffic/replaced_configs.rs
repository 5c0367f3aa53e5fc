//! Configurations that were in force until recently. Callers may still follow them.

use crate::view::Config;
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::VecDeque;
use std::sync::Arc;

/// Number of replaced configurations that are remembered; older ones are dropped even if callers may follow them.
const MAX_REPLACED: usize = 8;

/// Configurations that were replaced within the time in which the next one has to be in force, each with the time at
/// which the host learned of the next one.
#[derive(Default)]
pub(super) struct ReplacedConfigs(VecDeque<(Arc<Config>, HostTime)>);

impl ReplacedConfigs {
    /// Drops the configurations that no caller follows any more, and adds `known` if it is replaced by `newest`.
    pub(super) fn update(
        &mut self,
        known: Option<&Arc<Config>>,
        newest: Option<&Arc<Config>>,
        apply_time: Millis,
        now: HostTime,
    ) {
        self.0.retain(|(_, at)| now.since(*at) < apply_time);
        if let Some(known) = known
            && newest.is_some_and(|newest| newest.version != known.version)
        {
            self.0.push_back((Arc::clone(known), now));
        }
        while self.0.len() > MAX_REPLACED {
            self.0.pop_front();
        }
    }

    /// Returns whether a configuration that callers may still follow takes a request without a sharding key.
    pub(super) fn allow_without_key(
        &self,
        host: &str,
        path: &str,
        apply_time: Millis,
        now: HostTime,
    ) -> bool {
        let recent = self.0.iter().filter(|(_, at)| now.since(*at) < apply_time);
        recent.map(|(config, _)| config).any(|config| {
            let route = config.routes.find(host, path);
            route.is_some_and(|route| {
                route.split.only(|service| !config.is_sharded(service)).is_some()
            })
        })
    }

    /// Returns the latest replaced version that has a route for a request.
    pub(super) fn version_with_route(&self, host: &str, path: &str) -> Option<u64> {
        let mut configs = self.0.iter().rev().map(|(config, _)| config);
        configs.find(|config| config.routes.find(host, path).is_some()).map(|config| config.version)
    }
}
