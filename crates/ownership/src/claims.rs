//! Claims on ranges, from their start until the range is acquired or the claim is abandoned.

use crate::ballot::RangeVotes;
use crate::epoch_state::{EpochState, Phase};
use crate::events::Output;
use crate::holdings::ReleaseTo;
use crate::node::{Holding, Node};
use skylarkdock_units::ids::{Member, Offset, RangeId};
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::BTreeSet;

/// Age of a claim, in heartbeat intervals, from which it repeats its seals less often.
const FREQUENT_SEAL_HEARTBEATS: u64 = 20;
/// Heartbeat intervals between the seals of an older claim.
const SLOW_SEAL_INTERVAL_HEARTBEATS: u64 = 5;

/// The next step of a claim.
enum ClaimStep {
    Wait,
    Seal,
    Acquire,
    /// Abandon the claim, and claim again after the delay at the earliest.
    Abandon(Millis),
    /// Abandon the claim in favour of another live member.
    DeferTo(Member),
}

impl Node {
    pub(crate) fn start_claims(&mut self) {
        if self.now < self.next_claim_check {
            return;
        }
        let next = |range: &RangeId| Some((range.clone(), self.next_claim(range)?));
        let next: Vec<_> = self.member_ranges.iter().filter_map(next).collect();
        let (due, later): (Vec<_>, Vec<_>) =
            next.into_iter().partition(|(_, claim)| claim.due <= self.now);
        let next_claim_check = later.iter().map(|(_, claim)| claim.due).min();
        self.next_claim_check = next_claim_check.unwrap_or(HostTime(u64::MAX));
        for (range, claim) in due {
            let Some(lease) = self.leases.get(&range) else { continue };
            self.last_claim_number += 1;
            let mut epoch_state =
                EpochState::new(lease, claim.epoch, self.last_claim_number, self.now, claim.reason);
            let established = self.votes(&range).and_then(|votes| votes.established);
            epoch_state.established = established == Some(claim.epoch.offset);
            if claim.probe {
                epoch_state.phase = Phase::Probing;
            }
            self.claims.insert(range, epoch_state);
        }
    }

    pub(crate) fn advance_claims(&mut self) {
        let ranges: Vec<_> = self.claims.keys().cloned().collect();
        for range in ranges {
            self.seal_claim(&range);
            match self.next_step(&range) {
                ClaimStep::Wait => {}
                ClaimStep::Seal => self.start_sealing(&range),
                ClaimStep::Acquire => self.acquire(&range),
                ClaimStep::Abandon(delay) => self.abandon_claim(&range, None, delay),
                ClaimStep::DeferTo(to) => {
                    self.abandon_claim(&range, Some(to), self.timing.suspect_timeout)
                }
            }
        }
    }

    fn start_sealing(&mut self, range: &RangeId) {
        if let Some(claim) = self.claims.get_mut(range) {
            claim.start_sealing();
        }
        self.seal_claim(range);
        if matches!(self.next_step(range), ClaimStep::Acquire) {
            self.acquire(range);
        }
    }

    fn seal_claim(&mut self, range: &RangeId) {
        let Some(claim) = self.claims.get(range) else { return };
        let age = self.now.since(claim.started).0 / self.timing.heartbeat_interval.0.max(1);
        let intervals =
            if age < FREQUENT_SEAL_HEARTBEATS { 1 } else { SLOW_SEAL_INTERVAL_HEARTBEATS };
        let delay = Millis(self.timing.heartbeat_interval.0 * intervals);
        if claim.seal_sent_at.is_some_and(|at| self.now.since(at) < delay) {
            return;
        }
        let mut epoch_state = claim.clone();
        epoch_state.seal_sent_at = Some(self.now);
        let probing = epoch_state.phase == Phase::Probing;
        let targets =
            if probing { epoch_state.members.clone() } else { epoch_state.seal_targets() };
        self.claims.insert(range.clone(), epoch_state.clone());
        for to in &targets {
            if epoch_state.needs_seal(&self.peers, to) {
                self.send_seal(range, to, &epoch_state);
            }
        }
    }

    fn next_step(&self, range: &RangeId) -> ClaimStep {
        let Some(claim) = self.claims.get(range) else { return ClaimStep::Wait };
        let age = self.now.since(claim.started);
        if claim.phase == Phase::Probing {
            return match claim {
                claim if claim.probe_succeeded() => ClaimStep::Seal,
                claim if claim.majority_impossible(true) => {
                    ClaimStep::Abandon(self.timing.heartbeat_interval)
                }
                _ if age > self.timing.promise_duration => {
                    ClaimStep::Abandon(self.timing.heartbeat_interval)
                }
                _ => ClaimStep::Wait,
            };
        }
        if self.can_acquire(range, claim) {
            return ClaimStep::Acquire;
        }
        if claim.majority_impossible(claim.epoch.place > 0) {
            return ClaimStep::Abandon(self.timing.promise_duration);
        }
        let is_draining = claim
            .drain_reported_at
            .is_some_and(|at| self.now.since(at) < self.timing.promise_duration);
        if !is_draining && age > self.claim_timeout(&claim.members, claim.epoch) {
            let next = self.next_live(&claim.members);
            return next
                .filter(|_| !self.holdings.contains_key(range))
                .map_or(ClaimStep::Wait, ClaimStep::DeferTo);
        }
        ClaimStep::Wait
    }

    fn can_acquire(&self, range: &RangeId, claim: &EpochState) -> bool {
        let Some(lease) = self.leases.get(range) else { return false };
        let empty = RangeVotes::default();
        let votes = self.votes(range).unwrap_or(&empty);
        let context = self.promise_context();
        claim.has_majority(&context, votes)
            && claim.previous_leases_taken_over(self.now, votes)
            && claim.newest_assignment <= lease.assignment
            && (lease.assignment == lease.offset
                || claim.majority_has_applied(&context, self.applied, lease.assignment))
    }

    fn acquire(&mut self, range: &RangeId) {
        self.next_claim_check = self.now;
        let Some(epoch_state) = self.claims.remove(range) else { return };
        let assignment = self.leases.get(range).map_or(Offset(0), |lease| lease.assignment);
        let (epoch, reason) = (epoch_state.epoch, epoch_state.reason);
        let after = self.now.since(epoch_state.started);
        let prior = epoch_state.prior();
        self.witness.votes_mut(range).established = Some(epoch.offset);
        let holding = Holding {
            epoch_state,
            assignment,
            draining: None,
            informed: BTreeSet::new(),
            announced_at: None,
            abandoned_epoch: None,
            outdated_since: None,
        };
        self.holdings.insert(range.clone(), holding);
        self.retry_after.remove(range);
        self.outbox.push(Output::Acquired { range: range.clone(), epoch, after, reason, prior });
    }

    /// Abandons a claim. Its epoch is released at once or, if this host holds the range, together
    /// with the range.
    pub(crate) fn abandon_claim(&mut self, range: &RangeId, to: Option<Member>, delay: Millis) {
        let Some(claim) = self.claims.remove(range) else { return };
        self.retry_after.insert(range.clone(), self.now + delay);
        self.next_claim_check = self.now;
        if claim.phase == Phase::Probing {
            return;
        }
        if let Some(holding) = self.holdings.get_mut(range) {
            holding.abandoned_epoch = holding.abandoned_epoch.max(Some(claim.epoch));
            return;
        }
        let release =
            ReleaseTo { epoch: claim.epoch, successor: to, members: claim.seal_targets() };
        self.release(range, release);
    }
}
