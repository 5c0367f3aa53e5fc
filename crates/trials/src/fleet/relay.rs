//! A process that carries links, and the faults of its links.

use crate::errors::TrialError;
use skylarkdock_standins::client::Client;
use skylarkdock_standins::link::faults::{FaultsByLink, LinkFaults};
use skylarkdock_standins::process::{Launch, Process};
use std::net::SocketAddr;

const ANY: &str = "127.0.0.1:0";

/// A process that carries links.
#[derive(Debug)]
pub struct Relay {
    _process: Process,
    control: SocketAddr,
    links: Vec<SocketAddr>,
}

impl Relay {
    /// Starts a link to each of the targets.
    ///
    /// # Errors
    /// Fails when the process does not start.
    pub fn start(launch: Launch, targets: &[SocketAddr]) -> Result<Self, TrialError> {
        let mut launch = launch.arg("link").args(["--control", ANY]);
        for target in targets {
            launch = launch.arg("--link").arg(format!("{ANY}={target}"));
        }
        let process = launch.expected_listeners(targets.len()).start()?;
        let control = process.address_with_label("control");
        let control = control.ok_or_else(|| TrialError::NotRunning("link".to_owned()))?;
        let links = process.listening();
        Ok(Self { _process: process, control, links })
    }

    /// Returns the address of a link by the place of its target.
    pub fn link(&self, place: usize) -> SocketAddr {
        self.links[place]
    }

    /// Sets the faults of links by their places.
    ///
    /// # Errors
    /// Fails when the control call does.
    pub fn set(
        &self,
        client: &Client,
        faults: impl IntoIterator<Item = (usize, LinkFaults)>,
    ) -> Result<(), TrialError> {
        let links = faults.into_iter().map(|(place, faults)| (self.links[place], faults));
        let faults = FaultsByLink { links: links.collect() };
        let _: FaultsByLink = client.put(self.control, "/_standin/faults", &faults)?;
        Ok(())
    }
}
