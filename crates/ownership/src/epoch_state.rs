//! The state of one epoch of a range that this host claims or holds, with the witnesses' grants.

use crate::ballot::RangeVotes;
use crate::events::ClaimReason;
use crate::lease::{self, Lease};
use crate::message::{RangeAnswer, Refusal, SealVerdict};
use crate::peers::Peers;
use crate::timing::Timing;
use skylarkdock_fold::state::PreviousLease;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{Epoch, Member, Offset};
use skylarkdock_units::times::HostTime;

/// A promise to an earlier holder that the claimant has to wait out.
#[derive(Debug, Clone)]
struct EarlierPromise {
    /// The earlier holder; unknown if the witness has restarted since.
    to: Option<Member>,
    epoch: Epoch,
    valid_until: HostTime,
}

/// A witness's grant.
#[derive(Debug, Clone)]
struct Grant {
    session: u64,
    outstanding: Vec<EarlierPromise>,
    /// Offset that the witness had applied when it granted.
    applied: Offset,
    restarted: bool,
    /// Largest epoch of the witness's ballot before it moved to another host; `None` if it does not
    /// know.
    prior: Option<Epoch>,
    /// End of the promise, once it can't be renewed any more.
    promise_ended: Option<HostTime>,
    revoked: bool,
}

/// Phase of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Asks whether a majority would grant the seal, without changing their ballots.
    Probing,
    /// Asks the members to seal the epoch.
    Sealing,
}

/// The state of one epoch of a range that this host claims or holds.
#[derive(Debug, Clone)]
pub(crate) struct EpochState {
    pub epoch: Epoch,
    pub members: Vec<Member>,
    pub previous: Vec<PreviousLease>,
    /// Number of the claim; answers to other claims are ignored.
    pub claim: u64,
    pub started: HostTime,
    pub reason: ClaimReason,
    pub phase: Phase,
    /// Whether one of the members is known to have acquired the lease.
    pub established: bool,
    /// When seals were last sent.
    pub seal_sent_at: Option<HostTime>,
    /// When a witness last reported that the current holder is draining.
    pub drain_reported_at: Option<HostTime>,
    /// Offset of the newest assignment of the range in any answer.
    pub newest_assignment: Offset,
    grants: FastMap<Member, Grant>,
    refusals: FastMap<Member, Refusal>,
    probe_grants: Vec<Member>,
}

/// Time, timeouts and heartbeat state that determine whether promises are in force.
pub(crate) struct PromiseContext<'a> {
    pub now: HostTime,
    pub me: &'a Member,
    pub timing: &'a Timing,
    pub peers: &'a Peers,
}

impl EpochState {
    pub fn new(
        lease: &Lease,
        epoch: Epoch,
        claim: u64,
        now: HostTime,
        reason: ClaimReason,
    ) -> Self {
        Self {
            epoch,
            members: lease.members.clone(),
            previous: lease.previous.clone(),
            claim,
            started: now,
            reason,
            phase: Phase::Sealing,
            established: false,
            seal_sent_at: None,
            drain_reported_at: None,
            newest_assignment: Offset(0),
            grants: FastMap::default(),
            refusals: FastMap::default(),
            probe_grants: Vec::new(),
        }
    }

    /// Returns the members to seal at: those of the lease and, until it is established, those of
    /// the leases that it replaces.
    pub fn seal_targets(&self) -> Vec<Member> {
        let mut targets = self.members.clone();
        if !self.established {
            let earlier = self.previous.iter().flat_map(|lease| &lease.members);
            targets.extend(earlier.cloned());
        }
        targets.sort();
        targets.dedup();
        targets
    }

    /// Returns whether a member still has to be asked to seal.
    pub fn needs_seal(&self, peers: &Peers, member: &Member) -> bool {
        match self.grants.get(member) {
            None => true,
            Some(grant) if grant.revoked || grant.restarted => false,
            Some(grant) => {
                peers.get(member).is_some_and(|peer| peer.has_newer_session(grant.session))
            }
        }
    }

