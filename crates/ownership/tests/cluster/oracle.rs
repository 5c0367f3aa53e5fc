//! The oracle: what must hold at every instant of real time, and what was reached.

use skylarkdock_ownership::{ClaimReason, Output};
use skylarkdock_units::ids::{Epoch, Member, Offset, RangeId};
use skylarkdock_units::times::HostTime;
use std::collections::{BTreeMap, BTreeSet};

/// A hold as the traffic threads of a host see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Published {
    pub range: RangeId,
    pub epoch: Epoch,
    pub until: HostTime,
    pub assignment: Offset,
    pub accepting: bool,
}

/// What a run reached.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Reached {
    pub takeover_by_place: u64,
    pub takeover_by_record: u64,
    pub pause_across_lapse: u64,
    pub log_outage_takeover: u64,
    pub hand_over: u64,
    pub repair: u64,
    pub restarted: u64,
    pub renewed: u64,
    pub assignment_moved: u64,
    pub left: u64,
    pub prior_known: u64,
}

impl Reached {
    /// Adds what another run reached.
    pub fn add(&mut self, other: &Self) {
        self.takeover_by_place += other.takeover_by_place;
        self.takeover_by_record += other.takeover_by_record;
        self.pause_across_lapse += other.pause_across_lapse;
        self.log_outage_takeover += other.log_outage_takeover;
        self.hand_over += other.hand_over;
        self.repair += other.repair;
        self.restarted += other.restarted;
        self.renewed += other.renewed;
        self.prior_known += other.prior_known;
        self.assignment_moved += other.assignment_moved;
        self.left += other.left;
    }

    /// Returns every count with its name.
    pub fn counts(&self) -> [(&'static str, u64); 11] {
        [
            ("takeover by place", self.takeover_by_place),
            ("takeover by record", self.takeover_by_record),
            ("pause across a lapse", self.pause_across_lapse),
            ("log outage during takeover", self.log_outage_takeover),
            ("hand-over", self.hand_over),
            ("repair", self.repair),
            ("restarted witness vouching", self.restarted),
            ("renewed without a gap", self.renewed),
            ("last holder before known", self.prior_known),
            ("assignment moved while held", self.assignment_moved),
            ("left", self.left),
        ]
    }
}

/// What surrounds an output.
#[derive(Debug, Clone, Copy)]
pub struct Around {
    pub log_away: bool,
    /// Whether the lease acquired replaces others.
    pub replaces: bool,
    /// Whether it was written as a repair.
    pub repair: bool,
}

/// What was seen of the ranges so far.
#[derive(Debug, Default)]
pub struct Oracle {
    /// Largest epoch acquired of each range, and by whom.
    pub newest: BTreeMap<RangeId, (Epoch, Member)>,
    /// Newest assignment served of each range.
    pub assignments: BTreeMap<RangeId, Offset>,
    /// Epochs that a restarted host vouched for.
    pub restarted: BTreeSet<(RangeId, Epoch)>,
    /// Who was told to expect a range.
    pub successors: BTreeSet<(RangeId, Member)>,
    pub reached: Reached,
    pub acquired: Vec<(u64, RangeId, Epoch, ClaimReason)>,
    pub lost: u64,
}

impl Oracle {
    /// Checks a hold that a host has just published against that of another, if there is one.
    pub fn check(
        &mut self,
        real: u64,
        who: &Member,
        hold: &Published,
        other: Option<(Member, Published)>,
    ) -> Result<(), String> {
        if let Some((other, theirs)) = other {
            return Err(format!("at {real}: {who} serves {hold:?}, {other} serves {theirs:?}"));
        }
        let newest = self.newest.get(&hold.range);
        if newest.is_some_and(|(epoch, _)| *epoch > hold.epoch) {
            return Err(format!("at {real}: {who} serves {hold:?} after {newest:?}"));
        }
        let served = self.assignments.entry(hold.range.clone()).or_default();
        if *served > hold.assignment {
            return Err(format!("at {real}: {who} serves {hold:?} after assignment {served}"));
        }
        if *served < hold.assignment && newest.is_some_and(|(epoch, _)| *epoch == hold.epoch) {
            self.reached.assignment_moved += u64::from(*served >= hold.epoch.offset);
        }
        *served = hold.assignment;
        Ok(())
    }

    /// Checks the order of epochs and counts what was reached.
    pub fn note(
        &mut self,
        real: u64,
        who: &Member,
        output: &Output,
        around: Around,
    ) -> Result<(), String> {
        let Around { log_away, replaces, repair } = around;
        match output {
            Output::Acquired { range, epoch, reason, prior, .. } => {
                self.check_prior(real, who, range, *prior)?;
                self.note_acquired(real, who, range, *epoch, *reason)?;
                let successor = self.successors.remove(&(range.clone(), who.clone()));
                let restarted = self.restarted.remove(&(range.clone(), *epoch));
                let reached = &mut self.reached;
                reached.takeover_by_place += u64::from(*reason == ClaimReason::Takeover);
                reached.takeover_by_record +=
                    u64::from(*reason == ClaimReason::Assigned && replaces);
                reached.log_outage_takeover +=
                    u64::from(*reason == ClaimReason::Takeover && log_away);
                reached.hand_over += u64::from(successor && *reason == ClaimReason::Assigned);
                reached.left += u64::from(successor && *reason == ClaimReason::HandedOver);
                reached.repair += u64::from(repair && *reason == ClaimReason::Assigned);
                reached.renewed += u64::from(*reason == ClaimReason::Renewed);
                reached.restarted += u64::from(restarted);
            }
            Output::Drain { range, successor: Some(successor), .. } => {
                self.successors.insert((range.clone(), successor.clone()));
            }
            Output::Lost { .. } => self.lost += 1,
            _ => {}
        }
        Ok(())
    }

    /// Checks that an acquirer knows of the last other holder, or knows that it can't tell.
    fn check_prior(
        &mut self,
        real: u64,
        who: &Member,
        range: &RangeId,
        prior: Option<Epoch>,
    ) -> Result<(), String> {
        let last = self.newest.get(range).filter(|(_, by)| by != who).map(|(epoch, _)| *epoch);
        match (last, prior) {
            (Some(last), Some(prior)) if prior < last => {
                Err(format!("at {real}: {who} takes {prior} for the last epoch before, not {last}"))
            }
            (Some(_), Some(_)) => {
                self.reached.prior_known += 1;
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn note_acquired(
        &mut self,
        real: u64,
        who: &Member,
        range: &RangeId,
        epoch: Epoch,
        reason: ClaimReason,
    ) -> Result<(), String> {
        if let Some((newest, by)) = self.newest.get(range) {
            let again = epoch == *newest && by == who && reason == ClaimReason::Reclaimed;
            if epoch <= *newest && !again {
                return Err(format!("at {real}: {who} acquired {range} {epoch} after {newest}"));
            }
        }
        self.newest.insert(range.clone(), (epoch, who.clone()));
        self.acquired.push((real, range.clone(), epoch, reason));
        Ok(())
    }
}
