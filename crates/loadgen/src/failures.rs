//! Kinds of failure of one attempt, as counted and written down.

use serde::{Deserialize, Serialize};
use skylarkdock_httppath::body::BodyError;
use skylarkdock_httppath::pool::{NotSent, ResponseLost, SendError};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

macro_rules! failures {
    ($($(#[$doc:meta])* $name:ident = $text:literal,)*) => {
        /// Why an attempt has no whole answer.
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
            type Err = FailureError;

            fn from_str(text: &str) -> Result<Self, FailureError> {
                match text {
                    $($text => Ok(Self::$name),)*
                    _ => Err(FailureError { text: text.to_owned() }),
                }
            }
        }
    };
}

failures! {
    /// Not sent: no connection became free in time.
    QueueTimeout = "queue-timeout",
    /// Not sent: the connection could not be opened.
    Connect = "connect",
    /// Not sent: the connection was not open in time.
    ConnectTimeout = "connect-timeout",
    /// Not sent: the deadline passed first.
    DeadlineUnsent = "deadline-unsent",
    /// Not sent: the connection closed first.
    ClosedUnsent = "closed-unsent",
    /// Unknown: the deadline passed without an answer.
    Deadline = "deadline",
    /// Unknown: the connection failed without an answer.
    Closed = "closed",
    /// Unknown: the answer's body was cut short.
    BodyCut = "body-cut",
    /// Unknown: the answer's body has no end that can be told from a cut.
    BodyUnframed = "body-unframed",
    /// Unknown: the deadline passed within the answer's body.
    BodyDeadline = "body-deadline",
}

/// The text names no kind of failure.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is not a kind of failure")]
pub struct FailureError {
    /// What was given.
    pub text: String,
}

impl Failure {
    /// Returns whether the request may have been run.
    pub fn is_unknown(self) -> bool {
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
            SendError::Unknown(ResponseLost::Closed(_)) => Self::Closed,
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
