//! Connections to other hosts.
//!
//! A host sends on the connections that it opened and receives on those that it accepted. Frames are dropped when the
//! send queue is full or the connection fails; the protocols between hosts repeat their messages until they are no
//! longer needed.

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

const SEND_QUEUE_CAPACITY: usize = 1024;
const CONNECT_TIMEOUT_MS: Millis = Millis(500);
const WRITE_TIMEOUT_MS: Millis = Millis(1_000);
const RETRY_DELAY_MS: Millis = Millis(100);
const IDLE_TIMEOUT_MS: Millis = Millis(15_000);
const RECEIVE_TIMEOUT_MS: Millis = Millis(60_000);

/// A payload received on an authenticated connection, with its sender.
#[derive(Debug)]
pub struct Received {
    /// The authenticated sender.
    pub from: Member,
    /// The payload.
    pub payload: Vec<u8>,
}

/// An event on an incoming connection, for the control thread.
#[derive(Debug)]
pub enum LinkEvent {
    /// A payload was received.
    Received(Received),
    /// An incoming connection was rejected because of its handshake or of a frame.
    Refused(PeerError),
}

#[derive(Debug, Error)]
enum LinkError {
    #[error("connection failed")]
    Io(#[from] io::Error),
    #[error("peer sent an invalid handshake or frame")]
    Peer(#[from] PeerError),
    #[error("timed out")]
    Timeout,
}

#[derive(Clone)]
struct Identity {
    me: Member,
    secret: Secret,
}

/// Accepts connections from other hosts and keeps a send queue for each host.
pub struct Links {
    identity: Identity,
    executor: Executor,
    queues: Mutex<FastMap<HostId, SendQueue>>,
}

struct SendQueue {
    addr: SocketAddr,
    frames: Sender<Vec<u8>>,
}

impl Links {
    /// Creates links without connections.
    pub fn new(me: Member, secret: Secret, executor: Executor) -> Self {
        Self { identity: Identity { me, secret }, executor, queues: Mutex::default() }
    }

    /// Accepts connections and sends what they receive to `events`, until that channel is closed.
    pub fn accept(&self, listener: Async<TcpListener>, events: Sender<LinkEvent>) {
        let identity = self.identity.clone();
        let executor = self.executor.clone();
        let accept_loop = async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    Timer::after(RETRY_DELAY_MS.duration()).await;
                    continue;
                };
                if events.is_closed() {
                    return;
                }
                executor.spawn(receive(stream, identity.clone(), events.clone())).detach();
            }
        };
        self.executor.spawn(accept_loop).detach();
    }

    /// Queues a payload for a host, on a new connection if the address changed or the last connection ended.
    pub fn send(&self, to: &HostId, addr: SocketAddr, payload: Vec<u8>) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let is_usable = |queue: &SendQueue| queue.addr == addr && !queue.frames.is_closed();
        if !queues.get(to).is_some_and(is_usable) {
            queues.insert(to.clone(), self.open(to.clone(), addr));
        }
        let Some(queue) = queues.get(to) else { return };
        if let Err(TrySendError::Full(_)) = queue.frames.try_send(payload) {
            counter!("skylarkdock_peer_frames_dropped_total").increment(1);
        }
    }

    fn open(&self, to: HostId, addr: SocketAddr) -> SendQueue {
        let (frames, queued) = async_channel::bounded(SEND_QUEUE_CAPACITY);
        let identity = self.identity.clone();
        let task = async move {
            if let Err(error) = send_queued(addr, &to, &identity, &queued).await {
                counter!("skylarkdock_peer_links_failed_total").increment(1);
                log::debug!("links: connection to {to} ended: {error}.");
            }
            // Frames still queued are outdated by now and are dropped. The next payload opens a new connection.
            Timer::after(RETRY_DELAY_MS.duration()).await;
            queued.close();
        };
        self.executor.spawn(task).detach();
        SendQueue { addr, frames }
    }
}

