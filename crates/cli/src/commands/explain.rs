//! `explain`: shows who serves a key, or the outcome of a request, and why.

use crate::args::Args;
use crate::commands::{Command, files};
use crate::context::Context;
use crate::errors::{CliError, UsageError};
use crate::exit::Exit;
use crate::fleet::{self, FleetResults, UnreachableHost};
use crate::table::or_dash;
use futures_lite::future;
use serde::Serialize;
use serde_json::{Value, json};
use skylarkdock_admin::explain::{
    KeyExplanation, KeyParams, RequestExplanation, RequestOutcome, RequestParams,
};
use skylarkdock_admin::methods;
use skylarkdock_hostlog::explanation::{self, Explanation, Outcome};
use skylarkdock_hostlog::line::Line;
use skylarkdock_timeline::Event;
use skylarkdock_units::requests::RequestId;

/// Definition of the command.
pub const COMMAND: Command = Command {
    name: "explain",
    summary: "shows who serves a key, or the outcome of a request, and why",
    help: HELP,
    run,
};

const HELP: &str = "Shows who serves a key, or the outcome of a request, and why.

Usage: skylarkdock explain SERVICE KEY
       skylarkdock explain REQUEST-ID
       skylarkdock explain REQUEST-ID --logs FILE[,FILE...]

The outcome of a request is queried from all hosts. With --logs, it is read from log files of
skylarkdock-host instead, with its causes and the related decisions of the hosts.

Exits with 3 if the request may have been run, with 4 if no host has a trace of it and at least one
did not respond, and with 1 if no host has a trace of it.

Options:
  --logs FILE[,FILE...]  log files of any hosts; - is standard input

Examples:
  skylarkdock explain orders customer-17
  skylarkdock explain 4f1278b9752c8120 --logs host-1.log,host-2.log
  skylarkdock explain 019ae7a4-5c00-7000-8000-000000000000";

fn run(cx: &mut Context<'_>, mut args: Args) -> Result<Exit, CliError> {
    let logs: Option<String> = args.option("--logs")?;
    if let Some(logs) = logs {
        let id = args.finish(&["REQUEST-ID"], 1)?.remove(0);
        return explain_from_logs(cx, &id, &logs);
    }
    let mut positional = args.finish(&["SERVICE KEY or REQUEST-ID"], 2)?;
    let first = positional.remove(0);
    match positional.pop() {
        Some(key) => {
            let service = first.parse();
            let service =
                service.map_err(|source| UsageError::Argument { name: "SERVICE", source })?;
            explain_key(cx, &KeyParams { service, key })
        }
        None => {
            let id = first.parse();
            let id = id.map_err(|source| UsageError::Argument { name: "REQUEST-ID", source })?;
            explain_request(cx, id)
        }
    }
}

fn explain_key(cx: &mut Context<'_>, params: &KeyParams) -> Result<Exit, CliError> {
    let call = cx.client.call_any(cx.hosts()?, methods::EXPLAIN_KEY, params);
    let explanation: KeyExplanation = future::block_on(call)?;
    cx.print(&key_text(&explanation), &explanation)?;
    Ok(Exit::Done)
}

fn key_text(key: &KeyExplanation) -> String {
    let members: Vec<String> = key.members.iter().map(ToString::to_string).collect();
    let lines = [
        format!("hash      {}", key.hash),
        format!("range     {}", key.range),
        format!(
            "upstream  {}{}",
            or_dash(key.upstream.as_ref()),
            if key.hot { " (hot)" } else { "" }
        ),
        format!("since     {}", or_dash(key.since.as_ref())),
        format!("holder    {}", or_dash(key.holder.as_ref())),
        format!("epoch     {}", or_dash(key.epoch.as_ref())),
        format!("members   {}", members.join(",")),
    ];
    lines.join("\n") + &event_lines(&key.why)
}

fn event_lines(events: &[Event]) -> String {
    events.iter().map(|event| format!("\n  {event}")).collect()
}

