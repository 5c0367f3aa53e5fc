//! Maintains, drains and releases the ranges that this host holds.

use crate::ballot::KnownRelease;
use crate::events::{LossReason, Output};
use crate::message::{Confirm, Established, MAX_BATCH, Message, RangeEpoch, Release, ReleaseRange};
use crate::node::{Draining, Holding, Node};
use skylarkdock_units::ids::{Epoch, HostId, Member, RangeId};
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::BTreeSet;

/// How often holdings are maintained per heartbeat interval.
const MAINTENANCE_PER_HEARTBEAT: u64 = 4;

/// A release that is resent until all receivers have confirmed it.
#[derive(Debug, Clone)]
pub(crate) struct PendingRelease {
    epoch: Epoch,
    successor: Option<Member>,
    hosts: BTreeSet<HostId>,
    since: HostTime,
    last_sent_at: Option<HostTime>,
}

/// A release to send.
pub(crate) struct ReleaseTo {
    pub epoch: Epoch,
    pub successor: Option<Member>,
    pub members: Vec<Member>,
}

impl Node {
    /// Drops the ranges that no longer have a majority of unexpired promises.
    pub(crate) fn expire(&mut self) {
        let context = self.promise_context();
        let expired = |holding: &Holding| holding.epoch_state.valid_until(&context) <= self.now;
        let expired = self.holdings.iter().filter(|(_, holding)| expired(holding));
        let expired: Vec<_> = expired.map(|(range, _)| range.clone()).collect();
        for range in expired {
            let Some(holding) = self.holdings.remove(&range) else { continue };
            self.next_claim_check = self.now;
            let revoked = holding.epoch_state.is_revoked();
            let reason = if revoked { LossReason::Revoked } else { LossReason::Lapsed };
            let epoch = holding.epoch_state.epoch;
            self.outbox.push(Output::Lost { range: range.clone(), epoch, reason });
            let lease_changed = self.lease_changed(&range, epoch);
            if lease_changed || holding.draining.is_some() || holding.abandoned_epoch.is_some() {
                self.release_holding(&range, holding);
            }
        }
    }

    /// Abandons claims and drains ranges whose lease is no longer in force in the folded state.
    pub(crate) fn follow_lease_changes(&mut self) {
        let claimed: Vec<_> =
            self.claims.iter().map(|(range, c)| (range.clone(), c.epoch)).collect();
        for (range, epoch) in claimed {
            if self.lease_changed(&range, epoch) {
                self.abandon_claim(&range, None, Millis(0));
            }
        }
        let held: Vec<_> =
            self.holdings.iter().map(|(range, h)| (range.clone(), h.epoch_state.epoch)).collect();
        for (range, epoch) in held {
            if self.lease_changed(&range, epoch) {
                let first = self.leases.get(&range).and_then(|lease| lease.first_member().cloned());
                self.follow_lease_change(&range, first);
            }
        }
    }

    fn follow_lease_change(&mut self, range: &RangeId, first: Option<Member>) {
        let own = first.as_ref() == Some(&self.me);
        let draining = self.holdings.get(range).is_some_and(|holding| holding.draining.is_some());
        if !own {
            self.drain(range, first);
        } else if draining {
            self.drain(range, None);
        }
    }

    fn drain(&mut self, range: &RangeId, successor: Option<Member>) {
        let Some(holding) = self.holdings.get_mut(range) else { return };
        let draining = Draining { successor: successor.clone() };
        if holding.draining.as_ref() == Some(&draining) {
            return;
        }
        let begins = holding.draining.replace(draining).is_none();
        let epoch = holding.epoch_state.epoch;
        let members = holding.epoch_state.members.clone();
        self.outbox.push(Output::Drain { range: range.clone(), epoch, successor });
        if begins && self.lease_changed(range, epoch) {
            self.announce_draining(&members);
        }
    }

    /// Sends heartbeats at once, so that the witnesses delay the newer lease while this host
    /// drains.
    fn announce_draining(&mut self, members: &[Member]) {
        let min_idle = Millis(self.timing.heartbeat_interval.0 / 10);
        for member in members {
            let other = member.host != self.me.host;
            if other && self.peers.is_idle(self.now, min_idle, member) {
                self.send_heartbeat(member);
            }
        }
    }

