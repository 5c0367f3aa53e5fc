//! A request from its arrival to its answer.

use super::attempt::{Attempt, NotRun, Outcome};
use super::race::{Either, either};
use super::tries::{End, Tries};
use super::{Traffic, refusal};
use crate::client::{Outgoing, Reply};
use crate::clock;
use crate::serve::{Answer, Incoming};
use async_io::Timer;
use metrics::{counter, histogram};
use skylarkdock_dispatch::crash_tracker::Fingerprint;
use skylarkdock_dispatch::retry_after;
use skylarkdock_dispatch::routes::{Idempotency, Route};
use skylarkdock_dispatch::routing::{RoutingDecision, RoutingRequest};
use skylarkdock_dispatch::upstream::AttemptOutcome;
use skylarkdock_http1::head::Headers;
use skylarkdock_units::ids::{ServiceName, UpstreamId};
use skylarkdock_units::times::{HostTime, Millis};
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use xxhash_rust::xxh3;

/// Pause told while no configuration is known.
const START_PAUSE: Millis = Millis(500);
/// Expected time until the owner of a key holds it, told when the request is given up.
const MISDIRECTED_PAUSE: Millis = Millis(60);
/// Expected time until a shed request finds room, told when the budget for repeats is spent.
const SHED_PAUSE: Millis = Millis(40);
/// Answers that a request is not for an upstream after which it is refused: each counts as a repeat.
const MAX_MISDIRECTED: u32 = 2;
/// Most times that a request is sent to the owner of its key.
const MAX_KEYED_SENDS: u32 = 3;
/// Time kept back for the host's own final answer at the limit.
const ANSWER_MARGIN: Millis = Millis(15);

/// What is fixed about a request.
struct Request {
    id: String,
    method: String,
    target: String,
    headers: Headers,
    body: Vec<u8>,
    route: Arc<Route>,
    service: ServiceName,
    key: Option<u16>,
    /// Equal for requests that ask for the same.
    print: Fingerprint,
    arrived: HostTime,
    limit: HostTime,
    point: u32,
}

impl Traffic {
    /// Serves one request.
    pub(super) async fn serve(self: Rc<Self>, incoming: Incoming) -> Answer {
        let arrived = clock::now();
        let id = incoming.head.headers.get_str(self.protocol.names.request_id).map(str::to_owned);
        let req = match self.accept(incoming, arrived) {
            Ok(req) => req,
            Err(answer) => {
                counter!("skylarkdock_requests_rejected_total", "status" => answer.status.to_string())
                    .increment(1);
                let version = self.view.borrow().config.as_ref().map_or(0, |config| config.version);
                log::warn!(request:? = id, status = answer.status, config = version;
                    "request: rejected before routing");
                return answer;
            }
        };
        if let Some(state) = self.services.borrow_mut().get_mut(&req.service) {
            state.budget.on_request(arrived);
        }
        if let Some(key) = req.key {
            self.note_key(&req.service, key);
        }
        let mut tries = Tries::default();
        let (answer, end) = self.run(&req, &mut tries).await;
        self.note_end(&req, &tries, &answer, end);
        answer
    }

    /// Writes the line and the counts of a request that has its answer.
    fn note_end(&self, req: &Request, tries: &Tries, answer: &Answer, end: End) {
        let took = clock::now().since(req.arrived);
        let kind = if req.route.idempotency == Idempotency::Once { "once" } else { "idempotent" };
        let (outcome, reason) = (end.outcome(), end.reason());
        counter!("skylarkdock_requests_total", "kind" => kind, "outcome" => outcome, "reason" => reason)
            .increment(1);
        histogram!("skylarkdock_request_seconds", "outcome" => outcome)
            .record(took.duration().as_secs_f64());
        histogram!("skylarkdock_request_wait_seconds")
            .record(tries.waited.duration().as_secs_f64());
        let version = self.view.borrow().config.as_ref().map_or(0, |config| config.version);
        let level = match end {
            End::Answered if answer.status < 500 => log::Level::Info,
            _ => log::Level::Warn,
        };
        let message = match end {
            End::Answered if answer.status < 500 => "request: answered",
            End::Answered => "request: the upstream's work failed",
            End::Refused(_) => "request: refused, not run",
            End::Unknown => "request: failed, may have run",
        };
        log::log!(level, request = req.id.as_str(), route = &*req.route.name, kind = kind,
            service = req.service.as_str(), key:? = req.key, config = version,
            status = answer.status, reason = reason, sent = tries.sent,
            waited_ms = tries.waited.0, took_ms = took.0, limit_ms = req.limit.since(req.arrived).0,
            steps = tries.steps.join(" "); "{message}");
    }

