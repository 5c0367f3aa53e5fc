//! HTTP server for callers, calls of other hosts, readiness checks and metrics. Pipelined requests of a connection run
//! concurrently and are answered in order.

use crate::answer::{self, Answer, OwnStatus};
use crate::client::Charge;
use crate::framing::{self, FramingError, LimitedPart, Oversize};
use crate::listener::{Busy, InFlight, ListenerState};
use crate::net::{self, Shortage};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::io::AsyncReadExt;
use futures_lite::{FutureExt, future};
use metrics::counter;
use skylarkdock_dispatch::descriptors::CallerAdmission;
use skylarkdock_freshness::final_answers::{FinalAnswer, RequestFault};
use skylarkdock_http1::body::{ChunkError, Decoder, Framing};
use skylarkdock_http1::head::RequestHead;
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
/// Number of requests of one connection that may run concurrently.
const MAX_PIPELINED: usize = 32;
/// Number of unparsed bytes from which on no more is read from a connection, unless a head may be larger.
const MAX_UNPARSED: usize = 64 * 1024;
/// Time that the caller has to close the connection after the last answer.
const LINGER_TIMEOUT: Millis = Millis(1_000);
/// `Retry-After` of a request that exceeds limits which are not proven to be in force.
const UNPROVEN_RETRY_AFTER: Millis = Millis(500);
/// Delay after a failed accept, for example because no file descriptors are left.
const ACCEPT_PAUSE: Millis = Millis(20);

/// Complete request.
#[derive(Debug)]
pub struct Incoming {
    /// Request line and header fields, with the target not decoded.
    pub head: RequestHead,
    /// Body without its transfer coding.
    pub body: Vec<u8>,
}

/// Future of the answer to a request.
pub type AnswerFuture = Pin<Box<dyn Future<Output = Answer>>>;

/// Function that answers requests.
pub type Handler = Rc<dyn Fn(Incoming) -> AnswerFuture>;

/// Limits for connections and requests from callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest size of a request head.
    pub head: ByteSize,
    /// Largest size of a request body.
    pub body: ByteSize,
    /// Longest time to receive a request.
    pub head_time: Millis,
    /// Longest idle time between requests.
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

/// Accepts and serves connections; never returns.
pub async fn accept(
    ex: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    shared: Rc<ListenerState>,
    handler: Handler,
) {
    loop {
        if shared.admission() == CallerAdmission::Wait {
            Timer::after(ACCEPT_PAUSE.duration()).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(e) = net::prepare(&stream) {
                    log::debug!("serve: can't set the options of a connection: {e}");
                    continue;
                }
                let has_closed = shared.admission() == CallerAdmission::CloseIdle;
                if has_closed {
                    shared.close_idle();
                }
                shared.add_open(true);
                let connection = serve_connection(stream, Rc::clone(&shared), Rc::clone(&handler));
                ex.spawn(connection).detach();
                if has_closed {
                    // The closed one gives back its descriptor before the next is taken.
                    future::yield_now().await;
                }
            }
            Err(e) => {
                let shortage = Shortage::of(&e);
                if let Some(lack) = shortage.map(Shortage::as_str) {
                    counter!("skylarkdock_shortages_total", "lack" => lack, "for" => "accept")
                        .increment(1);
                }
                log::warn!(lack:? = shortage; "serve: can't accept a connection: {e}");
                Timer::after(ACCEPT_PAUSE.duration()).await;
            }
        }
    }
}

/// Serves a connection until it is closed.
async fn serve_connection(stream: Async<TcpStream>, shared: Rc<ListenerState>, handler: Handler) {
    let limits = shared.limits();
    let mut connection = Connection {
        stream,
        shared: Rc::clone(&shared),
        handler,
        limits,
        limits_version: shared.limits_version.get(),
        requests: 0,
        input: Vec::new(),
        output: Vec::new(),
        charges: Vec::new(),
        written: 0,
        partial: None,
        pending: VecDeque::new(),
        is_input_closed: false,
        is_eof: false,
        timer: Timer::after(limits.idle_time.duration()),
        waiting_since: Instant::now(),
        receiving_since: None,
        busy: None,
        idle: None,
        is_unwanted: Rc::default(),
    };
    let end = poll_fn(|cx| {
        let polled = connection.poll(cx);
        connection.update_busy(cx);
        polled
    })
    .await;
    if let Some((key, _)) = connection.idle.take() {
        shared.idle.remove(key);
    }
    match end {
        Err(e) => log::debug!("serve: connection failed: {e}"),
        Ok(()) if connection.is_input_closed && !connection.is_eof => {
            linger(&connection.stream).await
        }
        Ok(()) => {}
    }
    drop(connection);
    shared.add_open(false);
}

