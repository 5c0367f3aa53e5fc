//! Faults of the log that are set at run time.

use serde::{Deserialize, Serialize};

/// What an outage looks like to callers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageMode {
    /// Each call is answered 503.
    #[default]
    Status,
    /// Each call's connection is closed without an answer.
    Refuse,
    /// Calls get no answer until the outage ends.
    Hang,
}

/// The faults in force; a field left out is off.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogFaults {
    /// All calls fail and nothing takes effect.
    pub outage: bool,
    /// How they fail.
    pub outage_mode: OutageMode,
    /// Delay before each call takes effect, in milliseconds.
    pub latency_ms: u64,
    /// Share of appends, 0 to 1, that take effect and whose answer is lost.
    pub lose_answers: f64,
    /// Seed of the choice of lost responses.
    pub seed: u64,
    /// Number of next appends that take effect and whose responses are lost.
    pub lose_next_answers: u64,
}
