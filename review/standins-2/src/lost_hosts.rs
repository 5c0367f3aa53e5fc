//! Most machines are lost for good. Then a backend crashes with a read in flight, and callers ask for the same again.

use crate::Outcome;
use crate::http::{self, Message};
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

/// Machines, about as many as the grown deployments have.
const MACHINES: u8 = 80;
const BACKENDS: u8 = 9;
/// Backends that crash, one after the other, each as long after the one before.
const CRASHES: usize = 3;
/// Time-out of the route, and time after it by which a request must have an answer.
const TIMEOUT: Duration = Duration::from_millis(2_000);
const SLACK: Duration = Duration::from_millis(500);
/// Time for which a caller waits.
const DEADLINE: Duration = Duration::from_millis(4_000);
/// Time after which the entry of a crashed backend lapses: three heartbeats.
const ENTRY_LIFETIME: Duration = Duration::from_millis(2_610);
/// Time after the loss of the machines, in which the survivor takes over.
const TAKEOVER_TIME: Duration = Duration::from_secs(25);
/// Time after a crash from which callers ask for the same again, once a second.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(5_500);
const ASKS: usize = 10;

/// A request of a caller, and how it ended.
struct Asked {
    id: String,
    path: String,
    /// Time until the answer and its status.
    answer: Option<(Duration, u16)>,
}

struct Case {
    survivor: Arc<Machine>,
    backends: Vec<Upstream>,
    store: Store,
    record: Record,
    is_over: AtomicBool,
    next_id: AtomicU32,
    asked: Mutex<Vec<Asked>>,
}

pub fn run(folder: &Path, has_trouble: bool) -> Outcome {
    let temp = std::env::temp_dir().join(format!("review-lost-hosts-{}", std::process::id()));
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
        "routes": [{"name": "video-log-read", "host": "hulo84.example", "path-prefix": "/leny950/",
                    "kind": "idempotent", "timeout": "2000ms", "target-latency": "600ms",
                    "priority": 2, "service": "huvo11a", "attempts": 2}],
        "services": [{"name": "huvo11a", "health-check-path": "/health", "connection-limit": 530,
                      "sharded": true, "warm-up": "3s", "grants": "direct_call"}],
        "limits": {"max-header-bytes": 16_384, "max-body-bytes": 67_108_864,
                   "header-timeout": "3000ms", "idle-timeout": "15000ms"},
    }));
    let backends: Vec<Upstream> = (0..BACKENDS)
        .map(|number| {
            let spec = Spec {
                id: format!("i-{number:04x}"),
                service: "huvo11a".to_owned(),
                zone: "leon-a".to_owned(),
                slots: 6,
                is_sharded: true,
                work: Duration::from_millis(220),
            };
            Upstream::start(platform::own_ip(2 + number), spec, &store, &record)
        })
        .collect();
    let deployment = Deployment {
        store: store.addr,
        memory_mb: 512,
        first_start: true,
        folder: temp.clone(),
        logs: std::env::var_os("LOGS").is_some(),
        check_interval: Duration::from_millis(200),
    };
    let zones = json!({"leon-a": "bajio-norte", "leon-b": "bajio-norte"});
    let zone_of = |number: u8| if number.is_multiple_of(2) { "leon-a" } else { "leon-b" };
    let machines: Vec<Arc<Machine>> = (0..MACHINES)
        .map(|number| Machine::new(20 + number, zone_of(number), &deployment, &record))
        .collect();
    let seeds: Vec<_> = machines.iter().take(3).map(|machine| machine.peers).collect();
    for (number, machine) in (0..MACHINES).zip(&machines) {
        machine.start(zone_of(number), &zones, &seeds);
    }
    let case = Arc::new(Case {
        survivor: Arc::clone(&machines[10]),
        backends,
        store,
        record,
        is_over: AtomicBool::default(),
        next_id: AtomicU32::default(),
        asked: Mutex::default(),
    });
    let outcome = play(&case, &machines, has_trouble);
    for machine in &machines {
        machine.end();
    }
    if !deployment.logs {
        let _ = std::fs::remove_dir_all(&temp);
    }
    outcome
}

