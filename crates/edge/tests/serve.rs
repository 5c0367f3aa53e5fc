//! Connections of callers: pipelining, cancellation, shutdown and malformed requests.

#![allow(clippy::unwrap_used)]

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use futures_lite::io::{AsyncReadExt, AsyncWriteExt};
use rstest::rstest;
use skylarkdock_dispatch::descriptors::Shares;
use skylarkdock_edge::answer::{Answer, OwnStatus};
use skylarkdock_edge::listener::ListenerState;
use skylarkdock_edge::serve::{self, AnswerFuture, Incoming, Limits};
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::times::Millis;
use std::cell::Cell;
use std::future::Future;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

struct Server {
    addr: SocketAddr,
    shared: Rc<ListenerState>,
    started: Rc<Cell<usize>>,
    cancelled: Rc<Cell<usize>>,
}

/// Counts a request as cancelled if its handler is dropped before it is done.
struct CancelGuard(Rc<Cell<usize>>, bool);

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.1 {
            self.0.set(self.0.get() + 1);
        }
    }
}

/// Runs a server whose answers contain the request path and are delayed by the number of milliseconds in it.
fn with_server<Fut: Future<Output = ()>>(test: impl FnOnce(Server) -> Fut) {
    let ex = Rc::new(LocalExecutor::new());
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let server = Server {
        addr: listener.get_ref().local_addr().unwrap(),
        shared: Rc::new(ListenerState::default()),
        started: Rc::default(),
        cancelled: Rc::default(),
    };
    let (started, cancelled) = (Rc::clone(&server.started), Rc::clone(&server.cancelled));
    let handler = Rc::new(move |req: Incoming| -> AnswerFuture {
        started.set(started.get() + 1);
        let cancelled = Rc::clone(&cancelled);
        Box::pin(async move {
            let mut guard = CancelGuard(cancelled, false);
            let ms: u64 = req.head.target.trim_start_matches('/').parse().unwrap_or(0);
            Timer::after(Duration::from_millis(ms)).await;
            guard.1 = true;
            Answer::with_body(OwnStatus::Ok, req.head.target.into_bytes())
        })
    });
    let shared = Rc::clone(&server.shared);
    ex.spawn(serve::accept(Rc::clone(&ex), listener, shared, handler)).detach();
    async_io::block_on(ex.run(test(server)));
}

async fn connect(addr: SocketAddr) -> Async<TcpStream> {
    Async::<TcpStream>::connect(addr).await.unwrap()
}

async fn send(mut stream: &Async<TcpStream>, text: &str) {
    stream.write_all(text.as_bytes()).await.unwrap();
}

/// Reads until `count` answers have arrived or the connection is closed.
async fn read(mut stream: &Async<TcpStream>, count: usize) -> String {
    let mut text = String::new();
    let mut buf = [0; 4096];
    while text.matches("HTTP/1.1 200 OK").count() < count || !text.ends_with('0') {
        let len = stream.read(&mut buf).await.unwrap_or(0);
        if len == 0 {
            break;
        }
        text.push_str(&String::from_utf8_lossy(&buf[..len]));
    }
    text
}

fn get(ms: u32) -> String {
    format!("GET /{ms} HTTP/1.1\r\nHost: h\r\n\r\n")
}

#[test]
fn pipelined_requests_run_concurrently_and_are_answered_in_order() {
    with_server(|server| async move {
        let stream = connect(server.addr).await;
        send(&stream, &format!("{}{}", get(60), get(10))).await;
        let text = read(&stream, 2).await;
        assert!(text.find("/60") < text.find("/10"), "{text}");
        assert_eq!(server.started.get(), 2);
    });
}

#[test]
fn request_is_cancelled_when_its_caller_disconnects() {
    with_server(|server| async move {
        let stream = connect(server.addr).await;
        send(&stream, &get(5_000)).await;
        while server.started.get() == 0 {
            Timer::after(Duration::from_millis(5)).await;
        }
        drop(stream);
        while server.cancelled.get() == 0 {
            Timer::after(Duration::from_millis(5)).await;
        }
    });
}

