//! `timeline`: shows the events of all hosts in one list.

use crate::args::Args;
use crate::commands::{Command, explain, files};
use crate::context::{Context, Format};
use crate::errors::{CliError, UsageError};
use crate::exit::Exit;
use crate::fleet::{self, Answers, Missed, Target};
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

/// The command.
pub const COMMAND: Command = Command {
    name: "timeline",
    summary: "shows the events of all hosts in one list",
    help: HELP,
    run,
};

const HELP: &str = "Shows the events of all hosts in one list, causes before their effects.

Usage: skylarkdock timeline [OPTIONS]
       skylarkdock timeline --logs FILE[,FILE...] [--service S] [--key N] [--host-name H] [--topic T]

With --logs the lines that skylarkdock-host wrote are read instead of asking hosts, and a topic is
the word before the colon of a line, for example owners or store. With --output json each event is one line. Exits with 4 if a host does not answer.

Options:
  --service SERVICE  only events about the service
  --range RANGE      only events about the range, for example orders/7
  --key KEY          only events about the key's range; needs --service
  --host-name HOST   only events of that host
  --topic TOPIC      only events about process, record, lease, upstream, host, log or request
  --from MS          only events from that time, in Unix milliseconds
  --to MS            only events up to that time
  --html FILE        writes a picture as a page of its own
  --follow           goes on showing events as they come
  --for SPAN         ends following after that time
  --logs FILE[,...]  files with log lines of any hosts; - stands for standard input

Examples:
  skylarkdock timeline --service orders --key customer-17
  skylarkdock timeline --follow --topic lease
  skylarkdock timeline --html night.html
  skylarkdock timeline --logs host-1.log,host-2.log --topic owners --key 4711";

const PAGE_EVENTS: u32 = 2000;
/// Pages asked of one host before what came is shown.
const MAX_PAGES: u32 = 50;
const POLL_MS: Millis = Millis(500);
const FOLLOW_TIMEOUT_MS: Millis = Millis(1000);

struct Options {
    filter: Filter,
    key: Option<String>,
    html: Option<PathBuf>,
    follow: bool,
    span: Option<Millis>,
}

fn run(cx: &mut Context<'_>, mut args: Args) -> Result<Exit, CliError> {
    let logs: Option<String> = args.option("--logs")?;
    if let Some(logs) = logs {
        return show_logged(cx, args, &logs);
    }
    let mut options = parse(args)?;
    if let Some(key) = options.key.take() {
        options.filter = key_filter(cx, key, options.filter)?;
    }
    let mut places = Places::new();
    let (events, missed) = fetch(cx, &options.filter, &mut places)?;
    name_missed(cx, &missed)?;
    match &options.html {
        Some(path) => write_page(path, &events)?,
        None => print(cx, &events)?,
    }
    if options.follow {
        follow(cx, &options, places, missed)?;
        return Ok(Exit::Done);
    }
    Ok(if missed.is_empty() { Exit::Done } else { Exit::Unreachable })
}

