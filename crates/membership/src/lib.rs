//! Sans-I/O gossip membership between hosts, modelled on the SWIM protocol.
//!
//! In each round, a host probes a constant number of others: its successors in a ring that keeps the
//! hosts of a zone together, and a random one. Changes are piggybacked on the probes. A host that
//! answers neither direct nor indirect probes becomes suspect and then gone, and refutes either by
//! raising its version. Each message carries a digest of the sender's table; hosts whose digests
//! differ exchange their tables in chunks.

pub mod config;
pub mod messages;
pub mod view;

mod changes;
mod membership;
mod merge;
mod probes;
mod random;
mod receive;
mod rounds;
mod sync;
mod table;

pub use config::Config;
pub use membership::Membership;
pub use messages::{Gossip, HostEntry, HostState};
pub use view::{HostListEntry, HostView, Input, Output};
