//! Times that ownership rests on.

use skylarkdock_units::times::Millis;

/// Settings of ownership, equal on all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// How long a grant holds from its arrival at the upstream.
    pub hold: Millis,
    /// How long a call to an upstream may take before its connection is reset. What is held up on
    /// the way is lost with the reset.
    pub call_timeout: Millis,
    /// How long a keeper renews without proof that its table is the newest.
    pub proof_lifetime: Millis,
}

/// Time between renewals, as a divisor of the hold: three may be lost in a row.
const RENEWALS_PER_HOLD: u64 = 4;
/// How much slower an upstream's clock may run, in percent.
const CLOCK_DRIFT_PERCENT: u64 = 2;
/// Allowance for the time between a decision to send and the send itself.
const SEND_MARGIN: Millis = Millis(250);

impl Timing {
    /// Returns the time between renewals.
    pub const fn renewal_interval(&self) -> Millis {
        Millis(self.hold.0 / RENEWALS_PER_HOLD)
    }

    /// Returns the time after which a grant has lapsed for sure, counted from the decision to send it.
    pub const fn lapse(&self) -> Millis {
        let drift = self.hold.0 * CLOCK_DRIFT_PERCENT / 100;
        Millis(self.hold.0 + drift + self.call_timeout.0 + SEND_MARGIN.0)
    }

    /// Returns the time after which every grant of a replaced table has lapsed for sure, counted from when the table
    /// was replaced: keepers that did not hear of it may renew until their proof ends.
    pub const fn lapse_without_keepers(&self) -> Millis {
        Millis(self.proof_lifetime.0 + self.lapse().0)
    }
}
