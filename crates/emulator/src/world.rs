//! Hosts, upstreams and callers in virtual time.

use crate::policy::{Decider, Policy, listing};
use crate::shape::{Kind, Shape};
use crate::tally::Tally;
use crate::upstream::{Job, Start, Upstream};
use skylarkdock_dispatch::retry_after;
use skylarkdock_dispatch::retry_budget::{RetryBudget, RetryLimits};
use skylarkdock_dispatch::routes::Idempotency;
use skylarkdock_dispatch::routing::{RoutingDecision, RoutingRequest};
use skylarkdock_dispatch::upstream::AttemptOutcome;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Virtual time at which a play begins; zero means never to the policies.
const START_MS: u64 = 10_000;
/// Time between looks at those that wait, and between load reports, as on real hosts.
const LOOK_MS: u64 = 10;
const REPORT_MS: u64 = 100;
/// One way between caller, host and upstream.
const WAY_MS: u64 = 1;
/// Most attempts of one request at one host.
const MAX_ATTEMPTS: usize = 3;
/// Expected time until a shed request finds room.
const SHED_PAUSE: Millis = Millis(40);
/// Repeats allowed: one in five requests, and some besides.
const RETRY_LIMITS: RetryLimits =
    RetryLimits { per_mille: 200, constant: 50, window: Millis(10_000) };

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller asks anew.
    RoutingRequest { kind: usize },
    /// A caller's try reaches a host.
    Try { request: usize },
    /// A job ends.
    Done { upstream: usize, attempt: usize },
    /// Hosts look at those that wait.
    Look,
    /// Hosts tell each other their load.
    Report,
}

struct Request {
    kind: usize,
    host: usize,
    asked_ms: u64,
    /// When the present try reached its host.
    tried_ms: u64,
    tries_left: u32,
    obeys: bool,
    work_ms: f64,
    tried: Vec<UpstreamId>,
    is_over: bool,
}

struct Attempt {
    request: usize,
    upstream: usize,
    started: HostTime,
}

struct World<'a> {
    shape: &'a Shape,
    load: f64,
    rng: fastrand::Rng,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    count: u64,
    hosts: Vec<Decider>,
    budgets: Vec<RetryBudget>,
    upstreams: Vec<Upstream>,
    ids: Vec<UpstreamId>,
    numbers: FastMap<UpstreamId, usize>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    tally: Tally,
}

/// Plays a shape at a multiple of its load.
pub fn play(shape: &Shape, policy: Policy, load: f64, seed: u64) -> Tally {
    let mut world = World::new(shape, policy, load, seed);
    world.run();
    world.tally
}

impl<'a> World<'a> {
    fn new(shape: &'a Shape, policy: Policy, load: f64, seed: u64) -> Self {
        let groups = shape.upstreams.iter();
        let upstreams: Vec<Upstream> = groups
            .flat_map(|group| (0..group.count).map(|_| Upstream::new(group.clone())))
            .collect();
        let ids: Vec<UpstreamId> =
            (0..upstreams.len()).filter_map(|number| format!("u-{number}").parse().ok()).collect();
        let listings: Vec<_> = ids
            .iter()
            .zip(&upstreams)
            .map(|(id, upstream)| listing(id.clone(), upstream.group().slots, HostTime(0)))
            .collect();
        let host = |number: u32| Decider::new(policy, &listings, shape.hosts, number as usize * 7);
        let numbers = ids.iter().cloned().zip(0..).collect();
        Self {
            shape,
            load,
            rng: fastrand::Rng::with_seed(seed),
            now_ms: START_MS,
            events: BinaryHeap::new(),
            count: 0,
            hosts: (0..shape.hosts).map(host).collect(),
            budgets: (0..shape.hosts)
                .map(|_| RetryBudget::new(RETRY_LIMITS, shape.hosts))
                .collect(),
            upstreams,
            ids,
            numbers,
            requests: Vec::new(),
            attempts: Vec::new(),
            tally: Tally::new(&shape.kinds),
        }
    }

