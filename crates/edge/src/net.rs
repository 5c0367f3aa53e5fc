//! Helpers to listen, connect and set socket options.

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use rustix::net::sockopt;
use skylarkdock_units::times::Millis;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Length of the queue of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;
/// Idle time after which the kernel probes a connection.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which sent data or a probe may stay unacknowledged before the kernel closes the connection. It replaces the
/// number of probes: an idle connection is closed at the first probe after this time without an answer, about 3 s after
/// its last byte.
const USER_TIMEOUT_MS: u32 = 2_500;

/// Listens on an address.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn listen(addr: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(addr)?;
    if let Err(e) = rustix::net::listen(&listener, LISTEN_BACKLOG) {
        log::warn!("net: can't set the listen backlog of {addr}: {e}");
    }
    Ok(listener)
}

/// Opens a connection within `timeout`.
///
/// # Errors
///
/// Returns the error of the operating system, or [`io::ErrorKind::TimedOut`].
pub async fn connect(addr: SocketAddr, timeout: Millis) -> io::Result<Async<TcpStream>> {
    let opened = Async::<TcpStream>::connect(addr);
    let timed_out = async {
        Timer::after(timeout.duration()).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let stream = opened.or(timed_out).await?;
    prepare(&stream)?;
    Ok(stream)
}

/// Sets the options of every connection: no delay before small packets, keep-alive probes and the user timeout.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn prepare(stream: &Async<TcpStream>) -> io::Result<()> {
    stream.get_ref().set_nodelay(true)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_user_timeout(stream, USER_TIMEOUT_MS)?;
    Ok(())
}

/// Closes a connection with a reset, which discards data that has not been delivered.
pub fn reset(stream: Async<TcpStream>) {
    if let Err(e) = sockopt::set_socket_linger(&stream, Some(Duration::ZERO)) {
        log::warn!("net: can't reset a connection, closing it normally: {e}");
    }
    drop(stream);
}
