//! Requests that name their route in one of the forms that HTTP allows.

#![allow(clippy::unwrap_used)]

mod support;

use rstest::rstest;
use skylarkdock_dispatch::routes::Idempotency;
use skylarkdock_edge::serve::Incoming;
use skylarkdock_http1::head::RequestHead;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use support::LONG;

/// Target and `Host` field of each request that an upstream got.
type Received = Arc<Mutex<Vec<(String, String)>>>;

/// Starts an upstream that answers each request with 200.
fn upstream() -> (SocketAddr, Received) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let received = Received::default();
    let recorded = Arc::clone(&received);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, mut buf) = (stream.unwrap(), Vec::new());
            let head = loop {
                if let Some((head, _)) = RequestHead::parse(&buf).unwrap() {
                    break head;
                }
                let mut chunk = [0; 4096];
                let len = stream.read(&mut chunk).unwrap();
                buf.extend_from_slice(&chunk[..len]);
            };
            let id = head.headers.get_str("Id").unwrap();
            let fields = "Connection: close\r\nSignature: s\r\nContent-Length: 0";
            let answer = format!("HTTP/1.1 200 OK\r\nId: {id}\r\n{fields}\r\n\r\n");
            let host = head.headers.get_str("Host").unwrap().to_owned();
            recorded.lock().unwrap().push((head.target, host));
            stream.write_all(answer.as_bytes()).unwrap();
        }
    });
    (addr, received)
}

/// Guards against a final rejection of a request whose route is there, and against a target that is changed on the way.
#[rstest]
#[case::literal("/read/", "GET /read/x?q=%41", "Host: h.example\r\n", ("/read/x?q=%41", "h.example"))]
#[case::host_case("/read/", "GET /read/x", "Host: H.Example\r\n", ("/read/x", "H.Example"))]
#[case::dot_of_the_root("/read/", "GET /read/x", "Host: h.example.\r\n", ("/read/x", "h.example."))]
#[case::port("/read/", "GET /read/x", "Host: h.example:81\r\n", ("/read/x", "h.example:81"))]
#[case::white_space("/read/", "GET /read/x", "Host: \t h.example \t\r\n", ("/read/x", "h.example"))]
#[case::encoded("/read/", "GET /%72ead/%78", "Host: h.example\r\n", ("/%72ead/%78", "h.example"))]
#[case::dot_segments("/read/", "GET /no/../read/./x", "Host: h.example\r\n", ("/no/../read/./x", "h.example"))]
#[case::absolute("/read/", "GET http://h.example/read/x?q", "Host: h.example\r\n", ("/read/x?q", "h.example"))]
#[case::absolute_in_capitals("/read/", "GET HTTP://H.EXAMPLE/read/X", "Host: h.example\r\n", ("/read/X", "H.EXAMPLE"))]
#[case::absolute_and_secure("/read/", "GET https://h.example/read/x", "Host: h.example\r\n", ("/read/x", "h.example"))]
#[case::absolute_for_another_host("/read/", "GET http://h.example:81/read/x", "Host: b.example\r\n", ("/read/x", "h.example:81"))]
#[case::absolute_without_a_path("/", "GET http://h.example", "Host: h.example\r\n", ("/", "h.example"))]
#[case::absolute_with_a_query_only("/", "GET http://h.example?q=/", "Host: h.example\r\n", ("/?q=/", "h.example"))]
#[case::absolute_and_encoded("/read/", "GET http://h.example/%72ead/%78", "Host: h\r\n", ("/%72ead/%78", "h.example"))]
#[case::url_in_a_query("/read/", "GET /read/?u=http://a.example/b", "Host: h.example\r\n", ("/read/?u=http://a.example/b", "h.example"))]
fn a_request_reaches_its_route_in_each_form_of_its_target(
    #[case] prefix: &'static str,
    #[case] line: &str,
    #[case] host_field: &str,
    #[case] (target, host_name): (&str, &str),
) {
    support::with_host(LONG, |host| async move {
        let (addr, received) = upstream();
        let config = support::config(1, &[(prefix, &[("orders", 1)])]);
        host.apply(support::state(&config, &[("orders", addr)])).await;
        support::prove_config(&host.status, 1);
        let answer = host.answer(&format!("{line} HTTP/1.1\r\n{host_field}Id: a\r\n")).await;
        assert_eq!(answer.status, 200);
        let expected = [(target.to_owned(), host_name.to_owned())];
        assert_eq!(*received.lock().unwrap(), expected);
    });
}

/// Guards against a missing route for a request of the version without a `Host` field.
#[test]
fn a_request_of_http_1_0_may_name_its_host_in_the_target() {
    support::with_host(LONG, |host| async move {
        let (addr, received) = upstream();
        let config = support::config(1, &[("/read/", &[("orders", 1)])]);
        host.apply(support::state(&config, &[("orders", addr)])).await;
        let answer = host.answer("GET http://h.example/read/x HTTP/1.0\r\nId: a\r\n").await;
        assert_eq!(answer.status, 200);
        let expected = [("/read/x".to_owned(), "h.example".to_owned())];
        assert_eq!(*received.lock().unwrap(), expected);
    });
}

