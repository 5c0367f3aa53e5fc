//! Outlier ejection of upstreams that fail or are much slower than the others, based on this host's own requests.
//!
//! The reports of upstreams about themselves may be outdated or wrong, so they only lower an upstream's preference and
//! never eject it.

use crate::health::{Health, Standing};
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::BTreeMap;

/// Largest percentage of a service's upstreams that may be ejected at the same time.
pub const MAX_EJECTED_PERCENT: usize = 34;

const MIN_MEASURED_UPSTREAMS: usize = 4;
const MEDIAN_REFRESH_SAMPLES: u32 = 32;
const LATENCY_FACTOR: f64 = 4.0;
const LATENCY_MARGIN_MS: f64 = 20.0;

/// Result of a request to an upstream, as observed by this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sample {
    /// A complete answer arrived after this time.
    Success(Millis),
    /// There was no connection, no complete answer, or an answer that reports a failure of the upstream.
    Failure,
}

/// Health and load that an upstream reports about itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UpstreamReport {
    /// Whether it reports itself as healthy.
    pub healthy: bool,
    /// Its load; 1 is full load.
    pub load: f32,
}

/// A change of an upstream's standing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StandingChange {
    /// It gets no requests before this time, and then one trial request at a time.
    Ejected(HostTime),
    /// It gets requests without restriction again.
    Readmitted,
}

/// Ejects and readmits the upstreams of a service according to one host's observations.
#[derive(Debug, Clone, Default)]
pub struct OutlierDetector {
    health_by_upstream: BTreeMap<UpstreamId, Health>,
    median_ms: Option<f64>,
    samples_since_median: u32,
}

impl OutlierDetector {
    /// Adds an upstream.
    pub fn add(&mut self, upstream: UpstreamId) {
        self.health_by_upstream.entry(upstream).or_default();
    }

    /// Removes an upstream and readmits others while more are ejected than the smaller set allows.
    pub fn remove(&mut self, upstream: &UpstreamId) {
        self.health_by_upstream.remove(upstream);
        while self.ejected_count() > self.max_ejected_count() {
            self.readmit_earliest();
        }
    }

    /// Records the result of a request and returns the change of standing that it causes.
    pub fn observe(
        &mut self,
        upstream: &UpstreamId,
        sample: Sample,
        now: HostTime,
    ) -> Option<StandingChange> {
        self.refresh_median();
        let median_ms = self.median_ms;
        let may_eject = self.ejected_count() < self.max_ejected_count();
        let health = self.health_by_upstream.get_mut(upstream)?;
        health.observe(sample);
        if health.is_ejected() {
            return health.try_readmit(sample, now);
        }
        let is_slow = median_ms.is_some_and(|median_ms| {
            health.is_slower_than(median_ms * LATENCY_FACTOR + LATENCY_MARGIN_MS)
        });
        let is_outlier = is_slow || health.exceeds_failure_limits();
        (is_outlier && may_eject).then(|| health.eject(now))
    }

    /// Records an upstream's report about itself, which affects only its preference.
    pub fn report(&mut self, upstream: &UpstreamId, report: UpstreamReport, now: HostTime) {
        if let Some(health) = self.health_by_upstream.get_mut(upstream) {
            health.report(report, now);
        }
    }

    /// Returns an upstream's ejection state; an unknown upstream counts as ejected.
    pub fn standing(&self, upstream: &UpstreamId, now: HostTime) -> Standing {
        self.health_by_upstream
            .get(upstream)
            .map_or(Standing::Ejected, |health| health.standing(now))
    }

    /// Reserves the trial request of an upstream. Returns false if it may not get one now.
    pub fn begin_trial(&mut self, upstream: &UpstreamId, now: HostTime) -> bool {
        self.health_by_upstream.get_mut(upstream).is_some_and(|health| health.begin_trial(now))
    }

    /// Returns the weight from the upstream's own reports: 1 unless a recent report says unhealthy or highly loaded, 0
    /// for an unknown upstream.
    pub fn preference(&self, upstream: &UpstreamId, now: HostTime) -> f32 {
        self.health_by_upstream.get(upstream).map_or(0.0, |health| health.preference(now))
    }

    /// Returns how many upstreams are ejected, those in trial included.
    pub fn ejected_count(&self) -> usize {
        self.health_by_upstream.values().filter(|health| health.is_ejected()).count()
    }

    /// Returns how many upstreams may be ejected at the same time; at least one always stays in use.
    pub fn max_ejected_count(&self) -> usize {
        let count = self.health_by_upstream.len();
        (count * MAX_EJECTED_PERCENT / 100).min(count.saturating_sub(1))
    }

    /// Returns how many upstreams are known.
    pub fn len(&self) -> usize {
        self.health_by_upstream.len()
    }

    /// Returns whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.health_by_upstream.is_empty()
    }

    fn readmit_earliest(&mut self) {
        let ejected = self.health_by_upstream.values_mut().filter(|health| health.is_ejected());
        if let Some(health) = ejected.min_by_key(|health| health.ejected_until()) {
            health.readmit();
        }
    }

    fn refresh_median(&mut self) {
        self.samples_since_median += 1;
        if self.samples_since_median >= MEDIAN_REFRESH_SAMPLES {
            self.samples_since_median = 0;
            self.median_ms = self.median_latency_ms();
        }
    }

    /// Returns the median of the mean latencies of the upstreams that are not ejected, or `None` if too few of them
    /// have enough samples.
    fn median_latency_ms(&self) -> Option<f64> {
        let in_use = self.health_by_upstream.values().filter(|health| !health.is_ejected());
        let mut means: Vec<f64> = in_use.filter_map(Health::mean_latency_ms).collect();
        if means.len() < MIN_MEASURED_UPSTREAMS {
            return None;
        }
        let middle = (means.len() - 1) / 2;
        let (_, median_ms, _) = means.select_nth_unstable_by(middle, f64::total_cmp);
        Some(*median_ms)
    }
}
