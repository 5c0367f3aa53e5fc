//! Stand-in of the platform's store: logs of records with keys, and consumer groups.

use crate::http::{self, Answer, Message};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time that each call takes.
const CALL_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Vec<(String, Vec<u8>)>>,
    /// Members of each group in the order in which they joined, with their time limits.
    groups: BTreeMap<String, (u64, Vec<(String, Instant)>)>,
}

/// The store; clones share its state.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> Self {
        let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let shared = Arc::clone(&state);
        let addr = http::serve_requests(ip, move |req| {
            thread::sleep(CALL_TIME);
            answer(&shared, &req)
        });
        Self { addr, state }
    }

    /// Writes a record as the operator or a backend does.
    pub fn write(&self, topic: &str, key: &str, value: &Value) {
        self.write_bytes(topic, key, value.to_string().into_bytes());
    }

    /// Removes the record of a key.
    pub fn remove(&self, topic: &str, key: &str) {
        self.write_bytes(topic, key, Vec::new());
    }

    fn write_bytes(&self, topic: &str, key: &str, value: Vec<u8>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the state");
        state.topics.entry(topic.to_owned()).or_default().push((key.to_owned(), value));
        changed.notify_all();
    }
}

fn answer(shared: &(Mutex<State>, Condvar), req: &Message) -> Answer {
    let topic = req.query("topic").unwrap_or_default().to_owned();
    match (req.method(), req.path()) {
        ("POST", "/api/log-append") => append(shared, req, &topic),
        ("GET", "/api/log-read") => read(shared, req, &topic),
        ("GET", "/api/log-newest") => newest(shared, req, &topic),
        ("POST", "/api/log-join") => join(shared, req),
        ("POST", "/api/log-leave") => leave(shared, req),
        ("POST", "/api/log-commit") => Answer::new(200, "{}"),
        _ => Answer::new(404, "{}"),
    }
}

fn append(shared: &(Mutex<State>, Condvar), req: &Message, topic: &str) -> Answer {
    if topic == "keyed.op" || topic == "keyed.servers" {
        return Answer::new(403, "{}");
    }
    let (state, changed) = shared;
    let mut state = state.lock().expect("the state");
    let records = state.topics.entry(topic.to_owned()).or_default();
    let end = records.len();
    if req.query("at").is_some_and(|at| at.parse() != Ok(end)) {
        return Answer::new(412, json!({"end": end}).to_string());
    }
    let mut bytes = req.body.as_slice();
    while bytes.len() >= 4 {
        let len = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize;
        let content = &bytes[4..4 + len];
        let (key, value) = content[1..].split_at(usize::from(content[0]));
        records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
        bytes = &bytes[4 + len..];
    }
    let body = json!({"offset": end, "end": records.len()}).to_string();
    changed.notify_all();
    Answer::new(200, body)
}

fn read(shared: &(Mutex<State>, Condvar), req: &Message, topic: &str) -> Answer {
    let from: usize = req.query("from").and_then(|text| text.parse().ok()).unwrap_or(0);
    let wait: u64 = req.query("wait-ms").and_then(|text| text.parse().ok()).unwrap_or(0);
    let until = Instant::now() + Duration::from_millis(wait.min(30_000));
    let (state, changed) = shared;
    let mut state = state.lock().expect("the state");
    loop {
        let records = state.topics.entry(topic.to_owned()).or_default();
        let left = until.saturating_duration_since(Instant::now());
        if records.len() > from || left.is_zero() {
            let mut body = Vec::new();
            body.extend_from_slice(&(records.len() as u64).to_be_bytes());
            body.extend_from_slice(&0_u64.to_be_bytes());
            for (key, value) in records.iter().skip(from) {
                let len = u32::try_from(1 + key.len() + value.len()).expect("a short record");
                body.extend_from_slice(&len.to_be_bytes());
                body.push(u8::try_from(key.len()).expect("a short key"));
                body.extend_from_slice(key.as_bytes());
                body.extend_from_slice(value);
            }
            return Answer::new(200, body);
        }
        state = changed.wait_timeout(state, left).expect("the state").0;
    }
}

fn newest(shared: &(Mutex<State>, Condvar), req: &Message, topic: &str) -> Answer {
    let after = req.query("after").map(unescape).unwrap_or_default();
    let mut state = shared.0.lock().expect("the state");
    let records = state.topics.entry(topic.to_owned()).or_default();
    let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
    for (offset, (key, value)) in records.iter().enumerate() {
        newest.insert(key, (offset, value));
    }
    let items: Vec<Value> = newest
        .iter()
        .filter(|(key, (_, value))| !value.is_empty() && **key > after.as_str())
        .map(|(key, (offset, value))| {
            json!({"key": key, "value": STANDARD.encode(value), "offset": offset})
        })
        .collect();
    Answer::new(200, json!({"items": items, "more": false, "end": records.len()}).to_string())
}

/// The member that has held the partitions for longest keeps the first one; this stand-in gives it all of them.
fn join(shared: &(Mutex<State>, Condvar), req: &Message) -> Answer {
    let Ok(call) = serde_json::from_slice::<Value>(&req.body) else {
        return Answer::new(400, "{}");
    };
    let text = |name: &str| call[name].as_str().unwrap_or_default().to_owned();
    let ttl = millis(&text("ttl_time"));
    let (group, member, now) = (text("group"), text("member"), Instant::now());
    let mut state = shared.0.lock().expect("the state");
    let (generation, members) = state.groups.entry(group).or_insert((1, Vec::new()));
    let before: Vec<String> = members.iter().map(|(name, _)| name.clone()).collect();
    members.retain(|(name, until)| *name == member || *until > now);
    match members.iter_mut().find(|(name, _)| *name == member) {
        Some((_, until)) => *until = now + ttl,
        None => members.push((member.clone(), now + ttl)),
    }
    let after: Vec<String> = members.iter().map(|(name, _)| name.clone()).collect();
    if before != after {
        *generation += 1;
    }
    let holds = members.first().is_some_and(|(name, _)| *name == member);
    let topics = call["topics"].as_array().cloned().unwrap_or_default();
    let parts: Vec<Value> = topics
        .iter()
        .filter(|_| holds)
        .flat_map(|t| (0..12).map(move |p| json!([t, p, 0])))
        .collect();
    Answer::new(200, json!({"generation": generation, "parts": parts}).to_string())
}

fn leave(shared: &(Mutex<State>, Condvar), req: &Message) -> Answer {
    let Ok(call) = serde_json::from_slice::<Value>(&req.body) else {
        return Answer::new(400, "{}");
    };
    let group = call["group"].as_str().unwrap_or_default().to_owned();
    let member = call["member"].as_str().unwrap_or_default();
    let mut state = shared.0.lock().expect("the state");
    if let Some((generation, members)) = state.groups.get_mut(&group) {
        members.retain(|(name, _)| name != member);
        *generation += 1;
    }
    Answer::new(200, "{}")
}

/// Parses a time such as `1500ms` or `2.5s`.
pub fn millis(text: &str) -> Duration {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 0.001),
        None => (text.strip_suffix('s').unwrap_or("0"), 1.0),
    };
    Duration::from_secs_f64(number.parse::<f64>().unwrap_or(0.0) * unit)
}

fn unescape(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let digits: Vec<u8> = bytes.by_ref().take(2).collect();
            let digits = String::from_utf8_lossy(&digits).into_owned();
            out.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            out.push(byte);
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
