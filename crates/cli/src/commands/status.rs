//! `status`: shows the status of all hosts.

use crate::args::Args;
use crate::commands::Command;
use crate::context::Context;
use crate::errors::CliError;
use crate::exit::Exit;
use crate::fleet::{self, FleetResults, UnreachableHost};
use crate::table::Table;
use serde::Serialize;
use skylarkdock_admin::envelope::NoParams;
use skylarkdock_admin::methods;
use skylarkdock_admin::status::Status;

/// Definition of the command.
pub const COMMAND: Command =
    Command { name: "status", summary: "shows the status of all hosts", help: HELP, run };

const HELP: &str = "Shows the status of the given hosts and of all hosts that they know.

Usage: skylarkdock status

Exits with 4 if a host returns no result.

Examples:
  skylarkdock status --host 10.0.0.1:8100,10.0.0.2:8100";

#[derive(Serialize)]
struct Report<'a> {
    hosts: Vec<&'a Status>,
    unreachable: &'a [UnreachableHost],
}

fn run(cx: &mut Context<'_>, args: Args) -> Result<Exit, CliError> {
    args.finish(&[], 0)?;
    let targets = fleet::discover(cx)?;
    let results: FleetResults<Status> =
        fleet::query_all(cx, targets, methods::STATUS, &NoParams {}, |status| &status.host);
    let hosts: Vec<&Status> = results.by_host.values().collect();
    let text = to_table(&hosts);
    cx.print(&text, &Report { hosts, unreachable: &results.unreachable })?;
    results.print_unreachable(cx)?;
    Ok(if results.unreachable.is_empty() { Exit::Done } else { Exit::Unreachable })
}

fn to_table(hosts: &[&Status]) -> Table {
    let header =
        &["HOST", "STATE", "ZONE", "REGION", "APPLIED", "LOG", "SERVICES", "RANGES", "RUN"];
    let mut table = Table::new(header);
    for status in hosts {
        let log = if status.log_reachable { "up" } else { "down" };
        table.add_row(vec![
            status.host.to_string(),
            status.state.to_string(),
            status.zone.to_string(),
            status.region.to_string(),
            status.applied.to_string(),
            log.to_owned(),
            status.services.to_string(),
            status.ranges_held.to_string(),
            status.incarnation.to_string(),
        ]);
    }
    table
}
