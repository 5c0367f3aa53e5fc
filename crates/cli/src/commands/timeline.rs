//! `timeline`: shows the events of all hosts in causal order.

use crate::args::Args;
use crate::commands::{Command, explain, files};
use crate::context::{Context, Format};
use crate::errors::{CliError, UsageError};
use crate::exit::Exit;
use crate::fleet::{self, FleetResults, Target, UnreachableHost};
use async_io::Timer;
use futures_lite::future;
use skylarkdock_admin::explain::{KeyExplanation, KeyParams};
use skylarkdock_admin::methods;
use skylarkdock_admin::status::{EventsParams, EventsResult};
use skylarkdock_hostlog::decisions;
use skylarkdock_timeline::filter::Filter;
use skylarkdock_timeline::{Event, html, merge};
use skylarkdock_units::ids::Incarnation;
use skylarkdock_units::times::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Instant;

/// Definition of the command.
pub const COMMAND: Command = Command {
    name: "timeline",
    summary: "shows the events of all hosts in causal order",
    help: HELP,
    run,
};

const HELP: &str = "Shows the events of all hosts in one list, with each cause before its effects.

Usage: skylarkdock timeline [OPTIONS]
       skylarkdock timeline --logs FILE[,FILE...] [--service S] [--key N] [--host-name H] [--topic T]

With --logs, the events are read from log files of skylarkdock-host instead of the hosts, and a topic
is the word before the colon of a message, for example owners or store.

With --output json, each event is one line. Exits with 4 if a host returns no result.

Options:
  --service SERVICE  only events about the service
  --range RANGE      only events about the range, for example orders/7
  --key KEY          only events about the key's range; needs --service
  --host-name HOST   only events of that host
  --topic TOPIC      only events about process, record, lease, upstream, host, log or request
  --from MS          only events from that time, in Unix milliseconds
  --to MS            only events up to that time
  --html FILE        writes a chart to an HTML file
  --follow           continues to show new events as they occur
  --for SPAN         stops after this time; implies --follow
  --logs FILE[,...]  log files of any hosts; - is standard input

Examples:
  skylarkdock timeline --service orders --key customer-17
  skylarkdock timeline --follow --topic lease
  skylarkdock timeline --html night.html
  skylarkdock timeline --logs host-1.log,host-2.log --topic owners --key 4711";

const MAX_EVENTS_PER_PAGE: u32 = 2000;
/// Maximum number of pages requested from a host before the events are printed.
const MAX_PAGES: u32 = 50;
const POLL_INTERVAL_MS: Millis = Millis(500);
const FOLLOW_TIMEOUT_MS: Millis = Millis(1000);

struct Options {
    filter: Filter,
    key: Option<String>,
    html: Option<PathBuf>,
    follow: bool,
    follow_duration: Option<Millis>,
}

fn run(cx: &mut Context<'_>, mut args: Args) -> Result<Exit, CliError> {
    let logs: Option<String> = args.option("--logs")?;
    if let Some(logs) = logs {
        return show_log_lines(cx, args, &logs);
    }
    let mut options = parse(args)?;
    if let Some(key) = options.key.take() {
        options.filter = key_filter(cx, key, options.filter)?;
    }
    let mut cursors = EventCursors::new();
    let (events, unreachable) = fetch(cx, &options.filter, &mut cursors)?;
    print_unreachable(cx, &unreachable)?;
    match &options.html {
        Some(path) => write_html(path, &events)?,
        None => print_events(cx, &events)?,
    }
    if options.follow {
        follow(cx, &options, cursors, unreachable)?;
        return Ok(Exit::Done);
    }
    Ok(if unreachable.is_empty() { Exit::Done } else { Exit::Unreachable })
}

/// Prints the decisions that log lines of hosts contain.
fn show_log_lines(cx: &mut Context<'_>, mut args: Args, logs: &str) -> Result<Exit, CliError> {
    let filter = decisions::Filter {
        service: args.option("--service")?,
        host: args.option("--host-name")?,
        topic: args.option("--topic")?,
        key: args.option("--key")?,
    };
    args.finish(&[], 0)?;
    let lines = files::read_logs(logs)?;
    for line in decisions::select(&lines, &filter) {
        match cx.format {
            Format::Text => writeln!(cx.out, "{line}")?,
            Format::Json => writeln!(cx.out, "{}", explain::line_json(line))?,
        }
    }
    Ok(Exit::Done)
}

fn write_html(path: &Path, events: &[Event]) -> Result<(), CliError> {
    let written = std::fs::write(path, html::render(events));
    written.map_err(|source| CliError::File { path: path.to_owned(), source })
}

