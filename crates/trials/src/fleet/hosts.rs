//! The daemons of a fleet: started, listed, killed, suspended and stopped.

use crate::errors::TrialError;
use crate::fleet::network::{HOST_LINKS, PLATFORM_LINKS};
use crate::fleet::relay::Relay;
use crate::fleet::{ANY, Fleet, Running, zone_of};
use crate::waiting::{self, LIMIT};
use skylarkdock_standins::hosts::list::{self, AddressOverride, HostList};
use skylarkdock_standins::process::{Launch, Process};
use skylarkdock_units::ids::{HostId, Region, Zone};
use std::net::SocketAddr;

const SECRET: &str = "secret-of-the-trial-fleet";

/// An entry host, or a place for one.
pub struct Host {
    pub(super) id: HostId,
    pub(super) zone: Zone,
    region: Region,
    pub(super) process: Option<Process>,
    pub(super) running: Running,
    addresses: Option<Addresses>,
    pub(super) inbound: Option<Relay>,
    leaving: bool,
}

/// Where a daemon listens; it listens there again after a restart.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// For messages between hosts.
    pub peer: SocketAddr,
    /// For requests and operators.
    pub http: SocketAddr,
}

impl Host {
    pub(super) fn new(place: usize) -> Result<Self, TrialError> {
        let (zone, region) = zone_of(place)?;
        Ok(Self {
            id: format!("host-{}", place + 1).parse()?,
            zone,
            region,
            process: None,
            running: Running::No,
            addresses: None,
            inbound: None,
            leaving: false,
        })
    }
}

impl Fleet {
    /// Returns the number of places for hosts, spares included.
    pub const fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// Returns a host's name.
    pub fn host_id(&self, index: usize) -> &HostId {
        &self.hosts[index].id
    }

    /// Returns a host's availability zone.
    pub fn host_zone(&self, index: usize) -> &Zone {
        &self.hosts[index].zone
    }

    /// Returns whether a host runs.
    pub fn host_running(&self, index: usize) -> Running {
        self.hosts[index].running
    }

    /// Returns the hosts that run and are not suspended.
    pub fn running_hosts(&self) -> Vec<usize> {
        let all = 0..self.hosts.len();
        all.filter(|index| self.hosts[*index].running == Running::Yes).collect()
    }

    /// Returns the hosts of which `pick` is true by zone and region.
    pub fn hosts_where(&self, pick: impl Fn(&Zone, &Region) -> bool) -> Vec<usize> {
        let hosts = self.hosts.iter().enumerate();
        let picked = hosts.filter(|(_, host)| pick(&host.zone, &host.region));
        picked.map(|(index, _)| index).collect()
    }

    /// Returns where the hosts that were ever started take requests.
    pub fn entries(&self) -> Vec<SocketAddr> {
        let addresses = self.hosts.iter().filter_map(|host| host.addresses);
        addresses.map(|addresses| addresses.http).collect()
    }

    /// Returns where a host listens.
    ///
    /// # Errors
    /// Fails when it was never started.
    pub fn addresses(&self, index: usize) -> Result<Addresses, TrialError> {
        let host = &self.hosts[index];
        host.addresses.ok_or_else(|| TrialError::NotRunning(host.id.to_string()))
    }

    /// Starts a host, on its earlier addresses if it had some.
    ///
    /// # Errors
    /// Fails when the process does not start.
    pub fn start_host(&mut self, index: usize) -> Result<(), TrialError> {
        let mut started = None;
        let id = self.hosts[index].id.clone();
        // An earlier address can be taken for a moment by an outgoing connection.
        waiting::until(&format!("{id} starts"), || {
            started = Some(self.launch_host(index, SECRET)?.start()?);
            Ok(true)
        })?;
        let process = started.ok_or_else(|| TrialError::NotRunning(id.to_string()))?;
        let peer = process.address_with_label("peer");
        let peer = peer.ok_or_else(|| TrialError::NotRunning(id.to_string()))?;
        let addresses = Addresses { peer, http: process.address() };
        let inbound = match self.hosts[index].inbound.take() {
            Some(inbound) => inbound,
            None => self.inbound(&id, addresses)?,
        };
        let host = &mut self.hosts[index];
        host.process = Some(process);
        host.running = Running::Yes;
        host.addresses = Some(addresses);
        host.inbound = Some(inbound);
        host.leaving = false;
        Ok(())
    }

