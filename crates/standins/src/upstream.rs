//! Subcommand `upstream`: a stand-in for a server that owns keys exclusively.

pub mod admission;
pub mod body;
pub mod execution;
pub mod faults;
pub mod grants;
pub mod runs;
pub mod service;
pub mod state;
pub mod tokens;

use crate::errors::{StandinError, UsageError};
use crate::server::{self, Server};
use crate::startup;
use crate::upstream::admission::AdmissionSettings;
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

  --control IP:PORT            also serve /_standin calls here, outside the connection limit
  --slots N                    maximum number of requests that run at once (default: 6)
  --connections N              reset new connections above this number (default: no limit)
  --checks-orders true|false   check fencing tokens and grants (default: true)
  --work-ms MS                 processing time of a request (default: 0)
  --cold-ms MS                 time after the start in which --cold-factor applies (default: 0)
  --cold-factor F              factor of the processing time during --cold-ms (default: 1)
  --answer-bytes N             minimum size of response bodies (default: 0)
  --keep-runs N                number of ended runs and of intervals retained (default: 100000)
  --drain-ms MS                timeout of the drain on SIGTERM or SIGINT (default: 30000)

Serves the calls of an upstream, PUT /_upstream/drain and, even while frozen:
  GET /_standin/runs?from=SEQ&max=N   ended runs starting at a sequence number, and all running ones
  GET /_standin/owners                intervals in which each key was served, by CLOCK_BOOTTIME
  GET /_standin/stats                 counts of refused requests by reason, and of running requests

Faults, set by PUT /_standin/faults; a missing field turns its fault off:
  freeze, crash_on, slow_factor, lie_healthy, lie_load, lag_ms, truncate_next, error_share, seed,
  shed
";

const DEFAULT_SLOTS: usize = 6;
const DEFAULT_RETAINED_RUNS: usize = 100_000;
const DEFAULT_DRAIN_TIMEOUT: Millis = Millis(30_000);
/// Time after the drain in which requests that still arrive are refused before their connections are closed.
const DRAIN_LINGER_MS: u64 = 250;

/// Settings of the stand-in upstream.
#[derive(Debug, Clone)]
pub struct UpstreamSettings {
    listen: SocketAddr,
    control: Option<SocketAddr>,
    service: ServiceName,
    id: UpstreamId,
    connections: Option<usize>,
    admission: AdmissionSettings,
    work_time: WorkTime,
    answer_bytes: usize,
    drain_timeout: Millis,
}

impl UpstreamSettings {
    /// Creates settings with six slots, checks of fencing tokens and grants, and no processing time.
    pub const fn new(listen: SocketAddr, service: ServiceName, id: UpstreamId) -> Self {
        Self {
            listen,
            control: None,
            service,
            id,
            connections: None,
            admission: AdmissionSettings {
                slots: DEFAULT_SLOTS,
                checks_orders: true,
                keep_runs: DEFAULT_RETAINED_RUNS,
            },
            work_time: WorkTime { base: Millis(0), cold_period: Millis(0), cold_factor: 1.0 },
            answer_bytes: 0,
            drain_timeout: DEFAULT_DRAIN_TIMEOUT,
        }
    }

    /// Sets an additional address that serves control calls.
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

    /// Sets the settings of the admission of requests.
    #[must_use]
    pub const fn with_admission(mut self, admission: AdmissionSettings) -> Self {
        self.admission = admission;
        self
    }

    /// Sets the processing time of requests.
    #[must_use]
    pub const fn with_work_time(mut self, work_time: WorkTime) -> Self {
        self.work_time = work_time;
        self
    }

    /// Sets the minimum size of response bodies, in bytes.
    #[must_use]
    pub const fn with_answer_bytes(mut self, bytes: usize) -> Self {
        self.answer_bytes = bytes;
        self
    }

