//! Body of an upstream's answer, produced piece by piece.

use crate::responses::{Body, BodyTruncated};
use crate::shared::Shared;
use crate::upstream::state::{self, RunGuard, State};
use bytes::Bytes;
use futures_lite::{future, stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use serde::Serialize;

const PIECE_BYTES: usize = 16 * 1024;
const FILLER: &[u8] = &[b'x'; PIECE_BYTES];
const FILL_START: &str = r#","fill":""#;
const FILL_END: &str = r#""}"#;

/// What the answer says.
#[derive(Debug, Serialize)]
pub struct Content<'a> {
    /// The service.
    pub service: &'a str,
    /// The upstream.
    pub id: &'a str,
    /// The request's key.
    pub key: &'a str,
    /// The caller's request id.
    pub request_id: &'a str,
    /// How many runs of the request id have started.
    pub run: u64,
    /// Bytes of the request's body.
    pub request_bytes: u64,
}

/// An answer's pieces: a text, then filling, then the closing text.
struct Pieces {
    state: Shared<State>,
    guard: RunGuard,
    head: Bytes,
    fill_left: usize,
    tail: Bytes,
    cut_after: Option<usize>,
}

/// Returns the body of `content`, filled up to `bytes`, and its length. The run ends with the last piece. A body that
/// is cut ends with an error at half its length.
pub fn answer(
    state: &Shared<State>,
    guard: RunGuard,
    content: &Content<'_>,
    bytes: usize,
    cut: bool,
) -> (Body, usize) {
    let mut head = serde_json::to_string(content).unwrap_or_default();
    let framed = head.len() + FILL_START.len() + FILL_END.len() - 1;
    let fill = bytes.checked_sub(framed);
    let tail = if fill.is_some() {
        head.pop();
        head.push_str(FILL_START);
        Bytes::from_static(FILL_END.as_bytes())
    } else {
        Bytes::new()
    };
    let length = head.len() + fill.unwrap_or(0) + tail.len();
    let pieces = Pieces {
        state: state.clone(),
        guard,
        head: head.into(),
        fill_left: fill.unwrap_or(0),
        tail,
        cut_after: cut.then_some(length / 2),
    };
    let body = StreamBody::new(stream::unfold(pieces, next_piece));
    (body.boxed_unsync(), length)
}

async fn next_piece(mut pieces: Pieces) -> Option<(Result<Frame<Bytes>, BodyTruncated>, Pieces)> {
    state::thawed(&pieces.state).await;
    if pieces.cut_after == Some(0) {
        // Lets the server write out what it has before the error ends the connection.
        future::yield_now().await;
        // An abandoned run ends in the same way.
        let _ = pieces.guard.complete();
        return Some((Err(BodyTruncated), pieces));
    }
    let mut piece = pieces.take()?;
    if let Some(left) = &mut pieces.cut_after {
        piece.truncate(*left);
        *left -= piece.len();
    }
    if pieces.is_empty() && pieces.guard.complete().is_err() {
        return Some((Err(BodyTruncated), pieces));
    }
    Some((Ok(Frame::data(piece)), pieces))
}

impl Pieces {
    fn take(&mut self) -> Option<Bytes> {
        if !self.head.is_empty() {
            return Some(std::mem::take(&mut self.head));
        }
        if self.fill_left > 0 {
            let piece = self.fill_left.min(PIECE_BYTES);
            self.fill_left -= piece;
            return Some(Bytes::from_static(&FILLER[..piece]));
        }
        (!self.tail.is_empty()).then(|| std::mem::take(&mut self.tail))
    }

    fn is_empty(&self) -> bool {
        self.cut_after.is_none()
            && self.head.is_empty()
            && self.fill_left == 0
            && self.tail.is_empty()
    }
}
