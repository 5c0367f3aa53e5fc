//! A caller's request, read and checked.

use crate::clock;
use crate::proxy::answer::{Reason, Refusal};
use crate::proxy::{headers, hop};
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use skylarkdock_httppath::body::{self, Body, BodyError};
use skylarkdock_outcomes::fingerprint::Fingerprint;
use skylarkdock_outcomes::outcome::Outcome;
use skylarkdock_peer::secret::Secret;
use skylarkdock_policy::queue::{CallerId, Priority};
use skylarkdock_records::service::{self, Class, Service};
use skylarkdock_units::ids::ServiceName;
use skylarkdock_units::keys::KeyHash;
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::requests::RequestId;
use skylarkdock_units::times::{HostTime, Millis};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

/// Largest body of a request.
pub const MAX_REQUEST_BODY: ByteSize = ByteSize(1024 * 1024);

const LOST_RETRY_MS: Millis = Millis(1_000);

/// Where a request goes, from its path `/SERVICE/KEY/REST`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// The key.
    pub key: String,
    /// Path and query behind the key, beginning with a slash.
    pub rest: String,
}

impl Target {
    /// Reads a target out of path and query.
    pub fn parse(path_and_query: &str) -> Option<Self> {
        let (path, query) = match path_and_query.split_once('?') {
            Some((path, query)) => (path, Some(query)),
            None => (path_and_query, None),
        };
        let mut parts = path.strip_prefix('/')?.splitn(3, '/');
        let service = parts.next()?.parse().ok()?;
        let key = parts.next().filter(|key| !key.is_empty())?.to_owned();
        let mut rest = format!("/{}", parts.next().unwrap_or_default());
        if let Some(query) = query {
            rest.push('?');
            rest.push_str(query);
        }
        Some(Self { service, key, rest })
    }
}

/// A caller's request.
pub struct Call {
    /// Where it goes.
    pub target: Target,
    /// Hash of its key.
    pub hash: KeyHash,
    /// Method, path and headers.
    pub head: Parts,
    /// Its body.
    pub body: Bytes,
    /// Its id.
    pub id: RequestId,
    /// Whether the id was made by an entry host.
    pub minted: bool,
    /// Whether it may run more than once.
    pub class: Class,
    /// Which requests go first.
    pub priority: Priority,
    /// Who sent it.
    pub caller: CallerId,
    /// When nobody waits for its answer any more.
    pub deadline: HostTime,
    /// Whether another host forwarded it.
    pub forwarded: bool,
    /// Whether an attempt at it may have been run.
    lost: AtomicBool,
    /// Whether the range's memory has shown that no request with this id was run before.
    fresh: AtomicBool,
}

impl Call {
    /// Reads a request.
    ///
    /// # Errors
    ///
    /// Returns the answer to a request that is malformed.
    pub async fn read(
        req: Request<Incoming>,
        target: Target,
        service: &Service,
        remote: SocketAddr,
        secret: &Secret,
    ) -> Result<Self, Refusal> {
        let (mut head, incoming) = req.into_parts();
        let forwarded = hop::is_signed(&head.headers, &head.uri, secret);
        if !forwarded && head.headers.contains_key(headers::HOP) {
            // Not from a host that shares the secret; to forward it could go round in circles.
            return Err(Refusal::not_run(Reason::NotHolder));
        }
        if !forwarded {
            hop::strip(&mut head.headers);
        }
        let (class, priority) = service.classify(head.method.as_str(), &target.rest);
        let deadline = deadline(&head.headers, service.deadline)?;
        let (id, minted) = request_id(&head.headers, class)?;
        let body = read_body(incoming).await?;
        if forwarded && !hop::is_whole(&head.headers, &head.method, &body) {
            return Err(Refusal::not_run(Reason::NotHolder));
        }
        Ok(Self {
            hash: KeyHash::of(&target.key),
            id,
            minted,
            class,
            priority: queue_class(priority),
            caller: caller(&head.headers, remote),
            deadline,
            forwarded,
            lost: AtomicBool::new(false),
            fresh: AtomicBool::new(minted || class == Class::Repeatable),
            target,
            head,
            body,
        })
    }

    /// Returns the digest of what the request asks for.
    pub fn fingerprint(&self) -> Fingerprint {
        let method = self.head.method.as_str().as_bytes();
        let service = self.target.service.as_str().as_bytes();
        let (key, rest) = (self.target.key.as_bytes(), self.target.rest.as_bytes());
        Fingerprint::of(&[method, service, key, rest, &self.body])
    }

