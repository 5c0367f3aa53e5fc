//! Hosts that can't open connections to upstreams, and the detours of their requests over other hosts.

use super::{Attempt, Event, FirstAttempt, HOST_LATENCY_MS, START_MS, Simulation, share};
use crate::shape::Burst;
use skylarkdock_dispatch::paths::{Intermediary, Paths};
use skylarkdock_dispatch::upstream::AttemptOutcome;
use std::net::SocketAddr;

/// Time-out of opening a connection, the same as on real hosts.
pub(super) const CONNECT_TIMEOUT_MS: u64 = 300;
/// Number of intermediaries that an attempt is tried on, the same as on real hosts.
pub(super) const MAX_DETOURS: u32 = 6;
/// Time after which hosts should have found another way to the upstreams.
pub(super) const DETOUR_TIME_MS: u64 = 3_000;

impl Simulation<'_> {
    /// Returns whether a host can't open connections to upstreams.
    pub(super) fn is_cut_off(&self, host: usize) -> bool {
        let elapsed_ms = self.now_ms - START_MS;
        let is_in = |period: &Burst| {
            period.contains(elapsed_ms) && host < share(period.x, self.hosts.len())
        };
        self.shape.cut_off.iter().any(is_in)
    }

    /// Returns whether hosts are cut off, for long enough that they should have found another way.
    pub(super) fn is_detour_time(&self) -> bool {
        let elapsed_ms = self.now_ms - START_MS;
        let mut periods = self.shape.cut_off.iter();
        periods.any(|period| {
            period.contains(elapsed_ms) && elapsed_ms >= period.at_ms + DETOUR_TIME_MS
        })
    }

    /// Counts the first attempt of a caller that the host ends.
    pub(super) fn end_first_attempt(&mut self, request: usize, is_served: bool) {
        let Some(FirstAttempt { is_cut_off }) = self.requests[request].first_attempt.take() else {
            return;
        };
        let group = if is_cut_off { &mut self.stats.at_cut_off } else { &mut self.stats.at_others };
        group.asked += 1;
        group.served += u64::from(is_served);
    }

    /// Sends a request over another host.
    pub(super) fn detour(&mut self, attempt: usize, tried: u32) {
        let Attempt { request, upstream, .. } = self.attempts[attempt];
        let (host, now) = (self.requests[request].host, self.now());
        let others = (0..self.hosts.len()).filter(|other| *other != host);
        let intermediaries: Vec<Intermediary> =
            others.map(|other| Intermediary { addr: host_addr(other), is_near: true }).collect();
        let seed = self.rng.u64(..);
        let picked =
            self.paths[host].pick_detour(upstream_addr(upstream), &intermediaries, seed, now);
        let Some(intermediary) = picked.filter(|_| tried < MAX_DETOURS) else {
            let request = self.end_attempt(attempt, AttemptOutcome::Unreachable);
            self.retry_or_refuse(request);
            return;
        };
        let intermediary = host_index(intermediary);
        if !self.is_cut_off(intermediary) {
            self.offer(attempt);
            return;
        }
        let is_known = !self.paths[intermediary].is_direct(upstream_addr(upstream));
        self.paths[intermediary].on_failure(upstream_addr(upstream), now);
        let delay_ms = if is_known { 0 } else { CONNECT_TIMEOUT_MS };
        self.schedule(
            delay_ms + 2 * HOST_LATENCY_MS,
            Event::DetourFailed { attempt, intermediary, tried },
        );
    }

    pub(super) fn probe_paths(&mut self) {
        let now = self.now();
        for host in 0..self.hosts.len() {
            let is_cut_off = self.is_cut_off(host);
            for upstream in self.paths[host].take_due_probes(now) {
                if !is_cut_off {
                    self.paths[host].on_success(upstream);
                }
            }
        }
    }
}

/// Returns an address that stands for an upstream.
pub(super) fn upstream_addr(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(index).unwrap_or(u16::MAX)))
}

/// Returns an address that stands for a host.
pub(super) fn host_addr(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 2], u16::try_from(index).unwrap_or(u16::MAX)))
}

pub(super) fn host_index(addr: SocketAddr) -> usize {
    usize::from(addr.port())
}

/// Returns paths to as many upstreams.
pub(super) fn paths_to(upstreams: usize) -> Paths {
    let mut paths = Paths::default();
    paths.set_upstreams((0..upstreams).map(upstream_addr).collect());
    paths
}
