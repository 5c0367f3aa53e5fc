//! Responses that the router generates itself: `application/problem+json`, with the outcome in a header.

use crate::proxy::headers;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use serde::Serialize;
use skylarkdock_httppath::body::{self, Body};
use skylarkdock_outcomes::outcome::Outcome;
use skylarkdock_units::requests::RequestId;
use skylarkdock_units::times::Millis;

/// Reason for a response that the router generates itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The path names no service, or a service that is not in force.
    NoService,
    /// This host does not route the service, but a record that it has not read or can't read may put it in force.
    UnprovenService,
    /// The request is malformed.
    BadRequest,
    /// The request's body is too large.
    TooLarge,
    /// The idempotency key belongs to another request.
    KeyReused,
    /// The timestamp in the idempotency key lies in the future.
    KeyFromFuture,
    /// The request with this key is still running.
    StillRunning,
    /// The request was run, but only a digest of its response was recorded.
    AnswerNotKept,
    /// No host holds the lease of the key's range at the moment.
    NoHolder,
    /// The owning upstream can't be reached.
    UpstreamDown,
    /// The owning upstream has no free slot before the deadline.
    Overload,
    /// The deadline passed.
    Deadline,
    /// Requests like this one crashed upstreams.
    Quarantined,
    /// The connection was lost after the request may have been sent.
    Lost,
    /// The request is older than the period that the range's deduplication memory covers.
    TooOld,
    /// This host does not hold the lease of the key's range.
    NotHolder,
    /// The host is draining.
    Draining,
    /// The host is starting and has no state yet.
    Starting,
}

impl Reason {
    const fn status(self) -> StatusCode {
        match self {
            Self::NoService => StatusCode::NOT_FOUND,
            Self::BadRequest | Self::KeyFromFuture => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::KeyReused | Self::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
            Self::StillRunning => StatusCode::CONFLICT,
            Self::AnswerNotKept => StatusCode::OK,
            Self::UnprovenService
            | Self::NoHolder
            | Self::UpstreamDown
            | Self::Overload
            | Self::Draining
            | Self::Starting => StatusCode::SERVICE_UNAVAILABLE,
            Self::Deadline | Self::TooOld => StatusCode::GATEWAY_TIMEOUT,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::NotHolder => StatusCode::MISDIRECTED_REQUEST,
        }
    }

    const fn detail(self) -> &'static str {
        match self {
            Self::NoService => "No such service is in force.",
            Self::UnprovenService => "This host can't tell whether the service is in force.",
            Self::BadRequest => "The request is malformed.",
            Self::TooLarge => "The request's body is too large.",
            Self::KeyReused => "The idempotency key belongs to another request.",
            Self::KeyFromFuture => "The idempotency key's time lies in the future.",
            Self::StillRunning => "The request with this idempotency key is still running.",
            Self::AnswerNotKept => "The request was run; its answer is not kept in full.",
            Self::NoHolder => "No host serves the key at the moment.",
            Self::UpstreamDown => "The owning upstream can't be reached.",
            Self::Overload => "The owning upstream has no free slot before the deadline.",
            Self::Deadline => "The deadline passed.",
            Self::Quarantined => "Requests like this one crashed upstreams.",
            Self::Lost => "The connection was lost after the request may have been sent.",
            Self::TooOld => "The request is older than what is remembered here.",
            Self::NotHolder => "This host does not hold the key's range.",
            Self::Draining => "The host is leaving.",
            Self::Starting => "The host has no state yet.",
        }
    }
}

/// A response that the router generates itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Delay after which a retry may succeed.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// Creates the refusal of a request that was not run.
    pub const fn not_run(reason: Reason) -> Self {
        Self { reason, outcome: Outcome::NotRun, retry_after: None }
    }

    /// Creates the refusal of a request that may have been run.
    pub const fn unknown(reason: Reason) -> Self {
        Self { reason, outcome: Outcome::Unknown, retry_after: None }
    }

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub const fn with_retry_after(self, retry_after: Millis) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }

    /// Returns the HTTP response.
    pub fn response(&self, id: Option<RequestId>) -> Response<Body> {
        let problem = Problem {
            title: self.reason.detail(),
            status: self.reason.status().as_u16(),
            reason: self.reason,
            outcome: self.outcome,
            request_id: id,
        };
        let json = serde_json::to_vec(&problem).unwrap_or_default();
        let mut res = Response::new(body::full(json));
        *res.status_mut() = self.reason.status();
        let headers = res.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        if let Some(delay) = self.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(delay.0.div_ceil(1_000).max(1)));
        }
        set_outcome_headers(&mut res, self.outcome, id);
        res
    }
}

#[derive(Serialize)]
struct Problem {
    title: &'static str,
    status: u16,
    reason: Reason,
    outcome: Outcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    request_id: Option<RequestId>,
}

/// Sets the outcome and request id headers of a response.
pub fn set_outcome_headers(res: &mut Response<Body>, outcome: Outcome, id: Option<RequestId>) {
    let value_text = match outcome {
        Outcome::Done => "done",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
        Outcome::Running => "running",
    };
    let headers = res.headers_mut();
    headers.insert(headers::OUTCOME, HeaderValue::from_static(value_text));
    if let Some(id) = id
        && let Ok(value) = HeaderValue::try_from(id.to_string())
    {
        headers.insert(headers::REQUEST_ID, value);
    }
}
