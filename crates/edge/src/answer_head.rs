//! Heads of answers, and the interim answers before the final one.

use crate::client::Failure;
use skylarkdock_http1::head::{self, HeadError, Headers, ResponseHead};
use std::time::Duration;

/// Size of the largest accepted head of an answer, and of all interim answers before it.
const MAX_HEAD_SIZE: usize = 64 * 1024;
/// Number of interim answers before the final one. An upstream sends one or two, or one each few seconds while it works on a
/// long request; without a limit it could hold a request open to its deadline.
const MAX_INTERIM_ANSWERS: u32 = 32;
/// Lowest status of a final answer.
const FIRST_FINAL_STATUS: u16 = 200;

/// Interim answers that arrived before the final answer to a request.
#[derive(Debug, Default)]
pub(crate) struct InterimAnswers {
    count: u32,
    /// Size of their heads.
    size: usize,
}

impl InterimAnswers {
    /// Adds an interim answer of this size.
    ///
    /// # Errors
    ///
    /// Fails if there are too many, or they are too long.
    fn add(&mut self, size: usize) -> Result<(), Failure> {
        self.count += 1;
        self.size += size;
        if self.count <= MAX_INTERIM_ANSWERS && self.size <= MAX_HEAD_SIZE {
            return Ok(());
        }
        log::info!(count = self.count, bytes = self.size; "client: too many interim answers");
        Err(Failure::Malformed)
    }
}

/// Parses the head of a final answer at the start of `buf`, and removes the interim answers before it. Returns it with its
/// length in bytes, or `None` while it is incomplete.
///
/// # Errors
///
/// Fails if what arrived can't become a valid answer.
pub(crate) fn parse_final(
    buf: &mut Vec<u8>,
    is_head_request: bool,
    interim: &mut InterimAnswers,
) -> Result<Option<(ResponseHead, usize)>, Failure> {
    loop {
        match ResponseHead::parse(buf, is_head_request) {
            Ok(Some((head, len))) if head.is_interim() => {
                interim.add(len)?;
                buf.drain(..len);
            }
            Ok(Some((head, len))) => {
                check_final_status(head.status)?;
                return Ok(Some((head, len)));
            }
            Ok(None) if buf.len() < MAX_HEAD_SIZE => return Ok(None),
            Err(HeadError::InvalidStatus(status)) => return Err(Failure::InvalidStatus(status)),
            Ok(None) | Err(_) => return Err(Failure::Malformed),
        }
    }
}

/// Checks that a status is one of a final answer.
///
/// # Errors
///
/// Fails if it is none of HTTP, or informational, also 101: nothing that a host sends asks for another protocol.
pub(crate) fn check_final_status(status: u16) -> Result<(), Failure> {
    let is_final = head::is_valid_status(status) && status >= FIRST_FINAL_STATUS;
    if is_final { Ok(()) } else { Err(Failure::InvalidStatus(status)) }
}

/// Returns the idle timeout that an answer announces.
pub(crate) fn keep_alive(headers: &Headers) -> Option<Duration> {
    let text = headers.get_str("keep-alive")?;
    let seconds = text.split(',').find_map(|item| item.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
