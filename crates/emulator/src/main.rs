//! Command line of `skylarkdock-emulator`: simulates load shapes and prints a table per shape.

use eyre::{WrapErr, eyre};
use pico_args::Arguments;
use skylarkdock_emulator::chart::{self, Curve};
use skylarkdock_emulator::crashes::{self, Scenario};
use skylarkdock_emulator::distribution::{self, Rules};
use skylarkdock_emulator::policy::Policy;
use skylarkdock_emulator::recovery::{self, Recovery};
use skylarkdock_emulator::shape::Shape;
use skylarkdock_emulator::silent;
use skylarkdock_emulator::simulation;
use skylarkdock_emulator::stats::RunStats;
use skylarkdock_emulator::uneven::{self, Measured, Rule};
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

const HELP: &str = "\
Simulates load shapes on entry hosts in virtual time and compares their routing with baseline policies.

Usage: skylarkdock-emulator SHAPE... [OPTIONS]
       skylarkdock-emulator --crashes [--seed N]
       skylarkdock-emulator --distribution
       skylarkdock-emulator --recovery [--seed N]
       skylarkdock-emulator --uneven [--seed N] [--hosts N]
       skylarkdock-emulator --losses SHAPE... [--seed N] [--loads A,B,...]
       skylarkdock-emulator --silent [--seed N] [--hosts N]

Options:
  --seed N          seed of the random number generator [1]; --recovery shows the worst of eight from N on, --uneven and --silent the mean of three
  --loads A,B,...   offered loads, as fractions of the capacity [0.5,0.8,1,1.2,1.5,2,3,4]
  --only POLICY     only dispatch, ignore-rest, no-queue, least-in-flight or round-robin
  --hosts N         number of hosts, instead of that of the shape
  --html FILE       write charts to a self-contained HTML page
  --crashes         simulate requests that crash upstreams, with 12 to 300 hosts
  --distribution    simulate how configurations reach 79 and 300 hosts
  --losses          compare what callers lose by orders of delay and refusal, with 12 to 300 hosts
  --recovery        simulate how 12 to 300 hosts come up to date after a loss
  --uneven          simulate upstreams that slow down and recover, with 12 to 300 hosts
  --silent          simulate upstreams that never answer when full, with 12 to 300 hosts

