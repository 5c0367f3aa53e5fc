//! Calls between hosts.

use super::Control;
use super::owners::RELEASE_TIMEOUT;
use crate::client::{ControlClient, Failure, Outgoing};
use crate::clock;
use crate::net;
use crate::serve::{self, Answer, AnswerFuture, Incoming, ListenerState};
use crate::traffic::Sample;
use async_lock::Mutex;
use serde::{Deserialize, Serialize};
use skylarkdock_http1::head::Headers;
use skylarkdock_spans::keep::{Ack, CallEnd, Release};
use skylarkdock_spans::table::Table;
use skylarkdock_units::ids::{HostId, ServiceName, UpstreamId};
use skylarkdock_units::times::Millis;
use std::net::SocketAddr;
use std::rc::Rc;

/// Time for a call to another host.
const PEER_TIMEOUT: Millis = Millis(400);
const LOAD_PATH: &str = "/load";
const TABLE_PATH: &str = "/table";
const RELEASE_PATH: &str = "/release";
pub(super) const NEWS_PATH: &str = "/news";

/// What a host tells the leader from time to time; also a sign of life.
#[derive(Debug, Serialize, Deserialize)]
struct Load {
    host: HostId,
    /// Keys of the requests that it got.
    keys: Vec<(ServiceName, Vec<u16>)>,
    /// Times of upstreams that it learnt, in milliseconds.
    service_ms: Vec<(UpstreamId, f32)>,
}

/// Starts the server.
pub(super) fn start(control: &Rc<Control>, shared: Rc<ListenerState>) {
    match net::listen(control.settings.peers) {
        Ok(listener) => {
            let handler = {
                let control = Rc::clone(control);
                Rc::new(move |req: Incoming| -> AnswerFuture {
                    Box::pin(Rc::clone(&control).on_call(req))
                })
            };
            let ex = Rc::clone(&control.ex);
            ex.spawn(serve::accept(Rc::clone(&control.ex), listener, shared, handler)).detach();
        }
        Err(e) => log::error!("peers: can't listen at {}: {e}", control.settings.peers),
    }
}

impl Control {
    async fn on_call(self: Rc<Self>, req: Incoming) -> Answer {
        let answered = match req.head.path() {
            LOAD_PATH => serde_json::from_slice(&req.body).map(|load| self.on_load(load)),
            TABLE_PATH => serde_json::from_slice(&req.body).map(|table| self.on_table(table)),
            RELEASE_PATH => match serde_json::from_slice::<Release>(&req.body) {
                Ok(release) => Ok(encode(&self.send_release(&release).await)),
                Err(e) => Err(e),
            },
            NEWS_PATH => match serde_json::from_slice(&req.body) {
                Ok(question) => match self.on_news(question).await {
                    Some(answer) => Ok(encode(&answer)),
                    None => return Answer::empty(503),
                },
                Err(e) => Err(e),
            },
            _ => return Answer::empty(404),
        };
        match answered {
            Ok(Some(body)) => Answer { status: 200, headers: Headers::default(), body },
            Ok(None) => Answer::empty(204),
            Err(e) => {
                log::warn!(path = req.head.path(), error:% = e; "peers: call can't be read");
                Answer::empty(400)
            }
        }
    }

    fn on_load(&self, load: Load) -> Option<Vec<u8>> {
        let now = clock::now();
        self.beliefs.borrow_mut().heard.insert(load.host, now);
        self.learn_times(&load.service_ms);
        self.count_keys(&load.keys, now);
        None
    }

    fn on_table(&self, table: Table) -> Option<Vec<u8>> {
        let service = table.service.clone();
        if table.check().is_ok() {
            self.adopt(table);
            self.publish();
        }
        let owners = self.owners.borrow();
        let ack = owners.keeps.get(&service)?.ack(clock::now());
        encode(&ack)
    }

    /// Tells the leader the keys of requests and the times of upstreams.
    pub(super) async fn send_load(&self, sample: Sample) {
        let leader = {
            let owners = self.owners.borrow();
            let tables = owners.keeps.values().filter_map(|keep| keep.table());
            let leader = tables.map(|table| table.leader.clone()).next();
            leader.and_then(|host| self.peer_addr(&host))
        };
        let Some(addr) = leader else { return };
        let caller = {
            let mut kept = self.to_leader.borrow_mut();
            let caller = kept.take().filter(|(known, _)| *known == addr);
            let (_, caller) =
                caller.unwrap_or_else(|| (addr, Rc::new(Mutex::new(ControlClient::new(addr)))));
            *kept = Some((addr, Rc::clone(&caller)));
            caller
        };
        let Sample { keys, service_ms } = sample;
        let load = Load { host: self.settings.host.clone(), keys, service_ms };
        let mut caller = caller.lock().await;
        if let Err(e) = call(&mut caller, LOAD_PATH, &load, PEER_TIMEOUT).await {
            log::debug!("peers: the leader did not take the load: {e}");
        }
    }

    /// Tells a host a table and returns its word on it.
    pub(super) async fn ask_peer(&self, host: &HostId, table: &Table) -> Option<Ack> {
        let addr = self.peer_addr(host)?;
        match self.call_peer(addr, TABLE_PATH, table).await {
            Ok(body) => match serde_json::from_slice(&body) {
                Ok(ack) => Some(ack),
                Err(e) => {
                    log::warn!(host:% = host, error:% = e; "peers: word can't be read");
                    None
                }
            },
            Err(e) => {
                log::info!(host:% = host, error:% = e; "peers: no word on the table");
                None
            }
        }
    }

    /// Has a host release keys, and returns how that ended, if it answered.
    pub(super) async fn ask_release(
        &self,
        host: &HostId,
        release: &Release,
    ) -> Option<Result<Option<String>, CallEnd>> {
        let addr = self.peer_addr(host)?;
        let mut caller = ControlClient::new(addr);
        match call(&mut caller, RELEASE_PATH, release, RELEASE_TIMEOUT).await {
            Ok(body) => serde_json::from_slice(&body).ok(),
            Err(e) => {
                log::info!(host:% = host, error:% = e; "peers: no release by another host");
                None
            }
        }
    }

    pub(super) fn peer_addr(&self, host: &HostId) -> Option<SocketAddr> {
        self.beliefs.borrow().hosts.get(host).map(|record| record.peers)
    }

    async fn call_peer<T: Serialize>(
        &self,
        addr: SocketAddr,
        path: &str,
        message: &T,
    ) -> Result<Vec<u8>, Failure> {
        call(&mut ControlClient::new(addr), path, message, PEER_TIMEOUT).await
    }
}

/// Calls another host.
pub(super) async fn call<T: Serialize>(
    caller: &mut ControlClient,
    path: &str,
    message: &T,
    timeout: Millis,
) -> Result<Vec<u8>, Failure> {
    let body = encode(message).unwrap_or_default();
    let mut headers = Headers::default();
    headers.push("Host", caller.addr().to_string());
    let req = Outgoing::new("POST", path, &headers, &body);
    let reply = caller.call(&req, timeout).await?;
    if reply.head.status >= 300 {
        log::debug!(peer:% = caller.addr(), status = reply.head.status; "peers: call refused");
        return Err(Failure::Malformed);
    }
    Ok(reply.body)
}

fn encode<T: Serialize>(message: &T) -> Option<Vec<u8>> {
    match serde_json::to_vec(message) {
        Ok(bytes) => Some(bytes),
        Err(e) => {
            log::error!("peers: can't encode a message: {e}");
            None
        }
    }
}
