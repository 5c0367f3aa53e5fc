//! Forwards a request to the host that holds the lease of its key's range. A forwarded request is not forwarded again.

use crate::proxy::dispatch::{self, AttemptResult};
use crate::proxy::refusal::{Reason, Refusal};
use crate::proxy::request::ProxyRequest;
use crate::proxy::router::Router;
use crate::proxy::{forward_headers, headers};
use crate::routing_table::{RangeRoute, ServiceTable};
use async_io::Timer;
use futures_lite::FutureExt;
use http::header::{CONTENT_LENGTH, HOST, HeaderValue};
use http::{Request, Response, StatusCode};
use skylarkdock_httppath::body::{self, Body};
use skylarkdock_httppath::pool::SendError;
use skylarkdock_records::service::Class;
use skylarkdock_units::ids::Member;
use skylarkdock_units::times::Millis;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Instant;

/// Path prefix of the endpoint that returns whether a host holds a range.
pub const HOLDS_PATH: &str = "/_holds/";

const CONNECT_TIMEOUT_MS: Millis = Millis(200);
/// Time without a response after which the other members are tried too.
const SLOW_RESPONSE_MS: Millis = Millis(250);
const LOST_RETRY_AFTER_MS: Millis = Millis(1_000);

/// Result of forwarding to one member.
enum ForwardResult {
    /// The holder's response.
    Answered(Response<Body>),
    /// The member does not hold the range, or the request was not sent.
    NotHeld,
    /// The connection was lost, and the request may have been run.
    Lost,
}

/// Tries the members of the range's lease in turn until one responds or may have run the request.
pub async fn forward(
    router: &Arc<Router>,
    request: &ProxyRequest,
    service: &ServiceTable,
    route: &RangeRoute,
) -> AttemptResult {
    for member in router.candidates(route) {
        match forward_or_hedge(router, request, route, &member).await {
            ForwardResult::Answered(res) => return AttemptResult::Answer(res),
            ForwardResult::NotHeld => {}
            ForwardResult::Lost if request.class == Class::Repeatable => {
                return dispatch::retry(request, service);
            }
            ForwardResult::Lost => {
                let refusal = Refusal::unknown(Reason::Lost).with_retry_after(LOST_RETRY_AFTER_MS);
                return AttemptResult::Refuse(refusal);
            }
        }
    }
    AttemptResult::NotHeld
}

/// Forwards to one member. While it does not respond in time, tries the other members as well: if another one holds the
/// range, a repeatable request gets its response from there, and a once-only request counts as lost.
async fn forward_or_hedge(
    router: &Arc<Router>,
    request: &ProxyRequest,
    route: &RangeRoute,
    member: &Member,
) -> ForwardResult {
    let mut first = pin!(forward_to(router, request, route, member));
    loop {
        let answered = async { Some(first.as_mut().await) };
        let slow = async {
            Timer::after(SLOW_RESPONSE_MS.duration()).await;
            None
        };
        if let Some(result) = answered.or(slow).await {
            router.set_slow(&member.host, false);
            return result;
        }
        router.set_slow(&member.host, true);
        for other in router.candidates(route).iter().filter(|other| *other != member) {
            if request.class == Class::Repeatable {
                if let ForwardResult::Answered(res) =
                    forward_to(router, request, route, other).await
                {
                    return ForwardResult::Answered(res);
                }
            } else if holds(router, route, other).await {
                return ForwardResult::Lost;
            }
        }
    }
}

/// Returns whether a response says that the host does not hold the range. An upstream's own response with the same
/// status has the outcome "done".
fn is_not_holder(res: &Response<Body>) -> bool {
    let is_done = res.headers().get(headers::OUTCOME).is_some_and(|outcome| outcome == "done");
    res.status() == StatusCode::MISDIRECTED_REQUEST && !is_done
}

