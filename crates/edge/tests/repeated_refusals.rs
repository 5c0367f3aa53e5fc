//! Upstreams that write an earlier refusal once more on a kept connection, while they run the next request.

#![allow(clippy::unwrap_used)]

mod support;

use rstest::rstest;
use skylarkdock_dispatch::key_owners::KeyMap;
use skylarkdock_http1::head::RequestHead;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use support::{LONG, scripted};

/// Starts an upstream that refuses the first request on each connection and runs the others. Before it answers the second
/// one, it writes the refusal once more. Returns its address and the number of runs.
fn upstream(refusal: fn(&str) -> String) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let runs = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&runs);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let runs = Arc::clone(&counted);
            thread::spawn(move || serve(stream.unwrap(), refusal, &runs));
        }
    });
    (addr, runs)
}

fn serve(mut stream: TcpStream, refusal: fn(&str) -> String, runs: &AtomicUsize) {
    let mut buf = Vec::new();
    let mut refused = None;
    loop {
        let head = loop {
            if let Some((head, len)) = RequestHead::parse(&buf).unwrap() {
                buf.drain(..len);
                break head;
            }
            let mut chunk = [0; 4096];
            match stream.read(&mut chunk) {
                Ok(0) | Err(_) => return,
                Ok(len) => buf.extend_from_slice(&chunk[..len]),
            }
        };
        let id = head.headers.get_str("Id").unwrap();
        let answer = match &refused {
            None => refused.insert(refusal(id)).clone(),
            Some(refusal) => {
                runs.fetch_add(1, Ordering::SeqCst);
                let fields = format!("Id: {id}\r\nSignature: s\r\nContent-Length: 0\r\n\r\n");
                format!("{refusal}HTTP/1.1 200 OK\r\n{fields}")
            }
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn shed(id: &str) -> String {
    format!("HTTP/1.1 503 X\r\nId: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

fn misdirected(id: &str) -> String {
    format!("HTTP/1.1 421 X\r\nId: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

fn not_run_with_success(id: &str) -> String {
    format!("HTTP/1.1 200 X\r\nId: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

fn not_run_with_redirection(id: &str) -> String {
    format!("HTTP/1.1 302 X\r\nId: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
}

fn shed_without_id(_: &str) -> String {
    "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
}

fn misdirected_without_id(_: &str) -> String {
    "HTTP/1.1 421 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
}

/// A request for a key is refused by its owner and sent there again. The refusal that comes once more must not pass for the
/// answer to the second attempt, which runs.
#[rstest]
fn a_refusal_is_not_taken_for_the_answer_to_the_next_attempt(
    #[values(
        shed,
        misdirected,
        shed_without_id,
        misdirected_without_id,
        not_run_with_success,
        not_run_with_redirection
    )]
    refusal: fn(&str) -> String,
) {
    support::with_host(LONG, move |host| async move {
        let (addr, runs) = upstream(refusal);
        let config = support::config(1, &[("/films/", &[("films", 1)])]);
        let mut state = support::state(&config, &[("films", addr)]);
        let owner = state.upstreams[0].id().clone();
        state.view.keys =
            vec![("films".parse().unwrap(), KeyMap::new(vec![(u16::MAX, Some(owner))]))];
        host.apply(state).await;
        let head = "GET /films/x HTTP/1.1\r\nHost: h.example\r\nId: a\r\nKey: 7\r\n";
        let answer = host.answer(head).await;
        assert!(runs.load(Ordering::SeqCst) <= 1, "it ran {runs:?} times");
        let has_run = runs.load(Ordering::SeqCst) > 0;
        assert!(!has_run || answer.status != 503, "it ran and the caller was told otherwise");
    });
}

/// The next request on the connection is another one: the refusal that comes once more is that of the first.
#[rstest]
#[case::with_id(shed, 200)]
#[case::without_id(shed_without_id, 502)]
#[case::misdirected_without_id(misdirected_without_id, 502)]
fn a_refusal_is_not_taken_for_the_answer_to_another_request(
    #[case] refusal: fn(&str) -> String,
    #[case] status: u16,
) {
    support::with_host(LONG, move |host| async move {
        let (addr, runs) = upstream(refusal);
        let config = support::config(1, &[("/order/", &[("orders", 1)])]);
        host.apply(support::state(&config, &[("orders", addr)])).await;
        // Soon given up, so that its connection is still young enough for the next request.
        let head = "GET /order/x HTTP/1.1\r\nHost: h.example\r\nId: a\r\nDeadline: 200\r\n";
        let first = host.answer(head).await;
        assert_eq!((first.status, runs.load(Ordering::SeqCst)), (503, 0));
        let second = host.answer("GET /order/x HTTP/1.1\r\nHost: h.example\r\nId: b\r\n").await;
        assert_eq!((second.status, runs.load(Ordering::SeqCst)), (status, 1));
    });
}

/// The same over another host, whose connection to the upstream the next attempt may share.
#[rstest]
fn a_refusal_is_not_taken_for_the_answer_to_the_next_attempt_over_another_host(
    #[values(
        shed,
        misdirected,
        shed_without_id,
        misdirected_without_id,
        not_run_with_success,
        not_run_with_redirection
    )]
    refusal: fn(&str) -> String,
) {
    support::with_host(LONG, move |host| async move {
        let (addr, runs) = upstream(refusal);
        let config = support::config(1, &[("/films/", &[("films", 1)])]);
        let mut state = support::state(&config, &[("films", addr)]);
        let owner = state.upstreams[0].id().clone();
        state.view.keys =
            vec![("films".parse().unwrap(), KeyMap::new(vec![(u16::MAX, Some(owner))]))];
        let intermediary = scripted::start_intermediary(support::PROTOCOL, addr);
        state.view.peers = Some(Arc::new(vec![support::peer(intermediary)]));
        host.apply(state).await;
        host.status.paths().on_failure(addr, &"cut off");
        for id in ["a", "b"] {
            let head = "GET /films/x HTTP/1.1\r\nHost: h.example\r\nKey: 7\r\nDeadline: 500\r\n";
            let runs_before = runs.load(Ordering::SeqCst);
            let answer = host.answer(&format!("{head}Id: {id}\r\n")).await;
            let runs = runs.load(Ordering::SeqCst) - runs_before;
            assert!(runs <= 1, "it ran {runs} times");
            assert!(runs == 0 || answer.status != 503, "it ran and the caller was told otherwise");
        }
    });
}
