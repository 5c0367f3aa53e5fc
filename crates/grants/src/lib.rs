//! Manages the fenced grants of one upstream: which ranges it may serve, with which fencing token, and
//! when each grant expires.
//!
//! A grant expires at a time of the upstream's own clock. The manager learns that clock from the
//! upstream's responses, so a grant that is delayed in transit does not last any longer.

pub mod manager;

pub use manager::{Call, CallOutcome, FencedRange, GrantManager, GrantPhase};
