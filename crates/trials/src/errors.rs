//! Errors of trials and of the fleet under test.

use skylarkdock_admin::envelope::RpcError;
use skylarkdock_admin::verdict::Verdict;
use skylarkdock_httppath::json::CallError;
use skylarkdock_standins::process::ProcessError;
use skylarkdock_units::UnitError;
use std::io;
use std::process::ExitStatus;
use thiserror::Error;

/// Why a step of a trial failed.
#[derive(Debug, Error)]
pub enum TrialError {
    /// A process can't be started, signalled or waited for.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// An HTTP call to a process of the fleet failed.
    #[error("call to a process of the fleet failed")]
    Call(#[from] CallError),
    /// A host answered an admin call with an error.
    #[error(transparent)]
    Rpc(#[from] RpcError),
    /// A published record was not accepted.
    #[error("the published record was not accepted: {0:?}")]
    RecordNotAccepted(Verdict),
    /// A condition did not hold in time.
    #[error("timed out after {timeout_s} s waiting until {condition}")]
    Timeout {
        /// Condition that was waited for.
        condition: String,
        /// Timeout in seconds.
        timeout_s: u64,
    },
    /// Probed keys were not served in time.
    #[error("probed keys are not served: {0:?}")]
    KeysNotServed(Vec<String>),
    /// A program of the same build is not beside this one.
    #[error("program {0} not found beside this one; build the workspace first")]
    MissingProgram(&'static str),
    /// `cargo build` of the programs failed.
    #[error("building the programs failed: {0}")]
    Build(ExitStatus),
    /// A process is not running, or did not print an expected address.
    #[error("{0} is not running")]
    NotRunning(String),
    /// A host that was asked to stop exited with a failure.
    #[error("{name} exited with a failure after it was asked to stop: {status}")]
    UnsuccessfulExit {
        /// Id of the host.
        name: String,
        /// Exit status of the process.
        status: ExitStatus,
    },
    /// The id of a host or upstream, or the name of a zone or region, is not valid.
    #[error(transparent)]
    InvalidId(#[from] UnitError),
    /// The log's records can't be serialized.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// Another operating system call failed.
    #[error("can't {action}")]
    System {
        /// Action that failed.
        action: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
}
