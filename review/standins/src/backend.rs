//! Stand-in of a backend: it registers itself, takes grants and releases, and runs requests.

use crate::http::{self, Answer, Request};
use crate::record::Record;
use crate::store::Store;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const HEARTBEAT: Duration = Duration::from_millis(870);
/// Silence after which the store removes an entry.
const EXPIRY: Duration = Duration::from_millis(3 * 870);
const KEYS: usize = 0x1_0000;

struct Hold {
    fence: u64,
    until: Instant,
}

struct State {
    born: u64,
    is_up: bool,
    is_draining: bool,
    seq: u64,
    written_at: Instant,
    /// By key: the grant that is held, and the largest token seen.
    holds: Vec<Option<Hold>>,
    seen: Vec<u64>,
    /// By key: the largest token with which any life of this backend had it.
    had: Vec<u64>,
    /// Keys of the requests that run.
    running: Vec<u16>,
}

#[derive(Clone)]
pub struct Backend {
    pub id: String,
    pub addr: SocketAddr,
    service: String,
    zone: String,
    is_sharded: bool,
    work: Duration,
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
    fleet: Fleet,
    ends: Arc<AtomicBool>,
}

/// All backends, to compare what they hold.
#[derive(Clone, Default)]
pub struct Fleet {
    backends: Arc<Mutex<Vec<Backend>>>,
    /// Breaks of the rule on owners of keys.
    pub breaks: Arc<Mutex<Vec<String>>>,
}

impl Fleet {
    fn others(&self, id: &str) -> Vec<Backend> {
        let all = self.backends.lock().unwrap();
        all.iter().filter(|other| other.id != id && other.is_sharded).cloned().collect()
    }

    fn add_break(&self, record: &Record, text: String) {
        record.line(&format!("BREAK {text}"));
        self.breaks.lock().unwrap().push(text);
    }

    /// Looks again and again which keys two backends that are up hold, and records those that they hold together for more
    /// than half a second.
    pub fn watch(&self, record: &Record) {
        let (fleet, record) = (self.clone(), record.clone());
        thread::spawn(move || {
            let mut since: Vec<Option<Instant>> = (0..KEYS).map(|_| None).collect();
            let mut told = false;
            loop {
                thread::sleep(Duration::from_millis(20));
                let backends = fleet.others("");
                let now = Instant::now();
                let mut holders: Vec<u8> = vec![0; KEYS];
                for backend in &backends {
                    let state = backend.state.0.lock().unwrap();
                    if !state.is_up {
                        continue;
                    }
                    for (key, hold) in state.holds.iter().enumerate() {
                        if hold.as_ref().is_some_and(|hold| now < hold.until) {
                            holders[key] += 1;
                        }
                    }
                }
                let mut long = (0, 0);
                for (key, count) in holders.iter().enumerate() {
                    if *count < 2 {
                        since[key] = None;
                        continue;
                    }
                    let at = *since[key].get_or_insert(now);
                    if now - at > Duration::from_millis(500) {
                        long = (long.0 + 1, key);
                    }
                }
                if long.0 > 0 && !told {
                    told = true;
                    let text = format!(
                        "{} keys, {} among them, are held by two backends for over half a second",
                        long.0, long.1
                    );
                    fleet.add_break(&record, text);
                }
            }
        });
    }
}

