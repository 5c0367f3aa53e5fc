//! The router's daemon.

use eyre::WrapErr;
use skylarkdock_daemon::daemon::Daemon;
use skylarkdock_daemon::settings::{self, Command};
use skylarkdock_daemon::{logging, usage};
use std::process::ExitCode;

const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let command = settings::read(std::env::args_os().skip(1).collect(), std::env::vars_os());
    match command {
        Ok(Command::Help) => print(&usage::help()),
        Ok(Command::Version) => print(&usage::version()),
        Ok(Command::Run(settings)) => match run(*settings) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("skylarkdockd: {error:#}");
                ExitCode::FAILURE
            }
        },
        Err(faults) => {
            eprintln!("{faults}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn print(text: &str) -> ExitCode {
    println!("{text}");
    ExitCode::SUCCESS
}

fn run(settings: settings::Settings) -> eyre::Result<()> {
    logging::start(&settings).wrap_err("can't start logging")?;
    Daemon::start(settings).wrap_err("can't start the daemon")?.run().wrap_err("daemon failed")
}
