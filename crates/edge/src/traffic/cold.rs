//! Cold upstreams on this host: what the registry, health checks and other hosts state, and the check before each send.
//! [`skylarkdock_dispatch::cold`] decides which upstreams count as cold, [`skylarkdock_dispatch::permits`] which requests
//! may be sent to them.

use super::attempt::Attempt;
use super::{ServiceState, Traffic};
use crate::client::{Conn, Reply};
use crate::clock;
use crate::detour::CONNECT_TIMEOUT;
use crate::load_reports::NameHash;
use crate::view::{ColdLimits, ListedUpstream};
use async_io::Timer;
use futures_lite::FutureExt;
use metrics::{counter, gauge};
use skylarkdock_dispatch::cold::{self, ColdChange, ColdReason};
use skylarkdock_dispatch::permits::ColdBound;
use skylarkdock_dispatch::upstream::Upstream;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{HostId, ServiceName, UpstreamId};
use skylarkdock_units::times::{HostTime, Millis};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use xxhash_rust::xxh3;

/// Time for which the computed part of this host in the requests to an upstream is used.
const PART_LIFETIME: Millis = Millis(1_000);
/// Time after the start of this process in which it has no part. Longer than the membership of its former process in any
/// pool, whose part would count twice otherwise.
const NO_PART_TIME: Millis = Millis(3_000);
/// Time-out of a health check.
const CHECK_TIMEOUT: Millis = Millis(1_000);
/// Shortest time between two health checks of an upstream by this host.
const MIN_CHECK_INTERVAL: Millis = Millis(500);
/// The same per host of the fleet, so that an upstream gets at most 50 health checks a second from all of them.
const CHECK_INTERVAL_PER_HOST: Millis = Millis(20);
/// Log lines about cold upstreams in each `LOG_INTERVAL`; more are counted only. A zone that returns has dozens.
const MAX_LOG_LINES: u32 = 40;
const LOG_INTERVAL: Millis = Millis(10_000);

/// State of this host's work for cold upstreams.
#[derive(Debug, Default)]
pub(super) struct ColdWork {
    /// Part of this host for each cold upstream, and when it was computed.
    parts: FastMap<UpstreamId, (u16, HostTime)>,
    /// When each upstream was last asked for its health.
    checked_at: FastMap<UpstreamId, HostTime>,
    log_since: HostTime,
    log_lines: u32,
    /// Number of cold upstreams at the last update.
    count: u32,
}

impl ColdWork {
    /// Returns whether a line may be logged, and the number of lines that were left out in the interval before.
    fn may_log(&mut self, now: HostTime) -> Option<u32> {
        let mut left_out = 0;
        if now.since(self.log_since) >= LOG_INTERVAL {
            left_out = self.log_lines.saturating_sub(MAX_LOG_LINES);
            self.log_since = now;
            self.log_lines = 0;
        }
        self.log_lines = self.log_lines.saturating_add(1);
        (self.log_lines <= MAX_LOG_LINES).then_some(left_out)
    }
}

/// Records what the entry of an upstream states.
pub(super) fn apply_entry(
    upstream: &mut Upstream,
    listed: &ListedUpstream,
    limits: Option<ColdLimits>,
    heartbeat: Millis,
    now: HostTime,
) {
    let state = upstream.cold_mut();
    if now < listed.cold_until {
        state.on_stated(listed.cold_until, now, ColdReason::Entry);
    } else if listed.is_confirmed {
        state.on_confirmed();
        // It may have been written up to a heartbeat ago, before a later answer.
        let written_at = HostTime(now.0.saturating_sub(heartbeat.0));
        state.on_stated(written_at, written_at, ColdReason::Entry);
    } else if let Some(limits) = limits {
        state.presume(ColdReason::Started, now + limits.time, now);
    }
}

impl Traffic {
    /// Updates which upstreams count as cold.
    pub(super) fn refresh_cold(&self) {
        let now = clock::now();
        let mut services = self.services.borrow_mut();
        let mut work = self.cold.borrow_mut();
        let (mut count, mut is_limited) = (0, false);
        for (name, state) in services.iter_mut() {
            is_limited |= state.cold.is_some();
            count += self.refresh_service(name, state, &mut work, now);
        }
        work.count = count;
        if is_limited {
            gauge!("skylarkdock_upstreams_cold").set(f64::from(count));
        }
        drop(services);
        drop(work);
        if count > 0 {
            self.on_limit_known();
        }
    }

