//! Command line of `skylarkdock-trial`: options, help and exit codes.

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
/// Largest number of processes that a fleet may start.
const MAX_PROCESSES: usize = 60;

const HELP: &str = "\
Runs real processes on loopback, sends requests from simulated callers, injects faults and checks the results.

Usage: skylarkdock-trial TRIAL [OPTIONS]

Trials, each of --rounds rounds:
  kill-host               a host is killed
  bounce-host             a host is killed and immediately restarted
  freeze-host             a host is suspended for some seconds
  stop-host               a host is asked to stop; no request may be interrupted
  kill-upstream           an upstream is killed
  freeze-upstream         an upstream is suspended for some seconds
  drain-upstream          an upstream is drained; no request may be interrupted
  cut-zone                a zone is cut off from the other zones and the platform
  cut-zone-one-way        messages from a zone's hosts to other zones' hosts are lost
  cut-zone-from-platform  a zone is cut off from the platform
  cut-region              a region is cut off from the other region and the platform
  log-outage              a host is killed while the log is unavailable
  lose-answers            a host is killed while half of the log's answers are lost
  restart-all             all hosts are restarted one by one; no request may be interrupted
  publish-everywhere      time from publishing a record until it is in force on all hosts
  random                  all of these faults at random, two at a time, for --seconds

A cut separates hosts from other hosts and from the platform. It does not affect connections to upstreams: hosts of a
zone that is cut off still reach all upstreams.

Options:
  --hosts N           number of hosts, spread over four zones in two regions [8]
  --upstreams N       number of upstreams, spread in the same way [8]
  --ranges N          number of key ranges [16]
  --rounds N          number of rounds [5]
  --seed N            seed of the random choices [1]
  --on-cut hold|move  whether ranges of a zone that is cut off are held or move [move]
  --callers N         number of callers that send concurrently [16]
  --seconds N         minimum duration of `random` [60]
  --requests N        minimum number of requests of `random` [0]
  --json FILE         write the report as JSON
  --logs DIR          keep the processes' standard error and the log's records in DIR
  --help              show this text

Exit codes: 0 all checks passed, 1 a check or the trial failed, 2 the command line is not valid
";

/// Options of the command line.
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
    process_log_dir: Option<PathBuf>,
}

#[derive(Clone, Copy)]
enum Plan {
    Rounds(Round),
    RestartAllHosts,
    MeasurePublishes,
    Random,
}

/// Runs the program with `args`, which do not include the program name.
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
    let name = args.subcommand()?.ok_or_else(|| eyre::eyre!("no trial given"))?;
    let plan = plan_by_name(&name).ok_or_else(|| eyre::eyre!("unknown trial {name:?}"))?;
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
        process_log_dir: args.opt_value_from_str("--logs")?,
    };
    if let Some(unused) = args.finish().first() {
        eyre::bail!("unexpected argument {unused:?}");
    }
    options.validate()?;
    Ok((name, plan, options))
}

impl Options {
    fn validate(&self) -> eyre::Result<()> {
        // The log, the host list, the process of their links, and two for each host and upstream: itself and its links.
        let processes = 3 + 2 * (self.hosts + self.upstreams);
        if self.hosts == 0 || self.upstreams == 0 || self.ranges == 0 || self.callers == 0 {
            eyre::bail!("--hosts, --upstreams, --ranges and --callers must be at least 1");
        }
        if processes > MAX_PROCESSES {
            eyre::bail!(
                "the fleet needs {processes} processes; at most {MAX_PROCESSES} are allowed"
            );
        }
        Ok(())
    }
}

fn plan_by_name(name: &str) -> Option<Plan> {
    let unplanned =
        |faults| Plan::Rounds(Round { faults, publish_between_faults: false, planned_stop: false });
    let planned =
        |faults| Plan::Rounds(Round { faults, publish_between_faults: false, planned_stop: true });
    Some(match name {
        "kill-host" => unplanned(&[FaultKind::KillHost]),
        "bounce-host" => unplanned(&[FaultKind::BounceHost]),
        "freeze-host" => unplanned(&[FaultKind::FreezeHost]),
        "stop-host" => planned(&[FaultKind::StopHost]),
        "kill-upstream" => unplanned(&[FaultKind::KillUpstream]),
        "freeze-upstream" => unplanned(&[FaultKind::FreezeUpstream]),
        "drain-upstream" => planned(&[FaultKind::DrainUpstream]),
        "cut-zone" => unplanned(&[FaultKind::CutZone]),
        "cut-zone-one-way" => unplanned(&[FaultKind::CutZoneOneWay]),
        "cut-zone-from-platform" => unplanned(&[FaultKind::CutZoneFromPlatform]),
        "cut-region" => unplanned(&[FaultKind::CutRegion]),
        "log-outage" => unplanned(&[FaultKind::LogOutage, FaultKind::KillHost]),
        "lose-answers" => Plan::Rounds(Round {
            faults: &[FaultKind::LoseAnswers, FaultKind::KillHost],
            publish_between_faults: true,
            planned_stop: false,
        }),
        "restart-all" => Plan::RestartAllHosts,
        "publish-everywhere" => Plan::MeasurePublishes,
        "random" => Plan::Random,
        _ => return None,
    })
}

fn run(name: &str, plan: Plan, options: &Options) -> eyre::Result<Report> {
    if let Some(dir) = &options.process_log_dir {
        fs::create_dir_all(dir).wrap_err("can't create the directory of --logs")?;
    }
    let fleet = Programs::find()?
        .fleet()
        .hosts(options.hosts)
        .upstreams(options.upstreams)
        .ranges(options.ranges)
        .on_cut(options.on_cut)
        .process_log_dir(options.process_log_dir.clone());
    let callers = CallersSettings {
        callers: options.callers,
        seed: options.seed,
        ..CallersSettings::default()
    };
    let mut trial = Trial::start(name, fleet, callers).wrap_err("can't start the trial")?;
    match plan {
        Plan::Rounds(round) => trial.run_rounds(round, options.rounds),
        Plan::RestartAllHosts => trial.restart_all_hosts(options.rounds),
        Plan::MeasurePublishes => trial.measure_publishes(options.rounds),
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
