//! Errors of encoding, decoding and authenticating messages between hosts.

use skylarkdock_units::ids::HostId;
use thiserror::Error;

/// Error of encoding, decoding or authenticating a message between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PeerError {
    /// The authentication tag does not match: the secrets differ, or the frame was changed, replayed or reordered.
    #[error("authentication tag does not match")]
    Unauthenticated,
    /// The frame's payload or the hello is longer than allowed.
    #[error("message too long: {len} bytes, limit is {max}")]
    TooLong {
        /// Length in bytes.
        len: usize,
        /// Maximum length in bytes.
        max: usize,
    },
    /// The message could not be encoded or decoded.
    #[error("malformed message: {detail}")]
    Malformed {
        /// Description of the fault.
        detail: String,
    },
    /// The peer uses another protocol version.
    #[error("unsupported protocol version: got {found}, need {supported}")]
    UnsupportedVersion {
        /// The peer's version.
        found: u16,
        /// The version that this host supports.
        supported: u16,
    },
    /// The hello is addressed to another host.
    #[error("hello is addressed to another host: {addressed}")]
    WrongHost {
        /// Host that the hello is addressed to.
        addressed: HostId,
    },
}

impl From<postcard::Error> for PeerError {
    fn from(error: postcard::Error) -> Self {
        Self::Malformed { detail: error.to_string() }
    }
}
