//! The envelope of a log record: its author, the service or range that it changes, and the revision
//! that the change is based on.
//!
//! The envelope contains everything that the fold needs to accept or refuse a record, so that a host
//! that can't read the newest schema version reaches the same verdict as the others.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use skylarkdock_units::ids::{Member, Offset, RangeIndex, ServiceName, UpstreamId};
use skylarkdock_units::keys::KeyHash;
use skylarkdock_units::requests::RecordId;
use skylarkdock_units::times::WallTime;

/// A record of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Id, chosen by the writer.
    pub id: RecordId,
    /// Writer: the name of an operator or a host.
    pub by: String,
    /// Time of writing, by the writer's wall clock.
    pub at: WallTime,
    /// The change that the record makes.
    pub body: Body,
}

/// Kinds of log records.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// Puts a routing record in force.
    Publish(Publish),
    /// Takes a service out of force.
    Retire(Retire),
    /// Assigns ranges to upstreams and lease members.
    Assign(Assign),
    /// Stores a part of a checkpoint.
    Checkpoint(CheckpointPart),
}

/// Puts a routing record in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Publish {
    /// Service that the record creates or changes.
    pub service: ServiceName,
    /// Schema version of `record`.
    pub schema: u32,
    /// Revision that the record replaces; 0 creates the service.
    pub basis: Offset,
    /// Routing record as JSON, in the form that `schema` defines.
    pub record: Value,
}

/// Takes a service out of force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retire {
    /// Service whose routing record is taken out of force.
    pub service: ServiceName,
    /// Revision that the record retires.
    pub basis: Offset,
}

/// Changes to assignments of ranges; each one is accepted or refused independently.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assign {
    /// Applied in order. If every change is refused, so is the record.
    pub changes: Vec<RangeChange>,
}

/// A change to the assignment of one range.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeChange {
    /// Service that the range belongs to.
    pub service: ServiceName,
    /// Index of the range within its service.
    pub range: RangeIndex,
    /// Offset of the assignment that the change replaces; 0 if the range has none.
    pub basis: Offset,
    /// Members of a new lease, the first of which is to hold it; if left out, the current lease
    /// continues.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub members: Option<Vec<Member>>,
    /// Whether the writer had acquired the lease that this change replaces. If not, the new lease must
    /// also take over the leases before that one.
    #[serde(default)]
    pub held: bool,
    /// The owning upstream of the range.
    pub upstream: UpstreamId,
    /// Hot keys of the range, which have an owning upstream of their own.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub hot: Vec<HotKey>,
}

/// A hot key with an owning upstream of its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HotKey {
    /// Hash of the key.
    pub key: KeyHash,
    /// Upstream that owns the key in place of the range's owner.
    pub upstream: UpstreamId,
}

/// A part of a checkpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckpointPart {
    /// Offset of the last record that the checkpoint covers.
    pub base: Offset,
    /// Digest of the complete checkpoint.
    pub digest: String,
    /// Index of this part, from 0.
    pub index: u32,
    /// Number of parts of the checkpoint.
    pub count: u32,
    /// Text of this part.
    pub data: String,
}
