//! Sends a request to the owning upstream, under the lease held here.

use crate::clock;
use crate::proxy::answer::{self, Reason, Refusal};
use crate::proxy::flight::Flight;
use crate::proxy::headers;
use crate::proxy::record;
use crate::proxy::request::Call;
use crate::proxy::router::Router;
use crate::proxy::stream::Held;
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
const RUNNING_RETRY_MS: Millis = Millis(1_000);

/// What became of an attempt.
pub enum Step {
    /// The caller gets this answer.
    Answer(Response<Body>),
    /// The caller gets a final refusal.
    Refuse(Refusal),
    /// The range is not served here; nothing was sent.
    Elsewhere,
    /// Nothing was run, and it may work soon.
    Later(Reason),
}

/// How sending to the upstream ended.
enum Sent {
    /// The head of an answer to a request that was run.
    Answered(Response<Body>),
    /// It was not run, and it may work soon.
    NotRun(Reason),
    /// It was not run, since the upstream had no slot.
    Shed,
    /// It was not run, and that is final.
    Refused(Refusal),
    /// It may have been run.
    Unknown,
}

/// Runs a repeatable request and streams its answer.
pub async fn repeatable(
    router: &Arc<Router>,
    call: &Call,
    service: &ServiceTable,
    entry: AdmittedRequest,
) -> Step {
    let AdmittedRequest { in_flight, lease } = entry;
    let permit = match lease.upstream_queue.acquire_slot(demand(call)).await {
        Ok(permit) => permit,
        Err(denied) => return Step::Refuse(overload(denied)),
    };
    match send(router, call, service, &lease, in_flight.range()).await {
        Sent::Answered(res) => {
            service.shared.budgets().record_success();
            let mut res = hold(res, (in_flight, permit), Arc::clone(&lease));
            answer::mark(&mut res, Outcome::Done, Some(call.id));
            Step::Answer(res)
        }
        Sent::NotRun(reason) => Step::Later(reason),
        Sent::Shed => retry_shed(service),
        Sent::Refused(refusal) => Step::Refuse(refusal),
        Sent::Unknown => retry(call, service),
    }
}

/// Decides whether a repeatable request that was lost is sent again.
pub fn retry(call: &Call, service: &ServiceTable) -> Step {
    call.note_lost();
    if call.left() == Millis(0) {
        return Step::Refuse(Refusal::unknown(Reason::Deadline));
    }
    match service.shared.budgets().retry.try_spend() {
        Ok(()) => Step::Later(Reason::Lost),
        Err(_) => {
            let refusal = Refusal::unknown(Reason::Lost).after(RUNNING_RETRY_MS);
            Step::Refuse(refusal)
        }
    }
}

/// Decides whether a request for which the upstream had no slot is sent again.
fn retry_shed(service: &ServiceTable) -> Step {
    match service.shared.budgets().retry.try_spend() {
        Ok(()) => Step::Later(Reason::Overload),
        Err(_) => {
            let refusal = Refusal::not_run(Reason::Overload).after(RUNNING_RETRY_MS);
            Step::Refuse(refusal)
        }
    }
}

/// Runs a once-only request unless the range's memory says otherwise.
pub async fn once_only(
    router: &Arc<Router>,
    call: &Call,
    service: &ServiceTable,
    entry: AdmittedRequest,
) -> Step {
    let AdmittedRequest { in_flight, lease } = entry;
    let attempt = match begin(call, in_flight.range(), &lease) {
        Ok(attempt) => attempt,
        Err(step) => return *step,
    };
    let run = Run { call, slot: Arc::clone(in_flight.range()), attempt };
    let permit = match lease.upstream_queue.acquire_slot(demand(call)).await {
        Ok(permit) => permit,
        Err(denied) => {
            run.finish(AttemptEnd::NotRun);
            return Step::Refuse(overload(denied));
        }
    };
    match send(router, call, service, &lease, &run.slot).await {
        Sent::Answered(res) => {
            service.shared.budgets().record_success();
            finish_answer(res, run, (in_flight, permit), &lease).await
        }
        Sent::NotRun(reason) => {
            run.finish(AttemptEnd::NotRun);
            Step::Later(reason)
        }
        Sent::Shed => {
            run.finish(AttemptEnd::NotRun);
            retry_shed(service)
        }
        Sent::Refused(refusal) => {
            run.finish(AttemptEnd::NotRun);
            Step::Refuse(refusal)
        }
        Sent::Unknown => {
            run.finish(AttemptEnd::Unknown);
            let refusal = Refusal::unknown(Reason::Lost).after(RUNNING_RETRY_MS);
            Step::Refuse(refusal)
        }
    }
}

