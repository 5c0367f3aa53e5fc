//! Connections to other hosts.
//!
//! A host sends on connections that it opened and receives on those that it accepted. Frames that
//! can't be sent soon are dropped: every exchange between hosts repeats until it has served its
//! purpose.

use async_channel::{Receiver, Sender, TrySendError};
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use metrics::counter;
use skylarkdock_httppath::executor::Executor;
use skylarkdock_peer::PeerError;
use skylarkdock_peer::frame::{HEADER_BYTES, Header};
use skylarkdock_peer::hello::{self, Hello, MAX_HELLO_BYTES, Role};
use skylarkdock_peer::secret::Secret;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{HostId, Member};
use skylarkdock_units::times::Millis;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use thiserror::Error;

const QUEUED_FRAMES: usize = 1024;
const CONNECT_TIMEOUT_MS: Millis = Millis(500);
const WRITE_TIMEOUT_MS: Millis = Millis(1_000);
const RETRY_PAUSE_MS: Millis = Millis(100);
const IDLE_MS: Millis = Millis(15_000);
const SILENT_MS: Millis = Millis(60_000);

/// A payload with its sender, whose connection was authenticated.
#[derive(Debug)]
pub struct Received {
    /// The sender.
    pub from: Member,
    /// The payload.
    pub payload: Vec<u8>,
}

/// Something about a peer that the control thread wants to know.
#[derive(Debug)]
pub enum LinkEvent {
    /// A payload came in.
    Received(Received),
    /// A connection or frame was refused.
    Refused(PeerError),
}

#[derive(Debug, Error)]
enum LinkError {
    #[error("connection failed")]
    Io(#[from] io::Error),
    #[error("peer was refused")]
    Peer(#[from] PeerError),
    #[error("timed out")]
    Timeout,
}

#[derive(Clone)]
struct Identity {
    me: Member,
    secret: Secret,
}

/// Sends to other hosts.
pub struct Links {
    identity: Identity,
    executor: Executor,
    queues: Mutex<FastMap<HostId, Queue>>,
}

struct Queue {
    addr: SocketAddr,
    frames: Sender<Vec<u8>>,
}

impl Links {
    /// Builds the sending side.
    pub fn new(me: Member, secret: Secret, executor: Executor) -> Self {
        Self { identity: Identity { me, secret }, executor, queues: Mutex::default() }
    }

    /// Accepts connections and hands on what comes in, until the channel closes.
    pub fn accept(&self, listener: Async<TcpListener>, inbox: Sender<LinkEvent>) {
        let identity = self.identity.clone();
        let executor = self.executor.clone();
        let accepting = async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    Timer::after(RETRY_PAUSE_MS.duration()).await;
                    continue;
                };
                if inbox.is_closed() {
                    return;
                }
                executor.spawn(receive(stream, identity.clone(), inbox.clone())).detach();
            }
        };
        self.executor.spawn(accepting).detach();
    }

    /// Queues a payload for a host.
    pub fn send(&self, to: &HostId, addr: SocketAddr, payload: Vec<u8>) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let usable = |queue: &Queue| queue.addr == addr && !queue.frames.is_closed();
        if !queues.get(to).is_some_and(usable) {
            queues.insert(to.clone(), self.open(to.clone(), addr));
        }
        let Some(queue) = queues.get(to) else { return };
        if let Err(TrySendError::Full(_)) = queue.frames.try_send(payload) {
            counter!("skylarkdock_peer_frames_dropped_total").increment(1);
        }
    }

    fn open(&self, to: HostId, addr: SocketAddr) -> Queue {
        let (frames, queued) = async_channel::bounded(QUEUED_FRAMES);
        let identity = self.identity.clone();
        let task = async move {
            if let Err(error) = drain(addr, &to, &identity, &queued).await {
                counter!("skylarkdock_peer_links_failed_total").increment(1);
                log::debug!("links: connection to {to} ended: {error}.");
            }
            // What is queued is stale by now; the next payload opens the connection again.
            Timer::after(RETRY_PAUSE_MS.duration()).await;
            queued.close();
        };
        self.executor.spawn(task).detach();
        Queue { addr, frames }
    }
}

