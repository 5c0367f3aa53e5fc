//! Answers of an upstream that never end.

#![allow(clippy::unwrap_used)]

use async_executor::LocalExecutor;
use async_io::block_on;
use rstest::rstest;
use skylarkdock_edge::client::{self, Conn, Failure, Outgoing};
use skylarkdock_http1::head::Headers;
use skylarkdock_units::times::Millis;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{self, Receiver};
use std::thread;

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
