//! Result of a run, formatted as a text table.

use crate::summary::{Quantiles, Summary};
use std::fmt::{self, Display};

/// Formats the result of a run with one measurement per line.
pub(crate) struct SummaryTable<'a>(pub(crate) &'a Summary);

impl Display for SummaryTable<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let summary = self.0;
        match summary.rate_asked {
            Some(rate) => writeln!(f, "rate asked       {rate}/s")?,
            None => writeln!(f, "rate asked       none, each connection waits for its response")?,
        }
        writeln!(
            f,
            "rate achieved    {:.1}/s over {:.1} s",
            summary.rate_achieved, summary.seconds
        )?;
        writeln!(f, "requests         {}", summary.requests)?;
        writeln!(f, "answered         {}", summary.answered)?;
        writeln!(f, "resends          {}", summary.resends)?;
        writeln!(f, "misnamed         {}", summary.misnamed)?;
        write_counts(f, "failure", &summary.failures)?;
        write_counts(f, "status", &summary.statuses)?;
        write_counts(f, "outcome", &summary.outcomes)?;
        write_quantiles(f, "latency", &summary.latency)?;
        write_quantiles(f, "start lag", &summary.start_lag)
    }
}

fn write_counts<'a, K: Display + 'a>(
    f: &mut fmt::Formatter<'_>,
    title: &str,
    counts: impl IntoIterator<Item = (&'a K, &'a u64)>,
) -> fmt::Result {
    for (name, count) in counts {
        writeln!(f, "{title:<8} {name:<16} {count}")?;
    }
    Ok(())
}

fn write_quantiles(f: &mut fmt::Formatter<'_>, title: &str, quantiles: &Quantiles) -> fmt::Result {
    let rows = [
        ("p50", quantiles.p50_us),
        ("p90", quantiles.p90_us),
        ("p99", quantiles.p99_us),
        ("p99.9", quantiles.p99_9_us),
        ("max", quantiles.max_us),
    ];
    for (name, micros) in rows {
        writeln!(f, "{title:<10} {name:<5} {:>10.3} ms", micros as f64 / 1000.0)?;
    }
    Ok(())
}
