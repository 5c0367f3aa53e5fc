//! Command line: options, messages and exit codes.

use crate::callers::CallersSettings;
use crate::faults::FaultKind;
use crate::programs::Programs;
use crate::report::Report;
use crate::schedule;
use crate::trial::{Round, Trial};
use eyre::WrapErr;
use pico_args::Arguments;
use skylarkdock_records::service::OnCut;
use skylarkdock_units::times::Millis;
use std::ffi::OsString;
use std::fs::{self, File};
use std::path::PathBuf;
use std::process::ExitCode;

const EXIT_FAILED: u8 = 1;
const EXIT_USAGE: u8 = 2;
/// Most processes of a fleet.
const MAX_PROCESSES: usize = 60;

const HELP: &str = "\
Runs real processes on loopback, lets callers send requests, injects faults and checks what came back.

Usage: skylarkdock-trial TRIAL [OPTIONS]

Trials, each of --rounds rounds:
  kill-host               a host ends at once
  bounce-host             a host ends at once and is started again at once
  freeze-host             a host is suspended for some seconds
  stop-host               a host is asked to stop; nothing may be cut
  kill-upstream           an upstream ends at once
  freeze-upstream         an upstream is suspended for some seconds
  drain-upstream          an upstream is asked to leave; nothing may be cut
  cut-zone                a zone is cut off from the other zones and the platform
  cut-zone-one-way        a zone's hosts are not heard by the other zones' any more
  cut-zone-from-platform  a zone is cut off from the platform
  cut-region              a region is cut off from the other and the platform
  log-outage              a host ends at once while the log is away
  lose-answers            a host ends at once while half of the log's answers are lost
  restart-all             all hosts are restarted, one after the other; nothing may be cut
  publish-everywhere      time from publishing a record until it is in force on all hosts
  random                  all of these faults at random, two at a time, for --seconds

A cut separates hosts from hosts and from the platform. An upstream's way is the same for all hosts, so that hosts of a
zone that is cut off still reach all upstreams.

Options:
  --hosts N           hosts, spread over four zones in two regions [8]
  --upstreams N       upstreams, spread in the same way [8]
  --ranges N          key ranges [16]
  --rounds N          rounds [5]
  --seed N            seed of all choices [1]
  --on-cut hold|move  what becomes of the ranges of a zone that is cut off [move]
  --callers N         callers that send at the same time [16]
  --seconds N         shortest time of `random` [60]
  --requests N        fewest requests of `random` [0]
  --json FILE         write the report as JSON
  --logs DIR          keep the processes' logs here
  --help              show this text

Exit codes: 0 everything held, 1 it did not or the trial failed, 2 the command line is not valid
";

/// Options of a trial.
struct Options {
    hosts: usize,
    upstreams: usize,
    ranges: u32,
    rounds: u32,
    seed: u64,
    on_cut: OnCut,
    callers: usize,
    seconds: u64,
    requests: u64,
    json: Option<PathBuf>,
    logs: Option<PathBuf>,
}

#[derive(Clone, Copy)]
enum Plan {
    Rounds(Round),
    Restarts,
    Publishes,
    Random,
}

