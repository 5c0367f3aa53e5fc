//! Receives requests: reads, parses heads, and keeps or drops bodies.

use super::{Connection, Pending, PendingState, REQUEST_BYTES};
use crate::answer::{Answer, OwnStatus};
use crate::framing::{self, FramingError, LimitedPart, Oversize};
use crate::listener::InFlight;
use crate::memory::Asked;
use crate::serve::Incoming;
use metrics::counter;
use skylarkdock_freshness::final_answers::{FinalAnswer, RequestFault};
use skylarkdock_http1::body::{ChunkError, Decoder, Framing};
use skylarkdock_http1::head::RequestHead;
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::times::Millis;
use std::io::{self, Read};
use std::task::{Context, Poll};

const READ_SIZE: usize = 16 * 1024;
/// Number of unparsed bytes from which on no more is read from a connection, unless a head may be larger.
const MAX_UNPARSED: usize = 64 * 1024;
/// Memory that a parsed header field takes beside its bytes: two strings, with what the allocator adds to each.
const FIELD_BYTES: u64 = 112;
/// Smallest number of bytes by which a body grows.
const MIN_BODY_GROWTH: usize = 64 * 1024;
/// A body grows by one in so many of its bytes, so that it is moved rarely and little is held in vain.
const BODY_GROWTH_PART: usize = 4;
/// `Retry-After` of a request that exceeds limits which are not proven to be in force.
const UNPROVEN_RETRY_AFTER: Millis = Millis(500);
/// `Retry-After` of a request for which there is no memory; a third of the shortest usual time limit.
const MEMORY_RETRY_AFTER: Millis = Millis(500);

/// Request whose head has arrived and whose body has not.
pub(super) struct Partial {
    /// Head of the request, unless it was answered already. Its body is dropped then.
    head: Option<RequestHead>,
    head_bytes: u64,
    /// Length of the body, if it is known.
    length: Option<u64>,
    decoder: Decoder,
    body: Vec<u8>,
    dropped: u64,
}

impl Partial {
    pub(super) fn held(&self) -> u64 {
        self.head_bytes + self.body.capacity() as u64
    }

    /// Returns the capacity that the body needs for `arrived` more bytes.
    fn capacity_for(&self, arrived: usize) -> usize {
        let needed = self.body.len() + arrived;
        if needed <= self.body.capacity() {
            return self.body.capacity();
        }
        let step = MIN_BODY_GROWTH.max(self.body.len() / BODY_GROWTH_PART);
        let whole = self.length.and_then(|length| usize::try_from(length).ok());
        let wanted = whole.unwrap_or(usize::MAX).min(self.body.len() + step);
        // What has arrived beyond a known length belongs to the next request.
        if whole.is_some_and(|whole| needed >= whole) { wanted } else { wanted.max(needed) }
    }
}

/// What became of the bytes of a body that have arrived.
enum BodyStep {
    Complete,
    NeedsMore,
    /// The request was rejected or refused.
    Ended,
}

impl Connection {
    /// Returns whether the client has to wait for its answers, or to read them, before more requests are taken.
    pub(super) fn is_full(&self) -> bool {
        let limits = self.shared.client_limits.get();
        self.pending.len() >= limits.max_pipelined
            || self.output.len() as u64 >= limits.max_unread.0
    }

    /// Asks for memory so that the connection may hold `more` than it does. Refuses the request that is being received if there
    /// is none to be had.
    fn ask_for(&mut self, more: u64, cx: &Context<'_>) -> bool {
        match self.account.ask(self.held() + more, cx) {
            Asked::Granted => true,
            Asked::Wait => {
                self.waits_for_memory = true;
                false
            }
            Asked::Refused => {
                self.refuse_for_memory();
                false
            }
        }
    }

