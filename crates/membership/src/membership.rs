//! The membership of one host: its state, the sending of messages and the merging of entries.

use crate::changes::ChangeQueue;
use crate::config::{Config, MAX_CHANGES_COUNTED_IN_SYNC, MAX_CHANGES_PER_MESSAGE};
use crate::messages::{Body, Gossip, HostEntry, HostState};
use crate::probes::Probes;
use crate::random::SplitMix64;
use crate::sync::TableSync;
use crate::table::{HostRecord, MergeOutcome, Table};
use crate::view::{HostListEntry, HostView, Input, Output};
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{HostId, Incarnation};
use skylarkdock_units::times::HostTime;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Which address reaches another host, and the digest of its last message.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    /// Digest of the host's table, from its last message.
    pub(crate) last_digest: Option<u64>,
    /// Number of pings sent to the present address since the last ack.
    pub(crate) unanswered_pings: u32,
    /// Whether messages go to the address that the host advertises rather than to the listed one.
    pub(crate) uses_advertised: bool,
    /// Whether the last ack came while messages went to the advertised address.
    pub(crate) confirmed_advertised: bool,
}

/// Time, random numbers and outputs of one step.
pub(crate) struct StepContext {
    pub(crate) now: HostTime,
    pub(crate) rng: SplitMix64,
    pub(crate) outputs: Vec<Output>,
}

/// Gossip membership of one host, as a state machine without I/O.
#[derive(Debug)]
pub struct Membership {
    pub(crate) config: Config,
    pub(crate) local_host: HostId,
    pub(crate) incarnation: Incarnation,
    pub(crate) table: Table,
    pub(crate) change_queue: ChangeQueue,
    pub(crate) probes: Probes,
    pub(crate) sync: TableSync,
    pub(crate) contacts: FastMap<HostId, Contact>,
    pub(crate) host_list: Option<BTreeMap<HostId, HostListEntry>>,
    pub(crate) ring: Vec<HostId>,
    pub(crate) ring_is_stale: bool,
    pub(crate) last_round: Option<HostTime>,
    pub(crate) rejoin_candidates: VecDeque<HostId>,
}

impl Membership {
    /// Creates the membership of the host that `own_entry` describes.
    pub fn new(own_entry: HostEntry, config: Config) -> Self {
        let (host, incarnation) = (own_entry.member.host.clone(), own_entry.member.incarnation);
        let mut table = Table::new();
        table.put(own_entry, HostTime(0));
        let mut change_queue = ChangeQueue::default();
        change_queue.add(host.clone());
        Self {
            config,
            local_host: host,
            incarnation,
            table,
            change_queue,
            probes: Probes::default(),
            sync: TableSync::default(),
            contacts: FastMap::default(),
            host_list: None,
            ring: Vec::new(),
            ring_is_stale: false,
            last_round: None,
            rejoin_candidates: VecDeque::new(),
        }
    }

    /// Handles an input and returns the resulting outputs. `random` has to be a new random number.
    pub fn step(&mut self, now: HostTime, random: u64, input: Input) -> Vec<Output> {
        let mut ctx = StepContext { now, rng: SplitMix64::new(random), outputs: Vec::new() };
        match input {
            Input::Tick => self.tick(&mut ctx),
            Input::Received { from, msg } => self.receive(&mut ctx, &from, msg),
            Input::HostList(hosts) => self.apply_host_list(&mut ctx, hosts),
            Input::Leave => self.leave(&mut ctx),
        }
        ctx.outputs
    }

    /// Returns the views of all known hosts, including this one, sorted by host id.
    pub fn view(&self) -> Vec<HostView> {
        self.table.records().map(|record| self.host_view(record)).collect()
    }

    /// Returns the view of a host, if it is in the table.
    pub fn get(&self, host: &HostId) -> Option<HostView> {
        self.table.get(host).map(|record| self.host_view(record))
    }

    /// Returns whether a host is live or leaving.
    pub fn is_up(&self, host: &HostId) -> bool {
        let state = self.table.entry(host).map(|entry| entry.state);
        matches!(state, Some(HostState::Live | HostState::Leaving))
    }

    pub(crate) fn host_view(&self, record: &HostRecord) -> HostView {
        let HostEntry { member, state, zone, region, peer, http, .. } = record.entry.clone();
        let is_advertised_confirmed =
            self.contacts.get(&member.host).is_some_and(|contact| contact.confirmed_advertised);
        let listed = self
            .listed_host(&member.host)
            .filter(|_| !is_advertised_confirmed && member.host != self.local_host);
        let (peer, http) = listed.map_or((peer, http), |listed| (listed.peer, listed.http));
        HostView { member, state, zone, region, peer, http, last_heard: record.last_heard }
    }

    pub(crate) fn listed_host(&self, host: &HostId) -> Option<&HostListEntry> {
        self.host_list.as_ref()?.get(host)
    }

