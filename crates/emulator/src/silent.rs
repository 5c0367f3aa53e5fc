//! Simulation of upstreams that report no load and never answer a request that finds them full.
//!
//! One service without keys in one region, placed by the product's code. Demand oscillates or bursts, hosts are cut off
//! from the reports of the others, and a part of the upstreams is slowed for some seconds. Callers come back after a
//! refusal. Counted are the requests sent to a full upstream, and the causes of those that end unknown.

use skylarkdock_dispatch::regions::AllowedRegions;
use skylarkdock_dispatch::routes::Idempotency;
use skylarkdock_dispatch::routing::{RoutingDecision, RoutingRequest};
use skylarkdock_dispatch::service::Service;
use skylarkdock_dispatch::upstream::{AttemptOutcome, Distance, Upstream, UpstreamInfo};
use skylarkdock_dispatch::work::RouteKey;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Time of the hosts at the start.
const START_MS: u64 = 100_000;
/// Availability zones of the region.
const ZONES: usize = 4;
/// Time that a message takes one way.
const ONE_WAY_MS: u64 = 1;
/// Largest number of hosts that report to each other directly, and the intervals and delays of reports as on real hosts.
const MAX_DIRECT_HOSTS: usize = 16;
const DIRECT_INTERVAL_MS: u64 = 100;
const RELAYED_INTERVAL_MS: u64 = 150;
const RELAYED_DELAY_MS: u64 = 225;
/// Interval at which waiting requests are reconsidered.
const WAITING_INTERVAL_MS: u64 = 10;
/// Time at the start that is not counted.
const WARM_UP_MS: u64 = 4_000;
/// Objective and deadline of a caller, and the timeout of the route.
const OBJECTIVE_MS: u64 = 500;
const DEADLINE_MS: u64 = 3_000;
const TIMEOUT_MS: u64 = 1_750;
/// Times that a caller comes back after a refusal.
const RETRIES: u32 = 2;
/// Upstreams, their slots, and the places in their queue.
const UPSTREAMS: usize = 32;
const SLOTS: u32 = 3;
const QUEUE: usize = 12;
/// Mean time of a request at speed 1, in milliseconds, and the speeds by the upstream's index.
const SERVICE_MS: f64 = 100.0;
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.6];
/// Part of the requests that take longer, and the factor by which they do.
const LONG_SHARE: f64 = 0.03;
const LONG_FACTOR: f64 = 7.0;
/// Period of oscillating demand, and the part by which it oscillates.
const PERIOD_MS: f64 = 17_000.0;
const AMPLITUDE: f64 = 0.5;
/// Time in which the disturbance lasts, and the length of a simulation.
const DISTURBED_MS: std::ops::Range<u64> = 10_000..15_000;
const LENGTH_MS: u64 = 28_000;
/// Factor of the demand in a burst.
const BURST: f64 = 2.5;
/// One in this many upstreams is slowed, by this factor.
const SLOWED_ONE_IN: usize = 5;
const SLOWED_FACTOR: f64 = 5.0;
/// One in this many hosts is cut off.
const CUT_ONE_IN: usize = 20;
/// One in this many hosts has so many times the callers of another, if callers are skewed.
const LARGE_ONE_IN: usize = 12;
const LARGE_FACTOR: f64 = 20.0;

