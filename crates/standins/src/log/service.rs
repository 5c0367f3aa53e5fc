//! HTTP API of the log, with its faults.

use crate::clock;
use crate::log::LogSettings;
use crate::log::faults::{LogFaults, OutageMode};
use crate::log::store::LogStore;
use crate::log::token_bucket::TokenBucket;
use crate::responses::{self, Body, NoResponse, RequestError};
use crate::server;
use crate::shared::Shared;
use async_io::Timer;
use bytes::Bytes;
use http::header::{HeaderValue, RETRY_AFTER};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use skylarkdock_units::{ids, times};
use std::time::Duration;

use ids::Offset;
use times::Millis;

const MAX_READ_RECORDS: usize = 10_000;
const DEFAULT_READ_RECORDS: usize = 500;
const MAX_READ_WAIT_MS: u64 = 60_000;
const MS_PER_SECOND: u64 = 1000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AppendRequest {
    record: String,
}

#[derive(Serialize)]
struct AppendResponse {
    offset: Offset,
}

/// Counters of the log, as returned by `GET /_standin/stats`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogStats {
    /// Records appended.
    pub appends: u64,
    /// Bytes of the records appended.
    pub bytes: u64,
    /// Reads that returned a page.
    pub reads: u64,
    /// Appends refused by the rate limit.
    pub refused: u64,
    /// Appends whose responses were dropped by a fault.
    pub lost_answers: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReadRequest {
    from: Offset,
    max: usize,
}

struct CachedResponse {
    request: ReadRequest,
    bounds: (Offset, Offset),
    text: Bytes,
}

struct State {
    store: LogStore,
    bucket: TokenBucket,
    faults: LogFaults,
    rng: fastrand::Rng,
    stats: LogStats,
    cached_page: Option<CachedResponse>,
}

/// A cloneable handle to the log and its faults.
#[derive(Clone)]
pub struct LogService {
    state: Shared<State>,
}

impl LogService {
    /// Creates an empty log without faults.
    pub fn new(settings: &LogSettings) -> Self {
        let state = State {
            store: LogStore::new(settings.retention),
            bucket: TokenBucket::new(settings.appends_per_second, clock::host_now()),
            faults: LogFaults::default(),
            rng: fastrand::Rng::with_seed(0),
            stats: LogStats::default(),
            cached_page: None,
        };
        Self { state: Shared::new(state) }
    }

    /// Handles an HTTP request to the log.
    ///
    /// # Errors
    /// Fails when a fault closes the connection without a response.
    pub async fn handle(self, req: Request<Incoming>) -> Result<Response<Body>, NoResponse> {
        let path = req.uri().path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::POST, "/append") => self.append(req).await,
            (&Method::GET, "/read") => self.read(req).await,
            (&Method::GET, "/_standin/faults") => {
                Ok(responses::ok(&self.state.with(|state| state.faults.clone())))
            }
            (&Method::PUT, "/_standin/faults") => Ok(self.set_faults(req).await),
            (&Method::GET, "/_standin/stats") => {
                Ok(responses::ok(&self.state.with(|state| state.stats)))
            }
            _ => Ok(responses::not_found()),
        }
    }

    async fn set_faults(&self, req: Request<Incoming>) -> Response<Body> {
        let faults: LogFaults = match responses::read_json(req.into_body()).await {
            Ok(faults) => faults,
            Err(e) => return responses::bad_request(e),
        };
        if let Err(e) = responses::check_share("lose_answers", faults.lose_answers) {
            return responses::bad_request(e);
        }
        self.state.update(|state| {
            state.rng = fastrand::Rng::with_seed(faults.seed);
            state.faults = faults.clone();
        });
        responses::ok(&faults)
    }

    async fn append(&self, req: Request<Incoming>) -> Result<Response<Body>, NoResponse> {
        let request: AppendRequest = match responses::read_json(req.into_body()).await {
            Ok(request) => request,
            Err(e) => return Ok(responses::bad_request(e)),
        };
        if let Some(failure) = self.apply_faults().await? {
            return Ok(failure);
        }
        if let Err(wait) = self.state.with(State::admit_append) {
            return Ok(rate_limited(wait));
        }
        let (offset, lost) = self.state.update(|state| state.append(&request.record));
        if lost { Err(NoResponse) } else { Ok(responses::ok(&AppendResponse { offset })) }
    }

    async fn read(&self, req: Request<Incoming>) -> Result<Response<Body>, NoResponse> {
        let (request, wait) = match parse_read(&req) {
            Ok(request) => request,
            Err(e) => return Ok(responses::bad_request(e)),
        };
        if let Some(failure) = self.apply_faults().await? {
            return Ok(failure);
        }
        let ready = self.state.wait_for(|state| state.is_read_ready(request).then_some(()));
        // After the timeout the page is returned even if it is empty.
        let _ = server::with_timeout(wait, ready).await;
        if let Some(failure) = self.apply_outage().await? {
            return Ok(failure);
        }
        Ok(responses::json_text(StatusCode::OK, self.state.with(|state| state.page(request))))
    }

    async fn apply_faults(&self) -> Result<Option<Response<Body>>, NoResponse> {
        let latency = self.state.with(|state| state.faults.latency_ms);
        if latency > 0 {
            Timer::after(Duration::from_millis(latency)).await;
        }
        self.apply_outage().await
    }

    /// Waits while an outage makes calls hang; returns the response of an outage that makes them fail.
    async fn apply_outage(&self) -> Result<Option<Response<Body>>, NoResponse> {
        let mode = self.state.wait_for(|state| match state.faults.outage_mode {
            _ if !state.faults.outage => Some(None),
            OutageMode::Hang => None,
            mode => Some(Some(mode)),
        });
        match mode.await {
            None => Ok(None),
            Some(OutageMode::Refuse) => Err(NoResponse),
            Some(_) => {
                Ok(Some(responses::error(StatusCode::SERVICE_UNAVAILABLE, "simulated outage")))
            }
        }
    }
}

