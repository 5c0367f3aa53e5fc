//! Bodies of the platform's calls.

use serde::{Deserialize, Serialize};
use skylarkdock_units::ids::{HostId, Offset, Region, Zone};
use std::net::SocketAddr;

#[derive(Serialize)]
pub(crate) struct Append<'a> {
    pub(crate) record: &'a str,
}

#[derive(Deserialize)]
pub(crate) struct Appended {
    pub(crate) offset: Offset,
}

#[derive(Deserialize)]
pub(crate) struct Page {
    pub(crate) oldest: Offset,
    pub(crate) next: Offset,
    pub(crate) records: Vec<Record>,
}

#[derive(Deserialize)]
pub(crate) struct Record {
    pub(crate) offset: Offset,
    pub(crate) record: String,
}

#[derive(Deserialize)]
pub(crate) struct Hosts {
    pub(crate) hosts: Vec<Host>,
}

#[derive(Deserialize)]
pub(crate) struct Host {
    pub(crate) id: HostId,
    pub(crate) zone: Zone,
    pub(crate) region: Region,
    pub(crate) peer: SocketAddr,
    pub(crate) http: SocketAddr,
    #[serde(default)]
    pub(crate) leaving: bool,
}
