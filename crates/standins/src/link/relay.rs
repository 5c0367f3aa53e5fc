//! Relaying of a link's TCP connections, with its faults.

use crate::link::faults::{Direction, LinkFaults};
use crate::link::rate_limiter::RateLimiter;
use crate::server;
use crate::shared::Shared;
use async_channel::{Receiver, Sender};
use async_executor::Task;
use async_io::{Async, Timer};
use bytes::Bytes;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};
use serde::{Deserialize, Serialize};
use skylarkdock_httppath::executor::Executor;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use thiserror::Error;

const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of chunks in flight per connection and direction.
const MAX_QUEUED_CHUNKS: usize = 64;
const ACCEPT_RETRY_DELAY_MS: u64 = 10;

/// Counters of a link, as returned by `GET /_standin/stats`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkStats {
    /// Connections accepted.
    pub accepted: u64,
    /// Connections currently open.
    pub open: u64,
    /// Connections that ended with a reset.
    pub reset: u64,
    /// Bytes delivered to the destination.
    pub bytes_to: u64,
    /// Bytes delivered from the destination.
    pub bytes_from: u64,
    /// Bytes to the destination that a cut discarded.
    pub swallowed_to: u64,
    /// Bytes from the destination that a cut discarded.
    pub swallowed_from: u64,
}

struct State {
    faults: LinkFaults,
    stats: LinkStats,
    limiter_to: RateLimiter,
    limiter_from: RateLimiter,
}

/// A cloneable handle to a relay and its faults.
#[derive(Clone)]
pub struct Link {
    to: SocketAddr,
    started: Instant,
    executor: Executor,
    state: Shared<State>,
}

/// Why a connection ends without a close from both sides.
#[derive(Debug, Error)]
enum RelayError {
    #[error("connection failed")]
    Io(#[from] io::Error),
    #[error("a cut discarded bytes of the connection")]
    BytesLost,
    #[error("caller closed the connection before it reached the destination")]
    CallerClosed,
    #[error("the link's reset fault is active")]
    Reset,
}

/// An event read from a socket; `Bytes` has the time of its delivery since the start of the link.
enum ReadEvent {
    Bytes(Bytes, Duration),
    End,
    Failed(io::Error),
}

type Socket = Arc<Async<TcpStream>>;

impl Link {
    /// Creates a link to the given destination, without faults.
    pub fn new(to: SocketAddr, executor: Executor) -> Self {
        let state = State {
            faults: LinkFaults::default(),
            stats: LinkStats::default(),
            limiter_to: RateLimiter::default(),
            limiter_from: RateLimiter::default(),
        };
        Self { to, started: Instant::now(), executor, state: Shared::new(state) }
    }

    /// Returns the link's active faults.
    pub fn faults(&self) -> LinkFaults {
        self.state.with(|state| state.faults.clone())
    }

    /// Replaces the link's faults.
    pub fn set_faults(&self, faults: LinkFaults) {
        self.state.update(|state| state.faults = faults);
    }

    /// Returns the link's counters.
    pub fn stats(&self) -> LinkStats {
        self.state.with(|state| state.stats)
    }

    /// Starts to accept and relay connections.
    pub fn start(&self, listener: Async<TcpListener>) {
        let link = self.clone();
        self.executor.spawn(async move { link.accept(&listener).await }).detach();
    }

