//! Several readers of one log, among them ones that restart, against a simple oracle.
//!
//! `SKYLARKDOCK_FUZZ_CASES` and `SKYLARKDOCK_FUZZ_SEED` set how many runs there are and which.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use fastrand::Rng;
use skylarkdock_fold::kept::OLDER_REVISIONS;
use skylarkdock_fold::start::Scan;
use skylarkdock_fold::{Fold, Refusal, Verdict, checkpoint};
use skylarkdock_records::envelope::CheckpointPart;
use skylarkdock_units::ids::Offset;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use support::Reader;
use support::oracle::{Kind, Move, Op, Oracle, Service};

const CASES: u64 = 12;
const SEED: u64 = 1;
const STEPS: usize = 300;
const SERVICES: [Service; 2] = ["orders", "stays"];
const UNREADABLE: [&str; 4] = ["", "{", "[1]", r#"{"id":1,"by":"x","at":0,"body":{"later":{}}}"#];
const READERS: usize = 3;
const WRITERS: usize = 2;

/// How often states worth testing were reached.
type Counts = BTreeMap<&'static str, u64>;

#[derive(Default)]
struct World {
    ops: Vec<Op>,
    texts: Vec<String>,
    oldest: usize,
    oracle: Oracle,
    /// Reads everything at once and never restarts; the first of all readers.
    steady: Reader,
    /// State digests of the steady reader by offset.
    digests: Vec<String>,
    readers: [Reader; READERS],
    /// Revisions that each reader has seen.
    seen: [BTreeMap<Service, u64>; READERS],
    writers: [VecDeque<CheckpointPart>; WRITERS],
    ids: u128,
    counts: Counts,
}

impl World {
    fn new() -> Self {
        let steady = Reader::default();
        Self { digests: vec![steady.digest()], steady, ..Self::default() }
    }

    fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    fn append(&mut self, op: Op) {
        let (text, offset) = (op.text(), self.texts.len() as u64 + 1);
        let expected = self.oracle.decide(offset, &op);
        let verdict = self.steady.add(&text).verdict;
        let accepted = verdict == Verdict::Accepted { offset: Offset(offset) };
        assert_eq!(accepted, expected, "at {offset}: {op:?}: {verdict:?}");
        if matches!(verdict, Verdict::Refused { reason: Refusal::Repeated }) {
            self.count("copy refused");
        }
        self.count(match (&op, accepted) {
            (Op::Publish { basis: 0, .. }, true) => "created",
            (Op::Publish { kind: Kind::Newer, .. }, true) => "newer schema accepted",
            (Op::Publish { kind: Kind::Faulty, .. }, true) => "faulty record accepted",
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
        self.digests.push(self.steady.digest());
        self.check_steady();
    }

    fn check_steady(&mut self) {
        let state = self.steady.fold.state();
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
            let reading = self.steady.reading(service).map(|(_, upstream)| upstream);
            assert_eq!(reading, self.oracle.readings.get(service).cloned());
        }
        let most = self.oracle.ranges.values().map(|(_, _, previous)| previous.len()).max();
        if most.is_some_and(|most| most > 2) {
            self.count("three leases to take over");
        }
    }

    /// Lets a reader read on to an offset.
    fn read(&mut self, reader: usize, to: usize) {
        let from = self.readers[reader].fold.state().applied.0 as usize;
        for offset in from + 1..=to {
            let text = &self.texts[offset - 1];
            self.readers[reader].fold.apply(Offset(offset as u64), text).unwrap();
        }
        assert_eq!(
            self.readers[reader].digest(),
            self.digests[from.max(to)],
            "reader {reader} at {to}"
        );
        for (service, found) in &self.readers[reader].fold.state().services {
            let service = SERVICES.into_iter().find(|known| *known == service.as_str()).unwrap();
            let seen = self.seen[reader].insert(service, found.revision.0);
            assert!(seen.is_none_or(|seen| seen <= found.revision.0), "{service} went back");
        }
        if from.max(to) == self.texts.len() {
            self.compare_readings(reader);
        }
    }

    fn compare_readings(&mut self, reader: usize) {
        for service in SERVICES {
            let (found, steady) =
                (self.readers[reader].reading(service), self.steady.reading(service));
            let behind = self.oracle.behind.get(service).copied().unwrap_or(0);
            let lost = found.is_none() && behind > OLDER_REVISIONS;
            assert!(found == steady || lost, "{service}: {found:?}, {steady:?}, {behind}");
            if found.is_some() && behind > 0 {
                self.count("kept in force behind a record that is not read");
            }
        }
    }

    /// Base of the newest checkpoint that is whole in what the log still has.
    fn newest_whole(&self) -> u64 {
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

    fn restart(&mut self, reader: usize) {
        let before = self.readers[reader].fold.state().applied.0 as usize;
        let mut scan = Scan::default();
        self.texts[self.oldest - 1..].iter().for_each(|text| scan.add(text));
        let whole = self.newest_whole();
        match scan.finish(Offset(self.oldest as u64)) {
            Ok(state) => {
                assert_eq!(state.applied.0, whole);
                assert!(self.oldest as u64 <= whole + 1);
                self.count(if whole == 0 {
                    "started at the first record"
                } else {
                    "started at a checkpoint"
                });
                self.readers[reader] = Reader { fold: Fold::from_state(state) };
                self.read(reader, before.max(self.texts.len()));
            }
            Err(_) => {
                assert!(self.oldest as u64 > whole + 1);
                self.count("no start over a gap");
            }
        }
    }

    fn try_gap(&mut self, reader: usize) {
        let fold = &mut self.readers[reader].fold;
        let applied = fold.state().applied.0;
        assert!(fold.apply(Offset(applied + 2), "{}").is_err());
        assert_eq!(fold.state().applied.0, applied);
        self.count("gap refused");
    }

    fn basis(&self, service: Service, rng: &mut Rng) -> u64 {
        let right = self.oracle.revisions.get(service).copied().unwrap_or(0);
        if rng.u8(..10) < 7 { right } else { rng.u64(..=self.texts.len() as u64) }
    }

    fn next_move(&self, rng: &mut Rng) -> Move {
        let (service, range) = (SERVICES[rng.usize(..2)], rng.u32(..5));
        let right = self.oracle.ranges.get(&(service, range)).map_or(0, |found| found.0);
        let basis = if rng.u8(..10) < 8 { right } else { rng.u64(..=self.texts.len() as u64) };
        let first = rng.u32(..5);
        let hosts = if rng.u8(..5) == 0 { Vec::new() } else { vec![first, first + 1, first + 2] };
        Move { service, range, basis, hosts, held: rng.u8(..4) == 0 }
    }

    fn next_op(&mut self, rng: &mut Rng) -> Op {
        self.ids += 1;
        let (id, service) = (self.ids, SERVICES[rng.usize(..2)]);
        let basis = self.basis(service, rng);
        match rng.u8(..20) {
            0..6 => {
                let kind = match rng.u8(..10) {
                    0 | 1 => Kind::Faulty,
                    2 | 3 => Kind::Newer,
                    4 => Kind::OtherService,
                    _ => Kind::Good,
                };
                let schema = if kind == Kind::Newer { 3 } else { rng.u32(1..=2) };
                let ranges = if rng.u8(..10) == 0 { 8 } else { 4 };
                let pad = if rng.u8(..4) == 0 { 40_000 } else { 0 };
                Op::Publish { id, service, basis, kind, schema, ranges, pad }
            }
            6 => Op::Retire { id, service, basis },
            7..14 => Op::Assign {
                id,
                moves: (0..rng.usize(1..4)).map(|_| self.next_move(rng)).collect(),
            },
            14 => Op::Unreadable(UNREADABLE[rng.usize(..4)]),
            15..17 if !self.ops.is_empty() => self.ops[rng.usize(..self.ops.len())].clone(),
            _ => self.next_part(rng).unwrap_or(Op::Unreadable("")),
        }
    }

    /// The next part of a checkpoint that one of the writers writes, unless it is lost.
    fn next_part(&mut self, rng: &mut Rng) -> Option<Op> {
        let writer = rng.usize(..WRITERS);
        if self.writers[writer].is_empty() || rng.u8(..20) == 0 {
            let parts = checkpoint::split(self.readers[writer].fold.state()).unwrap();
            self.writers[writer] = parts.into();
        }
        let part = self.writers[writer].pop_front()?;
        if rng.u8(..20) == 0 {
            self.count("checkpoint part lost");
            return None;
        }
        Some(Op::Part(part))
    }

    fn step(&mut self, rng: &mut Rng) {
        let op = self.next_op(rng);
        self.append(op);
        let reader = rng.usize(..READERS);
        let applied = self.readers[reader].fold.state().applied.0 as usize;
        match rng.u8(..20) {
            0..8 => self.read(reader, rng.usize(applied..=self.texts.len())),
            8..11 => self.read(reader, self.texts.len()),
            11 | 12 => self.restart(reader),
            13 => self.try_gap(reader),
            14 => self.oldest = rng.usize(self.oldest..=self.oldest + 20).min(self.texts.len()),
            _ => {}
        }
        let more = self.writers.iter().map(VecDeque::len).max().unwrap_or(0);
        if more > 1 {
            self.count("checkpoint of several parts under way");
        }
    }
}

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().map_or(default, |text| text.parse().unwrap())
}

#[test]
fn readers_agree_with_the_oracle_and_with_one_another() {
    let cases = setting("SKYLARKDOCK_FUZZ_CASES", CASES);
    let seed = setting("SKYLARKDOCK_FUZZ_SEED", SEED);
    let mut counts = Counts::new();
    for case in 0..cases {
        let mut rng = Rng::with_seed(seed.wrapping_add(case));
        let mut world = World { oldest: 1, ..World::new() };
        println!("case with seed {}", seed.wrapping_add(case));
        (0..STEPS).for_each(|_| world.step(&mut rng));
        (0..READERS).for_each(|reader| world.read(reader, world.texts.len()));
        for (what, count) in world.counts {
            *counts.entry(what).or_default() += count;
        }
    }
    println!("{cases} cases of {STEPS} records: {counts:#?}");
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
        "three leases to take over",
        "unreadable text",
        "checkpoint part",
        "checkpoint part lost",
        "checkpoint of several parts under way",
        "started at a checkpoint",
        "started at the first record",
        "no start over a gap",
        "gap refused",
        "kept in force behind a record that is not read",
    ];
    let missing: Vec<_> = expected.into_iter().filter(|what| !counts.contains_key(what)).collect();
    assert!(missing.is_empty(), "never reached: {missing:?}");
}
