//! Reads the log lines of entry hosts.
//!
//! [`mod@line`] parses a line, [`explanation`] finds the outcome of one request and the decisions of hosts that may have
//! affected it, and [`decisions`] selects the lines about decisions and changes of state. Nothing here reads files or a
//! clock.

pub mod decisions;
pub mod explanation;
pub mod line;
