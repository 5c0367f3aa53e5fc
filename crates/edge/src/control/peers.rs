//! Calls between hosts: the server and client of the peer address.

use super::Control;
use super::config_fetch::{CONFIG_PATH, ConfigRequest};
use super::directory::{DIRECTORY_PATH, DirectoryRequest};
use super::owners::RELEASE_TIMEOUT;
use super::updates::{self, UpdateRequest};
use crate::answer::{Answer, HostCallFault, OwnStatus};
use crate::client::{ControlClient, Failure, Outgoing, Patience};
use crate::clock;
use crate::detour::{DETOUR_PATH, Knowledge};
use crate::listener::ListenerState;
use crate::listeners;
use crate::net;
use crate::releases::PeerRelease;
use crate::serve::{self, AnswerFuture, Incoming};
use crate::traffic::Sample;
use async_lock::Mutex;
use serde::{Deserialize, Serialize};
use skylarkdock_dispatch::descriptors::Shares;
use skylarkdock_dispatch::notices::Notices;
use skylarkdock_http1::head::{Headers, RequestHead};
use skylarkdock_spans::end::{GrantEnd, NotEnded};
use skylarkdock_spans::renewal::{Ack, Release};
use skylarkdock_spans::restored::Memory;
use skylarkdock_spans::table::Table;
use skylarkdock_units::ids::{HostId, ServiceName, UpstreamId};
use skylarkdock_units::times::Millis;
use std::net::SocketAddr;
use std::rc::Rc;

/// Time-out of a call to another host that is neither a release nor a request for updates.
const PEER_TIMEOUT: Millis = Millis(400);
const LOAD_PATH: &str = "/load";
const TABLE_PATH: &str = "/table";
const KNOWN_TABLE_PATH: &str = "/known-table";
const MEMORY_PATH: &str = "/remembered-table";
const RELEASE_PATH: &str = "/release";
pub(super) const UPDATES_PATH: &str = "/news";

/// Sample of a host's requests, sent to the leader. The leader counts a host as available only while it sends samples.
#[derive(Debug, Serialize, Deserialize)]
struct HostSample {
    host: HostId,
    /// Keys of the requests that the host received, for each service.
    keys: Vec<(ServiceName, Vec<u16>)>,
    /// Service times of upstreams as estimated by the host, in milliseconds.
    service_ms: Vec<(UpstreamId, f32)>,
    /// Whether the host seems to reach no upstream.
    #[serde(default)]
    is_cut_off: bool,
    /// Upstreams that said that they leave, with the times of their starts.
    #[serde(default)]
    leaving: Vec<(UpstreamId, u64)>,
    /// Upstreams that asked the host for rest, with the times of their starts and the remaining rests.
    #[serde(default)]
    resting: Vec<(UpstreamId, u64, Millis)>,
}

/// Calls of other hosts.
const PATHS: [&str; 9] = [
    LOAD_PATH,
    TABLE_PATH,
    KNOWN_TABLE_PATH,
    MEMORY_PATH,
    RELEASE_PATH,
    DETOUR_PATH,
    UPDATES_PATH,
    CONFIG_PATH,
    DIRECTORY_PATH,
];

/// Returns the state of the server for calls of other hosts.
fn listener_state(control: &Rc<Control>) -> Rc<ListenerState> {
    let settings = &control.settings;
    let shares = Shares::of(net::descriptor_limit(settings.descriptors));
    let is_known = |head: &RequestHead| PATHS.contains(&head.path());
    let shared = listeners::for_peers(settings.client_limits, shares, is_known);
    let (weak, limits) = (Rc::downgrade(control), settings.client_limits.peers);
    shared.set_limits_source(move || {
        let control = weak.upgrade();
        let config = control
            .and_then(|control| control.fleet.borrow().config.as_ref().map(|config| config.limits));
        listeners::peer_limits(limits, config)
    });
    shared
}