impl Backend {
    pub fn start(
        (id, service, zone): (&str, &str, &str),
        addr: SocketAddr,
        is_sharded: bool,
        work: Duration,
        (fleet, store, record): (&Fleet, &Store, &Record),
    ) -> Self {
        let now = Instant::now();
        let keys = if is_sharded { KEYS } else { 0 };
        let state = State {
            born: unix_ms(),
            is_up: true,
            is_draining: false,
            seq: 0,
            written_at: now,
            holds: (0..keys).map(|_| None).collect(),
            seen: vec![0; keys],
            had: vec![0; keys],
            running: Vec::new(),
        };
        let mut backend = Self {
            id: id.to_owned(),
            addr,
            service: service.to_owned(),
            zone: zone.to_owned(),
            is_sharded,
            work,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
            fleet: fleet.clone(),
            ends: Arc::default(),
        };
        let handler = backend.clone();
        let accepting = backend.clone();
        backend.addr = http::serve(
            addr,
            move || {
                let state = accepting.state.0.lock().unwrap();
                state.is_up.then_some(state.born)
            },
            move |born, req| handler.answer(*born, req),
        );
        fleet.backends.lock().unwrap().push(backend.clone());
        record.line(&format!("{id}: started at {}", backend.addr));
        let (beating, store) = (backend.clone(), store.clone());
        thread::spawn(move || {
            while !beating.ends.load(Ordering::Relaxed) {
                beating.beat(&store);
                thread::sleep(HEARTBEAT);
            }
        });
        backend
    }

    fn entry(&self, state: &State, seq: u64) -> String {
        let reported = if state.is_draining { "draining" } else { "ready" };
        let info = json!({"service": self.service, "version": "v1", "zone": self.zone, "slots": 6});
        let status = json!({"state": reported, "seq": seq, "cold-remaining": "0ms"});
        json!({"address": self.addr, "born": state.born, "server-info": info, "status": status})
            .to_string()
    }

    /// Writes the entry if more than its number has changed, and removes that of a backend that is silent.
    fn beat(&self, store: &Store) {
        if !store.is_up() {
            return;
        }
        let mut state = self.state.0.lock().unwrap();
        let known = store.newest("keyed.servers", &self.id);
        if !state.is_up {
            if known.is_some() && state.written_at.elapsed() > EXPIRY {
                store.put("keyed.servers", &self.id, "");
            }
            return;
        }
        state.seq += 1;
        state.written_at = Instant::now();
        let seq = state.seq;
        let known: Option<Value> = known.and_then(|text| serde_json::from_slice(&text).ok());
        let known_seq =
            known.as_ref().and_then(|known| known["status"]["seq"].as_u64()).unwrap_or(0);
        let same: Value = serde_json::from_str(&self.entry(&state, known_seq)).unwrap_or_default();
        if known.as_ref() != Some(&same) {
            store.put("keyed.servers", &self.id, &self.entry(&state, seq));
        }
    }

    pub fn holds(&self, key: u16) -> bool {
        let state = self.state.0.lock().unwrap();
        holds(&state, key)
    }

    /// Number of keys that it holds.
    pub fn count(&self) -> usize {
        let (state, now) = (self.state.0.lock().unwrap(), Instant::now());
        state.holds.iter().flatten().filter(|hold| now < hold.until).count()
    }

