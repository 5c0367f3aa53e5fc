//! The fold of the log into the state in force, without I/O; with checkpoints and start-up.
//!
//! The fold is deterministic: hosts that apply the same records reach the same verdict on each.

pub mod checkpoint;
pub mod fold;
pub mod history;
pub mod startup;
pub mod state;
pub mod verdict;

pub use fold::{Fold, FoldError};
pub use state::State;
pub use verdict::{Refusal, Verdict};
