//! Requests that are rejected because of their framing or size.

use crate::serve::Limits;
use skylarkdock_freshness::final_answers::{ConfigFault, FinalAnswer, RequestFault, Unproven};
use skylarkdock_http1::head::HeadError;
use skylarkdock_units::measures::ByteSize;
use std::fmt;

/// Part of a request that is limited in size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LimitedPart {
    Head,
    Body,
}

/// Request that exceeds the limits by which it was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Oversize {
    pub(crate) part: LimitedPart,
    /// Smallest size that the part has.
    pub(crate) size: ByteSize,
    /// Version of the configuration that the limits are from; zero if they are built in.
    pub(crate) version: u64,
}

impl Oversize {
    /// Returns the fault that the request has by the limits.
    pub(crate) const fn fault(self) -> ConfigFault {
        match self.part {
            LimitedPart::Head => ConfigFault::HeadTooLong,
            LimitedPart::Body => ConfigFault::BodyTooLong,
        }
    }

    /// Returns whether other limits may allow the request, as far as its size is known.
    pub(crate) fn may_be_within(self, limits: &Limits) -> bool {
        match self.part {
            LimitedPart::Head => self.size <= limits.head,
            LimitedPart::Body => self.size <= limits.body,
        }
    }
}

/// Function that tells whether a request that exceeds its limits is wrong under every configuration that may be in force.
pub(crate) struct SizeJudge(pub(crate) Box<dyn Fn(Oversize) -> Result<FinalAnswer, Unproven>>);

impl fmt::Debug for SizeJudge {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SizeJudge")
    }
}

/// Reason for which a request is rejected before it is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FramingError {
    /// The head or body is malformed.
    Invalid(RequestFault),
    /// The transfer coding is not supported.
    UnsupportedCoding,
    /// The head or body exceeds its limit.
    TooLarge(Oversize),
}

impl FramingError {
    /// Converts the error of a head of which `received` bytes have arrived, and which was parsed by the limits of `version`.
    pub(crate) const fn of_head(error: HeadError, received: ByteSize, version: u64) -> Self {
        match error {
            HeadError::Malformed | HeadError::InvalidStatus(_) => {
                Self::Invalid(RequestFault::MalformedHead)
            }
            HeadError::AmbiguousLength => Self::Invalid(RequestFault::AmbiguousLength),
            HeadError::UnsupportedCoding => Self::UnsupportedCoding,
            HeadError::TooManyHeaders => {
                Self::TooLarge(Oversize { part: LimitedPart::Head, size: received, version })
            }
        }
    }

    /// Returns the value of the `reason` label in metrics and field in logs.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Invalid(fault) => FinalAnswer::invalid(fault).as_str(),
            Self::UnsupportedCoding => "unsupported_coding",
            Self::TooLarge(oversize) => match oversize.part {
                LimitedPart::Head => "head_too_long",
                LimitedPart::Body => "body_too_long",
            },
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
