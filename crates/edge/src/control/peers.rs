//! Calls between hosts.

use super::Control;
use super::follow::RawTopic;
use crate::client::{Caller, Outgoing};
use crate::clock;
use crate::net;
use crate::serve::{self, Answer, Answering, Incoming, Shared};
use crate::store::{Page, Record, Topic};
use async_io::Timer;
use serde::{Deserialize, Serialize};
use skylarkdock_http1::head::Headers;
use skylarkdock_spans::keep::Ack;
use skylarkdock_spans::table::Table;
use skylarkdock_units::ids::{HostId, ServiceName};
use skylarkdock_units::times::{HostTime, Millis};
use std::net::SocketAddr;
use std::rc::Rc;

/// Time for a call to another host.
const PEER_TIMEOUT: Millis = Millis(400);
/// Time without a read of the store after which other hosts are asked.
const STALE_AFTER: Millis = Millis(5_000);
/// The same for the upstreams' entries, which are read all the time.
const REGISTRY_STALE_AFTER: Millis = Millis(1_000);
/// Time between questions to other hosts.
const ASK_INTERVAL: Millis = Millis(400);

const LOAD_PATH: &str = "/load";
const TABLE_PATH: &str = "/table";
const STATE_PATH: &str = "/state";

/// Keys of the requests that a host got.
#[derive(Debug, Serialize, Deserialize)]
struct Load {
    host: HostId,
    keys: Vec<(ServiceName, Vec<u16>)>,
}

/// Offsets up to which a host knows the topics.
#[derive(Debug, Serialize, Deserialize)]
struct StateQuestion {
    next: [u64; 3],
}

/// A topic as another host knows it.
#[derive(Debug, Serialize, Deserialize)]
struct TopicState {
    /// Offset that follows what is known.
    next: u64,
    /// Age of the proof that there was nothing newer.
    age: Millis,
    /// The newest records, if the asking host knows less.
    records: Option<Vec<(String, String)>>,
}

/// Order of the topics in messages.
const TOPICS: [Topic; 3] = [Topic::Config, Topic::Upstreams, Topic::Fleet];

/// Starts the server and the questions to others.
pub(super) fn start(control: &Rc<Control>, shared: Rc<Shared>) {
    match net::listen(control.settings.peers) {
        Ok(listener) => {
            let handler = {
                let control = Rc::clone(control);
                Rc::new(move |req: Incoming| -> Answering {
                    let answer = control.on_call(&req);
                    Box::pin(async move { answer })
                })
            };
            let ex = Rc::clone(&control.ex);
            ex.spawn(serve::accept(Rc::clone(&control.ex), listener, shared, handler)).detach();
        }
        Err(e) => log::error!("peers: can't listen at {}: {e}", control.settings.peers),
    }
    control.ex.spawn(Rc::clone(control).ask_when_stale()).detach();
}

