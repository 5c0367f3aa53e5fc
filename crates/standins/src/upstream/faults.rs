//! Faults that are injected into an upstream at run time.

use serde::{Deserialize, Serialize};

/// Active faults of an upstream; a missing field turns its fault off.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct UpstreamFaults {
    /// Whether requests and platform calls are suspended; they resume when the fault ends.
    pub freeze: bool,
    /// Text that ends the process with exit code 134 when a running request has it in its key or body.
    pub crash_on: Option<String>,
    /// Factor of the processing time of requests.
    pub slow_factor: f64,
    /// Value of `healthy` that the health call returns in place of the actual one.
    pub lie_healthy: Option<bool>,
    /// Value of `load` that the health call returns in place of the actual one.
    pub lie_load: Option<f64>,
    /// Age of the status that the health call returns, in milliseconds.
    pub lag_ms: u64,
    /// Number of upcoming responses whose body is truncated.
    pub truncate_next: u64,
    /// Share of requests, 0 to 1, that run but get status 500.
    pub error_share: f64,
    /// Seed of the random choice of errors.
    pub seed: u64,
    /// Whether all requests are refused as if no slot were free.
    pub shed: bool,
}

impl Default for UpstreamFaults {
    fn default() -> Self {
        Self {
            freeze: false,
            crash_on: None,
            slow_factor: 1.0,
            lie_healthy: None,
            lie_load: None,
            lag_ms: 0,
            truncate_next: 0,
            error_share: 0.0,
            seed: 0,
            shed: false,
        }
    }
}
