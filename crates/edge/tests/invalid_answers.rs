//! Answers that are not valid HTTP: odd status lines and fields, and interim answers without a final one.

#![allow(clippy::unwrap_used)]

mod support;

use rstest::rstest;
use serde::Serialize;
use skylarkdock_dispatch::routes::Idempotency;
use skylarkdock_edge::client::{Conn, ControlClient, Failure, Outgoing, Reply};
use skylarkdock_http1::body::Framing;
use skylarkdock_http1::head::{Headers, RequestHead};
use skylarkdock_units::times::Millis;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use support::{LONG, scripted};

const TIMEOUT: Millis = Millis(20_000);
/// Fields that would make each of the answers below a usable one.
const FIELDS: &str = "Id: own\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok";
/// Fields by which an answer states that the request has not run.
const NOT_RUN: &str = "Id: own\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

/// Starts a peer that gives one answer on each connection and keeps it open. It reports what it reads behind the request
/// until the connection is closed.
fn peer(answer: Vec<u8>) -> (SocketAddr, Receiver<Vec<u8>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 4096]).unwrap();
            let _ = stream.write_all(&answer);
            let mut rest = Vec::new();
            let _ = stream.read_to_end(&mut rest);
            if tx.send(rest).is_err() {
                return;
            }
        }
    });
    (addr, rx)
}

async fn exchange(addr: SocketAddr) -> Result<Reply, Failure> {
    let mut conn = Conn::open(addr, TIMEOUT).await.unwrap();
    let mut req = Outgoing::new("GET", "/", &Headers::default(), &[]);
    req.id = Some(("Id", "own".to_owned()));
    conn.exchange(&req).await.map(|(reply, _)| reply)
}

/// Guards against an answer to a request, a call of the store or one of another host that has no status of HTTP.
#[rstest]
fn an_answer_with_an_odd_status_line_counts_as_none_and_its_connection_is_closed(
    #[values(
        "HTTP/1.1 000 X",
        "HTTP/1.1 099 X",
        "HTTP/1.1 600 X",
        "HTTP/1.1 999 X",
        "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 +20 OK",
        "HTTP/1.1 -200 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1\t200 OK",
        "HTTP/1.1200 OK",
        "HTTP/1.1 200OK",
        "HTTP/1.1",
        "HTTP/1.2 200 OK",
        "HTTP/2 200 OK",
        "http/1.1 200 OK",
        "200 OK",
        "\r\nHTTP/1.1 200 OK",
        "HTTP/1.1 200 O\0K",
        "HTTP/1.1 200 \x1b[2J"
    )]
    line: &str,
    #[values(FIELDS, NOT_RUN)] fields: &str,
) {
    let (addr, closed) = peer(format!("{line}\r\n{fields}").into_bytes());
    let result = async_io::block_on(exchange(addr));
    let is_none = matches!(result, Err(Failure::Malformed | Failure::InvalidStatus(_)));
    assert!(is_none, "{result:?}");
    assert_eq!(closed.recv().unwrap(), b"");
    // Calls to the store and between hosts keep their connection, and have no id.
    let mut client = ControlClient::new(addr);
    for _ in 0..2 {
        let req = Outgoing::new("POST", "/", &Headers::default(), b"call");
        let result = async_io::block_on(client.call(&req, TIMEOUT));
        let is_none = matches!(result, Err(Failure::Malformed | Failure::InvalidStatus(_)));
        assert!(is_none, "{result:?}");
        assert!(!client.is_connected());
        assert_eq!(closed.recv().unwrap(), b"");
    }
}

/// Guards against passing on a line that is no header field, and against a body that ends where another reader of the answer
/// would not end it.
#[rstest]
fn an_answer_with_an_odd_field_counts_as_none_and_its_connection_is_closed(
    #[values(
        "Odd Name: x",
        "Name : x",
        "Name\t: x",
        " Name: x",
        "\tName: x",
        "Na\x01me: x",
        "Na\x0bme: x",
        "Na\x7fme: x",
        "Na\0me: x",
        "Na\rme: x",
        "Na(me: x",
        "Na\u{e4}me: x",
        ": x",
        "Name",
        "Name: x\r\n folded",
        "Name: \0",
        "Content-Length : 1",
        "Content Length: 1",
        "Transfer-Encoding : chunked"
    )]
    line: &str,
    #[values("", "HTTP/1.1 103 X\r\n\r\n")] interim: &str,
    #[values(FIELDS, NOT_RUN)] fields: &str,
) {
    let (addr, closed) = peer(format!("{interim}HTTP/1.1 200 OK\r\n{line}\r\n{fields}").into());
    let result = async_io::block_on(exchange(addr));
    assert!(matches!(result, Err(Failure::Malformed)), "{result:?}");
    assert_eq!(closed.recv().unwrap(), b"");
    let mut client = ControlClient::new(addr);
    let req = Outgoing::new("POST", "/", &Headers::default(), b"call");
    let result = async_io::block_on(client.call(&req, TIMEOUT));
    assert!(matches!(result, Err(Failure::Malformed)), "{result:?}");
    assert!(!client.is_connected());
    assert_eq!(closed.recv().unwrap(), b"");
}