    fn answer(&self, born: u64, req: &Request) -> Option<Answer> {
        let mut state = self.state.0.lock().unwrap();
        if !state.is_up || state.born != born {
            return None;
        }
        if req.header("X-Expected-Instance").is_some_and(|id| id != self.id) {
            let refused = Answer::new(421, "").with("X-Not-Executed", "1");
            return Some(refused.with("X-Backend-Instance", self.id.as_str()));
        }
        if req.path() == "/health" {
            let status = if state.is_draining { 503 } else { 200 };
            return Some(Answer::new(status, "").with("X-Backend-Instance", self.id.as_str()));
        }
        if self.is_sharded && req.path() == "/api/grant" {
            return self.on_grant(&mut state, req);
        }
        if self.is_sharded && req.path() == "/api/release" {
            let body: Value = serde_json::from_slice(&req.body).ok()?;
            let (first, last) =
                (body["from"].as_u64()? as usize, body["target"].as_u64()? as usize);
            let fence = body["fence"].as_u64()?;
            for key in first..=last {
                state.holds[key] = None;
                state.seen[key] = state.seen[key].max(fence);
            }
            self.record.line(&format!("{}: releases {first}-{last} token {fence}", self.id));
            let works = |state: &mut State| {
                state.running.iter().any(|key| (first..=last).contains(&usize::from(*key)))
            };
            let _done = self.state.1.wait_while(state, works).unwrap();
            return Some(Answer::new(200, "").with("X-Handover", "5c0e7a21d94b36f8"));
        }
        let Some(id) = req.header("X-Request-Id").map(str::to_owned) else {
            return Some(Answer::new(400, "").with("X-Not-Executed", "1"));
        };
        let key: u16 = req.header("X-Shard-Key").and_then(|key| key.parse().ok()).unwrap_or(0);
        if self.is_sharded && !holds(&state, key) {
            self.record.line(&format!("{}: turns {id} away, key {key}", self.id));
            let refused = Answer::new(421, "").with("X-Not-Executed", "1").with("X-Request-Id", id);
            return Some(refused.with("X-Backend-Instance", self.id.as_str()));
        }
        state.running.push(key);
        self.record
            .line(&format!("{}: runs {id} key {key} {} {}", self.id, req.method, req.target));
        drop(state);
        thread::sleep(self.work);
        let mut state = self.state.0.lock().unwrap();
        if let Some(index) = state.running.iter().position(|other| *other == key) {
            state.running.remove(index);
        }
        self.state.1.notify_all();
        let is_alive = state.is_up && state.born == born;
        drop(state);
        let text = format!("{} {}", self.id, req.target);
        let answer = Answer::new(200, text).with("X-Request-Id", id);
        is_alive.then(|| answer.with("X-Response-Signature", format!("sig-{}", self.id)))
    }

    fn on_grant(&self, state: &mut State, req: &Request) -> Option<Answer> {
        let body: Value = serde_json::from_slice(&req.body).ok()?;
        let (first, last) = (body["from"].as_u64()? as usize, body["target"].as_u64()? as usize);
        let fence = body["fence"].as_u64()?;
        let ms: u64 = body["hold_time"].as_str()?.trim_end_matches("ms").parse().ok()?;
        if state.seen[first..=last].iter().any(|seen| *seen > fence) {
            self.record.line(&format!("{}: 409 to {first}-{last} token {fence}", self.id));
            return Some(Answer::new(409, ""));
        }
        let until = Instant::now() + Duration::from_millis(ms);
        let mut taken: Vec<usize> = Vec::new();
        for key in first..=last {
            if state.had[key] != fence {
                taken.push(key);
            }
            state.holds[key] = Some(Hold { fence, until });
            state.seen[key] = fence;
            state.had[key] = state.had[key].max(fence);
        }
        if !taken.is_empty() {
            self.record.line(&format!("{}: takes {first}-{last} token {fence}", self.id));
        }
        let others = self.fleet.others(&self.id);
        let (own, fleet, record) = (self.id.clone(), self.fleet.clone(), self.record.clone());
        // The others' states are looked at without this one's, as they may look at it as well.
        thread::spawn(move || {
            for other in others {
                let state = other.state.0.lock().unwrap();
                let stale: Vec<&usize> =
                    taken.iter().filter(|key| state.had[**key] >= fence).collect();
                if let (Some(from), Some(to)) = (stale.first(), stale.last()) {
                    let had = state.had[**from];
                    let live =
                        state.holds[**from].as_ref().filter(|hold| Instant::now() < hold.until);
                    let live = live.map_or("holds it no more".to_owned(), |hold| {
                        format!("holds it with token {}", hold.fence)
                    });
                    let text = format!(
                        "{own} took keys from {from} to {to} with token {fence}; {} had key {from} with token {had} and {live}",
                        other.id
                    );
                    fleet.add_break(&record, text);
                }
            }
        });
        Some(Answer::new(200, "{}"))
    }
}

fn holds(state: &State, key: u16) -> bool {
    let hold = state.holds.get(usize::from(key)).and_then(Option::as_ref);
    hold.is_some_and(|hold| Instant::now() < hold.until)
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(0))
}
