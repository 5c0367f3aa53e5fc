//! The keeper of one upstream's grants.

use skylarkdock_units::ids::{Epoch, RangeIndex};
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::BTreeMap;

/// How long a grant lasts from the reading of the upstream's clock that it was based on.
pub const GRANT_MS: Millis = Millis(400);

/// Time between two renewals.
pub const RENEW_MS: Millis = Millis(100);

/// What the clocks of host and upstream may run apart while a grant lasts.
pub const DRIFT_MS: Millis = Millis(8);

/// How long a call may take; whoever makes it gives up by then.
pub const CALL_TIMEOUT_MS: Millis = Millis(250);

/// How long a withdrawal may take, the upstream's wait for running requests included.
pub const WITHDRAW_TIMEOUT_MS: Millis = Millis(1_250);

/// A range with its token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Order {
    /// The range.
    pub range: RangeIndex,
    /// The fencing token.
    pub token: Epoch,
}

/// A call to make to the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Ask for its clock.
    Clock,
    /// Renew grants.
    Renew {
        /// Ranges that it may serve.
        grants: Vec<Order>,
        /// Reading of its clock until when.
        until: Millis,
    },
}

/// What the upstream answered to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Its clock and what it refused.
    Taken {
        /// Reading of its clock.
        now: Millis,
        /// Ranges for which it has seen a larger token.
        refused: Vec<RangeIndex>,
    },
    /// It does not check orders.
    Unchecked,
    /// No answer, or one that makes no sense.
    Lost,
}

/// Where a range stands at this upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// A grant is asked for.
    Asked,
    /// The upstream has a grant and may get requests.
    Granted,
    /// The upstream has seen a larger token: this host is not the holder any more.
    Fenced,
    /// The grant is being withdrawn.
    Withdrawing,
    /// The upstream serves the range no more.
    Free,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    token: Epoch,
    phase: Phase,
    /// When every grant of the range has lapsed at the latest, by this host's clock.
    lapse: HostTime,
    /// Whether the renewal under way carries it.
    sent: bool,
    /// Until when a renewal whose answer was lost may still grant it.
    doubtful: HostTime,
}

#[derive(Debug, Clone, Copy)]
struct Reading {
    upstream: Millis,
    /// When the answer that carried it was received: the reading was taken before.
    received: HostTime,
}

/// Keeps the grants of one upstream.
#[derive(Debug, Default)]
pub struct Keeper {
    entries: BTreeMap<RangeIndex, Entry>,
    reading: Option<Reading>,
    calling: bool,
    withdrawing: bool,
    renewed: Option<HostTime>,
    unchecked: bool,
}

impl Keeper {
    /// Asks that the upstream may serve a range. `lapse` is when grants given by earlier holders
    /// have lapsed at the latest.
    pub fn want(&mut self, range: RangeIndex, token: Epoch, lapse: HostTime) {
        let phase = if self.unchecked { Phase::Granted } else { Phase::Asked };
        let present = self.entries.get(&range);
        let doubtful = present.map_or(HostTime(0), |entry| entry.doubtful);
        let lapse = present.map_or(lapse, |entry| entry.lapse.max(lapse));
        self.entries.insert(range, Entry { token, phase, lapse, sent: false, doubtful });
        self.renewed = None;
    }

    /// Asks that the upstream serves a range no more.
    pub fn withdraw(&mut self, range: RangeIndex) {
        if let Some(entry) = self.entries.get_mut(&range) {
            entry.phase = Phase::Withdrawing;
        }
    }

    /// Forgets a range without a word to the upstream: this host does not hold it any more.
    pub fn forget(&mut self, range: RangeIndex) {
        self.entries.remove(&range);
    }

    /// Returns where a range stands.
    pub fn phase(&self, range: RangeIndex, now: HostTime) -> Phase {
        match self.entries.get(&range) {
            None => Phase::Free,
            Some(entry) if entry.phase == Phase::Withdrawing && now > entry.lapse => Phase::Free,
            Some(entry) => entry.phase,
        }
    }

    /// Tells whether the upstream does not check orders and so gets no calls.
    pub fn is_unchecked(&self) -> bool {
        self.unchecked
    }

