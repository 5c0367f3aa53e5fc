//! Load reports between hosts: the number of requests that each host has at each upstream.
//!
//! Hosts share upstreams without seeing each other's requests, so they exchange reports in small datagrams. The
//! next report makes up for a lost one. A few hosts report to each other directly. Many hosts report to the relay of
//! their availability zone, which sends the sum to the relays of the other zones, and sends to each of its members the
//! load of all other hosts that it knows of. The number of datagrams thus grows linearly with the number of hosts.

use super::{Traffic, crash_reports, permits, trials};
use crate::clock;
use crate::load_reports::{self, CrashReport, NameHash, Report, Scope};
use crate::relays::{self, Rank};
use crate::view::PeerInfo;
use crate::{pace_notices, version_notices};
use async_io::{Async, Timer};
use metrics::counter;
use skylarkdock_dispatch::crash_tracker::Digest;
use skylarkdock_dispatch::peer_load::{self, PeerLoad, UpstreamHash};
use skylarkdock_dispatch::report_parts::ReportParts;
use skylarkdock_units::collections::{FastMap, FastSet};
use skylarkdock_units::ids::{HostId, ServiceName, UpstreamId, Zone};
use skylarkdock_units::times::{HostTime, Millis};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;

/// Number of hosts up to which all report to each other directly.
const MAX_DIRECT_HOSTS: usize = 16;
/// Interval between direct reports within the region.
const DIRECT_INTERVAL: Millis = Millis(100);
/// Interval between relayed reports; a report passes up to three relays.
const RELAYED_INTERVAL: Millis = Millis(150);
/// A direct report to other regions is sent once in this many intervals, because traffic between regions is expensive.
const FAR_REPORT_EVERY: u64 = 8;
/// The same for relayed reports.
const RELAYED_FAR_REPORT_EVERY: u64 = 5;
/// Number of rounds of reports in which other regions are told of a new configuration version; a datagram may be lost.
const NEWS_ROUNDS: u64 = 2;
/// Time without reports after which a relay in the own region counts as gone.
const MAX_RELAY_SILENCE: Millis = Millis(700);
/// Time without reports after which a relay in another region counts as gone.
const MAX_FAR_RELAY_SILENCE: Millis = Millis(2_600);
/// Time for which a relay that was silent is not used.
const RELAY_AVOID_TIME: Millis = Millis(5_000);
/// Time without reports after which a member gets no more reports.
const MAX_MEMBER_SILENCE: Millis = Millis(1_200);
/// Time without reports after which a host that is not recorded gets no more reports. Idle hosts send none, and must still
/// learn of crashes.
const MAX_UNRECORDED_SILENCE: Millis = Millis(60_000);
/// Number of crashes in one report; with more of them it would not fit in a packet.
const MAX_CRASHES_PER_PART: usize = 4;
/// Index of a part that has crashes only, above those of all parts with load.
const CRASHES_PART: u8 = u8::MAX;
/// Number of upstreams in a part with which crashes still fit in its packet.
const MAX_UPSTREAMS_BESIDE_CRASHES: usize = 130;
/// Largest size of a datagram, below the usual maximum packet size.
const MAX_REPORT_SIZE: usize = 1_400;

/// Report of load with the host that it is sent to.
struct OutgoingReport {
    addr: SocketAddr,
    scope: Scope,
    /// Requests at each upstream, sorted by hash.
    load: Vec<(UpstreamHash, u32)>,
    /// Whether the receiver is in another region.
    is_far: bool,
}

/// Source of a report. A report replaces the previous one of the same source.
type Source = (NameHash, Scope, u8);

type Loads = FastMap<UpstreamHash, u32>;

/// Host that reports to this one as its relay.
struct Member {
    addr: SocketAddr,
    reported_at: HostTime,
    /// Largest index of a part that the host has sent.
    last_part: u8,
}

