//! Subcommand `hosts`: a stand-in for the platform's host list.

pub mod list;
pub mod service;

use crate::errors::{StandinError, UsageError};
use crate::hosts::list::HostList;
use crate::hosts::service::HostsService;
use crate::server::Server;
use crate::startup;
use pico_args::Arguments;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Text of `hosts --help`.
pub const HELP: &str = "\
skylarkdock-standin hosts --listen IP:PORT [options]

  --file PATH    load the initial list from this JSON file (default: an empty list)

PUT /_standin/hosts replaces the list. A host's `via` maps ids of other hosts to the addresses
under which they are to reach it: {\"host-1\": {\"peer\": \"IP:PORT\", \"http\": \"IP:PORT\"}}.

Faults, set by PUT /_standin/faults; a missing field turns its fault off:
  lag_ms, ghosts, hide, outage, latency_ms
";

/// Settings of the stand-in host list.
#[derive(Debug, Clone)]
pub struct HostsSettings {
    listen: SocketAddr,
    file: Option<PathBuf>,
}

impl HostsSettings {
    /// Creates settings whose initial list is empty.
    pub const fn new(listen: SocketAddr) -> Self {
        Self { listen, file: None }
    }

    /// Sets the JSON file that holds the initial list.
    #[must_use]
    pub fn file(mut self, file: PathBuf) -> Self {
        self.file = Some(file);
        self
    }

    /// Parses the host list's settings from the command line.
    ///
    /// # Errors
    /// Fails when an option is missing or invalid.
    pub fn from_args(args: &mut Arguments) -> Result<Self, UsageError> {
        let file: Option<PathBuf> = args.opt_value_from_str("--file")?;
        let settings = Self::new(args.value_from_str("--listen")?);
        Ok(match file {
            Some(file) => settings.file(file),
            None => settings,
        })
    }
}

/// Runs the host list until the process receives a termination signal.
///
/// # Errors
/// Fails when the initial list is invalid, the address can't be bound, or a thread or signal handler can't be set up.
pub fn run(settings: &HostsSettings) -> Result<(), StandinError> {
    let mut signals = startup::termination_signals()?;
    let list = settings.file.as_deref().map(read_list).transpose()?;
    let service = HostsService::new(list.unwrap_or_default())?;
    let (listener, address) = startup::listen(settings.listen)?;
    let server = Server::new(startup::executor()?, None);
    server.start(listener, move |req| service.clone().handle(req));
    startup::announce(startup::LISTENING_LABEL, address)?;
    async_io::block_on(startup::wait_for_termination(&mut signals));
    Ok(())
}

fn read_list(path: &Path) -> Result<HostList, StandinError> {
    let text = fs::read(path)
        .map_err(|source| StandinError::ReadFile { path: path.to_owned(), source })?;
    serde_json::from_slice(&text)
        .map_err(|source| StandinError::ParseHostList { path: path.to_owned(), source })
}
