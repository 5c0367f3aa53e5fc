//! The subcommand `upstream`: a server that owns keys.

pub mod body;
pub mod desk;
pub mod faults;
pub mod grants;
pub mod runs;
pub mod service;
pub mod state;
pub mod tokens;
pub mod work;

use crate::errors::{StandinError, UsageError};
use crate::server::{self, Server};
use crate::startup;
use crate::upstream::desk::DeskSettings;
use crate::upstream::service::UpstreamService;
use crate::upstream::state::WorkTime;
use async_io::Timer;
use futures_lite::FutureExt;
use pico_args::Arguments;
use skylarkdock_units::{ids, times};
use std::net::SocketAddr;
use std::time::Duration;

use ids::{ServiceName, UpstreamId};
use times::Millis;

/// Text of `upstream --help`.
pub const HELP: &str = "\
skylarkdock-standin upstream --listen IP:PORT --service NAME --id NAME [options]

  --control IP:PORT            answer /_standin calls here too, outside the connection limit
  --slots N                    requests that run at once (default: 6)
  --connections N              reset connections above this number (default: no limit)
  --checks-orders true|false   check tokens and grants (default: true)
  --work-ms MS                 time of a request (default: 0)
  --cold-ms MS                 time after the start in which requests take longer (default: 0)
  --cold-factor F              factor in that time (default: 1)
  --answer-bytes N             size of responses (default: as small as possible)
  --keep-runs N                ended runs and intervals that are kept (default: 100000)
  --drain-ms MS                longest time of the drain on SIGTERM (default: 30000)

Beside the calls of an upstream it responses PUT /_upstream/drain, and, also while frozen:
  GET /_standin/runs?from=SEQ&max=N   ended runs from a number on, and all that run
  GET /_standin/owners                spans in which each key was served, by CLOCK_BOOTTIME
  GET /_standin/stats                 requests refused, by reason, and requests that run

Faults, PUT /_standin/faults; a field left out is off:
  freeze, crash_on, slow_factor, lie_healthy, lie_load, lag_ms, truncate_next, error_share, seed,
  shed
";

const DEFAULT_SLOTS: usize = 6;
const DEFAULT_KEEP_RUNS: usize = 100_000;
const DEFAULT_DRAIN_MS: Millis = Millis(30_000);
/// Time for which requests under way are refused, not cut, after the last run has ended.
const LINGER_MS: u64 = 250;

/// Settings of an upstream.
#[derive(Debug, Clone)]
pub struct UpstreamSettings {
    listen: SocketAddr,
    control: Option<SocketAddr>,
    service: ServiceName,
    id: UpstreamId,
    connections: Option<usize>,
    desk: DeskSettings,
    work: WorkTime,
    answer_bytes: usize,
    drain: Millis,
}

impl UpstreamSettings {
    /// Starts with six slots, checked orders and responses that take no time.
    pub const fn new(listen: SocketAddr, service: ServiceName, id: UpstreamId) -> Self {
        Self {
            listen,
            control: None,
            service,
            id,
            connections: None,
            desk: DeskSettings {
                slots: DEFAULT_SLOTS,
                checks_orders: true,
                keep_runs: DEFAULT_KEEP_RUNS,
            },
            work: WorkTime { usual: Millis(0), cold: Millis(0), cold_factor: 1.0 },
            answer_bytes: 0,
            drain: DEFAULT_DRAIN_MS,
        }
    }

    /// Sets a second address for control calls.
    #[must_use]
    pub const fn control(mut self, control: Option<SocketAddr>) -> Self {
        self.control = control;
        self
    }

    /// Sets the number of connections above which new ones are reset.
    #[must_use]
    pub const fn connections(mut self, connections: Option<usize>) -> Self {
        self.connections = connections;
        self
    }

    /// Sets slots, checks and how many runs are kept.
    #[must_use]
    pub const fn with_desk(mut self, desk: DeskSettings) -> Self {
        self.desk = desk;
        self
    }

    /// Sets how long a request takes.
    #[must_use]
    pub const fn with_work_time(mut self, work: WorkTime) -> Self {
        self.work = work;
        self
    }

    /// Sets the size of responses, in bytes.
    #[must_use]
    pub const fn with_answer_bytes(mut self, bytes: usize) -> Self {
        self.answer_bytes = bytes;
        self
    }

    /// Sets how long the drain may take at the end of the process.
    #[must_use]
    pub const fn drain(mut self, drain: Millis) -> Self {
        self.drain = drain;
        self
    }

