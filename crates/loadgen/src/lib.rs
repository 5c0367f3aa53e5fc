//! Load generator: measures the latency and throughput of HTTP requests to a router or an upstream.
//!
//! With a rate, requests start on a schedule however slow the responses are (open loop), and latency counts from the
//! scheduled start. Without one, each connection waits for its response before its next request (closed loop).

pub mod cli;
pub mod compare;
pub mod failures;
pub mod history;
pub mod keys;
pub mod plan;
pub mod run;
pub mod settings;
pub mod stats;
pub mod summary;

mod attempt;
mod client;
mod table;
