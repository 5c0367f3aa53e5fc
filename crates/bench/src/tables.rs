//! Report of the subcommand `control` as Markdown tables.

use crate::control::Report;
use crate::scenarios::{Row, State};
use std::fmt::Write as _;

const TABLE_HEAD: &str = "\
| sweep | hosts | ranges | services | upstreams | state | churn | cpu % | control % | traffic % | most cpu % | least cpu % | \
RSS MiB | sent B/s | log cpu % | appends | append B | reads/s | checkpoint B | load average |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
";

/// Returns the processor time of a kind of thread in percent of a core; 0 if there was no such thread.
pub fn thread_percent(row: &Row, kind: &str) -> f64 {
    row.threads_percent.get(kind).copied().unwrap_or(0.0)
}

/// Formats one window as a line of the table.
pub fn row(row: &Row) -> String {
    let state = match row.state {
        State::Idle => "idle",
        State::Publishing => "publishing",
        State::Restarting => "restarting",
    };
    let size = row.size;
    let mut text = format!("| {} | {} | {} ", row.sweep.name(), size.hosts, size.ranges);
    // Writing to a string does not fail.
    let _ = write!(text, "| {} | {} | {state} | {} ", size.services, size.upstreams, row.churn);
    let _ = write!(text, "| {:.2} | {:.2} ", row.cpu_percent, thread_percent(row, "control"));
    let _ = write!(text, "| {:.2} ", thread_percent(row, "traffic"));
    let _ = write!(text, "| {:.2} | {:.2} ", row.most_cpu_percent, row.least_cpu_percent);
    let _ = write!(text, "| {:.1} | {:.0} ", row.resident_mib, row.peer_bytes_per_s);
    let _ = write!(text, "| {:.2} | {} ", row.log_cpu_percent, row.appends);
    let _ = write!(text, "| {} | {:.1} ", row.append_bytes, row.log_reads_per_s);
    let _ = write!(text, "| {} | {} to {} |", row.checkpoint_bytes, row.load[0], row.load[1]);
    text
}

/// Formats a report.
pub fn report(report: &Report) -> String {
    let mut text = String::from(TABLE_HEAD);
    report.rows.iter().for_each(|one| text.push_str(&(row(one) + "\n")));
    text.push_str("\n| sweep | state | number | intercept | slope | R² |\n");
    text.push_str("| --- | --- | --- | --- | --- | --- |\n");
    for line in &report.lines {
        let slope = line.fit.slopes.first().copied().unwrap_or(0.0);
        let (sweep, number) = (line.sweep.name(), line.number);
        let (intercept, r2) = (line.fit.intercept, line.fit.r2);
        let state = format!("{:?}", line.state).to_lowercase();
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "| {sweep} | {state} | {number} | {intercept:.3} | {slope:.5} per {} | {r2:.3} |",
            sweep.trim_end_matches('s')
        );
    }
    if !report.failed.is_empty() {
        text.push_str("\nNot measured:\n\n");
        report.failed.iter().for_each(|one| text.push_str(&format!("- {one}\n")));
    }
    text
}
