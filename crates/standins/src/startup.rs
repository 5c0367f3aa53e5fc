//! Start-up and shutdown shared by all stand-ins: listening, printing addresses and waiting for a signal.

use crate::errors::StandinError;
use async_io::Async;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use skylarkdock_httppath::executor::Executor;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};

const EXECUTOR_THREADS: usize = 1;

/// Label of the printed address that serves the stand-in's protocol or relays its connections.
pub const LISTENING_LABEL: &str = "listening";

/// Label of the printed address that serves control calls only.
pub const CONTROL_LABEL: &str = "control";

/// Starts the executor that handles connections.
///
/// # Errors
/// Fails when a thread can't be started.
pub fn executor() -> Result<Executor, StandinError> {
    Executor::start("standin", EXECUTOR_THREADS)
        .map_err(|source| StandinError::System { action: "start a thread", source })
}

/// Binds a listener and returns it with its local address, which has the actual port if `address` has port 0.
///
/// # Errors
/// Fails when the address can't be bound.
pub fn listen(address: SocketAddr) -> Result<(Async<TcpListener>, SocketAddr), StandinError> {
    let to_listen_error = |source| StandinError::Listen { address, source };
    let listener = Async::<TcpListener>::bind(address).map_err(to_listen_error)?;
    let address = listener.get_ref().local_addr().map_err(to_listen_error)?;
    Ok((listener, address))
}

/// Prints `label` and an address that accepts connections to standard output.
///
/// # Errors
/// Fails when standard output can't be written.
pub fn announce(label: &str, address: SocketAddr) -> Result<(), StandinError> {
    let mut out = io::stdout().lock();
    let written = writeln!(out, "{label} {address}").and_then(|()| out.flush());
    written.map_err(|source| StandinError::System { action: "print the address", source })
}

/// Installs handlers for `SIGTERM` and `SIGINT`.
///
/// # Errors
/// Fails when the handlers can't be installed.
pub fn termination_signals() -> Result<Signals, StandinError> {
    Signals::new([Signal::Term, Signal::Int])
        .map_err(|source| StandinError::System { action: "listen for signals", source })
}

/// Waits for the next termination signal.
pub async fn wait_for_termination(signals: &mut Signals) {
    let _ = signals.next().await;
}
