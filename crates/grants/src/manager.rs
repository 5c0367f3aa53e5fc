//! State machine that requests, renews and withdraws the grants of one upstream.

use skylarkdock_units::ids::{Epoch, RangeIndex};
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::BTreeMap;

/// Duration of a grant, counted from the reading of the upstream's clock that it is based on.
pub const GRANT_DURATION_MS: Millis = Millis(400);

/// Interval between renewals of an upstream's grants.
pub const RENEWAL_INTERVAL_MS: Millis = Millis(100);

/// Maximum drift between the clocks of the host and the upstream during one grant.
pub const MAX_CLOCK_DRIFT_MS: Millis = Millis(8);

/// Timeout of a [`Call`], which the code that makes the call has to enforce.
pub const CALL_TIMEOUT_MS: Millis = Millis(250);

/// Timeout of a withdrawal, including the time in which the upstream waits for running requests.
pub const WITHDRAW_TIMEOUT_MS: Millis = Millis(1_250);

/// A range and the fencing token under which it is granted or withdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FencedRange {
    /// The range that the token applies to.
    pub range: RangeIndex,
    /// The fencing token. An upstream refuses a token smaller than one it has seen for the range.
    pub token: Epoch,
}

/// A call to make to the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Reads the upstream's clock, as a base for the grants' expiry.
    ReadClock,
    /// Grants or renews ranges.
    Renew {
        /// Ranges that the upstream may serve.
        grants: Vec<FencedRange>,
        /// Expiry of the grants, by the upstream's clock.
        until: Millis,
    },
}

/// Outcome of a [`Call`] to the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The upstream answered.
    Answered {
        /// The upstream's clock when it answered.
        now: Millis,
        /// Ranges refused because the upstream has seen a larger fencing token.
        refused: Vec<RangeIndex>,
    },
    /// The upstream does not check grants and fencing tokens.
    FencingUnsupported,
    /// The call failed, timed out or got an invalid response; the upstream may still have acted on it.
    NoResponse,
}

/// State of a range's grant at this upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantPhase {
    /// A grant is requested and not yet confirmed.
    Requested,
    /// The upstream has confirmed the grant and may receive requests.
    Granted,
    /// The upstream has seen a larger fencing token, so this host no longer holds the range.
    Fenced,
    /// The grant is being withdrawn; the upstream may still serve the range.
    Withdrawing,
    /// The upstream no longer serves the range.
    Released,
}

#[derive(Debug, Clone, Copy)]
struct GrantState {
    token: Epoch,
    phase: GrantPhase,
    /// Time by which every grant of the range has expired, by this host's clock.
    expiry: HostTime,
    /// Whether the renewal in flight includes this range.
    renewal_in_flight: bool,
    /// Time until which a renewal that got no response may still take effect.
    unconfirmed_until: HostTime,
}

#[derive(Debug, Clone, Copy)]
struct ClockReading {
    upstream_clock: Millis,
    /// When the response with the reading arrived, which is an upper bound for when it was taken.
    received_at: HostTime,
}

/// Tracks the grants of one upstream and decides which calls to make to it.
#[derive(Debug, Default)]
pub struct GrantManager {
    entries: BTreeMap<RangeIndex, GrantState>,
    clock_reading: Option<ClockReading>,
    call_in_flight: bool,
    withdrawal_in_flight: bool,
    last_renewal: Option<HostTime>,
    fencing_unsupported: bool,
}

impl GrantManager {
    /// Requests a grant for a range. `expiry` is the time by which all grants of earlier holders have
    /// expired.
    pub fn request_grant(&mut self, range: RangeIndex, token: Epoch, expiry: HostTime) {
        let phase =
            if self.fencing_unsupported { GrantPhase::Granted } else { GrantPhase::Requested };
        let existing = self.entries.get(&range);
        let unconfirmed_until = existing.map_or(HostTime(0), |entry| entry.unconfirmed_until);
        let expiry = existing.map_or(expiry, |entry| entry.expiry.max(expiry));
        self.entries.insert(
            range,
            GrantState { token, phase, expiry, renewal_in_flight: false, unconfirmed_until },
        );
        self.last_renewal = None;
    }

    /// Starts to withdraw the grant of a range.
    pub fn withdraw(&mut self, range: RangeIndex) {
        if let Some(entry) = self.entries.get_mut(&range) {
            entry.phase = GrantPhase::Withdrawing;
        }
    }

    /// Drops a range that this host no longer holds, without a call to the upstream.
    pub fn forget(&mut self, range: RangeIndex) {
        self.entries.remove(&range);
    }

    /// Returns the state of a range's grant.
    pub fn phase(&self, range: RangeIndex, now: HostTime) -> GrantPhase {
        match self.entries.get(&range) {
            None => GrantPhase::Released,
            Some(entry) if entry.phase == GrantPhase::Withdrawing && now > entry.expiry => {
                GrantPhase::Released
            }
            Some(entry) => entry.phase,
        }
    }

    /// Returns whether the upstream does not check grants, in which case it gets no calls.
    pub fn is_fencing_unsupported(&self) -> bool {
        self.fencing_unsupported
    }

