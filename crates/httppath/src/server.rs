//! HTTP server with a graceful stop.
//!
//! A stop has two steps. [`Shutdown::drain`] goes on accepting and closes each connection after its next answer, so
//! callers move away while health is no longer advertised. [`Shutdown::stop`] closes the listener, lets idle
//! connections end after a grace period and requests in flight finish whole.

use crate::body::Body;
use crate::connections::Connections;
use crate::executor::Executor;
use crate::signal::{Level, Signal};
use crate::socket::MAX_BUFFER_BYTES;
use async_io::{Async, Timer};
use async_lock::Semaphore;
use futures_lite::FutureExt;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::times::Millis;
use smol_hyper::rt::SmolTimer;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

const MAX_HEADER_SIZE: ByteSize = ByteSize(64 * 1024);
const MAX_CONNECTIONS: usize = 16 * 1024;
const HEADER_READ_TIMEOUT: Millis = Millis(60_000);
const WRITE_TIMEOUT: Millis = Millis(15_000);
const IDLE_GRACE: Millis = Millis(250);
/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;
const STOP_LIMIT: Millis = Millis(30_000);
const ACCEPT_RETRY: Millis = Millis(10);

/// Settings of a [`Server`], changed one by one.
pub struct ServerBuilder {
    server: Server,
}

impl ServerBuilder {
    /// Sets the largest request head accepted; larger ones are answered with 431.
    #[must_use]
    pub fn max_header_size(mut self, size: ByteSize) -> Self {
        self.server.max_header_size = size;
        self
    }

    /// Sets the largest number of header fields accepted; more are answered with 431.
    #[must_use]
    pub fn max_headers(mut self, count: usize) -> Self {
        self.server.max_headers = Some(count);
        self
    }

    /// Sets the largest number of open connections; more wait to be accepted.
    #[must_use]
    pub fn max_connections(mut self, count: usize) -> Self {
        self.server.max_connections = count.max(1);
        self
    }

    /// Sets how long a connection may take to send a request's head, the time between requests included.
    #[must_use]
    pub fn header_read_timeout(mut self, timeout: Millis) -> Self {
        self.server.header_read_timeout = timeout;
        self
    }

    /// Sets how long a caller may take no byte of its answer before its connection is cut.
    #[must_use]
    pub fn write_timeout(mut self, timeout: Millis) -> Self {
        self.server.write_timeout = timeout;
        self
    }

    /// Sets how long an idle connection is kept after a stop, for a request that is already under way.
    #[must_use]
    pub fn idle_grace(mut self, grace: Millis) -> Self {
        self.server.idle_grace = grace;
        self
    }

    /// Sets how long after a stop requests in flight may take; those left are cut.
    #[must_use]
    pub fn stop_limit(mut self, limit: Millis) -> Self {
        self.server.stop_limit = limit;
        self
    }

    /// Returns the server.
    pub fn build(self) -> Server {
        self.server
    }
}

/// An HTTP/1 server on one listener.
pub struct Server {
    listener: Async<TcpListener>,
    executor: Executor,
    signal: Arc<Signal>,
    max_header_size: ByteSize,
    max_headers: Option<usize>,
    max_connections: usize,
    header_read_timeout: Millis,
    idle_grace: Millis,
    write_timeout: Millis,
    stop_limit: Millis,
}

/// Tells a [`Server`] to leave.
#[derive(Clone)]
pub struct Shutdown {
    signal: Arc<Signal>,
}

impl Shutdown {
    /// Goes on accepting, and closes each connection after its next answer.
    pub fn drain(&self) {
        self.signal.raise(Level::Draining);
    }

    /// Accepts nothing more, lets requests in flight finish and then ends [`Server::serve`].
    ///
    /// A caller whose connection is being opened at this very moment is reset. To spare callers that, drain first
    /// and stop when no new connections arrive.
    pub fn stop(&self) {
        self.signal.raise(Level::Stopping);
    }

    /// Returns whether a drain or a stop was asked for.
    pub fn is_draining(&self) -> bool {
        self.signal.reached(Level::Draining)
    }
}

/// How a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServeEnd {
    /// Every request in flight was answered whole.
    Clean,
    /// The limit passed and this many connections were cut.
    Cut(usize),
}

