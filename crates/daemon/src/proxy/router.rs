//! Routes a request to the upstream here or to another host, and retries until it is answered or can't succeed in time.

use crate::clock;
use crate::proxy::crash_tracking;
use crate::proxy::dispatch::{self, AttemptResult};
use crate::proxy::forward;
use crate::proxy::refusal::{Reason, Refusal};
use crate::proxy::request::{self, ProxyRequest, Target};
use crate::proxy::{forward_headers, headers};
use crate::routing_table::{RangeRoute, ServiceTable, SharedRoutingTable};
use crate::shared_state::{LogProof, SharedServingState, TrafficReport};
use async_channel::Sender;
use async_io::Timer;
use http::{HeaderMap, Request, Response, Uri};
use hyper::body::Incoming;
use metrics::{counter, histogram};
use skylarkdock_admin::status::ServingState;
use skylarkdock_httppath::body::Body;
use skylarkdock_httppath::executor::Executor;
use skylarkdock_httppath::pool::Pool;
use skylarkdock_outcomes::outcome::Outcome;
use skylarkdock_peer::secret::Secret;
use skylarkdock_records::service::Class;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{HostId, Member, RangeId};
use skylarkdock_units::times::{HostTime, Millis};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Longest wait for the range to get a lease holder and its upstream a grant.
const MAX_HOLDER_WAIT_MS: Millis = Millis(2_000);
const RETRY_DELAY_MS: Millis = Millis(10);
const RETRY_AFTER_MS: Millis = Millis(1_000);
/// Time for which a host that was slow to respond is tried last, unless it responds in time before that.
const SLOW_HOST_MS: Millis = Millis(60_000);

/// Routes callers' requests.
pub struct Router {
    /// This host and its incarnation.
    pub me: Member,
    /// The routing table.
    pub table: SharedRoutingTable,
    /// Connection pool for upstreams.
    pub upstreams: Pool,
    /// Connection pool for other hosts.
    pub hosts: Pool,
    /// Runs once-only requests, which continue when their caller disconnects.
    pub executor: Executor,
    /// Channel for reports to the control thread.
    pub reports: Sender<TrafficReport>,
    /// Serving state of the daemon.
    pub serving_state: SharedServingState,
    /// Proof that the routing table has all records of the log.
    pub log_proof: LogProof,
    /// Secret for signing and verifying forwarded requests.
    pub secret: Secret,
    /// Hosts that were slow to respond, with the time until which they are tried last.
    pub slow_hosts: Mutex<FastMap<HostId, HostTime>>,
}

impl Router {
    /// Handles a request and records its metrics.
    pub async fn serve(
        self: &Arc<Self>,
        req: Request<Incoming>,
        remote: SocketAddr,
    ) -> Response<Body> {
        let started = Instant::now();
        let res = self.respond(req, remote).await;
        counter!("skylarkdock_requests_total").increment(1);
        histogram!("skylarkdock_request_seconds").record(started.elapsed().as_secs_f64());
        res
    }

    async fn respond(
        self: &Arc<Self>,
        req: Request<Incoming>,
        remote: SocketAddr,
    ) -> Response<Body> {
        let headers = req.headers().clone();
        match self.read(req, remote).await {
            Ok((request, service)) => self.route(Arc::new(request), &service).await,
            Err(refusal) => request::refuse_before_read(&headers, refusal),
        }
    }

    async fn read(
        &self,
        req: Request<Incoming>,
        remote: SocketAddr,
    ) -> Result<(ProxyRequest, Arc<ServiceTable>), Refusal> {
        let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
        if req.headers().contains_key(headers::HOP)
            && !forward_headers::is_addressed_to(req.headers(), &self.me.host)
        {
            return Err(Refusal::not_run(Reason::NotHolder));
        }
        let target = Target::parse(path).ok_or(Refusal::not_run(Reason::NoService))?;
        let found = self.table.load().services.get(&target.service).cloned();
        let service =
            found.ok_or_else(|| self.refuse_unknown_service(req.headers(), req.uri(), &target))?;
        let request =
            ProxyRequest::read(req, target, &service.service, remote, &self.secret).await?;
        Ok((request, service))
    }

    /// Returns the refusal of a request for a service that is not in force on this host. A forwarding host gets "not
    /// holder" because another host may know the service.
    fn refuse_unknown_service(&self, headers: &HeaderMap, uri: &Uri, target: &Target) -> Refusal {
        if forward_headers::has_valid_signature(headers, uri, &self.secret) {
            return Refusal::not_run(Reason::NotHolder);
        }
        // Before the table, which may be newer.
        let proof_age = self.log_proof.age(clock::host_time());
        match self.serving_state.get() {
            ServingState::Starting => {
                Refusal::not_run(Reason::Starting).with_retry_after(RETRY_AFTER_MS)
            }
            _ if self.table.load().is_absent(&target.service, proof_age) => {
                Refusal::not_run(Reason::NoService)
            }
            _ => Refusal::not_run(Reason::UnprovenService).with_retry_after(RETRY_AFTER_MS),
        }
    }

