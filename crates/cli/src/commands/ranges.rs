//! `ranges`: lists ranges with their leases and upstreams.

use crate::args::Args;
use crate::commands::Command;
use crate::context::Context;
use crate::errors::{CliError, UsageError};
use crate::exit::Exit;
use crate::table::{self, Table};
use futures_lite::future;
use skylarkdock_admin::methods;
use skylarkdock_admin::ranges::{RangeRow, RangesParams};

/// Definition of the command.
pub const COMMAND: Command = Command {
    name: "ranges",
    summary: "lists ranges with their leases and upstreams",
    help: HELP,
    run,
};

const HELP: &str =
    "Lists ranges with their leases and upstreams, as known to the first host that returns a result.

Usage: skylarkdock ranges [SERVICE]

HELD is the fencing token of the lease, if that host holds it.

Examples:
  skylarkdock ranges orders";

fn run(cx: &mut Context<'_>, args: Args) -> Result<Exit, CliError> {
    let service = args.finish(&[], 1)?.pop();
    let service = service
        .map(|service| service.parse())
        .transpose()
        .map_err(|source| UsageError::Argument { name: "SERVICE", source })?;
    let params = RangesParams { service };
    let call = cx.client.call_any(cx.hosts()?, methods::RANGES, &params);
    let rows: Vec<RangeRow> = future::block_on(call)?;
    cx.print(&to_table(&rows), &rows)?;
    Ok(Exit::Done)
}

fn to_table(rows: &[RangeRow]) -> Table {
    let mut table =
        Table::new(&["RANGE", "UPSTREAM", "ASSIGNED", "LEASE", "HELD", "HOT", "MEMBERS"]);
    for row in rows {
        let members = row.members.iter().map(|member| member.host.as_str());
        table.add_row(vec![
            row.range.to_string(),
            table::or_dash(row.upstream.as_ref()),
            row.assigned.to_string(),
            row.lease.to_string(),
            table::or_dash(row.held.as_ref()),
            row.hot.len().to_string(),
            members.collect::<Vec<&str>>().join(","),
        ]);
    }
    table
}
