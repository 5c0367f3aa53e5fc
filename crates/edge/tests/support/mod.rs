//! The traffic thread of a host, without listeners, in the process of the test.

#![allow(clippy::unwrap_used, dead_code)]

pub mod held_reads;
pub mod memory_store;
pub mod scripted;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::future;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use skylarkdock_dispatch::notices::Notices;
use skylarkdock_dispatch::regions::AllowedRegions;
use skylarkdock_dispatch::reported_load::ReportedLoad;
use skylarkdock_dispatch::routes::{Idempotency, Route, Routes};
use skylarkdock_dispatch::traffic_split::{TrafficSplit, WeightedService};
use skylarkdock_edge::answer::Answer;
use skylarkdock_edge::client::Outgoing;
use skylarkdock_edge::client_limits::ClientLimits;
use skylarkdock_edge::clock;
use skylarkdock_edge::listener::ListenerState;
use skylarkdock_edge::serve::{self, Incoming, Limits};
use skylarkdock_edge::settings::Settings;
use skylarkdock_edge::status::Status;
use skylarkdock_edge::traffic::Traffic;
use skylarkdock_edge::upstreams::{HeaderNames, Protocol, ReleaseReply};
use skylarkdock_edge::view::{
    Config, Entry, ListedUpstream, PeerInfo, Publication, ServiceInfo, UpstreamChange, View,
};
use skylarkdock_http1::head::{Headers, RequestHead};
use skylarkdock_spans::renewal::CallEnd;
use skylarkdock_units::measures::HostSize;
use skylarkdock_units::times::{HostTime, Millis};
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

/// Longer than any test runs.
pub const LONG: Millis = Millis(3_600_000);

/// Protocol of upstreams that answer to no grant.
pub const PROTOCOL: Protocol = Protocol {
    parse_load: |reply| {
        let text = reply.head.headers.get_str("server-load")?;
        let numbers: Vec<u32> = text.split(',').map_while(|part| part.parse().ok()).collect();
        let [running, waiting, slots, pace_percent] = numbers.try_into().ok()?;
        Some(ReportedLoad { running, waiting, slots, pace_percent })
    },
    parse_cold: |_| None,
    names: HeaderNames {
        load: "server-load",
        cold: "server-cold-ms",
        request_id: "Id",
        deadline: "Deadline",
        signature: "Signature",
        expected: "Expected",
        not_run: "Not-Run",
        key: "Key",
        limit: "X-Limit",
        leaving: "X-Leaving",
        instance: "X-Instance",
    },
    build_grant: |_, _| Outgoing::new("POST", "/grant", &Headers::default(), &[]),
    build_release: |_| Outgoing::new("POST", "/release", &Headers::default(), &[]),
    parse_grant_reply: |_| CallEnd::Unknown,
    parse_release_reply: |_| ReleaseReply::Unknown,
    build_identity_request: |_, path| Outgoing::new("GET", path, &Headers::default(), &[]),
    parse_identity: |_| None,
    parse_notices: |reply, _| Notices {
        rest: None,
        is_leaving: reply.head.headers.get("x-leaving").is_some(),
    },
};

/// The traffic thread of a host.
pub struct Host {
    pub traffic: Rc<Traffic>,
    pub status: Arc<Status>,
    /// Address at which callers reach it.
    pub callers: SocketAddr,
    /// Address at which it gets datagrams of other hosts.
    pub reports: SocketAddr,
    publications: Sender<Publication>,
    metrics: PrometheusHandle,
}

impl Host {
    /// Puts a state in force and waits until the thread has applied it.
    pub async fn apply(&self, publication: Publication) {
        self.publications.send(publication).await.unwrap();
        while !self.publications.is_empty() {
            future::yield_now().await;
        }
    }

    /// Publishes a state as the control thread does, without waiting until the traffic thread has applied it.
    pub fn publish(&self, publication: Publication) {
        let version = publication.view.config.as_ref().map_or(0, |config| config.version);
        self.publications.try_send(publication).unwrap();
        prove_config(&self.status, version);
    }

    /// Returns the answer to a request, which is given without the empty line at its end.
    pub async fn answer(&self, text: &str) -> Answer {
        let (head, _) = RequestHead::parse(format!("{text}\r\n").as_bytes()).unwrap().unwrap();
        self.traffic.answer(Incoming { head, body: Vec::new() }).await
    }

    /// Returns whether the rendered metrics contain a metric with these labels.
    pub fn has_metric_with(&self, labelled: &str) -> bool {
        self.metrics.render().lines().any(|rendered| rendered.starts_with(labelled))
    }

    /// Returns whether the rendered metrics contain a line.
    pub fn has_metric(&self, line: &str) -> bool {
        self.metrics.render().lines().any(|rendered| rendered == line)
    }
}

/// Runs the traffic thread of a host whose configurations have to be in force within `apply_time`.
pub fn with_host<Fut: Future<Output = ()>>(apply_time: Millis, test: impl FnOnce(Host) -> Fut) {
    let recorder = PrometheusBuilder::new().build_recorder();
    let metrics = recorder.handle();
    metrics::with_local_recorder(&recorder, || {
        let ex = Rc::new(LocalExecutor::new());
        let (publications, received) = async_channel::unbounded();
        let (samples, _received_samples) = async_channel::unbounded();
        let status = Arc::new(Status::default());
        let settings = settings(apply_time);
        let reports = settings.reports;
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
        let callers = listener.get_ref().local_addr().unwrap();
        let shared = Rc::new(ListenerState::default());
        let traffic = Traffic::start(
            settings,
            PROTOCOL,
            Rc::clone(&ex),
            Rc::clone(&shared),
            Arc::clone(&status),
            received,
            samples,
        );
        let handler = Rc::clone(&traffic);
        let handler = Rc::new(move |req: Incoming| handler.answer(req));
        ex.spawn(serve::accept(Rc::clone(&ex), listener, shared, handler)).detach();
        let host = Host { traffic, status, callers, reports, publications, metrics };
        async_io::block_on(ex.run(test(host)));
    });
}