    async fn route(
        self: &Arc<Self>,
        request: Arc<ProxyRequest>,
        service: &Arc<ServiceTable>,
    ) -> Response<Body> {
        let index = service.service.range_of(request.hash).0 as usize;
        let Some(route) = service.ranges.get(index) else {
            return request.refuse(Refusal::not_run(Reason::NoHolder));
        };
        let give_up_at = request.deadline.min(clock::host_time() + MAX_HOLDER_WAIT_MS);
        loop {
            if let Some(refusal) = crash_tracking::refuse_quarantined(&request, service) {
                self.report_refusal(&request, &refusal);
                return request.refuse(refusal);
            }
            let reason = match self.attempt(&request, service, route).await {
                AttemptResult::Answer(res) => return request.correct_outcome(res),
                AttemptResult::Refuse(refusal) => {
                    self.report_refusal(&request, &refusal);
                    return request.refuse(refusal);
                }
                AttemptResult::NotHeld => Reason::NoHolder,
                AttemptResult::RetryLater(reason) => reason,
            };
            if clock::host_time() >= give_up_at {
                return request.refuse(Refusal::not_run(reason).with_retry_after(RETRY_AFTER_MS));
            }
            Timer::after(RETRY_DELAY_MS.duration()).await;
        }
    }

    /// Reports quarantined requests and once-only requests with an unknown outcome, which operators look for.
    fn report_refusal(&self, request: &ProxyRequest, refusal: &Refusal) {
        if refusal.reason == Reason::Quarantined {
            self.report(TrafficReport::Quarantined { fingerprint: request.fingerprint() });
        } else if refusal.outcome == Outcome::Unknown && request.class == Class::OnceOnly {
            self.report(TrafficReport::RequestUnknown { id: request.id });
        }
    }

    async fn attempt(
        self: &Arc<Self>,
        request: &Arc<ProxyRequest>,
        service: &Arc<ServiceTable>,
        route: &Arc<RangeRoute>,
    ) -> AttemptResult {
        let local = self.dispatch(request, service, route).await;
        match local {
            AttemptResult::NotHeld if request.forwarded => {
                AttemptResult::Refuse(Refusal::not_run(Reason::NotHolder))
            }
            AttemptResult::NotHeld => forward::forward(self, request, service, route).await,
            result => result,
        }
    }

    /// Sends the request to the upstream if this host holds the range. A once-only request continues when its caller
    /// disconnects, so that its answer is recorded.
    async fn dispatch(
        self: &Arc<Self>,
        request: &Arc<ProxyRequest>,
        service: &Arc<ServiceTable>,
        route: &Arc<RangeRoute>,
    ) -> AttemptResult {
        let Some(admitted) = route.admit() else { return AttemptResult::NotHeld };
        if request.class == Class::Repeatable {
            return dispatch::repeatable(self, request, service, admitted).await;
        }
        let (tx, rx) = async_channel::bounded(1);
        let (router, request, service) =
            (Arc::clone(self), Arc::clone(request), Arc::clone(service));
        let run = async move {
            let result = dispatch::once_only(&router, &request, &service, admitted).await;
            // The receiver is gone if the caller has disconnected.
            let _ = tx.send(result).await;
        };
        self.executor.spawn(run).detach();
        rx.recv().await.unwrap_or(AttemptResult::RetryLater(Reason::Draining))
    }

    /// Returns whether this host holds a range.
    pub fn holds(&self, range: &RangeId) -> bool {
        let table = self.table.load();
        let service = table.services.get(&range.service);
        let route = service.and_then(|service| service.ranges.get(range.index.0 as usize));
        route.is_some_and(|route| route.admit().is_some())
    }

    /// Sends a report to the control thread, or drops it if the channel is full.
    pub fn report(&self, report: TrafficReport) {
        if self.reports.try_send(report).is_err() {
            counter!("skylarkdock_reports_dropped_total").increment(1);
        }
    }

    /// Records whether a host was slow to respond.
    pub fn set_slow(&self, host: &HostId, slow: bool) {
        let mut hosts = self.slow_hosts.lock().unwrap_or_else(PoisonError::into_inner);
        if slow {
            hosts.insert(host.clone(), clock::host_time() + SLOW_HOST_MS);
        } else if !hosts.is_empty() {
            hosts.remove(host);
        }
    }

    /// Returns the members of a range's lease in the order in which to try them, slow and suspect ones last.
    pub fn candidates(&self, route: &RangeRoute) -> Vec<Member> {
        let mut members = route.candidates();
        members.retain(|member| member.host != self.me.host);
        let table = self.table.load();
        let hosts = self.slow_hosts.lock().unwrap_or_else(PoisonError::into_inner);
        if !hosts.is_empty() || !table.suspect_hosts.is_empty() {
            let now = clock::host_time();
            let slow = |host: &HostId| hosts.get(host).is_some_and(|until| now < *until);
            members.sort_by_key(|member| {
                slow(&member.host) || table.suspect_hosts.contains(&member.host)
            });
        }
        members
    }
}
