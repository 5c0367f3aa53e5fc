//! Probe rounds: choice of the hosts to probe, and state changes by timeout.

use crate::config::{INDIRECT_PROBES_PER_ROUND, PROBED_SUCCESSORS};
use crate::membership::{Membership, StepContext};
use crate::messages::{Body, HostEntry, HostState};
use crate::view::{HostListEntry, Output};
use skylarkdock_units::collections::FastSet;
use skylarkdock_units::ids::HostId;
use skylarkdock_units::times::Millis;
use std::collections::{BTreeMap, VecDeque};

/// Number of missed rounds after which this host takes itself to have been suspended.
const MISSED_ROUNDS_IF_SUSPENDED: u64 = 4;
/// Number of unanswered pings after which the host's other address is used.
const PINGS_PER_ADDRESS: u32 = 2;
/// Number of random hosts to which this host announces at once that it leaves.
const RANDOM_LEAVE_TARGETS: usize = 4;

impl Membership {
    pub(crate) fn tick(&mut self, ctx: &mut StepContext) {
        let last = self.last_round;
        let elapsed = last.map_or(self.config.probe_interval, |last| ctx.now.since(last));
        if elapsed < self.config.probe_interval {
            return;
        }
        if elapsed > Millis(self.config.probe_interval.0 * MISSED_ROUNDS_IF_SUSPENDED) {
            self.probes.clear();
            self.table.restart_suspicion_timeouts(ctx.now);
        }
        self.last_round = Some(ctx.now);
        self.table.mark_heard(&self.local_host, ctx.now);
        self.sync.start_round();
        self.probes.expire_relayed(ctx.now);
        self.expire_unanswered_probes(ctx);
        self.expire_states(ctx);
        self.refresh_ring();
        self.send_probes(ctx);
    }

    fn expire_unanswered_probes(&mut self, ctx: &mut StepContext) {
        for host in self.probes.unanswered_for(self.config.suspect_after, ctx.now) {
            self.probes.remove(&host);
            match self.table.entry(&host).map(|entry| entry.state) {
                Some(HostState::Live) => self.set_state(ctx, &host, HostState::Suspect),
                Some(HostState::Leaving) => self.set_state(ctx, &host, HostState::Gone),
                _ => {}
            }
        }
    }

    fn expire_states(&mut self, ctx: &mut StepContext) {
        let mut gone = Vec::new();
        let mut forgotten = Vec::new();
        for record in self.table.records() {
            let host = &record.entry.member.host;
            let age = ctx.now.since(record.state_since);
            match record.entry.state {
                HostState::Suspect if age >= self.config.suspicion_timeout => {
                    gone.push(host.clone())
                }
                HostState::Gone if age >= self.retention(host) => forgotten.push(host.clone()),
                _ => {}
            }
        }
        for host in gone {
            self.set_state(ctx, &host, HostState::Gone);
        }
        for host in forgotten {
            self.forget(ctx, &host);
        }
    }

    /// Returns how long the table keeps a gone host.
    fn retention(&self, host: &HostId) -> Millis {
        let unlisted = self.host_list.as_ref().is_some_and(|list| !list.contains_key(host));
        if unlisted { self.config.unlisted_gone_retention } else { self.config.gone_retention }
    }

    fn forget(&mut self, ctx: &mut StepContext, host: &HostId) {
        self.change_queue.remove(host);
        self.contacts.remove(host);
        self.ring_is_stale = true;
        if let Some(record) = self.table.remove(host) {
            ctx.outputs.push(Output::HostForgotten(record.entry.member));
        }
    }

    /// Rebuilds the ring and the rejoin candidates if the table or the host list changed.
    fn refresh_ring(&mut self) {
        if std::mem::take(&mut self.ring_is_stale) {
            self.ring = self.build_ring();
            self.rejoin_candidates = self.build_rejoin_candidates();
        }
    }

    /// Returns the other hosts that are not gone, ordered by region, zone and host id and starting with
    /// this host's successor.
    fn build_ring(&self) -> Vec<HostId> {
        let all = self.table.records().map(|record| &record.entry);
        let mut entries: Vec<&HostEntry> =
            all.filter(|entry| entry.state != HostState::Gone).collect();
        entries.sort_by_key(|entry| (&entry.region, &entry.zone, &entry.member.host));
        let own_index = entries.iter().position(|entry| entry.member.host == self.local_host);
        entries.rotate_left(own_index.unwrap_or_default());
        entries.into_iter().skip(1).map(|entry| entry.member.host.clone()).collect()
    }

