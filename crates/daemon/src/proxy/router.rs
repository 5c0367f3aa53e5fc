//! Takes a request to whoever serves its key, and stops trying when that can't succeed soon.

use crate::clock;
use crate::proxy::answer::{Reason, Refusal};
use crate::proxy::dispatch::{self, Step};
use crate::proxy::forward;
use crate::proxy::request::{self, Call, Target};
use crate::proxy::{headers, hop};
use crate::routing_table::{RangeRoute, ServiceTable, SharedRoutingTable};
use crate::shared_state::{SharedServingState, TrafficReport};
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

/// Longest wait for a range to get a holder and its upstream a grant.
const HOLDER_WAIT_MS: Millis = Millis(2_000);
const RETRY_PAUSE_MS: Millis = Millis(10);
const RETRY_AFTER_MS: Millis = Millis(1_000);
/// How long a host that was slow to answer is asked last, unless it answers before.
const SLOW_MS: Millis = Millis(60_000);

/// Routes requests.
pub struct Router {
    /// This host's running daemon.
    pub me: Member,
    /// The routing table.
    pub table: SharedRoutingTable,
    /// Connections to upstreams.
    pub upstreams: Pool,
    /// Connections to other hosts.
    pub hosts: Pool,
    /// Where once-only requests run on when their caller leaves.
    pub executor: Executor,
    /// Where reports go.
    pub reports: Sender<TrafficReport>,
    /// What the daemon does at the moment.
    pub serving_state: SharedServingState,
    /// Signs what is forwarded to other hosts.
    pub secret: Secret,
    /// Hosts that were slow to answer, and until when they are asked last.
    pub slow: Mutex<FastMap<HostId, HostTime>>,
}

impl Router {
    /// Answers a request.
    pub async fn serve(
        self: &Arc<Self>,
        req: Request<Incoming>,
        remote: SocketAddr,
    ) -> Response<Body> {
        let started = Instant::now();
        let res = self.answer(req, remote).await;
        counter!("skylarkdock_requests_total").increment(1);
        histogram!("skylarkdock_request_seconds").record(started.elapsed().as_secs_f64());
        res
    }

    async fn answer(
        self: &Arc<Self>,
        req: Request<Incoming>,
        remote: SocketAddr,
    ) -> Response<Body> {
        let headers = req.headers().clone();
        match self.read(req, remote).await {
            Ok((call, service)) => self.route(Arc::new(call), &service).await,
            Err(refusal) => request::refuse_unread(&headers, refusal),
        }
    }

    async fn read(
        &self,
        req: Request<Incoming>,
        remote: SocketAddr,
    ) -> Result<(Call, Arc<ServiceTable>), Refusal> {
        let missing = || self.missing_service(req.headers(), req.uri());
        let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
        if req.headers().contains_key(headers::HOP) && !hop::is_for(req.headers(), &self.me.host) {
            return Err(Refusal::not_run(Reason::NotHolder));
        }
        let target = Target::parse(path).ok_or(Refusal::not_run(Reason::NoService))?;
        let found = self.table.load().services.get(&target.service).cloned();
        let service = found.ok_or_else(missing)?;
        let call = Call::read(req, target, &service.service, remote, &self.secret).await?;
        Ok((call, service))
    }

    /// Returns the answer to a request for a service that is not in force here: another host may
    /// know better.
    fn missing_service(&self, headers: &HeaderMap, uri: &Uri) -> Refusal {
        if hop::is_signed(headers, uri, &self.secret) {
            return Refusal::not_run(Reason::NotHolder);
        }
        match self.serving_state.get() {
            ServingState::Starting => Refusal::not_run(Reason::Starting).after(RETRY_AFTER_MS),
            _ => Refusal::not_run(Reason::NoService),
        }
    }