/// Explains a request from log lines of hosts.
fn explain_from_logs(cx: &mut Context<'_>, id: &str, logs: &str) -> Result<Exit, CliError> {
    let lines = files::read_logs(logs)?;
    let Some(explanation) = explanation::explain(&lines, id) else {
        let held_back = explanation::held_back(&lines);
        let text = format!(
            "no line names {id}; {} lines were read, and the hosts held back {held_back}",
            lines.len()
        );
        cx.print(&text, &json!({"fate": null, "read": lines.len(), "held_back": held_back}))?;
        return Ok(Exit::Failed);
    };
    cx.print(&explanation.to_string(), &explanation_json(&explanation))?;
    Ok(if explanation.outcome == Outcome::Unknown { Exit::Unknown } else { Exit::Done })
}

fn explanation_json(explanation: &Explanation<'_>) -> Value {
    let lines = |lines: &[&Line]| lines.iter().map(|line| line_json(line)).collect::<Vec<Value>>();
    json!({
        "fate": match explanation.outcome {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
        },
        "lines": lines(&explanation.lines),
        "causes": explanation.causes,
        "around": lines(&explanation.related),
    })
}

/// Converts a log line to JSON.
pub(crate) fn line_json(line: &Line) -> Value {
    json!({
        "at": line.at.to_string(), "host": line.host, "level": line.level, "message": line.message,
        "fields": line.fields,
    })
}

#[derive(Serialize)]
struct RequestReport<'a> {
    id: RequestId,
    traces: Vec<&'a RequestExplanation>,
    unreachable: &'a [UnreachableHost],
}

fn explain_request(cx: &mut Context<'_>, id: RequestId) -> Result<Exit, CliError> {
    let targets = fleet::discover(cx)?;
    let params = RequestParams { id };
    let results: FleetResults<RequestExplanation> =
        fleet::query_all(cx, targets, methods::EXPLAIN_REQUEST, &params, |explanation| {
            &explanation.host
        });
    let traces: Vec<&RequestExplanation> = results
        .by_host
        .values()
        .filter(|explanation| explanation.outcome != RequestOutcome::NoTrace)
        .collect();
    let exit = request_exit(&traces, &results.unreachable);
    let text = request_text(&traces, results.by_host.len());
    cx.print(&text, &RequestReport { id, traces, unreachable: &results.unreachable })?;
    results.print_unreachable(cx)?;
    Ok(exit)
}

fn request_exit(traces: &[&RequestExplanation], unreachable: &[UnreachableHost]) -> Exit {
    let outcome_known = |trace: &&RequestExplanation| {
        matches!(trace.outcome, RequestOutcome::Answered { .. } | RequestOutcome::NotRun { .. })
    };
    match (traces.is_empty(), unreachable.is_empty()) {
        (true, false) => Exit::Unreachable,
        (true, true) => Exit::Failed,
        (false, _) if traces.iter().any(outcome_known) => Exit::Done,
        (false, _)
            if traces
                .iter()
                .any(|trace| matches!(trace.outcome, RequestOutcome::Unknown { .. })) =>
        {
            Exit::Unknown
        }
        (false, _) => Exit::Done,
    }
}

fn request_text(traces: &[&RequestExplanation], host_count: usize) -> String {
    if traces.is_empty() {
        return format!("no trace on {host_count} hosts, which does not tell whether it was run");
    }
    let lines = traces.iter().map(|trace| {
        let range = trace.range.as_ref().map(|range| format!(" ({range})")).unwrap_or_default();
        let outcome = outcome_text(&trace.outcome);
        format!("{}: {outcome}{range}{}", trace.host, event_lines(&trace.why))
    });
    lines.collect::<Vec<String>>().join("\n")
}

fn outcome_text(outcome: &RequestOutcome) -> String {
    match outcome {
        RequestOutcome::NoTrace => "no trace".to_owned(),
        RequestOutcome::Running { upstream } => {
            format!("waits or runs, upstream {}", or_dash(upstream.as_ref()))
        }
        RequestOutcome::Answered { status, upstream } => {
            format!("answered {status} by {upstream}")
        }
        RequestOutcome::NotRun { reason } => format!("not run: {reason}"),
        RequestOutcome::Unknown { upstream } => {
            format!("may have been run, upstream {}", or_dash(upstream.as_ref()))
        }
    }
}
