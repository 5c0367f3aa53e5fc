//! The checks accept valid histories and find each kind of violation.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use rstest::rstest;
use skylarkdock_outcomes::outcome::Outcome;
use skylarkdock_standins::upstream::runs::{self, RequestInfo, Run, RunStart};
use skylarkdock_trials::checks::{self, Check};
use skylarkdock_trials::history::{Answer, AnswerBody, Attempt, AttemptResult};
use skylarkdock_trials::probes;
use skylarkdock_trials::upstream_history::{ServedInterval, UpstreamHistory};
use skylarkdock_units::ids::RangeIndex;
use skylarkdock_units::times::{HostTime, Millis};

const ID: &str = "019ae7a4-5c00-7000-8000-000000000000";

fn answer(outcome: Outcome, key: &str) -> AttemptResult {
    let body = AnswerBody {
        key: Some(key.to_owned()),
        request_id: Some(ID.to_owned()),
        ..AnswerBody::default()
    };
    AttemptResult::Answer(Answer { status: 200, outcome: Some(outcome), body: Some(body) })
}

/// Returns an attempt that starts at 100 ms times its number and takes 50 ms.
fn attempt(number: u32, result: AttemptResult) -> Attempt {
    let start = HostTime(u64::from(number) * 100);
    Attempt {
        id: ID.parse().unwrap(),
        number,
        once_only: true,
        key: "key-1".to_owned(),
        host_addr: "127.0.0.1:1".parse().unwrap(),
        start,
        end: start + Millis(50),
        result,
    }
}

fn done(number: u32) -> Attempt {
    attempt(number, answer(Outcome::Done, "key-1"))
}

fn not_run(number: u32) -> Attempt {
    attempt(number, answer(Outcome::NotRun, "key-1"))
}

fn lost(number: u32) -> Attempt {
    attempt(number, AttemptResult::Lost)
}

fn request_info(token: &str) -> RequestInfo {
    RequestInfo {
        request_id: ID.to_owned(),
        key: "key-1".to_owned(),
        range: Some(RangeIndex(1)),
        token: Some(token.parse().unwrap()),
    }
}

/// Returns a history of completed runs, each given by upstream, token and start in ms; a run takes 10 ms.
fn completed_runs(runs: &[(usize, &str, u64)]) -> UpstreamHistory {
    let mut upstream_history = UpstreamHistory::default();
    for (upstream, token, start) in runs {
        let ran = RunStart { work: request_info(token), run: 1, start_ms: HostTime(*start) };
        let outcome = runs::Outcome::Completed;
        let run = Run { seq: 1, ran, end_ms: HostTime(start + 10), outcome };
        upstream_history.add_runs(*upstream, vec![run]);
    }
    upstream_history
}

fn served_intervals(intervals: &[(usize, u64, u64)]) -> UpstreamHistory {
    let interval = |(upstream, start, end): &(usize, u64, u64)| ServedInterval {
        upstream: *upstream,
        key: "key-1".to_owned(),
        range: None,
        token: None,
        start: HostTime(*start),
        end: HostTime(*end),
    };
    UpstreamHistory { runs: Vec::new(), intervals: intervals.iter().map(interval).collect() }
}

#[rstest]
#[case::run_after_lost_attempt(vec![lost(1), done(2)], completed_runs(&[(0, "5.0", 120)]))]
#[case::lost_and_run_later(vec![lost(1)], completed_runs(&[(0, "5.0", 900)]))]
#[case::run_by_resend_after_not_run(vec![not_run(1), done(2)], completed_runs(&[(0, "5.0", 220)]))]
#[case::consecutive_owners(vec![], served_intervals(&[(0, 100, 200), (1, 200, 300)]))]
#[case::newer_token(vec![], completed_runs(&[(0, "5.0", 100), (1, "5.1", 200)]))]
fn valid_history_has_no_violations(
    #[case] history: Vec<Attempt>,
    #[case] mut upstream_history: UpstreamHistory,
) {
    if history.is_empty() {
        upstream_history.runs.iter_mut().for_each(|run| run.run.ran.work.request_id.clear());
    }
    assert_eq!(checks::check(&history, &upstream_history, false), []);
}

#[rstest]
#[case(Check::CompletedOnce, vec![done(1)], completed_runs(&[(0, "5.0", 110), (1, "5.1", 120)]))]
#[case(Check::NotRunIsTrue, vec![not_run(1)], completed_runs(&[(0, "5.0", 300)]))]
#[case(Check::NotRunIsTrue, vec![not_run(1), done(2)], completed_runs(&[(0, "5.0", 110)]))]
#[case(Check::NotRunIsTrue, vec![done(1), not_run(2)], completed_runs(&[(0, "5.0", 110)]))]
#[case(Check::DoneIsTrue, vec![done(1)], UpstreamHistory::default())]
#[case(Check::DoneIsTrue, vec![done(1)], completed_runs(&[(0, "5.0", 145)]))]
#[case(Check::DoneIsTrue, vec![done(1)], completed_runs(&[(0, "5.0", 90)]))]
#[case(Check::RightAnswer, vec![attempt(1, answer(Outcome::Done, "key-2"))], completed_runs(&[(0, "5.0", 110)]))]
#[case(Check::OneOwner, vec![], served_intervals(&[(0, 100, 200), (1, 199, 300)]))]
#[case(Check::OneOwner, vec![], served_intervals(&[(0, 100, 900), (0, 150, 160), (1, 800, 801)]))]
#[case(Check::TokensAdvance, vec![], completed_runs(&[(0, "5.1", 100), (1, "5.0", 101)]))]
#[case(Check::PlannedStop, vec![lost(1)], UpstreamHistory::default())]
fn violation_is_found(
    #[case] expected: Check,
    #[case] history: Vec<Attempt>,
    #[case] upstream_history: UpstreamHistory,
) {
    let violations = checks::check(&history, &upstream_history, true);
    assert!(violations.iter().any(|violation| violation.check == expected), "{violations:?}");
}

#[test]
fn answer_without_readable_body_is_a_violation() {
    let without_body = Answer { status: 200, outcome: Some(Outcome::Done), body: None };
    let history = [attempt(1, AttemptResult::Answer(without_body))];
    let violations = checks::check(&history, &completed_runs(&[(0, "5.0", 110)]), false);
    assert_eq!(violations[0].check, Check::RightAnswer);
}

#[test]
fn longest_gap_includes_both_ends_of_the_period() {
    let served_at: Vec<HostTime> = [50, 110, 140, 400].map(HostTime).to_vec();
    assert_eq!(probes::longest_gap(&served_at, HostTime(100), HostTime(200)), Millis(60));
    assert_eq!(probes::longest_gap(&served_at, HostTime(0), HostTime(500)), Millis(260));
    assert_eq!(probes::longest_gap(&[], HostTime(100), HostTime(200)), Millis(100));
}
