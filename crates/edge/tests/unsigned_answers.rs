//! Answers of upstreams that callers could take for the host's own.

#![allow(clippy::unwrap_used)]

mod support;

use rstest::rstest;
use skylarkdock_dispatch::routes::Idempotency;
use skylarkdock_http1::head::RequestHead;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use support::LONG;

/// Starts an upstream that answers with `status`. Returns its address and the number of requests that it got.
fn upstream(status: u16, is_signed: bool) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let received = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&received);
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
            counted.fetch_add(1, Ordering::SeqCst);
            let id = head.headers.get_str("Id").unwrap();
            let signature = if is_signed { "Signature: s\r\n" } else { "" };
            let answer = format!("HTTP/1.1 {status} X\r\nId: {id}\r\n{signature}");
            let end = "Connection: close\r\nContent-Length: 0\r\n\r\n";
            stream.write_all(format!("{answer}{end}").as_bytes()).unwrap();
        }
    });
    (addr, received)
}

/// Guards against passing on an answer as wrong that bears no proof of coming from the upstream, and against running a
/// request that must run once again.
#[rstest]
#[case::rejection(404, false, 502)]
#[case::redirection(302, false, 502)]
#[case::signed_rejection(404, true, 404)]
#[case::signed_redirection(302, true, 302)]
fn an_unsigned_rejection_of_a_once_only_request_is_not_passed_on(
    #[case] upstream_status: u16,
    #[case] is_signed: bool,
    #[case] status: u16,
) {
    support::with_host(LONG, |host| async move {
        let (addr, received) = upstream(upstream_status, is_signed);
        let config = support::config(1, &[("/order/", &[("orders", 1)])]);
        host.apply(support::state(&config, &[("orders", addr)])).await;
        let answer = host.answer("GET /order/x HTTP/1.1\r\nHost: h.example\r\nId: a\r\n").await;
        assert_eq!(answer.status, status);
        assert_eq!(received.load(Ordering::SeqCst), 1);
        let metric = "skylarkdock_answers_discarded_total{reason=\"unsigned\"} 1";
        assert_eq!(host.has_metric(metric), !is_signed);
    });
}

/// Guards against ending an idempotent request by an unsigned answer that another upstream would serve.
#[test]
fn an_idempotent_request_is_sent_again_after_an_unsigned_rejection() {
    support::with_host(LONG, |host| async move {
        let (first, rejected) = upstream(404, false);
        let (second, served) = upstream(200, true);
        let config =
            support::config_of(1, Idempotency::Idempotent, &[("/order/", &[("orders", 1)])]);
        host.apply(support::state(&config, &[("orders", first), ("orders", second)])).await;
        // Each request meets one of the two upstreams first, and the rejecting one at some time.
        while rejected.load(Ordering::SeqCst) == 0 {
            let answer = host.answer("GET /order/x HTTP/1.1\r\nHost: h.example\r\nId: a\r\n").await;
            assert_eq!(answer.status, 200);
        }
        assert!(served.load(Ordering::SeqCst) > 0);
    });
}
