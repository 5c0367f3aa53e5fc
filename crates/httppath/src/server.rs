//! HTTP server with a graceful stop.
//!
//! A graceful stop has two steps. After [`Shutdown::drain`], the server still accepts connections and closes each after
//! its next response, so that callers move to other servers once it is no longer advertised as healthy.
//! [`Shutdown::stop`] closes the listener, closes idle connections after a grace period and lets requests in flight
//! finish.

use crate::body::Body;
use crate::executor::Executor;
use crate::server_connections::ConnectionContext;
use crate::shutdown_signal::{ShutdownSignal, ShutdownStage};
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

const DEFAULT_MAX_HEADER_SIZE: ByteSize = ByteSize(64 * 1024);
const DEFAULT_MAX_CONNECTIONS: usize = 16 * 1024;
const DEFAULT_HEADER_READ_TIMEOUT: Millis = Millis(60_000);
const DEFAULT_WRITE_TIMEOUT: Millis = Millis(15_000);
const DEFAULT_IDLE_GRACE: Millis = Millis(250);
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;
const DEFAULT_STOP_TIMEOUT: Millis = Millis(30_000);
const ACCEPT_RETRY_DELAY: Millis = Millis(10);

/// Builder of a [`Server`].
pub struct ServerBuilder {
    server: Server,
}

impl ServerBuilder {
    /// Sets the maximum size of a request head; a larger one is answered with status 431.
    #[must_use]
    pub fn max_header_size(mut self, size: ByteSize) -> Self {
        self.server.max_header_size = size;
        self
    }

    /// Sets the maximum number of header fields of a request; a request with more is answered with status 431.
    #[must_use]
    pub fn max_headers(mut self, count: usize) -> Self {
        self.server.max_headers = Some(count);
        self
    }

    /// Sets the maximum number of open connections; others wait to be accepted.
    #[must_use]
    pub fn max_connections(mut self, count: usize) -> Self {
        self.server.max_connections = count.max(1);
        self
    }

    /// Sets how long a caller may take to send a request head. The time between two requests counts as well.
    #[must_use]
    pub fn header_read_timeout(mut self, timeout: Millis) -> Self {
        self.server.header_read_timeout = timeout;
        self
    }

    /// Sets how long a caller may accept no byte of its response before its connection is closed.
    #[must_use]
    pub fn write_timeout(mut self, timeout: Millis) -> Self {
        self.server.write_timeout = timeout;
        self
    }

    /// Sets how long an idle connection stays open after a stop, for a request that is already on its way.
    #[must_use]
    pub fn idle_grace(mut self, grace: Millis) -> Self {
        self.server.idle_grace = grace;
        self
    }

    /// Sets how long requests in flight may take after a stop; then the remaining connections are dropped.
    #[must_use]
    pub fn stop_timeout(mut self, timeout: Millis) -> Self {
        self.server.stop_timeout = timeout;
        self
    }

    /// Builds the server.
    pub fn build(self) -> Server {
        self.server
    }
}

/// An HTTP/1 server on one listener.
pub struct Server {
    listener: Async<TcpListener>,
    executor: Executor,
    signal: Arc<ShutdownSignal>,
    max_header_size: ByteSize,
    max_headers: Option<usize>,
    max_connections: usize,
    header_read_timeout: Millis,
    idle_grace: Millis,
    write_timeout: Millis,
    stop_timeout: Millis,
}

/// Handle that shuts a [`Server`] down.
#[derive(Clone)]
pub struct Shutdown {
    signal: Arc<ShutdownSignal>,
}

impl Shutdown {
    /// Lets the server accept connections as before, and close each after its next response.
    pub fn drain(&self) {
        self.signal.advance_to(ShutdownStage::Draining);
    }

    /// Closes the listener, lets requests in flight finish and then ends [`Server::serve`].
    ///
    /// A connection that a caller opens at the same moment may be reset. To avoid that, drain first and stop once no more
    /// connections arrive.
    pub fn stop(&self) {
        self.signal.advance_to(ShutdownStage::Stopping);
    }

    /// Returns whether a drain or a stop was requested.
    pub fn is_draining(&self) -> bool {
        self.signal.reached(ShutdownStage::Draining)
    }
}

