//! Connection of a client: reads requests, lets them be handled, and writes their answers in order.
//!
//! What it holds is recorded in the budget of the process (`memory`). It reads and parses only what it has memory for, and is
//! told to close when it holds much for little progress.

mod receive;

use crate::answer::{self, Answer};
use crate::clock;
use crate::listener::{Busy, InFlight, ListenerState};
use crate::memory::Account;
use crate::memory_charge::Charge;
use crate::output::Output;
use crate::serve::{AnswerFuture, Handler, Limits};
use async_io::{Async, Timer};
use metrics::counter;
use receive::Partial;
use skylarkdock_dispatch::memory_budget::Stage;
use skylarkdock_dispatch::progress::{MinRate, Pace, Progress};
use std::cell::Cell;
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::net::{IpAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

/// Memory that each connection takes beside what it received and what it has to write: its state, its task and its timer.
const CONNECTION_BYTES: u64 = 4 * 1024;
/// Memory that each request that runs takes beside its head and body: its state and its place in queues.
const REQUEST_BYTES: u64 = 8 * 1024;

enum PendingState {
    Running { future: AnswerFuture, _in_flight: InFlight },
    Ready(Answer),
}

struct Pending {
    state: PendingState,
    is_head: bool,
    closes_connection: bool,
    /// Memory that the request takes while it runs.
    held: u64,
}

impl Pending {
    fn held(&self) -> u64 {
        match &self.state {
            PendingState::Running { .. } => self.held,
            PendingState::Ready(answer) => answer.body.capacity() as u64,
        }
    }
}

/// Connection of a client.
pub(crate) struct Connection {
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
    output: Output,
    /// Memory that the answers in `output` count for.
    charges: Vec<Charge>,
    partial: Option<Partial>,
    pending: VecDeque<Pending>,
    /// Whether no further requests are read.
    is_input_closed: bool,
    is_eof: bool,
    timer: Timer,
    /// When the last answer was queued; the start of the connection before the first one.
    waiting_since: Instant,
    /// When the first byte was seen of a request whose head has not arrived completely.
    receiving_since: Option<Instant>,
    busy: Option<Busy>,
    /// Key among the connections without a request, and how many it had had before.
    idle: Option<(u64, u64)>,
    /// Whether it is closed once it has no request, so that another caller gets its descriptor.
    is_unwanted: Rc<Cell<bool>>,
    account: Account,
    /// Whether it was told to close. Its client hardly sends, so nothing has to be dropped before it is closed.
    is_told: bool,
    /// Whether it waits for memory.
    waits_for_memory: bool,
    /// Bytes that were read and written, and how many of them are in the account.
    moved: u64,
    moved_recorded: u64,
    sending: Progress,
    reading: Progress,
}

impl Connection {
    pub(crate) fn new(
        (stream, addr): (Async<TcpStream>, IpAddr),
        shared: Rc<ListenerState>,
        handler: Handler,
    ) -> Self {
        let limits = shared.limits();
        let listener = shared.name.get();
        Self {
            stream,
            handler,
            limits,
            limits_version: shared.limits_version.get(),
            shared,
            requests: 0,
            input: Vec::new(),
            output: Output::default(),
            charges: Vec::new(),
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
            account: Account::open(Some(addr), listener),
            is_told: false,
            waits_for_memory: false,
            moved: 0,
            moved_recorded: 0,
            sending: Progress::default(),
            reading: Progress::default(),
        }
    }

    /// Goes on until the connection has ended, and records its state each time.
    pub(crate) fn poll_whole(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let is_told = self.account.poll_closing(cx);
        self.is_told |= is_told;
        let polled =
            if is_told && self.close_for_memory() { Poll::Ready(Ok(())) } else { self.poll(cx) };
        self.update_busy(cx);
        self.update_account();
        polled
    }

    /// Gives back what the connection holds. Returns its stream, and whether there is nothing to wait for from the client.
    pub(crate) fn end(mut self) -> (Async<TcpStream>, bool) {
        if let Some((key, _)) = self.idle.take() {
            self.shared.idle.remove(key);
        }
        (self.stream, self.is_eof || !self.is_input_closed || self.is_told)
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut is_drained = false;
        self.waits_for_memory = false;
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
            progressed |= self.start_requests(cx);
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

    /// Returns the memory that the connection holds.
    fn held(&self) -> u64 {
        let partial = self.partial.as_ref().map_or(0, Partial::held);
        let pending: u64 = self.pending.iter().map(Pending::held).sum();
        let buffers = self.input.capacity() + self.output.held();
        CONNECTION_BYTES + buffers as u64 + partial + pending
    }

    fn update_account(&mut self) {
        if self.input.is_empty() {
            self.input = Vec::new();
        }
        let stage = if self.partial.is_some() || (!self.input.is_empty() && self.pending.is_empty())
        {
            Stage::Receiving
        } else if !self.output.is_empty() {
            Stage::Unread
        } else if !self.pending.is_empty() {
            Stage::Running
        } else {
            Stage::Idle
        };
        let moved = self.moved - self.moved_recorded;
        self.moved_recorded = self.moved;
        self.account.record(self.held(), stage, moved);
    }

    /// Gives back memory as the budget decided. Returns whether the connection is to be closed at once; otherwise the request
    /// that is being received is refused.
    fn close_for_memory(&mut self) -> bool {
        let receives_head = self.pending.is_empty() && !self.input.is_empty();
        if !self.is_input_closed && (self.partial.is_some() || receives_head) {
            self.refuse_for_memory();
            return false;
        }
        if self.output.is_empty() {
            // Its request has begun to run, or its answers were read, since it was chosen.
            return false;
        }
        counter!("skylarkdock_clients_closed_total", "reason" => "memory").increment(1);
        log::warn!(listener = self.shared.name.get().0, held_bytes = self.held(), moved_bytes = self.moved,
            unread_bytes = self.output.len(), requests = self.pending.len();
            "serve: a connection was closed, as there is no memory or descriptor for it");
        self.drop_all();
        true
    }

    /// Drops all that the connection holds.
    fn drop_all(&mut self) {
        self.partial = None;
        self.input = Vec::new();
        self.output = Output::default();
        self.charges.clear();
        self.pending.clear();
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
                ..
            }) = self.pending.pop_front()
            else {
                break;
            };
            let mut charge = answer.take_charge();
            // The answer counts as the connection's from here on.
            charge.memory.shrink(0);
            self.charges.push(charge);
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
        while !self.output.is_empty() {
            match self.output.write_to(self.stream.get_ref()) {
                Ok(count) => {
                    self.moved += count as u64;
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
        self.charges.clear();
        Ok(progressed)
    }

    /// Closes a connection that has been idle for too long, on which a head takes too long to arrive, or whose client sends or
    /// reads too slowly.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            let end = if let Some(judged) = self.judge_pace() {
                match judged {
                    Pace::JudgedAt(at) => clock::instant(at),
                    Pace::TooSlow => return self.close_slow(),
                }
            } else if self.waits_for_memory || !self.pending.is_empty() {
                return Poll::Pending;
            } else if self.input.is_empty() {
                self.receiving_since = None;
                if self.is_unwanted.get() {
                    return Poll::Ready(Ok(()));
                }
                self.limits = self.shared.limits();
                self.waiting_since + self.limits.idle_time.duration()
            } else {
                let since = *self.receiving_since.get_or_insert_with(Instant::now);
                since.max(self.waiting_since) + self.limits.head_time.duration()
            };
            self.timer.set_at(end);
            if Pin::new(&mut self.timer).poll(cx).is_pending() {
                return Poll::Pending;
            }
            if self.partial.is_none() && self.output.is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }

    /// Judges the pace of a client for which the host waits: that reads answers, or sends a body.
    fn judge_pace(&mut self) -> Option<Pace> {
        let now = clock::now();
        let limits = self.shared.client_limits.get();
        let reads = !self.output.is_empty();
        let sends = self.partial.is_some() && !reads && !self.waits_for_memory && !self.is_full();
        if reads {
            self.sending.pause();
            let rate = MinRate { window: limits.unread_window, ..limits.min_rate };
            return Some(self.reading.check(self.moved, rate, now));
        }
        self.reading.pause();
        if sends {
            return Some(self.sending.check(self.moved, limits.min_rate, now));
        }
        self.sending.pause();
        None
    }

    fn close_slow(&mut self) -> Poll<io::Result<()>> {
        let reason = if self.output.is_empty() { "slow_body" } else { "slow_reading" };
        counter!("skylarkdock_clients_closed_total", "reason" => reason).increment(1);
        log::info!(listener = self.shared.name.get().0, reason = reason, held_bytes = self.held(),
            moved_bytes = self.moved, unread_bytes = self.output.len();
            "serve: a connection was closed, as its client is too slow");
        Poll::Ready(Ok(()))
    }
}

fn write_answer(output: &mut Output, answer: Answer, is_head: bool, closes_connection: bool) {
    let reason_phrase = answer::reason_phrase(answer.status);
    let mut head = Vec::with_capacity(256);
    head.extend_from_slice(format!("HTTP/1.1 {} {reason_phrase}\r\n", answer.status).as_bytes());
    answer.headers.write(&mut head);
    if answer.status != 204 && answer.status != 304 {
        head.extend_from_slice(format!("Content-Length: {}\r\n", answer.body.len()).as_bytes());
    }
    if closes_connection {
        head.extend_from_slice(b"Connection: close\r\n");
    }
    head.extend_from_slice(b"\r\n");
    output.push(head);
    if !is_head {
        output.push(answer.body);
    }
}
