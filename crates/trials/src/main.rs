//! Entry point of `skylarkdock-trial`.

use std::env;
use std::process::ExitCode;

fn main() -> ExitCode {
    skylarkdock_trials::cli::main(env::args_os().skip(1).collect())
}
