//! Calls to upstreams over another host, for hosts that can't reach an upstream themselves.
//!
//! The caller of an intermediary gets the upstream's answer, or learns whether anything was sent. A call states until
//! when it may be sent, by the intermediary's clock: one that is delayed on its way must not arrive at the upstream
//! after its caller has given it up, as a late renewal would extend a grant that counts as expired. The caller knows
//! the intermediary's clock from its last answer; the first call only asks for it.
//!
//! An upstream that asks for rest, or says that it leaves, tells that the host whose connection the answer came on. An
//! intermediary therefore keeps to it for all requests that it passes on. To one that it may not send it answers in the
//! place of the upstream, so that the caller learns of it as if it had the upstream's own answer.

use crate::answer_head;
use crate::client::{
    self, Charge, Conn, Failure, MAX_COPIED_BODY, Outgoing, Reply, exchange_within,
};
use crate::clock;
use crate::memory::{AnswerMemory, NoMemory};
use crate::net::{ConnectError, Shortage};
use crate::notices::SharedNotices;
use crate::pool::Pool;
use crate::upstreams::Protocol;
use async_io::Timer;
use futures_lite::FutureExt;
use serde::{Deserialize, Serialize, Serializer};
use skylarkdock_dispatch::notices::Withheld;
use skylarkdock_dispatch::paths::{Intermediary, Paths};
use skylarkdock_http1::body::Framing;
use skylarkdock_http1::head::{Header, Headers, ResponseHead};
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};
use std::cell::RefCell;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Path of the call to an intermediary.
pub const DETOUR_PATH: &str = "/detour";
/// Longest time to open a connection to an upstream or to an intermediary. A round trip between regions takes some tens
/// of milliseconds, and TCP resends a lost SYN only after a second.
pub const CONNECT_TIMEOUT: Millis = Millis(300);
/// Number of intermediaries that one call is tried on. Those that are cut off themselves say so at once.
const MAX_DETOURS: u32 = 6;
/// Time that an intermediary may take beyond the timeout of the call, for its own work.
const DETOUR_MARGIN: Millis = Millis(30);
/// Rest that an intermediary asks for in the place of an upstream that is evacuated. Its caller learns of the evacuation within
/// seconds, and of its end too, so the rest must not outlast that by much.
const EVACUATION_REST: Millis = Millis(1_000);
/// Size up to which a call is larger than the request in it.
pub(crate) const ENVELOPE_BYTES: usize = 1_024;
/// Idle connections to each intermediary, and from an intermediary to each upstream.
const MAX_IDLE: usize = 8;

/// Paths to upstreams, shared by the threads of a host.
#[derive(Debug, Default)]
pub struct SharedPaths(Mutex<Paths>);

impl SharedPaths {
    /// Returns the paths for a short time, without waiting for I/O meanwhile.
    pub fn lock(&self) -> MutexGuard<'_, Paths> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a path works.
    pub fn on_success(&self, upstream: SocketAddr) {
        if self.lock().on_success(upstream) {
            log::info!(addr:% = upstream; "paths: an upstream can be reached again");
        }
    }

    /// Records that a path failed.
    pub fn on_failure(&self, upstream: SocketAddr, error: &dyn std::fmt::Display) {
        let mut paths = self.lock();
        let was_cut_off = paths.is_cut_off();
        let was_direct = paths.on_failure(upstream, clock::now());
        let is_cut_off = paths.is_cut_off();
        drop(paths);
        if was_direct {
            log::info!(addr:% = upstream, error:% = error; "paths: an upstream can't be reached");
        }
        if is_cut_off && !was_cut_off {
            log::warn!("paths: this host seems to reach no upstream");
        }
    }
}

/// Call to an intermediary.
#[derive(Debug, Serialize, Deserialize)]
struct DetourCall<B = Vec<u8>> {
    upstream: SocketAddr,
    /// Process of the intermediary whose clock `send_by` refers to; another one does not send the call.
    run: u64,
    /// Time by the intermediary's clock until which the call may be sent, in milliseconds.
    send_by: u64,
    timeout_ms: u64,
    is_once: bool,
    is_head: bool,
    id: Option<String>,
    bytes: B,
}

/// Bytes in two parts, encoded like one `Vec` of them.
#[derive(Debug, Clone, Copy)]
struct Parts<'a>(&'a [u8], &'a [u8]);

impl Serialize for Parts<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.0.iter().chain(self.1))
    }
}

