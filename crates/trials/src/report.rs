//! What a trial found, as a table and as JSON.

use crate::checks::{Check, Violation};
use crate::history::Attempt;
use serde::Serialize;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::requests::RequestId;
use skylarkdock_units::times::Millis;
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Time without service from which on a key counts as affected.
const AFFECTED_MS: Millis = Millis(100);
const SHOWN_VIOLATIONS: usize = 10;

/// Times of many keys or rounds, in milliseconds.
#[derive(Debug, Clone, Serialize)]
pub struct Times {
    /// What was measured.
    pub name: String,
    /// Number of times.
    pub count: usize,
    /// The median.
    pub p50_ms: u64,
    /// The 99th percentile.
    pub p99_ms: u64,
    /// The longest.
    pub max_ms: u64,
    /// Times of 100 ms and more.
    pub affected: usize,
}

/// Requests by outcome.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Counts {
    /// Requests that may run more than once.
    pub repeatable: u64,
    /// Requests that must run at most once.
    pub once_only: u64,
}

/// What a trial found.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Report {
    /// The trial.
    pub trial: String,
    /// Its seed.
    pub seed: u64,
    /// Times measured.
    pub times: Vec<Times>,
    /// Requests of callers by the outcome of their last attempt.
    pub requests: BTreeMap<&'static str, Counts>,
    /// Attempts of callers by outcome.
    pub attempts: BTreeMap<&'static str, Counts>,
    /// Attempts that a host answered itself, by its reason.
    pub reasons: BTreeMap<String, Counts>,
    /// Violations of the checks.
    pub violations: Vec<Violation>,
    /// What else went wrong.
    pub failures: Vec<String>,
    /// The faults and when they began and ended.
    pub timeline: Vec<String>,
}

impl Times {
    /// Sums up times.
    pub fn of(name: impl Into<String>, mut times: Vec<Millis>) -> Self {
        times.sort_unstable();
        let at = |share: f64| {
            let place = (share * times.len() as f64).ceil() as usize;
            times.get(place.saturating_sub(1)).map_or(0, |time| time.0)
        };
        Self {
            name: name.into(),
            count: times.len(),
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            max_ms: at(1.0),
            affected: times.iter().filter(|time| **time >= AFFECTED_MS).count(),
        }
    }
}

impl Report {
    /// Counts the callers' requests.
    pub fn count(&mut self, history: &[Attempt]) {
        let mut last: FastMap<RequestId, &Attempt> = FastMap::default();
        for attempt in history {
            add(self.attempts.entry(attempt.label()).or_default(), attempt);
            if let Some(reason) = attempt.reason() {
                add(self.reasons.entry(reason.to_owned()).or_default(), attempt);
            }
            let kept = last.entry(attempt.id).or_insert(attempt);
            if kept.number < attempt.number {
                *kept = attempt;
            }
        }
        last.values()
            .for_each(|attempt| add(self.requests.entry(attempt.label()).or_default(), attempt));
    }

    /// Returns whether everything held.
    pub const fn is_clean(&self) -> bool {
        self.violations.is_empty() && self.failures.is_empty()
    }

    /// Returns the report for people.
    pub fn table(&self) -> String {
        let mut text = format!("{} (seed {})\n", self.trial, self.seed);
        // Writing to a string does not fail.
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
        counts(&mut text, "requests by last outcome", &self.requests);
        counts(&mut text, "attempts by outcome", &self.attempts);
        counts(&mut text, "attempts that a host answered itself", &self.reasons);
        text.push_str("\nviolations\n");
        for check in Check::ALL {
            let found = self.violations.iter().filter(|violation| violation.check == check);
            let _ = writeln!(text, "{:>7}  {}", found.count(), check.description());
        }
        for violation in self.violations.iter().take(SHOWN_VIOLATIONS) {
            let _ = writeln!(text, "  {:?}: {}", violation.check, violation.found);
        }
        for failure in &self.failures {
            let _ = writeln!(text, "failure: {failure}");
        }
        text
    }
}

fn add(counts: &mut Counts, attempt: &Attempt) {
    let count = if attempt.once_only { &mut counts.once_only } else { &mut counts.repeatable };
    *count += 1;
}

fn counts<T: AsRef<str>>(text: &mut String, title: &str, counts: &BTreeMap<T, Counts>) {
    let _ = writeln!(text, "\n{title:<34} {:>10} {:>10}", "repeatable", "once-only");
    for (word, counts) in counts {
        let word = word.as_ref();
        let _ = writeln!(text, "{word:<34} {:>10} {:>10}", counts.repeatable, counts.once_only);
    }
}
