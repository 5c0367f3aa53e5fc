//! A host handles many requests while nobody fetches its metrics.

use crate::Outcome;
use crate::http::{self, Conn};
use crate::platform::{self, Deployment, Machine};
use crate::record::Record;
use crate::store::Store;
use crate::upstream::{Spec, Upstream};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Memory of a machine in MB.
const MEMORY_MB: u64 = 160;
/// Connections of the callers whose requests are refused, and requests on each of them before the first answer.
const FLOOD_CALLERS: u64 = 4;
const PIPELINED: u64 = 32;
/// Callers of orders that are served.
const ORDER_CALLERS: usize = 12;
const ALLOWED_CUT: usize = 3;
const LOAD_TIME: Duration = Duration::from_secs(100);

struct Case {
    machine: Arc<Machine>,
    upstreams: Vec<Upstream>,
    record: Record,
    is_over: AtomicBool,
    next_id: AtomicU32,
    refused: AtomicU64,
    answered: AtomicU32,
    cut: Mutex<Vec<String>>,
}

pub fn run(folder: &Path, has_trouble: bool) -> Outcome {
    let temp = std::env::temp_dir().join(format!("review-many-requests-{}", std::process::id()));
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
        "routes": [
            {"name": "resin-order", "host": "jepu9.example", "path-prefix": "/puka111/",
             "kind": "non_idempotent", "timeout": "2500ms", "target-latency": "800ms",
             "priority": 1, "service": "wuno96b", "attempts": 2},
            {"name": "condition-report-read", "host": "jepu9.example", "path-prefix": "/leny950/",
             "kind": "idempotent", "timeout": "8000ms", "target-latency": "2500ms",
             "priority": 2, "service": "lovo22d", "attempts": 2}],
        "services": [{"name": "wuno96b", "health-check-path": "/health", "connection-limit": 110},
                     {"name": "lovo22d", "health-check-path": "/health", "connection-limit": 110}],
        "limits": {"max-header-bytes": 16_384, "max-body-bytes": 67_108_864,
                   "header-timeout": "3000ms", "idle-timeout": "15000ms"},
    }));
    let upstreams: Vec<Upstream> = (0..4)
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
        check_interval: Duration::from_millis(50),
    };
    let machine = Machine::new(50, "leon-a", &deployment, &record);
    machine.start("leon-a", &json!({"leon-a": "bajio-norte"}), &[machine.peers]);
    let case = Arc::new(Case {
        machine,
        upstreams,
        record,
        is_over: AtomicBool::default(),
        next_id: AtomicU32::default(),
        refused: AtomicU64::default(),
        answered: AtomicU32::default(),
        cut: Mutex::default(),
    });
    let outcome = play(&case, has_trouble);
    case.machine.end();
    if !deployment.logs {
        let _ = std::fs::remove_dir_all(&temp);
    }
    outcome
}

