//! Contents of the host list, and the list returned to a given host.

use serde::{Deserialize, Serialize};
use skylarkdock_units::collections::FastSet;
use skylarkdock_units::ids;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use thiserror::Error;

use ids::{HostId, Region, Zone};

/// Addresses that replace a host's own for one of the hosts that reach it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AddressOverride {
    /// Replaces the address for messages between hosts.
    pub peer: SocketAddr,
    /// Replaces the address for callers' requests.
    pub http: SocketAddr,
}

/// A host of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Host {
    /// Unique id of the host.
    pub id: HostId,
    /// Availability zone of the host.
    pub zone: Zone,
    /// Region of the host.
    pub region: Region,
    /// Address for messages between hosts.
    pub peer: SocketAddr,
    /// Address for callers' requests.
    pub http: SocketAddr,
    /// Whether the host is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// Addresses returned in place of `peer` and `http`, by the host that asks.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub via: BTreeMap<HostId, AddressOverride>,
}

/// The host list in requests and responses.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostList {
    /// Hosts in the order listed.
    pub hosts: Vec<Host>,
}

/// Why a host list is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum HostListError {
    /// Two hosts have the same id.
    #[error("host {0} is listed twice")]
    Duplicate(HostId),
}

/// Faults that are injected into the host list at run time; a missing field turns its fault off.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HostsFaults {
    /// Delay until a change of the list becomes visible, in milliseconds.
    pub lag_ms: u64,
    /// Nonexistent hosts that are listed as well.
    pub ghosts: Vec<Host>,
    /// Hosts that are omitted from the list.
    pub hide: Vec<HostId>,
    /// Whether requests for the list get status 503.
    pub outage: bool,
    /// Delay of each response to a request for the list, in milliseconds.
    pub latency_ms: u64,
}

impl HostList {
    /// Checks that host ids are unique.
    ///
    /// # Errors
    /// Returns the first id that is listed twice.
    pub fn check(&self) -> Result<(), HostListError> {
        let mut seen = FastSet::default();
        match self.hosts.iter().find(|host| !seen.insert(&host.id)) {
            Some(host) => Err(HostListError::Duplicate(host.id.clone())),
            None => Ok(()),
        }
    }

    /// Returns the list as served to `requester` under `faults`.
    pub fn view_for(&self, requester: Option<&HostId>, faults: &HostsFaults) -> Self {
        let listed_ids: FastSet<&HostId> = self.hosts.iter().map(|host| &host.id).collect();
        let ghosts = faults.ghosts.iter().filter(|ghost| !listed_ids.contains(&ghost.id));
        let all = self.hosts.iter().chain(ghosts);
        let visible = all.filter(|host| !faults.hide.contains(&host.id));
        Self { hosts: visible.map(|host| host.with_addresses_for(requester)).collect() }
    }
}

impl Host {
    fn with_addresses_for(&self, requester: Option<&HostId>) -> Self {
        let mut host = self.clone();
        host.via.clear();
        if let Some(addresses) = requester.and_then(|requester| self.via.get(requester)) {
            host.peer = addresses.peer;
            host.http = addresses.http;
        }
        host
    }
}
