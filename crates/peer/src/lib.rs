//! Messages between hosts: their types, codec and authentication.
//!
//! A connection begins with a [`hello::Hello`] from each side. The keys that authenticate all later
//! frames are derived from both hellos and the shared secret, so a frame of another connection, or
//! one that is replayed or reordered, is rejected.

pub mod error;
pub mod frame;
pub mod hello;
pub mod message;
pub mod secret;

pub use error::PeerError;
