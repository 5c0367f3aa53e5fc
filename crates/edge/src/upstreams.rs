//! Protocol between the host and upstreams. The adapter of each platform provides header names and message formats.

use crate::client::{FIRST_FAILURE_STATUS, Outgoing, Reply};
use skylarkdock_dispatch::notices::Notices;
use skylarkdock_dispatch::reported_load::ReportedLoad;
use skylarkdock_http1::head::Headers;
use skylarkdock_spans::renewal::{CallEnd, Grant, Release};
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::measures::RequestRate;
use skylarkdock_units::times::Millis;
use std::net::SocketAddr;

/// Names of header fields.
#[derive(Debug, Clone, Copy)]
pub struct HeaderNames {
    /// Request id set by the caller; an answer repeats it.
    pub request_id: &'static str,
    /// Remaining time in milliseconds.
    pub deadline: &'static str,
    /// Signature of an upstream's answer.
    pub signature: &'static str,
    /// Id of the only upstream that may run the request.
    pub expected: &'static str,
    /// Present on an answer if the upstream did not run the request.
    pub not_run: &'static str,
    /// Sharding key of the request.
    pub key: &'static str,
    /// Requests a second that the upstream takes from all hosts together, as a decimal number; absent without a limit.
    pub limit: &'static str,
    /// Present with the value 1 on all answers of an upstream that is shutting down.
    pub leaving: &'static str,
    /// Id of the upstream that sent an answer; only on some answers.
    pub instance: &'static str,
    /// Load of the upstream that sent an answer; only from upstreams that report it.
    pub load: &'static str,
    /// Time for which the upstream stays cold; only on answers to health checks.
    pub cold: &'static str,
}

/// Protocol between the host and upstreams.
#[derive(Debug, Clone, Copy)]
pub struct Protocol {
    /// Names of header fields.
    pub names: HeaderNames,
    /// Builds the request that grants keys for a time.
    pub build_grant: fn(&Grant, Millis) -> Outgoing,
    /// Builds the request that asks a holder to release keys.
    pub build_release: fn(&Release) -> Outgoing,
    /// Parses the answer to a grant.
    pub parse_grant_reply: fn(&Reply) -> CallEnd,
    /// Parses the answer to a release.
    pub parse_release_reply: fn(&Reply) -> ReleaseReply,
    /// Builds the request to which the process at an address answers with its id, sent to this path.
    pub build_identity_request: fn(SocketAddr, &str) -> Outgoing,
    /// Parses the id of the process that gave an answer. Returns nothing if the answer has none, or several.
    pub parse_identity: fn(&Reply) -> Option<UpstreamId>,
    /// Parses what an answer asks of the host that got it. Returns nothing if the answer names another upstream than
    /// the one called.
    pub parse_notices: fn(&Reply, &UpstreamId) -> Notices,
    /// Parses the load that an answer reports. Returns nothing if it reports none, or one that can't be read.
    pub parse_load: fn(&Reply) -> Option<ReportedLoad>,
    /// Parses for how long the upstream that gave an answer to a health check stays cold.
    pub parse_cold: fn(&Reply) -> Option<Millis>,
}

/// What the answer to a release shows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReleaseReply {
    /// The keys are released, and no work on them runs any more.
    Released {
        /// State that the holder hands over.
        handover: String,
    },
    /// The process with this id refused the call, or did not answer as a holder that releases keys does.
    RefusedBy(UpstreamId),
    /// The same, by a process that did not say which one it is.
    Refused,
    /// Anything else. The call may have been carried out.
    Unknown,
}

/// Kind of an upstream's answer to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyKind {
    /// The answer is forwarded to the caller.
    Final,
    /// The upstream did not run the request because it had no capacity.
    Shed,
    /// The upstream did not run the request because it does not hold the key, or is not the expected upstream.
    Misdirected,
    /// The answer must not be forwarded; the request may have run.
    Unusable(Defect),
}

/// Reason for which an upstream's answer must not be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// It does not repeat the id of the request.
    Unmatched,
    /// Its status tells callers that the request did not run, which the upstream has not stated.
    ImpliesNotRun,
    /// Its body has a content coding, which no caller asked for.
    Encoded,
    /// It has an informational status.
    Informational,
    /// Its status is not one of HTTP.
    InvalidStatus,
    /// It lacks the signature that such an answer must have.
    Unsigned,
    /// It is not valid HTTP, or too large, or interim answers before it don't end.
    Malformed,
}

impl Defect {
    /// Returns the defect of a status that no final answer has.
    pub(crate) const fn of_status(status: u16) -> Option<Self> {
        match status {
            100..200 => Some(Self::Informational),
            200..600 => None,
            ..100 | 600.. => Some(Self::InvalidStatus),
        }
    }

    /// Returns the value of the `reason` label in metrics and field in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unmatched => "unmatched",
            Self::ImpliesNotRun => "implies_not_run",
            Self::Encoded => "encoded",
            Self::Informational => "informational",
            Self::InvalidStatus => "invalid_status",
            Self::Unsigned => "unsigned",
            Self::Malformed => "malformed",
        }
    }
}

impl HeaderNames {
    /// Returns the limit that an upstream's answer names. A value that is no rate counts as absent.
    pub fn limit(&self, reply: &Reply) -> Option<RequestRate> {
        let text = reply.head.headers.get_str(self.limit)?;
        let rate = text.parse();
        if rate.is_err() {
            log::warn!(value = text; "upstreams: an answer names an invalid limit");
        }
        rate.ok()
    }

    /// Returns whether an answer to a request for an upstream names another one, which has its address now.
    pub fn is_from_other(&self, reply: &Reply, id: &UpstreamId) -> bool {
        let instance = reply.head.headers.get_str(self.instance);
        instance.is_some_and(|instance| instance != id.as_str())
    }

    /// Returns whether other requests may be sent on the connection of an answer. A connection remembers failures and
    /// refusals by their status. After one with a lower status, the same request could be sent on it again, and the answer
    /// once more would pass for that to the new attempt.
    pub fn may_reuse_connection(&self, reply: &Reply) -> bool {
        reply.head.status >= FIRST_FAILURE_STATUS || self.classify(reply) == ReplyKind::Final
    }

    /// Classifies an upstream's answer.
    pub fn classify(&self, reply: &Reply) -> ReplyKind {
        let headers: &Headers = &reply.head.headers;
        let status = reply.head.status;
        // What such an answer states, also that the request has not run, counts for nothing.
        if let Some(defect) = Defect::of_status(status) {
            return ReplyKind::Unusable(defect);
        }
        if status == 421 {
            return ReplyKind::Misdirected;
        }
        if headers.get(self.not_run).is_some() {
            return ReplyKind::Shed;
        }
        if !reply.is_matched {
            return ReplyKind::Unusable(Defect::Unmatched);
        }
        match status {
            408 | 429 | 503 => ReplyKind::Unusable(Defect::ImpliesNotRun),
            _ if headers.get("content-encoding").is_some() => ReplyKind::Unusable(Defect::Encoded),
            // Callers take a redirection or a rejection without a signature for the host's own.
            200..500 if headers.get_str(self.signature).is_none_or(str::is_empty) => {
                ReplyKind::Unusable(Defect::Unsigned)
            }
            _ => ReplyKind::Final,
        }
    }
}
