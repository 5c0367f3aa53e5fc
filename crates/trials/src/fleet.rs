//! The processes of a trial: platform stand-ins, upstreams, links, and a daemon for each host.

pub mod admin;
pub mod hosts;
pub mod link_process;
pub mod network;
pub mod settings;
pub mod upstreams;

use crate::errors::TrialError;
use crate::fleet::hosts::Host;
use crate::fleet::link_process::LinkProcess;
use crate::fleet::network::{Partition, PartitionId};
use crate::fleet::settings::FleetSettings;
use crate::fleet::upstreams::Upstream;
use crate::programs::Programs;
use serde::Serialize;
use skylarkdock_standins::client::Client;
use skylarkdock_standins::hosts::list::HostsFaults;
use skylarkdock_standins::log::faults::LogFaults;
use skylarkdock_standins::process::{Launch, Process};
use skylarkdock_units::ids::{Region, Zone};
use std::net::SocketAddr;
use std::path::Path;

/// Name of the service that all requests are for.
pub const SERVICE: &str = "orders";

/// Availability zones with their regions; hosts and upstreams are assigned to them round-robin.
pub const ZONES: [(&str, &str); 4] = [
    ("norte-a", "bajio-norte"),
    ("sur-a", "bajio-sur"),
    ("norte-b", "bajio-norte"),
    ("sur-b", "bajio-sur"),
];

const ANY_PORT: &str = "127.0.0.1:0";
const READ_ALL_PATH: &str = "/read?from=1&max=10000";

/// State of a host's or an upstream's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    /// Not started, ended, or asked to stop or drain.
    NotRunning,
    /// Running.
    Running,
    /// Suspended until it is resumed.
    Suspended,
}

/// The running processes of a trial and the faults of their links.
pub struct Fleet {
    settings: FleetSettings,
    client: Client,
    log: Process,
    host_list: Process,
    platform_links: LinkProcess,
    hosts: Vec<Host>,
    upstreams: Vec<Upstream>,
    partitions: Vec<(PartitionId, Partition)>,
    last_partition_id: u64,
    record_id_rng: fastrand::Rng,
}

impl Fleet {
    /// Starts all processes except spare hosts and fills the host list, without publishing a record.
    ///
    /// # Errors
    /// Fails when a process does not start.
    pub fn start(settings: FleetSettings) -> Result<Self, TrialError> {
        let launcher = Launcher { settings: &settings };
        let client = Client::start()
            .map_err(|source| TrialError::System { action: "start a thread", source })?;
        let log = launcher.standin("log").args(["log", "--listen", ANY_PORT]).start()?;
        let host_list = launcher.standin("hosts").args(["hosts", "--listen", ANY_PORT]).start()?;
        let slots = settings.hosts + settings.spare_hosts;
        let platform_targets: Vec<SocketAddr> =
            (0..slots).flat_map(|_| [log.address(), host_list.address()]).collect();
        let platform_links =
            LinkProcess::start(launcher.standin("platform-links"), &platform_targets)?;
        let hosts = (0..slots).map(Host::new).collect::<Result<_, _>>()?;
        let mut fleet = Self {
            settings,
            client,
            log,
            host_list,
            platform_links,
            hosts,
            upstreams: Vec::new(),
            partitions: Vec::new(),
            last_partition_id: 0,
            record_id_rng: fastrand::Rng::new(),
        };
        fleet.start_upstreams()?;
        for index in 0..fleet.settings.hosts {
            fleet.start_host(index)?;
        }
        fleet.update_host_list()?;
        Ok(fleet)
    }

    /// Starts all processes except spare hosts, publishes a record and waits until all its ranges are held.
    ///
    /// # Errors
    /// Fails when a process does not start, the record is not accepted, or the ranges are not held in time.
    pub fn start_serving(settings: FleetSettings) -> Result<Self, TrialError> {
        let mut fleet = Self::start(settings)?;
        fleet.wait_until_serving()?;
        fleet.publish()?;
        fleet.wait_until_held()?;
        Ok(fleet)
    }

    /// Sets the faults of the log.
    ///
    /// # Errors
    /// Fails when the control call fails.
    pub fn set_log_faults(&self, faults: &LogFaults) -> Result<(), TrialError> {
        let _: LogFaults = self.client.put(self.log.address(), "/_standin/faults", faults)?;
        Ok(())
    }

    /// Sets the faults of the host list.
    ///
    /// # Errors
    /// Fails when the control call fails.
    pub fn set_host_list_faults(&self, faults: &HostsFaults) -> Result<(), TrialError> {
        let _: HostsFaults =
            self.client.put(self.host_list.address(), "/_standin/faults", faults)?;
        Ok(())
    }

    /// Appends a text to the log directly, without a daemon, and returns its offset.
    ///
    /// # Errors
    /// Fails when the call fails.
    pub fn append_to_log(&self, record: &str) -> Result<u64, TrialError> {
        #[derive(Serialize)]
        struct Append<'a> {
            record: &'a str,
        }
        let answer: serde_json::Value =
            self.client.post(self.log.address(), "/append", &Append { record })?;
        Ok(answer["offset"].as_u64().unwrap_or(0))
    }

    /// Returns the records of the log as answered by the log, at most 10,000.
    ///
    /// # Errors
    /// Fails when the call fails.
    pub fn log_records(&self) -> Result<serde_json::Value, TrialError> {
        Ok(self.client.get(self.log.address(), READ_ALL_PATH)?)
    }

    /// Returns the directory for the standard error of the processes.
    pub fn process_log_dir(&self) -> Option<&Path> {
        self.settings.process_log_dir.as_deref()
    }

    /// Returns the blocking HTTP client for calls to the processes.
    pub const fn client(&self) -> &Client {
        &self.client
    }

    /// Returns the number of key ranges.
    pub const fn ranges(&self) -> u32 {
        self.settings.ranges
    }

    const fn launcher(&self) -> Launcher<'_> {
        Launcher { settings: &self.settings }
    }
}

/// Builds launches with standard error in the directory of the settings.
#[derive(Clone, Copy)]
struct Launcher<'a> {
    settings: &'a FleetSettings,
}

impl Launcher<'_> {
    fn standin(self, name: &str) -> Launch {
        self.program(&self.settings.programs.standin, name)
    }

    fn daemon(self, name: &str) -> Launch {
        self.program(&self.settings.programs.daemon, name)
    }

    fn program(self, program: &Path, name: &str) -> Launch {
        let launch = Launch::new(program);
        match &self.settings.process_log_dir {
            Some(dir) => launch.stderr_to_file(dir.join(format!("{name}.log"))),
            None => launch.discard_stderr(),
        }
    }
}

/// Returns the zone and the region of the host or upstream with the given index.
fn zone_of(index: usize) -> Result<(Zone, Region), TrialError> {
    let (zone, region) = ZONES[index % ZONES.len()];
    Ok((zone.parse()?, region.parse()?))
}

impl Programs {
    /// Returns the default settings of a fleet of these programs.
    pub fn fleet(self) -> FleetSettings {
        FleetSettings::new(self)
    }
}