/// Shows the decisions in log lines of hosts.
fn show_logged(cx: &mut Context<'_>, mut args: Args, logs: &str) -> Result<Exit, CliError> {
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

fn write_page(path: &Path, events: &[Event]) -> Result<(), CliError> {
    let written = std::fs::write(path, html::render(events));
    written.map_err(|source| CliError::File { path: path.to_owned(), source })
}

/// Prints new events until the time given is over.
fn follow(
    cx: &mut Context<'_>,
    options: &Options,
    mut places: Places,
    mut missed: Vec<Missed>,
) -> Result<(), CliError> {
    let end = options.span.map(|span| Instant::now() + span.duration());
    // A host that does not answer must not hold up the events of the others.
    cx.client.limit_timeout(FOLLOW_TIMEOUT_MS);
    loop {
        future::block_on(Timer::after(POLL_MS.duration()));
        let (events, now_missed) = match fetch(cx, &options.filter, &mut places) {
            Err(error @ CliError::Call { .. }) => {
                cx.note(&format_args!("no host answers: {:#}", eyre::Report::new(error)))?;
                (Vec::new(), missed.clone())
            }
            fetched => fetched?,
        };
        if now_missed != missed {
            name_missed(cx, &now_missed)?;
            missed = now_missed;
        }
        print(cx, &events)?;
        if end.is_some_and(|end| Instant::now() >= end) {
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
    let span = args.option("--for")?;
    let follow = args.flag("--follow") || span.is_some();
    let (key, html) = (args.option("--key")?, args.option("--html")?);
    args.finish(&[], 0)?;
    if key.is_some() && filter.range.is_some() {
        return Err(UsageError::Exclusive("--key", "--range"));
    }
    if html.is_some() && follow {
        return Err(UsageError::Exclusive("--html", "--follow"));
    }
    if key.is_some() && filter.service.is_none() {
        return Err(UsageError::Missing("--service SERVICE, which --key needs"));
    }
    Ok(Options { filter, key, html, follow, span })
}

/// Replaces the service by the range that the key falls in.
fn key_filter(cx: &Context<'_>, key: String, filter: Filter) -> Result<Filter, CliError> {
    let Some(service) = filter.service.clone() else { return Ok(filter) };
    let params = KeyParams { service, key };
    let call = cx.client.call_any(cx.hosts()?, methods::EXPLAIN_KEY, &params);
    let explained: KeyExplanation = future::block_on(call)?;
    Ok(Filter { range: Some(explained.range), ..filter })
}

/// Where to go on for each address: the run of its host and the last event number got.
type Places = BTreeMap<SocketAddr, (Incarnation, u64)>;

/// Gets the events that are new since `places` from all hosts.
fn fetch(
    cx: &Context<'_>,
    filter: &Filter,
    places: &mut Places,
) -> Result<(Vec<Event>, Vec<Missed>), CliError> {
    let mut pending = fleet::find(cx)?;
    let mut lists = Vec::new();
    let mut answers = Answers::default();
    for _ in 0..MAX_PAGES {
        if pending.is_empty() {
            break;
        }
        let calls = pending.drain(..).map(|target| {
            let params = next_page(places, &target, filter);
            (target, params)
        });
        for (target, result) in fleet::ask_each(cx, calls.collect(), methods::EVENTS) {
            if let Ok(answer) = &result
                && take_page(places, &target, answer, &mut lists)
            {
                pending.push(target.clone());
            }
            answers.add(target, result, |answer: &EventsResult| &answer.host);
        }
    }
    Ok((merge::merge(lists), answers.finish().missed))
}

fn next_page(places: &Places, target: &Target, filter: &Filter) -> EventsParams {
    let since_seq = places.get(&target.addr).map_or(0, |(_, seq)| *seq);
    EventsParams { since_seq, limit: PAGE_EVENTS, filter: filter.clone() }
}

/// Takes in a page; returns whether to ask for another.
fn take_page(
    places: &mut Places,
    target: &Target,
    answer: &EventsResult,
    lists: &mut Vec<Vec<Event>>,
) -> bool {
    let before = places.insert(target.addr, (answer.incarnation, answer.page.last));
    let (run, since) = before.unwrap_or((answer.incarnation, 0));
    if run != answer.incarnation {
        // The host was started anew and counts from the beginning.
        places.insert(target.addr, (answer.incarnation, 0));
        return true;
    }
    let more = answer.page.events.len() >= PAGE_EVENTS as usize && answer.page.last > since;
    lists.push(answer.page.events.clone());
    more
}

fn name_missed(cx: &mut Context<'_>, missed: &[Missed]) -> Result<(), CliError> {
    for missed in missed {
        cx.note(missed)?;
    }
    Ok(())
}

fn print(cx: &mut Context<'_>, events: &[Event]) -> Result<(), CliError> {
    for event in events {
        match cx.format {
            Format::Text => writeln!(cx.out, "{event}")?,
            Format::Json => writeln!(cx.out, "{}", serde_json::to_string(event)?)?,
        }
    }
    cx.out.flush()?;
    Ok(())
}
