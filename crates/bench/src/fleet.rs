//! A fleet under measurement: daemons on loopback, with stand-ins for the platform and the upstreams.

use crate::errors::BenchError;
use crate::sample;
use http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use skylarkdock_admin::envelope::{NoParams, Request, Response};
use skylarkdock_admin::hosts::{HostRow, HostState};
use skylarkdock_admin::methods;
use skylarkdock_admin::records::{PublishParams, RecordRow};
use skylarkdock_admin::status::Status;
use skylarkdock_admin::verdict::Verdict;
use skylarkdock_standins::client::{self, Client};
use skylarkdock_standins::log::service::LogStats;
use skylarkdock_standins::process::{Launch, Process};
use skylarkdock_units::ids::Offset;
use skylarkdock_units::requests::RecordId;
use skylarkdock_units::times::Millis;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};
use uuid::Uuid;

const ANY_PORT: &str = "127.0.0.1:0";
const SECRET: &str = "secret-of-the-measured-fleet";
const ZONES: [(&str, &str); 7] = [
    ("norte-a", "bajio-norte"),
    ("sur-a", "bajio-sur"),
    ("centro-a", "bajio-centro"),
    ("norte-b", "bajio-norte"),
    ("sur-b", "bajio-sur"),
    ("centro-b", "bajio-centro"),
    ("norte-c", "bajio-norte"),
];
const VERDICT_WAIT: Millis = Millis(15_000);
const WAIT_LIMIT: Duration = Duration::from_secs(75);
const POLL_INTERVAL: Duration = Duration::from_millis(200);
const MAX_RECORDS_PER_READ: u64 = 10_000;

/// Size of a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Size {
    /// Number of entry hosts.
    pub hosts: usize,
    /// Total number of ranges over all services.
    pub ranges: u32,
    /// Number of services; each has its own record.
    pub services: u32,
    /// Total number of upstreams over all services.
    pub upstreams: u32,
}

/// A running daemon and its addresses.
pub struct Daemon {
    process: Process,
    index: usize,
    peer: SocketAddr,
    http: SocketAddr,
}

impl Daemon {
    /// Returns the process id of the daemon.
    pub fn id(&self) -> u32 {
        self.process.id()
    }
}

/// The running daemons, stand-in upstreams, log and host list of one measurement.
pub struct Fleet {
    size: Size,
    programs: PathBuf,
    client: Client,
    log: Process,
    list: Process,
    upstreams: Vec<Process>,
    daemons: Vec<Daemon>,
    ids: fastrand::Rng,
}

impl Fleet {
    /// Starts the processes, publishes the records and waits until the daemons hold all ranges.
    ///
    /// # Errors
    /// Fails when a process does not start, a record is not accepted or the ranges are not held in time.
    pub fn serve(programs: PathBuf, size: Size) -> Result<Self, BenchError> {
        let client = Client::start()
            .map_err(|source| BenchError::System { action: "start a thread", source })?;
        let standin = |args: &[&str]| {
            let launch = Launch::new(programs.join("skylarkdock-standin")).discard_stderr();
            launch.args(args).start()
        };
        let log = standin(&["log", "--listen", ANY_PORT])?;
        let list = standin(&["hosts", "--listen", ANY_PORT])?;
        let mut upstreams = Vec::new();
        for index in 0..size.upstreams {
            let (service, id) = (service_name(size, index), format!("u{index}"));
            let args = ["upstream", "--listen", ANY_PORT, "--service", &service, "--id", &id];
            upstreams.push(standin(&args)?);
        }
        let ids = fastrand::Rng::new();
        let daemons = Vec::new();
        let mut fleet = Self { size, programs, client, log, list, upstreams, daemons, ids };
        for index in 0..size.hosts {
            let daemon = fleet.launch(index, [ANY_PORT.to_owned(), ANY_PORT.to_owned()])?;
            fleet.daemons.push(daemon);
        }
        fleet.write_host_list()?;
        fleet.wait_hosts_live()?;
        for service in 0..size.services {
            fleet.publish(service, 0, 5_000)?;
        }
        fleet.wait_held()?;
        Ok(fleet)
    }

