//! What the log means, told independently of the fold: compare and set per service and per range.

use super::{assign, change, publish, record, retire, text};
use serde_json::json;
use skylarkdock_records::envelope::{Body, CheckpointPart};
use std::collections::{BTreeMap, BTreeSet};

pub type Service = &'static str;

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    Good,
    Faulty,
    Newer,
    OtherService,
}

#[derive(Debug, Clone)]
pub struct Move {
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
        kind: Kind,
        schema: u32,
        ranges: u32,
        pad: usize,
    },
    Retire {
        id: u128,
        service: Service,
        basis: u64,
    },
    Assign {
        id: u128,
        moves: Vec<Move>,
    },
    Part(CheckpointPart),
    Unreadable(&'static str),
}

impl Op {
    pub fn text(&self) -> String {
        match self {
            Self::Publish { id, service, basis, kind, schema, ranges, pad } => {
                let named = if *kind == Kind::OtherService { "other" } else { service };
                let mut record = record(named, *schema, *ranges, *id as u64);
                match kind {
                    Kind::Faulty => record["upstreams"] = json!([]),
                    Kind::Newer => record = json!({"schema": 3, "pad": "x".repeat(*pad), "f": 0.1}),
                    Kind::Good | Kind::OtherService => {}
                }
                publish(*id, service, *basis, record)
            }
            Self::Retire { id, service, basis } => retire(*id, service, *basis),
            Self::Assign { id, moves } => {
                let changes =
                    moves.iter().map(|m| change(m.service, m.range, m.basis, &m.hosts, m.held));
                assign(*id, changes.collect())
            }
            Self::Part(chunk) => text(0, Body::Checkpoint(chunk.clone())),
            Self::Unreadable(text) => (*text).to_owned(),
        }
    }
}

#[derive(Debug, Default)]
pub struct Oracle {
    pub revisions: BTreeMap<Service, u64>,
    pub readings: BTreeMap<Service, String>,
    /// Revisions since the one that is read here.
    pub behind: BTreeMap<Service, usize>,
    /// Offset, lease and previous leases of each range.
    pub ranges: BTreeMap<(Service, u32), (u64, u64, Vec<u64>)>,
    former: BTreeMap<(Service, u32), Vec<u64>>,
    counts: BTreeMap<Service, u32>,
    ids: BTreeSet<u128>,
}

impl Oracle {
    /// Tells whether the record at an offset is accepted, and moves on.
    pub fn decide(&mut self, offset: u64, op: &Op) -> bool {
        match op {
            Op::Part(_) => true,
            Op::Unreadable(_) => false,
            Op::Assign { moves, .. } => moves.iter().filter(|m| self.assign(offset, m)).count() > 0,
            Op::Retire { id, service, basis } => {
                let fits = self.ids.insert(*id) && self.revisions.get(service) == Some(basis);
                if fits {
                    self.retire(service);
                }
                fits
            }
            Op::Publish { id, service, basis, kind, ranges, .. } => {
                let fits = self.ids.insert(*id)
                    && self.revisions.get(service).copied().unwrap_or(0) == *basis
                    && *kind != Kind::OtherService;
                let names = (*kind != Kind::Newer).then_some(*ranges);
                let fixed = self.counts.get(service).copied();
                if !fits || (names.is_some() && fixed.is_some() && fixed != names) {
                    return false;
                }
                self.counts.extend(fixed.or(names).map(|count| (*service, count)));
                self.revisions.insert(service, offset);
                *self.behind.entry(service).or_default() += 1;
                if *kind == Kind::Good {
                    self.readings.insert(service, format!("u{id}"));
                    self.behind.insert(service, 0);
                }
                true
            }
        }
    }

    fn retire(&mut self, service: Service) {
        self.revisions.remove(service);
        self.readings.remove(service);
        self.behind.remove(service);
        let ranges = std::mem::take(&mut self.ranges);
        for (range, (offset, lease, mut previous)) in ranges {
            if range.0 == service {
                previous.push(lease);
                self.former.insert(range, previous);
            } else {
                self.ranges.insert(range, (offset, lease, previous));
            }
        }
        if !self.former.keys().any(|(owner, _)| *owner == service) {
            self.counts.remove(service);
        }
    }

    fn assign(&mut self, offset: u64, m: &Move) -> bool {
        let range = (m.service, m.range);
        let present = self.ranges.get(&range).cloned();
        let basis = present.as_ref().map_or(0, |(offset, ..)| *offset);
        let count = self.counts.get(m.service).copied().unwrap_or(4096);
        if !self.revisions.contains_key(m.service) || basis != m.basis || m.range >= count {
            return false;
        }
        let next = match (present, m.hosts.is_empty()) {
            (None, true) => return false,
            (Some((_, lease, previous)), true) => (offset, lease, previous),
            (None, false) => (offset, offset, self.former.remove(&range).unwrap_or_default()),
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
