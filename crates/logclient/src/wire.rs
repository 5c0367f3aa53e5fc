//! JSON bodies of the calls to the platform's log and host list.

use serde::{Deserialize, Serialize};
use skylarkdock_units::ids::{HostId, Offset, Region, Zone};
use std::net::SocketAddr;

/// Request of an append.
#[derive(Serialize)]
pub(crate) struct AppendRequest<'a> {
    pub(crate) record: &'a str,
}

/// Response to an append.
#[derive(Deserialize)]
pub(crate) struct AppendResponse {
    pub(crate) offset: Offset,
}

/// Response to a read.
#[derive(Deserialize)]
pub(crate) struct ReadResponse {
    pub(crate) oldest: Offset,
    pub(crate) next: Offset,
    pub(crate) records: Vec<Record>,
}

/// A record of a read response.
#[derive(Deserialize)]
pub(crate) struct Record {
    pub(crate) offset: Offset,
    pub(crate) record: String,
}

/// Response with the host list.
#[derive(Deserialize)]
pub(crate) struct HostListResponse {
    pub(crate) hosts: Vec<Host>,
}

/// A host of the host list.
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