/// Takes memory for the copy of a call, unless it is small, as most are. Waits for it until `give_up_at`.
async fn reserve_copy(len: usize, give_up_at: HostTime) -> Result<AnswerMemory, Failure> {
    let mut memory = AnswerMemory::default();
    if len <= MAX_COPIED_BODY {
        return Ok(memory);
    }
    let timed_out = async {
        Timer::at(clock::instant(give_up_at)).await;
        Err(NoMemory)
    };
    let grown = memory.grow(len as u64).or(timed_out).await;
    grown.map_err(|NoMemory| Failure::Shortage(Shortage::Memory))?;
    Ok(memory)
}

/// Answer of an intermediary.
#[derive(Debug, Serialize, Deserialize)]
struct DetourAnswer {
    /// The intermediary's process.
    run: u64,
    /// The intermediary's clock, in milliseconds.
    clock: u64,
    end: DetourEnd,
}

/// How a call over an intermediary ended.
#[derive(Debug, Serialize, Deserialize)]
enum DetourEnd {
    /// The upstream answered.
    Answered { status: u16, headers: Vec<(String, Vec<u8>)>, body: Vec<u8>, is_matched: bool },
    /// The call came too late, or for an earlier process. Nothing was sent.
    Expired,
    /// The intermediary has no path to the upstream; with `is_cut_off`, it reaches no upstream, lacks what a connection needs
    /// or is about to exit. Nothing was sent.
    NoPath { is_cut_off: bool, is_refused: bool },
    /// The connection to the upstream broke.
    Broken,
    /// The upstream's answer was invalid.
    Malformed,
    /// The upstream did not answer in time.
    TimedOut,
}

/// Why a call could not be made over another host. Nothing was sent to the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DetourError {
    /// No other host could be asked.
    #[error("no other host can be asked")]
    NoDetour,
    /// Another host, which reaches other upstreams, does not reach this one or does not know it.
    #[error("another host does not reach the upstream either")]
    Unreached,
    /// The upstream refused a connection of another host, too.
    #[error("the upstream refuses connections of other hosts")]
    Refused,
    /// This host lacks what a connection to another host needs.
    #[error(transparent)]
    Shortage(#[from] Shortage),
}

/// Caller of intermediaries.
#[derive(Default)]
pub struct DetourClient {
    pool: RefCell<Pool>,
    /// Process and clock of each intermediary, and when its answer arrived.
    clocks: RefCell<FastMap<SocketAddr, (u64, u64, HostTime)>>,
}

impl DetourClient {
    /// Makes a call to an upstream over one of `intermediaries`. Returns as [`Conn::exchange`] does if anything may
    /// have been sent.
    ///
    /// # Errors
    ///
    /// Fails if no intermediary has sent the call.
    pub async fn call(
        &self,
        paths: &SharedPaths,
        intermediaries: &[Intermediary],
        upstream: SocketAddr,
        (req, is_once): (&Outgoing, bool),
        timeout: Millis,
    ) -> Result<Result<Reply, Failure>, DetourError> {
        let give_up_at = clock::now() + timeout;
        for _ in 0..MAX_DETOURS {
            let now = clock::now();
            let picked = paths.lock().pick_detour(upstream, intermediaries, fastrand::u64(..), now);
            let (Some(intermediary), true) = (picked, now < give_up_at) else { break };
            match self.call_over(intermediary, upstream, (req, is_once), give_up_at).await {
                Ok(DetourEnd::Answered { status, headers, body, is_matched }) => {
                    // Hosts of earlier versions pass on any status.
                    if let Err(failure) = answer_head::check_final_status(status) {
                        return Ok(Err(failure));
                    }
                    let reply = reply(status, headers, body, is_matched);
                    if !reply.head.headers.is_valid() {
                        return Ok(Err(Failure::Malformed));
                    }
                    return Ok(Ok(Reply { via: Some(intermediary), ..reply }));
                }
                Ok(DetourEnd::Broken) => {
                    return Ok(Err(Failure::Broken(ErrorKind::ConnectionReset.into())));
                }
                Ok(DetourEnd::Malformed) => return Ok(Err(Failure::Malformed)),
                Ok(DetourEnd::TimedOut) => return Ok(Err(Failure::TimedOut)),
                Ok(DetourEnd::Expired) => {}
                Ok(DetourEnd::NoPath { is_cut_off, is_refused }) => {
                    let failed = if is_cut_off { None } else { Some(upstream) };
                    paths.lock().on_detour_failure(intermediary, failed, clock::now());
                    if is_refused {
                        return Err(DetourError::Refused);
                    }
                    if !is_cut_off {
                        // Two hosts did not reach it, so it has probably ended.
                        return Err(DetourError::Unreached);
                    }
                }
                Err(Failure::Shortage(shortage)) => return Err(shortage.into()),
                Err(Failure::NotSent(e)) => {
                    log::debug!("detour: can't reach {intermediary}: {e}");
                    paths.lock().on_detour_failure(intermediary, None, clock::now());
                }
                Err(failure) => {
                    paths.lock().on_detour_failure(intermediary, None, clock::now());
                    return Ok(Err(failure));
                }
            }
        }
        Err(DetourError::NoDetour)
    }

