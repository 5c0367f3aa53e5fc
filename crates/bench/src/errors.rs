//! Errors of measurements.

use skylarkdock_admin::envelope::RpcError;
use skylarkdock_fold::checkpoint::CheckpointError;
use skylarkdock_standins::client::ClientError;
use skylarkdock_standins::process::ProcessError;
use skylarkdock_units::UnitError;
use std::io;
use thiserror::Error;

/// Why a measurement failed.
#[derive(Debug, Error)]
pub enum BenchError {
    /// A process can't be started or signalled.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// An HTTP call to a process of the fleet failed.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// A request can't be serialized, or a response can't be deserialized.
    #[error("can't serialize a request or deserialize a response")]
    Json(#[from] serde_json::Error),
    /// A daemon answered an admin call with an error.
    #[error("a daemon answered an admin call with an error")]
    Rpc(#[from] RpcError),
    /// An id is not valid.
    #[error(transparent)]
    InvalidId(#[from] UnitError),
    /// A file operation or the start of the client's thread failed.
    #[error("can't {action}")]
    System {
        /// Action that failed.
        action: &'static str,
        /// Error of the operating system.
        #[source]
        source: io::Error,
    },
    /// The fold state can't be split into checkpoint parts.
    #[error(transparent)]
    Checkpoint(#[from] CheckpointError),
    /// A condition did not hold in time.
    #[error("timed out waiting until {0}")]
    Timeout(&'static str),
    /// A program of the same build was not found.
    #[error("program {0} not found")]
    MissingProgram(&'static str),
    /// A published record was not accepted.
    #[error("the published record was not accepted")]
    RecordNotAccepted,
}