/// Sends bytes on a connection that is not accepted meanwhile, and closes it.
fn send_and_leave(addr: SocketAddr, text: &str) {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
}

/// Connections wait to be accepted for longer than their callers do when a host has no descriptors left, and the requests
/// of callers that had closed them were sent to upstreams.
#[rstest]
#[case::one(1, 0)]
#[case::pipelined(3, 0)]
#[case::with_a_large_body(1, 40_000)]
fn a_request_is_not_started_if_its_caller_left_before_it_was_read(
    #[case] requests: usize,
    #[case] body: usize,
) {
    with_server(|server| async move {
        let one = format!("POST /0 HTTP/1.1\r\nContent-Length: {body}\r\n\r\n{}", "x".repeat(body));
        for _ in 0..8 {
            send_and_leave(server.addr, &one.repeat(requests));
        }
        let stream = connect(server.addr).await;
        send(&stream, &get(0)).await;
        read(&stream, 1).await;
        while server.shared.open.get() > 1 {
            Timer::after(Duration::from_millis(5)).await;
        }
        assert_eq!(server.started.get(), 1, "only the caller that waits is served");
    });
}

/// A caller with as many requests under way as one connection may have was not seen to leave.
#[test]
fn requests_are_cancelled_when_a_caller_with_the_most_pipelined_requests_disconnects() {
    with_server(|server| async move {
        let stream = connect(server.addr).await;
        send(&stream, &get(5_000_000).repeat(33)).await;
        while server.started.get() < 32 {
            Timer::after(Duration::from_millis(5)).await;
        }
        drop(stream);
        let left = async {
            while server.cancelled.get() < 32 {
                Timer::after(Duration::from_millis(5)).await;
            }
            true
        };
        let gave_up = async {
            Timer::after(Duration::from_secs(5)).await;
            false
        };
        assert!(left.or(gave_up).await, "the caller was not seen to leave");
        assert_eq!(server.started.get(), 32);
    });
}

const SHARES: Shares = Shares { control: 4, upstreams: 4, callers: 4 };

/// Waits until the other end closes the connection. Returns what came before.
async fn read_to_end(mut stream: &Async<TcpStream>) -> String {
    let mut text = String::new();
    // A reset ends it, too.
    let _ = stream.read_to_string(&mut text).await;
    text
}

/// Idle connections kept their descriptors while new callers waited until they gave up.
#[test]
fn a_new_caller_gets_the_descriptor_of_the_connection_that_has_been_idle_for_longest() {
    with_server(|server| async move {
        server.shared.shares.set(Some(SHARES));
        let mut streams = Vec::new();
        for _ in 0..4 {
            let stream = connect(server.addr).await;
            send(&stream, &get(0)).await;
            read(&stream, 1).await;
            streams.push(stream);
        }
        // The first one is used again, so the second one is idle for longest.
        send(&streams[0], &get(0)).await;
        read(&streams[0], 1).await;
        for closed in [1, 2] {
            let stream = connect(server.addr).await;
            send(&stream, &get(0)).await;
            assert!(read(&stream, 1).await.ends_with("/0"));
            assert_eq!(read_to_end(&streams[closed]).await, "");
            streams.push(stream);
        }
        send(&streams[0], &get(0)).await;
        assert!(read(&streams[0], 1).await.ends_with("/0"), "it is still open");
        assert_eq!(server.shared.open.get(), 4);
    });
}

/// Requests under way must not be cut off for new callers.
#[test]
fn a_new_caller_waits_while_all_connections_of_the_share_have_requests() {
    with_server(|server| async move {
        server.shared.shares.set(Some(SHARES));
        let mut streams = Vec::new();
        for _ in 0..4 {
            let stream = connect(server.addr).await;
            send(&stream, &get(100)).await;
            streams.push(stream);
        }
        while server.started.get() < 4 {
            Timer::after(Duration::from_millis(1)).await;
        }
        // One connection may be accepted before it is known that there is none to close for it.
        let late = [connect(server.addr).await, connect(server.addr).await];
        for stream in &late {
            send(stream, &get(0)).await;
        }
        for stream in &streams {
            assert!(read(stream, 1).await.ends_with("/100"));
        }
        for stream in &late {
            assert!(read(stream, 1).await.ends_with("/0"));
        }
        assert!(server.shared.open.get() <= 5);
        assert_eq!(server.cancelled.get(), 0);
    });
}