/// Load reported by other hosts, and the hosts to report to.
#[derive(Default)]
pub(super) struct Reports {
    peer_load: PeerLoad<Source>,
    /// Upstreams by the hash of their id.
    names: FastMap<UpstreamHash, (ServiceName, UpstreamId)>,
    members: FastMap<NameHash, Member>,
    parts: ReportParts<(SocketAddr, Scope)>,
    /// Hosts that read packed loads, and when they last reported.
    packed_readers: FastMap<SocketAddr, HostTime>,
    /// Hosts that report directly to this one although it knows no record of them, and when they last did.
    unrecorded: FastMap<SocketAddr, HostTime>,
    /// Relay that this host uses for each availability zone, and since when.
    relays: FastMap<Zone, (HostId, HostTime)>,
    avoided_until: FastMap<HostId, HostTime>,
}

/// Starts the tasks that send and receive reports.
pub(super) fn start(traffic: &Rc<Traffic>) {
    let socket = match Async::<UdpSocket>::bind(traffic.settings.reports) {
        Ok(socket) => Rc::new(socket),
        Err(e) => {
            log::error!("reports: can't listen at {}: {e}", traffic.settings.reports);
            return;
        }
    };
    *traffic.datagrams.borrow_mut() = Some(Rc::clone(&socket));
    traffic.spawn("reports", send(Rc::clone(traffic), Rc::clone(&socket)));
    traffic.spawn("reports", receive(Rc::clone(traffic), socket));
}

async fn send(traffic: Rc<Traffic>, socket: Rc<Async<UdpSocket>>) {
    let mut round: u64 = 0;
    let mut was_idle = false;
    loop {
        let view = Arc::clone(&traffic.view.borrow());
        let peers = view.peers();
        let is_direct = peers.len() < MAX_DIRECT_HOSTS;
        let interval = if is_direct { DIRECT_INTERVAL } else { RELAYED_INTERVAL };
        Timer::after(interval.duration()).await;
        round += 1;
        let now = clock::now();
        let expired = traffic.reports.borrow_mut().peer_load.expire_reports(now);
        traffic.update_peer_load(&expired, now);
        let crashes = traffic.crashes_to_report();
        let far_every = if is_direct { FAR_REPORT_EVERY } else { RELAYED_FAR_REPORT_EVERY };
        // Other regions learn of a new crash and of a new configuration at once.
        let includes_far = round.is_multiple_of(far_every)
            || traffic.crash_tracker.borrow().has_crash_since(interval, now)
            || traffic.has_version_news(Millis(interval.0 * NEWS_ROUNDS), now);
        let is_outdated = traffic.is_config_outdated(now);
        traffic.set_version_gauges(is_outdated);
        let notice = traffic.version_notice(includes_far, now);
        let digest = if includes_far { traffic.crash_digest() } else { Digest::default() };
        let digest = if digest.is_empty() { None } else { crash_reports::encode_digest(&digest) };
        let own = traffic.own_load(clock::now());
        let is_idle = own.is_empty() && crashes.is_empty() && digest.is_none() && notice.is_none();
        let outgoing = if is_direct && is_idle && was_idle {
            Vec::new()
        } else if is_direct {
            traffic.direct_reports(peers, &own, includes_far, now)
        } else {
            traffic.relayed_reports(peers, &own, includes_far, now)
        };
        was_idle = is_idle;
        for report in outgoing {
            traffic.send_parts(&socket, &report, &crashes).await;
            let addr = report.addr;
            if let Some(digest) = &digest
                && let Err(e) = socket.send_to(digest, addr).await
            {
                log::debug!("crashes: can't send a digest to {addr}: {e}");
            }
            if let Some(notice) = &notice
                && let Err(e) = socket.send_to(notice, addr).await
            {
                log::debug!("config: can't send a notice of versions to {addr}: {e}");
            }
        }
    }
}

