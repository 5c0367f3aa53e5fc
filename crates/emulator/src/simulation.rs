//! Discrete-event simulation of callers, hosts and upstreams in virtual time.

mod detours;
mod permits;
mod rests;

use crate::limits::{Envelope, Limits};
use crate::policy::{HostRouter, Policy, upstream_info};
use crate::shape::{Burst, RequestKind, Shape};
use crate::stats::RunStats;
use crate::upstream::{Admission, Job, UpstreamModel};
use detours::{CONNECT_TIMEOUT_MS, MAX_DETOURS, host_addr, paths_to, upstream_addr};
use rests::Rests;
use skylarkdock_dispatch::key_owners::KeyMap;
use skylarkdock_dispatch::paths::Paths;
use skylarkdock_dispatch::regions::AllowedRegions;
use skylarkdock_dispatch::retry_after;
use skylarkdock_dispatch::retry_budget::{RetryBudget, RetryLimits};
use skylarkdock_dispatch::routes::Idempotency;
use skylarkdock_dispatch::routing::{RoutingDecision, RoutingRequest};
use skylarkdock_dispatch::upstream::AttemptOutcome;
use skylarkdock_dispatch::work::RouteKey;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::measures::RequestRate;
use skylarkdock_units::times::{HostTime, Millis};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Virtual time at which a simulation starts. Not 0, which means never to the policies.
const START_MS: u64 = 10_000;
/// Interval at which hosts process their queues, the same as on real hosts.
const QUEUE_INTERVAL_MS: u64 = 10;
/// Interval between load reports, the same as on real hosts.
const REPORT_INTERVAL_MS: u64 = 100;
/// One-way network latency between caller and host, and between host and upstream.
const ONE_WAY_LATENCY_MS: u64 = 1;
/// Interval at which hosts repeat and renew their requests for permits, the same as on real hosts.
const PERMIT_INTERVAL_MS: u64 = 50;
/// Interval between announcements of limits, the same as on real hosts.
const ANNOUNCEMENT_INTERVAL_MS: u64 = 500;
/// One-way network latency between hosts, which may be in different regions.
const HOST_LATENCY_MS: u64 = 8;
/// Interval at which hosts send due probes, the same as on real hosts.
const PROBE_CHECK_INTERVAL_MS: u64 = 100;
/// Largest number of attempts that one host makes for a request.
const MAX_ATTEMPTS: usize = 3;
/// Expected time until capacity is available for a shed request.
const SHED_RETRY_DELAY: Millis = Millis(40);
/// Retry budget of the hosts: one retry per five requests, and a constant.
const RETRY_LIMITS: RetryLimits =
    RetryLimits { per_mille: 200, constant: 50, window: Millis(10_000) };

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller creates a request.
    NewRequest { kind: usize },
    /// A period begins in which a kind has requests.
    NextPeriod { kind: usize },
    /// A new or retried request reaches a host.
    HostArrival { request: usize },
    /// An attempt to open a connection to an upstream fails.
    ConnectFailed { attempt: usize },
    /// An intermediary that did not reach the upstream answers.
    DetourFailed { attempt: usize, intermediary: usize, tried: u32 },
    /// Hosts probe the paths that failed.
    Probes,
    /// The answer of an upstream reaches the host.
    JobFinished { upstream: usize, attempt: usize },
    /// Hosts decide on their waiting requests.
    ProcessQueues,
    /// Hosts exchange their load at the upstreams.
    LoadReports,
    /// Hosts request permits for limited upstreams that they need no permit for now, too.
    PermitRequests,
    /// Hosts announce the limits of their pools.
    Announcements,
    /// A message about permits reaches a host.
    PermitMessage { index: usize },
}

struct Request {
    kind: usize,
    host: usize,
    created_ms: u64,
    /// When the request last reached a host.
    host_arrival_ms: u64,
    caller_retries_left: u32,
    honors_retry_after: bool,
    work_ms: f64,
    /// Time that its caller had used when it last reached a host, as far as the host can tell.
    used: Millis,
    tried: Vec<UpstreamId>,
    is_finished: bool,
    key: Option<u16>,
    /// The first host that it reached, if that was while hosts were cut off from the upstreams.
    first_attempt: Option<FirstAttempt>,
}

