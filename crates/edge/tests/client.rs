//! Answers that are cut off, late, stray or early.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_edge::client::{Conn, Failure, Outgoing, Reply};
use skylarkdock_edge::upstreams::{HeaderNames, ReplyKind};
use skylarkdock_http1::head::Headers;
use skylarkdock_units::times::Millis;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

const NAMES: HeaderNames = HeaderNames {
    request_id: "Id",
    deadline: "Deadline",
    signature: "Signature",
    expected: "Expected",
    not_run: "Not-Run",
    key: "Key",
};

/// Answers the first request on one connection with these bytes, and closes it.
fn peer(answer: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut buf = [0; 4096];
        let _ = stream.read(&mut buf).unwrap();
        stream.write_all(answer).unwrap();
    });
    addr
}

fn exchange(answer: &'static [u8]) -> Result<(Reply, bool), Failure> {
    let addr = peer(answer);
    async_io::block_on(async {
        let mut conn = Conn::open(addr, Millis(2_000)).await.unwrap();
        let mut req = Outgoing::new("GET", "/", &Headers::default(), &[]);
        req.id = Some(("Id", "own".to_owned()));
        conn.exchange(&req).await
    })
}

#[rstest]
#[case::whole(
    b"HTTP/1.1 200 OK\r\nId: own\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
    ReplyKind::Final
)]
#[case::after_a_stray_one(
    b"HTTP/1.1 200 OK\r\nId: other\r\nSignature: s\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nId: own\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
    ReplyKind::Final
)]
#[case::failed(
    b"HTTP/1.1 500 X\r\nId: own\r\nSignature: s\r\nContent-Length: 0\r\n\r\n",
    ReplyKind::Final
)]
#[case::shed(b"HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", ReplyKind::Shed)]
#[case::misdirected(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", ReplyKind::Misdirected)]
#[case::no_promise(b"HTTP/1.1 503 X\r\nId: own\r\nContent-Length: 0\r\n\r\n", ReplyKind::Unusable)]
#[case::unsigned(b"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nok", ReplyKind::Unusable)]
#[case::encoded(
    b"HTTP/1.1 200 OK\r\nId: own\r\nSignature: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
    ReplyKind::Unusable
)]
#[case::nameless(
    b"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
    ReplyKind::Unusable
)]
#[case::until_close(b"HTTP/1.1 200 OK\r\nId: own\r\nSignature: s\r\n\r\nok", ReplyKind::Final)]
fn an_answer_is_told_for_what_it_is(#[case] answer: &'static [u8], #[case] kind: ReplyKind) {
    let (reply, _) = exchange(answer).unwrap();
    assert_eq!(NAMES.classify(&reply), kind);
    if kind == ReplyKind::Final && reply.head.status == 200 {
        assert_eq!(reply.body, b"ok");
    }
}

#[rstest]
#[case::cut_head(b"HTTP/1.1 200 OK\r\nId: o")]
#[case::cut_body(b"HTTP/1.1 200 OK\r\nId: own\r\nSignature: s\r\nContent-Length: 5\r\n\r\nok")]
#[case::cut_chunks(b"HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok")]
#[case::garbage(b"\x00\x01\x02 not http\r\n\r\n")]
#[case::only_a_stray_one(b"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno")]
#[case::nothing(b"")]
fn what_is_no_whole_answer_is_a_failure(#[case] answer: &'static [u8]) {
    assert!(matches!(exchange(answer), Err(Failure::Broken(_) | Failure::Malformed)));
}

#[test]
fn a_connection_with_bytes_left_is_not_used_again() {
    let (_, reusable) =
        exchange(b"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nokmore").unwrap();
    assert!(!reusable);
}

#[test]
fn a_refused_connection_sent_nothing() {
    let addr = {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.local_addr().unwrap()
    };
    assert!(async_io::block_on(Conn::open(addr, Millis(500))).is_err());
}