    fn refresh_service(
        &self,
        name: &ServiceName,
        state: &mut ServiceState,
        work: &mut ColdWork,
        now: HostTime,
    ) -> u32 {
        let limits = state.cold;
        let mut count = 0;
        for upstream in state.service.upstreams_mut() {
            let Some(limits) = limits else {
                upstream.permits_mut().set_cold_bound(None);
                continue;
            };
            let is_cold = upstream.cold().reason(now).is_some();
            if !is_cold && upstream.permits().cold_bound().is_none() {
                continue;
            }
            count += u32::from(is_cold);
            let bound = ColdBound {
                all: cold::requests_per_window(
                    limits.rate,
                    self.settings.cold_overshoot,
                    self.settings.cold_slack,
                ),
                own: 0,
            };
            let own = self.own_part(&upstream.info().id, bound.all, work, now);
            let change = upstream.refresh_cold(ColdBound { own, ..bound }, now);
            if let Some(change) = change
                && let Some(left_out) = work.may_log(now)
            {
                log_change(name, &upstream.info().id, change, bound.all, left_out);
            }
        }
        count
    }

    /// Returns the part of this host in the requests that a cold upstream takes.
    fn own_part(&self, id: &UpstreamId, all: u16, work: &mut ColdWork, now: HostTime) -> u16 {
        let view = self.view.borrow();
        let is_counted = view.is_recorded && view.peers.is_some();
        if !is_counted || now.since(self.started_at) < NO_PART_TIME {
            return 0;
        }
        if let Some((part, at)) = work.parts.get(id)
            && now.since(*at) < PART_LIFETIME
        {
            return *part;
        }
        let seed = u64::from(NameHash::of(id.as_str()).0);
        let weight = |host: &HostId, number: u16| {
            let seed = seed << 16 | u64::from(number);
            xxh3::xxh3_64_with_seed(host.as_str().as_bytes(), seed)
        };
        let others = view.peers().iter().map(|peer| &peer.host);
        let part = cold::own_part(all, &self.settings.host, others, weight);
        work.parts.retain(|_, (_, at)| now.since(*at) < PART_LIFETIME);
        work.parts.insert(id.clone(), (part, now));
        part
    }

    /// Checks directly before the first byte of a request whether the upstream counts as cold, and uses a permit if so.
    /// The permit of an attempt is good for a repetition on another connection until it expires.
    pub(super) fn use_permit(&self, attempt: &Attempt<'_>) -> bool {
        let now = clock::now();
        let mut services = self.services.borrow_mut();
        let state = services.get_mut(attempt.service);
        let Some(upstream) = state.and_then(|state| state.service.upstream_mut(attempt.id)) else {
            return true;
        };
        if upstream.permits().cold_bound().is_none()
            || attempt.permit.get().is_some_and(|until| now < until)
        {
            return true;
        }
        let permit = upstream.permits_mut().redeem(now);
        if permit.is_none() {
            counter!("skylarkdock_cold_permits_total", "result" => "missed").increment(1);
        }
        attempt.permit.set(permit);
        permit.is_some()
    }

    /// Records that no connection to an upstream could be opened, or that one broke. It may have restarted, or be cold when
    /// it can be reached again.
    pub(super) fn on_silent(&self, service: &ServiceName, id: &UpstreamId) {
        let now = clock::now();
        {
            let mut services = self.services.borrow_mut();
            let Some(state) = services.get_mut(service) else { return };
            let Some(limits) = state.cold else { return };
            let Some(upstream) = state.service.upstream_mut(id) else { return };
            upstream.cold_mut().presume(ColdReason::Silent, now + limits.time, now);
        }
        self.refresh_cold();
    }

    /// Asks for permits for cold upstreams that requests wait for. Their permits are for those that ask first.
    pub(super) fn request_cold_permits(&self) {
        if self.cold.borrow().count == 0 {
            return;
        }
        let services: Vec<ServiceName> = {
            let services = self.services.borrow();
            let is_waiting =
                |state: &ServiceState| state.cold.is_some() && state.service.waiting() > 0;
            let waiting = services.iter().filter(|(_, state)| is_waiting(state));
            waiting.map(|(name, _)| name.clone()).collect()
        };
        for service in services {
            self.request_permits(&service);
        }
    }

