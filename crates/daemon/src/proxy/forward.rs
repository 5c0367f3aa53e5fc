//! Forwards a request to the host that holds its key's range: one hop, never a second.

use crate::proxy::answer::{Reason, Refusal};
use crate::proxy::dispatch::{self, Step};
use crate::proxy::request::Call;
use crate::proxy::router::Router;
use crate::proxy::{headers, hop};
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

/// Path behind which a host tells whether it holds a range.
pub const HOLDS_PATH: &str = "/_holds/";

const CONNECT_TIMEOUT_MS: Millis = Millis(200);
/// Time without an answer after which the other members are asked too.
const SLOW_MS: Millis = Millis(250);
const LOST_RETRY_MS: Millis = Millis(1_000);

/// How forwarding to one member ended.
enum Hop {
    /// The holder's answer.
    Answered(Response<Body>),
    /// That member does not hold the range, or nothing was sent.
    Elsewhere,
    /// It may have been run.
    Lost,
}

/// Asks the members of the range's lease in turn.
pub async fn attempt(
    router: &Arc<Router>,
    call: &Call,
    service: &ServiceTable,
    slot: &RangeRoute,
) -> Step {
    for member in router.candidates(slot) {
        match hop_or_overtake(router, call, slot, &member).await {
            Hop::Answered(res) => return Step::Answer(res),
            Hop::Elsewhere => {}
            Hop::Lost if call.class == Class::Repeatable => return dispatch::retry(call, service),
            Hop::Lost => {
                let refusal = Refusal::unknown(Reason::Lost).after(LOST_RETRY_MS);
                return Step::Refuse(refusal);
            }
        }
    }
    Step::Elsewhere
}

/// Forwards to one member. When it is slow to answer and another member turns out to hold the range,
/// a repeatable request is answered by that one, and a once-only request counts as lost.
async fn hop_or_overtake(
    router: &Arc<Router>,
    call: &Call,
    slot: &RangeRoute,
    member: &Member,
) -> Hop {
    let mut first = pin!(hop(router, call, slot, member));
    loop {
        let answered = async { Some(first.as_mut().await) };
        let slow = async {
            Timer::after(SLOW_MS.duration()).await;
            None
        };
        if let Some(hop) = answered.or(slow).await {
            router.note_slow(&member.host, false);
            return hop;
        }
        router.note_slow(&member.host, true);
        for other in router.candidates(slot).iter().filter(|other| *other != member) {
            if call.class == Class::Repeatable {
                if let Hop::Answered(res) = hop(router, call, slot, other).await {
                    return Hop::Answered(res);
                }
            } else if holds(router, slot, other).await {
                return Hop::Lost;
            }
        }
    }
}

/// Tells whether a host answered that it does not hold the range. An upstream's own answer of that
/// status is marked as done.
fn is_not_holder(res: &Response<Body>) -> bool {
    let done = res.headers().get(headers::OUTCOME).is_some_and(|word| word == "done");
    res.status() == StatusCode::MISDIRECTED_REQUEST && !done
}

/// Asks a host whether it holds a range.
async fn holds(router: &Router, slot: &RangeRoute, member: &Member) -> bool {
    let Some(addr) = router.table.load().hosts.get(&member.host).copied() else { return false };
    let mut req = Request::new(body::empty());
    let Ok(uri) = format!("{HOLDS_PATH}{}", slot.id).parse() else { return false };
    *req.uri_mut() = uri;
    let Ok(host) = HeaderValue::try_from(addr.to_string()) else { return false };
    req.headers_mut().insert(HOST, host);
    let deadline = Instant::now() + CONNECT_TIMEOUT_MS.duration();
    let sent = router.hosts.send(addr, req, CONNECT_TIMEOUT_MS, deadline).await;
    sent.is_ok_and(|res| res.status() == StatusCode::NO_CONTENT)
}

async fn hop(router: &Router, call: &Call, slot: &RangeRoute, member: &Member) -> Hop {
    let Some(addr) = router.table.load().hosts.get(&member.host).copied() else {
        return Hop::Elsewhere;
    };
    let Some(req) = hop_request(router, call, addr, member) else { return Hop::Elsewhere };
    let deadline = Instant::now() + call.left().duration();
    match router.hosts.send(addr, req, CONNECT_TIMEOUT_MS, deadline).await {
        Ok(res) if is_not_holder(&res) => Hop::Elsewhere,
        Ok(res) if !res.headers().contains_key(headers::OUTCOME) => Hop::Lost,
        Ok(mut res) => {
            slot.record_holder(member);
            headers::strip_connection(res.headers_mut());
            Hop::Answered(res)
        }
        Err(SendError::NotSent(_)) => Hop::Elsewhere,
        Err(SendError::Unknown(_)) => Hop::Lost,
    }
}

fn hop_request(
    router: &Router,
    call: &Call,
    addr: SocketAddr,
    to: &Member,
) -> Option<Request<Body>> {
    let mut headers = call.head.headers.clone();
    headers::strip_connection(&mut headers);
    headers::strip_own(&mut headers);
    headers::strip_host(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers.insert(HOST, HeaderValue::try_from(addr.to_string()).ok()?);
    headers.insert(headers::HOP, HeaderValue::try_from(router.me.host.as_str()).ok()?);
    headers.insert(headers::TO, HeaderValue::try_from(to.host.as_str()).ok()?);
    let digest = hop::digest(&call.head.method, &call.body);
    headers.insert(headers::DIGEST, HeaderValue::try_from(digest).ok()?);
    headers.insert(headers::REQUEST_ID, HeaderValue::try_from(call.id.to_string()).ok()?);
    headers.insert(headers::DEADLINE, HeaderValue::from(call.left().0));
    headers.insert(headers::CALLER, HeaderValue::from(call.caller.0));
    if call.minted {
        headers.insert(headers::MINTED, HeaderValue::from_static("1"));
    }
    let mut req = Request::new(body::full(call.body.clone()));
    *req.method_mut() = call.head.method.clone();
    *req.uri_mut() = call.head.uri.path_and_query()?.as_str().parse().ok()?;
    hop::sign(&mut headers, req.uri(), &router.secret);
    *req.headers_mut() = headers;
    Some(req)
}
