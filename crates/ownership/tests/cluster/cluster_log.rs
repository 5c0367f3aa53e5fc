//! The simulated log of the cluster and the records that tests append to it.

use serde_json::json;
use skylarkdock_records::envelope::{Assign, Body, Envelope, Publish, RangeChange, Retire};
use skylarkdock_units::ids::{Member, Offset, RangeId};
use skylarkdock_units::times::WallTime;
use std::collections::BTreeSet;

/// The simulated log; the record at index 0 has offset 1.
#[derive(Debug, Default)]
pub struct ClusterLog {
    pub records: Vec<String>,
    /// Offsets of assignments by [`super::Cluster::replace_lease`].
    pub replacements: BTreeSet<Offset>,
}

impl ClusterLog {
    /// Appends a record and returns its offset.
    pub fn append(&mut self, body: Body) -> Offset {
        let next = self.records.len() as u64 + 1;
        let id = format!("00000000-0000-7000-8000-{next:012x}").parse().unwrap();
        let envelope = Envelope { id, by: "test".to_owned(), at: WallTime(0), body };
        self.records.push(serde_json::to_string(&envelope).unwrap());
        Offset(next)
    }

    /// Appends the publication of a range's service.
    pub fn publish(&mut self, range: &RangeId) -> Offset {
        let service = range.service.clone();
        let basis = Offset(0);
        self.append(Body::Publish(Publish { service, schema: 1, basis, record: json!({}) }))
    }

    /// Appends the retirement of a range's service.
    pub fn retire(&mut self, range: &RangeId, basis: Offset) -> Offset {
        self.append(Body::Retire(Retire { service: range.service.clone(), basis }))
    }

    /// Appends an assignment of a range to a new upstream; the members stay if none are given.
    pub fn assign(
        &mut self,
        range: &RangeId,
        basis: Offset,
        members: Option<Vec<Member>>,
        held: bool,
    ) -> Offset {
        let next = self.records.len() as u64 + 1;
        let change = RangeChange {
            service: range.service.clone(),
            range: range.index,
            basis,
            members,
            held,
            upstream: format!("u{next}").parse().unwrap(),
            hot: Vec::new(),
        };
        self.append(Body::Assign(Assign { changes: vec![change] }))
    }
}
