//! Finds or builds the daemon and the stand-ins of the same build.

use crate::errors::TrialError;
use skylarkdock_standins::process;
use std::env;
use std::path::PathBuf;
use std::process::Command;

const DAEMON_PROGRAM: &str = "skylarkdockd";
const STANDIN_PROGRAM: &str = "skylarkdock-standin";
const RELEASE_DIR: &str = "release";

/// Paths of the programs that a fleet runs.
#[derive(Debug, Clone)]
pub struct Programs {
    /// Path of `skylarkdockd`.
    pub daemon: PathBuf,
    /// Path of `skylarkdock-standin`.
    pub standin: PathBuf,
}

impl Programs {
    /// Finds the programs beside the running one.
    ///
    /// # Errors
    /// Fails when a program is missing.
    pub fn find() -> Result<Self, TrialError> {
        Ok(Self { daemon: find_program(DAEMON_PROGRAM)?, standin: find_program(STANDIN_PROGRAM)? })
    }

    /// Builds the programs with the profile of the running one, then finds them.
    ///
    /// # Errors
    /// Fails when `cargo build` can't be run or fails, or a program is missing.
    pub fn build() -> Result<Self, TrialError> {
        let mut command = Command::new(env!("CARGO"));
        command.args(["build", "--quiet", "--workspace", "--bins", "--offline", "--locked"]);
        command.current_dir(env!("CARGO_MANIFEST_DIR"));
        if is_release() {
            command.arg("--release");
        }
        let result = command.status();
        let status =
            result.map_err(|source| TrialError::System { action: "run cargo build", source })?;
        if !status.success() {
            return Err(TrialError::Build(status));
        }
        Self::find()
    }
}

fn find_program(name: &'static str) -> Result<PathBuf, TrialError> {
    process::built_program(name).ok_or(TrialError::MissingProgram(name))
}

fn is_release() -> bool {
    let exe = env::current_exe().unwrap_or_default();
    exe.ancestors().take(3).any(|path| path.ends_with(RELEASE_DIR))
}
