//! Configurations that were in force until recently. Callers may still follow them.

use crate::final_answers::{NoneAllows, Unproven};
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::VecDeque;

/// Number of replaced configurations that are remembered; older ones are dropped even if callers may follow them.
const MAX_REPLACED: usize = 8;

/// Configurations that were replaced within the time in which the next one has to be in force.
#[derive(Debug)]
pub struct EarlierConfigs<T> {
    /// Each with the time at which the host learned of the next one.
    replaced: VecDeque<(T, HostTime)>,
    apply_time: Millis,
}

impl<T> EarlierConfigs<T> {
    /// Creates the state of a host that has no configuration yet. `apply_time` is the time from its acknowledgement within
    /// which a version has to be in force.
    pub const fn new(apply_time: Millis) -> Self {
        Self { replaced: VecDeque::new(), apply_time }
    }

    /// Records that the host applies another configuration, instead of `replaced` if it had one before.
    pub fn on_applied(&mut self, replaced: Option<T>, now: HostTime) {
        self.replaced.retain(|(_, at)| now.since(*at) < self.apply_time);
        if let Some(config) = replaced {
            self.replaced.push_back((config, now));
        }
        while self.replaced.len() > MAX_REPLACED {
            self.replaced.pop_front();
        }
    }

    /// Proves that no earlier configuration that may still be in force allows a request.
    ///
    /// # Errors
    ///
    /// Returns what the proof lacks.
    pub fn prove_none_allows(
        &self,
        now: HostTime,
        allows: impl Fn(&T) -> bool,
    ) -> Result<NoneAllows, Unproven> {
        let mut recent = self.replaced.iter().filter(|(_, at)| now.since(*at) < self.apply_time);
        if recent.any(|(config, _)| allows(config)) {
            return Err(Unproven::EarlierAllows);
        }
        Ok(NoneAllows::new())
    }

    /// Returns the latest of the remembered configurations that has a property.
    pub fn find_latest(&self, has_property: impl Fn(&T) -> bool) -> Option<&T> {
        self.replaced.iter().rev().map(|(config, _)| config).find(|config| has_property(config))
    }
}
