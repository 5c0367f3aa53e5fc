//! Typed events, a bounded ring buffer of them, and their causal order across processes.
//!
//! Each process stamps its events with a hybrid logical clock and sends stamps with its messages, so
//! that the events of all processes can be merged into one list without synchronized wall clocks.

pub mod clock;
pub mod event;
pub mod filter;
pub mod html;
pub mod journal;
pub mod kind;
pub mod merge;
pub mod reasons;
pub mod ring;

mod date;
mod text;

pub use event::{Event, EventRef};
pub use kind::{EventKind, Topic};
