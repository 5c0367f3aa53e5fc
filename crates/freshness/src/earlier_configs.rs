//! Configurations that were in force until recently. Callers may still follow them.
//!
//! A configuration may be in force until the next one has been acknowledged for the apply time. A host may get the next one
//! before that is acknowledged, and may miss versions in between. So what an earlier configuration allows is not known
//! until the newest one can be the only one in force.

use crate::final_answers::{NoneAllows, Unproven};
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::VecDeque;

/// Allowance for the time from when hosts can read a version until it is acknowledged, in percent of the apply time.
const LATE_ACK_PERCENT: u64 = 250;
/// Number of replaced configurations that are remembered, to tell what they allow.
const MAX_REPLACED: usize = 8;

/// Configurations that may still be in force beside the one that a host applies.
#[derive(Debug)]
pub struct EarlierConfigs<T> {
    /// Each with the time at which the host learned of the next one.
    replaced: VecDeque<(T, HostTime)>,
    /// When the host learned of the configuration that it applies.
    applied_at: Option<HostTime>,
    /// Time after that from which on it is the only one in force.
    window: Millis,
}

impl<T> EarlierConfigs<T> {
    /// Creates the state of a host that has no configuration yet. `apply_time` is the time from its acknowledgement within
    /// which a version has to be in force.
    pub const fn new(apply_time: Millis) -> Self {
        let late_ack = apply_time.0.saturating_mul(LATE_ACK_PERCENT) / 100;
        let window = Millis(apply_time.0.saturating_add(late_ack));
        Self { replaced: VecDeque::new(), applied_at: None, window }
    }

    /// Records that the host applies another configuration, instead of `replaced` if it had one before.
    pub fn on_applied(&mut self, replaced: Option<T>, now: HostTime) {
        self.replaced.retain(|(_, at)| now.since(*at) < self.window);
        if let Some(config) = replaced {
            self.replaced.push_back((config, now));
        }
        while self.replaced.len() > MAX_REPLACED {
            self.replaced.pop_front();
        }
        self.applied_at = Some(now);
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
        let applied_at = self.applied_at.ok_or(Unproven::NoConfig)?;
        if now.since(applied_at) >= self.window {
            return Ok(NoneAllows::new());
        }
        if self.recent(now).any(allows) {
            return Err(Unproven::EarlierAllows);
        }
        Err(Unproven::EarlierUnknown)
    }

    /// Returns the latest of the configurations that has a property, of those that may still be in force and are remembered.
    pub fn find_latest(&self, now: HostTime, has_property: impl Fn(&T) -> bool) -> Option<&T> {
        self.recent(now).rev().find(|config| has_property(config))
    }

    fn recent(&self, now: HostTime) -> impl DoubleEndedIterator<Item = &T> {
        let is_recent = move |at: HostTime| now.since(at) < self.window;
        self.replaced.iter().filter(move |(_, at)| is_recent(*at)).map(|(config, _)| config)
    }
}
