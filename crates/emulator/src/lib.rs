//! Deterministic simulation of entry hosts under load, in virtual time.
//!
//! A [`shape`] file describes the requests and the upstreams. The [`simulation`] runs it on hosts with one of several
//! routing [`policy`] variants, on [`upstream`] models with slots, speeds and faults, and with callers that retry.
//! [`stats`] counts what the callers got, and [`chart`] draws it over the offered load. Equal seeds give equal results.

pub mod chart;
pub mod crashes;
pub mod distribution;
pub mod limits;
pub mod policy;
pub mod recovery;
pub mod shape;
pub mod silent;
pub mod simulation;
pub mod stats;
pub mod uneven;
pub mod upstream;
