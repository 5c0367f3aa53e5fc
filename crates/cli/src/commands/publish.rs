//! `publish`: publishes a routing record.

use crate::args::Args;
use crate::commands::{Command, files, rollout, verdicts};
use crate::context::{Context, Format};
use crate::errors::{CliError, UsageError};
use crate::exit::Exit;
use skylarkdock_admin::methods;
use skylarkdock_admin::records::{NO_BASIS, PublishParams};
use skylarkdock_admin::verdict::Verdict;
use skylarkdock_units::ids::Offset;
use skylarkdock_units::requests::RecordId;
use skylarkdock_units::times::Millis;
use uuid::Uuid;

/// Definition of the command.
pub const COMMAND: Command =
    Command { name: "publish", summary: "publishes a routing record", help: HELP, run };

const HELP: &str = "Publishes a routing record.

Usage: skylarkdock publish FILE [OPTIONS]

FILE contains the record as JSON; - is standard input. --basis is the revision that the record
replaces. The record is refused if another revision is in force.

Options:
  --basis N          revision that the record replaces
  --create           the service has no record yet; default without --basis
  --by NAME          name of the operator [SKYLARKDOCK_BY, USER]
  --id UUID          id of an earlier attempt, so that the record is not published twice
  --wait             waits until the record is in force on all hosts
  --wait-limit SPAN  timeout of --wait; implies it [30s]

Examples:
  skylarkdock publish orders.json --create --by ana
  skylarkdock publish orders.json --basis 42 --wait";

struct Options {
    file: String,
    basis: Offset,
    by: String,
    id: RecordId,
    wait: Option<Millis>,
}

fn run(cx: &mut Context<'_>, args: Args) -> Result<Exit, CliError> {
    let options = parse(args, cx.operator.clone())?;
    let record = files::read_json(&options.file)?;
    let Options { basis, by, id, wait, .. } = options;
    let wait_ms = cx.client.timeout();
    let params = PublishParams { record, basis, by, id, wait_ms };
    let verdict = verdicts::submit(cx, methods::PUBLISH, &params, id)?;
    finish(cx, &verdict, wait)
}

/// Prints the verdict. If the record was accepted and `wait` is given, waits until it is in force.
pub(crate) fn finish(
    cx: &mut Context<'_>,
    verdict: &Verdict,
    wait: Option<Millis>,
) -> Result<Exit, CliError> {
    let (Verdict::Accepted { offset }, Some(limit)) = (verdict, wait) else {
        return verdicts::print(cx, verdict);
    };
    if cx.format == Format::Text {
        verdicts::print(cx, verdict)?;
    }
    rollout::wait(cx, *offset, limit)
}

fn parse(mut args: Args, operator: Option<String>) -> Result<Options, UsageError> {
    let basis = args.option::<Offset>("--basis")?;
    let create = args.flag("--create");
    if create && basis.is_some() {
        return Err(UsageError::MutuallyExclusive("--basis", "--create"));
    }
    let by = args.option("--by")?.or(operator).ok_or(UsageError::MissingArgument("--by NAME"))?;
    let id = args.option("--id")?.unwrap_or_else(|| RecordId(Uuid::new_v4()));
    let wait = parse_wait(&mut args)?;
    let file = args.finish(&["FILE"], 1)?.remove(0);
    Ok(Options { file, basis: basis.unwrap_or(NO_BASIS), by, id, wait })
}

/// Parses `--wait` and `--wait-limit`. Returns the timeout, or `None` if the command does not wait.
pub(crate) fn parse_wait(args: &mut Args) -> Result<Option<Millis>, UsageError> {
    let limit = args.option("--wait-limit")?;
    let wait = args.flag("--wait") || limit.is_some();
    Ok(wait.then(|| limit.unwrap_or(rollout::DEFAULT_WAIT_LIMIT_MS)))
}
