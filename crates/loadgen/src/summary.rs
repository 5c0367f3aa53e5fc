//! Result of a run, as written to the JSON file and read by `compare`.

use crate::failures::Failure;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Measurements of a run, without its warm-up.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Scheduled requests per second; `None` if each connection waits for its response before the next request.
    pub rate_asked: Option<u32>,
    /// Complete responses per second.
    pub rate_achieved: f64,
    /// Length of the measurement in seconds.
    pub seconds: f64,
    /// Requests that ended, with a complete response or a failure.
    pub requests: u64,
    /// Requests with a complete response, whatever its status.
    pub answered: u64,
    /// Attempts beyond the first of each request.
    pub resends: u64,
    /// Number of requests by the failure of their last attempt.
    pub failures: BTreeMap<Failure, u64>,
    /// Number of complete responses by HTTP status.
    pub statuses: BTreeMap<u16, u64>,
    /// Number of complete responses by outcome header.
    pub outcomes: BTreeMap<String, u64>,
    /// Complete responses that name another key or another request.
    pub misnamed: u64,
    /// Time from the intended start of a request to the end of its response, resends included.
    pub latency: Quantiles,
    /// Time from the intended start of a request to its actual start.
    pub start_lag: Quantiles,
}

/// Quantiles of a distribution of times, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Half of the values are at most this.
    pub p50_us: u64,
    /// 90 % of the values are at most this.
    pub p90_us: u64,
    /// 99 % of the values are at most this.
    pub p99_us: u64,
    /// 99.9 % of the values are at most this.
    pub p99_9_us: u64,
    /// The largest value.
    pub max_us: u64,
}
