//! A store that is away for a moment and comes back from an older copy, and the check that fencing tokens of a key grow all the
//! same.

use super::{HOSTS, Host, Simulation, UPSTREAMS, sample_keys};
use skylarkdock_spans::renewal::Grant;
use skylarkdock_spans::restored::{self, Asked, Memory, Recall, StoreCopy};
use skylarkdock_spans::table::FencingToken;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::HostId;
use skylarkdock_units::times::{HostTime, Millis};

/// One step in so many begins with the loss.
const STEPS_PER_LOSS: u32 = 400;
/// One loss in so many is followed by another one soon.
const LOSSES_PER_PAIR: u32 = 4;
/// Largest age of the copy, in milliseconds.
const MAX_AGE_MS: u64 = 5_000;
/// Longest time for which the store is away, in milliseconds.
const MAX_AWAY_MS: u64 = 3_000;
/// Longest time from a loss to the one that follows soon, in milliseconds.
const MAX_PAIR_MS: u64 = 4_000;

/// Longest time from the first step until the upstreams start, in milliseconds.
const MAX_SERVICE_DELAY_MS: u64 = 6_000;
/// Longest time from then until the first loss, in milliseconds: time for the first table, and for some moves.
const MAX_EARLY_LOSS_MS: u64 = 7_000;
/// Time for which a host whose record is missing runs and reaches the store until it is recorded, in milliseconds.
const RECORDING_MS: u64 = 2_500;

/// Longest time for which a host that ended with the loss is down, in milliseconds.
const MAX_DOWN_MS: u64 = 14_000;
/// Longest time from the loss until another host is cut off, and for which it is, in milliseconds.
const MAX_CUT_DELAY_MS: u64 = 20_000;
const MAX_CUT_MS: u64 = 15_000;
/// Longest time from the loss until an upstream crashes, in milliseconds.
const MAX_CRASH_DELAY_MS: u64 = 3_000;

/// A loss of the first tables, which some hosts or none outlast, and what happens around it.
pub(super) struct EarlyLoss {
    rng: fastrand::Rng,
    service_at: u64,
    lost_at: Option<u64>,
    /// A host that is added before the loss, and when. It leads; others may lose the store until after the loss.
    added: Option<(u64, usize)>,
    /// A host that is cut off after the loss, and when.
    cut: Option<(u64, usize)>,
    /// A host that follows the one that is cut off, that one, and when.
    following: Option<(u64, usize, usize)>,
    /// An upstream that crashes after the loss, and when.
    crash: Option<(u64, usize)>,
}

impl EarlyLoss {
    pub(super) fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed.rotate_left(24));
        let service_at = 1_000 + rng.u64(..MAX_SERVICE_DELAY_MS);
        let lost_at = service_at + rng.u64(500..MAX_EARLY_LOSS_MS);
        let added_at = service_at + rng.u64(..lost_at - service_at);
        let added = rng.bool().then(|| (added_at, rng.usize(..HOSTS)));
        let cut_at = lost_at + rng.u64(..MAX_CUT_DELAY_MS);
        let cut = (cut_at, rng.usize(..HOSTS));
        let follower = (cut.1 + rng.usize(1..HOSTS)) % HOSTS;
        let following = Some((cut_at + rng.u64(..MAX_CUT_MS), follower, cut.1));
        let crash = Some((lost_at + rng.u64(..MAX_CRASH_DELAY_MS), rng.usize(..UPSTREAMS)));
        Self { rng, service_at, lost_at: Some(lost_at), added, cut: Some(cut), following, crash }
    }

    /// Returns whether a host is still to be added.
    pub(super) fn lacks(&self, host: usize) -> bool {
        self.added.is_some_and(|(_, added)| added == host)
    }

    pub(super) const fn has_service(&self, now: u64) -> bool {
        now >= self.service_at
    }
}

/// Number of the store's copy, and the number of tables in its log.
pub(super) type Position = (u32, usize);

/// The copies of the store, with random numbers of their own, so that the other faults do not depend on them.
pub(super) struct Copies {
    rng: fastrand::Rng,
    number: u32,
    /// When each table of the log was recorded.
    recorded_at: Vec<u64>,
    away_until: u64,
    next_loss_at: Option<u64>,
    /// Largest token with which an upstream accepted each key, and its index.
    accepted: FastMap<u16, (usize, FencingToken)>,
}

