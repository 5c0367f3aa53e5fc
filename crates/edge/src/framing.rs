//! Requests that are rejected because of their framing or size.

use skylarkdock_http1::head::HeadError;

/// Reason for which a request is rejected before it is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FramingError {
    /// The head is malformed or not supported.
    Head(HeadError),
    /// The head exceeds the configured size.
    HeadTooLong,
    /// The body exceeds the configured size.
    BodyTooLong,
    /// The body violates the chunked transfer coding.
    MalformedChunk,
}

impl FramingError {
    /// Returns the status of the answer.
    pub(crate) const fn status(self) -> u16 {
        match self {
            Self::Head(HeadError::Malformed | HeadError::AmbiguousLength)
            | Self::MalformedChunk => 400,
            Self::BodyTooLong => 413,
            Self::Head(HeadError::TooManyHeaders) | Self::HeadTooLong => 431,
            Self::Head(HeadError::UnsupportedCoding) => 501,
        }
    }

    /// Returns the value of the `reason` label in metrics and field in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Head(HeadError::Malformed) => "malformed_head",
            Self::Head(HeadError::TooManyHeaders) => "too_many_headers",
            Self::Head(HeadError::AmbiguousLength) => "ambiguous_length",
            Self::Head(HeadError::UnsupportedCoding) => "unsupported_coding",
            Self::HeadTooLong => "head_too_long",
            Self::BodyTooLong => "body_too_long",
            Self::MalformedChunk => "malformed_chunk",
        }
    }
}

/// Number of bytes of a faulty head or chunk that are logged.
const EXCERPT_BYTES: usize = 96;

/// Returns the first bytes of a faulty head or chunk for a log line, with all but printable ASCII characters escaped.
pub(crate) fn excerpt(bytes: &[u8]) -> String {
    bytes[..bytes.len().min(EXCERPT_BYTES)].escape_ascii().to_string()
}

/// Counts a request that is rejected before it is routed.
pub(crate) fn count_rejection(status: u16, reason: &'static str) {
    let status = status.to_string();
    metrics::counter!("skylarkdock_requests_rejected_total", "status" => status, "reason" => reason)
        .increment(1);
}
