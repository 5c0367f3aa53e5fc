//! A network of memberships in virtual time.

use fastrand::Rng;
use skylarkdock_membership::{
    Config, Gossip, HostEntry, HostListEntry, HostState, Input, Membership, Output,
};
use skylarkdock_units::ids::{HostId, Incarnation, Member};
use skylarkdock_units::times::HostTime;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

const TICK_MS: u64 = 100;
const ZONES: usize = 4;

pub fn host_id(index: usize) -> HostId {
    format!("host-{index}").parse().unwrap()
}

fn address(index: usize, port: u16) -> SocketAddr {
    let [.., high, low] = u32::try_from(index).unwrap().to_be_bytes();
    (Ipv4Addr::new(10, 0, high, low), port).into()
}

fn listed(index: usize) -> HostListEntry {
    HostListEntry { host: host_id(index), peer: address(index, 7000), http: address(index, 8000) }
}

fn entry(index: usize, run: u64) -> HostEntry {
    let zone = index % ZONES;
    HostEntry {
        member: Member { host: host_id(index), incarnation: Incarnation(1_764_800_000_000 + run) },
        version: 0,
        state: HostState::Live,
        zone: format!("zone-{zone}").parse().unwrap(),
        region: format!("region-{}", zone / 2).parse().unwrap(),
        peer: address(index, 7000),
        http: address(index, 8000),
    }
}

struct Node {
    membership: Membership,
    run: u64,
    stopped: bool,
    paused_until: u64,
    messages: u64,
    bytes: u64,
    region_bytes: u64,
}

enum Event {
    Tick { at: usize, run: u64 },
    Message { from: usize, to: usize, msg: Box<Gossip> },
}

/// Averages over all hosts, for each second.
pub struct Traffic {
    pub messages: f64,
    pub messages_max: f64,
    pub bytes: f64,
    pub region_bytes: f64,
}

pub struct Network {
    pub loss: f64,
    pub blocked: Box<dyn Fn(usize, usize) -> bool>,
    pub outputs: Vec<(usize, Output)>,
    nodes: Vec<Node>,
    by_addr: BTreeMap<SocketAddr, usize>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    now: u64,
    rng: Rng,
}

