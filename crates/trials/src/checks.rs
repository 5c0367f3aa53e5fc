//! Checks the callers' attempts against the runs and served intervals of the upstreams.
//!
//! Each once-only request is one operation that may take effect once, and its only state is whether it did. Comparing
//! intervals therefore suffices to decide whether a history is linearizable: there may be at most one completed run; it
//! must lie after the start of the first attempt and before the end of each attempt answered `done`, and not before the
//! end of an attempt answered `not-run`. A general linearizability checker would search for orders of operations that
//! can't occur in such histories.

use crate::history::{Attempt, AttemptResult};
use crate::upstream_history::{ServedInterval, UpstreamHistory, UpstreamRun};
use serde::Serialize;
use skylarkdock_outcomes::outcome::Outcome;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{Epoch, RangeIndex};
use skylarkdock_units::times::HostTime;

/// Reason that a host gives when it knows that the request was run but has not kept the answer.
const ANSWER_NOT_KEPT_REASON: &str = "answer-not-kept";

/// A property that the histories must satisfy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Check {
    /// A once-only request has at most one completed run on all upstreams together.
    CompletedOnce,
    /// A once-only request answered `not-run` had neither been run nor answered `done`, and is run later only if it is
    /// sent again.
    NotRunIsTrue,
    /// A once-only request answered `done` has a completed run, between its first attempt and that answer.
    DoneIsTrue,
    /// Each answer is complete and for the key and request of the caller.
    RightAnswer,
    /// No key is served by two upstreams at the same time.
    OneOwner,
    /// Fencing tokens of a range never decrease.
    TokensAdvance,
    /// Only for planned stops: no answer is lost, truncated or `unknown`.
    PlannedStop,
}

impl Check {
    /// All checks, in the order of reports.
    pub const ALL: [Self; 7] = [
        Self::CompletedOnce,
        Self::NotRunIsTrue,
        Self::DoneIsTrue,
        Self::RightAnswer,
        Self::OneOwner,
        Self::TokensAdvance,
        Self::PlannedStop,
    ];

    /// Returns a description of the check's violations.
    pub const fn description(self) -> &'static str {
        match self {
            Self::CompletedOnce => "once-only requests completed more than once",
            Self::NotRunIsTrue => "requests answered not-run although they were run or done",
            Self::DoneIsTrue => "requests answered done without a completed run in time",
            Self::RightAnswer => "answers that are incomplete or for another key or request",
            Self::OneOwner => "keys served by two upstreams at the same time",
            Self::TokensAdvance => {
                "runs with an older fencing token than an earlier run of their range"
            }
            Self::PlannedStop => "attempts lost, truncated or unknown on a planned stop",
        }
    }
}

/// A violated check.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Check that was violated.
    pub check: Check,
    /// Description of the requests, keys or runs that violate the check.
    pub found: String,
}

/// Returns all violations; `planned_stops_only` adds [`Check::PlannedStop`].
pub fn check(
    history: &[Attempt],
    upstream_history: &UpstreamHistory,
    planned_stops_only: bool,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut add = |check, descriptions: Vec<String>| {
        violations.extend(descriptions.into_iter().map(|found| Violation { check, found }));
    };
    let requests = Requests::new(history, upstream_history);
    add(Check::CompletedOnce, requests.find(Request::repeated_run));
    add(Check::NotRunIsTrue, requests.find(Request::false_not_run));
    add(Check::DoneIsTrue, requests.find(Request::false_done));
    add(Check::RightAnswer, history.iter().filter_map(invalid_answer).collect());
    add(Check::OneOwner, overlapping_intervals(&upstream_history.intervals));
    add(Check::TokensAdvance, token_regressions(&upstream_history.runs));
    if planned_stops_only {
        add(Check::PlannedStop, history.iter().filter_map(unconfirmed_attempt).collect());
    }
    violations
}

/// A once-only request, with its attempts in order and its completed runs.
struct Request<'a> {
    attempts: Vec<&'a Attempt>,
    completed_runs: Vec<&'a UpstreamRun>,
}

