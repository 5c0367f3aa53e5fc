//! A store that is away for a moment and comes back from an older copy, and the check that fencing tokens of a key grow all the
//! same.

use super::{HOSTS, Host, Simulation, sample_keys};
use skylarkdock_spans::renewal::Grant;
use skylarkdock_spans::restored::{self, Memory, Recall, StoreCopy};
use skylarkdock_spans::table::FencingToken;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::times::HostTime;

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
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng: fastrand::Rng::with_seed(seed.rotate_left(16)),
            number: 0,
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
    pub(super) const fn copy(&self) -> StoreCopy {
        StoreCopy(self.read_to.0)
    }

    pub(super) const fn record_position(&mut self, position: Position, now: u64) {
        if position.0 != self.read_to.0 {
            self.copy_known_at = now;
            self.is_restored = self.has_read;
        }
        self.has_read = true;
        self.read_to = position;
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
        let others = (0..HOSTS).filter(|other| *other != index);
        let others: Vec<Option<Memory>> = others
            .map(|other| {
                let host = &self.hosts[other];
                let is_running = now >= host.frozen_until && now >= host.down_until;
                let is_told = is_running && answers[other];
                is_told.then(|| host.renewals.memory(HostTime(now)))
            })
            .collect();
        let host = &mut self.hosts[index];
        let own = host.renewals.memory(HostTime(now));
        let restored_at = HostTime(host.copy_known_at);
        let (recall, newest) = restored::recall(&own, &others, restored_at, host.is_restored);
        if let Some(table) = newest {
            host.renewals.adopt(table);
        }
        if let (Some(leader), Some(table)) = (&mut host.leader, host.renewals.table()) {
            leader.on_table(table);
        }
        self.fault_counts.uncertain_recalls += u64::from(recall != Recall::Certain);
        recall
    }

    /// Takes back what was recorded since a copy of the store was made.
    pub(super) fn lose_records(&mut self) {
        let now = self.now;
        let is_repeated = self.copies.next_loss_at.is_some_and(|at| at <= now);
        if !is_repeated && self.copies.rng.u32(..STEPS_PER_LOSS) > 0 {
            return;
        }
        let copied_at = now.saturating_sub(self.copies.rng.u64(..=MAX_AGE_MS));
        let kept = self.copies.recorded_at.partition_point(|at| *at <= copied_at);
        let is_moving = self.log.last().is_some_and(|table| table.has_pending_spans());
        let lost = self.log.len() - kept;
        self.log.truncate(kept);
        self.copies.recorded_at.truncate(kept);
        self.copies.number += 1;
        self.copies.away_until = now + self.copies.rng.u64(..=MAX_AWAY_MS);
        let has_next = !is_repeated && self.copies.rng.u32(..LOSSES_PER_PAIR) == 0;
        let next = now + self.copies.rng.u64(..=MAX_PAIR_MS);
        self.copies.next_loss_at = has_next.then_some(next);
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