    /// Finds the route of a request and checks its headers.
    fn accept(&self, incoming: Incoming, arrived: HostTime) -> Result<Request, Answer> {
        let names = &self.protocol.names;
        let view = Arc::clone(&self.view.borrow());
        let Some(config) = &view.config else { return Err(refusal(START_PAUSE)) };
        let Incoming { head, body } = incoming;
        let Some(host) = head.headers.get_str("host") else { return Err(Answer::empty(400)) };
        let Some(route) = config.routes.find(host, head.path()) else {
            if !view.is_config_current {
                // The route may be one that was just added.
                return Err(refusal(START_PAUSE));
            }
            return Err(Answer::empty(404));
        };
        let route = Arc::clone(route);
        let Some(id) = head.headers.get_str(names.request_id).map(str::to_owned) else {
            return Err(Answer::empty(400));
        };
        let deadline = match head.headers.get_str(names.deadline).map(str::parse::<u64>) {
            Some(Ok(ms)) => Millis(ms),
            Some(Err(_)) => return Err(Answer::empty(400)),
            None => route.timeout,
        };
        let service = self.pick_service(&route);
        let is_sharded = config.services.iter().any(|info| info.name == service && info.is_sharded);
        let key = head.headers.get_str(names.key).map(str::parse::<u16>);
        let key = match (is_sharded, key) {
            (false, _) => None,
            (true, Some(Ok(key))) => Some(key),
            (true, _) => return Err(Answer::empty(400)),
        };
        let mut headers = head.headers;
        headers.remove_hop_by_hop();
        for name in ["content-length", "expect", names.deadline, names.expected] {
            headers.remove(name);
        }
        let point = u32::try_from(xxh3::xxh3_64(id.as_bytes()) % 1_000).unwrap_or_default();
        Ok(Request {
            print: fingerprint(&head.method, &head.target, &body),
            id,
            method: head.method,
            target: head.target,
            headers,
            body,
            limit: arrived + deadline.min(route.timeout),
            route,
            service,
            key,
            arrived,
            point,
        })
    }

    fn pick_service(&self, route: &Route) -> ServiceName {
        let mut counts = self.route_counts.borrow_mut();
        let count =
            counts.entry(Arc::clone(&route.name)).or_insert_with(|| fastrand::u64(..1 << 32));
        *count += 1;
        route.split.pick(*count).clone()
    }