/// Polls for new events and prints them, for the duration in the options or without end.
fn follow(
    cx: &mut Context<'_>,
    options: &Options,
    mut cursors: EventCursors,
    mut unreachable: Vec<UnreachableHost>,
) -> Result<(), CliError> {
    let deadline =
        options.follow_duration.map(|follow_duration| Instant::now() + follow_duration.duration());
    // Limits how long a host that does not respond delays the events of the others.
    cx.client.limit_timeout(FOLLOW_TIMEOUT_MS);
    loop {
        future::block_on(Timer::after(POLL_INTERVAL_MS.duration()));
        let (events, now_unreachable) = match fetch(cx, &options.filter, &mut cursors) {
            Err(error @ CliError::Call { .. }) => {
                cx.note(&format_args!(
                    "could not query the hosts: {:#}",
                    eyre::Report::new(error)
                ))?;
                (Vec::new(), unreachable.clone())
            }
            result => result?,
        };
        if now_unreachable != unreachable {
            print_unreachable(cx, &now_unreachable)?;
            unreachable = now_unreachable;
        }
        print_events(cx, &events)?;
        if deadline.is_some_and(|deadline| Instant::now() >= deadline) {
            return Ok(());
        }
    }
}

fn parse(mut args: Args) -> Result<Options, UsageError> {
    let filter = Filter {
        service: args.option("--service")?,
        range: args.option("--range")?,
        host: args.option("--host-name")?,
        topic: args.option("--topic")?,
        from: args.option("--from")?,
        to: args.option("--to")?,
    };
    let follow_duration = args.option("--for")?;
    let follow = args.flag("--follow") || follow_duration.is_some();
    let (key, html) = (args.option("--key")?, args.option("--html")?);
    args.finish(&[], 0)?;
    if key.is_some() && filter.range.is_some() {
        return Err(UsageError::MutuallyExclusive("--key", "--range"));
    }
    if html.is_some() && follow {
        return Err(UsageError::MutuallyExclusive("--html", "--follow"));
    }
    if key.is_some() && filter.service.is_none() {
        return Err(UsageError::MissingArgument("--service SERVICE, which --key needs"));
    }
    Ok(Options { filter, key, html, follow, follow_duration })
}

/// Restricts the filter to the range that contains the key.
fn key_filter(cx: &Context<'_>, key: String, filter: Filter) -> Result<Filter, CliError> {
    let Some(service) = filter.service.clone() else { return Ok(filter) };
    let params = KeyParams { service, key };
    let call = cx.client.call_any(cx.hosts()?, methods::EXPLAIN_KEY, &params);
    let explanation: KeyExplanation = future::block_on(call)?;
    Ok(Filter { range: Some(explanation.range), ..filter })
}

/// Incarnation of the host at each address and the sequence number of its last event that was fetched.
type EventCursors = BTreeMap<SocketAddr, (Incarnation, u64)>;

/// Fetches the events after `cursors` from all hosts and advances the cursors.
fn fetch(
    cx: &Context<'_>,
    filter: &Filter,
    cursors: &mut EventCursors,
) -> Result<(Vec<Event>, Vec<UnreachableHost>), CliError> {
    let mut pending = fleet::discover(cx)?;
    let mut event_lists = Vec::new();
    let mut results = FleetResults::default();
    for _ in 0..MAX_PAGES {
        if pending.is_empty() {
            break;
        }
        let calls = pending.drain(..).map(|target| {
            let params = page_params(cursors, &target, filter);
            (target, params)
        });
        for (target, result) in fleet::query_each(cx, calls.collect(), methods::EVENTS) {
            if let Ok(page) = &result
                && add_page(cursors, &target, page, &mut event_lists)
            {
                pending.push(target.clone());
            }
            results.add(target, result, |result: &EventsResult| &result.host);
        }
    }
    Ok((merge::merge(event_lists), results.finish().unreachable))
}

fn page_params(cursors: &EventCursors, target: &Target, filter: &Filter) -> EventsParams {
    let since_seq = cursors.get(&target.addr).map_or(0, |(_, seq)| *seq);
    EventsParams { since_seq, limit: MAX_EVENTS_PER_PAGE, filter: filter.clone() }
}

/// Adds the events of a page and advances the cursor. Returns whether another page must be requested.
fn add_page(
    cursors: &mut EventCursors,
    target: &Target,
    result: &EventsResult,
    event_lists: &mut Vec<Vec<Event>>,
) -> bool {
    let previous = cursors.insert(target.addr, (result.incarnation, result.page.last));
    let (incarnation, since) = previous.unwrap_or((result.incarnation, 0));
    if incarnation != result.incarnation {
        // The host was restarted, and its sequence numbers begin again.
        cursors.insert(target.addr, (result.incarnation, 0));
        return true;
    }
    let has_more =
        result.page.events.len() >= MAX_EVENTS_PER_PAGE as usize && result.page.last > since;
    event_lists.push(result.page.events.clone());
    has_more
}

fn print_unreachable(
    cx: &mut Context<'_>,
    unreachable: &[UnreachableHost],
) -> Result<(), CliError> {
    for host in unreachable {
        cx.note(host)?;
    }
    Ok(())
}

fn print_events(cx: &mut Context<'_>, events: &[Event]) -> Result<(), CliError> {
    for event in events {
        match cx.format {
            Format::Text => writeln!(cx.out, "{event}")?,
            Format::Json => writeln!(cx.out, "{}", serde_json::to_string(event)?)?,
        }
    }
    cx.out.flush()?;
    Ok(())
}
