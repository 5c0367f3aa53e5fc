//! Verdict on a record that was submitted to be published or retired.

use serde::{Deserialize, Serialize};
use skylarkdock_units::ids::{HostId, Offset};
use skylarkdock_units::requests::RecordId;
use std::fmt;

/// A fault in a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Path of the field, for example `upstreams[2].address`.
    pub field: String,
    /// What is wrong with the field.
    pub problem: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

/// Why a record was refused. A refused record never comes into force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Refusal {
    /// The record in force is not the one that the refused record is based on.
    Conflict {
        /// Offset of the record in force.
        revision: Offset,
        /// Who published the record in force.
        by: String,
    },
    /// The record has faults.
    Invalid {
        /// All faults of the record.
        faults: Vec<Fault>,
    },
    /// A host does not support the schema version of the record.
    UnsupportedSchema {
        /// The host that does not support it.
        host: HostId,
    },
    /// The service has no record in force.
    NotFound,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict { revision, by } => {
                write!(f, "conflict: revision {revision} by {} is in force", by.escape_debug())
            }
            Self::Invalid { faults } => write!(f, "invalid: {} faults", faults.len()),
            Self::UnsupportedSchema { host } => {
                write!(f, "unsupported schema: {host} can't read it")
            }
            Self::NotFound => f.write_str("not found: the service has no record in force"),
        }
    }
}

/// Verdict on a submitted record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "snake_case")]
pub enum Verdict {
    /// The record is in force, or was until a later one replaced it.
    Accepted {
        /// Offset of the record, which is the basis of the next record of the service.
        offset: Offset,
    },
    /// The record was refused.
    Refused {
        /// Why it was refused.
        #[serde(flatten)]
        reason: Refusal,
    },
    /// It is not known yet whether the record is in the log.
    Unknown {
        /// Id of the record, by which its verdict can be queried later.
        id: RecordId,
    },
}
