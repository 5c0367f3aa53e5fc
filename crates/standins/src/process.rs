//! Child processes for tests: started, awaited until they listen, signalled, and killed on drop.

use rustix::process::{Pid, Signal};
use std::env;
use std::ffi::{OsStr, OsString};
use std::fs::OpenOptions;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError, Sender};
use std::thread;
use std::time::{Duration, Instant};
use thiserror::Error;

use crate::startup;

/// Timeout for a process to print its addresses, and for its exit after it closed standard output early.
const START_TIMEOUT: Duration = Duration::from_secs(20);
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Why a process can't be started, signalled or waited for.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The program can't be executed.
    #[error("can't start {program}")]
    Start {
        /// Path of the program.
        program: PathBuf,
        /// Error of the start.
        source: io::Error,
    },
    /// The process exited before it printed all of its addresses.
    #[error("{program} exited before it was listening: {status}")]
    ExitedEarly {
        /// Path of the program.
        program: PathBuf,
        /// Exit status or signal.
        status: ExitStatus,
    },
    /// The process did not print all of its addresses in time.
    #[error("{program} did not start listening in time")]
    StartTimeout {
        /// Path of the program.
        program: PathBuf,
    },
    /// The process can't be signalled or waited for.
    #[error("can't signal or wait for a process")]
    SignalOrWait(#[source] io::Error),
    /// The process did not exit in time.
    #[error("the process did not exit in time")]
    ExitTimeout,
}

/// Builder of a child process: program, arguments, environment and handling of standard error.
#[derive(Debug)]
pub struct Launch {
    program: PathBuf,
    args: Vec<OsString>,
    envs: Vec<(OsString, OsString)>,
    expected_listeners: usize,
    stderr: StderrTarget,
}

/// Destination of the process's standard error.
#[derive(Debug)]
enum StderrTarget {
    Inherit,
    Discard,
    File(PathBuf),
}

impl Launch {
    /// Creates a builder without arguments that inherits the environment and waits for one listening address.
    pub fn new(program: impl Into<PathBuf>) -> Self {
        let program = program.into();
        Self {
            program,
            args: Vec::new(),
            envs: Vec::new(),
            expected_listeners: 1,
            stderr: StderrTarget::Inherit,
        }
    }

    /// Appends an argument.
    #[must_use]
    pub fn arg(mut self, arg: impl AsRef<OsStr>) -> Self {
        self.args.push(arg.as_ref().to_owned());
        self
    }

    /// Appends several arguments.
    #[must_use]
    pub fn args(mut self, args: impl IntoIterator<Item = impl AsRef<OsStr>>) -> Self {
        self.args.extend(args.into_iter().map(|arg| arg.as_ref().to_owned()));
        self
    }

    /// Sets an environment variable.
    #[must_use]
    pub fn env(mut self, name: impl AsRef<OsStr>, value: impl AsRef<OsStr>) -> Self {
        self.envs.push((name.as_ref().to_owned(), value.as_ref().to_owned()));
        self
    }

    /// Sets how many `listening` lines to wait for in [`Launch::start`].
    #[must_use]
    pub const fn expected_listeners(mut self, count: usize) -> Self {
        self.expected_listeners = count;
        self
    }

    /// Discards the process's standard error.
    #[must_use]
    pub fn discard_stderr(mut self) -> Self {
        self.stderr = StderrTarget::Discard;
        self
    }

    /// Appends the process's standard error to a file.
    #[must_use]
    pub fn stderr_to_file(mut self, path: impl Into<PathBuf>) -> Self {
        self.stderr = StderrTarget::File(path.into());
        self
    }

    /// Starts the program and waits until it has printed its listening addresses.
    ///
    /// # Errors
    /// Fails when the program can't be executed, exits early, or does not listen in time.
    pub fn start(self) -> Result<Process, ProcessError> {
        let mut command = Command::new(&self.program);
        command.args(&self.args).envs(self.envs.iter().map(|(name, value)| (name, value)));
        command.stdin(Stdio::null()).stdout(Stdio::piped());
        let start_error = |source| ProcessError::Start { program: self.program.clone(), source };
        command.stderr(self.stderr.stdio().map_err(start_error)?);
        let mut child = command.spawn().map_err(start_error)?;
        let (tx, rx) = mpsc::channel();
        if let Some(out) = child.stdout.take() {
            thread::spawn(move || forward_addresses(out, &tx));
        }
        let mut process = Process { child, program: self.program, addresses: Vec::new() };
        process.wait_for_listeners(self.expected_listeners, &rx)?;
        Ok(process)
    }
}

impl StderrTarget {
    fn stdio(&self) -> io::Result<Stdio> {
        match self {
            Self::Inherit => Ok(Stdio::inherit()),
            Self::Discard => Ok(Stdio::null()),
            Self::File(path) => {
                OpenOptions::new().create(true).append(true).open(path).map(Stdio::from)
            }
        }
    }
}

