//! Addresses, location, size and time limits with which an entry host is started, and its retry budget.

use crate::client_limits::ClientLimits;
use skylarkdock_dispatch::descriptors::DescriptorLimit;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{HostId, Region, Zone};
use skylarkdock_units::measures::{ByteSize, HostSize};
use skylarkdock_units::times::Millis;
use std::net::SocketAddr;

/// Values given to an entry host at its start. Routes and services are not among them; operators publish those.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The host's name.
    pub host: HostId,
    /// Its availability zone.
    pub zone: Zone,
    /// Its region.
    pub region: Region,
    /// Its size.
    pub size: HostSize,
    /// Descriptors that it may have open; the limit of its process if that is lower, or if there is none here.
    pub descriptors: Option<DescriptorLimit>,
    /// All availability zones and their regions.
    pub zones: FastMap<Zone, Region>,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// Listen address for calls from other hosts.
    pub peers: SocketAddr,
    /// UDP address that receives load reports from other hosts.
    pub reports: SocketAddr,
    /// Listen address for metrics.
    pub metrics: SocketAddr,
    /// Addresses of other hosts to contact before the host records have been read from the store.
    pub seeds: Vec<SocketAddr>,
    /// Interval between an upstream's heartbeats.
    pub heartbeat: Millis,
    /// Time from the stop signal until the process is killed.
    pub grace: Millis,
    /// Time within which a new configuration has to be in force.
    pub apply_time: Millis,
    /// Whether the whole fleet starts with this process, for the first time.
    pub is_first_start: bool,
    /// Time after which an upstream that leaves must get no new requests.
    pub drain_time: Millis,
    /// Longest time for which keys may be granted.
    pub max_hold: Millis,
    /// Retry budget of a service over all hosts: retries per request.
    pub repeat_ratio: f32,
    /// Retries allowed within a window in addition to `repeat_ratio`.
    pub repeat_constant: u32,
    /// Window in which the retry budget counts requests and retries.
    pub repeat_window: Millis,
    /// Requests that a cold upstream may get in one second from all hosts, as a multiple of its rate.
    pub cold_overshoot: f32,
    /// Requests that it may get beyond that.
    pub cold_slack: u32,
    /// Whether services under pressure refuse requests by what their callers lose, rather than by rank and arrival.
    pub refuses_by_value: bool,
    /// Memory of the host's process, if it is limited.
    pub memory: Option<ByteSize>,
    /// Limits for clients that misbehave.
    pub client_limits: ClientLimits,
}
