//! Simulation of requests that crash the upstreams which run them, beside requests that do not.
//!
//! Hosts in two regions share upstreams that crash, stay away for some seconds and return at the same address under a
//! new id. Each host has the real [`CrashTracker`](skylarkdock_dispatch::crash_tracker::CrashTracker) and learns only
//! what it sees itself and what others report. Callers send the same requests again and again.

mod knowledge;

use knowledge::HostKnowledge;
use skylarkdock_dispatch::crash_tracker::{EndProof, Fingerprint};
use skylarkdock_units::times::HostTime;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Virtual time at which a simulation starts. Not 0, which means never to the tracker.
const START_MS: u64 = 100_000;
/// Number of hosts up to which all report to each other directly, the same as on real hosts.
const MAX_DIRECT_HOSTS: usize = 16;
/// Number of availability zones, half of them in each region. Each has a relay.
const ZONES: usize = 6;
/// One-way network latency within a region and between regions.
const NEAR_MS: u64 = 1;
const FAR_MS: u64 = 9;
/// Slots of an upstream, and further requests that it queues.
const SLOTS: usize = 2;
const QUEUE: usize = 6;
/// Work of a request at an upstream: its mean, and the most by which it differs.
const WORK_MS: u64 = 120;
const WORK_SPREAD_MS: u64 = 80;
/// Time for which an upstream stays away after a crash: the least, and the most beyond it.
const AWAY_MS: u64 = 1_600;
const AWAY_SPREAD_MS: u64 = 600;
/// Time after a crash at which hosts see that the entry is gone, and after a start at which they see the new one: the
/// least, and the most beyond it.
const LAPSE_MS: u64 = 2_600;
const LISTED_MS: u64 = 100;
const READ_SPREAD_MS: u64 = 900;
/// Time after which a connection to an upstream that is silent breaks.
const SILENCE_MS: u64 = 2_500;
/// Time after which a host gives up to open a connection.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// Time for which a host avoids an upstream that it could not connect to.
const AVOID_MS: u64 = 500;
/// Upstreams that one request may reach.
const MAX_ATTEMPTS: usize = 2;
/// Connections that a host tries to open for one request.
const MAX_CONNECTS: usize = 10;
/// Time after the third crash from which no more than three sends of the crashing request may reach upstreams.
pub const WINDOW_MS: u64 = 3_000;
/// Time after the third crash within which all hosts learn of it. What reaches upstreams until then counts as under way.
pub const LEARNING_MS: u64 = 1_000;
/// Popular requests, which make up half of the load.
const POPULAR: u64 = 20;
/// First fingerprint of requests that are sent once.
const FIRST_UNIQUE: u64 = 1_000_000;
/// Fingerprint of the crashing request.
const CRASHING: u64 = 1;
/// First fingerprint of popular requests.
const FIRST_POPULAR: u64 = 100;

/// What happens in a simulation.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of upstreams of the service.
    pub upstreams: usize,
    /// Rate at which callers send the crashing request, per second; 0 for none.
    pub crashing_per_s: f64,
    /// Times at which all upstreams restart within two seconds without a request being the cause, in milliseconds.
    pub mass_restarts_at: &'static [u64],
    /// Whether an upstream that ends goes silent instead of resetting connections and refusing new ones.
    pub is_silent: bool,
    /// Length of the simulation in milliseconds.
    pub length_ms: u64,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// What a simulation counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CrashStats {
    /// Upstreams that the crashing request ended.
    pub ended: u64,
    /// Attempts of the crashing request that reached upstreams later than [`LEARNING_MS`] after the third crash.
    pub sends_when_known: u64,
    /// The same later than [`WINDOW_MS`] after it.
    pub late_sends: u64,
    /// Other requests.
    pub others: u64,
    /// Refusals of other requests as crashing.
    pub refused: u64,
    /// Longest time for which a popular request was refused by some host, from the first refusal to the next answer.
    pub longest_refusal_ms: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival {
        is_crashing: bool,
    },
    /// A request is chosen an upstream for.
    Route {
        request: usize,
    },
    /// A request reaches the address of an upstream of which its host knows an incarnation.
    Connect {
        request: usize,
        slot: usize,
        incarnation: u64,
    },
    /// A job ends: by an answer, or by a crash.
    Finish {
        slot: usize,
        incarnation: u64,
        request: usize,
    },
    /// A host learns that the connection of a request broke.
    Broken {
        request: usize,
        slot: usize,
        incarnation: u64,
    },
    /// A host learns whether an upstream could be connected to.
    Unreachable {
        request: usize,
        slot: usize,
        incarnation: u64,
        is_refused: bool,
    },
    Answer {
        request: usize,
        slot: usize,
        incarnation: u64,
    },
    /// The upstream starts again.
    Start {
        slot: usize,
    },
    /// An upstream ends without a cause in a request.
    Restart {
        slot: usize,
    },
    /// A host sees in the registry that an entry is gone, or that there is a new one.
    Lapsed {
        host: usize,
        slot: usize,
        incarnation: u64,
    },
    Listed {
        host: usize,
        slot: usize,
        incarnation: u64,
    },
    /// A host sends its reports.
    Reports {
        host: usize,
        round: u64,
    },
    /// A report reaches a host.
    Report {
        message: usize,
        host: usize,
    },
    /// A host checks whether an upstream to which a connection broke has ended.
    Probe {
        host: usize,
        slot: usize,
        incarnation: u64,
        is_refused: bool,
    },
}

