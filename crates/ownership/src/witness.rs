//! The witness decides on seals. It keeps its ballots and promises in memory only.

use crate::ballot::{Ballot, Promise, RangeVotes};
use crate::lease::{self, Lease};
use crate::message::{OutstandingPromise, RangeEpoch, Refusal, SealRange};
use crate::session::Sessions;
use crate::timing::Timing;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{Epoch, Member, Offset, RangeId};
use skylarkdock_units::times::{HostTime, Millis};

/// The witness's own host's state of the range to seal.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LocalRole {
    pub holds: bool,
    pub claims: bool,
    pub drains: bool,
}

/// A seal and the state of the witness's host that decides on it.
pub(crate) struct SealRequest<'a> {
    pub now: HostTime,
    pub from: &'a Member,
    pub seal: &'a SealRange,
    pub lease: Option<&'a Lease>,
    pub applied: Offset,
    pub local_role: LocalRole,
}

/// Whether a range's votes are still needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum VotesUse {
    /// This host is a member of a lease in force or of one that it replaces, or may be one of a
    /// lease that it has not folded yet.
    Needed,
    /// The range has no assignment any more, but its last holder may not know that.
    Retired,
    /// This host is no longer a member of the lease or of one that it replaces.
    Outdated,
}

/// Result of a granted seal.
pub(crate) struct Granted {
    pub outstanding: Vec<OutstandingPromise>,
    /// The epoch whose ballot moved from the witness's own host to the claimant.
    pub revoked_own: Option<Epoch>,
}

/// The witness of one incarnation of a daemon.
#[derive(Debug, Clone)]
pub(crate) struct Witness {
    me: Member,
    started_at: HostTime,
    timing: Timing,
    /// When the host last resumed after a pause. Silence of others before it does not show that they
    /// are down.
    pub resumed_at: HostTime,
    pub sessions: Sessions,
    pub votes: FastMap<RangeId, RangeVotes>,
}

impl Witness {
    pub fn new(me: Member, timing: Timing, now: HostTime) -> Self {
        let (sessions, votes) = (Sessions::default(), FastMap::default());
        Self { me, started_at: now, timing, resumed_at: now, sessions, votes }
    }

    pub fn votes(&self, range: &RangeId) -> Option<&RangeVotes> {
        self.votes.get(range)
    }

    pub fn votes_mut(&mut self, range: &RangeId) -> &mut RangeVotes {
        self.votes.entry(range.clone()).or_default()
    }

    /// Returns the longest remaining time of promises of an earlier incarnation of this host.
    pub fn earlier_promises_left(&self, now: HostTime) -> Millis {
        (self.started_at + self.timing.promise_duration).since(now)
    }

    /// Returns how long a member has been silent, counted from `since` or later.
    pub fn silence(&self, now: HostTime, member: &Member, since: HostTime) -> Millis {
        let last_alive = self.sessions.last_alive(member).unwrap_or_default();
        now.since(last_alive.max(since).max(self.resumed_at))
    }

    /// Decides on a seal without granting it.
    pub fn evaluate(&self, request: &SealRequest<'_>) -> Result<(), Refusal> {
        let SealRequest { from, seal, lease, applied, .. } = request;
        let empty = RangeVotes::default();
        let votes = self.votes.get(&seal.range).unwrap_or(&empty);
        let epoch = seal.epoch;
        if let Some(ballot) = &votes.ballot
            && (epoch < ballot.epoch || (epoch == ballot.epoch && ballot.holder != **from))
        {
            return Err(Refusal::Outdated);
        }
        if *applied >= epoch.offset {
            let current_lease = lease.filter(|lease| lease.offset == epoch.offset);
            let epoch_owner = current_lease.and_then(|lease| lease::holder(&lease.members, epoch));
            if epoch_owner != Some(*from) {
                return Err(Refusal::Superseded);
            }
        }
        match &votes.ballot {
            Some(ballot) if ballot.holder == **from => Ok(()),
            Some(ballot) if ballot.epoch.offset == epoch.offset => {
                self.evaluate_same_lease(request, votes, ballot)
            }
            Some(ballot) => self.evaluate_newer_lease(request, votes, ballot),
            None => self.evaluate_unsealed_lease(request, votes),
        }
    }

    fn evaluate_same_lease(
        &self,
        request: &SealRequest<'_>,
        votes: &RangeVotes,
        ballot: &Ballot,
    ) -> Result<(), Refusal> {
        if votes.release_of(&ballot.holder, ballot.epoch).is_some() {
            return Ok(());
        }
        let own =
            ballot.holder == self.me && (request.local_role.holds || request.local_role.claims);
        let silence = self.silence(request.now, &ballot.holder, ballot.sealed_at);
        if own || silence < self.timing.suspect_timeout { Err(Refusal::HolderLive) } else { Ok(()) }
    }

    /// Refuses a newer lease while a live holder of the earlier one may still need to read it or to
    /// drain.
    fn evaluate_newer_lease(
        &self,
        request: &SealRequest<'_>,
        votes: &RangeVotes,
        ballot: &Ballot,
    ) -> Result<(), Refusal> {
        self.evaluate_unsealed_lease(request, votes)?;
        if votes.release_of(&ballot.holder, ballot.epoch).is_some() {
            return Ok(());
        }
        let own = ballot.holder == self.me;
        let is_live = if own {
            request.local_role.holds
        } else {
            self.silence(request.now, &ballot.holder, HostTime::default())
                < self.timing.suspect_timeout
        };
        if !is_live {
            return Ok(());
        }
        let range = &request.seal.range;
        let drains = if own {
            request.local_role.drains
        } else {
            self.sessions.drains(&ballot.holder, range)
        };
        let pending_seal = votes.pending_seal.as_ref();
        let pending_seal =
            pending_seal.filter(|pending| pending.epoch.offset == request.seal.epoch.offset);
        let pending_for =
            request.now.since(pending_seal.map_or(request.now, |pending| pending.first_asked));
        match drains {
            true if pending_for < self.timing.drain_limit => Err(Refusal::Draining),
            false if pending_for < self.timing.suspect_timeout => Err(Refusal::HolderLive),
            _ => Ok(()),
        }
    }