    /// Returns whether the manager tracks no range, and so has no call to make.
    pub fn is_idle(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the next call to make, if one is due and none is in flight. The caller reports its
    /// outcome, also when it fails or exceeds [`CALL_TIMEOUT_MS`], with
    /// [`GrantManager::handle_outcome`].
    pub fn poll(&mut self, now: HostTime) -> Option<Call> {
        self.remove_released(now);
        let recently_renewed =
            self.last_renewal.is_some_and(|last| now.since(last) < RENEWAL_INTERVAL_MS);
        if self.call_in_flight || self.fencing_unsupported || recently_renewed || !self.has_grants()
        {
            return None;
        }
        self.call_in_flight = true;
        self.last_renewal = Some(now);
        Some(self.build_call(now))
    }

    /// Returns the ranges to withdraw in one call, if there are any and no withdrawal is in flight.
    /// The caller reports its outcome, also when it fails or exceeds [`WITHDRAW_TIMEOUT_MS`], with
    /// [`GrantManager::handle_withdrawal`].
    pub fn poll_withdrawals(&mut self) -> Option<Vec<FencedRange>> {
        if self.withdrawal_in_flight || self.fencing_unsupported {
            return None;
        }
        let due = self.entries.iter().filter(|(_, entry)| entry.phase == GrantPhase::Withdrawing);
        let ranges: Vec<_> =
            due.map(|(range, entry)| FencedRange { range: *range, token: entry.token }).collect();
        self.withdrawal_in_flight = !ranges.is_empty();
        self.withdrawal_in_flight.then_some(ranges)
    }

    fn has_grants(&self) -> bool {
        let mut entries = self.entries.values();
        entries.any(|entry| matches!(entry.phase, GrantPhase::Requested | GrantPhase::Granted))
    }

    fn remove_released(&mut self, now: HostTime) {
        let is_released =
            |entry: &GrantState| entry.phase == GrantPhase::Withdrawing && now > entry.expiry;
        self.entries.retain(|_, entry| !is_released(entry));
    }

    fn build_call(&mut self, now: HostTime) -> Call {
        let is_recent = |reading: &ClockReading| now.since(reading.received_at) < GRANT_DURATION_MS;
        let Some(reading) = self.clock_reading.filter(is_recent) else { return Call::ReadClock };
        let expiry = reading.received_at + GRANT_DURATION_MS + MAX_CLOCK_DRIFT_MS;
        let mut grants = Vec::new();
        for (range, entry) in &mut self.entries {
            if matches!(entry.phase, GrantPhase::Requested | GrantPhase::Granted) {
                entry.expiry = entry.expiry.max(expiry);
                entry.renewal_in_flight = true;
                grants.push(FencedRange { range: *range, token: entry.token });
            }
        }
        Call::Renew { grants, until: reading.upstream_clock + GRANT_DURATION_MS }
    }

    /// Handles the outcome of the call that [`GrantManager::poll`] returned last.
    pub fn handle_outcome(&mut self, now: HostTime, outcome: CallOutcome) {
        self.call_in_flight = false;
        let renewed_ranges = self.take_renewed_ranges();
        match outcome {
            CallOutcome::NoResponse => self.mark_unconfirmed(&renewed_ranges),
            CallOutcome::FencingUnsupported => self.set_fencing_unsupported(),
            CallOutcome::Answered { now: upstream_clock, refused } => {
                if self.clock_reading.is_none() {
                    self.last_renewal = None;
                }
                self.clock_reading = Some(ClockReading { upstream_clock, received_at: now });
                self.apply_renewal(&renewed_ranges, &refused);
            }
        }
    }

    /// Handles the outcome of the withdrawal that [`GrantManager::poll_withdrawals`] returned last.
    /// `confirmed` says that the upstream no longer serves any of these ranges.
    pub fn handle_withdrawal(&mut self, now: HostTime, ranges: &[FencedRange], confirmed: bool) {
        self.withdrawal_in_flight = false;
        for withdrawn in ranges.iter().filter(|_| confirmed) {
            let entry = self.entries.get(&withdrawn.range);
            let has_no_open_renewal =
                |entry: &GrantState| !entry.renewal_in_flight && now > entry.unconfirmed_until;
            let is_confirmed = |entry: &GrantState| {
                entry.phase == GrantPhase::Withdrawing
                    && entry.token == withdrawn.token
                    && has_no_open_renewal(entry)
            };
            if entry.is_some_and(is_confirmed) {
                self.entries.remove(&withdrawn.range);
            }
        }
    }

    fn mark_unconfirmed(&mut self, renewed_ranges: &[RangeIndex]) {
        for range in renewed_ranges {
            if let Some(entry) = self.entries.get_mut(range) {
                entry.unconfirmed_until = entry.expiry;
            }
        }
    }

    fn take_renewed_ranges(&mut self) -> Vec<RangeIndex> {
        let renewed_ranges = self.entries.iter_mut().filter_map(|(range, entry)| {
            std::mem::take(&mut entry.renewal_in_flight).then_some(*range)
        });
        renewed_ranges.collect()
    }

    fn set_fencing_unsupported(&mut self) {
        self.fencing_unsupported = true;
        for entry in self.entries.values_mut() {
            // The upstream may have taken grants before, which then have to expire.
            if entry.phase != GrantPhase::Withdrawing {
                entry.phase = GrantPhase::Granted;
            }
        }
    }

    fn apply_renewal(&mut self, renewed_ranges: &[RangeIndex], refused: &[RangeIndex]) {
        for range in renewed_ranges {
            let Some(entry) = self.entries.get_mut(range) else { continue };
            if refused.contains(range) {
                entry.phase = GrantPhase::Fenced;
            } else if entry.phase == GrantPhase::Requested {
                entry.phase = GrantPhase::Granted;
            }
        }
    }

    /// Returns the time by which every grant of a range has expired.
    pub fn expiry(&self, range: RangeIndex) -> Option<HostTime> {
        self.entries.get(&range).map(|entry| entry.expiry)
    }
}
