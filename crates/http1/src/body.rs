//! Message bodies: how they end, and decoding of chunks.

use thiserror::Error;

/// Longest line of a chunk's size or of a trailer, in bytes.
const MAX_LINE: usize = 4096;

/// How a message's body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// After this many bytes.
    Length(u64),
    /// With a last chunk.
    Chunked,
    /// With the connection.
    UntilClose,
}

/// The bytes break the chunked coding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("malformed chunk")]
pub struct ChunkError;

/// Progress of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Bytes(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

/// Takes a body off the bytes of a connection.
#[derive(Debug, Clone)]
pub struct Decoder {
    step: Step,
}

impl Decoder {
    /// Starts a body.
    pub const fn new(framing: Framing) -> Self {
        let step = match framing {
            Framing::Length(0) => Step::Done,
            Framing::Length(len) => Step::Bytes(len),
            Framing::Chunked => Step::ChunkSize,
            Framing::UntilClose => Step::UntilClose,
        };
        Self { step }
    }

    /// Returns whether the body is complete. A body without a length is complete only at the connection's end.
    pub const fn is_done(&self) -> bool {
        matches!(self.step, Step::Done)
    }

    /// Returns whether the end of the connection now ends the body in full.
    pub const fn ends_with_connection(&self) -> bool {
        matches!(self.step, Step::UntilClose | Step::Done)
    }

    /// Moves the body's bytes from `input` to `body` and returns how many bytes of `input` were used.
    ///
    /// # Errors
    ///
    /// Fails if the chunked coding is broken.
    pub fn decode(&mut self, input: &[u8], body: &mut Vec<u8>) -> Result<usize, ChunkError> {
        let mut used = 0;
        while let Some(count) = self.advance(&input[used..], body)? {
            used += count;
        }
        Ok(used)
    }

    /// Takes one step. Returns the number of bytes used, `None` if more input is needed or the body is complete.
    fn advance(&mut self, input: &[u8], body: &mut Vec<u8>) -> Result<Option<usize>, ChunkError> {
        if matches!(self.step, Step::Done) || input.is_empty() {
            return Ok(None);
        }
        match self.step {
            Step::Done => Ok(None),
            Step::UntilClose => {
                body.extend_from_slice(input);
                Ok(Some(input.len()))
            }
            Step::Bytes(left) => {
                let count = take(input, left, body);
                let left = left - count as u64;
                self.step = if left == 0 { Step::Done } else { Step::Bytes(left) };
                Ok(Some(count))
            }
            Step::ChunkData(left) => {
                let count = take(input, left, body);
                let left = left - count as u64;
                self.step = if left == 0 { Step::ChunkEnd } else { Step::ChunkData(left) };
                Ok(Some(count))
            }
            Step::ChunkSize => {
                let Some((line, count)) = line(input)? else { return Ok(None) };
                let size = chunk_size(line)?;
                self.step = if size == 0 { Step::Trailer } else { Step::ChunkData(size) };
                Ok(Some(count))
            }
            Step::ChunkEnd => {
                let Some((line, count)) = line(input)? else { return Ok(None) };
                if !line.is_empty() {
                    return Err(ChunkError);
                }
                self.step = Step::ChunkSize;
                Ok(Some(count))
            }
            Step::Trailer => {
                let Some((line, count)) = line(input)? else { return Ok(None) };
                if line.is_empty() {
                    self.step = Step::Done;
                }
                Ok(Some(count))
            }
        }
    }
}

fn take(input: &[u8], left: u64, body: &mut Vec<u8>) -> usize {
    let count = usize::try_from(left).unwrap_or(usize::MAX).min(input.len());
    body.extend_from_slice(&input[..count]);
    count
}

/// Returns the line at the start without its end, and its length with it; `None` while it is incomplete.
fn line(input: &[u8]) -> Result<Option<(&[u8], usize)>, ChunkError> {
    match input.iter().take(MAX_LINE).position(|b| *b == b'\n') {
        Some(0) => Err(ChunkError),
        Some(end) if input[end - 1] == b'\r' => Ok(Some((&input[..end - 1], end + 1))),
        Some(_) => Err(ChunkError),
        None if input.len() >= MAX_LINE => Err(ChunkError),
        None => Ok(None),
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, ChunkError> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii_end();
    if digits.is_empty() || digits.len() > 15 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(ChunkError);
    }
    let text = std::str::from_utf8(digits).map_err(|_| ChunkError)?;
    u64::from_str_radix(text, 16).map_err(|_| ChunkError)
}