async fn receive(traffic: Rc<Traffic>, socket: Rc<Async<UdpSocket>>) {
    let mut buf = [0; 2_048];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) if permits::is_message(&buf[..len]) => {
                traffic.on_permit_message(&buf[..len], from);
            }
            Ok((len, from)) if trials::is_message(&buf[..len]) => {
                traffic.on_trial_message(&buf[..len], from);
            }
            Ok((len, _)) if crash_reports::is_digest(&buf[..len]) => {
                traffic.apply_digest(&buf[..len]);
            }
            Ok((len, _)) if version_notices::is_notice(&buf[..len]) => {
                traffic.on_version_notice(&buf[..len]);
            }
            Ok((len, _)) if pace_notices::is_notice(&buf[..len]) => {
                traffic.on_pace_notice(&buf[..len]);
            }
            Ok((len, from)) => match load_reports::decode(&buf[..len]) {
                Ok((report, reads_packed)) => traffic.apply_report(report, reads_packed, from),
                Err(e) => log::debug!("reports: can't read a report: {e}"),
            },
            Err(e) => {
                log::debug!("reports: can't receive: {e}");
                Timer::after(DIRECT_INTERVAL.duration()).await;
            }
        }
    }
}

impl Traffic {
    /// Returns the number of requests that this host has at each upstream, and the services with timeouts.
    fn own_load(&self, now: HostTime) -> Loads {
        let services = self.services.borrow();
        let upstreams = services.values().flat_map(|state| state.service.upstreams());
        let busy = upstreams.filter(|upstream| upstream.in_flight() > 0);
        let mut loads: Loads = busy
            .map(|upstream| (NameHash::of(upstream.info().id.as_str()).0, upstream.in_flight()))
            .collect();
        self.add_timeouts(&mut loads, now);
        loads
    }

    /// Returns the reports to send if all hosts report to each other directly. Those that are not recorded get them as
    /// well, once they were heard.
    fn direct_reports(
        &self,
        peers: &[PeerInfo],
        own: &Loads,
        includes_far: bool,
        now: HostTime,
    ) -> Vec<OutgoingReport> {
        let mut reports = self.reports.borrow_mut();
        let is_peer = |addr: &SocketAddr| peers.iter().any(|peer| peer.reports == *addr);
        reports
            .unrecorded
            .retain(|addr, at| now.since(*at) < MAX_UNRECORDED_SILENCE && !is_peer(addr));
        let receivers =
            peers.iter().filter(|peer| includes_far || peer.region == self.settings.region);
        let is_far = |peer: &PeerInfo| peer.region != self.settings.region;
        let recorded = receivers.map(|peer| (peer.reports, is_far(peer)));
        let unrecorded = reports.unrecorded.keys().map(|addr| (*addr, false));
        let load = peer_load::sorted(own);
        let report =
            |(addr, is_far)| OutgoingReport { addr, scope: Scope::Own, load: load.clone(), is_far };
        recorded.chain(unrecorded).map(report).collect()
    }

    /// Returns the reports to send if reports are relayed.
    fn relayed_reports(
        &self,
        peers: &[PeerInfo],
        own: &Loads,
        includes_far: bool,
        now: HostTime,
    ) -> Vec<OutgoingReport> {
        let mut reports = self.reports.borrow_mut();
        let mut outgoing = Vec::new();
        let mut group_load = reports.peer_load.totals_where(|(_, scope, _)| scope == Scope::Member);
        add_loads(&mut group_load, own);
        let group_load = peer_load::sorted(&group_load);
        let settings = &self.settings;
        let rank = Rank::of(&settings.host, settings.size);
        let neighbours = peers.iter().filter(|peer| peer.zone == settings.zone);
        match reports.select_relay(
            &settings.zone,
            neighbours,
            Some(rank),
            (Scope::Rest, MAX_RELAY_SILENCE),
            now,
        ) {
            Some(addr) => {
                let scope = Scope::Member;
                outgoing.push(OutgoingReport { addr, scope, load: group_load, is_far: false });
            }
            None => {
                for zone in other_zones(peers, &settings.zone) {
                    let is_far = settings.zones.get(&zone) != Some(&settings.region);
                    if is_far && !includes_far {
                        continue;
                    }
                    let silence = if is_far { MAX_FAR_RELAY_SILENCE } else { MAX_RELAY_SILENCE };
                    let zone_hosts = peers.iter().filter(|peer| peer.zone == zone);
                    let relay =
                        reports.select_relay(&zone, zone_hosts, None, (Scope::Zone, silence), now);
                    outgoing.extend(relay.map(|addr| OutgoingReport {
                        addr,
                        scope: Scope::Zone,
                        load: group_load.clone(),
                        is_far,
                    }));
                }
            }
        }
        reports.members.retain(|_, member| now.since(member.reported_at) < MAX_MEMBER_SILENCE);
        reports.packed_readers.retain(|_, at| now.since(*at) < MAX_FAR_RELAY_SILENCE);
        reports.parts.forget_silent(now);
        if !reports.members.is_empty() {
            let mut all = reports.peer_load.totals_where(|_| true);
            add_loads(&mut all, own);
            let all = peer_load::sorted(&all);
            for (host, member) in &reports.members {
                // Any part may be empty, so none ends the search for more.
                let sources = (0..=member.last_part).map(|part| (*host, Scope::Member, part));
                let load = reports.peer_load.subtract_reports(&all, sources);
                let (addr, scope) = (member.addr, Scope::Rest);
                outgoing.push(OutgoingReport { addr, scope, load, is_far: false });
            }
        }
        outgoing
    }

