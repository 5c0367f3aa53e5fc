//! Sends a request to the owning upstream under a lease held by this host.

use crate::clock;
use crate::proxy::crash_tracking::TrackedRequest;
use crate::proxy::guarded_body::GuardedBody;
use crate::proxy::headers;
use crate::proxy::recorded_answer;
use crate::proxy::refusal::{self, Reason, Refusal};
use crate::proxy::request::ProxyRequest;
use crate::proxy::router::Router;
use crate::routing_table::{AdmittedRequest, Lease, RangeRoute, ServiceTable};
use crate::shared_state::TrafficReport;
use crate::upstream_queue::{Permit, SlotRefusal, SlotRequest};
use futures_lite::FutureExt;
use http::header::{HOST, HeaderMap, HeaderValue};
use http::{Request, Response};
use http_body_util::BodyExt;
use skylarkdock_httppath::body::{self, Body};
use skylarkdock_httppath::pool::{FailedSend, NotSent, ResponseLost, SendError};
use skylarkdock_outcomes::memory::{self, Attempt, AttemptEnd, BeginDecision};
use skylarkdock_outcomes::outcome::Outcome;
use skylarkdock_policy::queue;
use skylarkdock_units::times::Millis;
use std::sync::Arc;
use std::time::Instant;

const CONNECT_TIMEOUT_MS: Millis = Millis(250);
const RETRY_AFTER_MS: Millis = Millis(1_000);

/// Result of an attempt to answer a request.
pub enum AttemptResult {
    /// Return this response to the caller.
    Answer(Response<Body>),
    /// Refuse the request without another attempt.
    Refuse(Refusal),
    /// No host that was tried holds the range, and nothing was run.
    NotHeld,
    /// Another attempt may succeed soon; the reason applies if there is no time for one.
    RetryLater(Reason),
}

/// Result of sending a request to the upstream.
enum SendResult {
    /// The request was run; the body of the response is still to be read.
    Answered(Response<Body>),
    /// The request was not run, and another attempt may succeed soon.
    NotRun(Reason),
    /// The request was not run because the upstream had no free slot.
    Shed,
    /// The request was not run and is not tried again.
    Refused(Refusal),
    /// The request may have been run.
    Unknown,
}

/// Runs a repeatable request and streams the response.
pub async fn repeatable(
    router: &Arc<Router>,
    request: &ProxyRequest,
    service: &ServiceTable,
    admitted: AdmittedRequest,
) -> AttemptResult {
    let AdmittedRequest { in_flight, lease } = admitted;
    let permit = match lease.upstream_queue.acquire_slot(slot_request(request)).await {
        Ok(permit) => permit,
        Err(refused) => return AttemptResult::Refuse(overload_refusal(refused)),
    };
    match send(router, request, service, &lease, in_flight.range()).await {
        SendResult::Answered(res) => {
            service.shared.budgets().record_success();
            let mut res = hold_until_body_end(res, (in_flight, permit), Arc::clone(&lease));
            refusal::set_outcome_headers(&mut res, Outcome::Done, Some(request.id));
            AttemptResult::Answer(res)
        }
        SendResult::NotRun(reason) => AttemptResult::RetryLater(reason),
        SendResult::Shed => retry_shed(service),
        SendResult::Refused(refusal) => AttemptResult::Refuse(refusal),
        SendResult::Unknown => retry(request, service),
    }
}

/// Decides whether to retry a repeatable request that may have been run without a response.
pub fn retry(request: &ProxyRequest, service: &ServiceTable) -> AttemptResult {
    request.record_lost_attempt();
    if request.time_left() == Millis(0) {
        return AttemptResult::Refuse(Refusal::unknown(Reason::Deadline));
    }
    match service.shared.budgets().retry.try_spend() {
        Ok(()) => AttemptResult::RetryLater(Reason::Lost),
        Err(_) => {
            let refusal = Refusal::unknown(Reason::Lost).with_retry_after(RETRY_AFTER_MS);
            AttemptResult::Refuse(refusal)
        }
    }
}