/// Runs the program with its arguments, the program's name left out.
pub fn main(args: Vec<OsString>) -> ExitCode {
    let mut args = Arguments::from_vec(args);
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let (name, plan, options) = match parse(args) {
        Ok(parsed) => parsed,
        Err(e) => {
            eprintln!("skylarkdock-trial: {e:#}. Try --help.");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match run(&name, plan, &options) {
        Ok(report) => {
            print!("{}", report.table());
            if report.is_clean() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAILED) }
        }
        Err(e) => {
            eprintln!("skylarkdock-trial: {e:#}.");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn parse(mut args: Arguments) -> eyre::Result<(String, Plan, Options)> {
    let name = args.subcommand()?.ok_or_else(|| eyre::eyre!("a trial is missing"))?;
    let plan = plan(&name).ok_or_else(|| eyre::eyre!("there is no trial {name:?}"))?;
    let options = Options {
        hosts: args.opt_value_from_str("--hosts")?.unwrap_or(8),
        upstreams: args.opt_value_from_str("--upstreams")?.unwrap_or(8),
        ranges: args.opt_value_from_str("--ranges")?.unwrap_or(16),
        rounds: args.opt_value_from_str("--rounds")?.unwrap_or(5),
        seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
        on_cut: args.opt_value_from_str("--on-cut")?.unwrap_or(OnCut::Move),
        callers: args.opt_value_from_str("--callers")?.unwrap_or(16),
        seconds: args.opt_value_from_str("--seconds")?.unwrap_or(60),
        requests: args.opt_value_from_str("--requests")?.unwrap_or(0),
        json: args.opt_value_from_str("--json")?,
        logs: args.opt_value_from_str("--logs")?,
    };
    if let Some(left) = args.finish().first() {
        eyre::bail!("there is no option {left:?}");
    }
    options.check()?;
    Ok((name, plan, options))
}

impl Options {
    fn check(&self) -> eyre::Result<()> {
        // The log, the host list and the links to them, then each host and upstream with its links.
        let processes = 3 + 2 * (self.hosts + self.upstreams);
        if self.hosts == 0 || self.upstreams == 0 || self.ranges == 0 || self.callers == 0 {
            eyre::bail!("hosts, upstreams, ranges and callers are 1 and more");
        }
        if processes > MAX_PROCESSES {
            eyre::bail!("{processes} processes are more than {MAX_PROCESSES}");
        }
        Ok(())
    }
}

fn plan(name: &str) -> Option<Plan> {
    let faults = |faults| Plan::Rounds(Round { faults, publishes: false, planned: false });
    let stops = |faults| Plan::Rounds(Round { faults, publishes: false, planned: true });
    Some(match name {
        "kill-host" => faults(&[FaultKind::KillHost]),
        "bounce-host" => faults(&[FaultKind::BounceHost]),
        "freeze-host" => faults(&[FaultKind::FreezeHost]),
        "stop-host" => stops(&[FaultKind::StopHost]),
        "kill-upstream" => faults(&[FaultKind::KillUpstream]),
        "freeze-upstream" => faults(&[FaultKind::FreezeUpstream]),
        "drain-upstream" => stops(&[FaultKind::DrainUpstream]),
        "cut-zone" => faults(&[FaultKind::CutZone]),
        "cut-zone-one-way" => faults(&[FaultKind::CutZoneOneWay]),
        "cut-zone-from-platform" => faults(&[FaultKind::CutZoneFromPlatform]),
        "cut-region" => faults(&[FaultKind::CutRegion]),
        "log-outage" => faults(&[FaultKind::LogOutage, FaultKind::KillHost]),
        "lose-answers" => Plan::Rounds(Round {
            faults: &[FaultKind::LoseAnswers, FaultKind::KillHost],
            publishes: true,
            planned: false,
        }),
        "restart-all" => Plan::Restarts,
        "publish-everywhere" => Plan::Publishes,
        "random" => Plan::Random,
        _ => return None,
    })
}

fn run(name: &str, plan: Plan, options: &Options) -> eyre::Result<Report> {
    if let Some(directory) = &options.logs {
        fs::create_dir_all(directory).wrap_err("can't make the directory of logs")?;
    }
    let fleet = Programs::find()?
        .fleet()
        .hosts(options.hosts)
        .upstreams(options.upstreams)
        .ranges(options.ranges)
        .on_cut(options.on_cut)
        .process_log_dir(options.logs.clone());
    let callers = CallersSettings {
        callers: options.callers,
        seed: options.seed,
        ..CallersSettings::default()
    };
    let mut trial = Trial::start(name, fleet, callers).wrap_err("the fleet does not serve")?;
    match plan {
        Plan::Rounds(round) => trial.rounds(round, options.rounds),
        Plan::Restarts => trial.restarts(options.rounds),
        Plan::Publishes => trial.publishes(options.rounds),
        Plan::Random => {
            schedule::run(&mut trial, Millis(options.seconds * 1_000), options.requests);
        }
    }
    let report = trial.finish();
    if let Some(path) = &options.json {
        let file = File::create(path).wrap_err("can't write the report")?;
        serde_json::to_writer_pretty(file, &report).wrap_err("can't write the report")?;
    }
    Ok(report)
}