    /// Makes a call over an intermediary. The first one to a process of an intermediary asks for its clock.
    async fn call_over(
        &self,
        intermediary: SocketAddr,
        upstream: SocketAddr,
        (req, is_once): (&Outgoing, bool),
        give_up_at: HostTime,
    ) -> Result<DetourEnd, Failure> {
        let mut expired = false;
        loop {
            let now = clock::now();
            let timeout = give_up_at.since(now);
            let known = self.clocks.borrow().get(&intermediary).copied();
            // The intermediary's clock shows at least what it showed with its answer and the time since that arrived.
            let (run, send_by) = known.map_or((0, 0), |(run, clock, received_at)| {
                (run, clock + now.since(received_at).0 + timeout.0)
            });
            let call = DetourCall {
                upstream,
                run,
                send_by,
                timeout_ms: timeout.0,
                is_once,
                is_head: req.is_head,
                id: req.id.as_ref().map(|(_, id)| id.clone()),
                bytes: known.map_or(Parts(&[], &[]), |_| Parts(&req.bytes, &req.shared_body)),
            };
            let answer = self.send(intermediary, &call, timeout + DETOUR_MARGIN).await?;
            self.clocks.borrow_mut().insert(intermediary, (answer.run, answer.clock, clock::now()));
            let is_first = matches!(answer.end, DetourEnd::Expired) && !expired;
            if !is_first || clock::now() >= give_up_at {
                return Ok(answer.end);
            }
            expired = true;
        }
    }

    async fn send(
        &self,
        intermediary: SocketAddr,
        call: &DetourCall<Parts<'_>>,
        timeout: Millis,
    ) -> Result<DetourAnswer, Failure> {
        let give_up_at = clock::now() + timeout;
        let len = call.bytes.0.len() + call.bytes.1.len() + ENVELOPE_BYTES;
        let memory = reserve_copy(len, give_up_at).await?;
        let encoded = postcard::to_extend(call, Vec::with_capacity(len));
        let body = Arc::new(encoded.map_err(|e| {
            log::error!("detour: can't encode a call: {e}");
            Failure::NotSent(ErrorKind::InvalidData.into())
        })?);
        let timeout = give_up_at.since(clock::now());
        let mut headers = Headers::default();
        headers.push("Host", intermediary.to_string());
        let outgoing = Outgoing::sharing("POST", DETOUR_PATH, &headers, &body);
        let pooled = self.pool.borrow_mut().take(intermediary, true);
        let conn = match pooled {
            Some(conn) => conn,
            None => Conn::open(intermediary, CONNECT_TIMEOUT.min(timeout)).await?,
        };
        let mut conn = ResetOnDrop(Some(conn));
        let Some(open) = conn.0.as_mut() else { return Err(Failure::Malformed) };
        let (reply, reusable) = exchange_within(open, &outgoing, timeout).await?;
        if let Some(conn) = conn.0.take().filter(|_| reusable) {
            self.pool.borrow_mut().put(intermediary, conn, MAX_IDLE);
        }
        drop((outgoing, body, memory));
        match reply.head.status {
            // An earlier version, which knows no detours.
            404 => return Err(Failure::NotSent(ErrorKind::Unsupported.into())),
            // It has no memory for the call, or allows no call of this size, and has not sent it.
            503 => return Err(Failure::NotSent(ErrorKind::OutOfMemory.into())),
            _ => {}
        }
        postcard::from_bytes(&reply.body).map_err(|e| {
            log::warn!(peer:% = intermediary, error:% = e; "detour: can't decode an answer");
            Failure::Malformed
        })
    }
}

/// The part of an intermediary: makes calls for other hosts.
pub struct DetourServer {
    pool: RefCell<Pool>,
    run: u64,
    protocol: Protocol,
    drain_time: Millis,
}

