//! Input files of the commands.

use crate::errors::CliError;
use serde_json::Value;
use skylarkdock_hostlog::line::Line;
use std::ffi::OsStr;
use std::io;
use std::path::{Path, PathBuf};

/// Reads a JSON file, or standard input for `-`.
pub(crate) fn read_json(name: &str) -> Result<Value, CliError> {
    let text = read_text(name)?;
    serde_json::from_str(&text).map_err(|source| CliError::NotJson { path: name.into(), source })
}

/// Reads a text file, or standard input for `-`.
pub(crate) fn read_text(name: &str) -> Result<String, CliError> {
    let path = PathBuf::from(name);
    read(&path).map_err(|source| CliError::File { path, source })
}

/// Reads log lines of hosts from a comma-separated list of files. A line that does not contain the name of its host is
/// assigned to the host named by the file name without its extension.
pub(crate) fn read_logs(names: &str) -> Result<Vec<Line>, CliError> {
    let mut lines = Vec::new();
    for name in names.split(',').filter(|name| !name.is_empty()) {
        let text = read_text(name)?;
        let host = Path::new(name).file_stem().map(OsStr::to_string_lossy).unwrap_or_default();
        lines.extend(text.lines().filter_map(|line| Line::parse(line, &host)));
    }
    Ok(lines)
}

fn read(path: &Path) -> io::Result<String> {
    if path.as_os_str() == "-" {
        return io::read_to_string(io::stdin());
    }
    std::fs::read_to_string(path)
}
