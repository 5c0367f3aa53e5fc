//! Typed events, a bounded ring of them and their order across processes.
//!
//! Each process stamps its events with a hybrid logical clock and sends the stamp with its
//! messages, so that the events of all processes merge into one list without exact wall clocks.

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