/// Number of hosts started in this process.
static STARTED_HOSTS: AtomicU8 = AtomicU8::new(0);

/// Returns a free address for datagrams, of a loopback address that no other host of this process has.
fn free_address() -> SocketAddr {
    let number = STARTED_HOSTS.fetch_add(1, Ordering::Relaxed);
    // The process id keeps tests that run at the same time in another process apart.
    let ip = Ipv4Addr::new(127, 128 | (std::process::id() % 64) as u8, number, 2);
    UdpSocket::bind((ip, 0)).unwrap().local_addr().unwrap()
}

/// Returns settings by which a host listens at any port.
pub fn settings(apply_time: Millis) -> Settings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let reports = free_address();
    Settings {
        host: "h1".parse().unwrap(),
        zone: "z1".parse().unwrap(),
        region: "r1".parse().unwrap(),
        size: HostSize(100),
        descriptors: None,
        zones: std::iter::once(("z1".parse().unwrap(), "r1".parse().unwrap())).collect(),
        callers: any,
        readiness: any,
        peers: any,
        reports,
        metrics: any,
        seeds: Vec::new(),
        heartbeat: Millis(870),
        grace: Millis(6_000),
        apply_time,
        is_first_start: false,
        drain_time: Millis(2_000),
        max_hold: Millis(10_000),
        repeat_ratio: 0.2,
        repeat_constant: 56,
        repeat_window: Millis(10_000),
        cold_overshoot: 1.5,
        cold_slack: 8,
        refuses_by_value: false,
        memory: None,
        client_limits: ClientLimits::default(),
    }
}

/// Builds a configuration whose requests may run once only; see [`config_of`].
pub fn config(version: u64, routes: &[(&str, &[(&str, u32)])]) -> Arc<Config> {
    config_of(version, Idempotency::Once, routes)
}

/// Builds a configuration with the sharded services `films` and `songs` and the unsharded `orders` and `files`. Each
/// route is given by its path prefix and its services with their weights.
pub fn config_of(
    version: u64,
    idempotency: Idempotency,
    routes: &[(&str, &[(&str, u32)])],
) -> Arc<Config> {
    config_within(Millis(5_000), version, idempotency, routes)
}

/// Builds a configuration like [`config_of`], with another timeout of its routes.
pub fn config_within(
    timeout: Millis,
    version: u64,
    idempotency: Idempotency,
    routes: &[(&str, &[(&str, u32)])],
) -> Arc<Config> {
    let routes = routes.iter().map(|(prefix, services)| Route {
        regions: AllowedRegions::default(),
        name: (*prefix).into(),
        host: "h.example".into(),
        prefix: (*prefix).into(),
        idempotency,
        split: split(services),
        timeout,
        objective: Millis(500),
        attempts: 2,
        rank: 0,
    });
    let services = [("films", true), ("songs", true), ("orders", false), ("files", false)];
    let services = services.map(|(name, is_sharded)| ServiceInfo {
        cold: None,
        name: name.parse().unwrap(),
        is_sharded,
        connection_limit: 10,
        health_path: "/health".into(),
    });
    let limits = Limits::default();
    Arc::new(Config { version, routes: Routes::new(routes), services: services.into(), limits })
}

fn split(services: &[(&str, u32)]) -> TrafficSplit {
    let weighted = services
        .iter()
        .map(|(name, weight)| WeightedService { service: name.parse().unwrap(), weight: *weight });
    TrafficSplit::new(weighted.collect()).unwrap()
}

/// Returns a state with a configuration and an upstream of each given service.
pub fn state(config: &Arc<Config>, upstreams: &[(&str, SocketAddr)]) -> Publication {
    let upstreams = upstreams.iter().map(|(service, addr)| ListedUpstream {
        entry: Entry {
            id: format!("i-{service}-{}", addr.port()).parse().unwrap(),
            born: 1_000,
            service: service.parse().unwrap(),
            addr: *addr,
            zone: "z1".parse().unwrap(),
            region: Some("r1".parse().unwrap()),
            slots: 4,
            is_leaving: false,
            cold: Millis(0),
            seq: 1,
        },
        cold_until: HostTime(0),
        is_confirmed: true,
    });
    let view = View {
        config: Some(Arc::clone(config)),
        config_published_after: HostTime(0),
        keys: Vec::new(),
        peers: Some(Arc::default()),
        host_count: 0,
        is_recorded: true,
    };
    let upstreams = upstreams.map(|listed| UpstreamChange::Listed(Box::new(listed)));
    Publication { view, upstreams: upstreams.collect() }
}

/// Returns what is known of another host that takes calls at an address.
pub fn peer(calls: SocketAddr) -> PeerInfo {
    PeerInfo {
        host: "h2".parse().unwrap(),
        zone: "z1".parse().unwrap(),
        region: "r1".parse().unwrap(),
        size: HostSize(100),
        reports: free_address(),
        calls,
    }
}

/// Records that the store had no configuration newer than `version` just now.
pub fn prove_config(status: &Status, version: u64) {
    status.set_config_proof(clock::now(), version);
}