/// How the shutdown of a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownOutcome {
    /// All requests in flight finished.
    Clean,
    /// The stop timed out, and this many connections were dropped.
    Aborted(usize),
}

impl Server {
    /// Returns a builder with default limits. The server will run its connections on `executor`.
    pub fn builder(listener: Async<TcpListener>, executor: Executor) -> ServerBuilder {
        // If this fails, the shorter backlog that the standard library has set remains.
        let _ = rustix::net::listen(&listener, LISTEN_BACKLOG);
        let server = Self {
            listener,
            executor,
            signal: Arc::default(),
            max_header_size: DEFAULT_MAX_HEADER_SIZE,
            max_headers: None,
            max_connections: DEFAULT_MAX_CONNECTIONS,
            header_read_timeout: DEFAULT_HEADER_READ_TIMEOUT,
            idle_grace: DEFAULT_IDLE_GRACE,
            write_timeout: DEFAULT_WRITE_TIMEOUT,
            stop_timeout: DEFAULT_STOP_TIMEOUT,
        };
        ServerBuilder { server }
    }

    /// Returns a handle that shuts the server down.
    pub fn shutdown(&self) -> Shutdown {
        Shutdown { signal: Arc::clone(&self.signal) }
    }

    /// Returns the address that the server listens on.
    ///
    /// # Errors
    ///
    /// Fails if the operating system does not return the address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.get_ref().local_addr()
    }

    /// Serves until stopped. The handler is called with each request and the address of its caller. When the caller
    /// closes the connection, the handler's future is dropped. If the handler panics, the response has status 500.
    pub async fn serve<F, Fut>(self, handler: F) -> ShutdownOutcome
    where
        F: Fn(Request<Incoming>, SocketAddr) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Response<Body>> + Send + 'static,
    {
        let permits = Arc::new(Semaphore::new(self.max_connections));
        let (alive, all_ended) = async_channel::bounded::<Infallible>(1);
        let context = ConnectionContext {
            http: self.http(),
            handler: Arc::new(handler),
            executor: self.executor.clone(),
            signal: Arc::clone(&self.signal),
            idle_grace: self.idle_grace,
            write_timeout: self.write_timeout,
            permits: Arc::clone(&permits),
            alive,
        };
        self.accept(&context).await;
        let stop_timeout = self.stop_timeout;
        let signal = Arc::clone(&self.signal);
        accept_backlog(&self.listener, &context);
        drop(self);
        drop(context);
        let finished = async {
            let _ = all_ended.recv().await;
            true
        };
        let timed_out = async {
            Timer::after(stop_timeout.duration()).await;
            false
        };
        if finished.or(timed_out).await {
            return ShutdownOutcome::Clean;
        }
        let open_connections = all_ended.sender_count();
        signal.advance_to(ShutdownStage::Aborting);
        let _ = all_ended.recv().await;
        ShutdownOutcome::Aborted(open_connections)
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

    async fn accept<F, Fut>(&self, context: &ConnectionContext<F>)
    where
        F: Fn(Request<Incoming>, SocketAddr) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Response<Body>> + Send + 'static,
    {
        let mut watch = self.signal.watch();
        loop {
            let next = async {
                let permit = context.permits.acquire_arc().await;
                Some((self.listener.accept().await, permit))
            };
            let stopped = async {
                poll_fn(|cx| watch.poll(cx, ShutdownStage::Stopping)).await;
                None
            };
            match stopped.or(next).await {
                None => return,
                Some((Ok((stream, remote)), permit)) => context.start(stream, remote, permit),
                Some((Err(_), _)) => {
                    metrics::counter!("skylarkdock_http_accept_errors_total").increment(1);
                    Timer::after(ACCEPT_RETRY_DELAY.duration()).await;
                }
            }
        }
    }
}

/// Starts serving the connections that the operating system has accepted, before the listener is closed.
fn accept_backlog<F, Fut>(listener: &Async<TcpListener>, context: &ConnectionContext<F>)
where
    F: Fn(Request<Incoming>, SocketAddr) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    while let Some(permit) = context.permits.try_acquire_arc() {
        let Ok((stream, remote)) = listener.get_ref().accept() else { return };
        if let Ok(stream) = Async::new(stream) {
            context.start(stream, remote, permit);
        }
    }
}
