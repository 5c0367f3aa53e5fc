//! Upstreams that never answer a request for which they have no room, nor any later one on the same connection.

#![allow(clippy::unwrap_used)]

mod support;

use async_io::Timer;
use futures_lite::future;
use skylarkdock_dispatch::routes::Idempotency;
use skylarkdock_http1::head::RequestHead;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;
use support::LONG;

/// Upstream that takes no requests while it has no room.
#[derive(Clone)]
struct Upstream {
    addr: SocketAddr,
    has_room: Arc<AtomicBool>,
    /// Whether it answers later, once this is false.
    is_held: Arc<AtomicBool>,
    connections: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
}

impl Upstream {
    fn start(has_room: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let has_room = Arc::new(AtomicBool::new(has_room));
        let upstream = Self {
            addr,
            has_room,
            is_held: Arc::default(),
            connections: Arc::default(),
            requests: Arc::default(),
        };
        let serving = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                serving.connections.fetch_add(1, Ordering::SeqCst);
                let (serving, stream) = (serving.clone(), stream.unwrap());
                thread::spawn(move || serving.serve(stream));
            }
        });
        upstream
    }

    fn serve(&self, mut stream: TcpStream) {
        let (mut buf, mut is_silent) = (Vec::new(), false);
        loop {
            let mut chunk = [0; 4096];
            match stream.read(&mut chunk) {
                Ok(0) | Err(_) => return,
                Ok(len) => buf.extend_from_slice(&chunk[..len]),
            }
            while let Some((head, len)) = RequestHead::parse(&buf).unwrap() {
                buf.drain(..len);
                self.requests.fetch_add(1, Ordering::SeqCst);
                is_silent |= !self.has_room.load(Ordering::SeqCst);
                while self.is_held.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(1));
                }
                if !is_silent {
                    let id = head.headers.get_str("Id").unwrap();
                    let fields = format!("Id: {id}\r\nSignature: s\r\nContent-Length: 0\r\n\r\n");
                    stream.write_all(format!("HTTP/1.1 200 OK\r\n{fields}").as_bytes()).unwrap();
                }
            }
        }
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

fn get(id: &str, deadline_ms: u64) -> String {
    format!("GET /order/x HTTP/1.1\r\nHost: h.example\r\nId: {id}\r\nDeadline: {deadline_ms}\r\n")
}

/// The upstream may have run it, so the caller is not told that it has not, and it is sent once.
#[test]
fn a_once_only_request_without_an_answer_ends_unknown_and_is_not_repeated() {
    support::with_host(LONG, |host| async move {
        let (silent, other) = (Upstream::start(false), Upstream::start(false));
        let config = support::config(1, &[("/order/", &[("orders", 1)])]);
        let state = support::state(&config, &[("orders", silent.addr), ("orders", other.addr)]);
        host.apply(state).await;
        let answer = host.answer(&get("a", 300)).await;
        assert!(matches!(answer.status, 502 | 504), "{}", answer.status);
        assert_eq!(silent.requests() + other.requests(), 1);
    });
}

/// Another upstream answers well before the caller's time is over.
#[test]
fn an_idempotent_request_without_an_answer_is_served_elsewhere() {
    support::with_host(LONG, |host| async move {
        let (silent, other) = (Upstream::start(false), Upstream::start(true));
        let config =
            support::config_of(1, Idempotency::Idempotent, &[("/order/", &[("orders", 1)])]);
        let state = support::state(&config, &[("orders", silent.addr), ("orders", other.addr)]);
        host.apply(state).await;
        // Of two requests at once each upstream gets one.
        let (first, second) = (get("a", 4_000), get("b", 4_000));
        let (first, second) = future::zip(host.answer(&first), host.answer(&second)).await;
        assert_eq!((first.status, second.status), (200, 200));
        assert_eq!((silent.requests(), other.requests()), (1, 2));
    });
}

/// The connection is silent for ever, so it is closed with the request that got no answer.
#[test]
fn a_connection_without_an_answer_is_not_used_again() {
    support::with_host(LONG, |host| async move {
        let upstream = Upstream::start(true);
        let config = support::config(1, &[("/order/", &[("orders", 1)])]);
        host.apply(support::state(&config, &[("orders", upstream.addr)])).await;
        assert_eq!(host.answer(&get("a", 2_000)).await.status, 200);
        upstream.has_room.store(false, Ordering::SeqCst);
        assert!(matches!(host.answer(&get("b", 200)).await.status, 502 | 504));
        upstream.has_room.store(true, Ordering::SeqCst);
        assert_eq!(host.answer(&get("c", 2_000)).await.status, 200);
        assert_eq!(upstream.connections.load(Ordering::SeqCst), 2);
    });
}

/// A host that got no processor time from the choice of an upstream on sent the request after its deadline, with 1 ms left.
#[test]
fn a_request_that_waited_for_a_place_is_not_sent_after_its_deadline() {
    support::with_host(LONG, |host| async move {
        let upstream = Upstream::start(true);
        upstream.is_held.store(true, Ordering::SeqCst);
        let config = support::config(1, &[("/order/", &[("orders", 1)])]);
        host.apply(support::state(&config, &[("orders", upstream.addr)])).await;
        let running: Vec<_> = ["a", "b", "c", "d"].map(|id| get(id, 20_000)).into();
        let mut running: Vec<_> = running.iter().map(|text| Box::pin(host.answer(text))).collect();
        while upstream.requests() < running.len() {
            for answer in &mut running {
                assert!(future::poll_once(answer).await.is_none(), "answered while held");
            }
            Timer::after(Duration::from_millis(1)).await;
        }
        let waiting = get("e", 100);
        let mut waiting = Box::pin(host.answer(&waiting));
        assert!(future::poll_once(&mut waiting).await.is_none(), "it waits for a place");
        upstream.is_held.store(false, Ordering::SeqCst);
        for answer in running {
            assert_eq!(answer.await.status, 200);
        }
        // Places are given at intervals.
        Timer::after(Duration::from_millis(10)).await;
        // It has one, and the task that waits for it has not run since.
        thread::sleep(Duration::from_millis(120));
        assert_eq!(waiting.await.status, 503);
        assert_eq!(upstream.requests(), 4, "all but the late one are sent");
    });
}

/// Requests without an answer take their places only as long as their callers wait: four of them fill the upstream, and the
/// next one is sent as soon as they have ended.
#[test]
fn places_are_free_again_once_the_callers_have_left() {
    support::with_host(LONG, |host| async move {
        let upstream = Upstream::start(false);
        let config = support::config(1, &[("/order/", &[("orders", 1)])]);
        host.apply(support::state(&config, &[("orders", upstream.addr)])).await;
        for id in 0..8 {
            let request = get(&format!("lost-{id}"), 60_000);
            let left = async {
                Timer::after(Duration::from_millis(30)).await;
            };
            future::or(async { drop(host.answer(&request).await) }, left).await;
        }
        upstream.has_room.store(true, Ordering::SeqCst);
        assert_eq!(host.answer(&get("next", 2_000)).await.status, 200);
    });
}