    /// Sends a request until it has an answer, or none can come.
    async fn run(&self, req: &Request, tries: &mut Tries) -> (Answer, End) {
        let is_once = req.route.idempotency == Idempotency::Once;
        let long_pause = Millis(req.limit.since(req.arrived).0 / 3);
        if self.shared.refuses_requests.get() {
            return (refusal(long_pause), End::Refused("host_is_leaving"));
        }
        loop {
            let asked_at = clock::now();
            if self.crashes.borrow().is_refused(req.print, asked_at) {
                return self.final_answer(req, tries, long_pause, "crashes_upstreams");
            }
            let placed = self.place(&req.service, self.routing_request(req, tries)).await;
            tries.waited = tries.waited + clock::now().since(asked_at);
            let id = match placed {
                Some(RoutingDecision::Send(id)) => id,
                Some(RoutingDecision::Refuse { reason, retry_after }) => {
                    return self.final_answer(req, tries, retry_after, reason.as_str());
                }
                Some(RoutingDecision::Wait) | None => {
                    return self.final_answer(req, tries, START_PAUSE, "unknown_service");
                }
            };
            if !tries.may_run_on(&id, req.route.attempts) {
                return self.give_up(req, tries, "attempts_used");
            }
            if tries.sent > 0 && !self.spend(req) {
                return self.give_up(req, tries, "budget_spent");
            }
            let outcome = self.attempt_hedged(req, &id, tries).await;
            tries.note(req.arrived, &id, &outcome);
            match outcome {
                Outcome::Answered(reply) => {
                    if reply.head.status < 500 || is_once {
                        return (forward(reply), End::Answered);
                    }
                    tries.ran_on(&id);
                    tries.failure = Some(reply);
                    if !self.may_repeat(req, tries) {
                        return self.give_up(req, tries, "upstream_failed");
                    }
                }
                Outcome::NotRun(why) => {
                    tries.note_not_run(why, &id, req.key.is_some());
                    let is_hopeless =
                        tries.misdirected >= MAX_MISDIRECTED || tries.sent > 2 * req.route.attempts;
                    if clock::now() >= req.limit || is_hopeless {
                        return self.give_up(req, tries, why.as_str());
                    }
                    if why == NotRun::Misdirected
                        && let Some(key) = req.key
                    {
                        self.note_misdirected(req, key, &id);
                    }
                }
                Outcome::Unknown(ended) => {
                    tries.ran_on(&id);
                    if is_once || !self.may_repeat(req, tries) {
                        let reason =
                            if ended == AttemptOutcome::TimedOut { "no_answer" } else { "broken" };
                        return self.give_up(req, tries, reason);
                    }
                }
            }
        }
    }

    /// Makes an attempt. An idempotent request whose answer is late goes to a second upstream besides, if one is free;
    /// the first good answer counts and the other attempt is cancelled.
    async fn attempt_hedged(&self, req: &Request, id: &UpstreamId, tries: &mut Tries) -> Outcome {
        let is_once = req.route.idempotency == Idempotency::Once;
        let late_at = {
            let services = self.services.borrow();
            services.get(&req.service).and_then(|state| state.service.hedge_at(id, clock::now()))
        };
        let first = self.attempt(req.attempt(id), |left| self.outgoing(req, id, left));
        let Some(late_at) = late_at.filter(|_| !is_once) else { return first.await };
        let mut first = pin!(first);
        let timer = async {
            Timer::at(clock::instant(late_at)).await;
        };
        match either(first.as_mut(), pin!(timer)).await {
            Either::First(outcome) => return outcome,
            Either::Second(()) => {}
        }
        let Some(other) = self.second(req, id, tries) else { return first.await };
        tries.steps.push(format!("{id}:late@{}ms", clock::now().since(req.arrived).0));
        counter!("skylarkdock_repeats_total", "why" => "late").increment(1);
        tries.ran_on(&other);
        let second = self.attempt(req.attempt(&other), |left| self.outgoing(req, &other, left));
        let mut second = pin!(second);
        match either(first.as_mut(), second.as_mut()).await {
            Either::First(outcome) if outcome.is_good() => outcome,
            Either::Second(outcome) if outcome.is_good() => outcome,
            Either::First(_) => second.await,
            Either::Second(_) => first.await,
        }
    }

    /// Returns the upstream for a second attempt beside one that is late, and takes it from the budget.
    fn second(&self, req: &Request, first: &UpstreamId, tries: &Tries) -> Option<UpstreamId> {
        let mut request = self.routing_request(req, tries);
        request.tried.push(first.clone());
        let now = clock::now();
        let mut services = self.services.borrow_mut();
        let state = services.get_mut(&req.service)?;
        let other = state.service.choose_hedge(&request, now)?;
        let mut ran = tries.ran.clone();
        ran.push(first.clone());
        let is_allowed = ran.contains(&other) || (ran.len() as u64) < u64::from(req.route.attempts);
        (is_allowed && state.budget.try_spend(now)).then_some(other)
    }

