//! Responses that are not valid HTTP are none: the request may have run, and the connection is closed.
#![allow(clippy::unwrap_used)]

mod common;

use common::{CONNECT_TIMEOUT, deadline, executor, get};
use futures_lite::future::block_on;
use rstest::rstest;
use skylarkdock_httppath::pool::{Pool, SendError};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{self, Receiver};
use std::thread;

const FIELDS: &str = "content-length: 2\r\n\r\nok";

/// Starts a peer that answers each request on each connection in the same way, and then with `more` until the connection is
/// closed. Returns a message for each connection that has closed.
fn peer(answer: String, more: &'static str) -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    let (tx, closed) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut buf = [0; 4096];
            while stream.read(&mut buf).is_ok_and(|len| len > 0) {
                let _ = stream.write_all(answer.as_bytes());
                while !more.is_empty() && stream.write_all(more.as_bytes()).is_ok() {}
            }
            let _ = tx.send(());
        }
    });
    (addr, closed)
}

/// Guards against an answer that is none of HTTP, which callers got and which the deduplication memory kept.
#[rstest]
#[case::zero("HTTP/1.1 000 X")]
#[case::below("HTTP/1.1 099 X")]
#[case::above("HTTP/1.1 600 X")]
#[case::far_above("HTTP/1.1 999 X")]
#[case::switching("HTTP/1.1 101 Switching Protocols")]
#[case::two_digits("HTTP/1.1 20 OK")]
#[case::four_digits("HTTP/1.1 2000 OK")]
#[case::sign("HTTP/1.1 +20 OK")]
#[case::version("HTTP/2 200 OK")]
#[case::no_space("HTTP/1.1200 OK")]
#[case::two_spaces("HTTP/1.1  200 OK")]
#[case::control_byte("HTTP/1.1 200 O\x07K")]
#[case::blank_in_a_name("HTTP/1.1 200 OK\r\nOdd Name: x")]
#[case::blank_behind_a_name("HTTP/1.1 200 OK\r\nName : x")]
#[case::tab_behind_a_name("HTTP/1.1 200 OK\r\nName\t: x")]
#[case::blank_before_a_name("HTTP/1.1 200 OK\r\n Name: x")]
#[case::control_byte_in_a_name("HTTP/1.1 200 OK\r\nNa\x01me: x")]
#[case::vertical_tab_in_a_name("HTTP/1.1 200 OK\r\nNa\x0bme: x")]
#[case::delete_in_a_name("HTTP/1.1 200 OK\r\nNa\x7fme: x")]
#[case::zero_in_a_name("HTTP/1.1 200 OK\r\nNa\0me: x")]
#[case::return_in_a_name("HTTP/1.1 200 OK\r\nNa\rme: x")]
#[case::no_name("HTTP/1.1 200 OK\r\n: x")]
#[case::no_colon("HTTP/1.1 200 OK\r\nName")]
#[case::folded("HTTP/1.1 200 OK\r\nName: x\r\n folded")]
#[case::blank_behind_the_length("HTTP/1.1 200 OK\r\nContent-Length : 1")]
#[case::chunked_in_an_older_version("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked")]
fn a_response_with_an_odd_head_is_lost(#[case] line: &str) {
    let (addr, closed) = peer(format!("{line}\r\n{FIELDS}"), "");
    let pool = Pool::builder(executor()).build();
    for _ in 0..2 {
        let sent = block_on(pool.send(addr, get("/"), CONNECT_TIMEOUT, deadline()));
        assert!(matches!(sent, Err(SendError::Unknown(_))), "{sent:?}");
        assert_eq!(pool.counts(addr).open, 0);
        closed.recv().unwrap();
    }
}

#[rstest]
#[case::continue_first("HTTP/1.1 100 Continue\r\n\r\n", 1)]
#[case::progress("HTTP/1.1 102 Processing\r\n\r\n", 8)]
fn a_few_interim_responses_are_skipped(#[case] interim: &str, #[case] count: usize) {
    let (addr, _closed) = peer(format!("{}HTTP/1.1 200 OK\r\n{FIELDS}", interim.repeat(count)), "");
    let pool = Pool::builder(executor()).build();
    for _ in 0..3 {
        let res = block_on(pool.send(addr, get("/"), CONNECT_TIMEOUT, deadline())).unwrap();
        assert_eq!(res.status(), 200);
    }
}

/// Guards against an upstream that keeps a thread busy with interim responses, also beyond the request's deadline.
#[rstest]
#[case::then_an_answer(40, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", "")]
#[case::without_end(1, "", "HTTP/1.1 102 X\r\n\r\n")]
fn many_interim_responses_count_as_none(
    #[case] count: usize,
    #[case] end: &str,
    #[case] more: &'static str,
) {
    let (addr, closed) = peer(format!("{}{end}", "HTTP/1.1 102 X\r\n\r\n".repeat(count)), more);
    let pool = Pool::builder(executor()).build();
    let sent = block_on(pool.send(addr, get("/"), CONNECT_TIMEOUT, deadline()));
    assert!(matches!(sent, Err(SendError::Unknown(_))), "{sent:?}");
    assert_eq!(pool.counts(addr).open, 0);
    closed.recv().unwrap();
}