    /// Returns the daemons.
    pub fn daemons(&self) -> &[Daemon] {
        &self.daemons
    }

    /// Returns the process ids of the log, the host list and the upstreams.
    pub fn standins(&self) -> (u32, u32, Vec<u32>) {
        (self.log.id(), self.list.id(), self.upstreams.iter().map(Process::id).collect())
    }

    /// Returns the text of a daemon's metrics.
    ///
    /// # Errors
    /// Fails when the call fails or its response can't be read.
    pub fn metrics(&self, daemon: &Daemon) -> Result<String, BenchError> {
        self.text(daemon.http, "/metrics")
    }

    /// Returns the append and read counters of the stand-in log.
    ///
    /// # Errors
    /// Fails when the call fails or its response can't be read.
    pub fn log_stats(&self) -> Result<LogStats, BenchError> {
        Ok(serde_json::from_str(&self.text(self.log.address(), "/_standin/stats")?)?)
    }

    /// Returns all records of the log.
    ///
    /// # Errors
    /// Fails when the call fails or its response can't be read.
    pub fn records(&self) -> Result<Vec<(Offset, String)>, BenchError> {
        let mut records = Vec::new();
        let mut from = 1;
        loop {
            let path = format!("/read?from={from}&max={MAX_RECORDS_PER_READ}&wait_ms=0");
            let page: Value = serde_json::from_str(&self.text(self.log.address(), &path)?)?;
            let found = page["records"].as_array().cloned().unwrap_or_default();
            if found.is_empty() {
                return Ok(records);
            }
            for record in found {
                let offset = record["offset"].as_u64().unwrap_or(0);
                from = offset + 1;
                let text = record["record"].as_str().unwrap_or_default().to_owned();
                records.push((Offset(offset), text));
            }
        }
    }

    /// Publishes a service's record with the given deadline.
    ///
    /// # Errors
    /// Fails when it is not accepted.
    pub fn publish(
        &mut self,
        service: u32,
        position: usize,
        deadline_ms: u64,
    ) -> Result<(), BenchError> {
        let name = format!("s{service}");
        let rows: Vec<RecordRow> = self.call(position, methods::RECORDS, NoParams {})?;
        let row = rows.into_iter().find(|row| row.service.as_str() == name);
        let params = PublishParams {
            record: self.record(service, deadline_ms),
            basis: row.map_or(Offset(0), |row| row.revision),
            by: "bench".to_owned(),
            id: RecordId(Uuid::from_u128(self.ids.u128(..))),
            wait_ms: VERDICT_WAIT,
        };
        match self.call(position, methods::PUBLISH, params)? {
            Verdict::Accepted { .. } => Ok(()),
            _ => Err(BenchError::RecordNotAccepted),
        }
    }

    /// Kills a daemon and restarts it on the same addresses.
    ///
    /// # Errors
    /// Fails when it does not start.
    pub fn restart(&mut self, position: usize) -> Result<(), BenchError> {
        let old = self.daemons.remove(position);
        let (index, addresses) = (old.index, [old.peer.to_string(), old.http.to_string()]);
        drop(old);
        let daemon = self.launch(index, addresses)?;
        self.daemons.insert(position, daemon);
        Ok(())
    }

    /// Waits until the daemons hold all ranges.
    ///
    /// # Errors
    /// Fails when they don't within `WAIT_LIMIT`.
    pub fn wait_held(&self) -> Result<(), BenchError> {
        let mut matching_polls = 0;
        wait_until("all ranges are held", || {
            let mut held = 0.0;
            for daemon in &self.daemons {
                held += sample::metric(&self.metrics(daemon)?, "skylarkdock_ranges_held");
            }
            // The gauges lag, so the sum must match in several polls in a row.
            matching_polls = if held as u32 == self.size.ranges { matching_polls + 1 } else { 0 };
            Ok(matching_polls >= 8)
        })
    }