/// Decides whether to retry a request for which the upstream had no free slot.
fn retry_shed(service: &ServiceTable) -> AttemptResult {
    match service.shared.budgets().retry.try_spend() {
        Ok(()) => AttemptResult::RetryLater(Reason::Overload),
        Err(_) => {
            let refusal = Refusal::not_run(Reason::Overload).with_retry_after(RETRY_AFTER_MS);
            AttemptResult::Refuse(refusal)
        }
    }
}

/// Runs a once-only request if the range's deduplication memory allows it.
pub async fn once_only(
    router: &Arc<Router>,
    request: &ProxyRequest,
    service: &ServiceTable,
    admitted: AdmittedRequest,
) -> AttemptResult {
    let AdmittedRequest { in_flight, lease } = admitted;
    let attempt = match begin(request, in_flight.range(), &lease) {
        Ok(attempt) => attempt,
        Err(result) => return *result,
    };
    let once_only_attempt =
        OnceOnlyAttempt { request, route: Arc::clone(in_flight.range()), attempt };
    let permit = match lease.upstream_queue.acquire_slot(slot_request(request)).await {
        Ok(permit) => permit,
        Err(refused) => {
            once_only_attempt.finish(AttemptEnd::NotRun);
            return AttemptResult::Refuse(overload_refusal(refused));
        }
    };
    match send(router, request, service, &lease, &once_only_attempt.route).await {
        SendResult::Answered(res) => {
            service.shared.budgets().record_success();
            finish_answer(res, once_only_attempt, (in_flight, permit), &lease).await
        }
        SendResult::NotRun(reason) => {
            once_only_attempt.finish(AttemptEnd::NotRun);
            AttemptResult::RetryLater(reason)
        }
        SendResult::Shed => {
            once_only_attempt.finish(AttemptEnd::NotRun);
            retry_shed(service)
        }
        SendResult::Refused(refusal) => {
            once_only_attempt.finish(AttemptEnd::NotRun);
            AttemptResult::Refuse(refusal)
        }
        SendResult::Unknown => {
            once_only_attempt.finish(AttemptEnd::Unknown);
            let refusal = Refusal::unknown(Reason::Lost).with_retry_after(RETRY_AFTER_MS);
            AttemptResult::Refuse(refusal)
        }
    }
}

/// An attempt at a once-only request, whose end is recorded in the range's deduplication memory.
pub struct OnceOnlyAttempt<'a> {
    request: &'a ProxyRequest,
    route: Arc<RangeRoute>,
    attempt: Attempt,
}

impl OnceOnlyAttempt<'_> {
    fn finish(&self, end: AttemptEnd) {
        record_end(&self.route, self.request, self.attempt, end);
    }
}

fn record_end(route: &RangeRoute, request: &ProxyRequest, attempt: Attempt, end: AttemptEnd) {
    if let Some(memory) = route.memory().as_mut() {
        memory.finish(request.id, attempt, end);
    }
}

async fn finish_answer(
    res: Response<Body>,
    once_only_attempt: OnceOnlyAttempt<'_>,
    guards: (crate::routing_table::InFlightGuard, Permit),
    lease: &Arc<Lease>,
) -> AttemptResult {
    let (head, body) = res.into_parts();
    let status = head.status;
    let content_type = recorded_answer::content_type(&head.headers);
    let mut res = match recorded_answer::read_body(body).await {
        recorded_answer::ReadBody::Whole(bytes) => {
            lease.upstream_queue.record_success();
            once_only_attempt.finish(AttemptEnd::Done(recorded_answer::whole_answer(
                status,
                content_type,
                bytes.clone(),
            )));
            drop(guards);
            Response::from_parts(head, body::full(bytes))
        }
        recorded_answer::ReadBody::Long(long_body) => {
            let (route, id, attempt) = (
                Arc::clone(&once_only_attempt.route),
                once_only_attempt.request.id,
                once_only_attempt.attempt,
            );
            let lease = Arc::clone(lease);
            let body = long_body.into_body(move |digest| {
                let end = match digest {
                    Some(digest) => {
                        lease.upstream_queue.record_success();
                        AttemptEnd::Done(recorded_answer::digest_answer(
                            status,
                            content_type,
                            digest,
                        ))
                    }
                    None => AttemptEnd::Unknown,
                };
                if let Some(memory) = route.memory().as_mut() {
                    memory.finish(id, attempt, end);
                }
                drop(guards);
            });
            Response::from_parts(head, body)
        }
        recorded_answer::ReadBody::Truncated => {
            once_only_attempt.finish(AttemptEnd::Unknown);
            let refusal = Refusal::unknown(Reason::Lost).with_retry_after(RETRY_AFTER_MS);
            return AttemptResult::Refuse(refusal);
        }
    };
    refusal::set_outcome_headers(&mut res, Outcome::Done, Some(once_only_attempt.request.id));
    AttemptResult::Answer(res)
}

