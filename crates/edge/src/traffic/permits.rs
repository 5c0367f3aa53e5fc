//! Exchange of permits for limited upstreams between hosts, in datagrams. [`skylarkdock_dispatch::permits`] decides; a
//! lost datagram is made up for by the next one.

use super::Traffic;
use crate::clock;
use crate::load_reports::NameHash;
use async_io::Timer;
use metrics::{counter, gauge};
use serde::{Deserialize, Serialize};
use skylarkdock_dispatch::cold::ColdReason;
use skylarkdock_dispatch::peer_load::UpstreamHash;
use skylarkdock_dispatch::permits::{
    ColdBound, ColdRequest, Demand, Limit, PermitPool, PermitReply, PermitRequest,
};
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{HostId, ServiceName, UpstreamId};
use skylarkdock_units::measures::RequestRate;
use skylarkdock_units::times::{HostTime, Millis};
use std::net::SocketAddr;
use std::rc::Rc;
use xxhash_rust::xxh3;

/// First bytes of a datagram about permits. No load report begins with them: they are no valid hash of a host.
const TAG: [u8; 5] = [0xff; 5];
/// Interval at which repeated and renewing requests are sent.
const REQUEST_INTERVAL: Millis = Millis(50);
/// Number of request intervals between announcements of limits to hosts that don't know them.
const ANNOUNCE_EVERY: u64 = 10;

/// Number of issuers without an answer after which a host counts as cut off and issues its permits for cold upstreams
/// itself.
const MAX_AVOIDED: usize = 4;

/// Limit in wire format. Hosts' clocks differ, so it has an age instead of a time.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct WireLimit {
    rate: Option<RequestRate>,
    age_ms: u64,
}

impl WireLimit {
    fn new(limit: Limit, now: HostTime) -> Self {
        Self { rate: limit.rate, age_ms: now.since(limit.seen_at).0 }
    }

    const fn limit(self, now: HostTime) -> Limit {
        Limit { rate: self.rate, seen_at: HostTime(now.0.saturating_sub(self.age_ms)) }
    }
}

/// Message about the permits for one upstream.
#[derive(Debug, Serialize, Deserialize)]
struct Message {
    host: NameHash,
    upstream: UpstreamHash,
    limit: WireLimit,
    body: Body,
}

#[derive(Debug, Serialize, Deserialize)]
enum Body {
    /// Requests permits from the receiver, and makes the sender a member of its pool.
    Request { run: u32, seq: u32, wanted: u8, rank: u8, is_leaving: bool },
    /// Answers a request.
    Reply { seq: u32, granted: u8, next_ms: u32 },
    /// Tells a host that is no member of the sender's pool of the limit.
    Announcement,
    /// Requests permits for an upstream that the sender takes for cold. Hosts of the version before don't know this and the
    /// following messages, and ignore them.
    ColdRequest {
        run: u32,
        seq: u32,
        wanted: u8,
        rank: u8,
        is_leaving: bool,
        all: u16,
        own: u16,
        settled: u32,
    },
    /// Answers such a request.
    ColdReply { seq: u32, granted: u8, next_ms: u32, ask_ms: u32 },
    /// Tells that the incarnation `born` of the upstream answered some time ago that it stays cold for a time from now on.
    Cold { born: u64, remaining_ms: u64, age_ms: u64 },
}

/// Pools of the limited upstreams for which this host issues permits.
pub(super) type Pools = FastMap<UpstreamHash, PermitPool>;

/// Returns whether a datagram is about permits.
pub(super) fn is_message(bytes: &[u8]) -> bool {
    bytes.starts_with(&TAG)
}

impl Traffic {
    /// Records that this host knows of a limit of an upstream, or of a host that does.
    pub(super) fn on_limit_known(&self) {
        if !self.knows_limits.replace(true) {
            self.limit_known.notify(1);
        }
    }

