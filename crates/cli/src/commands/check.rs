//! `check`: checks a routing record without publishing it.

use crate::args::Args;
use crate::commands::{Command, files};
use crate::context::Context;
use crate::errors::CliError;
use crate::exit::Exit;
use futures_lite::future;
use skylarkdock_admin::methods;
use skylarkdock_admin::records::{CheckParams, CheckResult};
use std::fmt::Write;

/// Definition of the command.
pub const COMMAND: Command = Command {
    name: "check",
    summary: "checks a routing record without publishing it",
    help: HELP,
    run,
};

const HELP: &str = "Checks a routing record without publishing it, and lists all faults.

Usage: skylarkdock check FILE

Exits with 1 if the record has faults.

Examples:
  skylarkdock check orders.json
  skylarkdock check - < orders.json";

fn run(cx: &mut Context<'_>, args: Args) -> Result<Exit, CliError> {
    let file = args.finish(&["FILE"], 1)?.remove(0);
    let params = CheckParams { record: files::read_json(&file)? };
    let call = cx.client.call_any(cx.hosts()?, methods::CHECK, &params);
    let result: CheckResult = future::block_on(call)?;
    let mut text = match result.faults.len() {
        0 => "no faults".to_owned(),
        1 => "1 fault".to_owned(),
        count => format!("{count} faults"),
    };
    for fault in &result.faults {
        // Writing to a `String` can't fail.
        let _ = write!(text, "\n  {fault}");
    }
    cx.print(&text, &result)?;
    Ok(if result.faults.is_empty() { Exit::Done } else { Exit::Failed })
}
