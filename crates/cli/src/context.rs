//! Context in which a command runs: client, hosts and output.

use crate::client::Client;
use crate::errors::{CliError, UsageError};
use serde::Serialize;
use skylarkdock_units::UnitError;
use std::fmt::Display;
use std::io::Write;
use std::net::SocketAddr;
use std::str::FromStr;

/// Output format.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON value, or one JSON value per line for output that is streamed.
    Json,
}

impl Display for Format {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Text => "text",
            Self::Json => "json",
        })
    }
}

impl FromStr for Format {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(UnitError::Form { text: text.to_owned(), form: "text or json" }),
        }
    }
}

/// Context in which a command runs.
pub struct Context<'a> {
    /// Client for the daemons.
    pub client: Client,
    /// Addresses of the hosts from the command line or the environment.
    pub hosts: Vec<SocketAddr>,
    /// Output format.
    pub format: Format,
    /// Name of the operator, if the environment contains one.
    pub operator: Option<String>,
    /// Standard output.
    pub out: &'a mut dyn Write,
    /// Standard error.
    pub err: &'a mut dyn Write,
}

impl Context<'_> {
    /// Returns the addresses of the hosts.
    ///
    /// # Errors
    ///
    /// Fails if no host was given.
    pub fn hosts(&self) -> Result<&[SocketAddr], UsageError> {
        if self.hosts.is_empty() { Err(UsageError::NoHosts) } else { Ok(&self.hosts) }
    }

    /// Prints a result to standard output: `text` and a line break, or `value` as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the output can't be written.
    pub fn print(&mut self, text: &dyn Display, value: &impl Serialize) -> Result<(), CliError> {
        match self.format {
            Format::Text => writeln!(self.out, "{text}")?,
            Format::Json => writeln!(self.out, "{}", serde_json::to_string_pretty(value)?)?,
        }
        Ok(())
    }

    /// Prints a human-readable message to standard error.
    ///
    /// # Errors
    ///
    /// Fails if the output can't be written.
    pub fn note(&mut self, text: &dyn Display) -> Result<(), CliError> {
        writeln!(self.err, "{text}")?;
        Ok(())
    }
}