/// Starts the server for calls of other hosts.
pub(super) fn start(control: &Rc<Control>) {
    let shared = listener_state(control);
    match net::listen(control.settings.peers) {
        Ok(listener) => {
            let handler = {
                let control = Rc::clone(control);
                Rc::new(move |req: Incoming| -> AnswerFuture {
                    Box::pin(Rc::clone(&control).on_call(req))
                })
            };
            let ex = Rc::clone(&control.ex);
            control.spawn("peers", serve::accept(ex, listener, shared, handler));
        }
        Err(e) => log::error!("peers: can't listen at {}: {e}", control.settings.peers),
    }
}

impl Control {
    async fn on_call(self: Rc<Self>, req: Incoming) -> Answer {
        let answered = match req.head.path() {
            LOAD_PATH => serde_json::from_slice(&req.body).map(|sample| self.on_sample(sample)),
            TABLE_PATH => serde_json::from_slice(&req.body).map(|table| self.on_table(table)),
            KNOWN_TABLE_PATH => {
                serde_json::from_slice(&req.body).map(|service| self.on_table_request(&service))
            }
            MEMORY_PATH => serde_json::from_slice(&req.body)
                .map(|service: ServiceName| encode(&self.memory(&service))),
            RELEASE_PATH => match serde_json::from_slice::<Release>(&req.body) {
                Ok(release) => Ok(encode(&PeerRelease::from(self.send_release(&release).await))),
                Err(e) => Err(e),
            },
            DETOUR_PATH => match self.call_for_peer(req.body).await {
                Ok(body) => return Answer::with_body(OwnStatus::Ok, body),
                Err(e) => {
                    log::warn!(path = DETOUR_PATH, error:% = e; "peers: can't decode a call");
                    return Answer::to_host(HostCallFault::Undecodable);
                }
            },
            UPDATES_PATH => match serde_json::from_slice::<UpdateRequest>(&req.body) {
                Ok(request) => {
                    let reads_compressed = request.reads_compressed();
                    let Some(response) = self.on_update_request(request).await else {
                        return Answer::empty(OwnStatus::Unavailable);
                    };
                    let text = encode(&response);
                    Ok(if reads_compressed { text.map(updates::compress) } else { text })
                }
                Err(e) => Err(e),
            },
            CONFIG_PATH => match serde_json::from_slice::<ConfigRequest>(&req.body) {
                Ok(request) => Ok(self.on_config_request(&request)),
                Err(e) => Err(e),
            },
            DIRECTORY_PATH => match serde_json::from_slice::<DirectoryRequest>(&req.body) {
                Ok(request) => match self.on_directory_request(request).await {
                    Some(hosts) => Ok(encode(&hosts)),
                    None => return Answer::empty(OwnStatus::Unavailable),
                },
                Err(e) => Err(e),
            },
            _ => return Answer::to_host(HostCallFault::UnknownPath),
        };
        match answered {
            Ok(Some(body)) => Answer::with_body(OwnStatus::Ok, body),
            Ok(None) => Answer::empty(OwnStatus::NoContent),
            Err(e) => {
                log::warn!(path = req.head.path(), error:% = e; "peers: can't decode a call");
                Answer::to_host(HostCallFault::Undecodable)
            }
        }
    }

    /// Sends a call of another host to an upstream.
    async fn call_for_peer(&self, body: Vec<u8>) -> Result<Vec<u8>, postcard::Error> {
        let listed = |addr: SocketAddr| {
            let fleet = self.fleet.borrow();
            let entries = fleet.registry.listed().map(|listed| &listed.entry);
            // An address may have passed on to another upstream, and the entry of the earlier one is still there.
            let newest = entries.filter(|entry| entry.addr == addr).max_by_key(|entry| entry.born);
            newest.map(|entry| (entry.id.clone(), entry.born))
        };
        let _forwarding = self.status.start_forwarding();
        let is_evacuated = |id: &UpstreamId| self.is_evacuated(id);
        let knowledge = Knowledge {
            paths: self.status.paths(),
            notices: self.status.notices(),
            is_evacuated: &is_evacuated,
            is_leaving: self.status.is_leaving(),
        };
        self.detour_server.on_call(&knowledge, body, listed).await
    }