    /// Requests permits for the limited upstreams of a service, if it has any. Returns whether it has.
    pub(super) fn request_permits(&self, service: &ServiceName) -> bool {
        if !self.knows_limits.get() {
            return false;
        }
        let now = clock::now();
        let mut has_limited = false;
        let mut outgoing = Vec::new();
        let mut has_reply = false;
        if let Some(state) = self.services.borrow_mut().get_mut(service) {
            for (id, demand) in state.service.take_demands() {
                has_limited = true;
                let Some(upstream) = state.service.upstream_mut(&id) else { continue };
                let permits = upstream.permits_mut();
                let is_cold = permits.cold_bound().is_some();
                let preferred = |avoided: &[HostId]| {
                    // The next issuer would cost a host that is cut off seconds, too.
                    let is_cut_off = is_cold && avoided.len() >= MAX_AVOIDED;
                    let own = || self.settings.host.clone();
                    if is_cut_off { own() } else { self.preferred_issuer(&id, avoided) }
                };
                let Some((issuer, request)) = permits.next_request(demand, preferred, now) else {
                    continue;
                };
                if issuer != self.settings.host {
                    outgoing.push((issuer, id, request));
                } else if let Some(reply) =
                    self.issue(hash_of(&id), self.own_process(), &request, now)
                {
                    permits.on_reply(&issuer, &reply, now);
                    has_reply |= reply.granted > 0;
                }
            }
        }
        for (issuer, id, request) in outgoing {
            let Some(addr) = self.peer_addr(&issuer) else { continue };
            self.send_message(addr, hash_of(&id), request.limit, self.body_of(&request), now);
        }
        if has_reply {
            self.decide_waiting();
        }
        has_limited
    }

    /// Renews memberships, repeats requests without an answer and announces limits. Sleeps while no limit is known.
    pub(super) async fn keep_memberships(self: Rc<Self>) {
        let mut round: u64 = 0;
        loop {
            let listener = self.limit_known.listen();
            if !self.knows_limits.get() {
                listener.await;
            }
            Timer::after(REQUEST_INTERVAL.duration()).await;
            round += 1;
            self.refresh_cold();
            self.check_presumed();
            let mut has_limited = false;
            let services: Vec<ServiceName> = self.services.borrow().keys().cloned().collect();
            for service in services {
                has_limited |= self.request_permits(&service);
            }
            if round.is_multiple_of(ANNOUNCE_EVERY) {
                self.announce_limits();
                for (id, born, remaining, age) in self.cold_by_answer() {
                    self.notify_cold(&id, born, remaining, age);
                }
                let services = self.services.borrow();
                let upstreams = services.values().flat_map(|state| state.service.upstreams());
                let limited = upstreams.filter(|upstream| upstream.permits().rate().is_some());
                let count = u32::try_from(limited.count()).unwrap_or(u32::MAX);
                gauge!("skylarkdock_upstreams_limited").set(f64::from(count));
                if !has_limited && self.pools.borrow().is_empty() {
                    self.knows_limits.set(false);
                }
            }
        }
    }

    /// Handles a datagram about permits.
    pub(super) fn on_permit_message(&self, bytes: &[u8], from: SocketAddr) {
        let message: Message = match postcard::from_bytes(&bytes[TAG.len()..]) {
            Ok(message) => message,
            Err(e) => {
                log::debug!("permits: can't read a message: {e}");
                return;
            }
        };
        self.on_limit_known();
        let now = clock::now();
        let limit = message.limit.limit(now);
        match message.body {
            Body::Request { run, seq, wanted, rank, is_leaving } => {
                let demand = Demand { count: wanted, rank };
                let request = PermitRequest { seq, limit, demand, is_leaving, cold: None };
                let process = process_number(message.host, run);
                if let Some(reply) = self.issue(message.upstream, process, &request, now) {
                    let next_ms = u32::try_from(reply.next_in.0).unwrap_or(u32::MAX);
                    let body = Body::Reply { seq, granted: reply.granted, next_ms };
                    self.send_message(from, message.upstream, reply.limit, body, now);
                }
            }
            Body::Reply { seq, granted, next_ms } => {
                let next_in = Millis(u64::from(next_ms));
                let reply = PermitReply { seq, limit, granted, next_in, ask_in: next_in };
                self.on_permit_reply(message.host, message.upstream, &reply, now);
            }
            Body::ColdRequest { run, seq, wanted, rank, is_leaving, all, own, settled } => {
                let demand = Demand { count: wanted, rank };
                let cold = Some(ColdRequest { bound: ColdBound { all, own }, settled });
                let request = PermitRequest { seq, limit, demand, is_leaving, cold };
                let process = process_number(message.host, run);
                if let Some(reply) = self.issue(message.upstream, process, &request, now) {
                    let ms = |time: Millis| u32::try_from(time.0).unwrap_or(u32::MAX);
                    let (next_ms, ask_ms) = (ms(reply.next_in), ms(reply.ask_in));
                    let body = Body::ColdReply { seq, granted: reply.granted, next_ms, ask_ms };
                    self.send_message(from, message.upstream, reply.limit, body, now);
                }
            }
            Body::ColdReply { seq, granted, next_ms, ask_ms } => {
                let (next_in, ask_in) = (Millis(next_ms.into()), Millis(ask_ms.into()));
                let reply = PermitReply { seq, limit, granted, next_in, ask_in };
                self.on_permit_reply(message.host, message.upstream, &reply, now);
                // Tells the issuer that the permit is used, and asks for the next one.
                let reports = self.reports.borrow();
                let service =
                    reports.upstream(message.upstream).map(|(service, _)| service.clone());
                drop(reports);
                if let Some(service) = service {
                    self.request_permits(&service);
                }
            }
            Body::Cold { born, remaining_ms, age_ms } => {
                let id = self.reports.borrow().upstream(message.upstream).map(|(_, id)| id.clone());
                if let Some(id) = id {
                    let (remaining, age) = (Millis(remaining_ms), Millis(age_ms));
                    self.on_cold_stated(&id, born, remaining, age, ColdReason::Host);
                }
            }
            Body::Announcement => self.on_announcement(message.host, message.upstream, limit),
        }
    }

