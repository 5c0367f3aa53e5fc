//! Load reports between hosts: how many requests each has at each upstream.
//!
//! Hosts share upstreams without seeing each other's requests. Small datagrams tell; one that is lost is made up for by
//! the next. A few hosts tell each other directly. Many tell the relay of their availability zone, which tells the
//! relays of the others the sum and each of its members all that it knows of the rest, so that the number of datagrams
//! grows with that of the hosts and no faster.

use super::Traffic;
use super::deaths::WireDeath;
use crate::clock;
use crate::relays::{self, Rank};
use crate::view::PeerInfo;
use async_io::{Async, Timer};
use serde::{Deserialize, Serialize};
use skylarkdock_dispatch::peer_load::{PeerLoad, UpstreamHash};
use skylarkdock_units::collections::{FastMap, FastSet};
use skylarkdock_units::ids::{HostId, ServiceName, UpstreamId, Zone};
use skylarkdock_units::times::{HostTime, Millis};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use xxhash_rust::xxh3;

/// Most hosts that tell each other directly.
const MAX_DIRECT: usize = 16;
/// Time between reports to the hosts of the region.
const INTERVAL: Millis = Millis(100);
/// The same over relays, of which a report passes up to three.
const RELAYED_INTERVAL: Millis = Millis(150);
/// Reports to other regions, as one of so many: their bytes are dear.
const FAR_EVERY: u64 = 8;
const RELAYED_FAR_EVERY: u64 = 5;
/// Silence after which a relay of the own zone, of the region and of another region counts as gone.
const RELAY_SILENCE: Millis = Millis(700);
const FAR_SILENCE: Millis = Millis(2_600);
/// Time for which a relay that was silent is not turned to.
const AVOIDED: Millis = Millis(5_000);
/// Silence after which a member is not told any more.
const MEMBER_SILENCE: Millis = Millis(1_200);
/// Most upstreams in a report; with the ends that it tells of it fits a packet. More are split by their hash.
const MAX_LOADS: usize = 100;
/// Largest datagram, below the usual limit of a packet.
const MAX_REPORT: usize = 1_400;

/// Hash of a name, which takes less room in a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct NameHash(pub(super) u32);

impl NameHash {
    pub(super) fn of(name: &str) -> Self {
        let [a, b, c, d, ..] = xxh3::xxh3_64(name.as_bytes()).to_le_bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
    }
}

/// Whose requests a report counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
enum Scope {
    /// The sender's, told directly.
    Own,
    /// The sender's, and those of hosts that it is the relay of. The receiver is to be its relay.
    Member,
    /// All of the sender's availability zone.
    Zone,
    /// All that the sender knows of but the receiver's.
    Rest,
}

/// A report as sent.
#[derive(Debug, Serialize, Deserialize)]
struct Report {
    host: NameHash,
    scope: Scope,
    /// Which of the upstreams it tells of, by their hash.
    part: u8,
    load: Vec<(UpstreamHash, u32)>,
    deaths: Vec<WireDeath>,
}

/// What replaces what: a later report of the same source.
type Source = (NameHash, Scope, u8);

type Loads = FastMap<UpstreamHash, u32>;

/// What is known of the other hosts' load, and who is told.
#[derive(Default)]
pub(super) struct Reports {
    others: PeerLoad<Source>,
    /// Upstreams by their hash.
    names: FastMap<UpstreamHash, (ServiceName, UpstreamId)>,
    members: FastMap<NameHash, (SocketAddr, HostTime)>,
    /// Relays that this host turns to, by availability zone, and since when.
    relays: FastMap<Zone, (HostId, HostTime)>,
    avoided: FastMap<HostId, HostTime>,
}

/// Starts sending and receiving.
pub(super) fn start(traffic: &Rc<Traffic>) {
    let socket = match Async::<UdpSocket>::bind(traffic.settings.reports) {
        Ok(socket) => Rc::new(socket),
        Err(e) => {
            log::error!("reports: can't listen at {}: {e}", traffic.settings.reports);
            return;
        }
    };
    let ex = Rc::clone(&traffic.ex);
    ex.spawn(send(Rc::clone(traffic), Rc::clone(&socket))).detach();
    ex.spawn(receive(Rc::clone(traffic), socket)).detach();
}