    /// Applies the answer to a seal, given in `session` by a witness that has applied `applied`.
    pub fn apply_answer(
        &mut self,
        now: HostTime,
        by: &Member,
        session: u64,
        applied: Offset,
        answer: &RangeAnswer,
    ) {
        self.established |= answer.established;
        self.newest_assignment = self.newest_assignment.max(answer.newest);
        match &answer.verdict {
            SealVerdict::Refused(refusal) => self.record_refusal(now, by, *refusal),
            SealVerdict::Granted { .. } if answer.probe => self.probe_grants.push(by.clone()),
            SealVerdict::Granted { outstanding } => {
                let earlier_promise =
                    |promise: &crate::message::OutstandingPromise| EarlierPromise {
                        to: Some(promise.to.clone()),
                        epoch: promise.epoch,
                        valid_until: now + promise.remaining,
                    };
                let outstanding = outstanding.iter().map(earlier_promise).collect();
                let grant = Grant::new(session, applied, outstanding, false);
                self.record_grant(by, Grant { prior: Some(answer.prior), ..grant });
            }
            SealVerdict::Restarted { wait } => {
                let valid_until = now + *wait;
                let outstanding =
                    vec![EarlierPromise { to: None, epoch: Epoch::default(), valid_until }];
                self.record_grant(by, Grant::new(session, applied, outstanding, true));
            }
        }
    }

    fn record_refusal(&mut self, now: HostTime, by: &Member, refusal: Refusal) {
        if refusal == Refusal::Draining {
            self.drain_reported_at = Some(now);
        }
        self.refusals.insert(by.clone(), refusal);
    }

    fn record_grant(&mut self, by: &Member, grant: Grant) {
        self.refusals.remove(by);
        match self.grants.get_mut(by) {
            Some(existing) if existing.revoked || existing.session > grant.session => {}
            Some(existing) => *existing = grant,
            None => {
                self.grants.insert(by.clone(), grant);
            }
        }
    }

    /// Returns the largest epoch under which another host may have held the range before, or `None`
    /// if too few witnesses know.
    pub fn prior(&self) -> Option<Epoch> {
        let prior = |member: &Member| self.grants.get(member).and_then(|grant| grant.prior);
        let known = |members: &[Member]| {
            members.iter().filter(|member| prior(member).is_some()).count()
                >= lease::majority(members)
        };
        let earlier = self.established || self.previous.iter().all(|lease| known(&lease.members));
        let all = self.grants.values().filter_map(|grant| grant.prior);
        (known(&self.members) && earlier).then(|| all.max().unwrap_or_default())
    }

    /// Applies a witness's revocation of an epoch. Its earlier promise lasts until `promise_end`.
    pub fn revoke(&mut self, by: &Member, epoch: Epoch, promise_end: Option<HostTime>) {
        if epoch < self.epoch {
            return;
        }
        let grant = self.grants.entry(by.clone()).or_insert_with(Grant::revoked_before_grant);
        grant.revoked = true;
        let promise_end = promise_end.unwrap_or_default();
        grant.promise_ended = Some(
            grant.promise_ended.map_or(promise_end, |promise_ended| promise_ended.min(promise_end)),
        );
    }

    /// Returns whether any witness has revoked its promise.
    pub fn is_revoked(&self) -> bool {
        self.grants.values().any(|grant| grant.revoked)
    }

    /// Returns until when a majority of the members promises.
    pub fn valid_until(&self, context: &PromiseContext<'_>) -> HostTime {
        let mut ends: Vec<_> =
            self.members.iter().map(|member| self.promise_end(context, member)).collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends.get(lease::majority(&self.members) - 1).copied().unwrap_or_default()
    }

    fn promise_end(&self, context: &PromiseContext<'_>, member: &Member) -> HostTime {
        let Some(grant) = self.grants.get(member).filter(|grant| !grant.restarted) else {
            return HostTime::default();
        };
        if let Some(promise_ended) = grant.promise_ended {
            return promise_ended;
        }
        if member == context.me {
            return HostTime(u64::MAX);
        }
        let peer = context.peers.get(member);
        peer.and_then(|peer| peer.promise_end(context.timing, grant.session)).unwrap_or_default()
    }

    /// Returns whether a member's promise is in force and can be renewed.
    fn has_promise(&self, context: &PromiseContext<'_>, member: &Member) -> bool {
        let grant = self.grants.get(member);
        grant.is_some_and(|grant| grant.promise_ended.is_none())
            && self.promise_end(context, member) > context.now
    }

