//! The log's calls.

use crate::clock;
use crate::log::LogSettings;
use crate::log::bucket::TokenBucket;
use crate::log::faults::{LogFaults, OutageMode};
use crate::log::store::LogStore;
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

const MAX_READ: usize = 10_000;
const DEFAULT_READ: usize = 500;
const MAX_WAIT_MS: u64 = 60_000;
const MS_PER_SECOND: u64 = 1000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AppendCall {
    record: String,
}

#[derive(Serialize)]
struct AppendAnswer {
    offset: Offset,
}

/// What the log has done.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogStats {
    /// Records appended.
    pub appends: u64,
    /// Bytes of their texts.
    pub bytes: u64,
    /// Reads answered.
    pub reads: u64,
    /// Appends refused above the rate.
    pub refused: u64,
    /// Appends whose responses were lost.
    pub lost_answers: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ReadCall {
    from: Offset,
    max: usize,
}

struct CachedPage {
    call: ReadCall,
    bounds: (Offset, Offset),
    text: Bytes,
}

struct State {
    store: LogStore,
    bucket: TokenBucket,
    faults: LogFaults,
    choice: fastrand::Rng,
    stats: LogStats,
    cached: Option<CachedPage>,
}

/// The log and its faults.
#[derive(Clone)]
pub struct LogService {
    state: Shared<State>,
}

impl LogService {
    /// Starts with an empty log.
    pub fn new(settings: &LogSettings) -> Self {
        let state = State {
            store: LogStore::new(settings.retention),
            bucket: TokenBucket::new(settings.appends_per_second, clock::host_now()),
            faults: LogFaults::default(),
            choice: fastrand::Rng::with_seed(0),
            stats: LogStats::default(),
            cached: None,
        };
        Self { state: Shared::new(state) }
    }

    /// Answers a call.
    ///
    /// # Errors
    /// Fails when the connection is to close without an answer.
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
            state.choice = fastrand::Rng::with_seed(faults.seed);
            state.faults = faults.clone();
        });
        responses::ok(&faults)
    }

    async fn append(&self, req: Request<Incoming>) -> Result<Response<Body>, NoResponse> {
        let call: AppendCall = match responses::read_json(req.into_body()).await {
            Ok(call) => call,
            Err(e) => return Ok(responses::bad_request(e)),
        };
        if let Some(failed) = self.pass_faults().await? {
            return Ok(failed);
        }
        if let Err(wait) = self.state.with(State::take_append) {
            return Ok(too_many(wait));
        }
        let (offset, lost) = self.state.update(|state| state.append(&call.record));
        if lost { Err(NoResponse) } else { Ok(responses::ok(&AppendAnswer { offset })) }
    }

    async fn read(&self, req: Request<Incoming>) -> Result<Response<Body>, NoResponse> {
        let (call, wait) = match read_call(&req) {
            Ok(call) => call,
            Err(e) => return Ok(responses::bad_request(e)),
        };
        if let Some(failed) = self.pass_faults().await? {
            return Ok(failed);
        }
        let something = self.state.wait_for(|state| state.has_news(call).then_some(()));
        // Nothing new within the wait is answered with an empty page.
        let _ = server::with_timeout(wait, something).await;
        if let Some(failed) = self.pass_outage().await? {
            return Ok(failed);
        }
        Ok(responses::json_text(StatusCode::OK, self.state.with(|state| state.page(call))))
    }

    async fn pass_faults(&self) -> Result<Option<Response<Body>>, NoResponse> {
        let latency = self.state.with(|state| state.faults.latency_ms);
        if latency > 0 {
            Timer::after(Duration::from_millis(latency)).await;
        }
        self.pass_outage().await
    }

    /// Waits for the end of an outage in which calls hang; in others returns the answer.
    async fn pass_outage(&self) -> Result<Option<Response<Body>>, NoResponse> {
        let mode = self.state.wait_for(|state| match state.faults.outage_mode {
            _ if !state.faults.outage => Some(None),
            OutageMode::Hang => None,
            mode => Some(Some(mode)),
        });
        match mode.await {
            None => Ok(None),
            Some(OutageMode::Refuse) => Err(NoResponse),
            Some(_) => Ok(Some(responses::error(StatusCode::SERVICE_UNAVAILABLE, "outage"))),
        }
    }
}

impl State {
    fn take_append(&mut self) -> Result<(), Millis> {
        let taken = self.bucket.take(clock::host_now());
        self.stats.refused += u64::from(taken.is_err());
        taken
    }

    /// Appends and returns whether the answer is to be lost.
    fn append(&mut self, record: &str) -> (Offset, bool) {
        let offset = self.store.append(clock::wall_now(), record);
        self.stats.appends += 1;
        self.stats.bytes += record.len() as u64;
        let lost = self.loses_answer();
        self.stats.lost_answers += u64::from(lost);
        (offset, lost)
    }

    fn loses_answer(&mut self) -> bool {
        if let Some(left) = self.faults.lose_next_answers.checked_sub(1) {
            self.faults.lose_next_answers = left;
            return true;
        }
        self.choice.f64() < self.faults.lose_answers
    }

    /// Returns whether a waiting read is to be answered.
    fn has_news(&self, call: ReadCall) -> bool {
        self.faults.outage || self.store.next() > call.from
    }

    fn page(&mut self, call: ReadCall) -> Bytes {
        self.stats.reads += 1;
        let bounds = self.store.bounds(clock::wall_now());
        let same = |cached: &&CachedPage| cached.call == call && cached.bounds == bounds;
        if let Some(cached) = self.cached.as_ref().filter(same) {
            return cached.text.clone();
        }
        let page = self.store.read(call.from, call.max);
        let text = Bytes::from(serde_json::to_vec(&page).unwrap_or_default());
        self.cached = Some(CachedPage { call, bounds, text: text.clone() });
        text
    }
}

fn read_call(req: &Request<Incoming>) -> Result<(ReadCall, Duration), RequestError> {
    let from = responses::parameter(req, "from")?.unwrap_or(Offset(1));
    let max = responses::parameter(req, "max")?.unwrap_or(DEFAULT_READ).min(MAX_READ);
    let wait_ms: u64 = responses::parameter(req, "wait_ms")?.unwrap_or(0);
    Ok((ReadCall { from, max }, Duration::from_millis(wait_ms.min(MAX_WAIT_MS))))
}

fn too_many(wait: Millis) -> Response<Body> {
    let mut res = responses::error(StatusCode::TOO_MANY_REQUESTS, "too many appends");
    let seconds = wait.0.div_ceil(MS_PER_SECOND).max(1);
    res.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    res
}
