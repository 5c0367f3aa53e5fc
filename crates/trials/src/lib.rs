//! Trials of the whole system: real processes on loopback, faults, callers, and checks of their histories.
//!
//! The checks read what callers were answered and what the upstream stand-ins ran. All processes share one machine, so
//! their readings of `CLOCK_BOOTTIME` can be compared.

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
