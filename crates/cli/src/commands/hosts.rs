//! `hosts`: lists the hosts of the fleet.

use crate::args::Args;
use crate::commands::Command;
use crate::context::Context;
use crate::errors::CliError;
use crate::exit::Exit;
use crate::table::Table;
use futures_lite::future;
use skylarkdock_admin::envelope::NoParams;
use skylarkdock_admin::hosts::HostRow;
use skylarkdock_admin::methods;

/// Definition of the command.
pub const COMMAND: Command =
    Command { name: "hosts", summary: "lists the hosts, as known to one of them", help: HELP, run };

const HELP: &str = "Lists the hosts, as known to the first host that returns a result.

Usage: skylarkdock hosts

Examples:
  skylarkdock hosts --host 10.0.0.1:8100
  skylarkdock hosts --output json";

fn run(cx: &mut Context<'_>, args: Args) -> Result<Exit, CliError> {
    args.finish(&[], 0)?;
    let call = cx.client.call_any(cx.hosts()?, methods::HOSTS, &NoParams {});
    let rows: Vec<HostRow> = future::block_on(call)?;
    cx.print(&to_table(&rows), &rows)?;
    Ok(Exit::Done)
}

fn to_table(rows: &[HostRow]) -> Table {
    let mut table =
        Table::new(&["HOST", "STATE", "ZONE", "REGION", "HTTP", "PEER", "HEARD", "RUN"]);
    for row in rows {
        table.add_row(vec![
            row.member.host.to_string(),
            row.state.to_string(),
            row.zone.to_string(),
            row.region.to_string(),
            row.http.to_string(),
            row.peer.to_string(),
            format!("{} ago", row.heard_ms_ago),
            row.member.incarnation.to_string(),
        ]);
    }
    table
}
