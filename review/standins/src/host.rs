//! Entry hosts: the project's program as separate processes, with settings like those of `deploy/host.json.template`.

use crate::http::{self, Answer};
use crate::record::Record;
use serde_json::json;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// The program of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/skylarkdock-host";

/// Loopback addresses of a case; each one is used by one process or stand-in.
pub struct Addresses {
    base: u32,
    next: u8,
}

impl Addresses {
    pub fn new() -> Self {
        Self { base: std::process::id(), next: 1 }
    }

    /// Returns a loopback address that nothing of this case uses.
    pub fn ip(&mut self) -> Ipv4Addr {
        self.next += 1;
        let [_, _, high, low] = self.base.to_be_bytes();
        Ipv4Addr::new(127, 16 + high % 200, low, self.next)
    }

    pub fn any_port(&mut self) -> SocketAddr {
        (self.ip(), 0).into()
    }
}

pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
}

pub struct Place<'a> {
    pub zone: &'a str,
    pub region: &'a str,
}

impl Host {
    /// Prepares a host, which is not started yet.
    pub fn new(name: &str, addresses: &mut Addresses, record: &Record, zone: &str) -> Self {
        let ip = addresses.ip();
        let listeners = [0; 3].map(|port| TcpListener::bind((ip, port)).expect("a free port"));
        let [callers, ready, peers] =
            listeners.each_ref().map(|l| l.local_addr().expect("an address"));
        drop(listeners);
        let folder = folder();
        record.line(&format!("{name}: of zone {zone}, at {callers}"));
        Self {
            name: name.to_owned(),
            callers,
            ready,
            peers,
            settings: folder.join(format!("{name}.json")),
            log: folder.join(format!("{name}.log")),
            child: None,
            record: record.clone(),
        }
    }

    pub fn configure(
        &self,
        place: &Place<'_>,
        seeds: &[SocketAddr],
        store: SocketAddr,
        zones: &serde_json::Value,
    ) {
        let text = json!({
            "host": self.name, "zone": place.zone, "region": place.region, "cpu_share": 0.2, "descriptors": 4100,
            "zones": zones, "callers": self.callers, "readiness": self.ready, "peers": self.peers, "seeds": seeds,
            "store": store, "record_bytes": 262_144, "heartbeat": "870ms", "grace": "6s", "apply_time": "2000ms",
            "drain_time": "2000ms", "max_hold": "10000ms", "repeat_ratio": 0.2, "repeat_constant": 56,
            "repeat_window": "10s",
        });
        std::fs::write(&self.settings, text.to_string()).expect("the settings can be written");
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let child = Command::new(PROGRAM)
            .env("SKYLARKDOCK_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(e) => {
                eprintln!("can't start {PROGRAM}: {e}");
                std::process::exit(2);
            }
        }
        self.record.line(&format!("{}: started", self.name));
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("{}: killed", self.name));
        }
    }

    pub fn is_ready(&self) -> bool {
        let head = "GET /api/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        http::call(self.ready, head, &[], Duration::from_secs(1))
            .is_some_and(|answer| answer.status == 200)
    }

    /// Sends a request as a client does, on a new connection.
    pub fn request(
        &self,
        method: &str,
        path: &str,
        id: &str,
        key: Option<u16>,
        body: &[u8],
    ) -> Option<Answer> {
        let key = key.map(|key| format!("X-Shard-Key: {key}\r\n")).unwrap_or_default();
        let length = if method == "GET" {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", body.len())
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\nX-Deadline-Milliseconds: 4000\r\n{key}{length}\r\n"
        );
        http::call(self.callers, &head, body, Duration::from_secs(5))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a temporary folder of this process.
pub fn folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("skylarkdock-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}
