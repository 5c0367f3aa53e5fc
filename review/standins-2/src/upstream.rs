//! Stand-in of a backend: it registers itself, takes grants, and runs requests in slots.

use crate::http::{self, Answer, Conn, Message, Server};
use crate::record::Record;
use crate::store::{self, Store};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Requests that wait for a slot before further ones are rejected.
const QUEUE: usize = 24;

/// Properties of a backend.
#[derive(Clone)]
pub struct Spec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub is_sharded: bool,
    /// Time that a request takes in its slot.
    pub work: Duration,
}

#[derive(Default)]
struct State {
    running: usize,
    waiting: usize,
    /// Granted key ranges with their tokens and the ends of their holds.
    holds: Vec<(u16, u16, u64, Instant)>,
    /// Largest token seen, by range of keys.
    fences: Vec<(u16, u16, u64)>,
    running_keys: Vec<u16>,
    /// Ids of requests, and how often each began to run.
    runs: BTreeMap<String, u32>,
}

/// A backend; clones share its state.
#[derive(Clone)]
pub struct Upstream {
    pub spec: Spec,
    pub addr: SocketAddr,
    server: Server,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Upstream {
    /// Starts a backend and registers it.
    pub fn start(ip: Ipv4Addr, spec: Spec, store: &Store, record: &Record) -> Self {
        let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let (shared, own, log) = (Arc::clone(&state), spec.clone(), record.clone());
        let server = http::serve(ip, move |conn| serve(conn, &own, &shared, &log));
        let upstream = Self { spec, addr: server.addr, server, state };
        store.write("keyed.servers", &upstream.spec.id, &upstream.entry("ready"));
        upstream
    }

    /// Returns the entry by which the backend registers itself.
    pub fn entry(&self, state: &str) -> Value {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
        json!({
            "address": self.addr.to_string(),
            "server-info": {"service": self.spec.service, "zone": self.spec.zone,
                            "version": "v1", "slots": self.spec.slots},
            "status": {"state": state, "seq": 1, "cold-remaining": "0ms"},
            "born": u64::try_from(born.as_millis()).expect("a short time"),
        })
    }

    /// Crashes: its connections break and further ones are refused. Its entry stays until it has lapsed.
    pub fn crash(&self) {
        self.server.crash();
    }

    /// Returns how often a request with this id or path began to run here.
    pub fn runs(&self, id: &str) -> u32 {
        self.state.0.lock().expect("the state").runs.get(id).copied().unwrap_or(0)
    }
}

fn serve(mut conn: Conn, spec: &Spec, shared: &(Mutex<State>, Condvar), record: &Record) {
    while let Ok(Some(mut req)) = conn.read_head() {
        let is_call = req.path().starts_with("/api/");
        let Ok(length) = conn.read_body(&mut req, is_call) else { return };
        let answer = match req.path() {
            "/api/grant" => grant(spec, shared, &req),
            "/api/release" => release(spec, shared, &req),
            "/health" => Answer::new(200, "").with("X-Backend-Instance", &spec.id),
            _ => match run(&mut conn, spec, shared, &req, length, record) {
                Some(answer) => answer,
                None => return,
            },
        };
        if conn.stream.write_all(&answer.bytes()).is_err() {
            return;
        }
    }
}

fn not_run(status: u16, req: &Message) -> Answer {
    let answer = Answer::new(status, "").with("X-Not-Executed", "1");
    match req.header("x-request-id") {
        Some(id) => answer.with("X-Request-Id", id),
        None => answer,
    }
}

fn is_for_other(spec: &Spec, req: &Message) -> bool {
    req.header("x-expected-instance").is_some_and(|id| id != spec.id)
}

/// Runs a request in a slot. Returns `None` if its connection closed meanwhile: the work is dropped then.
fn run(
    conn: &mut Conn,
    spec: &Spec,
    (state, changed): &(Mutex<State>, Condvar),
    req: &Message,
    length: usize,
    record: &Record,
) -> Option<Answer> {
    let Some(id) = req.header("x-request-id").map(str::to_owned) else {
        return Some(not_run(400, req));
    };
    if is_for_other(spec, req) {
        return Some(not_run(421, req).with("X-Backend-Instance", &spec.id));
    }
    let deadline = req.header("x-deadline-milliseconds").and_then(|text| text.parse().ok());
    let deadline = Instant::now() + Duration::from_millis(deadline.unwrap_or(60_000));
    let key: Option<u16> = req.header("x-shard-key").and_then(|text| text.parse().ok());
    {
        let mut state = state.lock().expect("the state");
        if state.running >= spec.slots {
            if state.waiting >= QUEUE {
                return Some(not_run(503, req));
            }
            state.waiting += 1;
            while state.running >= spec.slots {
                state = changed.wait(state).expect("the state");
            }
            state.waiting -= 1;
        }
        if Instant::now() >= deadline {
            return Some(not_run(503, req));
        }
        if spec.is_sharded && !key.is_some_and(|key| holds(&state, key)) {
            return Some(not_run(421, req));
        }
        state.running += 1;
        state.running_keys.extend(key);
        for name in [id.as_str(), req.path()] {
            *state.runs.entry(name.to_owned()).or_insert(0) += 1;
        }
    }
    record.line(&format!(
        "{} runs {id} ({} {}, {length} bytes)",
        spec.id,
        req.method(),
        req.target()
    ));
    let is_open = work(conn, spec.work.min(deadline.saturating_duration_since(Instant::now())));
    {
        let mut state = state.lock().expect("the state");
        state.running -= 1;
        if let Some(index) = key.and_then(|key| state.running_keys.iter().position(|k| *k == key)) {
            state.running_keys.swap_remove(index);
        }
        changed.notify_all();
    }
    if !is_open {
        record.line(&format!("{} drops {id}: its connection was closed", spec.id));
        return None;
    }
    let body = format!("{} {length}", spec.id);
    let answer = Answer::new(200, body).with("X-Request-Id", id);
    Some(answer.with("X-Response-Signature", format!("{}.{length}", spec.id)))
}

/// Works for a time. Returns false if the connection was closed meanwhile.
fn work(conn: &mut Conn, time: Duration) -> bool {
    let until = Instant::now() + time;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            let _ = conn.stream.set_read_timeout(None);
            return true;
        }
        let _ = conn.stream.set_read_timeout(Some(left.min(Duration::from_millis(50))));
        let mut chunk = [0; 1024];
        match conn.stream.read(&mut chunk) {
            Ok(0) => return false,
            Ok(count) => conn.buf.extend_from_slice(&chunk[..count]),
            Err(e)
                if matches!(
                    e.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) => {}
            Err(_) => return false,
        }
    }
}

