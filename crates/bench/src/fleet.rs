//! Daemons with stand-ins of the platform and of upstreams, straight on loopback.

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

const ANY: &str = "127.0.0.1:0";
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
const VERDICT_WAIT_MS: Millis = Millis(15_000);
const WAIT_LIMIT: Duration = Duration::from_secs(75);
const POLL: Duration = Duration::from_millis(200);
const READ_RECORDS: u64 = 10_000;

/// How large a fleet is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Size {
    /// Entry hosts.
    pub hosts: usize,
    /// Ranges of all services together.
    pub ranges: u32,
    /// Services, each with a record of its own.
    pub services: u32,
    /// Upstreams of all services together.
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
    /// Returns its process id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }
}

/// The processes of a measurement.
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
    /// Starts the processes, publishes the records and waits until all ranges are held.
    ///
    /// # Errors
    /// Fails when a process does not start or the ranges are not held in time.
    pub fn serve(programs: PathBuf, size: Size) -> Result<Self, BenchError> {
        let client = Client::start()
            .map_err(|source| BenchError::System { action: "start a thread", source })?;
        let standin = |args: &[&str]| {
            let launch = Launch::new(programs.join("skylarkdock-standin")).discard_stderr();
            launch.args(args).start()
        };
        let log = standin(&["log", "--listen", ANY])?;
        let list = standin(&["hosts", "--listen", ANY])?;
        let mut upstreams = Vec::new();
        for index in 0..size.upstreams {
            let (service, id) = (service_of(size, index), format!("u{index}"));
            let args = ["upstream", "--listen", ANY, "--service", &service, "--id", &id];
            upstreams.push(standin(&args)?);
        }
        let ids = fastrand::Rng::new();
        let daemons = Vec::new();
        let mut fleet = Self { size, programs, client, log, list, upstreams, daemons, ids };
        for index in 0..size.hosts {
            let daemon = fleet.launch(index, [ANY.to_owned(), ANY.to_owned()])?;
            fleet.daemons.push(daemon);
        }
        fleet.list_hosts()?;
        fleet.wait_known()?;
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
    /// Fails when there is no answer.
    pub fn metrics(&self, daemon: &Daemon) -> Result<String, BenchError> {
        self.text(daemon.http, "/metrics")
    }

    /// Returns what the log has done.
    ///
    /// # Errors
    /// Fails when there is no answer.
    pub fn log_stats(&self) -> Result<LogStats, BenchError> {
        Ok(serde_json::from_str(&self.text(self.log.address(), "/_standin/stats")?)?)
    }

    /// Returns the log's records from the first on.
    ///
    /// # Errors
    /// Fails when there is no answer.
    pub fn records(&self) -> Result<Vec<(Offset, String)>, BenchError> {
        let mut records = Vec::new();
        let mut from = 1;
        loop {
            let path = format!("/read?from={from}&max={READ_RECORDS}&wait_ms=0");
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
        through: usize,
        deadline_ms: u64,
    ) -> Result<(), BenchError> {
        let name = format!("s{service}");
        let rows: Vec<RecordRow> = self.call(through, methods::RECORDS, NoParams {})?;
        let row = rows.into_iter().find(|row| row.service.as_str() == name);
        let params = PublishParams {
            record: self.record(service, deadline_ms),
            basis: row.map_or(Offset(0), |row| row.revision),
            by: "bench".to_owned(),
            id: RecordId(Uuid::from_u128(self.ids.u128(..))),
            wait_ms: VERDICT_WAIT_MS,
        };
        match self.call(through, methods::PUBLISH, params)? {
            Verdict::Accepted { .. } => Ok(()),
            _ => Err(BenchError::NotAccepted),
        }
    }

    /// Ends a daemon at once and starts it again on its addresses.
    ///
    /// # Errors
    /// Fails when it does not start.
    pub fn restart(&mut self, place: usize) -> Result<(), BenchError> {
        let old = self.daemons.remove(place);
        let (index, at) = (old.index, [old.peer.to_string(), old.http.to_string()]);
        drop(old);
        let daemon = self.launch(index, at)?;
        self.daemons.insert(place, daemon);
        Ok(())
    }

    /// Waits until the daemons hold all ranges.
    ///
    /// # Errors
    /// Fails when that takes too long.
    pub fn wait_held(&self) -> Result<(), BenchError> {
        let mut calm = 0;
        until("all ranges are held", || {
            let mut held = 0.0;
            for daemon in &self.daemons {
                held += sample::metric(&self.metrics(daemon)?, "skylarkdock_ranges_held");
            }
            // The gauges lag, so that the sum must stand for a while.
            calm = if held as u32 == self.size.ranges { calm + 1 } else { 0 };
            Ok(calm >= 8)
        })
    }

    fn wait_known(&self) -> Result<(), BenchError> {
        until("all hosts know one another", || {
            for place in 0..self.daemons.len() {
                let rows: Vec<HostRow> = self.call(place, methods::HOSTS, NoParams {})?;
                let live = rows.iter().filter(|row| row.state == HostState::Live).count();
                let status: Status = self.call(place, methods::STATUS, NoParams {})?;
                if live + 1 < self.daemons.len() || !status.log_reachable {
                    return Ok(false);
                }
            }
            Ok(true)
        })
    }

    fn call<P: Serialize, R: DeserializeOwned>(
        &self,
        place: usize,
        method: &str,
        params: P,
    ) -> Result<R, BenchError> {
        let call = serde_json::to_vec(&Request::new(1, method, params))?;
        let text =
            self.exchange(self.daemons[place].http, Method::POST, methods::RPC_PATH, call)?;
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

    fn launch(&self, index: usize, at: [String; 2]) -> Result<Daemon, BenchError> {
        let (zone, region) = ZONES[index % ZONES.len()];
        let (log, list) = (self.log.address().to_string(), self.list.address().to_string());
        let launch = Launch::new(self.programs.join("skylarkdockd")).discard_stderr();
        let launch = launch
            .args(["--host-id", &host_name(index), "--zone", zone, "--region", region])
            .args(["--secret", SECRET, "--peer-listen", &at[0], "--http-listen", &at[1]])
            .args(["--log", &log, "--host-list", &list, "--log-level", "error"]);
        let process = launch.start()?;
        let peer = process.address_with_label("peer").ok_or(BenchError::Late("a host listens"))?;
        Ok(Daemon { http: process.address(), process, index, peer })
    }

    fn list_hosts(&self) -> Result<(), BenchError> {
        let row = |daemon: &Daemon| {
            let (zone, region) = ZONES[daemon.index % ZONES.len()];
            json!({"id": host_name(daemon.index), "zone": zone, "region": region,
                   "peer": daemon.peer, "http": daemon.http, "leaving": false})
        };
        let rows: Vec<Value> = self.daemons.iter().map(row).collect();
        let list = serde_json::to_vec(&json!({ "hosts": rows }))?;
        self.exchange(self.list.address(), Method::PUT, "/_standin/hosts", list)?;
        Ok(())
    }

    fn record(&self, service: u32, deadline_ms: u64) -> Value {
        let name = format!("s{service}");
        let own = (0..self.size.upstreams).filter(|index| service_of(self.size, *index) == name);
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

fn service_of(size: Size, upstream: u32) -> String {
    format!("s{}", upstream % size.services)
}

fn host_name(index: usize) -> String {
    format!("host-{index}")
}

/// Polls until something is so; calls that fail count as not yet.
fn until(
    what: &'static str,
    mut holds: impl FnMut() -> Result<bool, BenchError>,
) -> Result<(), BenchError> {
    let end = Instant::now() + WAIT_LIMIT;
    while !matches!(holds(), Ok(true)) {
        if Instant::now() >= end {
            return Err(BenchError::Late(what));
        }
        thread::sleep(POLL);
    }
    Ok(())
}
