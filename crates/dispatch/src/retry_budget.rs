//! Retry budget of a service, enforced by each host so that the limit holds over all hosts.
//!
//! When many upstreams fail or shed load at once, retries of all hosts would multiply the load. The limit over all
//! hosts is a ratio of the requests in a sliding window plus a constant. Each host applies the ratio to its own
//! requests and takes an equal part of the constant, so the limit also holds between hosts that can't communicate.

use skylarkdock_units::times::{HostTime, Millis};
use std::collections::VecDeque;

/// Percentage of the limit that is used; the rest covers requests that are counted in a neighbouring window.
const USED_PERCENT: u64 = 85;
/// Number of buckets in a window. One more is kept, so the sums cover up to one bucket more than the window.
const BUCKETS: u64 = 20;

/// Limit on the retries of a service, summed over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per 1,000 requests.
    pub per_mille: u32,
    /// Retries allowed in a window in addition to the ratio.
    pub constant: u32,
    /// Length of the sliding window for requests and retries.
    pub window: Millis,
}

/// Percentage of its part that a process uses in its first window. It does not know what an earlier process of its host
/// spent within the same window, which may be all.
const START_PERCENT: u64 = 15;

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    number: u64,
    requests: u64,
    retries: u64,
}

/// One host's part of the retry budget of a service.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    limits: RetryLimits,
    hosts: u32,
    /// When the process started, if another one may have run before.
    started_at: Option<HostTime>,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Creates the part of one of `hosts` hosts.
    pub fn new(limits: RetryLimits, hosts: u32) -> Self {
        Self { limits, hosts: hosts.max(1), started_at: None, buckets: VecDeque::new() }
    }

    /// Sets when the process started, if another one may have run before it.
    pub const fn with_start(mut self, started_at: HostTime) -> Self {
        self.started_at = Some(started_at);
        self
    }

    /// Sets the number of hosts among which the constant is divided.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.hosts = hosts.max(1);
    }

    /// Counts a request of a caller, which raises the budget by the ratio.
    pub fn on_request(&mut self, now: HostTime) {
        self.bucket(now).requests += 1;
    }

    /// Takes one retry from the budget. Returns false if none is left.
    pub fn try_spend(&mut self, now: HostTime) -> bool {
        if self.available(now) == 0 {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    /// Returns the number of retries left in the window that ends at `now`.
    pub fn available(&mut self, now: HostTime) -> u64 {
        self.bucket(now);
        let requests: u64 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u64 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let ratio_part = requests * u64::from(self.limits.per_mille) / 1000;
        let constant = u64::from(self.limits.constant / self.hosts);
        let is_starting =
            self.started_at.is_some_and(|started_at| now.since(started_at) < self.limits.window);
        let used_percent =
            if is_starting { USED_PERCENT * START_PERCENT / 100 } else { USED_PERCENT };
        ((ratio_part + constant) * used_percent / 100).saturating_sub(retries)
    }

    /// Returns the bucket of `now`, after dropping the buckets that have left the window.
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