#[rstest]
#[case::continue_first("HTTP/1.1 100 Continue\r\n\r\n", 1)]
#[case::progress("HTTP/1.1 102 Processing\r\n\r\n", 8)]
#[case::hints("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 4)]
#[case::unassigned("HTTP/1.1 199 X\r\nNot-Run: 1\r\n\r\n", 2)]
fn a_few_interim_answers_are_skipped(#[case] interim: &str, #[case] count: usize) {
    let (addr, _closed) =
        peer(format!("{}HTTP/1.1 200 OK\r\n{FIELDS}", interim.repeat(count)).into_bytes());
    let reply = async_io::block_on(exchange(addr)).unwrap();
    assert_eq!((reply.head.status, reply.body.as_slice()), (200, &b"ok"[..]));
}

/// Guards against an upstream that keeps a request open for as long as it likes by interim answers.
#[rstest]
#[case::many("HTTP/1.1 102 X\r\n\r\n".repeat(40))]
#[case::long(format!("HTTP/1.1 103 X\r\nLink: {}\r\n\r\n", "x".repeat(30_000)).repeat(3))]
fn many_or_long_interim_answers_count_as_no_answer(#[case] interim: String) {
    let (addr, closed) = peer(format!("{interim}HTTP/1.1 200 OK\r\n{FIELDS}").into_bytes());
    let result = async_io::block_on(exchange(addr));
    assert!(matches!(result, Err(Failure::Malformed)), "{result:?}");
    assert_eq!(closed.recv().unwrap(), b"");
}

/// Answer of an intermediary of an earlier version, which passes on what its upstream sent.
#[derive(Serialize)]
struct DetourAnswer {
    run: u64,
    clock: u64,
    end: DetourEnd,
}

#[derive(Serialize)]
enum DetourEnd {
    Answered { status: u16, headers: Vec<(String, Vec<u8>)>, body: Vec<u8>, is_matched: bool },
}

/// Starts an intermediary whose upstream answers each request with `status` and a further field. Returns the number of calls too.
fn earlier_intermediary(
    status: u16,
    field: (&'static str, &'static str),
) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&calls);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            while read_call(&mut stream).is_some() {
                counted.fetch_add(1, Ordering::SeqCst);
                let headers = [("Id", "a"), ("Signature", "s"), field];
                let headers = headers.map(|(name, value)| (name.to_owned(), value.into()));
                let end = DetourEnd::Answered {
                    status,
                    headers: headers.into(),
                    body: Vec::new(),
                    is_matched: true,
                };
                let body = postcard::to_stdvec(&DetourAnswer { run: 1, clock: 1, end }).unwrap();
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                stream.write_all(&[head.as_bytes(), &body].concat()).unwrap();
            }
        }
    });
    (addr, calls)
}

fn read_call(stream: &mut TcpStream) -> Option<()> {
    let (mut buf, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        if let Some((head, len)) = RequestHead::parse(&buf).unwrap()
            && let Framing::Length(body) = head.framing
            && (buf.len() - len) as u64 >= body
        {
            return Some(());
        }
        let len = stream.read(&mut chunk).ok().filter(|len| *len > 0)?;
        buf.extend_from_slice(&chunk[..len]);
    }
}

/// How the host reaches the upstream that sends odd answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Path {
    Direct,
    Intermediary,
    EarlierIntermediary,
}

/// Guards against passing on an answer that is none of HTTP, against taking its word that the request has not run, and
/// against running a request that must run once again.
#[rstest]
fn a_once_only_request_with_an_odd_answer_ends_as_one_that_may_have_run(
    #[values(0, 99, 101, 600, 999)] status: u16,
    #[values(Path::Direct, Path::Intermediary, Path::EarlierIntermediary)] path: Path,
) {
    support::with_host(LONG, move |host| async move {
        let (addr, received) = scripted::start(move |_, _| {
            let fields = "Id: a\r\nSignature: s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
            (format!("HTTP/1.1 {status:03} X\r\n{fields}"), scripted::Then::Keep)
        });
        let config = support::config(1, &[("/order/", &[("orders", 1)])]);
        let mut state = support::state(&config, &[("orders", addr)]);
        let (peer, sends) = match path {
            Path::Direct => (None, received),
            Path::Intermediary => {
                (Some(scripted::start_intermediary(support::PROTOCOL, addr)), received)
            }
            Path::EarlierIntermediary => {
                let (peer, calls) = earlier_intermediary(status, ("Not-Run", "1"));
                (Some(peer), calls)
            }
        };
        state.view.peers = Some(Arc::new(peer.into_iter().map(support::peer).collect()));
        host.apply(state).await;
        if path != Path::Direct {
            host.status.paths().on_failure(addr, &"cut off");
        }
        let answer = host.answer("GET /order/x HTTP/1.1\r\nHost: h.example\r\nId: a\r\n").await;
        assert_eq!((answer.status, sends.load(Ordering::SeqCst)), (502, 1));
        let reason = match (path, status) {
            (Path::Intermediary, _) => "malformed",
            (_, 101) => "informational",
            (..) => "invalid_status",
        };
        let discarded = "skylarkdock_answers_discarded_total";
        assert!(host.has_metric(&format!("{discarded}{{reason=\"{reason}\"}} 1")));
    });
}