#[derive(Debug, Clone, Copy)]
struct FirstAttempt {
    is_cut_off: bool,
}

struct Attempt {
    request: usize,
    upstream: usize,
    started: HostTime,
}

struct Simulation<'a> {
    shape: &'a Shape,
    policy: Policy,
    load: f64,
    rng: fastrand::Rng,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_seq: u64,
    hosts: Vec<HostRouter>,
    budgets: Vec<RetryBudget>,
    upstreams: Vec<UpstreamModel>,
    ids: Vec<UpstreamId>,
    index_by_id: FastMap<UpstreamId, usize>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    stats: RunStats,
    limits: Limits,
    rests: Rests,
    /// Paths of each host.
    paths: Vec<Paths>,
    messages: Vec<Envelope>,
}

/// Simulates a shape at a multiple of its load and returns what the callers got.
pub fn simulate(shape: &Shape, policy: Policy, load: f64, seed: u64) -> RunStats {
    let mut simulation = Simulation::new(shape, policy, load, seed);
    simulation.run();
    simulation.stats.limited = simulation.limits.stats(shape, START_MS);
    simulation.stats.rests = simulation.rests.stats();
    simulation.stats
}

impl<'a> Simulation<'a> {
    fn new(shape: &'a Shape, policy: Policy, load: f64, seed: u64) -> Self {
        let groups = shape.upstreams.iter();
        let upstreams: Vec<UpstreamModel> = groups
            .flat_map(|group| (0..group.count).map(|_| UpstreamModel::new(group.clone())))
            .collect();
        let ids: Vec<UpstreamId> =
            (0..upstreams.len()).filter_map(|index| format!("u-{index}").parse().ok()).collect();
        let upstream_infos: Vec<_> = ids
            .iter()
            .zip(&upstreams)
            .map(|(id, upstream)| upstream_info(id.clone(), upstream.group().slots, HostTime(0)))
            .collect();
        let host =
            |index: u32| HostRouter::new(policy, &upstream_infos, shape.hosts, index as usize * 7);
        let index_by_id = ids.iter().cloned().zip(0..).collect();
        let mut hosts: Vec<HostRouter> = (0..shape.hosts).map(host).collect();
        if shape.is_sharded {
            let keys = equal_shares(&ids);
            hosts.iter_mut().for_each(|host| host.service().set_keys(Some(keys.clone())));
        }
        Self {
            shape,
            policy,
            load,
            rng: fastrand::Rng::with_seed(seed),
            now_ms: START_MS,
            events: BinaryHeap::new(),
            event_seq: 0,
            hosts,
            budgets: (0..shape.hosts)
                .map(|_| RetryBudget::new(RETRY_LIMITS, shape.hosts))
                .collect(),
            limits: Limits::new(shape.hosts, &ids),
            rests: Rests::new(shape.hosts as usize),
            paths: (0..shape.hosts).map(|_| paths_to(upstreams.len())).collect(),
            messages: Vec::new(),
            upstreams,
            ids,
            index_by_id,
            requests: Vec::new(),
            attempts: Vec::new(),
            stats: RunStats::new(&shape.kinds),
        }
    }

