//! Closing a connection, or dropping a send or a response, cancels the request at the server.
#![allow(clippy::unwrap_used)]

mod common;

use common::{CONNECT_TIMEOUT, RunningServer, deadline, executor, get, serve};
use futures_lite::future::{block_on, pending};
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use skylarkdock_httppath::executor::Executor;
use skylarkdock_httppath::pool::Pool;
use skylarkdock_httppath::server::ServerBuilder;
use skylarkdock_units::times::Millis;
use std::io::Write;
use std::net::TcpStream;

/// Closes its channel when dropped, which shows that the handler or the body that owns it was dropped.
struct CloseOnDrop(async_channel::Sender<()>);

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// A server whose handler never returns.
struct StuckServer {
    server: RunningServer,
    started: async_channel::Receiver<()>,
    dropped: async_channel::Receiver<()>,
}

/// Starts a server whose handler never returns.
fn start_stuck_server(executor: &Executor) -> StuckServer {
    let (started_tx, started) = async_channel::bounded(1);
    let (dropped_tx, dropped) = async_channel::bounded(1);
    let server = serve(
        executor,
        |b| b,
        move |req, _| {
            let (started_tx, dropped) = (started_tx.clone(), CloseOnDrop(dropped_tx.clone()));
            async move {
                let _dropped = dropped;
                let _req = req;
                started_tx.send(()).await.unwrap();
                pending().await
            }
        },
    );
    StuckServer { server, started, dropped }
}

#[test]
fn closed_connection_drops_handler() {
    let executor = executor();
    let stuck = start_stuck_server(&executor);
    let mut stream = TcpStream::connect(stuck.server.addr).unwrap();
    stream.write_all(b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nok").unwrap();
    block_on(stuck.started.recv()).unwrap();
    drop(stream);
    assert!(block_on(stuck.dropped.recv()).is_err());
}

#[test]
fn dropped_send_drops_handler_of_peer() {
    let executor = executor();
    let stuck = start_stuck_server(&executor);
    let pool = Pool::builder(executor.clone()).build();
    let (sender, addr) = (pool.clone(), stuck.server.addr);
    let sent = executor.spawn(async move {
        sender.send(addr, get("/"), CONNECT_TIMEOUT, deadline()).await.is_ok()
    });
    block_on(stuck.started.recv()).unwrap();
    block_on(sent.cancel());
    assert!(block_on(stuck.dropped.recv()).is_err());
    assert_eq!(pool.counts(addr).open, 0);
}

#[test]
fn proxy_forwards_cancellation() {
    let executor = executor();
    let stuck = start_stuck_server(&executor);
    let (upstream, addr) = (Pool::builder(executor.clone()).build(), stuck.server.addr);
    let proxy = serve(
        &executor,
        |b| b,
        move |_, _| {
            let upstream = upstream.clone();
            async move { upstream.send(addr, get("/"), CONNECT_TIMEOUT, deadline()).await.unwrap() }
        },
    );
    let mut stream = TcpStream::connect(proxy.addr).unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    block_on(stuck.started.recv()).unwrap();
    drop(stream);
    assert!(block_on(stuck.dropped.recv()).is_err());
}

/// Starts a server whose response bodies never end.
fn start_endless_server(
    executor: &Executor,
    set: impl FnOnce(ServerBuilder) -> ServerBuilder,
) -> (RunningServer, async_channel::Receiver<()>) {
    let (dropped_tx, dropped) = async_channel::bounded::<()>(1);
    let server = serve(executor, set, move |_, _| {
        let dropped = CloseOnDrop(dropped_tx.clone());
        async move {
            let endless = futures_lite::stream::repeat_with(move || {
                let _dropped = &dropped;
                Ok(hyper::body::Frame::data(bytes::Bytes::from_static(&[0; 1024])))
            });
            Response::new(StreamBody::new(endless).boxed_unsync())
        }
    });
    (server, dropped)
}

#[test]
fn dropped_response_drops_body_of_peer() {
    let executor = executor();
    let (server, dropped) = start_endless_server(&executor, |b| b);
    let pool = Pool::builder(executor).build();
    let sent = pool.send(server.addr, get("/"), CONNECT_TIMEOUT, deadline());
    let mut body = block_on(sent).unwrap().into_body();
    block_on(body.frame()).unwrap().unwrap();
    assert_eq!(pool.counts(server.addr).open, 1);
    drop(body);
    assert_eq!(pool.counts(server.addr).open, 0);
    assert!(block_on(dropped.recv()).is_err());
}

#[test]
fn connection_of_caller_that_reads_nothing_is_closed() {
    let executor = executor();
    let (server, dropped) = start_endless_server(&executor, |b| b.write_timeout(Millis(50)));
    let mut stream = TcpStream::connect(server.addr).unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    assert!(block_on(dropped.recv()).is_err());
}