    fn run(&mut self) {
        for kind in 0..self.shape.kinds.len() {
            self.plan_ask(kind);
        }
        self.plan(LOOK_MS, Event::Look);
        self.plan(REPORT_MS, Event::Report);
        let longest = self.shape.kinds.iter().map(|kind| kind.deadline_ms).max().unwrap_or(0);
        let end_ms = START_MS + self.shape.length_ms + longest;
        while let Some(Reverse((at_ms, _, event))) = self.events.pop() {
            if at_ms > end_ms {
                break;
            }
            self.now_ms = at_ms;
            match event {
                Event::RoutingRequest { kind } => self.ask(kind),
                Event::Try { request } => self.try_host(request),
                Event::Done { upstream, attempt } => self.done(upstream, attempt),
                Event::Look => {
                    (0..self.hosts.len()).for_each(|host| self.look(host));
                    self.plan(LOOK_MS, Event::Look);
                }
                Event::Report => {
                    self.report();
                    self.plan(REPORT_MS, Event::Report);
                }
            }
        }
    }

    fn plan(&mut self, after_ms: u64, event: Event) {
        self.count += 1;
        self.events.push(Reverse((self.now_ms + after_ms, self.count, event)));
    }

    const fn now(&self) -> HostTime {
        HostTime(self.now_ms)
    }

