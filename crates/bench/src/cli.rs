//! Command line: subcommands and exit codes.

use crate::{control, placement};
use pico_args::Arguments;
use std::ffi::OsString;
use std::process::ExitCode;

/// Exit code of a failed measurement.
pub const EXIT_FAILED: u8 = 1;
/// Exit code of an invalid command line.
pub const EXIT_USAGE: u8 = 2;

const HELP: &str = "\
Measures what control costs and how good placement is.

Usage: skylarkdock-bench control [OPTIONS]
       skylarkdock-bench placement [OPTIONS]

Options of control:
  --programs DIRECTORY    where skylarkdockd and skylarkdock-standin are [beside this program]
  --window SECONDS        time measured in each state [10]
  --only WORD             only the sweep hosts, ranges, services or onlookers

Options of placement:
  --seed N                seed of the keys [1]

Options of both:
  --markdown FILE         write the tables
  --json FILE             write the numbers

Exit codes: 0 done, 1 failed, 2 command line not valid
";

/// Runs the program; `args` excludes the program name.
pub fn main(args: Vec<OsString>) -> ExitCode {
    let mut args = Arguments::from_vec(args);
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let result = match args.subcommand() {
        Ok(Some(command)) if command == "control" => {
            control::Settings::parse(args).map(control::run)
        }
        Ok(Some(command)) if command == "placement" => {
            placement::Settings::parse(args).map(placement::run)
        }
        _ => {
            eprint!("{HELP}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match result {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(e)) => {
            eprintln!("skylarkdock-bench: {e:#}");
            ExitCode::from(EXIT_FAILED)
        }
        Err(e) => {
            eprintln!("skylarkdock-bench: {e}; see --help");
            ExitCode::from(EXIT_USAGE)
        }
    }
}
