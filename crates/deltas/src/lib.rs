//! Encoding of a record relative to an earlier version of it.
//!
//! Load pattern: a configuration of thousands of routes changes in one place, several times in a row, and has to reach
//! all hosts over links that take seconds to carry the whole of it. A host that has an earlier version gets the
//! difference, and one that has none gets the whole record compressed.

use std::io::{self, Read, Write};
use thiserror::Error;
use xxhash_rust::xxh3;
use zstd::stream::read::Decoder;
use zstd::stream::write::Encoder;

/// Compression level. Higher ones take longer, and a difference hardly becomes smaller.
const LEVEL: i32 = 1;
/// Size of the largest record that is decoded, in bytes.
pub const MAX_SIZE: usize = 16 * 1024 * 1024;
/// Smallest window of the encoder, as a power of two: 128 KiB.
const MIN_WINDOW_LOG: u32 = 17;
/// Largest window of the encoder and the decoder: 16 MiB, for a record of the largest size.
const MAX_WINDOW_LOG: u32 = 24;

/// First bytes of compressed data. No JSON text begins with them.
const MAGIC: [u8; 4] = [0x28, 0xb5, 0x2f, 0xfd];

/// Hash of the content of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ContentHash(pub u64);

impl ContentHash {
    /// Returns the hash of a record.
    pub fn of(record: &[u8]) -> Self {
        Self(xxh3::xxh3_64(record))
    }
}

/// Reason for which a record can't be encoded or decoded.
#[derive(Debug, Error)]
pub enum DeltaError {
    /// The encoder or decoder failed.
    #[error("can't code the record")]
    Codec(#[source] io::Error),
    /// The decoded record is not the one that was encoded, for example because the bases differ.
    #[error("the decoded record has another hash than the encoded one")]
    Mismatch,
    /// The decoded bytes are more than [`MAX_SIZE`].
    #[error("too large")]
    TooLarge,
}

/// Encodes a record relative to `base`, which may be empty.
///
/// # Errors
///
/// Fails if the encoder does.
pub fn encode(record: &[u8], base: &[u8]) -> Result<Vec<u8>, DeltaError> {
    encode_with(record, base).map_err(DeltaError::Codec)
}

fn encode_with(record: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = Encoder::with_ref_prefix(Vec::new(), LEVEL, base)?;
    // The window spans the base and the record, so that all of the base can be referred to.
    let window_log = (base.len() + record.len()).max(1).ilog2() + 1;
    encoder.window_log(window_log.clamp(MIN_WINDOW_LOG, MAX_WINDOW_LOG))?;
    encoder.long_distance_matching(!base.is_empty())?;
    encoder.set_pledged_src_size(Some(record.len() as u64))?;
    encoder.write_all(record)?;
    encoder.finish()
}

/// Decodes a record that was encoded relative to `base` and has the hash `expected`.
///
/// # Errors
///
/// Fails if the bytes are damaged, if the base is another one, or if the record is larger than [`MAX_SIZE`].
pub fn decode(bytes: &[u8], base: &[u8], expected: ContentHash) -> Result<Vec<u8>, DeltaError> {
    let record = decode_with(bytes, base).map_err(DeltaError::Codec)?;
    if record.len() > MAX_SIZE {
        return Err(DeltaError::TooLarge);
    }
    if ContentHash::of(&record) == expected { Ok(record) } else { Err(DeltaError::Mismatch) }
}

fn decode_with(bytes: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let mut decoder = Decoder::with_ref_prefix(bytes, base)?;
    decoder.window_log_max(MAX_WINDOW_LOG)?;
    let mut record = Vec::new();
    // One byte more than allowed shows that there is more.
    decoder.take(MAX_SIZE as u64 + 1).read_to_end(&mut record)?;
    Ok(record)
}

/// Compresses a message.
///
/// # Errors
///
/// Fails if the encoder does.
pub fn compress(message: &[u8]) -> Result<Vec<u8>, DeltaError> {
    encode(message, &[])
}

/// Returns whether bytes are the result of [`compress`], and no JSON text.
pub fn is_compressed(bytes: &[u8]) -> bool {
    bytes.starts_with(&MAGIC)
}

/// Decompresses a message.
///
/// # Errors
///
/// Fails if the bytes are damaged, or if the message is larger than [`MAX_SIZE`].
pub fn decompress(bytes: &[u8]) -> Result<Vec<u8>, DeltaError> {
    let message = decode_with(bytes, &[]).map_err(DeltaError::Codec)?;
    if message.len() <= MAX_SIZE { Ok(message) } else { Err(DeltaError::TooLarge) }
}