/// Guards against passing on a line that is no header field, against taking the word of such an answer that the request has not
/// run, and against running a request that must run once again.
#[rstest]
fn a_once_only_request_whose_answer_has_an_odd_field_ends_as_one_that_may_have_run(
    #[values("Odd Name: x", "Name : x", "Na\x01me: x", "Na\0me: x", "Content-Length : 1")]
    line: &'static str,
    #[values(Path::Direct, Path::Intermediary)] path: Path,
) {
    support::with_host(LONG, move |host| async move {
        let (addr, received) = scripted::start(move |_, _| {
            let fields = "Id: a\r\nSignature: s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
            (format!("HTTP/1.1 200 X\r\n{line}\r\n{fields}"), scripted::Then::Keep)
        });
        let config = support::config(1, &[("/order/", &[("orders", 1)])]);
        let mut state = support::state(&config, &[("orders", addr)]);
        if path == Path::Intermediary {
            let peer = scripted::start_intermediary(support::PROTOCOL, addr);
            state.view.peers = Some(Arc::new(vec![support::peer(peer)]));
        }
        host.apply(state).await;
        if path == Path::Intermediary {
            host.status.paths().on_failure(addr, &"cut off");
        }
        let answer = host.answer("GET /order/x HTTP/1.1\r\nHost: h.example\r\nId: a\r\n").await;
        assert_eq!((answer.status, received.load(Ordering::SeqCst)), (502, 1));
    });
}

/// Guards against passing on fields from another host that would be no fields, or other ones, in the answer to the caller.
#[rstest]
fn an_answer_over_another_host_with_an_odd_field_is_not_passed_on(
    #[values(
        ("Odd Name", "x"),
        ("Name ", "x"),
        ("", "x"),
        ("Na:me", "x"),
        ("Na\r\nme", "x"),
        ("Na\u{1}me", "x"),
        ("Na\u{e4}me", "x"),
        ("Name", "x\r\nOther: y"),
        ("Name", "x\n"),
        ("Name", "\0")
    )]
    field: (&'static str, &'static str),
) {
    support::with_host(LONG, move |host| async move {
        let (peer, calls) = earlier_intermediary(200, field);
        let upstream = SocketAddr::from(([127, 0, 0, 1], 1));
        let config = support::config(1, &[("/order/", &[("orders", 1)])]);
        let mut state = support::state(&config, &[("orders", upstream)]);
        state.view.peers = Some(Arc::new(vec![support::peer(peer)]));
        host.apply(state).await;
        host.status.paths().on_failure(upstream, &"cut off");
        let answer = host.answer("GET /order/x HTTP/1.1\r\nHost: h.example\r\nId: a\r\n").await;
        assert_eq!((answer.status, calls.load(Ordering::SeqCst)), (502, 1));
    });
}

/// Guards against sending the next request on a connection whose answers are not HTTP, and against the loss of a request that
/// may be repeated.
#[rstest]
fn an_idempotent_request_is_repeated_on_another_connection(
    #[values(
        "000 X",
        "999 X",
        "101 X",
        "20 X",
        "+20 X",
        "200 X\r\nOdd Name: x",
        "200 X\r\nNa\x01me: x",
        "200 X\r\nContent-Length : 1"
    )]
    line: &'static str,
) {
    support::with_host(LONG, move |host| async move {
        // Place of each request on its connection. The first of all has an odd answer, whichever upstream gets it.
        let places: Arc<Mutex<Vec<usize>>> = Arc::default();
        let upstream = || {
            let places = Arc::clone(&places);
            let answer = move |head: &RequestHead, place| {
                let mut places = places.lock().unwrap();
                places.push(place);
                let line = if places.len() == 1 { line } else { "200 OK" };
                let id = head.headers.get_str("Id").unwrap();
                let fields = format!("Id: {id}\r\nSignature: s\r\nContent-Length: 0\r\n\r\n");
                (format!("HTTP/1.1 {line}\r\n{fields}"), scripted::Then::Keep)
            };
            scripted::start(answer).0
        };
        let routes: &[(&str, &[(&str, u32)])] = &[("/file/", &[("files", 1)])];
        let config = support::config_of(1, Idempotency::Idempotent, routes);
        let upstreams = [("files", upstream()), ("files", upstream())];
        host.apply(support::state(&config, &upstreams)).await;
        let answer = host.answer("GET /file/x HTTP/1.1\r\nHost: h.example\r\nId: a\r\n").await;
        assert_eq!((answer.status, places.lock().unwrap().as_slice()), (200, &[0, 0][..]));
    });
}