    pub(crate) fn finish_drain(&mut self, range: &RangeId, epoch: Epoch) {
        let drains =
            |holding: &Holding| holding.draining.is_some() && holding.epoch_state.epoch == epoch;
        if !self.holdings.get(range).is_some_and(drains) {
            return;
        }
        if let Some(holding) = self.holdings.remove(range) {
            self.release_holding(range, holding);
        }
    }

    fn release_holding(&mut self, range: &RangeId, holding: Holding) {
        let epoch = holding.abandoned_epoch.map_or(holding.epoch_state.epoch, |abandoned| {
            abandoned.max(holding.epoch_state.epoch)
        });
        let successor = holding.draining.and_then(|draining| draining.successor);
        let members = holding.epoch_state.members;
        self.release(range, ReleaseTo { epoch, successor, members });
    }

    /// Starts to send a release to the given members and to those of the lease in force.
    pub(crate) fn release(&mut self, range: &RangeId, release: ReleaseTo) {
        let ReleaseTo { epoch, successor, mut members } = release;
        members.extend(self.leases.get(range).map_or(Vec::new(), |lease| lease.members.clone()));
        let hosts = members.into_iter().map(|member| member.host);
        let hosts = hosts.filter(|host| *host != self.me.host).collect();
        let (by, at) = (self.me.clone(), self.now);
        let known = KnownRelease { by, epoch, successor: successor.clone(), at };
        self.witness.votes_mut(range).note_release(known);
        let pending = PendingRelease { epoch, successor, hosts, since: at, last_sent_at: None };
        self.pending_releases.insert(range.clone(), pending);
    }

    pub(crate) fn resend_releases(&mut self) {
        let (now, timing) = (self.now, self.timing);
        let Self { pending_releases, outbox, .. } = self;
        pending_releases.retain(|_, release| {
            !release.hosts.is_empty() && now.since(release.since) < timing.drain_limit
        });
        for (range, release) in pending_releases {
            if release.last_sent_at.is_some_and(|at| now.since(at) < timing.heartbeat_interval) {
                continue;
            }
            release.last_sent_at = Some(now);
            for host in &release.hosts {
                let successor = release.successor.clone();
                let range = range.clone();
                outbox.release(host, ReleaseRange { range, epoch: release.epoch, successor });
            }
        }
    }

    pub(crate) fn handle_release(&mut self, from: &Member, release: &Release) {
        let mut confirm = Confirm::default();
        for ReleaseRange { range, epoch, successor } in release.ranges.iter().take(MAX_BATCH) {
            let (by, at, successor) = (from.clone(), self.now, successor.clone());
            let known = KnownRelease { by, epoch: *epoch, successor, at };
            self.witness.votes_mut(range).note_release(known);
            confirm.released.push(RangeEpoch { range: range.clone(), epoch: *epoch });
            if let Some(claim) = self.claims.get_mut(range) {
                claim.seal_sent_at = None;
            }
        }
        self.outbox.send(&from.host, Message::Confirm(confirm));
    }

    pub(crate) fn handle_established(&mut self, from: &Member, established: &Established) {
        let ranges: Vec<_> = established.ranges.iter().take(MAX_BATCH).cloned().collect();
        for RangeEpoch { range, epoch } in &ranges {
            let votes = self.witness.votes_mut(range);
            votes.established = votes.established.max(Some(epoch.offset));
            votes.note_sealed_elsewhere(*epoch);
        }
        let confirm = Confirm { established: ranges, released: Vec::new() };
        self.outbox.send(&from.host, Message::Confirm(confirm));
    }

    pub(crate) fn handle_confirm(&mut self, from: &Member, confirm: &Confirm) {
        for RangeEpoch { range, epoch } in &confirm.released {
            if let Some(pending) = self.pending_releases.get_mut(range)
                && pending.epoch == *epoch
            {
                pending.hosts.remove(&from.host);
            }
        }
        for RangeEpoch { range, epoch } in &confirm.established {
            if let Some(holding) = self.holdings.get_mut(range)
                && holding.epoch_state.epoch == *epoch
            {
                holding.informed.insert(from.host.clone());
            }
        }
    }

