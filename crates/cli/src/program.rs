//! Parses the command line and runs the command.

use crate::args::Args;
use crate::client::Client;
use crate::commands::{self, Command};
use crate::context::{Context, Format};
use crate::errors::{CliError, UsageError};
use crate::exit::Exit;
use skylarkdock_units::times::Millis;
use std::ffi::OsString;
use std::io::{self, Write};
use std::net::SocketAddr;

const DEFAULT_TIMEOUT_MS: Millis = Millis(5000);

const INTRO: &str = "skylarkdock: publishes routing records to the router and shows its state

Usage: skylarkdock COMMAND [ARGUMENTS] [OPTIONS]

Commands:";

const OPTIONS: &str = "
Options of all commands:
  --host IP:PORT[,IP:PORT...]  HTTP addresses of hosts to query [SKYLARKDOCK_HOSTS]
                               their access token is read from SKYLARKDOCK_ADMIN_TOKEN
  --output text|json           output format [text]
  --timeout SPAN               timeout of a call, for example 500ms or 5s [5s]
  --help                       prints the help of the program or of a command
  --version                    prints the version

Exit codes:
  0  success
  1  failed or refused
  2  invalid command line
  3  outcome unknown: run settle before trying again
  4  no result from some or all hosts

Examples:
  skylarkdock status --host 10.0.0.1:8100
  skylarkdock publish orders.json --create --wait
  skylarkdock timeline --service orders --follow";

/// Settings from environment variables.
#[derive(Debug, Clone, Default)]
pub struct Env {
    /// Addresses of hosts, in the format of `--host`.
    pub hosts: Option<String>,
    /// Name of the operator.
    pub operator: Option<String>,
    /// Token that authenticates the operator to the hosts.
    pub token: Option<String>,
}

impl Env {
    /// Reads the environment variables of the process.
    pub fn read() -> Self {
        let operator = std::env::var("SKYLARKDOCK_BY").or_else(|_| std::env::var("USER"));
        Self {
            hosts: std::env::var("SKYLARKDOCK_HOSTS").ok(),
            operator: operator.ok(),
            token: std::env::var("SKYLARKDOCK_ADMIN_TOKEN").ok(),
        }
    }
}

/// Runs the program with the arguments that follow its name, and returns its exit status. Errors are printed to
/// `err`, except a broken pipe of `out`.
pub fn run(args: Vec<OsString>, env: Env, out: &mut dyn Write, err: &mut dyn Write) -> Exit {
    let error = match run_command(args, env, out, err) {
        Ok(exit) => return exit,
        Err(error) => error,
    };
    let exit = error.exit();
    if matches!(&error, CliError::Output(e) if e.kind() == io::ErrorKind::BrokenPipe) {
        return exit;
    }
    let hint = if exit == Exit::Usage { "\nsee skylarkdock --help" } else { "" };
    // If standard error can't be written, the failure can't be reported anywhere.
    let _ = writeln!(err, "skylarkdock: {:#}{hint}", eyre::Report::new(error));
    exit
}

fn run_command(
    args: Vec<OsString>,
    env: Env,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> Result<Exit, CliError> {
    let mut args = Args::new(args);
    if args.flag("--version") {
        writeln!(out, "skylarkdock {}", env!("CARGO_PKG_VERSION"))?;
        return Ok(Exit::Done);
    }
    let help = args.flag("--help");
    let hosts = args.option::<String>("--host")?.or(env.hosts);
    let format = args.option::<Format>("--output")?.unwrap_or_default();
    let timeout = args.option::<Millis>("--timeout")?.unwrap_or(DEFAULT_TIMEOUT_MS);
    let command = match args.command() {
        Err(UsageError::NoCommand) if help => {
            writeln!(out, "{}", help_text())?;
            return Ok(Exit::Done);
        }
        command => find_command(&command?)?,
    };
    if help {
        writeln!(out, "{}", command.help)?;
        return Ok(Exit::Done);
    }
    let hosts = parse_hosts(hosts.as_deref().unwrap_or_default())?;
    let client = Client::new(timeout, env.token)?;
    let mut cx = Context { client, hosts, format, operator: env.operator, out, err };
    (command.run)(&mut cx, args)
}

fn find_command(name: &str) -> Result<&'static Command, UsageError> {
    let command = commands::ALL.iter().find(|command| command.name == name);
    command.ok_or_else(|| UsageError::UnknownCommand(name.to_owned()))
}

fn help_text() -> String {
    let lines: Vec<String> = commands::ALL
        .iter()
        .map(|command| format!("  {:10} {}", command.name, command.summary))
        .collect();
    format!("{INTRO}\n{}\n{OPTIONS}", lines.join("\n"))
}

fn parse_hosts(list: &str) -> Result<Vec<SocketAddr>, UsageError> {
    let texts = list.split(',').map(str::trim).filter(|text| !text.is_empty());
    let parse = |text: &str| {
        text.parse().map_err(|source| UsageError::Address { text: text.to_owned(), source })
    };
    texts.map(parse).collect()
}
