//! The membership of one host.

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

/// How another host is reached and what it last said.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    /// Digest of its table in its last message.
    pub(crate) digest: Option<u64>,
    /// Pings sent since its last answer to one.
    pub(crate) unanswered: u32,
    /// Whether its own address is tried in place of the listed one.
    pub(crate) own_address: bool,
    /// Whether its own address was the one that led to its last answer.
    pub(crate) confirmed_own: bool,
}

/// One step: its time, its random numbers and what comes of it.
pub(crate) struct Turn {
    pub(crate) now: HostTime,
    pub(crate) random: SplitMix64,
    pub(crate) out: Vec<Output>,
}

/// What one host knows of all hosts.
#[derive(Debug)]
pub struct Membership {
    pub(crate) config: Config,
    pub(crate) me: HostId,
    pub(crate) incarnation: Incarnation,
    pub(crate) table: Table,
    pub(crate) change_queue: ChangeQueue,
    pub(crate) probes: Probes,
    pub(crate) sync: TableSync,
    pub(crate) contacts: FastMap<HostId, Contact>,
    pub(crate) listed: Option<BTreeMap<HostId, HostListEntry>>,
    pub(crate) ring: Vec<HostId>,
    pub(crate) stale: bool,
    pub(crate) last_round: Option<HostTime>,
    pub(crate) candidates: VecDeque<HostId>,
}

impl Membership {
    /// Builds the membership of the host that `me` describes.
    pub fn new(me: HostEntry, config: Config) -> Self {
        let (host, incarnation) = (me.member.host.clone(), me.member.incarnation);
        let mut table = Table::new();
        table.put(me, HostTime(0));
        let mut change_queue = ChangeQueue::default();
        change_queue.add(host.clone());
        Self {
            config,
            me: host,
            incarnation,
            table,
            change_queue,
            probes: Probes::default(),
            sync: TableSync::default(),
            contacts: FastMap::default(),
            listed: None,
            ring: Vec::new(),
            stale: false,
            last_round: None,
            candidates: VecDeque::new(),
        }
    }

    /// Takes in what happened and returns what to do. `random` is a fresh random number.
    pub fn step(&mut self, now: HostTime, random: u64, input: Input) -> Vec<Output> {
        let mut turn = Turn { now, random: SplitMix64::new(random), out: Vec::new() };
        match input {
            Input::Tick => self.tick(&mut turn),
            Input::Received { from, msg } => self.receive(&mut turn, &from, msg),
            Input::HostList(hosts) => self.take_list(&mut turn, hosts),
            Input::Leave => self.leave(&mut turn),
        }
        turn.out
    }

    /// Returns all hosts, this one included, sorted by name.
    pub fn view(&self) -> Vec<HostView> {
        self.table.records().map(|record| self.view_of(record)).collect()
    }

    /// Returns one host.
    pub fn get(&self, host: &HostId) -> Option<HostView> {
        self.table.get(host).map(|record| self.view_of(record))
    }

    /// Tells whether a host counts as live or leaving.
    pub fn is_up(&self, host: &HostId) -> bool {
        let state = self.table.entry(host).map(|entry| entry.state);
        matches!(state, Some(HostState::Live | HostState::Leaving))
    }

    pub(crate) fn view_of(&self, record: &HostRecord) -> HostView {
        let HostEntry { member, state, zone, region, peer, http, .. } = record.entry.clone();
        let own = self.contacts.get(&member.host).is_some_and(|contact| contact.confirmed_own);
        let listed = self.listed(&member.host).filter(|_| !own && member.host != self.me);
        let (peer, http) = listed.map_or((peer, http), |listed| (listed.peer, listed.http));
        HostView { member, state, zone, region, peer, http, last_heard: record.last_heard }
    }

    pub(crate) fn listed(&self, host: &HostId) -> Option<&HostListEntry> {
        self.listed.as_ref()?.get(host)
    }

    /// Returns the address to use for a host: the platform's, unless that does not answer.
    fn address(&self, host: &HostId) -> Option<SocketAddr> {
        let listed = self.listed(host).map(|listed| listed.peer);
        let own = self.table.entry(host).map(|entry| entry.peer);
        let prefers_own = self.contacts.get(host).is_some_and(|contact| contact.own_address);
        if prefers_own { own.or(listed) } else { listed.or(own) }
    }

