//! One client connection and the exchange of one request and its answer over it.
//!
//! The connection is driven by whoever waits for the answer, not by a task of its own.

use crate::body::Body;
use crate::wire::{MAX_BUFFER_BYTES, Socket, Waking, Wire};
use async_io::Async;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use std::future::{Future, poll_fn};
use std::net::TcpStream;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

/// A connection on which one request at a time is sent.
pub(crate) struct Line {
    sender: SendRequest<Body>,
    driver: Option<Connection<Wire, Body>>,
    socket: Arc<Socket>,
}

/// Why an exchange failed before the answer's head.
pub(crate) struct FailedExchange {
    /// What the connection reported; nothing if the caller gave up.
    pub(crate) error: Option<hyper::Error>,
    /// The request, if nothing was taken from it.
    pub(crate) request: Option<Request<Body>>,
    /// Whether no byte of the request was written.
    pub(crate) nothing_written: bool,
}

impl Line {
    pub(crate) async fn open(stream: Async<TcpStream>) -> hyper::Result<Box<Self>> {
        let socket = Socket::new(stream);
        let wire = Wire::new(Arc::clone(&socket), Waking::ByOwner);
        let mut http = http1::Builder::new();
        http.max_buf_size(MAX_BUFFER_BYTES);
        let (sender, driver) = http.handshake(wire).await?;
        Ok(Box::new(Self { sender, driver: Some(driver), socket }))
    }

    /// Returns whether the connection is through with its exchange and can take the next request.
    pub(crate) fn is_through(&mut self) -> bool {
        self.drive(&mut Context::from_waker(Waker::noop()));
        self.driver.is_some() && self.sender.is_ready()
    }

    /// Returns whether the peer keeps the idle connection open.
    pub(crate) fn is_open(&mut self) -> bool {
        self.socket.probe();
        self.is_through()
    }

    /// Moves bytes in both directions as far as possible.
    fn drive(&mut self, cx: &mut Context<'_>) {
        let Some(driver) = &mut self.driver else { return };
        if Pin::new(driver).poll(cx).is_ready() {
            self.driver = None;
        }
    }

    /// Moves bytes until `done` returns something; if it does not, the task is woken when there is more to move.
    pub(crate) fn poll_until<T>(
        &mut self,
        cx: &mut Context<'_>,
        mut done: impl FnMut() -> Poll<T>,
    ) -> Poll<T> {
        loop {
            let waits = self.socket.poll_readable(cx).is_pending();
            self.drive(cx);
            let result = done();
            // A socket that is not drained is not what the connection waits for.
            if result.is_ready() || waits || !self.socket.is_drained() {
                return result;
            }
            if self.socket.poll_readable(cx).is_pending() {
                return Poll::Pending;
            }
        }
    }

    /// Sends a request and waits for the answer's head; `give_up` ends the wait.
    pub(crate) async fn exchange(
        &mut self,
        req: Request<Body>,
        mut give_up: impl FnMut(&mut Context<'_>) -> Poll<()>,
    ) -> Result<Response<Incoming>, FailedExchange> {
        let before = self.socket.written();
        // The peer may have closed the connection meanwhile.
        self.socket.probe();
        let mut answer = pin!(self.sender.try_send_request(req));
        let result = poll_fn(|cx| {
            // Only the connection makes progress, so the answer's own wake-up is not needed.
            let quiet = &mut Context::from_waker(Waker::noop());
            if let Poll::Ready(result) = self.poll_until(cx, || answer.as_mut().poll(quiet)) {
                return Poll::Ready(Some(result));
            }
            give_up(cx).map(|()| None)
        });
        let result = result.await;
        let nothing_written = self.socket.written() == before;
        match result {
            Some(Ok(res)) => Ok(res),
            Some(Err(mut e)) => {
                let request = e.take_message();
                let nothing_written = nothing_written || request.is_some();
                Err(FailedExchange { error: Some(e.into_error()), request, nothing_written })
            }
            None => Err(FailedExchange { error: None, request: None, nothing_written }),
        }
    }
}