    /// Sets the timeout of the drain at the end of the process.
    #[must_use]
    pub const fn drain_timeout(mut self, drain_timeout: Millis) -> Self {
        self.drain_timeout = drain_timeout;
        self
    }

    /// Returns the name of the service that the upstream belongs to.
    pub const fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Returns the upstream's id.
    pub const fn id(&self) -> &UpstreamId {
        &self.id
    }

    /// Returns the settings of the admission of requests.
    pub const fn admission(&self) -> AdmissionSettings {
        self.admission
    }

    /// Returns the processing time of requests.
    pub const fn work_time(&self) -> WorkTime {
        self.work_time
    }

    /// Returns the minimum size of response bodies, in bytes.
    pub const fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Parses the upstream's settings from the command line.
    ///
    /// # Errors
    /// Fails when an option is missing or invalid.
    pub fn from_args(args: &mut Arguments) -> Result<Self, UsageError> {
        let control = args.opt_value_from_str("--control")?;
        let admission = admission_from_args(args)?;
        let work_time = work_time_from_args(args)?;
        let connections = args.opt_value_from_str("--connections")?;
        let answer_bytes = args.opt_value_from_str("--answer-bytes")?.unwrap_or(0);
        let drain_timeout = args.opt_value_from_str("--drain-ms")?.map(Millis);
        let service = args.value_from_str("--service")?;
        let id = args.value_from_str("--id")?;
        let settings = Self::new(args.value_from_str("--listen")?, service, id)
            .control(control)
            .connections(connections)
            .with_admission(admission)
            .with_work_time(work_time)
            .with_answer_bytes(answer_bytes)
            .drain_timeout(drain_timeout.unwrap_or(DEFAULT_DRAIN_TIMEOUT));
        Ok(settings)
    }
}

fn admission_from_args(args: &mut Arguments) -> Result<AdmissionSettings, UsageError> {
    let slots = args.opt_value_from_str("--slots")?.unwrap_or(DEFAULT_SLOTS);
    if slots == 0 {
        let found = slots.to_string();
        return Err(UsageError::InvalidValue { option: "--slots", found, allowed: "1 or more" });
    }
    let checks_orders = args.opt_value_from_str("--checks-orders")?.unwrap_or(true);
    let keep_runs = args.opt_value_from_str("--keep-runs")?.unwrap_or(DEFAULT_RETAINED_RUNS);
    Ok(AdmissionSettings { slots, checks_orders, keep_runs })
}

fn work_time_from_args(args: &mut Arguments) -> Result<WorkTime, UsageError> {
    let base = args.opt_value_from_str("--work-ms")?.map_or(Millis(0), Millis);
    let cold_period = args.opt_value_from_str("--cold-ms")?.map_or(Millis(0), Millis);
    let cold_factor: f64 = args.opt_value_from_str("--cold-factor")?.unwrap_or(1.0);
    if !cold_factor.is_finite() || cold_factor < 0.0 {
        let found = cold_factor.to_string();
        return Err(UsageError::InvalidValue {
            option: "--cold-factor",
            found,
            allowed: "0 or more",
        });
    }
    Ok(WorkTime { base, cold_period, cold_factor })
}

/// Runs the upstream until the process receives a termination signal, then drains it. A second signal ends the drain.
///
/// # Errors
/// Fails when an address can't be bound, a thread or signal handler can't be set up, or the drain does not finish.
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
        let drain_finished = async {
            let shutdown = drain_and_stop(&service, &server);
            server::with_timeout(settings.drain_timeout.duration(), shutdown).await
        };
        let interrupted = async {
            startup::wait_for_termination(&mut signals).await;
            None
        };
        drain_finished.or(interrupted).await.ok_or(StandinError::DrainIncomplete)
    })
}

async fn drain_and_stop(service: &UpstreamService, server: &Server) {
    service.drain().await;
    Timer::after(Duration::from_millis(DRAIN_LINGER_MS)).await;
    server.stop().await;
}
