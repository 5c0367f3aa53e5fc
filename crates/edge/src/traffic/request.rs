//! Handling of a request from its arrival to its answer: validation, attempts, retries and hedging.

use super::Traffic;
use super::accept::Accepted;
use super::attempt::{Attempt, AttemptResult, NotRun};
use super::history::{History, RequestEnd};
use super::race::{Either, either};
use super::rejection::{Rejection, STARTUP_RETRY_AFTER};
use super::trials::{Admission, Trial};
use crate::answer::{Answer, OwnStatus};
use crate::client::Outgoing;
use crate::clock;
use crate::serve::Incoming;
use async_io::Timer;
use futures_lite::FutureExt;
use metrics::{counter, histogram};
use skylarkdock_dispatch::crash_tracker::{Fingerprint, Refusal};
use skylarkdock_dispatch::notices::Withheld;
use skylarkdock_dispatch::retry_after;
use skylarkdock_dispatch::routes::{Idempotency, Route};
use skylarkdock_dispatch::routing::{RoutingDecision, RoutingRequest};
use skylarkdock_dispatch::trials::TrialEnd;
use skylarkdock_dispatch::upstream::AttemptOutcome;
use skylarkdock_dispatch::work::RouteKey;
use skylarkdock_http1::head::Headers;
use skylarkdock_units::ids::{ServiceName, UpstreamId};
use skylarkdock_units::times::{HostTime, Millis};
use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use xxhash_rust::xxh3;

/// Expected time until the owner of a key holds it; basis of the `Retry-After` of a request that is given up.
const MISDIRECTED_RETRY_AFTER: Millis = Millis(60);
/// Expected time until an upstream has capacity again; basis of the `Retry-After` after shed attempts.
const SHED_RETRY_AFTER: Millis = Millis(40);
/// Number of misdirected attempts after which a request is given up, as each retry is taken from the retry budget.
const MAX_MISDIRECTED: u32 = 2;
/// Number of sends of a request with a key after which it is not sent again on a failure or an unknown result. Shed and
/// misdirected attempts have limits of their own.
const MAX_KEYED_SENDS: u32 = 3;
/// Number of attempts that may be withheld before a request is given up. Each time the upstream is known to rest or leave
/// from then on, so that another is chosen.
const MAX_WITHHELD: u32 = 3;
/// Shortest time for which a request waits for the admission of its copy, twice the time after which a coordinator counts as
/// silent.
const MIN_ADMISSION_TIME: Millis = Millis(250);
/// Time between two checks whether another copy of a request that may crash upstreams has ended.
const TRIAL_CHECK_INTERVAL: Millis = Millis(100);
/// Expected time until the end of another copy is known; basis of the `Retry-After` of a request that waited for it.
const TRIAL_RETRY_AFTER: Millis = Millis(400);
/// Time reserved before the deadline for the host's own final answer.
const ANSWER_MARGIN: Millis = Millis(15);

/// Immutable data of a request.
pub(super) struct Request {
    id: String,
    method: String,
    target: String,
    headers: Headers,
    /// Shared by all attempts.
    body: Arc<Vec<u8>>,
    pub(super) route: Arc<Route>,
    pub(super) service: ServiceName,
    route_key: RouteKey,
    /// Time that the caller had used before the arrival, as far as can be told.
    used: Millis,
    key: Option<u16>,
    /// Hash that is equal for requests with the same content.
    fingerprint: Fingerprint,
    pub(super) arrived: HostTime,
    pub(super) deadline: HostTime,
    pub(super) jitter_per_mille: u32,
}

/// What to do with a request for which an upstream is chosen.
enum SendStart {
    /// Send it, as the given trial if it may crash upstreams.
    Send(Option<Trial>),
    /// Choose an upstream again, as another copy of the request is under way.
    ChooseAgain,
    /// Give the final answer.
    End((Answer, RequestEnd)),
}

