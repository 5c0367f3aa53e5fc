//! One incarnation of a daemon as holder, claimant and witness of ranges.

use crate::ballot::RangeVotes;
use crate::epoch_state::{EpochState, PromiseContext};
use crate::events::{Hold, Input, Output};
use crate::holdings::PendingRelease;
use crate::lease::Lease;
use crate::message::Message;
use crate::outbox::Outbox;
use crate::peers::Peers;
use crate::timing::Timing;
use crate::witness::{VotesUse, Witness};
use skylarkdock_fold::State;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{Epoch, HostId, Member, Offset, RangeId};
use skylarkdock_units::times::HostTime;
use std::collections::{BTreeMap, BTreeSet};

/// A range that this host holds.
#[derive(Debug, Clone)]
pub(crate) struct Holding {
    pub epoch_state: EpochState,
    pub assignment: Offset,
    pub draining: Option<Draining>,
    /// Members that confirmed that the lease is established.
    pub informed: BTreeSet<HostId>,
    pub announced_at: Option<HostTime>,
    /// Largest epoch of an abandoned claim that this host made while holding the range.
    pub abandoned_epoch: Option<Epoch>,
    /// Since when a member is known to have sealed a larger epoch.
    pub outdated_since: Option<HostTime>,
}

/// A range that is being drained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Draining {
    pub successor: Option<Member>,
}

/// One incarnation of a daemon.
#[derive(Debug, Clone)]
pub struct Node {
    pub(crate) me: Member,
    pub(crate) timing: Timing,
    pub(crate) now: HostTime,
    pub(crate) applied: Offset,
    /// Offset of the newest assignment of any range.
    pub(crate) newest: Offset,
    pub(crate) leases: BTreeMap<RangeId, Lease>,
    /// Ranges whose current lease has this host as a member.
    pub(crate) member_ranges: BTreeSet<RangeId>,
    pub(crate) witness: Witness,
    pub(crate) peers: Peers,
    pub(crate) holdings: BTreeMap<RangeId, Holding>,
    pub(crate) claims: BTreeMap<RangeId, EpochState>,
    /// When to check next which claims are due, unless an input other than a tick or heartbeat
    /// arrives earlier.
    pub(crate) next_claim_check: HostTime,
    /// When [`Node::maintain_holdings`] last ran.
    pub(crate) maintained_at: HostTime,
    /// Earliest time of the next claim, after one was abandoned.
    pub(crate) retry_after: FastMap<RangeId, HostTime>,
    pub(crate) pending_releases: BTreeMap<RangeId, PendingRelease>,
    pub(crate) leaving: bool,
    pub(crate) last_claim_number: u64,
    pub(crate) catch_up_reported: FastMap<HostId, (Offset, HostTime)>,
    pub(crate) outbox: Outbox,
}

impl Node {
    /// Creates the node of a daemon that has just started. `me` must be a new incarnation.
    pub fn new(me: Member, timing: Timing, now: HostTime) -> Self {
        Self {
            witness: Witness::new(me.clone(), timing, now),
            me,
            timing,
            now,
            applied: Offset(0),
            newest: Offset(0),
            leases: BTreeMap::new(),
            member_ranges: BTreeSet::new(),
            peers: Peers::default(),
            holdings: BTreeMap::new(),
            claims: BTreeMap::new(),
            next_claim_check: now,
            maintained_at: HostTime(0),
            retry_after: FastMap::default(),
            pending_releases: BTreeMap::new(),
            leaving: false,
            last_claim_number: 0,
            catch_up_reported: FastMap::default(),
            outbox: Outbox::default(),
        }
    }

    /// Processes an input at a reading of the host's clock and returns the outputs in order.
    pub fn step(&mut self, now: HostTime, input: Input<'_>) -> Vec<Output> {
        self.advance_clock(now);
        self.expire();
        if !input.is_routine() {
            self.next_claim_check = self.now;
        }
        match input {
            Input::Tick => {}
            Input::Applied(state) => self.apply(state),
            Input::Received { from, message } => self.receive(&from, message),
            Input::Drained { range, epoch } => self.finish_drain(&range, epoch),
            Input::Leave => self.leave(),
        }
        self.start_claims();
        self.advance_claims();
        self.maintain_holdings();
        self.resend_releases();
        self.send_heartbeats();
        self.outbox.take_outputs()
    }

    /// Returns the ranges that this host may serve and until when.
    pub fn holds(&self) -> impl Iterator<Item = Hold<'_>> + '_ {
        self.holdings.iter().map(|(range, holding)| Hold {
            range,
            epoch: holding.epoch_state.epoch,
            until: holding.epoch_state.valid_until(&self.promise_context()),
            assignment: holding.assignment,
            accepting: holding.draining.is_none(),
        })
    }

