//! Clients of the platform's log and host list, over the protocols of `docs/protocols.md`.

pub mod hosts;
pub mod log;

mod wire;

pub use hosts::HostList;
pub use log::Log;
