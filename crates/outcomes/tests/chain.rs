//! Stateful fuzz test of the deduplication memory over successive holders, against an oracle that counts runs.
//!
//! `SKYLARKDOCK_FUZZ_CASES` and `SKYLARKDOCK_FUZZ_SEED` change the number of cases and the seed.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod world;

use proptest::test_runner::{Config, RngSeed, TestError, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use rstest::rstest;
use world::steps::{Fault, StepSequence};
use world::{EVENT_COUNTS, INJECTED_FAULT, World};

const SEED: u64 = 41;
const DEFAULT_CASES: u32 = 2000;
const MAX_STEPS: usize = 120;

const REQUIRED_EVENTS: [&str; 17] = [
    "begin run",
    "begin recorded",
    "begin still running",
    "begin unknown",
    "begin not covered",
    "begin from future",
    "begin mismatch",
    "begin full",
    "chunk refused",
    "complete hand-over extends the covered time",
    "covered time moved up",
    "end of a former holder's attempt recorded",
    "late definite end replaces an unknown one",
    "loss",
    "partial hand-over",
    "planned hand-over",
    "sent to a former holder",
];

fn from_env(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn fuzz(fault: Fault, cases: u32) -> Result<(), String> {
    INJECTED_FAULT.set(fault);
    let seed = from_env("SKYLARKDOCK_FUZZ_SEED").unwrap_or(SEED);
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: if fault == Fault::None { 20_000 } else { 50 },
        ..Config::default()
    };
    let steps = StepSequence::sequential_strategy(1..MAX_STEPS);
    let result = TestRunner::new(config.clone()).run(&steps, |(state, transitions, seen)| {
        World::test_sequential(config.clone(), state, transitions, seen);
        Ok(())
    });
    result.map_err(|error| match error {
        TestError::Fail(reason, (_, steps, _)) => format!("{reason}: {steps:#?}"),
        TestError::Abort(reason) => format!("aborted: {reason}"),
    })
}

#[test]
fn no_request_runs_twice_and_reported_outcomes_are_true() {
    let cases = from_env("SKYLARKDOCK_FUZZ_CASES").and_then(|cases| u32::try_from(cases).ok());
    let result = fuzz(Fault::None, cases.unwrap_or(DEFAULT_CASES));
    let counts = EVENT_COUNTS.take();
    for (what, count) in &counts {
        println!("{count:>9}  {what}");
    }
    assert_eq!(result, Ok(()));
    for event in REQUIRED_EVENTS {
        assert!(counts.get(event).is_some_and(|count| *count >= 10), "too few: {event}");
    }
}

#[rstest]
#[case(Fault::StartIgnored)]
#[case(Fault::CoverageIgnored)]
#[case(Fault::EvictionForgotten)]
#[case(Fault::PartialHandOverCounts)]
#[case(Fault::ExportsMixed)]
#[case(Fault::PredecessorUnchecked)]
#[case(Fault::UnknownDropped)]
#[case(Fault::LostAnswerIsNotRun)]
#[case(Fault::StaleEndApplies)]
fn the_oracle_detects(#[case] fault: Fault) {
    let result = fuzz(fault, DEFAULT_CASES);
    let Err(reason) = result else { panic!("{fault:?} went unnoticed") };
    println!("{fault:?}: {}", reason.lines().next().unwrap_or_default());
    assert!(reason.contains("may run twice") || reason.contains("not to have run"), "{reason}");
}