    /// Sends a report in parts, each of which fits in a packet.
    async fn send_parts(
        &self,
        socket: &Async<UdpSocket>,
        outgoing: &OutgoingReport,
        crashes: &[CrashReport],
    ) {
        let OutgoingReport { addr, scope, load, is_far } = outgoing;
        let (addr, scope) = (*addr, *scope);
        let distance = if *is_far { "far" } else { "near" };
        let now = clock::now();
        let (parts, is_packed) = {
            let mut reports = self.reports.borrow_mut();
            let is_packed = reports.packed_readers.contains_key(&addr);
            (reports.parts.split((addr, scope), load, is_packed, now), is_packed)
        };
        let fits_beside =
            parts.first().is_none_or(|part| part.len() <= MAX_UPSTREAMS_BESIDE_CRASHES);
        let beside = if fits_beside { crashes.len().min(MAX_CRASHES_PER_PART) } else { 0 };
        let (first_crashes, more_crashes) = crashes.split_at(beside);
        let crash_part = (!more_crashes.is_empty()).then(|| (CRASHES_PART, Vec::new()));
        for (part, load) in (0..).zip(parts).chain(crash_part) {
            let crashes = match part {
                0 => first_crashes.to_vec(),
                CRASHES_PART => more_crashes.to_vec(),
                _ => Vec::new(),
            };
            let host = NameHash::of(self.settings.host.as_str());
            let report = Report { host, scope, part, load, crashes };
            let bytes = match load_reports::encode(report, is_packed) {
                Ok(bytes) if bytes.len() <= MAX_REPORT_SIZE => bytes,
                Ok(bytes) => {
                    log::warn!(bytes = bytes.len(); "reports: too large for a packet, not sent");
                    continue;
                }
                Err(e) => {
                    log::error!("reports: can't encode a report: {e}");
                    continue;
                }
            };
            counter!("skylarkdock_report_packets_total", "scope" => scope.as_str(), "distance" => distance)
                .increment(1);
            counter!("skylarkdock_report_bytes_total", "scope" => scope.as_str(), "distance" => distance)
                .increment(bytes.len() as u64);
            if let Err(e) = socket.send_to(&bytes, addr).await {
                log::debug!("reports: can't send to {addr}: {e}");
            }
        }
    }

    fn apply_report(&self, report: Report, reads_packed: bool, from: SocketAddr) {
        let now = clock::now();
        self.apply_crash_reports(report.crashes);
        let updated = {
            let mut reports = self.reports.borrow_mut();
            if reads_packed {
                reports.packed_readers.insert(from, now);
            } else {
                reports.packed_readers.remove(&from);
            }
            if report.scope == Scope::Member {
                let known = reports.members.get(&report.host).map_or(0, |known| known.last_part);
                let last_part = if report.part == CRASHES_PART { 0 } else { report.part };
                let last_part = known.max(last_part);
                let member = Member { addr: from, reported_at: now, last_part };
                reports.members.insert(report.host, member);
            }
            // One that is recorded is removed before the next reports.
            if report.scope == Scope::Own && reports.unrecorded.len() < MAX_DIRECT_HOSTS {
                reports.unrecorded.insert(from, now);
            }
            reports.peer_load.apply_report(
                (report.host, report.scope, report.part),
                report.load,
                now,
            )
        };
        self.update_peer_load(&updated, now);
    }

