//! History of the runs of requests, and of the intervals in which each key was served.

use crate::upstream::tokens;
use serde::{Deserialize, Serialize};
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::{ids, times};
use std::collections::{BTreeMap, VecDeque};

use ids::{Epoch, RangeIndex};
use times::{HostTime, Millis};

/// Ids, key, range and fencing token from a request's headers; a missing string is empty.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestInfo {
    /// Request id given by the caller.
    pub request_id: String,
    /// Key that the request accesses.
    pub key: String,
    /// Range that contains the key.
    pub range: Option<RangeIndex>,
    /// Fencing token of the range's owner.
    #[serde(with = "tokens::optional")]
    pub token: Option<Epoch>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request was processed, whether or not the caller received the whole response.
    Completed,
    /// The caller closed the connection, or the grant expired, before the request was processed.
    Cancelled,
}

/// Sequence number of a run in order of start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(u64);

/// Remaining time of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemainingTime {
    /// The run has ended, or its grant has expired.
    Ended,
    /// Time until the run's grant expires.
    Limited(Millis),
    /// The run needs no grant.
    Unlimited,
}

/// The request of a run, with the run count and the time of its start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStart {
    /// Ids, key, range and fencing token of the request.
    #[serde(flatten)]
    pub work: RequestInfo,
    /// Number of runs of this request id on this upstream, including this one.
    pub run: u64,
    /// Start of the run.
    pub start_ms: HostTime,
}

/// A run that has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Sequence number in order of end, counted from 1.
    pub seq: u64,
    /// Request and start of the run.
    #[serde(flatten)]
    pub ran: RunStart,
    /// End of the run.
    pub end_ms: HostTime,
    /// How the run ended.
    pub outcome: Outcome,
}

/// Response to `GET /_standin/runs`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunsPage {
    /// Sequence number of the oldest retained run.
    pub oldest: u64,
    /// Sequence number from which to request the next page.
    pub next: u64,
    /// Ended runs of this page.
    pub runs: Vec<Run>,
    /// All runs that have not ended.
    pub running: Vec<RunStart>,
}

/// A maximal interval in which at least one request of a key was running under the same fencing token.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interval {
    /// Key that was served.
    pub key: String,
    /// Range that contains the key.
    pub range: Option<RangeIndex>,
    /// Fencing token of the range's owner.
    #[serde(with = "tokens::optional")]
    pub token: Option<Epoch>,
    /// Start of the first request.
    pub start_ms: HostTime,
    /// End of the last request; `None` while a request is running.
    pub end_ms: Option<HostTime>,
}

#[derive(Debug)]
struct ActiveRun {
    start: RunStart,
    grant_expiry: Option<HostTime>,
}

#[derive(Debug)]
struct OpenInterval {
    interval: Interval,
    running_requests: usize,
}

/// Running requests, and the retained runs and intervals that have ended.
#[derive(Debug)]
pub struct RunHistory {
    max_retained: usize,
    next_id: u64,
    next_seq: u64,
    active: BTreeMap<RunId, ActiveRun>,
    ended: VecDeque<Run>,
    run_counts: FastMap<String, u64>,
    open_intervals: FastMap<(String, Option<Epoch>), OpenInterval>,
    closed_intervals: VecDeque<Interval>,
}

impl RunId {
    const fn new(number: u64) -> Self {
        Self(number)
    }
}

impl RunHistory {
    /// Creates an empty history that retains the last `max_retained` ended runs and intervals.
    pub fn new(max_retained: usize) -> Self {
        Self {
            max_retained,
            next_id: 1,
            next_seq: 1,
            active: BTreeMap::new(),
            ended: VecDeque::new(),
            run_counts: FastMap::default(),
            open_intervals: FastMap::default(),
            closed_intervals: VecDeque::new(),
        }
    }

    /// Records the start of a run; returns its id and the run count of its request id. The run is cancelled at
    /// `grant_expiry`, if there is one.
    pub fn start(
        &mut self,
        now: HostTime,
        work: RequestInfo,
        grant_expiry: Option<HostTime>,
    ) -> (RunId, u64) {
        let id = RunId::new(self.next_id);
        self.next_id += 1;
        let count = self.run_counts.entry(work.request_id.clone()).or_default();
        *count += 1;
        let run = *count;
        self.open_interval(now, &work);
        let start = RunStart { work, run, start_ms: now };
        self.active.insert(id, ActiveRun { start, grant_expiry });
        (id, run)
    }

    /// Extends the grant of the runs of a range under `token` to `grant_expiry`; never shortens it.
    pub fn extend_grant(&mut self, range: RangeIndex, token: Epoch, grant_expiry: HostTime) {
        let extended = (Some(range), Some(token));
        for run in self.active.values_mut() {
            if (run.start.work.range, run.start.work.token) == extended {
                run.grant_expiry = run.grant_expiry.map(|current| current.max(grant_expiry));
            }
        }
    }

