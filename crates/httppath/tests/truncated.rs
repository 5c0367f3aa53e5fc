//! A body that does not arrive completely is an error, also when a proxy forwards it.
#![allow(clippy::unwrap_used)]

mod common;

use common::{
    CONNECT_TIMEOUT, MAX_BODY_SIZE, deadline, executor, get, read_request_head, scripted_peer,
    serve, text_response,
};
use futures_lite::future::block_on;
use rstest::rstest;
use rustix::net::sockopt;
use skylarkdock_httppath::body::{self, BodyError};
use skylarkdock_httppath::pool::{Pool, ResponseLost, SendError};
use skylarkdock_units::measures::ByteSize;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Number of requests whose connection is reset.
const RESETS: usize = 20;
/// Size of the body of each of these, more than the buffers of a connection hold.
const LONG_BODY: usize = 16 * 1024 * 1024;
/// Number of its bytes that the peer reads, so that the write goes on when it resets the connection.
const READ_PART: usize = 1024 * 1024;

fn end_before_length(stream: &mut TcpStream) {
    read_request_head(stream);
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhell").unwrap();
}

fn end_within_chunk(stream: &mut TcpStream) {
    read_request_head(stream);
    stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhel").unwrap();
}

fn no_last_chunk(stream: &mut TcpStream) {
    read_request_head(stream);
    let bytes = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n";
    stream.write_all(bytes).unwrap();
}

fn no_length(stream: &mut TcpStream) {
    read_request_head(stream);
    stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhello").unwrap();
}

fn complete_chunks(stream: &mut TcpStream) {
    read_request_head(stream);
    let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head).unwrap();
    stream.write_all(b"5\r\nhello\r\n0\r\n\r\n").unwrap();
    read_request_head(stream);
}

#[rstest]
#[case::end_before_length(end_before_length)]
#[case::end_within_chunk(end_within_chunk)]
#[case::no_last_chunk(no_last_chunk)]
fn truncated_body_is_error(#[case] script: fn(&mut TcpStream)) {
    let peer = scripted_peer(vec![script]);
    let pool = Pool::builder(executor()).build();
    let res = block_on(pool.send(peer.addr, get("/"), CONNECT_TIMEOUT, deadline())).unwrap();
    let read = block_on(body::collect(res.into_body(), MAX_BODY_SIZE));
    assert!(matches!(read, Err(BodyError::Truncated(_))));
    assert_eq!(pool.counts(peer.addr).open, 0);
}

fn not_chunked(stream: &mut TcpStream) {
    read_request_head(stream);
    stream.write_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nhello").unwrap();
}

#[rstest]
#[case::no_length(no_length)]
#[case::not_chunked(not_chunked)]
fn body_without_length_is_error(#[case] script: fn(&mut TcpStream)) {
    let peer = scripted_peer(vec![script]);
    let pool = Pool::builder(executor()).build();
    let res = block_on(pool.send(peer.addr, get("/"), CONNECT_TIMEOUT, deadline())).unwrap();
    let read = block_on(body::collect(res.into_body(), MAX_BODY_SIZE));
    assert!(matches!(read, Err(BodyError::Unframed)));
}

/// Answers a part of a long request, and resets the connection.
fn answer_and_reset(stream: &mut TcpStream, answer: &[u8]) {
    stream.read_exact(&mut vec![0; READ_PART]).unwrap();
    stream.write_all(answer).unwrap();
    sockopt::set_socket_linger(&*stream, Some(Duration::ZERO)).unwrap();
}

fn reset_without_length(stream: &mut TcpStream) {
    answer_and_reset(stream, b"HTTP/1.1 200 OK\r\n\r\npart");
}

fn reset_without_body(stream: &mut TcpStream) {
    answer_and_reset(stream, b"HTTP/1.1 200 OK\r\n\r\n");
}

fn reset_before_length(stream: &mut TcpStream) {
    answer_and_reset(stream, b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\npart");
}

/// The write of the request may learn of the reset before the read of the response does, which then ends as after a close.
#[rstest]
#[case::without_length(reset_without_length)]
#[case::without_body(reset_without_body)]
#[case::before_length(reset_before_length)]
fn response_that_ends_with_a_reset_is_error(#[case] script: fn(&mut TcpStream)) {
    let pool = Pool::builder(executor()).build();
    for _ in 0..RESETS {
        let peer = scripted_peer(vec![script]);
        let mut req = get("/");
        *req.method_mut() = http::Method::POST;
        *req.body_mut() = body::full(vec![b'x'; LONG_BODY]);
        match block_on(pool.send(peer.addr, req, CONNECT_TIMEOUT, deadline())) {
            Err(e) => assert!(matches!(e, SendError::Unknown(_)), "{e:?}"),
            Ok(res) => {
                let read = block_on(body::collect(res.into_body(), MAX_BODY_SIZE));
                assert!(read.is_err(), "{read:?}");
            }
        }
        assert_eq!(pool.counts(peer.addr).open, 0);
    }
}

#[test]
fn complete_chunked_body_releases_connection() {
    let peer = scripted_peer(vec![complete_chunks]);
    let pool = Pool::builder(executor()).build();
    let res = block_on(pool.send(peer.addr, get("/"), CONNECT_TIMEOUT, deadline())).unwrap();
    assert_eq!(pool.counts(peer.addr).idle, 0);
    assert_eq!(block_on(body::collect(res.into_body(), MAX_BODY_SIZE)).unwrap(), "hello");
    assert_eq!(pool.counts(peer.addr).idle, 1);
    pool.remove(peer.addr);
    peer.thread.join().unwrap();
}

#[test]
fn oversized_body_is_rejected() {
    let executor = executor();
    let server = serve(&executor, |b| b, |_, _| async { text_response("0123456789") });
    let pool = Pool::builder(executor).build();
    let res = block_on(pool.send(server.addr, get("/"), CONNECT_TIMEOUT, deadline())).unwrap();
    let read = block_on(body::collect(res.into_body(), ByteSize(9)));
    assert!(matches!(read, Err(BodyError::TooLarge { limit: ByteSize(9) })));
}

#[test]
fn truncated_upstream_body_is_error_for_caller() {
    let peer = scripted_peer(vec![no_last_chunk]);
    let executor = executor();
    let upstream = Pool::builder(executor.clone()).build();
    let proxy = serve(
        &executor,
        |b| b,
        move |_, _| {
            let upstream = upstream.clone();
            async move { upstream.send(peer.addr, get("/"), CONNECT_TIMEOUT, deadline()).await.unwrap() }
        },
    );
    let pool = Pool::builder(executor).build();
    // The proxy may notice the truncation before or after it has sent the response head.
    match block_on(pool.send(proxy.addr, get("/"), CONNECT_TIMEOUT, deadline())) {
        Err(e) => assert!(matches!(e, SendError::Unknown(ResponseLost::Closed(_)))),
        Ok(res) => {
            let read = block_on(body::collect(res.into_body(), MAX_BODY_SIZE));
            assert!(matches!(read, Err(BodyError::Truncated(_))));
        }
    }
}
