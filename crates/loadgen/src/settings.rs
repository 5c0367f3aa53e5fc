//! Settings of a run, parsed from the command line.

use http::Method;
use pico_args::Arguments;
use skylarkdock_units::ids::ServiceName;
use skylarkdock_units::measures::{ByteSize, PerSecond};
use skylarkdock_units::times::Millis;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

const DEFAULT_CONNECTIONS: usize = 32;
const DEFAULT_KEYS: usize = 1000;
const DEFAULT_THREADS: usize = 2;
const DEFAULT_DURATION_MS: Millis = Millis(10_000);
const DEFAULT_WARMUP_MS: Millis = Millis(1_000);
const DEFAULT_TIMEOUT_MS: Millis = Millis(5_000);
const DEFAULT_PATH_TEMPLATE: &str = "/orders/{key}/x";

/// Targets, load and output files of a run.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Loopback addresses to send requests to, in turn.
    pub targets: Vec<SocketAddr>,
    /// Path of each request, with `{key}` as the placeholder for the key.
    pub path_template: String,
    /// Number of connections, over all targets.
    pub connections: usize,
    /// Number of threads that send requests.
    pub threads: usize,
    /// Scheduled requests per second; `None` if each connection waits for its response before the next request.
    pub rate: Option<PerSecond>,
    /// Length of the measurement, after the warm-up.
    pub duration: Millis,
    /// How long to send requests before the measurement starts.
    pub warmup: Millis,
    /// Time limit for each attempt, also sent in its deadline header.
    pub timeout: Millis,
    /// Number of keys.
    pub keys: usize,
    /// Exponent of the Zipf distribution of key popularity; 0 makes all keys equally popular.
    pub zipf: f64,
    /// Interval after which the most popular ranks are mapped to other keys; `None` if they never are.
    pub hot_change: Option<Millis>,
    /// HTTP method of requests that are not once-only.
    pub method: Method,
    /// Share of once-only requests, from 0 to 1.
    pub once_only_share: f64,
    /// Size of the request body; GET requests have none.
    pub body_size: ByteSize,
    /// Service named in the headers of requests that go straight to an upstream, without a router.
    pub direct: Option<ServiceName>,
    /// Whether to resend requests with an unknown outcome, with the same id.
    pub resend_unknown: bool,
    /// Seed of the random generator that draws keys, once-only requests and ids.
    pub seed: u64,
    /// File that the result is written to as JSON.
    pub json: Option<PathBuf>,
    /// File that one JSON line per attempt is written to.
    pub history: Option<PathBuf>,
}

/// Why the command line is not valid.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// An option has no value or an invalid one.
    #[error(transparent)]
    Option(#[from] pico_args::Error),
    /// A target is not a loopback address.
    #[error("target {addr} is not a loopback address")]
    NotLoopback {
        /// Address that was given as a target.
        addr: SocketAddr,
    },
    /// The required option `--target` is missing.
    #[error("missing required option --target")]
    NoTarget,
    /// The value of an option is out of bounds.
    #[error("option {option} must be {allowed}")]
    OutOfBounds {
        /// Name of the option.
        option: &'static str,
        /// Description of the allowed values.
        allowed: &'static str,
    },
    /// The command line contains an unknown option or argument.
    #[error("unknown argument {argument:?}")]
    UnknownArgument {
        /// Argument as given.
        argument: String,
    },
}

impl Settings {
    /// Parses the settings from the command line.
    ///
    /// # Errors
    ///
    /// Fails when an option is missing, invalid or unknown, or when a target is not a loopback address.
    pub fn parse(mut args: Arguments) -> Result<Self, SettingsError> {
        let settings = Self {
            targets: args.values_from_str("--target")?,
            path_template: args
                .opt_value_from_str("--path-template")?
                .unwrap_or_else(|| DEFAULT_PATH_TEMPLATE.to_owned()),
            connections: args.opt_value_from_str("--connections")?.unwrap_or(DEFAULT_CONNECTIONS),
            threads: args.opt_value_from_str("--threads")?.unwrap_or(DEFAULT_THREADS),
            rate: args.opt_value_from_str("--rate")?,
            duration: args.opt_value_from_str("--duration")?.unwrap_or(DEFAULT_DURATION_MS),
            warmup: args.opt_value_from_str("--warmup")?.unwrap_or(DEFAULT_WARMUP_MS),
            timeout: args.opt_value_from_str("--timeout")?.unwrap_or(DEFAULT_TIMEOUT_MS),
            keys: args.opt_value_from_str("--keys")?.unwrap_or(DEFAULT_KEYS),
            zipf: args.opt_value_from_str("--zipf")?.unwrap_or(0.0),
            hot_change: seconds_to_millis(args.opt_value_from_str("--hot-change")?),
            method: args.opt_value_from_str("--method")?.unwrap_or(Method::GET),
            once_only_share: args.opt_value_from_str("--once-only-share")?.unwrap_or(0.0),
            body_size: args.opt_value_from_str("--body-size")?.unwrap_or_default(),
            direct: args.opt_value_from_str("--direct")?,
            resend_unknown: args.contains("--resend-unknown"),
            seed: args.opt_value_from_str("--seed")?.unwrap_or_default(),
            json: args.opt_value_from_str("--json")?,
            history: args.opt_value_from_str("--history")?,
        };
        if let Some(argument) = args.finish().first() {
            let argument = argument.to_string_lossy().into_owned();
            return Err(SettingsError::UnknownArgument { argument });
        }
        settings.validate()?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), SettingsError> {
        if self.targets.is_empty() {
            return Err(SettingsError::NoTarget);
        }
        if let Some(addr) = self.targets.iter().find(|addr| !addr.ip().is_loopback()) {
            return Err(SettingsError::NotLoopback { addr: *addr });
        }
        let greater_than_zero = "greater than 0";
        let bounds = [
            (self.connections > 0, "--connections", greater_than_zero),
            (self.threads > 0, "--threads", greater_than_zero),
            (self.rate != Some(PerSecond(0)), "--rate", greater_than_zero),
            (self.duration.0 > 0, "--duration", "a duration greater than 0"),
            (self.timeout.0 > 0, "--timeout", "a duration greater than 0"),
            (self.keys > 0, "--keys", greater_than_zero),
            (self.zipf.is_finite() && self.zipf >= 0.0, "--zipf", "a finite number, 0 or greater"),
            (self.hot_change != Some(Millis(0)), "--hot-change", "1 second or more"),
            ((0.0..=1.0).contains(&self.once_only_share), "--once-only-share", "between 0 and 1"),
        ];
        match bounds.into_iter().find(|(is_valid, ..)| !is_valid) {
            Some((_, option, allowed)) => Err(SettingsError::OutOfBounds { option, allowed }),
            None => Ok(()),
        }
    }
}

fn seconds_to_millis(seconds: Option<u64>) -> Option<Millis> {
    seconds.map(|seconds| Millis(seconds.saturating_mul(1000)))
}
