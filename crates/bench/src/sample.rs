//! Reads the resource use of a process from `/proc`: processor time by thread, and resident memory.

use crate::errors::BenchError;
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::Path;

/// Ticks per second of the times in `/proc`.
pub const TICKS_PER_SECOND: f64 = 100.0;

const USER_FIELD: usize = 11;
const SYSTEM_FIELD: usize = 12;

/// Processor time since the start of a process, and its current resident memory.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Reading {
    /// Processor time of the whole process, in ticks.
    pub ticks: u64,
    /// Processor time by kind of thread, in ticks.
    pub threads: BTreeMap<String, u64>,
    /// Resident memory in KiB.
    pub resident_kib: u64,
}

/// Reads the resource use of a process.
///
/// # Errors
/// Fails when the process is not running.
pub fn read(pid: u32) -> Result<Reading, BenchError> {
    let root = format!("/proc/{pid}");
    let failed = |source| BenchError::System { action: "read a process", source };
    let ticks = ticks(&fs::read_to_string(format!("{root}/stat")).map_err(failed)?);
    let status = fs::read_to_string(format!("{root}/status")).map_err(failed)?;
    let threads = threads(Path::new(&format!("{root}/task"))).map_err(failed)?;
    Ok(Reading { ticks, threads, resident_kib: resident_kib(&status) })
}

fn threads(tasks: &Path) -> io::Result<BTreeMap<String, u64>> {
    let mut by_kind = BTreeMap::new();
    for task in fs::read_dir(tasks)? {
        let path = task?.path();
        // Skips a thread that has exited since the directory was listed.
        let Ok(stat) = fs::read_to_string(path.join("stat")) else { continue };
        let name = fs::read_to_string(path.join("comm")).unwrap_or_default();
        *by_kind.entry(kind(name.trim())).or_default() += ticks(&stat);
    }
    Ok(by_kind)
}

/// Returns the kind of a thread: its name without the trailing number.
pub fn kind(name: &str) -> String {
    name.trim_end_matches(|c: char| c.is_ascii_digit()).trim_end_matches('-').to_owned()
}

/// Returns the user and system time in a line of `/proc/PID/stat`, in ticks.
pub fn ticks(stat: &str) -> u64 {
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let field = |index: usize| fields.get(index).and_then(|text| text.parse::<u64>().ok());
    field(USER_FIELD).unwrap_or(0) + field(SYSTEM_FIELD).unwrap_or(0)
}

/// Returns the resident memory in the text of `/proc/PID/status`, in KiB.
pub fn resident_kib(status: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Returns the value of a metric without labels in a text of metrics, or the sum over its labels.
pub fn metric(text: &str, name: &str) -> f64 {
    let lines = text.lines().filter_map(|line| line.strip_prefix(name));
    let samples = lines.filter(|rest| rest.starts_with([' ', '{']));
    samples.filter_map(|rest| rest.rsplit_once(' ')?.1.parse::<f64>().ok()).sum()
}

/// Returns the load averages of the machine over 1, 5 and 15 minutes.
pub fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().take(3).collect::<Vec<_>>().join(" ")
}
