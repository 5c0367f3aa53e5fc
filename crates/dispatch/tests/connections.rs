//! Connections to the upstreams of a service without keys, of which hundreds of hosts each use a few.

use rstest::rstest;
use skylarkdock_dispatch::routes::Idempotency;
use skylarkdock_dispatch::routing::{RoutingDecision, RoutingRequest};
use skylarkdock_dispatch::service::Service;
use skylarkdock_dispatch::upstream::{AttemptOutcome, Distance, IdleConnection, UpstreamInfo};
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

const START: HostTime = HostTime(100_000);
const SLOTS: u32 = 6;
/// Interval between load reports, the same as on real hosts.
const REPORT_INTERVAL: u64 = 150;
/// Idle connections that a host keeps to an upstream.
const MAX_IDLE: usize = 3;
/// Idle time after which a connection is closed, and from which it is not used for once-only requests.
const IDLE_TIME: Millis = Millis(8_500);
const ONCE_IDLE_TIME: Millis = Millis(1_000);
/// Time at the start that is not counted.
const WARM_UP: u64 = 3_000;

/// Requests to one region of a service.
struct Load {
    hosts: usize,
    upstreams: usize,
    requests_per_s: f64,
    service_ms: f64,
    idempotency: Idempotency,
}

#[derive(Debug, Default)]
struct Outcome {
    requests: u32,
    new_connections: u32,
    /// Requests that found all slots of their upstream taken.
    queued: u32,
    /// Sum of the times from the decision to the answer.
    total_ms: f64,
}

impl Outcome {
    fn new_share(&self) -> f64 {
        f64::from(self.new_connections) / f64::from(self.requests)
    }

    fn queued_share(&self) -> f64 {
        f64::from(self.queued) / f64::from(self.requests)
    }

    fn mean_ms(&self) -> f64 {
        self.total_ms / f64::from(self.requests)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Reports,
    Finished { upstream: usize, host: usize, started: u64 },
}

struct UpstreamModel {
    /// Service time as a multiple of the mean.
    slowness: f64,
    running: u32,
    queue: VecDeque<(usize, u64)>,
}

/// Plays a load for 20 s. With `tells_connections` the hosts know their open connections when they choose.
fn play(load: &Load, tells_connections: bool, seed: u64) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(seed);
    let ids: Vec<UpstreamId> = (0..load.upstreams)
        .map(|index| format!("u{index}").parse().unwrap_or_else(|e| panic!("{e}")))
        .collect();
    let infos = |distance: &dyn Fn(usize) -> Distance| -> Vec<UpstreamInfo> {
        let info = |(index, id): (usize, &UpstreamId)| UpstreamInfo {
            id: id.clone(),
            distance: distance(index),
            slots: SLOTS,
            cold_until: HostTime(0),
            is_leaving: false,
        };
        ids.iter().enumerate().map(info).collect()
    };
    let hosts_in_region = u32::try_from(load.hosts).unwrap_or(u32::MAX);
    // Four availability zones.
    let mut services: Vec<Service> = (0..load.hosts)
        .map(|host| {
            let mut service = Service::default();
            let distance = |upstream: usize| {
                if upstream % 4 == host % 4 { Distance::Zone } else { Distance::Region }
            };
            service.set_upstreams(infos(&distance));
            service.set_host_counts(hosts_in_region * 2, hosts_in_region);
            service
        })
        .collect();
    // Callers are spread by a hash, so unevenly.
    let weights: Vec<f64> = (0..load.hosts).map(|_| 0.3 + rng.f64() * 1.4).collect();
    let total_weight: f64 = weights.iter().sum();
    let mut models: Vec<UpstreamModel> = (0..load.upstreams)
        .map(|index| UpstreamModel {
            slowness: [0.7, 1.0, 1.6][index % 3],
            running: 0,
            queue: VecDeque::new(),
        })
        .collect();
    let mut idle: Vec<Vec<Vec<HostTime>>> = vec![vec![Vec::new(); load.upstreams]; load.hosts];
    let mut outcome = Outcome::default();
    let mut events = BinaryHeap::from([Reverse((0, Event::Arrival)), Reverse((1, Event::Reports))]);
    let mut ticket = 0;
    while let Some(Reverse((at, event))) = events.pop() {
        if at >= 20_000 {
            break;
        }
        let now = START + Millis(at);
        match event {
            Event::Arrival => {
                // Exponential pauses, in whole milliseconds.
                let pause = -(1.0 - rng.f64()).ln() * 1_000.0 / load.requests_per_s;
                events.push(Reverse((at + whole(pause + rng.f64()), Event::Arrival)));
                let mut point = rng.f64() * total_weight;
                let host = weights.iter().position(|weight| {
                    point -= weight;
                    point <= 0.0
                });
                let host = host.unwrap_or(0);
                ticket += 1;
                let request = RoutingRequest {
                    ticket,
                    rank: 1,
                    idempotency: load.idempotency,
                    arrived: now,
                    objective: now + Millis(1_500),
                    deadline: now + Millis(10_000),
                    key: None,
                    tried: Vec::new(),
                    jitter_per_mille: rng.u32(..1_000),
                };
                let RoutingDecision::Send(id) = services[host].decide(request, now) else {
                    continue;
                };
                services[host].on_start(&id, now);
                let upstream = ids.iter().position(|known| *known == id).unwrap_or_default();
                let limit = match load.idempotency {
                    Idempotency::Once => ONCE_IDLE_TIME,
                    Idempotency::Idempotent => IDLE_TIME,
                };
                let pool = &mut idle[host][upstream];
                let is_reused = pool.last().is_some_and(|used_at| now < *used_at + limit);
                if is_reused {
                    pool.pop();
                }
                if tells_connections {
                    tell(&mut services[host], &id, pool.last().copied());
                }
                let model = &mut models[upstream];
                if at >= WARM_UP {
                    outcome.requests += 1;
                    outcome.new_connections += u32::from(!is_reused);
                    outcome.queued += u32::from(model.running >= SLOTS);
                }
                if model.running < SLOTS {
                    model.running += 1;
                    let end = at + work(&mut rng, load, model);
                    events.push(Reverse((end, Event::Finished { upstream, host, started: at })));
                } else {
                    model.queue.push_back((host, at));
                }
            }
            Event::Finished { upstream, host, started } => {
                services[host].on_end(
                    &ids[upstream],
                    START + Millis(started),
                    AttemptOutcome::Answered,
                    now,
                );
                let pool = &mut idle[host][upstream];
                pool.retain(|used_at| now < *used_at + IDLE_TIME);
                if pool.len() < MAX_IDLE {
                    pool.push(now);
                }
                if tells_connections {
                    tell(&mut services[host], &ids[upstream], pool.last().copied());
                }
                if started >= WARM_UP {
                    outcome.total_ms += Duration::from_millis(at - started).as_secs_f64() * 1_000.0;
                }
                let model = &mut models[upstream];
                match model.queue.pop_front() {
                    Some((host, started)) => {
                        let end = at + work(&mut rng, load, model);
                        events.push(Reverse((end, Event::Finished { upstream, host, started })));
                    }
                    None => model.running -= 1,
                }
            }
            Event::Reports => {
                events.push(Reverse((at + REPORT_INTERVAL, Event::Reports)));
                for (upstream, id) in ids.iter().enumerate() {
                    let model = &models[upstream];
                    let total = model.running + u32::try_from(model.queue.len()).unwrap_or(0);
                    for service in &mut services {
                        let Some(state) = service.upstream_mut(id) else { continue };
                        let own = state.in_flight();
                        state.set_peer_load(total.saturating_sub(own), now);
                    }
                }
            }
        }
    }
    outcome
}