    /// Updates the load from other hosts at the given upstreams.
    fn update_peer_load(&self, updated: &FastSet<UpstreamHash>, now: HostTime) {
        let reports = self.reports.borrow();
        self.apply_timeouts(updated, |hash| reports.peer_load.total(hash) > 0, now);
        let mut services = self.services.borrow_mut();
        for hash in updated {
            let Some((service, id)) = reports.names.get(hash) else { continue };
            let state = services.get_mut(service);
            if let Some(upstream) = state.and_then(|state| state.service.upstream_mut(id)) {
                upstream.set_peer_load(reports.peer_load.total(*hash), now);
            }
        }
    }
}

impl Reports {
    /// Returns the upstream with this hash of its id, and its service.
    pub(super) fn upstream(&self, hash: UpstreamHash) -> Option<&(ServiceName, UpstreamId)> {
        self.names.get(&hash)
    }

    /// Adds an upstream that reports may refer to.
    pub(super) fn put_upstream(&mut self, service: &ServiceName, id: &UpstreamId) {
        let hash = NameHash::of(id.as_str()).0;
        if self.names.get(&hash).is_none_or(|known| known != &(service.clone(), id.clone())) {
            self.names.insert(hash, (service.clone(), id.clone()));
        }
    }

    /// Removes an upstream that reports may no longer refer to.
    pub(super) fn remove_upstream(&mut self, id: &UpstreamId) {
        let hash = NameHash::of(id.as_str()).0;
        if self.names.get(&hash).is_some_and(|(_, known)| known == id) {
            self.names.remove(&hash);
        }
    }

    /// Returns the address of the relay of a zone: the host with the highest rank, if that is above `own`. A relay
    /// that has sent no report of the expected scope for `silence` is avoided for a while.
    fn select_relay<'a>(
        &mut self,
        zone: &Zone,
        hosts: impl Iterator<Item = &'a PeerInfo>,
        own: Option<Rank>,
        (scope, silence): (Scope, Millis),
        now: HostTime,
    ) -> Option<SocketAddr> {
        self.avoided_until.retain(|_, until| now < *until);
        if let Some((host, since)) = self.relays.get(zone) {
            let source = (NameHash::of(host.as_str()), scope, 0);
            let heard_at = self.peer_load.last_report_at(source).unwrap_or_default().max(*since);
            if now.since(heard_at) > silence {
                log::info!(host:% = host, zone:% = zone; "reports: a relay is silent");
                self.avoided_until.insert(host.clone(), now + RELAY_AVOID_TIME);
            }
        }
        let hosts = hosts.filter(|peer| !self.avoided_until.contains_key(&peer.host));
        let rank = |peer: &PeerInfo| Rank::of(&peer.host, peer.size);
        let relay = relays::select_relay(own, hosts, rank);
        let Some(relay) = relay else {
            self.relays.remove(zone);
            return None;
        };
        let is_same = self.relays.get(zone).is_some_and(|(host, _)| *host == relay.host);
        if !is_same {
            self.relays.insert(zone.clone(), (relay.host.clone(), now));
        }
        Some(relay.reports)
    }
}

fn add_loads(sums: &mut Loads, more: &Loads) {
    for (id, count) in more {
        *sums.entry(*id).or_default() += count;
    }
}

fn other_zones(peers: &[PeerInfo], own: &Zone) -> Vec<Zone> {
    let mut zones: Vec<Zone> =
        peers.iter().map(|peer| peer.zone.clone()).filter(|zone| zone != own).collect();
    zones.sort();
    zones.dedup();
    zones
}
