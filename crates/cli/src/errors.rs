//! Errors of the command-line tool.

use crate::exit::Exit;
use skylarkdock_admin::envelope::RpcError;
use skylarkdock_edge::store::StoreError;
use skylarkdock_httppath::json::CallError;
use skylarkdock_units::requests::RecordId;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Error in the command line.
#[derive(Debug, Error)]
pub enum UsageError {
    /// No command was given.
    #[error("no command given")]
    NoCommand,
    /// There is no command with this name.
    #[error("unknown command {0:?}")]
    UnknownCommand(String),
    /// The flag is unknown or was given more than once.
    #[error("unknown or repeated flag {0:?}")]
    UnknownFlag(String),
    /// A required argument is missing.
    #[error("missing {0}")]
    MissingArgument(&'static str),
    /// There are more arguments than the command takes.
    #[error("unexpected argument {0:?}")]
    UnexpectedArgument(String),
    /// The value of a flag is missing or invalid.
    #[error("could not parse {flag}")]
    Flag {
        /// Name of the flag.
        flag: &'static str,
        /// Cause of the error.
        #[source]
        source: pico_args::Error,
    },
    /// A positional argument is invalid.
    #[error("invalid {name}")]
    Argument {
        /// Name of the argument.
        name: &'static str,
        /// Cause of the error.
        #[source]
        source: skylarkdock_units::UnitError,
    },
    /// Two flags are mutually exclusive.
    #[error("{0} and {1} are mutually exclusive")]
    MutuallyExclusive(&'static str, &'static str),
    /// No host was given.
    #[error("no host given: use --host or SKYLARKDOCK_HOSTS")]
    NoHosts,
    /// The address of a host is invalid.
    #[error("invalid host address {text:?}: expected IP:PORT")]
    Address {
        /// The invalid address.
        text: String,
        /// Cause of the error.
        #[source]
        source: std::net::AddrParseError,
    },
}

/// Why a call to a host returned no result.
#[derive(Debug, Error)]
pub enum CallFailure {
    /// The call was not sent.
    #[error("host not reached")]
    NotSent(#[source] CallError),
    /// The host rejected the call without running it.
    #[error("call rejected")]
    Rejected(#[source] CallError),
    /// The call was sent and may have been run, but no valid response arrived.
    #[error("no valid response; the call may have been run")]
    ResponseLost(#[source] CallError),
    /// The host returned an error response.
    #[error("host returned an error")]
    ErrorResponse(#[source] RpcError),
}

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CliError {
    /// The command line is invalid.
    #[error(transparent)]
    Usage(#[from] UsageError),
    /// A file can't be read or written.
    #[error("could not read or write {}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the error.
        #[source]
        source: io::Error,
    },
    /// A file does not contain valid JSON.
    #[error("{} is not valid JSON", path.display())]
    NotJson {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the error.
        #[source]
        source: serde_json::Error,
    },
    /// The platform's store can't be read.
    #[error("could not read the store at {addr}")]
    Store {
        /// Address of the store.
        addr: SocketAddr,
        /// Cause of the error.
        #[source]
        source: StoreError,
    },
    /// The output can't be written.
    #[error("could not write the output")]
    Output(#[from] io::Error),
    /// The thread that runs the calls can't be started.
    #[error("could not start the client")]
    Start(#[source] io::Error),
    /// The output can't be serialized as JSON.
    #[error("could not serialize the output as JSON")]
    Json(#[from] serde_json::Error),
    /// The call to a host failed.
    #[error("call to {addr} failed")]
    Call {
        /// Address of the host.
        addr: SocketAddr,
        /// Cause of the error.
        #[source]
        source: CallFailure,
    },
    /// It is unknown whether a record was published or retired.
    #[error(
        "outcome of record {id} is unknown; it may still come into force\n\
         to query the outcome again, run: skylarkdock settle {id}\n\
         do not submit the record under another id before its outcome is known"
    )]
    OutcomeUnknown {
        /// Id of the record.
        id: RecordId,
    },
    /// No known host has this name.
    #[error("unknown host {0}")]
    UnknownHost(skylarkdock_units::ids::HostId),
    /// The service has no record in force.
    #[error("service {0} has no record in force")]
    NoRecord(skylarkdock_units::ids::ServiceName),
}

impl CliError {
    /// Returns the exit status of the program for this error.
    pub const fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) => Exit::Usage,
            Self::OutcomeUnknown { .. } => Exit::Unknown,
            Self::Call {
                source: CallFailure::NotSent(_) | CallFailure::ResponseLost(_), ..
            } => Exit::Unreachable,
            _ => Exit::Failed,
        }
    }
}