    /// Asks the upstreams that are only presumed to be cold for their health. All hosts presume it of one that has started,
    /// so only the host that issues its permits asks it: the second heartbeat of the upstream tells the others.
    pub(super) fn check_presumed(self: &Rc<Self>) {
        if self.cold.borrow().count == 0 {
            return;
        }
        let now = clock::now();
        let view = Arc::clone(&self.view.borrow());
        let hosts = view.peers().len() as u64 + 1;
        let interval = MIN_CHECK_INTERVAL.max(Millis(hosts * CHECK_INTERVAL_PER_HOST.0));
        let Some(config) = view.config.clone() else { return };
        let mut due = Vec::new();
        {
            let services = self.services.borrow();
            let listing = self.listing.borrow();
            let mut work = self.cold.borrow_mut();
            work.checked_at.retain(|_, at| now.since(*at) < interval);
            for info in config.services.iter().filter(|info| info.cold.is_some()) {
                let Some(state) = services.get(&info.name) else { continue };
                let presumed = state.service.upstreams().filter(|u| u.cold().is_presumed(now));
                for upstream in presumed {
                    let id = &upstream.info().id;
                    let has_started = upstream
                        .cold()
                        .reason(now)
                        .is_some_and(|(reason, _)| reason == ColdReason::Started);
                    if has_started && self.preferred_issuer(id, &[]) != self.settings.host {
                        continue;
                    }
                    let Some(entry) = listing.get(id).map(|listed| &listed.entry) else { continue };
                    if work.checked_at.contains_key(id) {
                        continue;
                    }
                    work.checked_at.insert(id.clone(), now);
                    due.push((id.clone(), entry.born, entry.addr, info.health_path.clone()));
                }
            }
        }
        for (id, born, addr, path) in due {
            let check = Rc::clone(self).check_cold(id, born, addr, path);
            self.ex.spawn(check).detach();
        }
    }

    /// Asks an upstream for its health, and records for how long it stays cold. A health check needs no permit.
    async fn check_cold(
        self: Rc<Self>,
        id: UpstreamId,
        born: u64,
        addr: SocketAddr,
        path: Box<str>,
    ) {
        let req = (self.protocol.build_identity_request)(addr, &path);
        let exchange = async {
            let mut conn = Conn::open(addr, CONNECT_TIMEOUT).await.ok()?;
            conn.exchange(&req).await.ok()
        };
        let timed_out = async {
            Timer::after(CHECK_TIMEOUT.duration()).await;
            None
        };
        let Some((reply, _)) = exchange.or(timed_out).await else { return };
        let found = (self.protocol.parse_identity)(&reply);
        if found.is_some_and(|found| found != id) {
            return;
        }
        let Some(remaining) = self.stated_cold(&reply) else { return };
        self.on_cold_stated(&id, born, remaining, Millis(0), ColdReason::HealthAnswer);
        if remaining > Millis(0) {
            self.notify_cold(&id, born, remaining, Millis(0));
        }
    }

    /// Returns for how long an answer to a health check says that the upstream stays cold. A successful one that names no
    /// time is from an upstream that is not cold.
    fn stated_cold(&self, reply: &Reply) -> Option<Millis> {
        let stated = (self.protocol.parse_cold)(reply);
        stated.or_else(|| (200..300).contains(&reply.head.status).then_some(Millis(0)))
    }

    /// Records that an incarnation of an upstream stated some time ago that it stays cold for a time from now on.
    pub(super) fn on_cold_stated(
        &self,
        id: &UpstreamId,
        born: u64,
        remaining: Millis,
        age: Millis,
        reason: ColdReason,
    ) {
        let now = clock::now();
        {
            let listing = self.listing.borrow();
            let Some(listed) = listing.get(id).filter(|listed| listed.entry.born == born) else {
                return;
            };
            let mut services = self.services.borrow_mut();
            let Some(state) = services.get_mut(&listed.entry.service) else { return };
            if state.cold.is_none() {
                return;
            }
            let Some(upstream) = state.service.upstream_mut(id) else { return };
            let as_of = HostTime(now.0.saturating_sub(age.0));
            upstream.cold_mut().on_stated(now + remaining, as_of, reason);
        }
        self.refresh_cold();
    }

    /// Returns the upstreams that this host knows from their health answers to be cold: id, start, remaining time and age
    /// of the answer.
    pub(super) fn cold_by_answer(&self) -> Vec<(UpstreamId, u64, Millis, Millis)> {
        let now = clock::now();
        let listing = self.listing.borrow();
        let services = self.services.borrow();
        let upstreams = services.values().flat_map(|state| state.service.upstreams());
        let answered = upstreams.filter(|upstream| {
            let reason = upstream.cold().reason(now).map(|(reason, _)| reason);
            upstream.permits().cold_bound().is_some() && reason == Some(ColdReason::HealthAnswer)
        });
        let told = answered.filter_map(|upstream| {
            let (until, as_of) = upstream.cold().stated(now)?;
            let id = &upstream.info().id;
            let born = listing.get(id)?.entry.born;
            Some((id.clone(), born, until.since(now), now.since(as_of)))
        });
        told.collect()
    }
}

fn log_change(
    service: &ServiceName,
    id: &UpstreamId,
    change: ColdChange,
    per_second: u16,
    left_out: u32,
) {
    let ColdChange { is_cold, reason, age } = change;
    let reason = reason.as_str();
    if is_cold {
        log::info!(upstream:% = id, service:% = service, reason = reason, age:% = age, per_second = per_second, left_out = left_out; "cold: upstream is cold");
    } else {
        log::info!(upstream:% = id, service:% = service, reason = reason, age:% = age, left_out = left_out; "cold: upstream is no longer cold");
    }
}
