//! Data that is kept of a service beyond its newest revisions, and after it is retired.

use crate::state::{Assignment, PreviousLease, Revision, ServiceState};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use skylarkdock_records::NEWEST_SCHEMA;
use skylarkdock_records::decode::MAX_RANGES;
use skylarkdock_records::envelope::Publish;
use skylarkdock_units::ids::{Offset, RangeIndex};
use std::collections::BTreeMap;

/// Maximum schema version accepted; it bounds the number of revisions that are kept.
pub const MAX_SCHEMA: u32 = 64;

/// Maximum nesting depth of a routing record. A checkpoint nests it some levels deeper, and the JSON
/// parser reads at most 127 levels.
pub const MAX_NESTING_DEPTH: usize = 64;

/// Number of superseded revisions that are kept for hosts that read up to a given schema version, in
/// case the newer ones have faults.
pub const OLDER_REVISIONS_KEPT: usize = 2;

/// Data that is kept of a service beyond its newest revisions, and after it is retired.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceHistory {
    /// Offset of the record that retired the service; none while the service is in force.
    pub retired: Option<Offset>,
    /// Number of key ranges, fixed by the first record that contains a valid one.
    pub ranges: Option<u32>,
    /// Superseded revisions with their schema versions, oldest first.
    pub older: Vec<(u32, Revision)>,
    /// Offset of the newest dropped revision of each schema version.
    pub dropped: BTreeMap<u32, Offset>,
    /// Leases from before the service was retired, which the first new lease of each range must take
    /// over.
    pub leases: BTreeMap<RangeIndex, Vec<PreviousLease>>,
}

impl ServiceHistory {
    /// Returns a description of the first contradiction between a record and its envelope, the limits
    /// or the number of ranges in force. Reads only fields that every schema version has.
    pub(crate) fn find_contradiction(&self, publish: &Publish) -> Option<String> {
        let record = &publish.record;
        let service = record.get("service").and_then(Value::as_str);
        let schema = record.get("schema").and_then(Value::as_u64);
        if publish.schema > MAX_SCHEMA {
            return Some(format!("schema: {} exceeds the maximum of {MAX_SCHEMA}", publish.schema));
        }
        if nesting_depth(record) > MAX_NESTING_DEPTH {
            return Some(format!("record is nested deeper than {MAX_NESTING_DEPTH} levels"));
        }
        if service.is_some_and(|service| service != publish.service.as_str()) {
            return Some(format!("service: differs from {} in the envelope", publish.service));
        }
        if schema.is_some_and(|schema| schema != u64::from(publish.schema)) {
            return Some(format!("schema: differs from {} in the envelope", publish.schema));
        }
        let fixed = self
            .ranges
            .filter(|fixed| range_count(record).is_some_and(|found| found != u64::from(*fixed)));
        fixed.map(|fixed| format!("ranges: can't change, {fixed} is in force"))
    }

    pub(crate) fn fix_range_count(&mut self, record: &Value) {
        let found = range_count(record).filter(|ranges| (1..=MAX_RANGES).contains(ranges));
        let found = found.and_then(|ranges| u32::try_from(ranges).ok());
        self.ranges = self.ranges.or(found);
    }

    /// Returns whether an index is below the service's number of ranges.
    pub(crate) fn has_range(&self, range: RangeIndex) -> bool {
        let count = self.ranges.map_or(MAX_RANGES, u64::from);
        u64::from(range.0) < count
    }

    /// Moves the revisions that a new one of version `schema` supersedes from `service` to `older`, then
    /// drops each revision to which hosts have at least `OLDER_REVISIONS_KEPT` newer alternatives.
    pub(crate) fn supersede(&mut self, service: &mut ServiceState, schema: u32) {
        self.older.extend(service.records.split_off(&schema));
        self.older.sort_by_key(|(_, revision)| revision.offset);
        let all = std::mem::take(&mut self.older);
        let newer = |schema: u32, offset: Offset| {
            all.iter().filter(|(other, found)| *other <= schema && found.offset > offset).count()
        };
        for (schema, revision) in &all {
            if newer(*schema, revision.offset) < OLDER_REVISIONS_KEPT {
                self.older.push((*schema, revision.clone()));
            } else {
                self.dropped.insert(*schema, revision.offset);
            }
        }
    }

    /// Returns whether a revision newer than `offset`, of a schema version that this host can read, was
    /// dropped.
    pub(crate) fn has_dropped_after(&self, offset: Offset) -> bool {
        self.dropped.range(..=NEWEST_SCHEMA).any(|(_, dropped)| *dropped > offset)
    }

    /// Keeps the leases of a service that is retired and drops its revisions.
    pub(crate) fn retire(&mut self, offset: Offset, ranges: BTreeMap<RangeIndex, Assignment>) {
        self.retired = Some(offset);
        self.older.clear();
        self.dropped.clear();
        for (range, assignment) in ranges {
            let last = PreviousLease { lease: assignment.lease, members: assignment.members };
            let mut leases = assignment.previous;
            leases.push(last);
            self.leases.insert(range, leases);
        }
        if self.leases.is_empty() {
            self.ranges = None;
        }
    }
}

fn range_count(record: &Value) -> Option<u64> {
    record.get("ranges").and_then(Value::as_u64)
}

fn nesting_depth(value: &Value) -> usize {
    let deepest = match value {
        Value::Array(list) => list.iter().map(nesting_depth).max(),
        Value::Object(map) => map.values().map(nesting_depth).max(),
        _ => return 0,
    };
    1 + deepest.unwrap_or(0)
}
