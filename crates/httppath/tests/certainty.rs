//! Requests that were not sent are told from those that may have been run.
#![allow(clippy::unwrap_used)]

mod common;

use common::{CONNECT_TIMEOUT, ask, deadline, executor, get, raw_peer, read_head, serve, text};
use futures_lite::future::{block_on, pending, yield_now};
use rstest::rstest;
use skylarkdock_httppath::pool::{NotSent, Pool, ResponseLost, SendError};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

fn closed_port() -> std::net::SocketAddr {
    TcpListener::bind(("127.0.0.1", 0)).unwrap().local_addr().unwrap()
}

fn answer(stream: &mut TcpStream) {
    read_head(stream);
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").unwrap();
}

#[test]
fn refused_connection_is_not_sent() {
    let pool = Pool::builder(executor()).build();
    let sent = block_on(pool.send(closed_port(), get("/"), CONNECT_TIMEOUT, deadline()));
    assert!(matches!(sent, Err(SendError::NotSent(NotSent::Connect(_)))));
}

#[test]
fn stale_connection_without_another_is_not_sent() {
    let peer = raw_peer(vec![answer]);
    let pool = Pool::builder(executor()).build();
    block_on(ask(&pool, peer.addr, "/"));
    peer.thread.join().unwrap();
    let sent = block_on(pool.send(peer.addr, get("/"), CONNECT_TIMEOUT, deadline()));
    assert!(matches!(sent, Err(SendError::NotSent(NotSent::Connect(_)))));
}

fn close_after_head(stream: &mut TcpStream) {
    read_head(stream);
}

fn close_within_answer_head(stream: &mut TcpStream) {
    read_head(stream);
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-le").unwrap();
}

fn answer_nonsense(stream: &mut TcpStream) {
    read_head(stream);
    stream.write_all(b"no such protocol\r\n\r\n").unwrap();
}

#[rstest]
#[case::after_reading(close_after_head)]
#[case::within_the_answer(close_within_answer_head)]
#[case::with_nonsense(answer_nonsense)]
fn close_after_request_is_unknown(#[case] script: fn(&mut TcpStream)) {
    let peer = raw_peer(vec![script]);
    let pool = Pool::builder(executor()).build();
    let sent = block_on(pool.send(peer.addr, get("/"), CONNECT_TIMEOUT, deadline()));
    assert!(matches!(sent, Err(SendError::Unknown(ResponseLost::Closed(_)))));
    assert_eq!(pool.counts(peer.addr).open, 0);
}

#[test]
fn passed_deadline_is_not_sent_on_open_connection() {
    let executor = executor();
    let running = serve(&executor, |b| b, |_, _| async { text("ok") });
    let pool = Pool::builder(executor).build();
    block_on(ask(&pool, running.addr, "/"));
    let sent = block_on(pool.send(running.addr, get("/"), CONNECT_TIMEOUT, Instant::now()));
    assert!(matches!(sent, Err(SendError::NotSent(NotSent::Deadline))));
    assert_eq!(pool.counts(running.addr).idle, 1);
}

#[test]
fn deadline_while_running_is_unknown() {
    let executor = executor();
    let running = serve(&executor, |b| b, |_, _| pending());
    let pool = Pool::builder(executor).build();
    let soon = Instant::now() + Duration::from_millis(50);
    let sent = block_on(pool.send(running.addr, get("/"), CONNECT_TIMEOUT, soon));
    assert!(matches!(sent, Err(SendError::Unknown(ResponseLost::Deadline))));
    assert_eq!(pool.counts(running.addr).open, 0);
}

#[test]
fn deadline_in_queue_is_not_sent() {
    let executor = executor();
    let running = serve(&executor, |b| b, |_, _| pending());
    let pool = Pool::builder(executor.clone()).max_open(1).build();
    let (first, addr) = (pool.clone(), running.addr);
    let holder = executor.spawn(async move {
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
        holder.cancel().await;
    });
}

#[test]
fn forbidden_request_comes_back() {
    let executor = executor();
    let running = serve(&executor, |b| b, |_, _| async { text("ok") });
    let pool = Pool::builder(executor).build();
    for _ in 0..2 {
        let sent =
            pool.send_if_allowed(running.addr, get("/x"), CONNECT_TIMEOUT, deadline(), || false);
        let returned = block_on(sent).unwrap_err();
        assert!(matches!(returned.error, SendError::NotSent(NotSent::NotAllowed)));
        assert_eq!(returned.request.unwrap().uri(), "/x");
    }
    assert_eq!(pool.counts(running.addr).idle, 1);
}
