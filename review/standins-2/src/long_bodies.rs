//! Callers send orders with long bodies, each well within `max-body-bytes`, to hosts that serve others meanwhile.

use crate::Outcome;
use crate::http::{self, Conn, Message};
use crate::platform::{self, Deployment, Machine};
use crate::record::Record;
use crate::store::Store;
use crate::upstream::{Spec, Upstream};
use serde_json::json;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Memory of a machine, as the sheets of both deployments give it.
const MEMORY_MB: u64 = 260;
/// `max-body-bytes` of the configuration, as `fleetbench wire` shows it.
const MAX_BODY: usize = 67_108_864;
/// Length of a long body: half of what is allowed.
const LONG_BODY: usize = MAX_BODY / 2;
/// Length of the other bodies: the longest of the sheets.
const SHORT_BODY: usize = 1_800;
/// Callers with a long body at each machine, and the others.
const LONG_CALLERS: usize = 6;
const SHORT_CALLERS: usize = 12;
/// Rate of a long body. All of a machine take 0.8 of its link of 1,000 Mbit/s.
const BYTES_PER_MS: usize = 16_800;
/// Number of cut requests beyond which LOST is broken.
const ALLOWED_CUT: usize = 3;

struct Case {
    machines: Vec<Arc<Machine>>,
    upstreams: Vec<Upstream>,
    record: Record,
    is_over: AtomicBool,
    next_id: AtomicU32,
    answered: AtomicU32,
    /// Requests that ran and whose kept connection ended without an answer.
    cut: Mutex<Vec<String>>,
    long_ends: Mutex<Vec<String>>,
}

pub fn run(folder: &Path, has_trouble: bool) -> Outcome {
    let temp = std::env::temp_dir().join(format!("review-long-bodies-{}", std::process::id()));
    if let Err(e) = std::fs::create_dir_all(&temp) {
        return Outcome::NotRun(e.to_string());
    }
    let record = match Record::create(folder) {
        Ok(record) => record,
        Err(e) => return Outcome::NotRun(e.to_string()),
    };
    let store = Store::start(platform::own_ip(1));
    store.write("keyed.op", "config", &json!({
        "version": "r7",
        "routes": [{"name": "resin-order", "host": "jepu9.example", "path-prefix": "/puka111/",
                    "kind": "non_idempotent", "timeout": "2500ms", "target-latency": "800ms",
                    "priority": 1, "service": "wuno96b", "attempts": 2}],
        "services": [{"name": "wuno96b", "health-check-path": "/health", "connection-limit": 110}],
        "limits": {"max-header-bytes": 16_384, "max-body-bytes": MAX_BODY,
                   "header-timeout": "3000ms", "idle-timeout": "15000ms"},
    }));
    let upstreams: Vec<Upstream> = (0..8)
        .map(|number| {
            let spec = Spec {
                id: format!("i-{number:04x}"),
                service: "wuno96b".to_owned(),
                zone: "leon-a".to_owned(),
                slots: 6,
                is_sharded: false,
                work: Duration::from_millis(290),
            };
            Upstream::start(platform::own_ip(10 + number), spec, &store, &record)
        })
        .collect();
    let deployment = Deployment {
        store: store.addr,
        memory_mb: MEMORY_MB,
        first_start: true,
        folder: temp.clone(),
        logs: std::env::var_os("LOGS").is_some(),
        check_interval: Duration::from_millis(10),
    };
    let machines: Vec<Arc<Machine>> =
        (0..2).map(|number| Machine::new(50 + number, "leon-a", &deployment, &record)).collect();
    let seeds: Vec<_> = machines.iter().map(|machine| machine.peers).collect();
    let zones = json!({"leon-a": "bajio-norte"});
    for machine in &machines {
        machine.start("leon-a", &zones, &seeds);
    }
    let case = Arc::new(Case {
        machines,
        upstreams,
        record,
        is_over: AtomicBool::default(),
        next_id: AtomicU32::default(),
        answered: AtomicU32::default(),
        cut: Mutex::default(),
        long_ends: Mutex::default(),
    });
    let outcome = play(&case, has_trouble);
    for machine in &case.machines {
        machine.end();
    }
    if !deployment.logs {
        let _ = std::fs::remove_dir_all(&temp);
    }
    outcome
}

fn play(case: &Arc<Case>, has_trouble: bool) -> Outcome {
    if !platform::wait_ready(&case.machines, Duration::from_secs(20)) {
        return Outcome::NotRun("the machines are not ready".to_owned());
    }
    // Traffic begins 8 s after the machines do.
    thread::sleep(Duration::from_secs(6));
    let mut callers = Vec::new();
    for index in 0..case.machines.len() * SHORT_CALLERS {
        let case = Arc::clone(case);
        callers.push(thread::spawn(move || call_in_turn(&case, index)));
    }
    thread::sleep(Duration::from_secs(5));
    let length = if has_trouble { LONG_BODY } else { SHORT_BODY };
    case.record.say(&format!(
        "{} callers send orders of {length} bytes",
        case.machines.len() * LONG_CALLERS
    ));
    let long: Vec<_> = (0..case.machines.len() * LONG_CALLERS)
        .map(|index| {
            let case = Arc::clone(case);
            thread::spawn(move || send_long(&case, index, length))
        })
        .collect();
    for caller in long {
        let _ = caller.join();
    }
    thread::sleep(Duration::from_secs(4));
    case.is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    judge(case)
}

