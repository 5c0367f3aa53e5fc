//! State that a witness keeps for one range.

use crate::message::OutstandingPromise;
use skylarkdock_units::ids::{Epoch, Member, Offset};
use skylarkdock_units::times::HostTime;

/// The largest epoch that this witness has sealed.
#[derive(Debug, Clone)]
pub(crate) struct Ballot {
    pub epoch: Epoch,
    pub holder: Member,
    /// When the epoch was sealed.
    pub sealed_at: HostTime,
}

/// A promise to an earlier holder that may not have expired.
#[derive(Debug, Clone)]
pub(crate) struct Promise {
    pub to: Member,
    pub epoch: Epoch,
    pub end: HostTime,
}

/// A release that this host sent, received or had relayed to it.
#[derive(Debug, Clone)]
pub(crate) struct KnownRelease {
    pub by: Member,
    pub epoch: Epoch,
    pub successor: Option<Member>,
    pub at: HostTime,
}

/// A seal that has to wait for a live holder or for an earlier claimant.
#[derive(Debug, Clone)]
pub(crate) struct PendingSeal {
    pub claimant: Member,
    pub epoch: Epoch,
    pub first_asked: HostTime,
    pub last_asked: HostTime,
}

/// State that a witness keeps for one range.
#[derive(Debug, Clone, Default)]
pub(crate) struct RangeVotes {
    pub ballot: Option<Ballot>,
    /// Largest epoch of the ballot before it moved to another host.
    pub prior: Epoch,
    pub promises: Vec<Promise>,
    pub releases: Vec<KnownRelease>,
    pub pending_seal: Option<PendingSeal>,
    /// Offset of the newest lease that one of its members is known to have acquired.
    pub established: Option<Offset>,
    /// When this host folded the retirement of the range.
    pub retired_at: Option<HostTime>,
    /// Largest epoch that is known to be sealed by another witness.
    pub sealed_elsewhere: Option<Epoch>,
}

impl RangeVotes {
    /// Clears everything but the largest sealed epoch, which claimants of a later lease need.
    pub fn reset_to_prior(&mut self) {
        let sealed = self.ballot.as_ref().map(|ballot| ballot.epoch).unwrap_or_default();
        let prior = self.prior.max(sealed);
        *self = Self { prior, ..Self::default() };
    }

    /// Returns the release by a member that covers an epoch, if it is known.
    pub fn release_of(&self, by: &Member, epoch: Epoch) -> Option<&KnownRelease> {
        self.releases.iter().find(|known| known.by == *by && known.epoch >= epoch)
    }

    /// Records a release; for each member only that of the largest epoch is kept.
    pub fn note_release(&mut self, release: KnownRelease) {
        let known = self.releases.iter_mut().find(|known| known.by == release.by);
        match known {
            None => self.releases.push(release),
            Some(known) if known.epoch < release.epoch => *known = release,
            Some(known) if known.epoch == release.epoch && known.successor.is_none() => {
                known.successor = release.successor;
            }
            Some(_) => {}
        }
    }

    /// Returns the offset of the newest lease that this state refers to.
    pub fn newest_lease(&self) -> Offset {
        let epochs = self.releases.iter().map(|known| known.epoch.offset);
        let sealed = self.ballot.as_ref().map(|ballot| ballot.epoch.offset);
        let pending_seal = self.pending_seal.as_ref().map(|pending_seal| pending_seal.epoch.offset);
        let sealed_elsewhere = self.sealed_elsewhere.map(|epoch| epoch.offset);
        let newest_lease = epochs
            .chain(sealed)
            .chain(pending_seal)
            .chain(sealed_elsewhere)
            .chain(self.established)
            .max();
        newest_lease.unwrap_or_default()
    }

    pub fn note_sealed_elsewhere(&mut self, epoch: Epoch) {
        self.sealed_elsewhere = self.sealed_elsewhere.max(Some(epoch));
    }

    /// Returns the largest epoch of a lease that is known to be sealed by any witness.
    pub fn largest_sealed(&self, lease: Offset) -> Option<Epoch> {
        let sealed = self.ballot.as_ref().map(|ballot| ballot.epoch);
        sealed.max(self.sealed_elsewhere).filter(|epoch| epoch.offset == lease)
    }

    /// Returns the promises to hosts other than the claimant that are neither expired nor released.
    pub fn outstanding_promises(
        &self,
        now: HostTime,
        claimant: &Member,
    ) -> Vec<OutstandingPromise> {
        let is_outstanding = |promise: &&Promise| {
            promise.to != *claimant
                && promise.end > now
                && self.release_of(&promise.to, promise.epoch).is_none()
        };
        let to_outstanding = |promise: &Promise| OutstandingPromise {
            to: promise.to.clone(),
            epoch: promise.epoch,
            remaining: promise.end.since(now),
        };
        self.promises.iter().filter(is_outstanding).map(to_outstanding).collect()
    }

    /// Records a seal that has to wait. Of several claimants, the one with the smallest epoch is
    /// kept unless it last asked before `stale_before`.
    pub fn note_pending_seal(
        &mut self,
        now: HostTime,
        stale_before: HostTime,
        by: &Member,
        epoch: Epoch,
    ) {
        let first_asked = match &self.pending_seal {
            Some(pending_seal) if pending_seal.epoch.offset == epoch.offset => {
                if pending_seal.epoch < epoch && pending_seal.last_asked >= stale_before {
                    return;
                }
                pending_seal.first_asked
            }
            _ => now,
        };
        self.pending_seal =
            Some(PendingSeal { claimant: by.clone(), epoch, first_asked, last_asked: now });
    }
}
