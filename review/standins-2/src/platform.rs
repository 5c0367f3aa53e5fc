//! Stand-in of the platform: settings, processes, the memory limit, readiness checks and the choice of a host.

use crate::http;
use crate::record::Record;
use serde_json::{Value, json};
use std::fs;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Command of the role in the deploy file.
const PROGRAM: &str = "target/release/skylarkdock-host";
/// Delay after which a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Returns a loopback address that other processes of this kind hardly use.
pub fn own_ip(number: u8) -> Ipv4Addr {
    let pid = std::process::id();
    let low = u8::try_from(pid % 240).unwrap_or(1) + 2;
    let high = u8::try_from(pid / 240 % 60).unwrap_or(1) + 130;
    Ipv4Addr::new(127, high, number, low)
}

/// Settings that a deployment has for all its machines.
#[derive(Clone)]
pub struct Deployment {
    pub store: SocketAddr,
    pub memory_mb: u64,
    pub first_start: bool,
    pub folder: PathBuf,
    pub logs: bool,
    /// Time between two checks of a process.
    pub check_interval: Duration,
}

/// A machine with the role of the deploy file.
pub struct Machine {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
    deployment: Deployment,
    record: Record,
    child: Mutex<Option<Child>>,
    is_over: AtomicBool,
    misses: AtomicU32,
    /// Largest resident memory in kB.
    pub peak_kb: AtomicU64,
    pub killed_for_memory: AtomicU32,
    pub own_ends: AtomicU32,
}

impl Machine {
    /// Prepares a machine with addresses of its own. `zone` has the region `r1`.
    pub fn new(number: u8, zone: &str, deployment: &Deployment, record: &Record) -> Arc<Self> {
        let ip = own_ip(number);
        let listeners =
            [0; 3].map(|port| TcpListener::bind((IpAddr::V4(ip), port)).expect("a port"));
        let [callers, readiness, peers] = listeners.map(|l| l.local_addr().expect("an address"));
        Arc::new(Self {
            name: format!("front-{zone}-{number}"),
            callers,
            readiness,
            peers,
            settings: deployment.folder.join(format!("boot-{number}.json")),
            deployment: deployment.clone(),
            record: record.clone(),
            child: Mutex::default(),
            is_over: AtomicBool::default(),
            misses: AtomicU32::new(2),
            peak_kb: AtomicU64::default(),
            killed_for_memory: AtomicU32::default(),
            own_ends: AtomicU32::default(),
        })
    }

    /// Writes the settings file as `deploy/host.json.template` has it, and starts the process and the checks of it.
    pub fn start(self: &Arc<Self>, zone: &str, zones: &Value, seeds: &[SocketAddr]) {
        let settings = json!({
            "host": self.name, "zone": zone, "region": zones[zone], "cpu_share": 0.2,
            "descriptors": 4100, "zones": zones, "callers": self.callers,
            "readiness": self.readiness, "peers": self.peers, "seeds": seeds,
            "store": self.deployment.store, "record_bytes": 262_144, "heartbeat": "870ms",
            "grace": "6s", "apply_time": "2000ms", "drain_time": "2000ms",
            "first_start": self.deployment.first_start, "max_hold": "10000ms",
            "repeat_ratio": 0.2, "repeat_constant": 56, "repeat_window": "10s",
        });
        fs::write(&self.settings, settings.to_string()).expect("the settings file");
        self.spawn();
        for check in [Self::watch_process, Self::check_readiness] {
            let machine = Arc::clone(self);
            thread::spawn(move || check(&machine));
        }
    }

    fn spawn(&self) {
        let logs = || match fs::File::options()
            .create(true)
            .append(true)
            .open(self.deployment.folder.join(format!("{}.log", self.name)))
        {
            Ok(file) if self.deployment.logs => Stdio::from(file),
            _ => Stdio::null(),
        };
        let child = Command::new(PROGRAM)
            .env("SKYLARKDOCK_BOOT", &self.settings)
            .stdout(logs())
            .stderr(logs())
            .spawn()
            .expect("the program of the deploy file");
        self.record.line(&format!("platform starts {} as process {}", self.name, child.id()));
        *self.child.lock().expect("the process") = Some(child);
    }

    /// Renders the settings for a start that is not the first one of the whole system.
    fn set_restarted(&self) {
        let text = fs::read_to_string(&self.settings).unwrap_or_default();
        if let Ok(mut settings) = serde_json::from_str::<Value>(&text) {
            settings["first_start"] = json!(false);
            let _ = fs::write(&self.settings, settings.to_string());
        }
    }

    /// Kills the process for good, as if its machine was lost.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        if let Some(mut child) = self.child.lock().expect("the process").take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Kills the process once it has more memory than its machine, and starts it again after each end.
    fn watch_process(self: &Arc<Self>) {
        while !self.is_over.load(Ordering::SeqCst) {
            thread::sleep(self.deployment.check_interval);
            let mut child = self.child.lock().expect("the process");
            let Some(process) = child.as_mut() else { continue };
            if let Some(kb) = resident_kb(process.id()) {
                self.peak_kb.fetch_max(kb, Ordering::SeqCst);
                if kb > self.deployment.memory_mb * 1024 {
                    let _ = process.kill();
                    self.killed_for_memory.fetch_add(1, Ordering::SeqCst);
                    let (name, limit) = (&self.name, self.deployment.memory_mb);
                    self.record.say(&format!(
                        "platform kills {name}: it has {} MB of memory, the limit is {limit} MB",
                        kb / 1024
                    ));
                }
            }
            if let Ok(Some(status)) = process.try_wait() {
                *child = None;
                drop(child);
                self.own_ends.fetch_add(1, Ordering::SeqCst);
                self.record.say(&format!("{} has ended: {status}", self.name));
                thread::sleep(RESTART_DELAY);
                if !self.is_over.load(Ordering::SeqCst) {
                    self.set_restarted();
                    self.spawn();
                }
            }
        }
    }

    fn check_readiness(self: &Arc<Self>) {
        while !self.is_over.load(Ordering::SeqCst) {
            if self.asks_ready() {
                self.misses.store(0, Ordering::SeqCst);
            } else {
                self.misses.fetch_add(1, Ordering::SeqCst);
            }
            thread::sleep(Duration::from_secs(1));
        }
    }

    fn asks_ready(&self) -> bool {
        let Ok(mut conn) = http::connect(self.readiness) else { return false };
        let _ = conn.stream.set_read_timeout(Some(Duration::from_millis(900)));
        let req = format!(
            "GET /api/readiness HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n",
            self.readiness
        );
        conn.stream.write_all(req.as_bytes()).is_ok()
            && matches!(conn.read(), Ok(Some(answer)) if answer.status() == 200)
    }

    /// Returns whether new connections of callers go to the machine.
    pub fn is_in_rotation(&self) -> bool {
        self.misses.load(Ordering::SeqCst) < 2
    }
}

/// Returns the resident memory of a process in kB.
pub fn resident_kb(pid: u32) -> Option<u64> {
    let text = fs::read_to_string(Path::new("/proc").join(pid.to_string()).join("status")).ok()?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Waits until all machines are in rotation. Returns false if that takes longer than `limit`.
pub fn wait_ready(machines: &[Arc<Machine>], limit: Duration) -> bool {
    let until = std::time::Instant::now() + limit;
    while !machines.iter().all(|machine| machine.is_in_rotation()) {
        if std::time::Instant::now() > until {
            return false;
        }
        thread::sleep(Duration::from_millis(50));
    }
    true
}