    fn wait_hosts_live(&self) -> Result<(), BenchError> {
        wait_until("all hosts see each other as live and reach the log", || {
            for position in 0..self.daemons.len() {
                let rows: Vec<HostRow> = self.call(position, methods::HOSTS, NoParams {})?;
                let live = rows.iter().filter(|row| row.state == HostState::Live).count();
                let status: Status = self.call(position, methods::STATUS, NoParams {})?;
                if live + 1 < self.daemons.len() || !status.log_reachable {
                    return Ok(false);
                }
            }
            Ok(true)
        })
    }

    fn call<P: Serialize, R: DeserializeOwned>(
        &self,
        position: usize,
        method: &str,
        params: P,
    ) -> Result<R, BenchError> {
        let call = serde_json::to_vec(&Request::new(1, method, params))?;
        let text =
            self.exchange(self.daemons[position].http, Method::POST, methods::RPC_PATH, call)?;
        let res: Response<R> = serde_json::from_slice(&text)?;
        Ok(res.into_result()?)
    }

    fn text(&self, addr: SocketAddr, path: &str) -> Result<String, BenchError> {
        let bytes = self.exchange(addr, Method::GET, path, Vec::new())?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }

    fn exchange(
        &self,
        addr: SocketAddr,
        method: Method,
        path: &str,
        content: Vec<u8>,
    ) -> Result<Vec<u8>, BenchError> {
        let req = client::request(method, path, content);
        Ok(self.client.begin(addr, req).wait()?.into_body().to_vec())
    }

    fn launch(&self, index: usize, addresses: [String; 2]) -> Result<Daemon, BenchError> {
        let (zone, region) = ZONES[index % ZONES.len()];
        let (log, list) = (self.log.address().to_string(), self.list.address().to_string());
        let launch = Launch::new(self.programs.join("skylarkdockd")).discard_stderr();
        let launch = launch
            .args(["--host-id", &host_id(index), "--zone", zone, "--region", region])
            .args([
                "--secret",
                SECRET,
                "--peer-listen",
                &addresses[0],
                "--http-listen",
                &addresses[1],
            ])
            .args(["--log", &log, "--host-list", &list, "--log-level", "error"]);
        let process = launch.start()?;
        let peer = process
            .address_with_label("peer")
            .ok_or(BenchError::Timeout("a host prints its peer address"))?;
        Ok(Daemon { http: process.address(), process, index, peer })
    }

    fn write_host_list(&self) -> Result<(), BenchError> {
        let row = |daemon: &Daemon| {
            let (zone, region) = ZONES[daemon.index % ZONES.len()];
            json!({"id": host_id(daemon.index), "zone": zone, "region": region,
                   "peer": daemon.peer, "http": daemon.http, "leaving": false})
        };
        let rows: Vec<Value> = self.daemons.iter().map(row).collect();
        let list = serde_json::to_vec(&json!({ "hosts": rows }))?;
        self.exchange(self.list.address(), Method::PUT, "/_standin/hosts", list)?;
        Ok(())
    }

    fn record(&self, service: u32, deadline_ms: u64) -> Value {
        let name = format!("s{service}");
        let own = (0..self.size.upstreams).filter(|index| service_name(self.size, *index) == name);
        let upstream = |index: u32| {
            let (zone, _) = ZONES[index as usize % ZONES.len()];
            json!({"id": format!("u{index}"), "address": self.upstreams[index as usize].address(),
                   "zone": zone, "slots": 6, "connections": 400, "checks_orders": true})
        };
        json!({"schema": 2, "service": name, "ranges": self.size.ranges / self.size.services,
               "deadline_ms": deadline_ms, "on_cut": "move", "operations": [],
               "upstreams": own.map(upstream).collect::<Vec<_>>()})
    }
}

fn service_name(size: Size, upstream: u32) -> String {
    format!("s{}", upstream % size.services)
}

fn host_id(index: usize) -> String {
    format!("host-{index}")
}

/// Polls until a condition holds; an error counts as a condition that does not hold yet.
fn wait_until(
    condition: &'static str,
    mut check: impl FnMut() -> Result<bool, BenchError>,
) -> Result<(), BenchError> {
    let end = Instant::now() + WAIT_LIMIT;
    while !matches!(check(), Ok(true)) {
        if Instant::now() >= end {
            return Err(BenchError::Timeout(condition));
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