/// What happens in a simulation. Disturbances last from 10 to 15 s.
#[derive(Debug, Clone, Copy, Default)]
pub struct Scenario {
    /// Number of hosts.
    pub hosts: usize,
    /// Requests as a part of the capacity.
    pub load: f64,
    /// Part of the requests that are of rank 2 and may run more than once; the others are of rank 0 and may run once.
    pub read_share: f64,
    /// Whether demand oscillates by half.
    pub oscillates: bool,
    /// Whether demand is 2.5 times as high for some seconds.
    pub has_burst: bool,
    /// Whether a twentieth of the hosts is cut off from the others.
    pub has_cut: bool,
    /// Whether a fifth of the upstreams takes five times as long for some seconds.
    pub has_slow: bool,
    /// Whether one in twelve hosts has twenty times the callers of another.
    pub is_skewed: bool,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// What a simulation measures. Requests are counted from 4 s after the start on.
#[derive(Debug, Clone, Copy, Default)]
pub struct Measured {
    /// Requests of callers that may run only once.
    pub once: u32,
    /// Those that were answered, and those answered before the objective.
    pub once_served: u32,
    /// See [`Self::once_served`].
    pub once_in_time: u32,
    /// Those that were refused to the end.
    pub once_refused: u32,
    /// Those that ended unknown because the upstream was full.
    pub unknown_full: u32,
    /// Those that ended unknown at an upstream that was slowed while they were there.
    pub unknown_slow: u32,
    /// Those that ended unknown as they were among the long ones.
    pub unknown_long: u32,
    /// Those that ended unknown as they were sent later than the objective.
    pub unknown_late: u32,
    /// Those that ended unknown for no such cause.
    pub unknown_other: u32,
    /// Other requests of callers.
    pub reads: u32,
    /// Those that were answered.
    pub reads_served: u32,
    /// Requests sent to upstreams.
    pub sent: u32,
    /// Those sent to a full one.
    pub sent_full: u32,
}

impl Measured {
    /// Returns the once-only requests that ended unknown.
    pub const fn unknown(&self) -> u32 {
        self.unknown_full
            + self.unknown_slow
            + self.unknown_long
            + self.unknown_late
            + self.unknown_other
    }

    /// Returns the part of `count` in the once-only requests, in percent.
    pub fn once_percent(&self, count: u32) -> f64 {
        f64::from(count) * 100.0 / f64::from(self.once.max(1))
    }

    /// Returns the part of the sent requests that found an upstream full.
    pub fn full_share(&self) -> f64 {
        f64::from(self.sent_full) / f64::from(self.sent.max(1))
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Retry { host: usize, call: usize },
    Waiting,
    Snapshot,
    Reports(usize),
    Reached { upstream: usize, attempt: usize },
    Finished { upstream: usize, attempt: usize },
    Answered { upstream: usize, attempt: usize },
    TimedOut { upstream: usize, attempt: usize },
}

/// A caller's request with its repetitions.
#[derive(Debug, Clone, Copy)]
struct Call {
    arrived: u64,
    is_once: bool,
    is_long: bool,
    refusals: u32,
}

#[derive(Debug, Clone)]
struct Attempt {
    host: usize,
    call: usize,
    sent_at: u64,
    found_full: bool,
    was_slowed: bool,
    is_ended: bool,
}

#[derive(Debug, Clone, Default)]
struct Machine {
    running: u32,
    queue: VecDeque<usize>,
}

/// What the hosts reported at a time.
#[derive(Debug, Clone, Default)]
struct Snapshot {
    /// Loads by host and upstream.
    loads: Vec<Vec<u32>>,
    /// Whether a host told of a timeout.
    is_told: bool,
}

struct Simulation {
    scenario: Scenario,
    rng: fastrand::Rng,
    ids: Vec<UpstreamId>,
    indices: FastMap<UpstreamId, usize>,
    services: Vec<Service>,
    machines: Vec<Machine>,
    shares: Vec<f64>,
    calls: Vec<Call>,
    attempts: Vec<Attempt>,
    snapshots: Vec<Snapshot>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    measured: Measured,
}

/// Runs a scenario.
pub fn simulate(scenario: Scenario) -> Measured {
    let mut simulation = Simulation::new(scenario);
    while let Some(Reverse((at, event))) = simulation.events.pop() {
        if at >= LENGTH_MS {
            break;
        }
        simulation.on_event(event, at);
    }
    simulation.measured
}

const fn now(at: u64) -> HostTime {
    HostTime(START_MS + at)
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small and positive")]
fn whole(ms: f64) -> u64 {
    ms.max(0.0) as u64
}

fn is_disturbed(at: u64) -> bool {
    DISTURBED_MS.contains(&at)
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let mut rng = fastrand::Rng::with_seed(scenario.seed);
        let id = |index| format!("u{index}").parse().unwrap_or_else(|e| panic!("{e}"));
        let ids: Vec<UpstreamId> = (0..UPSTREAMS).map(id).collect();
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
                slots: SLOTS,
                cold_until: HostTime(0),
                is_leaving: false,
            };
            service.set_upstreams(ids.iter().enumerate().map(info).collect());
            service.set_host_counts(count, count);
            service.silence_mut().set_position(u32::try_from(host).unwrap_or(u32::MAX));
            service
        };
        let mut total = 0.0;
        // Callers are spread by a hash, so unevenly.
        let share = |host: usize| {
            let is_large = scenario.is_skewed && host.is_multiple_of(LARGE_ONE_IN);
            total += (0.3 + rng.f64() * 1.4) * if is_large { LARGE_FACTOR } else { 1.0 };
            total
        };
        let shares = (0..scenario.hosts).map(share).collect();
        let first = [Event::Arrival, Event::Waiting, Event::Snapshot];
        Self {
            services: (0..scenario.hosts).map(service).collect(),
            indices: ids.iter().cloned().zip(0..).collect(),
            ids,
            machines: vec![Machine::default(); UPSTREAMS],
            shares,
            calls: Vec::new(),
            attempts: Vec::new(),
            snapshots: Vec::new(),
            events: first.into_iter().map(|event| Reverse((0, event))).collect(),
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
            Event::Retry { host, call } => self.route(host, call, at),
            Event::Waiting => {
                self.push(at + WAITING_INTERVAL_MS, Event::Waiting);
                for host in 0..self.services.len() {
                    self.decide_waiting(host, at);
                }
            }
            Event::Snapshot => self.take_snapshot(at),
            Event::Reports(index) => self.deliver_reports(index, at),
            Event::Reached { upstream, attempt } => self.on_reached(upstream, attempt, at),
            Event::Finished { upstream, attempt } => self.on_finished(upstream, attempt, at),
            Event::Answered { upstream, attempt } => self.on_answered(upstream, attempt, at),
            Event::TimedOut { upstream, attempt } => self.on_timeout(upstream, attempt, at),
        }
    }

