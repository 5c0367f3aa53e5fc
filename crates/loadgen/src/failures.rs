//! Failures of an attempt, as counted in the result and written to the history.

use serde::{Deserialize, Serialize};
use skylarkdock_httppath::body::BodyError;
use skylarkdock_httppath::pool::{NotSent, ResponseLost, SendError};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

macro_rules! failures {
    ($($(#[$doc:meta])* $name:ident = $text:literal,)*) => {
        /// Why an attempt has no complete response.
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(rename_all = "kebab-case")]
        pub enum Failure {
            $($(#[$doc])* $name,)*
        }

        impl fmt::Display for Failure {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(match self { $(Self::$name => $text,)* })
            }
        }

        impl FromStr for Failure {
            type Err = ParseFailureError;

            fn from_str(text: &str) -> Result<Self, ParseFailureError> {
                match text {
                    $($text => Ok(Self::$name),)*
                    _ => Err(ParseFailureError { text: text.to_owned() }),
                }
            }
        }
    };
}

failures! {
    /// Not sent: no connection became available before the deadline.
    QueueTimeout = "queue-timeout",
    /// Not sent: the connection could not be opened.
    Connect = "connect",
    /// Not sent: the connection was not open before the connect timeout or the deadline.
    ConnectTimeout = "connect-timeout",
    /// Not sent: the deadline passed before the first byte was written.
    DeadlineUnsent = "deadline-unsent",
    /// Not sent: the connection closed before the first byte was written.
    ClosedUnsent = "closed-unsent",
    /// Unknown: the deadline passed before the response head arrived.
    Deadline = "deadline",
    /// Unknown: the connection closed or failed before the response head arrived.
    Closed = "closed",
    /// Unknown: the response body was truncated or larger than accepted.
    BodyCut = "body-cut",
    /// Unknown: the response body is neither chunked nor of an announced length, so a truncated one can't be detected.
    BodyUnframed = "body-unframed",
    /// Unknown: the deadline passed before the end of the response body.
    BodyDeadline = "body-deadline",
}

/// The text is not the name of a failure.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("unknown failure {text:?}")]
pub struct ParseFailureError {
    /// Text that could not be parsed.
    pub text: String,
}

impl Failure {
    /// Returns whether the upstream may have run the request. Relies on the order of the variants: those before
    /// `Deadline` were not sent.
    pub fn may_have_run(self) -> bool {
        self >= Self::Deadline
    }
}

impl From<&SendError> for Failure {
    fn from(e: &SendError) -> Self {
        match e {
            SendError::NotSent(NotSent::QueueTimeout) => Self::QueueTimeout,
            SendError::NotSent(NotSent::Connect(_)) => Self::Connect,
            SendError::NotSent(NotSent::ConnectTimeout) => Self::ConnectTimeout,
            SendError::NotSent(NotSent::Deadline | NotSent::NotAllowed) => Self::DeadlineUnsent,
            SendError::NotSent(NotSent::Closed(_)) => Self::ClosedUnsent,
            SendError::Unknown(ResponseLost::Deadline) => Self::Deadline,
            SendError::Unknown(ResponseLost::Closed(_) | ResponseLost::Invalid) => Self::Closed,
        }
    }
}

impl From<&BodyError> for Failure {
    fn from(e: &BodyError) -> Self {
        match e {
            BodyError::Truncated(_) | BodyError::TooLarge { .. } => Self::BodyCut,
            BodyError::Unframed => Self::BodyUnframed,
            BodyError::Deadline => Self::BodyDeadline,
        }
    }
}