    /// Returns the service.
    pub const fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Returns the upstream's name.
    pub const fn id(&self) -> &UpstreamId {
        &self.id
    }

    /// Returns slots, checks and how many runs are kept.
    pub const fn desk(&self) -> DeskSettings {
        self.desk
    }

    /// Returns how long a request takes.
    pub const fn work_time(&self) -> WorkTime {
        self.work
    }

    /// Returns the size of responses, in bytes.
    pub const fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Reads the settings from the command line.
    ///
    /// # Errors
    /// Fails when an option is missing or wrong.
    pub fn from_args(args: &mut Arguments) -> Result<Self, UsageError> {
        let control = args.opt_value_from_str("--control")?;
        let desk = desk_from_args(args)?;
        let work = work_from_args(args)?;
        let connections = args.opt_value_from_str("--connections")?;
        let answer_bytes = args.opt_value_from_str("--answer-bytes")?.unwrap_or(0);
        let drain = args.opt_value_from_str("--drain-ms")?.map(Millis);
        let service = args.value_from_str("--service")?;
        let id = args.value_from_str("--id")?;
        let settings = Self::new(args.value_from_str("--listen")?, service, id)
            .control(control)
            .connections(connections)
            .with_desk(desk)
            .with_work_time(work)
            .with_answer_bytes(answer_bytes)
            .drain(drain.unwrap_or(DEFAULT_DRAIN_MS));
        Ok(settings)
    }
}

fn desk_from_args(args: &mut Arguments) -> Result<DeskSettings, UsageError> {
    let slots = args.opt_value_from_str("--slots")?.unwrap_or(DEFAULT_SLOTS);
    if slots == 0 {
        let found = slots.to_string();
        return Err(UsageError::InvalidValue { option: "--slots", found, allowed: "1 and more" });
    }
    let checks_orders = args.opt_value_from_str("--checks-orders")?.unwrap_or(true);
    let keep_runs = args.opt_value_from_str("--keep-runs")?.unwrap_or(DEFAULT_KEEP_RUNS);
    Ok(DeskSettings { slots, checks_orders, keep_runs })
}

fn work_from_args(args: &mut Arguments) -> Result<WorkTime, UsageError> {
    let usual = args.opt_value_from_str("--work-ms")?.map_or(Millis(0), Millis);
    let cold = args.opt_value_from_str("--cold-ms")?.map_or(Millis(0), Millis);
    let cold_factor: f64 = args.opt_value_from_str("--cold-factor")?.unwrap_or(1.0);
    if !cold_factor.is_finite() || cold_factor < 0.0 {
        let found = cold_factor.to_string();
        return Err(UsageError::InvalidValue {
            option: "--cold-factor",
            found,
            allowed: "0 and more",
        });
    }
    Ok(WorkTime { usual, cold, cold_factor })
}

/// Runs the upstream until the process is told to end, then drains it. A second signal ends the drain.
///
/// # Errors
/// Fails when the operating system refuses what it needs, or when the drain takes too long.
pub fn run(settings: &UpstreamSettings) -> Result<(), StandinError> {
    let signals = startup::termination_signals()?;
    let executor = startup::executor()?;
    let (listener, address) = startup::listen(settings.listen)?;
    let service = UpstreamService::new(settings);
    if let Some(control) = settings.control {
        let (listener, address) = startup::listen(control)?;
        let service = service.clone();
        let server = Server::new(executor.clone(), None);
        server.start(listener, move |req| service.clone().handle_control(req));
        startup::announce(startup::CONTROL_LABEL, address)?;
    }
    let server = Server::new(executor, settings.connections);
    let handler = service.clone();
    server.start(listener, move |req| handler.clone().handle(req));
    startup::announce(startup::LISTENING_LABEL, address)?;
    async_io::block_on(async {
        let mut signals = signals;
        startup::wait_for_termination(&mut signals).await;
        let drained = async {
            let leave = leave(&service, &server);
            server::with_timeout(settings.drain.duration(), leave).await
        };
        let cut = async {
            startup::wait_for_termination(&mut signals).await;
            None
        };
        drained.or(cut).await.ok_or(StandinError::DrainIncomplete)
    })
}

async fn leave(service: &UpstreamService, server: &Server) {
    service.drain().await;
    Timer::after(Duration::from_millis(LINGER_MS)).await;
    server.stop().await;
}
