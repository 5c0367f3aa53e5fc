//! A request in flight on an upstream, for the blame if the upstream dies of it.

use crate::clock;
use crate::proxy::answer::{Reason, Refusal};
use crate::proxy::request::Call;
use crate::proxy::stream::Held;
use crate::routing_table::{ServiceTable, SharedServiceState};
use crate::upstream_queue::UpstreamQueue;
use async_io::Timer;
use http::header::{HOST, HeaderValue};
use http::{Request, Response, Uri};
use http_body_util::BodyExt;
use skylarkdock_httppath::body::{self, Body};
use skylarkdock_httppath::pool::{NotSent, Pool, ResponseLost, SendError};
use skylarkdock_outcomes::fingerprint::Fingerprint;
use skylarkdock_outcomes::quarantine::Admission;
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{Millis, WallTime};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

const HEALTH_PATH: &str = "/_upstream/health";
const PROBES: u32 = 3;
const PROBE_PAUSE_MS: Millis = Millis(20);
const PROBE_MS: Millis = Millis(100);
const WAIT_MS: Millis = Millis(10);
const RETRY_AFTER_MS: Millis = Millis(1_000);

/// A request in flight on an upstream; it counts until it is answered, lost or dropped.
pub struct Flight {
    shared: Arc<SharedServiceState>,
    upstream: UpstreamId,
    fingerprint: Fingerprint,
    over: bool,
}

impl Flight {
    /// Waits until the request may be sent to the upstream.
    ///
    /// # Errors
    ///
    /// Returns the answer to a request that crashed upstreams, or that had to wait for such a one
    /// until its deadline.
    pub async fn admit(
        call: &Call,
        service: &ServiceTable,
        desk: &UpstreamQueue,
    ) -> Result<Self, Refusal> {
        let fingerprint = call.fingerprint();
        loop {
            let now = clock::wall_time();
            let admit = service.shared.quarantine().admit(&desk.upstream, fingerprint, now);
            match admit {
                Admission::Run => break,
                Admission::Quarantined(until) => return Err(quarantined(now, until)),
                Admission::Wait if call.left() == Millis(0) => {
                    return Err(Refusal::not_run(Reason::Deadline).after(RETRY_AFTER_MS));
                }
                Admission::Wait => Timer::after(WAIT_MS.duration()).await,
            };
        }
        let (shared, upstream) = (Arc::clone(&service.shared), desk.upstream.clone());
        Ok(Self { shared, upstream, fingerprint, over: false })
    }

    /// Notes that the request's connection broke. The request is to blame only if the upstream's
    /// process is gone; it can also have closed the connection for another reason.
    pub async fn broke(self, pool: &Pool, upstream: SocketAddr) {
        // A process that ends closes its connections before it stops listening.
        for _ in 0..PROBES {
            if is_gone(pool, upstream).await {
                return self.lost();
            }
            Timer::after(PROBE_PAUSE_MS.duration()).await;
        }
    }

    fn lost(mut self) {
        self.end(|flight| {
            let now = clock::wall_time();
            flight.shared.quarantine().lost(&flight.upstream, now);
        });
    }

    /// Watches an answer to its end.
    pub fn watch(self, res: Response<Body>) -> Response<Body> {
        let (head, body) = res.into_parts();
        let mut flight = self;
        let on_end = Box::new(move |whole: bool| {
            if whole {
                flight.end(|flight| {
                    let now = clock::wall_time();
                    let mut quarantine = flight.shared.quarantine();
                    quarantine.answered(&flight.upstream, flight.fingerprint, now);
                });
            }
        });
        Response::from_parts(head, Held::new(body, (), on_end).boxed_unsync())
    }

    fn end(&mut self, note: impl FnOnce(&Self)) {
        if !std::mem::replace(&mut self.over, true) {
            note(self);
        }
    }
}

/// Tells whether an upstream turns a call away without any answer. One that does not answer in time
/// can be slow or cut off.
async fn is_gone(pool: &Pool, addr: SocketAddr) -> bool {
    let mut req = Request::new(body::empty());
    *req.uri_mut() = Uri::from_static(HEALTH_PATH);
    let Ok(host) = HeaderValue::try_from(addr.to_string()) else { return false };
    req.headers_mut().insert(HOST, host);
    let deadline = Instant::now() + PROBE_MS.duration();
    let sent = pool.send(addr, req, PROBE_MS, deadline).await;
    matches!(
        sent,
        Err(SendError::NotSent(NotSent::Connect(_) | NotSent::Closed(_))
            | SendError::Unknown(ResponseLost::Closed(_)))
    )
}

fn quarantined(now: WallTime, until: WallTime) -> Refusal {
    let span = Millis(until.0.saturating_sub(now.0));
    Refusal::not_run(Reason::Quarantined).after(span)
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.end(|flight| flight.shared.quarantine().ended(&flight.upstream, flight.fingerprint));
    }
}
