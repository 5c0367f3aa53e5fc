//! Running one request.

use crate::clock;
use crate::responses::{self, Body, NoResponse};
use crate::shared::Shared;
use crate::upstream::UpstreamSettings;
use crate::upstream::body::{self, Content};
use crate::upstream::desk::{Arrival, Refused};
use crate::upstream::runs::Work;
use crate::upstream::state::{self, Lapsed, RunGuard, State};
use async_io::Timer;
use futures_lite::{FutureExt, StreamExt};
use http::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValue};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use skylarkdock_units::times::Millis;
use std::process;
use std::str::FromStr;

/// Largest answer that is sent with its length; larger ones are sent in chunks.
const MAX_SIZED_BYTES: usize = 64 * 1024;
const CRASH_CODE: i32 = 134;
const CLOSE: HeaderValue = HeaderValue::from_static("close");

const UPSTREAM_ID: HeaderName = HeaderName::from_static("upstream-id");
const UPSTREAM_KEY: HeaderName = HeaderName::from_static("upstream-key");
const UPSTREAM_REQUEST_ID: HeaderName = HeaderName::from_static("upstream-request-id");
const UPSTREAM_RUN: HeaderName = HeaderName::from_static("upstream-run");
const REFUSED: HeaderName = HeaderName::from_static("skylarkdock-refused");

/// Runs a request or refuses it.
///
/// # Errors
/// Fails when the request's body is cut short.
pub async fn run(
    settings: &UpstreamSettings,
    state: &Shared<State>,
    req: Request<Incoming>,
) -> Result<Response<Body>, NoResponse> {
    let (parts, received) = req.into_parts();
    let arrival = arrival(&parts.headers);
    let work = arrival.work.clone();
    state::thawed(state).await;
    if misdirected(settings, &parts.headers) {
        return Ok(refuse(Refused::Grant));
    }
    let guard = match RunGuard::start(state, arrival) {
        Ok(guard) => guard,
        Err(refused) => return Ok(refuse(refused)),
    };
    crash_if_told(state, work.key.as_bytes());
    let working = async {
        let request_bytes = receive(state, received).await;
        Timer::after(state.with(|state| state.work_time())).await;
        request_bytes
    };
    let abandoned = async {
        guard.lapsed().await;
        Err(NoResponse)
    };
    let worked = working.or(abandoned).await;
    state::thawed(state).await;
    let request_bytes = worked?;
    guard.check().map_err(|Lapsed| NoResponse)?;
    if parts.method == Method::HEAD {
        // The body is never asked for.
        guard.complete().map_err(|Lapsed| NoResponse)?;
    }
    Ok(answer(settings, state, guard, &work, request_bytes))
}

fn arrival(headers: &HeaderMap) -> Arrival {
    let work = Work {
        request_id: text(headers, "skylarkdock-request-id").to_owned(),
        key: text(headers, "skylarkdock-key").to_owned(),
        range: parsed(headers, "skylarkdock-range"),
        token: parsed(headers, "skylarkdock-token"),
    };
    let left = parsed(headers, "skylarkdock-deadline-ms").map(Millis);
    Arrival { work, deadline: left.map(|left| clock::host_now() + left) }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

fn parsed<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    text(headers, name).parse().ok()
}

/// Returns whether the request is for another service, whose ranges no grant here covers.
fn misdirected(settings: &UpstreamSettings, headers: &HeaderMap) -> bool {
    settings.desk().checks_orders
        && text(headers, "skylarkdock-service") != settings.service().as_str()
}

/// Reads the request's body and returns its length.
async fn receive(state: &Shared<State>, body: Incoming) -> Result<u64, NoResponse> {
    let mut stream = BodyDataStream::new(body);
    let mut length = 0;
    let mut window = Vec::new();
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.map_err(|_| NoResponse)?;
        length += chunk.len() as u64;
        window.extend_from_slice(&chunk);
        let searched = crash_if_told(state, &window);
        let kept = window.len().min(searched.saturating_sub(1));
        window.drain(..window.len() - kept);
    }
    Ok(length)
}

/// Ends the process when `text` holds the text that crashes it; returns the length of that text.
fn crash_if_told(state: &Shared<State>, text: &[u8]) -> usize {
    let crash_on = state.with(|state| state.faults().crash_on.clone());
    let Some(crash_on) = crash_on.filter(|crash_on| !crash_on.is_empty()) else { return 0 };
    let length = crash_on.len();
    if text.windows(length).any(|part| part == crash_on.as_bytes()) {
        eprintln!("crashes on {crash_on:?}");
        process::exit(CRASH_CODE);
    }
    length
}

fn answer(
    settings: &UpstreamSettings,
    state: &Shared<State>,
    guard: RunGuard,
    work: &Work,
    request_bytes: u64,
) -> Response<Body> {
    let (spoiled, draining) = state.with(|state| (state.spoil(), state.desk.is_draining()));
    let run = guard.run();
    let content = Content {
        service: settings.service().as_str(),
        id: settings.id().as_str(),
        key: &work.key,
        request_id: &work.request_id,
        run,
        request_bytes,
    };
    let (body, length) = body::answer(state, guard, &content, settings.answer_bytes(), spoiled.cut);
    let mut res = Response::new(body);
    if spoiled.error {
        *res.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    }
    let headers = res.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if length <= MAX_SIZED_BYTES {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    if draining {
        headers.insert(CONNECTION, CLOSE);
    }
    insert(headers, UPSTREAM_ID, settings.id().as_str());
    insert(headers, UPSTREAM_KEY, &work.key);
    insert(headers, UPSTREAM_REQUEST_ID, &work.request_id);
    headers.insert(UPSTREAM_RUN, HeaderValue::from(run));
    res
}

fn insert(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

fn refuse(refused: Refused) -> Response<Body> {
    let mut res = responses::error(refused.status(), refused.word());
    res.headers_mut().insert(REFUSED, HeaderValue::from_static(refused.word()));
    if refused == Refused::Drain {
        res.headers_mut().insert(CONNECTION, CLOSE);
    }
    res
}