/// Returns whether a host that does not hold the range any more may have run a repeatable request before. One that refuses a
/// request before it is read names no request id, and the outcome of one that runs at most once is unknown on all hosts that
/// lack the range's deduplication memory.
fn may_have_run(request: &ProxyRequest, res: &Response<Body>) -> bool {
    let is_unknown = res.headers().get(headers::OUTCOME).is_some_and(|found| found == "unknown");
    request.class == Class::Repeatable
        && is_unknown
        && res.headers().contains_key(headers::REQUEST_ID)
}

/// Queries another host whether it holds a range.
async fn holds(router: &Router, route: &RangeRoute, member: &Member) -> bool {
    let Some(addr) = router.table.load().hosts.get(&member.host).copied() else { return false };
    let mut req = Request::new(body::empty());
    let Ok(uri) = format!("{HOLDS_PATH}{}", route.id).parse() else { return false };
    *req.uri_mut() = uri;
    let Ok(host) = HeaderValue::try_from(addr.to_string()) else { return false };
    req.headers_mut().insert(HOST, host);
    let deadline = Instant::now() + CONNECT_TIMEOUT_MS.duration();
    let sent = router.hosts.send(addr, req, CONNECT_TIMEOUT_MS, deadline).await;
    sent.is_ok_and(|res| res.status() == StatusCode::NO_CONTENT)
}

async fn forward_to(
    router: &Router,
    request: &ProxyRequest,
    route: &RangeRoute,
    member: &Member,
) -> ForwardResult {
    let Some(addr) = router.table.load().hosts.get(&member.host).copied() else {
        return ForwardResult::NotHeld;
    };
    let Some(req) = forwarded_request(router, request, addr, member) else {
        return ForwardResult::NotHeld;
    };
    let deadline = Instant::now() + request.time_left().duration();
    match router.hosts.send(addr, req, CONNECT_TIMEOUT_MS, deadline).await {
        Ok(res) if is_not_holder(&res) => {
            if may_have_run(request, &res) {
                request.record_lost_attempt();
            }
            ForwardResult::NotHeld
        }
        Ok(res) if !res.headers().contains_key(headers::OUTCOME) => ForwardResult::Lost,
        Ok(mut res) => {
            route.record_holder(member);
            headers::strip_hop_by_hop(res.headers_mut());
            ForwardResult::Answered(res)
        }
        Err(SendError::NotSent(_)) => ForwardResult::NotHeld,
        Err(SendError::Unknown(_)) => ForwardResult::Lost,
    }
}

fn forwarded_request(
    router: &Router,
    request: &ProxyRequest,
    addr: SocketAddr,
    to: &Member,
) -> Option<Request<Body>> {
    let mut headers = request.head.headers.clone();
    headers::strip_hop_by_hop(&mut headers);
    headers::strip_router_headers(&mut headers);
    headers::strip_host(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers.insert(HOST, HeaderValue::try_from(addr.to_string()).ok()?);
    headers.insert(headers::HOP, HeaderValue::try_from(router.me.host.as_str()).ok()?);
    headers.insert(headers::TO, HeaderValue::try_from(to.host.as_str()).ok()?);
    let digest = forward_headers::digest(&request.head.method, &request.body);
    headers.insert(headers::DIGEST, HeaderValue::try_from(digest).ok()?);
    headers.insert(headers::REQUEST_ID, HeaderValue::try_from(request.id.to_string()).ok()?);
    headers.insert(headers::DEADLINE, HeaderValue::from(request.time_left().0));
    headers.insert(headers::CALLER, HeaderValue::from(request.caller.0));
    if request.minted {
        headers.insert(headers::MINTED, HeaderValue::from_static("1"));
    }
    let mut req = Request::new(body::full(request.body.clone()));
    *req.method_mut() = request.head.method.clone();
    *req.uri_mut() = request.head.uri.path_and_query()?.as_str().parse().ok()?;
    forward_headers::sign(&mut headers, req.uri(), &router.secret);
    *req.headers_mut() = headers;
    Some(req)
}
