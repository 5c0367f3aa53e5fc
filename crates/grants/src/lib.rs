//! Keeps the fenced grants of one upstream: which ranges it may serve, under which token and until
//! when.
//!
//! A grant ends at a reading of the upstream's own clock. The keeper learns that clock from the
//! upstream's answers, so a grant that was delayed on its way does not last longer for it.

pub mod manager;

pub use manager::{Answer, Call, Keeper, Order, Phase};
