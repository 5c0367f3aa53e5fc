//! Sends a request once and reads its answer.

use crate::history::{Answer, AnswerBody, AttemptResult};
use http::header::{HOST, HeaderName, HeaderValue};
use http::{Method, Request, Response, Uri};
use skylarkdock_httppath::body::{self, Body};
use skylarkdock_httppath::pool::{Pool, SendError};
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::requests::RequestId;
use skylarkdock_units::times::Millis;
use std::net::SocketAddr;
use std::time::Instant;

const CONNECT_TIMEOUT_MS: Millis = Millis(500);
const MAX_ANSWER_SIZE: ByteSize = ByteSize(16 * 1024 * 1024);
const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("skylarkdock-deadline-ms");
const OUTCOME_HEADER: HeaderName = HeaderName::from_static("skylarkdock-outcome");

/// A caller's request, which may be sent several times.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// Request id, sent as the idempotency key.
    pub id: RequestId,
    /// Key that the request accesses; the path's second segment.
    pub key: String,
    /// Whether it must run at most once.
    pub once_only: bool,
}

/// Sends the request once to the host at `host_addr` and reads the answer.
pub async fn send(
    pool: &Pool,
    request: &CallerRequest,
    host_addr: SocketAddr,
    timeout: Millis,
) -> AttemptResult {
    let Some(req) = http_request(request, host_addr, timeout) else {
        return AttemptResult::NotSent;
    };
    let deadline = Instant::now() + timeout.duration();
    match pool.send(host_addr, req, CONNECT_TIMEOUT_MS, deadline).await {
        Ok(res) => read_answer(res).await,
        Err(SendError::NotSent(_)) => AttemptResult::NotSent,
        Err(SendError::Unknown(_)) => AttemptResult::Lost,
    }
}

fn http_request(
    request: &CallerRequest,
    host_addr: SocketAddr,
    timeout: Millis,
) -> Option<Request<Body>> {
    let (method, body) = if request.once_only {
        (Method::POST, body::full("resin"))
    } else {
        (Method::GET, body::empty())
    };
    let mut req = Request::new(body);
    *req.method_mut() = method;
    *req.uri_mut() = Uri::try_from(format!("/{}/{}/x", crate::fleet::SERVICE, request.key)).ok()?;
    let headers = req.headers_mut();
    headers.insert(HOST, HeaderValue::try_from(host_addr.to_string()).ok()?);
    headers.insert(IDEMPOTENCY_KEY_HEADER, HeaderValue::try_from(request.id.to_string()).ok()?);
    headers.insert(DEADLINE_HEADER, HeaderValue::from(timeout.0));
    Some(req)
}

async fn read_answer(res: Response<Body>) -> AttemptResult {
    let (head, body) = res.into_parts();
    let outcome = head.headers.get(OUTCOME_HEADER).and_then(|value| value.to_str().ok());
    let outcome = outcome.and_then(|text| text.parse().ok());
    match body::collect(body, MAX_ANSWER_SIZE).await {
        Ok(bytes) => {
            let body: Option<AnswerBody> = serde_json::from_slice(&bytes).ok();
            AttemptResult::Answer(Answer { status: head.status.as_u16(), outcome, body })
        }
        Err(_) => AttemptResult::Truncated,
    }
}