/// Sends what is queued for a host until the connection fails or idles.
async fn drain(
    addr: SocketAddr,
    to: &HostId,
    identity: &Identity,
    queued: &Receiver<Vec<u8>>,
) -> Result<(), LinkError> {
    let opening = open_stream(addr, to, identity);
    let (mut stream, mut sealer) = within(CONNECT_TIMEOUT_MS, opening).await?;
    loop {
        let next = async { queued.recv().await.ok() };
        let idle = async {
            Timer::after(IDLE_MS.duration()).await;
            None
        };
        let Some(payload) = next.or(idle).await else { return Ok(()) };
        let mut bytes = sealer.encode(&payload)?;
        while let Ok(more) = queued.try_recv() {
            bytes.extend(sealer.encode(&more)?);
        }
        let writing = async { Ok(stream.write_all(&bytes).await?) };
        within(WRITE_TIMEOUT_MS, writing).await?;
    }
}

async fn open_stream(
    addr: SocketAddr,
    to: &HostId,
    identity: &Identity,
) -> Result<(Async<TcpStream>, skylarkdock_peer::frame::FrameEncoder), LinkError> {
    let mut stream = Async::<TcpStream>::connect(addr).await?;
    stream.get_ref().set_nodelay(true)?;
    let mine = Hello::new(identity.me.clone(), to.clone(), nonce()).encode()?;
    write_hello(&mut stream, &mine).await?;
    let theirs = read_hello(&mut stream).await?;
    Hello::decode(&theirs, &identity.me.host)?;
    let (sealer, _) = hello::derive_frame_codec(&identity.secret, &mine, &theirs, Role::Initiator);
    Ok((stream, sealer))
}

async fn receive(stream: Async<TcpStream>, identity: Identity, inbox: Sender<LinkEvent>) {
    match receive_all(stream, &identity, &inbox).await {
        Err(LinkError::Peer(error)) => {
            counter!("skylarkdock_peer_refused_total").increment(1);
            log::warn!("links: peer refused: {error}.");
            // The control thread is gone when the channel is closed; nobody is left to tell.
            let _ = inbox.send(LinkEvent::Refused(error)).await;
        }
        Err(error) => log::debug!("links: incoming connection ended: {error}."),
        Ok(()) => {}
    }
}

async fn receive_all(
    mut stream: Async<TcpStream>,
    identity: &Identity,
    inbox: &Sender<LinkEvent>,
) -> Result<(), LinkError> {
    stream.get_ref().set_nodelay(true)?;
    let theirs = within(CONNECT_TIMEOUT_MS, read_hello(&mut stream)).await?;
    let hello = Hello::decode(&theirs, &identity.me.host)?;
    let mine = Hello::new(identity.me.clone(), hello.from.host.clone(), nonce()).encode()?;
    within(WRITE_TIMEOUT_MS, write_hello(&mut stream, &mine)).await?;
    let (_, mut opener) =
        hello::derive_frame_codec(&identity.secret, &theirs, &mine, Role::Responder);
    loop {
        let mut head = [0; HEADER_BYTES];
        within(SILENT_MS, read_exact(&mut stream, &mut head)).await?;
        let head = Header::parse(&head)?;
        let mut payload = vec![0; head.len];
        within(SILENT_MS, read_exact(&mut stream, &mut payload)).await?;
        opener.verify(&head, &payload)?;
        let received = Received { from: hello.from.clone(), payload };
        if inbox.send(LinkEvent::Received(received)).await.is_err() {
            return Ok(());
        }
    }
}

async fn write_hello(stream: &mut Async<TcpStream>, hello: &[u8]) -> Result<(), LinkError> {
    let len = u16::try_from(hello.len()).unwrap_or(u16::MAX);
    let mut bytes = len.to_be_bytes().to_vec();
    bytes.extend_from_slice(hello);
    Ok(stream.write_all(&bytes).await?)
}

async fn read_hello(stream: &mut Async<TcpStream>) -> Result<Vec<u8>, LinkError> {
    let mut len = [0; 2];
    read_exact(stream, &mut len).await?;
    let len = usize::from(u16::from_be_bytes(len));
    if len > MAX_HELLO_BYTES {
        return Err(PeerError::TooLong { len, max: MAX_HELLO_BYTES }.into());
    }
    let mut hello = vec![0; len];
    read_exact(stream, &mut hello).await?;
    Ok(hello)
}

async fn read_exact(stream: &mut Async<TcpStream>, buf: &mut [u8]) -> Result<(), LinkError> {
    Ok(stream.read_exact(buf).await?)
}

async fn within<T>(
    limit: Millis,
    work: impl Future<Output = Result<T, LinkError>>,
) -> Result<T, LinkError> {
    let passed = async {
        Timer::after(limit.duration()).await;
        Err(LinkError::Timeout)
    };
    work.or(passed).await
}

fn nonce() -> [u8; 16] {
    uuid::Uuid::new_v4().into_bytes()
}

/// Shares the links among tasks.
pub type SharedLinks = Arc<Links>;