/// A host that is shutting down must not keep reading requests from a busy connection, because they would be cut off
/// when the process ends.
#[test]
fn no_request_is_read_behind_a_running_one_during_shutdown() {
    with_server(|server| async move {
        let stream = connect(server.addr).await;
        send(&stream, &get(100)).await;
        while server.started.get() == 0 {
            Timer::after(Duration::from_millis(5)).await;
        }
        server.shared.is_leaving.set(true);
        send(&stream, &get(0)).await;
        let text = read(&stream, 2).await;
        assert_eq!(server.started.get(), 1);
        assert!(text.contains("Connection: close"), "{text}");
    });
}

#[test]
fn request_on_an_idle_connection_is_answered_with_close_during_shutdown() {
    with_server(|server| async move {
        let stream = connect(server.addr).await;
        server.shared.is_leaving.set(true);
        send(&stream, &get(0)).await;
        let text = read(&stream, 2).await;
        assert!(text.contains("Connection: close") && text.ends_with("/0"), "{text}");
    });
}

/// A host that is shutting down must not exit while a request is being received.
#[test]
fn a_connection_is_busy_from_the_first_byte_of_a_request_until_its_answer_is_written() {
    with_server(|server| async move {
        let stream = connect(server.addr).await;
        while server.shared.open.get() == 0 {
            Timer::after(Duration::from_millis(5)).await;
        }
        assert_eq!(server.shared.busy.get(), 0);
        for part in ["P", "OST /0 HTTP/1.1\r\nContent-Length: 2\r\n\r\n", "a"] {
            send(&stream, part).await;
            while server.shared.busy.get() == 0 {
                Timer::after(Duration::from_millis(5)).await;
            }
        }
        assert_eq!((server.shared.busy.get(), server.started.get()), (1, 0));
        send(&stream, "b").await;
        assert!(read(&stream, 1).await.ends_with("/0"));
        while server.shared.busy.get() > 0 {
            Timer::after(Duration::from_millis(5)).await;
        }
        assert_eq!(server.shared.open.get(), 1);
    });
}

/// What is behind the last answer of a connection is never read, so it must not keep a host that is shutting down.
#[test]
fn a_connection_is_not_busy_with_what_follows_its_last_answer() {
    with_server(|server| async move {
        let stream = connect(server.addr).await;
        send(&stream, &get(50)).await;
        while server.started.get() == 0 {
            Timer::after(Duration::from_millis(5)).await;
        }
        server.shared.is_leaving.set(true);
        send(&stream, &get(0)).await;
        assert!(read(&stream, 2).await.contains("Connection: close"));
        // The caller still keeps its side of the connection open.
        assert_eq!(server.shared.busy.get(), 0);
    });
}

#[rstest]
#[case::no_head("nonsense\r\n\r\n", "400")]
#[case::two_lengths("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400")]
#[case::coding("POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", "501")]
#[case::broken_chunk("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400")]
fn malformed_request_is_answered_and_nothing_after_it_is_read(
    #[case] text: &'static str,
    #[case] status: &'static str,
) {
    with_server(move |server| async move {
        let stream = connect(server.addr).await;
        send(&stream, &format!("{text}{}", get(0))).await;
        let answer = read(&stream, 1).await;
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{answer}");
        assert_eq!(server.started.get(), 0);
    });
}

