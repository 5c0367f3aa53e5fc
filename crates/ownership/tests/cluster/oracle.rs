//! Checks the invariants of leases at every instant of real time and counts the situations that
//! occurred.

use skylarkdock_ownership::{ClaimReason, Output};
use skylarkdock_units::ids::{Epoch, Member, Offset, RangeId};
use skylarkdock_units::times::HostTime;
use std::collections::{BTreeMap, BTreeSet};

/// A hold as a host publishes it to its traffic threads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Published {
    pub range: RangeId,
    pub epoch: Epoch,
    pub until: HostTime,
    pub assignment: Offset,
    pub accepting: bool,
}

/// Number of times that each situation of interest occurred.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct SituationCounts {
    pub takeover_by_place: u64,
    pub takeover_by_record: u64,
    pub pause_past_hold_end: u64,
    pub log_outage_takeover: u64,
    pub hand_over: u64,
    pub lease_replaced: u64,
    pub restarted: u64,
    pub renewed: u64,
    pub assignment_moved: u64,
    pub handed_over_by_leaving: u64,
    pub prior_known: u64,
}

impl SituationCounts {
    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Self) {
        self.takeover_by_place += other.takeover_by_place;
        self.takeover_by_record += other.takeover_by_record;
        self.pause_past_hold_end += other.pause_past_hold_end;
        self.log_outage_takeover += other.log_outage_takeover;
        self.hand_over += other.hand_over;
        self.lease_replaced += other.lease_replaced;
        self.restarted += other.restarted;
        self.renewed += other.renewed;
        self.prior_known += other.prior_known;
        self.assignment_moved += other.assignment_moved;
        self.handed_over_by_leaving += other.handed_over_by_leaving;
    }

    /// Returns each count with its name.
    pub fn counts(&self) -> [(&'static str, u64); 11] {
        [
            ("takeover by place", self.takeover_by_place),
            ("takeover by record", self.takeover_by_record),
            ("pause past the end of a hold", self.pause_past_hold_end),
            ("log outage during takeover", self.log_outage_takeover),
            ("hand-over", self.hand_over),
            ("lease replaced by a non-holder", self.lease_replaced),
            ("answer for an earlier incarnation", self.restarted),
            ("renewed without a gap", self.renewed),
            ("prior epoch known", self.prior_known),
            ("assignment moved while held", self.assignment_moved),
            ("hand-over by a leaving host", self.handed_over_by_leaving),
        ]
    }
}

/// Circumstances of an output.
#[derive(Debug, Clone, Copy)]
pub struct OutputContext {
    pub log_unavailable: bool,
    /// Whether the acquired lease replaces others.
    pub replaces: bool,
    /// Whether the acquired lease was written by [`super::Cluster::replace_lease`].
    pub lease_replaced: bool,
}

/// State that the checks need, from the outputs and holds so far.
#[derive(Debug, Default)]
pub struct Oracle {
    /// Largest acquired epoch of each range, and its holder.
    pub newest: BTreeMap<RangeId, (Epoch, Member)>,
    /// Offset of the newest assignment under which each range was served.
    pub assignments: BTreeMap<RangeId, Offset>,
    /// Epochs for which a restarted host answered on behalf of an earlier incarnation.
    pub restarted: BTreeSet<(RangeId, Epoch)>,
    /// Successors that a draining holder named.
    pub successors: BTreeSet<(RangeId, Member)>,
    pub situations: SituationCounts,
    pub acquired: Vec<(u64, RangeId, Epoch, ClaimReason)>,
    pub lost: u64,
}

