//! Intervals, timeouts and limits of the gossip protocol.

use skylarkdock_units::times::Millis;

/// Interval between probe rounds.
pub const PROBE_INTERVAL_MS: Millis = Millis(200);
/// Time without an answer after which other hosts are asked to probe a host.
pub const INDIRECT_PROBE_AFTER_MS: Millis = Millis(400);
/// Time without an answer after which a host becomes suspect.
pub const SUSPECT_AFTER_MS: Millis = Millis(1200);
/// Time that a suspect host has to refute the suspicion before it is marked gone.
pub const SUSPICION_TIMEOUT_MS: Millis = Millis(5000);
/// Time for which the table keeps a gone host.
pub const GONE_RETENTION_MS: Millis = Millis(600_000);
/// Time for which the table keeps a gone host that the platform does not list.
pub const UNLISTED_GONE_RETENTION_MS: Millis = Millis(60_000);
/// Minimum interval between pulls of other hosts' tables.
pub const MIN_PULL_INTERVAL_MS: Millis = Millis(2000);
/// Time without changes to the table before a pull from a host whose table differs.
pub const QUIET_BEFORE_PULL_MS: Millis = Millis(1000);

/// Number of successors in the ring that a host probes in each round.
pub const PROBED_SUCCESSORS: usize = 2;
/// Number of hosts asked to probe an unresponsive host in one round.
pub const INDIRECT_PROBES_PER_ROUND: usize = 2;
/// Maximum number of hosts with an unanswered probe.
pub const MAX_PENDING_PROBES: usize = 16;
/// Maximum number of outstanding probes made at the request of other hosts.
pub const MAX_RELAYED_PROBES: usize = 64;
/// Maximum number of changes in one message, not counting the entry of the receiver itself.
pub const MAX_CHANGES_PER_MESSAGE: usize = 12;
/// Maximum number of changes that one message to a host with the same table digest counts as sent.
pub const MAX_CHANGES_COUNTED_IN_SYNC: usize = 48;
/// Maximum number of entries in one chunk of a table.
pub const MAX_CHUNK_ENTRIES: usize = 40;
/// Maximum number of chunks sent to other hosts in one round.
pub const MAX_CHUNKS_PER_ROUND: usize = 8;
/// Maximum number of hosts in the table, including those gone.
pub const MAX_HOSTS: usize = 2048;

/// Timing of the gossip protocol.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    pub(crate) probe_interval: Millis,
    pub(crate) indirect_probe_after: Millis,
    pub(crate) suspect_after: Millis,
    pub(crate) suspicion_timeout: Millis,
    pub(crate) gone_retention: Millis,
    pub(crate) unlisted_gone_retention: Millis,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            probe_interval: PROBE_INTERVAL_MS,
            indirect_probe_after: INDIRECT_PROBE_AFTER_MS,
            suspect_after: SUSPECT_AFTER_MS,
            suspicion_timeout: SUSPICION_TIMEOUT_MS,
            gone_retention: GONE_RETENTION_MS,
            unlisted_gone_retention: UNLISTED_GONE_RETENTION_MS,
        }
    }
}

impl Config {
    /// Sets the interval between probe rounds.
    #[must_use]
    pub const fn probe_interval(mut self, probe_interval: Millis) -> Self {
        self.probe_interval = probe_interval;
        self
    }

    /// Sets how long a host may leave probes unanswered before it is probed indirectly, and before it
    /// becomes suspect.
    #[must_use]
    pub const fn silence_timeouts(
        mut self,
        indirect_probe_after: Millis,
        suspect_after: Millis,
    ) -> Self {
        self.indirect_probe_after = indirect_probe_after;
        self.suspect_after = suspect_after;
        self
    }

    /// Sets the time that a suspect host has to refute the suspicion before it is marked gone.
    #[must_use]
    pub const fn suspicion_timeout(mut self, suspicion_timeout: Millis) -> Self {
        self.suspicion_timeout = suspicion_timeout;
        self
    }

    /// Sets for how long the table keeps gone hosts, and those that the platform does not list.
    #[must_use]
    pub const fn gone_retention(mut self, gone_retention: Millis, unlisted: Millis) -> Self {
        self.gone_retention = gone_retention;
        self.unlisted_gone_retention = unlisted;
        self
    }
}
