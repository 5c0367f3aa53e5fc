//! Connections of callers. Each has a task that serves its requests until the connection ends or the server shuts down.

use crate::body::{self, Body};
use crate::executor::Executor;
use crate::shutdown_signal::{ShutdownSignal, ShutdownStage, ShutdownWatch};
use crate::socket::{HyperIo, Socket, WakeRegistration};
use async_io::{Async, Timer};
use async_lock::{Semaphore, SemaphoreGuardArc};
use futures_lite::FutureExt;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use skylarkdock_units::times::Millis;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::net::{SocketAddr, TcpStream};
use std::panic::AssertUnwindSafe;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};

/// Settings and state shared by all connections of a server.
pub(crate) struct ConnectionContext<F> {
    pub(crate) http: http1::Builder,
    pub(crate) handler: Arc<F>,
    pub(crate) executor: Executor,
    pub(crate) signal: Arc<ShutdownSignal>,
    pub(crate) idle_grace: Millis,
    pub(crate) write_timeout: Millis,
    pub(crate) permits: Arc<Semaphore>,
    /// Never sent on. Each connection holds a clone, so that the channel closes when all connections have ended.
    pub(crate) alive: async_channel::Sender<Infallible>,
}

impl<F, Fut> ConnectionContext<F>
where
    F: Fn(Request<Incoming>, SocketAddr) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    pub(crate) fn start(
        &self,
        stream: Async<TcpStream>,
        remote: SocketAddr,
        permit: SemaphoreGuardArc,
    ) {
        // A failure is ignored, because without this option responses are only delayed.
        let _ = stream.get_ref().set_nodelay(true);
        let signal = Arc::clone(&self.signal);
        let watch = self.signal.watch();
        let handler = Arc::clone(&self.handler);
        let service = service_fn(move |req| {
            let handled = handle_catching_panics(Arc::clone(&handler), req, remote);
            let signal = Arc::clone(&signal);
            async move {
                let mut res = handled.await;
                if signal.reached(ShutdownStage::Draining) {
                    res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(res)
            }
        });
        let io = HyperIo::new(Socket::new(stream), WakeRegistration::OnRead)
            .write_timeout(self.write_timeout);
        let connection = self.http.serve_connection(io, service);
        let idle_grace = self.idle_grace;
        let alive = self.alive.clone();
        let task = async move {
            let served = serve_until_shutdown(connection, watch, idle_grace).await;
            if let Err(e) = served {
                count_error(&e);
            }
            drop(permit);
            drop(alive);
        };
        self.executor.spawn(task).detach();
    }
}

async fn handle_catching_panics<F, Fut>(
    handler: Arc<F>,
    req: Request<Incoming>,
    remote: SocketAddr,
) -> Response<Body>
where
    F: Fn(Request<Incoming>, SocketAddr) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let handled = AssertUnwindSafe(async move { handler(req, remote).await });
    handled.catch_unwind().await.unwrap_or_else(|_| {
        metrics::counter!("skylarkdock_http_handler_panics_total").increment(1);
        let mut res = Response::new(body::empty());
        *res.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        res
    })
}

async fn serve_until_shutdown<S>(
    connection: http1::Connection<HyperIo, S>,
    mut watch: ShutdownWatch,
    grace: Millis,
) -> hyper::Result<()>
where
    S: HttpService<Incoming, ResBody = Body, Error = Infallible>,
{
    let mut connection = pin!(connection);
    let until_stopping = poll_fn(|cx| {
        poll_connection_or(cx, connection.as_mut(), |cx| watch.poll(cx, ShutdownStage::Stopping))
    });
    if let Some(result) = until_stopping.await {
        return result;
    }
    let mut timer = Timer::after(grace.duration());
    let until_grace_end = poll_fn(|cx| {
        poll_connection_or(cx, connection.as_mut(), |cx| Pin::new(&mut timer).poll(cx).map(|_| ()))
    });
    if let Some(result) = until_grace_end.await {
        return result;
    }
    connection.as_mut().graceful_shutdown();
    let until_aborting = poll_fn(|cx| {
        poll_connection_or(cx, connection.as_mut(), |cx| watch.poll(cx, ShutdownStage::Aborting))
    });
    until_aborting.await.unwrap_or(Ok(()))
}

/// Polls the connection first, so that a request that has arrived is served before the event takes effect.
fn poll_connection_or<S>(
    cx: &mut Context<'_>,
    connection: Pin<&mut http1::Connection<HyperIo, S>>,
    poll_event: impl FnOnce(&mut Context<'_>) -> Poll<()>,
) -> Poll<Option<hyper::Result<()>>>
where
    S: HttpService<Incoming, ResBody = Body, Error = Infallible>,
{
    match connection.poll(cx) {
        Poll::Ready(result) => Poll::Ready(Some(result)),
        Poll::Pending => poll_event(cx).map(|()| None),
    }
}

fn count_error(e: &hyper::Error) {
    let reason = if e.is_parse_too_large() {
        "header_size"
    } else if e.is_parse() {
        "malformed"
    } else if e.is_timeout() {
        "header_timeout"
    } else if e.is_incomplete_message() {
        "caller_left"
    } else {
        "connection"
    };
    metrics::counter!("skylarkdock_http_connection_errors_total", "reason" => reason).increment(1);
}
