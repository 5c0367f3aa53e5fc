//! Callers send orders whose bodies take longer than `header-timeout` to arrive over the link between two regions.

use crate::Outcome;
use crate::http::{self, Message};
use crate::platform::{self, Deployment, Machine};
use crate::record::Record;
use crate::store::Store;
use crate::upstream::{Spec, Upstream};
use serde_json::json;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Length of a body: a quarter of `max-body-bytes`.
const BODY: usize = 16_777_216;
/// Rates of the link between two regions, 30 Mbit/s, and of a machine's own link, 1,000 Mbit/s, in bytes per millisecond.
const REGION_RATE: usize = 3_750;
const OWN_RATE: usize = 125_000;
/// Time-out of the route, and time after it by which a request must have an answer.
const TIMEOUT: Duration = Duration::from_millis(8_000);
const SLACK: Duration = Duration::from_millis(500);
/// Callers, one after the other, as they share the link. Each tries again once if its connection ends without an answer.
const CALLERS: usize = 6;
const TRIES: usize = 2;

struct Case {
    machines: Vec<Arc<Machine>>,
    backends: Vec<Upstream>,
    record: Record,
}

/// How a try ended.
struct Try {
    id: String,
    /// Time until the answer and its status.
    answer: Option<(Duration, u16)>,
}

pub fn run(folder: &Path, has_trouble: bool) -> Outcome {
    let temp = std::env::temp_dir().join(format!("review-slow-bodies-{}", std::process::id()));
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
        "routes": [{"name": "permit-filing", "host": "jepu9.example", "path-prefix": "/puka111/",
                    "kind": "non_idempotent", "timeout": "8000ms", "target-latency": "2500ms",
                    "priority": 0, "service": "wuno96b", "attempts": 2}],
        "services": [{"name": "wuno96b", "health-check-path": "/health", "connection-limit": 110}],
        "limits": {"max-header-bytes": 16_384, "max-body-bytes": 67_108_864,
                   "header-timeout": "3000ms", "idle-timeout": "15000ms"},
    }));
    let backends: Vec<Upstream> = (0..4)
        .map(|number| {
            let spec = Spec {
                id: format!("i-{number:04x}"),
                service: "wuno96b".to_owned(),
                zone: "leon-a".to_owned(),
                slots: 6,
                is_sharded: false,
                work: Duration::from_millis(150),
            };
            Upstream::start(platform::own_ip(10 + number), spec, &store, &record)
        })
        .collect();
    let deployment = Deployment {
        store: store.addr,
        memory_mb: 260,
        first_start: true,
        folder: temp.clone(),
        logs: std::env::var_os("LOGS").is_some(),
        check_interval: Duration::from_millis(20),
    };
    let machines: Vec<Arc<Machine>> =
        (0..2).map(|number| Machine::new(50 + number, "leon-a", &deployment, &record)).collect();
    let seeds: Vec<_> = machines.iter().map(|machine| machine.peers).collect();
    let zones = json!({"leon-a": "bajio-norte"});
    for machine in &machines {
        machine.start("leon-a", &zones, &seeds);
    }
    let case = Case { machines, backends, record };
    let outcome = play(&case, has_trouble);
    for machine in &case.machines {
        machine.end();
    }
    if !deployment.logs {
        let _ = std::fs::remove_dir_all(&temp);
    }
    outcome
}

fn play(case: &Case, has_trouble: bool) -> Outcome {
    if !platform::wait_ready(&case.machines, Duration::from_secs(20)) {
        return Outcome::NotRun("the machines are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(6));
    let rate = if has_trouble { REGION_RATE } else { OWN_RATE };
    case.record.say(&format!(
        "{CALLERS} callers send orders of {BODY} bytes at {} Mbit/s",
        rate * 8 / 1_000
    ));
    let mut tries = Vec::new();
    for caller in 0..CALLERS {
        for attempt in 0..TRIES {
            let ended = case.send(caller, attempt, rate);
            let has_answer = ended.answer.is_some();
            tries.push(ended);
            if has_answer {
                break;
            }
        }
    }
    let is_late = |ended: &&Try, limit: Duration| ended.answer.is_none_or(|(at, _)| at > limit);
    let late: Vec<&Try> = tries.iter().filter(|ended| is_late(ended, TIMEOUT)).collect();
    let unanswered = late.iter().filter(|ended| is_late(ended, TIMEOUT + SLACK)).count();
    let served =
        tries.iter().filter(|ended| ended.answer.is_some_and(|(_, status)| status == 200)).count();
    for ended in &late {
        let runs: u32 = case.backends.iter().map(|backend| backend.runs(&ended.id)).sum();
        case.record.line(&format!("late: {} began to run {runs} times", ended.id));
    }
    case.record.say(&format!(
        "{} requests, {served} answered with success; {} had no answer at the route's time-out, {unanswered} of these none 0.5 s later",
        tries.len(),
        late.len()
    ));
    if unanswered * 2 > late.len() && unanswered >= 8 {
        case.record.say("CONFIG is broken");
        return Outcome::Broken;
    }
    case.record.say("CONFIG holds");
    Outcome::Held
}

impl Case {
    /// Sends an order at a steady rate and waits for its answer, until the route's time-out has passed by far or the
    /// connection ends.
    fn send(&self, caller: usize, attempt: usize, rate: usize) -> Try {
        let id = format!("{:016x}", 0x7a10_0000_0000_0000_u64 + (caller * 16 + attempt) as u64);
        let head = format!(
            "PUT /puka111/{id} HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Milliseconds: 15000\r\nContent-Length: {BODY}\r\n\r\n"
        );
        let machine = &self.machines[(caller + attempt) % self.machines.len()];
        self.record.line(&format!(
            "{id} is sent to {}: the head at once, the body at {} Mbit/s",
            machine.name,
            rate * 8 / 1_000
        ));
        let started = Instant::now();
        let answer = http::connect(machine.callers).ok().and_then(|mut conn| {
            let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(10)));
            conn.stream.write_all(head.as_bytes()).ok()?;
            let chunk = vec![b'x'; rate * 10];
            let mut sent = 0;
            while sent < BODY {
                let count = chunk.len().min(BODY - sent);
                if let Err(e) = conn.stream.write_all(&chunk[..count]) {
                    let at = started.elapsed().as_millis();
                    self.record.line(&format!(
                        "{id}: its connection ended after {at} ms, with {sent} bytes sent: {e}"
                    ));
                    return conn.read().ok().flatten();
                }
                sent += count;
                let due = started + Duration::from_millis((sent / rate) as u64);
                thread::sleep(due.saturating_duration_since(Instant::now()));
            }
            conn.read().ok().flatten()
        });
        let took = started.elapsed();
        let status = answer.as_ref().map_or(0, Message::status);
        self.record
            .line(&format!("{id}: status {status} after {} ms (0: no answer)", took.as_millis()));
        Try { id, answer: answer.map(|answer| (took, answer.status())) }
    }
}