async fn send(traffic: Rc<Traffic>, socket: Rc<Async<UdpSocket>>) {
    let mut count: u64 = 0;
    let mut was_idle = false;
    loop {
        let peers = traffic.view.borrow().peers.clone().unwrap_or_default();
        let is_direct = peers.len() < MAX_DIRECT;
        let interval = if is_direct { INTERVAL } else { RELAYED_INTERVAL };
        Timer::after(interval.duration()).await;
        count += 1;
        let now = clock::now();
        let expired = traffic.reports.borrow_mut().others.expire_reports(now);
        traffic.set_others(&expired, now);
        let deaths = traffic.told_deaths();
        let own = traffic.own_load();
        let is_idle = own.is_empty() && deaths.is_empty();
        let letters = if is_direct && is_idle && was_idle {
            Vec::new()
        } else if is_direct {
            traffic.direct(&peers, own, count)
        } else {
            traffic.relayed(&peers, &own, count, now)
        };
        was_idle = is_idle;
        for (addr, scope, loads) in letters {
            traffic.send_parts(&socket, addr, scope, &loads, &deaths).await;
        }
    }
}

async fn receive(traffic: Rc<Traffic>, socket: Rc<Async<UdpSocket>>) {
    let mut buf = [0; 2_048];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) => match postcard::from_bytes::<Report>(&buf[..len]) {
                Ok(report) => traffic.hear(report, from),
                Err(e) => log::debug!("reports: can't read a report: {e}"),
            },
            Err(e) => {
                log::debug!("reports: can't receive: {e}");
                Timer::after(INTERVAL.duration()).await;
            }
        }
    }
}

impl Traffic {
    /// Returns the requests that this host has at upstreams.
    fn own_load(&self) -> Loads {
        let services = self.services.borrow();
        let upstreams = services.values().flat_map(|state| state.service.upstreams());
        let busy = upstreams.filter(|upstream| upstream.in_flight() > 0);
        busy.map(|upstream| (NameHash::of(upstream.info().id.as_str()).0, upstream.in_flight()))
            .collect()
    }

    /// Returns the reports of a host that tells all others.
    fn direct(
        &self,
        peers: &[PeerInfo],
        own: Loads,
        count: u64,
    ) -> Vec<(SocketAddr, Scope, Loads)> {
        let is_far_turn = count.is_multiple_of(FAR_EVERY);
        let told = peers.iter().filter(|peer| is_far_turn || peer.region == self.settings.region);
        told.map(|peer| (peer.reports, Scope::Own, own.clone())).collect()
    }

    /// Returns the reports of one host among many.
    fn relayed(
        &self,
        peers: &[PeerInfo],
        own: &Loads,
        count: u64,
        now: HostTime,
    ) -> Vec<(SocketAddr, Scope, Loads)> {
        let mut reports = self.reports.borrow_mut();
        let mut letters = Vec::new();
        let mut below = reports.others.totals_where(|(_, scope, _)| scope == Scope::Member);
        add(&mut below, own);
        let settings = &self.settings;
        let rank = Rank::of(&settings.host, settings.size);
        let neighbours = peers.iter().filter(|peer| peer.zone == settings.zone);
        match reports.relay(
            &settings.zone,
            neighbours,
            Some(rank),
            (Scope::Rest, RELAY_SILENCE),
            now,
        ) {
            Some(relay) => letters.push((relay, Scope::Member, below)),
            None => {
                let is_far_turn = count.is_multiple_of(RELAYED_FAR_EVERY);
                for zone in other_zones(peers, &settings.zone) {
                    let is_far = settings.zones.get(&zone) != Some(&settings.region);
                    if is_far && !is_far_turn {
                        continue;
                    }
                    let silence = if is_far { FAR_SILENCE } else { RELAY_SILENCE };
                    let there = peers.iter().filter(|peer| peer.zone == zone);
                    let relay = reports.relay(&zone, there, None, (Scope::Zone, silence), now);
                    letters.extend(relay.map(|relay| (relay, Scope::Zone, below.clone())));
                }
            }
        }
        reports.members.retain(|_, (_, at)| now.since(*at) < MEMBER_SILENCE);
        if !reports.members.is_empty() {
            let mut all = reports.others.totals_where(|_| true);
            add(&mut all, own);
            for (member, (addr, _)) in &reports.members {
                letters.push((*addr, Scope::Rest, reports.without(&all, *member)));
            }
        }
        letters
    }