    /// Reads what has arrived. Returns whether that was anything, and whether it was all, up to the end if the caller has
    /// closed the connection.
    pub(super) fn poll_read(&mut self, cx: &mut Context<'_>) -> io::Result<(bool, bool)> {
        // A head that exceeds its limit must be seen to do so.
        let max_head = usize::try_from(self.limits.head.0).unwrap_or(usize::MAX);
        let max_unparsed = if self.is_full() {
            // Up to one read is taken all the same, as a client that closes the connection is seen only behind what it sent.
            READ_SIZE
        } else {
            MAX_UNPARSED.max(max_head.saturating_add(1))
        };
        let mut received = 0;
        let mut chunk = [0; READ_SIZE];
        while !self.is_eof && received.max(self.input.len()) < max_unparsed {
            if !self.is_input_closed && !self.ask_for(READ_SIZE as u64, cx) {
                return Ok((received > 0 || self.is_input_closed, false));
            }
            match self.stream.get_ref().read(&mut chunk) {
                Ok(0) => {
                    self.is_eof = true;
                    return Ok((true, true));
                }
                Ok(count) => {
                    received += count;
                    self.moved += count as u64;
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
    pub(super) fn start_requests(&mut self, cx: &Context<'_>) -> bool {
        let mut started = false;
        while !self.is_input_closed && !self.is_full() {
            if self.partial.is_none() && self.shared.is_leaving.get() && !self.pending.is_empty() {
                // Data that follows counts as unread, and the connection is closed after the pending answers.
                self.is_input_closed = true;
                break;
            }
            if self.partial.is_none() && !self.parse_head(cx) {
                break;
            }
            let is_dropped = self.partial.as_ref().is_some_and(|partial| partial.head.is_none());
            let step = if is_dropped { self.drop_body() } else { self.keep_body(cx) };
            match step {
                BodyStep::Complete if is_dropped => self.partial = None,
                BodyStep::Complete => {
                    if !self.start_request(cx) {
                        break;
                    }
                }
                BodyStep::NeedsMore => break,
                BodyStep::Ended => return true,
            }
            started = true;
        }
        started
    }

    /// Moves what has arrived of the body from the input.
    fn keep_body(&mut self, cx: &Context<'_>) -> BodyStep {
        let Some(partial) = &self.partial else { return BodyStep::NeedsMore };
        let capacity = partial.capacity_for(self.input.len());
        let more = capacity.saturating_sub(partial.body.capacity());
        if !partial.decoder.is_done() && !self.ask_for(more as u64, cx) {
            return if self.is_input_closed { BodyStep::Ended } else { BodyStep::NeedsMore };
        }
        let Some(Partial { decoder, body, .. }) = &mut self.partial else {
            return BodyStep::NeedsMore;
        };
        if !decoder.is_done() {
            body.reserve_exact(capacity.saturating_sub(body.len()));
        }
        match decoder.decode(&self.input, body) {
            Ok(used) => {
                self.input.drain(..used);
            }
            Err(ChunkError) => {
                self.reject(FramingError::Invalid(RequestFault::MalformedChunk));
                return BodyStep::Ended;
            }
        }
        let (len, is_done) = (body.len() as u64, decoder.is_done());
        if len > self.limits.body.0 {
            self.reject_large(LimitedPart::Body, len);
            return BodyStep::Ended;
        }
        if is_done { BodyStep::Complete } else { BodyStep::NeedsMore }
    }

    /// Drops what has arrived of a body whose request was answered. After too much of it the connection is closed.
    fn drop_body(&mut self) -> BodyStep {
        let Some(Partial { decoder, dropped, .. }) = &mut self.partial else {
            return BodyStep::NeedsMore;
        };
        let mut body = Vec::with_capacity(self.input.len());
        let decoded = decoder.decode(&self.input, &mut body);
        *dropped += body.len() as u64;
        if let Ok(used) = decoded {
            self.input.drain(..used);
        }
        if decoded.is_ok() && decoder.is_done() {
            return BodyStep::Complete;
        }
        if decoded.is_err() || *dropped > self.shared.client_limits.get().max_dropped.0 {
            counter!("skylarkdock_clients_closed_total", "reason" => "dropped_body").increment(1);
            log::info!(listener = self.shared.name.get().0, dropped_bytes = *dropped,
                is_malformed = decoded.is_err();
                "serve: a connection is closed, as the body of an answered request does not end");
            self.partial = None;
            self.input.clear();
            self.is_input_closed = true;
            return BodyStep::Ended;
        }
        BodyStep::NeedsMore
    }

    /// Removes a request head from the input. Returns whether it was complete and accepted.
    fn parse_head(&mut self, cx: &Context<'_>) -> bool {
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
        if !self.ask_for(head_bytes(&self.input[..within_limit]), cx) {
            return false;
        }
        match RequestHead::parse(&self.input[..within_limit]) {
            Ok(None) if received > self.limits.head.0 => {
                self.reject_large(LimitedPart::Head, received);
            }
            Ok(None) => {}
            Ok(Some((head, len))) => return self.accept_head(head, len),
            Err(e) => {
                let size = ByteSize(received);
                self.reject(FramingError::of_head(e, size, self.limits_version));
            }
        }
        false
    }

    /// Accepts a request head of `len` bytes, and starts a request that is decided without its body. Returns whether the head
    /// was accepted.
    fn accept_head(&mut self, head: RequestHead, len: usize) -> bool {
        let length = match head.framing {
            Framing::Length(length) => Some(length),
            Framing::Chunked | Framing::UntilClose => None,
        };
        if let Some(length) = length.filter(|length| *length > self.limits.body.0) {
            self.reject_large(LimitedPart::Body, length);
            return false;
        }
        let head_bytes = head_bytes(&self.input[..len]);
        self.input.drain(..len);
        let expects = head.headers.contains_token("expect", "100-continue");
        let decoder = Decoder::new(head.framing);
        let partial =
            Partial { head: None, head_bytes: 0, length, decoder, body: Vec::new(), dropped: 0 };
        // A body that is here already is not worth a decision of its own.
        let is_here = length.is_some_and(|length| length <= self.input.len() as u64);
        if !is_here && !self.shared.needs_body(&head) {
            // A client that waits for leave to send its body may not send it after a final answer.
            self.run(head, Vec::new(), head_bytes, expects);
            self.partial = Some(partial);
            return !self.is_input_closed;
        }
        if expects && self.pending.is_empty() {
            self.output.push(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec());
        }
        self.partial = Some(Partial { head: Some(head), head_bytes, ..partial });
        true
    }

    /// Starts the request that has arrived, once there is memory for what its handler copies. Returns whether it has.
    fn start_request(&mut self, cx: &Context<'_>) -> bool {
        let Some(Partial { body, .. }) = &self.partial else { return false };
        let copied = self.shared.copied_bytes(body.len());
        if !self.ask_for(copied + REQUEST_BYTES, cx) {
            return false;
        }
        let Some(Partial { head: Some(mut head), head_bytes, body, .. }) = self.partial.take()
        else {
            return false;
        };
        head.framing = Framing::Length(body.len() as u64);
        self.run(head, body, head_bytes + copied, false);
        true
    }

    /// Hands a request to the handler.
    fn run(&mut self, head: RequestHead, body: Vec<u8>, held: u64, closes: bool) {
        self.requests += 1;
        let closes_connection = closes || !head.keeps_alive();
        self.is_input_closed = closes_connection;
        let is_head = head.method == "HEAD";
        let held = held + body.capacity() as u64 + REQUEST_BYTES;
        let future = (self.handler)(Incoming { head, body });
        let state = PendingState::Running { future, _in_flight: InFlight::new(&self.shared) };
        self.pending.push_back(Pending { state, is_head, closes_connection, held });
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
        self.queue_last(answer);
    }

    /// Refuses the request that is being received, as there is no memory for it or another client needs its descriptor. It has
    /// not run.
    pub(super) fn refuse_for_memory(&mut self) {
        let answer = Answer::refused(MEMORY_RETRY_AFTER);
        framing::count_rejection(answer.status, "memory");
        let body = self.partial.as_ref().map_or(0, |partial| partial.body.len());
        log::warn!(listener = self.shared.name.get().0, held_bytes = self.held(), body_bytes = body,
            moved_bytes = self.moved, requests_before = self.requests;
            "serve: a request was refused, as there is no memory or descriptor for it");
        if self.partial.as_ref().is_some_and(|partial| partial.head.is_none()) {
            // It has its answer already.
            self.partial = None;
            self.input = Vec::new();
            self.is_input_closed = true;
            return;
        }
        self.queue_last(answer);
    }

    /// Queues an answer after which the connection is closed, and drops what has arrived of its request.
    fn queue_last(&mut self, answer: Answer) {
        self.partial = None;
        self.input = Vec::new();
        self.is_input_closed = true;
        let state = PendingState::Ready(answer);
        self.pending.push_back(Pending { state, is_head: false, closes_connection: true, held: 0 });
    }
}

/// Returns the memory that a head takes once it is parsed.
fn head_bytes(bytes: &[u8]) -> u64 {
    let lines = bytes.iter().filter(|b| **b == b'\n').count();
    bytes.len() as u64 + lines as u64 * FIELD_BYTES
}
