//! Bandwidth budget of the link between regions.
//!
//! Bulk transfers must leave part of the tokens to more urgent ones. A service above its share of the link may start
//! bulk transfers only while the link's bucket is nearly full.

use crate::queue::Priority;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::ServiceName;
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::times::{HostTime, Millis};

const LINK_BYTES_PER_S: u64 = 30_000_000 / 8;
const BURST_MS: u64 = 500;
const BULK_MIN_LEVEL_PERCENT: u64 = 50;
const BULK_OVER_SHARE_MIN_LEVEL_PERCENT: u64 = 90;
const MS_PER_S: u64 = 1000;

/// Token bucket. Tokens are thousandths of a byte, so that refills per millisecond are exact.
#[derive(Debug, Clone, Copy)]
struct TokenBucket {
    rate: u64,
    max: i64,
    tokens: i64,
    filled_at: HostTime,
}

impl TokenBucket {
    fn new(rate: u64, now: HostTime) -> Self {
        let max = to_i64(rate * BURST_MS);
        Self { rate, max, tokens: max, filled_at: now }
    }

    fn refill(&mut self, now: HostTime) {
        let elapsed = now.since(self.filled_at).0;
        let refilled = to_i64(self.rate.saturating_mul(elapsed));
        self.tokens = self.tokens.saturating_add(refilled).min(self.max);
        self.filled_at = self.filled_at.max(now);
    }

    fn take(&mut self, bytes: ByteSize) {
        self.tokens = self.tokens.saturating_sub(to_i64(bytes.0.saturating_mul(MS_PER_S)));
    }

    fn level(&self, percent: u64) -> i64 {
        self.max / 100 * to_i64(percent)
    }

    /// Returns the time until the bucket holds more than `level` tokens.
    fn time_until_above(&self, level: i64) -> Millis {
        let missing = level.saturating_sub(self.tokens).max(0).unsigned_abs() + 1;
        Millis(missing.div_ceil(self.rate.max(1)))
    }
}

/// Whether a transfer may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendDecision {
    /// Send it; its bytes are already deducted.
    Send,
    /// Try again after this time.
    Wait(Millis),
}

/// A service's share of the link and the bytes that it has sent.
#[derive(Debug, Clone, Copy)]
struct ServiceUsage {
    share_bucket: TokenBucket,
    sent: ByteSize,
}

/// This host's budget for one direction of the link between two regions.
#[derive(Debug)]
pub struct LinkBudget {
    link: TokenBucket,
    usage_by_service: FastMap<ServiceName, ServiceUsage>,
}

impl LinkBudget {
    /// Creates the budget of one host. The link is shared evenly by `hosts` hosts, and the host's part evenly by
    /// `services`.
    pub fn new(hosts: u32, services: &[ServiceName], now: HostTime) -> Self {
        let rate = LINK_BYTES_PER_S / u64::from(hosts.max(1));
        let count = u64::try_from(services.len()).unwrap_or(u64::MAX).max(1);
        let share_bucket = TokenBucket::new(rate / count, now);
        let usage = ServiceUsage { share_bucket, sent: ByteSize(0) };
        let usage_by_service = services.iter().map(|service| (service.clone(), usage)).collect();
        Self { link: TokenBucket::new(rate, now), usage_by_service }
    }

    /// Deducts a transfer from the budget if it may start now.
    ///
    /// A transfer larger than the available tokens is sent whole and leaves a debt that later transfers wait for.
    pub fn try_send(
        &mut self,
        service: &ServiceName,
        priority: Priority,
        bytes: ByteSize,
        now: HostTime,
    ) -> SendDecision {
        self.refill(service, now);
        let level = self.level(service, priority);
        if self.link.tokens <= level {
            return SendDecision::Wait(self.link.time_until_above(level));
        }
        self.take(service, bytes);
        SendDecision::Send
    }

    /// Deducts bytes that were sent without [`LinkBudget::try_send`].
    pub fn record_sent(&mut self, service: &ServiceName, bytes: ByteSize, now: HostTime) {
        self.refill(service, now);
        self.take(service, bytes);
    }

    /// Returns the total number of bytes that a service has sent.
    pub fn sent(&self, service: &ServiceName) -> ByteSize {
        self.usage_by_service.get(service).map_or(ByteSize(0), |usage| usage.sent)
    }

    /// Returns the token level that the link must exceed for the transfer to start.
    fn level(&self, service: &ServiceName, priority: Priority) -> i64 {
        if priority != Priority::Bulk {
            return 0;
        }
        let in_share =
            self.usage_by_service.get(service).is_some_and(|usage| usage.share_bucket.tokens > 0);
        self.link.level(if in_share {
            BULK_MIN_LEVEL_PERCENT
        } else {
            BULK_OVER_SHARE_MIN_LEVEL_PERCENT
        })
    }

    fn refill(&mut self, service: &ServiceName, now: HostTime) {
        self.link.refill(now);
        if let Some(usage) = self.usage_by_service.get_mut(service) {
            usage.share_bucket.refill(now);
        }
    }

    fn take(&mut self, service: &ServiceName, bytes: ByteSize) {
        self.link.take(bytes);
        if let Some(usage) = self.usage_by_service.get_mut(service) {
            usage.share_bucket.take(bytes);
            usage.sent.0 = usage.sent.0.saturating_add(bytes.0);
        }
    }
}

fn to_i64(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