    /// Returns the message with a request for permits.
    fn body_of(&self, request: &PermitRequest) -> Body {
        let PermitRequest { seq, demand, is_leaving, cold, .. } = *request;
        let (run, Demand { count: wanted, rank }) = (self.run, demand);
        match cold {
            None => Body::Request { run, seq, wanted, rank, is_leaving },
            Some(ColdRequest { bound: ColdBound { all, own }, settled }) => {
                Body::ColdRequest { run, seq, wanted, rank, is_leaving, all, own, settled }
            }
        }
    }

    /// Tells all hosts that an upstream is cold. They may learn it from the registry later.
    pub(super) fn notify_cold(&self, id: &UpstreamId, born: u64, remaining: Millis, age: Millis) {
        let now = clock::now();
        let peers = self.view.borrow().peers.clone().unwrap_or_default();
        for peer in peers.iter() {
            let body = Body::Cold { born, remaining_ms: remaining.0, age_ms: age.0 };
            self.send_message(peer.reports, hash_of(id), Limit::default(), body, now);
        }
    }

    fn on_permit_reply(
        &self,
        host: NameHash,
        upstream: UpstreamHash,
        reply: &PermitReply,
        now: HostTime,
    ) {
        let Some(issuer) = self.peer_named(host) else { return };
        self.with_upstream(upstream, |state| state.permits_mut().on_reply(&issuer, reply, now));
        self.decide_waiting();
    }

    fn on_announcement(&self, host: NameHash, upstream: UpstreamHash, limit: Limit) {
        let Some(issuer) = self.peer_named(host) else { return };
        self.with_upstream(upstream, |state| {
            state.permits_mut().on_heard(&issuer);
            let known = state.permits().rate();
            state.permits_mut().merge(limit);
            if state.permits().rate() != known {
                let rate = limit.rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
                log::info!(upstream:% = state.info().id, rate = rate, source = "host"; "permits: the limit of an upstream changed");
            }
        });
    }

    fn with_upstream(
        &self,
        hash: UpstreamHash,
        change: impl FnOnce(&mut skylarkdock_dispatch::upstream::Upstream),
    ) {
        let reports = self.reports.borrow();
        let Some((service, id)) = reports.upstream(hash) else { return };
        let mut services = self.services.borrow_mut();
        let state = services.get_mut(service);
        if let Some(upstream) = state.and_then(|state| state.service.upstream_mut(id)) {
            change(upstream);
        }
    }

