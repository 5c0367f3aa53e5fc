//! Rounds: whom to probe and which states time brings.

use crate::config::{INDIRECT_PROBES_PER_ROUND, PROBED_SUCCESSORS};
use crate::membership::{Membership, Turn};
use crate::messages::{Body, HostEntry, HostState};
use crate::view::{HostListEntry, Output};
use skylarkdock_units::collections::FastSet;
use skylarkdock_units::ids::HostId;
use skylarkdock_units::times::Millis;
use std::collections::{BTreeMap, VecDeque};

/// Missed rounds that mean that this host itself was suspended.
const SUSPENDED_ROUNDS: u64 = 4;
/// Unanswered pings after which the host's other address is tried.
const TRIES_PER_ADDRESS: u32 = 2;
/// Random hosts told at once when this host leaves.
const LEAVE_TARGETS: usize = 4;

impl Membership {
    pub(crate) fn tick(&mut self, turn: &mut Turn) {
        let last = self.last_round;
        let passed = last.map_or(self.config.probe_interval, |last| turn.now.since(last));
        if passed < self.config.probe_interval {
            return;
        }
        if passed > Millis(self.config.probe_interval.0 * SUSPENDED_ROUNDS) {
            self.probes.clear();
            self.table.restart_suspicion_timeouts(turn.now);
        }
        self.last_round = Some(turn.now);
        self.table.mark_heard(&self.me, turn.now);
        self.sync.start_round();
        self.probes.expire_relayed(turn.now);
        self.expire_silent(turn);
        self.expire_states(turn);
        self.refresh();
        self.probe(turn);
    }

    fn expire_silent(&mut self, turn: &mut Turn) {
        for host in self.probes.unanswered_for(self.config.suspect_after, turn.now) {
            self.probes.remove(&host);
            match self.table.entry(&host).map(|entry| entry.state) {
                Some(HostState::Live) => self.set_state(turn, &host, HostState::Suspect),
                Some(HostState::Leaving) => self.set_state(turn, &host, HostState::Gone),
                _ => {}
            }
        }
    }

    fn expire_states(&mut self, turn: &mut Turn) {
        let mut gone = Vec::new();
        let mut forgotten = Vec::new();
        for record in self.table.records() {
            let host = &record.entry.member.host;
            let age = turn.now.since(record.state_since);
            match record.entry.state {
                HostState::Suspect if age >= self.config.suspicion_timeout => {
                    gone.push(host.clone())
                }
                HostState::Gone if age >= self.keep(host) => forgotten.push(host.clone()),
                _ => {}
            }
        }
        for host in gone {
            self.set_state(turn, &host, HostState::Gone);
        }
        for host in forgotten {
            self.forget(turn, &host);
        }
    }

    /// Returns how long a gone host is kept.
    fn keep(&self, host: &HostId) -> Millis {
        let unlisted = self.listed.as_ref().is_some_and(|list| !list.contains_key(host));
        if unlisted { self.config.unlisted_gone_retention } else { self.config.gone_retention }
    }

    fn forget(&mut self, turn: &mut Turn, host: &HostId) {
        self.change_queue.remove(host);
        self.contacts.remove(host);
        self.stale = true;
        if let Some(record) = self.table.remove(host) {
            turn.out.push(Output::HostForgotten(record.entry.member));
        }
    }

    /// Renews the ring and the candidates after changes.
    fn refresh(&mut self) {
        if std::mem::take(&mut self.stale) {
            self.ring = self.ordered_ring();
            self.candidates = self.all_candidates();
        }
    }

    /// Returns the other hosts that are not gone by region, zone and name, starting behind this one.
    fn ordered_ring(&self) -> Vec<HostId> {
        let all = self.table.records().map(|record| &record.entry);
        let mut entries: Vec<&HostEntry> =
            all.filter(|entry| entry.state != HostState::Gone).collect();
        entries.sort_by_key(|entry| (&entry.region, &entry.zone, &entry.member.host));
        let mine = entries.iter().position(|entry| entry.member.host == self.me);
        entries.rotate_left(mine.unwrap_or_default());
        entries.into_iter().skip(1).map(|entry| entry.member.host.clone()).collect()
    }

