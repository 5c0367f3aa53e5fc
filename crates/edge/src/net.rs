//! Sockets.

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use rustix::net::sockopt;
use skylarkdock_units::times::Millis;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;
/// Idle time after which the kernel probes a connection.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between probes, and their number: a silent connection is closed about 3 s after its last byte.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 2;
/// Time in milliseconds that sent bytes may stay unacknowledged before the connection is closed.
const USER_TIMEOUT_MS: u32 = 2_500;

/// Listens on an address.
///
/// # Errors
///
/// Fails when the operating system does.
pub fn listen(addr: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(addr)?;
    if let Err(e) = rustix::net::listen(&listener, LISTEN_BACKLOG) {
        log::warn!("net: {addr} keeps the short queue of new connections: {e}");
    }
    Ok(listener)
}

/// Opens a connection within `timeout`.
///
/// # Errors
///
/// Fails when the operating system does, and with [`io::ErrorKind::TimedOut`].
pub async fn connect(addr: SocketAddr, timeout: Millis) -> io::Result<Async<TcpStream>> {
    let opened = Async::<TcpStream>::connect(addr);
    let passed = async {
        Timer::after(timeout.duration()).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let stream = opened.or(passed).await?;
    prepare(&stream)?;
    Ok(stream)
}

/// Sets the options that every connection has: no delay, and probes that find silent connections.
///
/// # Errors
///
/// Fails when the operating system does.
pub fn prepare(stream: &Async<TcpStream>) -> io::Result<()> {
    stream.get_ref().set_nodelay(true)?;
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEPALIVE_IDLE)?;
    sockopt::set_tcp_keepintvl(stream, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEPALIVE_PROBES)?;
    sockopt::set_tcp_user_timeout(stream, USER_TIMEOUT_MS)?;
    Ok(())
}

/// Closes a connection with a reset, so that bytes still on their way are lost.
pub fn reset(stream: Async<TcpStream>) {
    if let Err(e) = sockopt::set_socket_linger(&stream, Some(Duration::ZERO)) {
        log::warn!("net: a connection is closed without a reset: {e}");
    }
    drop(stream);
}
