//! Small stand-ins for the platform's log, the host list, upstreams and links.
//!
//! Each runs as a separate process, `skylarkdock-standin SUBCOMMAND`, and injects faults that are configured at run
//! time. [`process`] starts these and other programs from tests.

pub mod cli;
pub mod client;
pub mod clock;
pub mod errors;
pub mod hosts;
pub mod lagged;
pub mod link;
pub mod log;
pub mod process;
pub mod responses;
pub mod server;
pub mod shared;
pub mod startup;
pub mod upstream;
