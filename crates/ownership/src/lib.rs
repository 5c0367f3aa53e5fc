//! Range leases as pure state machines for holders, claimants and witnesses.
//!
//! A [`Node`] is one incarnation of a daemon. It gets the time, the folded state and messages as
//! values and returns the messages to send and the ranges that are acquired, draining or lost.

pub mod events;
pub mod lease;
pub mod message;
pub mod node;
pub mod timing;

mod ballot;
mod claim_schedule;
mod claims;
mod epoch_state;
mod heartbeats;
mod holdings;
mod outbox;
mod peers;
mod seal;
mod session;
mod witness;

pub use events::{ClaimReason, Hold, Input, LossReason, Output};
pub use message::Message;
pub use node::Node;
pub use timing::Timing;
