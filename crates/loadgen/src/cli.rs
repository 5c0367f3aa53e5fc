//! Command-line interface: help text, subcommands and exit codes.

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

/// Exit code when the run or the comparison failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit code when the command line is invalid.
pub const EXIT_USAGE: u8 = 2;
/// Exit code when the run ended and at least one response named another key or another request.
pub const EXIT_MISNAMED: u8 = 3;

/// Exit code when the run ended without any complete response.
pub const EXIT_UNANSWERED: u8 = 4;

const HELP: &str = "\
Sends requests and measures their latency.

Usage: skylarkdock-load [OPTIONS] --target HOST:PORT
       skylarkdock-load compare A.json B.json

Options:
  --target HOST:PORT      Loopback address to send to; may be given several times
  --path-template PATH    Path, with {key} as placeholder [/orders/{key}/x]
  --connections N         Number of connections, over all targets [32]
  --threads N             Number of sending threads [2]
  --rate N                Requests per second on a schedule, latency counted from the
                          scheduled start; without it each connection waits for its response
  --duration TIME         Length of the measurement, such as 10s or 500ms [10s]
  --warmup TIME           Length of the warm-up, which is not measured [1s]
  --timeout TIME          Time limit for each attempt [5s]
  --keys N                Number of keys [1000]
  --zipf S                Zipf exponent of key popularity, 0 for equal [0]
  --hot-change SECONDS    Interval at which the hottest ranks are mapped to other keys
  --method METHOD         Method of requests that are not once-only [GET]
  --once-only-share F     Share of POST requests with an Idempotency-Key, 0 to 1 [0]
  --body-size SIZE        Body of requests other than GET, such as 512B or 4KiB [0B]
  --direct SERVICE        Send to an upstream without a router, with the headers it expects
  --resend-unknown        Resend requests with an unknown outcome
  --seed N                Seed of keys, once-only requests and ids [0]
  --json FILE             Write the result as JSON
  --history FILE          Write one line of JSON per attempt
  --help                  Show this text
  --version               Show the version

Exit codes: 0 success, 1 failed, 2 invalid command line, 3 a response named another key or request,
4 no complete response
";

/// Runs the program. `args` does not include the program name.
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
        Ok(Some(command)) if command == "compare" => match parse_compare_files(args) {
            Ok((base, compared)) => exit_code(compare_files(&base, &compared)),
            Err(e) => report_usage_error(&e),
        },
        Ok(Some(command)) => report_usage_error(&format_args!("unknown command {command:?}")),
        Ok(None) => match Settings::parse(args) {
            Ok(settings) => exit_code(run_and_report(&settings)),
            Err(e) => report_usage_error(&e),
        },
        Err(e) => report_usage_error(&e),
    }
}

fn report_usage_error(e: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("skylarkdock-load: {e}; see --help");
    ExitCode::from(EXIT_USAGE)
}

fn exit_code(result: eyre::Result<ExitCode>) -> ExitCode {
    result.unwrap_or_else(|e| {
        eprintln!("skylarkdock-load: {e:#}");
        ExitCode::from(EXIT_FAILED)
    })
}

fn run_and_report(settings: &Settings) -> eyre::Result<ExitCode> {
    let summary = run::run(settings)?;
    print!("{}", SummaryTable(&summary));
    if let Some(path) = &settings.json {
        write_json(path, &summary)
            .wrap_err_with(|| format!("result file {} could not be written", path.display()))?;
    }
    Ok(match (summary.misnamed, summary.answered) {
        (0, 0) => ExitCode::from(EXIT_UNANSWERED),
        (0, _) => ExitCode::SUCCESS,
        _ => ExitCode::from(EXIT_MISNAMED),
    })
}

fn write_json(path: &Path, summary: &Summary) -> eyre::Result<()> {
    serde_json::to_writer_pretty(File::create(path)?, summary)?;
    Ok(())
}

fn parse_compare_files(mut args: Arguments) -> Result<(PathBuf, PathBuf), pico_args::Error> {
    Ok((args.free_from_str()?, args.free_from_str()?))
}

fn compare_files(base: &Path, compared: &Path) -> eyre::Result<ExitCode> {
    let (base, compared) = (compare::read_summary(base)?, compare::read_summary(compared)?);
    print!("{}", AddedLatency::between(&base, &compared));
    Ok(ExitCode::SUCCESS)
}
