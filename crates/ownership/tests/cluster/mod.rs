//! A cluster of nodes in virtual time, over a network and a log that fail as told.

#![allow(dead_code, clippy::unwrap_used, clippy::expect_used)]

pub mod clock;
pub mod faults;
pub mod journal;
pub mod oracle;
pub mod writers;

use clock::Clock;
use journal::Journal;
use oracle::{Around, Oracle, Published};
use skylarkdock_fold::Fold;
use skylarkdock_ownership::message::SealVerdict;
use skylarkdock_ownership::{Input, Message, Node, Output, Timing};
use skylarkdock_units::ids::{Epoch, Incarnation, Member, Offset, RangeId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const MS: u64 = 1000;
const POLL_MS: u64 = 20;

/// How a cluster is set up.
#[derive(Debug, Clone)]
pub struct Setup {
    pub nodes: usize,
    /// Members of each lease.
    pub members: usize,
    pub ranges: usize,
    pub seed: u64,
    /// Percentage of messages that are lost, and that arrive twice.
    pub loss: u8,
    pub duplicates: u8,
    /// Percentage of messages that are delayed for long.
    pub slow: u8,
    /// Whether hosts fetch records from one another.
    pub catch_up: bool,
    pub timing: Timing,
}

#[derive(Debug)]
enum Event {
    Wake { node: usize, turn: u64 },
    Poll { node: usize },
    Deliver { node: usize, from: Member, message: Message },
    Records { node: usize, upto: Offset },
    Drained { node: usize, run: Incarnation, range: RangeId, epoch: Epoch },
}

/// A host of the cluster.
pub struct Host {
    pub me: Member,
    pub node: Node,
    pub fold: Fold,
    pub clock: Clock,
    pub alive: bool,
    pub paused: bool,
    pub leaving: bool,
    pub log_cut: bool,
    pub published: Vec<Published>,
    held_up: VecDeque<Event>,
    turn: u64,
}

/// The cluster.
pub struct Cluster {
    pub setup: Setup,
    pub now: u64,
    pub hosts: Vec<Host>,
    pub journal: Journal,
    pub ranges: Vec<RangeId>,
    pub oracle: Oracle,
    /// Directed cuts between hosts.
    pub cuts: BTreeSet<(usize, usize)>,
    pub rng: fastrand::Rng,
    pub failure: Option<String>,
    pub trace: bool,
    events: BTreeMap<(u64, u64), Event>,
    last_event: u64,
}

fn member(index: usize, run: u64) -> Member {
    Member { host: format!("host-{index}").parse().unwrap(), incarnation: Incarnation(run) }
}

impl Cluster {
    /// Builds a cluster whose ranges are assigned to its first hosts.
    pub fn new(setup: Setup) -> Self {
        let mut rng = fastrand::Rng::with_seed(setup.seed);
        let host = |index| {
            let start = rng.u64(1_000_000..900_000_000_000);
            let drift_ppm = match rng.u8(0..4) {
                0 => -10_000,
                1 => 10_000,
                _ => rng.i32(-10_000..=10_000),
            };
            let clock = Clock { start, drift_ppm };
            let me = member(index, 1);
            let node = Node::new(me.clone(), setup.timing, clock.read(0));
            Host {
                me,
                node,
                fold: Fold::default(),
                clock,
                alive: true,
                paused: false,
                leaving: false,
                log_cut: false,
                published: Vec::new(),
                held_up: VecDeque::new(),
                turn: 0,
            }
        };
        let hosts = (0..setup.nodes).map(host).collect();
        let range = |index: usize| format!("orders/{index}").parse().unwrap();
        let ranges = (0..setup.ranges).map(range).collect();
        let mut cluster = Self {
            now: 0,
            hosts,
            journal: Journal::default(),
            ranges,
            oracle: Oracle::default(),
            cuts: BTreeSet::new(),
            rng,
            failure: None,
            trace: std::env::var("SKYLARKDOCK_TRACE").is_ok(),
            events: BTreeMap::new(),
            last_event: 0,
            setup,
        };
        cluster.begin();
        cluster
    }

    fn begin(&mut self) {
        let ranges = self.ranges.clone();
        self.journal.publish(&ranges[0]);
        for (index, range) in ranges.iter().enumerate() {
            let member = |place: usize| self.hosts[(index + place) % self.setup.nodes].me.clone();
            let members = (0..self.setup.members).map(member).collect();
            self.journal.assign(range, Offset(0), Some(members), true);
        }
        for node in 0..self.hosts.len() {
            self.schedule(self.now, Event::Poll { node });
            self.schedule(self.now, Event::Wake { node, turn: 0 });
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.last_event += 1;
        self.events.insert((at, self.last_event), event);
    }

    /// Runs for a span in milliseconds, or until the oracle objects.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms * MS;
        while self.failure.is_none() {
            let Some(entry) = self.events.first_entry() else { break };
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        let node = event.node();
        let host = &mut self.hosts[node];
        if !host.alive {
            if matches!(event, Event::Poll { .. }) {
                self.schedule(self.now + POLL_MS * MS, event);
            }
            return;
        }
        if host.paused {
            host.held_up.push_back(event);
            return;
        }
        match event {
            Event::Wake { node, turn } if turn == self.hosts[node].turn => {
                self.step(node, Input::Tick);
            }
            Event::Wake { .. } => {}
            Event::Poll { node } => self.poll(node),
            Event::Deliver { node, from, message } => {
                self.step(node, Input::Received { from, message });
            }
            Event::Records { node, upto } => self.fold_to(node, upto),
            Event::Drained { node, run, range, epoch } => {
                if self.hosts[node].me.incarnation == run {
                    self.step(node, Input::Drained { range, epoch });
                }
            }
        }
    }

    fn poll(&mut self, node: usize) {
        let next = self.now + self.rng.u64(1..2 * POLL_MS) * MS;
        self.schedule(next, Event::Poll { node });
        let behind = self.journal.records.len() as u64 - self.hosts[node].fold.state().applied.0;
        if !self.hosts[node].log_cut && behind > 0 {
            let part = self.rng.u64(1..=behind);
            let upto = Offset(self.hosts[node].fold.state().applied.0 + part);
            self.fold_to(node, upto);
        }
    }

    fn fold_to(&mut self, node: usize, upto: Offset) {
        let fold = &mut self.hosts[node].fold;
        if upto <= fold.state().applied {
            return;
        }
        while fold.state().applied < upto {
            let applied = fold.state().applied.0;
            let text = &self.journal.records[usize::try_from(applied).unwrap()];
            fold.apply(Offset(applied + 1), text).unwrap();
        }
        let state = fold.state().clone();
        self.step(node, Input::Applied(&state));
    }

    fn step(&mut self, node: usize, input: Input<'_>) {
        let host = &mut self.hosts[node];
        let now = host.clock.read(self.now);
        let outputs = host.node.step(now, input);
        host.turn += 1;
        let wake = host.clock.real(host.node.next_wakeup(now)).max(self.now + 1);
        let turn = host.turn;
        self.schedule(wake, Event::Wake { node, turn });
        for output in outputs {
            self.take(node, output);
        }
        self.publish(node);
    }

    fn publish(&mut self, node: usize) {
        let host = &mut self.hosts[node];
        let now = host.clock.read(self.now);
        let held = host.node.holds().map(|hold| Published {
            range: hold.range.clone(),
            epoch: hold.epoch,
            until: hold.until,
            assignment: hold.assignment,
            accepting: hold.accepting,
        });
        host.published = held.collect();
        let served: Vec<_> =
            host.published.iter().filter(|hold| hold.until > now).cloned().collect();
        let me = host.me.clone();
        for hold in served {
            let other = self.server(&hold.range, node);
            if let Err(failure) = self.oracle.check(self.now, &me, &hold, other) {
                self.failure.get_or_insert(failure);
            }
        }
    }

    /// Returns another host that may serve a range right now.
    fn server(&self, range: &RangeId, except: usize) -> Option<(Member, Published)> {
        let hosts = self.hosts.iter().enumerate();
        let mut hosts = hosts.filter(|(index, host)| *index != except && host.alive);
        hosts.find_map(|(_, host)| {
            let found = host.published.binary_search_by(|hold| hold.range.cmp(range)).ok()?;
            let hold = &host.published[found];
            let serves = hold.until > host.clock.read(self.now);
            serves.then(|| (host.me.clone(), hold.clone()))
        })
    }

    /// Returns what traffic threads may serve right now.
    pub fn served(&self) -> Vec<(Member, Published)> {
        let hosts = self.hosts.iter().filter(|host| host.alive);
        let serves = |host: &Host| {
            let now = host.clock.read(self.now);
            let held = host.published.iter().filter(|hold| hold.until > now).cloned();
            let me = host.me.clone();
            held.map(move |hold| (me.clone(), hold)).collect::<Vec<_>>()
        };
        hosts.flat_map(serves).collect()
    }

    /// Returns the index of the host that serves a range.
    pub fn holder(&self, range: &RangeId) -> Option<usize> {
        let served = self.served();
        let (who, _) = served.into_iter().find(|(_, hold)| hold.range == *range)?;
        self.hosts.iter().position(|host| host.me == who)
    }

    fn take(&mut self, node: usize, output: Output) {
        let me = self.hosts[node].me.clone();
        let log_away = self.hosts.iter().all(|host| host.log_cut);
        let mut repair = false;
        let mut replaces = false;
        if let Output::Acquired { range, epoch, .. } = &output {
            repair = self.journal.repairs.contains(&epoch.offset);
            let assignment = self.hosts[node].fold.state().assignment(range).unwrap();
            replaces = !assignment.previous.is_empty();
        }
        let around = Around { log_away, replaces, repair };
        let noted = self.oracle.note(self.now, &me, &output, around);
        if let Err(failure) = noted {
            self.failure.get_or_insert(failure);
        }
        if self.trace {
            println!("{} {me} {output:?}", self.now);
        }
        match output {
            Output::Send { to, message } => self.send(node, to.as_str(), message),
            Output::Drain { range, epoch, .. } => {
                let at = self.now + self.rng.u64(1..1500) * MS;
                let run = me.incarnation;
                self.schedule(at, Event::Drained { node, run, range, epoch });
            }
            Output::CatchUp { from, offset } => self.fetch(node, from.as_str(), offset),
            Output::Acquired { .. } | Output::Lost { .. } => {}
        }
    }

    fn index(&self, host: &str) -> usize {
        self.hosts.iter().position(|found| found.me.host.as_str() == host).unwrap()
    }

    fn fetch(&mut self, node: usize, from: &str, offset: Offset) {
        let from = self.index(from);
        let cut = self.cuts.contains(&(node, from)) || self.cuts.contains(&(from, node));
        let peer = &self.hosts[from];
        let upto = offset.min(peer.fold.state().applied);
        if self.setup.catch_up && !cut && peer.alive && !peer.paused {
            let at = self.now + self.rng.u64(1..30) * MS;
            self.schedule(at, Event::Records { node, upto });
        }
    }

    fn send(&mut self, node: usize, to: &str, message: Message) {
        let to = self.index(to);
        self.note_vouched(&message);
        let copies = 1 + u8::from(self.rng.u8(0..100) < self.setup.duplicates);
        for _ in 0..copies {
            let lost = self.rng.u8(0..100) < self.setup.loss;
            if lost || self.cuts.contains(&(node, to)) {
                continue;
            }
            let slow = self.rng.u8(0..100) < self.setup.slow;
            let most = if slow { 900 * MS } else { 8 * MS };
            let at = self.now + self.rng.u64(200..most);
            let from = self.hosts[node].me.clone();
            let message = message.clone();
            self.schedule(at, Event::Deliver { node: to, from, message });
        }
    }

    fn note_vouched(&mut self, message: &Message) {
        let Message::SealAnswer(answer) = message else { return };
        for range in &answer.answers {
            if matches!(range.verdict, SealVerdict::Restarted { .. }) {
                self.oracle.restarted.insert((range.range.clone(), range.epoch));
            }
        }
    }
}

impl Event {
    fn node(&self) -> usize {
        match self {
            Self::Wake { node, .. }
            | Self::Poll { node }
            | Self::Deliver { node, .. }
            | Self::Records { node, .. }
            | Self::Drained { node, .. } => *node,
        }
    }
}
