//! The secret shared by all hosts of a fleet, and the authentication of forwarded requests with it.

use crate::hello;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Minimum length of the secret, in bytes.
pub const MIN_SECRET_BYTES: usize = 16;

/// The secret shared by all hosts of a fleet. Its `Debug` output does not contain it.
#[derive(Clone)]
pub struct Secret(Vec<u8>);

impl Secret {
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.0
    }
}

/// Authentication tag of a request that one host forwards to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tag([u8; TAG_BYTES]);

const TAG_BYTES: usize = 16;

impl fmt::Display for Tag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl Secret {
    /// Returns the authentication tag of a list of parts. The length of each part is authenticated too, so that the same
    /// bytes divided at other places have another tag.
    pub fn tag(&self, parts: &[&[u8]]) -> Tag {
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&self.mac(parts).finalize().into_bytes()[..TAG_BYTES]);
        Tag(tag)
    }

    /// Returns whether `text` is the authentication tag of the parts, in hexadecimal. The tags are compared in constant
    /// time.
    pub fn verify(&self, parts: &[&[u8]], text: &str) -> bool {
        let Some(tag) = decode_hex(text) else { return false };
        self.mac(parts).verify_truncated_left(&tag).is_ok()
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = hello::hmac_with_key(&self.0);
        mac.update(b"skylarkdock-hop");
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }
}

fn decode_hex(text: &str) -> Option<[u8; TAG_BYTES]> {
    let mut tag = [0; TAG_BYTES];
    if text.len() != 2 * TAG_BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    for (index, byte) in tag.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(tag)
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// The secret is shorter than [`MIN_SECRET_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("secret too short: got {len} bytes, need at least {MIN_SECRET_BYTES}")]
pub struct SecretTooShort {
    /// Length of the secret, in bytes.
    pub len: usize,
}

impl FromStr for Secret {
    type Err = SecretTooShort;

    fn from_str(text: &str) -> Result<Self, SecretTooShort> {
        let bytes = text.trim().as_bytes();
        if bytes.len() < MIN_SECRET_BYTES {
            return Err(SecretTooShort { len: bytes.len() });
        }
        Ok(Self(bytes.to_vec()))
    }
}
