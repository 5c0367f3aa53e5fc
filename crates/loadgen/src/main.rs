//! Entry point of `skylarkdock-load`.

use std::process::ExitCode;

fn main() -> ExitCode {
    skylarkdock_loadgen::cli::main(std::env::args_os().skip(1).collect())
}
