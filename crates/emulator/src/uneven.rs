//! Simulation of upstreams whose machines slow down and recover many times a second, placed by several rules.
//!
//! One service without keys in one region. The speed of an upstream is fixed; a neighbour slows a part of them for one
//! period, then another part. A request takes as long as the pace at its start tells. Hosts learn of each other's
//! requests by load reports, which take longer over relays.

use skylarkdock_dispatch::regions::AllowedRegions;
use skylarkdock_dispatch::reported_load::{ReportedLoad, USUAL_PACE};
use skylarkdock_dispatch::routes::Idempotency;
use skylarkdock_dispatch::routing::{RoutingDecision, RoutingRequest};
use skylarkdock_dispatch::service::Service;
use skylarkdock_dispatch::upstream::{AttemptOutcome, Distance, UpstreamInfo};
use skylarkdock_dispatch::work::RouteKey;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::HostTime;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Time of the hosts at the start.
const START_MS: u64 = 100_000;
/// Availability zones of the region.
const ZONES: usize = 4;
/// Time that a message takes one way.
const ONE_WAY_MS: u64 = 1;
/// Largest number of hosts that report to each other directly, and the intervals and delays of reports as on real hosts: a
/// relayed report passes up to three hosts, each of which sends at its own interval.
const MAX_DIRECT_HOSTS: usize = 16;
const DIRECT_INTERVAL_MS: u64 = 100;
const RELAYED_INTERVAL_MS: u64 = 150;
const RELAYED_DELAY_MS: u64 = 225;
/// Interval at which waiting requests are reconsidered.
const WAITING_INTERVAL_MS: u64 = 10;
/// Attempts of a request until it is refused.
const MAX_ATTEMPTS: usize = 3;
/// Time at the start that is not counted.
const WARM_UP_MS: u64 = 4_000;
/// Objective and deadline of a request.
const OBJECTIVE_MS: u64 = 1_000;
const DEADLINE_MS: u64 = 4_000;
/// Probes of a request, the most that are kept, and their lifetime, as published for Prequal.
const PROBES: usize = 3;
const MAX_PROBES: usize = 16;
const PROBE_LIFETIME_MS: u64 = 1_000;
/// Quantile of the probed loads above which an upstream counts as hot, in percent.
const HOT_PERCENT: usize = 84;

/// How an upstream is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// By the product's code, without reports of upstreams.
    Today,
    /// By the product's code with the reports in answers to the host itself.
    OwnReports,
    /// The same, and hosts tell each other at once of paces that differ from what they know.
    Forwarded,
    /// The fewest requests of this host in flight.
    LeastInFlight,
    /// The one with fewer requests of this host in flight of two random ones.
    TwoChoices,
    /// By the load and latency in probes, as published for Prequal.
    Probes,
}

impl Rule {
    /// All rules.
    pub const ALL: [Self; 6] = [
        Self::Today,
        Self::OwnReports,
        Self::Forwarded,
        Self::LeastInFlight,
        Self::TwoChoices,
        Self::Probes,
    ];

    const fn is_product(self) -> bool {
        matches!(self, Self::Today | Self::OwnReports | Self::Forwarded)
    }

    const fn uses_reports(self) -> bool {
        matches!(self, Self::OwnReports | Self::Forwarded)
    }
}

/// What happens in a simulation.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// How upstreams are chosen.
    pub rule: Rule,
    /// Number of hosts.
    pub hosts: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Slots of an upstream, and places in its queue.
    pub slots: u32,
    /// Requests beyond its slots that an upstream keeps.
    pub queue: usize,
    /// Mean time of a request at speed 1 and the usual pace, in milliseconds.
    pub service_ms: f64,
    /// Speeds, by the upstream's index.
    pub speeds: [f64; 3],
    /// One in this many upstreams is slowed.
    pub slow_one_in: usize,
    /// Pace of those, in percent.
    pub slow_pace: u32,
    /// Time after which others are slowed, in milliseconds.
    pub period_ms: u64,
    /// Requests as a part of the capacity at the mean pace.
    pub load: f64,
    /// Length, in milliseconds.
    pub length_ms: u64,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl Scenario {
    /// Returns the orders of a deployment with 63 hosts, at a load.
    pub const fn orders(rule: Rule, hosts: usize, speeds: [f64; 3], load: f64, seed: u64) -> Self {
        Self {
            rule,
            hosts,
            upstreams: 61,
            slots: 4,
            queue: 16,
            service_ms: 290.0,
            speeds,
            slow_one_in: 5,
            slow_pace: 300,
            period_ms: 400,
            load,
            length_ms: 24_000,
            seed,
        }
    }

    /// Returns the requests a millisecond that the upstreams can serve.
    #[expect(clippy::cast_precision_loss, reason = "small")]
    fn capacity_per_ms(&self) -> f64 {
        let speed: f64 = (0..self.upstreams).map(|index| self.speeds[index % 3]).sum();
        let slow = 1.0 / self.slow_one_in as f64;
        let pace = 1.0 + slow * (f64::from(self.slow_pace) / 100.0 - 1.0);
        speed * f64::from(self.slots) / (self.service_ms * pace)
    }
}

