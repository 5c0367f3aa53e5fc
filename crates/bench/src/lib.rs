//! Measures the cost of control per host, range and record, and the quality of placement.

pub mod baselines;
pub mod cli;
pub mod control;
pub mod errors;
pub mod fit;
pub mod fleet;
pub mod keys;
pub mod placement;
pub mod sample;
pub mod scenarios;
pub mod simulation;
pub mod tables;
