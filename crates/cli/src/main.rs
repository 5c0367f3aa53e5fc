//! Entry point of the program `skylarkdock`.

use skylarkdock_cli::program::{self, Env};
use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args = std::env::args_os().skip(1).collect();
    let exit = program::run(args, Env::read(), &mut io::stdout(), &mut io::stderr());
    ExitCode::from(exit.code())
}