impl Copies {
    /// Creates a store that has never come back. It may begin to count its copies `at_any_number`.
    pub(super) fn new(seed: u64, at_any_number: bool) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed.rotate_left(16)),
            number: if at_any_number { u32::try_from(seed % 3).unwrap_or_default() } else { 0 },
            recorded_at: Vec::new(),
            away_until: 0,
            next_loss_at: None,
            accepted: FastMap::default(),
        }
    }

    pub(super) fn on_recorded(&mut self, now: u64) {
        self.recorded_at.push(now);
    }

    pub(super) const fn is_away(&self, now: u64) -> bool {
        now < self.away_until
    }

    pub(super) const fn position(&self) -> Position {
        (self.number, self.recorded_at.len())
    }
}

impl Host {
    fn memory(&self, now: u64) -> Memory {
        Memory { first_copy: self.first_copy, ..self.renewals.memory(HostTime(now)) }
    }

    pub(super) const fn copy(&self) -> StoreCopy {
        StoreCopy(self.read_to.0)
    }

    pub(super) fn record_position(&mut self, position: Position, now: u64) {
        if position.0 != self.read_to.0 {
            self.copy_known_at = now;
        }
        self.read_to = position;
        self.has_read = true;
        if self.started_at == 1 && self.first_copy.is_none() {
            // The simulation begins 1 s after the start of its clock.
            let uptime = Millis(now.saturating_sub(1_000));
            self.first_copy = restored::first_copy(true, self.copy(), uptime);
        }
    }
}

impl Simulation {
    /// Asks the other hosts for the versions of the table that a later copy of the store may lack, and adopts the newest.
    pub(super) fn recall_lost_tables(&mut self, index: usize) -> Recall {
        let now = self.now;
        let copy = self.hosts[index].copy();
        let host = &self.hosts[index];
        let is_current = match host.renewals.table() {
            Some(table) => !table.is_of_earlier_copy(copy),
            None => copy == StoreCopy::default(),
        };
        if is_current || !self.safeguards.recalls_lost_tables {
            return Recall::Certain;
        }
        let answers: Vec<bool> = (0..HOSTS).map(|_| self.copies.rng.u32(..4) > 0).collect();
        let knows_all = !self.safeguards.has_lost_first_tables;
        let others = (0..HOSTS).filter(|other| *other != index);
        let known = others.filter(|other| knows_all || host.known_hosts[*other]);
        let others: Vec<(HostId, Option<Memory>)> = known
            .map(|other| {
                let host = &self.hosts[other];
                let is_running = now >= host.frozen_until && now >= host.down_until;
                let is_apart = now < host.isolated_until || now < self.hosts[index].isolated_until;
                let is_told = is_running && answers[other] && !is_apart;
                (host.id.clone(), is_told.then(|| host.memory(now)))
            })
            .collect();
        let host = &mut self.hosts[index];
        let own = (host.id.clone(), host.memory(now));
        let restored_at = HostTime(host.copy_known_at);
        let asked = Asked { own, others, copy, restored_at };
        let (mut recall, newest) = asked.recall(self.safeguards.leader_timing, HostTime(now));
        let nobody_knows =
            newest.is_none() && asked.others.iter().all(|(_, memory)| memory.is_some());
        if nobody_knows && !self.safeguards.doubts_missing_tables {
            recall = Recall::Certain;
        }
        if recall == Recall::Pending && !self.safeguards.awaits_lost_hosts {
            recall = Recall::Certain;
        }
        if let Some(table) = newest {
            host.renewals.adopt(table);
        }
        if let (Some(leader), Some(table)) = (&mut host.leader, host.renewals.table()) {
            leader.on_table(table);
        }
        self.fault_counts.uncertain_recalls += u64::from(recall != Recall::Certain);
        recall
    }

    /// Records which hosts the store has records of, and writes those that are missing for a while.
    pub(super) fn read_hosts(&mut self, index: usize) {
        let now = self.now;
        let lacks_record = self.hosts[index].recorded_at.is_none();
        let since = self.hosts[index].started_at.max(self.hosts[index].copy_known_at);
        if lacks_record && self.safeguards.records_lost_hosts && now >= since + RECORDING_MS {
            self.hosts[index].recorded_at = Some(now);
        }
        for other in 0..HOSTS {
            let is_recorded = self.hosts[other].recorded_at.is_some();
            self.hosts[index].known_hosts[other] |= is_recorded;
        }
    }

