//! Start-up: finds the state from which a host without stored state starts to fold.
//!
//! The host reads the log twice. The first pass looks for the newest complete checkpoint; the second
//! applies the records after it.

use crate::checkpoint::Assembler;
use crate::state::State;
use skylarkdock_records::envelope::{Body, Envelope};
use skylarkdock_units::ids::Offset;
use thiserror::Error;

/// Error if the log has no state to start from.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StartupError {
    /// The log no longer has its first records, and no complete checkpoint covers them.
    #[error(
        "the log begins at offset {oldest} and no complete checkpoint covers the records before it"
    )]
    Gap {
        /// Offset of the oldest record in the log.
        oldest: Offset,
    },
}

/// Finds the newest complete checkpoint in one pass over the log.
#[derive(Debug, Default)]
pub struct CheckpointScan {
    assembler: Assembler,
    newest: Option<State>,
    /// Number of checkpoint parts that the assembler rejected.
    pub rejected_parts: u64,
}

impl CheckpointScan {
    /// Adds the next record of the pass.
    pub fn add(&mut self, text: &str) {
        let Ok(Envelope { body: Body::Checkpoint(part), .. }) = serde_json::from_str(text) else {
            return;
        };
        match self.assembler.add(part) {
            Ok(Some(state)) => self.keep_newest(state),
            Ok(None) => {}
            Err(_) => self.rejected_parts += 1,
        }
    }

    fn keep_newest(&mut self, state: State) {
        let newer = self.newest.as_ref().is_none_or(|newest| newest.applied < state.applied);
        if newer {
            self.newest = Some(state);
        }
    }

    /// Returns the state to start from, given the offset of the oldest record in the log.
    ///
    /// # Errors
    ///
    /// Returns an error if records are missing between that state and the oldest record in the log.
    pub fn finish(self, oldest: Offset) -> Result<State, StartupError> {
        let state = self.newest.unwrap_or_default();
        if oldest.0 <= state.applied.0 + 1 { Ok(state) } else { Err(StartupError::Gap { oldest }) }
    }
}