    /// Returns whether a majority of the members promises and has applied an offset.
    pub fn majority_has_applied(
        &self,
        context: &PromiseContext<'_>,
        own: Offset,
        offset: Offset,
    ) -> bool {
        let applied = |member: &&Member| {
            let Some(grant) = self.grants.get(*member) else { return false };
            let peer = context.peers.get(member).map_or(Offset(0), |peer| peer.applied);
            let own = if **member == *context.me { own } else { Offset(0) };
            let at_least = grant.applied.max(peer).max(own);
            self.has_promise(context, member) && at_least >= offset
        };
        self.members.iter().filter(applied).count() >= lease::majority(&self.members)
    }

    /// Returns whether a majority of the members promises and the earlier promises that these
    /// members reported have expired or are released.
    pub fn has_majority(&self, context: &PromiseContext<'_>, votes: &RangeVotes) -> bool {
        let is_unobstructed = |member: &&Member| {
            self.has_promise(context, member)
                && self.earlier_promises_ended(context.now, votes, member)
        };
        self.members.iter().filter(is_unobstructed).count() >= lease::majority(&self.members)
    }

    /// Returns whether a majority of each earlier lease has sealed and its promises have ended.
    pub fn previous_leases_taken_over(&self, now: HostTime, votes: &RangeVotes) -> bool {
        let is_taken_over = |lease: &PreviousLease| {
            let sealed = |member: &&Member| self.earlier_promises_ended(now, votes, member);
            lease.members.iter().filter(sealed).count() >= lease::majority(&lease.members)
        };
        self.established || self.previous.iter().all(is_taken_over)
    }

    fn earlier_promises_ended(&self, now: HostTime, votes: &RangeVotes, member: &Member) -> bool {
        let Some(grant) = self.grants.get(member).filter(|grant| !grant.revoked) else {
            return false;
        };
        grant
            .outstanding
            .iter()
            .all(|promise| promise.valid_until <= now || promise.is_released(votes))
    }

    /// Returns when the next earlier promise expires after `now`.
    pub fn next_promise_end(&self, now: HostTime) -> Option<HostTime> {
        let outstanding = self.grants.values().flat_map(|grant| &grant.outstanding);
        outstanding
            .map(|promise| promise.valid_until)
            .filter(|valid_until| *valid_until > now)
            .min()
    }

    /// Returns whether a majority answered the probe that it would grant the seal.
    pub fn probe_succeeded(&self) -> bool {
        let granted = |member: &&Member| self.probe_grants.contains(member);
        self.members.iter().filter(granted).count() >= lease::majority(&self.members)
    }

    /// Returns whether so many members refused or revoked that the others are no majority. Refusals
    /// for a live or draining holder may pass; they count only if `count_temporary` is set.
    pub fn majority_impossible(&self, count_temporary: bool) -> bool {
        let is_temporary = |refusal: &Refusal| {
            matches!(refusal, Refusal::HolderLive | Refusal::Draining) && !count_temporary
        };
        let may_grant = |member: &&Member| {
            let revoked = self.grants.get(*member).is_some_and(|grant| grant.revoked);
            !revoked && self.refusals.get(*member).is_none_or(is_temporary)
        };
        self.members.iter().filter(may_grant).count() < lease::majority(&self.members)
    }

    /// Returns whether any member refused the seal for a larger epoch.
    pub fn is_outdated(&self) -> bool {
        self.refusals.values().any(|refusal| *refusal == Refusal::Outdated)
    }

    /// Switches from probing to sealing.
    pub fn start_sealing(&mut self) {
        self.phase = Phase::Sealing;
        self.refusals.clear();
        self.seal_sent_at = None;
    }
}

impl Grant {
    /// Returns the grant of a witness that revoked its promise before it granted a seal.
    fn revoked_before_grant() -> Self {
        Self {
            promise_ended: Some(HostTime::default()),
            ..Self::new(0, Offset(0), Vec::new(), false)
        }
    }

    fn new(
        session: u64,
        applied: Offset,
        outstanding: Vec<EarlierPromise>,
        restarted: bool,
    ) -> Self {
        let prior = None;
        Self {
            session,
            outstanding,
            applied,
            restarted,
            prior,
            promise_ended: None,
            revoked: false,
        }
    }
}

impl EarlierPromise {
    fn is_released(&self, votes: &RangeVotes) -> bool {
        self.to.as_ref().is_some_and(|to| votes.release_of(to, self.epoch).is_some())
    }
}