    /// Sends a report, in parts that fit a packet each.
    async fn send_parts(
        &self,
        socket: &Async<UdpSocket>,
        addr: SocketAddr,
        scope: Scope,
        loads: &Loads,
        deaths: &[WireDeath],
    ) {
        let parts = self.reports.borrow().names.len().div_ceil(MAX_LOADS).clamp(1, 255);
        let parts = u8::try_from(parts).unwrap_or(u8::MAX);
        for part in 0..parts {
            let is_in_part = |id: UpstreamHash| id % u32::from(parts) == u32::from(part);
            let load = loads.iter().filter(|(id, _)| is_in_part(**id)).map(|(id, n)| (*id, *n));
            let deaths = if part == 0 { deaths.to_vec() } else { Vec::new() };
            let host = NameHash::of(self.settings.host.as_str());
            let report = Report { host, scope, part, load: load.collect(), deaths };
            let bytes = match postcard::to_stdvec(&report) {
                Ok(bytes) if bytes.len() <= MAX_REPORT => bytes,
                Ok(bytes) => {
                    log::warn!(bytes = bytes.len(); "reports: too large for a packet, not sent");
                    continue;
                }
                Err(e) => {
                    log::error!("reports: can't encode a report: {e}");
                    continue;
                }
            };
            if let Err(e) = socket.send_to(&bytes, addr).await {
                log::debug!("reports: can't send to {addr}: {e}");
            }
        }
    }

    fn hear(&self, report: Report, from: SocketAddr) {
        let now = clock::now();
        self.hear_deaths(report.deaths);
        let touched = {
            let mut reports = self.reports.borrow_mut();
            if report.scope == Scope::Member {
                reports.members.insert(report.host, (from, now));
            }
            reports.others.apply_report((report.host, report.scope, report.part), report.load, now)
        };
        self.set_others(&touched, now);
    }

    /// Gives upstreams the load of the other hosts.
    fn set_others(&self, touched: &FastSet<UpstreamHash>, now: HostTime) {
        let reports = self.reports.borrow();
        let mut services = self.services.borrow_mut();
        for hash in touched {
            let Some((service, id)) = reports.names.get(hash) else { continue };
            let state = services.get_mut(service);
            if let Some(upstream) = state.and_then(|state| state.service.upstream_mut(id)) {
                upstream.set_peer_load(reports.others.total(*hash), now);
            }
        }
    }
}

impl Reports {
    /// Sets the upstreams that may be reported.
    pub(super) fn set_upstreams<'a>(
        &mut self,
        upstreams: impl Iterator<Item = (&'a ServiceName, &'a UpstreamId)>,
    ) {
        let names = upstreams.map(|(service, id)| {
            let hash = NameHash::of(id.as_str()).0;
            (hash, (service.clone(), id.clone()))
        });
        self.names = names.collect();
    }

    /// Returns the address of the relay of a zone: the highest of the hosts, or of those above `own`. One from which
    /// nothing of the expected scope was heard for a while is not turned to.
    fn relay<'a>(
        &mut self,
        zone: &Zone,
        hosts: impl Iterator<Item = &'a PeerInfo>,
        own: Option<Rank>,
        (scope, silence): (Scope, Millis),
        now: HostTime,
    ) -> Option<SocketAddr> {
        self.avoided.retain(|_, until| now < *until);
        if let Some((host, since)) = self.relays.get(zone) {
            let source = (NameHash::of(host.as_str()), scope, 0);
            let heard_at = self.others.last_report_at(source).unwrap_or_default().max(*since);
            if now.since(heard_at) > silence {
                log::info!(host:% = host, zone:% = zone; "reports: a relay is silent");
                self.avoided.insert(host.clone(), now + AVOIDED);
            }
        }
        let hosts = hosts.filter(|peer| !self.avoided.contains_key(&peer.host));
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

    /// Returns loads without those that a member reported.
    fn without(&self, all: &Loads, member: NameHash) -> Loads {
        let mut rest = all.clone();
        for part in 0..=u8::MAX {
            let load = self.others.last_report((member, Scope::Member, part));
            if part > 0 && load.is_empty() {
                break;
            }
            for (id, count) in load {
                if let Some(sum) = rest.get_mut(id) {
                    *sum = sum.saturating_sub(*count);
                }
            }
        }
        rest.retain(|_, count| *count > 0);
        rest
    }
}

fn add(sums: &mut Loads, more: &Loads) {
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