    /// Refuses a claim of a later place on an unsealed lease until the earlier places had time to
    /// claim.
    fn evaluate_unsealed_lease(
        &self,
        request: &SealRequest<'_>,
        votes: &RangeVotes,
    ) -> Result<(), Refusal> {
        let epoch = request.seal.epoch;
        if epoch.place == 0 {
            return Ok(());
        }
        let folded = request.lease.filter(|lease| lease.offset == epoch.offset);
        let folded = folded.map_or(HostTime::default(), |lease| lease.folded_at);
        let other_claim = votes.pending_seal.as_ref();
        let other_claim = other_claim.filter(|pending| pending.epoch.offset == epoch.offset);
        let other_claim = other_claim.filter(|pending| pending.claimant != *request.from);
        let since =
            folded.max(other_claim.map_or(HostTime::default(), |pending| pending.last_asked));
        let silence = request.now.since(since.max(self.resumed_at));
        if silence < self.timing.suspect_timeout { Err(Refusal::HolderLive) } else { Ok(()) }
    }

    /// Decides on a seal and, if it is granted, moves the ballot to the claimant.
    pub fn seal(&mut self, request: &SealRequest<'_>) -> Result<Granted, Refusal> {
        let decision = self.evaluate(request);
        if let Err(refusal) = decision {
            if matches!(refusal, Refusal::HolderLive | Refusal::Draining) {
                self.note_pending_seal(request);
            }
            return Err(refusal);
        }
        let revoked_own = self.move_ballot(request);
        let SealRequest { now, from, seal, .. } = request;
        let votes = self.votes_mut(&seal.range);
        let already_sealed = votes.ballot.as_ref().is_some_and(|ballot| ballot.epoch == seal.epoch);
        if !already_sealed {
            let ballot = Ballot { epoch: seal.epoch, holder: (*from).clone(), sealed_at: *now };
            votes.ballot = Some(ballot);
        }
        votes.pending_seal = None;
        votes.retired_at = None;
        Ok(Granted { outstanding: votes.outstanding_promises(*now, from), revoked_own })
    }

    fn note_pending_seal(&mut self, request: &SealRequest<'_>) {
        let stale = request.now - self.timing.suspect_timeout;
        let votes = self.votes_mut(&request.seal.range);
        votes.note_pending_seal(request.now, stale, request.from, request.seal.epoch);
    }

    /// Takes the ballot from its holder if that is not the claimant. An unexpired promise to it is
    /// kept, and it is told of the revocation.
    fn move_ballot(&mut self, request: &SealRequest<'_>) -> Option<Epoch> {
        let SealRequest { now, from, seal, .. } = request;
        let votes = self.votes.get_mut(&seal.range)?;
        votes.promises.retain(|promise| promise.end > *now);
        let by_other_host = |ballot: &&Ballot| ballot.holder != **from;
        let Ballot { epoch, holder, .. } = votes.ballot.as_ref().filter(by_other_host)?.clone();
        votes.prior = votes.prior.max(epoch);
        let own = holder == self.me;
        let end = if own {
            request.local_role.holds.then_some(*now + self.timing.promise_duration)
        } else {
            self.sessions.promise_end(&self.timing, &holder)
        };
        if let Some(end) = end
            && end > *now
            && votes.release_of(&holder, epoch).is_none()
        {
            votes.promises.retain(|promise| promise.to != holder || promise.end > end);
            votes.promises.push(Promise { to: holder.clone(), epoch, end });
        }
        let revoked = RangeEpoch { range: seal.range.clone(), epoch };
        self.sessions.revoke(&holder, revoked);
        own.then_some(epoch)
    }

    /// Drops outdated votes and marks those of retired ranges. `use_of` gets each range and the
    /// newest lease that its votes refer to.
    pub fn retain_votes(&mut self, now: HostTime, use_of: impl Fn(&RangeId, Offset) -> VotesUse) {
        self.votes.retain(|range, votes| {
            let votes_use = use_of(range, votes.newest_lease());
            let retired = votes_use == VotesUse::Retired;
            votes.retired_at = if retired { votes.retired_at.or(Some(now)) } else { None };
            votes_use != VotesUse::Outdated
        });
    }

    /// Ends the promises on retired ranges once their holders had time to drain. After the promises
    /// have expired, only the largest sealed epoch is kept.
    pub fn expire_retired(&mut self, now: HostTime) {
        let Self { votes, sessions, timing, me, .. } = self;
        let expiry = timing.drain_limit + timing.promise_duration + timing.promise_duration;
        for (range, votes) in votes {
            if votes.retired_at.is_some_and(|at| now.since(at) >= expiry) {
                votes.reset_to_prior();
            }
            if votes.retired_at.is_none_or(|at| now.since(at) < timing.drain_limit) {
                continue;
            }
            let Some(Ballot { epoch, holder, .. }) = votes.ballot.take_if(|it| it.holder != *me)
            else {
                continue;
            };
            if let Some(end) = sessions.promise_end(timing, &holder) {
                votes.promises.push(Promise { to: holder.clone(), epoch, end });
            }
            votes.note_sealed_elsewhere(epoch);
            votes.prior = votes.prior.max(epoch);
            sessions.revoke(&holder, RangeEpoch { range: range.clone(), epoch });
        }
    }
}
