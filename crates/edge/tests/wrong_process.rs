//! Answers of a process that is not the upstream at whose address it listens.

#![allow(clippy::unwrap_used)]

mod support;

use rstest::rstest;
use skylarkdock_http1::head::RequestHead;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use support::scripted::{self, Then};
use support::{Host, LONG};

/// Whose id an answer repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Repeats {
    Own,
    Other,
    Nothing,
}

/// How a request reaches the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Over {
    NewConnection,
    /// The first request on each connection is answered by the upstream.
    KeptConnection,
    AnotherHost,
}

fn good_answer(head: &RequestHead) -> (String, Then) {
    let id = head.headers.get_str("Id").unwrap();
    let fields = "Signature: s\r\nContent-Length: 0\r\n\r\n";
    (format!("HTTP/1.1 200 OK\r\nId: {id}\r\n{fields}"), Then::Keep)
}

fn fields(head: &RequestHead, repeats: Repeats, signature: Option<&str>) -> String {
    let id = head.headers.get_str("Id").unwrap();
    let id = match repeats {
        Repeats::Own => format!("Id: {id}\r\n"),
        Repeats::Other => format!("Id: {id}2\r\n"),
        Repeats::Nothing => String::new(),
    };
    let signature = signature.map_or_else(String::new, |value| format!("Signature: {value}\r\n"));
    format!("{id}{signature}")
}

/// Sends requests whose path begins with `/order/` to the process at `addr`.
async fn route_to(host: &Host, addr: std::net::SocketAddr, over: Over) {
    let config = support::config(1, &[("/order/", &[("orders", 1)])]);
    let mut state = support::state(&config, &[("orders", addr)]);
    if over == Over::AnotherHost {
        let intermediary = scripted::start_intermediary(support::PROTOCOL, addr);
        state.view.peers = Some(Arc::new(vec![support::peer(intermediary)]));
    }
    host.apply(state).await;
    if over == Over::AnotherHost {
        host.status.paths().on_failure(addr, &"cut off");
    }
}

async fn status_of(host: &Host, id: &str) -> u16 {
    let head = "GET /order/x HTTP/1.1\r\nHost: h.example\r\nDeadline: 3000\r\n";
    host.answer(&format!("{head}Id: {id}\r\n")).await.status
}

/// Guards against a final rejection in the name of an upstream that has not answered: only a signed answer that repeats the
/// request's id is passed on. Also guards against another run of a request that must run once.
#[rstest]
fn only_a_signed_answer_to_the_request_is_passed_on(
    #[values(301, 302, 304, 400, 401, 403, 404, 405, 408, 409, 413, 421, 429, 431, 503)]
    status: u16,
    #[values(None, Some(""), Some("s"))] signature: Option<&'static str>,
    #[values(Repeats::Own, Repeats::Other, Repeats::Nothing)] repeats: Repeats,
    #[values(Over::NewConnection, Over::KeptConnection, Over::AnotherHost)] over: Over,
) {
    support::with_host(LONG, |host| async move {
        let (addr, received) = scripted::start(move |head, number| {
            if over == Over::KeptConnection && number == 0 {
                return good_answer(head);
            }
            let fields = fields(head, repeats, signature);
            let end = "Connection: close\r\nContent-Length: 0\r\n\r\n";
            (format!("HTTP/1.1 {status} X\r\n{fields}{end}"), Then::Close)
        });
        route_to(&host, addr, over).await;
        let is_kept = over == Over::KeptConnection;
        if is_kept {
            assert_eq!(status_of(&host, "first").await, 200);
        }
        let expected = match (status, repeats) {
            // Without an id, it may be one to the first request once more.
            (421, Repeats::Nothing) if is_kept => 502,
            (421, Repeats::Own | Repeats::Nothing) => 503,
            (408 | 421 | 429 | 503, _) => 502,
            (_, Repeats::Own) if signature == Some("s") => status,
            _ => 502,
        };
        assert_eq!(status_of(&host, "a").await, expected);
        if status != 421 {
            assert_eq!(received.load(Ordering::SeqCst), 1 + usize::from(is_kept));
        }
    });
}

