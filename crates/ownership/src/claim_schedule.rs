//! Decides when this host claims a range and under which epoch.

use crate::ballot::RangeVotes;
use crate::events::ClaimReason;
use crate::lease::{self, Lease};
use crate::node::{Holding, Node};
use skylarkdock_units::ids::{Epoch, Member, RangeId};
use skylarkdock_units::times::{HostTime, Millis};

/// The next claim of a node on a range.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NextClaim {
    /// When the claim is due if nothing changes before.
    pub due: HostTime,
    pub epoch: Epoch,
    pub reason: ClaimReason,
    /// Whether to ask the members first whether they would grant it, so that a claim without a
    /// chance leaves their ballots unchanged.
    pub probe: bool,
}

impl Node {
    /// Returns the next claim that this host will make on a range, if any.
    pub(crate) fn next_claim(&self, range: &RangeId) -> Option<NextClaim> {
        if self.leaving || self.claims.contains_key(range) {
            return None;
        }
        let lease = self.leases.get(range)?;
        let index = lease.index_of(&self.me)?;
        let mut claim = match self.holdings.get(range) {
            Some(holding) => self.renewal_claim(range, lease, index, holding)?,
            None => self.new_claim(range, lease, index)?,
        };
        claim.epoch = self.skip_released_epochs(range, lease, index, claim.epoch)?;
        let retry_after = self.retry_after.get(range).copied().unwrap_or_default();
        claim.due = claim.due.max(retry_after);
        Some(claim)
    }

    /// Returns the first epoch of this host, from `epoch` on, that it has not released.
    fn skip_released_epochs(
        &self,
        range: &RangeId,
        lease: &Lease,
        index: usize,
        epoch: Epoch,
    ) -> Option<Epoch> {
        let release = self.votes(range).and_then(|votes| votes.release_of(&self.me, epoch));
        match release {
            Some(release) => lease.next_epoch(index, release.epoch),
            None => Some(epoch),
        }
    }

    /// Returns the claim of a holder on its own range. It claims under a newer lease that names it
    /// first, or if a member has sealed a larger epoch and would never renew its promise.
    fn renewal_claim(
        &self,
        range: &RangeId,
        lease: &Lease,
        index: usize,
        holding: &Holding,
    ) -> Option<NextClaim> {
        if holding.draining.is_some() {
            return None;
        }
        let largest_sealed = self.votes(range).and_then(|votes| votes.largest_sealed(lease.offset));
        let claim =
            |due, epoch| NextClaim { due, epoch, reason: ClaimReason::Renewed, probe: false };
        if holding.epoch_state.epoch.offset != lease.offset {
            let may_claim = index == 0 && largest_sealed.is_none_or(|epoch| epoch.place == 0);
            return may_claim.then(|| claim(HostTime::default(), lease.first_epoch()));
        }
        let due =
            holding.outdated_since? + self.timing.promise_duration + self.timing.promise_duration;
        Some(claim(due, lease.next_epoch(index, largest_sealed?)?))
    }

    fn new_claim(&self, range: &RangeId, lease: &Lease, index: usize) -> Option<NextClaim> {
        let empty = RangeVotes::default();
        let votes = self.votes(range).unwrap_or(&empty);
        match votes.largest_sealed(lease.offset) {
            None => Some(self.unsealed_lease_claim(votes, lease, index)),
            Some(epoch) => self.succession_claim(votes, lease, index, epoch),
        }
    }

    /// Returns the claim on a lease of which no epoch is known to be sealed. The first member
    /// claims at once, each other one after its takeover delay.
    fn unsealed_lease_claim(&self, votes: &RangeVotes, lease: &Lease, index: usize) -> NextClaim {
        let epoch = lease.first_epoch();
        if index == 0 {
            return NextClaim {
                due: HostTime::default(),
                epoch,
                reason: ClaimReason::Assigned,
                probe: false,
            };
        }
        let pending_seal =
            votes.pending_seal.as_ref().filter(|pending| pending.epoch.offset == lease.offset);
        let pending_seal = pending_seal.map_or(HostTime::default(), |pending| pending.last_asked);
        let since = lease.folded_at.max(pending_seal).max(self.witness.resumed_at);
        let place = u8::try_from(index).unwrap_or(u8::MAX);
        let epoch = Epoch { place, ..epoch };
        let due = since + self.timing.takeover_delay(index);
        NextClaim { due, epoch, reason: ClaimReason::Takeover, probe: true }
    }

    fn succession_claim(
        &self,
        votes: &RangeVotes,
        lease: &Lease,
        index: usize,
        largest_sealed: Epoch,
    ) -> Option<NextClaim> {
        let holder = lease::holder(&lease.members, largest_sealed)?;
        let release = votes.release_of(holder, largest_sealed);
        let immediately = HostTime::default();
        if *holder == self.me && release.is_none() {
            let (epoch, reason) = (largest_sealed, ClaimReason::Reclaimed);
            return Some(NextClaim { due: immediately, epoch, reason, probe: false });
        }
        let epoch = lease.next_epoch(index, largest_sealed)?;
        if let Some(release) = release {
            if release.successor.as_ref() == Some(&self.me) {
                let reason = ClaimReason::HandedOver;
                return Some(NextClaim { due: immediately, epoch, reason, probe: false });
            }
            let due = self.takeover_due(release.at, lease, index, largest_sealed);
            return Some(NextClaim { due, epoch, reason: ClaimReason::Takeover, probe: true });
        }
        let since = self.last_contact(votes, holder);
        let due = self.takeover_due(since, lease, index, largest_sealed);
        Some(NextClaim { due, epoch, reason: ClaimReason::Takeover, probe: true })
    }

    fn last_contact(&self, votes: &RangeVotes, holder: &Member) -> HostTime {
        let sealed = votes.ballot.as_ref().filter(|ballot| ballot.holder == *holder);
        let sealed = sealed.map_or(HostTime::default(), |ballot| ballot.sealed_at);
        let alive = self.witness.sessions.last_alive(holder).unwrap_or_default();
        sealed.max(alive)
    }

    fn takeover_due(
        &self,
        since: HostTime,
        lease: &Lease,
        index: usize,
        largest_sealed: Epoch,
    ) -> HostTime {
        let since = since.max(lease.folded_at).max(self.witness.resumed_at);
        let rank = match lease.rank(index, largest_sealed) {
            0 => lease.members.len(),
            rank => rank,
        };
        since + self.timing.takeover_delay(rank)
    }

    /// Returns how long a claim may take before it is abandoned for another live member. Doubles
    /// with each round of the members, up to 32 times the first limit.
    pub(crate) fn claim_timeout(&self, members: &[Member], epoch: Epoch) -> Millis {
        let round = usize::from(epoch.place) / members.len().max(1);
        Millis((4 * self.timing.promise_duration.0) << round.min(5))
    }
}
