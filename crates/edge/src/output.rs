//! Bytes that a connection has to write. Bodies that are large keep their own memory instead of being copied.

use std::collections::VecDeque;
use std::io::{self, Write};

/// Size from which a body is kept as it is.
const OWN_SEGMENT: usize = 16 * 1024;

/// Queue of bytes to write.
#[derive(Debug, Default)]
pub(crate) struct Output {
    segments: VecDeque<Vec<u8>>,
    /// Bytes of the first segment that have been written.
    written: usize,
    unwritten: usize,
}

impl Output {
    pub(crate) const fn is_empty(&self) -> bool {
        self.unwritten == 0
    }

    /// Returns the number of bytes that are not written yet.
    pub(crate) const fn len(&self) -> usize {
        self.unwritten
    }

    /// Returns the bytes of memory that the queue takes.
    pub(crate) fn held(&self) -> usize {
        self.segments.iter().map(Vec::capacity).sum()
    }

    /// Adds bytes at the end.
    pub(crate) fn push(&mut self, bytes: Vec<u8>) {
        if bytes.is_empty() {
            return;
        }
        self.unwritten += bytes.len();
        match self.segments.back_mut() {
            Some(last) if bytes.len() < OWN_SEGMENT && last.len() < OWN_SEGMENT => {
                last.extend_from_slice(&bytes);
            }
            _ => self.segments.push_back(bytes),
        }
    }

    /// Writes what the writer takes at once. Returns the number of bytes; zero if there was nothing to write.
    ///
    /// # Errors
    ///
    /// Returns the errors of the writer, and [`io::ErrorKind::WriteZero`] if it takes nothing.
    pub(crate) fn write_to(&mut self, mut writer: impl Write) -> io::Result<usize> {
        let Some(first) = self.segments.front() else { return Ok(0) };
        let count = writer.write(&first[self.written..])?;
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        self.written += count;
        self.unwritten -= count;
        if self.written == first.len() {
            self.written = 0;
            self.segments.pop_front();
        }
        Ok(count)
    }
}
