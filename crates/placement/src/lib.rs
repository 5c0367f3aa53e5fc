//! Pure placement: which upstream owns a range, and which hosts are members of its lease.
//!
//! Every host computes the same plan from the same state. A holder writes the part of the plan that
//! concerns its own ranges.

pub mod hot;
pub mod members;
pub mod plan;
pub mod upstreams;

mod balance;
mod score;

pub use members::LiveHost;
