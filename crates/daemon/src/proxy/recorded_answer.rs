//! Records the answers to once-only requests, and replays them to repeated requests.

use crate::proxy::refusal::{self, Reason, Refusal};
use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use skylarkdock_httppath::body::{self, Body, BodyError};
use skylarkdock_outcomes::answer::{Answer, Body as RecordedBody};
use skylarkdock_outcomes::outcome::Outcome;
use skylarkdock_units::requests::RequestId;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Longest body that is recorded whole. It is read completely before the caller gets the first byte.
const MAX_WHOLE_BODY_BYTES: usize = 256 * 1024;

/// A body of an answer, read up to `MAX_WHOLE_BODY_BYTES`.
pub enum ReadBody {
    /// The whole body.
    Whole(Bytes),
    /// A longer body, of which only the digest is recorded.
    Long(LongBody),
    /// The connection failed before the end of the body.
    Truncated,
}

/// Reads a body up to the length that is recorded whole.
pub async fn read_body(mut body: Body) -> ReadBody {
    let mut start = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return ReadBody::Truncated };
        if let Ok(data) = frame.into_data() {
            start.extend_from_slice(&data);
        }
        if start.len() > MAX_WHOLE_BODY_BYTES {
            return ReadBody::Long(LongBody { start: Some(start.freeze()), rest: body });
        }
    }
    ReadBody::Whole(start.freeze())
}

/// Returns the `Content-Type` header as text.
pub fn content_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(CONTENT_TYPE)?;
    value.to_str().ok().map(str::to_owned)
}

/// Returns the record of an answer with its whole body.
pub fn whole_answer(status: StatusCode, content_type: Option<String>, body: Bytes) -> Answer {
    Answer { status: status.as_u16(), content_type, body: RecordedBody::Whole(body) }
}

/// Length and hash of a body.
pub struct Digest {
    len: u64,
    hash: blake3::Hash,
}

/// Returns the record of an answer with only the digest of its body.
pub fn digest_answer(status: StatusCode, content_type: Option<String>, digest: Digest) -> Answer {
    let mut truncated = [0; 16];
    truncated.copy_from_slice(&digest.hash.as_bytes()[..16]);
    let body = RecordedBody::Digest { len: digest.len, digest: truncated };
    Answer { status: status.as_u16(), content_type, body }
}

/// Returns the response to a repeated request, from the recorded answer.
pub fn replay(recorded: &Answer, id: RequestId) -> Response<Body> {
    let RecordedBody::Whole(bytes) = &recorded.body else {
        let refusal =
            Refusal { reason: Reason::AnswerNotKept, outcome: Outcome::Done, retry_after: None };
        return refusal.response(Some(id));
    };
    let mut res = Response::new(body::full(bytes.clone()));
    *res.status_mut() = StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK);
    let content_type =
        recorded.content_type.as_ref().and_then(|text| HeaderValue::try_from(text).ok());
    if let Some(value) = content_type {
        res.headers_mut().insert(CONTENT_TYPE, value);
    }
    refusal::set_outcome_headers(&mut res, Outcome::Done, Some(id));
    res
}

/// A body that is too long to be recorded whole, with the part that was already read.
pub struct LongBody {
    start: Option<Bytes>,
    rest: Body,
}

impl LongBody {
    /// Returns the body for the caller. When it ends, `on_end` gets its digest, or `None` if the body was truncated.
    pub fn into_body(self, on_end: impl FnOnce(Option<Digest>) + Send + 'static) -> Body {
        let on_end: OnDigest = Box::new(on_end);
        let body = DigestingBody {
            source: self,
            hasher: blake3::Hasher::new(),
            len: 0,
            on_end: Some(on_end),
        };
        body.boxed_unsync()
    }
}

type OnDigest = Box<dyn FnOnce(Option<Digest>) + Send>;

struct DigestingBody {
    source: LongBody,
    hasher: blake3::Hasher,
    len: u64,
    on_end: Option<OnDigest>,
}

impl DigestingBody {
    fn end(&mut self, is_complete: bool) {
        let Some(on_end) = self.on_end.take() else { return };
        let digest = Digest { len: self.len, hash: self.hasher.finalize() };
        on_end(is_complete.then_some(digest));
    }

    fn next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.source.start.take() {
            Some(start) => Poll::Ready(Some(Ok(Frame::data(start)))),
            None => Pin::new(&mut self.source.rest).poll_frame(cx),
        }
    }
}

impl HttpBody for DigestingBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        let polled = this.next(cx);
        match &polled {
            Poll::Ready(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    this.hasher.update(data);
                    this.len += data.len() as u64;
                }
                if this.source.rest.is_end_stream() {
                    this.end(true);
                }
            }
            Poll::Ready(Some(Err(_))) => this.end(false),
            Poll::Ready(None) => this.end(true),
            Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.source.start.is_none() && self.source.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let start = self.source.start.as_ref().map_or(0, Bytes::len) as u64;
        match self.source.rest.size_hint().exact() {
            Some(rest) => SizeHint::with_exact(start + rest),
            None => SizeHint::default(),
        }
    }
}

impl Drop for DigestingBody {
    fn drop(&mut self) {
        let is_complete = self.source.start.is_none() && self.source.rest.is_end_stream();
        self.end(is_complete);
    }
}
