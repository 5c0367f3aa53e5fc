//! The operators' command-line tool.
//!
//! [`program`] parses the command line and runs one of the [`commands`], which call the daemons
//! through the [`client`].

pub mod args;
pub mod client;
pub mod commands;
pub mod context;
pub mod errors;
pub mod exit;
pub mod fleet;
pub mod program;
pub mod table;