    /// Returns the requests a millisecond that arrive now.
    #[expect(clippy::cast_precision_loss, reason = "small")]
    fn demand_per_ms(&self, at: u64) -> f64 {
        let speed: f64 = (0..UPSTREAMS).map(|index| SPEEDS[index % SPEEDS.len()]).sum();
        let mean_ms = SERVICE_MS * (1.0 + LONG_SHARE * (LONG_FACTOR - 1.0));
        let mut demand = speed * f64::from(SLOTS) / mean_ms * self.scenario.load;
        if self.scenario.oscillates {
            demand *= 1.0 + AMPLITUDE * (at as f64 * std::f64::consts::TAU / PERIOD_MS).sin();
        }
        if self.scenario.has_burst && is_disturbed(at) {
            demand *= BURST;
        }
        demand
    }

    fn on_arrival(&mut self, at: u64) {
        // Exponential pauses, rounded at random to whole milliseconds.
        let pause = -(1.0 - self.rng.f64()).ln() / self.demand_per_ms(at) + self.rng.f64();
        self.push(at + whole(pause), Event::Arrival);
        let is_once = self.rng.f64() >= self.scenario.read_share;
        let is_long = self.rng.f64() < LONG_SHARE;
        self.calls.push(Call { arrived: at, is_once, is_long, refusals: 0 });
        let call = self.calls.len() - 1;
        let counted = u32::from(self.is_counted(call));
        *(if is_once { &mut self.measured.once } else { &mut self.measured.reads }) += counted;
        let host = self.choose_host();
        self.route(host, call, at);
    }

    fn choose_host(&mut self) -> usize {
        let point = self.rng.f64() * self.shares.last().copied().unwrap_or_default();
        self.shares.partition_point(|share| *share < point)
    }

    /// Returns whether a call arrived after the start, and early enough that it ends within the simulation.
    fn is_counted(&self, call: usize) -> bool {
        (WARM_UP_MS..LENGTH_MS - DEADLINE_MS).contains(&self.calls[call].arrived)
    }

