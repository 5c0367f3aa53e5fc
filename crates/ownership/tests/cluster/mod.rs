//! Simulates a cluster of nodes in virtual time, with faults of hosts, network and log.

#![allow(dead_code, clippy::unwrap_used, clippy::expect_used)]

pub mod clock;
pub mod cluster_log;
pub mod faults;
pub mod oracle;
pub mod writers;

use clock::Clock;
use cluster_log::ClusterLog;
use oracle::{Oracle, OutputContext, Published};
use skylarkdock_fold::Fold;
use skylarkdock_ownership::message::SealVerdict;
use skylarkdock_ownership::{Input, Message, Node, Output, Timing};
use skylarkdock_units::ids::{Epoch, Incarnation, Member, Offset, RangeId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const MICROS_PER_MS: u64 = 1000;
const LOG_POLL_INTERVAL_MS: u64 = 20;

/// Configuration of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterConfig {
    pub nodes: usize,
    /// Number of members of each lease.
    pub members: usize,
    pub ranges: usize,
    pub seed: u64,
    /// Percentage of messages that are lost.
    pub loss: u8,
    /// Percentage of messages that are delivered twice.
    pub duplicates: u8,
    /// Percentage of messages that are delayed by up to 900 ms instead of 8 ms.
    pub delayed: u8,
    /// Whether hosts fetch records from peers that report newer ones.
    pub catch_up: bool,
    pub timing: Timing,
}

#[derive(Debug)]
enum Event {
    Tick { node: usize, step_count: u64 },
    PollLog { node: usize },
    Deliver { node: usize, from: Member, message: Message },
    FetchedRecords { node: usize, upto: Offset },
    Drained { node: usize, incarnation: Incarnation, range: RangeId, epoch: Epoch },
}

/// A simulated host.
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
    deferred_events: VecDeque<Event>,
    step_count: u64,
}

/// A simulated cluster.
pub struct Cluster {
    pub config: ClusterConfig,
    pub now: u64,
    pub hosts: Vec<Host>,
    pub log: ClusterLog,
    pub ranges: Vec<RangeId>,
    pub oracle: Oracle,
    /// Pairs of sender and receiver between which messages are dropped.
    pub cuts: BTreeSet<(usize, usize)>,
    pub rng: fastrand::Rng,
    pub failure: Option<String>,
    pub trace: bool,
    events: BTreeMap<(u64, u64), Event>,
    last_event: u64,
}

fn member(index: usize, incarnation: u64) -> Member {
    Member { host: format!("host-{index}").parse().unwrap(), incarnation: Incarnation(incarnation) }
}

