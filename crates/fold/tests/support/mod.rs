//! Records and readers that the tests share.

#![allow(dead_code, clippy::unwrap_used, clippy::expect_used)]

pub mod oracle;

use serde_json::{Value, json};
use skylarkdock_fold::fold::Applied;
use skylarkdock_fold::{Fold, Refusal, Verdict, checkpoint};
use skylarkdock_records::envelope::{Assign, Body, Envelope, Publish, RangeChange, Retire};
use skylarkdock_units::ids::{Member, Offset, RangeIndex, ServiceName};
use skylarkdock_units::requests::RecordId;
use skylarkdock_units::times::WallTime;
use uuid::Uuid;

pub fn name(service: &str) -> ServiceName {
    service.parse().unwrap()
}

pub fn member(host: u32, incarnation: u64) -> Member {
    format!("host-{host}#{incarnation}").parse().unwrap()
}

pub fn text(id: u128, body: Body) -> String {
    let id = RecordId(Uuid::from_u128(id));
    let envelope = Envelope { id, by: format!("op-{id}"), at: WallTime(0), body };
    serde_json::to_string(&envelope).unwrap()
}

pub fn record(service: &str, schema: u32, ranges: u32, mark: u64) -> Value {
    json!({"schema": schema, "service": service, "ranges": ranges,
        "upstreams": [{"id": format!("u{mark}"), "address": "10.0.0.1:80", "zone": "z"}]})
}

pub fn publish(id: u128, service: &str, basis: u64, record: Value) -> String {
    let schema = record["schema"].as_u64().unwrap() as u32;
    let basis = Offset(basis);
    text(id, Body::Publish(Publish { service: name(service), schema, basis, record }))
}

pub fn retire(id: u128, service: &str, basis: u64) -> String {
    text(id, Body::Retire(Retire { service: name(service), basis: Offset(basis) }))
}

pub fn change(service: &str, range: u32, basis: u64, hosts: &[u32], held: bool) -> RangeChange {
    let members = hosts.iter().map(|host| member(*host, 1)).collect::<Vec<_>>();
    RangeChange {
        service: name(service),
        range: RangeIndex(range),
        basis: Offset(basis),
        members: (!members.is_empty()).then_some(members),
        held,
        upstream: "u1".parse().unwrap(),
        hot: Vec::new(),
    }
}

pub fn assign(id: u128, changes: Vec<RangeChange>) -> String {
    text(id, Body::Assign(Assign { changes }))
}

/// A fold and the log that it reads.
#[derive(Default)]
pub struct Reader {
    pub fold: Fold,
}

impl Reader {
    pub fn add(&mut self, text: &str) -> Applied {
        let next = self.fold.state().applied.0 + 1;
        self.fold.apply(Offset(next), text).unwrap().unwrap()
    }

    pub fn accepted(&mut self, text: &str) -> u64 {
        match self.add(text).verdict {
            Verdict::Accepted { offset } => offset.0,
            refused @ Verdict::Refused { .. } => panic!("{refused:?}"),
        }
    }

    pub fn refused(&mut self, text: &str) -> Refusal {
        match self.add(text).verdict {
            Verdict::Refused { reason } => reason,
            accepted @ Verdict::Accepted { .. } => panic!("{accepted:?}"),
        }
    }

    /// Goes through a checkpoint, as a host does that starts with nothing.
    pub fn restarted(&self) -> Self {
        let mut assembler = checkpoint::Assembler::default();
        let parts = checkpoint::split(self.fold.state()).unwrap();
        let states = parts.into_iter().filter_map(|part| assembler.add(part).unwrap());
        Self { fold: Fold::from_state(states.last().unwrap()) }
    }

    pub fn digest(&self) -> String {
        checkpoint::state_digest(self.fold.state()).unwrap()
    }

    /// What the reader makes of the service in force: its number of ranges and first upstream.
    pub fn reading(&self, service: &str) -> Option<(u32, String)> {
        let found = self.fold.service(&name(service))?;
        Some((found.ranges, found.upstreams[0].id.to_string()))
    }
}
