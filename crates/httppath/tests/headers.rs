//! Request heads that are too large or malformed are rejected and counted, slow ones time out, and the server keeps
//! running.
#![allow(clippy::unwrap_used)]

mod common;

use common::{executor, get_text, raw_request, serve, text_response};
use futures_lite::future::block_on;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use metrics::{Counter, Gauge, Histogram, Key, KeyName, Metadata, Recorder, SharedString, Unit};
use skylarkdock_httppath::body::Body;
use skylarkdock_httppath::pool::Pool;
use skylarkdock_units::measures::ByteSize;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, LazyLock, Mutex};

static COUNTERS: LazyLock<Mutex<HashMap<String, Arc<AtomicU64>>>> = LazyLock::new(Mutex::default);

/// Metrics recorder that keeps counters by the value of their first label, or by their name if they have none.
struct CounterRecorder;

impl Recorder for CounterRecorder {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}
    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        let label = key.labels().next().map(|label| label.value().to_owned());
        let name = label.unwrap_or_else(|| key.name().to_owned());
        Counter::from_arc(Arc::clone(COUNTERS.lock().unwrap().entry(name).or_default()))
    }

    fn register_gauge(&self, _: &Key, _: &Metadata<'_>) -> Gauge {
        Gauge::noop()
    }

    fn register_histogram(&self, _: &Key, _: &Metadata<'_>) -> Histogram {
        Histogram::noop()
    }
}

fn count(name: &str) -> u64 {
    COUNTERS.lock().unwrap().get(name).map_or(0, |count| count.load(Ordering::SeqCst))
}

fn panicking_body() -> Response<Body> {
    let frames = futures_lite::stream::repeat_with(|| panic!("panic requested by the test"));
    Response::new(StreamBody::new(frames).boxed_unsync())
}

/// Waits until the counter has the expected value. The server counts after it has sent the response.
fn await_count(name: &str, expected: u64) {
    while count(name) < expected {
        std::thread::yield_now();
    }
    assert_eq!(count(name), expected);
}

#[test]
fn bad_request_heads_are_rejected_and_counted() {
    metrics::set_global_recorder(CounterRecorder).unwrap();
    let executor = executor();
    let server = serve(
        &executor,
        |b| b.max_header_size(ByteSize(1024)).max_headers(8),
        |req, _| async move {
            assert_ne!(req.uri().path(), "/panic", "panic requested by the test");
            if req.uri().path() == "/body" { panicking_body() } else { text_response("ok") }
        },
    );
    let large = format!("GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "y".repeat(2000));
    assert!(raw_request(server.addr, large.as_bytes()).starts_with("HTTP/1.1 431 "));
    await_count("header_size", 1);
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "x: y\r\n".repeat(9));
    assert!(raw_request(server.addr, many.as_bytes()).starts_with("HTTP/1.1 431 "));
    await_count("header_size", 2);
    assert!(raw_request(server.addr, b"GET\0/ HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 400 "));
    await_count("malformed", 1);

    let panicked = raw_request(server.addr, b"GET /panic HTTP/1.1\r\nconnection: close\r\n\r\n");
    assert!(panicked.starts_with("HTTP/1.1 500 "));
    await_count("skylarkdock_http_handler_panics_total", 1);

    let aborted = raw_request(server.addr, b"GET /body HTTP/1.1\r\n\r\n");
    assert!(!aborted.contains("200"), "{aborted}");

    let pool = Pool::builder(executor).build();
    assert_eq!(block_on(get_text(&pool, server.addr, "/")), "ok");
}

#[test]
fn slow_request_head_times_out() {
    let executor = executor();
    let set = |b: skylarkdock_httppath::server::ServerBuilder| {
        b.header_read_timeout(skylarkdock_units::times::Millis(50))
    };
    let server = serve(&executor, set, |_, _| async { text_response("ok") });
    assert!(!raw_request(server.addr, b"GET / HTTP/1.1\r\nhos").contains("200"));
}
