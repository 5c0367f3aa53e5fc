//! One deduplication memory: which requests it runs, answers from its records, refuses and evicts.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use rstest::rstest;
use skylarkdock_outcomes::answer::{Answer, Body};
use skylarkdock_outcomes::fingerprint::Fingerprint;
use skylarkdock_outcomes::limits::LimitsBuilder;
use skylarkdock_outcomes::memory::{
    Attempt, AttemptEnd, BeginDecision, FinishEffect, LeaseStart, Memory, Request,
};
use skylarkdock_outcomes::outcome::Outcome;
use skylarkdock_units::ids::{Epoch, Offset};
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::requests::RequestId;
use skylarkdock_units::times::{Millis, WallTime};

const START: WallTime = WallTime(1_000_000);
const COVERED_MS: u64 = START.0 + 151;

fn memory(max_entries: usize) -> Memory {
    let limits = LimitsBuilder::new()
        .max_caller_skew(Millis(100))
        .max_host_skew(Millis(50))
        .retention(Millis(10_000))
        .max_entries(max_entries)
        .max_body_size(ByteSize(10))
        .max_total_body_size(ByteSize(20))
        .build();
    let epoch = Epoch { offset: Offset(7), place: 0 };
    Memory::new(LeaseStart { epoch, predecessor: None, since: START }, limits)
}

fn request(issued: u64, number: u8) -> Request {
    let id = RequestId::new(WallTime(issued), &[number; 10]);
    Request { id, fingerprint: Fingerprint([number; 16]), minted: false }
}

fn answer(body: &'static [u8]) -> Answer {
    Answer { status: 200, content_type: None, body: Body::Whole(body.into()) }
}

fn run(memory: &mut Memory, req: Request, now: u64) -> Attempt {
    match memory.begin(req, WallTime(now)) {
        BeginDecision::Run(attempt) => attempt,
        other => panic!("not run: {other:?}"),
    }
}

fn run_and_answer(memory: &mut Memory, req: Request, body: &'static [u8]) {
    let attempt = run(memory, req, req.id.issued().0);
    assert_eq!(memory.finish(req.id, attempt, AttemptEnd::Done(answer(body))), FinishEffect::Kept);
}

#[test]
fn a_request_runs_once_and_is_answered_from_the_record() {
    let mut memory = memory(10);
    let req = request(COVERED_MS, 1);
    let attempt = run(&mut memory, req, COVERED_MS);
    assert_eq!(memory.begin(req, WallTime(COVERED_MS)), BeginDecision::StillRunning);
    memory.finish(req.id, attempt, AttemptEnd::Done(answer(b"ok")));
    let BeginDecision::Recorded(recorded) = memory.begin(req, WallTime(COVERED_MS)) else {
        panic!()
    };
    assert_eq!(*recorded, answer(b"ok"));
    let other = Request { fingerprint: Fingerprint([9; 16]), ..req };
    assert_eq!(memory.begin(other, WallTime(COVERED_MS)), BeginDecision::Mismatch);
}

#[test]
fn a_request_that_was_not_run_may_run_again() {
    let mut memory = memory(10);
    let req = request(COVERED_MS, 1);
    let first = run(&mut memory, req, COVERED_MS);
    assert_eq!(memory.finish(req.id, first, AttemptEnd::NotRun), FinishEffect::Dropped);
    let second = run(&mut memory, req, COVERED_MS);
    assert_eq!(memory.finish(req.id, first, AttemptEnd::NotRun), FinishEffect::Ignored);
    assert_eq!(memory.begin(req, WallTime(COVERED_MS)), BeginDecision::StillRunning);
    assert_ne!(first, second);
}