fn play(case: &Arc<Case>, machines: &[Arc<Machine>], has_trouble: bool) -> Outcome {
    if !platform::wait_ready(machines, Duration::from_secs(30)) {
        return Outcome::NotRun("the machines are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(8));
    if has_trouble {
        case.record.say(&format!(
            "{} of {} machines are lost for good",
            machines.len() - 1,
            machines.len()
        ));
        for machine in machines.iter().filter(|machine| machine.name != case.survivor.name) {
            machine.end();
        }
    }
    thread::sleep(TAKEOVER_TIME);
    // Other callers, whose requests show whether the keys are served.
    let others = {
        let case = Arc::clone(case);
        thread::spawn(move || {
            let mut number: u32 = 0;
            while !case.is_over.load(Ordering::SeqCst) {
                number += 1;
                let key = u16::try_from(number * 7_919 % 65_536).unwrap_or(0);
                case.ask(&format!("/leny950/other-{number}"), key);
                thread::sleep(Duration::from_millis(150));
            }
        })
    };
    thread::sleep(Duration::from_secs(2));
    for round in 0..CRASHES {
        let key = u16::try_from(9_000 + round * 20_000).unwrap_or(0);
        if let Err(reason) = crash_and_ask(case, round, key, has_trouble) {
            case.is_over.store(true, Ordering::SeqCst);
            return Outcome::NotRun(reason);
        }
    }
    case.is_over.store(true, Ordering::SeqCst);
    let _ = others.join();
    judge(case)
}

/// Crashes the backend that runs a read. Its caller, and others, ask for the same afterwards.
fn crash_and_ask(
    case: &Arc<Case>,
    round: usize,
    key: u16,
    has_trouble: bool,
) -> Result<(), String> {
    let path = format!("/leny950/footage-a{round}");
    let first = {
        let (case, path) = (Arc::clone(case), path.clone());
        thread::spawn(move || case.ask_with_retries(&path, key))
    };
    let until = Instant::now() + Duration::from_secs(2);
    let owner = loop {
        let running = case.backends.iter().find(|backend| backend.runs(&path) > 0);
        if let Some(backend) = running {
            break backend;
        }
        if Instant::now() > until {
            return Err(format!("{path} reached no backend"));
        }
        thread::sleep(Duration::from_millis(2));
    };
    let crashed_at = Instant::now();
    if has_trouble {
        case.record.say(&format!("{} crashes while it runs {path}", owner.spec.id));
        owner.crash();
        let (store, id) = (case.store.clone(), owner.spec.id.clone());
        thread::spawn(move || {
            thread::sleep(ENTRY_LIFETIME);
            store.remove("keyed.servers", &id);
        });
    }
    let _ = first.join();
    thread::sleep(ASK_AGAIN_AFTER.saturating_sub(crashed_at.elapsed()));
    let callers: Vec<_> = (0..ASKS)
        .map(|_| {
            let (own, path) = (Arc::clone(case), path.clone());
            let caller = thread::spawn(move || own.ask(&path, key));
            thread::sleep(Duration::from_secs(1));
            caller
        })
        .collect();
    for caller in callers {
        let _ = caller.join();
    }
    Ok(())
}

fn judge(case: &Case) -> Outcome {
    let asked = case.asked.lock().expect("the list");
    let is_late = |asked: &&Asked, limit: Duration| asked.answer.is_none_or(|(at, _)| at > limit);
    let late: Vec<&Asked> = asked.iter().filter(|asked| is_late(asked, TIMEOUT)).collect();
    let unanswered = late.iter().filter(|asked| is_late(asked, TIMEOUT + SLACK)).count();
    for request in &late {
        let end = match request.answer {
            Some((at, status)) => format!("answered {status} after {} ms", at.as_millis()),
            None => format!("no answer in {} ms", DEADLINE.as_millis()),
        };
        case.record.line(&format!("late: {} {}: {end}", request.id, request.path));
    }
    let of_others = asked.iter().filter(|asked| asked.path.contains("other"));
    let served =
        of_others.clone().filter(|asked| asked.answer.is_some_and(|(_, status)| status == 200));
    case.record.say(&format!(
        "{} of {} other requests were answered with success",
        served.count(),
        of_others.count()
    ));
    let reads = asked.iter().filter(|asked| asked.path.contains("footage")).count();
    case.record.say(&format!(
        "{reads} requests for what was in flight at a crash; of all, {} had no answer at the route's time-out, {unanswered} of these none 0.5 s later",
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
    /// Asks, and asks again twice at most within the deadline, as callers do after a failure.
    fn ask_with_retries(&self, path: &str, key: u16) {
        let started = Instant::now();
        for _ in 0..3 {
            let pause = match self.ask(path, key) {
                Some(answer) if answer.status() == 200 => return,
                Some(answer) => {
                    let seconds = answer.header("retry-after").and_then(|text| text.parse().ok());
                    Duration::from_secs_f64(seconds.unwrap_or(0.1))
                }
                None => Duration::from_millis(100),
            };
            let left = DEADLINE.saturating_sub(started.elapsed());
            if left.is_zero() {
                return;
            }
            thread::sleep(pause.min(left / 3));
        }
    }

    /// Sends a request over a new connection and waits for its answer.
    fn ask(&self, path: &str, key: u16) -> Option<Message> {
        let number = self.next_id.fetch_add(1, Ordering::SeqCst);
        let id = format!("{:016x}", 0x56f6_0000_0000_0000_u64 + u64::from(number));
        let head = format!(
            "GET {path} HTTP/1.1\r\nHost: hulo84.example\r\nX-Request-Id: {id}\r\nX-Shard-Key: {key}\r\n\
             X-Deadline-Milliseconds: {}\r\n\r\n",
            DEADLINE.as_millis()
        );
        self.record.line(&format!("{id} is sent: GET {path}, key {key}"));
        let started = Instant::now();
        let answer = http::connect(self.survivor.callers).ok().and_then(|mut conn| {
            let _ = conn.stream.set_read_timeout(Some(DEADLINE));
            conn.stream.write_all(head.as_bytes()).ok()?;
            conn.read().ok().flatten()
        });
        let took = started.elapsed();
        match &answer {
            Some(answer) => self.record.line(&format!(
                "{id} is answered {} after {} ms",
                answer.status(),
                took.as_millis()
            )),
            None => self.record.line(&format!("{id} has no answer after {} ms", took.as_millis())),
        }
        let end = answer.as_ref().map(|answer| (took, answer.status()));
        self.asked.lock().expect("the list").push(Asked { id, path: path.to_owned(), answer: end });
        answer
    }
}
