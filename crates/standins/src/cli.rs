//! Command line: selects the subcommand and maps its result to an exit code.

use crate::errors::{StandinError, UsageError};
use crate::{hosts, link, log, upstream};
use eyre::Report;
use pico_args::Arguments;
use std::ffi::OsString;
use std::process::ExitCode;

const EXIT_FAILURE: u8 = 1;
const EXIT_USAGE: u8 = 2;

const HELP: &str = "\
skylarkdock-standin SUBCOMMAND [options]

  log        the platform's append-only log
  hosts      the platform's host list
  upstream   an upstream server that owns keys exclusively
  link       TCP relays with injectable faults

SUBCOMMAND --help shows its options; --version shows the version.
Each prints `listening IP:PORT` once it accepts connections, and exits on SIGTERM or SIGINT.
PUT /_standin/faults replaces the configured faults; GET returns them.

Exit codes: 0 success, 1 failure, 2 invalid usage; 134 when the fault `crash_on` ends an upstream.
";

enum Command {
    Print(String),
    Log(log::LogSettings),
    Hosts(hosts::HostsSettings),
    Upstream(Box<upstream::UpstreamSettings>),
    Link(link::LinkSettings),
}

/// Runs the program with its arguments, excluding the program name.
pub fn run(args: Vec<OsString>) -> ExitCode {
    let command = match parse(args) {
        Ok(command) => command,
        Err(e) => {
            eprintln!("error: {e}\nsee --help");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match execute(&command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {:#}", Report::from(e));
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn parse(args: Vec<OsString>) -> Result<Command, UsageError> {
    let mut args = Arguments::from_vec(args);
    if args.contains("--version") {
        return Ok(Command::Print(format!("skylarkdock-standin {}\n", env!("CARGO_PKG_VERSION"))));
    }
    let help = args.contains(["-h", "--help"]);
    let name = args.subcommand()?;
    let command = match name.as_deref() {
        Some("log") if help => Command::Print(log::HELP.to_owned()),
        Some("hosts") if help => Command::Print(hosts::HELP.to_owned()),
        Some("upstream") if help => Command::Print(upstream::HELP.to_owned()),
        Some("link") if help => Command::Print(link::HELP.to_owned()),
        Some("log") => Command::Log(log::LogSettings::from_args(&mut args)?),
        Some("hosts") => Command::Hosts(hosts::HostsSettings::from_args(&mut args)?),
        Some("upstream") => {
            Command::Upstream(Box::new(upstream::UpstreamSettings::from_args(&mut args)?))
        }
        Some("link") => Command::Link(link::LinkSettings::from_args(&mut args)?),
        Some(other) => return Err(UsageError::UnknownSubcommand(other.to_owned())),
        None if help => Command::Print(HELP.to_owned()),
        None => return Err(UsageError::MissingSubcommand),
    };
    match args.finish().first() {
        Some(unused) => Err(UsageError::UnknownArgument(unused.to_string_lossy().into_owned())),
        None => Ok(command),
    }
}

fn execute(command: &Command) -> Result<(), StandinError> {
    match command {
        Command::Print(text) => {
            print!("{text}");
            Ok(())
        }
        Command::Log(settings) => log::run(settings),
        Command::Hosts(settings) => hosts::run(settings),
        Command::Upstream(settings) => upstream::run(settings),
        Command::Link(settings) => link::run(settings),
    }
}
