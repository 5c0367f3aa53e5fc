//! Bound on repeats, kept by each host so that it holds summed over all hosts.
//!
//! Load pattern: upstreams fail or shed in numbers, and every host would like to send again at once. The bound for all
//! hosts is a share of the requests of a window plus a constant. A host may use that share of its own requests and
//! its part of the constant, so the sum holds also among hosts that can't hear each other.

use skylarkdock_units::times::{HostTime, Millis};
use std::collections::VecDeque;

/// Part of the bound that is used; the rest covers requests that are counted in a neighbouring window.
const USED_PERCENT: u64 = 85;
/// Buckets that a window is counted in.
const BUCKETS: u64 = 20;

/// Bound on repeats of a service over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Repeats per 1,000 requests.
    pub per_mille: u32,
    /// Repeats allowed besides.
    pub constant: u32,
    /// The window in which both are counted.
    pub window: Millis,
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    number: u64,
    requests: u64,
    repeats: u64,
}

/// One host's part of the budget of a service.
#[derive(Debug, Clone)]
pub struct Budget {
    limits: Limits,
    hosts: u32,
    buckets: VecDeque<Bucket>,
}

impl Budget {
    /// Starts a budget shared by `hosts` hosts.
    pub fn new(limits: Limits, hosts: u32) -> Self {
        Self { limits, hosts: hosts.max(1), buckets: VecDeque::new() }
    }

    /// Sets the number of hosts that share the constant.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.hosts = hosts.max(1);
    }

    /// Counts a caller's request for the service.
    pub fn on_request(&mut self, now: HostTime) {
        self.bucket(now).requests += 1;
    }

    /// Takes one repeat from the budget; returns whether there was one.
    pub fn spend(&mut self, now: HostTime) -> bool {
        if self.available(now) == 0 {
            return false;
        }
        self.bucket(now).repeats += 1;
        true
    }

    /// Returns how many repeats are left now.
    pub fn available(&mut self, now: HostTime) -> u64 {
        self.bucket(now);
        let requests: u64 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u64 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        let share = requests * u64::from(self.limits.per_mille) / 1000;
        let constant = u64::from(self.limits.constant / self.hosts);
        ((share + constant) * USED_PERCENT / 100).saturating_sub(repeats)
    }

    /// Returns the bucket of `now`, after dropping those that left the window.
    fn bucket(&mut self, now: HostTime) -> &mut Bucket {
        let width = (self.limits.window.0 / BUCKETS).max(1);
        let number = now.0 / width;
        while self.buckets.front().is_some_and(|oldest| oldest.number + BUCKETS < number) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|newest| newest.number < number) {
            self.buckets.push_back(Bucket { number, ..Bucket::default() });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
