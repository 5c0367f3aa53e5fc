//! Client of the platform's host list. The list can be out of date and contain hosts that no longer exist.

use crate::wire::HostListResponse;
use skylarkdock_httppath::json::{self, Call, CallError};
use skylarkdock_httppath::pool::Pool;
use skylarkdock_units::ids::{HostId, Region, Zone};
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::times::Millis;
use std::net::SocketAddr;
use std::time::Instant;
use thiserror::Error;

const CONNECT_TIMEOUT: Millis = Millis(1_000);
const FETCH_TIMEOUT: Millis = Millis(2_000);
const MAX_RESPONSE: ByteSize = ByteSize(1024 * 1024);

/// Why the list could not be fetched.
#[derive(Debug, Error)]
#[error("could not fetch the host list")]
pub struct FetchError(#[from] CallError);

/// A host on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedHost {
    /// The host.
    pub id: HostId,
    /// Its availability zone.
    pub zone: Zone,
    /// Its region.
    pub region: Region,
    /// Address for other hosts.
    pub peer: SocketAddr,
    /// Address for callers, forwarded requests and operators.
    pub http: SocketAddr,
    /// Whether the platform is about to remove the host.
    pub leaving: bool,
}

/// Client of the platform's host list.
#[derive(Clone)]
pub struct HostList {
    pool: Pool,
    addr: SocketAddr,
}

impl HostList {
    /// Returns a client of the host list at `addr` that uses the connections of `pool`.
    pub const fn new(pool: Pool, addr: SocketAddr) -> Self {
        Self { pool, addr }
    }

    /// Fetches the list, with the addresses by which the host `requester` reaches the others.
    ///
    /// # Errors
    ///
    /// Fails if the list can't be fetched.
    pub async fn fetch(&self, requester: &HostId) -> Result<Vec<ListedHost>, FetchError> {
        let path = format!("/hosts?from={requester}");
        let call = Call {
            pool: &self.pool,
            addr: self.addr,
            path: &path,
            connect_timeout: CONNECT_TIMEOUT,
            deadline: Instant::now() + FETCH_TIMEOUT.duration(),
            max_response_size: MAX_RESPONSE,
        };
        let response: HostListResponse = json::get_json(call).await?;
        let hosts = response.hosts.into_iter().map(|host| ListedHost {
            id: host.id,
            zone: host.zone,
            region: host.region,
            peer: host.peer,
            http: host.http,
            leaving: host.leaving,
        });
        Ok(hosts.collect())
    }
}