fn begin(
    request: &ProxyRequest,
    route: &RangeRoute,
    lease: &Lease,
) -> Result<Attempt, Box<AttemptResult>> {
    let fingerprint = request.fingerprint();
    let req = memory::Request { id: request.id, fingerprint, minted: request.minted };
    let mut memory = route.memory();
    let Some(memory) = memory.as_mut() else { return Err(Box::new(AttemptResult::NotHeld)) };
    let begin = memory.begin(req, clock::wall_time());
    // The memory is authoritative for the range only while the lease is valid.
    if matches!(begin, BeginDecision::Run(_) | BeginDecision::FromFuture)
        && route.is_lease_valid(lease.epoch)
    {
        request.record_new_id();
    }
    let result = match begin {
        BeginDecision::Run(attempt) => return Ok(attempt),
        BeginDecision::HandedOver => AttemptResult::NotHeld,
        BeginDecision::Recorded(recorded) => {
            AttemptResult::Answer(recorded_answer::replay(&recorded, request.id))
        }
        begin => AttemptResult::Refuse(memory_refusal(&begin)),
    };
    Err(Box::new(result))
}

/// Returns the refusal of a request that the deduplication memory does not allow to run.
fn memory_refusal(begin: &BeginDecision) -> Refusal {
    match begin {
        BeginDecision::StillRunning => Refusal {
            reason: Reason::StillRunning,
            outcome: Outcome::Running,
            retry_after: Some(RETRY_AFTER_MS),
        },
        BeginDecision::NotCovered => Refusal::unknown(Reason::TooOld),
        BeginDecision::FromFuture => Refusal::not_run(Reason::KeyFromFuture),
        BeginDecision::Mismatch => Refusal::unknown(Reason::KeyReused),
        BeginDecision::Full => Refusal::not_run(Reason::Overload).with_retry_after(RETRY_AFTER_MS),
        _ => Refusal::unknown(Reason::Lost),
    }
}

fn slot_request(request: &ProxyRequest) -> SlotRequest {
    SlotRequest { caller: request.caller, priority: request.priority, deadline: request.deadline }
}

fn overload_refusal(refused: SlotRefusal) -> Refusal {
    let reason = match refused.reason {
        queue::RefusalReason::Deadline
        | queue::RefusalReason::Full
        | queue::RefusalReason::Shed => Reason::Overload,
    };
    Refusal::not_run(reason).with_retry_after(refused.retry_after)
}

async fn send(
    router: &Router,
    request: &ProxyRequest,
    service: &ServiceTable,
    lease: &Lease,
    route: &RangeRoute,
) -> SendResult {
    let tracked = match TrackedRequest::admit(request, service, &lease.upstream_queue).await {
        Ok(tracked) => tracked,
        Err(refusal) => return SendResult::Refused(refusal),
    };
    let Some(req) = upstream_request(request, lease, route) else {
        return SendResult::Refused(Refusal::not_run(Reason::BadRequest));
    };
    let deadline = Instant::now() + request.time_left().duration();
    let is_lease_valid = || route.is_lease_valid(lease.epoch);
    let sending = router.upstreams.send_if_allowed(
        lease.upstream_queue.addr,
        req,
        CONNECT_TIMEOUT_MS,
        deadline,
        is_lease_valid,
    );
    let sent = async { Some(sending.await) };
    let lease_ended = async {
        route.wait_until_not_served_by(&lease.upstream_queue).await;
        None
    };
    let Some(sent) = sent.or(lease_ended).await else { return SendResult::Unknown };
    match sent {
        Ok(res) => classify_response(router, lease, tracked.track_response(res)),
        Err(FailedSend { error: SendError::NotSent(reason), .. }) => {
            not_sent(router, lease, &reason)
        }
        Err(FailedSend { error: SendError::Unknown(reason), .. }) => {
            if matches!(reason, ResponseLost::Closed(_)) {
                tracked.connection_lost(router, lease.upstream_queue.addr).await;
            }
            report_failure(router, lease);
            SendResult::Unknown
        }
    }
}

