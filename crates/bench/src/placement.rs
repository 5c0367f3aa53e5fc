//! The subcommand `placement`: measures the imbalance of each strategy, and how much it moves compared with the least possible movement.

use crate::control;
use crate::keys::Keys;
use crate::simulation::{Simulation, Strategy};
use pico_args::Arguments;
use serde::Serialize;
use serde_json::json;
use skylarkdock_records::{Service, decode};
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::keys::KeyHash;
use std::fmt::Write as _;
use std::path::PathBuf;

const KEYS: usize = 200_000;
const EXPONENTS: [f64; 2] = [0.8, 1.0];
/// Numbers of upstreams and of ranges of a service.
const SIZES: [(u32, u32); 3] = [(8, 512), (16, 1024), (32, 2048)];
const CHANGES: usize = 5;

/// Settings of the subcommand.
#[derive(Debug)]
pub struct Settings {
    seed: u64,
    markdown: Option<PathBuf>,
    json: Option<PathBuf>,
}

impl Settings {
    /// Parses the options of the subcommand.
    ///
    /// # Errors
    /// Fails when an option is not valid.
    pub fn parse(mut args: Arguments) -> Result<Self, pico_args::Error> {
        Ok(Self {
            seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
            markdown: args.opt_value_from_str("--markdown")?,
            json: args.opt_value_from_str("--json")?,
        })
    }
}

/// Results of one strategy for one size of a service and one exponent.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Placement strategy.
    pub way: Strategy,
    /// Exponent of the Zipf distribution of the keys' popularity.
    pub exponent: f64,
    /// Number of upstreams.
    pub upstreams: u32,
    /// Number of ranges.
    pub ranges: u32,
    /// Lower bound of the largest load over the mean under any placement, because the hottest key has one owner.
    pub floor: f64,
    /// Largest load over the mean, on average over the changes, after settling.
    pub imbalance: f64,
    /// Largest load over the mean, at its worst over the changes, after settling.
    pub worst: f64,
    /// Share of the load that moves when the hot keys change, on average.
    pub moved_by_change: f64,
    /// Keys moved when an upstream joins, over the least possible number.
    pub join: f64,
    /// Keys moved when an upstream leaves, over the least possible number.
    pub leave: f64,
    /// Load moved by the join and by the leave, each over the least possible load moved.
    pub load: [f64; 2],
    /// Imbalance after the join and after the leave.
    pub after: [f64; 2],
    /// Number of keys split out after the changes.
    pub split: usize,
}

/// Measures and writes the report.
///
/// # Errors
/// Fails when a service is not valid or the report can't be written.
pub fn run(settings: Settings) -> eyre::Result<()> {
    let mut rows = Vec::new();
    for exponent in EXPONENTS {
        for (upstreams, ranges) in SIZES {
            for way in Strategy::ALL {
                rows.push(measure(way, exponent, (upstreams, ranges), settings.seed)?);
            }
        }
    }
    let markdown = table(&rows);
    print!("{markdown}");
    control::write(settings.markdown.as_deref(), &markdown)?;
    control::write(settings.json.as_deref(), &serde_json::to_string_pretty(&rows)?)?;
    Ok(())
}

