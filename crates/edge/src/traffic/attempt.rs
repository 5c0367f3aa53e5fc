//! One attempt at one upstream.

use super::Traffic;
use crate::client::{Conn, Failure, Outgoing, Reply};
use crate::clock;
use crate::upstreams::ReplyKind;
use async_io::Timer;
use futures_lite::FutureExt;
use skylarkdock_dispatch::crash_tracker::Fingerprint;
use skylarkdock_dispatch::upstream::AttemptOutcome;
use skylarkdock_units::ids::{ServiceName, UpstreamId};
use skylarkdock_units::times::{HostTime, Millis};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// Longest time to open a connection. Between regions a round trip takes some tens of milliseconds; the opening packet
/// is sent again only after a second.
const CONNECT_TIMEOUT: Millis = Millis(300);

/// How an attempt ended.
#[derive(Debug)]
pub(super) enum Outcome {
    /// An answer that is passed on.
    Answered(Reply),
    /// The upstream did not run the request.
    NotRun(NotRun),
    /// The request may have run.
    Unknown(AttemptOutcome),
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NotRun {
    /// No connection could be made.
    Unreachable,
    /// The upstream had no room.
    Shed,
    /// It isn't the one for the request.
    Misdirected,
}

impl NotRun {
    /// Returns the reason as a word for logs.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Shed => "shed",
            Self::Misdirected => "misdirected",
        }
    }
}

/// Notes the end of an attempt, also when it is dropped.
struct Flight<'a> {
    traffic: &'a Traffic,
    service: &'a ServiceName,
    id: &'a UpstreamId,
    started: HostTime,
    ended: AttemptOutcome,
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        if let Some(state) = self.traffic.services.borrow_mut().get_mut(self.service) {
            state.service.on_end(self.id, self.started, self.ended, clock::now());
        }
        self.traffic.look();
    }
}

/// What an attempt needs.
pub(super) struct Attempt<'a> {
    pub(super) service: &'a ServiceName,
    pub(super) id: &'a UpstreamId,
    pub(super) is_once: bool,
    pub(super) print: Fingerprint,
    pub(super) until: HostTime,
}

impl Traffic {
    /// Sends a request to an upstream and waits for its answer. `build` makes the request for the time that is left.
    pub(super) async fn attempt(
        &self,
        attempt: Attempt<'_>,
        build: impl Fn(Millis) -> Outgoing,
    ) -> Outcome {
        let Attempt { service, id, print, .. } = attempt;
        let Some(addr) = self.lives.borrow().get(id).map(|listed| listed.entry.addr) else {
            return Outcome::NotRun(NotRun::Unreachable);
        };
        let started = clock::now();
        metrics::counter!("skylarkdock_sends_total", "service" => service.to_string()).increment(1);
        if let Some(state) = self.services.borrow_mut().get_mut(service) {
            state.service.on_start(id, started);
        }
        let mut flight =
            Flight { traffic: self, service, id, started, ended: AttemptOutcome::Cancelled };
        let outcome = match self.try_conns(addr, &attempt, build).await {
            Ok(done) => self.outcome(done),
            Err(e) => {
                if e.kind() == ErrorKind::ConnectionRefused {
                    self.note_gone(id);
                }
                Outcome::NotRun(NotRun::Unreachable)
            }
        };
        if matches!(outcome, Outcome::Unknown(AttemptOutcome::Broken)) {
            self.note_broken(service, id, print);
        }
        flight.ended = match &outcome {
            Outcome::Answered(reply) if reply.head.status >= 500 => AttemptOutcome::Failed,
            Outcome::Answered(_) => AttemptOutcome::Answered,
            Outcome::NotRun(NotRun::Unreachable) => AttemptOutcome::Unreachable,
            Outcome::NotRun(NotRun::Shed) => AttemptOutcome::Shed,
            Outcome::NotRun(NotRun::Misdirected) => AttemptOutcome::Misdirected,
            Outcome::Unknown(ended) => *ended,
        };
        outcome
    }

    /// Sends on a kept connection, or on a new one if nothing could be sent on that.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be opened.
    async fn try_conns(
        &self,
        addr: SocketAddr,
        attempt: &Attempt<'_>,
        build: impl Fn(Millis) -> Outgoing,
    ) -> io::Result<Result<Reply, Failure>> {
        let until = attempt.until;
        let kept = self.pool.borrow_mut().take(addr, attempt.is_once);
        if let Some(conn) = kept {
            let req = build(until.since(clock::now()));
            match self.exchange(addr, conn, &req, attempt).await {
                Err(Failure::NotSent(e)) => {
                    log::debug!("traffic: a kept connection to {addr} was closed: {e}");
                    self.pool.borrow_mut().close_all(addr);
                }
                done => return Ok(done),
            }
        }
        let left = until.since(clock::now());
        match Conn::open(addr, CONNECT_TIMEOUT.min(left)).await {
            Ok(conn) => {
                let req = build(until.since(clock::now()));
                Ok(self.exchange(addr, conn, &req, attempt).await)
            }
            Err(e) => {
                log::debug!("traffic: can't connect to {addr}: {e}");
                self.pool.borrow_mut().close_all(addr);
                Err(e)
            }
        }
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        mut conn: Conn,
        req: &Outgoing,
        attempt: &Attempt<'_>,
    ) -> Result<Reply, Failure> {
        let passed = async {
            Timer::at(clock::instant(attempt.until)).await;
            Err(Failure::TimedOut)
        };
        let (reply, reusable) = conn.exchange(req).or(passed).await?;
        if reusable {
            let max_idle = self.services.borrow().get(attempt.service).map_or(1, |s| s.max_idle);
            self.pool.borrow_mut().put(addr, conn, max_idle);
        }
        Ok(reply)
    }

    fn outcome(&self, done: Result<Reply, Failure>) -> Outcome {
        match done {
            Ok(reply) => match self.protocol.names.classify(&reply) {
                ReplyKind::Final => Outcome::Answered(reply),
                ReplyKind::Shed => Outcome::NotRun(NotRun::Shed),
                ReplyKind::Misdirected => Outcome::NotRun(NotRun::Misdirected),
                ReplyKind::Unusable => Outcome::Unknown(AttemptOutcome::Broken),
            },
            Err(Failure::NotSent(_)) => Outcome::NotRun(NotRun::Unreachable),
            Err(Failure::TimedOut) => Outcome::Unknown(AttemptOutcome::TimedOut),
            Err(Failure::Broken(e)) => {
                log::debug!("traffic: a connection broke before the answer: {e}");
                Outcome::Unknown(AttemptOutcome::Broken)
            }
            Err(Failure::Malformed) => Outcome::Unknown(AttemptOutcome::Broken),
        }
    }
}