struct Requests<'a>(Vec<Request<'a>>);

impl<'a> Requests<'a> {
    fn new(history: &'a [Attempt], upstream_history: &'a UpstreamHistory) -> Self {
        let mut completed: FastMap<&str, Vec<&UpstreamRun>> = FastMap::default();
        for run in upstream_history.runs.iter().filter(|run| run.is_completed()) {
            completed.entry(run.request_id()).or_default().push(run);
        }
        let mut attempts: FastMap<String, Vec<&Attempt>> = FastMap::default();
        for attempt in history.iter().filter(|attempt| attempt.once_only) {
            attempts.entry(attempt.id.to_string()).or_default().push(attempt);
        }
        let requests = attempts.into_iter().map(|(id, mut attempts)| {
            attempts.sort_by_key(|attempt| attempt.number);
            Request { attempts, completed_runs: completed.remove(id.as_str()).unwrap_or_default() }
        });
        Self(requests.collect())
    }

    fn find(&self, check: impl Fn(&Request<'a>) -> Option<String>) -> Vec<String> {
        self.0.iter().filter_map(check).collect()
    }
}

impl Request<'_> {
    fn repeated_run(&self) -> Option<String> {
        (self.completed_runs.len() > 1).then(|| self.describe("completed more than once"))
    }

    fn false_not_run(&self) -> Option<String> {
        let mut was_done = false;
        for (index, attempt) in self.attempts.iter().enumerate() {
            match attempt.outcome() {
                Some(Outcome::Done) => was_done = true,
                Some(Outcome::NotRun) if was_done => {
                    return Some(self.describe("answered not-run after done"));
                }
                Some(Outcome::NotRun) => {
                    let is_last = index + 1 == self.attempts.len();
                    let contradicts_answer =
                        |run: &&UpstreamRun| is_last || run.run.ran.start_ms < attempt.end;
                    if self.completed_runs.iter().any(contradicts_answer) {
                        return Some(self.describe("answered not-run although it was run"));
                    }
                }
                _ => {}
            }
        }
        None
    }

    fn false_done(&self) -> Option<String> {
        let start = self.attempts.first()?.start;
        let is_done = |attempt: &&&Attempt| attempt.outcome() == Some(Outcome::Done);
        let first_done = self.attempts.iter().find(is_done)?;
        match self.completed_runs.as_slice() {
            [] => Some(self.describe("answered done without a completed run")),
            // `Check::CompletedOnce` reports further runs.
            [run, ..] => {
                let key_differs = run.run.ran.work.key != first_done.key;
                let is_outside = run.run.ran.start_ms < start || run.run.end_ms > first_done.end;
                (key_differs || is_outside).then(|| {
                    self.describe(
                        "run for another key or outside the time from first attempt to answer",
                    )
                })
            }
        }
    }

    fn describe(&self, problem: &str) -> String {
        let id = self.attempts.first().map(|attempt| attempt.id.to_string()).unwrap_or_default();
        let attempts = self.attempts.iter().map(|attempt| {
            let (label, reason) = (attempt.label(), attempt.reason().unwrap_or(""));
            let host = attempt.host_addr;
            format!("{label} {reason} from {host} {}..{}", attempt.start, attempt.end)
        });
        let runs = self.completed_runs.iter().map(|run| {
            let (ran, upstream) = (&run.run.ran, run.upstream + 1);
            let token = ran.work.token.unwrap_or_default();
            let range = ran.work.range.unwrap_or_default();
            let (start, end) = (ran.start_ms, run.run.end_ms);
            format!("on upstream {upstream} range {range} token {token} {start}..{end}")
        });
        let attempts: Vec<String> = attempts.collect();
        let runs: Vec<String> = runs.collect();
        format!("{id} {problem}; attempts: {}; runs: {}", attempts.join(", "), runs.join(", "))
    }
}

