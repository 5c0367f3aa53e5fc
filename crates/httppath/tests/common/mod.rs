//! Servers, pools and raw peers for the tests.
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
pub const LIMIT: ByteSize = ByteSize(1 << 20);

pub fn executor() -> Executor {
    Executor::start("test", 2).unwrap()
}

pub fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

pub fn get(path: &str) -> Request<Body> {
    Request::builder().uri(path).header("host", "test").body(body::empty()).unwrap()
}

pub fn text(text: &str) -> Response<Body> {
    Response::new(body::full(text.to_owned()))
}

/// A server that runs in the background.
pub struct Running {
    pub addr: SocketAddr,
    pub shutdown: Shutdown,
    pub end: async_executor::Task<ShutdownOutcome>,
}

pub fn serve<F, Fut>(
    executor: &Executor,
    set: impl FnOnce(ServerBuilder) -> ServerBuilder,
    handler: F,
) -> Running
where
    F: Fn(Request<Incoming>, SocketAddr) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let server = set(Server::builder(listener, executor.clone())).build();
    let addr = server.local_addr().unwrap();
    let shutdown = server.shutdown();
    let end = executor.spawn(server.serve(handler));
    Running { addr, shutdown, end }
}

/// Sends a request and reads the answer's body as text.
pub async fn ask(pool: &Pool, addr: SocketAddr, path: &str) -> String {
    let res = pool.send(addr, get(path), CONNECT_TIMEOUT, deadline()).await.unwrap();
    let bytes = body::collect(res.into_body(), LIMIT).await.unwrap();
    String::from_utf8(bytes.to_vec()).unwrap()
}

/// A blocking peer.
pub struct RawPeer {
    pub addr: SocketAddr,
    /// Gets a message after each connection was closed.
    pub closed: mpsc::Receiver<()>,
    pub thread: JoinHandle<()>,
}

/// Runs a blocking peer for one connection after the other, as scripted, each closed after its script.
pub fn raw_peer(scripts: Vec<fn(&mut TcpStream)>) -> RawPeer {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    let (tx, closed) = mpsc::channel();
    let run = move || {
        for script in scripts {
            let (mut stream, _) = listener.accept().unwrap();
            script(&mut stream);
            drop(stream);
            // The test may have seen enough.
            let _ = tx.send(());
        }
    };
    RawPeer { addr, closed, thread: thread::spawn(run) }
}

/// Reads one request's head.
pub fn read_head(stream: &mut TcpStream) -> String {
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

/// Sends raw bytes and returns everything that comes back until the connection ends.
pub fn raw_ask(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.write_all(bytes).unwrap();
    let mut answer = Vec::new();
    // A reset after the answer is an end like any other.
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}