    fn build_rejoin_candidates(&self) -> VecDeque<HostId> {
        let gone = self.table.records().filter(|record| record.entry.state == HostState::Gone);
        let gone = gone.map(|record| &record.entry.member.host);
        let listed = self.host_list.iter().flat_map(BTreeMap::keys);
        let unknown = listed.filter(|host| self.table.get(host).is_none());
        let mut all: VecDeque<HostId> = gone.chain(unknown).cloned().collect();
        // Resumes after the candidate tried last.
        let next = self.rejoin_candidates.front();
        let start = next.and_then(|next| all.iter().position(|host| host == next));
        all.rotate_left(start.unwrap_or_default());
        all
    }

    fn send_probes(&mut self, ctx: &mut StepContext) {
        let retried = self.probes.pending();
        let unresponsive = self.probes.unanswered_for(self.config.indirect_probe_after, ctx.now);
        let mut targets = retried;
        targets.extend(self.ring.iter().take(PROBED_SUCCESSORS).cloned());
        targets.extend(self.random_ring_host(ctx));
        targets.extend(self.next_rejoin_candidate());
        let mut unique = FastSet::default();
        targets.retain(|host| unique.insert(host.clone()));
        for host in &targets {
            self.send_ping(ctx, host);
        }
        for host in &unresponsive {
            self.request_indirect_probes(ctx, host);
        }
    }

    /// Sends a ping to a host, to its other address if the last pings were not answered.
    fn send_ping(&mut self, ctx: &mut StepContext, host: &HostId) {
        let state = self.table.entry(host).map(|entry| entry.state);
        if state.is_some_and(|state| state != HostState::Gone) {
            self.probes.record_sent(host, ctx.now);
        }
        let contact = self.contacts.entry(host.clone()).or_default();
        contact.unanswered_pings += 1;
        if contact.unanswered_pings > PINGS_PER_ADDRESS {
            contact.unanswered_pings = 1;
            contact.uses_advertised = !contact.uses_advertised;
        }
        self.send(ctx, host, Body::Ping);
    }

    fn random_ring_host(&self, ctx: &mut StepContext) -> Option<HostId> {
        let index = ctx.rng.below(self.ring.len());
        self.ring.get(index).filter(|_| self.probes.has_capacity()).cloned()
    }

    /// Returns the next host that is gone, or is listed but unknown, and might have come back.
    fn next_rejoin_candidate(&mut self) -> Option<HostId> {
        let next = self.rejoin_candidates.pop_front()?;
        self.rejoin_candidates.push_back(next.clone());
        Some(next)
    }

    fn request_indirect_probes(&mut self, ctx: &mut StepContext, target: &HostId) {
        let state = self.table.entry(target).map(|entry| entry.state);
        if !matches!(state, Some(HostState::Live | HostState::Leaving)) {
            return;
        }
        for _ in 0..INDIRECT_PROBES_PER_ROUND {
            let Some(relay) = self.random_ring_host(ctx).filter(|relay| relay != target) else {
                continue;
            };
            self.send(ctx, &relay, Body::PingRequest { target: target.clone() });
        }
    }

    pub(crate) fn apply_host_list(&mut self, ctx: &mut StepContext, hosts: Vec<HostListEntry>) {
        let before = self.view();
        let hosts = hosts.into_iter().map(|entry| (entry.host.clone(), entry));
        self.host_list = Some(hosts.collect());
        self.ring_is_stale = true;
        for (before, after) in before.into_iter().zip(self.view()) {
            if before != after {
                ctx.outputs.push(Output::HostChanged(after));
            }
        }
    }

    pub(crate) fn leave(&mut self, ctx: &mut StepContext) {
        let Some(own) = self.table.entry(&self.local_host).cloned() else { return };
        if own.state == HostState::Leaving {
            return;
        }
        let version = own.version.saturating_add(1);
        self.table.put(HostEntry { state: HostState::Leaving, version, ..own }, ctx.now);
        self.change_queue.add(self.local_host.clone());
        self.sync.record_change(ctx.now);
        self.refresh_ring();
        let mut targets: Vec<HostId> = self.ring.iter().take(PROBED_SUCCESSORS).cloned().collect();
        for _ in 0..RANDOM_LEAVE_TARGETS {
            targets.extend(self.random_ring_host(ctx));
        }
        for host in &targets {
            self.send_ping(ctx, host);
        }
    }
}
