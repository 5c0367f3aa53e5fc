//! Lifetimes and time-outs that keep two upstreams from holding the same key.

use skylarkdock_units::times::Millis;

/// Timing of grants. It must be equal on all hosts: a leader derives from its own when a keeper's grants have expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Lifetime of a grant, counted from its arrival at the upstream.
    pub hold: Millis,
    /// Time-out of a call to an upstream, after which its connection is reset. The reset also discards data that is
    /// still in transit, so the call can't arrive later.
    pub call_timeout: Millis,
    /// How long a keeper may renew grants after its last proof that no newer table exists.
    pub proof_lifetime: Millis,
}

/// Number of renewal intervals in one grant lifetime.
const RENEWALS_PER_HOLD: u64 = 4;
/// How much slower than the host's clock an upstream's clock may run, in percent.
const CLOCK_DRIFT_PERCENT: u64 = 2;
/// Allowance for the delay between the decision to send a grant and the start of the call.
const SEND_MARGIN: Millis = Millis(250);

impl Timing {
    /// Returns the time between two renewals of a grant.
    pub const fn renewal_interval(&self) -> Millis {
        Millis(self.hold.0 / RENEWALS_PER_HOLD)
    }

    /// Returns the time after which a grant has certainly expired, counted from the decision to send it.
    pub const fn grant_expiry(&self) -> Millis {
        let drift = self.hold.0 * CLOCK_DRIFT_PERCENT / 100;
        Millis(self.hold.0 + drift + self.call_timeout.0 + SEND_MARGIN.0)
    }

    /// Returns the time after which every grant of a replaced table has certainly expired, counted from the
    /// replacement. Keepers that have not received the new table may renew until their proof expires.
    pub const fn expiry_without_acks(&self) -> Millis {
        Millis(self.proof_lifetime.0 + self.grant_expiry().0)
    }
}
