//! `publish`: publishes a routing record.

use crate::args::Args;
use crate::commands::{Command, files, spread, verdicts};
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

/// The command.
pub const COMMAND: Command =
    Command { name: "publish", summary: "publishes a routing record", help: HELP, run };

const HELP: &str = "Publishes a routing record.

Usage: skylarkdock publish FILE [OPTIONS]

FILE is the record as JSON, - for standard input. A record that replaces another names the revision
it was made from; if a third one came in between, it is refused.

Options:
  --basis N          revision that the record replaces
  --create           the service has no record yet; holds when no basis is given
  --by NAME          who publishes [SKYLARKDOCK_BY, USER]
  --id UUID          id of an earlier attempt, which is then never published twice
  --wait             waits until the record is in force on all hosts
  --wait-limit SPAN  longest such wait [30s]

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

/// Prints the verdict and waits for the record to be in force.
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
    spread::wait(cx, *offset, limit)
}

fn parse(mut args: Args, operator: Option<String>) -> Result<Options, UsageError> {
    let basis = args.option::<Offset>("--basis")?;
    let create = args.flag("--create");
    if create && basis.is_some() {
        return Err(UsageError::Exclusive("--basis", "--create"));
    }
    let by = args.option("--by")?.or(operator).ok_or(UsageError::Missing("--by NAME"))?;
    let id = args.option("--id")?.unwrap_or_else(|| RecordId(Uuid::new_v4()));
    let wait = parse_wait(&mut args)?;
    let file = args.finish(&["FILE"], 1)?.remove(0);
    Ok(Options { file, basis: basis.unwrap_or(NO_BASIS), by, id, wait })
}

/// Takes the flags that say whether and how long to wait.
pub(crate) fn parse_wait(args: &mut Args) -> Result<Option<Millis>, UsageError> {
    let limit = args.option("--wait-limit")?;
    let wait = args.flag("--wait") || limit.is_some();
    Ok(wait.then(|| limit.unwrap_or(spread::WAIT_LIMIT_MS)))
}
