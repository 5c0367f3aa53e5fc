//! Report of a trial, as a text table and as JSON.

use crate::checks::{Check, Violation};
use crate::history::Attempt;
use serde::Serialize;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::requests::RequestId;
use skylarkdock_units::times::Millis;
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Shortest time without service that counts a key as affected.
const AFFECTED_THRESHOLD_MS: Millis = Millis(100);
const MAX_SHOWN_VIOLATIONS: usize = 10;

/// Distribution of measured times over keys or rounds.
#[derive(Debug, Clone, Serialize)]
pub struct Times {
    /// Description of the measured times.
    pub name: String,
    /// Number of measured times.
    pub count: usize,
    /// Median, in milliseconds.
    pub p50_ms: u64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: u64,
    /// Longest time, in milliseconds.
    pub max_ms: u64,
    /// Number of times of 100 ms or more.
    pub affected: usize,
}

/// Number of requests or attempts, by kind of request.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Counts {
    /// Number for requests that may run more than once.
    pub repeatable: u64,
    /// Number for requests that must run at most once.
    pub once_only: u64,
}

/// Report of a trial.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Report {
    /// Name of the trial.
    pub trial: String,
    /// Seed of the random choices.
    pub seed: u64,
    /// Measured times without service, and until a record was in force.
    pub times: Vec<Times>,
    /// Callers' requests by the label of their last attempt.
    pub requests: BTreeMap<&'static str, Counts>,
    /// Callers' attempts by label.
    pub attempts: BTreeMap<&'static str, Counts>,
    /// Attempts that a host answered instead of an upstream, by the host's reason.
    pub reasons: BTreeMap<String, Counts>,
    /// Violations found by the checks.
    pub violations: Vec<Violation>,
    /// Errors of the trial's steps, with their times.
    pub failures: Vec<String>,
    /// Start and end of each fault, restarts and failures, with their times.
    pub timeline: Vec<String>,
}

impl Times {
    /// Computes the distribution of `times`.
    pub fn summarize(name: impl Into<String>, mut times: Vec<Millis>) -> Self {
        times.sort_unstable();
        let percentile = |share: f64| {
            let rank = (share * times.len() as f64).ceil() as usize;
            times.get(rank.saturating_sub(1)).map_or(0, |time| time.0)
        };
        Self {
            name: name.into(),
            count: times.len(),
            p50_ms: percentile(0.5),
            p99_ms: percentile(0.99),
            max_ms: percentile(1.0),
            affected: times.iter().filter(|time| **time >= AFFECTED_THRESHOLD_MS).count(),
        }
    }
}

impl Report {
    /// Counts the callers' requests and attempts.
    pub fn count_attempts(&mut self, history: &[Attempt]) {
        let mut last_attempts: FastMap<RequestId, &Attempt> = FastMap::default();
        for attempt in history {
            count_attempt(self.attempts.entry(attempt.label()).or_default(), attempt);
            if let Some(reason) = attempt.reason() {
                count_attempt(self.reasons.entry(reason.to_owned()).or_default(), attempt);
            }
            let last = last_attempts.entry(attempt.id).or_insert(attempt);
            if last.number < attempt.number {
                *last = attempt;
            }
        }
        last_attempts.values().for_each(|attempt| {
            count_attempt(self.requests.entry(attempt.label()).or_default(), attempt)
        });
    }

    /// Returns whether the trial found no violations and had no failures.
    pub const fn is_clean(&self) -> bool {
        self.violations.is_empty() && self.failures.is_empty()
    }

    /// Returns the report as a text table.
    pub fn table(&self) -> String {
        let mut text = format!("{} (seed {})\n", self.trial, self.seed);
        // Writing to a `String` does not fail.
        let _ = writeln!(
            text,
            "\n{:<34} {:>7} {:>8} {:>8} {:>8} {:>9}",
            "time without service", "count", "p50 ms", "p99 ms", "max ms", ">= 100 ms"
        );
        for row in &self.times {
            let _ = writeln!(
                text,
                "{:<34} {:>7} {:>8} {:>8} {:>8} {:>9}",
                row.name, row.count, row.p50_ms, row.p99_ms, row.max_ms, row.affected
            );
        }
        write_counts(&mut text, "requests by last outcome", &self.requests);
        write_counts(&mut text, "attempts by outcome", &self.attempts);
        write_counts(&mut text, "attempts answered by a host", &self.reasons);
        text.push_str("\nviolations\n");
        for check in Check::ALL {
            let found = self.violations.iter().filter(|violation| violation.check == check);
            let _ = writeln!(text, "{:>7}  {}", found.count(), check.description());
        }
        for violation in self.violations.iter().take(MAX_SHOWN_VIOLATIONS) {
            let _ = writeln!(text, "  {:?}: {}", violation.check, violation.found);
        }
        for failure in &self.failures {
            let _ = writeln!(text, "failure: {failure}");
        }
        text
    }
}

fn count_attempt(counts: &mut Counts, attempt: &Attempt) {
    let count = if attempt.once_only { &mut counts.once_only } else { &mut counts.repeatable };
    *count += 1;
}

fn write_counts<T: AsRef<str>>(text: &mut String, title: &str, counts: &BTreeMap<T, Counts>) {
    let _ = writeln!(text, "\n{title:<34} {:>10} {:>10}", "repeatable", "once-only");
    for (label, counts) in counts {
        let label = label.as_ref();
        let _ = writeln!(text, "{label:<34} {:>10} {:>10}", counts.repeatable, counts.once_only);
    }
}
