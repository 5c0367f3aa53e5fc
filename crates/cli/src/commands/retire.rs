//! `retire`: retires a service's routing record.

use crate::args::Args;
use crate::commands::{Command, publish, verdicts};
use crate::context::Context;
use crate::errors::{CliError, UsageError};
use crate::exit::Exit;
use skylarkdock_admin::methods;
use skylarkdock_admin::records::RetireParams;
use skylarkdock_units::requests::RecordId;
use skylarkdock_units::times::Millis;
use uuid::Uuid;

/// Definition of the command.
pub const COMMAND: Command =
    Command { name: "retire", summary: "retires a service's routing record", help: HELP, run };

const HELP: &str = "Retires a service's routing record. Requests for the service are then refused.

Usage: skylarkdock retire SERVICE --basis N [OPTIONS]

Options:
  --basis N          revision of the record to retire
  --by NAME          name of the operator [SKYLARKDOCK_BY, USER]
  --id UUID          id of an earlier attempt
  --wait             waits until it is retired on all hosts
  --wait-limit SPAN  timeout of --wait; implies it [30s]

Examples:
  skylarkdock retire orders --basis 42 --by ana --wait";

fn run(cx: &mut Context<'_>, args: Args) -> Result<Exit, CliError> {
    let (params, wait) = parse(args, cx.operator.clone(), cx.client.timeout())?;
    let verdict = verdicts::submit(cx, methods::RETIRE, &params, params.id)?;
    publish::finish(cx, &verdict, wait)
}

fn parse(
    mut args: Args,
    operator: Option<String>,
    wait_ms: Millis,
) -> Result<(RetireParams, Option<Millis>), UsageError> {
    let basis = args.option("--basis")?.ok_or(UsageError::MissingArgument("--basis N"))?;
    let by = args.option("--by")?.or(operator).ok_or(UsageError::MissingArgument("--by NAME"))?;
    let id = args.option("--id")?.unwrap_or_else(|| RecordId(Uuid::new_v4()));
    let wait = publish::parse_wait(&mut args)?;
    let service = args.finish(&["SERVICE"], 1)?.remove(0);
    let service =
        service.parse().map_err(|source| UsageError::Argument { name: "SERVICE", source })?;
    Ok((RetireParams { service, basis, by, id, wait_ms }, wait))
}