    fn run(&mut self) {
        for kind in 0..self.shape.kinds.len() {
            self.schedule_request(kind);
        }
        self.schedule(QUEUE_INTERVAL_MS, Event::ProcessQueues);
        self.schedule(REPORT_INTERVAL_MS, Event::LoadReports);
        if self.shape.upstreams.iter().any(|group| !group.limits.is_empty()) {
            self.schedule(PERMIT_INTERVAL_MS, Event::PermitRequests);
            self.schedule(ANNOUNCEMENT_INTERVAL_MS, Event::Announcements);
        }
        if !self.shape.cut_off.is_empty() {
            self.schedule(PROBE_CHECK_INTERVAL_MS, Event::Probes);
        }
        let longest_deadline_ms =
            self.shape.kinds.iter().map(|kind| kind.deadline_ms).max().unwrap_or(0);
        let end_ms = START_MS + self.shape.length_ms + longest_deadline_ms;
        while let Some(Reverse((at_ms, _, event))) = self.events.pop() {
            if at_ms > end_ms {
                break;
            }
            self.now_ms = at_ms;
            match event {
                Event::NewRequest { kind } => self.create_request(kind),
                Event::NextPeriod { kind } => self.schedule_request(kind),
                Event::HostArrival { request } => self.arrive_at_host(request),
                Event::ConnectFailed { attempt } => {
                    let Attempt { request, upstream, .. } = self.attempts[attempt];
                    let (host, now) = (self.requests[request].host, self.now());
                    self.paths[host].on_failure(upstream_addr(upstream), now);
                    self.detour(attempt, 0);
                }
                Event::DetourFailed { attempt, intermediary, tried } => {
                    let Attempt { request, upstream, .. } = self.attempts[attempt];
                    let (host, now) = (self.requests[request].host, self.now());
                    let is_other_cut_off = self.paths[intermediary].is_cut_off();
                    let failed = (!is_other_cut_off).then(|| upstream_addr(upstream));
                    self.paths[host].on_detour_failure(host_addr(intermediary), failed, now);
                    let next = if is_other_cut_off { tried + 1 } else { MAX_DETOURS };
                    self.detour(attempt, next);
                }
                Event::Probes => {
                    self.probe_paths();
                    self.schedule(PROBE_CHECK_INTERVAL_MS, Event::Probes);
                }
                Event::JobFinished { upstream, attempt } => self.finish_job(upstream, attempt),
                Event::PermitRequests => {
                    (0..self.hosts.len()).for_each(|host| self.request_permits(host));
                    self.schedule(PERMIT_INTERVAL_MS, Event::PermitRequests);
                }
                Event::Announcements => {
                    self.announce_limits();
                    self.schedule(ANNOUNCEMENT_INTERVAL_MS, Event::Announcements);
                }
                Event::PermitMessage { index } => self.on_permit_message(index),
                Event::ProcessQueues => {
                    let running: Vec<usize> =
                        (0..self.hosts.len()).filter(|host| !self.is_suspended(*host)).collect();
                    running.into_iter().for_each(|host| self.process_queue(host));
                    self.schedule(QUEUE_INTERVAL_MS, Event::ProcessQueues);
                }
                Event::LoadReports => {
                    self.exchange_load_reports();
                    self.schedule(REPORT_INTERVAL_MS, Event::LoadReports);
                }
            }
        }
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.event_seq += 1;
        self.events.push(Reverse((self.now_ms + delay_ms, self.event_seq, event)));
    }

    const fn now(&self) -> HostTime {
        HostTime(self.now_ms)
    }

