//! Checks several replicas of one log, which lag behind and restart, against a simple oracle.
//!
//! `SKYLARKDOCK_FUZZ_CASES` sets the number of cases, `SKYLARKDOCK_FUZZ_SEED` the seed of the first one.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use fastrand::Rng;
use skylarkdock_fold::history::OLDER_REVISIONS_KEPT;
use skylarkdock_fold::startup::CheckpointScan;
use skylarkdock_fold::{Fold, Refusal, Verdict, checkpoint};
use skylarkdock_records::envelope::CheckpointPart;
use skylarkdock_units::ids::Offset;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use support::Replica;
use support::oracle::{Op, Oracle, OracleChange, RecordKind, Service};

const DEFAULT_CASES: u64 = 12;
const DEFAULT_SEED: u64 = 1;
const STEPS_PER_CASE: usize = 300;
const SERVICES: [Service; 2] = ["orders", "stays"];
const UNREADABLE_TEXTS: [&str; 4] =
    ["", "{", "[1]", r#"{"id":1,"by":"x","at":0,"body":{"later":{}}}"#];
const REPLICAS: usize = 3;
const CHECKPOINT_WRITERS: usize = 2;

/// Number of times that each situation of interest occurred.
type SituationCounts = BTreeMap<&'static str, u64>;

#[derive(Default)]
struct World {
    ops: Vec<Op>,
    texts: Vec<String>,
    oldest: usize,
    oracle: Oracle,
    /// Replica that applies every record at once and never restarts; the others are compared with it.
    reference: Replica,
    /// State digests of the reference replica, by offset.
    digests: Vec<String>,
    replicas: [Replica; REPLICAS],
    /// Newest revision of each service that each replica has applied.
    newest_revisions: [BTreeMap<Service, u64>; REPLICAS],
    checkpoint_writers: [VecDeque<CheckpointPart>; CHECKPOINT_WRITERS],
    last_id: u128,
    counts: SituationCounts,
}

impl World {
    fn new() -> Self {
        let reference = Replica::default();
        Self { digests: vec![reference.digest()], reference, ..Self::default() }
    }

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn append(&mut self, op: Op) {
        let (text, offset) = (op.text(), self.texts.len() as u64 + 1);
        let expected = self.oracle.apply(offset, &op);
        let verdict = self.reference.add(&text).verdict;
        let accepted = verdict == Verdict::Accepted { offset: Offset(offset) };
        assert_eq!(accepted, expected, "at {offset}: {op:?}: {verdict:?}");
        if matches!(verdict, Verdict::Refused { reason: Refusal::Repeated }) {
            self.count("copy refused");
        }
        self.count(match (&op, accepted) {
            (Op::Publish { basis: 0, .. }, true) => "created",
            (Op::Publish { kind: RecordKind::NewerSchema, .. }, true) => "newer schema accepted",
            (Op::Publish { kind: RecordKind::Faulty, .. }, true) => "faulty record accepted",
            (Op::Publish { .. }, true) => "changed",
            (Op::Publish { .. }, false) => "publish refused",
            (Op::Retire { .. }, true) => "retired",
            (Op::Retire { .. }, false) => "retire refused",
            (Op::Assign { .. }, true) => "assigned",
            (Op::Assign { .. }, false) => "assignment refused",
            (Op::Part(_), _) => "checkpoint part",
            (Op::Unreadable(_), _) => "unreadable text",
        });
        self.ops.push(op);
        self.texts.push(text);
        self.digests.push(self.reference.digest());
        self.check_reference();
    }

    fn check_reference(&mut self) {
        let state = self.reference.fold.state();
        let revisions: Vec<_> =
            state.services.iter().map(|(name, found)| (name.as_str(), found.revision.0)).collect();
        let expected: Vec<_> = self.oracle.revisions.iter().map(|(n, r)| (*n, *r)).collect();
        assert_eq!(revisions, expected);
        let found = state.assignments().map(|(range, found)| {
            let previous: Vec<_> = found.previous.iter().map(|lease| lease.lease.0).collect();
            ((range.service.to_string(), range.index.0), (found.offset.0, found.lease.0, previous))
        });
        let ranges =
            self.oracle.ranges.iter().map(|((s, i), found)| (((*s).to_owned(), *i), found.clone()));
        assert!(found.eq(ranges), "{:?}", self.oracle.ranges);
        for service in SERVICES {
            let decoded_service =
                self.reference.decoded_service(service).map(|(_, upstream)| upstream);
            assert_eq!(decoded_service, self.oracle.decoded_upstreams.get(service).cloned());
        }
        let most = self.oracle.ranges.values().map(|(_, _, previous)| previous.len()).max();
        if most.is_some_and(|most| most > 2) {
            self.count("more than two previous leases");
        }
    }

    /// Applies the records up to an offset to a replica.
    fn apply_up_to(&mut self, replica: usize, to: usize) {
        let from = self.replicas[replica].fold.state().applied.0 as usize;
        for offset in from + 1..=to {
            let text = &self.texts[offset - 1];
            self.replicas[replica].fold.apply(Offset(offset as u64), text).unwrap();
        }
        assert_eq!(
            self.replicas[replica].digest(),
            self.digests[from.max(to)],
            "replica {replica} at {to}"
        );
        for (service, found) in &self.replicas[replica].fold.state().services {
            let service = SERVICES.into_iter().find(|known| *known == service.as_str()).unwrap();
            let earlier_revision = self.newest_revisions[replica].insert(service, found.revision.0);
            assert!(
                earlier_revision.is_none_or(|earlier| earlier <= found.revision.0),
                "{service} went back to an older revision"
            );
        }
        if from.max(to) == self.texts.len() {
            self.compare_decoded_services(replica);
        }
    }

    fn compare_decoded_services(&mut self, replica: usize) {
        for service in SERVICES {
            let (found, reference) = (
                self.replicas[replica].decoded_service(service),
                self.reference.decoded_service(service),
            );
            let revisions_behind = self.oracle.revisions_behind.get(service).copied().unwrap_or(0);
            let lost = found.is_none() && revisions_behind > OLDER_REVISIONS_KEPT;
            assert!(
                found == reference || lost,
                "{service}: {found:?}, {reference:?}, {revisions_behind}"
            );
            if found.is_some() && revisions_behind > 0 {
                self.count("older revision in force because a newer one can't be decoded");
            }
        }
    }

    /// Returns the base of the newest checkpoint of which the log still has all parts, or 0.
    fn newest_complete_checkpoint(&self) -> u64 {
        let mut parts: BTreeMap<(u64, &str, u32), BTreeSet<u32>> = BTreeMap::new();
        for op in &self.ops[self.oldest - 1..] {
            if let Op::Part(chunk) = op {
                let whole = (chunk.base.0, chunk.digest.as_str(), chunk.count);
                parts.entry(whole).or_default().insert(chunk.index);
            }
        }
        let whole = parts.iter().filter(|((.., count), found)| found.len() == *count as usize);
        whole.map(|((base, ..), _)| *base).max().unwrap_or(0)
    }

    fn restart(&mut self, replica: usize) {
        let before = self.replicas[replica].fold.state().applied.0 as usize;
        let mut scan = CheckpointScan::default();
        self.texts[self.oldest - 1..].iter().for_each(|text| scan.add(text));
        let whole = self.newest_complete_checkpoint();
        match scan.finish(Offset(self.oldest as u64)) {
            Ok(state) => {
                assert_eq!(state.applied.0, whole);
                assert!(self.oldest as u64 <= whole + 1);
                self.count(if whole == 0 {
                    "started from the first record"
                } else {
                    "started from a checkpoint"
                });
                self.replicas[replica] = Replica { fold: Fold::from_state(state) };
                self.apply_up_to(replica, before.max(self.texts.len()));
            }
            Err(_) => {
                assert!(self.oldest as u64 > whole + 1);
                self.count("start refused because of a gap");
            }
        }
    }

    fn apply_with_gap(&mut self, replica: usize) {
        let fold = &mut self.replicas[replica].fold;
        let applied = fold.state().applied.0;
        assert!(fold.apply(Offset(applied + 2), "{}").is_err());
        assert_eq!(fold.state().applied.0, applied);
        self.count("gap refused");
    }

    fn basis(&self, service: Service, rng: &mut Rng) -> u64 {
        let current = self.oracle.revisions.get(service).copied().unwrap_or(0);
        if rng.u8(..10) < 7 { current } else { rng.u64(..=self.texts.len() as u64) }
    }

    fn next_change(&self, rng: &mut Rng) -> OracleChange {
        let (service, range) = (SERVICES[rng.usize(..2)], rng.u32(..5));
        let current = self.oracle.ranges.get(&(service, range)).map_or(0, |found| found.0);
        let basis = if rng.u8(..10) < 8 { current } else { rng.u64(..=self.texts.len() as u64) };
        let first = rng.u32(..5);
        let hosts = if rng.u8(..5) == 0 { Vec::new() } else { vec![first, first + 1, first + 2] };
        OracleChange { service, range, basis, hosts, held: rng.u8(..4) == 0 }
    }

    fn next_op(&mut self, rng: &mut Rng) -> Op {
        self.last_id += 1;
        let (id, service) = (self.last_id, SERVICES[rng.usize(..2)]);
        let basis = self.basis(service, rng);
        match rng.u8(..20) {
            0..6 => {
                let kind = match rng.u8(..10) {
                    0 | 1 => RecordKind::Faulty,
                    2 | 3 => RecordKind::NewerSchema,
                    4 => RecordKind::OtherService,
                    _ => RecordKind::Good,
                };
                let schema = if kind == RecordKind::NewerSchema { 3 } else { rng.u32(1..=2) };
                let ranges = if rng.u8(..10) == 0 { 8 } else { 4 };
                let padding = if rng.u8(..4) == 0 { 40_000 } else { 0 };
                Op::Publish { id, service, basis, kind, schema, ranges, padding }
            }
            6 => Op::Retire { id, service, basis },
            7..14 => Op::Assign {
                id,
                changes: (0..rng.usize(1..4)).map(|_| self.next_change(rng)).collect(),
            },
            14 => Op::Unreadable(UNREADABLE_TEXTS[rng.usize(..4)]),
            15..17 if !self.ops.is_empty() => self.ops[rng.usize(..self.ops.len())].clone(),
            _ => self.next_part(rng).unwrap_or(Op::Unreadable("")),
        }
    }

    /// Returns the next part of the checkpoint that a random writer writes; none if the part is lost.
    fn next_part(&mut self, rng: &mut Rng) -> Option<Op> {
        let writer = rng.usize(..CHECKPOINT_WRITERS);
        if self.checkpoint_writers[writer].is_empty() || rng.u8(..20) == 0 {
            let parts = checkpoint::split(self.replicas[writer].fold.state()).unwrap();
            self.checkpoint_writers[writer] = parts.into();
        }
        let part = self.checkpoint_writers[writer].pop_front()?;
        if rng.u8(..20) == 0 {
            self.count("checkpoint part lost");
            return None;
        }
        Some(Op::Part(part))
    }

    fn step(&mut self, rng: &mut Rng) {
        let op = self.next_op(rng);
        self.append(op);
        let replica = rng.usize(..REPLICAS);
        let applied = self.replicas[replica].fold.state().applied.0 as usize;
        match rng.u8(..20) {
            0..8 => self.apply_up_to(replica, rng.usize(applied..=self.texts.len())),
            8..11 => self.apply_up_to(replica, self.texts.len()),
            11 | 12 => self.restart(replica),
            13 => self.apply_with_gap(replica),
            14 => self.oldest = rng.usize(self.oldest..=self.oldest + 20).min(self.texts.len()),
            _ => {}
        }
        let most_parts_left = self.checkpoint_writers.iter().map(VecDeque::len).max().unwrap_or(0);
        if most_parts_left > 1 {
            self.count("checkpoint of several parts being written");
        }
    }
}

fn env_or_default(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().map_or(default, |text| text.parse().unwrap())
}

#[test]
fn replicas_agree_with_the_oracle_and_with_one_another() {
    let cases = env_or_default("SKYLARKDOCK_FUZZ_CASES", DEFAULT_CASES);
    let seed = env_or_default("SKYLARKDOCK_FUZZ_SEED", DEFAULT_SEED);
    let mut counts = SituationCounts::new();
    for case in 0..cases {
        let mut rng = Rng::with_seed(seed.wrapping_add(case));
        let mut world = World { oldest: 1, ..World::new() };
        println!("case with seed {}", seed.wrapping_add(case));
        (0..STEPS_PER_CASE).for_each(|_| world.step(&mut rng));
        (0..REPLICAS).for_each(|replica| world.apply_up_to(replica, world.texts.len()));
        for (what, count) in world.counts {
            *counts.entry(what).or_default() += count;
        }
    }
    println!("{cases} cases of {STEPS_PER_CASE} records: {counts:#?}");
    let expected = [
        "created",
        "changed",
        "retired",
        "publish refused",
        "retire refused",
        "copy refused",
        "newer schema accepted",
        "faulty record accepted",
        "assigned",
        "assignment refused",
        "more than two previous leases",
        "unreadable text",
        "checkpoint part",
        "checkpoint part lost",
        "checkpoint of several parts being written",
        "started from a checkpoint",
        "started from the first record",
        "start refused because of a gap",
        "gap refused",
        "older revision in force because a newer one can't be decoded",
    ];
    let missing: Vec<_> = expected.into_iter().filter(|what| !counts.contains_key(what)).collect();
    assert!(missing.is_empty(), "never reached: {missing:?}");
}
