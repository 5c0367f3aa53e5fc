//! Sends seals as a claimant and answers them as a witness.

use crate::ballot::KnownRelease;
use crate::epoch_state::{EpochState, Phase};
use crate::message::{
    MAX_BATCH, Message, RangeAnswer, Refusal, Released, Seal, SealAnswer, SealRange, SealVerdict,
};
use crate::node::Node;
use crate::witness::{LocalRole, SealRequest};
use skylarkdock_units::ids::{Member, Offset, RangeId};

/// Maximum number of known releases that a seal relays per range.
const MAX_RELAYED_RELEASES: usize = 16;

impl Node {
    /// Asks a member, which may be this host itself, to seal an epoch.
    pub(crate) fn send_seal(&mut self, range: &RangeId, to: &Member, epoch_state: &EpochState) {
        let seal = self.seal_range(range, epoch_state);
        if *to == self.me {
            let me = self.me.clone();
            let answer = self.answer_seal(&me, &seal);
            self.apply_answer(&me, 0, self.applied, &answer);
        } else {
            self.outbox.seal(to, seal);
        }
    }

    fn seal_range(&self, range: &RangeId, epoch_state: &EpochState) -> SealRange {
        let known = self.votes(range).map_or(&[][..], |votes| &votes.releases);
        let to_released =
            |known: &KnownRelease| Released { by: known.by.clone(), epoch: known.epoch };
        SealRange {
            range: range.clone(),
            epoch: epoch_state.epoch,
            claim: epoch_state.claim,
            probe: epoch_state.phase == Phase::Probing,
            newest: self.leases.get(range).map_or(Offset(0), |lease| lease.assignment),
            released: known.iter().take(MAX_RELAYED_RELEASES).map(to_released).collect(),
        }
    }

    pub(crate) fn handle_seal(&mut self, from: &Member, seal: &Seal) {
        if seal.to.host != self.me.host || seal.to.incarnation > self.me.incarnation {
            return;
        }
        let session = self.witness.sessions.id(self.now, from);
        let earlier_incarnation = seal.to != self.me;
        let ranges = seal.ranges.iter().take(MAX_BATCH);
        let answers = ranges
            .map(|range| {
                if earlier_incarnation {
                    self.answer_for_earlier_incarnation(range)
                } else {
                    self.answer_seal(from, range)
                }
            })
            .collect();
        let on_behalf = seal.to.clone();
        let answer = SealAnswer { on_behalf, session, applied: self.applied, answers };
        self.outbox.send(&from.host, Message::SealAnswer(answer));
        let newest = seal.ranges.iter().map(|range| range.newest).max().unwrap_or_default();
        self.catch_up(&from.host, newest);
    }

    fn answer_for_earlier_incarnation(&self, seal: &SealRange) -> RangeAnswer {
        let wait = self.witness.earlier_promises_left(self.now);
        self.range_answer(seal, SealVerdict::Restarted { wait })
    }

    fn answer_seal(&mut self, from: &Member, seal: &SealRange) -> RangeAnswer {
        self.record_relayed_releases(seal);
        let holding = self.holdings.get(&seal.range);
        let local_role = LocalRole {
            holds: holding.is_some(),
            claims: self.claims.contains_key(&seal.range),
            drains: holding.is_some_and(|holding| holding.draining.is_some()),
        };
        let lease = self.leases.get(&seal.range);
        let request =
            SealRequest { now: self.now, from, seal, lease, applied: self.applied, local_role };
        let verdict = if seal.probe {
            self.witness.evaluate(&request).map(|()| Vec::new())
        } else {
            let decision = self.witness.seal(&request);
            if let Ok(Some(epoch)) = decision.as_ref().map(|granted| granted.revoked_own) {
                let me = self.me.clone();
                let end = local_role.holds.then(|| self.now + self.timing.usable_promise());
                self.revoke(&seal.range, &me, epoch, end);
            }
            decision.map(|granted| granted.outstanding)
        };
        let verdict = match verdict {
            Ok(outstanding) => SealVerdict::Granted { outstanding },
            Err(refusal) => SealVerdict::Refused(refusal),
        };
        self.range_answer(seal, verdict)
    }

    fn record_relayed_releases(&mut self, seal: &SealRange) {
        let at = self.now;
        for Released { by, epoch } in seal.released.iter().take(MAX_RELAYED_RELEASES) {
            let release = KnownRelease { by: by.clone(), epoch: *epoch, successor: None, at };
            self.witness.votes_mut(&seal.range).note_release(release);
        }
    }

    fn range_answer(&self, seal: &SealRange, verdict: SealVerdict) -> RangeAnswer {
        let votes = self.votes(&seal.range);
        let ballot = votes.and_then(|votes| votes.ballot.as_ref());
        let established = votes.and_then(|votes| votes.established);
        RangeAnswer {
            range: seal.range.clone(),
            epoch: seal.epoch,
            claim: seal.claim,
            probe: seal.probe,
            verdict,
            ballot: ballot.map(|ballot| ballot.epoch).unwrap_or_default(),
            prior: votes.map(|votes| votes.prior).unwrap_or_default(),
            newest: self.leases.get(&seal.range).map_or(Offset(0), |lease| lease.assignment),
            established: established == Some(seal.epoch.offset),
        }
    }

    pub(crate) fn handle_seal_answer(&mut self, from: &Member, answer: &SealAnswer) {
        let asked = &answer.on_behalf;
        if asked.host != from.host || asked.incarnation > from.incarnation {
            return;
        }
        let same_incarnation = asked == from;
        if same_incarnation {
            self.peers.note_answer(self.now, from, answer.session);
        }
        for range in answer.answers.iter().take(MAX_BATCH) {
            let restarted = matches!(range.verdict, SealVerdict::Restarted { .. });
            if same_incarnation != restarted {
                self.apply_answer(asked, answer.session, answer.applied, range);
                self.catch_up_from_answer(from, answer.applied, range);
            }
        }
    }

    fn catch_up_from_answer(&mut self, from: &Member, applied: Offset, answer: &RangeAnswer) {
        let superseded = answer.verdict == SealVerdict::Refused(Refusal::Superseded);
        let offset = if superseded { applied } else { answer.newest };
        self.catch_up(&from.host, offset);
    }

    fn apply_answer(&mut self, by: &Member, session: u64, applied: Offset, answer: &RangeAnswer) {
        let lease = self.leases.get(&answer.range).map(|lease| lease.offset);
        if lease == Some(answer.ballot.offset) {
            self.witness.votes_mut(&answer.range).note_sealed_elsewhere(answer.ballot);
        }
        let holding = self.holdings.get_mut(&answer.range).map(|holding| &mut holding.epoch_state);
        let claim = self.claims.get_mut(&answer.range);
        let epoch_states = holding.into_iter().chain(claim);
        let matches = |epoch_state: &&mut EpochState| {
            epoch_state.claim == answer.claim && epoch_state.epoch == answer.epoch
        };
        for epoch_state in epoch_states.filter(matches) {
            epoch_state.apply_answer(self.now, by, session, applied, answer);
        }
    }
}
