//! HTTP client for upstreams, the store and other hosts. A connection carries one request at a time.

use crate::answer_head;
use crate::clock;
use crate::memory_charge::AnswerSize;
pub use crate::memory_charge::{Charge, MAX_BUFFERED, buffered};
use crate::net::{self, ConnectError, Shortage};
use crate::request_write::RequestWrite;
use crate::upstream_connections::Permit;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use futures_lite::io::{AsyncReadExt, AsyncWriteExt};
use skylarkdock_http1::body::Decoder;
use skylarkdock_http1::head::{Headers, ResponseHead};
use skylarkdock_units::times::Millis;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use thiserror::Error;
use xxhash_rust::xxh3;

/// Idle time after which a control call opens a new connection, because the peer may be closing the idle one.
const CONTROL_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Number of checks for received bytes in the longest silence of a call.
const SILENCE_CHECKS: u64 = 4;
const READ_SIZE: usize = 16 * 1024;
/// Size of the largest accepted body of an answer.
const MAX_BODY_SIZE: usize = 16 * 1024 * 1024;
/// Number of bytes after which an answer is given up, with what is not part of its body: chunk sizes, trailers, interim
/// answers and answers to other requests.
const MAX_ANSWER_SIZE: usize = 2 * MAX_BODY_SIZE;
/// Size of the largest accepted answer to a control call to an upstream, whose answers have a short head and no body to speak of.
const MAX_CONTROL_ANSWER_SIZE: usize = 64 * 1024;
/// Size of the largest body that is copied behind its head, to be written at once with it.
pub(crate) const MAX_COPIED_BODY: usize = 16 * 1024;
/// Number of answers to other requests that may be skipped before the answer to this one.
const MAX_SKIPPED: u32 = 4;
/// Number of requests on a connection that were answered with a failure or refusal, after which it is closed.
const MAX_FAILED: usize = 16;
/// Status from which an answer is a failure or a refusal, after which the same request may be sent again.
pub(crate) const FIRST_FAILURE_STATUS: u16 = 400;

