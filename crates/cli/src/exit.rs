//! Exit status of the program and its codes.

/// Exit status of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The command failed, or the hosts refused its record.
    Failed,
    /// The command line is invalid.
    Usage,
    /// It is unknown whether the command or request took effect.
    Unknown,
    /// No host, or not every required host, returned a result.
    Unreachable,
}

impl Exit {
    /// Returns the exit code of the process.
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Unknown => 3,
            Self::Unreachable => 4,
        }
    }
}
