//! Checkpoints: the whole state, written to the log in parts before the records that it was built from
//! age out of the log.

use crate::state::State;
use skylarkdock_records::envelope::CheckpointPart;
use skylarkdock_units::ids::Offset;
use std::collections::BTreeMap;
use thiserror::Error;

/// Maximum size of a checkpoint part, in bytes.
pub const MAX_PART_BYTES: usize = 32 * 1024;

/// Maximum number of incomplete checkpoints; the one with the oldest base is evicted first.
const MAX_INCOMPLETE_CHECKPOINTS: usize = 4;

/// Error from writing, assembling or reading a checkpoint.
#[derive(Debug, Error)]
pub enum CheckpointError {
    /// The assembled text or its base does not match the digest and base of the parts.
    #[error("checkpoint at offset {base} does not match its digest or base")]
    Digest {
        /// Base of the checkpoint.
        base: Offset,
    },
    /// The part's index is not below the number of parts, or that number differs from another part's.
    #[error("part {index} of {count} of the checkpoint at offset {base} is inconsistent")]
    Part {
        /// Base of the checkpoint.
        base: Offset,
        /// Index of the part.
        index: u32,
        /// Number of parts according to this part.
        count: u32,
    },
    /// The state can't be serialized, or the text is not a serialized state.
    #[error("invalid state in checkpoint: {0}")]
    State(#[from] serde_json::Error),
}

/// Returns the BLAKE3 digest of a serialized state, in hexadecimal.
fn digest(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex().to_string()
}

/// Returns the digest of a state; hosts with equal states compute equal digests.
///
/// # Errors
///
/// Returns an error if the state can't be serialized.
pub fn state_digest(state: &State) -> Result<String, CheckpointError> {
    Ok(digest(&serde_json::to_string(state)?))
}

/// Splits a state into the parts of a checkpoint.
///
/// # Errors
///
/// Returns an error if the state can't be serialized.
pub fn split(state: &State) -> Result<Vec<CheckpointPart>, CheckpointError> {
    let text = serde_json::to_string(state)?;
    let digest = digest(&text);
    let parts = split_text(&text);
    let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
    let checkpoint_part = |(index, data): (u32, &str)| CheckpointPart {
        base: state.applied,
        digest: digest.clone(),
        index,
        count,
        data: data.to_owned(),
    };
    Ok((0..).zip(parts).map(checkpoint_part).collect())
}

fn split_text(mut text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    while !text.is_empty() {
        let (part, rest) = text.split_at(text.floor_char_boundary(MAX_PART_BYTES));
        parts.push(part);
        text = rest;
    }
    parts
}

#[derive(Debug, Clone)]
struct IncompleteCheckpoint {
    count: u32,
    parts: BTreeMap<u32, String>,
}

/// Assembles checkpoints from parts, which may arrive in any order and repeatedly.
#[derive(Debug, Clone, Default)]
pub struct Assembler {
    incomplete: BTreeMap<(Offset, String), IncompleteCheckpoint>,
}

impl Assembler {
    /// Adds a part; returns the state if the checkpoint is now complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the part is inconsistent with earlier ones, or the complete checkpoint with
    /// its digest.
    pub fn add(&mut self, part: CheckpointPart) -> Result<Option<State>, CheckpointError> {
        let CheckpointPart { base, digest: expected, index, count, data } = part;
        if index >= count {
            return Err(CheckpointError::Part { base, index, count });
        }
        let key = (base, expected);
        let no_parts = || IncompleteCheckpoint { count, parts: BTreeMap::new() };
        let incomplete = self.incomplete.entry(key.clone()).or_insert_with(no_parts);
        if incomplete.count != count {
            return Err(CheckpointError::Part { base, index, count });
        }
        incomplete.parts.insert(index, data);
        if incomplete.parts.len() < count as usize {
            self.evict_oldest();
            return Ok(None);
        }
        let text: String = incomplete.parts.values().map(String::as_str).collect();
        self.incomplete.remove(&key);
        verify_and_parse(base, &key.1, &text).map(Some)
    }

    fn evict_oldest(&mut self) {
        if self.incomplete.len() > MAX_INCOMPLETE_CHECKPOINTS {
            self.incomplete.pop_first();
        }
    }
}

fn verify_and_parse(base: Offset, expected: &str, text: &str) -> Result<State, CheckpointError> {
    if digest(text) != expected {
        return Err(CheckpointError::Digest { base });
    }
    let state: State = serde_json::from_str(text)?;
    if state.applied == base { Ok(state) } else { Err(CheckpointError::Digest { base }) }
}