#[derive(Debug, Clone)]
struct Request {
    host: usize,
    fingerprint: Fingerprint,
    work_ms: u64,
    attempts: usize,
    connects: usize,
    tried: Vec<usize>,
}

#[derive(Debug, Default)]
struct Upstream {
    incarnation: u64,
    is_up: bool,
    running: Vec<usize>,
    queued: Vec<usize>,
}

/// What a host knows of an upstream's address.
#[derive(Debug, Clone, Copy, Default)]
struct Listed {
    /// Newest incarnation in the registry; `None` after its entry lapsed.
    incarnation: Option<u64>,
    avoided_until: u64,
}

struct Simulation {
    scenario: Scenario,
    rng: fastrand::Rng,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_seq: u64,
    hosts: Vec<HostKnowledge>,
    /// For each host and upstream.
    listed: Vec<Vec<Listed>>,
    upstreams: Vec<Upstream>,
    requests: Vec<Request>,
    messages: Vec<knowledge::Message>,
    next_unique: u64,
    crashes_at: Vec<u64>,
    refused_since: BTreeMap<u64, u64>,
    stats: CrashStats,
}

/// Runs a scenario.
pub fn simulate(scenario: Scenario) -> CrashStats {
    let mut simulation = Simulation::new(scenario);
    simulation.run();
    simulation.stats
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let listed = Listed { incarnation: Some(0), avoided_until: 0 };
        let upstream = || Upstream { is_up: true, ..Upstream::default() };
        Self {
            rng: fastrand::Rng::with_seed(scenario.seed),
            now_ms: START_MS,
            events: BinaryHeap::new(),
            event_seq: 0,
            hosts: (0..scenario.hosts).map(|_| HostKnowledge::default()).collect(),
            listed: vec![vec![listed; scenario.upstreams]; scenario.hosts],
            upstreams: (0..scenario.upstreams).map(|_| upstream()).collect(),
            requests: Vec::new(),
            messages: Vec::new(),
            next_unique: FIRST_UNIQUE,
            crashes_at: Vec::new(),
            refused_since: BTreeMap::new(),
            stats: CrashStats::default(),
            scenario,
        }
    }

    fn run(&mut self) {
        self.schedule(1, Event::Arrival { is_crashing: false });
        if self.scenario.crashing_per_s > 0.0 {
            self.schedule(5_000, Event::Arrival { is_crashing: true });
        }
        for at in self.scenario.mass_restarts_at {
            for slot in 0..self.scenario.upstreams {
                let delay = at + self.rng.u64(..2_000);
                self.schedule(delay, Event::Restart { slot });
            }
        }
        let interval = knowledge::interval_ms(self.scenario.hosts);
        for host in 0..self.scenario.hosts {
            // Hosts don't send in step.
            let (delay, round) = (self.rng.u64(..interval), self.rng.u64(..100));
            self.schedule(delay, Event::Reports { host, round });
        }
        while let Some(Reverse((at_ms, _, event))) = self.events.pop() {
            if at_ms > START_MS + self.scenario.length_ms {
                break;
            }
            self.now_ms = at_ms;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { is_crashing } => self.on_arrival(is_crashing),
            Event::Route { request } => self.route(request),
            Event::Connect { request, slot, incarnation } => {
                self.on_connect(request, slot, incarnation);
            }
            Event::Finish { slot, incarnation, request } => {
                self.on_finish(slot, incarnation, request);
            }
            Event::Broken { request, slot, incarnation } => {
                self.on_broken(request, slot, incarnation);
            }
            Event::Unreachable { request, slot, incarnation, is_refused } => {
                self.on_unreachable(request, slot, incarnation, is_refused);
            }
            Event::Answer { request, slot, incarnation } => {
                let Request { host, fingerprint, .. } = self.requests[request];
                let now = HostTime(self.now_ms);
                self.hosts[host].on_answered((slot, incarnation), fingerprint, now);
                if let Some(since) = self.refused_since.remove(&fingerprint.0) {
                    let span = self.now_ms - since;
                    self.stats.longest_refusal_ms = self.stats.longest_refusal_ms.max(span);
                }
            }
            Event::Start { slot } => self.on_start(slot),
            Event::Restart { slot } => self.end_upstream(slot),
            Event::Lapsed { host, slot, incarnation } => {
                let listed = &mut self.listed[host][slot];
                if listed.incarnation == Some(incarnation) {
                    listed.incarnation = None;
                }
                let now = HostTime(self.now_ms);
                self.hosts[host].on_ended((slot, incarnation), EndProof::Lapsed, now);
            }
            Event::Listed { host, slot, incarnation } => {
                self.listed[host][slot] =
                    Listed { incarnation: Some(incarnation), avoided_until: 0 };
                let before = incarnation - 1;
                let now = HostTime(self.now_ms);
                self.hosts[host].on_ended((slot, before), EndProof::Certain, now);
            }
            Event::Reports { host, round } => self.send_reports(host, round),
            Event::Report { message, host } => {
                let now = HostTime(self.now_ms);
                self.hosts[host].receive(&self.messages[message], now);
            }
            Event::Probe { host, slot, incarnation, is_refused } => {
                if is_refused {
                    let now = HostTime(self.now_ms);
                    self.hosts[host].on_ended((slot, incarnation), EndProof::Certain, now);
                }
            }
        }
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.event_seq += 1;
        self.events.push(Reverse((self.now_ms + delay_ms, self.event_seq, event)));
    }

    fn on_arrival(&mut self, is_crashing: bool) {
        let capacity = self.scenario.upstreams as f64 * SLOTS as f64 * 1_000.0 / WORK_MS as f64;
        let per_s = if is_crashing { self.scenario.crashing_per_s } else { 0.6 * capacity };
        let interval_ms = -(1.0 - self.rng.f64()).ln() * 1_000.0 / per_s;
        self.schedule((interval_ms.round() as u64).max(1), Event::Arrival { is_crashing });
        let fingerprint = if is_crashing {
            CRASHING
        } else if self.rng.bool() {
            // The square makes the first ones much more popular than the last ones.
            FIRST_POPULAR + (self.rng.f64().powi(2) * POPULAR as f64) as u64
        } else {
            self.next_unique += 1;
            self.next_unique
        };
        self.stats.others += u64::from(!is_crashing);
        self.requests.push(Request {
            host: self.rng.usize(..self.scenario.hosts),
            fingerprint: Fingerprint(fingerprint),
            work_ms: WORK_MS - WORK_SPREAD_MS + self.rng.u64(..2 * WORK_SPREAD_MS),
            attempts: 0,
            connects: 0,
            tried: Vec::new(),
        });
        self.route(self.requests.len() - 1);
    }

    /// Chooses an upstream: the less busy one of two that the host does not avoid.
    fn route(&mut self, request: usize) {
        let Request { host, fingerprint, .. } = self.requests[request];
        if self.hosts[host].is_refused(fingerprint, HostTime(self.now_ms)) {
            if fingerprint.0 != CRASHING {
                self.stats.refused += 1;
            }
            if (FIRST_POPULAR..FIRST_POPULAR + POPULAR).contains(&fingerprint.0) {
                self.refused_since.entry(fingerprint.0).or_insert(self.now_ms);
            }
            return;
        }
        let state = &self.requests[request];
        let usable: Vec<usize> = (0..self.scenario.upstreams)
            .filter(|slot| {
                let listed = self.listed[host][*slot];
                listed.incarnation.is_some()
                    && self.now_ms >= listed.avoided_until
                    && !state.tried.contains(slot)
            })
            .collect();
        if usable.is_empty() || state.attempts == MAX_ATTEMPTS || state.connects == MAX_CONNECTS {
            return;
        }
        let busy = |slot: usize| {
            let upstream = &self.upstreams[slot];
            upstream.running.len() + upstream.queued.len()
        };
        let picks = [0, 1].map(|_| usable[self.rng.usize(..usable.len())]);
        let slot = if busy(picks[0]) <= busy(picks[1]) { picks[0] } else { picks[1] };
        let Some(incarnation) = self.listed[host][slot].incarnation else { return };
        self.requests[request].tried.push(slot);
        self.requests[request].connects += 1;
        let latency = self.latency(host, slot);
        self.schedule(latency, Event::Connect { request, slot, incarnation });
    }

    fn latency(&self, host: usize, slot: usize) -> u64 {
        if region(host) == slot % 2 { NEAR_MS } else { FAR_MS }
    }

    fn on_connect(&mut self, request: usize, slot: usize, incarnation: u64) {
        let Request { host, fingerprint, .. } = self.requests[request];
        let latency = self.latency(host, slot);
        let upstream = &mut self.upstreams[slot];
        if !upstream.is_up {
            let is_refused = !self.scenario.is_silent;
            let delay = if is_refused { latency } else { CONNECT_TIMEOUT_MS };
            let unreachable = Event::Unreachable { request, slot, incarnation, is_refused };
            return self.schedule(delay, unreachable);
        }
        // The host looks again just before it sends.
        if self.hosts[host].is_refused(fingerprint, HostTime(self.now_ms)) {
            return;
        }
        if fingerprint.0 == CRASHING {
            let since_third = self.crashes_at.get(2).map_or(0, |at| self.now_ms - at);
            self.stats.sends_when_known += u64::from(since_third > LEARNING_MS);
            self.stats.late_sends += u64::from(since_third > WINDOW_MS);
        }
        if upstream.incarnation != incarnation {
            // The upstream's successor answers that it is another one.
            self.requests[request].attempts += 1;
            self.hosts[host].on_ended(
                (slot, incarnation),
                EndProof::Certain,
                HostTime(self.now_ms),
            );
            return self.schedule(latency, Event::Route { request });
        }
        self.requests[request].attempts += 1;
        if upstream.running.len() < SLOTS {
            self.begin(slot, request);
        } else if upstream.queued.len() < QUEUE {
            upstream.queued.push(request);
        } else {
            return self.schedule(latency, Event::Route { request });
        }
        self.hosts[host].on_sent((slot, incarnation), fingerprint, HostTime(self.now_ms));
    }

    fn begin(&mut self, slot: usize, request: usize) {
        let upstream = &mut self.upstreams[slot];
        upstream.running.push(request);
        let incarnation = upstream.incarnation;
        let Request { work_ms, .. } = self.requests[request];
        self.schedule(work_ms, Event::Finish { slot, incarnation, request });
    }

    fn on_finish(&mut self, slot: usize, incarnation: u64, request: usize) {
        let upstream = &mut self.upstreams[slot];
        if !upstream.is_up || upstream.incarnation != incarnation {
            return;
        }
        if self.requests[request].fingerprint.0 == CRASHING {
            self.stats.ended += 1;
            self.crashes_at.push(self.now_ms);
            return self.end_upstream(slot);
        }
        upstream.running.retain(|running| *running != request);
        let next = (!upstream.queued.is_empty()).then(|| upstream.queued.remove(0));
        let latency = self.latency(self.requests[request].host, slot);
        self.schedule(latency, Event::Answer { request, slot, incarnation });
        if let Some(next) = next {
            self.begin(slot, next);
        }
    }

    /// Ends an upstream: its requests get no answer, and it returns later.
    fn end_upstream(&mut self, slot: usize) {
        let upstream = &mut self.upstreams[slot];
        if !std::mem::replace(&mut upstream.is_up, false) {
            return;
        }
        let incarnation = upstream.incarnation;
        let mut lost = std::mem::take(&mut upstream.running);
        lost.append(&mut upstream.queued);
        for request in lost {
            let latency = self.latency(self.requests[request].host, slot);
            let delay = if self.scenario.is_silent { SILENCE_MS } else { latency };
            self.schedule(delay, Event::Broken { request, slot, incarnation });
        }
        let away = AWAY_MS + self.rng.u64(..AWAY_SPREAD_MS);
        self.schedule(away, Event::Start { slot });
        for host in 0..self.scenario.hosts {
            let delay = LAPSE_MS + self.rng.u64(..READ_SPREAD_MS);
            self.schedule(delay, Event::Lapsed { host, slot, incarnation });
        }
    }

    fn on_start(&mut self, slot: usize) {
        let upstream = &mut self.upstreams[slot];
        upstream.is_up = true;
        upstream.incarnation += 1;
        let incarnation = upstream.incarnation;
        for host in 0..self.scenario.hosts {
            let delay = LISTED_MS + self.rng.u64(..READ_SPREAD_MS);
            self.schedule(delay, Event::Listed { host, slot, incarnation });
        }
    }

    fn on_broken(&mut self, request: usize, slot: usize, incarnation: u64) {
        let Request { host, fingerprint, .. } = self.requests[request];
        // Hosts know each other's load from reports, here without delay.
        let load = 1 + self.upstreams[slot].running.len() + self.upstreams[slot].queued.len();
        let load = u32::try_from(load).unwrap_or(u32::MAX);
        let now = HostTime(self.now_ms);
        self.hosts[host].on_broken((slot, incarnation), fingerprint, load, now);
        // The host opens a connection to see whether the upstream has ended, and then asks another host.
        let is_refused = !self.upstreams[slot].is_up && !self.scenario.is_silent;
        let delay = 4 * self.latency(host, slot) + 2 * NEAR_MS;
        self.schedule(delay, Event::Probe { host, slot, incarnation, is_refused });
        self.route(request);
    }

    fn on_unreachable(&mut self, request: usize, slot: usize, incarnation: u64, is_refused: bool) {
        let host = self.requests[request].host;
        self.listed[host][slot].avoided_until = self.now_ms + AVOID_MS;
        if is_refused {
            let now = HostTime(self.now_ms);
            self.hosts[host].on_ended((slot, incarnation), EndProof::Certain, now);
        }
        self.schedule(2 * NEAR_MS, Event::Route { request });
    }

    fn send_reports(&mut self, host: usize, round: u64) {
        let hosts = self.scenario.hosts;
        self.schedule(knowledge::interval_ms(hosts), Event::Reports { host, round: round + 1 });
        let now = HostTime(self.now_ms);
        let includes_far = self.hosts[host].includes_far(round, hosts, now);
        let Some(message) = self.hosts[host].message(round, hosts, now) else { return };
        for receiver in receivers(host, hosts, includes_far) {
            let latency = if region(host) == region(receiver) { NEAR_MS } else { FAR_MS };
            self.schedule(latency, Event::Report { message: self.messages.len(), host: receiver });
        }
        self.messages.push(message);
    }
}

/// Returns the region of a host. Zones alternate between the regions.
const fn region(host: usize) -> usize {
    host % ZONES % 2
}

/// Returns the hosts that a host sends its reports to. With many hosts the first one of each zone is its relay.
fn receivers(host: usize, hosts: usize, includes_far: bool) -> Vec<usize> {
    let is_reached = |other: &usize| includes_far || region(*other) == region(host);
    let all = (0..hosts).filter(|other| *other != host);
    if hosts <= MAX_DIRECT_HOSTS {
        return all.filter(is_reached).collect();
    }
    if host >= ZONES {
        return vec![host % ZONES];
    }
    let members = all.clone().filter(|other| other % ZONES == host);
    members.chain(all.filter(|other| *other < ZONES).filter(is_reached)).collect()
}

/// Identity of an upstream: its address, and how often it started there.
type Incarnation = (usize, u64);
