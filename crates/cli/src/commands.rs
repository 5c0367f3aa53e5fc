//! Commands of the tool, one module for each.

use crate::args::Args;
use crate::context::Context;
use crate::errors::CliError;
use crate::exit::Exit;

pub mod check;
pub mod config;
pub mod drain;
pub mod explain;
pub mod hosts;
pub mod publish;
pub mod ranges;
pub mod records;
pub mod retire;
pub mod settle;
pub mod status;
pub mod timeline;

mod files;
mod rollout;
mod verdicts;

/// Command of the tool.
pub struct Command {
    /// Name on the command line.
    pub name: &'static str,
    /// Description of one line, shown in the help of the program.
    pub summary: &'static str,
    /// Help text with usage and examples.
    pub help: &'static str,
    /// Parses its arguments and runs the command.
    pub run: fn(&mut Context<'_>, Args) -> Result<Exit, CliError>,
}

/// All commands, in the order in which the help lists them.
pub const ALL: &[Command] = &[
    publish::COMMAND,
    check::COMMAND,
    config::COMMAND,
    retire::COMMAND,
    settle::COMMAND,
    records::COMMAND,
    status::COMMAND,
    hosts::COMMAND,
    ranges::COMMAND,
    explain::COMMAND,
    timeline::COMMAND,
    drain::COMMAND,
];