    /// Tells whether the keeper has nothing to do.
    pub fn is_idle(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the next call to make, if one is due and none is under way. Its answer, or its loss
    /// after [`CALL_TIMEOUT_MS`], has to be told by [`Keeper::answered`].
    pub fn poll(&mut self, now: HostTime) -> Option<Call> {
        self.drop_free(now);
        let fresh = self.renewed.is_some_and(|last| now.since(last) < RENEW_MS);
        if self.calling || self.unchecked || fresh || !self.has_grants() {
            return None;
        }
        self.calling = true;
        self.renewed = Some(now);
        Some(self.call(now))
    }

    /// Returns the withdrawals to make, if there are any and none is under way. Their end, or their
    /// loss after [`WITHDRAW_TIMEOUT_MS`], has to be told by [`Keeper::withdrawn`].
    pub fn poll_withdrawals(&mut self) -> Option<Vec<Order>> {
        if self.withdrawing || self.unchecked {
            return None;
        }
        let due = self.entries.iter().filter(|(_, entry)| entry.phase == Phase::Withdrawing);
        let orders: Vec<_> =
            due.map(|(range, entry)| Order { range: *range, token: entry.token }).collect();
        self.withdrawing = !orders.is_empty();
        self.withdrawing.then_some(orders)
    }

    fn has_grants(&self) -> bool {
        let mut entries = self.entries.values();
        entries.any(|entry| matches!(entry.phase, Phase::Asked | Phase::Granted))
    }

    fn drop_free(&mut self, now: HostTime) {
        let free = |entry: &Entry| entry.phase == Phase::Withdrawing && now > entry.lapse;
        self.entries.retain(|_, entry| !free(entry));
    }

    fn call(&mut self, now: HostTime) -> Call {
        let recent = |reading: &Reading| now.since(reading.received) < GRANT_MS;
        let Some(reading) = self.reading.filter(recent) else { return Call::Clock };
        let lapse = reading.received + GRANT_MS + DRIFT_MS;
        let mut grants = Vec::new();
        for (range, entry) in &mut self.entries {
            if matches!(entry.phase, Phase::Asked | Phase::Granted) {
                entry.lapse = entry.lapse.max(lapse);
                entry.sent = true;
                grants.push(Order { range: *range, token: entry.token });
            }
        }
        Call::Renew { grants, until: reading.upstream + GRANT_MS }
    }

    /// Takes the answer to the last call.
    pub fn answered(&mut self, now: HostTime, answer: Answer) {
        self.calling = false;
        let sent = self.take_sent();
        match answer {
            Answer::Lost => self.doubt(&sent),
            Answer::Unchecked => self.set_unchecked(),
            Answer::Taken { now: upstream, refused } => {
                if self.reading.is_none() {
                    self.renewed = None;
                }
                self.reading = Some(Reading { upstream, received: now });
                self.settle(&sent, &refused);
            }
        }
    }

    /// Takes the end of the last withdrawals: whether the upstream confirmed that it serves none of
    /// these ranges any more.
    pub fn withdrawn(&mut self, now: HostTime, orders: &[Order], confirmed: bool) {
        self.withdrawing = false;
        for order in orders.iter().filter(|_| confirmed) {
            let entry = self.entries.get(&order.range);
            let settled = |entry: &Entry| !entry.sent && now > entry.doubtful;
            let same = |entry: &Entry| {
                entry.phase == Phase::Withdrawing && entry.token == order.token && settled(entry)
            };
            if entry.is_some_and(same) {
                self.entries.remove(&order.range);
            }
        }
    }

    fn doubt(&mut self, sent: &[RangeIndex]) {
        for range in sent {
            if let Some(entry) = self.entries.get_mut(range) {
                entry.doubtful = entry.lapse;
            }
        }
    }

    fn take_sent(&mut self) -> Vec<RangeIndex> {
        let sent = self
            .entries
            .iter_mut()
            .filter_map(|(range, entry)| std::mem::take(&mut entry.sent).then_some(*range));
        sent.collect()
    }

    fn set_unchecked(&mut self) {
        self.unchecked = true;
        self.entries.retain(|_, entry| entry.phase != Phase::Withdrawing);
        for entry in self.entries.values_mut() {
            entry.phase = Phase::Granted;
        }
    }

    fn settle(&mut self, sent: &[RangeIndex], refused: &[RangeIndex]) {
        for range in sent {
            let Some(entry) = self.entries.get_mut(range) else { continue };
            if refused.contains(range) {
                entry.phase = Phase::Fenced;
            } else if entry.phase == Phase::Asked {
                entry.phase = Phase::Granted;
            }
        }
    }

    /// Returns when every grant of a range has lapsed at the latest.
    pub fn lapse(&self, range: RangeIndex) -> Option<HostTime> {
        self.entries.get(&range).map(|entry| entry.lapse)
    }
}
