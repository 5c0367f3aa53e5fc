//! Upstreams that ask the hosts that they turn away for a rest, and the count of the requests that arrive during one.

use super::{Attempt, ONE_WAY_LATENCY_MS, START_MS, Simulation};
use crate::policy::Policy;
use crate::stats::RestStats;
use skylarkdock_dispatch::notices::{HostNotices, Notices};
use skylarkdock_dispatch::retry_after;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::times::Millis;

/// Time of start of all upstreams, none of which restarts.
const BORN: u64 = 0;
/// Time after which a host has the answer that asks for a rest, and requests that it sent before have arrived.
const ROUND_TRIP_MS: u64 = 2 * ONE_WAY_LATENCY_MS;

/// Rest that an upstream asked a host for.
#[derive(Debug, Clone, Copy)]
struct Rest {
    asked_ms: u64,
    end_ms: u64,
    /// Requests from the host that arrived during the rest.
    arrivals: u64,
}

/// Rests that upstreams asked hosts for, as both sides know them.
#[derive(Default)]
pub(super) struct Rests {
    /// The latest rest by host and upstream.
    latest: FastMap<(usize, usize), Rest>,
    /// What each host knows.
    notices: Vec<HostNotices>,
    stats: RestStats,
}

impl Rests {
    /// Creates the state of `hosts` hosts that were asked for nothing.
    pub(super) fn new(hosts: usize) -> Self {
        Self { notices: vec![HostNotices::default(); hosts], ..Self::default() }
    }

    /// Returns the counts of all rests.
    pub(super) const fn stats(&self) -> RestStats {
        self.stats
    }

    /// Counts a request that reaches an upstream.
    pub(super) fn on_arrival(&mut self, host: usize, upstream: usize, now_ms: u64) {
        let Some(rest) = self.latest.get_mut(&(host, upstream)) else { return };
        if now_ms > rest.asked_ms + ROUND_TRIP_MS && now_ms < rest.end_ms {
            rest.arrivals += 1;
            self.stats.arrivals += 1;
            self.stats.worst_pair = self.stats.worst_pair.max(rest.arrivals);
        }
    }

    /// Begins a rest. Answers that ask again during one do not prolong it.
    fn ask(&mut self, host: usize, upstream: usize, rest_ms: u64, now_ms: u64) {
        let latest = self.latest.get(&(host, upstream));
        if latest.is_none_or(|rest| now_ms >= rest.end_ms) {
            let rest = Rest { asked_ms: now_ms, end_ms: now_ms + rest_ms, arrivals: 0 };
            self.latest.insert((host, upstream), rest);
            self.stats.asked += 1;
        }
    }
}

impl Simulation<'_> {
    /// Lets the upstream of an attempt that it did not run ask the host for a rest.
    pub(super) fn ask_for_rest(&mut self, attempt: usize) {
        let Attempt { request, upstream, .. } = self.attempts[attempt];
        let (host, now) = (self.requests[request].host, self.now());
        let elapsed_ms = self.now_ms - START_MS;
        let periods = &self.upstreams[upstream].group().rests;
        let Some(rest_ms) =
            periods.iter().find(|period| period.contains(elapsed_ms)).map(|period| period.rest_ms)
        else {
            return;
        };
        self.rests.ask(host, upstream, rest_ms, self.now_ms);
        if self.policy == Policy::IgnoreRest {
            return;
        }
        let id = &self.ids[upstream];
        let notices = Notices { rest: Some(Millis(rest_ms)), is_leaving: false };
        self.rests.notices[host].record(id, BORN, notices, now);
        if let Some(until) = self.rests.notices[host].resting_until(id, BORN, now)
            && let Some(state) = self.hosts[host].service().upstream_mut(id)
        {
            state.on_rest(until);
        }
    }

    /// Returns the delay for the caller of a request that gets no further attempt because upstreams rest.
    pub(super) fn delay_after_rest(&mut self, request: usize) -> Option<Millis> {
        let now = self.now();
        let routing_request = self.routing_request(request);
        let host = self.requests[request].host;
        let rest = self.hosts[host].service().remaining_rest(&routing_request, now)?;
        Some(retry_after::after_rest(rest, routing_request.jitter_per_mille))
    }
}