    fn route(&mut self, host: usize, call: usize, at: u64) {
        let Call { arrived, is_once, .. } = self.calls[call];
        let request = RoutingRequest {
            route: RouteKey::default(),
            regions: AllowedRegions::default(),
            ticket: call as u64,
            rank: if is_once { 0 } else { 2 },
            idempotency: if is_once { Idempotency::Once } else { Idempotency::Idempotent },
            arrived: now(at),
            objective: now(arrived + OBJECTIVE_MS),
            deadline: now((arrived + DEADLINE_MS).min(at + TIMEOUT_MS)),
            key: None,
            tried: Vec::new(),
            jitter_per_mille: self.rng.u32(..1_000),
        };
        let decision = self.services[host].decide(request.clone(), now(at));
        self.on_decision(host, &request, decision, at);
    }

    fn on_decision(
        &mut self,
        host: usize,
        request: &RoutingRequest,
        decision: RoutingDecision,
        at: u64,
    ) {
        let call = usize::try_from(request.ticket).unwrap_or_default();
        match decision {
            RoutingDecision::Send(id) => {
                let upstream = self.indices[&id];
                self.services[host].on_start(&id, now(at));
                self.attempts.push(Attempt {
                    host,
                    call,
                    sent_at: at,
                    found_full: false,
                    was_slowed: false,
                    is_ended: false,
                });
                let attempt = self.attempts.len() - 1;
                self.push(at + ONE_WAY_MS, Event::Reached { upstream, attempt });
                self.push(request.deadline.0 - START_MS, Event::TimedOut { upstream, attempt });
            }
            RoutingDecision::Wait => {}
            RoutingDecision::Refuse { retry_after, .. } => self.on_refused(call, retry_after, at),
        }
    }

    fn on_refused(&mut self, call: usize, retry_after: Millis, at: u64) {
        let state = &mut self.calls[call];
        state.refusals += 1;
        let back_at = at + retry_after.0 + 2 * ONE_WAY_MS;
        if state.refusals <= RETRIES && back_at < state.arrived + DEADLINE_MS {
            let host = self.choose_host();
            self.push(back_at, Event::Retry { host, call });
        } else if state.is_once && self.is_counted(call) {
            self.measured.once_refused += 1;
        }
    }

    fn decide_waiting(&mut self, host: usize, at: u64) {
        if self.services[host].waiting() > 0 {
            for (request, decision) in self.services[host].decide_waiting(now(at)) {
                self.on_decision(host, &request, decision, at);
            }
        }
    }

    fn is_slowed(&self, upstream: usize, at: u64) -> bool {
        self.scenario.has_slow && upstream.is_multiple_of(SLOWED_ONE_IN) && is_disturbed(at)
    }

    fn on_reached(&mut self, upstream: usize, attempt: usize, at: u64) {
        let is_slowed = self.is_slowed(upstream, at);
        let counted = u32::from(self.is_counted(self.attempts[attempt].call));
        self.measured.sent += counted;
        self.attempts[attempt].was_slowed = is_slowed;
        let machine = &mut self.machines[upstream];
        if machine.running < SLOTS {
            machine.running += 1;
            self.run(upstream, attempt, at);
        } else if machine.queue.len() < QUEUE {
            machine.queue.push_back(attempt);
        } else {
            self.attempts[attempt].found_full = true;
            self.measured.sent_full += counted;
        }
    }

    fn run(&mut self, upstream: usize, attempt: usize, at: u64) {
        let mut ms = SERVICE_MS / SPEEDS[upstream % SPEEDS.len()] * (0.6 + self.rng.f64() * 0.8);
        if self.calls[self.attempts[attempt].call].is_long {
            ms *= LONG_FACTOR;
        }
        if self.is_slowed(upstream, at) {
            ms *= SLOWED_FACTOR;
            self.attempts[attempt].was_slowed = true;
        }
        self.push(at + whole(ms).max(1), Event::Finished { upstream, attempt });
    }

    fn on_finished(&mut self, upstream: usize, attempt: usize, at: u64) {
        let machine = &mut self.machines[upstream];
        match machine.queue.pop_front() {
            Some(next) => self.run(upstream, next, at),
            None => machine.running -= 1,
        }
        self.push(at + ONE_WAY_MS, Event::Answered { upstream, attempt });
    }

