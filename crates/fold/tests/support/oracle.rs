//! Independent model of the fold: compare-and-set per service and per range.

use super::{assign, change, publish, record_text, retire, routing_record};
use serde_json::json;
use skylarkdock_records::envelope::{Body, CheckpointPart};
use std::collections::{BTreeMap, BTreeSet};

pub type Service = &'static str;

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RecordKind {
    Good,
    Faulty,
    NewerSchema,
    OtherService,
}

#[derive(Debug, Clone)]
pub struct OracleChange {
    pub service: Service,
    pub range: u32,
    pub basis: u64,
    pub hosts: Vec<u32>,
    pub held: bool,
}

#[derive(Debug, Clone)]
pub enum Op {
    Publish {
        id: u128,
        service: Service,
        basis: u64,
        kind: RecordKind,
        schema: u32,
        ranges: u32,
        padding: usize,
    },
    Retire {
        id: u128,
        service: Service,
        basis: u64,
    },
    Assign {
        id: u128,
        changes: Vec<OracleChange>,
    },
    Part(CheckpointPart),
    Unreadable(&'static str),
}

impl Op {
    pub fn text(&self) -> String {
        match self {
            Self::Publish { id, service, basis, kind, schema, ranges, padding } => {
                let service_in_record =
                    if *kind == RecordKind::OtherService { "other" } else { service };
                let mut record = routing_record(service_in_record, *schema, *ranges, *id as u64);
                match kind {
                    RecordKind::Faulty => record["upstreams"] = json!([]),
                    RecordKind::NewerSchema => {
                        record = json!({"schema": 3, "pad": "x".repeat(*padding), "f": 0.1})
                    }
                    RecordKind::Good | RecordKind::OtherService => {}
                }
                publish(*id, service, *basis, record)
            }
            Self::Retire { id, service, basis } => retire(*id, service, *basis),
            Self::Assign { id, changes } => {
                let changes =
                    changes.iter().map(|m| change(m.service, m.range, m.basis, &m.hosts, m.held));
                assign(*id, changes.collect())
            }
            Self::Part(chunk) => record_text(0, Body::Checkpoint(chunk.clone())),
            Self::Unreadable(text) => (*text).to_owned(),
        }
    }
}

#[derive(Debug, Default)]
pub struct Oracle {
    pub revisions: BTreeMap<Service, u64>,
    pub decoded_upstreams: BTreeMap<Service, String>,
    /// Number of revisions newer than the one that can be decoded.
    pub revisions_behind: BTreeMap<Service, usize>,
    /// Assignment offset, lease offset and previous lease offsets of each range.
    pub ranges: BTreeMap<(Service, u32), (u64, u64, Vec<u64>)>,
    former_leases: BTreeMap<(Service, u32), Vec<u64>>,
    range_counts: BTreeMap<Service, u32>,
    decided_ids: BTreeSet<u128>,
}

impl Oracle {
    /// Applies the record at an offset and returns whether it is accepted.
    pub fn apply(&mut self, offset: u64, op: &Op) -> bool {
        match op {
            Op::Part(_) => true,
            Op::Unreadable(_) => false,
            Op::Assign { changes, .. } => {
                changes.iter().filter(|m| self.assign(offset, m)).count() > 0
            }
            Op::Retire { id, service, basis } => {
                let is_admissible =
                    self.decided_ids.insert(*id) && self.revisions.get(service) == Some(basis);
                if is_admissible {
                    self.retire(service);
                }
                is_admissible
            }
            Op::Publish { id, service, basis, kind, ranges, .. } => {
                let is_admissible = self.decided_ids.insert(*id)
                    && self.revisions.get(service).copied().unwrap_or(0) == *basis
                    && *kind != RecordKind::OtherService;
                let named_count = (*kind != RecordKind::NewerSchema).then_some(*ranges);
                let fixed = self.range_counts.get(service).copied();
                if !is_admissible
                    || (named_count.is_some() && fixed.is_some() && fixed != named_count)
                {
                    return false;
                }
                self.range_counts.extend(fixed.or(named_count).map(|count| (*service, count)));
                self.revisions.insert(service, offset);
                *self.revisions_behind.entry(service).or_default() += 1;
                if *kind == RecordKind::Good {
                    self.decoded_upstreams.insert(service, format!("u{id}"));
                    self.revisions_behind.insert(service, 0);
                }
                true
            }
        }
    }

    fn retire(&mut self, service: Service) {
        self.revisions.remove(service);
        self.decoded_upstreams.remove(service);
        self.revisions_behind.remove(service);
        let ranges = std::mem::take(&mut self.ranges);
        for (range, (offset, lease, mut previous)) in ranges {
            if range.0 == service {
                previous.push(lease);
                self.former_leases.insert(range, previous);
            } else {
                self.ranges.insert(range, (offset, lease, previous));
            }
        }
        if !self.former_leases.keys().any(|(owner, _)| *owner == service) {
            self.range_counts.remove(service);
        }
    }

    fn assign(&mut self, offset: u64, m: &OracleChange) -> bool {
        let range = (m.service, m.range);
        let current = self.ranges.get(&range).cloned();
        let basis = current.as_ref().map_or(0, |(offset, ..)| *offset);
        let count = self.range_counts.get(m.service).copied().unwrap_or(4096);
        if !self.revisions.contains_key(m.service) || basis != m.basis || m.range >= count {
            return false;
        }
        let next = match (current, m.hosts.is_empty()) {
            (None, true) => return false,
            (Some((_, lease, previous)), true) => (offset, lease, previous),
            (None, false) => {
                (offset, offset, self.former_leases.remove(&range).unwrap_or_default())
            }
            (Some((_, lease, mut previous)), false) => {
                if m.held {
                    previous.clear();
                }
                previous.push(lease);
                if previous.len() > 8 {
                    return false;
                }
                (offset, offset, previous)
            }
        };
        self.ranges.insert(range, next);
        true
    }
}