/// An attempt at a once-only request.
pub struct Run<'a> {
    call: &'a Call,
    slot: Arc<RangeRoute>,
    attempt: Attempt,
}

impl Run<'_> {
    fn finish(&self, finish: AttemptEnd) {
        note(&self.slot, self.call, self.attempt, finish);
    }
}

fn note(slot: &RangeRoute, call: &Call, attempt: Attempt, finish: AttemptEnd) {
    if let Some(memory) = slot.memory().as_mut() {
        memory.finish(call.id, attempt, finish);
    }
}

async fn finish_answer(
    res: Response<Body>,
    run: Run<'_>,
    kept: (crate::routing_table::InFlightGuard, Permit),
    lease: &Arc<Lease>,
) -> Step {
    let (head, body) = res.into_parts();
    let status = head.status;
    let content_type = record::content_type(&head.headers);
    let mut res = match record::read(body).await {
        record::Read::Whole(bytes) => {
            lease.upstream_queue.record_success();
            run.finish(AttemptEnd::Done(record::whole(status, content_type, bytes.clone())));
            drop(kept);
            Response::from_parts(head, body::full(bytes))
        }
        record::Read::Long(digesting) => {
            let (slot, id, attempt) = (Arc::clone(&run.slot), run.call.id, run.attempt);
            let lease = Arc::clone(lease);
            let body = digesting.finish(move |digest| {
                let finish = match digest {
                    Some(digest) => {
                        lease.upstream_queue.record_success();
                        AttemptEnd::Done(record::reduced(status, content_type, digest))
                    }
                    None => AttemptEnd::Unknown,
                };
                if let Some(memory) = slot.memory().as_mut() {
                    memory.finish(id, attempt, finish);
                }
                drop(kept);
            });
            Response::from_parts(head, body)
        }
        record::Read::Cut => {
            run.finish(AttemptEnd::Unknown);
            let refusal = Refusal::unknown(Reason::Lost).after(RUNNING_RETRY_MS);
            return Step::Refuse(refusal);
        }
    };
    answer::mark(&mut res, Outcome::Done, Some(run.call.id));
    Step::Answer(res)
}

fn begin(call: &Call, slot: &RangeRoute, lease: &Lease) -> Result<Attempt, Box<Step>> {
    let fingerprint = call.fingerprint();
    let req = memory::Request { id: call.id, fingerprint, minted: call.minted };
    let mut memory = slot.memory();
    let Some(memory) = memory.as_mut() else { return Err(Box::new(Step::Elsewhere)) };
    let begin = memory.begin(req, clock::wall_time());
    // The memory speaks for the range only while the lease runs.
    if matches!(begin, BeginDecision::Run(_) | BeginDecision::FromFuture)
        && slot.is_lease_valid(lease.epoch)
    {
        call.note_fresh();
    }
    let step = match begin {
        BeginDecision::Run(attempt) => return Ok(attempt),
        BeginDecision::HandedOver => Step::Elsewhere,
        BeginDecision::Recorded(recorded) => Step::Answer(record::replay(&recorded, call.id)),
        begin => Step::Refuse(refusal(&begin)),
    };
    Err(Box::new(step))
}

/// Returns the answer to a request that the memory does not let run.
fn refusal(begin: &BeginDecision) -> Refusal {
    match begin {
        BeginDecision::StillRunning => Refusal {
            reason: Reason::StillRunning,
            outcome: Outcome::Running,
            retry_after: Some(RUNNING_RETRY_MS),
        },
        BeginDecision::NotCovered => Refusal::unknown(Reason::TooOld),
        BeginDecision::FromFuture => Refusal::not_run(Reason::KeyFromFuture),
        BeginDecision::Mismatch => Refusal::unknown(Reason::KeyReused),
        BeginDecision::Full => Refusal::not_run(Reason::Overload).after(RUNNING_RETRY_MS),
        _ => Refusal::unknown(Reason::Lost),
    }
}

fn demand(call: &Call) -> SlotRequest {
    SlotRequest { caller: call.caller, priority: call.priority, deadline: call.deadline }
}

fn overload(denied: SlotRefusal) -> Refusal {
    let reason = match denied.reason {
        queue::RefusalReason::Deadline
        | queue::RefusalReason::Full
        | queue::RefusalReason::Shed => Reason::Overload,
    };
    Refusal::not_run(reason).after(denied.retry_after)
}