/// What an intermediary knows of the upstreams that it makes calls to.
pub struct Knowledge<'a> {
    /// Paths to the upstreams.
    pub paths: &'a SharedPaths,
    /// What the upstreams asked of this host.
    pub notices: &'a SharedNotices,
    /// Returns whether operators have evacuated the availability zone of an upstream.
    pub is_evacuated: &'a dyn Fn(&UpstreamId) -> bool,
    /// Whether this host was told to stop. It makes no calls then, as it may exit before their answers.
    pub is_leaving: bool,
}

/// Incarnation of an upstream, by its id and the time of its start.
type Incarnation = (UpstreamId, u64);

impl DetourServer {
    /// Creates the state of a new process. `drain_time` is the time that an upstream takes from its first leaving notice
    /// to its end.
    pub fn new(protocol: Protocol, drain_time: Millis) -> Self {
        Self { pool: RefCell::default(), run: fastrand::u64(1..), protocol, drain_time }
    }

    /// Handles a call and returns the encoded answer. `listed` returns the incarnation of the upstream that is listed
    /// at an address, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if the call or the answer can't be decoded or encoded.
    pub async fn on_call(
        &self,
        knowledge: &Knowledge<'_>,
        body: impl AsRef<[u8]>,
        listed: impl Fn(SocketAddr) -> Option<(UpstreamId, u64)>,
    ) -> Result<Vec<u8>, postcard::Error> {
        let call: DetourCall = postcard::from_bytes(body.as_ref())?;
        // The call has a copy of it.
        drop(body);
        let end = if knowledge.is_leaving {
            // Says nothing about the upstream, so the caller goes on to another intermediary.
            DetourEnd::NoPath { is_cut_off: true, is_refused: false }
        } else if call.run != self.run || clock::now().0 > call.send_by {
            DetourEnd::Expired
        } else if let Some(incarnation) = listed(call.upstream) {
            self.forward(knowledge, &incarnation, call).await
        } else {
            DetourEnd::NoPath { is_cut_off: false, is_refused: false }
        };
        postcard::to_stdvec(&DetourAnswer { run: self.run, clock: clock::now().0, end })
    }

    /// Returns the answer to a call that may not be sent, if that is so. Grants and releases, which have no request id,
    /// are sent in any case.
    fn withhold(
        &self,
        knowledge: &Knowledge<'_>,
        (id, born): &Incarnation,
        call: &DetourCall,
    ) -> Option<DetourEnd> {
        let call_id = call.id.as_ref()?;
        let withheld = if (knowledge.is_evacuated)(id) {
            Withheld::Evacuated
        } else {
            knowledge.notices.may_send(id, *born, self.drain_time).err()?
        };
        let names = &self.protocol.names;
        let reason = match withheld {
            Withheld::Resting(rest) => ("Retry-After", rest.seconds()),
            Withheld::Leaving => (names.leaving, "1".to_owned()),
            Withheld::Evacuated => ("Retry-After", EVACUATION_REST.seconds()),
        };
        let headers =
            [(names.request_id, call_id.clone()), (names.not_run, "1".to_owned()), reason];
        Some(DetourEnd::Answered {
            status: 503,
            headers: headers.map(|(name, value)| (name.to_owned(), value.into_bytes())).into(),
            body: Vec::new(),
            is_matched: true,
        })
    }

