//! Connections of callers: requests are read as they come, worked on side by side and answered in order.

use crate::net;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use futures_lite::io::AsyncReadExt;
use skylarkdock_http1::body::{Decoder, Framing};
use skylarkdock_http1::head::{HeadError, Headers, RequestHead};
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::times::Millis;
use std::cell::Cell;
use std::collections::VecDeque;
use std::future::{Future, poll_fn};
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

const READ_SIZE: usize = 16 * 1024;
/// Most requests of one connection that are worked on at once.
const MAX_PIPELINED: usize = 32;
/// Unparsed bytes above which a connection is not read.
const MAX_UNREAD: usize = 64 * 1024;
/// Time for the caller to close a connection that ended with an answer.
const LINGER: Millis = Millis(1_000);
/// Pause after a failed accept, for example for want of descriptors.
const ACCEPT_PAUSE: Millis = Millis(20);

/// A whole request.
#[derive(Debug)]
pub struct Incoming {
    /// Its head.
    pub head: RequestHead,
    /// Its body, decoded.
    pub body: Vec<u8>,
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Header fields other than the length and those of the connection.
    pub headers: Headers,
    /// Body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Builds an answer without a body.
    pub fn empty(status: u16) -> Self {
        Self { status, headers: Headers::default(), body: Vec::new() }
    }
}

/// A future of an answer.
pub type Answering = Pin<Box<dyn Future<Output = Answer>>>;

/// Answers requests.
pub type Handler = Rc<dyn Fn(Incoming) -> Answering>;

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head.
    pub head: ByteSize,
    /// Largest body.
    pub body: ByteSize,
    /// Longest time for a head.
    pub head_time: Millis,
    /// Longest time between requests.
    pub idle_time: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: ByteSize(64 * 1024),
            body: ByteSize(16 * 1024 * 1024),
            head_time: Millis(10_000),
            idle_time: Millis(60_000),
        }
    }
}

/// State that all connections of a listener share.
#[derive(Debug, Default)]
pub struct Shared {
    /// Whether the host is leaving: each answer closes its connection.
    pub is_leaving: Cell<bool>,
    /// Whether the host is about to end: requests are refused.
    pub is_ending: Cell<bool>,
    /// Requests that are worked on.
    pub in_flight: Cell<usize>,
    /// Open connections.
    pub open: Cell<usize>,
    /// Bounds for callers.
    pub limits: Cell<Option<Limits>>,
}

/// Accepts connections for ever.
pub async fn accept(
    ex: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    shared: Rc<Shared>,
    handler: Handler,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(e) = net::prepare(&stream) {
                    log::debug!("serve: a connection ended before it was served: {e}");
                    continue;
                }
                let shared = Rc::clone(&shared);
                let handler = Rc::clone(&handler);
                ex.spawn(connection(stream, shared, handler)).detach();
            }
            Err(e) => {
                log::warn!("serve: can't accept a connection: {e}");
                Timer::after(ACCEPT_PAUSE.duration()).await;
            }
        }
    }
}

/// Serves one connection to its end.
async fn connection(stream: Async<TcpStream>, shared: Rc<Shared>, handler: Handler) {
    shared.open.set(shared.open.get() + 1);
    let limits = shared.limits.get().unwrap_or_default();
    let mut line = Line {
        stream,
        shared: Rc::clone(&shared),
        handler,
        limits,
        input: Vec::new(),
        output: Vec::new(),
        written: 0,
        partial: None,
        pending: VecDeque::new(),
        is_last: false,
        is_eof: false,
        timer: Timer::after(limits.idle_time.duration()),
        idle_since: Instant::now(),
    };
    let end = poll_fn(|cx| line.poll(cx)).await;
    match end {
        Err(e) => log::debug!("serve: a connection broke: {e}"),
        Ok(()) if line.is_last && !line.is_eof => linger(&line.stream).await,
        Ok(()) => {}
    }
    shared.open.set(shared.open.get() - 1);
}

/// Ends a connection so that its last answer arrives: closing while the caller still sends would reset it.
async fn linger(stream: &Async<TcpStream>) {
    if stream.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let drained = async {
        let mut stream = stream;
        let mut chunk = [0; READ_SIZE];
        while matches!(stream.read(&mut chunk).await, Ok(count) if count > 0) {}
    };
    let passed = async {
        Timer::after(LINGER.duration()).await;
    };
    drained.or(passed).await;
}

