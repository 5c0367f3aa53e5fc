//! A link stand-in process, which relays connections and injects faults into them.

use crate::errors::TrialError;
use skylarkdock_standins::client::Client;
use skylarkdock_standins::link::faults::{FaultsByLink, LinkFaults};
use skylarkdock_standins::process::{Launch, Process};
use std::net::SocketAddr;

const ANY_PORT: &str = "127.0.0.1:0";

/// A running link stand-in with one link for each target.
#[derive(Debug)]
pub struct LinkProcess {
    _process: Process,
    control: SocketAddr,
    links: Vec<SocketAddr>,
}

impl LinkProcess {
    /// Starts a process with a link to each of the targets.
    ///
    /// # Errors
    /// Fails when the process does not start or does not print its control address.
    pub fn start(launch: Launch, targets: &[SocketAddr]) -> Result<Self, TrialError> {
        let mut launch = launch.arg("link").args(["--control", ANY_PORT]);
        for target in targets {
            launch = launch.arg("--link").arg(format!("{ANY_PORT}={target}"));
        }
        let process = launch.expected_listeners(targets.len()).start()?;
        let control = process.address_with_label("control");
        let control = control.ok_or_else(|| TrialError::NotRunning("link".to_owned()))?;
        let links = process.listening();
        Ok(Self { _process: process, control, links })
    }

    /// Returns the listening address of the link to the target with the given index.
    pub fn link(&self, index: usize) -> SocketAddr {
        self.links[index]
    }

    /// Sets the faults of links, given by the index of their target.
    ///
    /// # Errors
    /// Fails when the control call fails.
    pub fn set_faults(
        &self,
        client: &Client,
        faults: impl IntoIterator<Item = (usize, LinkFaults)>,
    ) -> Result<(), TrialError> {
        let links = faults.into_iter().map(|(index, faults)| (self.links[index], faults));
        let faults = FaultsByLink { links: links.collect() };
        let _: FaultsByLink = client.put(self.control, "/_standin/faults", &faults)?;
        Ok(())
    }
}
