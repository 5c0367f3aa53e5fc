//! `settle`: queries the outcome of a published or retired record.

use crate::args::Args;
use crate::commands::{Command, verdicts};
use crate::context::Context;
use crate::errors::{CliError, UsageError};
use crate::exit::Exit;

/// Definition of the command.
pub const COMMAND: Command = Command {
    name: "settle",
    summary: "queries the outcome of a record if it was unknown",
    help: HELP,
    run,
};

const HELP: &str =
    "Queries the outcome of a record if it was unknown when the record was submitted.

Usage: skylarkdock settle RECORD-ID

Queries the hosts in turn until one knows the outcome. Exits with 3 if none does.

Examples:
  skylarkdock settle 6f2c1d9e-3c1f-4a52-9a55-1f0f6a1f2b3c";

fn run(cx: &mut Context<'_>, args: Args) -> Result<Exit, CliError> {
    let id = args.finish(&["RECORD-ID"], 1)?.remove(0);
    let id = id.parse().map_err(|source| UsageError::Argument { name: "RECORD-ID", source })?;
    let verdict = verdicts::settle(cx, id)?;
    verdicts::print(cx, &verdict)
}