/// Reason for which a request has no answer.
#[derive(Debug, Error)]
pub enum Failure {
    /// No byte of the request was sent.
    #[error("request not sent")]
    NotSent(#[source] io::Error),
    /// No byte of the request was sent, as this host lacked what that needs. It shows nothing of the peer.
    #[error("request not sent")]
    Shortage(#[source] Shortage),
    /// The connection broke after some or all of the request was sent.
    #[error("connection broke")]
    Broken(#[source] io::Error),
    /// The peer sent an invalid answer, one to another request, or one that is too large. For calls between hosts, also
    /// an answer with a status of 300 or more.
    #[error("invalid answer")]
    Malformed,
    /// The status of the answer is not one of HTTP, or 101, which nobody asked for.
    #[error("answer with the status {0}")]
    InvalidStatus(u16),
    /// The timeout passed before the request was sent and a complete answer arrived. Some or all of the request may
    /// have been sent.
    #[error("no answer in time")]
    TimedOut,
}

impl Failure {
    /// Returns the failure of a request of which no byte left the host.
    fn not_sent(error: io::Error) -> Self {
        ConnectError::from(error).into()
    }
}

impl From<ConnectError> for Failure {
    fn from(error: ConnectError) -> Self {
        match error {
            ConnectError::Shortage(shortage) => Self::Shortage(shortage),
            ConnectError::Path(error) => Self::NotSent(error),
        }
    }
}

/// Request in wire format.
#[derive(Debug, Clone)]
pub struct Outgoing {
    /// Encoded head, and the body unless it is shared.
    pub bytes: Vec<u8>,
    /// Large body, which all attempts share instead of copying it; otherwise empty.
    pub shared_body: Arc<Vec<u8>>,
    /// Whether the method is HEAD; its answer has no body.
    pub is_head: bool,
    /// Name and value of the header that identifies answers to this request.
    pub id: Option<(&'static str, String)>,
    /// Number of bytes after which the answer is given up.
    pub max_answer: usize,
}

impl Outgoing {
    /// Encodes a request. `headers` must not contain `Content-Length`, which is added.
    pub fn new(method: &str, target: &str, headers: &Headers, body: &[u8]) -> Self {
        let mut req = Self::head(method, target, headers, body.len());
        req.bytes.extend_from_slice(body);
        req
    }

    /// Encodes a request like [`Self::new`], but shares its body if that is large.
    pub fn sharing(method: &str, target: &str, headers: &Headers, body: &Arc<Vec<u8>>) -> Self {
        if body.len() <= MAX_COPIED_BODY {
            return Self::new(method, target, headers, body);
        }
        let req = Self::head(method, target, headers, body.len());
        Self { shared_body: Arc::clone(body), ..req }
    }

    /// Returns the number of bytes of the encoded request.
    pub fn len(&self) -> usize {
        self.bytes.len() + self.shared_body.len()
    }

    /// Returns whether the request has no bytes, as no request that is sent has.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn head(method: &str, target: &str, headers: &Headers, body_len: usize) -> Self {
        let mut bytes = Vec::with_capacity(256 + body_len.min(MAX_COPIED_BODY));
        bytes.extend_from_slice(method.as_bytes());
        bytes.push(b' ');
        bytes.extend_from_slice(target.as_bytes());
        bytes.extend_from_slice(b" HTTP/1.1\r\n");
        headers.write(&mut bytes);
        if body_len > 0 || matches!(method, "POST" | "PUT" | "PATCH") {
            bytes.extend_from_slice(format!("Content-Length: {body_len}\r\n").as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        let is_head = method == "HEAD";
        let shared_body = Arc::default();
        Self { bytes, shared_body, is_head, id: None, max_answer: MAX_ANSWER_SIZE }
    }

    /// Limits the answer to the size of those to control calls.
    pub fn with_control_answer(self) -> Self {
        Self { max_answer: MAX_CONTROL_ANSWER_SIZE, ..self }
    }
}

/// Complete answer.
#[derive(Debug)]
pub struct Reply {
    /// Head of the final response; interim (1xx) responses are skipped.
    pub head: ResponseHead,
    /// Body without its transfer coding; empty if the request's method is HEAD.
    pub body: Vec<u8>,
    /// Whether it repeats the id of the request.
    pub is_matched: bool,
    /// Host over which it came, `None` if it came directly.
    pub via: Option<SocketAddr>,
    /// Its part of the memory for answers.
    pub charge: Charge,
}

/// Returns the number of bytes after which an answer is given up. Control calls to upstreams have no request id.
pub(crate) const fn max_answer(has_id: bool) -> usize {
    if has_id { MAX_ANSWER_SIZE } else { MAX_CONTROL_ANSWER_SIZE }
}

/// Time limits of a call whose answer may be large.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    /// Longest time without a byte of the answer.
    pub silence: Millis,
    /// Longest time of the whole call.
    pub total: Millis,
}

impl Patience {
    /// Returns limits by which the whole call takes at most `timeout`.
    pub const fn whole(timeout: Millis) -> Self {
        Self { silence: timeout, total: timeout }
    }
}

/// Connection to a peer.
pub struct Conn {
    stream: Async<TcpStream>,
    /// Number of bytes received so far.
    received: Arc<AtomicUsize>,
    buf: Vec<u8>,
    /// When the last answer arrived.
    pub used_at: Instant,
    /// The peer's idle timeout, if an answer announced one.
    pub keep_alive: Option<Duration>,
    /// Whether any request was answered on it.
    pub is_used: bool,
    /// Its part of the share for connections to upstreams, if it is one.
    pub permit: Option<Permit>,
    /// Hashes of the ids of requests that were answered with a failure or refusal.
    failed: Vec<u64>,
}

impl Conn {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`net::connect`].
    pub async fn open(addr: SocketAddr, timeout: Millis) -> Result<Self, ConnectError> {
        let stream = net::connect(addr, timeout).await?;
        Ok(Self {
            stream,
            received: Arc::default(),
            buf: Vec::new(),
            used_at: Instant::now(),
            keep_alive: None,
            is_used: false,
            permit: None,
            failed: Vec::new(),
        })
    }

    /// Returns whether the connection is open and has no unread data.
    pub fn is_clean(&self) -> bool {
        let mut byte = [0];
        let mut stream = self.stream.get_ref();
        self.buf.is_empty()
            && matches!(stream.read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        net::reset(self.stream);
    }

    /// Returns whether a request with this id can be sent. One that was refused on the connection can't: the upstream may
    /// write that refusal once more, which would pass for the answer to the new attempt.
    pub fn may_carry(&self, id: &str) -> bool {
        !self.failed.contains(&hash_of(id))
    }

    /// Sends a request and reads the answer to it. Returns whether the connection can be used again. An answer without an
    /// id, on a connection on which others arrived before, may be one of those once more and is taken for invalid.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::NotSent`] and [`Failure::Shortage`] only if no byte left the host.
    pub async fn exchange(&mut self, req: &Outgoing) -> Result<(Reply, bool), Failure> {
        let first = (&self.stream).write(&req.bytes).await.map_err(Failure::not_sent)?;
        let mut buf = std::mem::take(&mut self.buf);
        let write = RequestWrite::new(&self.stream, [&req.bytes[first..], &req.shared_body]);
        let source = Source { stream: &self.stream, received: &self.received, write: &write };
        let result = receive(source, &mut buf, req).or(write.run()).await;
        // The peer may have answered before it had read the request. The connection is not reused then.
        let is_written = write.is_finished();
        self.buf = buf;
        self.record_reply(req, result).map(|(reply, reusable)| (reply, reusable && is_written))
    }

    fn record_reply(
        &mut self,
        req: &Outgoing,
        result: Result<(Reply, bool), Failure>,
    ) -> Result<(Reply, bool), Failure> {
        let (reply, reusable) = result?;
        if let Some((_, id)) = &req.id {
            if !reply.is_matched && self.is_used {
                log::info!(status = reply.head.status; "client: an answer on a used connection has no request id");
                return Err(Failure::Malformed);
            }
            if reply.head.status >= FIRST_FAILURE_STATUS {
                self.failed.push(hash_of(id));
            }
        }
        self.used_at = Instant::now();
        self.is_used = true;
        if let Some(timeout) = answer_head::keep_alive(&reply.head.headers) {
            self.keep_alive = Some(timeout);
        }
        Ok((reply, reusable && self.buf.is_empty() && self.failed.len() < MAX_FAILED))
    }
}

fn hash_of(id: &str) -> u64 {
    xxh3::xxh3_64(id.as_bytes())
}

/// Connection to read an answer from.
#[derive(Clone, Copy)]
struct Source<'a> {
    stream: &'a Async<TcpStream>,
    /// Number of bytes received so far.
    received: &'a AtomicUsize,
    write: &'a RequestWrite<'a>,
}

/// Reads the answer to a request, and skips answers to other requests before it.
async fn receive(
    source: Source<'_>,
    buf: &mut Vec<u8>,
    req: &Outgoing,
) -> Result<(Reply, bool), Failure> {
    let mut skipped = 0;
    let mut size = AnswerSize::new(req.max_answer, req.id.is_some());
    loop {
        let (mut reply, reusable) = receive_next(source, buf, req.is_head, &mut size).await?;
        if let Some((name, id)) = &req.id {
            match reply.head.headers.get_str(name) {
                Some(found) if found == id => reply.is_matched = true,
                Some(_) if reusable && skipped < MAX_SKIPPED => {
                    skipped += 1;
                    continue;
                }
                Some(_) => return Err(Failure::Malformed),
                None => {}
            }
        }
        reply.charge = size.charge;
        return Ok((reply, reusable && skipped == 0));
    }
}

async fn receive_next(
    source: Source<'_>,
    buf: &mut Vec<u8>,
    is_head: bool,
    size: &mut AnswerSize,
) -> Result<(Reply, bool), Failure> {
    let (head, len) = loop {
        if let Some(found) = answer_head::parse_final(buf, is_head, &mut size.interim)? {
            break found;
        }
        if fill(source, buf, size).await? == 0 {
            return Err(Failure::Broken(io::ErrorKind::UnexpectedEof.into()));
        }
    };
    buf.drain(..len);
    let mut body = Vec::new();
    let mut decoder = Decoder::new(head.framing);
    loop {
        let used = decoder.decode(buf, &mut body).map_err(|_| Failure::Malformed)?;
        buf.drain(..used);
        if decoder.is_done() {
            break;
        }
        if body.len() > MAX_BODY_SIZE {
            return Err(Failure::Malformed);
        }
        if fill(source, buf, size).await? == 0 {
            if decoder.is_complete_at_close() {
                break;
            }
            return Err(Failure::Broken(io::ErrorKind::UnexpectedEof.into()));
        }
    }
    let reusable = head.keeps_alive;
    let charge = Charge::default();
    Ok((Reply { head, body, is_matched: false, via: None, charge }, reusable))
}

/// Reads more of an answer. Returns the number of bytes, which is 0 after an orderly end of the connection.
///
/// # Errors
///
/// Fails if the connection broke, or if there is no memory for the answer.
async fn fill(
    Source { mut stream, received, write }: Source<'_>,
    buf: &mut Vec<u8>,
    size: &mut AnswerSize,
) -> Result<usize, Failure> {
    size.reserve(READ_SIZE).await?;
    let mut chunk = [0; READ_SIZE];
    let count = stream.read(&mut chunk).await.map_err(Failure::Broken)?;
    if count == 0 {
        write.check_end().map_err(Failure::Broken)?;
    }
    size.add(count)?;
    received.fetch_add(count, Ordering::Relaxed);
    buf.extend_from_slice(&chunk[..count]);
    Ok(count)
}

/// Sends a request on a connection and waits for its answer up to `timeout`.
///
/// # Errors
///
/// Returns the errors of [`Conn::exchange`], and [`Failure::TimedOut`].
pub async fn exchange_within(
    conn: &mut Conn,
    req: &Outgoing,
    timeout: Millis,
) -> Result<(Reply, bool), Failure> {
    let timed_out = async {
        Timer::after(timeout.duration()).await;
        Err(Failure::TimedOut)
    };
    conn.exchange(req).or(timed_out).await
}

/// Sends a request on a connection and waits for its answer as long as bytes of it arrive. A timeout of the whole answer
/// would let no large one through where a link is slow or shared.
///
/// # Errors
///
/// Returns the errors of [`Conn::exchange`], and [`Failure::TimedOut`].
pub async fn exchange_patiently(
    conn: &mut Conn,
    req: &Outgoing,
    patience: Patience,
) -> Result<(Reply, bool), Failure> {
    let received = Arc::clone(&conn.received);
    let timed_out = async move {
        let started_at = clock::now();
        let give_up_at = started_at + patience.total;
        let (mut seen, mut seen_at) = (received.load(Ordering::Relaxed), started_at);
        loop {
            let silent_at = seen_at + patience.silence;
            // While bytes arrive, the time of the last one is known to a part of the silence.
            let check_at = if seen_at == started_at {
                silent_at
            } else {
                clock::now() + Millis(patience.silence.0 / SILENCE_CHECKS)
            };
            Timer::at(clock::instant(check_at.min(give_up_at))).await;
            let (count, now) = (received.load(Ordering::Relaxed), clock::now());
            if count != seen {
                (seen, seen_at) = (count, now);
            }
            if now >= give_up_at || now >= seen_at + patience.silence {
                return Err(Failure::TimedOut);
            }
        }
    };
    conn.exchange(req).or(timed_out).await
}

/// Client for control calls to one peer, which keeps its connection open. After a failure the connection is reset, so
/// that no undelivered part of the call arrives later.
pub struct ControlClient {
    addr: SocketAddr,
    conn: Option<Conn>,
    /// Number of failed calls since the last answer.
    pub consecutive_failures: u32,
}

impl ControlClient {
    /// Creates a client without a connection.
    pub const fn new(addr: SocketAddr) -> Self {
        Self { addr, conn: None, consecutive_failures: 0 }
    }

    /// Returns the peer's address.
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns whether the next call goes over a kept connection, unless the peer has closed it.
    pub fn is_connected(&self) -> bool {
        self.conn.as_ref().is_some_and(|conn| conn.used_at.elapsed() < CONTROL_IDLE_TIMEOUT)
    }

    /// Opens a connection for the next call, for a peer that may not be there: a host without power answers nothing, and the
    /// call would wait for it as long as for its answer.
    ///
    /// # Errors
    ///
    /// Fails with [`Failure::NotSent`] or [`Failure::Shortage`] if the connection can't be opened in time.
    pub async fn connect(&mut self, timeout: Millis) -> Result<(), Failure> {
        self.conn = Some(Conn::open(self.addr, timeout).await?);
        Ok(())
    }

    /// Makes a call. If the peer has closed the kept connection, returns [`Failure::NotSent`] once, so that the caller
    /// learns of it; the next call opens a new connection.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`exchange_within`], and those of [`Self::connect`].
    pub async fn call(&mut self, req: &Outgoing, timeout: Millis) -> Result<Reply, Failure> {
        self.call_patiently(req, Patience::whole(timeout)).await
    }

    /// Like [`Self::call`], for a call whose answer may be large.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Self::call`].
    pub async fn call_patiently(
        &mut self,
        req: &Outgoing,
        patience: Patience,
    ) -> Result<Reply, Failure> {
        let give_up_at = clock::now() + patience.total;
        let is_kept = self.is_connected();
        let mut conn = match self.conn.take().filter(|_| is_kept) {
            Some(conn) if conn.is_clean() => conn,
            Some(_) => {
                self.consecutive_failures += 1;
                return Err(Failure::NotSent(io::ErrorKind::ConnectionReset.into()));
            }
            None => Conn::open(self.addr, patience.silence).await.map_err(|e| {
                self.consecutive_failures += 1;
                Failure::from(e)
            })?,
        };
        let left = give_up_at.since(clock::now());
        if left == Millis(0) {
            // The process may have been stopped meanwhile.
            self.consecutive_failures += 1;
            return Err(Failure::NotSent(io::ErrorKind::TimedOut.into()));
        }
        let patience = Patience { silence: patience.silence.min(left), total: left };
        match exchange_patiently(&mut conn, req, patience).await {
            Ok((reply, reusable)) => {
                self.consecutive_failures = 0;
                if reusable {
                    self.conn = Some(conn);
                }
                Ok(reply)
            }
            Err(failure) => {
                self.consecutive_failures += 1;
                conn.reset();
                Err(failure)
            }
        }
    }
}
