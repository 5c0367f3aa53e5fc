//! Requests that crashed upstreams, at a host that has no upstream for their range.

#![allow(clippy::unwrap_used)]

use async_io::Async;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Method, Uri};
use skylarkdock_daemon::clock;
use skylarkdock_daemon::proxy::{Router, forward_headers, headers};
use skylarkdock_daemon::routing_table::{
    RangeRoute, RoutingTable, ServiceTable, SharedServiceState,
};
use skylarkdock_daemon::shared_state::{LogProof, SharedServingState, TrafficReport};
use skylarkdock_httppath::executor::Executor;
use skylarkdock_httppath::pool::Pool;
use skylarkdock_httppath::server::Server;
use skylarkdock_outcomes::crash_history::{CrashHistories, Death, SuspicionShare};
use skylarkdock_outcomes::fingerprint::Fingerprint;
use skylarkdock_records::service::{OnCut, Service};
use skylarkdock_units::ids::{Member, RangeId, RangeIndex};
use skylarkdock_units::times::Millis;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

const SECRET: &str = "a secret of all hosts";
const PATH: &str = "/orders/k1";
/// Time by which the crashes lie in the future, so that a slow machine does not outlast the quarantine.
const AHEAD: Millis = Millis(3_600_000);

/// A router for one range without a holder, behind a listener.
struct Host {
    addr: SocketAddr,
    shared: Arc<SharedServiceState>,
    reports: async_channel::Receiver<TrafficReport>,
    _executor: Executor,
}

impl Host {
    fn start() -> Self {
        let executor = Executor::start("traffic", 2).unwrap();
        let shared = Arc::<SharedServiceState>::default();
        let service = Service {
            name: "orders".parse().unwrap(),
            ranges: 1,
            operations: Vec::new(),
            deadline: Millis(10_000),
            on_cut: OnCut::Hold,
            upstreams: Vec::new(),
        };
        let range = RangeId { service: service.name.clone(), index: RangeIndex(0) };
        let ranges = vec![Arc::new(RangeRoute::new(range))];
        let name = service.name.clone();
        let entry =
            ServiceTable { service: Arc::new(service), ranges, shared: Arc::clone(&shared) };
        let mut table = RoutingTable::default();
        table.services.insert(name, Arc::new(entry));
        let (sender, reports) = async_channel::unbounded();
        let router = Arc::new(Router {
            me: Member { host: "h1".parse().unwrap(), incarnation: "1".parse().unwrap() },
            table: Arc::new(arc_swap::ArcSwap::from_pointee(table)),
            upstreams: Pool::builder(executor.clone()).build(),
            hosts: Pool::builder(executor.clone()).build(),
            executor: executor.clone(),
            reports: sender,
            serving_state: SharedServingState::default(),
            log_proof: LogProof::default(),
            secret: SECRET.parse().unwrap(),
            slow_hosts: Mutex::default(),
        });
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
        let server = Server::builder(listener, executor.clone()).build();
        let addr = server.local_addr().unwrap();
        let handler = move |req, remote| {
            let router = Arc::clone(&router);
            async move { router.serve(req, remote).await }
        };
        executor.spawn(server.serve(handler)).detach();
        Self { addr, shared, reports, _executor: executor }
    }

    /// Sends a request as a host does that took this one for the holder.
    fn send_forwarded(&self) -> String {
        let uri: Uri = PATH.parse().unwrap();
        let mut headers = HeaderMap::new();
        let digest = forward_headers::digest(&Method::GET, b"");
        let id = "019ae7a4-5c00-7000-8000-000000000000";
        for (name, value) in [
            (headers::HOP, "h2"),
            (headers::TO, "h1"),
            (headers::REQUEST_ID, id),
            (headers::CALLER, "00000000deadbeef"),
            (headers::DIGEST, digest.as_str()),
        ] {
            headers.insert(HeaderName::from_static(name), HeaderValue::from_str(value).unwrap());
        }
        forward_headers::sign(&mut headers, &uri, &SECRET.parse().unwrap());
        let lines =
            headers.iter().map(|(name, value)| format!("{name}: {}\r\n", value.to_str().unwrap()));
        self.exchange("GET", &lines.collect::<String>())
    }

    /// Tells the host of upstreams that a request was alone on when they ended.
    fn record_crashes(&self, method: &str, count: u64) {
        let parts: [&[u8]; 5] = [method.as_bytes(), b"orders", b"k1", b"/", b""];
        let mut histories = CrashHistories::default();
        for number in 0..count {
            let at = clock::wall_time() + AHEAD + Millis(number);
            let upstream = format!("u{number}").parse().unwrap();
            let death = Death { at, upstream, share: SuspicionShare::ALONE };
            histories.add(Fingerprint::of(&parts), death);
        }
        self.shared.quarantine().merge(&histories, clock::wall_time());
    }

    fn send(&self, method: &str) -> String {
        self.exchange(method, "")
    }

    fn exchange(&self, method: &str, lines: &str) -> String {
        let mut stream = TcpStream::connect(self.addr).unwrap();
        let head = format!("{method} {PATH} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n");
        write!(stream, "{head}{lines}Content-Length: 0\r\n\r\n").unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }
}

/// A request waited for the next upstream for longer than its first quarantine lasted, and crashed a third one.
#[test]
fn a_request_is_refused_in_quarantine_while_its_range_has_no_upstream() {
    let host = Host::start();
    host.record_crashes("GET", 2);
    let answer = host.send("GET");
    assert!(answer.starts_with("HTTP/1.1 422 "), "{answer}");
    assert!(answer.contains("\"quarantined\"") && answer.contains("not-run"), "{answer}");
    let report = host.reports.try_recv().unwrap();
    assert!(matches!(report, TrafficReport::Quarantined { .. }), "{report:?}");
}

/// One crash makes a request a suspect, which waits for an upstream to run alone on. A request that runs at most once may be
/// a copy of one that has its answer, which only the holder of the range knows.
#[test]
fn a_suspect_and_a_once_only_request_wait_for_a_holder() {
    let host = Host::start();
    host.record_crashes("GET", 1);
    host.record_crashes("POST", 2);
    for method in ["GET", "POST"] {
        let answer = host.send(method);
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        assert!(answer.contains("\"no-holder\""), "{answer}");
    }
}

/// A host that does not hold the range can't tell whether the holder is running the request at that moment.
#[test]
fn a_forwarded_request_in_quarantine_is_left_to_the_holder() {
    let host = Host::start();
    host.record_crashes("GET", 2);
    let answer = host.send_forwarded();
    assert!(answer.starts_with("HTTP/1.1 421 "), "{answer}");
    assert!(answer.contains("\"not-holder\""), "{answer}");
}
