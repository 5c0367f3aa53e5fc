//! Answers that arrive before a long request is written, on connections that the peer then resets.
//!
//! The system reports a reset to one call only. If that is the write of the request, reads return what has arrived and then
//! the end, as after an orderly close.

#![allow(clippy::unwrap_used)]

mod support;

use async_io::block_on;
use futures_lite::future;
use rstest::rstest;
use rustix::net::sockopt;
use skylarkdock_edge::client::{Conn, ControlClient, Failure, Outgoing, Reply};
use skylarkdock_http1::head::Headers;
use skylarkdock_units::times::Millis;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use support::held_reads;

const TIMEOUT: Millis = Millis(20_000);
/// Size of a body that the buffers of a connection don't hold.
const LONG_BODY: usize = 32 * 1024 * 1024;
/// Number of control calls. In most of them the write learns of the reset before the read does.
const CALLS: usize = 40;
/// Number of bytes of each control call that the peer reads, so that the write goes on when it resets the connection.
const READ_PART: usize = 1024 * 1024;

/// How a peer ends a connection whose input it has not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Reset,
    /// With an orderly end of its output first.
    CloseAndReset,
}

fn finish(stream: &mut TcpStream, answer: &[u8], end: End) {
    stream.write_all(answer).unwrap();
    if end == End::CloseAndReset {
        stream.shutdown(Shutdown::Write).unwrap();
    }
    sockopt::set_socket_linger(&*stream, Some(Duration::ZERO)).unwrap();
}

/// Returns what becomes of a long request whose write learns of the end of the connection before the answer is read.
fn exchange(answer: &[u8], end: End, is_kept: bool) -> Result<Reply, Failure> {
    let _turn = held_reads::wait_for_turn();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let mut conn = block_on(Conn::open(addr, TIMEOUT)).unwrap();
    let (mut stream, _) = listener.accept().unwrap();
    if is_kept {
        let mut req = Outgoing::new("GET", "/", &Headers::default(), &[]);
        req.id = Some(("Id", "first".to_owned()));
        stream.write_all(b"HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 0\r\n\r\n").unwrap();
        assert!(block_on(conn.exchange(&req)).unwrap().1);
        let _ = stream.read(&mut [0; 4096]).unwrap();
    }
    let body = Arc::new(vec![b'x'; LONG_BODY]);
    let mut req = Outgoing::sharing("POST", "/", &Headers::default(), &body);
    req.id = Some(("Id", "own".to_owned()));
    let mut exchange = Box::pin(conn.exchange(&req));
    held_reads::hold();
    assert!(block_on(future::poll_once(&mut exchange)).is_none());
    let _ = stream.read(&mut [0; 4096]).unwrap();
    finish(&mut stream, answer, end);
    drop(stream);
    thread::sleep(held_reads::RESET_TIME);
    assert!(block_on(future::poll_once(&mut exchange)).is_none());
    held_reads::release();
    block_on(exchange).map(|(reply, _)| reply)
}

/// Guards against taking the part that arrived before a reset for the whole of an answer.
#[rstest]
#[case::until_the_end("Id: own\r\n\r\npart")]
#[case::until_the_end_without_a_body("Id: own\r\n\r\n")]
#[case::shorter_than_its_length("Id: own\r\nContent-Length: 5\r\n\r\npart")]
#[case::without_the_last_chunk("Id: own\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")]
#[case::in_the_head("Id: own\r\n")]
fn an_answer_whose_end_is_a_reset_is_broken(
    #[case] rest: &str,
    #[values(200, 404)] status: u16,
    #[values(false, true)] is_kept: bool,
) {
    let answer = format!("HTTP/1.1 {status} X\r\n{rest}");
    let result = exchange(answer.as_bytes(), End::Reset, is_kept);
    assert!(matches!(result, Err(Failure::Broken(_))), "{result:?}");
}

/// Guards against the loss of an answer that had arrived whole before the connection was reset.
#[rstest]
#[case::with_a_length("Id: own\r\nContent-Length: 5\r\n\r\nwhole", End::Reset)]
#[case::chunked("Id: own\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", End::Reset)]
#[case::until_an_orderly_end("Id: own\r\n\r\nwhole", End::CloseAndReset)]
fn an_answer_that_ended_before_a_reset_is_whole(
    #[case] rest: &str,
    #[case] end: End,
    #[values(false, true)] is_kept: bool,
) {
    let answer = format!("HTTP/1.1 413 X\r\n{rest}");
    let reply = exchange(answer.as_bytes(), end, is_kept).unwrap();
    assert_eq!((reply.head.status, reply.body.as_slice()), (413, &b"whole"[..]));
}

/// Guards against taking a part of an answer of the store or of another host for the whole. Such reads can't be held back.
#[test]
fn a_control_call_whose_answer_ends_with_a_reset_is_broken() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            stream.read_exact(&mut vec![0; READ_PART]).unwrap();
            finish(&mut stream, b"HTTP/1.1 200 X\r\n\r\npart", End::Reset);
        }
    });
    let body = Arc::new(vec![b'x'; LONG_BODY]);
    let mut client = ControlClient::new(addr);
    for _ in 0..CALLS {
        let req = Outgoing::sharing("POST", "/", &Headers::default(), &body);
        let result = block_on(client.call(&req, TIMEOUT));
        assert!(matches!(result, Err(Failure::Broken(_))), "{result:?}");
        assert!(!client.is_connected());
    }
}