impl Traffic {
    pub(super) async fn serve(self: Rc<Self>, incoming: Incoming) -> Answer {
        let arrived = clock::now();
        let config_age = self.status.config_age(arrived);
        let incoming = Incoming { head: incoming.head.into_origin_form(), ..incoming };
        self.wait_for_config(&incoming.head.headers, arrived).await;
        let accepted = match self.accept(&incoming, arrived) {
            Ok(accepted) => accepted,
            Err(rejection) => return self.reject(&incoming, rejection, arrived),
        };
        if incoming.lacks_body() {
            // The configuration that had no route for it was replaced since its head was judged.
            return self.reject(&incoming, Rejection::BodyDropped, arrived);
        }
        let remaining = accepted.deadline;
        let mut req = self.request(incoming, accepted, arrived);
        if let Some(state) = self.services.borrow_mut().get_mut(&req.service) {
            state.budget.on_request(arrived);
            req.used = state.service.observe_caller(req.route_key, remaining);
        }
        if let Some(key) = req.key {
            self.record_key(&req.service, key);
        }
        let mut history = History::default();
        let (answer, end) = self.run_until_exit(&req, &mut history).await;
        self.record_end(&req, &history, &answer, end, config_age);
        answer
    }

    /// Builds the request that is sent to upstreams.
    fn request(&self, incoming: Incoming, accepted: Accepted, arrived: HostTime) -> Request {
        let names = &self.protocol.names;
        let Incoming { head, body } = incoming;
        let Accepted { id, host, route, service, key, deadline } = accepted;
        let mut headers = head.headers;
        headers.remove_hop_by_hop();
        for name in ["content-length", "expect", names.deadline, names.expected] {
            headers.remove(name);
        }
        let jitter_per_mille =
            u32::try_from(xxh3::xxh3_64(id.as_bytes()) % 1_000).unwrap_or_default();
        Request {
            fingerprint: fingerprint([
                head.method.as_bytes(),
                host.as_bytes(),
                head.target.as_bytes(),
                &body,
            ]),
            id,
            method: head.method,
            target: head.target,
            headers,
            body: Arc::new(body),
            deadline: arrived + deadline.min(route.timeout),
            route_key: RouteKey::of(&route.name),
            used: Millis(0),
            route,
            service,
            key,
            arrived,
            jitter_per_mille,
        }
    }

    /// Updates the metrics and writes the log line of a request that has its answer. Its configuration had the given age when
    /// it arrived.
    fn record_end(
        &self,
        req: &Request,
        history: &History,
        answer: &Answer,
        end: RequestEnd,
        config_age: Millis,
    ) {
        let took = clock::now().since(req.arrived);
        let kind = if req.route.idempotency == Idempotency::Once { "once" } else { "idempotent" };
        let (outcome, reason) = (end.outcome(), end.reason());
        self.count_shutdown_end(end);
        counter!("skylarkdock_requests_total", "kind" => kind, "outcome" => outcome, "reason" => reason)
            .increment(1);
        histogram!("skylarkdock_request_seconds", "outcome" => outcome)
            .record(took.duration().as_secs_f64());
        histogram!("skylarkdock_request_wait_seconds")
            .record(history.waited.duration().as_secs_f64());
        let version = self.config_version();
        let is_signed = answer.headers.get(self.protocol.names.signature).is_some();
        let level = match end {
            RequestEnd::Answered if answer.status < 500 => log::Level::Info,
            _ => log::Level::Warn,
        };
        let message = match end {
            RequestEnd::Answered if answer.status < 500 => "request: answered",
            RequestEnd::Answered => "request: the upstream's work failed",
            RequestEnd::Refused(_) => "request: refused, not run",
            RequestEnd::Unknown | RequestEnd::Exit => "request: failed, may have run",
        };
        log::log!(level, request = req.id.as_str(), route = &*req.route.name, kind = kind,
            service = req.service.as_str(), key:? = req.key, config = version, config_age_ms = config_age.0,
            status = answer.status, reason = reason, signed = is_signed, sent = history.sent,
            waited_ms = history.waited.0, took_ms = took.0, limit_ms = req.deadline.since(req.arrived).0,
            steps = history.steps.join(" "); "{message}");
    }

