//! Frames of a connection between hosts: payload length, authentication tag, payload.

use crate::error::PeerError;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Maximum length of a payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4 * 1024 * 1024;

/// Length of a frame header, in bytes: a big-endian `u32` payload length and the authentication tag.
pub const HEADER_BYTES: usize = 4 + TAG_BYTES;

const TAG_BYTES: usize = 16;

/// Header of a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header {
    /// Length of the payload, in bytes.
    pub len: usize,
    tag: [u8; TAG_BYTES],
}

impl Header {
    /// Parses a header.
    ///
    /// # Errors
    ///
    /// Returns an error if the payload length exceeds [`MAX_PAYLOAD_BYTES`].
    pub fn parse(bytes: &[u8; HEADER_BYTES]) -> Result<Self, PeerError> {
        let mut len = [0; 4];
        len.copy_from_slice(&bytes[..4]);
        let len = u32::from_be_bytes(len) as usize;
        if len > MAX_PAYLOAD_BYTES {
            return Err(PeerError::TooLong { len, max: MAX_PAYLOAD_BYTES });
        }
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&bytes[4..]);
        Ok(Self { len, tag })
    }
}

/// Encodes and authenticates the frames of one direction of a connection.
pub struct FrameEncoder {
    mac: Hmac<Sha256>,
    sequence: u64,
}

impl FrameEncoder {
    pub(crate) const fn new(mac: Hmac<Sha256>) -> Self {
        Self { mac, sequence: 0 }
    }

    /// Encodes a payload as the next frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the payload is longer than [`MAX_PAYLOAD_BYTES`].
    pub fn encode(&mut self, payload: &[u8]) -> Result<Vec<u8>, PeerError> {
        let too_long = PeerError::TooLong { len: payload.len(), max: MAX_PAYLOAD_BYTES };
        let len = u32::try_from(payload.len()).map_err(|_| too_long.clone())?;
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(too_long);
        }
        let tag = frame_mac(&self.mac, self.sequence, payload).finalize().into_bytes();
        self.sequence += 1;
        let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
        frame.extend_from_slice(&len.to_be_bytes());
        frame.extend_from_slice(&tag[..TAG_BYTES]);
        frame.extend_from_slice(payload);
        Ok(frame)
    }
}

/// Verifies the frames of one direction of a connection.
pub struct FrameVerifier {
    mac: Hmac<Sha256>,
    sequence: u64,
}

impl FrameVerifier {
    pub(crate) const fn new(mac: Hmac<Sha256>) -> Self {
        Self { mac, sequence: 0 }
    }

    /// Verifies that the payload belongs to the next frame that the peer encoded on this connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the authentication tag does not match.
    pub fn verify(&mut self, header: &Header, payload: &[u8]) -> Result<(), PeerError> {
        let verified =
            frame_mac(&self.mac, self.sequence, payload).verify_truncated_left(&header.tag);
        verified.map_err(|_| PeerError::Unauthenticated)?;
        self.sequence += 1;
        Ok(())
    }
}

fn frame_mac(mac: &Hmac<Sha256>, sequence: u64, payload: &[u8]) -> Hmac<Sha256> {
    let mut mac = mac.clone();
    mac.update(&sequence.to_be_bytes());
    mac.update(payload);
    mac
}
