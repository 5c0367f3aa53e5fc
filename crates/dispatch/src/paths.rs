//! Paths from one host to the upstreams: direct ones, and detours over other hosts.
//!
//! Load pattern: some hosts, up to all of an availability zone, can't open connections to upstreams for seconds, while
//! callers, the store and the other hosts reach them. Their requests are forwarded by hosts that reach the upstream.
//! Only connections show which paths work: the result of each one is recorded here, and a failed path is probed until
//! it works again.

use crate::regions::AllowedRegions;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::Region;
use skylarkdock_units::times::{HostTime, Millis};
use std::net::SocketAddr;

/// Time between two probes of a failed path, and from its failure to the first one.
const PROBE_INTERVAL: Millis = Millis(500);
/// Time between checks for due probes while a path has failed.
const CHECK_INTERVAL: Millis = Millis(100);
/// Number of upstreams, with no other path working since, whose failed connections show that this host is cut off from
/// all upstreams.
const CUT_OFF_FAILURES: usize = 3;
/// Number of paths that a host which is cut off probes in a probe interval.
const CUT_OFF_PROBES: usize = 3;
/// Time for which an intermediary that does not reach an upstream is not asked for it again.
const DETOUR_AVOID_TIME: Millis = Millis(2_000);

/// Another host that calls may go over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Intermediary {
    /// Its address for calls of other hosts.
    pub addr: SocketAddr,
    /// Whether it is in this host's region.
    pub is_near: bool,
}

impl Intermediary {
    /// Returns the hosts that a call may go over, from the address and the region of each other host. A call carries the
    /// body of its request, so hosts outside the allowed regions of the request are left out.
    pub fn list<'a>(
        hosts: impl IntoIterator<Item = (SocketAddr, &'a Region)>,
        own_region: &Region,
        allowed: &AllowedRegions,
    ) -> Vec<Self> {
        let allowed = hosts.into_iter().filter(|(_, region)| allowed.allows(Some(region)));
        allowed.map(|(addr, region)| Self { addr, is_near: region == own_region }).collect()
    }
}

#[derive(Debug, Clone, Copy)]
struct FailedPath {
    next_probe_at: HostTime,
}

/// Paths from one host.
#[derive(Debug, Default)]
pub struct Paths {
    /// Addresses of the listed upstreams, sorted.
    upstreams: Vec<SocketAddr>,
    failed: FastMap<SocketAddr, FailedPath>,
    /// Number of paths that failed since one last worked.
    failures_in_a_row: usize,
    /// When a host that is cut off probes next, and the index of the next upstream.
    next_probe_at: HostTime,
    next_probe: usize,
    /// Intermediaries that don't reach an upstream, or any if there is none, and until when that counts.
    avoided: FastMap<(SocketAddr, Option<SocketAddr>), HostTime>,
}

impl Paths {
    /// Returns whether connections to an upstream may be opened directly.
    pub fn is_direct(&self, upstream: SocketAddr) -> bool {
        !self.is_cut_off() && !self.failed.contains_key(&upstream)
    }

    /// Returns whether this host seems to reach no upstream.
    pub const fn is_cut_off(&self) -> bool {
        self.failures_in_a_row >= CUT_OFF_FAILURES
    }

    /// Records that an upstream answered on a direct connection, or that one could be opened. Returns whether the path
    /// was not in use.
    pub fn on_success(&mut self, upstream: SocketAddr) -> bool {
        let was_direct = self.is_direct(upstream);
        self.failures_in_a_row = 0;
        self.failed.remove(&upstream);
        !was_direct
    }

    /// Records that a direct connection could not be opened, or went silent. Returns whether the path was in use.
    pub fn on_failure(&mut self, upstream: SocketAddr, now: HostTime) -> bool {
        let was_direct = self.is_direct(upstream);
        let next_probe_at = now + PROBE_INTERVAL;
        if self.failed.insert(upstream, FailedPath { next_probe_at }).is_none() {
            self.failures_in_a_row += 1;
        }
        was_direct
    }

