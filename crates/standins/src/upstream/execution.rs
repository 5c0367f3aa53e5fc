//! Handling of a request that is to run on the upstream.

use crate::clock;
use crate::responses::{self, Body, NoResponse};
use crate::shared::Shared;
use crate::upstream::UpstreamSettings;
use crate::upstream::admission::{IncomingRequest, RefusalReason};
use crate::upstream::body::{self, ResponseContent};
use crate::upstream::runs::RequestInfo;
use crate::upstream::state::{self, GrantExpired, RunGuard, State};
use async_io::Timer;
use futures_lite::{FutureExt, StreamExt};
use http::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValue};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use skylarkdock_units::times::Millis;
use std::process;
use std::str::FromStr;

/// Maximum size of a response that has a `content-length`; larger ones use chunked encoding.
const MAX_SIZED_RESPONSE_BYTES: usize = 64 * 1024;
const CRASH_EXIT_CODE: i32 = 134;
const CLOSE: HeaderValue = HeaderValue::from_static("close");

const UPSTREAM_ID: HeaderName = HeaderName::from_static("upstream-id");
const UPSTREAM_KEY: HeaderName = HeaderName::from_static("upstream-key");
const UPSTREAM_REQUEST_ID: HeaderName = HeaderName::from_static("upstream-request-id");
const UPSTREAM_RUN: HeaderName = HeaderName::from_static("upstream-run");
const REFUSED: HeaderName = HeaderName::from_static("skylarkdock-refused");

/// Runs a request, or returns the response that refuses it.
///
/// # Errors
/// Fails when the request body is truncated or the run's grant expires.
pub async fn run(
    settings: &UpstreamSettings,
    state: &Shared<State>,
    req: Request<Incoming>,
) -> Result<Response<Body>, NoResponse> {
    let (parts, body) = req.into_parts();
    let request = parse_request(&parts.headers);
    let work = request.work.clone();
    state::wait_until_thawed(state).await;
    if is_for_other_service(settings, &parts.headers) {
        return Ok(refusal_response(RefusalReason::Grant));
    }
    let guard = match RunGuard::start(state, request) {
        Ok(guard) => guard,
        Err(refusal) => return Ok(refusal_response(refusal)),
    };
    crash_on_match(state, work.key.as_bytes());
    let processing = async {
        let request_bytes = read_body(state, body).await;
        Timer::after(state.with(|state| state.work_time())).await;
        request_bytes
    };
    let grant_expiry = async {
        guard.wait_for_grant_expiry().await;
        Err(NoResponse)
    };
    let processed = processing.or(grant_expiry).await;
    state::wait_until_thawed(state).await;
    let request_bytes = processed?;
    guard.check_grant().map_err(|GrantExpired| NoResponse)?;
    if parts.method == Method::HEAD {
        // The response body, which completes the run otherwise, is never polled for HEAD.
        guard.complete().map_err(|GrantExpired| NoResponse)?;
    }
    Ok(build_response(settings, state, guard, &work, request_bytes))
}

fn parse_request(headers: &HeaderMap) -> IncomingRequest {
    let work = RequestInfo {
        request_id: header_text(headers, "skylarkdock-request-id").to_owned(),
        key: header_text(headers, "skylarkdock-key").to_owned(),
        range: parse_header(headers, "skylarkdock-range"),
        token: parse_header(headers, "skylarkdock-token"),
    };
    let remaining = parse_header(headers, "skylarkdock-deadline-ms").map(Millis);
    IncomingRequest { work, deadline: remaining.map(|remaining| clock::host_now() + remaining) }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

fn parse_header<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    header_text(headers, name).parse().ok()
}

/// Returns whether the request is for another service, whose ranges this upstream's grants do not cover.
fn is_for_other_service(settings: &UpstreamSettings, headers: &HeaderMap) -> bool {
    settings.admission().checks_orders
        && header_text(headers, "skylarkdock-service") != settings.service().as_str()
}

/// Reads the request body and returns its length.
async fn read_body(state: &Shared<State>, body: Incoming) -> Result<u64, NoResponse> {
    let mut stream = BodyDataStream::new(body);
    let mut length = 0;
    let mut window = Vec::new();
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.map_err(|_| NoResponse)?;
        length += chunk.len() as u64;
        window.extend_from_slice(&chunk);
        let pattern_length = crash_on_match(state, &window);
        let overlap = window.len().min(pattern_length.saturating_sub(1));
        window.drain(..window.len() - overlap);
    }
    Ok(length)
}

/// Ends the process when `text` contains the text of the fault `crash_on`; returns the length of that text.
fn crash_on_match(state: &Shared<State>, text: &[u8]) -> usize {
    let crash_on = state.with(|state| state.faults().crash_on.clone());
    let Some(crash_on) = crash_on.filter(|crash_on| !crash_on.is_empty()) else { return 0 };
    let length = crash_on.len();
    if text.windows(length).any(|part| part == crash_on.as_bytes()) {
        eprintln!("request contains {crash_on:?}; exiting because of the fault crash_on");
        process::exit(CRASH_EXIT_CODE);
    }
    length
}

fn build_response(
    settings: &UpstreamSettings,
    state: &Shared<State>,
    guard: RunGuard,
    work: &RequestInfo,
    request_bytes: u64,
) -> Response<Body> {
    let (faults, draining) =
        state.with(|state| (state.choose_response_faults(), state.admission.is_draining()));
    let run = guard.run();
    let content = ResponseContent {
        service: settings.service().as_str(),
        id: settings.id().as_str(),
        key: &work.key,
        request_id: &work.request_id,
        run,
        request_bytes,
    };
    let (body, length) =
        body::response_body(state, guard, &content, settings.answer_bytes(), faults.truncated);
    let mut res = Response::new(body);
    if faults.error {
        *res.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    }
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if length <= MAX_SIZED_RESPONSE_BYTES {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    if draining {
        headers.insert(CONNECTION, CLOSE);
    }
    insert_header(headers, UPSTREAM_ID, settings.id().as_str());
    insert_header(headers, UPSTREAM_KEY, &work.key);
    insert_header(headers, UPSTREAM_REQUEST_ID, &work.request_id);
    headers.insert(UPSTREAM_RUN, HeaderValue::from(run));
    res
}

fn insert_header(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

fn refusal_response(refusal: RefusalReason) -> Response<Body> {
    let mut res = responses::error(refusal.status(), refusal.header_value());
    res.headers_mut().insert(REFUSED, HeaderValue::from_static(refusal.header_value()));
    if refusal == RefusalReason::Drain {
        res.headers_mut().insert(CONNECTION, CLOSE);
    }
    res
}
