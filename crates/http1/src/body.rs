//! Message body framing, and incremental decoding of message bodies.

use crate::grammar;
use thiserror::Error;

/// Maximum length of a chunk-size or trailer line, with its line ending.
const MAX_LINE_BYTES: usize = 4096;

/// How the end of a message body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By a length in bytes, known from the head.
    Length(u64),
    /// By the last chunk of the chunked transfer coding.
    Chunked,
    /// By the close of the connection.
    UntilClose,
}

/// The input violates the chunked transfer coding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("malformed chunk")]
pub struct ChunkError;

/// What the decoder expects next; numbers are the bytes that remain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DecoderState {
    Bytes(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

/// Incremental decoder that extracts one message body from the bytes of a connection.
#[derive(Debug, Clone)]
pub struct Decoder {
    state: DecoderState,
}

impl Decoder {
    /// Creates a decoder for a body with this framing.
    pub const fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => DecoderState::Done,
            Framing::Length(len) => DecoderState::Bytes(len),
            Framing::Chunked => DecoderState::ChunkSize,
            Framing::UntilClose => DecoderState::UntilClose,
        };
        Self { state }
    }

    /// Returns whether the body is complete. Always false for [`Framing::UntilClose`], which has no end marker.
    pub const fn is_done(&self) -> bool {
        matches!(self.state, DecoderState::Done)
    }

    /// Returns whether the body is complete, rather than truncated, if the connection closes now.
    pub const fn is_complete_at_close(&self) -> bool {
        matches!(self.state, DecoderState::UntilClose | DecoderState::Done)
    }

    /// Appends the decoded bytes of `input` to `body` and returns how many bytes of `input` were consumed.
    ///
    /// # Errors
    ///
    /// Returns [`ChunkError`] if the input violates the chunked transfer coding.
    pub fn decode(&mut self, input: &[u8], body: &mut Vec<u8>) -> Result<usize, ChunkError> {
        let mut consumed = 0;
        while let Some(count) = self.advance(&input[consumed..], body)? {
            consumed += count;
        }
        Ok(consumed)
    }

    /// Decodes one element of the body. Returns the number of bytes consumed, or `None` if more input is needed or the
    /// body is complete.
    fn advance(&mut self, input: &[u8], body: &mut Vec<u8>) -> Result<Option<usize>, ChunkError> {
        if matches!(self.state, DecoderState::Done) || input.is_empty() {
            return Ok(None);
        }
        match self.state {
            DecoderState::Done => Ok(None),
            DecoderState::UntilClose => {
                body.extend_from_slice(input);
                Ok(Some(input.len()))
            }
            DecoderState::Bytes(remaining) => {
                let count = copy_body_bytes(input, remaining, body);
                let remaining = remaining - count as u64;
                self.state = if remaining == 0 {
                    DecoderState::Done
                } else {
                    DecoderState::Bytes(remaining)
                };
                Ok(Some(count))
            }
            DecoderState::ChunkData(remaining) => {
                let count = copy_body_bytes(input, remaining, body);
                let remaining = remaining - count as u64;
                self.state = if remaining == 0 {
                    DecoderState::ChunkEnd
                } else {
                    DecoderState::ChunkData(remaining)
                };
                Ok(Some(count))
            }
            DecoderState::ChunkSize => {
                let Some((line, count)) = read_line(input)? else { return Ok(None) };
                let size = chunk_size(line)?;
                self.state =
                    if size == 0 { DecoderState::Trailer } else { DecoderState::ChunkData(size) };
                Ok(Some(count))
            }
            DecoderState::ChunkEnd => {
                let Some((line, count)) = read_line(input)? else { return Ok(None) };
                if !line.is_empty() {
                    return Err(ChunkError);
                }
                self.state = DecoderState::ChunkSize;
                Ok(Some(count))
            }
            DecoderState::Trailer => {
                let Some((line, count)) = read_line(input)? else { return Ok(None) };
                if line.is_empty() {
                    self.state = DecoderState::Done;
                } else if !is_field(line) {
                    return Err(ChunkError);
                }
                Ok(Some(count))
            }
        }
    }
}

fn copy_body_bytes(input: &[u8], remaining: u64, body: &mut Vec<u8>) -> usize {
    let count = usize::try_from(remaining).unwrap_or(usize::MAX).min(input.len());
    body.extend_from_slice(&input[..count]);
    count
}

/// Returns the first line without its CRLF, and its length with the CRLF; `None` while the line is incomplete.
fn read_line(input: &[u8]) -> Result<Option<(&[u8], usize)>, ChunkError> {
    match input.iter().take(MAX_LINE_BYTES).position(|b| *b == b'\n') {
        Some(0) => Err(ChunkError),
        Some(end) if input[end - 1] == b'\r' => Ok(Some((&input[..end - 1], end + 1))),
        Some(_) => Err(ChunkError),
        None if input.len() >= MAX_LINE_BYTES => Err(ChunkError),
        None => Ok(None),
    }
}

/// Returns whether a trailer line is a field. If the line that ends a body is missing, another message may follow.
fn is_field(line: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|b| *b == b':') else { return false };
    grammar::is_field_name(&line[..colon]) && grammar::is_field_value(&line[colon + 1..])
}

fn chunk_size(line: &[u8]) -> Result<u64, ChunkError> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii_end();
    if digits.is_empty() || digits.len() > 15 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(ChunkError);
    }
    let text = std::str::from_utf8(digits).map_err(|_| ChunkError)?;
    u64::from_str_radix(text, 16).map_err(|_| ChunkError)
}
