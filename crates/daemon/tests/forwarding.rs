//! Requests that an entry host forwards to another one.

#![allow(clippy::unwrap_used)]

use async_io::Async;
use rstest::rstest;
use skylarkdock_daemon::proxy::Router;
use skylarkdock_daemon::routing_table::{RangeRoute, RoutingTable, ServiceTable};
use skylarkdock_daemon::shared_state::{LogProof, SharedServingState};
use skylarkdock_httppath::executor::Executor;
use skylarkdock_httppath::pool::Pool;
use skylarkdock_httppath::server::Server;
use skylarkdock_records::service::{OnCut, Service};
use skylarkdock_units::ids::{HostId, Member, RangeId, RangeIndex};
use skylarkdock_units::times::Millis;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

fn member(host: &str) -> Member {
    Member { host: host.parse().unwrap(), incarnation: "1".parse().unwrap() }
}

/// Starts a peer that gives each request the same answer, and returns its address.
fn start_peer(lines: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 4_096]);
            let text =
                format!("HTTP/1.1 421 X\r\n{lines}Content-Length: 0\r\nConnection: close\r\n\r\n");
            let _ = stream.write_all(text.as_bytes());
        }
    });
    addr
}

/// Starts a router that takes a peer for the holder of its only range. Returns its address.
fn start_router(peer: SocketAddr, executor: &Executor) -> SocketAddr {
    let holder = member("h2");
    let service = Service {
        name: "orders".parse().unwrap(),
        ranges: 1,
        operations: Vec::new(),
        deadline: Millis(10_000),
        on_cut: OnCut::Hold,
        upstreams: Vec::new(),
    };
    let name = service.name.clone();
    let route = RangeRoute::new(RangeId { service: name.clone(), index: RangeIndex(0) });
    route.members.store(Arc::new(vec![holder.clone()]));
    let entry = ServiceTable {
        service: Arc::new(service),
        ranges: vec![Arc::new(route)],
        shared: Arc::default(),
    };
    let mut table = RoutingTable::default();
    table.services.insert(name, Arc::new(entry));
    let host: HostId = holder.host;
    table.hosts.insert(host, peer);
    let router = Arc::new(Router {
        me: member("h1"),
        table: Arc::new(arc_swap::ArcSwap::from_pointee(table)),
        upstreams: Pool::builder(executor.clone()).build(),
        hosts: Pool::builder(executor.clone()).build(),
        executor: executor.clone(),
        reports: async_channel::unbounded().0,
        serving_state: SharedServingState::default(),
        log_proof: LogProof::default(),
        secret: "a secret of all hosts".parse().unwrap(),
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
    addr
}

/// A host sent a request to an upstream that ended, and lost the range before it could repeat the request. The entry host
/// took its answer for one of a host that had nothing to do with the request, and told the caller that it was not run.
#[rstest]
#[case::attempt_was_lost(
    "Skylarkdock-Outcome: unknown\r\nSkylarkdock-Request-Id: 019ae7a4-5c00-7000-8000-000000000000\r\n",
    "unknown"
)]
#[case::never_held_the_range(
    "Skylarkdock-Outcome: not-run\r\nSkylarkdock-Request-Id: 019ae7a4-5c00-7000-8000-000000000000\r\n",
    "not-run"
)]
#[case::refused_before_it_was_read("Skylarkdock-Outcome: unknown\r\n", "not-run")]
fn a_request_that_the_former_holder_may_have_run_is_not_reported_as_not_run(
    #[case] lines: &'static str,
    #[case] outcome: &str,
) {
    let executor = Executor::start("traffic", 2).unwrap();
    let addr = start_router(start_peer(lines), &executor);
    let mut stream = TcpStream::connect(addr).unwrap();
    write!(stream, "GET /orders/k1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
    assert!(answer.contains(&format!("\"outcome\":\"{outcome}\"")), "{answer}");
}