enum Slot {
    Working { answering: Answering, _count: InFlight },
    Ready(Answer),
}

struct Pending {
    slot: Slot,
    is_head: bool,
    closes: bool,
}

/// Counts a request as worked on while it lives.
struct InFlight(Rc<Shared>);

impl InFlight {
    fn new(shared: &Rc<Shared>) -> Self {
        shared.in_flight.set(shared.in_flight.get() + 1);
        Self(Rc::clone(shared))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

struct Line {
    stream: Async<TcpStream>,
    shared: Rc<Shared>,
    handler: Handler,
    limits: Limits,
    input: Vec<u8>,
    output: Vec<u8>,
    written: usize,
    partial: Option<(RequestHead, Decoder, Vec<u8>)>,
    pending: VecDeque<Pending>,
    /// Whether no further request is read.
    is_last: bool,
    is_eof: bool,
    timer: Timer,
    idle_since: Instant,
}

impl Line {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            let mut progressed = self.poll_read(cx)?;
            if self.is_eof && (!self.pending.is_empty() || self.output.is_empty()) {
                // The caller has left: dropping the requests cancels them at the upstreams.
                return Poll::Ready(Ok(()));
            }
            progressed |= self.parse();
            progressed |= self.poll_answers(cx);
            progressed |= self.poll_write(cx)?;
            if self.is_last && self.pending.is_empty() && self.output.is_empty() {
                return Poll::Ready(Ok(()));
            }
            if !progressed {
                return self.poll_timeout(cx);
            }
        }
    }

    fn poll_read(&mut self, cx: &mut Context<'_>) -> io::Result<bool> {
        if self.is_eof || self.input.len() >= MAX_UNREAD || self.pending.len() >= MAX_PIPELINED {
            return Ok(false);
        }
        let mut chunk = [0; READ_SIZE];
        loop {
            match self.stream.get_ref().read(&mut chunk) {
                Ok(0) => {
                    self.is_eof = true;
                    return Ok(true);
                }
                Ok(count) => {
                    if !self.is_last {
                        self.input.extend_from_slice(&chunk[..count]);
                    }
                    return Ok(true);
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    match self.stream.poll_readable(cx) {
                        Poll::Ready(Ok(())) => {}
                        Poll::Ready(Err(e)) => return Err(e),
                        Poll::Pending => return Ok(false),
                    }
                }
                Err(e) => return Err(e),
            }
        }
    }

    /// Starts work on the requests that are whole.
    fn parse(&mut self) -> bool {
        let mut started = false;
        while !self.is_last && self.pending.len() < MAX_PIPELINED {
            if self.partial.is_none() && self.shared.is_leaving.get() && !self.pending.is_empty() {
                // What follows counts as not read; the answers that are due end the connection.
                self.is_last = true;
                break;
            }
            if self.partial.is_none() && !self.parse_head() {
                break;
            }
            let Some((_, decoder, body)) = &mut self.partial else { break };
            match decoder.decode(&self.input, body) {
                Ok(used) => {
                    self.input.drain(..used);
                }
                Err(_) => {
                    self.reject(400);
                    return true;
                }
            }
            if body.len() as u64 > self.limits.body.0 {
                self.reject(413);
                return true;
            }
            if !decoder.is_done() {
                break;
            }
            let Some((head, _, body)) = self.partial.take() else { break };
            self.start(head, body);
            started = true;
        }
        started
    }

    /// Takes a head off the input; returns whether there was one.
    fn parse_head(&mut self) -> bool {
        if self.input.is_empty() {
            return false;
        }
        // Empty lines before a request are allowed.
        let blank = self.input.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
        self.input.drain(..blank);
        match RequestHead::parse(&self.input) {
            Ok(None) if self.input.len() as u64 > self.limits.head.0 => self.reject(431),
            Ok(None) => {}
            Ok(Some((_, len))) if len as u64 > self.limits.head.0 => self.reject(431),
            Ok(Some((head, len))) => {
                self.input.drain(..len);
                let is_too_long =
                    matches!(head.framing, Framing::Length(len) if len > self.limits.body.0);
                if is_too_long {
                    self.reject(413);
                    return false;
                }
                if head.headers.contains_token("expect", "100-continue") && self.pending.is_empty()
                {
                    self.output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                }
                let decoder = Decoder::new(head.framing);
                self.partial = Some((head, decoder, Vec::new()));
                return true;
            }
            Err(HeadError::TooManyHeaders) => self.reject(431),
            Err(HeadError::UnsupportedCoding) => self.reject(501),
            Err(HeadError::Malformed | HeadError::AmbiguousLength) => self.reject(400),
        }
        false
    }

