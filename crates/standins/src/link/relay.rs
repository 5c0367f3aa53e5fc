//! One link: its listener and the connections that it relays.

use crate::link::faults::{Direction, LinkFaults};
use crate::link::pacer::Pacer;
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

const PIECE_BYTES: usize = 16 * 1024;
/// Pieces of one direction of a connection that are under way at once.
const QUEUED_PIECES: usize = 64;
const ACCEPT_RETRY_DELAY_MS: u64 = 10;

/// What has gone over a link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkStats {
    /// Connections accepted.
    pub accepted: u64,
    /// Connections that are open.
    pub open: u64,
    /// Connections refused or reset.
    pub reset: u64,
    /// Bytes delivered towards the address that the link leads to.
    pub bytes_to: u64,
    /// Bytes delivered back from it.
    pub bytes_from: u64,
    /// Bytes swallowed on the way there.
    pub swallowed_to: u64,
    /// Bytes swallowed on the way back.
    pub swallowed_from: u64,
}

struct State {
    faults: LinkFaults,
    stats: LinkStats,
    pacer_to: Pacer,
    pacer_from: Pacer,
}

/// A link between two addresses.
#[derive(Clone)]
pub struct Link {
    to: SocketAddr,
    started: Instant,
    executor: Executor,
    state: Shared<State>,
}

/// Why a connection ends other than by both sides closing it.
#[derive(Debug, Error)]
enum Broken {
    #[error("the connection failed")]
    Io(#[from] io::Error),
    #[error("bytes of the connection were swallowed")]
    Lost,
    #[error("the caller left before the connection got through")]
    Left,
    #[error("the link resets its connections")]
    Reset,
}

/// A piece of a direction's bytes and when it arrives.
enum Piece {
    Bytes(Bytes, Duration),
    End,
    Failed(io::Error),
}

type Socket = Arc<Async<TcpStream>>;

impl Link {
    /// Makes a link that leads to an address.
    pub fn new(to: SocketAddr, executor: Executor) -> Self {
        let state = State {
            faults: LinkFaults::default(),
            stats: LinkStats::default(),
            pacer_to: Pacer::default(),
            pacer_from: Pacer::default(),
        };
        Self { to, started: Instant::now(), executor, state: Shared::new(state) }
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> LinkFaults {
        self.state.with(|state| state.faults.clone())
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: LinkFaults) {
        self.state.update(|state| state.faults = faults);
    }

    /// Returns what has gone over the link.
    pub fn stats(&self) -> LinkStats {
        self.state.with(|state| state.stats)
    }

    /// Starts to relay the connections of a listener.
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
            self.executor.spawn(async move { link.serve(stream).await }).detach();
        }
    }

    async fn serve(&self, stream: Async<TcpStream>) {
        let near = Arc::new(stream);
        server::reset_on_drop(&near);
        let served = self.relay(&near).await;
        if served.is_ok() {
            server::close_normally_on_drop(&near);
        }
        self.state.with(|state| {
            state.stats.open -= 1;
            state.stats.reset += u64::from(served.is_err());
        });
    }

    async fn relay(&self, near: &Socket) -> Result<(), Broken> {
        let (tx, there) = async_channel::bounded(QUEUED_PIECES);
        let mut reading =
            self.executor.spawn(read(self.clone(), Arc::clone(near), tx, Direction::To));
        self.reset().or(self.open(&mut reading)).await?;
        let far = Arc::new(Async::<TcpStream>::connect(self.to).await?);
        server::reset_on_drop(&far);
        self.reset().or(self.transfer(near, &far, &there)).await?;
        server::close_normally_on_drop(&far);
        Ok(())
    }

    /// Waits until the link resets its connections.
    async fn reset(&self) -> Result<(), Broken> {
        self.state.wait_for(|state| state.faults.reset.then_some(())).await;
        Err(Broken::Reset)
    }

    /// Waits until a new connection gets through, unless its caller leaves before.
    async fn open(&self, reading: &mut Task<()>) -> Result<(), Broken> {
        let uncut = async {
            self.state.wait_for(|state| state.faults.cut.is_none().then_some(())).await;
            Ok(())
        };
        let left = async {
            reading.await;
            Err(Broken::Left)
        };
        uncut.or(left).await
    }