/// Guards against a route for requests that no configuration could route, or that are malformed.
#[rstest]
#[case::no_host("GET /read/x HTTP/1.1\r\n", 400, "no_host")]
#[case::two_hosts("GET /read/x HTTP/1.1\r\nHost: h.example\r\nHost: b.example\r\n", 400, "no_host")]
#[case::one_host_twice(
    "GET /read/x HTTP/1.1\r\nHost: h.example\r\nhost: h.example\r\n",
    400,
    "no_host"
)]
#[case::absolute_with_two_hosts(
    "GET http://h.example/read/x HTTP/1.1\r\nHost: a\r\nHost: b\r\n",
    400,
    "no_host"
)]
#[case::absolute_without_host("GET http://h.example/read/x HTTP/1.1\r\n", 400, "no_host")]
#[case::no_host_before_a_host_name("GET /read/x HTTP/1.0\r\n", 400, "no_host")]
#[case::whole_server("OPTIONS * HTTP/1.1\r\nHost: h.example\r\n", 404, "no_route")]
#[case::absolute_whole_server(
    "OPTIONS http://h.example HTTP/1.1\r\nHost: h.example\r\n",
    404,
    "no_route"
)]
#[case::tunnel("CONNECT h.example:80 HTTP/1.1\r\nHost: h.example\r\n", 404, "no_route")]
#[case::other_scheme("GET ftp://h.example/read/x HTTP/1.1\r\nHost: h.example\r\n", 404, "no_route")]
#[case::user_in_the_target(
    "GET http://a@h.example/read/x HTTP/1.1\r\nHost: h.example\r\n",
    404,
    "no_route"
)]
#[case::empty_host_in_the_target(
    "GET http:///read/x HTTP/1.1\r\nHost: h.example\r\n",
    404,
    "no_route"
)]
#[case::absolute_for_a_host_without_routes(
    "GET http://b.example/read/x HTTP/1.1\r\nHost: h.example\r\n",
    404,
    "no_route"
)]
fn a_request_without_a_route_in_any_form_is_rejected(
    #[case] head: &str,
    #[case] status: u16,
    #[case] reason: &str,
) {
    support::with_host(LONG, |host| async move {
        let config = support::config(1, &[("/read/", &[("orders", 1)])]);
        host.apply(support::state(&config, &[])).await;
        support::prove_config(&host.status, 1);
        assert_eq!(host.answer(&format!("{head}Id: a\r\n")).await.status, status);
        let labels = format!("status=\"{status}\",reason=\"{reason}\"");
        let metric = format!("skylarkdock_requests_rejected_total{{{labels}}} 1");
        assert!(host.has_metric(&metric), "{metric}");
    });
}

/// Guards against sending a request whose caller has given it up, and against an answer that does not say that it was not
/// run.
#[rstest]
fn a_request_whose_deadline_has_passed_is_refused(
    #[values("0", "-5", "0.9")] deadline: &str,
    #[values(Idempotency::Once, Idempotency::Idempotent)] idempotency: Idempotency,
) {
    support::with_host(LONG, |host| async move {
        let (addr, received) = upstream();
        let config = support::config_of(1, idempotency, &[("/read/", &[("orders", 1)])]);
        host.apply(support::state(&config, &[("orders", addr)])).await;
        let head = "GET /read/x HTTP/1.1\r\nHost: h.example\r\nId: a\r\n";
        let answer = host.answer(&format!("{head}Deadline: {deadline}\r\n")).await;
        assert_eq!((answer.status, received.lock().unwrap().len()), (503, 0));
    });
}

/// Number of random heads.
const HEADS: u64 = 2_000;

/// Guards against an end of the process, or a changed target, by any bytes that a caller sends.
#[test]
fn any_head_that_can_be_parsed_is_answered() {
    let pieces: [&[u8]; 24] = [
        b"GET ",
        b"OPTIONS ",
        b"/read/",
        b"*",
        b"http://",
        b"h.example",
        b"?",
        b"#",
        b" HTTP/1.0\r\n",
        b"Host: ",
        b"Id: ",
        b"Key: ",
        b"Deadline: ",
        b"1",
        b"-.e9",
        b"\r\n",
        b"Content-Length: 1\r\n",
        b"Connection: \xff,close\r\n",
        b"\xc3\xa9",
        b"\xff",
        b"%",
        b"%2e",
        b"..",
        b":",
    ];
    support::with_host(LONG, |host| async move {
        let config = support::config(1, &[("/read/", &[("films", 1), ("orders", 1)])]);
        host.apply(support::state(&config, &[])).await;
        support::prove_config(&host.status, 1);
        let mut statuses = BTreeSet::new();
        for seed in 0..HEADS {
            let mut random = fastrand::Rng::with_seed(seed);
            let mut buf = b"GET http://h.example/read/x HTTP/1.1\r\nHost: h.example\r\nId: a\r\nKey: 7\r\n\r\n"
                .to_vec();
            for _ in 0..random.usize(..6) {
                let at = random.usize(..=buf.len());
                let end = (at + random.usize(..4)).min(buf.len());
                buf.splice(at..end, pieces[random.usize(..pieces.len())].iter().copied());
            }
            let Ok(Some((mut head, _))) = RequestHead::parse(&buf) else { continue };
            let origin = head.clone().into_origin_form();
            assert_eq!(origin.clone().into_origin_form(), origin, "seed {seed}");
            assert!(!head.target.starts_with('/') || origin.target == head.target, "seed {seed}");
            // No request waits for the owner of a key.
            head.headers.remove("Deadline");
            head.headers.push("Deadline", "0");
            let answer = host.traffic.answer(Incoming { head, body: Vec::new() }).await;
            statuses.insert(answer.status);
        }
        assert_eq!(statuses, BTreeSet::from([400, 404, 503]));
    });
}
