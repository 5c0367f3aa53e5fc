//! Errors of a send tell requests that were not sent from those that may have been run.
#![allow(clippy::unwrap_used)]

mod common;

use common::{
    CONNECT_TIMEOUT, deadline, executor, get, get_text, read_request_head, scripted_peer, serve,
    text_response,
};
use futures_lite::future::{block_on, pending, yield_now};
use rstest::rstest;
use skylarkdock_httppath::pool::{NotSent, Pool, ResponseLost, SendError};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

fn closed_port() -> std::net::SocketAddr {
    TcpListener::bind(("127.0.0.1", 0)).unwrap().local_addr().unwrap()
}

fn respond_ok(stream: &mut TcpStream) {
    read_request_head(stream);
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").unwrap();
}

#[test]
fn refused_connection_is_not_sent() {
    let pool = Pool::builder(executor()).build();
    let sent = block_on(pool.send(closed_port(), get("/"), CONNECT_TIMEOUT, deadline()));
    assert!(matches!(sent, Err(SendError::NotSent(NotSent::Connect(_)))));
}

#[test]
fn stale_connection_to_stopped_server_is_not_sent() {
    let peer = scripted_peer(vec![respond_ok]);
    let pool = Pool::builder(executor()).build();
    block_on(get_text(&pool, peer.addr, "/"));
    peer.thread.join().unwrap();
    let sent = block_on(pool.send(peer.addr, get("/"), CONNECT_TIMEOUT, deadline()));
    assert!(matches!(sent, Err(SendError::NotSent(NotSent::Connect(_)))));
}

fn close_after_request_head(stream: &mut TcpStream) {
    read_request_head(stream);
}

fn close_within_response_head(stream: &mut TcpStream) {
    read_request_head(stream);
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-le").unwrap();
}

fn send_malformed_head(stream: &mut TcpStream) {
    read_request_head(stream);
    stream.write_all(b"no such protocol\r\n\r\n").unwrap();
}

#[rstest]
#[case::after_request_head(close_after_request_head)]
#[case::within_response_head(close_within_response_head)]
#[case::with_malformed_head(send_malformed_head)]
fn close_after_request_is_unknown(#[case] script: fn(&mut TcpStream)) {
    let peer = scripted_peer(vec![script]);
    let pool = Pool::builder(executor()).build();
    let sent = block_on(pool.send(peer.addr, get("/"), CONNECT_TIMEOUT, deadline()));
    assert!(matches!(sent, Err(SendError::Unknown(ResponseLost::Closed(_)))));
    assert_eq!(pool.counts(peer.addr).open, 0);
}

#[test]
fn passed_deadline_on_open_connection_is_not_sent() {
    let executor = executor();
    let server = serve(&executor, |b| b, |_, _| async { text_response("ok") });
    let pool = Pool::builder(executor).build();
    block_on(get_text(&pool, server.addr, "/"));
    let sent = block_on(pool.send(server.addr, get("/"), CONNECT_TIMEOUT, Instant::now()));
    assert!(matches!(sent, Err(SendError::NotSent(NotSent::Deadline))));
    assert_eq!(pool.counts(server.addr).idle, 1);
}

#[test]
fn deadline_after_sending_is_unknown() {
    let executor = executor();
    let server = serve(&executor, |b| b, |_, _| pending());
    let pool = Pool::builder(executor).build();
    let soon = Instant::now() + Duration::from_millis(50);
    let sent = block_on(pool.send(server.addr, get("/"), CONNECT_TIMEOUT, soon));
    assert!(matches!(sent, Err(SendError::Unknown(ResponseLost::Deadline))));
    assert_eq!(pool.counts(server.addr).open, 0);
}

#[test]
fn deadline_in_queue_is_not_sent() {
    let executor = executor();
    let server = serve(&executor, |b| b, |_, _| pending());
    let pool = Pool::builder(executor.clone()).max_open(1).build();
    let (first, addr) = (pool.clone(), server.addr);
    let blocking_send = executor.spawn(async move {
        first.send(addr, get("/"), CONNECT_TIMEOUT, deadline()).await.is_ok()
    });
    block_on(async {
        while pool.counts(addr).open == 0 {
            yield_now().await;
        }
        let soon = Instant::now() + Duration::from_millis(50);
        let sent = pool.send(addr, get("/"), CONNECT_TIMEOUT, soon).await;
        assert!(matches!(sent, Err(SendError::NotSent(NotSent::QueueTimeout))));
        assert_eq!(pool.counts(addr).waiting, 0);
        blocking_send.cancel().await;
    });
}

#[test]
fn request_that_is_not_allowed_is_returned() {
    let executor = executor();
    let server = serve(&executor, |b| b, |_, _| async { text_response("ok") });
    let pool = Pool::builder(executor).build();
    for _ in 0..2 {
        let sent =
            pool.send_if_allowed(server.addr, get("/x"), CONNECT_TIMEOUT, deadline(), || false);
        let failed = block_on(sent).unwrap_err();
        assert!(matches!(failed.error, SendError::NotSent(NotSent::NotAllowed)));
        assert_eq!(failed.request.unwrap().uri(), "/x");
    }
    assert_eq!(pool.counts(server.addr).idle, 1);
}
