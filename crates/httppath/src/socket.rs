//! TCP connections for hyper that avoid system calls which would find nothing to read.
//!
//! After a read that did not fill its buffer, the socket counts as drained and is read again only once the reactor
//! reports it readable. The bytes written to the operating system are counted.

use async_io::{Async, Timer};
use futures_lite::io::{AsyncRead, AsyncWrite};
use hyper::rt::{Read, ReadBufCursor, Write};
use skylarkdock_units::times::Millis;
use smol_hyper::rt::FuturesIo;
use std::future::Future;
use std::io::{self, IoSlice, Read as _};
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::task::{Context, Poll};

/// Maximum size of the read buffer and of the write buffer of a connection.
pub(crate) const MAX_BUFFER_BYTES: usize = 128 * 1024;
/// Number of interim (1xx) responses that are skipped before the final one. Each has a head of limited size.
const MAX_INTERIM_RESPONSES: u32 = 32;

/// A TCP connection with its number of bytes written and whether its input is drained.
pub(crate) struct Socket {
    stream: Async<TcpStream>,
    bytes_written: AtomicU64,
    drained: AtomicBool,
    /// Number of interim responses to the present request.
    interim_responses: Arc<AtomicU32>,
}

impl Socket {
    pub(crate) fn new(stream: Async<TcpStream>) -> Arc<Self> {
        Arc::new(Self {
            stream,
            bytes_written: AtomicU64::new(0),
            drained: AtomicBool::new(false),
            interim_responses: Arc::default(),
        })
    }

    /// Returns the number of bytes written to the connection so far.
    pub(crate) fn bytes_written(&self) -> u64 {
        self.bytes_written.load(Ordering::Relaxed)
    }

    /// Returns whether the last read left nothing to read.
    pub(crate) fn is_drained(&self) -> bool {
        self.drained.load(Ordering::Relaxed)
    }

    /// Makes the next read call the operating system, even if the last read drained the socket.
    pub(crate) fn clear_drained(&self) {
        self.drained.store(false, Ordering::Relaxed);
    }

    /// Returns the counter of interim responses, which starts from zero.
    pub(crate) fn start_counting_interim(&self) -> Arc<AtomicU32> {
        self.interim_responses.store(0, Ordering::Relaxed);
        Arc::clone(&self.interim_responses)
    }

    /// Returns whether more interim responses came than are skipped.
    pub(crate) fn has_too_many_interim(&self) -> bool {
        self.interim_responses.load(Ordering::Relaxed) > MAX_INTERIM_RESPONSES
    }

    /// Returns ready if a read may find data or the end of the connection; otherwise the task is woken once it may.
    pub(crate) fn poll_readable(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.is_drained() {
            return Poll::Ready(Ok(()));
        }
        let readable = self.stream.poll_readable(cx);
        if readable.is_ready() {
            self.clear_drained();
        }
        readable
    }

    fn count_written(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(written)) = &result {
            self.bytes_written.fetch_add(*written as u64, Ordering::Relaxed);
        }
        result
    }
}

/// Reads and writes a socket. A read that finds nothing does not register the task for a wake-up.
struct SocketIo(Arc<Socket>);

impl AsyncRead for SocketIo {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        // A peer that sends them faster than they are parsed would never let the read wait, and so outlast the deadline.
        if self.0.has_too_many_interim() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        loop {
            let read = self.0.stream.get_ref().read(buf);
            let drained = match &read {
                Ok(count) => (1..buf.len()).contains(count),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) => e.kind() == io::ErrorKind::WouldBlock,
            };
            self.0.drained.store(drained, Ordering::Relaxed);
            return if read.is_err() && drained { Poll::Pending } else { Poll::Ready(read) };
        }
    }
}

impl AsyncWrite for SocketIo {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut &self.0.stream).poll_write(cx, buf);
        self.0.count_written(result)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut &self.0.stream).poll_write_vectored(cx, bufs);
        self.0.count_written(result)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.0.stream).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.0.stream).poll_close(cx)
    }
}

/// What registers the task for a wake-up when there is nothing to read.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum WakeRegistration {
    /// Each read that finds nothing.
    OnRead,
    /// The owner of the connection, by [`Socket::poll_readable`], while it waits for input.
    ByOwner,
}

/// A socket with the I/O traits of hyper.
pub(crate) struct HyperIo {
    io: FuturesIo<SocketIo>,
    socket: Arc<Socket>,
    wake_registration: WakeRegistration,
    write_timeout: Option<Millis>,
    /// Measures the write timeout; set while a write is pending.
    write_timer: Option<Timer>,
}

impl HyperIo {
    pub(crate) fn new(socket: Arc<Socket>, wake_registration: WakeRegistration) -> Self {
        let io = FuturesIo::new(SocketIo(Arc::clone(&socket)));
        Self { io, socket, wake_registration, write_timeout: None, write_timer: None }
    }

    /// Makes a write fail if the peer accepts none of its bytes for this long.
    pub(crate) fn write_timeout(mut self, timeout: Millis) -> Self {
        self.write_timeout = Some(timeout);
        self
    }

    fn apply_write_timeout(
        &mut self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let Some(timeout) = self.write_timeout.filter(|_| result.is_pending()) else {
            self.write_timer = None;
            return result;
        };
        let timer = self.write_timer.get_or_insert_with(|| Timer::after(timeout.duration()));
        Pin::new(timer).poll(cx).map(|_| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl Read for HyperIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let by_owner = self.wake_registration == WakeRegistration::ByOwner;
        if by_owner && self.socket.is_drained() {
            return Poll::Pending;
        }
        if !by_owner && self.socket.poll_readable(cx)?.is_pending() {
            return Poll::Pending;
        }
        let result = Pin::new(&mut self.io).poll_read(cx, buf);
        if result.is_pending() && !by_owner && self.socket.poll_readable(cx)?.is_ready() {
            cx.waker().wake_by_ref();
        }
        result
    }
}

impl Write for HyperIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.io).poll_write(cx, buf);
        self.apply_write_timeout(cx, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.apply_write_timeout(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
