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
Measures the cost of control and the quality of placement.

Usage: skylarkdock-bench control [OPTIONS]
       skylarkdock-bench placement [OPTIONS]

Options of control:
  --programs DIRECTORY    directory of skylarkdockd and skylarkdock-standin [that of this program]
  --window SECONDS        length of the measurement window of each state [10]
  --only SWEEP            measure only this sweep: hosts, ranges, services or onlookers

Options of placement:
  --seed N                seed of the sampled requests [1]

Options of both:
  --markdown FILE         write the tables as Markdown
  --json FILE             write the results as JSON

Exit codes: 0 success, 1 measurement failed, 2 invalid command line
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
