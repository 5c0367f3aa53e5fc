//! One client connection, on which one request at a time is sent.
//!
//! The task that waits for the response does the I/O of the connection; the connection has no task of its own.

use crate::body::Body;
use crate::socket::{HyperIo, MAX_BUFFER_BYTES, Socket, WakeRegistration};
use async_io::Async;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use std::future::{Future, poll_fn};
use std::net::TcpStream;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, Waker};

/// A connection on which one request at a time is sent.
pub(crate) struct ClientConnection {
    sender: SendRequest<Body>,
    driver: Option<Connection<HyperIo, Body>>,
    socket: Arc<Socket>,
}

/// Why there is no response.
pub(crate) enum Loss {
    /// The wait timed out.
    TimedOut,
    /// The connection closed or failed.
    Closed(hyper::Error),
    /// The response is not valid HTTP, or interim responses before it don't end.
    Invalid,
}

/// Why sending a request failed before the response head arrived.
pub(crate) struct FailedExchange {
    /// What happened to the response.
    pub(crate) loss: Loss,
    /// The unchanged request, if the connection had not begun to send it.
    pub(crate) request: Option<Request<Body>>,
    /// Whether no byte of the request was written.
    pub(crate) nothing_written: bool,
}

impl ClientConnection {
    pub(crate) async fn open(stream: Async<TcpStream>) -> hyper::Result<Box<Self>> {
        let socket = Socket::new(stream);
        let io = HyperIo::new(Arc::clone(&socket), WakeRegistration::ByOwner);
        let mut http = http1::Builder::new();
        http.max_buf_size(MAX_BUFFER_BYTES);
        let (sender, driver) = http.handshake(io).await?;
        Ok(Box::new(Self { sender, driver: Some(driver), socket }))
    }

    /// Returns whether the last request and response are complete, so that the next request can be sent.
    pub(crate) fn is_ready(&mut self) -> bool {
        self.drive(&mut Context::from_waker(Waker::noop()));
        self.driver.is_some() && self.sender.is_ready()
    }

    /// Returns whether the peer has left the idle connection open.
    pub(crate) fn is_open(&mut self) -> bool {
        self.socket.clear_drained();
        self.is_ready()
    }

    /// Reads and writes as much as possible without waiting.
    fn drive(&mut self, cx: &mut Context<'_>) {
        let Some(driver) = &mut self.driver else { return };
        if Pin::new(driver).poll(cx).is_ready() {
            self.driver = None;
        }
    }

    /// Reads and writes until `poll_result` is ready or no more can be read or written. In the latter case, the task
    /// is woken once it can.
    pub(crate) fn poll_until<T>(
        &mut self,
        cx: &mut Context<'_>,
        mut poll_result: impl FnMut() -> Poll<T>,
    ) -> Poll<T> {
        loop {
            let no_input = self.socket.poll_readable(cx).is_pending();
            self.drive(cx);
            let result = poll_result();
            // If the socket is not drained, the connection waits for something other than input.
            if result.is_ready() || no_input || !self.socket.is_drained() {
                return result;
            }
            if self.socket.poll_readable(cx).is_pending() {
                return Poll::Pending;
            }
        }
    }

    /// Sends a request and waits for the response head, at most until `poll_timeout` is ready.
    pub(crate) async fn exchange(
        &mut self,
        mut req: Request<Body>,
        mut poll_timeout: impl FnMut(&mut Context<'_>) -> Poll<()>,
    ) -> Result<Response<Incoming>, FailedExchange> {
        let written_before = self.socket.bytes_written();
        // The peer may have closed the connection while it was idle; only a read notices that.
        self.socket.clear_drained();
        let interim = self.socket.start_counting_interim();
        hyper::ext::on_informational(&mut req, move |_| {
            interim.fetch_add(1, Ordering::Relaxed);
        });
        let mut response = pin!(self.sender.try_send_request(req));
        let result = poll_fn(|cx| {
            // The response makes progress only when the connection is polled, so it needs no waker of its own.
            let noop_cx = &mut Context::from_waker(Waker::noop());
            if let Poll::Ready(result) = self.poll_until(cx, || response.as_mut().poll(noop_cx)) {
                return Poll::Ready(Some(result));
            }
            poll_timeout(cx).map(|()| None)
        });
        let result = result.await;
        let nothing_written = self.socket.bytes_written() == written_before;
        match result {
            Some(Ok(res)) if is_final(res.status()) && !self.socket.has_too_many_interim() => {
                Ok(res)
            }
            Some(Ok(_)) => {
                Err(FailedExchange { loss: Loss::Invalid, request: None, nothing_written: false })
            }
            Some(Err(mut e)) => {
                let request = e.take_message();
                let nothing_written = nothing_written || request.is_some();
                let loss = Loss::Closed(e.into_error());
                Err(FailedExchange { loss, request, nothing_written })
            }
            None => Err(FailedExchange { loss: Loss::TimedOut, request: None, nothing_written }),
        }
    }
}

/// Returns whether a status is one of a final response. The parser accepts any from 100 to 999, and ends with 101, which no
/// request asks for.
fn is_final(status: StatusCode) -> bool {
    status.as_u16() < 600 && !status.is_informational()
}
