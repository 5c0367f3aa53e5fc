//! Handshake of a connection: the hello of each side, and the frame keys derived from both.

use crate::error::PeerError;
use crate::frame::{FrameEncoder, FrameVerifier};
use crate::secret::Secret;
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use skylarkdock_units::ids::{HostId, Member};

/// Version of the protocol between hosts.
pub const PROTOCOL_VERSION: u16 = 1;

/// Maximum length of an encoded hello, in bytes.
pub const MAX_HELLO_BYTES: usize = 512;

/// First message that each side sends on a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Protocol version of the sender.
    pub protocol: u16,
    /// Host that sends the hello, with its incarnation.
    pub from: Member,
    /// Host that the hello is addressed to.
    pub to: HostId,
    /// Random bytes that differ for each connection.
    pub nonce: [u8; 16],
}

impl Hello {
    /// Returns a hello of the current protocol version.
    pub const fn new(from: Member, to: HostId, nonce: [u8; 16]) -> Self {
        Self { protocol: PROTOCOL_VERSION, from, to, nonce }
    }

    /// Encodes the hello.
    ///
    /// # Errors
    ///
    /// Returns an error if serialization fails.
    pub fn encode(&self) -> Result<Vec<u8>, PeerError> {
        Ok(postcard::to_stdvec(self)?)
    }

    /// Decodes a hello that must be addressed to `local_host`.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are malformed, or if the protocol version or the addressed host does
    /// not match.
    pub fn decode(bytes: &[u8], local_host: &HostId) -> Result<Self, PeerError> {
        let hello: Self = postcard::from_bytes(bytes)?;
        if hello.protocol != PROTOCOL_VERSION {
            return Err(PeerError::UnsupportedVersion {
                found: hello.protocol,
                supported: PROTOCOL_VERSION,
            });
        }
        if hello.to != *local_host {
            return Err(PeerError::WrongHost { addressed: hello.to });
        }
        Ok(hello)
    }
}

/// Role of a host in the handshake of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It opened the connection.
    Initiator,
    /// It accepted the connection.
    Responder,
}

/// Derives the keys of a connection, one for each direction, from the shared secret and both hellos, and returns the
/// encoder of outgoing frames and the verifier of incoming ones.
pub fn derive_frame_codec(
    secret: &Secret,
    initiator_hello: &[u8],
    responder_hello: &[u8],
    role: Role,
) -> (FrameEncoder, FrameVerifier) {
    let key = |direction: &[u8]| {
        let mut mac = hmac_with_key(secret.bytes());
        mac.update(b"skylarkdock-peer");
        mac.update(direction);
        mac.update(&(initiator_hello.len() as u64).to_be_bytes());
        mac.update(initiator_hello);
        mac.update(responder_hello);
        hmac_with_key(&mac.finalize().into_bytes())
    };
    let (to_responder, to_initiator) = (key(b"forth"), key(b"back"));
    match role {
        Role::Initiator => (FrameEncoder::new(to_responder), FrameVerifier::new(to_initiator)),
        Role::Responder => (FrameEncoder::new(to_initiator), FrameVerifier::new(to_responder)),
    }
}

pub(crate) fn hmac_with_key(key: &[u8]) -> Hmac<Sha256> {
    // HMAC accepts keys of any length, so the error never occurs. The fallback, an empty key, would
    // be rejected by the peer like any other wrong key.
    Hmac::new_from_slice(key).unwrap_or_else(|_| Hmac::new(&Default::default()))
}