    /// Sends a message if the host's address is known.
    pub(crate) fn send(&mut self, turn: &mut Turn, to: &HostId, body: Body) {
        let Some(addr) = self.address(to) else { return };
        let digest = self.table.digest();
        let same = self.contacts.get(to).is_some_and(|contact| contact.digest == Some(digest));
        let sender = if same { None } else { self.table.entry(&self.me).cloned() };
        let changes = self.changes_for(to, same);
        let msg = Gossip { incarnation: self.incarnation, digest, sender, changes, body };
        let msg = Box::new(msg);
        turn.out.push(Output::Send { to: to.clone(), addr, msg });
    }

    /// Returns changes to tell a host, first what it may have to refute.
    ///
    /// A host whose table has the same digest is told of silent hosts only, as these do not count.
    fn changes_for(&mut self, to: &HostId, same: bool) -> Vec<HostEntry> {
        let hosts = self.ring.len() + 1;
        let doubted = self.table.entry(to);
        let doubted = doubted.filter(|entry| is_silent(entry)).cloned();
        let count = if same { MAX_CHANGES_COUNTED_IN_SYNC } else { MAX_CHANGES_PER_MESSAGE };
        let told = self.change_queue.take_next(count, hosts);
        let fresh = told.iter().filter(|host| *host != to).filter_map(|h| self.table.entry(h));
        let fresh = fresh.filter(|entry| !same || is_silent(entry)).take(MAX_CHANGES_PER_MESSAGE);
        doubted.into_iter().chain(fresh.cloned()).collect()
    }

    /// Takes in what another host says of some host.
    pub(crate) fn learn(&mut self, turn: &mut Turn, entry: HostEntry, pulled: bool) {
        if entry.member.host == self.me {
            self.hear_of_self(turn, &entry);
            return;
        }
        let host = entry.member.host.clone();
        let run = entry.member.incarnation;
        let before = self.table.entry(&host).map(|entry| entry.member.incarnation);
        let merged = self.table.merge(entry, turn.now);
        if merged == MergeOutcome::Unchanged {
            return;
        }
        if before.is_some_and(|before| before < run) {
            self.contacts.remove(&host);
        }
        if pulled {
            self.change_queue.add_pulled(host.clone(), self.ring.len() + 1);
        } else {
            self.change_queue.add(host.clone());
        }
        self.noted(turn, &host, merged);
    }

    /// Sets a state that this host found out by itself.
    pub(crate) fn set_state(&mut self, turn: &mut Turn, host: &HostId, state: HostState) {
        let Some(entry) = self.table.entry(host) else { return };
        // Others pass from suspect to gone by themselves.
        if entry.state != HostState::Suspect {
            self.change_queue.add(host.clone());
        }
        self.table.put(HostEntry { state, ..entry.clone() }, turn.now);
        self.noted(turn, host, MergeOutcome::ViewChanged);
    }

    fn noted(&mut self, turn: &mut Turn, host: &HostId, merged: MergeOutcome) {
        self.sync.record_change(turn.now);
        self.stale = true;
        let record = self.table.get(host).filter(|_| merged == MergeOutcome::ViewChanged);
        if let Some(view) = record.map(|record| self.view_of(record)) {
            turn.out.push(Output::HostChanged(view));
        }
    }

    /// Refutes what others say of this host.
    fn hear_of_self(&mut self, turn: &mut Turn, told: &HostEntry) {
        if told.member.incarnation > self.incarnation {
            turn.out.push(Output::Superseded(told.member.incarnation));
            return;
        }
        let Some(own) = self.table.entry(&self.me).cloned() else { return };
        let same_run = told.member.incarnation == self.incarnation;
        if same_run && is_silent(told) && told.version >= own.version {
            let version = told.version.saturating_add(1);
            self.table.put(HostEntry { version, ..own }, turn.now);
            self.change_queue.add(self.me.clone());
            self.sync.record_change(turn.now);
        }
    }
}

const fn is_silent(entry: &HostEntry) -> bool {
    matches!(entry.state, HostState::Suspect | HostState::Gone)
}