    /// Returns the time until the next check for due probes. The first one after a failure is never late.
    pub fn check_interval(&self) -> Millis {
        if self.is_cut_off() || !self.failed.is_empty() {
            CHECK_INTERVAL
        } else {
            PROBE_INTERVAL.saturating_sub(CHECK_INTERVAL)
        }
    }

    /// Returns the paths to probe now. A host that is cut off probes some of all upstreams in turn, as those that
    /// failed may have ended.
    pub fn take_due_probes(&mut self, now: HostTime) -> Vec<SocketAddr> {
        if self.is_cut_off() && !self.upstreams.is_empty() {
            if now < self.next_probe_at {
                return Vec::new();
            }
            self.next_probe_at = now + PROBE_INTERVAL;
            let count = CUT_OFF_PROBES.min(self.upstreams.len());
            let start = self.next_probe;
            self.next_probe = start + count;
            let indices = (start..start + count).map(|index| index % self.upstreams.len());
            return indices.map(|index| self.upstreams[index]).collect();
        }
        let mut due = Vec::new();
        for (upstream, path) in &mut self.failed {
            if now >= path.next_probe_at {
                path.next_probe_at = now + PROBE_INTERVAL;
                due.push(*upstream);
            }
        }
        due
    }

    /// Sets the addresses of the listed upstreams, and forgets the paths to others.
    pub fn set_upstreams(&mut self, mut upstreams: Vec<SocketAddr>) {
        upstreams.sort();
        self.failed.retain(|upstream, _| upstreams.binary_search(upstream).is_ok());
        self.upstreams = upstreams;
    }

    /// Adds the address of an upstream that was not listed before.
    pub fn add_upstream(&mut self, upstream: SocketAddr) {
        if let Err(index) = self.upstreams.binary_search(&upstream) {
            self.upstreams.insert(index, upstream);
        }
    }

    /// Removes the address of an upstream that is no longer listed, and forgets the path to it.
    pub fn remove_upstream(&mut self, upstream: SocketAddr) {
        if let Ok(index) = self.upstreams.binary_search(&upstream) {
            self.upstreams.remove(index);
        }
        self.failed.remove(&upstream);
    }

    /// Returns the intermediary for a request to an upstream, `None` if there is none left that may reach it.
    /// Intermediaries of this region come first; `seed` selects among them, so that their load is even.
    pub fn pick_detour(
        &self,
        upstream: SocketAddr,
        intermediaries: &[Intermediary],
        seed: u64,
        now: HostTime,
    ) -> Option<SocketAddr> {
        let is_avoided = |key: (SocketAddr, Option<SocketAddr>)| {
            self.avoided.get(&key).is_some_and(|until| now < *until)
        };
        let usable = |intermediary: &&Intermediary| {
            !is_avoided((intermediary.addr, None))
                && !is_avoided((intermediary.addr, Some(upstream)))
        };
        let near: Vec<&Intermediary> = intermediaries
            .iter()
            .filter(usable)
            .filter(|intermediary| intermediary.is_near)
            .collect();
        let candidates =
            if near.is_empty() { intermediaries.iter().filter(usable).collect() } else { near };
        let index = seed.checked_rem(candidates.len() as u64)?;
        candidates
            .get(usize::try_from(index).unwrap_or_default())
            .map(|intermediary| intermediary.addr)
    }

    /// Records that an intermediary did not reach an upstream; with `None`, that it reaches none or could not be
    /// reached itself.
    pub fn on_detour_failure(
        &mut self,
        intermediary: SocketAddr,
        upstream: Option<SocketAddr>,
        now: HostTime,
    ) {
        self.avoided.retain(|_, until| now < *until);
        self.avoided.insert((intermediary, upstream), now + DETOUR_AVOID_TIME);
    }
}