    fn on_sample(&self, sample: HostSample) -> Option<Vec<u8>> {
        let now = clock::now();
        {
            let mut fleet = self.fleet.borrow_mut();
            if sample.is_cut_off {
                fleet.cut_off.insert(sample.host.clone());
            } else {
                fleet.cut_off.remove(&sample.host);
            }
            fleet.rests.remove(&sample.host);
            if !sample.resting.is_empty() {
                let resting = sample.resting.into_iter();
                let rests = resting.map(|(id, born, rest)| (id, born, now + rest)).collect();
                fleet.rests.insert(sample.host.clone(), rests);
            }
            fleet.last_sample_at.insert(sample.host, now);
        }
        self.update_service_times(&sample.service_ms);
        self.count_keys(&sample.keys, now);
        self.publish_together(|| {
            for (id, born) in &sample.leaving {
                self.record_notices(id, *born, Notices { rest: None, is_leaving: true });
            }
        });
        None
    }

    /// Adopts a valid table of the leader and returns this host's acknowledgement of the table that it then knows.
    fn on_table(&self, table: Table) -> Option<Vec<u8>> {
        let service = table.service.clone();
        if table.check().is_ok() {
            self.adopt_table(table);
            self.publish();
        }
        let owners = self.owners.borrow();
        let ack = owners.renewals.get(&service)?.ack(clock::now());
        encode(&ack)
    }

    /// Returns the newest table of a service that this host knows.
    fn on_table_request(&self, service: &ServiceName) -> Option<Vec<u8>> {
        encode(self.owners.borrow().renewals.get(service)?.table()?)
    }

    /// Requests the newest table of a service that another host knows. Hosts of an earlier version don't answer.
    pub(super) async fn request_table(
        &self,
        addr: SocketAddr,
        service: &ServiceName,
    ) -> Option<Table> {
        let body = match self.call_peer(addr, KNOWN_TABLE_PATH, service).await {
            Ok(body) if body.is_empty() => return None,
            Ok(body) => body,
            Err(e) => {
                log::info!(peer:% = addr, error:% = e; "peers: request for a table failed");
                return None;
            }
        };
        match serde_json::from_slice(&body) {
            Ok(table) => Some(table),
            Err(e) => {
                log::warn!(peer:% = addr, error:% = e; "peers: can't decode a table");
                None
            }
        }
    }

    /// Requests what another host remembers of the table of a service; `None` also if it is of an earlier version.
    pub(super) async fn request_memory(
        &self,
        addr: SocketAddr,
        service: &ServiceName,
    ) -> Option<Memory> {
        let body = match self.call_peer(addr, MEMORY_PATH, service).await {
            Ok(body) => body,
            Err(e) => {
                log::info!(peer:% = addr, error:% = e; "peers: request for a remembered table failed");
                return None;
            }
        };
        match serde_json::from_slice(&body) {
            Ok(memory) => Some(memory),
            Err(e) => {
                log::warn!(peer:% = addr, error:% = e; "peers: can't decode a remembered table");
                None
            }
        }
    }

