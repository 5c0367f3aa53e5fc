//! Types of the calls about routing records.

use crate::verdict::Fault;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use skylarkdock_units::ids::{Offset, ServiceName};
use skylarkdock_units::requests::RecordId;
use skylarkdock_units::times::Millis;

/// Basis of a record that replaces none, for a service without a record in force.
pub const NO_BASIS: Offset = Offset(0);

/// A record in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordRow {
    /// The service.
    pub service: ServiceName,
    /// Offset of the record.
    pub revision: Offset,
    /// Who published it.
    pub by: String,
    /// Its schema version.
    pub schema: u32,
    /// Offset of the first later record of the service that this host can't read.
    pub unreadable_since: Option<Offset>,
    /// The record.
    pub record: Value,
}

/// Parameters of `publish`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishParams {
    /// The record.
    pub record: Value,
    /// Offset of the record that it replaces, or [`NO_BASIS`] if it creates the service.
    pub basis: Offset,
    /// Who publishes it.
    pub by: String,
    /// Id chosen by the caller. A repeated call with the same id does not publish the record again.
    pub id: RecordId,
    /// Longest time to wait for the verdict.
    pub wait_ms: Millis,
}

/// Parameters of `check`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckParams {
    /// The record.
    pub record: Value,
}

/// Result of `check`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckResult {
    /// All faults of the record. If there are none, it would be accepted with the right basis.
    pub faults: Vec<Fault>,
}

/// Parameters of `retire`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetireParams {
    /// The service.
    pub service: ServiceName,
    /// Offset of the record to retire.
    pub basis: Offset,
    /// Who retires it.
    pub by: String,
    /// Id chosen by the caller.
    pub id: RecordId,
    /// Longest time to wait for the verdict.
    pub wait_ms: Millis,
}

/// Parameters of `settle`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleParams {
    /// Id of the record.
    pub id: RecordId,
}
