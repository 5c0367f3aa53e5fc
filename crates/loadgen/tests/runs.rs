//! Tests for runs against a local HTTP server (counts, history, resends) and for the comparison of results.
#![allow(clippy::unwrap_used)]

use async_io::Async;
use http::{Request, Response};
use hyper::body::Incoming;
use pico_args::Arguments;
use skylarkdock_httppath::body::{self, Body};
use skylarkdock_httppath::executor::Executor;
use skylarkdock_httppath::server::{Server, Shutdown};
use skylarkdock_loadgen::compare::{self, AddedLatency};
use skylarkdock_loadgen::history::HistoryEntry;
use skylarkdock_loadgen::run;
use skylarkdock_loadgen::settings::Settings;
use skylarkdock_loadgen::summary::{Quantiles, Summary};
use skylarkdock_units::times::Millis;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

/// Starts a server that responds with what `respond` returns for the path and the idempotency key of a request. The key
/// is empty if the request has none.
fn start_server(
    respond: impl Fn(&str, &str) -> Response<Body> + Send + Sync + 'static,
) -> (SocketAddr, Shutdown) {
    let executor = Executor::start("server", 1).unwrap();
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let server = Server::builder(listener, executor.clone()).idle_grace(Millis(0)).build();
    let (addr, shutdown) = (server.local_addr().unwrap(), server.shutdown());
    let respond = Arc::new(respond);
    let handler = move |req: Request<Incoming>, _| {
        let id = req.headers().get("idempotency-key");
        let id = id.map_or("", |id| id.to_str().unwrap()).to_owned();
        let res = respond(req.uri().path(), &id);
        async move { res }
    };
    executor.spawn(server.serve(handler)).detach();
    (addr, shutdown)
}

fn settings(addr: SocketAddr, extra_options: &str) -> Settings {
    let line =
        format!("--target {addr} --warmup 0s --duration 300ms --connections 4 {extra_options}");
    Settings::parse(Arguments::from_vec(line.split_whitespace().map(Into::into).collect())).unwrap()
}

fn response_naming(key: &str, id: &str, outcome: &str) -> Response<Body> {
    Response::builder()
        .header("upstream-key", key)
        .header("upstream-request-id", id)
        .header("skylarkdock-outcome", outcome)
        .body(body::full(format!(r#"{{"key":"{key}","request_id":"{id}"}}"#)))
        .unwrap()
}

fn key_in_path(path: &str) -> &str {
    path.split('/').nth(2).unwrap()
}

fn read_history(path: &std::path::Path) -> Vec<HistoryEntry> {
    let text = std::fs::read_to_string(path).unwrap();
    text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

#[test]
fn open_loop_sends_every_scheduled_request_and_writes_history() {
    let (addr, _shutdown) = start_server(|path, id| response_naming(key_in_path(path), id, "done"));
    let dir = std::env::temp_dir().join(format!("skylarkdock-load-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("history.jsonl");
    let extra_options = format!("--rate 1000 --once-only-share 0.5 --history {}", file.display());
    let summary = run::run(&settings(addr, &extra_options)).unwrap();
    assert_eq!((summary.requests, summary.answered, summary.misnamed), (300, 300, 0));
    assert_eq!(summary.outcomes["done"], 300);
    let entries = read_history(&file);
    assert_eq!(entries.len(), 300);
    assert!(entries.iter().all(|entry| entry.whole && entry.named == Some(true)));
    assert!(entries.iter().all(|entry| entry.start_us <= entry.end_us));
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn response_naming_another_key_is_counted_as_misnamed() {
    let (addr, _shutdown) = start_server(|_, id| response_naming("other", id, "done"));
    let summary = run::run(&settings(addr, "--rate 100")).unwrap();
    assert_eq!((summary.answered, summary.misnamed), (30, 30));
}

#[test]
fn request_with_unknown_outcome_is_resent_with_the_same_id() {
    let attempts_by_id: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let server_attempts = Arc::clone(&attempts_by_id);
    let (addr, _shutdown) = start_server(move |path, id| {
        let mut attempts_by_id = server_attempts.lock().unwrap();
        let attempts = attempts_by_id.entry(id.to_owned()).or_default();
        *attempts += 1;
        response_naming(key_in_path(path), id, if *attempts == 1 { "unknown" } else { "done" })
    });
    let extra_options = "--rate 100 --once-only-share 1 --resend-unknown";
    let summary = run::run(&settings(addr, extra_options)).unwrap();
    assert_eq!((summary.requests, summary.resends, summary.outcomes["done"]), (30, 30, 30));
    assert!(attempts_by_id.lock().unwrap().values().all(|attempts| *attempts == 2));
}

#[test]
fn closed_loop_counts_every_request_to_a_closed_port_as_failed() {
    let addr = TcpListener::bind(("127.0.0.1", 0)).unwrap().local_addr().unwrap();
    let summary = run::run(&settings(addr, "")).unwrap();
    assert_eq!(summary.answered, 0);
    assert_eq!(summary.failures.values().sum::<u64>(), summary.requests);
}

#[test]
fn comparison_returns_difference_of_quantiles() {
    let quantiles = |p50_us, p99_us| Quantiles { p50_us, p99_us, ..Quantiles::default() };
    let base = Summary { latency: quantiles(1000, 9000), ..Summary::default() };
    let compared = Summary { latency: quantiles(1500, 8000), ..Summary::default() };
    let added = AddedLatency::between(&base, &compared);
    assert_eq!(added, AddedLatency { p50_us: 500, p99_us: -1000 });
    assert!(compare::read_summary(std::path::Path::new("no-such-file")).is_err());
}
