//! Outcome of a request as reported to its caller.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Outcome of a request; its text form is the value of the answer's outcome header.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request was run and its answer is known.
    Done,
    /// The request was provably not run.
    NotRun,
    /// The request may or may not have been run.
    Unknown,
    /// The request is being run.
    Running,
}

/// A text that is not the name of an outcome.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is not an outcome, expected done, not-run, unknown or running")]
pub struct OutcomeError {
    /// The text that failed to parse.
    pub text: String,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Running => "running",
        })
    }
}

impl FromStr for Outcome {
    type Err = OutcomeError;

    fn from_str(text: &str) -> Result<Self, OutcomeError> {
        match text {
            "done" => Ok(Self::Done),
            "not-run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            "running" => Ok(Self::Running),
            _ => Err(OutcomeError { text: text.to_owned() }),
        }
    }
}
