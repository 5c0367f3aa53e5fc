//! Attempts of callers' requests, with the result of each.

use serde::Deserialize;
use skylarkdock_outcomes::outcome::Outcome;
use skylarkdock_units::requests::RequestId;
use skylarkdock_units::times::HostTime;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

/// One attempt to send a request.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Request id, shared by all attempts of the request.
    pub id: RequestId,
    /// Number of the attempt within its request, counted from 1.
    pub number: u32,
    /// Whether the request must run at most once.
    pub once_only: bool,
    /// Key that the request accesses.
    pub key: String,
    /// HTTP address of the host that the request was sent to.
    pub host_addr: SocketAddr,
    /// Start of the attempt.
    pub start: HostTime,
    /// End of the attempt.
    pub end: HostTime,
    /// Result of the attempt.
    pub result: AttemptResult,
}

/// Result of an attempt, as the caller saw it.
#[derive(Debug, Clone)]
pub enum AttemptResult {
    /// The request was not sent.
    NotSent,
    /// The request may have been sent, and no answer arrived.
    Lost,
    /// The answer's body could not be read to its end.
    Truncated,
    /// A complete answer arrived.
    Answer(Answer),
}

/// A complete answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Outcome from the `skylarkdock-outcome` header; `None` when it is missing or not valid.
    pub outcome: Option<Outcome>,
    /// Parsed body; `None` when it is not the JSON that upstreams and hosts send.
    pub body: Option<AnswerBody>,
}

/// Body of an answer; a reason is set when a host answered instead of an upstream.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct AnswerBody {
    /// Key that the upstream served.
    pub key: Option<String>,
    /// Id of the request that was answered.
    pub request_id: Option<String>,
    /// Id of the upstream.
    pub id: Option<String>,
    /// Why a host answered instead of an upstream.
    pub reason: Option<String>,
}

impl Attempt {
    /// Returns the complete answer, if one arrived.
    pub const fn answer(&self) -> Option<&Answer> {
        match &self.result {
            AttemptResult::Answer(answer) => Some(answer),
            _ => None,
        }
    }

    /// Returns the outcome from the answer's header.
    pub fn outcome(&self) -> Option<Outcome> {
        self.answer()?.outcome
    }

    /// Returns why a host answered instead of an upstream.
    pub fn reason(&self) -> Option<&str> {
        self.result.reason()
    }

    /// Returns the label under which reports count the attempt.
    pub const fn label(&self) -> &'static str {
        self.result.label()
    }
}

impl AttemptResult {
    /// Returns why a host answered instead of an upstream.
    pub fn reason(&self) -> Option<&str> {
        match self {
            Self::Answer(answer) => answer.body.as_ref()?.reason.as_deref(),
            _ => None,
        }
    }

    /// Returns the label under which reports count the result.
    pub const fn label(&self) -> &'static str {
        match self {
            Self::NotSent => "not sent",
            Self::Lost => "lost",
            Self::Truncated => "cut",
            Self::Answer(answer) => match answer.outcome {
                Some(Outcome::Done) => "done",
                Some(Outcome::NotRun) => "not-run",
                Some(Outcome::Unknown) => "unknown",
                Some(Outcome::Running) => "running",
                None => "no outcome",
            },
        }
    }
}

/// Attempts of all callers, shared between them.
#[derive(Debug, Clone, Default)]
pub struct History(Arc<Mutex<Vec<Attempt>>>);

impl History {
    /// Appends an attempt.
    pub fn push(&self, attempt: Attempt) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(attempt);
    }

    /// Returns the number of attempts.
    pub fn len(&self) -> usize {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Returns whether there are no attempts.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes and returns all attempts.
    pub fn take(&self) -> Vec<Attempt> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
