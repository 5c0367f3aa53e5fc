//! Command line: options, messages and exit codes.

use crate::compare::{self, AddedLatency};
use crate::run;
use crate::settings::Settings;
use crate::summary::Summary;
use crate::table::SummaryTable;
use eyre::WrapErr;
use pico_args::Arguments;
use std::ffi::OsString;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The run or the comparison could not be made.
pub const EXIT_FAILED: u8 = 1;
/// The command line is not valid.
pub const EXIT_USAGE: u8 = 2;
/// The run ended, and an answer named another key or another request.
pub const EXIT_MISNAMED: u8 = 3;

/// The run ended, and no request was answered whole.
pub const EXIT_UNANSWERED: u8 = 4;

const HELP: &str = "\
Sends requests and measures their latency.

Usage: skylarkdock-load [OPTIONS] --target HOST:PORT
       skylarkdock-load compare A.json B.json

Options:
  --target HOST:PORT      Loopback address to send to; may be given several times
  --path-template PATH    Path, {key} stands for the key [/orders/{key}/x]
  --connections N         Connections over all targets [32]
  --threads N             Threads that send [2]
  --rate N                Requests per second on a schedule, latency counted from the
                          scheduled start; without it each connection waits for its answer
  --duration SPAN         How long to measure, such as 10s or 500ms [10s]
  --warmup SPAN           How long to send before measuring [1s]
  --timeout SPAN          How long to wait for each answer [5s]
  --keys N                Number of keys [1000]
  --zipf S                Exponent of the keys' popularity, 0 for equal [0]
  --hot-change SECONDS    How often the hottest ranks move to other keys
  --method METHOD         Method of requests that may run more than once [GET]
  --once-only-share F     Share of POST requests with an Idempotency-Key, 0 to 1 [0]
  --body-size SIZE        Body of requests other than GET, such as 512B or 4KiB [0B]
  --direct SERVICE        Send to an upstream without a router, with the headers it expects
  --resend-unknown        Send requests with an unknown outcome again
  --seed N                Seed of keys, classes and ids [0]
  --json FILE             Write the result as JSON
  --history FILE          Write one line of JSON per attempt
  --help                  Show this text
  --version               Show the version

Exit codes: 0 done, 1 failed, 2 command line not valid, 3 an answer named another key or request,
4 no request was answered whole
";

/// Runs the program with its arguments, the program's name left out.
pub fn main(args: Vec<OsString>) -> ExitCode {
    let mut args = Arguments::from_vec(args);
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if args.contains("--version") {
        println!("skylarkdock-load {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match args.subcommand() {
        Ok(Some(command)) if command == "compare" => match two_files(args) {
            Ok((base, with)) => finish(compare_files(&base, &with)),
            Err(e) => usage(&e),
        },
        Ok(Some(command)) => usage(&format_args!("command {command:?} is not known")),
        Ok(None) => match Settings::parse(args) {
            Ok(settings) => finish(measure(&settings)),
            Err(e) => usage(&e),
        },
        Err(e) => usage(&e),
    }
}

fn usage(e: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("skylarkdock-load: {e}; see --help");
    ExitCode::from(EXIT_USAGE)
}

fn finish(result: eyre::Result<ExitCode>) -> ExitCode {
    result.unwrap_or_else(|e| {
        eprintln!("skylarkdock-load: {e:#}");
        ExitCode::from(EXIT_FAILED)
    })
}

fn measure(settings: &Settings) -> eyre::Result<ExitCode> {
    let summary = run::run(settings)?;
    print!("{}", SummaryTable(&summary));
    if let Some(path) = &settings.json {
        write(path, &summary).wrap_err_with(|| format!("{} not written", path.display()))?;
    }
    Ok(match (summary.misnamed, summary.answered) {
        (0, 0) => ExitCode::from(EXIT_UNANSWERED),
        (0, _) => ExitCode::SUCCESS,
        _ => ExitCode::from(EXIT_MISNAMED),
    })
}

fn write(path: &Path, summary: &Summary) -> eyre::Result<()> {
    serde_json::to_writer_pretty(File::create(path)?, summary)?;
    Ok(())
}

fn two_files(mut args: Arguments) -> Result<(PathBuf, PathBuf), pico_args::Error> {
    Ok((args.free_from_str()?, args.free_from_str()?))
}

fn compare_files(base: &Path, with: &Path) -> eyre::Result<ExitCode> {
    let (base, with) = (compare::read_summary(base)?, compare::read_summary(with)?);
    print!("{}", AddedLatency::between(&base, &with));
    Ok(ExitCode::SUCCESS)
}