    /// Returns the peer address for a host: the platform's, unless the host does not answer there.
    fn address_for(&self, host: &HostId) -> Option<SocketAddr> {
        let listed = self.listed_host(host).map(|listed| listed.peer);
        let advertised = self.table.entry(host).map(|entry| entry.peer);
        let prefers_advertised =
            self.contacts.get(host).is_some_and(|contact| contact.uses_advertised);
        if prefers_advertised { advertised.or(listed) } else { listed.or(advertised) }
    }

    /// Sends a message if the host's address is known.
    pub(crate) fn send(&mut self, ctx: &mut StepContext, to: &HostId, body: Body) {
        let Some(addr) = self.address_for(to) else { return };
        let digest = self.table.digest();
        let in_sync =
            self.contacts.get(to).is_some_and(|contact| contact.last_digest == Some(digest));
        let sender = if in_sync { None } else { self.table.entry(&self.local_host).cloned() };
        let changes = self.changes_for(to, in_sync);
        let msg = Gossip { incarnation: self.incarnation, digest, sender, changes, body };
        let msg = Box::new(msg);
        ctx.outputs.push(Output::Send { to: to.clone(), addr, msg });
    }

    /// Returns the changes to send to a host, preceded by its own entry if it has to refute that.
    ///
    /// A host whose table has the same digest is sent only suspect and gone hosts, because the digest
    /// does not cover these states.
    fn changes_for(&mut self, to: &HostId, in_sync: bool) -> Vec<HostEntry> {
        let hosts = self.ring.len() + 1;
        let receiver_entry = self.table.entry(to);
        let receiver_entry = receiver_entry.filter(|entry| is_suspect_or_gone(entry)).cloned();
        let count = if in_sync { MAX_CHANGES_COUNTED_IN_SYNC } else { MAX_CHANGES_PER_MESSAGE };
        let queued = self.change_queue.take_next(count, hosts);
        let recent = queued.iter().filter(|host| *host != to).filter_map(|h| self.table.entry(h));
        let recent = recent
            .filter(|entry| !in_sync || is_suspect_or_gone(entry))
            .take(MAX_CHANGES_PER_MESSAGE);
        receiver_entry.into_iter().chain(recent.cloned()).collect()
    }

    /// Merges an entry from another host, and queues it as a change. `pulled` says that it came in a
    /// chunk of a table.
    pub(crate) fn merge_entry(&mut self, ctx: &mut StepContext, entry: HostEntry, pulled: bool) {
        if entry.member.host == self.local_host {
            self.handle_own_entry(ctx, &entry);
            return;
        }
        let host = entry.member.host.clone();
        let incarnation = entry.member.incarnation;
        let previous = self.table.entry(&host).map(|entry| entry.member.incarnation);
        let outcome = self.table.merge(entry, ctx.now);
        if outcome == MergeOutcome::Unchanged {
            return;
        }
        if previous.is_some_and(|previous| previous < incarnation) {
            self.contacts.remove(&host);
        }
        if pulled {
            self.change_queue.add_pulled(host.clone(), self.ring.len() + 1);
        } else {
            self.change_queue.add(host.clone());
        }
        self.report_change(ctx, &host, outcome);
    }

    /// Sets the state of a host that this host detected itself, rather than learned by gossip.
    pub(crate) fn set_state(&mut self, ctx: &mut StepContext, host: &HostId, state: HostState) {
        let Some(entry) = self.table.entry(host) else { return };
        // Not queued as a change: the other hosts' own timeouts mark a suspect host gone.
        if entry.state != HostState::Suspect {
            self.change_queue.add(host.clone());
        }
        self.table.put(HostEntry { state, ..entry.clone() }, ctx.now);
        self.report_change(ctx, host, MergeOutcome::ViewChanged);
    }

    fn report_change(&mut self, ctx: &mut StepContext, host: &HostId, outcome: MergeOutcome) {
        self.sync.record_change(ctx.now);
        self.ring_is_stale = true;
        let record = self.table.get(host).filter(|_| outcome == MergeOutcome::ViewChanged);
        if let Some(view) = record.map(|record| self.host_view(record)) {
            ctx.outputs.push(Output::HostChanged(view));
        }
    }

    /// Handles an entry about this host: refutes suspect and gone, and reports a later incarnation.
    fn handle_own_entry(&mut self, ctx: &mut StepContext, reported: &HostEntry) {
        if reported.member.incarnation > self.incarnation {
            ctx.outputs.push(Output::Superseded(reported.member.incarnation));
            return;
        }
        let Some(own) = self.table.entry(&self.local_host).cloned() else { return };
        let is_same_incarnation = reported.member.incarnation == self.incarnation;
        if is_same_incarnation && is_suspect_or_gone(reported) && reported.version >= own.version {
            let version = reported.version.saturating_add(1);
            self.table.put(HostEntry { version, ..own }, ctx.now);
            self.change_queue.add(self.local_host.clone());
            self.sync.record_change(ctx.now);
        }
    }
}

const fn is_suspect_or_gone(entry: &HostEntry) -> bool {
    matches!(entry.state, HostState::Suspect | HostState::Gone)
}