    fn kind(&self, request: usize) -> &'a Kind {
        &self.shape.kinds[self.requests[request].kind]
    }

    /// Plans the next request of a kind, with exponential pauses.
    fn plan_ask(&mut self, kind: usize) {
        let played_ms = self.now_ms - START_MS;
        if played_ms >= self.shape.length_ms {
            return;
        }
        let burst: f64 = self.shape.bursts.iter().map(|burst| burst.factor(played_ms)).product();
        let per_ms = self.shape.kinds[kind].per_s * self.load * burst / 1000.0;
        let pause = -(1.0 - self.rng.f64()).ln() / per_ms.max(1e-9);
        self.plan(round(pause), Event::RoutingRequest { kind });
    }

    fn ask(&mut self, index: usize) {
        self.plan_ask(index);
        let kind = &self.shape.kinds[index];
        self.tally.on_asked(index, kind);
        let spread = 1.0 + (self.rng.f64() * 2.0 - 1.0) * kind.spread;
        self.requests.push(Request {
            kind: index,
            host: self.rng.usize(..self.hosts.len()),
            asked_ms: self.now_ms,
            tried_ms: 0,
            tries_left: kind.retries,
            obeys: self.rng.f64() < kind.obeys,
            work_ms: kind.work_ms * spread,
            tried: Vec::new(),
            is_over: false,
        });
        self.plan(WAY_MS, Event::Try { request: self.requests.len() - 1 });
    }

    fn try_host(&mut self, request: usize) {
        let host = self.rng.usize(..self.hosts.len());
        let own = &mut self.requests[request];
        own.host = host;
        own.tried_ms = self.now_ms;
        own.tried.clear();
        let now = HostTime(self.now_ms);
        self.budgets[host].on_request(now);
        self.offer(request);
    }

    fn offer(&mut self, request: usize) {
        let kind = self.kind(request);
        let own = &self.requests[request];
        let limit_ms = own.asked_ms + kind.deadline_ms;
        let routing_request = RoutingRequest {
            ticket: request as u64,
            rank: kind.rank,
            idempotency: if kind.is_idempotent {
                Idempotency::Idempotent
            } else {
                Idempotency::Once
            },
            arrived: HostTime(own.tried_ms),
            objective: HostTime(own.tried_ms + kind.objective_ms),
            deadline: HostTime(limit_ms),
            key: None,
            tried: own.tried.clone(),
            jitter_per_mille: u32::try_from(request % 1_000).unwrap_or_default(),
        };
        let host = own.host;
        let now = self.now();
        let decision = self.hosts[host].offer(routing_request, now);
        self.act(request, decision);
    }

    fn act(&mut self, request: usize, decision: RoutingDecision) {
        match decision {
            RoutingDecision::Send(id) => self.send(request, &id),
            RoutingDecision::Wait => {}
            RoutingDecision::Refuse { retry_after, .. } => self.refuse(request, retry_after),
        }
    }

    fn send(&mut self, request: usize, id: &UpstreamId) {
        let Some(&upstream) = self.numbers.get(id) else { return };
        let now = self.now();
        let own = &mut self.requests[request];
        own.tried.push(id.clone());
        self.hosts[own.host].on_start(id, now);
        self.tally.sends += 1;
        let attempt = self.attempts.len();
        let limit_ms = own.asked_ms + self.shape.kinds[own.kind].deadline_ms;
        self.attempts.push(Attempt { request, upstream, started: now });
        let job = Job { attempt, work_ms: own.work_ms, limit_ms };
        match self.upstreams[upstream].offer(job, self.now_ms) {
            Start::Runs(took) => self.plan(took + 2 * WAY_MS, Event::Done { upstream, attempt }),
            Start::Waits => {}
            Start::Shed => self.not_run(attempt),
        }
    }

    /// Goes on with a request that an upstream did not run.
    fn not_run(&mut self, attempt: usize) {
        let request = self.end(attempt, AttemptOutcome::Shed);
        self.again(request);
    }

    fn end(&mut self, attempt: usize, ended: AttemptOutcome) -> usize {
        let Attempt { request, upstream, started } = self.attempts[attempt];
        let (host, now) = (self.requests[request].host, self.now());
        self.hosts[host].on_end(&self.ids[upstream], started, ended, now);
        request
    }

    /// Sends a request once more, if that is allowed.
    fn again(&mut self, request: usize) {
        let own = &self.requests[request];
        let limit_ms = own.asked_ms + self.kind(request).deadline_ms;
        let (host, now) = (own.host, self.now());
        let has_time = self.now_ms < limit_ms && own.tried.len() < MAX_ATTEMPTS;
        if has_time && self.budgets[host].try_spend(now) {
            self.offer(request);
            return;
        }
        let left = Millis(limit_ms.saturating_sub(self.now_ms));
        let jitter_per_mille = u32::try_from(request % 1_000).unwrap_or_default();
        self.refuse(request, retry_after::delay(SHED_PAUSE, left, jitter_per_mille));
    }

    fn done(&mut self, upstream: usize, attempt: usize) {
        let (dropped, next) = self.upstreams[upstream].finish(self.now_ms);
        for job in dropped {
            self.not_run(job.attempt);
        }
        if let Some((job, took)) = next {
            self.plan(took + 2 * WAY_MS, Event::Done { upstream, attempt: job.attempt });
        }
        let has_failed = self.rng.f64() < self.upstreams[upstream].group().fails;
        let ended = if has_failed { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
        let request = self.end(attempt, ended);
        let kind = self.kind(request);
        if has_failed && kind.is_idempotent {
            self.again(request);
        } else if !has_failed {
            self.answer(request);
        } else {
            self.requests[request].is_over = true;
        }
        let host = self.requests[request].host;
        self.look(host);
    }

    fn answer(&mut self, request: usize) {
        let kind = self.kind(request);
        let own = &mut self.requests[request];
        if !std::mem::replace(&mut own.is_over, true) {
            let took_ms = self.now_ms + WAY_MS - own.asked_ms;
            self.tally.on_answered(own.kind, kind, own.work_ms, took_ms);
        }
    }

    /// Gives a request its refusal; its caller comes back while it has tries and time left.
    fn refuse(&mut self, request: usize, pause: Millis) {
        let kind = self.kind(request);
        let own = &mut self.requests[request];
        self.tally.on_refused(kind, self.now_ms - own.tried_ms);
        let pause = if own.obeys { pause.0 } else { 0 };
        let back_ms = self.now_ms + pause + 2 * WAY_MS;
        if own.tries_left == 0 || back_ms >= own.asked_ms + kind.deadline_ms {
            own.is_over = true;
            return;
        }
        own.tries_left -= 1;
        self.plan(pause + 2 * WAY_MS, Event::Try { request });
    }

    fn look(&mut self, host: usize) {
        // One request for each upstream and round, as on real hosts.
        while self.hosts[host].has_waiting() {
            let now = self.now();
            let decided = self.hosts[host].look(now);
            if decided.is_empty() {
                return;
            }
            for (routing_request, decision) in decided {
                self.act(usize::try_from(routing_request.ticket).unwrap_or_default(), decision);
            }
        }
    }

    fn report(&mut self) {
        let now = self.now();
        for id in &self.ids {
            let own = |host: &Decider| host.load().get(id).copied().unwrap_or_default();
            let all: u32 = self.hosts.iter().map(own).sum();
            for host in &mut self.hosts {
                let others = all - own(host);
                host.set_others(id, others, now);
            }
        }
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "some seconds")]
fn round(ms: f64) -> u64 {
    ms.round().clamp(0.0, 1e9) as u64
}
