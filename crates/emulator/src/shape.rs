//! File format of load shapes.

use eyre::{WrapErr, eyre};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Load on one service: request kinds, hosts and upstreams.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Name of the shape in tables and charts.
    pub name: String,
    /// Time during which callers create requests, in milliseconds.
    pub length_ms: u64,
    /// Number of hosts, all in one region. Each request goes to a random host.
    pub hosts: u32,
    /// Groups of identical upstreams.
    pub upstreams: Vec<UpstreamGroup>,
    /// Kinds of requests that callers send.
    pub kinds: Vec<RequestKind>,
    /// Periods with a multiple of the load.
    #[serde(default)]
    pub bursts: Vec<Burst>,
    /// Whether each request has a key, and the upstreams own equal shares of the keys.
    #[serde(default)]
    pub is_sharded: bool,
    /// Fraction of the requests that go to the first tenth of the hosts, besides their equal share.
    #[serde(default)]
    pub uneven: f64,
    /// Periods in which a fraction `x` of the hosts, the first ones, is suspended.
    #[serde(default)]
    pub suspended: Vec<Burst>,
    /// Periods in which a fraction `x` of the hosts, the first ones, can't open connections to upstreams.
    #[serde(default)]
    pub cut_off: Vec<Burst>,
    /// Periods in which a fraction `x` of the hosts, the last ones, exchanges no messages with any other host.
    #[serde(default)]
    pub isolated: Vec<Burst>,
}

/// Group of identical upstreams.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamGroup {
    /// Number of upstreams in the group.
    pub count: u32,
    /// Number of requests that each upstream runs concurrently.
    pub slots: u32,
    /// Length of the queue of each upstream; further requests are shed.
    pub queue: u32,
    /// Factor on the work of each request.
    #[serde(default = "one")]
    pub slowness: f64,
    /// Factor on the work of requests that start in the first three seconds of virtual time.
    #[serde(default = "one")]
    pub cold: f64,
    /// Fraction of requests that fail after their work is done.
    #[serde(default)]
    pub fails: f64,
    /// Factor on the work of requests that start while more than three quarters of the slots are taken.
    #[serde(default = "one")]
    pub crowded: f64,
    /// Period with an additional factor on the work.
    #[serde(default)]
    pub slow_spell: Option<Burst>,
    /// Periods in which each upstream names a limit of `x` requests a second in its answers.
    #[serde(default)]
    pub limits: Vec<Burst>,
    /// Periods in which each upstream asks the hosts that it turns away for a rest.
    #[serde(default)]
    pub rests: Vec<RestPeriod>,
}

/// Period in which upstreams ask for a rest.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RestPeriod {
    /// Start of the period, in milliseconds.
    pub at_ms: u64,
    /// Length of the period, in milliseconds.
    pub for_ms: u64,
    /// Time for which a host that is turned away in the period is asked to send nothing, in milliseconds.
    pub rest_ms: u64,
}

impl RestPeriod {
    /// Returns whether a time is within the period.
    pub fn contains(&self, at_ms: u64) -> bool {
        (self.at_ms..self.at_ms + self.for_ms).contains(&at_ms)
    }
}

/// Kind of request, with its rate, work and time limits.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// Name of the request kind.
    pub name: String,
    /// Scheduling rank; 0 is served first.
    pub rank: u8,
    /// Requests per second at load 1.
    pub per_s: f64,
    /// Mean duration on an upstream without slowdown, in milliseconds.
    pub work_ms: f64,
    /// Largest deviation of the work from its mean, as a fraction.
    pub spread: f64,
    /// Time within which an answer has its full worth, in milliseconds.
    pub objective_ms: u64,
    /// Time for which a caller waits for an answer over all its retries, in milliseconds.
    pub deadline_ms: u64,
    /// Worth of an answer within the objective.
    pub worth: f64,
    /// Worth of an answer after the objective and within the deadline.
    pub late_worth: f64,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Number of times that a caller retries after a refusal.
    pub retries: u32,
    /// Fraction of callers that wait for the retry delay they are told; the others retry immediately.
    pub obeys: f64,
    /// Requests that take several times as long as the others.
    #[serde(default)]
    pub tail: Option<Tail>,
    /// Time that a host has for each attempt of the caller, in milliseconds, if it is less than the deadline.
    #[serde(default)]
    pub timeout_ms: Option<u64>,
    /// Periods outside of which the kind has no requests; without any, it has them all the time.
    #[serde(default)]
    pub periods: Vec<Burst>,
}

