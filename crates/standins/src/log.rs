//! The subcommand `log`: the platform's append-only log.

pub mod bucket;
pub mod faults;
pub mod service;
pub mod store;

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

  --retention-records N    keep the last N records (default: all)
  --retention-ms MS        keep records of the last MS milliseconds (default: all)
  --appends-per-second N   answer 429 above this rate (default: 300)

GET /_standin/stats returns what the log has done.

Faults, PUT /_standin/faults; a field left out is off:
  outage, outage_mode (status | refuse | hang), latency_ms, lose_answers (0..1), seed,
  lose_next_answers
";

const DEFAULT_APPENDS_PER_SECOND: PerSecond = PerSecond(300);

/// Settings of the log.
#[derive(Debug, Clone)]
pub struct LogSettings {
    listen: SocketAddr,
    retention: Retention,
    appends_per_second: PerSecond,
}

impl LogSettings {
    /// Starts with all records kept and 300 appends per second.
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            retention: Retention::default(),
            appends_per_second: DEFAULT_APPENDS_PER_SECOND,
        }
    }

    /// Sets how long records are kept.
    #[must_use]
    pub const fn retention(mut self, retention: Retention) -> Self {
        self.retention = retention;
        self
    }

    /// Sets the rate above which appends are refused.
    #[must_use]
    pub const fn appends_per_second(mut self, rate: PerSecond) -> Self {
        self.appends_per_second = rate;
        self
    }

    /// Reads the settings from the command line.
    ///
    /// # Errors
    /// Fails when an option is missing or wrong.
    pub fn from_args(args: &mut Arguments) -> Result<Self, UsageError> {
        let records = args.opt_value_from_str("--retention-records")?;
        let age = args.opt_value_from_str("--retention-ms")?.map(Millis);
        let rate = args.opt_value_from_str("--appends-per-second")?;
        let settings = Self::new(args.value_from_str("--listen")?)
            .retention(Retention { records, age })
            .appends_per_second(rate.unwrap_or(DEFAULT_APPENDS_PER_SECOND));
        Ok(settings)
    }
}

/// Runs the log until the process is told to end.
///
/// # Errors
/// Fails when the operating system refuses what it needs.
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
