//! Hosts of a fleet: starts, stops, kills and suspends their daemons, and updates the host list.

use crate::errors::TrialError;
use crate::fleet::link_process::LinkProcess;
use crate::fleet::network::{HOST_LINKS, PLATFORM_LINKS};
use crate::fleet::{ANY_PORT, Fleet, ProcessState, zone_of};
use crate::waiting::{self, TIMEOUT};
use skylarkdock_standins::hosts::list::{self, AddressOverride, HostList};
use skylarkdock_standins::process::{Launch, Process};
use skylarkdock_units::ids::{HostId, Region, Zone};
use std::net::SocketAddr;

const FLEET_SECRET: &str = "secret-of-the-trial-fleet";

/// A host slot, whose daemon may or may not be running.
pub struct Host {
    pub(super) id: HostId,
    pub(super) zone: Zone,
    region: Region,
    pub(super) process: Option<Process>,
    pub(super) state: ProcessState,
    addresses: Option<Addresses>,
    pub(super) inbound_links: Option<LinkProcess>,
    leaving: bool,
}

/// Listening addresses of a daemon, which it reuses after a restart.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// Address for messages between hosts.
    pub peer: SocketAddr,
    /// Address for callers' requests and for operators.
    pub http: SocketAddr,
}

impl Host {
    pub(super) fn new(index: usize) -> Result<Self, TrialError> {
        let (zone, region) = zone_of(index)?;
        Ok(Self {
            id: format!("host-{}", index + 1).parse()?,
            zone,
            region,
            process: None,
            state: ProcessState::NotRunning,
            addresses: None,
            inbound_links: None,
            leaving: false,
        })
    }
}

impl Fleet {
    /// Returns the number of host slots, including spare hosts.
    pub const fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the id of a host.
    pub fn host_id(&self, index: usize) -> &HostId {
        &self.hosts[index].id
    }

    /// Returns the availability zone of a host.
    pub fn host_zone(&self, index: usize) -> &Zone {
        &self.hosts[index].zone
    }

    /// Returns the process state of a host.
    pub fn host_state(&self, index: usize) -> ProcessState {
        self.hosts[index].state
    }

    /// Returns the indexes of the hosts that run, without suspended ones.
    pub fn running_hosts(&self) -> Vec<usize> {
        let all = 0..self.hosts.len();
        all.filter(|index| self.hosts[*index].state == ProcessState::Running).collect()
    }

    /// Returns the indexes of the hosts whose zone and region match the predicate.
    pub fn hosts_where(&self, matches: impl Fn(&Zone, &Region) -> bool) -> Vec<usize> {
        let hosts = self.hosts.iter().enumerate();
        let matching = hosts.filter(|(_, host)| matches(&host.zone, &host.region));
        matching.map(|(index, _)| index).collect()
    }

    /// Returns the HTTP addresses of all hosts that have been started, even if they no longer run.
    pub fn http_addresses(&self) -> Vec<SocketAddr> {
        let addresses = self.hosts.iter().filter_map(|host| host.addresses);
        addresses.map(|addresses| addresses.http).collect()
    }

    /// Returns the listening addresses of a host.
    ///
    /// # Errors
    /// Fails when the host was never started.
    pub fn addresses(&self, index: usize) -> Result<Addresses, TrialError> {
        let host = &self.hosts[index];
        host.addresses.ok_or_else(|| TrialError::NotRunning(host.id.to_string()))
    }

    /// Starts a host, on its previous addresses if it has run before.
    ///
    /// # Errors
    /// Fails when the process does not start in time.
    pub fn start_host(&mut self, index: usize) -> Result<(), TrialError> {
        let mut started = None;
        let id = self.hosts[index].id.clone();
        // Retries, since an outgoing connection may briefly occupy a previous address.
        waiting::until(&format!("{id} starts"), || {
            started = Some(self.launch_host(index, FLEET_SECRET)?.start()?);
            Ok(true)
        })?;
        let process = started.ok_or_else(|| TrialError::NotRunning(id.to_string()))?;
        let peer = process.address_with_label("peer");
        let peer = peer.ok_or_else(|| TrialError::NotRunning(id.to_string()))?;
        let addresses = Addresses { peer, http: process.address() };
        let inbound_links = match self.hosts[index].inbound_links.take() {
            Some(links) => links,
            None => self.start_inbound_links(&id, addresses)?,
        };
        let host = &mut self.hosts[index];
        host.process = Some(process);
        host.state = ProcessState::Running;
        host.addresses = Some(addresses);
        host.inbound_links = Some(inbound_links);
        host.leaving = false;
        Ok(())
    }