    async fn route(
        self: &Arc<Self>,
        call: Arc<Call>,
        service: &Arc<ServiceTable>,
    ) -> Response<Body> {
        let index = service.service.range_of(call.hash).0 as usize;
        let Some(slot) = service.ranges.get(index) else {
            return call.refuse(Refusal::not_run(Reason::NoHolder));
        };
        let give_up = call.deadline.min(clock::host_time() + HOLDER_WAIT_MS);
        loop {
            let reason = match self.step(&call, service, slot).await {
                Step::Answer(res) => return call.correct(res),
                Step::Refuse(refusal) => {
                    self.report_refusal(&call, &refusal);
                    return call.refuse(refusal);
                }
                Step::Elsewhere => Reason::NoHolder,
                Step::Later(reason) => reason,
            };
            if clock::host_time() >= give_up {
                return call.refuse(Refusal::not_run(reason).after(RETRY_AFTER_MS));
            }
            Timer::after(RETRY_PAUSE_MS.duration()).await;
        }
    }

    /// Reports what operators look for in the morning: lost and quarantined requests.
    fn report_refusal(&self, call: &Call, refusal: &Refusal) {
        if refusal.reason == Reason::Quarantined {
            self.report(TrafficReport::Quarantined { fingerprint: call.fingerprint() });
        } else if refusal.outcome == Outcome::Unknown && call.class == Class::OnceOnly {
            self.report(TrafficReport::RequestUnknown { id: call.id });
        }
    }

    async fn step(
        self: &Arc<Self>,
        call: &Arc<Call>,
        service: &Arc<ServiceTable>,
        slot: &Arc<RangeRoute>,
    ) -> Step {
        let local = self.dispatch(call, service, slot).await;
        match local {
            Step::Elsewhere if call.forwarded => Step::Refuse(Refusal::not_run(Reason::NotHolder)),
            Step::Elsewhere => forward::attempt(self, call, service, slot).await,
            step => step,
        }
    }

    /// Runs the request here. A once-only request goes on when its caller leaves, so that its
    /// answer is recorded.
    async fn dispatch(
        self: &Arc<Self>,
        call: &Arc<Call>,
        service: &Arc<ServiceTable>,
        slot: &Arc<RangeRoute>,
    ) -> Step {
        let Some(entry) = slot.admit() else { return Step::Elsewhere };
        if call.class == Class::Repeatable {
            return dispatch::repeatable(self, call, service, entry).await;
        }
        let (tx, rx) = async_channel::bounded(1);
        let (router, call, service) = (Arc::clone(self), Arc::clone(call), Arc::clone(service));
        let run = async move {
            let step = dispatch::once_only(&router, &call, &service, entry).await;
            // The caller may have left.
            let _ = tx.send(step).await;
        };
        self.executor.spawn(run).detach();
        rx.recv().await.unwrap_or(Step::Later(Reason::Draining))
    }

    /// Tells whether this host holds a range.
    pub fn holds(&self, range: &RangeId) -> bool {
        let table = self.table.load();
        let service = table.services.get(&range.service);
        let slot = service.and_then(|service| service.ranges.get(range.index.0 as usize));
        slot.is_some_and(|slot| slot.admit().is_some())
    }

    /// Reports something to the control thread.
    pub fn report(&self, report: TrafficReport) {
        if self.reports.try_send(report).is_err() {
            counter!("skylarkdock_reports_dropped_total").increment(1);
        }
    }

    /// Notes whether a host was slow to answer.
    pub fn note_slow(&self, host: &HostId, slow: bool) {
        let mut hosts = self.slow.lock().unwrap_or_else(PoisonError::into_inner);
        if slow {
            hosts.insert(host.clone(), clock::host_time() + SLOW_MS);
        } else if !hosts.is_empty() {
            hosts.remove(host);
        }
    }

    /// Returns the members to ask for a range, those that were slow lately last.
    pub fn candidates(&self, slot: &RangeRoute) -> Vec<Member> {
        let mut members = slot.candidates();
        members.retain(|member| member.host != self.me.host);
        let table = self.table.load();
        let hosts = self.slow.lock().unwrap_or_else(PoisonError::into_inner);
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