async fn send(
    router: &Router,
    call: &Call,
    service: &ServiceTable,
    lease: &Lease,
    slot: &RangeRoute,
) -> Sent {
    let flight = match Flight::admit(call, service, &lease.upstream_queue).await {
        Ok(flight) => flight,
        Err(refusal) => return Sent::Refused(refusal),
    };
    let Some(req) = upstream_request(call, lease, slot) else {
        return Sent::Refused(Refusal::not_run(Reason::BadRequest));
    };
    let deadline = Instant::now() + call.left().duration();
    let runs = || slot.is_lease_valid(lease.epoch);
    let sending = router.upstreams.send_if_allowed(
        lease.upstream_queue.addr,
        req,
        CONNECT_TIMEOUT_MS,
        deadline,
        runs,
    );
    let sent = async { Some(sending.await) };
    let withdrawn = async {
        slot.wait_until_not_served_by(&lease.upstream_queue).await;
        None
    };
    let Some(sent) = sent.or(withdrawn).await else { return Sent::Unknown };
    match sent {
        Ok(res) => sort_answer(router, lease, flight.watch(res)),
        Err(FailedSend { error: SendError::NotSent(reason), .. }) => {
            not_sent(router, lease, &reason)
        }
        Err(FailedSend { error: SendError::Unknown(reason), .. }) => {
            if matches!(reason, ResponseLost::Closed(_)) {
                flight.broke(&router.upstreams, lease.upstream_queue.addr).await;
            }
            failed(router, lease);
            Sent::Unknown
        }
    }
}

fn not_sent(router: &Router, lease: &Lease, reason: &NotSent) -> Sent {
    match reason {
        NotSent::NotAllowed => Sent::NotRun(Reason::NoHolder),
        NotSent::QueueTimeout | NotSent::Deadline => {
            Sent::Refused(Refusal::not_run(Reason::Deadline).after(RUNNING_RETRY_MS))
        }
        NotSent::Connect(_) | NotSent::ConnectTimeout | NotSent::Closed(_) => {
            failed(router, lease);
            Sent::NotRun(Reason::UpstreamDown)
        }
    }
}

fn failed(router: &Router, lease: &Lease) {
    lease.upstream_queue.record_failure();
    router.report(TrafficReport::UpstreamFailed {
        service: lease.upstream_queue.service.clone(),
        upstream: lease.upstream_queue.upstream.clone(),
    });
}

/// Tells answers of requests that were run from the upstream's refusals.
fn sort_answer(router: &Router, lease: &Lease, res: Response<Body>) -> Sent {
    let refused = res.headers().get(headers::REFUSED).and_then(|value| value.to_str().ok());
    match refused {
        None => Sent::Answered(res),
        Some("token" | "grant") => Sent::NotRun(Reason::NoHolder),
        Some("drain") => {
            lease.upstream_queue.mark_draining();
            router.report(TrafficReport::UpstreamDraining {
                service: lease.upstream_queue.service.clone(),
                upstream: lease.upstream_queue.upstream.clone(),
            });
            Sent::NotRun(Reason::UpstreamDown)
        }
        Some("deadline") => Sent::Refused(Refusal::not_run(Reason::Deadline)),
        Some(_) => Sent::Shed,
    }
}

fn upstream_request(call: &Call, lease: &Lease, slot: &RangeRoute) -> Option<Request<Body>> {
    let mut headers = call.head.headers.clone();
    headers::strip_connection(&mut headers);
    headers::strip_own(&mut headers);
    let mut set = |name: &'static str, value: String| set_header(&mut headers, name, value);
    set(headers::SERVICE, call.target.service.to_string())?;
    set(headers::RANGE, slot.id.index.to_string())?;
    set(headers::KEY, call.target.key.clone())?;
    set(headers::TOKEN, lease.epoch.to_string())?;
    set(headers::REQUEST_ID, call.id.to_string())?;
    set(headers::DEADLINE, call.left().0.to_string())?;
    headers.insert(HOST, HeaderValue::try_from(lease.upstream_queue.addr.to_string()).ok()?);
    let mut req = Request::new(body::full(call.body.clone()));
    *req.method_mut() = call.head.method.clone();
    *req.uri_mut() = call.head.uri.path_and_query()?.as_str().parse().ok()?;
    headers.remove(http::header::CONTENT_LENGTH);
    *req.headers_mut() = headers;
    Some(req)
}

fn set_header(headers: &mut HeaderMap, name: &'static str, value: String) -> Option<()> {
    headers.insert(name, HeaderValue::try_from(value).ok()?);
    Some(())
}

/// Keeps what the request occupies until its answer's body has ended.
fn hold(
    res: Response<Body>,
    kept: (crate::routing_table::InFlightGuard, Permit),
    lease: Arc<Lease>,
) -> Response<Body> {
    let (mut head, body) = res.into_parts();
    headers::strip_connection(&mut head.headers);
    let on_end = Box::new(move |whole| {
        if whole {
            lease.upstream_queue.record_success();
        }
    });
    let kept = Box::new(kept);
    Response::from_parts(head, Held::new(body, kept, on_end).boxed_unsync())
}
