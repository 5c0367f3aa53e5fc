//! The subcommand `link`: TCP relays that can be cut, reset and slowed down.

pub mod faults;
pub mod pacer;
pub mod relay;
pub mod service;

use crate::errors::{StandinError, UsageError};
use crate::link::relay::Link;
use crate::link::service::LinkService;
use crate::server::Server;
use crate::startup;
use pico_args::Arguments;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::str::FromStr;

/// Text of `link --help`.
pub const HELP: &str = "\
skylarkdock-standin link --listen IP:PORT --to IP:PORT [--control IP:PORT]
skylarkdock-standin link --link IP:PORT=IP:PORT [--link ...] [--control IP:PORT]

  --listen IP:PORT, --to IP:PORT   relay connections from one address to another
  --link IP:PORT=IP:PORT           the same in one option; may be repeated
  --control IP:PORT                answer /_standin calls here

Prints `control IP:PORT` if there is one, then `listening IP:PORT` for each link in order.

GET /_standin/stats returns the connections and bytes of each link.

Faults, PUT /_standin/faults {\"links\": {\"LISTEN-IP:PORT\": {...}}}; links that are not named keep
theirs, and of those named a field left out is off:
  cut (both | to | from), reset, latency_ms, bytes_per_second
A cut swallows bytes, and new connections hang. When it ends, connections that lost bytes are reset.
";

/// The two ends of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ends {
    /// Address listened on.
    pub listen: SocketAddr,
    /// Address led to.
    pub to: SocketAddr,
}

impl FromStr for Ends {
    type Err = UsageError;

    fn from_str(text: &str) -> Result<Self, UsageError> {
        let wrong = || UsageError::InvalidValue {
            option: "--link",
            found: text.to_owned(),
            allowed: "IP:PORT=IP:PORT",
        };
        let (listen, to) = text.split_once('=').ok_or_else(wrong)?;
        let listen = listen.parse().map_err(|_| wrong())?;
        let to = to.parse().map_err(|_| wrong())?;
        Ok(Self { listen, to })
    }
}

/// Settings of a process that carries links.
#[derive(Debug, Clone, Default)]
pub struct LinkSettings {
    links: Vec<Ends>,
    control: Option<SocketAddr>,
}

impl LinkSettings {
    /// Starts without links.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a link.
    #[must_use]
    pub fn link(mut self, ends: Ends) -> Self {
        self.links.push(ends);
        self
    }

    /// Sets the address for control calls.
    #[must_use]
    pub const fn control(mut self, control: Option<SocketAddr>) -> Self {
        self.control = control;
        self
    }

    /// Reads the settings from the command line.
    ///
    /// # Errors
    /// Fails when an option is missing or wrong.
    pub fn from_args(args: &mut Arguments) -> Result<Self, UsageError> {
        let control = args.opt_value_from_str("--control")?;
        let links: Vec<Ends> = args.values_from_str("--link")?;
        let mut settings = Self::new().control(control);
        settings.links = links;
        let listen: Option<SocketAddr> = args.opt_value_from_str("--listen")?;
        if listen.is_some() || settings.links.is_empty() {
            let listen = listen.ok_or(pico_args::Error::MissingOption("--listen".into()))?;
            let to = args.value_from_str("--to")?;
            settings = settings.link(Ends { listen, to });
        }
        Ok(settings)
    }
}

/// Relays until the process is told to end.
///
/// # Errors
/// Fails when the operating system refuses what it needs.
pub fn run(settings: &LinkSettings) -> Result<(), StandinError> {
    let mut signals = startup::termination_signals()?;
    let executor = startup::executor()?;
    let mut links = BTreeMap::new();
    let mut addresses = Vec::new();
    for ends in &settings.links {
        let (listener, address) = startup::listen(ends.listen)?;
        let link = Link::new(ends.to, executor.clone());
        link.start(listener);
        links.insert(address, link);
        addresses.push(address);
    }
    if let Some(control) = settings.control {
        let (listener, address) = startup::listen(control)?;
        let service = LinkService::new(links);
        let server = Server::new(executor, None);
        server.start(listener, move |req| service.clone().handle(req));
        startup::announce(startup::CONTROL_LABEL, address)?;
    }
    for address in addresses {
        startup::announce(startup::LISTENING_LABEL, address)?;
    }
    async_io::block_on(startup::wait_for_termination(&mut signals));
    Ok(())
}