impl State {
    fn admit_append(&mut self) -> Result<(), Millis> {
        let admitted = self.bucket.try_take(clock::host_now());
        self.stats.refused += u64::from(admitted.is_err());
        admitted
    }

    /// Appends a record; returns its offset and whether a fault drops the response.
    fn append(&mut self, record: &str) -> (Offset, bool) {
        let offset = self.store.append(clock::wall_now(), record);
        self.stats.appends += 1;
        self.stats.bytes += record.len() as u64;
        let lost = self.draws_lost_response();
        self.stats.lost_answers += u64::from(lost);
        (offset, lost)
    }

    fn draws_lost_response(&mut self) -> bool {
        if let Some(left) = self.faults.lose_next_answers.checked_sub(1) {
            self.faults.lose_next_answers = left;
            return true;
        }
        self.rng.f64() < self.faults.lose_answers
    }

    /// Returns whether a waiting read can return: there are new records, or an outage ends the wait.
    fn is_read_ready(&self, request: ReadRequest) -> bool {
        self.faults.outage || self.store.next() > request.from
    }

    fn page(&mut self, request: ReadRequest) -> Bytes {
        self.stats.reads += 1;
        let bounds = self.store.bounds(clock::wall_now());
        let is_same_read = |cached_page: &&CachedResponse| {
            cached_page.request == request && cached_page.bounds == bounds
        };
        if let Some(cached_page) = self.cached_page.as_ref().filter(is_same_read) {
            return cached_page.text.clone();
        }
        let page = self.store.read(request.from, request.max);
        let text = Bytes::from(serde_json::to_vec(&page).unwrap_or_default());
        self.cached_page = Some(CachedResponse { request, bounds, text: text.clone() });
        text
    }
}

fn parse_read(req: &Request<Incoming>) -> Result<(ReadRequest, Duration), RequestError> {
    let from = responses::parameter(req, "from")?.unwrap_or(Offset(1));
    let max =
        responses::parameter(req, "max")?.unwrap_or(DEFAULT_READ_RECORDS).min(MAX_READ_RECORDS);
    let wait_ms: u64 = responses::parameter(req, "wait_ms")?.unwrap_or(0);
    Ok((ReadRequest { from, max }, Duration::from_millis(wait_ms.min(MAX_READ_WAIT_MS))))
}

fn rate_limited(wait: Millis) -> Response<Body> {
    let mut res = responses::error(StatusCode::TOO_MANY_REQUESTS, "append rate limit exceeded");
    let seconds = wait.0.div_ceil(MS_PER_SECOND).max(1);
    res.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    res
}