    /// Answers a request for permits out of this host's pool.
    fn issue(
        &self,
        upstream: UpstreamHash,
        process: u64,
        request: &PermitRequest,
        now: HostTime,
    ) -> Option<PermitReply> {
        let (hosts, _) = self.count_hosts(&self.view.borrow());
        let mut pools = self.pools.borrow_mut();
        let pool = pools.entry(upstream).or_insert_with(|| PermitPool::new(fastrand::f32(), now));
        let reply = pool.on_request(process, request, hosts, now)?;
        counter!("skylarkdock_permits_total", "result" => "issued").increment(reply.granted.into());
        let refused = request.demand.count.saturating_sub(reply.granted);
        counter!("skylarkdock_permits_total", "result" => "refused").increment(refused.into());
        if request.cold.is_some() {
            counter!("skylarkdock_cold_permits_total", "result" => "issued")
                .increment(reply.granted.into());
            counter!("skylarkdock_cold_permits_total", "result" => "refused")
                .increment(refused.into());
        }
        Some(reply)
    }

    /// Announces the limits of this host's pools to the hosts that are no members, and drops pools without members.
    fn announce_limits(&self) {
        let now = clock::now();
        let mut pools = self.pools.borrow_mut();
        pools.retain(|_, pool| !pool.is_abandoned(now));
        let limited: Vec<(UpstreamHash, Limit)> = pools
            .iter()
            .map(|(upstream, pool)| (*upstream, pool.limit()))
            .filter(|(_, limit)| limit.rate.is_some())
            .collect();
        drop(pools);
        if limited.is_empty() {
            return;
        }
        let peers = self.view.borrow().peers.clone().unwrap_or_default();
        for (upstream, limit) in limited {
            for peer in peers.iter() {
                let host = NameHash::of(peer.host.as_str());
                let is_member = self
                    .pools
                    .borrow()
                    .get(&upstream)
                    .is_some_and(|pool| pool.has_member_of(host.0));
                if !is_member {
                    self.send_message(peer.reports, upstream, limit, Body::Announcement, now);
                }
            }
        }
    }

    /// Returns the host that issues the permits for an upstream, out of this one and the others that are not avoided.
    /// Hosts with the same view choose the same one, and the upstreams are spread over the hosts.
    pub(super) fn preferred_issuer(&self, id: &UpstreamId, avoided: &[HostId]) -> HostId {
        let view = self.view.borrow();
        let peers = view.peers().iter().map(|peer| &peer.host);
        let usable = peers.filter(|host| !avoided.contains(host)).chain([&self.settings.host]);
        let seed = u64::from(hash_of(id));
        let weight = |host: &&HostId| xxh3::xxh3_64_with_seed(host.as_str().as_bytes(), seed);
        usable.max_by_key(weight).unwrap_or(&self.settings.host).clone()
    }

    fn peer_named(&self, host: NameHash) -> Option<HostId> {
        let view = self.view.borrow();
        let mut peers = view.peers().iter().map(|peer| &peer.host);
        peers.find(|peer| NameHash::of(peer.as_str()) == host).cloned()
    }

    pub(super) fn peer_addr(&self, host: &HostId) -> Option<SocketAddr> {
        let view = self.view.borrow();
        view.peers().iter().find(|peer| peer.host == *host).map(|peer| peer.reports)
    }

    fn own_process(&self) -> u64 {
        process_number(NameHash::of(self.settings.host.as_str()), self.run)
    }

    /// Sends a message without waiting. If the socket's buffer is full, the message is lost.
    fn send_message(
        &self,
        addr: SocketAddr,
        upstream: UpstreamHash,
        limit: Limit,
        body: Body,
        now: HostTime,
    ) {
        let host = NameHash::of(self.settings.host.as_str());
        let message = Message { host, upstream, limit: WireLimit::new(limit, now), body };
        let bytes = match postcard::to_extend(&message, TAG.to_vec()) {
            Ok(bytes) => bytes,
            Err(e) => {
                log::error!("permits: can't encode a message: {e}");
                return;
            }
        };
        let datagrams = self.datagrams.borrow();
        let Some(socket) = datagrams.as_ref() else { return };
        if let Err(e) = socket.get_ref().send_to(&bytes, addr) {
            log::debug!("permits: can't send to {addr}: {e}");
        }
    }
}

fn hash_of(id: &UpstreamId) -> UpstreamHash {
    NameHash::of(id.as_str()).0
}

/// Returns a number that identifies a process of a host.
fn process_number(host: NameHash, run: u32) -> u64 {
    u64::from(host.0) << 32 | u64::from(run)
}
