//! Streaming response body of an upstream; the run completes with the last chunk.

use crate::responses::{Body, BodyTruncated};
use crate::shared::Shared;
use crate::upstream::state::{self, RunGuard, State};
use bytes::Bytes;
use futures_lite::{future, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde::Serialize;

const CHUNK_BYTES: usize = 16 * 1024;
const FILLER_CHUNK: &[u8] = &[b'x'; CHUNK_BYTES];
const FILLER_HEAD: &str = r#","fill":""#;
const FILLER_TAIL: &str = r#""}"#;

/// JSON content of a response, before the filler.
#[derive(Debug, Serialize)]
pub struct ResponseContent<'a> {
    /// Service that the upstream belongs to.
    pub service: &'a str,
    /// Id of the upstream.
    pub id: &'a str,
    /// Key of the request.
    pub key: &'a str,
    /// Request id given by the caller.
    pub request_id: &'a str,
    /// Number of runs of the request id on this upstream, including this one.
    pub run: u64,
    /// Size of the request body, in bytes.
    pub request_bytes: u64,
}

/// State of the response stream: JSON head, filler and JSON tail.
struct ResponseStream {
    state: Shared<State>,
    guard: RunGuard,
    head: Bytes,
    filler_remaining: usize,
    tail: Bytes,
    remaining_before_truncation: Option<usize>,
}

/// Returns the body of `content`, padded to `bytes`, and its length. The run completes with the last chunk. A
/// truncated body ends with an error after half of its length.
pub fn response_body(
    state: &Shared<State>,
    guard: RunGuard,
    content: &ResponseContent<'_>,
    bytes: usize,
    truncated: bool,
) -> (Body, usize) {
    let mut head = serde_json::to_string(content).unwrap_or_default();
    let min_padded_length = head.len() + FILLER_HEAD.len() + FILLER_TAIL.len() - 1;
    let filler = bytes.checked_sub(min_padded_length);
    let tail = if filler.is_some() {
        head.pop();
        head.push_str(FILLER_HEAD);
        Bytes::from_static(FILLER_TAIL.as_bytes())
    } else {
        Bytes::new()
    };
    let length = head.len() + filler.unwrap_or(0) + tail.len();
    let stream_state = ResponseStream {
        state: state.clone(),
        guard,
        head: head.into(),
        filler_remaining: filler.unwrap_or(0),
        tail,
        remaining_before_truncation: truncated.then_some(length / 2),
    };
    let body = StreamBody::new(stream::unfold(stream_state, next_chunk));
    (body.boxed_unsync(), length)
}

async fn next_chunk(
    mut stream_state: ResponseStream,
) -> Option<(Result<Frame<Bytes>, BodyTruncated>, ResponseStream)> {
    state::wait_until_thawed(&stream_state.state).await;
    if stream_state.remaining_before_truncation == Some(0) {
        // Lets the server write the buffered chunks before the error closes the connection.
        future::yield_now().await;
        // The connection ends in the same way if the grant has expired.
        let _ = stream_state.guard.complete();
        return Some((Err(BodyTruncated), stream_state));
    }
    let mut chunk = stream_state.take()?;
    if let Some(remaining) = &mut stream_state.remaining_before_truncation {
        chunk.truncate(*remaining);
        *remaining -= chunk.len();
    }
    if stream_state.is_empty() && stream_state.guard.complete().is_err() {
        return Some((Err(BodyTruncated), stream_state));
    }
    Some((Ok(Frame::data(chunk)), stream_state))
}

impl ResponseStream {
    fn take(&mut self) -> Option<Bytes> {
        if !self.head.is_empty() {
            return Some(std::mem::take(&mut self.head));
        }
        if self.filler_remaining > 0 {
            let chunk = self.filler_remaining.min(CHUNK_BYTES);
            self.filler_remaining -= chunk;
            return Some(Bytes::from_static(&FILLER_CHUNK[..chunk]));
        }
        (!self.tail.is_empty()).then(|| std::mem::take(&mut self.tail))
    }

    fn is_empty(&self) -> bool {
        self.remaining_before_truncation.is_none()
            && self.head.is_empty()
            && self.filler_remaining == 0
            && self.tail.is_empty()
    }
}