/// What a simulation measures.
#[derive(Debug, Clone, Default)]
pub struct Measured {
    /// Requests that arrived.
    pub offered: u32,
    /// Requests that were answered before the deadline.
    pub served: u32,
    /// Requests that were answered before the objective.
    pub in_time: u32,
    /// Requests that were refused.
    pub refused: u32,
    /// Attempts that found an upstream full.
    pub sheds: u32,
    /// Paces of which a host told the others.
    pub told: u32,
    /// Times of the served requests, sorted.
    pub latencies_ms: Vec<u64>,
}

impl Measured {
    /// Returns the time that this many of 1000 served requests took at most.
    pub fn latency_ms(&self, per_mille: usize) -> u64 {
        let index = (self.latencies_ms.len() * per_mille / 1_000)
            .min(self.latencies_ms.len().saturating_sub(1));
        self.latencies_ms.get(index).copied().unwrap_or_default()
    }

    /// Returns the part of the requests that were answered before the deadline.
    pub fn goodput(&self) -> f64 {
        f64::from(self.served) / f64::from(self.offered.max(1))
    }

    /// Returns the part of the requests that were answered before the objective.
    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.offered.max(1))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Waiting,
    Pace,
    Snapshot,
    Reports(usize),
    Reached { upstream: usize, attempt: usize },
    Finished { upstream: usize, attempt: usize },
    Answered { upstream: usize, attempt: usize, is_shed: bool, report: (u32, u32, u32) },
    Told { upstream: usize, pace: u32, learnt_at: u64 },
    Probed { host: usize, upstream: usize, load: u32, latency_ms: u64 },
}

#[derive(Debug, Clone)]
struct Attempt {
    host: usize,
    sent_at: u64,
    request: RoutingRequest,
}

#[derive(Debug, Clone, Default)]
struct Machine {
    running: u32,
    queue: VecDeque<usize>,
    pace: u32,
    /// Moving average of the time of requests, for probes.
    latency_ms: f64,
}

#[derive(Debug, Clone, Copy)]
struct Probe {
    at: u64,
    upstream: usize,
    load: u32,
    latency_ms: u64,
}

/// Loads and paces that hosts reported at a time.
#[derive(Debug, Clone)]
struct Snapshot {
    loads: Vec<u32>,
    own: Vec<Vec<u32>>,
}

struct Simulation {
    scenario: Scenario,
    rng: fastrand::Rng,
    ids: Vec<UpstreamId>,
    indices: FastMap<UpstreamId, usize>,
    services: Vec<Service>,
    machines: Vec<Machine>,
    /// Requests in flight by host and upstream, for the simple rules.
    in_flight: Vec<Vec<u32>>,
    probes: Vec<Vec<Probe>>,
    shares: Vec<f64>,
    attempts: Vec<Attempt>,
    snapshots: Vec<Snapshot>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    last_ticket: u64,
    measured: Measured,
}

/// Runs a scenario.
pub fn simulate(scenario: Scenario) -> Measured {
    let mut simulation = Simulation::new(scenario);
    while let Some(Reverse((at, event))) = simulation.events.pop() {
        if at >= scenario.length_ms {
            break;
        }
        simulation.on_event(event, at);
    }
    simulation.measured.latencies_ms.sort_unstable();
    simulation.measured
}

