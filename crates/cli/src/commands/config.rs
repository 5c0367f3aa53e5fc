//! `config`: validates a configuration of the platform and compares it with the one in force.

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

/// Definition of the command.
pub const COMMAND: Command = Command {
    name: "config",
    summary: "validates a configuration of the platform and shows its changes",
    help: HELP,
    run,
};

const HELP: &str =
    "Validates a configuration of the platform as the hosts would, and shows its changes to the one in
force.

Usage: skylarkdock config FILE [--against FILE | --store IP:PORT]

Exits with 1 if hosts would not apply it or a route refers to a service that is not listed.

Options:
  --against FILE   reads the configuration in force from a file
  --store IP:PORT  reads it from the platform's store

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
    let store_addr: Option<SocketAddr> = args.option("--store")?;
    if against.is_some() && store_addr.is_some() {
        return Err(UsageError::MutuallyExclusive("--against", "--store").into());
    }
    let file = args.finish(&["FILE"], 1)?.remove(0);
    let candidate = match read_config(&file)? {
        Ok(candidate) => candidate,
        Err(fault) => {
            let text = format!("hosts would not take it over\n  {fault}");
            cx.print(&text, &fault)?;
            return Ok(Exit::Failed);
        }
    };
    let running = match (against, store_addr) {
        (Some(file), _) => read_config(&file)?.ok(),
        (None, Some(addr)) => {
            let result = future::block_on(store::running_config(addr));
            Some(result.map_err(|source| CliError::Store { addr, source })?)
        }
        (None, None) => None,
    };
    let mut changes_found = changes::faults(&candidate);
    changes_found.extend(running.iter().flat_map(|running| changes::diff(running, &candidate)));
    let report = build_report(&candidate, &changes_found);
    cx.print(&report_text(&report, running.is_some()), &report)?;
    Ok(if report.faults.is_empty() { Exit::Done } else { Exit::Failed })
}

/// Reads a configuration. The inner error describes why hosts would not apply it.
fn read_config(file: &str) -> Result<Result<Config, String>, CliError> {
    let text = files::read_text(file)?;
    Ok(wire::parse(text.as_bytes()).map_err(|fault| fault.to_string()))
}

fn build_report(candidate: &Config, changes: &[Change]) -> Report {
    let texts = |is_fault: bool| {
        let selected = changes.iter().filter(|change| change.is_fault() == is_fault);
        selected.map(ToString::to_string).collect()
    };
    Report {
        version: candidate.version,
        routes: candidate.routes.len(),
        services: candidate.services.len(),
        faults: texts(true),
        changes: texts(false),
    }
}

fn report_text(report: &Report, has_running: bool) -> String {
    let Report { version, routes, services, faults, changes } = report;
    let mut lines = vec![format!("version {version}: {routes} routes, {services} services")];
    lines.extend(faults.iter().map(|fault| format!("  fault: {fault}")));
    lines.extend(changes.iter().map(|change| format!("  {change}")));
    if has_running && faults.is_empty() && changes.is_empty() {
        lines.push("  changes nothing".to_owned());
    }
    lines.join("\n")
}