fn holds(state: &State, key: u16) -> bool {
    let now = Instant::now();
    state.holds.iter().any(|(from, to, _, until)| *from <= key && key <= *to && now < *until)
}

fn range(req: &Message) -> Option<(u16, u16, u64, Value)> {
    let call: Value = serde_json::from_slice(&req.body).ok()?;
    let key = |name: &str| call[name].as_u64().and_then(|key| u16::try_from(key).ok());
    Some((key("from")?, key("target")?, call["fence"].as_u64()?, call.clone()))
}

/// Removes a range of keys from a list of ranges.
fn without<T: Clone>(ranges: &[(u16, u16, u64, T)], from: u16, to: u16) -> Vec<(u16, u16, u64, T)> {
    let mut left = Vec::new();
    for (first, last, fence, rest) in ranges {
        if *last < from || to < *first {
            left.push((*first, *last, *fence, rest.clone()));
            continue;
        }
        if *first < from {
            left.push((*first, from - 1, *fence, rest.clone()));
        }
        if to < *last {
            left.push((to + 1, *last, *fence, rest.clone()));
        }
    }
    left
}

fn grant(spec: &Spec, (state, _): &(Mutex<State>, Condvar), req: &Message) -> Answer {
    if is_for_other(spec, req) {
        return not_run(421, req).with("X-Backend-Instance", &spec.id);
    }
    let Some((from, to, fence, call)) = range(req) else { return Answer::new(400, "") };
    let mut state = state.lock().expect("the state");
    let has_seen =
        |(first, last, seen): &(u16, u16, u64)| *first <= to && from <= *last && *seen > fence;
    if state.fences.iter().any(has_seen) {
        return Answer::new(409, "");
    }
    let until = Instant::now() + store::millis(call["hold_time"].as_str().unwrap_or("0ms"));
    state.holds = without(&state.holds, from, to);
    state.holds.push((from, to, fence, until));
    state.fences.retain(|(first, last, seen)| !(from <= *first && *last <= to && *seen <= fence));
    state.fences.push((from, to, fence));
    Answer::new(200, "")
}

fn release(spec: &Spec, (state, changed): &(Mutex<State>, Condvar), req: &Message) -> Answer {
    if is_for_other(spec, req) {
        return not_run(421, req).with("X-Backend-Instance", &spec.id);
    }
    let Some((from, to, fence, _)) = range(req) else { return Answer::new(400, "") };
    let mut state = state.lock().expect("the state");
    state.holds = without(&state.holds, from, to);
    state.fences.push((from, to, fence));
    while state.running_keys.iter().any(|key| from <= *key && *key <= to) {
        state = changed.wait(state).expect("the state");
    }
    Answer::new(200, "").with("X-Handover", format!("{}-{from}-{fence}", spec.id))
}