    async fn accept(&self, listener: &Async<TcpListener>) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
                continue;
            };
            self.state.with(|state| {
                state.stats.accepted += 1;
                state.stats.open += 1;
            });
            let link = self.clone();
            self.executor.spawn(async move { link.handle_connection(stream).await }).detach();
        }
    }

    async fn handle_connection(&self, stream: Async<TcpStream>) {
        let caller_socket = Arc::new(stream);
        server::reset_on_drop(&caller_socket);
        let relayed = self.relay(&caller_socket).await;
        if relayed.is_ok() {
            server::close_normally_on_drop(&caller_socket);
        }
        self.state.with(|state| {
            state.stats.open -= 1;
            state.stats.reset += u64::from(relayed.is_err());
        });
    }

    async fn relay(&self, caller_socket: &Socket) -> Result<(), RelayError> {
        let (tx, events_to) = async_channel::bounded(MAX_QUEUED_CHUNKS);
        let mut reader =
            self.executor.spawn(read(self.clone(), Arc::clone(caller_socket), tx, Direction::To));
        self.fail_on_reset().or(self.wait_until_open(&mut reader)).await?;
        let destination_socket = Arc::new(Async::<TcpStream>::connect(self.to).await?);
        server::reset_on_drop(&destination_socket);
        self.fail_on_reset()
            .or(self.transfer(caller_socket, &destination_socket, &events_to))
            .await?;
        server::close_normally_on_drop(&destination_socket);
        Ok(())
    }

    /// Waits until the reset fault is active, then fails.
    async fn fail_on_reset(&self) -> Result<(), RelayError> {
        self.state.wait_for(|state| state.faults.reset.then_some(())).await;
        Err(RelayError::Reset)
    }

    /// Waits until no direction is cut; fails when the caller's side ends or fails before that.
    async fn wait_until_open(&self, reader: &mut Task<()>) -> Result<(), RelayError> {
        let uncut = async {
            self.state.wait_for(|state| state.faults.cut.is_none().then_some(())).await;
            Ok(())
        };
        let caller_closed = async {
            reader.await;
            Err(RelayError::CallerClosed)
        };
        uncut.or(caller_closed).await
    }

    /// Relays bytes in both directions until both sides have closed.
    async fn transfer(
        &self,
        caller_socket: &Socket,
        destination_socket: &Socket,
        events_to: &Receiver<ReadEvent>,
    ) -> Result<(), RelayError> {
        // A failure only delays small writes.
        let _ = caller_socket.get_ref().set_nodelay(true);
        let _ = destination_socket.get_ref().set_nodelay(true);
        let (tx, events_from) = async_channel::bounded(MAX_QUEUED_CHUNKS);
        let _reader = self.executor.spawn(read(
            self.clone(),
            Arc::clone(destination_socket),
            tx,
            Direction::From,
        ));
        let transfers = future::try_zip(
            self.write(destination_socket, events_to, Direction::To),
            self.write(caller_socket, &events_from, Direction::From),
        );
        transfers.await.map(|_| ())
    }

    /// Delivers one direction's chunks, or discards them while that direction is cut.
    async fn write(
        &self,
        socket: &Socket,
        events: &Receiver<ReadEvent>,
        direction: Direction,
    ) -> Result<(), RelayError> {
        let mut has_lost_bytes = false;
        loop {
            let next = async { Ok(events.recv().await.unwrap_or(ReadEvent::End)) };
            let cut_ended = async {
                self.wait_until_uncut(direction).await;
                Err(RelayError::BytesLost)
            };
            let event = if has_lost_bytes { cut_ended.or(next).await? } else { next.await? };
            match event {
                ReadEvent::Bytes(bytes, at) => {
                    self.wait_until(at).await;
                    has_lost_bytes |=
                        !self.deliver(socket, &bytes, direction, has_lost_bytes).await?;
                }
                ReadEvent::End => return self.finish(socket, direction, has_lost_bytes).await,
                ReadEvent::Failed(e) => {
                    self.wait_until_uncut(direction).await;
                    return Err(e.into());
                }
            }
        }
    }

    /// Writes a chunk; returns `false` when a cut discards it.
    async fn deliver(
        &self,
        socket: &Socket,
        bytes: &Bytes,
        direction: Direction,
        has_lost_bytes: bool,
    ) -> Result<bool, RelayError> {
        let cut = self.state.with(|state| state.count_bytes(bytes.len(), direction));
        if cut {
            return Ok(false);
        }
        if has_lost_bytes {
            return Err(RelayError::BytesLost);
        }
        if let Err(e) = (&**socket).write_all(bytes).await {
            // The sender learns of a failed write over the opposite direction, so a cut there delays the reset.
            self.wait_until_uncut(direction.reverse()).await;
            return Err(e.into());
        }
        Ok(true)
    }

    async fn finish(
        &self,
        socket: &Socket,
        direction: Direction,
        has_lost_bytes: bool,
    ) -> Result<(), RelayError> {
        self.wait_until_uncut(direction).await;
        if has_lost_bytes {
            return Err(RelayError::BytesLost);
        }
        // Fails if the peer has already closed the connection.
        let _ = socket.get_ref().shutdown(Shutdown::Write);
        Ok(())
    }

    /// Waits until the given direction is not cut.
    async fn wait_until_uncut(&self, direction: Direction) {
        self.state.wait_for(|state| (!state.faults.cuts(direction)).then_some(())).await;
    }

    async fn wait_until(&self, at: Duration) {
        if at > self.started.elapsed() {
            Timer::at(self.started + at).await;
        }
    }

    /// Returns the delivery time of a chunk read now, since the start of the link.
    fn schedule(&self, bytes: usize, direction: Direction) -> Duration {
        let now = self.started.elapsed();
        self.state.with(|state| {
            let rate = state.faults.bytes_per_second;
            let limiter = match direction {
                Direction::To => &mut state.limiter_to,
                Direction::From => &mut state.limiter_from,
            };
            limiter.schedule(now, bytes, rate) + Duration::from_millis(state.faults.latency_ms)
        })
    }
}

impl State {
    /// Counts a chunk as delivered or discarded and returns whether it is discarded.
    fn count_bytes(&mut self, bytes: usize, direction: Direction) -> bool {
        let cut = self.faults.cuts(direction);
        let counter = match (direction, cut) {
            (Direction::To, false) => &mut self.stats.bytes_to,
            (Direction::From, false) => &mut self.stats.bytes_from,
            (Direction::To, true) => &mut self.stats.swallowed_to,
            (Direction::From, true) => &mut self.stats.swallowed_from,
        };
        *counter += bytes as u64;
        cut
    }
}

/// Reads one direction's bytes and queues them until the end of the stream or a failure.
async fn read(link: Link, socket: Socket, tx: Sender<ReadEvent>, direction: Direction) {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let event = match (&*socket).read(&mut buf).await {
            Ok(0) => ReadEvent::End,
            Ok(len) => {
                let at = link.schedule(len, direction);
                ReadEvent::Bytes(Bytes::copy_from_slice(&buf[..len]), at)
            }
            Err(e) => ReadEvent::Failed(e),
        };
        let is_last = !matches!(event, ReadEvent::Bytes(..));
        // The receiver is dropped when the connection ends.
        if tx.send(event).await.is_err() || is_last {
            return;
        }
    }
}
