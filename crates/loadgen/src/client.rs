//! HTTP client of a run: builds requests, chooses targets, and holds the connection pool and the clock.

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
const PAYLOAD_FILL_BYTE: u8 = b'x';

pub(crate) struct Target {
    pub(crate) addr: SocketAddr,
    host_header: HeaderValue,
}

pub(crate) struct Client {
    pub(crate) pool: Pool,
    pub(crate) targets: Vec<Target>,
    pub(crate) timeout: Millis,
    pub(crate) clock: Clock,
    method: Method,
    path_template: String,
    payload: Bytes,
    deadline_header: HeaderValue,
    /// Value of the service header. Set when requests go straight to an upstream, without a router.
    direct_service: Option<HeaderValue>,
}

impl Client {
    pub(crate) fn new(settings: &Settings, executor: &Executor) -> Self {
        let connections_per_target = settings.connections.div_ceil(settings.targets.len());
        let pool = Pool::builder(executor.clone())
            .max_open(connections_per_target)
            .max_idle(connections_per_target)
            .build();
        let payload_len = usize::try_from(settings.body_size.0).unwrap_or(usize::MAX);
        Self {
            pool,
            targets: settings.targets.iter().copied().map(Target::new).collect(),
            timeout: settings.timeout,
            clock: Clock::start(),
            method: settings.method.clone(),
            path_template: settings.path_template.clone(),
            payload: vec![PAYLOAD_FILL_BYTE; payload_len].into(),
            deadline_header: HeaderValue::from(settings.timeout.0),
            direct_service: settings.direct.as_ref().map(|service| header_value(service.as_str())),
        }
    }

    pub(crate) fn build_request(
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
        headers.insert(HOST, target.host_header.clone());
        headers.insert(DEADLINE, self.deadline_header.clone());
        if planned.once_only {
            headers.insert(IDEMPOTENCY_KEY, header_value(&planned.id.to_string()));
        }
        if let Some(service) = &self.direct_service {
            headers.insert(SERVICE, service.clone());
            headers.insert(KEY, header_value(&planned.key));
            headers.insert(REQUEST_ID, header_value(&planned.id.to_string()));
        }
        Ok(req)
    }

    /// Returns the target of attempt `attempt`, counted from 1, of the request with number `index`. Requests take the
    /// targets in turn, and each resend goes to the next target.
    pub(crate) fn target(&self, index: u64, attempt: u32) -> &Target {
        let position = index.wrapping_add(u64::from(attempt) - 1);
        &self.targets[(position % self.targets.len() as u64) as usize]
    }
}

impl Target {
    fn new(addr: SocketAddr) -> Self {
        Self { addr, host_header: header_value(&addr.to_string()) }
    }
}

/// Converts an id, key or address to a header value. They consist of printable ASCII, so the conversion does not fail.
fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// Monotonic clock of a run. Wall-clock times are those at the start plus the monotonic time since then, so they never
/// go back either.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    pub(crate) start: Instant,
    wall_at_start: Duration,
}

impl Clock {
    fn start() -> Self {
        let wall_at_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { start: Instant::now(), wall_at_start }
    }

    pub(crate) fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    pub(crate) fn wall_time(&self, elapsed: Duration) -> WallTime {
        WallTime(u64::try_from((self.wall_at_start + elapsed).as_millis()).unwrap_or(u64::MAX))
    }

    pub(crate) fn unix_time_us(&self, elapsed: Duration) -> u64 {
        u64::try_from((self.wall_at_start + elapsed).as_micros()).unwrap_or(u64::MAX)
    }
}
