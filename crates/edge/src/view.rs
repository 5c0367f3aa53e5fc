//! State that the control thread publishes to the traffic thread.

use crate::serve::Limits;
use serde::{Deserialize, Serialize};
use skylarkdock_dispatch::key_owners::KeyMap;
use skylarkdock_dispatch::routes::Routes;
use skylarkdock_units::ids::{HostId, Region, ServiceName, UpstreamId, Zone};
use skylarkdock_units::measures::{HostSize, RequestRate};
use skylarkdock_units::times::{HostTime, Millis};
use std::net::SocketAddr;
use std::sync::Arc;

/// Part of the configuration that applies to one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceInfo {
    /// Name by which routes and entries of upstreams refer to the service.
    pub name: ServiceName,
    /// Whether requests carry a sharding key and go to the owner of the key.
    pub is_sharded: bool,
    /// Number of connections that one upstream accepts from all hosts together.
    pub connection_limit: u32,
    /// Path at which its upstreams answer with their ids.
    pub health_path: Box<str>,
    /// Limits of its upstreams while they are cold, if they have any.
    pub cold: Option<ColdLimits>,
}

/// What the upstreams of a service tolerate while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimits {
    /// Time after a start for which an upstream is cold.
    pub time: Millis,
    /// Requests that a cold upstream takes from all hosts together.
    pub rate: RequestRate,
}

impl Eq for ColdLimits {}

/// Configuration published by operators.
#[derive(Debug, Clone)]
pub struct Config {
    /// Version; hosts ignore a configuration that is not newer than the one in force.
    pub version: u64,
    /// Routes by host and longest path prefix.
    pub routes: Routes,
    /// Services that the routes may refer to.
    pub services: Vec<ServiceInfo>,
    /// Limits for requests from callers.
    pub limits: Limits,
}

impl Config {
    /// Returns whether requests to a service need a sharding key.
    pub fn is_sharded(&self, service: &ServiceName) -> bool {
        self.services.iter().any(|info| info.name == *service && info.is_sharded)
    }

    /// Returns whether a request without a sharding key has a route and a service that needs none.
    pub fn takes_without_key(&self, host: &str, path: &str) -> bool {
        let route = self.routes.find(host, path);
        route.is_some_and(|route| route.split.only(|service| !self.is_sharded(service)).is_some())
    }
}

/// Entry of an upstream in the registry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its id.
    pub id: UpstreamId,
    /// Unix time in milliseconds at which it started, by its own clock.
    pub born: u64,
    /// Its service.
    pub service: ServiceName,
    /// Its listen address.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Its region, if the settings list its availability zone.
    pub region: Option<Region>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down and gets no new requests.
    pub is_leaving: bool,
    /// Remaining warm-up time after its start, during which it is slower.
    pub cold: Millis,
    /// Sequence number of its heartbeats.
    pub seq: u64,
}

/// Upstream with the end of its warm-up by the host's clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedUpstream {
    /// Its entry in the registry.
    pub entry: Entry,
    /// End of the warm-up after its start, during which it is slower.
    pub cold_until: HostTime,
    /// Whether what the entry says of the warm-up holds: the incarnation has written a later entry than the first one that
    /// this host knew, or was there when this host started.
    pub is_confirmed: bool,
}

/// Change of the listed upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamChange {
    /// An upstream is new or has other properties.
    Listed(Box<ListedUpstream>),
    /// An upstream is no longer listed.
    Removed(UpstreamId),
}

impl UpstreamChange {
    /// Returns the id of the upstream that has changed.
    pub fn id(&self) -> &UpstreamId {
        match self {
            Self::Listed(listed) => &listed.entry.id,
            Self::Removed(id) => id,
        }
    }
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
    /// Its UDP address for load reports.
    pub reports: SocketAddr,
    /// Its address for calls of other hosts.
    pub calls: SocketAddr,
}

/// What the control thread tells the traffic thread at once.
#[derive(Debug, Clone, Default)]
pub struct Publication {
    /// State that replaces the one published before.
    pub view: View,
    /// Changes of the registered upstreams, including those that are shutting down, since the last publication.
    pub upstreams: Vec<UpstreamChange>,
}

/// Snapshot of the state known to the host, other than its upstreams.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// The configuration in force, if one is known.
    pub config: Option<Arc<Config>>,
    /// Time from which on the configuration may have been published; zero without one.
    pub config_published_after: HostTime,
    /// Owners of keys, for each sharded service.
    pub keys: Vec<(ServiceName, KeyMap)>,
    /// The other hosts; `None` until the host records have been read.
    pub peers: Option<Arc<Vec<PeerInfo>>>,
    /// Number of hosts, recorded or not; zero if not known.
    pub host_count: u32,
    /// Whether the store has a record of this host, so that the others know it.
    pub is_recorded: bool,
}

impl View {
    /// Returns the other hosts that are known.
    pub fn peers(&self) -> &[PeerInfo] {
        self.peers.as_ref().map_or(&[], |peers| peers.as_slice())
    }
}
