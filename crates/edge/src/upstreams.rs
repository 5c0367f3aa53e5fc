//! How upstreams are spoken to. The adapter of a platform fills in names and forms.

use crate::client::{Outgoing, Reply};
use skylarkdock_http1::head::Headers;
use skylarkdock_spans::renewal::{CallEnd, Grant, Release};
use skylarkdock_units::times::Millis;

/// Names of header fields.
#[derive(Debug, Clone, Copy)]
pub struct Names {
    /// Id of a caller's attempt.
    pub request_id: &'static str,
    /// Milliseconds that are left.
    pub deadline: &'static str,
    /// Signature of an upstream's answer.
    pub signature: &'static str,
    /// Upstream that alone may run the request.
    pub expected: &'static str,
    /// Marks an answer to a request that was not run.
    pub not_run: &'static str,
    /// Key of a request.
    pub key: &'static str,
}

/// The protocol of upstreams.
#[derive(Debug, Clone, Copy)]
pub struct Protocol {
    /// Names of header fields.
    pub names: Names,
    /// Builds a grant.
    pub grant: fn(&Grant, Millis) -> Outgoing,
    /// Builds a release.
    pub release: fn(&Release) -> Outgoing,
    /// Reads the answer to a grant.
    pub granted: fn(&Reply) -> CallEnd,
    /// Reads the answer to a release: what the holder hands over.
    pub released: fn(&Reply) -> Result<Option<String>, CallEnd>,
}

/// Answers of upstreams to requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// To be passed on as it is.
    Final,
    /// The request was not run, for want of room.
    Shed,
    /// The request was not run, as the upstream isn't the one for it.
    Misdirected,
    /// Not an answer that may be passed on; the request may have run.
    Unusable,
}

impl Names {
    /// Returns what an upstream's answer means.
    pub fn classify(&self, reply: &Reply) -> Kind {
        let headers: &Headers = &reply.head.headers;
        let status = reply.head.status;
        if status == 421 {
            return Kind::Misdirected;
        }
        if headers.get(self.not_run).is_some() {
            return Kind::Shed;
        }
        if !reply.is_matched {
            return Kind::Unusable;
        }
        let is_success = (200..300).contains(&status);
        let promises_not_run = matches!(status, 408 | 429 | 503);
        let is_encoded = headers.get("content-encoding").is_some();
        if promises_not_run
            || is_encoded
            || (100..200).contains(&status)
            || (is_success && headers.get(self.signature).is_none())
        {
            return Kind::Unusable;
        }
        Kind::Final
    }
}
