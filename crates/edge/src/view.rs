//! What the host believes, as the traffic thread gets it.

use crate::serve::Limits;
use serde::{Deserialize, Serialize};
use skylarkdock_dispatch::key_owners::KeyMap;
use skylarkdock_dispatch::routes::Routes;
use skylarkdock_units::ids::{HostId, Region, ServiceName, UpstreamId, Zone};
use skylarkdock_units::measures::HostSize;
use skylarkdock_units::times::{HostTime, Millis};
use std::net::SocketAddr;
use std::sync::Arc;

/// A service as configured.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceInfo {
    /// Its name.
    pub name: ServiceName,
    /// Whether it is divided by key.
    pub is_sharded: bool,
    /// Connections that one upstream accepts from all hosts together.
    pub connection_limit: u32,
}

/// A configuration.
#[derive(Debug, Clone)]
pub struct Config {
    /// Its version.
    pub version: u64,
    /// Its routes.
    pub routes: Routes,
    /// Its services.
    pub services: Vec<ServiceInfo>,
    /// Bounds for callers.
    pub limits: Limits,
}

/// An upstream as registered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its id.
    pub id: UpstreamId,
    /// When it started, in Unix milliseconds by its own word.
    pub born: u64,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Its region, if its availability zone is known.
    pub region: Option<Region>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// For how much longer it is slow after its start.
    pub cold: Millis,
    /// Counts its signs of life.
    pub seq: u64,
}

/// An upstream with when its entry was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// The entry.
    pub entry: Entry,
    /// Until when it is slow after its start.
    pub cold_until: HostTime,
}

/// Another entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerInfo {
    /// Its name.
    pub host: HostId,
    /// Its availability zone.
    pub zone: Zone,
    /// Its region.
    pub region: Region,
    /// Its size.
    pub size: HostSize,
    /// Where it takes load reports.
    pub reports: SocketAddr,
}

/// What the host believes at one moment.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The configuration, once one is known.
    pub config: Option<Arc<Config>>,
    /// Whether the configuration is known to be the newest.
    pub is_config_sure: bool,
    /// The upstreams that may be used.
    pub upstreams: Vec<Listed>,
    /// Owners of keys, for each service that is divided.
    pub keys: Vec<(ServiceName, KeyMap)>,
    /// The other hosts, `None` while the hosts' records have not been read.
    pub peers: Option<Vec<PeerInfo>>,
}