    fn kind(&self, request: usize) -> &'a RequestKind {
        &self.shape.kinds[self.requests[request].kind]
    }

    /// Schedules the next request of a kind, with exponentially distributed intervals.
    fn schedule_request(&mut self, kind: usize) {
        let elapsed_ms = self.now_ms - START_MS;
        if elapsed_ms >= self.shape.length_ms {
            return;
        }
        let burst_factor: f64 =
            self.shape.bursts.iter().map(|burst| burst.factor(elapsed_ms)).product();
        let state = &self.shape.kinds[kind];
        let period_factor = state.rate_factor(elapsed_ms);
        if period_factor <= 0.0 {
            let starts = state.periods.iter().map(|period| period.at_ms);
            if let Some(start_ms) = starts.filter(|start| *start > elapsed_ms).min() {
                self.schedule(start_ms - elapsed_ms, Event::NextPeriod { kind });
            }
            return;
        }
        let per_ms = state.per_s * self.load * burst_factor * period_factor / 1000.0;
        let interval_ms = -(1.0 - self.rng.f64()).ln() / per_ms.max(1e-9);
        self.schedule(round(interval_ms), Event::NewRequest { kind });
    }

    fn create_request(&mut self, index: usize) {
        self.schedule_request(index);
        let kind = &self.shape.kinds[index];
        self.stats.on_asked(index, kind);
        let key = self.shape.is_sharded.then(|| self.rng.u16(..));
        let mut work_factor = 1.0 + (self.rng.f64() * 2.0 - 1.0) * kind.spread;
        // Kinds without a tail draw no number, so that their runs stay as they were.
        if let Some(tail) = kind.tail
            && self.rng.f64() < tail.fraction
        {
            work_factor *= tail.factor;
        }
        self.requests.push(Request {
            kind: index,
            host: self.rng.usize(..self.hosts.len()),
            created_ms: self.now_ms,
            host_arrival_ms: 0,
            caller_retries_left: kind.retries,
            honors_retry_after: self.rng.f64() < kind.obeys,
            work_ms: kind.work_ms * work_factor,
            used: Millis(0),
            tried: Vec::new(),
            is_finished: false,
            key,
            first_attempt: None,
        });
        self.schedule(ONE_WAY_LATENCY_MS, Event::HostArrival { request: self.requests.len() - 1 });
    }

    /// Returns whether a host is suspended.
    fn is_suspended(&self, host: usize) -> bool {
        let elapsed_ms = self.now_ms - START_MS;
        let is_in = |period: &Burst| {
            period.contains(elapsed_ms) && host < share(period.x, self.hosts.len())
        };
        self.shape.suspended.iter().any(is_in)
    }

    /// Returns the host that a request reaches, which is not suspended.
    fn pick_host(&mut self) -> usize {
        loop {
            let is_uneven = self.shape.uneven > 0.0 && self.rng.f64() < self.shape.uneven;
            let range =
                if is_uneven { share(0.1, self.hosts.len()).max(1) } else { self.hosts.len() };
            let host = self.rng.usize(..range);
            if !self.is_suspended(host) {
                return host;
            }
        }
    }

    fn arrive_at_host(&mut self, request: usize) {
        let host = self.pick_host();
        let is_first = self.requests[request].host_arrival_ms == 0;
        if is_first && self.is_detour_time() {
            let is_cut_off = self.is_cut_off(host);
            self.requests[request].first_attempt = Some(FirstAttempt { is_cut_off });
        }
        let state = &mut self.requests[request];
        state.host = host;
        state.host_arrival_ms = self.now_ms;
        state.tried.clear();
        let now = HostTime(self.now_ms);
        let remaining = Millis(
            (state.created_ms + self.shape.kinds[state.kind].deadline_ms)
                .saturating_sub(self.now_ms),
        );
        state.used = self.hosts[host].observe_caller(route_key(state.kind), remaining);
        self.budgets[host].on_request(now);
        self.route(request);
    }

    fn routing_request(&self, request: usize) -> RoutingRequest {
        let kind = self.kind(request);
        let state = &self.requests[request];
        let deadline_at_ms = host_deadline_ms(state, kind);
        RoutingRequest {
            route: route_key(state.kind),
            regions: AllowedRegions::default(),
            ticket: request as u64,
            rank: kind.rank,
            idempotency: if kind.is_idempotent {
                Idempotency::Idempotent
            } else {
                Idempotency::Once
            },
            arrived: HostTime(state.host_arrival_ms),
            objective: HostTime(
                (state.host_arrival_ms + kind.objective_ms).saturating_sub(state.used.0),
            ),
            deadline: HostTime(deadline_at_ms),
            key: state.key,
            tried: state.tried.clone(),
            jitter_per_mille: u32::try_from(request % 1_000).unwrap_or_default(),
        }
    }

    fn route(&mut self, request: usize) {
        let routing_request = self.routing_request(request);
        let host = self.requests[request].host;
        let now = self.now();
        let decision = self.hosts[host].decide(routing_request, now);
        self.apply_decision(request, decision);
        self.request_permits(host);
    }

    fn apply_decision(&mut self, request: usize, decision: RoutingDecision) {
        match decision {
            RoutingDecision::Send(id) => self.send(request, &id),
            RoutingDecision::Wait => {}
            RoutingDecision::Refuse { retry_after, .. } => self.refuse(request, retry_after),
        }
    }

    fn send(&mut self, request: usize, id: &UpstreamId) {
        let Some(&upstream) = self.index_by_id.get(id) else { return };
        let now = self.now();
        let state = &mut self.requests[request];
        state.tried.push(id.clone());
        self.hosts[state.host].on_start(id, now);
        let host = state.host;
        let attempt = self.attempts.len();
        self.attempts.push(Attempt { request, upstream, started: now });
        if !self.paths[host].is_direct(upstream_addr(upstream)) {
            self.detour(attempt, 0);
        } else if self.is_cut_off(host) {
            self.schedule(CONNECT_TIMEOUT_MS, Event::ConnectFailed { attempt });
        } else {
            self.paths[host].on_success(upstream_addr(upstream));
            self.offer(attempt);
        }
    }

    /// Hands the request of an attempt to the upstream.
    fn offer(&mut self, attempt: usize) {
        let Attempt { request, upstream, .. } = self.attempts[attempt];
        self.stats.sends += 1;
        self.limits.on_arrival(upstream, self.now_ms);
        let state = &self.requests[request];
        self.rests.on_arrival(state.host, upstream, self.now_ms);
        let deadline_at_ms = host_deadline_ms(state, &self.shape.kinds[state.kind]);
        let job = Job { attempt, work_ms: state.work_ms, deadline_at_ms };
        match self.upstreams[upstream].offer(job, self.now_ms) {
            Admission::Started(duration_ms) => self.schedule(
                duration_ms + 2 * ONE_WAY_LATENCY_MS,
                Event::JobFinished { upstream, attempt },
            ),
            Admission::Queued => {}
            Admission::Shed => self.on_shed(attempt),
        }
    }

    /// Handles an attempt that the upstream did not run.
    fn on_shed(&mut self, attempt: usize) {
        let request = self.end_attempt(attempt, AttemptOutcome::Shed);
        self.ask_for_rest(attempt);
        self.retry_or_refuse(request);
    }

    fn end_attempt(&mut self, attempt: usize, outcome: AttemptOutcome) -> usize {
        let Attempt { request, upstream, started } = self.attempts[attempt];
        let (host, now) = (self.requests[request].host, self.now());
        let route = route_key(self.requests[request].kind);
        self.hosts[host].on_end(route, &self.ids[upstream], started, outcome, now);
        let elapsed_ms = self.now_ms - START_MS;
        let limits = &self.upstreams[upstream].group().limits;
        let limit = limits.iter().find(|limit| limit.contains(elapsed_ms));
        let rate = limit.map(|limit| RequestRate(limit.x as f32));
        if outcome != AttemptOutcome::Unreachable
            && let Some(state) = self.hosts[host].service().upstream_mut(&self.ids[upstream])
        {
            state.on_limit(rate, started, now);
        }
        request
    }

    /// Routes a request again if its deadline, the attempt limit and the retry budget allow it, and refuses it
    /// otherwise.
    fn retry_or_refuse(&mut self, request: usize) {
        let state = &self.requests[request];
        let deadline_at_ms = host_deadline_ms(state, self.kind(request));
        let (host, now) = (state.host, self.now());
        let has_time = self.now_ms < deadline_at_ms && state.tried.len() < MAX_ATTEMPTS;
        if has_time && self.budgets[host].try_spend(now) {
            self.route(request);
            return;
        }
        let remaining = Millis(deadline_at_ms.saturating_sub(self.now_ms));
        let jitter_per_mille = u32::try_from(request % 1_000).unwrap_or_default();
        let delay = self
            .delay_after_rest(request)
            .unwrap_or_else(|| retry_after::delay(SHED_RETRY_DELAY, remaining, jitter_per_mille));
        self.refuse(request, delay);
    }

    fn finish_job(&mut self, upstream: usize, attempt: usize) {
        let (expired, next_job) = self.upstreams[upstream].finish(self.now_ms);
        for job in expired {
            self.on_shed(job.attempt);
        }
        if let Some((job, duration_ms)) = next_job {
            self.schedule(
                duration_ms + 2 * ONE_WAY_LATENCY_MS,
                Event::JobFinished { upstream, attempt: job.attempt },
            );
        }
        let is_failure = self.rng.f64() < self.upstreams[upstream].group().fails;
        let outcome = if is_failure { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
        let request = self.end_attempt(attempt, outcome);
        let kind = self.kind(request);
        if is_failure && kind.is_idempotent {
            self.retry_or_refuse(request);
        } else if !is_failure {
            self.deliver_answer(request);
        } else {
            self.end_first_attempt(request, false);
            self.requests[request].is_finished = true;
        }
        let host = self.requests[request].host;
        self.process_queue(host);
    }

    fn deliver_answer(&mut self, request: usize) {
        self.end_first_attempt(request, true);
        let kind = self.kind(request);
        let state = &mut self.requests[request];
        let is_in_time = self.now_ms <= host_deadline_ms(state, kind);
        if !std::mem::replace(&mut state.is_finished, true) && is_in_time {
            let latency_ms = self.now_ms + ONE_WAY_LATENCY_MS - state.created_ms;
            self.stats.on_answered(state.kind, kind, state.work_ms, latency_ms);
        }
    }

    /// Refuses a request. Its caller sends it again while it has retries and time left.
    fn refuse(&mut self, request: usize, delay: Millis) {
        self.end_first_attempt(request, false);
        let kind = self.kind(request);
        let state = &mut self.requests[request];
        self.stats.on_refused(kind, self.now_ms - state.host_arrival_ms);
        let delay = if state.honors_retry_after { delay.0 } else { 0 };
        let return_ms = self.now_ms + delay + 2 * ONE_WAY_LATENCY_MS;
        if state.caller_retries_left == 0 || return_ms >= state.created_ms + kind.deadline_ms {
            state.is_finished = true;
            return;
        }
        state.caller_retries_left -= 1;
        self.schedule(delay + 2 * ONE_WAY_LATENCY_MS, Event::HostArrival { request });
    }

    fn process_queue(&mut self, host: usize) {
        // Each call sends at most one request per upstream, so it is repeated until nothing more is decided.
        while self.hosts[host].has_waiting() {
            let now = self.now();
            let decided = self.hosts[host].decide_waiting(now);
            if decided.is_empty() {
                return;
            }
            for (routing_request, decision) in decided {
                self.apply_decision(
                    usize::try_from(routing_request.ticket).unwrap_or_default(),
                    decision,
                );
            }
        }
    }

    fn exchange_load_reports(&mut self) {
        let now = self.now();
        for id in &self.ids {
            let host_load =
                |host: &HostRouter| host.in_flight().get(id).copied().unwrap_or_default();
            let total: u32 = self.hosts.iter().map(host_load).sum();
            for host in &mut self.hosts {
                let peer_load = total - host_load(host);
                host.set_peer_load(id, peer_load, now);
            }
        }
    }
}

