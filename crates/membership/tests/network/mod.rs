//! A simulated network of memberships in virtual time.

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

fn host_list_entry(index: usize) -> HostListEntry {
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
    cross_region_bytes: u64,
}

enum Event {
    Tick { at: usize, run: u64 },
    Message { from: usize, to: usize, msg: Box<Gossip> },
}

/// Traffic per host and second, averaged over all hosts except for `max_messages`.
pub struct Traffic {
    pub messages: f64,
    pub max_messages: f64,
    pub bytes: f64,
    pub cross_region_bytes: f64,
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
                cross_region_bytes: 0,
            };
            net.nodes.push(node);
            let first = net.now + net.rng.u64(0..TICK_MS);
            net.push(first, Event::Tick { at: index, run: 1 });
        }
        net.set_host_list(0..hosts);
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
                node.cross_region_bytes += size;
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

    pub fn run(&mut self, duration_ms: u64) {
        let end = self.now + duration_ms;
        while let Some(Reverse((at, key))) = self.queue.peek().copied().filter(|q| q.0.0 <= end) {
            self.queue.pop();
            self.now = at;
            let event = self.events.remove(&key).unwrap();
            self.handle(event);
        }
        self.now = end;
    }

    /// Runs until the condition holds and returns the time in ms that it took, or `None` after `limit_ms`.
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

    pub fn state(&self, observer: usize, subject: usize) -> Option<HostState> {
        self.nodes[observer].membership.get(&host_id(subject)).map(|view| view.state)
    }

    /// Returns whether every running host sees exactly the running hosts as live, in their latest
    /// incarnation.
    pub fn all_views_match(&self) -> bool {
        let live: Vec<Member> = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| !node.stopped)
            .map(|(index, node)| entry(index, node.run).member)
            .collect();
        let mut live_sorted = live;
        live_sorted.sort();
        self.nodes.iter().filter(|node| !node.stopped).all(|node| {
            let view = node.membership.view();
            let seen = view
                .into_iter()
                .filter(|host| host.state == HostState::Live)
                .map(|host| host.member);
            seen.eq(live_sorted.iter().cloned())
        })
    }

    pub fn all_see(&self, subject: usize, state: HostState) -> bool {
        (0..self.nodes.len()).all(|observer| self.state(observer, subject) == Some(state))
    }

    /// Counts the pairs of observing and observed host in which the observed one has this state.
    pub fn count(&self, state: HostState) -> usize {
        let views = self.nodes.iter().flat_map(|node| node.membership.view());
        views.filter(|view| view.state == state).count()
    }

    pub fn leave(&mut self, at: usize) {
        self.step(at, Input::Leave);
    }

    pub fn pause(&mut self, at: usize, duration_ms: u64) {
        self.nodes[at].paused_until = self.now + duration_ms;
    }

    pub fn stop(&mut self, at: usize) {
        self.nodes[at].stopped = true;
    }

    /// Restarts a host's daemon with another incarnation, which knows nothing but the host list.
    pub fn restart(&mut self, at: usize, run: u64) {
        let node = &mut self.nodes[at];
        (node.membership, node.run, node.stopped) =
            (Membership::new(entry(at, run), Config::default()), run, false);
        self.push(self.now, Event::Tick { at, run });
        let hosts = (0..self.nodes.len()).map(host_list_entry).collect();
        self.step(at, Input::HostList(hosts));
    }

    /// Passes a platform host list to all hosts.
    pub fn set_host_list(&mut self, hosts: impl Iterator<Item = usize>) {
        let hosts: Vec<HostListEntry> = hosts.map(host_list_entry).collect();
        for at in 0..self.nodes.len() {
            self.step(at, Input::HostList(hosts.clone()));
        }
    }

    /// Passes a platform host list to all hosts in which one host has an address that nobody listens on.
    pub fn list_wrong_address(&mut self, host: usize) {
        let wrong_entry = HostListEntry { peer: address(999, 7000), ..host_list_entry(host) };
        let hosts: Vec<HostListEntry> = (0..self.nodes.len())
            .map(|index| if index == host { wrong_entry.clone() } else { host_list_entry(index) })
            .collect();
        for at in 0..self.nodes.len() {
            self.step(at, Input::HostList(hosts.clone()));
        }
    }

    pub fn reset_traffic(&mut self) {
        for node in &mut self.nodes {
            (node.messages, node.bytes, node.cross_region_bytes) = (0, 0, 0);
        }
    }

    #[allow(clippy::cast_precision_loss)]
    pub fn traffic(&self, seconds: f64) -> Traffic {
        let mean = |counter: fn(&Node) -> u64| {
            self.nodes.iter().map(counter).sum::<u64>() as f64 / self.nodes.len() as f64 / seconds
        };
        let most_messages = self.nodes.iter().map(|node| node.messages).max().unwrap_or_default();
        Traffic {
            messages: mean(|node| node.messages),
            max_messages: most_messages as f64 / seconds,
            bytes: mean(|node| node.bytes),
            cross_region_bytes: mean(|node| node.cross_region_bytes),
        }
    }
}