    async fn forward(
        &self,
        knowledge: &Knowledge<'_>,
        incarnation: &Incarnation,
        call: DetourCall,
    ) -> DetourEnd {
        let &Knowledge { paths, notices, .. } = knowledge;
        if let Some(withheld) = self.withhold(knowledge, incarnation, &call) {
            return withheld;
        }
        let upstream = call.upstream;
        let no_path = |is_refused| {
            let is_cut_off = paths.lock().is_cut_off();
            DetourEnd::NoPath { is_cut_off, is_refused }
        };
        if !paths.lock().is_direct(upstream) {
            return no_path(false);
        }
        let give_up_at = clock::now() + Millis(call.timeout_ms);
        // Answers to grants and releases bear no id, so these calls don't share a connection with requests: a late answer
        // to a request would pass for theirs.
        let has_id = call.id.is_some();
        let pooled = call.id.as_deref().and_then(|id| {
            let conn = self.pool.borrow_mut().take(upstream, call.is_once);
            conn.filter(|conn| conn.may_carry(id))
        });
        let conn = match pooled {
            Some(conn) => conn,
            None => {
                match Conn::open(upstream, CONNECT_TIMEOUT.min(Millis(call.timeout_ms))).await {
                    Ok(conn) => conn,
                    Err(ConnectError::Shortage(shortage)) => return lacking(shortage),
                    Err(ConnectError::Path(e)) => {
                        paths.on_failure(upstream, &e);
                        return no_path(e.kind() == ErrorKind::ConnectionRefused);
                    }
                }
            }
        };
        let mut conn = ResetOnDrop(Some(conn));
        if clock::now().0 > call.send_by {
            return DetourEnd::Expired;
        }
        // An answer to another call may have arrived while the connection was opened.
        if let Some(withheld) = self.withhold(knowledge, incarnation, &call) {
            if let Some(conn) = conn.0.take() {
                self.pool.borrow_mut().put(upstream, conn, MAX_IDLE);
            }
            return withheld;
        }
        let max_answer = client::max_answer(has_id);
        let outgoing = Outgoing {
            bytes: call.bytes,
            shared_body: Arc::default(),
            is_head: call.is_head,
            id: call.id.map(|id| (self.protocol.names.request_id, id)),
            max_answer,
        };
        let Some(open) = conn.0.as_mut() else { return DetourEnd::Broken };
        let timed_out = async {
            Timer::at(clock::instant(give_up_at)).await;
            Err(Failure::TimedOut)
        };
        match open.exchange(&outgoing).or(timed_out).await {
            Ok((reply, reusable)) => {
                paths.on_success(upstream);
                let (id, born) = incarnation;
                notices.record(id, *born, (self.protocol.parse_notices)(&reply, id));
                let may_reuse =
                    reusable && has_id && self.protocol.names.may_reuse_connection(&reply);
                if let Some(conn) = conn.0.take().filter(|_| may_reuse) {
                    self.pool.borrow_mut().put(upstream, conn, MAX_IDLE);
                }
                let headers = reply.head.headers.0.into_iter();
                DetourEnd::Answered {
                    status: reply.head.status,
                    headers: headers.map(|header| (header.name, header.value)).collect(),
                    body: reply.body,
                    is_matched: reply.is_matched,
                }
            }
            Err(Failure::NotSent(_)) => no_path(false),
            Err(Failure::Shortage(shortage)) => lacking(shortage),
            Err(Failure::Broken(_)) => DetourEnd::Broken,
            Err(Failure::Malformed | Failure::InvalidStatus(_)) => DetourEnd::Malformed,
            Err(Failure::TimedOut) => DetourEnd::TimedOut,
        }
    }
}

/// Opens a connection to an upstream whose path failed, and records whether that works.
///
/// # Errors
///
/// Returns the errors of [`Conn::open`].
pub async fn probe(paths: &SharedPaths, upstream: SocketAddr) -> Result<Conn, ConnectError> {
    let opened = Conn::open(upstream, CONNECT_TIMEOUT).await;
    match &opened {
        Ok(_) => paths.on_success(upstream),
        Err(ConnectError::Path(e)) => paths.on_failure(upstream, e),
        Err(ConnectError::Shortage(shortage)) => {
            log::warn!(addr:% = upstream, lack = shortage.as_str(); "paths: a path can't be checked");
        }
    }
    opened
}

/// Returns the end of a call that this host can't make. It says nothing about the upstream, so the caller goes on to another
/// intermediary.
fn lacking(shortage: Shortage) -> DetourEnd {
    log::warn!(lack = shortage.as_str(); "detour: a call of another host can't be made");
    DetourEnd::NoPath { is_cut_off: true, is_refused: false }
}

/// Connection that is reset when it is dropped, so that no undelivered part of a call that was given up arrives later.
struct ResetOnDrop(Option<Conn>);

impl Drop for ResetOnDrop {
    fn drop(&mut self) {
        if let Some(conn) = self.0.take() {
            conn.reset();
        }
    }
}

fn reply(status: u16, headers: Vec<(String, Vec<u8>)>, body: Vec<u8>, is_matched: bool) -> Reply {
    let headers = headers.into_iter().map(|(name, value)| Header { name, value });
    let head = ResponseHead {
        status,
        headers: Headers(headers.collect()),
        framing: Framing::Length(body.len() as u64),
        keeps_alive: true,
    };
    Reply { head, body, is_matched, via: None, charge: Charge::default() }
}

impl From<DetourError> for ConnectError {
    fn from(error: DetourError) -> Self {
        let kind = match error {
            DetourError::NoDetour | DetourError::Unreached => ErrorKind::NotConnected,
            DetourError::Refused => ErrorKind::ConnectionRefused,
            DetourError::Shortage(shortage) => return Self::Shortage(shortage),
        };
        Self::Path(io::Error::new(kind, error))
    }
}