    /// Makes attempts until one is answered or no further attempt is allowed.
    pub(super) async fn run_attempts(
        self: &Rc<Self>,
        req: &Request,
        history: &mut History,
    ) -> (Answer, RequestEnd) {
        let is_once = req.route.idempotency == Idempotency::Once;
        loop {
            if let Some(end) = self.refuse_unchosen(req, history) {
                return end;
            }
            let wait_started = clock::now();
            let chosen = self.choose_upstream(&req.service, self.routing_request(req, history));
            let refused = async {
                self.until_refused(req.fingerprint).or(self.until_outlasting(req)).await;
                None
            };
            let chosen = async { Some(chosen.await) };
            let chosen = chosen.or(refused).await;
            history.waited = history.waited + clock::now().since(wait_started);
            let Some(decision) = chosen else { continue };
            let id = match decision {
                Some(RoutingDecision::Send(id)) => id,
                Some(RoutingDecision::Refuse { reason, retry_after }) => {
                    return self.final_answer(req, history, retry_after, reason.as_str());
                }
                Some(RoutingDecision::Wait) | None => {
                    return self.final_answer(req, history, STARTUP_RETRY_AFTER, "unknown_service");
                }
            };
            if let Some(end) = self.refuse_outlasting(req, history, Some(&id)) {
                return end;
            }
            if let Err(withheld) = self.check_notices(&req.service, &id) {
                if let Some(end) = self.record_withheld(req, history, &id, withheld) {
                    return end;
                }
                continue;
            }
            if !history.may_run_on(&id, req.route.attempts) {
                return self.give_up(req, history, "attempts_used");
            }
            let trial = match self.prepare_send(req, history).await {
                SendStart::Send(trial) => trial,
                SendStart::ChooseAgain => continue,
                SendStart::End(end) => return end,
            };
            let outcome = self.attempt_recorded(req, &id, history).await;
            end_trial(trial, &outcome);
            match outcome {
                AttemptResult::Answered(reply) => {
                    if reply.head.status < 500 || is_once {
                        return (Answer::forwarded(reply), RequestEnd::Answered);
                    }
                    history.record_may_have_run(&id);
                    history.failure = Some(reply);
                    if !self.may_retry(req, history) {
                        return self.give_up(req, history, "upstream_failed");
                    }
                }
                AttemptResult::NotRun(NotRun::Crashing(refusal)) => {
                    return self.refuse_crashing(req, history, refusal);
                }
                AttemptResult::NotRun(reason) => {
                    history.record_not_run(reason, &id, req.key.is_some());
                    if let NotRun::Withheld(withheld) = reason
                        && history.withheld > MAX_WITHHELD
                    {
                        return self.give_up_withheld(req, history, withheld);
                    }
                    // Another upstream would need a connection, too.
                    let lacks = matches!(reason, NotRun::Shortage(_)) || history.missed_permits();
                    let is_exhausted = lacks
                        || history.misdirected >= MAX_MISDIRECTED
                        || history.sent > 2 * req.route.attempts;
                    if clock::now() >= req.deadline || is_exhausted {
                        return self.give_up(req, history, reason.as_str());
                    }
                    if reason == NotRun::Misdirected
                        && let Some(key) = req.key
                    {
                        self.record_misdirected(req, key, &id);
                    }
                }
                AttemptResult::Unknown(ended) => {
                    history.record_may_have_run(&id);
                    if is_once || !self.may_retry(req, history) {
                        let reason =
                            if ended == AttemptOutcome::TimedOut { "no_answer" } else { "broken" };
                        return self.give_up(req, history, reason);
                    }
                }
            }
        }
    }

    /// Returns the final answer to a request that must not be sent to any upstream.
    fn refuse_unchosen(
        &self,
        req: &Request,
        history: &mut History,
    ) -> Option<(Answer, RequestEnd)> {
        match self.crash_refusal(req.fingerprint) {
            Some(refusal) => Some(self.refuse_crashing(req, history, refusal)),
            None => self.refuse_outlasting(req, history, None),
        }
    }

    /// Makes an attempt as [`Self::attempt_hedged`] does, and records it in the history.
    async fn attempt_recorded(
        self: &Rc<Self>,
        req: &Request,
        id: &UpstreamId,
        history: &mut History,
    ) -> AttemptResult {
        history.under_way = Some(id.clone());
        let outcome = self.attempt_hedged(req, id, history).await;
        history.under_way = None;
        history.record_step(req.arrived, id, &outcome);
        outcome
    }