    /// Returns when the next [`Input::Tick`] is due if no other input arrives earlier.
    pub fn next_wakeup(&self, now: HostTime) -> HostTime {
        let context = self.promise_context();
        let promise_ends =
            self.holdings.values().map(|holding| holding.epoch_state.valid_until(&context));
        let earlier_promise_ends =
            self.claims.values().filter_map(|claim| claim.next_promise_end(now));
        let claim_check = std::iter::once(self.next_claim_check);
        let next = promise_ends
            .chain(earlier_promise_ends)
            .chain(claim_check)
            .filter(|at| *at > now)
            .min();
        let latest = now + self.timing.heartbeat_interval;
        next.map_or(latest, |next| next.min(latest))
    }

    /// Returns the number of releases that some receiver has not confirmed yet.
    pub fn unconfirmed_releases(&self) -> usize {
        self.pending_releases.len()
    }

    pub(crate) fn promise_context(&self) -> PromiseContext<'_> {
        PromiseContext { now: self.now, me: &self.me, timing: &self.timing, peers: &self.peers }
    }

    pub(crate) fn votes(&self, range: &RangeId) -> Option<&RangeVotes> {
        self.witness.votes(range)
    }

    /// Sets the time and closes idle sessions. After a pause of this host, the silence of others is
    /// counted from now on: their silence during the pause does not show that they are down.
    fn advance_clock(&mut self, now: HostTime) {
        if now.since(self.now).0 > 2 * self.timing.heartbeat_interval.0 {
            self.witness.resumed_at = now;
        }
        self.now = self.now.max(now);
        self.witness.sessions.close_idle(self.now, &self.timing);
        self.peers.remove_idle(self.now, &self.timing);
        let (now, retention) = (self.now, self.timing.effective_session_timeout());
        self.catch_up_reported.retain(|_, (_, at)| now.since(*at) < retention);
    }

    fn apply(&mut self, state: &State) {
        if state.applied < self.applied {
            return;
        }
        self.applied = state.applied;
        let mut leases = BTreeMap::new();
        for (range, assignment) in state.assignments() {
            let current = self.leases.remove(&range);
            let lease = match current {
                Some(current) if current.assignment == assignment.offset => current,
                Some(current) if current.offset == assignment.lease => {
                    Lease::new(assignment, current.folded_at)
                }
                _ => Lease::new(assignment, self.now),
            };
            self.newest = self.newest.max(lease.assignment);
            leases.insert(range, lease);
        }
        self.leases = leases;
        let member = |(_, lease): &(&RangeId, &Lease)| lease.index_of(&self.me).is_some();
        self.member_ranges =
            self.leases.iter().filter(member).map(|(range, _)| range.clone()).collect();
        self.follow_lease_changes();
        self.drop_unneeded_votes();
    }

    fn drop_unneeded_votes(&mut self) {
        let Self { witness, leases, holdings, claims, me, applied, .. } = self;
        witness.retain_votes(self.now, |range, newest| {
            let in_use = holdings.contains_key(range) || claims.contains_key(range);
            match leases.get(range) {
                _ if in_use || newest > *applied => VotesUse::Needed,
                Some(lease) if lease.involves(me) => VotesUse::Needed,
                Some(_) => VotesUse::Outdated,
                None => VotesUse::Retired,
            }
        });
        let member_ranges = &self.member_ranges;
        self.retry_after.retain(|range, _| member_ranges.contains(range));
    }

    fn receive(&mut self, from: &Member, message: Message) {
        if from.host == self.me.host {
            return;
        }
        match message {
            Message::Heartbeat(heartbeat) => self.handle_heartbeat(from, &heartbeat),
            Message::HeartbeatAck(ack) => self.handle_heartbeat_ack(from, &ack),
            Message::Seal(seal) => self.handle_seal(from, &seal),
            Message::SealAnswer(answer) => self.handle_seal_answer(from, &answer),
            Message::Release(release) => self.handle_release(from, &release),
            Message::Established(established) => self.handle_established(from, &established),
            Message::Confirm(confirm) => self.handle_confirm(from, &confirm),
        }
    }

    /// Ends a witness's promises to all epochs up to `epoch`; earlier promises last until `end`.
    pub(crate) fn revoke(
        &mut self,
        range: &RangeId,
        by: &Member,
        epoch: Epoch,
        end: Option<HostTime>,
    ) {
        if let Some(holding) = self.holdings.get_mut(range) {
            holding.epoch_state.revoke(by, epoch, end);
        }
        if let Some(claim) = self.claims.get_mut(range) {
            claim.revoke(by, epoch, end);
        }
    }

    /// Reports a peer that has applied more records, at most once per peer and heartbeat interval.
    pub(crate) fn catch_up(&mut self, from: &HostId, offset: Offset) {
        if offset <= self.applied {
            return;
        }
        let last = self.catch_up_reported.get(from);
        if last.is_some_and(|(_, at)| self.now.since(*at) < self.timing.heartbeat_interval) {
            return;
        }
        self.catch_up_reported.insert(from.clone(), (offset, self.now));
        self.outbox.push(Output::CatchUp { from: from.clone(), offset });
    }

    /// Returns whether the range's lease is no longer the one that `epoch` belongs to.
    pub(crate) fn lease_changed(&self, range: &RangeId, epoch: Epoch) -> bool {
        self.leases.get(range).is_none_or(|lease| lease.offset != epoch.offset)
    }
}
