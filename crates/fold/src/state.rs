//! The state in force after applying the log up to an offset.

use crate::history::ServiceHistory;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use skylarkdock_records::envelope::HotKey;
use skylarkdock_units::ids::{Member, Offset, RangeId, RangeIndex, ServiceName, UpstreamId};
use skylarkdock_units::requests::RecordId;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of previous leases of a range that are not taken over yet.
pub const MAX_PREVIOUS_LEASES: usize = 8;

/// Maximum number of members of a lease.
pub const MAX_MEMBERS: usize = 16;

/// Maximum number of retired services whose leases are kept.
pub const MAX_RETIRED_SERVICES: usize = 1024;

/// Maximum number of record ids that are kept to refuse copies of records.
pub const MAX_DECIDED_IDS: usize = 1024;

/// The state in force, equal on all hosts that have applied the log up to the same offset.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Offset of the last record applied.
    pub applied: Offset,
    /// Services in force.
    pub services: BTreeMap<ServiceName, ServiceState>,
    /// Histories of the services in force and of some retired ones.
    #[serde(rename = "kept")]
    pub histories: BTreeMap<ServiceName, ServiceHistory>,
    /// Ids of the latest operator records that were accepted or refused, oldest first.
    pub decided: VecDeque<RecordId>,
}

impl State {
    /// Returns the assignment of a range.
    pub fn assignment(&self, range: &RangeId) -> Option<&Assignment> {
        self.services.get(&range.service)?.ranges.get(&range.index)
    }

    /// Returns all assignments, ordered by range.
    pub fn assignments(&self) -> impl Iterator<Item = (RangeId, &Assignment)> {
        self.services.iter().flat_map(|(service, state)| {
            state.ranges.iter().map(|(index, assignment)| {
                (RangeId { service: service.clone(), index: *index }, assignment)
            })
        })
    }

    pub(crate) fn remember_decided(&mut self, id: RecordId) {
        if self.decided.len() == MAX_DECIDED_IDS {
            self.decided.pop_front();
        }
        self.decided.push_back(id);
    }

    /// Removes the history of the service that was retired first if there are more than
    /// `MAX_RETIRED_SERVICES`.
    pub(crate) fn evict_oldest_retired(&mut self) {
        let retired =
            self.histories.iter().filter_map(|(name, history)| Some((history.retired?, name)));
        let (count, oldest) = (retired.clone().count(), retired.min());
        let oldest = oldest.map(|(_, name)| name.clone());
        if let Some(name) = oldest.filter(|_| count > MAX_RETIRED_SERVICES) {
            self.histories.remove(&name);
        }
    }
}

/// A service in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceState {
    /// Offset of the newest routing record.
    pub revision: Offset,
    /// Writer of that record.
    pub by: String,
    /// The newest record of each schema version, unless a newer record has an older version.
    pub records: BTreeMap<u32, Revision>,
    /// Assignments of ranges; a range without one is left out.
    pub ranges: BTreeMap<RangeIndex, Assignment>,
}

/// A routing record and its offset.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Revision {
    /// Offset of the record.
    pub offset: Offset,
    /// The routing record.
    pub record: Value,
}

/// The lease of a range and its owning upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Offset of the record that set this assignment.
    pub offset: Offset,
    /// Offset of the record that named the lease's members.
    pub lease: Offset,
    /// Members of the lease in order of succession; each is both a possible holder and a witness.
    pub members: Vec<Member>,
    /// Previous leases, whose promises must lapse before this lease can be held.
    pub previous: Vec<PreviousLease>,
    /// The owning upstream of the range.
    pub upstream: UpstreamId,
    /// Hot keys, which have an owning upstream of their own.
    pub hot: Vec<HotKey>,
}

/// A lease that was replaced by a newer one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreviousLease {
    /// Offset of the record that named its members.
    pub lease: Offset,
    /// Its members.
    pub members: Vec<Member>,
}
