//! Errors of the command line and of running a stand-in.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Why the command line is rejected.
#[derive(Debug, Error)]
pub enum UsageError {
    /// No subcommand is given.
    #[error("missing subcommand")]
    MissingSubcommand,
    /// The subcommand does not exist.
    #[error("unknown subcommand {0:?}")]
    UnknownSubcommand(String),
    /// An option is missing or its value can't be parsed.
    #[error(transparent)]
    Option(#[from] pico_args::Error),
    /// An argument is left over after parsing.
    #[error("unknown argument {0:?}")]
    UnknownArgument(String),
    /// An option's value is not allowed.
    #[error("invalid value {found} for {option}: expected {allowed}")]
    InvalidValue {
        /// Name of the option.
        option: &'static str,
        /// Value given.
        found: String,
        /// Description of the allowed values.
        allowed: &'static str,
    },
}

/// Why a stand-in fails to start or to shut down cleanly.
#[derive(Debug, Error)]
pub enum StandinError {
    /// An address can't be bound.
    #[error("can't listen on {address}")]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the bind.
        source: io::Error,
    },
    /// The host list's file can't be read.
    #[error("can't read {path}")]
    ReadFile {
        /// Path of the file.
        path: PathBuf,
        /// Error of the read.
        source: io::Error,
    },
    /// The host list's file does not hold a host list.
    #[error("{path} is not a valid host list")]
    ParseHostList {
        /// Path of the file.
        path: PathBuf,
        /// Error of the parser, with the position.
        source: serde_json::Error,
    },
    /// The host list is inconsistent.
    #[error(transparent)]
    HostList(#[from] crate::hosts::list::HostListError),
    /// The drain timed out or was interrupted by a second signal while requests were still running.
    #[error("drain ended while requests were still running")]
    DrainIncomplete,
    /// Another operation of the operating system failed.
    #[error("can't {action}")]
    System {
        /// The operation, as a verb phrase.
        action: &'static str,
        /// Error of the operation.
        source: io::Error,
    },
}