    /// Records that nothing is sent to a chosen upstream. Returns the final answer if this happened too often.
    fn record_withheld(
        &self,
        req: &Request,
        history: &mut History,
        id: &UpstreamId,
        withheld: Withheld,
    ) -> Option<(Answer, RequestEnd)> {
        let reason = NotRun::Withheld(withheld);
        history.record_step(req.arrived, id, &AttemptResult::NotRun(reason));
        history.record_not_run(reason, id, req.key.is_some());
        let is_last = history.withheld > MAX_WITHHELD || clock::now() >= req.deadline;
        is_last.then(|| self.give_up_withheld(req, history, withheld))
    }

    /// Gets what an attempt needs: the admission of a copy if the request may crash upstreams, and a retry from the budget.
    /// While another copy is under way, waits a little, after which another upstream may be the one to choose.
    async fn prepare_send(self: &Rc<Self>, req: &Request, history: &mut History) -> SendStart {
        let trial = match self.admit(req.fingerprint, req.admission_end()).await {
            Admission::NotNeeded => None,
            Admission::Admitted(trial) => Some(trial),
            Admission::Busy if clock::now() < req.trial_wait_end() => {
                let wait_started = clock::now();
                history.record_trial_wait(req.arrived, wait_started);
                self.until_trials_change(wait_started + TRIAL_CHECK_INTERVAL).await;
                history.waited = history.waited + clock::now().since(wait_started);
                return SendStart::ChooseAgain;
            }
            Admission::Busy => return SendStart::End(self.refuse_untried(req, history)),
        };
        if history.sent > 0 && !self.spend_retry(req) {
            if let Some(trial) = trial {
                trial.end(TrialEnd::NotRun);
            }
            return SendStart::End(self.give_up(req, history, "budget_spent"));
        }
        SendStart::Send(trial)
    }

    /// Makes an attempt. If the answer to an idempotent request is late, sends it to a second upstream as well, if one
    /// has capacity. The first successful answer is used and the other attempt is cancelled.
    async fn attempt_hedged(
        self: &Rc<Self>,
        req: &Request,
        id: &UpstreamId,
        history: &mut History,
    ) -> AttemptResult {
        let is_once = req.route.idempotency == Idempotency::Once;
        let hedge_at = {
            let services = self.services.borrow();
            services.get(&req.service).and_then(|state| state.service.hedge_at(id, clock::now()))
        };
        let first = self.attempt(req.attempt(id), |remaining| self.outgoing(req, id, remaining));
        let Some(hedge_at) = hedge_at else { return first.await };
        let mut first = pin!(first);
        let timer = async {
            Timer::at(clock::instant(hedge_at)).await;
        };
        match either(first.as_mut(), pin!(timer)).await {
            Either::First(outcome) => return outcome,
            Either::Second(()) => self.check_path(id),
        }
        if is_once {
            return first.await;
        }
        let Some(other) = self.choose_hedge(req, id, history) else { return first.await };
        history.steps.push(format!("{id}:late@{}ms", clock::now().since(req.arrived).0));
        counter!("skylarkdock_repeats_total", "why" => "late").increment(1);
        history.record_may_have_run(&other);
        let second =
            self.attempt(req.attempt(&other), |remaining| self.outgoing(req, &other, remaining));
        let mut second = pin!(second);
        match either(first.as_mut(), second.as_mut()).await {
            Either::First(outcome) if outcome.is_good() => outcome,
            Either::Second(outcome) if outcome.is_good() => outcome,
            Either::First(_) => second.await,
            Either::Second(_) => first.await,
        }
    }

