//! Faults of an upstream that are set at run time.

use serde::{Deserialize, Serialize};

/// The faults in force; a field left out is off.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct UpstreamFaults {
    /// Nothing is answered; what has arrived goes on when the fault ends.
    pub freeze: bool,
    /// Text that ends the process with code 134 when a request whose key or body holds it runs.
    pub crash_on: Option<String>,
    /// Factor on the time that a request takes.
    pub slow_factor: f64,
    /// What the health call says in place of the truth.
    pub lie_healthy: Option<bool>,
    /// What the health call says of the load in place of the truth.
    pub lie_load: Option<f64>,
    /// Age of what the health call says, in milliseconds.
    pub lag_ms: u64,
    /// Number of next responses whose body is cut short.
    pub truncate_next: u64,
    /// Share of requests, 0 to 1, that run and are answered 500.
    pub error_share: f64,
    /// Seed of the choice of errors.
    pub seed: u64,
    /// All requests are refused for lack of a slot.
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