/// Fraction of the requests of a kind that take several times as long as the others.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tail {
    /// Fraction of the requests.
    pub fraction: f64,
    /// Factor on their work.
    pub factor: f64,
}

impl RequestKind {
    /// Returns the factor on the rate of the kind at a time.
    pub fn rate_factor(&self, at_ms: u64) -> f64 {
        if self.periods.is_empty() {
            return 1.0;
        }
        let in_force = self.periods.iter().filter(|period| period.contains(at_ms));
        in_force.map(|period| period.x).sum()
    }

    /// Returns the mean work of a request with the tail, in milliseconds.
    fn mean_work_ms(&self) -> f64 {
        let tail = self.tail.map_or(0.0, |tail| tail.fraction * (tail.factor - 1.0));
        self.work_ms * (1.0 + tail)
    }

    /// Returns the mean rate over a time from the start, in requests per second.
    #[expect(clippy::cast_precision_loss, reason = "times far below 2^52 ms")]
    fn mean_per_s(&self, length_ms: u64) -> f64 {
        if self.periods.is_empty() {
            return self.per_s;
        }
        let weighted: f64 = self.periods.iter().map(|p| p.for_ms as f64 * p.x).sum();
        self.per_s * weighted / length_ms.max(1) as f64
    }
}

/// Factor that applies for a period.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start of the period, in milliseconds.
    pub at_ms: u64,
    /// Length of the period, in milliseconds.
    pub for_ms: u64,
    /// Factor during the period.
    pub x: f64,
}

impl Burst {
    /// Returns whether a time is within the period.
    pub fn contains(&self, at_ms: u64) -> bool {
        (self.at_ms..self.at_ms + self.for_ms).contains(&at_ms)
    }

    /// Returns the factor at a time, which is 1 outside the period.
    pub fn factor(&self, at_ms: u64) -> f64 {
        if self.contains(at_ms) { self.x } else { 1.0 }
    }
}

const fn one() -> f64 {
    1.0
}

impl Shape {
    /// Reads a shape from a JSON file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be read or is not a valid shape. The error names the file and the invalid field.
    pub fn read(path: &Path) -> eyre::Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("can't read {}", path.display()))?;
        Self::parse(&text).wrap_err_with(|| path.display().to_string())
    }

    /// Parses a shape from JSON.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a valid shape. The error names the invalid field.
    pub fn parse(text: &str) -> eyre::Result<Self> {
        let mut json = serde_json::Deserializer::from_str(text);
        let shape: Self = serde_path_to_error::deserialize(&mut json)
            .map_err(|e| eyre!("{}: {}", e.path(), e.inner()))?;
        if shape.hosts == 0 || shape.upstreams.is_empty() || shape.kinds.is_empty() {
            return Err(eyre!("hosts, upstreams and kinds must not be empty"));
        }
        Ok(shape)
    }

    /// Returns whether upstreams ask for rests.
    pub fn has_rests(&self) -> bool {
        self.upstreams.iter().any(|group| !group.rests.is_empty())
    }

    /// Returns the multiple of the shape's load at which all slots are busy all the time, without failures and bursts.
    pub fn capacity(&self) -> f64 {
        let slots_of =
            |kind: &RequestKind| kind.mean_per_s(self.length_ms) * kind.mean_work_ms() / 1000.0;
        let load_slots: f64 = self.kinds.iter().map(slots_of).sum();
        let groups = self.upstreams.iter();
        let slots: f64 = groups
            .map(|group| f64::from(group.count) * f64::from(group.slots) / group.slowness.max(0.01))
            .sum();
        slots / load_slots.max(1e-9)
    }
}