impl Control {
    fn on_call(&self, req: &Incoming) -> Answer {
        let answered = match req.head.path() {
            LOAD_PATH => serde_json::from_slice(&req.body).map(|load| self.on_load(load)),
            TABLE_PATH => serde_json::from_slice(&req.body).map(|table| self.on_table(table)),
            STATE_PATH => {
                serde_json::from_slice(&req.body).map(|question| self.on_state(&question))
            }
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

    fn on_state(&self, question: &StateQuestion) -> Option<Vec<u8>> {
        let now = clock::now();
        let mut beliefs = self.beliefs.borrow_mut();
        let mut states = Vec::new();
        for (topic, known) in TOPICS.into_iter().zip(question.next) {
            let raw = beliefs.raw.topic(topic);
            let texts = raw.records.iter().filter_map(|(key, value)| {
                let text = std::str::from_utf8(value).ok()?;
                Some((key.clone(), text.to_owned()))
            });
            let records = (raw.next > known).then(|| texts.collect());
            states.push(TopicState { next: raw.next, age: now.since(raw.proof_at), records });
        }
        encode(&states)
    }

    /// Sends the keys of requests to the leader; that is also a sign of life.
    pub(super) async fn send_load(&self, keys: &[(ServiceName, Vec<u16>)]) {
        let leader = {
            let owners = self.owners.borrow();
            let tables = owners.keeps.values().filter_map(|keep| keep.table());
            let leader = tables.map(|table| table.leader.clone()).next();
            leader.and_then(|host| self.peer_addr(&host))
        };
        let Some(addr) = leader else { return };
        let load = Load { host: self.settings.host.clone(), keys: keys.to_vec() };
        if let Err(e) = self.call_peer(addr, LOAD_PATH, &load).await {
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

    fn peer_addr(&self, host: &HostId) -> Option<SocketAddr> {
        self.beliefs.borrow().hosts.get(host).map(|record| record.peers)
    }

    async fn call_peer<T: Serialize>(
        &self,
        addr: SocketAddr,
        path: &str,
        message: &T,
    ) -> Result<Vec<u8>, crate::client::Failure> {
        let body = encode(message).unwrap_or_default();
        let mut headers = Headers::default();
        headers.push("Host", addr.to_string());
        let req = Outgoing::new("POST", path, &headers, &body);
        let reply = Caller::new(addr).call(&req, PEER_TIMEOUT).await?;
        Ok(reply.body)
    }

    /// Asks other hosts while the store can't be read.
    async fn ask_when_stale(self: Rc<Self>) {
        loop {
            Timer::after(ASK_INTERVAL.duration()).await;
            let now = clock::now();
            let (next, is_stale) = {
                let mut beliefs = self.beliefs.borrow_mut();
                let mut age = |topic| now.since(beliefs.raw.topic(topic).proof_at);
                let is_stale = age(Topic::Config) > STALE_AFTER
                    || age(Topic::Fleet) > STALE_AFTER
                    || age(Topic::Upstreams) > REGISTRY_STALE_AFTER;
                (TOPICS.map(|topic| beliefs.raw.topic(topic).next), is_stale)
            };
            if is_stale {
                self.ask_state(StateQuestion { next }).await;
            }
        }
    }

    async fn ask_state(&self, question: StateQuestion) {
        let Some(addr) = self.random_peer() else { return };
        let asked_at = clock::now();
        let body = match self.call_peer(addr, STATE_PATH, &question).await {
            Ok(body) => body,
            Err(e) => {
                log::debug!("peers: {addr} gave no state: {e}");
                return;
            }
        };
        let states: Vec<TopicState> = match serde_json::from_slice(&body) {
            Ok(states) => states,
            Err(e) => {
                log::warn!(peer:% = addr, error:% = e; "peers: state can't be read");
                return;
            }
        };
        for (topic, state) in TOPICS.into_iter().zip(states) {
            self.take_state(topic, state, asked_at);
        }
    }

    /// Takes over a topic from another host, if that has read the store later than this one.
    fn take_state(&self, topic: Topic, state: TopicState, asked_at: HostTime) {
        let proof_at = HostTime(asked_at.0.saturating_sub(state.age.0));
        let known: RawTopic = {
            let mut beliefs = self.beliefs.borrow_mut();
            let raw = beliefs.raw.topic(topic);
            RawTopic { records: Default::default(), next: raw.next, proof_at: raw.proof_at }
        };
        if proof_at <= known.proof_at || state.next < known.next || state.next == 0 {
            return;
        }
        let is_whole = state.records.is_some();
        let records = state.records.unwrap_or_default().into_iter();
        let records = records.map(|(key, text)| Record { key, value: text.into_bytes() }).collect();
        self.take(topic, Page { records, next: state.next }, is_whole, proof_at);
    }

    fn random_peer(&self) -> Option<SocketAddr> {
        let beliefs = self.beliefs.borrow();
        let own = &self.settings.host;
        let others = beliefs.hosts.values().filter(|record| record.host != *own);
        let mut addrs: Vec<SocketAddr> = others.map(|record| record.peers).collect();
        if addrs.is_empty() {
            addrs.extend(&self.settings.seeds);
            addrs.retain(|addr| *addr != self.settings.peers);
        }
        (!addrs.is_empty()).then(|| addrs[fastrand::usize(..addrs.len())])
    }
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