fn play(case: &Arc<Case>, has_trouble: bool) -> Outcome {
    if !platform::wait_ready(std::slice::from_ref(&case.machine), Duration::from_secs(20)) {
        return Outcome::NotRun("the machine is not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let mut threads = Vec::new();
    for _ in 0..ORDER_CALLERS {
        let case = Arc::clone(case);
        threads.push(thread::spawn(move || send_orders(&case)));
    }
    for number in 0..FLOOD_CALLERS {
        let case = Arc::clone(case);
        threads.push(thread::spawn(move || {
            while !case.is_over.load(Ordering::SeqCst) {
                let _ = flood(&case, number);
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    let fetches = !has_trouble;
    let started = Instant::now();
    while started.elapsed() < LOAD_TIME && case.machine.own_ends.load(Ordering::SeqCst) == 0 {
        thread::sleep(Duration::from_secs(5));
        if fetches && !fetch_metrics(case.machine.callers) {
            return Outcome::NotRun("the metrics can't be fetched".to_owned());
        }
        case.record.say(&format!(
            "after {:3} s: {} requests refused, {} orders answered, {} MB at most",
            started.elapsed().as_secs(),
            case.refused.load(Ordering::SeqCst),
            case.answered.load(Ordering::SeqCst),
            case.machine.peak_kb.load(Ordering::SeqCst) / 1024
        ));
    }
    case.is_over.store(true, Ordering::SeqCst);
    for caller in threads {
        let _ = caller.join();
    }
    let cut = case.cut.lock().expect("the list").len();
    case.record.say(&format!(
        "killed for its memory {} times; {cut} orders ran at a backend, and their kept connection ended without an answer; {ALLOWED_CUT} are allowed",
        case.machine.killed_for_memory.load(Ordering::SeqCst)
    ));
    if cut > ALLOWED_CUT { Outcome::Broken } else { Outcome::Held }
}

/// Fetches the metrics as the platform does while an incident is being examined.
fn fetch_metrics(callers: SocketAddr) -> bool {
    let IpAddr::V4(ip) = callers.ip() else { return false };
    let Ok(mut conn) = http::connect(SocketAddr::new(IpAddr::V4(ip), 9464)) else { return false };
    let req = "GET /metrics HTTP/1.1\r\nHost: metrics\r\nConnection: close\r\n\r\n";
    conn.stream.write_all(req.as_bytes()).is_ok()
        && matches!(conn.read(), Ok(Some(answer)) if answer.status() == 200)
}

/// Sends reads of a service without backends, several before the first answer, until the connection ends.
fn flood(case: &Case, number: u64) -> std::io::Result<()> {
    let mut conn = http::connect(case.machine.callers)?;
    let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(5)));
    let mut count: u64 = 0;
    let mut chunk = [0; 65_536];
    while !case.is_over.load(Ordering::SeqCst) {
        let mut batch = String::with_capacity(8_192);
        for _ in 0..PIPELINED {
            count += 1;
            let id = (number << 56) + count;
            batch.push_str(&format!("GET /leny950/2f HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: {id:016x}\r\nX-Deadline-Milliseconds: 15000\r\n\r\n"));
        }
        conn.stream.write_all(batch.as_bytes())?;
        let mut answers = 0;
        let mut last = [0; 3];
        while answers < PIPELINED {
            let read = conn.stream.read(&mut chunk)?;
            if read == 0 {
                return Ok(());
            }
            for byte in &chunk[..read] {
                if *byte == b'\n' && last == *b"\r\n\r" {
                    answers += 1;
                }
                last = [last[1], last[2], *byte];
            }
        }
        case.refused.fetch_add(answers, Ordering::SeqCst);
    }
    Ok(())
}

/// Sends orders one after the other, over a connection that is kept.
fn send_orders(case: &Case) {
    while !case.is_over.load(Ordering::SeqCst) {
        let Ok(mut conn) = http::connect(case.machine.callers) else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let mut is_kept = false;
        while !case.is_over.load(Ordering::SeqCst) && case.order(&mut conn, is_kept) {
            is_kept = true;
        }
        thread::sleep(Duration::from_millis(200));
    }
}

impl Case {
    fn order(&self, conn: &mut Conn, is_kept: bool) -> bool {
        let id = format!(
            "{:016x}",
            0x9c41_d07b_0000_0000_u64 + u64::from(self.next_id.fetch_add(1, Ordering::SeqCst))
        );
        let req = format!(
            "POST /puka111/{id} HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Milliseconds: 5000\r\nContent-Length: 5\r\n\r\nresin"
        );
        let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(5)));
        let answer = match conn.stream.write_all(req.as_bytes()) {
            Ok(()) => conn.read().ok().flatten(),
            Err(_) => None,
        };
        let runs: u32 = self.upstreams.iter().map(|upstream| upstream.runs(&id)).sum();
        match &answer {
            Some(answer) if answer.status() == 200 => {
                self.answered.fetch_add(1, Ordering::SeqCst);
            }
            Some(answer) => self.record.line(&format!("{id} is answered {}", answer.status())),
            None => {
                self.record.line(&format!(
                    "{id} has no answer: its connection ended; it began to run {runs} times"
                ));
                if runs > 0 && is_kept {
                    self.cut.lock().expect("the list").push(id);
                }
            }
        }
        answer.is_some_and(|answer| !answer.closes())
    }
}
