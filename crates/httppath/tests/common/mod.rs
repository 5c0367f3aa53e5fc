//! Servers, requests and scripted peers shared by the tests.
#![allow(dead_code, clippy::unwrap_used, clippy::expect_used)]

use async_io::Async;
use http::{Request, Response};
use hyper::body::Incoming;
use skylarkdock_httppath::body::{self, Body};
use skylarkdock_httppath::executor::Executor;
use skylarkdock_httppath::pool::Pool;
use skylarkdock_httppath::server::{Server, ServerBuilder, Shutdown, ShutdownOutcome};
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::times::Millis;
use std::future::Future;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

pub const CONNECT_TIMEOUT: Millis = Millis(10_000);
pub const MAX_BODY_SIZE: ByteSize = ByteSize(1 << 20);

pub fn executor() -> Executor {
    Executor::start("test", 2).unwrap()
}

pub fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

pub fn get(path: &str) -> Request<Body> {
    Request::builder().uri(path).header("host", "test").body(body::empty()).unwrap()
}

pub fn text_response(text: &str) -> Response<Body> {
    Response::new(body::full(text.to_owned()))
}

/// A server that runs in the background.
pub struct RunningServer {
    pub addr: SocketAddr,
    pub shutdown: Shutdown,
    pub end: async_executor::Task<ShutdownOutcome>,
}

pub fn serve<F, Fut>(
    executor: &Executor,
    set: impl FnOnce(ServerBuilder) -> ServerBuilder,
    handler: F,
) -> RunningServer
where
    F: Fn(Request<Incoming>, SocketAddr) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let server = set(Server::builder(listener, executor.clone())).build();
    let addr = server.local_addr().unwrap();
    let shutdown = server.shutdown();
    let end = executor.spawn(server.serve(handler));
    RunningServer { addr, shutdown, end }
}

/// Sends a GET request and returns the response body as text.
pub async fn get_text(pool: &Pool, addr: SocketAddr, path: &str) -> String {
    let res = pool.send(addr, get(path), CONNECT_TIMEOUT, deadline()).await.unwrap();
    let bytes = body::collect(res.into_body(), MAX_BODY_SIZE).await.unwrap();
    String::from_utf8(bytes.to_vec()).unwrap()
}

/// A server on blocking sockets that follows a script.
pub struct ScriptedPeer {
    pub addr: SocketAddr,
    /// Receives a message after each connection is closed.
    pub closed: mpsc::Receiver<()>,
    pub thread: JoinHandle<()>,
}

/// Starts a peer that accepts one connection for each script, runs the script on it and closes it.
pub fn scripted_peer(scripts: Vec<fn(&mut TcpStream)>) -> ScriptedPeer {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    let (tx, closed) = mpsc::channel();
    let run = move || {
        for script in scripts {
            let (mut stream, _) = listener.accept().unwrap();
            script(&mut stream);
            drop(stream);
            // The test may not wait for this connection to close.
            let _ = tx.send(());
        }
    };
    ScriptedPeer { addr, closed, thread: thread::spawn(run) }
}

/// Reads the head of one request.
pub fn read_request_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).unwrap() == 0 {
            break;
        }
        head.push(byte[0]);
    }
    String::from_utf8(head).unwrap()
}

/// Sends the bytes on a new connection and returns all that is received until it ends.
pub fn raw_request(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.write_all(bytes).unwrap();
    let mut received = Vec::new();
    // The connection may also end with a reset.
    let _ = stream.read_to_end(&mut received);
    String::from_utf8_lossy(&received).into_owned()
}