impl Server {
    /// Starts the settings of a server that runs its connections on `executor`.
    pub fn builder(listener: Async<TcpListener>, executor: Executor) -> ServerBuilder {
        // A refusal leaves the standard library's shorter queue.
        let _ = rustix::net::listen(&listener, LISTEN_BACKLOG);
        let server = Self {
            listener,
            executor,
            signal: Arc::default(),
            max_header_size: MAX_HEADER_SIZE,
            max_headers: None,
            max_connections: MAX_CONNECTIONS,
            header_read_timeout: HEADER_READ_TIMEOUT,
            idle_grace: IDLE_GRACE,
            write_timeout: WRITE_TIMEOUT,
            stop_limit: STOP_LIMIT,
        };
        ServerBuilder { server }
    }

    /// Returns a handle that stops the server.
    pub fn shutdown(&self) -> Shutdown {
        Shutdown { signal: Arc::clone(&self.signal) }
    }

    /// Returns the address listened on.
    ///
    /// # Errors
    ///
    /// Fails when the operating system does.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.get_ref().local_addr()
    }

    /// Serves until stopped. The handler gets each request with the caller's address. When the caller closes the
    /// connection, the handler's future is dropped. A panic of the handler is answered with 500.
    pub async fn serve<F, Fut>(self, handler: F) -> ServeEnd
    where
        F: Fn(Request<Incoming>, SocketAddr) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Response<Body>> + Send + 'static,
    {
        let places = Arc::new(Semaphore::new(self.max_connections));
        let (alive, all_done) = async_channel::bounded::<Infallible>(1);
        let connections = Connections {
            http: self.http(),
            handler: Arc::new(handler),
            executor: self.executor.clone(),
            signal: Arc::clone(&self.signal),
            idle_grace: self.idle_grace,
            write_timeout: self.write_timeout,
            places: Arc::clone(&places),
            alive,
        };
        self.accept(&connections).await;
        let stop_limit = self.stop_limit;
        let signal = Arc::clone(&self.signal);
        accept_backlog(&self.listener, &connections);
        drop(self);
        drop(connections);
        let finished = async {
            let _ = all_done.recv().await;
            true
        };
        let passed = async {
            Timer::after(stop_limit.duration()).await;
            false
        };
        if finished.or(passed).await {
            return ServeEnd::Clean;
        }
        let left = all_done.sender_count();
        signal.raise(Level::Cut);
        let _ = all_done.recv().await;
        ServeEnd::Cut(left)
    }

    fn http(&self) -> http1::Builder {
        let mut http = http1::Builder::new();
        http.timer(SmolTimer::new());
        http.header_read_timeout(self.header_read_timeout.duration());
        let header_size = usize::try_from(self.max_header_size.0).unwrap_or(usize::MAX);
        http.max_header_size(header_size);
        http.max_buf_size(header_size.max(MAX_BUFFER_BYTES));
        if let Some(count) = self.max_headers {
            http.max_headers(count);
        }
        http
    }

    async fn accept<F, Fut>(&self, connections: &Connections<F>)
    where
        F: Fn(Request<Incoming>, SocketAddr) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Response<Body>> + Send + 'static,
    {
        let mut watch = self.signal.watch();
        loop {
            let next = async {
                let place = connections.places.acquire_arc().await;
                Some((self.listener.accept().await, place))
            };
            let stopped = async {
                poll_fn(|cx| watch.poll(cx, Level::Stopping)).await;
                None
            };
            match stopped.or(next).await {
                None => return,
                Some((Ok((stream, remote)), place)) => connections.start(stream, remote, place),
                Some((Err(_), _)) => {
                    metrics::counter!("skylarkdock_http_accept_errors_total").increment(1);
                    Timer::after(ACCEPT_RETRY.duration()).await;
                }
            }
        }
    }
}

/// Serves the connections that the operating system accepted before the listener closes.
fn accept_backlog<F, Fut>(listener: &Async<TcpListener>, connections: &Connections<F>)
where
    F: Fn(Request<Incoming>, SocketAddr) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    while let Some(place) = connections.places.try_acquire_arc() {
        let Ok((stream, remote)) = listener.get_ref().accept() else { return };
        if let Ok(stream) = Async::new(stream) {
            connections.start(stream, remote, place);
        }
    }
}
