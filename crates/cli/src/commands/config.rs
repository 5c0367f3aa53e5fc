//! `config`: checks a configuration of the platform's operators without publishing it.

use crate::args::Args;
use crate::commands::{Command, files};
use crate::context::Context;
use crate::errors::{CliError, UsageError};
use crate::exit::Exit;
use futures_lite::future;
use serde::Serialize;
use skylarkdock_edge::changes::{self, Change};
use skylarkdock_edge::view::Config;
use skylarkdock_platform::{config as wire, store};
use std::net::SocketAddr;

/// The command.
pub const COMMAND: Command = Command {
    name: "config",
    summary: "checks a configuration of the platform and tells what it changes",
    help: HELP,
    run,
};

const HELP: &str =
    "Checks a configuration of the platform as the hosts would read it, and tells what it
changes in the one in force.

Usage: skylarkdock config FILE [--against FILE | --store IP:PORT]

Exits with 1 if hosts would not take it over or a route sends to a service that is not listed.

Options:
  --against FILE   the configuration in force, from a file
  --store IP:PORT  reads the one in force from the platform's store

Examples:
  skylarkdock config next.json --against running.json
  skylarkdock config - --store 10.200.1.7:8642 < next.json";

#[derive(Serialize)]
struct Report {
    version: u64,
    routes: usize,
    services: usize,
    faults: Vec<String>,
    changes: Vec<String>,
}

fn run(cx: &mut Context<'_>, mut args: Args) -> Result<Exit, CliError> {
    let against: Option<String> = args.option("--against")?;
    let addr: Option<SocketAddr> = args.option("--store")?;
    if against.is_some() && addr.is_some() {
        return Err(UsageError::Exclusive("--against", "--store").into());
    }
    let file = args.finish(&["FILE"], 1)?.remove(0);
    let offered = match read(&file)? {
        Ok(offered) => offered,
        Err(fault) => {
            let text = format!("hosts would not take it over\n  {fault}");
            cx.print(&text, &fault)?;
            return Ok(Exit::Failed);
        }
    };
    let running = match (against, addr) {
        (Some(file), _) => read(&file)?.ok(),
        (None, Some(addr)) => {
            let read = future::block_on(store::running_config(addr));
            Some(read.map_err(|source| CliError::Store { addr, source })?)
        }
        (None, None) => None,
    };
    let mut found = changes::faults(&offered);
    found.extend(running.iter().flat_map(|running| changes::diff(running, &offered)));
    let report = report(&offered, &found);
    cx.print(&text(&report, running.is_some()), &report)?;
    Ok(if report.faults.is_empty() { Exit::Done } else { Exit::Failed })
}

/// Reads a configuration; the inner error says what hosts could not read.
fn read(file: &str) -> Result<Result<Config, String>, CliError> {
    let text = files::read_text(file)?;
    Ok(wire::parse(text.as_bytes()).map_err(|fault| fault.to_string()))
}

fn report(offered: &Config, found: &[Change]) -> Report {
    let texts = |is_fault: bool| {
        let wanted = found.iter().filter(|change| change.is_fault() == is_fault);
        wanted.map(ToString::to_string).collect()
    };
    Report {
        version: offered.version,
        routes: offered.routes.len(),
        services: offered.services.len(),
        faults: texts(true),
        changes: texts(false),
    }
}

fn text(report: &Report, has_running: bool) -> String {
    let Report { version, routes, services, faults, changes } = report;
    let mut lines = vec![format!("version {version}: {routes} routes, {services} services")];
    lines.extend(faults.iter().map(|fault| format!("  fault: {fault}")));
    lines.extend(changes.iter().map(|change| format!("  {change}")));
    if has_running && faults.is_empty() && changes.is_empty() {
        lines.push("  changes nothing".to_owned());
    }
    lines.join("\n")
}