    /// Returns the launch of a daemon in the slot of a host, with the given secret.
    ///
    /// # Errors
    /// Currently returns no error.
    pub fn launch_host(&self, index: usize, secret: &str) -> Result<Launch, TrialError> {
        let host = &self.hosts[index];
        let listen_addr = |select: fn(&Addresses) -> SocketAddr| {
            host.addresses.as_ref().map_or_else(|| ANY_PORT.to_owned(), |a| select(a).to_string())
        };
        let platform_link =
            |link| self.platform_links.link(index * PLATFORM_LINKS + link).to_string();
        let launch = self.launcher().daemon(host.id.as_str());
        Ok(launch
            .args(["--host-id", host.id.as_str(), "--zone", host.zone.as_str()])
            .args(["--region", host.region.as_str(), "--secret", secret])
            .args([
                "--peer-listen",
                &listen_addr(|a| a.peer),
                "--http-listen",
                &listen_addr(|a| a.http),
            ])
            .args(["--log", &platform_link(0), "--host-list", &platform_link(1)]))
    }

    /// Replaces the host list by the hosts that have been started, with their leaving flags.
    ///
    /// # Errors
    /// Fails when the control call fails.
    pub fn update_host_list(&self) -> Result<(), TrialError> {
        let hosts = self.hosts.iter().filter_map(|host| self.list_entry(host)).collect();
        let _: HostList =
            self.client.put(self.host_list.address(), "/_standin/hosts", &HostList { hosts })?;
        Ok(())
    }

    /// Kills a host's process and waits until it has exited.
    ///
    /// # Errors
    /// Fails when the host has no process, or it can't be signalled or waited for.
    pub fn kill_host(&mut self, index: usize) -> Result<(), TrialError> {
        let mut process = self.take_process(index)?;
        process.kill()?;
        process.wait(TIMEOUT)?;
        Ok(())
    }

    /// Suspends a host's process.
    ///
    /// # Errors
    /// Fails when the host has no process or it can't be signalled.
    pub fn suspend_host(&mut self, index: usize) -> Result<(), TrialError> {
        self.process(index)?.suspend()?;
        self.hosts[index].state = ProcessState::Suspended;
        Ok(())
    }

    /// Resumes a suspended host.
    ///
    /// # Errors
    /// Fails when the host has no process or it can't be signalled.
    pub fn resume_host(&mut self, index: usize) -> Result<(), TrialError> {
        self.process(index)?.resume()?;
        self.hosts[index].state = ProcessState::Running;
        Ok(())
    }

    /// Asks a host's process to terminate and marks the host as leaving in the host list.
    ///
    /// # Errors
    /// Fails when the host has no process, it can't be signalled, or the host list can't be updated.
    pub fn terminate_host(&mut self, index: usize) -> Result<(), TrialError> {
        self.process(index)?.terminate()?;
        self.hosts[index].leaving = true;
        self.hosts[index].state = ProcessState::NotRunning;
        self.update_host_list()
    }

    /// Waits until the process of a host that was asked to stop has exited.
    ///
    /// # Errors
    /// Fails when the process does not exit in time or exits with a failure.
    pub fn wait_for_host_exit(&mut self, index: usize) -> Result<(), TrialError> {
        let mut process = self.take_process(index)?;
        let status = process.wait(TIMEOUT)?;
        if status.success() {
            return Ok(());
        }
        Err(TrialError::UnsuccessfulExit { name: self.hosts[index].id.to_string(), status })
    }

    /// Returns whether a host has no process or its process has exited.
    ///
    /// # Errors
    /// Fails when the process can't be waited for.
    pub fn host_has_exited(&mut self, index: usize) -> Result<bool, TrialError> {
        match &mut self.hosts[index].process {
            Some(process) => Ok(process.ended()?.is_some()),
            None => Ok(true),
        }
    }

    fn process(&self, index: usize) -> Result<&Process, TrialError> {
        let host = &self.hosts[index];
        host.process.as_ref().ok_or_else(|| TrialError::NotRunning(host.id.to_string()))
    }

    fn take_process(&mut self, index: usize) -> Result<Process, TrialError> {
        let host = &mut self.hosts[index];
        host.state = ProcessState::NotRunning;
        host.process.take().ok_or_else(|| TrialError::NotRunning(host.id.to_string()))
    }

    /// Starts the links through which the other hosts connect to this one.
    fn start_inbound_links(
        &self,
        id: &HostId,
        target: Addresses,
    ) -> Result<LinkProcess, TrialError> {
        let targets: Vec<SocketAddr> =
            self.hosts.iter().flat_map(|_| [target.peer, target.http]).collect();
        LinkProcess::start(self.launcher().standin(&format!("{id}-links")), &targets)
    }

    fn list_entry(&self, host: &Host) -> Option<list::Host> {
        let (addresses, inbound_links) = (host.addresses?, host.inbound_links.as_ref()?);
        let others = self.hosts.iter().enumerate().filter(|(_, other)| other.id != host.id);
        let via = others.map(|(from, other)| {
            let link = |link| inbound_links.link(from * HOST_LINKS + link);
            (other.id.clone(), AddressOverride { peer: link(0), http: link(1) })
        });
        Some(list::Host {
            id: host.id.clone(),
            zone: host.zone.clone(),
            region: host.region.clone(),
            peer: addresses.peer,
            http: addresses.http,
            leaving: host.leaving,
            via: via.collect(),
        })
    }
}