#[rstest]
#[case(AttemptEnd::Done(answer(b"late")), Some(Outcome::Done))]
#[case(AttemptEnd::NotRun, None)]
#[case(AttemptEnd::Unknown, Some(Outcome::Unknown))]
fn an_unknown_outcome_stays_until_a_definite_end(
    #[case] late: AttemptEnd,
    #[case] reported: Option<Outcome>,
) {
    let mut memory = memory(10);
    let req = request(COVERED_MS, 1);
    let attempt = run(&mut memory, req, COVERED_MS);
    memory.finish(req.id, attempt, AttemptEnd::Unknown);
    assert_eq!(memory.begin(req, WallTime(COVERED_MS)), BeginDecision::Unknown);
    memory.finish(req.id, attempt, late);
    assert_eq!(memory.outcome(req.id), reported);
}

#[rstest]
#[case::before_the_covered_time(COVERED_MS - 1, COVERED_MS, BeginDecision::NotCovered)]
#[case::past_the_retention(COVERED_MS, COVERED_MS + 10_001, BeginDecision::NotCovered)]
#[case::ahead_of_the_clock(COVERED_MS + 101, COVERED_MS, BeginDecision::FromFuture)]
fn ids_outside_the_covered_time_never_run(
    #[case] issued: u64,
    #[case] now: u64,
    #[case] expected: BeginDecision,
) {
    assert_eq!(memory(10).begin(request(issued, 1), WallTime(now)), expected);
}

#[test]
fn an_id_minted_by_an_entry_host_runs_before_the_covered_time() {
    let mut memory = memory(10);
    let req = Request { minted: true, ..request(START.0 + 1, 1) };
    run(&mut memory, req, START.0 + 1);
    assert_eq!(memory.begin(req, START), BeginDecision::StillRunning);
}

#[test]
fn eviction_moves_the_covered_time_and_spares_running_requests() {
    let mut memory = memory(2);
    let (first, second, third) =
        (request(COVERED_MS, 1), request(COVERED_MS + 1, 2), request(COVERED_MS + 2, 3));
    run(&mut memory, first, COVERED_MS);
    run_and_answer(&mut memory, second, b"2");
    run(&mut memory, third, COVERED_MS + 2);
    assert_eq!(memory.covers_after(), second.id.issued());
    assert_eq!(memory.begin(second, WallTime(COVERED_MS + 2)), BeginDecision::NotCovered);
    assert_eq!(memory.begin(first, WallTime(COVERED_MS + 2)), BeginDecision::StillRunning);
    assert_eq!(
        memory.begin(request(COVERED_MS + 3, 4), WallTime(COVERED_MS + 3)),
        BeginDecision::Full
    );
}

#[test]
fn an_expired_id_is_not_run_after_the_clock_steps_back() {
    let mut memory = memory(10);
    let req = request(COVERED_MS, 1);
    run_and_answer(&mut memory, req, b"1");
    memory.expire(WallTime(COVERED_MS + 10_001));
    assert!(memory.is_empty());
    assert_eq!(memory.begin(req, WallTime(COVERED_MS)), BeginDecision::NotCovered);
}

#[test]
fn bodies_are_dropped_oldest_first_and_outcomes_are_kept() {
    let mut memory = memory(10);
    let reqs: Vec<_> = (0..4).map(|n: u8| request(COVERED_MS + u64::from(n), n)).collect();
    run_and_answer(&mut memory, reqs[0], b"12345678");
    run_and_answer(&mut memory, reqs[1], b"larger than the limit");
    run_and_answer(&mut memory, reqs[2], b"12345678");
    run_and_answer(&mut memory, reqs[3], b"12345678");
    assert_eq!(memory.body_bytes(), 16);
    let kept = |req: &Request| memory.answer(req.id).unwrap().body.kept_bytes();
    assert_eq!(reqs.iter().map(kept).collect::<Vec<_>>(), [0, 0, 8, 8]);
    let digest_only = memory.answer(reqs[0].id).unwrap().body.clone();
    assert_eq!(digest_only, Body::Whole(b"12345678"[..].into()).to_digest_only());
}

#[rstest]
#[case("done")]
#[case("not-run")]
#[case("unknown")]
#[case("running")]
fn outcomes_parse_from_their_text_form(#[case] text: &str) {
    assert_eq!(text.parse::<Outcome>().unwrap().to_string(), text);
}
