//! What every request of a run shares: connections, request parts and the clock.

use crate::plan::PlannedRequest;
use crate::settings::Settings;
use bytes::Bytes;
use http::header::{HOST, HeaderName, HeaderValue};
use http::uri::InvalidUri;
use http::{Method, Request, Uri};
use skylarkdock_httppath::body::{self, Body};
use skylarkdock_httppath::executor::Executor;
use skylarkdock_httppath::pool::Pool;
use skylarkdock_units::times::{Millis, WallTime};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const DEADLINE: HeaderName = HeaderName::from_static("skylarkdock-deadline-ms");
const SERVICE: HeaderName = HeaderName::from_static("skylarkdock-service");
const KEY: HeaderName = HeaderName::from_static("skylarkdock-key");
const REQUEST_ID: HeaderName = HeaderName::from_static("skylarkdock-request-id");
const KEY_PLACEHOLDER: &str = "{key}";
const BODY_BYTE: u8 = b'x';

pub(crate) struct Target {
    pub(crate) addr: SocketAddr,
    host: HeaderValue,
}

pub(crate) struct Client {
    pub(crate) pool: Pool,
    pub(crate) targets: Vec<Target>,
    pub(crate) timeout: Millis,
    pub(crate) clock: Clock,
    method: Method,
    path_template: String,
    payload: Bytes,
    deadline: HeaderValue,
    direct: Option<HeaderValue>,
}

impl Client {
    pub(crate) fn new(settings: &Settings, executor: &Executor) -> Self {
        let per_target = settings.connections.div_ceil(settings.targets.len());
        let pool =
            Pool::builder(executor.clone()).max_open(per_target).max_idle(per_target).build();
        let payload_len = usize::try_from(settings.body_size.0).unwrap_or(usize::MAX);
        Self {
            pool,
            targets: settings.targets.iter().copied().map(Target::new).collect(),
            timeout: settings.timeout,
            clock: Clock::start(),
            method: settings.method.clone(),
            path_template: settings.path_template.clone(),
            payload: vec![BODY_BYTE; payload_len].into(),
            deadline: HeaderValue::from(settings.timeout.0),
            direct: settings.direct.as_ref().map(|service| value(service.as_str())),
        }
    }

    pub(crate) fn request(
        &self,
        planned: &PlannedRequest,
        target: &Target,
    ) -> Result<Request<Body>, InvalidUri> {
        let path = self.path_template.replace(KEY_PLACEHOLDER, &planned.key);
        let method = if planned.once_only { Method::POST } else { self.method.clone() };
        let body =
            if method == Method::GET { body::empty() } else { body::full(self.payload.clone()) };
        let mut req = Request::new(body);
        *req.method_mut() = method;
        *req.uri_mut() = Uri::try_from(path)?;
        let headers = req.headers_mut();
        headers.insert(HOST, target.host.clone());
        headers.insert(DEADLINE, self.deadline.clone());
        if planned.once_only {
            headers.insert(IDEMPOTENCY_KEY, value(&planned.id.to_string()));
        }
        if let Some(service) = &self.direct {
            headers.insert(SERVICE, service.clone());
            headers.insert(KEY, value(&planned.key));
            headers.insert(REQUEST_ID, value(&planned.id.to_string()));
        }
        Ok(req)
    }

    /// Returns the target of the given attempt of the request with number `index`.
    pub(crate) fn target(&self, index: u64, attempt: u32) -> &Target {
        let turn = index.wrapping_add(u64::from(attempt) - 1);
        &self.targets[(turn % self.targets.len() as u64) as usize]
    }
}

impl Target {
    fn new(addr: SocketAddr) -> Self {
        Self { addr, host: value(&addr.to_string()) }
    }
}

/// Turns printable ASCII, of which ids, keys and addresses consist, into a header's value.
fn value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// The wall clock at the start of a run, and the time since then, which never goes back.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    pub(crate) start: Instant,
    wall: Duration,
}

impl Clock {
    fn start() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), wall }
    }

    pub(crate) fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    pub(crate) fn wall(&self, elapsed: Duration) -> WallTime {
        WallTime(u64::try_from((self.wall + elapsed).as_millis()).unwrap_or(u64::MAX))
    }

    pub(crate) fn wall_us(&self, elapsed: Duration) -> u64 {
        u64::try_from((self.wall + elapsed).as_micros()).unwrap_or(u64::MAX)
    }
}