    fn routing_request(&self, req: &Request, tries: &Tries) -> RoutingRequest {
        RoutingRequest {
            ticket: self.ticket(),
            rank: req.route.rank,
            idempotency: req.route.idempotency,
            arrived: req.arrived,
            objective: req.arrived + req.route.objective,
            deadline: req.limit,
            key: req.key,
            tried: tries.tried.clone(),
            jitter_per_mille: req.point,
        }
    }

    /// Notes that an upstream doesn't hold a key: its requests wait until another owner is known.
    fn note_misdirected(&self, req: &Request, key: u16, id: &UpstreamId) {
        if let Some(state) = self.services.borrow_mut().get_mut(&req.service) {
            state.service.on_misdirected(key, id, clock::now());
        }
    }

    fn spend(&self, req: &Request) -> bool {
        let mut services = self.services.borrow_mut();
        let is_spent = services
            .get_mut(&req.service)
            .is_some_and(|state| state.budget.try_spend(clock::now()));
        if is_spent {
            counter!("skylarkdock_repeats_total", "why" => "failed").increment(1);
        }
        is_spent
    }

    /// Returns whether an idempotent request may be sent once more.
    fn may_repeat(&self, req: &Request, tries: &Tries) -> bool {
        let now = clock::now();
        let mut services = self.services.borrow_mut();
        let Some(state) = services.get_mut(&req.service) else { return false };
        let has_attempts = match req.key {
            Some(_) => tries.sent < MAX_KEYED_SENDS,
            None => (tries.ran.len() as u64) < u64::from(req.route.attempts),
        };
        has_attempts && now + ANSWER_MARGIN < req.limit && state.budget.available(now) > 0
    }

    /// Returns the final answer for a request that is not tried again.
    fn give_up(&self, req: &Request, tries: &mut Tries, reason: &'static str) -> (Answer, End) {
        let left = req.limit.since(clock::now());
        let expected = if tries.shed > 0 { SHED_PAUSE } else { MISDIRECTED_PAUSE };
        self.final_answer(req, tries, retry_after::delay(expected, left, req.point), reason)
    }

    /// Returns a refusal if no upstream can have run the request, and a failure otherwise.
    fn final_answer(
        &self,
        req: &Request,
        tries: &mut Tries,
        pause: Millis,
        reason: &'static str,
    ) -> (Answer, End) {
        if tries.ran.is_empty() {
            return (refusal(pause), End::Refused(reason));
        }
        if let Some(failure) = tries.failure.take() {
            return (forward(failure), End::Answered);
        }
        let is_late = clock::now() + ANSWER_MARGIN >= req.limit;
        (Answer::empty(if is_late { 504 } else { 502 }), End::Unknown)
    }

    fn outgoing(&self, req: &Request, id: &UpstreamId, left: Millis) -> Outgoing {
        let names = &self.protocol.names;
        let mut headers = req.headers.clone();
        headers.push(names.deadline, left.0.max(1).to_string());
        headers.push(names.expected, id.as_str());
        let mut outgoing = Outgoing::new(&req.method, &req.target, &headers, &req.body);
        outgoing.id = Some((names.request_id, req.id.clone()));
        outgoing
    }
}

impl Request {
    fn attempt<'a>(&'a self, id: &'a UpstreamId) -> Attempt<'a> {
        let is_once = self.route.idempotency == Idempotency::Once;
        Attempt { service: &self.service, id, is_once, print: self.print, until: self.limit }
    }
}

impl Outcome {
    fn is_good(&self) -> bool {
        matches!(self, Self::Answered(reply) if reply.head.status < 500)
    }
}

fn fingerprint(method: &str, target: &str, body: &[u8]) -> Fingerprint {
    let mut hash = xxh3::Xxh3::new();
    hash.update(method.as_bytes());
    hash.update(target.as_bytes());
    hash.update(body);
    Fingerprint(hash.digest())
}

/// Passes an upstream's answer on.
fn forward(reply: Reply) -> Answer {
    let mut headers = reply.head.headers;
    headers.remove_hop_by_hop();
    headers.remove("content-length");
    Answer { status: reply.head.status, headers, body: reply.body }
}
