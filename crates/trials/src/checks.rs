//! Checks of callers' histories against what the upstreams ran.
//!
//! Each once-only request is one operation that may take effect once, and its only state is whether it did. So a direct
//! check of intervals decides whether a history is linearizable: the completed run, if there is one, must be the only
//! one, must lie after the first attempt's start and before the end of each answer that says `done`, and must not lie
//! before the end of an answer that says `not-run`. A general checker would search orders that such histories don't have.

use crate::evidence::{Evidence, Span, UpstreamRun};
use crate::history::{Attempt, AttemptResult};
use serde::Serialize;
use skylarkdock_outcomes::outcome::Outcome;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{Epoch, RangeIndex};
use skylarkdock_units::times::HostTime;

/// Reason of an answer of a host that knows the request was run and does not keep its answer.
const ANSWER_NOT_KEPT: &str = "answer-not-kept";

/// What must hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Check {
    /// A once-only request is completed at most once over all upstreams.
    CompletedOnce,
    /// A request answered `not-run` was not run, and is not answered so after `done`.
    NotRunIsTrue,
    /// A once-only request answered `done` has one completed run, within the span of its attempts.
    DoneIsTrue,
    /// Each whole answer is for the caller's key and request.
    RightAnswer,
    /// No two upstreams serve a key at the same time.
    OneOwner,
    /// Tokens of a range never go back.
    TokensAdvance,
    /// No request is cut or lost on a planned stop.
    PlannedStop,
}

impl Check {
    /// All checks.
    pub const ALL: [Self; 7] = [
        Self::CompletedOnce,
        Self::NotRunIsTrue,
        Self::DoneIsTrue,
        Self::RightAnswer,
        Self::OneOwner,
        Self::TokensAdvance,
        Self::PlannedStop,
    ];

    /// Returns what the check is about.
    pub const fn text(self) -> &'static str {
        match self {
            Self::CompletedOnce => "once-only requests completed more than once",
            Self::NotRunIsTrue => "answers not-run to requests that were run",
            Self::DoneIsTrue => "answers done without exactly one run in their span",
            Self::RightAnswer => "answers for another key or request, or partial",
            Self::OneOwner => "keys served by two upstreams at a time",
            Self::TokensAdvance => "ranges whose token went back",
            Self::PlannedStop => "requests cut or lost on a planned stop",
        }
    }
}

/// Something that must not be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The check that failed.
    pub check: Check,
    /// What was found.
    pub found: String,
}

/// Returns all violations. A history of planned stops only must have no request cut or lost either.
pub fn check(history: &[Attempt], evidence: &Evidence, planned: bool) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut add = |check, found: Vec<String>| {
        violations.extend(found.into_iter().map(|found| Violation { check, found }));
    };
    let requests = Requests::new(history, evidence);
    add(Check::CompletedOnce, requests.each(Request::completed_twice));
    add(Check::NotRunIsTrue, requests.each(Request::false_not_run));
    add(Check::DoneIsTrue, requests.each(Request::false_done));
    add(Check::RightAnswer, history.iter().filter_map(wrong_answer).collect());
    add(Check::OneOwner, overlaps(&evidence.spans));
    add(Check::TokensAdvance, tokens_back(&evidence.runs));
    if planned {
        add(Check::PlannedStop, history.iter().filter_map(cut_or_lost).collect());
    }
    violations
}

/// A once-only request: its attempts in order, and its completed runs.
struct Request<'a> {
    attempts: Vec<&'a Attempt>,
    completed: Vec<&'a UpstreamRun>,
}

struct Requests<'a>(Vec<Request<'a>>);

impl<'a> Requests<'a> {
    fn new(history: &'a [Attempt], evidence: &'a Evidence) -> Self {
        let mut completed: FastMap<&str, Vec<&UpstreamRun>> = FastMap::default();
        for run in evidence.runs.iter().filter(|run| run.is_completed()) {
            completed.entry(run.request_id()).or_default().push(run);
        }
        let mut attempts: FastMap<String, Vec<&Attempt>> = FastMap::default();
        for attempt in history.iter().filter(|attempt| attempt.once_only) {
            attempts.entry(attempt.id.to_string()).or_default().push(attempt);
        }
        let requests = attempts.into_iter().map(|(id, mut attempts)| {
            attempts.sort_by_key(|attempt| attempt.number);
            Request { attempts, completed: completed.remove(id.as_str()).unwrap_or_default() }
        });
        Self(requests.collect())
    }

    fn each(&self, find: impl Fn(&Request<'a>) -> Option<String>) -> Vec<String> {
        self.0.iter().filter_map(find).collect()
    }
}

impl Request<'_> {
    fn completed_twice(&self) -> Option<String> {
        (self.completed.len() > 1).then(|| self.describe("completed more than once"))
    }

