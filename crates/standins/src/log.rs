//! Subcommand `log`: a stand-in for the platform's append-only log.

pub mod faults;
pub mod service;
pub mod store;
pub mod token_bucket;

use crate::errors::{StandinError, UsageError};
use crate::log::service::LogService;
use crate::log::store::Retention;
use crate::server::Server;
use crate::startup;
use pico_args::Arguments;
use skylarkdock_units::{measures, times};
use std::net::SocketAddr;

use measures::PerSecond;
use times::Millis;

/// Text of `log --help`.
pub const HELP: &str = "\
skylarkdock-standin log --listen IP:PORT [options]

  --retention-records N    retain the last N records (default: all)
  --retention-ms MS        retain records for MS milliseconds (default: without limit)
  --appends-per-second N   respond with 429 above this rate (default: 300)

GET /_standin/stats returns the counts of appends, reads, refusals and lost responses.

Faults, set by PUT /_standin/faults; a missing field turns its fault off:
  outage, outage_mode (status | refuse | hang), latency_ms, lose_answers (0..1), seed,
  lose_next_answers
";

const DEFAULT_APPENDS_PER_SECOND: PerSecond = PerSecond(300);

/// Settings of the stand-in log.
#[derive(Debug, Clone)]
pub struct LogSettings {
    listen: SocketAddr,
    retention: Retention,
    appends_per_second: PerSecond,
}

impl LogSettings {
    /// Creates settings with unlimited retention and a limit of 300 appends per second.
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            retention: Retention::default(),
            appends_per_second: DEFAULT_APPENDS_PER_SECOND,
        }
    }

    /// Sets how many records are retained and for how long.
    #[must_use]
    pub const fn retention(mut self, retention: Retention) -> Self {
        self.retention = retention;
        self
    }

    /// Sets the rate limit of appends.
    #[must_use]
    pub const fn appends_per_second(mut self, rate: PerSecond) -> Self {
        self.appends_per_second = rate;
        self
    }

    /// Parses the log's settings from the command line.
    ///
    /// # Errors
    /// Fails when an option is missing or invalid.
    pub fn from_args(args: &mut Arguments) -> Result<Self, UsageError> {
        let max_records = args.opt_value_from_str("--retention-records")?;
        let max_age = args.opt_value_from_str("--retention-ms")?.map(Millis);
        let rate = args.opt_value_from_str("--appends-per-second")?;
        let settings = Self::new(args.value_from_str("--listen")?)
            .retention(Retention { max_records, max_age })
            .appends_per_second(rate.unwrap_or(DEFAULT_APPENDS_PER_SECOND));
        Ok(settings)
    }
}

/// Runs the log until the process receives a termination signal.
///
/// # Errors
/// Fails when the address can't be bound or a thread or signal handler can't be set up.
pub fn run(settings: &LogSettings) -> Result<(), StandinError> {
    let mut signals = startup::termination_signals()?;
    let (listener, address) = startup::listen(settings.listen)?;
    let service = LogService::new(settings);
    let server = Server::new(startup::executor()?, None);
    server.start(listener, move |req| service.clone().handle(req));
    startup::announce(startup::LISTENING_LABEL, address)?;
    async_io::block_on(startup::wait_for_termination(&mut signals));
    Ok(())
}