    fn start(&mut self, head: RequestHead, body: Vec<u8>) {
        let closes = !head.keeps_alive();
        self.is_last = closes;
        let is_head = head.method == "HEAD";
        let answering = (self.handler)(Incoming { head, body });
        let slot = Slot::Working { answering, _count: InFlight::new(&self.shared) };
        self.pending.push_back(Pending { slot, is_head, closes });
    }

    /// Answers with a failure after the requests before it, and reads no more.
    fn reject(&mut self, status: u16) {
        log::info!(status = status; "serve: a request is malformed or too large");
        self.partial = None;
        self.input.clear();
        self.is_last = true;
        let slot = Slot::Ready(Answer::empty(status));
        self.pending.push_back(Pending { slot, is_head: false, closes: true });
    }

    fn poll_answers(&mut self, cx: &mut Context<'_>) -> bool {
        let mut progressed = false;
        for pending in &mut self.pending {
            if let Slot::Working { answering, .. } = &mut pending.slot
                && let Poll::Ready(answer) = answering.as_mut().poll(cx)
            {
                pending.slot = Slot::Ready(answer);
                progressed = true;
            }
        }
        while matches!(self.pending.front(), Some(Pending { slot: Slot::Ready(_), .. })) {
            let Some(Pending { slot: Slot::Ready(answer), is_head, closes }) =
                self.pending.pop_front()
            else {
                break;
            };
            // A connection closes behind an answer only if no other request was read from it.
            let leaves = self.shared.is_leaving.get()
                && self.pending.is_empty()
                && self.partial.is_none()
                && (self.is_last || self.input.is_empty());
            if leaves {
                self.is_last = true;
            }
            write_answer(&mut self.output, answer, is_head, closes || leaves);
            self.idle_since = Instant::now();
            progressed = true;
        }
        progressed
    }

    fn poll_write(&mut self, cx: &mut Context<'_>) -> io::Result<bool> {
        let mut progressed = false;
        while self.written < self.output.len() {
            match self.stream.get_ref().write(&self.output[self.written..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.written += count;
                    progressed = true;
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    match self.stream.poll_writable(cx) {
                        Poll::Ready(Ok(())) => {}
                        Poll::Ready(Err(e)) => return Err(e),
                        Poll::Pending => return Ok(progressed),
                    }
                }
                Err(e) => return Err(e),
            }
        }
        if self.written > 0 {
            self.written = 0;
            self.output = Vec::new();
        }
        Ok(progressed)
    }

    /// Ends a connection that is idle, or whose request doesn't come, for too long.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.pending.is_empty() || !self.output.is_empty() {
            return Poll::Pending;
        }
        let is_partial = self.partial.is_some() || !self.input.is_empty();
        let allowed = if is_partial { self.limits.head_time } else { self.limits.idle_time };
        let end = self.idle_since + allowed.duration();
        self.timer.set_at(end);
        match Pin::new(&mut self.timer).poll(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(_) => Poll::Ready(Ok(())),
        }
    }
}

fn write_answer(output: &mut Vec<u8>, answer: Answer, is_head: bool, closes: bool) {
    let reason = reason(answer.status);
    output.extend_from_slice(format!("HTTP/1.1 {} {reason}\r\n", answer.status).as_bytes());
    answer.headers.write(output);
    if answer.status != 204 && answer.status != 304 {
        output.extend_from_slice(format!("Content-Length: {}\r\n", answer.body.len()).as_bytes());
    }
    if closes {
        output.extend_from_slice(b"Connection: close\r\n");
    }
    output.extend_from_slice(b"\r\n");
    if !is_head {
        output.extend_from_slice(&answer.body);
    }
}

const fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