/// Guards against taking an answer that broke off for a whole one.
#[rstest]
#[case::in_the_status("", "HTTP/1.1 404")]
#[case::in_the_status_line("", "HTTP/1.1 404 X")]
#[case::in_a_field("", "HTTP/1.1 404 X\r\nId: a\r\nSigna")]
#[case::behind_a_field("", "HTTP/1.1 404 X\r\nId: a\r\nSignature: s\r\n")]
#[case::before_the_last_newline("", "HTTP/1.1 404 X\r\nId: a\r\nSignature: s\r\n\r")]
#[case::before_the_body("Content-Length: 3", "")]
#[case::in_the_body("Content-Length: 3", "ab")]
#[case::before_the_first_chunk("Transfer-Encoding: chunked", "")]
#[case::in_a_chunk("Transfer-Encoding: chunked", "3\r\nab")]
#[case::behind_a_chunk("Transfer-Encoding: chunked", "2\r\nab\r\n")]
#[case::in_the_last_chunk("Transfer-Encoding: chunked", "2\r\nab\r\n0\r\n")]
fn an_answer_that_breaks_off_is_not_passed_on(
    #[case] framing: &'static str,
    #[case] rest: &'static str,
    #[values(301, 404, 413, 200)] status: u16,
    #[values(Then::Close, Then::Reset)] then: Then,
    #[values(Over::NewConnection, Over::KeptConnection, Over::AnotherHost)] over: Over,
) {
    support::with_host(LONG, |host| async move {
        let (addr, received) = scripted::start(move |head, number| {
            if over == Over::KeptConnection && number == 0 {
                return good_answer(head);
            }
            let head = format!("HTTP/1.1 {status} X\r\nId: a\r\nSignature: s\r\n{framing}\r\n\r\n");
            let is_whole = !framing.is_empty();
            let text =
                if is_whole { head + rest } else { rest.replace("404", &status.to_string()) };
            (text, then)
        });
        route_to(&host, addr, over).await;
        let is_kept = over == Over::KeptConnection;
        if is_kept {
            assert_eq!(status_of(&host, "first").await, 200);
        }
        assert_eq!(status_of(&host, "a").await, 502);
        assert_eq!(received.load(Ordering::SeqCst), 1 + usize::from(is_kept));
    });
}

/// Guards against taking the part of an answer that was reset for the whole of one that ends with its connection.
#[rstest]
#[case::closed(Then::Close, 404)]
#[case::reset(Then::Reset, 502)]
fn an_answer_without_a_length_ends_with_its_connection(
    #[case] then: Then,
    #[case] expected: u16,
    #[values(Over::NewConnection, Over::AnotherHost)] over: Over,
) {
    support::with_host(LONG, |host| async move {
        let (addr, _) = scripted::start(move |head, _| {
            let fields = fields(head, Repeats::Own, Some("s"));
            (format!("HTTP/1.1 404 X\r\n{fields}\r\nab"), then)
        });
        route_to(&host, addr, over).await;
        assert_eq!(status_of(&host, "a").await, expected);
    });
}

