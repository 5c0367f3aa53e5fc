//! The processes of a trial: the platform, upstreams, links and daemons in availability zones.

pub mod admin;
pub mod hosts;
pub mod network;
pub mod relay;
pub mod settings;
pub mod upstreams;

use crate::errors::TrialError;
use crate::fleet::hosts::Host;
use crate::fleet::network::{Partition, PartitionId};
use crate::fleet::relay::Relay;
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

/// The service of the trials.
pub const SERVICE: &str = "orders";

/// Availability zones with their regions; hosts and upstreams are spread over them in turn.
pub const ZONES: [(&str, &str); 4] = [
    ("norte-a", "bajio-norte"),
    ("sur-a", "bajio-sur"),
    ("norte-b", "bajio-norte"),
    ("sur-b", "bajio-sur"),
];

const ANY: &str = "127.0.0.1:0";
const ALL_RECORDS: &str = "/read?from=1&max=10000";

/// Whether a process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Running {
    /// There is no process.
    No,
    /// It runs.
    Yes,
    /// It is suspended.
    Suspended,
}

/// The processes of a trial.
pub struct Fleet {
    settings: FleetSettings,
    client: Client,
    log: Process,
    list: Process,
    platform: Relay,
    hosts: Vec<Host>,
    upstreams: Vec<Upstream>,
    partitions: Vec<(PartitionId, Partition)>,
    next_partition: u64,
    ids: fastrand::Rng,
}

impl Fleet {
    /// Starts all processes and lists the hosts. No record is published yet.
    ///
    /// # Errors
    /// Fails when a process does not start.
    pub fn start(settings: FleetSettings) -> Result<Self, TrialError> {
        let launch = Launcher { settings: &settings };
        let client = Client::start()
            .map_err(|source| TrialError::System { action: "start a thread", source })?;
        let log = launch.standin("log").args(["log", "--listen", ANY]).start()?;
        let list = launch.standin("hosts").args(["hosts", "--listen", ANY]).start()?;
        let slots = settings.hosts + settings.spares;
        let platform: Vec<SocketAddr> =
            (0..slots).flat_map(|_| [log.address(), list.address()]).collect();
        let platform = Relay::start(launch.standin("platform-links"), &platform)?;
        let hosts = (0..slots).map(Host::new).collect::<Result<_, _>>()?;
        let mut fleet = Self {
            settings,
            client,
            log,
            list,
            platform,
            hosts,
            upstreams: Vec::new(),
            partitions: Vec::new(),
            next_partition: 0,
            ids: fastrand::Rng::new(),
        };
        fleet.start_upstreams()?;
        for index in 0..fleet.settings.hosts {
            fleet.start_host(index)?;
        }
        fleet.list_hosts()?;
        Ok(fleet)
    }

    /// Starts all processes, publishes a record and waits until all its ranges are held.
    ///
    /// # Errors
    /// Fails when a process does not start or the ranges are not held.
    pub fn serve(settings: FleetSettings) -> Result<Self, TrialError> {
        let mut fleet = Self::start(settings)?;
        fleet.wait_serving()?;
        fleet.publish()?;
        fleet.wait_held()?;
        Ok(fleet)
    }

    /// Sets the faults of the log.
    ///
    /// # Errors
    /// Fails when the control call does.
    pub fn set_log_faults(&self, faults: &LogFaults) -> Result<(), TrialError> {
        let _: LogFaults = self.client.put(self.log.address(), "/_standin/faults", faults)?;
        Ok(())
    }

    /// Sets the faults of the host list.
    ///
    /// # Errors
    /// Fails when the control call does.
    pub fn set_list_faults(&self, faults: &HostsFaults) -> Result<(), TrialError> {
        let _: HostsFaults = self.client.put(self.list.address(), "/_standin/faults", faults)?;
        Ok(())
    }

    /// Appends a text to the log past all daemons, and returns its offset.
    ///
    /// # Errors
    /// Fails when the call does.
    pub fn append(&self, record: &str) -> Result<u64, TrialError> {
        #[derive(Serialize)]
        struct Append<'a> {
            record: &'a str,
        }
        let answer: serde_json::Value =
            self.client.post(self.log.address(), "/append", &Append { record })?;
        Ok(answer["offset"].as_u64().unwrap_or(0))
    }

    /// Returns all records of the log, as the log answers them.
    ///
    /// # Errors
    /// Fails when the call does.
    pub fn records(&self) -> Result<serde_json::Value, TrialError> {
        Ok(self.client.get(self.log.address(), ALL_RECORDS)?)
    }

    /// Returns the directory in which the processes' logs are kept.
    pub fn logs(&self) -> Option<&Path> {
        self.settings.logs.as_deref()
    }

    /// Returns the blocking client for calls to the processes.
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

/// Starts processes whose logs go where the settings say.
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
        match &self.settings.logs {
            Some(directory) => launch.stderr_to_file(directory.join(format!("{name}.log"))),
            None => launch.discard_stderr(),
        }
    }
}

/// Returns the zone and the region of a host or an upstream by its place.
fn zone_of(place: usize) -> Result<(Zone, Region), TrialError> {
    let (zone, region) = ZONES[place % ZONES.len()];
    Ok((zone.parse()?, region.parse()?))
}

impl Programs {
    /// Starts the settings of a fleet of these programs.
    pub fn fleet(self) -> FleetSettings {
        FleetSettings::new(self)
    }
}
