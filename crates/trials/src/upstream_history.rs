//! Runs of requests on the upstreams, and the intervals in which each upstream served a key.

use skylarkdock_standins::upstream::runs::{Interval, Outcome, Run};
use skylarkdock_units::ids::{Epoch, RangeIndex};
use skylarkdock_units::times::HostTime;

/// A run with the upstream that it ran on.
#[derive(Debug, Clone)]
pub struct UpstreamRun {
    /// Index of the upstream in the fleet.
    pub upstream: usize,
    /// Run as reported by the upstream.
    pub run: Run,
}

impl UpstreamRun {
    /// Returns whether the request was processed.
    pub fn is_completed(&self) -> bool {
        self.run.outcome == Outcome::Completed
    }

    /// Returns the request id given by the caller.
    pub fn request_id(&self) -> &str {
        &self.run.ran.work.request_id
    }
}

/// An interval in which an upstream served a key under one fencing token.
#[derive(Debug, Clone)]
pub struct ServedInterval {
    /// Index of the upstream in the fleet.
    pub upstream: usize,
    /// Key that was served.
    pub key: String,
    /// Range that contains the key.
    pub range: Option<RangeIndex>,
    /// Fencing token of the range's owner.
    pub token: Option<Epoch>,
    /// Start of the first request.
    pub start: HostTime,
    /// End of the last request.
    pub end: HostTime,
}

/// Runs and served intervals of all upstreams.
#[derive(Debug, Clone, Default)]
pub struct UpstreamHistory {
    /// Runs that have ended.
    pub runs: Vec<UpstreamRun>,
    /// Intervals in which keys were served.
    pub intervals: Vec<ServedInterval>,
}

impl UpstreamHistory {
    /// Appends the runs of an upstream.
    pub fn add_runs(&mut self, upstream: usize, runs: Vec<Run>) {
        self.runs.extend(runs.into_iter().map(|run| UpstreamRun { upstream, run }));
    }

    /// Appends the served intervals of an upstream; an interval that has not ended gets the end `now`.
    pub fn add_intervals(&mut self, upstream: usize, reported: Vec<Interval>, now: HostTime) {
        let intervals = reported.into_iter().map(|interval| ServedInterval {
            upstream,
            key: interval.key,
            range: interval.range,
            token: interval.token,
            start: interval.start_ms,
            end: interval.end_ms.unwrap_or(now),
        });
        self.intervals.extend(intervals);
    }

    /// Appends the runs and intervals of another history.
    pub fn append(&mut self, mut other: Self) {
        self.runs.append(&mut other.runs);
        self.intervals.append(&mut other.intervals);
    }
}