/// Closes a connection so that the last answer arrives. Closing it while the caller is still sending would reset the
/// connection, and the answer could be lost.
async fn linger(stream: &Async<TcpStream>) {
    if stream.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let drained = async {
        let mut stream = stream;
        let mut chunk = [0; READ_SIZE];
        while matches!(stream.read(&mut chunk).await, Ok(count) if count > 0) {}
    };
    let timed_out = async {
        Timer::after(LINGER_TIMEOUT.duration()).await;
    };
    drained.or(timed_out).await;
}

enum PendingState {
    Running { future: AnswerFuture, _in_flight: InFlight },
    Ready(Answer),
}

struct Pending {
    state: PendingState,
    is_head: bool,
    closes_connection: bool,
}

struct Connection {
    stream: Async<TcpStream>,
    shared: Rc<ListenerState>,
    handler: Handler,
    /// Limits for the request that is being received, or for the next one.
    limits: Limits,
    /// Version of the configuration that the limits are from; zero if they are built in.
    limits_version: u64,
    /// Number of complete requests that the connection has had.
    requests: u64,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Memory that the answers in `output` count for.
    charges: Vec<Charge>,
    written: usize,
    partial: Option<(RequestHead, Decoder, Vec<u8>)>,
    pending: VecDeque<Pending>,
    /// Whether no further requests are read.
    is_input_closed: bool,
    is_eof: bool,
    timer: Timer,
    /// When the last answer was queued; the start of the connection before the first one.
    waiting_since: Instant,
    /// When the first byte was seen of a request that has not arrived completely.
    receiving_since: Option<Instant>,
    busy: Option<Busy>,
    /// Key among the connections without a request, and how many it had had before.
    idle: Option<(u64, u64)>,
    /// Whether it is closed once it has no request, so that another caller gets its descriptor.
    is_unwanted: Rc<Cell<bool>>,
}

