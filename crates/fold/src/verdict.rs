//! Whether a record was accepted or refused, and its effects.

use serde::{Deserialize, Serialize};
use skylarkdock_units::ids::{Offset, RangeId, RangeIndex, ServiceName};
use thiserror::Error;

/// Whether a record was accepted; every host reaches the same verdict.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "kebab-case")]
pub enum Verdict {
    /// The record is in force from its offset on.
    Accepted {
        /// Offset of the record.
        offset: Offset,
    },
    /// The record changes nothing.
    Refused {
        /// Why the record was refused.
        reason: Refusal,
    },
}

/// Why a record was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Error)]
#[serde(tag = "reason", rename_all = "kebab-case")]
pub enum Refusal {
    /// The record is based on a revision other than the one in force.
    #[error("revision {revision} by {by} is in force")]
    Conflict {
        /// The revision in force.
        revision: Offset,
        /// Writer of that revision.
        by: String,
    },
    /// The service is not in force.
    #[error("service {service} is not in force")]
    NoService {
        /// The service.
        service: ServiceName,
    },
    /// A record with the same id was accepted or refused before.
    #[error("a record with this id was accepted or refused before")]
    Repeated,
    /// None of the changes to ranges was accepted.
    #[error("no change was accepted; the first one refused is for range {first}")]
    NoChange {
        /// The first range whose change was refused.
        first: RangeId,
    },
    /// The text is not an envelope that this release can read, or the routing record in it contradicts
    /// the envelope, the limits or the number of ranges in force.
    #[error("this host can't read the record: {detail}")]
    Unreadable {
        /// What is wrong with the record.
        detail: String,
    },
}

/// Effect of a record on one service, one range or a checkpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// A routing record came into force.
    Published {
        /// The service.
        service: ServiceName,
        /// Its revision.
        revision: Offset,
        /// Writer of the record.
        by: String,
        /// Whether this host can decode the record and uses it.
        readable: bool,
    },
    /// A service was retired.
    Retired {
        /// The service.
        service: ServiceName,
    },
    /// A range got a new assignment.
    Assigned {
        /// The service.
        service: ServiceName,
        /// The range.
        range: RangeIndex,
    },
    /// A change to the assignment of a range was refused.
    AssignRefused {
        /// The service.
        service: ServiceName,
        /// The range.
        range: RangeIndex,
    },
    /// The record was a part of a checkpoint.
    CheckpointPart,
}