    fn false_not_run(&self) -> Option<String> {
        let mut done = false;
        for (index, attempt) in self.attempts.iter().enumerate() {
            match attempt.outcome() {
                Some(Outcome::Done) => done = true,
                Some(Outcome::NotRun) if done => {
                    return Some(self.describe("answered not-run after done"));
                }
                Some(Outcome::NotRun) => {
                    let is_last = index + 1 == self.attempts.len();
                    let ran_before =
                        |run: &&UpstreamRun| is_last || run.run.ran.start_ms < attempt.end;
                    if self.completed.iter().any(ran_before) {
                        return Some(self.describe("answered not-run and run"));
                    }
                }
                _ => {}
            }
        }
        None
    }

    fn false_done(&self) -> Option<String> {
        let start = self.attempts.first()?.start;
        let done = |attempt: &&&Attempt| attempt.outcome() == Some(Outcome::Done);
        let first_done = self.attempts.iter().find(done)?;
        match self.completed.as_slice() {
            [] => Some(self.describe("answered done without a completed run")),
            // More than one is found by another check.
            [run, ..] => {
                let key_differs = run.run.ran.work.key != first_done.key;
                let outside = run.run.ran.start_ms < start || run.run.end_ms > first_done.end;
                (key_differs || outside).then(|| self.describe("run outside the span of its call"))
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
        let runs = self.completed.iter().map(|run| {
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

/// Finds whole answers that are not for the entry's key and request.
fn wrong_answer(attempt: &Attempt) -> Option<String> {
    let answer = attempt.answer()?;
    let id = attempt.id.to_string();
    let right = match &answer.body {
        None => false,
        Some(body) if answer.outcome == Some(Outcome::Done) => {
            let kept = body.reason.as_deref() != Some(ANSWER_NOT_KEPT);
            let right_key = body.key.as_deref() == Some(&attempt.key);
            body.request_id.as_deref() == Some(&id) && (right_key || !kept)
        }
        Some(body) => body.request_id.as_deref().is_none_or(|named| named == id),
    };
    (!right).then(|| format!("{id} for {}: {:?}", attempt.key, answer))
}

/// Finds keys that two upstreams served at overlapping times.
fn overlaps(spans: &[Span]) -> Vec<String> {
    let mut by_key: FastMap<&str, Vec<&Span>> = FastMap::default();
    for span in spans {
        by_key.entry(&span.key).or_default().push(span);
    }
    let mut found = Vec::new();
    for spans in by_key.values_mut() {
        spans.sort_by_key(|span| (span.start, span.end));
        // The latest ends so far, of an upstream and of the others.
        let mut latest: FastMap<usize, &Span> = FastMap::default();
        for span in spans.iter() {
            let others = latest.iter().filter(|(upstream, _)| **upstream != span.upstream);
            found.extend(others.filter_map(|(_, other)| overlap(other, span)));
            let kept = latest.entry(span.upstream).or_insert(span);
            if kept.end < span.end {
                *kept = span;
            }
        }
    }
    found
}

fn overlap(one: &Span, other: &Span) -> Option<String> {
    let overlaps = one.start < other.end && other.start < one.end;
    overlaps.then(|| {
        let text = |span: &Span| {
            let (upstream, token) = (span.upstream + 1, span.token.unwrap_or_default());
            format!("upstream {upstream} token {token} {}..{}", span.start, span.end)
        };
        format!("{} by {} and by {}", one.key, text(one), text(other))
    })
}

/// Finds runs that started under an older token than an earlier run of their range.
fn tokens_back(runs: &[UpstreamRun]) -> Vec<String> {
    let mut sorted: Vec<&UpstreamRun> = runs.iter().collect();
    sorted.sort_by_key(|run| (run.run.ran.start_ms, run.run.ran.work.token));
    let mut newest: FastMap<RangeIndex, (Epoch, HostTime, usize)> = FastMap::default();
    let mut found = Vec::new();
    for run in sorted {
        let work = &run.run.ran.work;
        let (Some(range), Some(token)) = (work.range, work.token) else { continue };
        let start = run.run.ran.start_ms;
        let seen = newest.entry(range).or_insert((token, start, run.upstream));
        if seen.0 > token && seen.1 < start {
            let (upstream, other) = (run.upstream + 1, seen.2 + 1);
            let (newer, at) = (seen.0, seen.1);
            found.push(format!(
                "range {range}: token {token} on upstream {upstream} at {start} after token {newer} on upstream {other} \
                 at {at}"
            ));
        } else if seen.0 < token {
            *seen = (token, start, run.upstream);
        }
    }
    found
}

fn cut_or_lost(attempt: &Attempt) -> Option<String> {
    let lost = matches!(attempt.result, AttemptResult::Lost | AttemptResult::Truncated)
        || attempt.outcome() == Some(Outcome::Unknown);
    let (id, label, addr) = (attempt.id, attempt.label(), attempt.host_addr);
    lost.then(|| format!("{id} {label} from {addr} {}..{}", attempt.start, attempt.end))
}
