//! HTTP server and client plumbing over async-io.
//!
//! [`server`] answers callers, [`pool`] keeps connections to upstreams and other hosts, [`json`] makes control calls.
//! All of it runs on an [`executor`] of a few named threads.

pub mod body;
pub mod executor;
pub mod json;
pub mod pool;
pub mod server;

mod address_pool;
mod client_connection;
mod connections;
mod errors;
mod response_body;
mod signal;
mod socket;
