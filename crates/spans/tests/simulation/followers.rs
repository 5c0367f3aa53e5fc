//! Hosts that learn of tables, and of their age, from other hosts instead of the store.

use super::network::Message;
use super::restored::Position;
use super::{HOSTS, Simulation};
use skylarkdock_freshness::proof;
use skylarkdock_spans::table::Table;
use skylarkdock_units::times::{HostTime, Millis};

/// One step in so many changes which hosts follow others.
const STEPS_PER_CHANGE: u32 = 150;
/// One step in so many cuts two hosts from the store and the leader, but not from each other.
const STEPS_PER_PARTITION: u32 = 500;
/// Time between two requests of a host, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 100;

/// The answer of a host to one that follows it.
pub(super) struct Told {
    table: Option<Table>,
    /// What the other host has read of the store.
    position: Position,
    asked_at: u64,
    /// How long the other host held the request, and how old its proof was then.
    waited: u64,
    age: u64,
}

impl Simulation {
    /// Changes which hosts follow others, and cuts some of them from the store.
    pub(super) fn change_followers(&mut self) {
        if self.trouble_rng.u32(..STEPS_PER_CHANGE) == 0 {
            let index = self.trouble_rng.usize(..HOSTS);
            let source = self.trouble_rng.usize(..HOSTS);
            self.hosts[index].follows = Some(source).filter(|source| *source != index);
        }
        if self.trouble_rng.u32(..STEPS_PER_PARTITION) == 0 {
            let until = self.now + self.trouble_rng.u64(1_000..25_000);
            let index = self.trouble_rng.usize(..HOSTS);
            let other = (index + self.trouble_rng.usize(1..HOSTS)) % HOSTS;
            for (host, source) in [(index, other), (other, index)] {
                self.hosts[host].follows = Some(source);
                self.hosts[host].isolated_until = until;
            }
        }
    }

    /// Asks the followed host for its table.
    pub(super) fn ask_followed(&mut self, index: usize, source: usize) {
        let now = self.now;
        if now < self.hosts[index].read_at + REQUEST_INTERVAL_MS {
            return;
        }
        self.hosts[index].read_at = now;
        let at = now + self.trouble_rng.u64(1..400);
        let waited = self.trouble_rng.u64(..1_500);
        let request = Message::Ask { from: index, to: source, asked_at: now, waited };
        self.messages.push((at + waited, request));
    }

    /// Answers a host that asked for the table at `asked_at`.
    pub(super) fn tell(&mut self, from: usize, to: usize, asked_at: u64, waited: u64) {
        let now = self.now;
        let source = &self.hosts[to];
        let is_running = now >= source.frozen_until && now >= source.down_until;
        if !is_running || source.proven_at == 0 {
            return;
        }
        let table = source.renewals.table().cloned();
        let age = now.saturating_sub(source.proven_at);
        let told = Told { table, position: source.read_to, asked_at, waited, age };
        let at = now + self.trouble_rng.u64(1..1_000);
        self.messages.push((at, Message::Tell { to: from, told }));
    }

    /// Adopts what another host told.
    pub(super) fn on_told(&mut self, to: usize, told: Told) {
        let now = self.now;
        let host = &mut self.hosts[to];
        // A frozen host reads the answer late, and one that has started anew has no such connection.
        if now < host.down_until || told.asked_at < host.started_at {
            return;
        }
        if now < host.frozen_until {
            self.messages.push((self.hosts[to].frozen_until, Message::Tell { to, told }));
            return;
        }
        if self.safeguards.has_restored_store {
            if told.position < host.read_to {
                // It is from an earlier copy of the store, or older than what this host has read.
                return;
            }
            host.record_position(told.position, now);
        }
        self.fault_counts.told_proofs += 1;
        let asked_at = HostTime(told.asked_at);
        let proof_at = if self.safeguards.ages_proof {
            proof::passed_on(asked_at, Millis(told.waited), Millis(told.age))
        } else {
            HostTime(now)
        };
        if let Some(table) = told.table {
            host.renewals.adopt(table.clone());
            if let Some(leader) = &mut host.leader {
                leader.on_table(&table);
            }
        }
        let copy = host.copy();
        host.renewals.on_read(proof_at, copy, true);
        host.proven_at = host.proven_at.max(proof_at.0);
    }
}