    /// Loses the first tables of the service, and ends some hosts, all or none at about the same time.
    pub(super) fn play_early_loss(&mut self) {
        let now = self.now;
        let lost_at = self.early_loss.lost_at;
        if let Some((_, added)) = self.early_loss.added.take_if(|(at, _)| now >= *at) {
            self.hosts[added] = super::new_host(added, self.zone_size, &self.safeguards, now);
            self.hosts[added].recorded_at = Some(now);
            self.calls.retain(|(host, _), _| *host != added);
            let cuts_others = self.early_loss.rng.bool();
            let until = lost_at.unwrap_or(now) + self.early_loss.rng.u64(500..3_000);
            for (index, host) in self.hosts.iter_mut().enumerate() {
                host.believes_to_lead = index == added || !cuts_others && host.believes_to_lead;
                if index != added && cuts_others {
                    host.isolated_until = until;
                    host.known_hosts[added] = false;
                }
            }
        }
        if let Some((_, cut)) = self.early_loss.cut.take_if(|(at, _)| now >= *at) {
            self.hosts[cut].isolated_until = now + self.early_loss.rng.u64(..2 * MAX_CUT_MS);
        }
        if let Some((_, host, source)) = self.early_loss.following.take_if(|(at, ..)| now >= *at) {
            self.hosts[host].follows = Some(source);
        }
        if let Some((_, upstream)) = self.early_loss.crash.take_if(|(at, _)| now >= *at) {
            let down_ms = self.early_loss.rng.u64(500..6_000);
            self.upstreams[upstream].crash(now, down_ms, 1);
        }
        let Some(lost_at) = lost_at.filter(|at| now >= *at) else { return };
        self.early_loss.lost_at = None;
        let ended = self.early_loss.rng.u32(..4);
        for index in 0..HOSTS {
            if ended == 3 || ended == 2 && self.early_loss.rng.bool() {
                let max_ms = if self.early_loss.rng.bool() { 1_500 } else { MAX_DOWN_MS };
                let down_ms = self.early_loss.rng.u64(100..max_ms);
                self.restart_host(index, down_ms);
            }
        }
        let leader = self.early_loss.rng.usize(..HOSTS);
        self.hosts[leader].believes_to_lead = true;
        let age = self.early_loss.rng.u64(..=MAX_AGE_MS);
        let away_ms = self.early_loss.rng.u64(..=1_000);
        self.restore_copy(lost_at.saturating_sub(age), away_ms);
    }

    /// Takes back what was recorded since a copy of the store was made.
    pub(super) fn lose_records(&mut self) {
        let now = self.now;
        let is_repeated = self.copies.next_loss_at.is_some_and(|at| at <= now);
        if !is_repeated && self.copies.rng.u32(..STEPS_PER_LOSS) > 0 {
            return;
        }
        let copied_at = now.saturating_sub(self.copies.rng.u64(..=MAX_AGE_MS));
        let away_ms = self.copies.rng.u64(..=MAX_AWAY_MS);
        self.restore_copy(copied_at, away_ms);
        let has_next = !is_repeated && self.copies.rng.u32(..LOSSES_PER_PAIR) == 0;
        let next = now + self.copies.rng.u64(..=MAX_PAIR_MS);
        self.copies.next_loss_at = has_next.then_some(next);
    }

    /// Takes back what was recorded after a time.
    fn restore_copy(&mut self, copied_at: u64, away_ms: u64) {
        let now = self.now;
        let kept = self.copies.recorded_at.partition_point(|at| *at <= copied_at);
        let is_moving = self.log.last().is_some_and(|table| table.has_pending_spans());
        let lost = self.log.len() - kept;
        self.log.truncate(kept);
        self.copies.recorded_at.truncate(kept);
        self.copies.number += 1;
        self.copies.away_until = now + away_ms;
        for host in &mut self.hosts {
            if host.recorded_at.is_some_and(|at| at > copied_at) {
                host.recorded_at = None;
                self.fault_counts.lost_hosts += 1;
            }
        }
        let is_first = lost > 0 && kept == 0;
        let is_forgotten = self.hosts.iter().all(|host| host.renewals.table().is_none());
        self.fault_counts.lost_first_tables += u64::from(is_first);
        self.fault_counts.forgotten_first_tables += u64::from(is_first && is_forgotten);
        self.fault_counts.losses += 1;
        self.fault_counts.lost_records += lost as u64;
        self.fault_counts.losses_in_moves += u64::from(is_moving && lost > 0);
    }

    /// Checks that no other upstream has accepted the keys of an accepted grant with its token or a larger one.
    pub(super) fn check_tokens(&mut self, index: usize, grant: &Grant) -> Result<(), String> {
        for key in sample_keys().into_iter().filter(|key| (grant.first..=grant.last).contains(key))
        {
            let (other, largest) = *self.copies.accepted.entry(key).or_insert((index, grant.fence));
            if other != index && largest >= grant.fence {
                return Err(format!(
                    "at {} u{index} accepted key {key} with token {}, u{other} with {largest}",
                    self.now, grant.fence
                ));
            }
            if grant.fence >= largest {
                self.copies.accepted.insert(key, (index, grant.fence));
            }
        }
        Ok(())
    }
}