/// A running child process; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    program: PathBuf,
    addresses: Vec<(String, SocketAddr)>,
}

impl Process {
    /// Returns the operating system's process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the first `listening` address.
    ///
    /// # Panics
    /// Panics when the process has printed no `listening` address.
    pub fn address(&self) -> SocketAddr {
        self.listening()[0]
    }

    /// Returns the `listening` addresses in the order printed.
    pub fn listening(&self) -> Vec<SocketAddr> {
        let listening =
            self.addresses.iter().filter(|(label, _)| label == startup::LISTENING_LABEL);
        listening.map(|(_, address)| *address).collect()
    }

    /// Returns the first address printed with `label`, for example `control`.
    pub fn address_with_label(&self, label: &str) -> Option<SocketAddr> {
        self.addresses.iter().find(|(printed, _)| printed == label).map(|(_, address)| *address)
    }

    /// Asks the process to terminate (`SIGTERM`).
    ///
    /// # Errors
    /// Fails when the process can't be signalled.
    pub fn terminate(&self) -> Result<(), ProcessError> {
        self.signal(Signal::TERM)
    }

    /// Kills the process (`SIGKILL`).
    ///
    /// # Errors
    /// Fails when the process can't be signalled.
    pub fn kill(&self) -> Result<(), ProcessError> {
        self.signal(Signal::KILL)
    }

    /// Suspends the process (`SIGSTOP`).
    ///
    /// # Errors
    /// Fails when the process can't be signalled.
    pub fn suspend(&self) -> Result<(), ProcessError> {
        self.signal(Signal::STOP)
    }

    /// Resumes a suspended process (`SIGCONT`).
    ///
    /// # Errors
    /// Fails when the process can't be signalled.
    pub fn resume(&self) -> Result<(), ProcessError> {
        self.signal(Signal::CONT)
    }

    /// Returns the exit status, or `None` while the process runs.
    ///
    /// # Errors
    /// Fails when the process can't be waited for.
    pub fn ended(&mut self) -> Result<Option<ExitStatus>, ProcessError> {
        self.child.try_wait().map_err(ProcessError::SignalOrWait)
    }

    /// Waits until the process has exited.
    ///
    /// # Errors
    /// Fails when the process does not exit within `limit` or can't be waited for.
    pub fn wait(&mut self, limit: Duration) -> Result<ExitStatus, ProcessError> {
        let end = Instant::now() + limit;
        loop {
            if let Some(status) = self.ended()? {
                return Ok(status);
            }
            if Instant::now() >= end {
                return Err(ProcessError::ExitTimeout);
            }
            thread::sleep(EXIT_POLL_INTERVAL);
        }
    }

    fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let pid = Pid::from_child(&self.child);
        let sent = rustix::process::kill_process(pid, signal);
        sent.map_err(|e| ProcessError::SignalOrWait(e.into()))
    }

    fn wait_for_listeners(
        &mut self,
        count: usize,
        lines: &Receiver<(String, SocketAddr)>,
    ) -> Result<(), ProcessError> {
        let end = Instant::now() + START_TIMEOUT;
        while self.listening().len() < count {
            let left = end.saturating_duration_since(Instant::now());
            match lines.recv_timeout(left) {
                Ok(address) => self.addresses.push(address),
                Err(RecvTimeoutError::Timeout) => {
                    return Err(ProcessError::StartTimeout { program: self.program.clone() });
                }
                Err(RecvTimeoutError::Disconnected) => return Err(self.early_exit_error()),
            }
        }
        Ok(())
    }

    fn early_exit_error(&mut self) -> ProcessError {
        let program = self.program.clone();
        match self.wait(START_TIMEOUT) {
            Ok(status) => ProcessError::ExitedEarly { program, status },
            Err(_) => ProcessError::StartTimeout { program },
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A process that has already exited needs neither `kill` nor `wait`.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Finds another program of the same build in the directory of the current executable or the one above it.
pub fn built_program(name: &str) -> Option<PathBuf> {
    let exe = env::current_exe().ok()?;
    let directories = exe.ancestors().skip(1).take(2);
    let mut paths = directories.map(|directory: &Path| directory.join(name));
    paths.find(|path| path.is_file())
}

/// Forwards printed addresses and reads all other output, so that the process never blocks on a full pipe.
fn forward_addresses(out: ChildStdout, tx: &Sender<(String, SocketAddr)>) {
    for line in BufReader::new(out).lines().map_while(Result::ok) {
        if let Some(address) = parse_address(&line) {
            // The receiver is dropped once the process has started.
            let _ = tx.send(address);
        }
    }
}

fn parse_address(line: &str) -> Option<(String, SocketAddr)> {
    let (label, address) = line.split_once(' ')?;
    Some((label.to_owned(), address.trim().parse().ok()?))
}