/// Describes a complete answer with an unreadable body, or for another key or request.
fn invalid_answer(attempt: &Attempt) -> Option<String> {
    let answer = attempt.answer()?;
    let id = attempt.id.to_string();
    let is_valid = match &answer.body {
        None => false,
        Some(body) if answer.outcome == Some(Outcome::Done) => {
            let answer_kept = body.reason.as_deref() != Some(ANSWER_NOT_KEPT_REASON);
            let key_matches = body.key.as_deref() == Some(&attempt.key);
            body.request_id.as_deref() == Some(&id) && (key_matches || !answer_kept)
        }
        Some(body) => body.request_id.as_deref().is_none_or(|answered| answered == id),
    };
    (!is_valid).then(|| format!("{id} for {}: {:?}", attempt.key, answer))
}

/// Describes overlapping intervals in which two upstreams served the same key.
fn overlapping_intervals(intervals: &[ServedInterval]) -> Vec<String> {
    let mut by_key: FastMap<&str, Vec<&ServedInterval>> = FastMap::default();
    for interval in intervals {
        by_key.entry(&interval.key).or_default().push(interval);
    }
    let mut descriptions = Vec::new();
    for intervals in by_key.values_mut() {
        intervals.sort_by_key(|interval| (interval.start, interval.end));
        // The interval with the latest end so far, by upstream.
        let mut latest_by_upstream: FastMap<usize, &ServedInterval> = FastMap::default();
        for interval in intervals.iter() {
            let others =
                latest_by_upstream.iter().filter(|(upstream, _)| **upstream != interval.upstream);
            descriptions.extend(others.filter_map(|(_, other)| describe_overlap(other, interval)));
            let latest = latest_by_upstream.entry(interval.upstream).or_insert(interval);
            if latest.end < interval.end {
                *latest = interval;
            }
        }
    }
    descriptions
}

fn describe_overlap(one: &ServedInterval, other: &ServedInterval) -> Option<String> {
    let overlaps = one.start < other.end && other.start < one.end;
    overlaps.then(|| {
        let describe = |interval: &ServedInterval| {
            let (upstream, token) = (interval.upstream + 1, interval.token.unwrap_or_default());
            format!("upstream {upstream} token {token} {}..{}", interval.start, interval.end)
        };
        format!("{} by {} and by {}", one.key, describe(one), describe(other))
    })
}

/// Describes runs with an older fencing token than an earlier run of their range.
fn token_regressions(runs: &[UpstreamRun]) -> Vec<String> {
    let mut by_start: Vec<&UpstreamRun> = runs.iter().collect();
    by_start.sort_by_key(|run| (run.run.ran.start_ms, run.run.ran.work.token));
    let mut newest_by_range: FastMap<RangeIndex, (Epoch, HostTime, usize)> = FastMap::default();
    let mut descriptions = Vec::new();
    for run in by_start {
        let work = &run.run.ran.work;
        let (Some(range), Some(token)) = (work.range, work.token) else { continue };
        let start = run.run.ran.start_ms;
        let newest = newest_by_range.entry(range).or_insert((token, start, run.upstream));
        if newest.0 > token && newest.1 < start {
            let (upstream, newer_upstream) = (run.upstream + 1, newest.2 + 1);
            let (newer_token, newer_start) = (newest.0, newest.1);
            descriptions.push(format!(
                "range {range}: token {token} on upstream {upstream} at {start} after token {newer_token} on upstream \
                 {newer_upstream} at {newer_start}"
            ));
        } else if newest.0 < token {
            *newest = (token, start, run.upstream);
        }
    }
    descriptions
}

fn unconfirmed_attempt(attempt: &Attempt) -> Option<String> {
    let is_unconfirmed = matches!(attempt.result, AttemptResult::Lost | AttemptResult::Truncated)
        || attempt.outcome() == Some(Outcome::Unknown);
    let (id, label, addr) = (attempt.id, attempt.label(), attempt.host_addr);
    is_unconfirmed.then(|| format!("{id} {label} from {addr} {}..{}", attempt.start, attempt.end))
}
