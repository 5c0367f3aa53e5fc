//! Compact form of the load in a report.
//!
//! Load pattern: hundreds of hosts keep nearly all of hundreds of upstreams busy, and a relay tells each host of its
//! availability zone the load of all others several times a second. Most entries have a small count, and the hashes of
//! many upstreams lie close to each other once they are sorted. So an entry is a single number with the difference to the
//! hash before it and a small count, which takes about four bytes as a variable-length integer instead of six or seven.

use crate::peer_load::UpstreamHash;
use thiserror::Error;

/// Bits of a number that hold the count.
const COUNT_BITS: u32 = 4;
/// Count from which the rest of it follows as a number of its own.
const LARGE_COUNT: u32 = (1 << COUNT_BITS) - 1;

/// Reason for which numbers are no load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum UnpackError {
    /// The rest of a large count is missing.
    #[error("the numbers end within an entry")]
    Incomplete,
    /// A hash or a count is too large.
    #[error("a number is out of range")]
    OutOfRange,
}

/// Returns the numbers for a load that is sorted by hash.
pub fn pack(load: &[(UpstreamHash, u32)]) -> Vec<u64> {
    let mut numbers = Vec::with_capacity(load.len());
    let mut previous = 0;
    for (hash, count) in load {
        let step = u64::from(hash.wrapping_sub(previous));
        numbers.push(step << COUNT_BITS | u64::from(*count.min(&LARGE_COUNT)));
        if *count >= LARGE_COUNT {
            numbers.push(u64::from(count - LARGE_COUNT));
        }
        previous = *hash;
    }
    numbers
}

/// Returns the load from its numbers.
///
/// # Errors
///
/// Fails if the numbers are not those of a load.
pub fn unpack(numbers: &[u64]) -> Result<Vec<(UpstreamHash, u32)>, UnpackError> {
    let narrow = |number: u64| u32::try_from(number).map_err(|_| UnpackError::OutOfRange);
    let mut load = Vec::with_capacity(numbers.len());
    let mut previous: u32 = 0;
    let mut numbers = numbers.iter();
    while let Some(number) = numbers.next() {
        let step = narrow(number >> COUNT_BITS)?;
        let hash = previous.checked_add(step).ok_or(UnpackError::OutOfRange)?;
        let mut count = narrow(number & u64::from(LARGE_COUNT))?;
        if count == LARGE_COUNT {
            let rest = narrow(*numbers.next().ok_or(UnpackError::Incomplete)?)?;
            count = count.checked_add(rest).ok_or(UnpackError::OutOfRange)?;
        }
        load.push((hash, count));
        previous = hash;
    }
    Ok(load)
}
