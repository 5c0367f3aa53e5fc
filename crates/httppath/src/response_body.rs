//! Response body that releases its connection to the pool once it was read to the end.

use crate::address_pool::{self, PooledConnection};
use crate::body::{Body, BodyError};
use async_io::Timer;
use bytes::Bytes;
use http::{HeaderMap, Response, header};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker, ready};

/// Does the I/O of the connection while the body is read. Dropping it before the end closes the connection.
struct ResponseBody {
    incoming: Incoming,
    conn: Option<PooledConnection>,
    deadline: Timer,
    /// Whether the body has a length or is chunked. Also set once [`BodyError::Unframed`] was returned, so that the body
    /// then ends.
    framed: bool,
}

/// Returns the received response with a body that owns its connection.
pub(crate) fn attach_connection(
    res: Response<Incoming>,
    conn: PooledConnection,
    deadline: Timer,
) -> Response<Body> {
    let (head, incoming) = res.into_parts();
    let framed = is_chunked(&head.headers) || incoming.size_hint().exact().is_some();
    let mut body = ResponseBody { incoming, conn: Some(conn), deadline, framed };
    if body.incoming.is_end_stream() {
        body.release_connection();
    }
    Response::from_parts(head, body.boxed_unsync())
}

/// Returns whether the last transfer coding is chunked. Without it, a body that has no `content-length` ends when the
/// connection closes.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    let coding = last.and_then(|value| value.to_str().ok()?.rsplit(',').next());
    coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

impl ResponseBody {
    fn release_connection(&mut self) {
        let Some(mut conn) = self.conn.take() else { return };
        if conn.connection.is_ready() {
            address_pool::release(conn);
        }
    }

    fn poll_incoming(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        // The body makes progress only when the connection is polled, so it needs no waker of its own.
        let noop_cx = &mut Context::from_waker(Waker::noop());
        let mut incoming = Pin::new(&mut self.incoming);
        if let Poll::Ready(frame) = incoming.as_mut().poll_frame(noop_cx) {
            return Poll::Ready(frame);
        }
        match &mut self.conn {
            Some(conn) => conn.connection.poll_until(cx, || incoming.as_mut().poll_frame(noop_cx)),
            None => Poll::Pending,
        }
    }
}

impl HttpBody for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Poll::Ready(frame) = self.poll_incoming(cx) else {
            ready!(Pin::new(&mut self.deadline).poll(cx));
            self.conn = None;
            return Poll::Ready(Some(Err(BodyError::Deadline)));
        };
        match frame {
            Some(Ok(frame)) => {
                if self.incoming.is_end_stream() {
                    self.release_connection();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(e)) => {
                self.conn = None;
                Poll::Ready(Some(Err(BodyError::Truncated(e))))
            }
            None if self.framed => {
                self.release_connection();
                Poll::Ready(None)
            }
            None => {
                self.conn = None;
                self.framed = true;
                Poll::Ready(Some(Err(BodyError::Unframed)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.framed && self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
