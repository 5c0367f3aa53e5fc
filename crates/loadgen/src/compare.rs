//! Comparison of two results: the latency that the second run has over the first.

use crate::summary::Summary;
use std::fmt::{self, Display};
use std::fs::File;
use std::io::{self, BufReader};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why the result file of a run could not be read.
#[derive(Debug, Error)]
pub enum CompareError {
    /// The file could not be opened.
    #[error("result file {path} could not be opened")]
    Open {
        /// Path of the result file.
        path: PathBuf,
        /// Error of the file system.
        #[source]
        source: io::Error,
    },
    /// The file does not hold the result of a run.
    #[error("{path} is not the JSON result of a run")]
    Parse {
        /// Path of the result file.
        path: PathBuf,
        /// Error of the JSON parser.
        #[source]
        source: serde_json::Error,
    },
}

/// Difference in latency between two runs, in microseconds; negative if the compared run is faster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AddedLatency {
    /// Difference of the medians.
    pub p50_us: i64,
    /// Difference of the 99th percentiles.
    pub p99_us: i64,
}

impl AddedLatency {
    /// Returns the latency of `compared` minus the latency of `base`.
    pub fn between(base: &Summary, compared: &Summary) -> Self {
        Self {
            p50_us: difference(compared.latency.p50_us, base.latency.p50_us),
            p99_us: difference(compared.latency.p99_us, base.latency.p99_us),
        }
    }
}

impl Display for AddedLatency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "added p50 {:>+10.3} ms", self.p50_us as f64 / 1000.0)?;
        writeln!(f, "added p99 {:>+10.3} ms", self.p99_us as f64 / 1000.0)
    }
}

/// Reads the result of a run from the JSON file at `path`.
///
/// # Errors
///
/// Fails when the file can't be read or does not hold the result of a run.
pub fn read_summary(path: &Path) -> Result<Summary, CompareError> {
    let file =
        File::open(path).map_err(|source| CompareError::Open { path: path.to_owned(), source })?;
    serde_json::from_reader(BufReader::new(file))
        .map_err(|source| CompareError::Parse { path: path.to_owned(), source })
}

fn difference(minuend: u64, subtrahend: u64) -> i64 {
    i64::try_from(i128::from(minuend) - i128::from(subtrahend)).unwrap_or(i64::MAX)
}
