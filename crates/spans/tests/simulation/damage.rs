//! Records of the table that another writer damages, and the search for the version before them.

use super::{HOSTS, Simulation, new_host};
use skylarkdock_spans::lost::{self, LostTable, Search};
use skylarkdock_spans::table::Table;
use skylarkdock_units::times::HostTime;

/// One step in so many has a damaged record.
const STEPS_PER_RECORD: u32 = 150;
/// One damaged record in so many comes as all hosts restart.
const RECORDS_PER_RESTART: u32 = 10;

/// Damaged records in the log. They have random numbers of their own, so that the other faults do not depend on them.
pub(super) struct Damage {
    rng: fastrand::Rng,
    /// Offset after the last damaged record; zero without one.
    end: u64,
    /// Whether the log retains the tables that damaged records replaced.
    retained: bool,
}

/// What a host has read of them.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Seen {
    read_to: u64,
    unreadable_since: Option<u64>,
}

impl Seen {
    pub(super) const fn is_unreadable(&self) -> bool {
        self.unreadable_since.is_some()
    }

    pub(super) const fn has_read(&self, end: u64) -> bool {
        self.read_to >= end
    }

    pub(super) const fn on_written(&mut self) {
        self.unreadable_since = None;
    }
}

impl Damage {
    pub(super) fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(!seed);
        let retained = rng.bool();
        Self { rng, end: 0, retained }
    }

    pub(super) const fn end(&self) -> u64 {
        self.end
    }

    pub(super) const fn is_newest_damaged(&self, log_end: u64) -> bool {
        self.end > log_end
    }

    /// Returns the end of the log, whose last table ends at an offset.
    pub(super) const fn end_after(&self, log_end: u64) -> u64 {
        if self.end > log_end { self.end } else { log_end }
    }

    /// Reads the newest record, and returns whether it is readable.
    pub(super) const fn read(&self, seen: &mut Seen, log_end: u64, now: u64) -> bool {
        let is_readable = !self.is_newest_damaged(log_end);
        seen.read_to = self.end_after(log_end);
        if is_readable {
            seen.unreadable_since = None;
        } else if seen.unreadable_since.is_none() {
            seen.unreadable_since = Some(now);
        }
        is_readable
    }
}

impl Simulation {
    /// Appends a record that can't be read. With some seeds the tables before it are no longer retained.
    pub(super) fn damage_records(&mut self) {
        if self.damage.rng.u32(..STEPS_PER_RECORD) == 0 && !self.log.is_empty() {
            self.damage.end = self.damage.end_after(self.log_end) + 1;
            self.fault_counts.damaged_records += 1;
            if self.damage.rng.u32(..RECORDS_PER_RESTART) == 0 {
                self.restart_hosts();
            }
        }
    }

    /// Restarts all hosts within less than a grant's lifetime, so that nobody knows the table.
    fn restart_hosts(&mut self) {
        for index in 0..HOSTS {
            let started_at = self.now + self.damage.rng.u64(100..2_000);
            let believes_to_lead = self.hosts[index].believes_to_lead;
            self.hosts[index] = new_host(index, self.zone_size, &self.safeguards, started_at);
            self.hosts[index].down_until = started_at;
            self.hosts[index].believes_to_lead = believes_to_lead;
        }
        self.calls.clear();
    }

    /// Looks for the version before a record that can't be read, in the log and on other hosts, and adopts it.
    pub(super) fn search_former_table(&mut self, index: usize) -> Search {
        let now = self.now;
        let host = &self.hosts[index];
        let Some(since) = host.damage.unreadable_since else { return Search::Ended };
        if !self.safeguards.searches_former_tables {
            return Search::Ended;
        }
        if !host.reaches_store {
            return Search::Pending;
        }
        let records = self.damage.end_after(self.log_end);
        let lost = LostTable { unreadable_since: HostTime(since), records };
        let logged = self.log.last().filter(|_| self.damage.retained).cloned();
        let answers: Vec<bool> = (0..HOSTS).map(|_| self.damage.rng.u32(..4) > 0).collect();
        let others = (0..HOSTS).filter(|other| *other != index && answers[*other]);
        let others = others.map(|other| &self.hosts[other]);
        let running = others.filter(|host| now >= host.frozen_until && now >= host.down_until);
        let told: Vec<Table> = running.filter_map(|host| host.renewals.table().cloned()).collect();
        let known = host.renewals.table();
        let (search, found) = lost::conclude(lost, known, logged, told);
        let host = &mut self.hosts[index];
        if let Some(table) = found {
            host.renewals.adopt(table);
        }
        if let (Some(leader), Some(table)) = (&mut host.leader, host.renewals.table()) {
            leader.on_table(table);
        }
        self.fault_counts.lost_tables += u64::from(search == Search::Nothing(lost));
        search
    }
}