impl Oracle {
    /// Checks a hold that a host has just published: no other host serves the range, and neither
    /// its epoch nor its assignment is older than one seen before.
    pub fn check(
        &mut self,
        real_time: u64,
        host: &Member,
        hold: &Published,
        other: Option<(Member, Published)>,
    ) -> Result<(), String> {
        if let Some((other, other_hold)) = other {
            return Err(format!(
                "at {real_time}: {host} serves {hold:?}, {other} serves {other_hold:?}"
            ));
        }
        let newest = self.newest.get(&hold.range);
        if newest.is_some_and(|(epoch, _)| *epoch > hold.epoch) {
            return Err(format!("at {real_time}: {host} serves {hold:?} after {newest:?}"));
        }
        let served = self.assignments.entry(hold.range.clone()).or_default();
        if *served > hold.assignment {
            return Err(format!(
                "at {real_time}: {host} serves {hold:?} after assignment {served}"
            ));
        }
        if *served < hold.assignment && newest.is_some_and(|(epoch, _)| *epoch == hold.epoch) {
            self.situations.assignment_moved += u64::from(*served >= hold.epoch.offset);
        }
        *served = hold.assignment;
        Ok(())
    }

    /// Checks the epochs of an output and counts its situation.
    pub fn note(
        &mut self,
        real_time: u64,
        host: &Member,
        output: &Output,
        context: OutputContext,
    ) -> Result<(), String> {
        let OutputContext { log_unavailable, replaces, lease_replaced } = context;
        match output {
            Output::Acquired { range, epoch, reason, prior, .. } => {
                self.check_prior(real_time, host, range, *prior)?;
                self.note_acquired(real_time, host, range, *epoch, *reason)?;
                let successor = self.successors.remove(&(range.clone(), host.clone()));
                let restarted = self.restarted.remove(&(range.clone(), *epoch));
                let situations = &mut self.situations;
                situations.takeover_by_place += u64::from(*reason == ClaimReason::Takeover);
                situations.takeover_by_record +=
                    u64::from(*reason == ClaimReason::Assigned && replaces);
                situations.log_outage_takeover +=
                    u64::from(*reason == ClaimReason::Takeover && log_unavailable);
                situations.hand_over += u64::from(successor && *reason == ClaimReason::Assigned);
                situations.handed_over_by_leaving +=
                    u64::from(successor && *reason == ClaimReason::HandedOver);
                situations.lease_replaced +=
                    u64::from(lease_replaced && *reason == ClaimReason::Assigned);
                situations.renewed += u64::from(*reason == ClaimReason::Renewed);
                situations.restarted += u64::from(restarted);
            }
            Output::Drain { range, successor: Some(successor), .. } => {
                self.successors.insert((range.clone(), successor.clone()));
            }
            Output::Lost { .. } => self.lost += 1,
            _ => {}
        }
        Ok(())
    }

    /// Checks that the prior epoch that an acquirer reports, if any, is not older than the last
    /// epoch of another holder.
    fn check_prior(
        &mut self,
        real_time: u64,
        host: &Member,
        range: &RangeId,
        prior: Option<Epoch>,
    ) -> Result<(), String> {
        let last = self.newest.get(range).filter(|(_, by)| by != host).map(|(epoch, _)| *epoch);
        match (last, prior) {
            (Some(last), Some(prior)) if prior < last => Err(format!(
                "at {real_time}: {host} reports the prior epoch {prior}, older than {last}"
            )),
            (Some(_), Some(_)) => {
                self.situations.prior_known += 1;
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn note_acquired(
        &mut self,
        real_time: u64,
        host: &Member,
        range: &RangeId,
        epoch: Epoch,
        reason: ClaimReason,
    ) -> Result<(), String> {
        if let Some((newest, by)) = self.newest.get(range) {
            let is_reclaimed = epoch == *newest && by == host && reason == ClaimReason::Reclaimed;
            if epoch <= *newest && !is_reclaimed {
                return Err(format!(
                    "at {real_time}: {host} acquired {range} {epoch} after {newest}"
                ));
            }
        }
        self.newest.insert(range.clone(), (epoch, host.clone()));
        self.acquired.push((real_time, range.clone(), epoch, reason));
        Ok(())
    }
}
