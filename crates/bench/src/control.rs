//! The subcommand `control`: measures the cost of control at several fleet sizes and fits lines to the results.

use crate::errors::BenchError;
use crate::fit::Fit;
use crate::scenarios::{self, Row, State, Sweep};
use crate::tables;
use pico_args::Arguments;
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{env, fs};

const DEFAULT_WINDOW_S: u64 = 10;

/// Settings of the subcommand.
#[derive(Debug)]
pub struct Settings {
    programs: PathBuf,
    window: Duration,
    only: Option<String>,
    markdown: Option<PathBuf>,
    json: Option<PathBuf>,
}

impl Settings {
    /// Parses the options of the subcommand.
    ///
    /// # Errors
    /// Fails when an option is not valid.
    pub fn parse(mut args: Arguments) -> Result<Self, pico_args::Error> {
        let window = args.opt_value_from_str("--window")?.unwrap_or(DEFAULT_WINDOW_S);
        Ok(Self {
            programs: args.opt_value_from_str("--programs")?.unwrap_or_else(program_directory),
            window: Duration::from_secs(window),
            only: args.opt_value_from_str("--only")?,
            markdown: args.opt_value_from_str("--markdown")?,
            json: args.opt_value_from_str("--json")?,
        })
    }
}

/// Line fitted to one metric of a sweep in one state.
#[derive(Debug, Clone, Serialize)]
pub struct Line {
    /// Sweep that the line is fitted to.
    pub sweep: Sweep,
    /// Activity during the windows.
    pub state: State,
    /// Title of the metric.
    pub number: &'static str,
    /// Intercept, slope and quality of the fit.
    pub fit: Fit,
}

/// Results of a run.
#[derive(Debug, Default, Serialize)]
pub struct Report {
    /// Results of the measured windows.
    pub rows: Vec<Row>,
    /// Lines fitted to the rows.
    pub lines: Vec<Line>,
    /// Sizes that could not be measured, each with its error.
    pub failed: Vec<String>,
}

/// Title of a metric and the function that reads it from a row.
pub type Metric = (&'static str, fn(&Row) -> f64);

/// Metrics that lines are fitted to.
pub const METRICS: [Metric; 7] = [
    ("processor, % of a core", |row| row.cpu_percent),
    ("processor of the least busy host, % of a core", |row| row.least_cpu_percent),
    ("control threads, % of a core", |row| tables::thread_percent(row, "control")),
    ("resident, MiB", |row| row.resident_mib),
    ("sent to hosts, B/s", |row| row.peer_bytes_per_s),
    ("log, % of a core", |row| row.log_cpu_percent),
    ("checkpoint, B", |row| row.checkpoint_bytes as f64),
];

/// Measures and writes the report.
///
/// # Errors
/// Fails when the report can't be written. Sizes that fail are listed in the report.
pub fn run(settings: Settings) -> eyre::Result<()> {
    let mut report = Report::default();
    for sweep in Sweep::ALL {
        if settings.only.as_ref().is_some_and(|only| only != sweep.name()) {
            continue;
        }
        for size in sweep.sizes() {
            match scenarios::measure(&settings.programs, sweep, size, settings.window) {
                Ok(rows) => {
                    rows.iter().for_each(|row| eprintln!("{}", tables::row(row)));
                    report.rows.extend(rows);
                }
                Err(error) => {
                    eprintln!("{size:?}: {error}");
                    report.failed.push(format!("{} {size:?}: {error}", sweep.name()));
                }
            }
        }
        save(&settings, &mut report)?;
    }
    print!("{}", tables::report(&report));
    Ok(())
}

/// Writes the report of the sweeps measured so far.
fn save(settings: &Settings, report: &mut Report) -> eyre::Result<()> {
    report.lines = lines(&report.rows);
    write(settings.markdown.as_deref(), &tables::report(report))?;
    write(settings.json.as_deref(), &serde_json::to_string_pretty(report)?)?;
    Ok(())
}

/// Fits lines through the rows of each sweep and state.
pub fn lines(rows: &[Row]) -> Vec<Line> {
    let mut lines = Vec::new();
    for sweep in Sweep::ALL {
        for state in sweep.states() {
            let matching: Vec<&Row> =
                rows.iter().filter(|row| row.sweep == sweep && row.state == *state).collect();
            for (number, value) in METRICS {
                let points: Vec<_> =
                    matching.iter().map(|row| (sweep.varied_size(row.size), value(row))).collect();
                let fit = Fit::line(&points).filter(|_| points.len() >= 3);
                lines.extend(fit.map(|fit| Line { sweep, state: *state, number, fit }));
            }
        }
    }
    lines
}

/// Writes a text to a file if one is given.
///
/// # Errors
/// Fails when it can't be written.
pub fn write(path: Option<&Path>, text: &str) -> Result<(), BenchError> {
    let Some(path) = path else { return Ok(()) };
    fs::write(path, text).map_err(|source| BenchError::System { action: "write a file", source })
}

fn program_directory() -> PathBuf {
    let exe = env::current_exe().unwrap_or_default();
    exe.parent().map(Path::to_owned).unwrap_or_default()
}
