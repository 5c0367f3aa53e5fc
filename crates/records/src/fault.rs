//! Faults of routing records, and the error for records that can't be decoded.

use serde::{Deserialize, Serialize};
use skylarkdock_units::UnitError;
use std::fmt;
use thiserror::Error;

/// A validation fault in one field of a routing record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Error)]
#[error("{field}: {problem}")]
pub struct Fault {
    /// Path of the field, for example `upstreams[2].address`.
    pub field: String,
    /// What is wrong with the field.
    pub problem: Problem,
}

/// Kind of a fault, with its details.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Problem {
    /// The value has the wrong type or format.
    Form {
        /// Message of the parser.
        detail: String,
    },
    /// The number is outside the allowed range.
    Range {
        /// The number found.
        found: u64,
        /// Smallest number allowed.
        min: u64,
        /// Largest number allowed.
        max: u64,
    },
    /// The word is not a value of the enum.
    Word {
        /// The word found.
        found: String,
        /// The words allowed.
        allowed: Vec<String>,
    },
    /// The value occurs more than once in a list whose values must be unique.
    Duplicate {
        /// The repeated value.
        value: String,
    },
    /// The text or list must not be empty.
    Empty,
    /// The field can't be changed once the service is published.
    Fixed {
        /// The value in force.
        in_force: u64,
    },
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Form { detail } => f.write_str(detail),
            Self::Range { found, min, max } => write!(f, "{found} is outside {min} to {max}"),
            Self::Word { found, allowed } => {
                write!(f, "{found:?} is not one of {}", allowed.join(", "))
            }
            Self::Duplicate { value } => write!(f, "{value} is listed more than once"),
            Self::Empty => f.write_str("must not be empty"),
            Self::Fixed { in_force } => write!(f, "can't change, {in_force} is in force"),
        }
    }
}

impl From<UnitError> for Problem {
    fn from(error: UnitError) -> Self {
        Self::Form { detail: error.to_string() }
    }
}

/// Error from decoding a routing record.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The value is not a JSON object with a numeric `schema` field.
    #[error("not a routing record: {detail}")]
    NotARecord {
        /// What is wrong with the value.
        detail: String,
    },
    /// This release can't read the schema version.
    #[error("unknown schema version {found}; the newest known version is {newest}")]
    UnknownSchema {
        /// Schema version of the record.
        found: u32,
        /// Newest schema version that this release reads.
        newest: u32,
    },
    /// The schema version is known, but the record has faults.
    #[error("routing record has {} faults; first fault: {}", .0.len(), .0.first().map(ToString::to_string).unwrap_or_default())]
    Faults(Vec<Fault>),
}
