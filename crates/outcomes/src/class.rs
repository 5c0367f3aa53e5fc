//! Operation classes: whether an operation may be run more than once.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Whether an operation may be run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OperationClass {
    /// A read, which may be run any number of times.
    Repeatable,
    /// An order, permit filing, booking or payment, which must run at most once.
    OnceOnly,
}

/// A text that is not the name of an operation class.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?} is not a class of operations, expected repeatable or once-only")]
pub struct ClassError {
    /// The text that failed to parse.
    pub text: String,
}

impl fmt::Display for OperationClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Repeatable => "repeatable",
            Self::OnceOnly => "once-only",
        })
    }
}

impl FromStr for OperationClass {
    type Err = ClassError;

    fn from_str(text: &str) -> Result<Self, ClassError> {
        match text {
            "repeatable" => Ok(Self::Repeatable),
            "once-only" => Ok(Self::OnceOnly),
            _ => Err(ClassError { text: text.to_owned() }),
        }
    }
}
