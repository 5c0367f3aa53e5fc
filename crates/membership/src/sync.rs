//! Rate limits of the exchange of tables with other hosts.

use crate::config::{MAX_CHUNKS_PER_ROUND, MIN_PULL_INTERVAL_MS, QUIET_BEFORE_PULL_MS};
use crate::random::SplitMix64;
use skylarkdock_units::ids::HostId;
use skylarkdock_units::times::{HostTime, Millis};

/// Number of pull intervals after which a pull is no longer postponed because of ongoing changes.
const MAX_POSTPONED_INTERVALS: u64 = 5;

/// Decides when to pull another host's table and how many chunks to send.
#[derive(Debug, Default)]
pub(crate) struct TableSync {
    next_pull: Option<HostTime>,
    last_change: Option<HostTime>,
    pulling_from: Option<HostId>,
    chunks_sent: usize,
}

impl TableSync {
    /// Resets the number of chunks sent, at the start of a round.
    pub(crate) const fn start_round(&mut self) {
        self.chunks_sent = 0;
    }

    pub(crate) const fn record_change(&mut self, now: HostTime) {
        self.last_change = Some(now);
    }

    /// Returns whether to pull from a host whose table differs, and if so schedules the next pull.
    pub(crate) fn start_pull(
        &mut self,
        from: &HostId,
        now: HostTime,
        rng: &mut SplitMix64,
    ) -> bool {
        if !self.may_pull(now) {
            return false;
        }
        let max_jitter = usize::try_from(MIN_PULL_INTERVAL_MS.0).unwrap_or_default();
        self.next_pull = Some(now + MIN_PULL_INTERVAL_MS + Millis(rng.below(max_jitter) as u64));
        self.pulling_from = Some(from.clone());
        true
    }

    fn may_pull(&self, now: HostTime) -> bool {
        let Some(next) = self.next_pull else { return true };
        let is_quiet = self.last_change.is_none_or(|last| now.since(last) >= QUIET_BEFORE_PULL_MS);
        let is_overdue = now >= next + Millis(MAX_POSTPONED_INTERVALS * MIN_PULL_INTERVAL_MS.0);
        is_overdue || (is_quiet && now >= next)
    }

    /// Returns whether the pull in progress is from this host, so that its chunks are accepted.
    pub(crate) fn expects_chunk_from(&self, from: &HostId) -> bool {
        self.pulling_from.as_ref() == Some(from)
    }

    pub(crate) fn finish_pull(&mut self) {
        self.pulling_from = None;
    }

    /// Returns whether the round's limit allows to send another chunk, and counts it.
    pub(crate) const fn reserve_chunk(&mut self) -> bool {
        let is_allowed = self.chunks_sent < MAX_CHUNKS_PER_ROUND;
        self.chunks_sent += 1;
        is_allowed
    }
}
