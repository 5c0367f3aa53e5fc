//! End-to-end fault-injection trials: real processes on loopback, injected faults, callers, and checks of histories.
//!
//! The checks compare the callers' attempts with the runs recorded by the upstream stand-ins. All processes share one
//! machine, so that their readings of `CLOCK_BOOTTIME` are comparable.

pub mod balancer;
pub mod callers;
pub mod checks;
pub mod cli;
pub mod errors;
pub mod faults;
pub mod fleet;
pub mod history;
pub mod probes;
pub mod programs;
pub mod publishing;
pub mod report;
pub mod schedule;
pub mod trial;
pub mod upstream_history;
pub mod waiting;
