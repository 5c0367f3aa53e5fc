//! Stand-in of the platform's store: topics, the newest records of keyed topics, and groups.

use crate::http::{self, Answer, Request};
use crate::record::Record;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Time that an answer takes.
const LATENCY: Duration = Duration::from_millis(4);

type Topics = BTreeMap<String, Vec<(String, Vec<u8>)>>;

#[derive(Default)]
struct State {
    topics: Topics,
    era: u64,
    is_away: bool,
    /// Member, generation in which it joined, and when it last did.
    members: Vec<(String, Instant, Duration)>,
    generation: u64,
    holder: Option<String>,
}

/// All records at a moment.
#[derive(Clone)]
pub struct Copy(Topics);

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
    pub addr: SocketAddr,
}

impl Store {
    pub fn start(addr: SocketAddr, record: &Record) -> Self {
        let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
        state.0.lock().unwrap().era = 1;
        let (shared, log) = (Arc::clone(&state), record.clone());
        let addr = http::serve(addr, || Some(()), move |(), req| answer(&shared, req, &log));
        Self { state, record: record.clone(), addr }
    }

    /// Appends a record; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.state.1.notify_all();
    }

    /// Returns whether writes are accepted.
    pub fn is_up(&self) -> bool {
        !self.state.0.lock().unwrap().is_away
    }

    pub fn newest(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.state.0.lock().unwrap();
        let records = state.topics.get(topic)?;
        let found = records.iter().rev().find(|(name, _)| name == key)?;
        Some(found.1.clone()).filter(|value| !value.is_empty())
    }

    pub fn copy(&self) -> Copy {
        Copy(self.state.0.lock().unwrap().topics.clone())
    }

    /// The store is away: it answers 503 to each call.
    pub fn go_away(&self) {
        self.state.0.lock().unwrap().is_away = true;
        self.state.1.notify_all();
        self.record.line("store: away");
    }

    /// The store comes back from a copy.
    pub fn come_back(&self, copy: &Copy) {
        let mut state = self.state.0.lock().unwrap();
        state.topics = copy.0.clone();
        state.era += 1;
        state.is_away = false;
        state.members.clear();
        state.holder = None;
        let era = state.era;
        self.state.1.notify_all();
        drop(state);
        self.record.line(&format!("store: back from the copy, Store-Era {era}"));
    }
}

fn answer(shared: &(Mutex<State>, Condvar), req: &Request, record: &Record) -> Option<Answer> {
    std::thread::sleep(LATENCY);
    let found = answer_call(shared, req, record)?;
    let era = shared.0.lock().unwrap().era;
    Some(found.with("Store-Era", era.to_string()))
}

fn answer_call(shared: &(Mutex<State>, Condvar), req: &Request, record: &Record) -> Option<Answer> {
    let mut state = shared.0.lock().unwrap();
    if state.is_away {
        return Some(Answer::new(503, ""));
    }
    let topic = req.query("topic").unwrap_or_default();
    match req.path() {
        "/api/log-newest" => {
            let after = req.query("after").unwrap_or_default();
            let records = state.topics.entry(topic).or_default();
            let mut newest: BTreeMap<&str, (&[u8], usize)> = BTreeMap::new();
            for (offset, (key, value)) in records.iter().enumerate() {
                newest.insert(key, (value, offset));
            }
            let live = newest
                .into_iter()
                .filter(|(key, (value, _))| !value.is_empty() && *key > after.as_str());
            let items = live.map(|(key, (value, offset))| json!({"key": key, "value": STANDARD.encode(value), "offset": offset}));
            let items: Vec<Value> = items.collect();
            let more = items.len() > 500;
            let items = &items[..items.len().min(500)];
            let body = json!({"items": items, "more": more, "end": records.len()});
            Some(Answer::new(200, body.to_string()))
        }
        "/api/log-read" => {
            let from: usize = req.query("from")?.parse().ok()?;
            let wait: u64 = req.query("wait-ms").and_then(|ms| ms.parse().ok()).unwrap_or(0);
            let end = Instant::now() + Duration::from_millis(wait.min(30_000));
            let era = state.era;
            loop {
                if state.is_away || state.era != era {
                    return Some(Answer::new(503, ""));
                }
                let records = state.topics.get(&topic).map_or(&[][..], Vec::as_slice);
                if from > records.len() {
                    return Some(Answer::new(410, json!({"first": 0}).to_string()));
                }
                let left = end.saturating_duration_since(Instant::now());
                if records.len() > from || left.is_zero() {
                    let mut body = (records.len() as u64).to_be_bytes().to_vec();
                    body.extend_from_slice(&0_u64.to_be_bytes());
                    for (key, value) in records.iter().skip(from) {
                        let len = u32::try_from(1 + key.len() + value.len()).ok()?;
                        body.extend_from_slice(&len.to_be_bytes());
                        body.push(u8::try_from(key.len()).ok()?);
                        body.extend_from_slice(key.as_bytes());
                        body.extend_from_slice(value);
                    }
                    return Some(Answer::new(200, body));
                }
                state = shared.1.wait_timeout(state, left).unwrap().0;
            }
        }
        "/api/log-append" => {
            if topic == "keyed.op" || topic == "keyed.servers" {
                return Some(Answer::new(403, ""));
            }
            let at: Option<usize> = req.query("at").and_then(|at| at.parse().ok());
            let records = state.topics.entry(topic).or_default();
            if at.is_some_and(|at| records.len() != at) {
                return Some(Answer::new(412, json!({"end": records.len()}).to_string()));
            }
            let offset = records.len();
            let mut rest = req.body.as_slice();
            while rest.len() >= 4 {
                let (len, after) = rest.split_at(4);
                let len = u32::from_be_bytes(len.try_into().ok()?) as usize;
                let (content, after) = after.split_at(len.min(after.len()));
                rest = after;
                let key_len = usize::from(*content.first()?);
                let key = String::from_utf8_lossy(&content[1..1 + key_len]).into_owned();
                record.line(&format!("store: {key} written"));
                records.push((key, content[1 + key_len..].to_vec()));
            }
            let body = json!({"offset": offset, "end": records.len()});
            shared.1.notify_all();
            Some(Answer::new(200, body.to_string()))
        }
        "/api/log-join" => {
            let body: Value = serde_json::from_slice(&req.body).ok()?;
            let member = body["member"].as_str()?.to_owned();
            let ttl = body["ttl_time"].as_str()?.trim_end_matches("ms").parse().ok()?;
            let now = Instant::now();
            state.members.retain(|(name, at, ttl)| *name != member && now - *at < *ttl);
            state.members.push((member.clone(), now, Duration::from_millis(ttl)));
            let is_live = |name: &String| state.members.iter().any(|(other, ..)| other == name);
            if !state.holder.as_ref().is_some_and(is_live) {
                state.generation += 1;
                state.holder = Some(member.clone());
            }
            let leads = state.holder.as_ref() == Some(&member);
            let parts = if leads { json!([["lead", 0, 0]]) } else { json!([]) };
            let body = json!({"generation": state.generation, "parts": parts});
            Some(Answer::new(200, body.to_string()))
        }
        "/api/log-leave" => {
            let body: Value = serde_json::from_slice(&req.body).ok()?;
            let member = body["member"].as_str()?.to_owned();
            state.members.retain(|(name, ..)| *name != member);
            if state.holder.as_ref() == Some(&member) {
                state.holder = None;
            }
            Some(Answer::new(200, "{}"))
        }
        _ => Some(Answer::new(404, "")),
    }
}