const fn now(at: u64) -> HostTime {
    HostTime(START_MS + at)
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small and positive")]
fn whole(ms: f64) -> u64 {
    ms.max(0.0) as u64
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let mut rng = fastrand::Rng::with_seed(scenario.seed);
        let id = |index| format!("u{index}").parse().unwrap_or_else(|e| panic!("{e}"));
        let ids: Vec<UpstreamId> = (0..scenario.upstreams).map(id).collect();
        let count = u32::try_from(scenario.hosts).unwrap_or(u32::MAX);
        let service = |host: usize| {
            let mut service = Service::default();
            let info = |(index, id): (usize, &UpstreamId)| UpstreamInfo {
                region: None,
                is_evacuated: false,
                id: id.clone(),
                distance: if index % ZONES == host % ZONES {
                    Distance::Zone
                } else {
                    Distance::Region
                },
                slots: scenario.slots,
                cold_until: HostTime(0),
                is_leaving: false,
            };
            service.set_upstreams(ids.iter().enumerate().map(info).collect());
            service.set_host_counts(count, count);
            service
        };
        let mut total = 0.0;
        // Callers are spread by a hash, so unevenly.
        let share = |_| {
            total += 0.3 + rng.f64() * 1.4;
            total
        };
        let shares = (0..scenario.hosts).map(share).collect();
        let first = [Event::Pace, Event::Arrival, Event::Waiting, Event::Snapshot];
        Self {
            services: (0..scenario.hosts).map(service).collect(),
            indices: ids.iter().cloned().zip(0..).collect(),
            ids,
            machines: vec![Machine { pace: USUAL_PACE, ..Machine::default() }; scenario.upstreams],
            in_flight: vec![vec![0; scenario.upstreams]; scenario.hosts],
            probes: vec![Vec::new(); scenario.hosts],
            shares,
            attempts: Vec::new(),
            snapshots: Vec::new(),
            events: first.into_iter().map(|event| Reverse((0, event))).collect(),
            last_ticket: 0,
            measured: Measured::default(),
            rng,
            scenario,
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn on_event(&mut self, event: Event, at: u64) {
        match event {
            Event::Arrival => self.on_arrival(at),
            Event::Waiting => {
                self.push(at + WAITING_INTERVAL_MS, Event::Waiting);
                for host in 0..self.services.len() {
                    self.decide_waiting(host, at);
                }
            }
            Event::Pace => self.change_paces(at),
            Event::Snapshot => self.take_snapshot(at),
            Event::Reports(index) => self.deliver_reports(index, at),
            Event::Reached { upstream, attempt } => self.on_reached(upstream, attempt, at),
            Event::Finished { upstream, attempt } => self.on_finished(upstream, attempt, at),
            Event::Answered { upstream, attempt, is_shed, report } => {
                self.on_answered(upstream, attempt, is_shed, report, at);
            }
            Event::Told { upstream, pace, learnt_at } => {
                self.measured.told += 1;
                for service in &mut self.services {
                    if let Some(state) = service.upstream_mut(&self.ids[upstream]) {
                        state.reported_mut().record_forwarded(pace, now(learnt_at));
                    }
                }
            }
            Event::Probed { host, upstream, load, latency_ms } => {
                let probes = &mut self.probes[host];
                if probes.len() >= MAX_PROBES {
                    probes.remove(0);
                }
                probes.push(Probe { at, upstream, load, latency_ms });
            }
        }
    }

    fn on_arrival(&mut self, at: u64) {
        let per_ms = self.scenario.capacity_per_ms() * self.scenario.load;
        // Exponential pauses, rounded at random to whole milliseconds.
        let pause = -(1.0 - self.rng.f64()).ln() / per_ms + self.rng.f64();
        self.push(at + whole(pause), Event::Arrival);
        let point = self.rng.f64() * self.shares.last().copied().unwrap_or_default();
        let host = self.shares.partition_point(|share| *share < point);
        self.last_ticket += 1;
        let request = RoutingRequest {
            route: RouteKey::default(),
            regions: AllowedRegions::default(),
            ticket: self.last_ticket,
            rank: 0,
            idempotency: Idempotency::Once,
            arrived: now(at),
            objective: now(at + OBJECTIVE_MS),
            deadline: now(at + DEADLINE_MS),
            key: None,
            tried: Vec::new(),
            jitter_per_mille: self.rng.u32(..1_000),
        };
        self.measured.offered += u32::from(self.is_counted(&request));
        self.route(host, request, at);
    }

    fn route(&mut self, host: usize, request: RoutingRequest, at: u64) {
        if self.scenario.rule.is_product() {
            let decision = self.services[host].decide(request.clone(), now(at));
            return self.on_decision(host, request, decision, at);
        }
        match self.choose(host, &request, at) {
            Some(upstream) => self.send(host, upstream, request, at),
            None => self.on_refused(&request),
        }
    }

    fn on_refused(&mut self, request: &RoutingRequest) {
        self.measured.refused += u32::from(self.is_counted(request));
    }

    /// Returns whether a request arrived after the start, and early enough that it ends within the simulation.
    fn is_counted(&self, request: &RoutingRequest) -> bool {
        let last = self.scenario.length_ms.saturating_sub(DEADLINE_MS);
        request.arrived >= now(WARM_UP_MS) && request.arrived < now(last)
    }

    fn on_decision(
        &mut self,
        host: usize,
        request: RoutingRequest,
        decision: RoutingDecision,
        at: u64,
    ) {
        match decision {
            RoutingDecision::Send(id) => self.send(host, self.indices[&id], request, at),
            RoutingDecision::Wait => {}
            RoutingDecision::Refuse { .. } => self.on_refused(&request),
        }
    }

    fn decide_waiting(&mut self, host: usize, at: u64) {
        if self.services[host].waiting() > 0 {
            for (request, decision) in self.services[host].decide_waiting(now(at)) {
                self.on_decision(host, request, decision, at);
            }
        }
    }

    fn send(&mut self, host: usize, upstream: usize, request: RoutingRequest, at: u64) {
        self.services[host].on_start(&self.ids[upstream], now(at));
        self.in_flight[host][upstream] += 1;
        let attempt = self.attempts.len();
        self.attempts.push(Attempt { host, sent_at: at, request });
        self.push(at + ONE_WAY_MS, Event::Reached { upstream, attempt });
    }

    /// Chooses by a rule that is not the product's.
    fn choose(&mut self, host: usize, request: &RoutingRequest, at: u64) -> Option<usize> {
        if request.tried.len() >= MAX_ATTEMPTS {
            return None;
        }
        let count = self.scenario.upstreams;
        let in_flight = &self.in_flight[host];
        match self.scenario.rule {
            Rule::LeastInFlight => {
                let offset = self.rng.usize(..count);
                let order = (0..count).map(|index| (index + offset) % count);
                order.min_by_key(|index| in_flight[*index])
            }
            Rule::TwoChoices => {
                let (one, other) = (self.rng.usize(..count), self.rng.usize(..count));
                Some(if in_flight[one] <= in_flight[other] { one } else { other })
            }
            _ => Some(self.choose_probed(host, at)),
        }
    }

    fn choose_probed(&mut self, host: usize, at: u64) -> usize {
        for _ in 0..PROBES {
            let upstream = self.rng.usize(..self.scenario.upstreams);
            let load = self.load(upstream);
            let latency_ms = whole(self.machines[upstream].latency_ms);
            self.push(at + 2 * ONE_WAY_MS, Event::Probed { host, upstream, load, latency_ms });
        }
        let probes = &mut self.probes[host];
        probes.retain(|probe| at < probe.at + PROBE_LIFETIME_MS);
        let mut loads: Vec<u32> = probes.iter().map(|probe| probe.load).collect();
        loads.sort_unstable();
        let Some(hot) = loads.get(loads.len() * HOT_PERCENT / 100) else {
            return self.rng.usize(..self.scenario.upstreams);
        };
        let cold = (0..probes.len()).filter(|index| probes[*index].load < *hot);
        let best = cold
            .min_by_key(|index| probes[*index].latency_ms)
            .or_else(|| (0..probes.len()).min_by_key(|index| probes[*index].load));
        probes.remove(best.unwrap_or_default()).upstream
    }

    fn load(&self, upstream: usize) -> u32 {
        let machine = &self.machines[upstream];
        machine.running + u32::try_from(machine.queue.len()).unwrap_or(u32::MAX)
    }

    fn on_reached(&mut self, upstream: usize, attempt: usize, at: u64) {
        let machine = &mut self.machines[upstream];
        if machine.running < self.scenario.slots {
            machine.running += 1;
            self.run(upstream, attempt, at);
        } else if machine.queue.len() < self.scenario.queue {
            machine.queue.push_back(attempt);
        } else {
            self.answer(upstream, attempt, true, at);
        }
    }

    fn run(&mut self, upstream: usize, attempt: usize, at: u64) {
        let pace = f64::from(self.machines[upstream].pace) / 100.0;
        let speed = self.scenario.speeds[upstream % 3];
        let ms = self.scenario.service_ms / speed * pace * (0.6 + self.rng.f64() * 0.8);
        self.push(at + whole(ms).max(1), Event::Finished { upstream, attempt });
    }

    fn answer(&mut self, upstream: usize, attempt: usize, is_shed: bool, at: u64) {
        let machine = &self.machines[upstream];
        let waiting = u32::try_from(machine.queue.len()).unwrap_or(u32::MAX);
        let report = (machine.running, waiting, machine.pace);
        self.push(at + ONE_WAY_MS, Event::Answered { upstream, attempt, is_shed, report });
    }

    fn on_finished(&mut self, upstream: usize, attempt: usize, at: u64) {
        let took = at - self.attempts[attempt].sent_at;
        let machine = &mut self.machines[upstream];
        #[expect(clippy::cast_precision_loss, reason = "small")]
        let took = took as f64;
        machine.latency_ms += (took - machine.latency_ms) * 0.2;
        match machine.queue.pop_front() {
            Some(next) => self.run(upstream, next, at),
            None => machine.running -= 1,
        }
        self.answer(upstream, attempt, false, at);
    }

    fn on_answered(
        &mut self,
        upstream: usize,
        attempt: usize,
        is_shed: bool,
        (running, waiting, pace_percent): (u32, u32, u32),
        at: u64,
    ) {
        let Attempt { host, sent_at, mut request } = self.attempts[attempt].clone();
        let id = self.ids[upstream].clone();
        self.in_flight[host][upstream] -= 1;
        if self.scenario.rule.uses_reports() {
            let slots = self.scenario.slots;
            let report = ReportedLoad { running, waiting, slots, pace_percent };
            if let Some(state) = self.services[host].upstream_mut(&id) {
                let is_news = state.reported_mut().record(&report, now(at));
                if is_news && self.scenario.rule == Rule::Forwarded {
                    let told = Event::Told { upstream, pace: pace_percent, learnt_at: at };
                    self.push(at + ONE_WAY_MS, told);
                }
            }
        }
        let outcome = if is_shed { AttemptOutcome::Shed } else { AttemptOutcome::Answered };
        self.services[host].on_end(&id, now(sent_at), outcome, now(at));
        let is_counted = self.is_counted(&request);
        if is_shed {
            self.measured.sheds += u32::from(is_counted);
            request.tried.push(id);
            if request.tried.len() >= MAX_ATTEMPTS {
                self.on_refused(&request);
            } else {
                self.route(host, request, at);
            }
        } else if is_counted && now(at) <= request.deadline {
            let took = now(at).since(request.arrived).0;
            self.measured.served += 1;
            self.measured.in_time += u32::from(now(at) <= request.objective);
            self.measured.latencies_ms.push(took);
        }
        self.decide_waiting(host, at);
    }

    fn change_paces(&mut self, at: u64) {
        self.push(at + self.scenario.period_ms, Event::Pace);
        let mut order: Vec<usize> = (0..self.scenario.upstreams).collect();
        self.rng.shuffle(&mut order);
        let slow = self.scenario.upstreams / self.scenario.slow_one_in;
        for (place, upstream) in order.into_iter().enumerate() {
            let is_slow = place < slow;
            self.machines[upstream].pace =
                if is_slow { self.scenario.slow_pace } else { USUAL_PACE };
        }
    }

    fn take_snapshot(&mut self, at: u64) {
        let is_direct = self.scenario.hosts <= MAX_DIRECT_HOSTS;
        let (interval, delay) = if is_direct {
            (DIRECT_INTERVAL_MS, ONE_WAY_MS)
        } else {
            (RELAYED_INTERVAL_MS, RELAYED_DELAY_MS)
        };
        self.push(at + interval, Event::Snapshot);
        if !self.scenario.rule.is_product() {
            return;
        }
        let load = |index| self.in_flight.iter().map(|loads: &Vec<u32>| loads[index]).sum();
        let loads = (0..self.scenario.upstreams).map(load).collect();
        let own = self.in_flight.clone();
        self.snapshots.push(Snapshot { loads, own });
        self.push(at + delay, Event::Reports(self.snapshots.len() - 1));
    }

    fn deliver_reports(&mut self, index: usize, at: u64) {
        let snapshot = self.snapshots[index].clone();
        for (host, service) in self.services.iter_mut().enumerate() {
            for (upstream, id) in self.ids.iter().enumerate() {
                let Some(state) = service.upstream_mut(id) else { continue };
                let peers = snapshot.loads[upstream] - snapshot.own[host][upstream];
                state.set_peer_load(peers, now(at));
            }
        }
    }
}