    /// Returns a daemon ready to start in the place of a host, with the given secret.
    ///
    /// # Errors
    /// Fails when the place is not valid.
    pub fn launch_host(&self, index: usize, secret: &str) -> Result<Launch, TrialError> {
        let host = &self.hosts[index];
        let listen = |pick: fn(&Addresses) -> SocketAddr| {
            host.addresses.as_ref().map_or_else(|| ANY.to_owned(), |a| pick(a).to_string())
        };
        let platform = |link| self.platform.link(index * PLATFORM_LINKS + link).to_string();
        let launch = self.launcher().daemon(host.id.as_str());
        Ok(launch
            .args(["--host-id", host.id.as_str(), "--zone", host.zone.as_str()])
            .args(["--region", host.region.as_str(), "--secret", secret])
            .args(["--peer-listen", &listen(|a| a.peer), "--http-listen", &listen(|a| a.http)])
            .args(["--log", &platform(0), "--host-list", &platform(1)]))
    }

    /// Puts the hosts that were started, and whether they leave, into the host list.
    ///
    /// # Errors
    /// Fails when the control call does.
    pub fn list_hosts(&self) -> Result<(), TrialError> {
        let hosts = self.hosts.iter().filter_map(|host| self.listed(host)).collect();
        let _: HostList =
            self.client.put(self.list.address(), "/_standin/hosts", &HostList { hosts })?;
        Ok(())
    }

    /// Ends a host at once.
    ///
    /// # Errors
    /// Fails when it can't be signalled.
    pub fn kill_host(&mut self, index: usize) -> Result<(), TrialError> {
        let mut process = self.take_process(index)?;
        process.kill()?;
        process.wait(LIMIT)?;
        Ok(())
    }

    /// Suspends a host.
    ///
    /// # Errors
    /// Fails when it can't be signalled.
    pub fn suspend_host(&mut self, index: usize) -> Result<(), TrialError> {
        self.process(index)?.suspend()?;
        self.hosts[index].running = Running::Suspended;
        Ok(())
    }

    /// Lets a suspended host go on.
    ///
    /// # Errors
    /// Fails when it can't be signalled.
    pub fn resume_host(&mut self, index: usize) -> Result<(), TrialError> {
        self.process(index)?.resume()?;
        self.hosts[index].running = Running::Yes;
        Ok(())
    }

    /// Asks a host to stop and lists it as leaving.
    ///
    /// # Errors
    /// Fails when it can't be signalled.
    pub fn terminate_host(&mut self, index: usize) -> Result<(), TrialError> {
        self.process(index)?.terminate()?;
        self.hosts[index].leaving = true;
        self.hosts[index].running = Running::No;
        self.list_hosts()
    }

    /// Waits until a host that was asked to stop has ended.
    ///
    /// # Errors
    /// Fails when it does not end in time or with a failure.
    pub fn await_host_end(&mut self, index: usize) -> Result<(), TrialError> {
        let mut process = self.take_process(index)?;
        let status = process.wait(LIMIT)?;
        if status.success() {
            return Ok(());
        }
        Err(TrialError::BadExit { name: self.hosts[index].id.to_string(), status })
    }

    /// Returns whether the process of a host that should run has ended.
    ///
    /// # Errors
    /// Fails when it can't be waited for.
    pub fn host_has_ended(&mut self, index: usize) -> Result<bool, TrialError> {
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
        host.running = Running::No;
        host.process.take().ok_or_else(|| TrialError::NotRunning(host.id.to_string()))
    }

    /// Starts the links by which the other hosts reach one.
    fn inbound(&self, id: &HostId, to: Addresses) -> Result<Relay, TrialError> {
        let targets: Vec<SocketAddr> = self.hosts.iter().flat_map(|_| [to.peer, to.http]).collect();
        Relay::start(self.launcher().standin(&format!("{id}-links")), &targets)
    }

    fn listed(&self, host: &Host) -> Option<list::Host> {
        let (addresses, inbound) = (host.addresses?, host.inbound.as_ref()?);
        let others = self.hosts.iter().enumerate().filter(|(_, other)| other.id != host.id);
        let via = others.map(|(from, other)| {
            let link = |link| inbound.link(from * HOST_LINKS + link);
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
