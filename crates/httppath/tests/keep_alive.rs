//! Connections are reused, and one that the peer closed while it was idle is replaced.
#![allow(clippy::unwrap_used)]

mod common;

use common::{executor, get_text, read_request_head, scripted_peer, serve, text_response};
use futures_lite::future::block_on;
use skylarkdock_httppath::pool::Pool;
use std::io::Write;

#[test]
fn reuses_connection() {
    let executor = executor();
    let server =
        serve(&executor, |b| b, |_, remote| async move { text_response(&remote.to_string()) });
    let pool = Pool::builder(executor.clone()).build();
    let first = block_on(get_text(&pool, server.addr, "/"));
    let second = block_on(get_text(&pool, server.addr, "/"));
    assert_eq!(first, second);
    let counts = pool.counts(server.addr);
    assert_eq!((counts.open, counts.idle, counts.waiting), (1, 1, 0));
}

#[test]
fn replaces_stale_connection() {
    let respond_ok = |stream: &mut std::net::TcpStream| {
        read_request_head(stream);
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").unwrap();
    };
    // Each connection is closed after its first response, which has no `connection: close` header.
    let peer = scripted_peer(vec![respond_ok, respond_ok, respond_ok]);
    let executor = executor();
    let pool = Pool::builder(executor.clone()).build();
    for _ in 0..3 {
        assert_eq!(block_on(get_text(&pool, peer.addr, "/")), "ok");
        peer.closed.recv().unwrap();
    }
    peer.thread.join().unwrap();
}
