//! Runs against a small server: counts, history, resends and comparison.
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

/// Starts a server that answers with `answer`, given the path and the request's id.
fn serve(
    answer: impl Fn(&str, &str) -> Response<Body> + Send + Sync + 'static,
) -> (SocketAddr, Shutdown) {
    let executor = Executor::start("server", 1).unwrap();
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let server = Server::builder(listener, executor.clone()).idle_grace(Millis(0)).build();
    let (addr, shutdown) = (server.local_addr().unwrap(), server.shutdown());
    let answer = Arc::new(answer);
    let handler = move |req: Request<Incoming>, _| {
        let id = req.headers().get("idempotency-key");
        let id = id.map_or("", |id| id.to_str().unwrap()).to_owned();
        let res = answer(req.uri().path(), &id);
        async move { res }
    };
    executor.spawn(server.serve(handler)).detach();
    (addr, shutdown)
}

fn settings(addr: SocketAddr, rest: &str) -> Settings {
    let line = format!("--target {addr} --warmup 0s --duration 300ms --connections 4 {rest}");
    Settings::parse(Arguments::from_vec(line.split_whitespace().map(Into::into).collect())).unwrap()
}

fn naming(key: &str, id: &str, outcome: &str) -> Response<Body> {
    Response::builder()
        .header("upstream-key", key)
        .header("upstream-request-id", id)
        .header("skylarkdock-outcome", outcome)
        .body(body::full(format!(r#"{{"key":"{key}","request_id":"{id}"}}"#)))
        .unwrap()
}

fn key_of(path: &str) -> &str {
    path.split('/').nth(2).unwrap()
}

fn history(path: &std::path::Path) -> Vec<HistoryEntry> {
    let text = std::fs::read_to_string(path).unwrap();
    text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

#[test]
fn schedule_sends_every_request_and_writes_history() {
    let (addr, _shutdown) = serve(|path, id| naming(key_of(path), id, "done"));
    let dir = std::env::temp_dir().join(format!("skylarkdock-load-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = dir.join("history.jsonl");
    let rest = format!("--rate 1000 --once-only-share 0.5 --history {}", file.display());
    let summary = run::run(&settings(addr, &rest)).unwrap();
    assert_eq!((summary.requests, summary.answered, summary.misnamed), (300, 300, 0));
    assert_eq!(summary.outcomes["done"], 300);
    let entries = history(&file);
    assert_eq!(entries.len(), 300);
    assert!(entries.iter().all(|entry| entry.whole && entry.named == Some(true)));
    assert!(entries.iter().all(|entry| entry.start_us <= entry.end_us));
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn answer_of_another_key_is_misnamed() {
    let (addr, _shutdown) = serve(|_, id| naming("other", id, "done"));
    let summary = run::run(&settings(addr, "--rate 100")).unwrap();
    assert_eq!((summary.answered, summary.misnamed), (30, 30));
}

#[test]
fn unknown_outcome_is_sent_again_with_its_id() {
    let seen: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let count = Arc::clone(&seen);
    let (addr, _shutdown) = serve(move |path, id| {
        let mut seen = count.lock().unwrap();
        let times = seen.entry(id.to_owned()).or_default();
        *times += 1;
        naming(key_of(path), id, if *times == 1 { "unknown" } else { "done" })
    });
    let rest = "--rate 100 --once-only-share 1 --resend-unknown";
    let summary = run::run(&settings(addr, rest)).unwrap();
    assert_eq!((summary.requests, summary.resends, summary.outcomes["done"]), (30, 30, 30));
    assert!(seen.lock().unwrap().values().all(|times| *times == 2));
}

#[test]
fn loop_counts_failures_of_a_closed_port() {
    let addr = TcpListener::bind(("127.0.0.1", 0)).unwrap().local_addr().unwrap();
    let summary = run::run(&settings(addr, "")).unwrap();
    assert_eq!(summary.answered, 0);
    assert_eq!(summary.failures.values().sum::<u64>(), summary.requests);
}

#[test]
fn comparison_shows_added_latency() {
    let quantiles = |p50_us, p99_us| Quantiles { p50_us, p99_us, ..Quantiles::default() };
    let base = Summary { latency: quantiles(1000, 9000), ..Summary::default() };
    let with = Summary { latency: quantiles(1500, 8000), ..Summary::default() };
    let added = AddedLatency::between(&base, &with);
    assert_eq!(added, AddedLatency { p50_us: 500, p99_us: -1000 });
    assert!(compare::read_summary(std::path::Path::new("no-such-file")).is_err());
}
