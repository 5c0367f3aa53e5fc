//! Bodies of requests and responses: built from bytes, streamed, or collected up to a size limit.

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::{Body as HttpBody, Incoming};
use skylarkdock_units::measures::ByteSize;
use std::pin::pin;
use thiserror::Error;

/// Body of a request or a response.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Why a body was not read completely.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body holds more bytes than the reader accepts.
    #[error("body is larger than {limit}")]
    TooLarge {
        /// Largest size accepted.
        limit: ByteSize,
    },
    /// The connection closed or failed before the end of the body.
    #[error("body was truncated")]
    Truncated(#[source] hyper::Error),
    /// The body was neither chunked nor of an announced length, so a truncated one can't be told from a complete one.
    #[error("body ended when its connection closed and may be truncated")]
    Unframed,
    /// The deadline of the request passed before the end of the body.
    #[error("deadline passed before the end of the body")]
    Deadline,
}

/// Returns a body that holds the given bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Returns an empty body.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed_unsync()
}

/// Returns a received body as a [`Body`], so that it can be forwarded while it arrives.
pub fn streamed(incoming: Incoming) -> Body {
    incoming.map_err(BodyError::Truncated).boxed_unsync()
}

/// Reads a body to its end and returns its bytes.
///
/// # Errors
///
/// Fails with [`BodyError::TooLarge`] as soon as more than `limit` bytes are announced or received, and with the
/// body's own error when it does not arrive completely.
pub async fn collect<B>(body: B, limit: ByteSize) -> Result<Bytes, BodyError>
where
    B: HttpBody<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    let limit_bytes = usize::try_from(limit.0).unwrap_or(usize::MAX);
    if body.size_hint().lower() > limit.0 {
        return Err(BodyError::TooLarge { limit });
    }
    let mut body = pin!(body);
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(Into::into)?.into_data() else { continue };
        if first.len() + rest.len() + data.len() > limit_bytes {
            return Err(BodyError::TooLarge { limit });
        }
        if first.is_empty() && rest.is_empty() {
            first = data;
        } else {
            rest.extend_from_slice(&std::mem::take(&mut first));
            rest.extend_from_slice(&data);
        }
    }
    if rest.is_empty() { Ok(first) } else { Ok(rest.freeze()) }
}

impl From<hyper::Error> for BodyError {
    fn from(e: hyper::Error) -> Self {
        Self::Truncated(e)
    }
}
