//! Builders of records, and a replica of the log's state, for all tests.

#![allow(dead_code, clippy::unwrap_used, clippy::expect_used)]

pub mod oracle;

use serde_json::{Value, json};
use skylarkdock_fold::fold::AppliedRecord;
use skylarkdock_fold::{Fold, Refusal, Verdict, checkpoint};
use skylarkdock_records::envelope::{Assign, Body, Envelope, Publish, RangeChange, Retire};
use skylarkdock_units::ids::{Member, Offset, RangeIndex, ServiceName};
use skylarkdock_units::requests::RecordId;
use skylarkdock_units::times::WallTime;
use uuid::Uuid;

pub fn service_name(service: &str) -> ServiceName {
    service.parse().unwrap()
}

pub fn member(host: u32, incarnation: u64) -> Member {
    format!("host-{host}#{incarnation}").parse().unwrap()
}

pub fn record_text(id: u128, body: Body) -> String {
    let id = RecordId(Uuid::from_u128(id));
    let envelope = Envelope { id, by: format!("op-{id}"), at: WallTime(0), body };
    serde_json::to_string(&envelope).unwrap()
}

pub fn routing_record(service: &str, schema: u32, ranges: u32, upstream_number: u64) -> Value {
    json!({"schema": schema, "service": service, "ranges": ranges,
        "upstreams": [{"id": format!("u{upstream_number}"), "address": "10.0.0.1:80", "zone": "z"}]})
}

pub fn publish(id: u128, service: &str, basis: u64, record: Value) -> String {
    let schema = record["schema"].as_u64().unwrap() as u32;
    let basis = Offset(basis);
    record_text(
        id,
        Body::Publish(Publish { service: service_name(service), schema, basis, record }),
    )
}

pub fn retire(id: u128, service: &str, basis: u64) -> String {
    record_text(id, Body::Retire(Retire { service: service_name(service), basis: Offset(basis) }))
}

pub fn change(service: &str, range: u32, basis: u64, hosts: &[u32], held: bool) -> RangeChange {
    let members = hosts.iter().map(|host| member(*host, 1)).collect::<Vec<_>>();
    RangeChange {
        service: service_name(service),
        range: RangeIndex(range),
        basis: Offset(basis),
        members: (!members.is_empty()).then_some(members),
        held,
        upstream: "u1".parse().unwrap(),
        hot: Vec::new(),
    }
}

pub fn assign(id: u128, changes: Vec<RangeChange>) -> String {
    record_text(id, Body::Assign(Assign { changes }))
}

/// A fold that applies each record given to it at the next offset.
#[derive(Default)]
pub struct Replica {
    pub fold: Fold,
}

impl Replica {
    pub fn add(&mut self, text: &str) -> AppliedRecord {
        let next = self.fold.state().applied.0 + 1;
        self.fold.apply(Offset(next), text).unwrap().unwrap()
    }

    pub fn expect_accepted(&mut self, text: &str) -> u64 {
        match self.add(text).verdict {
            Verdict::Accepted { offset } => offset.0,
            refused @ Verdict::Refused { .. } => panic!("{refused:?}"),
        }
    }

    pub fn expect_refused(&mut self, text: &str) -> Refusal {
        match self.add(text).verdict {
            Verdict::Refused { reason } => reason,
            accepted @ Verdict::Accepted { .. } => panic!("{accepted:?}"),
        }
    }

    /// Returns a replica restored from a checkpoint of this one, as on a host without stored state.
    pub fn restored_from_checkpoint(&self) -> Self {
        let mut assembler = checkpoint::Assembler::default();
        let parts = checkpoint::split(self.fold.state()).unwrap();
        let states = parts.into_iter().filter_map(|part| assembler.add(part).unwrap());
        Self { fold: Fold::from_state(states.last().unwrap()) }
    }

    pub fn digest(&self) -> String {
        checkpoint::state_digest(self.fold.state()).unwrap()
    }

    /// Returns the number of ranges and the first upstream of a service as decoded by this replica.
    pub fn decoded_service(&self, service: &str) -> Option<(u32, String)> {
        let found = self.fold.service(&service_name(service))?;
        Some((found.ranges, found.upstreams[0].id.to_string()))
    }
}
