//! Timeouts and intervals of leases.

use skylarkdock_units::times::Millis;

const HEARTBEAT_INTERVAL_MS: u64 = 100;
const PROMISE_DURATION_MS: u64 = 400;
const SUSPECT_TIMEOUT_MS: u64 = 250;
const TAKEOVER_STAGGER_MS: u64 = 150;
const DRIFT_PERCENT: u32 = 2;
const SESSION_TIMEOUT_MS: u64 = 30_000;
const DRAIN_LIMIT_MS: u64 = 10_000;

/// Rounding error of a promise's end: clock readings of the holder, the witness and the claimant
/// are each rounded down by less than 1 ms.
const ROUNDING_MS: u64 = 3;

/// Timeouts and intervals of leases; must be the same on all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Interval between heartbeats to the same host.
    pub heartbeat_interval: Millis,
    /// How long a witness's promise lasts after it receives a heartbeat.
    pub promise_duration: Millis,
    /// Silence after which a host no longer counts as live and a witness lets another member take
    /// over from it.
    pub suspect_timeout: Millis,
    /// Additional delay before a takeover for each place in the order of succession.
    pub takeover_stagger: Millis,
    /// Largest difference in rate between two hosts' clocks, in percent.
    pub drift_percent: u32,
    /// Idle time after which a witness closes a host's session.
    pub session_timeout: Millis,
    /// Longest time that a draining holder delays a newer lease.
    pub drain_limit: Millis,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_interval: Millis(HEARTBEAT_INTERVAL_MS),
            promise_duration: Millis(PROMISE_DURATION_MS),
            suspect_timeout: Millis(SUSPECT_TIMEOUT_MS),
            takeover_stagger: Millis(TAKEOVER_STAGGER_MS),
            drift_percent: DRIFT_PERCENT,
            session_timeout: Millis(SESSION_TIMEOUT_MS),
            drain_limit: Millis(DRAIN_LIMIT_MS),
        }
    }
}

impl Timing {
    /// Returns how long a holder may rely on a promise, counted from when it sent the heartbeat.
    pub fn usable_promise(&self) -> Millis {
        let drift = (self.promise_duration.0 * u64::from(self.drift_percent)).div_ceil(100);
        self.promise_duration.saturating_sub(Millis(drift + ROUNDING_MS))
    }

    /// Returns the idle time after which a session is closed; at least two promise durations.
    pub fn effective_session_timeout(&self) -> Millis {
        Millis(self.session_timeout.0.max(2 * self.promise_duration.0))
    }

    /// Returns how long the holder must be silent before the member `rank` places behind it claims.
    pub(crate) fn takeover_delay(&self, rank: usize) -> Millis {
        Millis(self.suspect_timeout.0 + self.takeover_stagger.0 * rank as u64)
    }
}