impl Connection {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut is_drained = false;
        loop {
            let mut progressed = false;
            // A caller that closed while its bytes or this task waited must be seen to have left before anything is sent
            // for it.
            if !is_drained {
                (progressed, is_drained) = self.poll_read(cx)?;
            }
            if self.is_eof && (!self.pending.is_empty() || self.output.is_empty()) {
                // The caller has disconnected. Dropping its requests cancels them at the upstreams.
                return Poll::Ready(Ok(()));
            }
            progressed |= self.start_requests();
            progressed |= self.poll_handlers(cx);
            progressed |= self.poll_write(cx)?;
            if self.is_input_closed && self.pending.is_empty() && self.output.is_empty() {
                return Poll::Ready(Ok(()));
            }
            if !progressed {
                return self.poll_timeout(cx);
            }
        }
    }

    /// Records whether the connection has a request without a complete answer.
    fn update_busy(&mut self, cx: &Context<'_>) {
        // What follows the last answer is not read.
        let is_receiving =
            !self.is_input_closed && (self.partial.is_some() || !self.input.is_empty());
        let is_busy = is_receiving || !self.pending.is_empty() || !self.output.is_empty();
        if is_busy != self.busy.is_some() {
            self.busy = is_busy.then(|| Busy::new(&self.shared));
        }
        let is_idle = !is_busy && !self.is_input_closed && !self.is_unwanted.get();
        // A request may have come and been answered since the last time.
        let is_known = self.idle.is_some_and(|(_, requests)| is_idle && requests == self.requests);
        if !is_known && let Some((key, _)) = self.idle.take() {
            self.shared.idle.remove(key);
        }
        if !is_known && is_idle {
            let key = self.shared.idle.add(&self.is_unwanted, cx.waker());
            self.idle = Some((key, self.requests));
        }
    }

    /// Reads what has arrived. Returns whether that was anything, and whether it was all, up to the end if the caller has
    /// closed the connection.
    fn poll_read(&mut self, cx: &mut Context<'_>) -> io::Result<(bool, bool)> {
        // A head that exceeds its limit must be seen to do so.
        let max_head = usize::try_from(self.limits.head.0).unwrap_or(usize::MAX);
        let max_unparsed = MAX_UNPARSED.max(max_head.saturating_add(1));
        let mut received = 0;
        let mut chunk = [0; READ_SIZE];
        while !self.is_eof && received.max(self.input.len()) < max_unparsed {
            match self.stream.get_ref().read(&mut chunk) {
                Ok(0) => {
                    self.is_eof = true;
                    return Ok((true, true));
                }
                Ok(count) => {
                    received += count;
                    if !self.is_input_closed {
                        self.input.extend_from_slice(&chunk[..count]);
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    match self.stream.poll_readable(cx) {
                        Poll::Ready(Ok(())) => {}
                        Poll::Ready(Err(e)) => return Err(e),
                        Poll::Pending => return Ok((received > 0, true)),
                    }
                }
                Err(e) => return Err(e),
            }
        }
        Ok((received > 0, false))
    }

    /// Parses the input and starts the requests that are complete.
    fn start_requests(&mut self) -> bool {
        let mut started = false;
        while !self.is_input_closed && self.pending.len() < MAX_PIPELINED {
            if self.partial.is_none() && self.shared.is_leaving.get() && !self.pending.is_empty() {
                // Data that follows counts as unread, and the connection is closed after the pending answers.
                self.is_input_closed = true;
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
                Err(ChunkError) => {
                    self.reject(FramingError::Invalid(RequestFault::MalformedChunk));
                    return true;
                }
            }
            let body_len = body.len() as u64;
            if body_len > self.limits.body.0 {
                self.reject_large(LimitedPart::Body, body_len);
                return true;
            }
            if !decoder.is_done() {
                break;
            }
            let Some((head, _, body)) = self.partial.take() else { break };
            self.start_request(head, body);
            started = true;
        }
        started
    }

    /// Removes a request head from the input. Returns whether it was complete and accepted.
    fn parse_head(&mut self) -> bool {
        if self.input.is_empty() {
            return false;
        }
        self.limits = self.shared.limits();
        self.limits_version = self.shared.limits_version.get();
        // Empty lines before a request are ignored.
        let leading_newlines = self.input.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
        self.input.drain(..leading_newlines);
        let received = self.input.len() as u64;
        // What lies beyond the limit is not part of a valid head.
        let within_limit = usize::try_from(self.limits.head.0.min(received)).unwrap_or(usize::MAX);
        match RequestHead::parse(&self.input[..within_limit]) {
            Ok(None) if received > self.limits.head.0 => {
                self.reject_large(LimitedPart::Head, received);
            }
            Ok(None) => {}
            Ok(Some((head, len))) => {
                if let Framing::Length(len) = head.framing
                    && len > self.limits.body.0
                {
                    self.reject_large(LimitedPart::Body, len);
                    return false;
                }
                self.input.drain(..len);
                if head.headers.contains_token("expect", "100-continue") && self.pending.is_empty()
                {
                    self.output.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                }
                let decoder = Decoder::new(head.framing);
                self.partial = Some((head, decoder, Vec::new()));
                return true;
            }
            Err(e) => {
                let size = ByteSize(received);
                self.reject(FramingError::of_head(e, size, self.limits_version));
            }
        }
        false
    }

    fn start_request(&mut self, head: RequestHead, body: Vec<u8>) {
        self.requests += 1;
        let closes_connection = !head.keeps_alive();
        self.is_input_closed = closes_connection;
        let is_head = head.method == "HEAD";
        let future = (self.handler)(Incoming { head, body });
        let state = PendingState::Running { future, _in_flight: InFlight::new(&self.shared) };
        self.pending.push_back(Pending { state, is_head, closes_connection });
    }

    fn reject_large(&mut self, part: LimitedPart, size: u64) {
        let size = ByteSize(size);
        let oversize = Oversize { part, size, version: self.limits_version };
        self.reject(FramingError::TooLarge(oversize));
    }

    /// Queues an error answer behind those of the previous requests, and stops reading.
    fn reject(&mut self, error: FramingError) {
        let (answer, unproven) = match error {
            FramingError::Invalid(fault) => (Answer::rejected(FinalAnswer::invalid(fault)), None),
            FramingError::UnsupportedCoding => (Answer::empty(OwnStatus::NotImplemented), None),
            FramingError::TooLarge(oversize) => match self.shared.judge_size(oversize) {
                Ok(answer) => (Answer::rejected(answer), None),
                Err(unproven) => (Answer::refused(UNPROVEN_RETRY_AFTER), Some(unproven)),
            },
        };
        let (status, reason) = (answer.status, error.as_str());
        framing::count_rejection(status, reason);
        log::info!(status = status, reason = reason, unproven:? = unproven,
            bytes = framing::excerpt(&self.input),
            received_bytes = self.input.len(), requests_before = self.requests,
            head_limit_bytes = self.limits.head.0, body_limit_bytes = self.limits.body.0,
            config = self.limits_version;
            "serve: a request is malformed or too large");
        self.partial = None;
        self.input.clear();
        self.is_input_closed = true;
        let state = PendingState::Ready(answer);
        self.pending.push_back(Pending { state, is_head: false, closes_connection: true });
    }

    fn poll_handlers(&mut self, cx: &mut Context<'_>) -> bool {
        let mut progressed = false;
        for pending in &mut self.pending {
            if let PendingState::Running { future, .. } = &mut pending.state
                && let Poll::Ready(answer) = future.as_mut().poll(cx)
            {
                pending.state = PendingState::Ready(answer);
                progressed = true;
            }
        }
        while matches!(self.pending.front(), Some(Pending { state: PendingState::Ready(_), .. })) {
            let Some(Pending {
                state: PendingState::Ready(mut answer),
                is_head,
                closes_connection,
            }) = self.pending.pop_front()
            else {
                break;
            };
            self.charges.push(answer.take_charge());
            // During a shutdown, or for another caller, an answer closes the connection only if no other request has been
            // read from it.
            let closes_for_shutdown = (self.shared.is_leaving.get() || self.is_unwanted.get())
                && self.pending.is_empty()
                && self.partial.is_none()
                && (self.is_input_closed || self.input.is_empty());
            if closes_for_shutdown {
                self.is_input_closed = true;
            }
            write_answer(
                &mut self.output,
                answer,
                is_head,
                closes_connection || closes_for_shutdown,
            );
            self.waiting_since = Instant::now();
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
            self.charges.clear();
        }
        Ok(progressed)
    }

    /// Closes a connection that has been idle for too long, or on which a request takes too long to arrive.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.pending.is_empty() || !self.output.is_empty() {
            return Poll::Pending;
        }
        let is_partial = self.partial.is_some() || !self.input.is_empty();
        let end = if is_partial {
            let since = *self.receiving_since.get_or_insert_with(Instant::now);
            since.max(self.waiting_since) + self.limits.head_time.duration()
        } else {
            self.receiving_since = None;
            if self.is_unwanted.get() {
                return Poll::Ready(Ok(()));
            }
            self.limits = self.shared.limits();
            self.waiting_since + self.limits.idle_time.duration()
        };
        self.timer.set_at(end);
        match Pin::new(&mut self.timer).poll(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(_) => Poll::Ready(Ok(())),
        }
    }
}

fn write_answer(output: &mut Vec<u8>, answer: Answer, is_head: bool, closes_connection: bool) {
    let reason_phrase = answer::reason_phrase(answer.status);
    output.extend_from_slice(format!("HTTP/1.1 {} {reason_phrase}\r\n", answer.status).as_bytes());
    answer.headers.write(output);
    if answer.status != 204 && answer.status != 304 {
        output.extend_from_slice(format!("Content-Length: {}\r\n", answer.body.len()).as_bytes());
    }
    if closes_connection {
        output.extend_from_slice(b"Connection: close\r\n");
    }
    output.extend_from_slice(b"\r\n");
    if !is_head {
        output.extend_from_slice(&answer.body);
    }
}
