//! Checkpoints: the whole state written to the log again, in parts, before its oldest record ages
//! out.

use crate::state::State;
use skylarkdock_records::envelope::CheckpointPart;
use skylarkdock_units::ids::Offset;
use std::collections::BTreeMap;
use thiserror::Error;

/// Largest part of a checkpoint in bytes.
pub const CHUNK_BYTES: usize = 32 * 1024;

/// Most checkpoints that are assembled at a time; the ones with the oldest base are given up first.
const ASSEMBLED_AT_A_TIME: usize = 4;

/// Why a checkpoint is not usable.
#[derive(Debug, Error)]
pub enum CheckpointError {
    /// The parts do not make up what the digest names.
    #[error("checkpoint at {base} does not match its digest")]
    Digest {
        /// Base of the checkpoint.
        base: Offset,
    },
    /// The parts do not agree with one another.
    #[error("part {index} of {count} of checkpoint at {base} does not fit the others")]
    Part {
        /// Base of the checkpoint.
        base: Offset,
        /// Index of the part.
        index: u32,
        /// Number of parts it names.
        count: u32,
    },
    /// The text is not a state.
    #[error("checkpoint is not a state: {0}")]
    State(#[from] serde_json::Error),
}

/// Returns the digest of a state's text.
fn digest(text: &str) -> String {
    blake3::hash(text.as_bytes()).to_hex().to_string()
}

/// Returns the digest of a state, equal on hosts that are in the same state.
///
/// # Errors
///
/// Returns an error if the state can't be written as text.
pub fn state_digest(state: &State) -> Result<String, CheckpointError> {
    Ok(digest(&serde_json::to_string(state)?))
}

/// Splits a state into the parts of a checkpoint.
///
/// # Errors
///
/// Returns an error if the state can't be written as text.
pub fn split(state: &State) -> Result<Vec<CheckpointPart>, CheckpointError> {
    let text = serde_json::to_string(state)?;
    let digest = digest(&text);
    let parts = pieces(&text);
    let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
    let chunk = |(index, data): (u32, &str)| CheckpointPart {
        base: state.applied,
        digest: digest.clone(),
        index,
        count,
        data: data.to_owned(),
    };
    Ok((0..).zip(parts).map(chunk).collect())
}

fn pieces(mut text: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    while !text.is_empty() {
        let (part, rest) = text.split_at(text.floor_char_boundary(CHUNK_BYTES));
        parts.push(part);
        text = rest;
    }
    parts
}

#[derive(Debug, Clone)]
struct Partial {
    count: u32,
    parts: BTreeMap<u32, String>,
}

/// Puts checkpoints together from their parts, in whatever order and however often these arrive.
#[derive(Debug, Clone, Default)]
pub struct Assembler {
    partial: BTreeMap<(Offset, String), Partial>,
}

impl Assembler {
    /// Takes a part and returns the state once all parts of its checkpoint are there.
    ///
    /// # Errors
    ///
    /// Returns an error if the part contradicts an earlier one, or the whole its digest.
    pub fn add(&mut self, chunk: CheckpointPart) -> Result<Option<State>, CheckpointError> {
        let CheckpointPart { base, digest: expected, index, count, data } = chunk;
        if index >= count {
            return Err(CheckpointError::Part { base, index, count });
        }
        let key = (base, expected);
        let empty = || Partial { count, parts: BTreeMap::new() };
        let partial = self.partial.entry(key.clone()).or_insert_with(empty);
        if partial.count != count {
            return Err(CheckpointError::Part { base, index, count });
        }
        partial.parts.insert(index, data);
        if partial.parts.len() < count as usize {
            self.drop_oldest();
            return Ok(None);
        }
        let text: String = partial.parts.values().map(String::as_str).collect();
        self.partial.remove(&key);
        finish(base, &key.1, &text).map(Some)
    }

    fn drop_oldest(&mut self) {
        if self.partial.len() > ASSEMBLED_AT_A_TIME {
            self.partial.pop_first();
        }
    }
}

fn finish(base: Offset, expected: &str, text: &str) -> Result<State, CheckpointError> {
    if digest(text) != expected {
        return Err(CheckpointError::Digest { base });
    }
    let state: State = serde_json::from_str(text)?;
    if state.applied == base { Ok(state) } else { Err(CheckpointError::Digest { base }) }
}