    fn all_candidates(&self) -> VecDeque<HostId> {
        let gone = self.table.records().filter(|record| record.entry.state == HostState::Gone);
        let gone = gone.map(|record| &record.entry.member.host);
        let listed = self.listed.iter().flat_map(BTreeMap::keys);
        let unknown = listed.filter(|host| self.table.get(host).is_none());
        let mut all: VecDeque<HostId> = gone.chain(unknown).cloned().collect();
        // Starts behind the host tried last.
        let next = self.candidates.front();
        let start = next.and_then(|next| all.iter().position(|host| host == next));
        all.rotate_left(start.unwrap_or_default());
        all
    }

    fn probe(&mut self, turn: &mut Turn) {
        let retried = self.probes.pending();
        let silent = self.probes.unanswered_for(self.config.indirect_probe_after, turn.now);
        let mut targets = retried;
        targets.extend(self.ring.iter().take(PROBED_SUCCESSORS).cloned());
        targets.extend(self.random_host(turn));
        targets.extend(self.next_candidate());
        let mut seen = FastSet::default();
        targets.retain(|host| seen.insert(host.clone()));
        for host in &targets {
            self.ping(turn, host);
        }
        for host in &silent {
            self.ask_helpers(turn, host);
        }
    }

    /// Probes a host, by its other address when the last probes were not answered.
    fn ping(&mut self, turn: &mut Turn, host: &HostId) {
        let state = self.table.entry(host).map(|entry| entry.state);
        if state.is_some_and(|state| state != HostState::Gone) {
            self.probes.record_sent(host, turn.now);
        }
        let contact = self.contacts.entry(host.clone()).or_default();
        contact.unanswered += 1;
        if contact.unanswered > TRIES_PER_ADDRESS {
            contact.unanswered = 1;
            contact.own_address = !contact.own_address;
        }
        self.send(turn, host, Body::Ping);
    }

    fn random_host(&self, turn: &mut Turn) -> Option<HostId> {
        let index = turn.random.below(self.ring.len());
        self.ring.get(index).filter(|_| self.probes.has_capacity()).cloned()
    }

    /// Returns the next host that is gone, or listed and unknown; such hosts may be back.
    fn next_candidate(&mut self) -> Option<HostId> {
        let next = self.candidates.pop_front()?;
        self.candidates.push_back(next.clone());
        Some(next)
    }

    fn ask_helpers(&mut self, turn: &mut Turn, target: &HostId) {
        let state = self.table.entry(target).map(|entry| entry.state);
        if !matches!(state, Some(HostState::Live | HostState::Leaving)) {
            return;
        }
        for _ in 0..INDIRECT_PROBES_PER_ROUND {
            let Some(helper) = self.random_host(turn).filter(|helper| helper != target) else {
                continue;
            };
            self.send(turn, &helper, Body::PingRequest { target: target.clone() });
        }
    }

    pub(crate) fn take_list(&mut self, turn: &mut Turn, hosts: Vec<HostListEntry>) {
        let before = self.view();
        let hosts = hosts.into_iter().map(|listed| (listed.host.clone(), listed));
        self.listed = Some(hosts.collect());
        self.stale = true;
        for (before, after) in before.into_iter().zip(self.view()) {
            if before != after {
                turn.out.push(Output::HostChanged(after));
            }
        }
    }

    pub(crate) fn leave(&mut self, turn: &mut Turn) {
        let Some(own) = self.table.entry(&self.me).cloned() else { return };
        if own.state == HostState::Leaving {
            return;
        }
        let version = own.version.saturating_add(1);
        self.table.put(HostEntry { state: HostState::Leaving, version, ..own }, turn.now);
        self.change_queue.add(self.me.clone());
        self.sync.record_change(turn.now);
        self.refresh();
        let mut targets: Vec<HostId> = self.ring.iter().take(PROBED_SUCCESSORS).cloned().collect();
        for _ in 0..LEAVE_TARGETS {
            targets.extend(self.random_host(turn));
        }
        for host in &targets {
            self.ping(turn, host);
        }
    }
}
