//! When to pull another host's table, and how much to answer.

use crate::config::{MAX_CHUNKS_PER_ROUND, MIN_PULL_INTERVAL_MS, QUIET_BEFORE_PULL_MS};
use crate::random::Random;
use skylarkdock_units::ids::HostId;
use skylarkdock_units::times::{HostTime, Millis};

/// Pulls in a row that changes may put off.
const MAX_DELAYS: u64 = 5;

/// Rate limits of table exchanges.
#[derive(Debug, Default)]
pub(crate) struct Sync {
    next_pull: Option<HostTime>,
    last_change: Option<HostTime>,
    pulling: Option<HostId>,
    chunks_sent: usize,
}

impl Sync {
    /// Starts a round, in which some chunks may be sent.
    pub(crate) const fn start_round(&mut self) {
        self.chunks_sent = 0;
    }

    pub(crate) const fn changed(&mut self, now: HostTime) {
        self.last_change = Some(now);
    }

    /// Decides whether to pull from a host whose table differs.
    pub(crate) fn pull(&mut self, from: &HostId, now: HostTime, random: &mut Random) -> bool {
        if !self.may_pull(now) {
            return false;
        }
        let spread = usize::try_from(MIN_PULL_INTERVAL_MS.0).unwrap_or_default();
        self.next_pull = Some(now + MIN_PULL_INTERVAL_MS + Millis(random.below(spread) as u64));
        self.pulling = Some(from.clone());
        true
    }

    fn may_pull(&self, now: HostTime) -> bool {
        let Some(next) = self.next_pull else { return true };
        let quiet =
            self.last_change.is_none_or(|changed| now.since(changed) >= QUIET_BEFORE_PULL_MS);
        let overdue = now >= next + Millis(MAX_DELAYS * MIN_PULL_INTERVAL_MS.0);
        overdue || (quiet && now >= next)
    }

    /// Tells whether a chunk was asked for.
    pub(crate) fn expects(&self, from: &HostId) -> bool {
        self.pulling.as_ref() == Some(from)
    }

    pub(crate) fn finish(&mut self) {
        self.pulling = None;
    }

    /// Takes one chunk out of the round's budget.
    pub(crate) const fn take_chunk(&mut self) -> bool {
        let allowed = self.chunks_sent < MAX_CHUNKS_PER_ROUND;
        self.chunks_sent += 1;
        allowed
    }
}
