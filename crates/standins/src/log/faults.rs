//! Faults that are injected into the log at run time.

use serde::{Deserialize, Serialize};

/// How calls fail during an outage.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageMode {
    /// Calls get status 503.
    #[default]
    Status,
    /// Connections are closed without a response.
    Refuse,
    /// Calls wait for the end of the outage.
    Hang,
}

/// Active faults of the log; a missing field turns its fault off.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogFaults {
    /// Whether all calls fail or hang, without any effect.
    pub outage: bool,
    /// How calls fail during the outage.
    pub outage_mode: OutageMode,
    /// Delay before each call is processed, in milliseconds.
    pub latency_ms: u64,
    /// Share of appends, 0 to 1, that succeed without a response.
    pub lose_answers: f64,
    /// Seed of the random choice of lost responses.
    pub seed: u64,
    /// Number of upcoming appends that succeed without a response.
    pub lose_next_answers: u64,
}
