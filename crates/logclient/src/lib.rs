//! Clients of the platform's log and host list. `docs/protocols.md` specifies the protocols.

pub mod hosts;
pub mod log;

mod wire;

pub use hosts::HostList;
pub use log::Log;