/// Guards against reading the rest of a body as the next request, which would be rejected as malformed. The body looks like
/// a request, arrives in pieces, and belongs to a request that is answered at once.
#[rstest]
#[case::length("Content-Length: 28\r\n\r\nGET /7 HTTP/1.1\r\nHost: h\r\n\r\n")]
#[case::chunks("Transfer-Encoding: chunked\r\n\r\n6\r\nGET /7\r\n3\r\n H\n\r\n0\r\n\r\n")]
#[case::chunks_and_trailer(
    "Transfer-Encoding: chunked\r\n\r\n1;x=y\r\nG\r\n0\r\nName: value\r\n\r\n\r\n"
)]
#[case::announced_body("Expect: 100-continue\r\nContent-Length: 3\r\n\r\nG\r\n")]
fn a_request_behind_a_body_is_read_from_its_start(
    #[case] rest: &str,
    #[values(1, 2, 5, 1_000)] piece_len: usize,
) {
    with_server(|server| async move {
        let stream = connect(server.addr).await;
        let post = format!("POST /0 HTTP/1.1\r\nHost: h\r\n{rest}");
        let text = format!("{post}{post}{}", get(0));
        for piece in text.as_bytes().chunks(piece_len) {
            send(&stream, std::str::from_utf8(piece).unwrap()).await;
            for _ in 0..3 {
                futures_lite::future::yield_now().await;
            }
        }
        let answers = read(&stream, 3).await;
        assert_eq!(answers.matches("HTTP/1.1 200 OK").count(), 3, "{answers}");
        assert_eq!(server.started.get(), 3);
    });
}

/// Guards against an answer to data behind a request that closes its connection, which callers send again elsewhere.
#[rstest]
#[case::a_request(get(0))]
#[case::garbage("nonsense\r\n\r\n".to_owned())]
fn nothing_is_answered_behind_a_request_that_closes_its_connection(#[case] behind: String) {
    with_server(|server| async move {
        let stream = connect(server.addr).await;
        let closing = "GET /0 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        send(&stream, &format!("{closing}{behind}")).await;
        let answers = read(&stream, 2).await;
        assert_eq!(answers.matches("HTTP/1.1 ").count(), 1, "{answers}");
        assert!(answers.starts_with("HTTP/1.1 200 "), "{answers}");
        assert_eq!(server.started.get(), 1);
    });
}

/// Guards against rejecting a request that the limits in force allow because its connection is older than they are.
#[rstest]
#[case::long_body(&format!("POST /0 HTTP/1.1\r\nHost: h\r\nContent-Length: 90\r\n\r\n{}", "x".repeat(90)))]
#[case::long_head(&format!("GET /0 HTTP/1.1\r\nHost: h\r\nName: {}\r\n\r\n", "x".repeat(90)))]
#[case::chunked_body(&format!(
    "POST /0 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5a\r\n{}\r\n0\r\n\r\n",
    "x".repeat(90)
))]
fn raised_limits_apply_to_open_connections(#[case] text: &str) {
    with_server(|server| async move {
        let small = Limits { head: ByteSize(80), body: ByteSize(80), ..Limits::default() };
        server.shared.limits.set(Some(small));
        let stream = connect(server.addr).await;
        send(&stream, &get(0)).await;
        assert!(read(&stream, 1).await.starts_with("HTTP/1.1 200 "));
        server.shared.limits.set(Some(Limits::default()));
        send(&stream, text).await;
        let answer = read(&stream, 1).await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    });
}

/// The time for a request was counted from the last answer on the connection, so one in two parts after a longer pause was
/// dropped.
#[rstest]
#[case::head_and_body(&["POST /0 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n", "ab"])]
#[case::a_head_in_two_parts(&["GET /0 HT", "TP/1.1\r\nHost: h\r\n\r\n"])]
fn a_request_in_parts_after_a_pause_has_the_whole_time_to_arrive(
    #[case] parts: &'static [&'static str],
) {
    const HEAD_TIME: Millis = Millis(2_000);
    with_server(move |server| async move {
        server.shared.limits.set(Some(Limits { head_time: HEAD_TIME, ..Limits::default() }));
        let stream = connect(server.addr).await;
        for _ in 0..2 {
            Timer::after(HEAD_TIME.duration() + Duration::from_millis(100)).await;
            for part in parts {
                send(&stream, part).await;
                Timer::after(Duration::from_millis(50)).await;
            }
            let answer = read(&stream, 1).await;
            assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:?}");
        }
        // A request that does not arrive is still given up.
        send(&stream, parts[0]).await;
        assert_eq!(read(&stream, 1).await, "");
    });
}
