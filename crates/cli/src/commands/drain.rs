//! `drain`: drains a host, so that it stops without aborting requests.

use crate::args::Args;
use crate::commands::Command;
use crate::context::Context;
use crate::errors::{CliError, UsageError};
use crate::exit::Exit;
use crate::fleet;
use futures_lite::future;
use serde::Serialize;
use skylarkdock_admin::envelope::{Done, NoParams};
use skylarkdock_admin::methods;
use skylarkdock_units::ids::HostId;
use skylarkdock_units::times::Millis;

/// Definition of the command.
pub const COMMAND: Command = Command {
    name: "drain",
    summary: "drains a host, so that it stops without aborting requests",
    help: HELP,
    run,
};

const HELP: &str = "Drains a host: it hands over its ranges, completes its requests and stops.

Usage: skylarkdock drain HOST

HOST is the name of an entry host as `skylarkdock hosts` shows it.

Examples:
  skylarkdock drain host-3 --host 10.0.0.1:8100";

#[derive(Serialize)]
struct DrainReport {
    draining: HostId,
}

fn run(cx: &mut Context<'_>, args: Args) -> Result<Exit, CliError> {
    let host = args.finish(&["HOST"], 1)?.remove(0);
    let host: HostId =
        host.parse().map_err(|source| UsageError::Argument { name: "HOST", source })?;
    let targets = fleet::discover(cx)?;
    let target = targets.iter().find(|target| target.name.as_ref() == Some(&host));
    let Some(target) = target else {
        return Err(CliError::UnknownHost(host));
    };
    let call = cx.client.call(target.addr, methods::DRAIN, &NoParams {}, Millis(0));
    let result: Result<Done, _> = future::block_on(call);
    result.map_err(|source| CliError::Call { addr: target.addr, source })?;
    cx.print(&format_args!("{host} drains"), &DrainReport { draining: host.clone() })?;
    Ok(Exit::Done)
}