/// Guards against passing on a status that is none, which a caller could not read.
#[rstest]
fn an_answer_without_a_valid_status_is_not_passed_on(
    #[values("000", "042", "099", "100", "101", "199", "600", "999")] status: &'static str,
    #[values(None, Some("s"))] signature: Option<&'static str>,
) {
    support::with_host(LONG, |host| async move {
        let (addr, received) = scripted::start(move |head, _| {
            let fields = fields(head, Repeats::Own, signature);
            (format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: 0\r\n\r\n"), Then::Close)
        });
        route_to(&host, addr, Over::NewConnection).await;
        assert_eq!(status_of(&host, "a").await, 502);
        assert_eq!(received.load(Ordering::SeqCst), 1);
    });
}

/// Guards against a final rejection of a request that an upstream has not run, whatever the status in which it says so.
#[rstest]
fn an_answer_that_says_that_it_has_not_run_is_no_rejection(
    #[values(200, 302, 400, 401, 404, 405, 408, 413, 421, 429, 500, 503)] status: u16,
    #[values(None, Some("s"))] signature: Option<&'static str>,
    #[values(Repeats::Own, Repeats::Nothing)] repeats: Repeats,
    #[values(Over::NewConnection, Over::AnotherHost)] over: Over,
) {
    support::with_host(LONG, |host| async move {
        let (addr, _) = scripted::start(move |head, _| {
            let fields = fields(head, repeats, signature);
            let end = "Not-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
            (format!("HTTP/1.1 {status} X\r\n{fields}{end}"), Then::Close)
        });
        route_to(&host, addr, over).await;
        let head = "GET /order/x HTTP/1.1\r\nHost: h.example\r\nDeadline: 100\r\nId: a\r\n";
        assert_eq!(host.answer(head).await.status, 503);
    });
}

/// Guards against taking a second copy of an answer, which arrives late on a connection in use again, for the answer to the
/// next request.
#[rstest]
#[case::none(0, 200)]
#[case::one(1, 200)]
#[case::several(4, 200)]
#[case::too_many(5, 502)]
fn a_second_copy_of_an_answer_is_not_taken_for_the_next_one(
    #[case] copies: usize,
    #[case] expected: u16,
    #[values(200, 302, 404, 500)] status: u16,
    #[values(Over::NewConnection, Over::AnotherHost)] over: Over,
) {
    support::with_host(LONG, |host| async move {
        let last = Mutex::new(String::new());
        let (addr, received) = scripted::start(move |head, _| {
            let mut last = last.lock().unwrap();
            let late = last.repeat(copies);
            let (status, body) = if last.is_empty() { (status, "first") } else { (200, "next") };
            let fields = fields(head, Repeats::Own, Some("s"));
            let answer = format!(
                "HTTP/1.1 {status} X\r\n{fields}Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            (*last).clone_from(&answer);
            (late + &answer, Then::Keep)
        });
        route_to(&host, addr, over).await;
        assert_eq!(status_of(&host, "a").await, status);
        let head = "GET /order/x HTTP/1.1\r\nHost: h.example\r\nDeadline: 3000\r\nId: b\r\n";
        let answer = host.answer(head).await;
        assert_eq!(answer.status, expected);
        assert!(answer.body.is_empty() || answer.body == b"next");
        assert_eq!(received.load(Ordering::SeqCst), 2);
    });
}

/// Guards against a final rejection in the name of a process that has taken over the address of another host.
#[rstest]
fn a_process_at_the_address_of_another_host_rejects_no_request(
    #[values(200, 302, 400, 401, 404, 405, 413, 421, 429, 431, 500, 503)] status: u16,
    #[values("", "no call", "\u{1}\u{2}\u{0}\u{0}")] body: &'static str,
    #[values(Then::Keep, Then::Close)] then: Then,
) {
    support::with_host(LONG, |host| async move {
        let (addr, received) = scripted::start(|head, _| good_answer(head));
        let (intermediary, _) = scripted::start(move |_, _| {
            let fields = format!("Id: a\r\nSignature: s\r\nContent-Length: {}", body.len());
            (format!("HTTP/1.1 {status} X\r\n{fields}\r\n\r\n{body}"), then)
        });
        let config = support::config(1, &[("/order/", &[("orders", 1)])]);
        let mut state = support::state(&config, &[("orders", addr)]);
        state.view.peers = Some(Arc::new(vec![support::peer(intermediary)]));
        host.apply(state).await;
        host.status.paths().on_failure(addr, &"cut off");
        let head = "GET /order/x HTTP/1.1\r\nHost: h.example\r\nDeadline: 100\r\nId: a\r\n";
        let status = host.answer(head).await.status;
        assert!(matches!(status, 502..=504), "{status}");
        assert_eq!(received.load(Ordering::SeqCst), 0);
    });
}
