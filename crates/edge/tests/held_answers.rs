//! Answers that count towards the memory for answers, in a process without other answers.

#![allow(clippy::unwrap_used)]

use async_io::block_on;
use skylarkdock_edge::client::{self, Conn, Failure, Outgoing, Reply};
use skylarkdock_http1::head::Headers;
use skylarkdock_units::times::Millis;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

const SMALL: usize = 10_000;
const LARGE: usize = 4_000_000;

/// Starts a peer that answers with a body of the size in the path.
fn start_peer() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut buf = [0; 4096];
                let len = stream.read(&mut buf).unwrap();
                let text = String::from_utf8_lossy(&buf[..len]).into_owned();
                let size: usize = text.split(['/', ' ']).nth(2).unwrap().parse().unwrap();
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n");
                let _ = stream.write_all(&[head.into_bytes(), vec![b'x'; size]].concat());
                // The answer arrives before the connection is closed.
                let _ = stream.read(&mut buf);
            });
        }
    });
    addr
}

fn call(addr: SocketAddr, size: usize, is_control: bool) -> Result<Reply, Failure> {
    block_on(async {
        let mut conn = Conn::open(addr, Millis(5_000)).await.unwrap();
        let req = Outgoing::new("GET", &format!("/{size}"), &Headers::default(), &[]);
        let req = if is_control { req.with_control_answer() } else { req };
        conn.exchange(&req).await.map(|(reply, _)| reply)
    })
}

/// Answers that had been received counted for nothing, however long they were kept for callers that did not read them.
#[test]
fn an_answer_counts_towards_the_memory_until_it_is_dropped() {
    let addr = start_peer();
    let mut held = Vec::new();
    while let Ok(reply) = call(addr, LARGE, false) {
        held.push(reply);
        assert!(held.len() <= client::MAX_BUFFERED / LARGE + 1, "no end");
    }
    assert!(client::buffered() > client::MAX_BUFFERED - LARGE);
    assert_eq!(call(addr, SMALL, false).unwrap().body.len(), SMALL, "small answers go on");
    held.clear();
    assert_eq!(client::buffered(), 0);
    assert_eq!(call(addr, LARGE, false).unwrap().body.len(), LARGE);
    // Grants, releases and health checks have short answers.
    assert_eq!(call(addr, SMALL, true).unwrap().body.len(), SMALL);
    assert!(matches!(call(addr, LARGE, true), Err(Failure::Malformed)));
}