    /// Ends an attempt at its host; returns `false` if it had ended.
    fn end(&mut self, upstream: usize, attempt: usize, outcome: AttemptOutcome, at: u64) -> bool {
        let Attempt { host, sent_at, is_ended, .. } = self.attempts[attempt];
        if !is_ended {
            self.attempts[attempt].is_ended = true;
            self.services[host].on_end(&self.ids[upstream], now(sent_at), outcome, now(at));
            self.decide_waiting(host, at);
        }
        !is_ended
    }

    fn on_answered(&mut self, upstream: usize, attempt: usize, at: u64) {
        let index = self.attempts[attempt].call;
        if !self.end(upstream, attempt, AttemptOutcome::Answered, at) || !self.is_counted(index) {
            return;
        }
        let call = self.calls[index];
        if call.is_once {
            self.measured.once_served += 1;
            self.measured.once_in_time += u32::from(at <= call.arrived + OBJECTIVE_MS);
        } else {
            self.measured.reads_served += 1;
        }
    }

    fn on_timeout(&mut self, upstream: usize, attempt: usize, at: u64) {
        let Attempt { call: index, sent_at, found_full, was_slowed, .. } = self.attempts[attempt];
        if !self.end(upstream, attempt, AttemptOutcome::TimedOut, at) || !self.is_counted(index) {
            return;
        }
        let call = self.calls[index];
        if !call.is_once {
            return;
        }
        let measured = &mut self.measured;
        *(if found_full {
            &mut measured.unknown_full
        } else if was_slowed {
            &mut measured.unknown_slow
        } else if call.is_long {
            &mut measured.unknown_long
        } else if sent_at > call.arrived + OBJECTIVE_MS {
            &mut measured.unknown_late
        } else {
            &mut measured.unknown_other
        }) += 1;
    }

    const fn is_cut(&self, host: usize, at: u64) -> bool {
        let is_during = at >= DISTURBED_MS.start && at < DISTURBED_MS.end;
        self.scenario.has_cut && host.is_multiple_of(CUT_ONE_IN) && is_during
    }

    fn take_snapshot(&mut self, at: u64) {
        let is_direct = self.scenario.hosts <= MAX_DIRECT_HOSTS;
        let (interval, delay) = if is_direct {
            (DIRECT_INTERVAL_MS, ONE_WAY_MS)
        } else {
            (RELAYED_INTERVAL_MS, RELAYED_DELAY_MS)
        };
        self.push(at + interval, Event::Snapshot);
        let load = |service: &Service, id: &UpstreamId| {
            service.upstream(id).map_or(0, Upstream::in_flight)
        };
        let loads = |host: usize| {
            let service = &self.services[host];
            let is_cut = self.is_cut(host, at);
            let load = |id| if is_cut { 0 } else { load(service, id) };
            self.ids.iter().map(load).collect()
        };
        let tells =
            |host: usize| !self.is_cut(host, at) && self.services[host].silence().is_told(now(at));
        self.snapshots.push(Snapshot {
            loads: (0..self.scenario.hosts).map(loads).collect(),
            is_told: (0..self.scenario.hosts).any(tells),
        });
        self.push(at + delay, Event::Reports(self.snapshots.len() - 1));
    }

    fn deliver_reports(&mut self, index: usize, at: u64) {
        let Snapshot { loads, is_told } = std::mem::take(&mut self.snapshots[index]);
        let total = |upstream: usize| loads.iter().map(|loads: &Vec<u32>| loads[upstream]).sum();
        let totals: Vec<u32> = (0..UPSTREAMS).map(total).collect();
        let is_cut: Vec<bool> = (0..self.scenario.hosts).map(|h| self.is_cut(h, at)).collect();
        for (host, service) in self.services.iter_mut().enumerate() {
            if is_cut[host] {
                continue;
            }
            if is_told {
                service.silence_mut().on_told(now(at));
            }
            for (upstream, id) in self.ids.iter().enumerate() {
                if let Some(state) = service.upstream_mut(id) {
                    state.set_peer_load(totals[upstream] - loads[host][upstream], now(at));
                }
            }
        }
    }
}