fn tell(service: &mut Service, id: &UpstreamId, used_at: Option<HostTime>) {
    let connection =
        used_at.map(|at| IdleConnection { until: at + IDLE_TIME, once_until: at + ONCE_IDLE_TIME });
    if let Some(upstream) = service.upstream_mut(id) {
        upstream.set_idle_connection(connection.unwrap_or_default());
    }
}

fn work(rng: &mut fastrand::Rng, load: &Load, model: &UpstreamModel) -> u64 {
    whole(load.service_ms * model.slowness * (0.4 + rng.f64() * 1.2)).max(1)
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small and positive")]
fn whole(ms: f64) -> u64 {
    ms.max(0.0) as u64
}

const fn load(requests_per_s: f64) -> Load {
    let idempotency = Idempotency::Once;
    Load { hosts: 147, upstreams: 103, requests_per_s, service_ms: 550.0, idempotency }
}

const fn long_reads() -> Load {
    let idempotency = Idempotency::Idempotent;
    Load { hosts: 147, upstreams: 112, requests_per_s: 233.0, service_ms: 1_700.0, idempotency }
}

/// Calm and busy times of services of a deployment with 295 hosts. Hosts that prefer their open connections open fewer new
/// ones, and spread their requests as well as those that choose from all upstreams alike.
#[rstest]
#[case::once_only_orders(load(660.0))]
#[case::busy_once_only_orders(load(880.0))]
#[case::long_reads(long_reads())]
fn hosts_that_prefer_their_connections_stay_balanced(#[case] load: Load) {
    for seed in 1..=2 {
        let blind = play(&load, false, seed);
        let told = play(&load, true, seed);
        assert!(told.new_share() < blind.new_share(), "seed {seed}: {blind:?}, {told:?}");
        let (queued, queued_before) = (told.queued_share(), blind.queued_share());
        assert!(queued <= queued_before + 0.01, "seed {seed}: {blind:?}, {told:?}");
        let (mean, mean_before) = (told.mean_ms(), blind.mean_ms());
        assert!(mean <= mean_before * 1.02, "seed {seed}: {blind:?}, {told:?}");
    }
}

/// The target for a large fleet.
#[rstest]
#[case::once_only_orders(load(660.0))]
#[case::busy_once_only_orders(load(880.0))]
#[case::long_reads(long_reads())]
fn at_most_one_request_in_four_opens_a_connection(#[case] load: Load) {
    for seed in 1..=2 {
        let told = play(&load, true, seed);
        assert!(told.new_share() <= 0.25, "seed {seed}: {told:?}");
    }
}