    /// Sends a sample to the leader, over a connection that is kept as long as the leader stays the same.
    pub(super) async fn send_sample(&self, sample: Sample) {
        let leader = {
            let owners = self.owners.borrow();
            let tables = owners.renewals.values().filter_map(|renewals| renewals.table());
            let leader = tables.map(|table| table.leader.clone()).next();
            leader.and_then(|host| self.peer_addr(&host))
        };
        let Some(addr) = leader else { return };
        let caller = {
            let mut connection = self.leader_connection.borrow_mut();
            let caller = connection.take().filter(|(known, _)| *known == addr);
            let (_, caller) =
                caller.unwrap_or_else(|| (addr, Rc::new(Mutex::new(ControlClient::new(addr)))));
            *connection = Some((addr, Rc::clone(&caller)));
            caller
        };
        let Sample { keys, service_ms } = sample;
        let is_cut_off = self.status.paths().lock().is_cut_off();
        let host = self.settings.host.clone();
        let leaving = self.leaving_upstreams();
        let resting = self.resting_upstreams();
        let sample = HostSample { host, keys, service_ms, is_cut_off, leaving, resting };
        let mut caller = caller.lock().await;
        if let Err(e) = call(&mut caller, LOAD_PATH, &sample, Patience::whole(PEER_TIMEOUT)).await {
            log::debug!("peers: can't send a sample to the leader: {e}");
        }
    }

    /// Sends a table to a host and returns that host's acknowledgement of the table, if there is one.
    pub(super) async fn request_ack(&self, host: &HostId, table: &Table) -> Option<Ack> {
        let addr = self.peer_addr(host)?;
        match self.call_peer(addr, TABLE_PATH, table).await {
            Ok(body) => match serde_json::from_slice(&body) {
                Ok(ack) => Some(ack),
                Err(e) => {
                    log::warn!(host:% = host, error:% = e; "peers: can't decode an acknowledgement");
                    None
                }
            },
            Err(e) => {
                log::info!(host:% = host, error:% = e; "peers: request for an acknowledgement failed");
                None
            }
        }
    }

    /// Requests that another host sends a release to the holder. Returns the result of the release, if that host
    /// reported it.
    pub(super) async fn request_release(
        &self,
        host: &HostId,
        release: &Release,
    ) -> Option<Result<GrantEnd, NotEnded>> {
        let addr = self.peer_addr(host)?;
        let mut caller = ControlClient::new(addr);
        match call(&mut caller, RELEASE_PATH, release, Patience::whole(RELEASE_TIMEOUT)).await {
            Ok(body) => match serde_json::from_slice::<PeerRelease>(&body) {
                Ok(answer) => Some(answer.end(&release.holder)),
                Err(e) => {
                    log::warn!(host:% = host, error:% = e; "peers: can't decode the result of a release");
                    None
                }
            },
            Err(e) => {
                log::info!(host:% = host, error:% = e; "peers: request to send a release failed");
                None
            }
        }
    }

    /// Returns the address at which a host takes calls from other hosts, if the host is known.
    pub(super) fn peer_addr(&self, host: &HostId) -> Option<SocketAddr> {
        self.fleet.borrow().hosts.get(host).map(|record| record.peers)
    }

    async fn call_peer<T: Serialize>(
        &self,
        addr: SocketAddr,
        path: &str,
        message: &T,
    ) -> Result<Vec<u8>, Failure> {
        call(&mut ControlClient::new(addr), path, message, Patience::whole(PEER_TIMEOUT)).await
    }
}

/// Sends a message to another host and returns the body of its answer. Opens a connection if the client has none.
pub(super) async fn call<T: Serialize>(
    caller: &mut ControlClient,
    path: &str,
    message: &T,
    patience: Patience,
) -> Result<Vec<u8>, Failure> {
    let body = encode(message).unwrap_or_default();
    let mut headers = Headers::default();
    headers.push("Host", caller.addr().to_string());
    let req = Outgoing::new("POST", path, &headers, &body);
    let reply = caller.call_patiently(&req, patience).await?;
    if reply.head.status >= 300 {
        log::debug!(peer:% = caller.addr(), status = reply.head.status; "peers: call refused");
        return Err(Failure::Malformed);
    }
    Ok(reply.body)
}

pub(super) fn encode<T: Serialize>(message: &T) -> Option<Vec<u8>> {
    match serde_json::to_vec(message) {
        Ok(bytes) => Some(bytes),
        Err(e) => {
            log::error!("peers: can't encode a message: {e}");
            None
        }
    }
}
