//! HTTP server whose handlers can close a connection without a response or truncate the response.

use crate::responses::{Body, NoResponse};
use crate::shared::Shared;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use futures_lite::future;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use rustix::net::sockopt;
use skylarkdock_httppath::executor::Executor;
use smol_hyper::rt::FuturesIo;
use std::future::Future;
use std::net::{TcpListener, TcpStream};
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

const ACCEPT_RETRY_DELAY_MS: u64 = 10;

/// State of a server's connections.
#[derive(Debug, Clone, Copy, Default)]
struct Connections {
    open: usize,
    reset: u64,
    stopping: bool,
}

/// A cloneable handle to an HTTP server.
#[derive(Clone)]
pub struct Server {
    executor: Executor,
    limit: Option<usize>,
    connections: Shared<Connections>,
}

impl Server {
    /// Creates a server that keeps at most `limit` connections open and resets new ones above the limit.
    pub fn new(executor: Executor, limit: Option<usize>) -> Self {
        Self { executor, limit, connections: Shared::new(Connections::default()) }
    }

    /// Starts to accept connections and to pass their requests to `handler`. When a caller closes
    /// its connection, the handler's future is dropped.
    pub fn start<F, Fut>(&self, listener: Async<TcpListener>, handler: F)
    where
        F: Fn(Request<Incoming>) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Result<Response<Body>, NoResponse>> + Send + 'static,
    {
        let server = self.clone();
        let accepting = async move { server.accept(listener, Arc::new(handler)).await };
        self.executor.spawn(accepting).detach();
    }

    /// Closes idle connections, waits for running requests and returns when all connections are closed.
    pub async fn stop(&self) {
        self.connections.update(|connections| connections.stopping = true);
        self.connections.wait_for(|connections| (connections.open == 0).then_some(())).await;
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.with(|connections| connections.open)
    }

    /// Returns the number of connections that were reset because of the limit.
    pub fn reset_connections(&self) -> u64 {
        self.connections.with(|connections| connections.reset)
    }

    async fn accept<F, Fut>(self, listener: Async<TcpListener>, handler: Arc<F>)
    where
        F: Fn(Request<Incoming>) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Result<Response<Body>, NoResponse>> + Send + 'static,
    {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.admits() => {
                    let served = self.clone().serve(stream, Arc::clone(&handler));
                    self.executor.spawn(served).detach();
                }
                Ok((stream, _)) => reset_on_drop(&stream),
                Err(_) => {
                    Timer::after(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
                }
            }
        }
    }

    fn admits(&self) -> bool {
        self.connections.with(|connections| {
            let admitted = self.limit.is_none_or(|limit| connections.open < limit);
            connections.open += usize::from(admitted);
            connections.reset += u64::from(!admitted);
            admitted
        })
    }

    async fn serve<F, Fut>(self, stream: Async<TcpStream>, handler: Arc<F>)
    where
        F: Fn(Request<Incoming>) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = Result<Response<Body>, NoResponse>> + Send + 'static,
    {
        // A failure only makes responses slower.
        let _ = stream.get_ref().set_nodelay(true);
        let service = service_fn(move |req| handler(req));
        let mut connection =
            pin!(http1::Builder::new().serve_connection(FuturesIo::new(stream), service));
        let finished = async {
            let _ = connection.as_mut().await;
            true
        };
        let stopping = async {
            self.connections.wait_for(|connections| connections.stopping.then_some(())).await;
            false
        };
        if !future::or(finished, stopping).await {
            connection.as_mut().graceful_shutdown();
            let _ = connection.as_mut().await;
        }
        self.connections.update(|connections| connections.open -= 1);
    }
}

/// Makes the connection end with a TCP reset when it is dropped.
pub fn reset_on_drop(stream: &Async<TcpStream>) {
    // After a failure the connection ends with a normal close.
    let _ = sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}

/// Makes the connection end with a normal close when it is dropped.
pub fn close_normally_on_drop(stream: &Async<TcpStream>) {
    // After a failure the connection ends with a reset.
    let _ = sockopt::set_socket_linger(stream, None);
}

/// Waits for `future` for at most `limit`; returns `None` on timeout.
pub async fn with_timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let future = async { Some(future.await) };
    let timeout = async {
        Timer::after(limit).await;
        None
    };
    future.or(timeout).await
}
