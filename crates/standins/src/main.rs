//! Entry point of the program `skylarkdock-standin`.

use std::env;
use std::process::ExitCode;

fn main() -> ExitCode {
    skylarkdock_standins::cli::run(env::args_os().skip(1).collect())
}