impl Network {
    pub fn new(hosts: usize, seed: u64) -> Self {
        let mut net = Self {
            loss: 0.0,
            blocked: Box::new(|_, _| false),
            outputs: Vec::new(),
            nodes: Vec::new(),
            by_addr: (0..hosts).map(|index| (address(index, 7000), index)).collect(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            now: 1_000,
            rng: Rng::with_seed(seed),
        };
        for index in 0..hosts {
            let membership = Membership::new(entry(index, 1), Config::default());
            let node = Node {
                membership,
                run: 1,
                stopped: false,
                paused_until: 0,
                messages: 0,
                bytes: 0,
                region_bytes: 0,
            };
            net.nodes.push(node);
            let first = net.now + net.rng.u64(0..TICK_MS);
            net.push(first, Event::Tick { at: index, run: 1 });
        }
        net.list(0..hosts);
        net
    }

    fn push(&mut self, at: u64, event: Event) {
        self.queue.push(Reverse((at, self.next_event)));
        self.events.insert(self.next_event, event);
        self.next_event += 1;
    }

    fn step(&mut self, at: usize, input: Input) {
        let random = self.rng.u64(..);
        let node = &mut self.nodes[at];
        for output in node.membership.step(HostTime(self.now), random, input) {
            let Output::Send { addr, msg, .. } = output else {
                self.outputs.push((at, output));
                continue;
            };
            let size = postcard::to_allocvec(&*msg).unwrap().len() as u64;
            let to = self.by_addr.get(&addr).copied();
            let node = &mut self.nodes[at];
            node.messages += 1;
            node.bytes += size;
            if to.is_some_and(|to| at % ZONES / 2 != to % ZONES / 2) {
                node.region_bytes += size;
            }
            let lost = self.rng.f64() < self.loss;
            if let Some(to) = to.filter(|to| !lost && !(self.blocked)(at, *to)) {
                let delay = if at % ZONES / 2 == to % ZONES / 2 { 1 } else { 8 };
                let arrival = self.now + delay + self.rng.u64(0..3);
                self.push(arrival, Event::Message { from: at, to, msg });
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let (Event::Tick { at, .. } | Event::Message { to: at, .. }) = event;
        let node = &self.nodes[at];
        if node.paused_until > self.now {
            self.push(node.paused_until, event);
            return;
        }
        match event {
            Event::Tick { run, .. } if node.stopped || node.run != run => {}
            Event::Tick { at, run } => {
                self.push(self.now + TICK_MS, Event::Tick { at, run });
                self.step(at, Input::Tick);
            }
            Event::Message { .. } if node.stopped => {}
            Event::Message { from, to, msg } => {
                self.step(to, Input::Received { from: host_id(from), msg });
            }
        }
    }

    pub fn run(&mut self, span_ms: u64) {
        let end = self.now + span_ms;
        while let Some(Reverse((at, key))) = self.queue.peek().copied().filter(|q| q.0.0 <= end) {
            self.queue.pop();
            self.now = at;
            let event = self.events.remove(&key).unwrap();
            self.handle(event);
        }
        self.now = end;
    }

    /// Runs until the condition holds; returns the time it took.
    pub fn run_until(&mut self, limit_ms: u64, done: impl Fn(&Self) -> bool) -> Option<u64> {
        let start = self.now;
        while !done(self) {
            if self.now - start >= limit_ms {
                return None;
            }
            self.run(100);
        }
        Some(self.now - start)
    }

    pub fn state(&self, at: usize, of: usize) -> Option<HostState> {
        self.nodes[at].membership.get(&host_id(of)).map(|view| view.state)
    }

    /// Tells whether every host sees exactly the running hosts as live, in their latest run.
    pub fn all_agree(&self) -> bool {
        let live: Vec<Member> = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| !node.stopped)
            .map(|(index, node)| entry(index, node.run).member)
            .collect();
        let mut sorted = live;
        sorted.sort();
        self.nodes.iter().filter(|node| !node.stopped).all(|node| {
            let view = node.membership.view();
            let seen = view
                .into_iter()
                .filter(|host| host.state == HostState::Live)
                .map(|host| host.member);
            seen.eq(sorted.iter().cloned())
        })
    }

    pub fn all_see(&self, of: usize, state: HostState) -> bool {
        (0..self.nodes.len()).all(|at| self.state(at, of) == Some(state))
    }

    /// Counts views of any host in a state.
    pub fn count(&self, state: HostState) -> usize {
        let views = self.nodes.iter().flat_map(|node| node.membership.view());
        views.filter(|view| view.state == state).count()
    }

    pub fn leave(&mut self, at: usize) {
        self.step(at, Input::Leave);
    }

    pub fn pause(&mut self, at: usize, span_ms: u64) {
        self.nodes[at].paused_until = self.now + span_ms;
    }

    pub fn stop(&mut self, at: usize) {
        self.nodes[at].stopped = true;
    }

    /// Starts another run of a host, which knows the host list only.
    pub fn restart(&mut self, at: usize, run: u64) {
        let node = &mut self.nodes[at];
        (node.membership, node.run, node.stopped) =
            (Membership::new(entry(at, run), Config::default()), run, false);
        self.push(self.now, Event::Tick { at, run });
        let hosts = (0..self.nodes.len()).map(listed).collect();
        self.step(at, Input::HostList(hosts));
    }

    /// Gives all hosts a list of hosts.
    pub fn list(&mut self, hosts: impl Iterator<Item = usize>) {
        let hosts: Vec<HostListEntry> = hosts.map(listed).collect();
        for at in 0..self.nodes.len() {
            self.step(at, Input::HostList(hosts.clone()));
        }
    }

    /// Gives all hosts a list in which a host has an address that leads nowhere.
    pub fn misdirect(&mut self, host: usize) {
        let wrong = HostListEntry { peer: address(999, 7000), ..listed(host) };
        let hosts: Vec<HostListEntry> = (0..self.nodes.len())
            .map(|index| if index == host { wrong.clone() } else { listed(index) })
            .collect();
        for at in 0..self.nodes.len() {
            self.step(at, Input::HostList(hosts.clone()));
        }
    }

    pub fn reset_traffic(&mut self) {
        for node in &mut self.nodes {
            (node.messages, node.bytes, node.region_bytes) = (0, 0, 0);
        }
    }

    #[allow(clippy::cast_precision_loss)]
    pub fn traffic(&self, seconds: f64) -> Traffic {
        let mean = |of: fn(&Node) -> u64| {
            self.nodes.iter().map(of).sum::<u64>() as f64 / self.nodes.len() as f64 / seconds
        };
        let largest = self.nodes.iter().map(|node| node.messages).max().unwrap_or_default();
        Traffic {
            messages: mean(|node| node.messages),
            messages_max: largest as f64 / seconds,
            bytes: mean(|node| node.bytes),
            region_bytes: mean(|node| node.region_bytes),
        }
    }
}
