//! Chooses the members of a range's lease: the holder first, then its successors.

use crate::score::score;
use skylarkdock_records::service::{OnCut, Service, Upstream};
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{Member, Region, UpstreamId, Zone};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Members of a lease if enough hosts are live.
pub const LEASE_MEMBERS: usize = 3;

/// A live host and its location.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveHost {
    /// The host and the incarnation of its daemon.
    pub member: Member,
    /// Availability zone of the host.
    pub zone: Zone,
    /// Region of the host.
    pub region: Region,
}

/// The preferred holder for the ranges of each upstream of a service.
///
/// All ranges of an upstream have the same preferred holder, so that one host counts its slots in
/// use. The holder is in the upstream's zone if that has a live host. No host is chosen for more than
/// its share of the upstreams that it may hold.
#[derive(Debug, Clone, Default)]
pub struct Holders(FastMap<UpstreamId, Member>);

impl Holders {
    /// Chooses a holder for each upstream.
    pub fn new(service: &Service, hosts: &[LiveHost]) -> Self {
        let mut holders = FastMap::default();
        let mut loads: FastMap<&Member, usize> = FastMap::default();
        for group in groups(service, hosts) {
            let mut quota = HolderQuota::new(group.upstreams.len(), group.hosts.len());
            for upstream in group.upstreams {
                let ranked = ranked(service, upstream, &group.hosts);
                let load = |host: &LiveHost| loads.get(&host.member).copied().unwrap_or(0);
                let chosen = ranked.iter().find(|host| quota.allows(load(host)));
                let Some(host) = chosen.or_else(|| ranked.first()).copied() else { continue };
                quota.take(load(host));
                *loads.entry(&host.member).or_default() += 1;
                holders.insert(upstream.id.clone(), host.member.clone());
            }
        }
        Self(holders)
    }
}

/// How many upstreams each host of a group may hold: all of them `each`, and `extra` of them one
/// more.
struct HolderQuota {
    each: usize,
    extra: usize,
}

impl HolderQuota {
    fn new(upstreams: usize, hosts: usize) -> Self {
        let hosts = hosts.max(1);
        Self { each: upstreams / hosts, extra: upstreams % hosts }
    }

    fn allows(&self, load: usize) -> bool {
        load < self.each || (load == self.each && self.extra > 0)
    }

    fn take(&mut self, load: usize) {
        if load >= self.each {
            self.extra = self.extra.saturating_sub(1);
        }
    }
}

/// Upstreams and the hosts that may hold their ranges.
struct Group<'a> {
    upstreams: Vec<&'a Upstream>,
    hosts: Vec<&'a LiveHost>,
}

/// Groups the upstreams by zone. Those of zones without a live host form the last group, for all
/// hosts.
fn groups<'a>(service: &'a Service, hosts: &'a [LiveHost]) -> Vec<Group<'a>> {
    let mut by_zone: BTreeMap<&Zone, Vec<&Upstream>> = BTreeMap::new();
    for upstream in &service.upstreams {
        by_zone.entry(&upstream.zone).or_default().push(upstream);
    }
    let mut groups = Vec::new();
    let mut remote_upstreams = Vec::new();
    for (zone, upstreams) in by_zone {
        let local: Vec<_> = hosts.iter().filter(|host| host.zone == *zone).collect();
        if local.is_empty() {
            remote_upstreams.extend(upstreams);
        } else {
            groups.push(Group { upstreams, hosts: local });
        }
    }
    groups.push(Group { upstreams: remote_upstreams, hosts: hosts.iter().collect() });
    groups
}

/// Returns hosts in descending order of their rendezvous score for an upstream.
fn ranked<'a>(service: &Service, upstream: &Upstream, hosts: &[&'a LiveHost]) -> Vec<&'a LiveHost> {
    let subject = [service.name.as_str(), upstream.id.as_str()];
    let mut ranked = hosts.to_vec();
    ranked.sort_by_cached_key(|host| Reverse(score(&subject, host.member.host.as_str())));
    ranked
}

/// Returns the members that leases of an upstream's ranges should have, the holder first.
pub fn members(
    service: &Service,
    upstream: &Upstream,
    hosts: &[LiveHost],
    holders: &Holders,
) -> Vec<Member> {
    let all: Vec<&LiveHost> = hosts.iter().collect();
    let ranked = ranked(service, upstream, &all);
    let holder = holders.0.get(&upstream.id);
    let holder_host =
        ranked.iter().find(|host| Some(&host.member) == holder).or_else(|| ranked.first());
    let Some(holder_host) = holder_host.copied() else { return Vec::new() };
    let mut chosen = vec![holder_host];
    while chosen.len() < LEASE_MEMBERS {
        let candidates = ranked.iter().filter(|host| !chosen.contains(host));
        let Some(next) =
            candidates.min_by_key(|host| placement_cost(service.on_cut, host, &chosen))
        else {
            break;
        };
        chosen.push(next);
    }
    chosen.into_iter().map(|host| host.member.clone()).collect()
}

/// Returns the cost of a host as the next member, lower is better; ties go to the higher rendezvous
/// score.
///
/// [`OnCut::Hold`] prefers the holder's zone, [`OnCut::Move`] zones that have no member yet; both
/// prefer the holder's region next.
fn placement_cost(on_cut: OnCut, host: &LiveHost, chosen: &[&LiveHost]) -> u32 {
    let Some(holder) = chosen.first() else { return 0 };
    let zone_has_member = chosen.iter().any(|other| other.zone == host.zone);
    let region_cost = u32::from(host.region != holder.region);
    match on_cut {
        OnCut::Hold if host.zone == holder.zone => 0,
        OnCut::Hold => 1 + region_cost,
        OnCut::Move if zone_has_member => 2 + region_cost,
        OnCut::Move => region_cost,
    }
}