/// Sends queued payloads to a host until the connection fails or has been idle for `IDLE_TIMEOUT_MS`.
async fn send_queued(
    addr: SocketAddr,
    to: &HostId,
    identity: &Identity,
    queued: &Receiver<Vec<u8>>,
) -> Result<(), LinkError> {
    let opening = open_stream(addr, to, identity);
    let (mut stream, mut encoder) = with_timeout(CONNECT_TIMEOUT_MS, opening).await?;
    loop {
        let next = async { queued.recv().await.ok() };
        let idle = async {
            Timer::after(IDLE_TIMEOUT_MS.duration()).await;
            None
        };
        let Some(payload) = next.or(idle).await else { return Ok(()) };
        let mut bytes = encoder.encode(&payload)?;
        while let Ok(more) = queued.try_recv() {
            bytes.extend(encoder.encode(&more)?);
        }
        let writing = async { Ok(stream.write_all(&bytes).await?) };
        with_timeout(WRITE_TIMEOUT_MS, writing).await?;
    }
}

async fn open_stream(
    addr: SocketAddr,
    to: &HostId,
    identity: &Identity,
) -> Result<(Async<TcpStream>, skylarkdock_peer::frame::FrameEncoder), LinkError> {
    let mut stream = Async::<TcpStream>::connect(addr).await?;
    stream.get_ref().set_nodelay(true)?;
    let own_hello = Hello::new(identity.me.clone(), to.clone(), nonce()).encode()?;
    write_hello(&mut stream, &own_hello).await?;
    let peer_hello = read_hello(&mut stream).await?;
    Hello::decode(&peer_hello, &identity.me.host)?;
    let (encoder, _) =
        hello::derive_frame_codec(&identity.secret, &own_hello, &peer_hello, Role::Initiator);
    Ok((stream, encoder))
}

async fn receive(stream: Async<TcpStream>, identity: Identity, events: Sender<LinkEvent>) {
    match receive_all(stream, &identity, &events).await {
        Err(LinkError::Peer(error)) => {
            counter!("skylarkdock_peer_refused_total").increment(1);
            log::warn!("links: rejected an incoming connection: {error}.");
            // The channel is closed only after the control thread has ended.
            let _ = events.send(LinkEvent::Refused(error)).await;
        }
        Err(error) => log::debug!("links: incoming connection ended: {error}."),
        Ok(()) => {}
    }
}

async fn receive_all(
    mut stream: Async<TcpStream>,
    identity: &Identity,
    events: &Sender<LinkEvent>,
) -> Result<(), LinkError> {
    stream.get_ref().set_nodelay(true)?;
    let peer_hello = with_timeout(CONNECT_TIMEOUT_MS, read_hello(&mut stream)).await?;
    let hello = Hello::decode(&peer_hello, &identity.me.host)?;
    let own_hello = Hello::new(identity.me.clone(), hello.from.host.clone(), nonce()).encode()?;
    with_timeout(WRITE_TIMEOUT_MS, write_hello(&mut stream, &own_hello)).await?;
    let (_, mut verifier) =
        hello::derive_frame_codec(&identity.secret, &peer_hello, &own_hello, Role::Responder);
    loop {
        let mut header_bytes = [0; HEADER_BYTES];
        with_timeout(RECEIVE_TIMEOUT_MS, read_exact(&mut stream, &mut header_bytes)).await?;
        let header = Header::parse(&header_bytes)?;
        let mut payload = vec![0; header.len];
        with_timeout(RECEIVE_TIMEOUT_MS, read_exact(&mut stream, &mut payload)).await?;
        verifier.verify(&header, &payload)?;
        let received = Received { from: hello.from.clone(), payload };
        if events.send(LinkEvent::Received(received)).await.is_err() {
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

async fn with_timeout<T>(
    limit: Millis,
    work: impl Future<Output = Result<T, LinkError>>,
) -> Result<T, LinkError> {
    let timeout = async {
        Timer::after(limit.duration()).await;
        Err(LinkError::Timeout)
    };
    work.or(timeout).await
}

fn nonce() -> [u8; 16] {
    uuid::Uuid::new_v4().into_bytes()
}

/// Links shared by several tasks.
pub type SharedLinks = Arc<Links>;