impl Cluster {
    /// Creates a cluster. The leases of successive ranges begin with successive hosts.
    pub fn new(config: ClusterConfig) -> Self {
        let mut rng = fastrand::Rng::with_seed(config.seed);
        let host = |index| {
            let start = rng.u64(1_000_000..900_000_000_000);
            let drift_ppm = match rng.u8(0..4) {
                0 => -10_000,
                1 => 10_000,
                _ => rng.i32(-10_000..=10_000),
            };
            let clock = Clock { start, drift_ppm };
            let me = member(index, 1);
            let node = Node::new(me.clone(), config.timing, clock.read(0));
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
                deferred_events: VecDeque::new(),
                step_count: 0,
            }
        };
        let hosts = (0..config.nodes).map(host).collect();
        let range = |index: usize| format!("orders/{index}").parse().unwrap();
        let ranges = (0..config.ranges).map(range).collect();
        let mut cluster = Self {
            now: 0,
            hosts,
            log: ClusterLog::default(),
            ranges,
            oracle: Oracle::default(),
            cuts: BTreeSet::new(),
            rng,
            failure: None,
            trace: std::env::var("SKYLARKDOCK_TRACE").is_ok(),
            events: BTreeMap::new(),
            last_event: 0,
            config,
        };
        cluster.assign_ranges();
        cluster
    }

    fn assign_ranges(&mut self) {
        let ranges = self.ranges.clone();
        self.log.publish(&ranges[0]);
        for (index, range) in ranges.iter().enumerate() {
            let member = |place: usize| self.hosts[(index + place) % self.config.nodes].me.clone();
            let members = (0..self.config.members).map(member).collect();
            self.log.assign(range, Offset(0), Some(members), true);
        }
        for node in 0..self.hosts.len() {
            self.schedule(self.now, Event::PollLog { node });
            self.schedule(self.now, Event::Tick { node, step_count: 0 });
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.last_event += 1;
        self.events.insert((at, self.last_event), event);
    }

    /// Runs for a duration in milliseconds, or until the oracle reports a failure.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms * MICROS_PER_MS;
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
            if matches!(event, Event::PollLog { .. }) {
                self.schedule(self.now + LOG_POLL_INTERVAL_MS * MICROS_PER_MS, event);
            }
            return;
        }
        if host.paused {
            host.deferred_events.push_back(event);
            return;
        }
        match event {
            Event::Tick { node, step_count } if step_count == self.hosts[node].step_count => {
                self.step(node, Input::Tick);
            }
            Event::Tick { .. } => {}
            Event::PollLog { node } => self.poll_log(node),
            Event::Deliver { node, from, message } => {
                self.step(node, Input::Received { from, message });
            }
            Event::FetchedRecords { node, upto } => self.fold_to(node, upto),
            Event::Drained { node, incarnation, range, epoch } => {
                if self.hosts[node].me.incarnation == incarnation {
                    self.step(node, Input::Drained { range, epoch });
                }
            }
        }
    }

    fn poll_log(&mut self, node: usize) {
        let next = self.now + self.rng.u64(1..2 * LOG_POLL_INTERVAL_MS) * MICROS_PER_MS;
        self.schedule(next, Event::PollLog { node });
        let behind = self.log.records.len() as u64 - self.hosts[node].fold.state().applied.0;
        if !self.hosts[node].log_cut && behind > 0 {
            let count = self.rng.u64(1..=behind);
            let upto = Offset(self.hosts[node].fold.state().applied.0 + count);
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
            let text = &self.log.records[usize::try_from(applied).unwrap()];
            fold.apply(Offset(applied + 1), text).unwrap();
        }
        let state = fold.state().clone();
        self.step(node, Input::Applied(&state));
    }

    fn step(&mut self, node: usize, input: Input<'_>) {
        let host = &mut self.hosts[node];
        let now = host.clock.read(self.now);
        let outputs = host.node.step(now, input);
        host.step_count += 1;
        let wake = host.clock.real(host.node.next_wakeup(now)).max(self.now + 1);
        let step_count = host.step_count;
        self.schedule(wake, Event::Tick { node, step_count });
        for output in outputs {
            self.handle_output(node, output);
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
            let other = self.other_server(&hold.range, node);
            if let Err(failure) = self.oracle.check(self.now, &me, &hold, other) {
                self.failure.get_or_insert(failure);
            }
        }
    }

    /// Returns a host other than `except` that may serve a range now, with its hold.
    fn other_server(&self, range: &RangeId, except: usize) -> Option<(Member, Published)> {
        let hosts = self.hosts.iter().enumerate();
        let mut hosts = hosts.filter(|(index, host)| *index != except && host.alive);
        hosts.find_map(|(_, host)| {
            let found = host.published.binary_search_by(|hold| hold.range.cmp(range)).ok()?;
            let hold = &host.published[found];
            let serves = hold.until > host.clock.read(self.now);
            serves.then(|| (host.me.clone(), hold.clone()))
        })
    }

    /// Returns the published holds that traffic threads of any host may serve now.
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

    fn handle_output(&mut self, node: usize, output: Output) {
        let me = self.hosts[node].me.clone();
        let log_unavailable = self.hosts.iter().all(|host| host.log_cut);
        let mut lease_replaced = false;
        let mut replaces = false;
        if let Output::Acquired { range, epoch, .. } = &output {
            lease_replaced = self.log.replacements.contains(&epoch.offset);
            let assignment = self.hosts[node].fold.state().assignment(range).unwrap();
            replaces = !assignment.previous.is_empty();
        }
        let context = OutputContext { log_unavailable, replaces, lease_replaced };
        let noted = self.oracle.note(self.now, &me, &output, context);
        if let Err(failure) = noted {
            self.failure.get_or_insert(failure);
        }
        if self.trace {
            println!("{} {me} {output:?}", self.now);
        }
        match output {
            Output::Send { to, message } => self.send(node, to.as_str(), message),
            Output::Drain { range, epoch, .. } => {
                let at = self.now + self.rng.u64(1..1500) * MICROS_PER_MS;
                let incarnation = me.incarnation;
                self.schedule(at, Event::Drained { node, incarnation, range, epoch });
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
        if self.config.catch_up && !cut && peer.alive && !peer.paused {
            let at = self.now + self.rng.u64(1..30) * MICROS_PER_MS;
            self.schedule(at, Event::FetchedRecords { node, upto });
        }
    }

    fn send(&mut self, node: usize, to: &str, message: Message) {
        let to = self.index(to);
        self.note_restarted_answers(&message);
        let copies = 1 + u8::from(self.rng.u8(0..100) < self.config.duplicates);
        for _ in 0..copies {
            let lost = self.rng.u8(0..100) < self.config.loss;
            if lost || self.cuts.contains(&(node, to)) {
                continue;
            }
            let delayed = self.rng.u8(0..100) < self.config.delayed;
            let max_delay = if delayed { 900 * MICROS_PER_MS } else { 8 * MICROS_PER_MS };
            let at = self.now + self.rng.u64(200..max_delay);
            let from = self.hosts[node].me.clone();
            let message = message.clone();
            self.schedule(at, Event::Deliver { node: to, from, message });
        }
    }

    fn note_restarted_answers(&mut self, message: &Message) {
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
            Self::Tick { node, .. }
            | Self::PollLog { node }
            | Self::Deliver { node, .. }
            | Self::FetchedRecords { node, .. }
            | Self::Drained { node, .. } => *node,
        }
    }
}