    /// Returns the remaining time of a run.
    pub fn remaining(&self, now: HostTime, id: RunId) -> RemainingTime {
        match self.active.get(&id) {
            None => RemainingTime::Ended,
            Some(ActiveRun { grant_expiry: None, .. }) => RemainingTime::Unlimited,
            Some(ActiveRun { grant_expiry: Some(grant_expiry), .. }) if *grant_expiry <= now => {
                RemainingTime::Ended
            }
            Some(ActiveRun { grant_expiry: Some(grant_expiry), .. }) => {
                RemainingTime::Limited(grant_expiry.since(now))
            }
        }
    }

    /// Cancels the runs whose grant has expired, as of the expiry.
    pub fn cancel_expired(&mut self, now: HostTime) {
        let expiries = self.active.iter().filter_map(|(id, run)| Some((*id, run.grant_expiry?)));
        let expired: Vec<(RunId, HostTime)> =
            expiries.filter(|(_, grant_expiry)| *grant_expiry <= now).collect();
        for (id, grant_expiry) in expired {
            self.end(grant_expiry, id, Outcome::Cancelled);
        }
    }

    /// Records the end of a run; returns `false` when it had already ended.
    pub fn end(&mut self, now: HostTime, id: RunId, outcome: Outcome) -> bool {
        let Some(ActiveRun { start: ran, .. }) = self.active.remove(&id) else { return false };
        self.close_interval(now, &ran.work);
        let seq = self.next_seq;
        self.next_seq += 1;
        self.ended.push_back(Run { seq, ran, end_ms: now, outcome });
        self.evict_old();
        true
    }

    /// Returns whether a request of the range is running under `token` or an older one.
    pub fn is_running(&self, range: RangeIndex, token: Epoch) -> bool {
        let mut running = self.active.values().map(|run| &run.start);
        running.any(|run| run.work.range == Some(range) && run.work.token <= Some(token))
    }

    /// Returns the number of running requests.
    pub fn running_count(&self) -> usize {
        self.active.len()
    }

    /// Returns up to `max` ended runs starting at sequence number `from`, and all running ones.
    pub fn page(&self, from: u64, max: usize) -> RunsPage {
        let oldest = self.ended.front().map_or(self.next_seq, |run| run.seq);
        let skipped_runs = usize::try_from(from.saturating_sub(oldest)).unwrap_or(usize::MAX);
        let runs: Vec<Run> = self.ended.iter().skip(skipped_runs).take(max).cloned().collect();
        let next = runs.last().map_or(self.next_seq, |run| run.seq + 1);
        let running = self.active.values().map(|run| run.start.clone()).collect();
        RunsPage { oldest, next, runs, running }
    }

    /// Returns the retained intervals, closed ones first.
    pub fn intervals(&self) -> Vec<Interval> {
        let open = self.open_intervals.values().map(|open| &open.interval);
        self.closed_intervals.iter().chain(open).cloned().collect()
    }

    fn open_interval(&mut self, now: HostTime, work: &RequestInfo) {
        let interval_key = (work.key.clone(), work.token);
        let open = self.open_intervals.entry(interval_key).or_insert_with(|| OpenInterval {
            interval: Interval {
                key: work.key.clone(),
                range: work.range,
                token: work.token,
                start_ms: now,
                end_ms: None,
            },
            running_requests: 0,
        });
        open.running_requests += 1;
    }

    fn close_interval(&mut self, now: HostTime, work: &RequestInfo) {
        let interval_key = (work.key.clone(), work.token);
        let Some(open) = self.open_intervals.get_mut(&interval_key) else { return };
        open.running_requests -= 1;
        if open.running_requests > 0 {
            return;
        }
        if let Some(mut open) = self.open_intervals.remove(&interval_key) {
            open.interval.end_ms = Some(now);
            self.closed_intervals.push_back(open.interval);
        }
    }

    fn evict_old(&mut self) {
        while self.closed_intervals.len() > self.max_retained {
            self.closed_intervals.pop_front();
        }
        while self.ended.len() > self.max_retained {
            let Some(run) = self.ended.pop_front() else { return };
            self.remove_run_count(&run.ran);
        }
    }

    /// Removes the run count of a request id when its latest run is evicted.
    fn remove_run_count(&mut self, evicted: &RunStart) {
        let id = &evicted.work.request_id;
        if self.run_counts.get(id).is_some_and(|count| *count == evicted.run) {
            self.run_counts.remove(id);
        }
    }
}
