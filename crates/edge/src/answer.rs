//! Answers to callers, to calls of other hosts and to checks.

use crate::client::{Charge, Reply};
use skylarkdock_freshness::final_answers::FinalAnswer;
use skylarkdock_http1::head::Headers;
use skylarkdock_units::times::Millis;

/// Complete answer. One that a caller takes as final is that of an upstream or a [`FinalAnswer`]: there is no other way to
/// build it.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status code; its reason phrase is added when the answer is written.
    pub status: u16,
    /// Header fields other than `Content-Length` and `Connection`.
    pub headers: Headers,
    /// Body, which is not sent in the answer to a HEAD request.
    pub body: Vec<u8>,
    /// Its part of the memory for answers. Keeps other modules from building answers field by field.
    charge: Charge,
}

/// Status of a host's own answer that is not final.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u16)]
pub enum OwnStatus {
    /// The answer to a check or to a call of another host.
    Ok = 200,
    /// The answer to a call of another host that asked for nothing.
    NoContent = 204,
    /// The request is for one upstream only; it has not run.
    Misdirected = 421,
    /// The transfer coding is not supported.
    NotImplemented = 501,
    /// An upstream may have run the request, and no answer came.
    BadGateway = 502,
    /// The request has not run, or the host is not ready.
    Unavailable = 503,
    /// An upstream may have run the request, and no answer came in its time.
    GatewayTimeout = 504,
}

/// Fault of a call of another host. The host takes the answer for a failed call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u16)]
pub(crate) enum HostCallFault {
    /// The call can't be decoded.
    Undecodable = 400,
    /// There is no such call.
    UnknownPath = 404,
}

impl Answer {
    /// Builds an answer without a body.
    pub fn empty(status: OwnStatus) -> Self {
        Self::with_status(status as u16)
    }

    /// Builds an answer with a body.
    pub fn with_body(status: OwnStatus, body: Vec<u8>) -> Self {
        Self { body, ..Self::empty(status) }
    }

    /// Builds the answer that refuses a request, which has not run and will not run.
    pub fn refused(retry_after: Millis) -> Self {
        let mut answer = Self::empty(OwnStatus::Unavailable);
        answer.headers.push("Retry-After", retry_after.seconds());
        answer
    }

    /// Builds the answer after which a caller never sends its request again.
    pub fn rejected(answer: FinalAnswer) -> Self {
        Self::with_status(answer.status())
    }

    /// Converts an upstream's answer to the answer for the caller.
    pub(crate) fn forwarded(mut reply: Reply) -> Self {
        let mut headers = std::mem::take(&mut reply.head.headers);
        headers.remove_hop_by_hop();
        headers.remove("content-length");
        let Reply { head, body, charge, .. } = reply;
        Self { status: head.status, headers, body, charge }
    }

    /// Returns what the answer counts for, to be kept until it has been written.
    pub(crate) fn take_charge(&mut self) -> Charge {
        std::mem::take(&mut self.charge)
    }

    /// Builds the answer to a call of another host that failed. Callers have no access to such calls.
    pub(crate) fn to_host(fault: HostCallFault) -> Self {
        Self::with_status(fault as u16)
    }

    fn with_status(status: u16) -> Self {
        let charge = Charge::default();
        Self { status, headers: Headers::default(), body: Vec::new(), charge }
    }
}

/// Returns the reason phrase of a status.
pub(crate) const fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
