//! Limits of the deduplication memory: retention, clock skew and size.

use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::times::Millis;

const RETENTION_MS: u64 = 24 * 60 * 60 * 1000;
const MAX_CALLER_SKEW_MS: u64 = 250;
const MAX_HOST_SKEW_MS: u64 = 150;
const MAX_ENTRIES: usize = 50_000;
const MAX_BODY_BYTES: u64 = 16 * 1024;
const MAX_TOTAL_BODY_BYTES: u64 = 32 * 1024 * 1024;

/// Limits of a [`Memory`](crate::memory::Memory), built by [`LimitsBuilder`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    pub(crate) retention: Millis,
    pub(crate) max_caller_skew: Millis,
    pub(crate) max_host_skew: Millis,
    pub(crate) max_entries: usize,
    pub(crate) max_body_size: ByteSize,
    pub(crate) max_total_body_size: ByteSize,
}

impl Default for Limits {
    fn default() -> Self {
        LimitsBuilder::new().build()
    }
}

impl Limits {
    /// Returns how far the time in an id can be ahead of the clock of any host that ran the request.
    pub(crate) fn max_id_skew(&self) -> Millis {
        self.max_caller_skew + self.max_host_skew
    }
}

/// Builds [`Limits`].
#[derive(Debug, Clone, Copy)]
pub struct LimitsBuilder {
    limits: Limits,
}

impl Default for LimitsBuilder {
    fn default() -> Self {
        Self::new()
    }
}

impl LimitsBuilder {
    /// Creates a builder with the default limits.
    pub fn new() -> Self {
        Self {
            limits: Limits {
                retention: Millis(RETENTION_MS),
                max_caller_skew: Millis(MAX_CALLER_SKEW_MS),
                max_host_skew: Millis(MAX_HOST_SKEW_MS),
                max_entries: MAX_ENTRIES,
                max_body_size: ByteSize(MAX_BODY_BYTES),
                max_total_body_size: ByteSize(MAX_TOTAL_BODY_BYTES),
            },
        }
    }

    /// Sets how long a request is remembered, measured from the time in its id.
    #[must_use]
    pub fn retention(mut self, retention: Millis) -> Self {
        self.limits.retention = retention;
        self
    }

    /// Sets how far a caller's clock may be ahead of a host's.
    #[must_use]
    pub fn max_caller_skew(mut self, skew: Millis) -> Self {
        self.limits.max_caller_skew = skew;
        self
    }

    /// Sets how far the wall clocks of two hosts may differ.
    #[must_use]
    pub fn max_host_skew(mut self, skew: Millis) -> Self {
        self.limits.max_host_skew = skew;
        self
    }

    /// Sets the largest number of requests that are remembered.
    #[must_use]
    pub fn max_entries(mut self, max_entries: usize) -> Self {
        self.limits.max_entries = max_entries;
        self
    }

    /// Sets the size of the largest body that is kept rather than reduced to its digest.
    #[must_use]
    pub fn max_body_size(mut self, size: ByteSize) -> Self {
        self.limits.max_body_size = size;
        self
    }

    /// Sets the largest total size of the bodies that are kept.
    #[must_use]
    pub fn max_total_body_size(mut self, size: ByteSize) -> Self {
        self.limits.max_total_body_size = size;
        self
    }

    /// Returns the limits.
    pub fn build(self) -> Limits {
        self.limits
    }
}