Examples:
  skylarkdock-emulator crates/emulator/shapes/slow-part.json
  skylarkdock-emulator crates/emulator/shapes/*.json --html curves.html
";
/// Seeds of which the worst results are shown for a recovery.
const RECOVERY_SEEDS: u64 = 8;
/// Seeds over which the results for uneven upstreams are averaged.
const UNEVEN_SEEDS: u64 = 3;
const DEFAULT_LOADS: &str = "0.5,0.8,1,1.2,1.5,2,3,4";

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("skylarkdock-emulator: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(mut args: Arguments) -> eyre::Result<()> {
    let seed: u64 = args.opt_value_from_str("--seed")?.unwrap_or(1);
    if args.contains("--crashes") {
        print_crash_table(seed);
        return Ok(());
    }
    if args.contains("--distribution") {
        print_distribution_table();
        return Ok(());
    }
    if args.contains("--recovery") {
        print_recovery_table(seed);
        return Ok(());
    }
    if args.contains("--uneven") {
        let hosts: Option<usize> = args.opt_value_from_str("--hosts")?;
        print_uneven_table(seed, hosts);
        return Ok(());
    }
    let is_losses = args.contains("--losses");
    if args.contains("--silent") {
        let hosts: Option<usize> = args.opt_value_from_str("--hosts")?;
        print_silent_table(seed, hosts);
        return Ok(());
    }
    let loads: String =
        args.opt_value_from_str("--loads")?.unwrap_or_else(|| DEFAULT_LOADS.to_owned());
    let loads: Result<Vec<f64>, _> = loads.split(',').map(str::parse).collect();
    let loads = loads.wrap_err("--loads")?;
    let only: Option<Policy> = args.opt_value_from_str("--only")?;
    let html: Option<PathBuf> = args.opt_value_from_str("--html")?;
    let hosts: Option<u32> = args.opt_value_from_str("--hosts")?;
    let files = args.finish();
    if files.is_empty() {
        return Err(eyre!("no shape file given; see --help"));
    }
    if is_losses {
        return print_loss_table(&files, &loads, only, hosts, seed);
    }
    let mut charts = Vec::new();
    for file in files {
        let mut shape = Shape::read(&PathBuf::from(file))?;
        shape.hosts = hosts.unwrap_or(shape.hosts).max(1);
        // The policies that differ only in rests are equal without them.
        let is_compared = |policy: &Policy| shape.has_rests() || *policy != Policy::IgnoreRest;
        let all = || Policy::ALL.into_iter().filter(is_compared).collect();
        let policies: Vec<Policy> = only.map_or_else(all, |only| vec![only]);
        let policy_runs = simulate(&shape, &policies, &loads, seed);
        print_table(&shape, &policy_runs);
        charts.extend(curves(&shape, &policy_runs));
    }
    if let Some(path) = html {
        let page = chart::page("Routing policies of entry hosts under load", &charts);
        std::fs::write(&path, page).wrap_err_with(|| format!("can't write {}", path.display()))?;
    }
    Ok(())
}

/// Prints what callers lose with each order of delay and refusal, as a part of the possible worth.
fn print_loss_table(
    files: &[OsString],
    loads: &[f64],
    only: Option<Policy>,
    hosts: Option<u32>,
    seed: u64,
) -> eyre::Result<()> {
    let headers: Vec<String> = loads.iter().map(|load| format!("at {load}")).collect();
    println!("| shape | hosts | retries | policy | {} |", headers.join(" | "));
    println!("| --- | ---: | ---: | --- |{}", " ---: |".repeat(loads.len()));
    for file in files {
        let mut shape = Shape::read(&PathBuf::from(file))?;
        for count in hosts.map_or_else(|| vec![12, 63, 300], |hosts| vec![hosts]) {
            for retries in [1, 2] {
                shape.hosts = count;
                shape.kinds.iter_mut().for_each(|kind| kind.retries = retries);
                let policies = only.map_or_else(|| Policy::ORDERS.to_vec(), |only| vec![only]);
                for (policy, runs) in simulate(&shape, &policies, loads, seed) {
                    let losses: Vec<String> = runs
                        .iter()
                        .map(|(_, stats)| format!("{:.3}", 1.0 - stats.credit_ratio()))
                        .collect();
                    println!(
                        "| {} | {count} | {retries} | {policy} | {} |",
                        shape.name,
                        losses.join(" | ")
                    );
                }
            }
        }
    }
    Ok(())
}

fn print_distribution_table() {
    println!("| hosts | routes | changes | old: last host, ms | old: MB | last host, ms | MB |");
    println!("| ---: | ---: | --- | ---: | ---: | ---: | ---: |");
    let cases =
        [("one", vec![1_000]), ("six in series", vec![1_000, 3_000, 3_400, 3_800, 4_200, 4_600])];
    for hosts in [79, 300] {
        for routes in [0, 100, 1_400, 5_000] {
            for (name, changes_at_ms) in &cases {
                let columns = [Rules::Whole, Rules::Differences].map(|rules| {
                    let changes_at_ms = changes_at_ms.clone();
                    let spread = distribution::simulate(distribution::Scenario {
                        hosts,
                        routes,
                        changes_at_ms,
                        host_traffic: 0.5,
                        region_traffic: 0.9,
                        rules,
                    });
                    let time = spread
                        .last_host_ms
                        .map_or("not within 30 s".to_owned(), |ms| ms.to_string());
                    format!("{time} | {:.1}", spread.bytes / 1e6)
                });
                println!("| {hosts} | {routes} | {name} | {} |", columns.join(" | "));
            }
        }
    }
}

fn print_recovery_table(seed: u64) {
    println!(
        "| hosts | lost | rules | leader, ms | leaving upstream known, ms | configuration known, ms | MB between regions | store calls |"
    );
    println!("| ---: | --- | --- | ---: | ---: | ---: | ---: | ---: |");
    let loss = |lost| recovery::Scenario {
        hosts: 0,
        lost,
        configs: 12,
        silent_ms: 0,
        link_share: 1.0,
        rules: recovery::Rules::Changes,
        seed,
    };
    let silent = recovery::Scenario { silent_ms: 3_000, ..loss(1.0) };
    let cases = [
        ("the leader", loss(0.0)),
        ("40 %", loss(0.4)),
        ("all, then no updates for 3 s", silent),
        ("the same, links x 0.36", recovery::Scenario { link_share: 0.36, ..silent }),
    ];
    let all_rules = [
        ("alone", recovery::Rules::Alone),
        ("turns", recovery::Rules::Turns),
        ("turns, changes", recovery::Rules::Changes),
    ];
    for hosts in [12, 79, 300] {
        for (name, scenario) in cases {
            for (rules_name, rules) in all_rules {
                let recoveries: Vec<Recovery> = (seed..seed + RECOVERY_SEEDS)
                    .map(|seed| {
                        recovery::simulate(recovery::Scenario { hosts, rules, seed, ..scenario })
                    })
                    .collect();
                let worst = |value: &dyn Fn(&Recovery) -> u64| recoveries.iter().map(value).max();
                let column = |value: &dyn Fn(&Recovery) -> u64| worst(value).unwrap_or_default();
                // A simulation ends 30 s after the loss.
                let leader = column(&|r| r.leader_ms.unwrap_or(30_000));
                let far_bytes = recoveries.iter().map(|r| r.far_bytes).fold(0.0, f64::max);
                println!(
                    "| {hosts} | {name} | {rules_name} | {leader} | {} | {} | {:.1} | {} |",
                    column(&|r| r.registry_ms),
                    column(&|r| r.config_ms),
                    far_bytes / 1e6,
                    column(&|r| r.store_calls)
                );
            }
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
fn print_uneven_table(seed: u64, only_hosts: Option<usize>) {
    println!(
        "| hosts | speeds | load | rule | p50, ms | p99, ms | goodput | in time | refused | full | told a second |"
    );
    println!("| ---: | --- | ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for hosts in only_hosts.map_or_else(|| vec![12, 63, 300], |hosts| vec![hosts]) {
        for speeds in [[0.6, 1.0, 1.4], [0.7, 0.7, 1.6]] {
            for load in [0.85, 1.0, 1.1] {
                for rule in Rule::ALL {
                    let run = |seed| {
                        let scenario = uneven::Scenario::orders(rule, hosts, speeds, load, seed);
                        uneven::simulate(scenario)
                    };
                    let runs: Vec<Measured> = (seed..seed + UNEVEN_SEEDS).map(run).collect();
                    let mean = |value: &dyn Fn(&Measured) -> f64| {
                        runs.iter().map(value).sum::<f64>() / UNEVEN_SEEDS as f64
                    };
                    let part = |count: u32, run: &Measured| {
                        f64::from(count) / f64::from(run.offered.max(1))
                    };
                    println!(
                        "| {hosts} | {speeds:?} | {load} | {rule:?} | {:.0} | {:.0} | {:.4} | {:.4} | {:.4} | {:.4} | {:.0} |",
                        mean(&|run| run.latency_ms(500) as f64),
                        mean(&|run| run.latency_ms(990) as f64),
                        mean(&Measured::goodput),
                        mean(&Measured::in_time_share),
                        mean(&|run| part(run.refused, run)),
                        mean(&|run| part(run.sheds, run)),
                        mean(&|run| f64::from(run.told) / 24.0),
                    );
                }
            }
        }
    }
}

fn print_silent_table(seed: u64, only_hosts: Option<usize>) {
    println!(
        "| hosts | load | reads | scenario | full, per 1,000 sent | unknown, % | full | slow | long | late | other | served, % | in time, % | refused, % | reads served, % |"
    );
    println!("| ---: | ---: | ---: | --- |{}", " ---: |".repeat(11));
    for hosts in only_hosts.map_or_else(|| vec![12, 72, 300], |hosts| vec![hosts]) {
        for (load, read_share) in [(0.5, 0.0), (0.95, 0.0), (1.5, 0.0), (0.95, 0.6), (1.5, 0.6)] {
            let calm = silent::Scenario { hosts, load, read_share, ..Default::default() };
            let scenarios = [
                ("steady", calm),
                ("oscillating", silent::Scenario { oscillates: true, ..calm }),
                ("burst", silent::Scenario { has_burst: true, ..calm }),
                ("cut", silent::Scenario { has_cut: true, ..calm }),
                ("slow", silent::Scenario { has_slow: true, ..calm }),
                ("skewed callers", silent::Scenario { is_skewed: true, ..calm }),
                ("burst, slow", silent::Scenario { has_burst: true, has_slow: true, ..calm }),
            ];
            for (name, scenario) in scenarios {
                let run = |seed| silent::simulate(silent::Scenario { seed, ..scenario });
                let runs: Vec<silent::Measured> = (seed..seed + UNEVEN_SEEDS).map(run).collect();
                let mean = |value: &dyn Fn(&silent::Measured) -> f64| {
                    runs.iter().map(value).sum::<f64>() / UNEVEN_SEEDS as f64
                };
                let part =
                    |count: fn(&silent::Measured) -> u32| mean(&|run| run.once_percent(count(run)));
                let reads = |run: &silent::Measured| {
                    f64::from(run.reads_served) * 100.0 / f64::from(run.reads.max(1))
                };
                println!(
                    "| {hosts} | {load} | {read_share} | {name} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} | {:.1} | {:.1} | {:.1} | {:.1} |",
                    mean(&|run| run.full_share() * 1_000.0),
                    part(silent::Measured::unknown),
                    part(|run| run.unknown_full),
                    part(|run| run.unknown_slow),
                    part(|run| run.unknown_long),
                    part(|run| run.unknown_late),
                    part(|run| run.unknown_other),
                    part(|run| run.once_served),
                    part(|run| run.once_in_time),
                    part(|run| run.once_refused),
                    mean(&reads),
                );
            }
        }
    }
}

fn print_crash_table(seed: u64) {
    println!(
        "| hosts | upstreams | scenario | ended | sends after {} ms | after {} ms | other requests | refused | popular one refused for ms |",
        crashes::LEARNING_MS,
        crashes::WINDOW_MS
    );
    println!("| ---: | ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: |");
    for (hosts, upstreams) in [(12, 12), (79, 94), (300, 360)] {
        let calm = Scenario {
            hosts,
            upstreams,
            crashing_per_s: 0.0,
            mass_restarts_at: &[],
            is_silent: false,
            length_ms: 60_000,
            seed,
        };
        let restarts: &[u64] = &[10_000, 25_000, 28_000];
        let scenarios = [
            ("one each 2 s", Scenario { crashing_per_s: 0.5, ..calm }),
            ("2 a second", Scenario { crashing_per_s: 2.0, ..calm }),
            ("10 a second", Scenario { crashing_per_s: 10.0, ..calm }),
            (
                "one each 2 s, silent ends",
                Scenario { crashing_per_s: 0.5, is_silent: true, ..calm },
            ),
            ("mass restarts", Scenario { mass_restarts_at: restarts, ..calm }),
            (
                "mass restarts, 2 a second",
                Scenario { mass_restarts_at: restarts, crashing_per_s: 2.0, ..calm },
            ),
        ];
        for (name, scenario) in scenarios {
            let stats = crashes::simulate(scenario);
            println!(
                "| {hosts} | {upstreams} | {name} | {} | {} | {} | {} | {} | {} |",
                stats.ended,
                stats.sends_when_known,
                stats.late_sends,
                stats.others,
                stats.refused,
                stats.longest_refusal_ms
            );
        }
    }
}

type PolicyRuns = Vec<(Policy, Vec<(f64, RunStats)>)>;

fn simulate(shape: &Shape, policies: &[Policy], loads: &[f64], seed: u64) -> PolicyRuns {
    let capacity = shape.capacity();
    let each = policies.iter().map(|policy| {
        let runs = loads.iter().map(|load| {
            let stats = simulation::simulate(shape, *policy, load * capacity, seed);
            (*load, stats)
        });
        (*policy, runs.collect())
    });
    each.collect()
}

fn print_table(shape: &Shape, policy_runs: &PolicyRuns) {
    let mut ranks: Vec<u8> = shape.kinds.iter().map(|kind| kind.rank).collect();
    ranks.sort_unstable();
    ranks.dedup();
    let headers: Vec<String> = ranks.iter().map(|rank| format!("rank {rank}")).collect();
    println!("## {}", shape.name);
    println!();
    println!(
        "| policy | load | credit | goodput | {} | sends per request | late refusals | limit: worst window | limit: used | rests | requests during a rest | most in one rest |",
        headers.join(" | ")
    );
    println!("| --- |{}", " ---: |".repeat(ranks.len() + 10));
    for (policy, runs) in policy_runs {
        for (load, stats) in runs {
            let answered: Vec<String> =
                ranks.iter().map(|rank| format!("{:.3}", stats.answered_ratio(*rank))).collect();
            println!(
                "| {policy} | {load} | {:.3} | {:.1} | {} | {:.2} | {:.1} % | {:.2} | {:.2} | {} | {} | {} |",
                stats.credit_ratio(),
                goodput(shape, stats),
                answered.join(" | "),
                stats.amplification(),
                stats.late_refusal_ratio() * 100.0,
                stats.limited.worst_rate,
                stats.limited.used_share(),
                stats.rests.asked,
                stats.rests.arrivals,
                stats.rests.worst_pair
            );
        }
    }
    println!();
}

/// Returns the mean number of slots busy with requests that were answered within their deadline.
#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
fn goodput(shape: &Shape, stats: &RunStats) -> f64 {
    stats.useful_work / shape.length_ms as f64
}

fn curves(shape: &Shape, policy_runs: &PolicyRuns) -> Vec<(String, Vec<Curve>)> {
    let curve = |value: &dyn Fn(&RunStats) -> f64| -> Vec<Curve> {
        let curves = policy_runs.iter().map(|(policy, runs)| {
            (*policy, runs.iter().map(|(load, stats)| (*load, value(stats))).collect())
        });
        curves.collect()
    };
    vec![
        (
            format!(
                "{}: goodput, in slots busy with requests answered within their deadline",
                shape.name
            ),
            curve(&|stats| goodput(shape, stats)),
        ),
        (
            format!("{}: credit, as a fraction of the possible worth", shape.name),
            curve(&RunStats::credit_ratio),
        ),
    ]
}