    /// Returns the upstream for a second attempt beside a late one, and takes that attempt from the retry budget.
    fn choose_hedge(
        &self,
        req: &Request,
        first: &UpstreamId,
        history: &History,
    ) -> Option<UpstreamId> {
        if self.crash_refusal(req.fingerprint).is_some() || self.is_suspect(req.fingerprint) {
            return None;
        }
        let mut request = self.routing_request(req, history);
        request.tried.push(first.clone());
        let now = clock::now();
        let mut services = self.services.borrow_mut();
        let state = services.get_mut(&req.service)?;
        let other = state.service.choose_hedge(&request, now)?;
        let mut ran = history.ran.clone();
        ran.push(first.clone());
        drop(services);
        if self.check_notices(&req.service, &other).is_err() {
            return None;
        }
        let mut services = self.services.borrow_mut();
        let state = services.get_mut(&req.service)?;
        let is_allowed = ran.contains(&other) || (ran.len() as u64) < u64::from(req.route.attempts);
        (is_allowed && state.budget.try_spend(now)).then_some(other)
    }

    fn routing_request(&self, req: &Request, history: &History) -> RoutingRequest {
        RoutingRequest {
            ticket: self.next_ticket(),
            rank: req.route.rank,
            idempotency: req.route.idempotency,
            arrived: req.arrived,
            objective: req.arrived + Millis(req.route.objective.0.saturating_sub(req.used.0)),
            route: req.route_key,
            deadline: req.deadline,
            key: req.key,
            tried: history.tried.clone(),
            regions: req.route.regions.clone(),
            jitter_per_mille: req.jitter_per_mille,
        }
    }

    /// Records that an upstream doesn't hold a key. Requests for the keys of its span wait until another owner is known
    /// or a pause has passed.
    fn record_misdirected(&self, req: &Request, key: u16, id: &UpstreamId) {
        if let Some(state) = self.services.borrow_mut().get_mut(&req.service) {
            state.service.on_misdirected(key, id, clock::now());
        }
    }

    fn spend_retry(&self, req: &Request) -> bool {
        let mut services = self.services.borrow_mut();
        let is_allowed = services
            .get_mut(&req.service)
            .is_some_and(|state| state.budget.try_spend(clock::now()));
        if is_allowed {
            counter!("skylarkdock_repeats_total", "why" => "failed").increment(1);
        }
        is_allowed
    }

    /// Returns whether an idempotent request may be sent again.
    fn may_retry(&self, req: &Request, history: &History) -> bool {
        let now = clock::now();
        let mut services = self.services.borrow_mut();
        let Some(state) = services.get_mut(&req.service) else { return false };
        let has_attempts = match req.key {
            Some(_) => history.sent < MAX_KEYED_SENDS,
            None => (history.ran.len() as u64) < u64::from(req.route.attempts),
        };
        has_attempts && now + ANSWER_MARGIN < req.deadline && state.budget.available(now) > 0
    }

    /// Returns the final answer to a request that gets no further attempts.
    fn give_up(
        &self,
        req: &Request,
        history: &mut History,
        reason: &'static str,
    ) -> (Answer, RequestEnd) {
        let remaining = req.deadline.since(clock::now());
        let expected = if history.shed > 0 { SHED_RETRY_AFTER } else { MISDIRECTED_RETRY_AFTER };
        self.final_answer(
            req,
            history,
            retry_after::delay(expected, remaining, req.jitter_per_mille),
            reason,
        )
    }

    /// Returns the final answer to a request whose upstreams rest, leave or are evacuated.
    fn give_up_withheld(
        &self,
        req: &Request,
        history: &mut History,
        withheld: Withheld,
    ) -> (Answer, RequestEnd) {
        let retry_after = match withheld {
            Withheld::Resting(rest) => retry_after::after_rest(rest, req.jitter_per_mille),
            Withheld::Leaving | Withheld::Evacuated => {
                let remaining = req.deadline.since(clock::now());
                retry_after::delay(MISDIRECTED_RETRY_AFTER, remaining, req.jitter_per_mille)
            }
        };
        self.final_answer(req, history, retry_after, NotRun::Withheld(withheld).as_str())
    }

    /// Returns the final answer to a request that probably crashes upstreams.
    fn refuse_crashing(
        &self,
        req: &Request,
        history: &mut History,
        refusal: Refusal,
    ) -> (Answer, RequestEnd) {
        let retry_after = match refusal {
            Refusal::Certain => Millis(req.deadline.since(req.arrived).0 / 3),
            Refusal::Uncertain(pause) => retry_after::after_rest(pause, req.jitter_per_mille),
        };
        self.final_answer(req, history, retry_after, "crashes_upstreams")
    }

