//! Request deduplication for at-most-once execution, outcomes of requests, and quarantine of crashing requests.
//!
//! The holder of a key range keeps one [`memory::Memory`] for it. The caller passes in the current time; nothing here
//! reads a clock.

pub mod answer;
pub mod class;
pub mod crash_history;
pub mod fingerprint;
pub mod handover;
pub mod limits;
pub mod memory;
pub mod outcome;
pub mod quarantine;

mod settled;
