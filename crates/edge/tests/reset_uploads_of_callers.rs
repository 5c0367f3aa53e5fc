//! What becomes of a caller's long request whose upstream answers at once and resets the connection.

#![allow(clippy::unwrap_used)]

mod support;

use async_io::Timer;
use futures_lite::{FutureExt, future};
use rstest::rstest;
use rustix::net::sockopt;
use skylarkdock_dispatch::routes::Idempotency;
use skylarkdock_edge::answer::Answer;
use skylarkdock_edge::serve::Incoming;
use skylarkdock_http1::head::RequestHead;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;
use support::{Host, LONG, held_reads, scripted};

/// Size of a body that the buffers of a connection don't hold.
const LONG_BODY: usize = 4 * 1024 * 1024;
/// Size of the buffer in which an upstream receives.
const RECV_BUFFER: usize = 64 * 1024;

/// How the request reaches the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Over {
    NewConnection,
    KeptConnection,
    AnotherHost,
}

/// Upstreams that read some of the first long request, send a head that ends with `framing`, send `body` and reset the
/// connection. They answer all other requests.
struct Uploads {
    framing: &'static str,
    body: &'static str,
    /// Number of long requests that came to all of them.
    seen: AtomicUsize,
}

impl Uploads {
    const fn new(framing: &'static str, body: &'static str) -> Self {
        Self { framing, body, seen: AtomicUsize::new(0) }
    }

    fn serve(self: &Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        sockopt::set_socket_recv_buffer_size(&listener, RECV_BUFFER).unwrap();
        let addr = listener.local_addr().unwrap();
        let shared = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.serve_connection(stream.unwrap()));
            }
        });
        addr
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let (mut buf, mut chunk) = (Vec::new(), [0; 64 * 1024]);
        loop {
            let len = match stream.read(&mut chunk) {
                Ok(len) if len > 0 => len,
                _ => return,
            };
            buf.extend_from_slice(&chunk[..len]);
            let Some((head, head_len)) = RequestHead::parse(&buf).unwrap() else { continue };
            let id = head.headers.get_str("Id").unwrap();
            let fields = format!("Id: {id}\r\nSignature: s\r\n");
            let size: usize =
                head.headers.get_str("Content-Length").map_or(0, |text| text.parse().unwrap());
            if size > 0 && self.seen.fetch_add(1, Ordering::SeqCst) == 0 {
                let (framing, body) = (self.framing, self.body);
                let answer = format!("HTTP/1.1 200 OK\r\n{fields}{framing}\r\n{body}");
                stream.write_all(answer.as_bytes()).unwrap();
                sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
                return;
            }
            let mut left = (head_len + size).saturating_sub(buf.len());
            while left > 0 {
                left -= stream.read(&mut chunk).unwrap();
            }
            let answer = format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: 5\r\n\r\nwhole");
            stream.write_all(answer.as_bytes()).unwrap();
            buf.clear();
        }
    }
}

/// Sends requests whose path begins with `/file/` to an upstream, or to two if the requests may be repeated. Reads of answers
/// over another host are held back from the first long request on.
async fn route(host: &Host, uploads: &Arc<Uploads>, idempotency: Idempotency, over: Over) {
    let count = if idempotency == Idempotency::Once { 1 } else { 2 };
    let addrs: Vec<SocketAddr> = (0..count).map(|_| uploads.serve()).collect();
    let upstreams: Vec<(&str, SocketAddr)> = addrs.iter().map(|addr| ("files", *addr)).collect();
    let config = support::config_within(LONG, 1, idempotency, &[("/file/", &[("files", 1)])]);
    let mut state = support::state(&config, &upstreams);
    if over == Over::AnotherHost {
        let uploads = Arc::clone(uploads);
        let on_call = move |call: &[u8]| {
            if call.len() > LONG_BODY && uploads.seen.load(Ordering::SeqCst) == 0 {
                held_reads::hold();
            }
        };
        let peer = scripted::start_intermediary_with(support::PROTOCOL, addrs.clone(), on_call);
        state.view.peers = Some(Arc::new(vec![support::peer(peer)]));
    }
    host.apply(state).await;
    if over == Over::AnotherHost {
        for addr in addrs {
            host.status.paths().on_failure(addr, &"cut off");
        }
    }
}

async fn send(host: &Host, id: &str, size: usize) -> Answer {
    let head = "POST /file/x HTTP/1.1\r\nHost: h.example\r\nDeadline: 600000\r\n";
    let head = format!("{head}Id: {id}\r\nContent-Length: {size}\r\n\r\n");
    let (head, _) = RequestHead::parse(head.as_bytes()).unwrap().unwrap();
    host.traffic.answer(Incoming { head, body: vec![b'x'; size] }).await
}

/// Sends a long request, and lets no answer be read until the write of the request has failed.
async fn upload(host: &Host, uploads: &Uploads, over: Over) -> Answer {
    // The copy of a request for another host needs memory, too.
    if over != Over::AnotherHost {
        held_reads::hold();
    }
    let release = async {
        while uploads.seen.load(Ordering::SeqCst) == 0 {
            Timer::after(held_reads::RESET_TIME).await;
        }
        Timer::after(held_reads::RESET_TIME).await;
        held_reads::release();
        future::pending().await
    };
    send(host, "a", LONG_BODY).or(release).await
}

fn check_upload(
    uploads: Uploads,
    idempotency: Idempotency,
    over: Over,
    (status, body): (u16, &'static str),
) {
    let _turn = held_reads::wait_for_turn();
    let uploads = Arc::new(uploads);
    let expected_sends = if idempotency == Idempotency::Once { 1 } else { 2 };
    support::with_host(LONG, |host| async move {
        route(&host, &uploads, idempotency, over).await;
        if over == Over::KeptConnection {
            assert_eq!(send(&host, "first", 0).await.status, 200);
        }
        let answer = upload(&host, &uploads, over).await;
        assert_eq!((answer.status, answer.body.as_slice()), (status, body.as_bytes()));
        assert_eq!(uploads.seen.load(Ordering::SeqCst), expected_sends);
    });
}

/// Guards against passing on the part of an answer that arrived before a reset, and against a second run of a request that
/// must run at most once.
#[rstest]
fn a_once_only_upload_with_a_broken_answer_ends_as_one_that_may_have_run(
    #[values(Over::NewConnection, Over::KeptConnection, Over::AnotherHost)] over: Over,
) {
    let uploads = Uploads::new("", "part");
    check_upload(uploads, Idempotency::Once, over, (502, ""));
}

/// Guards against passing on the part of an answer that arrived before a reset, and against the loss of a request that may be
/// repeated.
#[rstest]
fn a_repeatable_upload_with_a_broken_answer_is_sent_again(
    #[values(Over::NewConnection, Over::KeptConnection, Over::AnotherHost)] over: Over,
) {
    let uploads = Uploads::new("", "part");
    check_upload(uploads, Idempotency::Idempotent, over, (200, "whole"));
}

/// Guards against the loss of an answer that proves its own end.
#[rstest]
fn an_answer_with_a_length_is_passed_on_although_a_reset_follows(
    #[values(Over::NewConnection, Over::KeptConnection, Over::AnotherHost)] over: Over,
) {
    let uploads = Uploads::new("Content-Length: 5\r\n", "early");
    check_upload(uploads, Idempotency::Once, over, (200, "early"));
}