fn not_sent(router: &Router, lease: &Lease, reason: &NotSent) -> SendResult {
    match reason {
        NotSent::NotAllowed => SendResult::NotRun(Reason::NoHolder),
        NotSent::QueueTimeout | NotSent::Deadline => {
            SendResult::Refused(Refusal::not_run(Reason::Deadline).with_retry_after(RETRY_AFTER_MS))
        }
        NotSent::Connect(_) | NotSent::ConnectTimeout | NotSent::Closed(_) => {
            report_failure(router, lease);
            SendResult::NotRun(Reason::UpstreamDown)
        }
    }
}

fn report_failure(router: &Router, lease: &Lease) {
    lease.upstream_queue.record_failure();
    router.report(TrafficReport::UpstreamFailed {
        service: lease.upstream_queue.service.clone(),
        upstream: lease.upstream_queue.upstream.clone(),
    });
}

/// Distinguishes responses to requests that were run from refusals by the upstream.
fn classify_response(router: &Router, lease: &Lease, res: Response<Body>) -> SendResult {
    let refused = res.headers().get(headers::REFUSED).and_then(|value| value.to_str().ok());
    match refused {
        None => SendResult::Answered(res),
        Some("token" | "grant") => SendResult::NotRun(Reason::NoHolder),
        Some("drain") => {
            lease.upstream_queue.mark_draining();
            router.report(TrafficReport::UpstreamDraining {
                service: lease.upstream_queue.service.clone(),
                upstream: lease.upstream_queue.upstream.clone(),
            });
            SendResult::NotRun(Reason::UpstreamDown)
        }
        Some("deadline") => SendResult::Refused(Refusal::not_run(Reason::Deadline)),
        Some(_) => SendResult::Shed,
    }
}

fn upstream_request(
    request: &ProxyRequest,
    lease: &Lease,
    route: &RangeRoute,
) -> Option<Request<Body>> {
    let mut headers = request.head.headers.clone();
    headers::strip_hop_by_hop(&mut headers);
    headers::strip_router_headers(&mut headers);
    let mut set = |name: &'static str, value: String| set_header(&mut headers, name, value);
    set(headers::SERVICE, request.target.service.to_string())?;
    set(headers::RANGE, route.id.index.to_string())?;
    set(headers::KEY, request.target.key.clone())?;
    set(headers::TOKEN, lease.epoch.to_string())?;
    set(headers::REQUEST_ID, request.id.to_string())?;
    set(headers::DEADLINE, request.time_left().0.to_string())?;
    headers.insert(HOST, HeaderValue::try_from(lease.upstream_queue.addr.to_string()).ok()?);
    let mut req = Request::new(body::full(request.body.clone()));
    *req.method_mut() = request.head.method.clone();
    *req.uri_mut() = request.head.uri.path_and_query()?.as_str().parse().ok()?;
    headers.remove(http::header::CONTENT_LENGTH);
    *req.headers_mut() = headers;
    Some(req)
}

fn set_header(headers: &mut HeaderMap, name: &'static str, value: String) -> Option<()> {
    headers.insert(name, HeaderValue::try_from(value).ok()?);
    Some(())
}

/// Holds the request's in-flight guard and permit until the response body has ended.
fn hold_until_body_end(
    res: Response<Body>,
    guards: (crate::routing_table::InFlightGuard, Permit),
    lease: Arc<Lease>,
) -> Response<Body> {
    let (mut head, body) = res.into_parts();
    headers::strip_hop_by_hop(&mut head.headers);
    let on_end = Box::new(move |is_complete| {
        if is_complete {
            lease.upstream_queue.record_success();
        }
    });
    let guards = Box::new(guards);
    Response::from_parts(head, GuardedBody::new(body, guards, on_end).boxed_unsync())
}
