//! Tracks the requests in flight on an upstream, to find and quarantine those that crash it.

use crate::clock;
use crate::proxy::guarded_body::GuardedBody;
use crate::proxy::refusal::{Reason, Refusal};
use crate::proxy::request::ProxyRequest;
use crate::proxy::router::Router;
use crate::routing_table::{ServiceTable, SharedServiceState};
use crate::shared_state::TrafficReport;
use crate::upstream_queue::UpstreamQueue;
use async_io::Timer;
use http::header::{HOST, HeaderValue};
use http::{Request, Response, Uri};
use http_body_util::BodyExt;
use skylarkdock_httppath::body::{self, Body};
use skylarkdock_httppath::pool::{NotSent, Pool, ResponseLost, SendError};
use skylarkdock_outcomes::crash_history::Verdict;
use skylarkdock_outcomes::fingerprint::Fingerprint;
use skylarkdock_outcomes::quarantine::Admission;
use skylarkdock_records::service::Class;
use skylarkdock_units::ids::{ServiceName, UpstreamId};
use skylarkdock_units::times::{Millis, WallTime};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

const HEALTH_PATH: &str = "/_upstream/health";
const HEALTH_PROBES: u32 = 3;
const PROBE_DELAY_MS: Millis = Millis(20);
const PROBE_TIMEOUT_MS: Millis = Millis(100);
const ADMISSION_POLL_MS: Millis = Millis(10);
const RETRY_AFTER_MS: Millis = Millis(1_000);

/// A request in flight on an upstream. The quarantine counts it until it is answered, lost or dropped.
pub struct TrackedRequest {
    shared: Arc<SharedServiceState>,
    service: ServiceName,
    upstream: UpstreamId,
    fingerprint: Fingerprint,
    ended: bool,
}

impl TrackedRequest {
    /// Waits until the quarantine admits the request to the upstream.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request that is quarantined, or that was not admitted before its deadline.
    pub async fn admit(
        request: &ProxyRequest,
        service: &ServiceTable,
        queue: &UpstreamQueue,
    ) -> Result<Self, Refusal> {
        let fingerprint = request.fingerprint();
        loop {
            let now = clock::wall_time();
            let admit = service.shared.quarantine().admit(&queue.upstream, fingerprint, now);
            match admit {
                Admission::Run => break,
                Admission::Quarantined(until) => return Err(quarantine_refusal(now, until)),
                Admission::Wait if request.time_left() == Millis(0) => {
                    return Err(Refusal::not_run(Reason::Deadline).with_retry_after(RETRY_AFTER_MS));
                }
                Admission::Wait => Timer::after(ADMISSION_POLL_MS.duration()).await,
            };
        }
        let (shared, upstream) = (Arc::clone(&service.shared), queue.upstream.clone());
        let service = service.service.name.clone();
        Ok(Self { shared, service, upstream, fingerprint, ended: false })
    }

    /// Handles the loss of the request's connection. The request counts as the cause of a crash only if the upstream's
    /// process has ended; the upstream may also have closed the connection for another reason.
    pub async fn connection_lost(self, router: &Router, upstream: SocketAddr) {
        // A process that ends closes its connections before it stops listening, so it is probed more than once.
        for _ in 0..HEALTH_PROBES {
            if has_ended(&router.upstreams, upstream).await {
                return self.record_crash(router);
            }
            Timer::after(PROBE_DELAY_MS.duration()).await;
        }
    }

    fn record_crash(mut self, router: &Router) {
        self.end_once(|tracked| {
            let now = clock::wall_time();
            let mut quarantine = tracked.shared.quarantine();
            let lost = quarantine.lost(&tracked.upstream, now);
            let histories = quarantine.histories().select(&lost);
            drop(quarantine);
            // The range gets another holder now, which would run the request again.
            if !histories.is_empty() {
                let service = tracked.service.clone();
                router.report(TrafficReport::Crashed { service, histories });
            }
        });
    }

    /// Records the request as answered once the body of its response is complete.
    pub fn track_response(self, res: Response<Body>) -> Response<Body> {
        let (head, body) = res.into_parts();
        let mut tracked = self;
        let on_end = Box::new(move |is_complete: bool| {
            if is_complete {
                tracked.end_once(|tracked| {
                    let now = clock::wall_time();
                    let mut quarantine = tracked.shared.quarantine();
                    quarantine.answered(&tracked.upstream, tracked.fingerprint, now);
                });
            }
        });
        Response::from_parts(head, GuardedBody::new(body, (), on_end).boxed_unsync())
    }

    fn end_once(&mut self, record: impl FnOnce(&Self)) {
        if !std::mem::replace(&mut self.ended, true) {
            record(self);
        }
    }
}

/// Returns the refusal of a caller's request that is quarantined. It does not depend on an upstream: a request that waits for
/// the next one would outlast a short quarantine and crash it too.
///
/// Other requests are checked only when they have a slot. One that runs at most once may be a copy of a request that has its
/// answer, which only the holder of the range knows. A forwarded one may be under way at another host, whose result counts.
pub fn refuse_quarantined(request: &ProxyRequest, service: &ServiceTable) -> Option<Refusal> {
    let quarantine = service.shared.quarantine();
    if request.class == Class::OnceOnly || request.forwarded || quarantine.histories().is_empty() {
        return None;
    }
    let now = clock::wall_time();
    match quarantine.verdict(request.fingerprint(), now) {
        Verdict::Quarantined(until) => Some(quarantine_refusal(now, until)),
        Verdict::Clean | Verdict::Suspect => None,
    }
}

/// Returns whether an upstream refuses or closes a connection without a response, which counts as the end of its
/// process. An upstream that does not respond in time may be slow or unreachable.
async fn has_ended(pool: &Pool, addr: SocketAddr) -> bool {
    let mut req = Request::new(body::empty());
    *req.uri_mut() = Uri::from_static(HEALTH_PATH);
    let Ok(host) = HeaderValue::try_from(addr.to_string()) else { return false };
    req.headers_mut().insert(HOST, host);
    let deadline = Instant::now() + PROBE_TIMEOUT_MS.duration();
    let sent = pool.send(addr, req, PROBE_TIMEOUT_MS, deadline).await;
    matches!(
        sent,
        Err(SendError::NotSent(NotSent::Connect(_) | NotSent::Closed(_))
            | SendError::Unknown(ResponseLost::Closed(_)))
    )
}

fn quarantine_refusal(now: WallTime, until: WallTime) -> Refusal {
    let remaining = Millis(until.0.saturating_sub(now.0));
    Refusal::not_run(Reason::Quarantined).with_retry_after(remaining)
}

impl Drop for TrackedRequest {
    fn drop(&mut self) {
        self.end_once(|tracked| {
            tracked.shared.quarantine().ended(&tracked.upstream, tracked.fingerprint)
        });
    }
}