    /// Moves bytes both ways until both ends have closed.
    async fn transfer(
        &self,
        near: &Socket,
        far: &Socket,
        there: &Receiver<Piece>,
    ) -> Result<(), Broken> {
        // Without it small pieces are merely slower.
        let _ = near.get_ref().set_nodelay(true);
        let _ = far.get_ref().set_nodelay(true);
        let (tx, back) = async_channel::bounded(QUEUED_PIECES);
        let _reading =
            self.executor.spawn(read(self.clone(), Arc::clone(far), tx, Direction::From));
        let both = future::try_zip(
            self.write(far, there, Direction::To),
            self.write(near, &back, Direction::From),
        );
        both.await.map(|_| ())
    }

    /// Delivers a direction's pieces, or swallows them while it is cut.
    async fn write(
        &self,
        socket: &Socket,
        pieces: &Receiver<Piece>,
        direction: Direction,
    ) -> Result<(), Broken> {
        let mut lost = false;
        loop {
            let next = async { Ok(pieces.recv().await.unwrap_or(Piece::End)) };
            let healed = async {
                self.passes(direction).await;
                Err(Broken::Lost)
            };
            let piece = if lost { healed.or(next).await? } else { next.await? };
            match piece {
                Piece::Bytes(bytes, at) => {
                    self.arrival(at).await;
                    lost |= !self.deliver(socket, &bytes, direction, lost).await?;
                }
                Piece::End => return self.end(socket, direction, lost).await,
                Piece::Failed(e) => {
                    self.passes(direction).await;
                    return Err(e.into());
                }
            }
        }
    }

    /// Writes a piece, or returns `false` when it is swallowed.
    async fn deliver(
        &self,
        socket: &Socket,
        bytes: &Bytes,
        direction: Direction,
        lost: bool,
    ) -> Result<bool, Broken> {
        let cut = self.state.with(|state| state.count(bytes.len(), direction));
        if cut {
            return Ok(false);
        }
        if lost {
            return Err(Broken::Lost);
        }
        if let Err(e) = (&**socket).write_all(bytes).await {
            // The failure is news that comes back the other way.
            self.passes(direction.reverse()).await;
            return Err(e.into());
        }
        Ok(true)
    }

    async fn end(&self, socket: &Socket, direction: Direction, lost: bool) -> Result<(), Broken> {
        self.passes(direction).await;
        if lost {
            return Err(Broken::Lost);
        }
        // The other side may have closed already.
        let _ = socket.get_ref().shutdown(Shutdown::Write);
        Ok(())
    }

    /// Waits until a direction is not cut.
    async fn passes(&self, direction: Direction) {
        self.state.wait_for(|state| (!state.faults.cuts(direction)).then_some(())).await;
    }

    async fn arrival(&self, at: Duration) {
        if at > self.started.elapsed() {
            Timer::at(self.started + at).await;
        }
    }

    /// Returns when a piece read now arrives.
    fn schedule(&self, bytes: usize, direction: Direction) -> Duration {
        let now = self.started.elapsed();
        self.state.with(|state| {
            let rate = state.faults.bytes_per_second;
            let pacer = match direction {
                Direction::To => &mut state.pacer_to,
                Direction::From => &mut state.pacer_from,
            };
            pacer.reserve(now, bytes, rate) + Duration::from_millis(state.faults.latency_ms)
        })
    }
}

impl State {
    /// Counts a piece as delivered or swallowed and returns whether it is swallowed.
    fn count(&mut self, bytes: usize, direction: Direction) -> bool {
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

/// Reads a direction's bytes to their end.
async fn read(link: Link, socket: Socket, tx: Sender<Piece>, direction: Direction) {
    let mut buf = vec![0; PIECE_BYTES];
    loop {
        let piece = match (&*socket).read(&mut buf).await {
            Ok(0) => Piece::End,
            Ok(len) => {
                let at = link.schedule(len, direction);
                Piece::Bytes(Bytes::copy_from_slice(&buf[..len]), at)
            }
            Err(e) => Piece::Failed(e),
        };
        let is_last = !matches!(piece, Piece::Bytes(..));
        // The receiver is gone once the connection has ended.
        if tx.send(piece).await.is_err() || is_last {
            return;
        }
    }
}
