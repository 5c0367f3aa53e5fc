//! HTTP server for callers, calls of other hosts, readiness checks and metrics. Pipelined requests of a connection run
//! concurrently and are answered in order.

use crate::answer::Answer;
use crate::connection::Connection;
use crate::listener::ListenerState;
use crate::memory;
use crate::net::{self, Shortage};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{FutureExt, future};
use metrics::counter;
use skylarkdock_dispatch::descriptors::CallerAdmission;
use skylarkdock_http1::body::Framing;
use skylarkdock_http1::head::RequestHead;
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::times::Millis;
use std::future::{Future, poll_fn};
use std::io::{self, Read};
use std::net::{IpAddr, Shutdown, TcpListener, TcpStream};
use std::pin::Pin;
use std::rc::Rc;

/// Size of a read of bytes that are dropped.
const DROP_READ_SIZE: usize = 16 * 1024;
/// Time that a caller that sends nothing has to close the connection after the last answer.
const LINGER_TIMEOUT: Millis = Millis(1_000);
/// Time that a caller has to close the connection in any case. A body of 64 MiB takes 54 s over a link of 10 Mbit/s.
const MAX_LINGER: Millis = Millis(60_000);
/// Delay after a failed accept, for example because no file descriptors are left.
const ACCEPT_PAUSE: Millis = Millis(20);

/// Complete request.
#[derive(Debug)]
pub struct Incoming {
    /// Request line and header fields, with the target not decoded.
    pub head: RequestHead,
    /// Body without its transfer coding. Empty if the request was to be decided without it; the framing of the head then has
    /// another length.
    pub body: Vec<u8>,
}

impl Incoming {
    /// Returns whether the request has a body that was not kept. Such a request can be rejected, but can't run.
    pub fn lacks_body(&self) -> bool {
        self.body.is_empty() && self.head.framing != Framing::Length(0)
    }
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
    /// Longest time to receive a request head.
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
            make_room(&shared).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, addr)) => {
                let buffer = shared.client_limits.get().socket_buffer;
                let prepared = net::prepare(&stream);
                if let Err(e) = prepared.and_then(|()| net::limit_buffers(&stream, buffer)) {
                    log::debug!("serve: can't set the options of a connection: {e}");
                    continue;
                }
                make_room(&shared).await;
                shared.add_open(true);
                let client = (stream, addr.ip());
                let connection = serve_connection(client, Rc::clone(&shared), Rc::clone(&handler));
                ex.spawn(connection).detach();
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

/// Waits until the share has room for the next connection, and closes idle ones for it. One that was chosen may have got a
/// request meanwhile; it then stays, so more than one may have to be chosen.
async fn make_room(shared: &ListenerState) {
    loop {
        match shared.admission() {
            CallerAdmission::Accept => return,
            CallerAdmission::CloseIdle => {
                shared.close_idle();
                // The closed one gives back its descriptor before the next is taken.
                future::yield_now().await;
            }
            CallerAdmission::Wait if memory::close_stopped(shared.name.get()) => {
                counter!("skylarkdock_stopped_clients_closed_total").increment(1);
                future::yield_now().await;
            }
            CallerAdmission::Wait => {
                Timer::after(ACCEPT_PAUSE.duration()).await;
            }
        }
    }
}

/// Serves a connection until it is closed.
async fn serve_connection(
    (stream, addr): (Async<TcpStream>, IpAddr),
    shared: Rc<ListenerState>,
    handler: Handler,
) {
    let mut connection = Connection::new((stream, addr), Rc::clone(&shared), handler);
    let end = poll_fn(|cx| connection.poll_whole(cx)).await;
    let (stream, is_heard_out) = connection.end();
    match end {
        Err(e) => log::debug!("serve: connection failed: {e}"),
        Ok(()) if is_heard_out => {}
        Ok(()) => linger(&stream, shared.client_limits.get().max_dropped).await,
    }
    drop(stream);
    shared.add_open(false);
}

/// Closes a connection so that the last answer arrives. Closing it while the caller is still sending would reset the
/// connection, and the answer could be lost. What the caller still sends is dropped.
async fn linger(stream: &Async<TcpStream>, max_dropped: ByteSize) {
    if stream.get_ref().shutdown(Shutdown::Write).is_err() {
        return;
    }
    let drained = async {
        let mut dropped: u64 = 0;
        while let Ok(count) = drop_arrived(stream).or(silence()).await {
            dropped += count as u64;
            if count == 0 || dropped > max_dropped.0 {
                return;
            }
        }
    };
    let timed_out = async {
        Timer::after(MAX_LINGER.duration()).await;
    };
    drained.or(timed_out).await;
}

/// Reads and drops what has arrived. Returns the number of bytes, zero at the end. No buffer is held while nothing arrives.
async fn drop_arrived(stream: &Async<TcpStream>) -> io::Result<usize> {
    stream.read_with(|mut stream| stream.read(&mut [0; DROP_READ_SIZE])).await
}

async fn silence() -> io::Result<usize> {
    Timer::after(LINGER_TIMEOUT.duration()).await;
    Err(io::ErrorKind::TimedOut.into())
}
