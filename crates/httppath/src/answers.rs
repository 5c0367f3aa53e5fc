//! Body of an answer, which gives its connection back once it was read to the end.

use crate::body::{Body, BodyError};
use crate::slots::{self, Conn};
use async_io::Timer;
use bytes::Bytes;
use http::{HeaderMap, Response, header};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker, ready};

/// Drives the connection while the body is read. Dropping it before the end closes the connection.
struct Answer {
    incoming: Incoming,
    conn: Option<Conn>,
    deadline: Timer,
    framed: bool,
}

/// Turns the received answer into one whose body owns the connection.
pub(crate) fn own(res: Response<Incoming>, conn: Conn, deadline: Timer) -> Response<Body> {
    let (head, incoming) = res.into_parts();
    let framed = is_chunked(&head.headers) || incoming.size_hint().exact().is_some();
    let mut answer = Answer { incoming, conn: Some(conn), deadline, framed };
    if answer.incoming.is_end_stream() {
        answer.give_back();
    }
    Response::from_parts(head, answer.boxed_unsync())
}

/// Returns whether the last transfer coding is the chunked one; without it the connection's end is the body's.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    let coding = last.and_then(|value| value.to_str().ok()?.rsplit(',').next());
    coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

impl Answer {
    fn give_back(&mut self) {
        let Some(mut conn) = self.conn.take() else { return };
        if conn.line.is_through() {
            slots::release(conn);
        }
    }

    fn poll_incoming(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        // Only the connection makes progress, so the body's own wake-up is not needed.
        let quiet = &mut Context::from_waker(Waker::noop());
        let mut incoming = Pin::new(&mut self.incoming);
        if let Poll::Ready(frame) = incoming.as_mut().poll_frame(quiet) {
            return Poll::Ready(frame);
        }
        match &mut self.conn {
            Some(conn) => conn.line.poll_until(cx, || incoming.as_mut().poll_frame(quiet)),
            None => Poll::Pending,
        }
    }
}

impl HttpBody for Answer {
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
                    self.give_back();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(e)) => {
                self.conn = None;
                Poll::Ready(Some(Err(BodyError::Truncated(e))))
            }
            None if self.framed => {
                self.give_back();
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
