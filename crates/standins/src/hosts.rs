//! The subcommand `hosts`: the platform's host list.

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

  --file PATH    start with the list in this JSON file (default: an empty list)

The list is set by PUT /_standin/hosts. A host's `via` maps other hosts' ids to the addresses
that they are given: {\"host-1\": {\"peer\": \"IP:PORT\", \"http\": \"IP:PORT\"}}.

Faults, PUT /_standin/faults; a field left out is off:
  lag_ms, ghosts, hide, outage, latency_ms
";

/// Settings of the host list.
#[derive(Debug, Clone)]
pub struct HostsSettings {
    listen: SocketAddr,
    file: Option<PathBuf>,
}

impl HostsSettings {
    /// Starts with an empty list.
    pub const fn new(listen: SocketAddr) -> Self {
        Self { listen, file: None }
    }

    /// Sets the file that holds the first list.
    #[must_use]
    pub fn file(mut self, file: PathBuf) -> Self {
        self.file = Some(file);
        self
    }

    /// Reads the settings from the command line.
    ///
    /// # Errors
    /// Fails when an option is missing or wrong.
    pub fn from_args(args: &mut Arguments) -> Result<Self, UsageError> {
        let file: Option<PathBuf> = args.opt_value_from_str("--file")?;
        let settings = Self::new(args.value_from_str("--listen")?);
        Ok(match file {
            Some(file) => settings.file(file),
            None => settings,
        })
    }
}

/// Runs the host list until the process is told to end.
///
/// # Errors
/// Fails when the list can't be read or the operating system refuses what it needs.
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