fn measure(way: Strategy, exponent: f64, size: (u32, u32), seed: u64) -> eyre::Result<Row> {
    let (upstreams, ranges) = size;
    let mut keys = Keys::new(KEYS, exponent);
    let hottest = keys.shares().next().map_or(0.0, |(_, share)| share);
    let mut simulation = Simulation::new(way, service(upstreams, ranges)?, seed);
    simulation.settle(&keys);
    let mut imbalances = vec![simulation.imbalance(&keys)];
    let mut moved = 0.0;
    for _ in 0..CHANGES {
        let before = simulation.owners(&keys);
        keys.move_hot_ranks();
        simulation.settle(&keys);
        imbalances.push(simulation.imbalance(&keys));
        moved += moved_load(&before, &simulation.owners(&keys), &keys);
    }
    let split = simulation.split_keys();
    let before = simulation.owners(&keys);
    simulation.set_service(service(upstreams + 1, ranges)?);
    simulation.settle(&keys);
    let joined = simulation.owners(&keys);
    let after_join = simulation.imbalance(&keys);
    simulation.set_service(service(upstreams, ranges)?);
    simulation.settle(&keys);
    let left = simulation.owners(&keys);
    let leaver: UpstreamId = format!("u{upstreams:02}").parse()?;
    let owned = joined.values().filter(|owner| **owner == leaver).count();
    let share = KEYS as f64 / f64::from(upstreams + 1);
    Ok(Row {
        way,
        exponent,
        upstreams,
        ranges,
        floor: (hottest * f64::from(upstreams)).max(1.0),
        imbalance: imbalances.iter().sum::<f64>() / imbalances.len() as f64,
        worst: imbalances.iter().copied().fold(0.0, f64::max),
        moved_by_change: moved / CHANGES as f64,
        join: moved_keys(&before, &joined) / share,
        leave: moved_keys(&joined, &left) / owned as f64,
        load: [
            moved_load(&before, &joined, &keys) * f64::from(upstreams + 1),
            moved_load(&joined, &left, &keys) / owned_load(&joined, &leaver, &keys),
        ],
        after: [after_join, simulation.imbalance(&keys)],
        split,
    })
}

fn moved_keys(a: &FastMap<KeyHash, UpstreamId>, b: &FastMap<KeyHash, UpstreamId>) -> f64 {
    a.iter().filter(|(key, owner)| b.get(key) != Some(owner)).count() as f64
}

fn owned_load(owners: &FastMap<KeyHash, UpstreamId>, owner: &UpstreamId, keys: &Keys) -> f64 {
    let owned = keys.shares().filter(|(key, _)| owners.get(key) == Some(owner));
    owned.map(|(_, share)| share).sum()
}

fn moved_load(
    a: &FastMap<KeyHash, UpstreamId>,
    b: &FastMap<KeyHash, UpstreamId>,
    keys: &Keys,
) -> f64 {
    let moved = keys.shares().filter(|(key, _)| a.get(key) != b.get(key));
    moved.map(|(_, share)| share).sum()
}

fn service(upstreams: u32, ranges: u32) -> eyre::Result<Service> {
    let upstream = |index: u32| {
        json!({"id": format!("u{index:02}"), "address": format!("127.0.0.1:{}", 9_000 + index),
               "zone": "norte-a", "slots": 6})
    };
    let list: Vec<_> = (0..upstreams).map(upstream).collect();
    let record = json!({"schema": 2, "service": "orders", "ranges": ranges, "on_cut": "move",
                        "upstreams": list});
    decode(&record).map_err(|faults| eyre::eyre!("the service is not valid: {faults:?}"))
}

fn table(rows: &[Row]) -> String {
    let mut text = String::from(
        "| keys ~ 1/rank^s | upstreams | ranges | way | floor | max/mean | worst | load moved by a change | \
         keys moved by join, leave / least | load moved by join, leave / least | max/mean after join, leave | keys split |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for row in rows {
        let way = match row.way {
            Strategy::EqualRanges => "ranges, equal weights (in force)",
            Strategy::WeightedRanges => "ranges, measured weights",
            Strategy::SplitKeys => "ranges, measured weights, hot keys split",
            Strategy::Modulo => "hash modulo",
            Strategy::Bounded => "consistent hash, bounded loads 1.05",
        };
        // Writing to a string does not fail.
        let _ = write!(text, "| {} | {} | {} ", row.exponent, row.upstreams, row.ranges);
        let _ = write!(text, "| {way} | {:.3} | {:.3} ", row.floor, row.imbalance);
        let _ = write!(text, "| {:.3} | {:.1} % ", row.worst, row.moved_by_change * 100.0);
        let _ = write!(
            text,
            "| {:.2}, {:.2} | {:.2}, {:.2} ",
            row.join, row.leave, row.load[0], row.load[1]
        );
        let _ = writeln!(text, "| {:.3}, {:.3} | {} |", row.after[0], row.after[1], row.split);
    }
    text
}
