//! `records`: lists the routing records in force, or prints one of them.

use crate::args::Args;
use crate::commands::Command;
use crate::context::Context;
use crate::errors::{CliError, UsageError};
use crate::exit::Exit;
use crate::table::{self, Table};
use futures_lite::future;
use skylarkdock_admin::envelope::NoParams;
use skylarkdock_admin::methods;
use skylarkdock_admin::records::RecordRow;
use skylarkdock_units::ids::ServiceName;

/// Definition of the command.
pub const COMMAND: Command =
    Command { name: "records", summary: "lists the routing records in force", help: HELP, run };

const HELP: &str = "Lists the routing records in force, or prints the whole record of one service.

Usage: skylarkdock records [SERVICE]

Examples:
  skylarkdock records
  skylarkdock records orders > orders.json";

fn run(cx: &mut Context<'_>, args: Args) -> Result<Exit, CliError> {
    let service = args.finish(&[], 1)?.pop();
    let service: Option<ServiceName> = service
        .map(|service| service.parse())
        .transpose()
        .map_err(|source| UsageError::Argument { name: "SERVICE", source })?;
    let call = cx.client.call_any(cx.hosts()?, methods::RECORDS, &NoParams {});
    let rows: Vec<RecordRow> = future::block_on(call)?;
    match service {
        Some(service) => print_record(cx, &rows, service)?,
        None => cx.print(&to_table(&rows), &rows)?,
    }
    Ok(Exit::Done)
}

fn print_record(
    cx: &mut Context<'_>,
    rows: &[RecordRow],
    service: ServiceName,
) -> Result<(), CliError> {
    let Some(row) = rows.iter().find(|row| row.service == service) else {
        return Err(CliError::NoRecord(service));
    };
    let by = table::printable(&row.by);
    cx.note(&format_args!("{service} revision {} by {by}", row.revision))?;
    cx.print(&serde_json::to_string_pretty(&row.record)?, row)
}

fn to_table(rows: &[RecordRow]) -> Table {
    let mut table = Table::new(&["SERVICE", "REVISION", "SCHEMA", "UNREADABLE", "BY"]);
    for row in rows {
        table.add_row(vec![
            row.service.to_string(),
            row.revision.to_string(),
            row.schema.to_string(),
            table::or_dash(row.unreadable_since.as_ref()),
            table::printable(&row.by),
        ]);
    }
    table
}
