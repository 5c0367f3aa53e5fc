//! HTTP/1 server and pooled HTTP/1 client over async-io.
//!
//! [`server`] serves callers, [`pool`] keeps connections to upstreams and other hosts, and [`json`] sends JSON calls to
//! control interfaces. All of them run on an [`executor`] with a fixed number of named threads.

pub mod body;
pub mod executor;
pub mod json;
pub mod pool;
pub mod server;

mod address_pool;
mod client_connection;
mod errors;
mod response_body;
mod server_connections;
mod shutdown_signal;
mod socket;
