//! Subcommand `link`: TCP relays that inject cuts, resets, latency and rate limits.

pub mod faults;
pub mod rate_limiter;
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
  --control IP:PORT                serve /_standin calls on this address

Prints `control IP:PORT` if there is one, then `listening IP:PORT` for each link in order.

GET /_standin/stats returns the counts of connections and bytes of each link.

Faults, set by PUT /_standin/faults {\"links\": {\"LISTEN-IP:PORT\": {...}}}; other links keep
theirs, and a missing field of a named link turns its fault off:
  cut (both | to | from), reset, latency_ms, bytes_per_second
A cut discards bytes and makes new connections hang. At its end, connections that lost bytes are reset.
";

/// The addresses between which a link relays connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Endpoints {
    /// Address on which the link accepts connections.
    pub listen: SocketAddr,
    /// Destination address of the link.
    pub to: SocketAddr,
}

impl FromStr for Endpoints {
    type Err = UsageError;

    fn from_str(text: &str) -> Result<Self, UsageError> {
        let invalid = || UsageError::InvalidValue {
            option: "--link",
            found: text.to_owned(),
            allowed: "IP:PORT=IP:PORT",
        };
        let (listen, to) = text.split_once('=').ok_or_else(invalid)?;
        let listen = listen.parse().map_err(|_| invalid())?;
        let to = to.parse().map_err(|_| invalid())?;
        Ok(Self { listen, to })
    }
}

/// Settings of a process that runs links.
#[derive(Debug, Clone, Default)]
pub struct LinkSettings {
    links: Vec<Endpoints>,
    control: Option<SocketAddr>,
}

impl LinkSettings {
    /// Creates settings without links or a control address.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a link.
    #[must_use]
    pub fn link(mut self, endpoints: Endpoints) -> Self {
        self.links.push(endpoints);
        self
    }

    /// Sets the address that serves control calls.
    #[must_use]
    pub const fn control(mut self, control: Option<SocketAddr>) -> Self {
        self.control = control;
        self
    }

    /// Parses the links' settings from the command line.
    ///
    /// # Errors
    /// Fails when an option is missing or invalid.
    pub fn from_args(args: &mut Arguments) -> Result<Self, UsageError> {
        let control = args.opt_value_from_str("--control")?;
        let links: Vec<Endpoints> = args.values_from_str("--link")?;
        let mut settings = Self::new().control(control);
        settings.links = links;
        let listen: Option<SocketAddr> = args.opt_value_from_str("--listen")?;
        if listen.is_some() || settings.links.is_empty() {
            let listen = listen.ok_or(pico_args::Error::MissingOption("--listen".into()))?;
            let to = args.value_from_str("--to")?;
            settings = settings.link(Endpoints { listen, to });
        }
        Ok(settings)
    }
}

/// Runs the links until the process receives a termination signal.
///
/// # Errors
/// Fails when an address can't be bound or a thread or signal handler can't be set up.
pub fn run(settings: &LinkSettings) -> Result<(), StandinError> {
    let mut signals = startup::termination_signals()?;
    let executor = startup::executor()?;
    let mut links = BTreeMap::new();
    let mut addresses = Vec::new();
    for endpoints in &settings.links {
        let (listener, address) = startup::listen(endpoints.listen)?;
        let link = Link::new(endpoints.to, executor.clone());
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
