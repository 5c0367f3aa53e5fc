//! Types of the admin calls, shared by the daemon and the command-line tool.
//!
//! Calls are JSON-RPC 2.0 over `POST /rpc` on a daemon's HTTP address. Parameters are passed by name.

pub mod envelope;
pub mod explain;
pub mod hosts;
pub mod methods;
pub mod ranges;
pub mod records;
pub mod status;
pub mod verdict;