fn judge(case: &Case) -> Outcome {
    let cut = case.cut.lock().expect("the list");
    for machine in &case.machines {
        case.record.say(&format!(
            "{}: {} MB of memory at most, killed for its memory {} times, ended {} times",
            machine.name,
            machine.peak_kb.load(Ordering::SeqCst) / 1024,
            machine.killed_for_memory.load(Ordering::SeqCst),
            machine.own_ends.load(Ordering::SeqCst),
        ));
    }
    for end in case.long_ends.lock().expect("the list").iter() {
        case.record.line(end);
    }
    let answered = case.answered.load(Ordering::SeqCst);
    case.record.say(&format!("{answered} requests were answered with success"));
    case.record.say(&format!(
        "{} requests ran at a backend, and their kept connection ended without an answer; {ALLOWED_CUT} are allowed",
        cut.len()
    ));
    if answered == 0 {
        return Outcome::NotRun("no request was served".to_owned());
    }
    if cut.len() > ALLOWED_CUT {
        case.record.say("LOST is broken");
        return Outcome::Broken;
    }
    case.record.say("LOST holds");
    Outcome::Held
}

impl Case {
    /// Opens a connection to the machine that the platform chooses for a caller.
    fn open(&self, index: usize) -> Option<Conn> {
        let count = self.machines.len();
        let order = (0..count).map(|step| &self.machines[(index + step) % count]);
        let machine =
            order.clone().find(|machine| machine.is_in_rotation()).or(order.clone().next())?;
        http::connect(machine.callers).ok()
    }

    fn head(&self, id: &str, length: usize) -> String {
        format!(
            "POST /puka111/{id} HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Milliseconds: 5000\r\nContent-Length: {length}\r\n\r\n"
        )
    }

    fn new_id(&self) -> String {
        format!(
            "{:016x}",
            0x9c41_d07b_0000_0000_u64 + u64::from(self.next_id.fetch_add(1, Ordering::SeqCst))
        )
    }

    /// Records the end of a request. `is_kept` says that its connection had one before.
    fn on_end(&self, id: &str, answer: Option<&Message>, is_kept: bool) {
        let runs: u32 = self.upstreams.iter().map(|upstream| upstream.runs(id)).sum();
        match answer {
            Some(answer) => {
                self.record.line(&format!("{id} is answered {}", answer.status()));
                if answer.status() == 200 {
                    self.answered.fetch_add(1, Ordering::SeqCst);
                }
            }
            None => {
                self.record.line(&format!(
                    "{id} has no answer: its connection ended; it began to run {runs} times"
                ));
                if runs > 0 && is_kept {
                    self.cut.lock().expect("the list").push(id.to_owned());
                }
            }
        }
    }

    /// Sends a short order and waits for its answer. Returns whether the connection can be used again.
    fn call(&self, conn: &mut Conn, is_kept: bool) -> bool {
        let id = self.new_id();
        let mut bytes = self.head(&id, SHORT_BODY).into_bytes();
        bytes.resize(bytes.len() + SHORT_BODY, b'x');
        self.record.line(&format!("{id} is sent, {SHORT_BODY} bytes"));
        let _ = conn.stream.set_read_timeout(Some(Duration::from_millis(5_000)));
        let answer = match conn.stream.write_all(&bytes) {
            Ok(()) => conn.read().ok().flatten(),
            Err(_) => None,
        };
        self.on_end(&id, answer.as_ref(), is_kept);
        answer.is_some_and(|answer| !answer.closes())
    }
}

/// Sends short orders one after the other, over a connection that is kept.
fn call_in_turn(case: &Case, index: usize) {
    while !case.is_over.load(Ordering::SeqCst) {
        let Some(mut conn) = case.open(index) else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let mut is_kept = false;
        while !case.is_over.load(Ordering::SeqCst) && case.call(&mut conn, is_kept) {
            is_kept = true;
            thread::sleep(Duration::from_millis(40));
        }
        thread::sleep(Duration::from_millis(200));
    }
}

/// Sends a short order and, on the same connection, one with a body of `length` bytes at a steady rate.
fn send_long(case: &Case, index: usize, length: usize) {
    let Some(mut conn) = case.open(index) else { return };
    if !case.call(&mut conn, false) {
        return;
    }
    let id = case.new_id();
    case.record.line(&format!("{id} is sent, {length} bytes"));
    let started = Instant::now();
    let is_sent = send_paced(&mut conn, case.head(&id, length).as_bytes(), length).is_ok();
    let took = started.elapsed().as_millis();
    let _ = conn.stream.set_read_timeout(Some(Duration::from_millis(5_000)));
    let answer = if is_sent { conn.read().ok().flatten() } else { None };
    let status = answer.as_ref().map_or(0, Message::status);
    case.long_ends
        .lock()
        .expect("the list")
        .push(format!("long order {id}: sent whole {is_sent} in {took} ms, status {status}"));
    case.on_end(&id, answer.as_ref(), true);
}

fn send_paced(conn: &mut Conn, head: &[u8], length: usize) -> std::io::Result<()> {
    conn.stream.write_all(head)?;
    let chunk = vec![b'x'; BYTES_PER_MS * 5];
    let started = Instant::now();
    let mut sent = 0;
    while sent < length {
        let count = chunk.len().min(length - sent);
        conn.stream.write_all(&chunk[..count])?;
        sent += count;
        let due = started + Duration::from_millis((sent / BYTES_PER_MS) as u64);
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
    Ok(())
}