/// Returns the route of a kind of requests.
const fn route_key(kind: usize) -> RouteKey {
    RouteKey(kind as u64)
}

/// Returns when the host that a request last reached has to have answered it.
fn host_deadline_ms(request: &Request, kind: &RequestKind) -> u64 {
    let deadline_ms = request.created_ms + kind.deadline_ms;
    kind.timeout_ms
        .map_or(deadline_ms, |timeout_ms| deadline_ms.min(request.host_arrival_ms + timeout_ms))
}

/// Returns the number of hosts in a share of all hosts.
#[expect(clippy::cast_precision_loss, reason = "a count of hosts")]
fn share(fraction: f64, hosts: usize) -> usize {
    usize::try_from(round(fraction * hosts as f64)).unwrap_or(hosts).min(hosts)
}

/// Returns a key map in which each upstream owns an equal share of the keys.
fn equal_shares(ids: &[UpstreamId]) -> KeyMap {
    let count = u32::try_from(ids.len()).unwrap_or(1).max(1);
    let last_key =
        |index: u32| u16::try_from((index + 1) * 0x1_0000 / count - 1).unwrap_or(u16::MAX);
    KeyMap::new(
        ids.iter().zip(0..).map(|(id, index)| (last_key(index), Some(id.clone()))).collect(),
    )
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to a range that fits"
)]
fn round(ms: f64) -> u64 {
    ms.round().clamp(0.0, 1e9) as u64
}
