//! Answers of an upstream that never end.

#![allow(clippy::unwrap_used)]

use async_executor::LocalExecutor;
use async_io::{Timer, block_on};
use rstest::rstest;
use skylarkdock_edge::client::{self, Conn, Failure, Outgoing};
use skylarkdock_edge::pool::Pool;
use skylarkdock_http1::head::Headers;
use skylarkdock_units::times::Millis;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::Duration;

const PIECE_SIZE: usize = 64 * 1024;

/// Starts a peer that answers with `start` and then with `piece` until the connection is closed. It then reports that.
fn endless_peer(start: &'static str, piece: &'static str) -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (tx, rx) = mpsc::channel();
    let pieces = piece.repeat(PIECE_SIZE / piece.len());
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (tx, pieces, mut stream) = (tx.clone(), pieces.clone(), stream.unwrap());
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 4096]).unwrap();
                let _ = stream.write_all(start.as_bytes());
                while stream.write_all(pieces.as_bytes()).is_ok() {}
                tx.send(()).unwrap();
            });
        }
    });
    (addr, rx)
}

async fn exchange(addr: SocketAddr) -> Result<(), Failure> {
    let mut conn = Conn::open(addr, Millis(5_000)).await.unwrap();
    let mut req = Outgoing::new("GET", "/", &Headers::default(), &[]);
    req.id = Some(("Id", "own".to_owned()));
    conn.exchange(&req).await.map(|_| ())
}

#[rstest]
#[case::bytes_that_are_no_answer("", "x")]
#[case::a_header("HTTP/1.1 200 OK\r\nName: ", "x")]
#[case::headers("HTTP/1.1 200 OK\r\n", "Name: value\r\n")]
#[case::interim_answers("", "HTTP/1.1 103 Hint\r\n\r\n")]
#[case::a_body_until_the_end("HTTP/1.1 200 OK\r\nId: own\r\n\r\n", "x")]
#[case::a_body_with_a_length("HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", "x")]
#[case::chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n")]
#[case::a_chunk_size("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;", "x")]
#[case::trailers("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n")]
#[case::answers_to_other_requests(
    "",
    "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno"
)]
fn an_endless_answer_is_given_up_and_its_connection_closed(
    #[case] start: &'static str,
    #[case] piece: &'static str,
) {
    let (addr, closed) = endless_peer(start, piece);
    assert!(matches!(block_on(exchange(addr)), Err(Failure::Malformed)));
    closed.recv().unwrap();
}

/// Each answer is below the limit of a single one for long, and all together would exhaust the host's memory.
#[test]
fn endless_answers_together_stay_within_the_memory_for_answers() {
    const ANSWERS: usize = 60;
    let (addr, closed) = endless_peer("HTTP/1.1 200 OK\r\n\r\n", "x");
    let ex = LocalExecutor::new();
    let tasks: Vec<_> = (0..ANSWERS).map(|_| ex.spawn(exchange(addr))).collect();
    block_on(ex.run(async {
        for task in tasks {
            assert!(client::buffered() <= client::MAX_BUFFERED + ANSWERS * 16 * 1024);
            assert!(matches!(task.await, Err(Failure::Malformed)));
        }
    }));
    (0..ANSWERS).for_each(|_| closed.recv().unwrap());
}

/// Bytes that come after a whole answer took memory as long as the upstream had announced that it keeps the connection.
#[test]
fn an_idle_connection_with_bytes_behind_its_answer_is_closed() {
    const IDLE_TIME: Duration = Duration::from_millis(1_100);
    let head =
        "HTTP/1.1 200 OK\r\nId: own\r\nKeep-Alive: timeout=100000\r\nContent-Length: 0\r\n\r\n";
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (tx, rx) = mpsc::channel::<()>();
    let peer = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4096]).unwrap();
        stream.write_all(head.as_bytes()).unwrap();
        rx.recv().unwrap();
        let piece = "x".repeat(PIECE_SIZE);
        while stream.write_all(piece.as_bytes()).is_ok() {}
    });
    let mut pool = Pool::default();
    block_on(async {
        let mut conn = Conn::open(addr, Millis(5_000)).await.unwrap();
        let mut req = Outgoing::new("GET", "/", &Headers::default(), &[]);
        req.id = Some(("Id", "own".to_owned()));
        let (_, reusable) = conn.exchange(&req).await.unwrap();
        assert!(reusable);
        pool.put(addr, conn, 1);
        Timer::after(IDLE_TIME).await;
    });
    pool.close_expired();
    assert!(pool.has_open(addr), "a clean connection stays");
    tx.send(()).unwrap();
    // The peer's bytes end only when the connection is closed.
    while !peer.is_finished() {
        pool.close_expired();
        thread::yield_now();
    }
    peer.join().unwrap();
    assert!(!pool.has_open(addr));
}