    /// Notes that an attempt may have been run without an answer.
    pub fn note_lost(&self) {
        self.lost.store(true, Ordering::Relaxed);
    }

    /// Notes that the range's memory has shown that no request with this id was run before.
    pub fn note_fresh(&self) {
        self.fresh.store(true, Ordering::Relaxed);
    }

    /// Tells whether nothing of the request was run so far, by this host's own knowledge.
    fn is_unrun(&self) -> bool {
        self.fresh.load(Ordering::Relaxed) && !self.lost.load(Ordering::Relaxed)
    }

    /// Returns the answer to a request that is refused: not run only if that is certain of every
    /// request with this id.
    pub fn refuse(&self, refusal: Refusal) -> Response<Body> {
        let doubtful = refusal.outcome == Outcome::NotRun && !self.is_unrun();
        let outcome = if doubtful { Outcome::Unknown } else { refusal.outcome };
        Refusal { outcome, ..refusal }.response(Some(self.id))
    }

    /// Corrects another host's answer that only knows of the last attempt.
    pub fn correct(&self, res: Response<Body>) -> Response<Body> {
        let not_run = res.headers().get(headers::OUTCOME).is_some_and(|word| word == "not-run");
        if not_run && self.lost.load(Ordering::Relaxed) {
            return self.refuse(Refusal::unknown(Reason::Lost).after(LOST_RETRY_MS));
        }
        res
    }

    /// Returns the time left.
    pub fn left(&self) -> Millis {
        self.deadline.since(clock::host_time())
    }
}

/// Returns the answer to a request that is refused before it is read: unknown if it may be a copy of
/// one that was run.
pub fn refuse_unread(given: &HeaderMap, refusal: Refusal) -> Response<Body> {
    let may_be_copy =
        given.contains_key(headers::IDEMPOTENCY_KEY) || given.contains_key(headers::REQUEST_ID);
    let outcome = if may_be_copy { Outcome::Unknown } else { refusal.outcome };
    Refusal { outcome, ..refusal }.response(None)
}

fn deadline(given: &HeaderMap, longest: Millis) -> Result<HostTime, Refusal> {
    let now = clock::host_time();
    let Some(value) = given.get(headers::DEADLINE) else { return Ok(now + longest) };
    let span: Option<u64> = value.to_str().ok().and_then(|text| text.parse().ok());
    let span = span.ok_or(Refusal::not_run(Reason::BadRequest))?;
    Ok(now + Millis(span).min(longest))
}

fn request_id(given: &HeaderMap, class: Class) -> Result<(RequestId, bool), Refusal> {
    let forwarded = given.get(headers::REQUEST_ID);
    let Some(value) = forwarded.or_else(|| given.get(headers::IDEMPOTENCY_KEY)) else {
        return Ok((mint(), true));
    };
    let text = value.to_str().unwrap_or_default().trim().trim_matches('"');
    let minted = given.contains_key(headers::MINTED);
    match text.parse() {
        Ok(id) => Ok((id, minted)),
        Err(_) if class == Class::Repeatable => Ok((mint(), true)),
        Err(_) => Err(Refusal::not_run(Reason::BadRequest)),
    }
}

fn mint() -> RequestId {
    let mut random = [0; 10];
    fastrand::fill(&mut random);
    RequestId::new(clock::wall_time(), &random)
}

async fn read_body(incoming: Incoming) -> Result<Bytes, Refusal> {
    body::collect(incoming, MAX_REQUEST_BODY).await.map_err(|error| match error {
        BodyError::TooLarge { .. } => Refusal::not_run(Reason::TooLarge),
        _ => Refusal::not_run(Reason::BadRequest),
    })
}

fn caller(given: &HeaderMap, remote: SocketAddr) -> CallerId {
    let hash = given.get(headers::CALLER).and_then(|value| value.to_str().ok()?.parse().ok());
    CallerId(hash.unwrap_or_else(|| KeyHash::of(&remote.ip().to_string()).0))
}

const fn queue_class(priority: service::Priority) -> Priority {
    match priority {
        service::Priority::Critical => Priority::Critical,
        service::Priority::Interactive => Priority::Interactive,
        service::Priority::Bulk => Priority::Bulk,
    }
}
