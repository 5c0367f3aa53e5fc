//! Helpers to listen, connect and set socket options.

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use metrics::counter;
use rustix::io::Errno;
use rustix::net::sockopt;
use rustix::process::{self, Resource};
use skylarkdock_dispatch::descriptors::DescriptorLimit;
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::times::Millis;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;
use thiserror::Error;

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

/// What a host itself lacked for a connection. It says nothing of the peer, and nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Shortage {
    /// The process, or the whole system, has no descriptor left.
    #[error("this host has no descriptor left")]
    Descriptors,
    /// The system has no memory for a socket or its buffers.
    #[error("this host has no memory for a connection")]
    Memory,
    /// The system has no free port for a connection to the peer.
    #[error("this host has no local port left")]
    Ports,
}

impl Shortage {
    /// Returns the shortage that an error of the operating system shows, if it is one.
    pub fn of(error: &io::Error) -> Option<Self> {
        match Errno::from_io_error(error)? {
            Errno::MFILE | Errno::NFILE => Some(Self::Descriptors),
            Errno::NOMEM | Errno::NOBUFS => Some(Self::Memory),
            Errno::ADDRNOTAVAIL => Some(Self::Ports),
            _ => None,
        }
    }

    /// Returns the value of the `lack` field in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Descriptors => "descriptors",
            Self::Memory => "memory",
            Self::Ports => "ports",
        }
    }
}

/// Reason for which a connection could not be opened.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// This host lacked what a connection needs.
    #[error(transparent)]
    Shortage(#[from] Shortage),
    /// The peer refused it, did not answer in time or can't be reached.
    #[error(transparent)]
    Path(io::Error),
}

impl From<io::Error> for ConnectError {
    fn from(error: io::Error) -> Self {
        match Shortage::of(&error) {
            Some(shortage) => {
                counter!("skylarkdock_shortages_total", "lack" => shortage.as_str(), "for" => "connect")
                    .increment(1);
                Self::Shortage(shortage)
            }
            None => Self::Path(error),
        }
    }
}

/// Returns how many descriptors this process may have open: what the system allows, or less if `own` is less.
pub fn descriptor_limit(own: Option<DescriptorLimit>) -> DescriptorLimit {
    let allowed = process::getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let allowed = DescriptorLimit(u32::try_from(allowed).unwrap_or(u32::MAX));
    own.map_or(allowed, |own| own.min(allowed))
}

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
/// Returns the error of the operating system, or [`io::ErrorKind::TimedOut`], unless the host lacks what it needs.
pub async fn connect(addr: SocketAddr, timeout: Millis) -> Result<Async<TcpStream>, ConnectError> {
    let opened = Async::<TcpStream>::connect(addr);
    let timed_out = async {
        Timer::after(timeout.duration()).await;
        Err(io::Error::from(io::ErrorKind::TimedOut))
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

/// Limits what the system keeps of a client's connection: bytes that have arrived and are not read, and bytes that are written
/// and not sent. They count towards the memory of the machine, and the system would let them grow to several MB.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn limit_buffers(stream: &Async<TcpStream>, size: ByteSize) -> io::Result<()> {
    let size = usize::try_from(size.0).unwrap_or(usize::MAX);
    sockopt::set_socket_recv_buffer_size(stream, size)?;
    sockopt::set_socket_send_buffer_size(stream, size)?;
    Ok(())
}

/// Closes a connection with a reset, which discards data that has not been delivered.
pub fn reset(stream: Async<TcpStream>) {
    if let Err(e) = sockopt::set_socket_linger(&stream, Some(Duration::ZERO)) {
        log::warn!("net: can't reset a connection, closing it normally: {e}");
    }
    drop(stream);
}