    /// Returns the final answer to a request of which another copy was under way for too long.
    fn refuse_untried(&self, req: &Request, history: &mut History) -> (Answer, RequestEnd) {
        let remaining = req.deadline.since(clock::now());
        let retry_after = retry_after::delay(TRIAL_RETRY_AFTER, remaining, req.jitter_per_mille);
        self.final_answer(req, history, retry_after, "trial_under_way")
    }

    /// Returns a refusal if no upstream can have run the request, and otherwise the last failure or a gateway error.
    pub(super) fn final_answer(
        &self,
        req: &Request,
        history: &mut History,
        retry_after: Millis,
        reason: &'static str,
    ) -> (Answer, RequestEnd) {
        if history.ran.is_empty() {
            return (Answer::refused(retry_after), RequestEnd::Refused(reason));
        }
        if let Some(failure) = history.failure.take() {
            return (Answer::forwarded(failure), RequestEnd::Answered);
        }
        (req.gateway_error(), RequestEnd::Unknown)
    }

    fn outgoing(&self, req: &Request, id: &UpstreamId, remaining: Millis) -> Outgoing {
        let names = &self.protocol.names;
        let mut headers = req.headers.clone();
        headers.push(names.deadline, remaining.0.max(1).to_string());
        headers.push(names.expected, id.as_str());
        let mut outgoing = Outgoing::sharing(&req.method, &req.target, &headers, &req.body);
        outgoing.id = Some((names.request_id, req.id.clone()));
        outgoing
    }
}

impl Request {
    /// Returns the host's own answer if an upstream may have run the request.
    pub(super) fn gateway_error(&self) -> Answer {
        let is_late = clock::now() + ANSWER_MARGIN >= self.deadline;
        Answer::empty(if is_late { OwnStatus::GatewayTimeout } else { OwnStatus::BadGateway })
    }

    /// Returns until when the request waits for the end of another copy: half of its time, so that its caller can come
    /// back.
    fn trial_wait_end(&self) -> HostTime {
        self.arrived + Millis(self.deadline.since(self.arrived).0 / 2)
    }

    /// Returns until when the request waits for the reply of a coordinator: as long as for another copy, and long enough to
    /// ask two if it has waited for something else before.
    fn admission_end(&self) -> HostTime {
        let latest = HostTime(self.deadline.0.saturating_sub(ANSWER_MARGIN.0));
        self.trial_wait_end().max(clock::now() + MIN_ADMISSION_TIME).min(latest)
    }

    fn attempt<'a>(&'a self, id: &'a UpstreamId) -> Attempt<'a> {
        let is_once = self.route.idempotency == Idempotency::Once;
        Attempt {
            route: self.route_key,
            service: &self.service,
            id,
            is_once,
            regions: &self.route.regions,
            fingerprint: self.fingerprint,
            deadline: self.deadline,
            permit: Cell::default(),
        }
    }
}

impl AttemptResult {
    /// Returns what the attempt shows of a request that may crash upstreams. One that reports a failure may be about to
    /// end.
    fn trial_end(&self) -> TrialEnd {
        match self {
            Self::Answered(_) if self.is_good() => TrialEnd::Answered,
            Self::NotRun(_) => TrialEnd::NotRun,
            Self::Answered(_) | Self::Unknown(_) => TrialEnd::Unanswered,
        }
    }

    fn is_good(&self) -> bool {
        matches!(self, Self::Answered(reply) if reply.head.status < 500)
    }
}

/// Ends the trial of an attempt, if it was one.
fn end_trial(trial: Option<Trial>, outcome: &AttemptResult) {
    if let Some(trial) = trial {
        trial.end(outcome.trial_end());
    }
}

/// Returns the fingerprint of a request from its method, host name, target and body. Callers repeat a request with the
/// same content and another id. A key is not part of it, as it only says which upstream runs the request.
fn fingerprint(parts: [&[u8]; 4]) -> Fingerprint {
    let mut hash = xxh3::Xxh3::new();
    for part in parts {
        // With the lengths, no bytes can pass from one part to the next.
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    Fingerprint(hash.digest())
}
