//! An owner of keys says in its answers that it leaves.

#![allow(clippy::unwrap_used)]

mod support;

use skylarkdock_dispatch::key_owners::KeyMap;
use skylarkdock_http1::head::RequestHead;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use support::LONG;

/// Starts an upstream that says in each answer that it leaves. A host may leave a connection idle that it has opened, so
/// each one is served on its own.
fn leaving_upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            thread::spawn(move || answer(stream));
        }
    });
    addr
}

/// Answers the request of a connection, unless it is closed without one.
fn answer(mut stream: TcpStream) {
    let mut buf = Vec::new();
    let head = loop {
        if let Some((head, _)) = RequestHead::parse(&buf).unwrap() {
            break head;
        }
        let mut chunk = [0; 4096];
        let len = stream.read(&mut chunk).unwrap();
        if len == 0 {
            return;
        }
        buf.extend_from_slice(&chunk[..len]);
    };
    let id = head.headers.get_str("Id").unwrap();
    let fields = format!("Id: {id}\r\nSignature: s\r\nX-Leaving: 1\r\n");
    let end = "Connection: close\r\nContent-Length: 0\r\n\r\n";
    stream.write_all(format!("HTTP/1.1 200 X\r\n{fields}{end}").as_bytes()).unwrap();
}

/// Its keys have no other owner until the leader has moved them, so they would not be served meanwhile.
#[test]
fn keys_of_a_leaving_owner_are_served_until_they_move() {
    support::with_host(LONG, |host| async move {
        let addr = leaving_upstream();
        let config = support::config(1, &[("/films/", &[("films", 1)])]);
        let mut state = support::state(&config, &[("films", addr)]);
        let owner = state.upstreams[0].id().clone();
        state.view.keys =
            vec![("films".parse().unwrap(), KeyMap::new(vec![(u16::MAX, Some(owner))]))];
        host.apply(state).await;
        for id in 0..3 {
            let head =
                format!("GET /films/x HTTP/1.1\r\nHost: h.example\r\nId: {id}\r\nKey: 7\r\n");
            assert_eq!(host.answer(&head).await.status, 200, "request {id}");
        }
    });
}