    /// Maintains the held ranges: seals at members that have not granted yet, adopts newer
    /// assignments, and announces that the lease is established.
    pub(crate) fn maintain_holdings(&mut self) {
        if self.now.since(self.maintained_at).0
            < self.timing.heartbeat_interval.0 / MAINTENANCE_PER_HEARTBEAT
        {
            return;
        }
        self.maintained_at = self.now;
        self.witness.expire_retired(self.now);
        let ranges: Vec<_> = self.holdings.keys().cloned().collect();
        for range in ranges {
            self.seal_at_missing_members(&range);
            self.adopt_assignment(&range);
            self.announce_established(&range);
        }
    }

    fn seal_at_missing_members(&mut self, range: &RangeId) {
        let Some(holding) = self.holdings.get_mut(range) else { return };
        let epoch = holding.epoch_state.epoch;
        let is_due = holding
            .epoch_state
            .seal_sent_at
            .is_none_or(|at| self.now.since(at) >= self.timing.heartbeat_interval);
        if !is_due || holding.draining.is_some() {
            return;
        }
        holding.epoch_state.seal_sent_at = Some(self.now);
        let outdated = holding.epoch_state.is_outdated();
        let since = if outdated { holding.outdated_since.or(Some(self.now)) } else { None };
        if holding.outdated_since != since {
            holding.outdated_since = since;
            self.next_claim_check = self.now;
        }
        if self.lease_changed(range, epoch) {
            return;
        }
        let Some(holding) = self.holdings.get(range) else { return };
        let missing_members: Vec<_> = holding
            .epoch_state
            .members
            .iter()
            .filter(|member| {
                let live = self.peers.is_live(self.now, &self.timing, member);
                live && holding.epoch_state.needs_seal(&self.peers, member)
            })
            .cloned()
            .collect();
        if missing_members.is_empty() {
            return;
        }
        let epoch_state = holding.epoch_state.clone();
        for member in missing_members {
            self.send_seal(range, &member, &epoch_state);
        }
    }

    fn adopt_assignment(&mut self, range: &RangeId) {
        let Some(lease) = self.leases.get(range) else { return };
        let Some(holding) = self.holdings.get(range) else { return };
        let newer = lease.offset == holding.epoch_state.epoch.offset
            && lease.assignment > holding.assignment
            && holding.epoch_state.majority_has_applied(
                &self.promise_context(),
                self.applied,
                lease.assignment,
            );
        if !newer {
            return;
        }
        let assignment = lease.assignment;
        if let Some(holding) = self.holdings.get_mut(range) {
            holding.assignment = assignment;
        }
    }

    fn announce_established(&mut self, range: &RangeId) {
        let Some(holding) = self.holdings.get_mut(range) else { return };
        let heartbeat = self.timing.heartbeat_interval;
        if holding.announced_at.is_some_and(|at| self.now.since(at) < heartbeat) {
            return;
        }
        holding.announced_at = Some(self.now);
        let epoch = holding.epoch_state.epoch;
        for member in &holding.epoch_state.members {
            let live = self.peers.is_live(self.now, &self.timing, member);
            if live && !holding.informed.contains(&member.host) {
                let established = RangeEpoch { range: range.clone(), epoch };
                self.outbox.establish(&member.host, established);
            }
        }
    }

    /// Returns the first live member after this host in the order of succession.
    pub(crate) fn next_live(&self, members: &[Member]) -> Option<Member> {
        let start = members.iter().position(|member| *member == self.me)?;
        let (before, after) = members.split_at(start);
        let mut order = after.iter().skip(1).chain(before);
        order.find(|member| self.peers.is_live(self.now, &self.timing, member)).cloned()
    }

    /// Abandons all claims and drains every held range for its next live member.
    pub(crate) fn leave(&mut self) {
        self.leaving = true;
        let claimed: Vec<_> = self.claims.keys().cloned().collect();
        for range in claimed {
            let members = self.claims.get(&range).map_or(&[][..], |claim| &claim.members);
            let next = self.next_live(members);
            self.abandon_claim(&range, next, Millis(0));
        }
        let held: Vec<_> = self.holdings.keys().cloned().collect();
        for range in held {
            let Some(holding) = self.holdings.get(&range) else { continue };
            if holding.draining.is_none() {
                let successor = self.next_live(&holding.epoch_state.members);
                self.drain(&range, successor);
            }
        }
    }
}
