//! Response bodies that hold a guard, such as the permit of the request, until they end, and report whether they were
//! complete.

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use skylarkdock_httppath::body::{Body, BodyError};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Called once when a body ends, with `true` if the body was complete.
pub type OnEnd = Box<dyn FnOnce(bool) + Send>;

/// A body that holds a guard until it ends.
pub struct GuardedBody<T> {
    inner: Body,
    guard: Option<T>,
    on_end: Option<OnEnd>,
}

impl<T> GuardedBody<T> {
    /// Holds `guard` until the body ends or is dropped.
    pub fn new(inner: Body, guard: T, on_end: OnEnd) -> Self {
        Self { inner, guard: Some(guard), on_end: Some(on_end) }
    }

    fn end(&mut self, is_complete: bool) {
        if let Some(on_end) = self.on_end.take() {
            on_end(is_complete);
        }
        self.guard = None;
    }
}

impl<T: Unpin> HttpBody for GuardedBody<T> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        let polled = Pin::new(&mut this.inner).poll_frame(cx);
        match &polled {
            Poll::Ready(None) => this.end(true),
            Poll::Ready(Some(Err(_))) => this.end(false),
            Poll::Ready(Some(Ok(_))) if this.inner.is_end_stream() => this.end(true),
            _ => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl<T> Drop for GuardedBody<T> {
    fn drop(&mut self) {
        let is_complete = self.inner.is_end_stream();
        self.end(is_complete);
    }
}
