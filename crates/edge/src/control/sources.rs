//! Whom a host asks for updates, and its turn in reading the store.

use super::Control;
use crate::clock;
use crate::relays::{self, Rank};
use crate::store::Topic;
use skylarkdock_freshness::reading::{self, Turn};
use skylarkdock_spans::renewal::Renewals;
use skylarkdock_units::ids::HostId;
use skylarkdock_units::times::{HostTime, Millis};
use std::net::SocketAddr;

/// Time for which a host that gave no usable answer is avoided in favour of the next source.
const AVOID_TIME: Millis = Millis(2_000);

impl Control {
    /// Avoids a host that gave no usable answer for a while.
    pub(super) fn avoid(&self, addr: SocketAddr) {
        self.avoided.borrow_mut().insert(addr, clock::now() + AVOID_TIME);
    }

    /// Asks a host that is late only if there is no other source, for the same time.
    pub(super) fn mark_stale(&self, addr: SocketAddr) {
        self.stale_sources.borrow_mut().insert(addr, clock::now() + AVOID_TIME);
    }

    /// Returns the address of the host to request updates from; `None` if there is none. A leader whose reads fail learns
    /// from others whether the store is unavailable or refuses only the leader.
    pub(super) fn source(&self, now: HostTime) -> Option<SocketAddr> {
        if self.is_leader.get() {
            let reads_fail = self.fleet.borrow().known_records.reads_fail;
            return if reads_fail { self.random_peer() } else { None };
        }
        if self.is_isolated(now, false) {
            return self.random_peer();
        }
        let sources = self.sources().into_iter().filter_map(|host| self.peer_addr(&host));
        let avoided = self.avoided.borrow();
        let mut usable: Vec<SocketAddr> =
            sources.filter(|addr| !avoided.contains_key(addr)).collect();
        let stale = self.stale_sources.borrow();
        usable.sort_by_key(|addr| stale.contains_key(addr));
        let first = usable.first().copied();
        let is_late = first.is_some_and(|addr| stale.contains_key(&addr));
        if is_late && self.is_isolated(now, true) { self.random_peer().or(first) } else { first }
    }

    /// Returns the hosts to request updates from, in order of preference: the keeper of this availability zone, its
    /// largest host, then the leader. A keeper requests updates only from the leader.
    fn sources(&self) -> Vec<HostId> {
        let own = &self.settings.host;
        let near = self.zone_keeper();
        let relay = if near.as_ref() == Some(own) { None } else { self.relay() };
        let mut sources: Vec<HostId> = near.into_iter().chain(relay).collect();
        let owners = self.owners.borrow();
        let table = owners.renewals.values().filter_map(Renewals::table).next();
        sources.extend(table.map(|table| table.leader.clone()));
        sources.retain(|host| host != own);
        sources
    }

    /// Returns the keeper of this availability zone, which may be this host.
    fn zone_keeper(&self) -> Option<HostId> {
        let owners = self.owners.borrow();
        let table = owners.renewals.values().filter_map(Renewals::table).next()?;
        let keeper = table.keepers.iter().find(|keeper| keeper.zone == self.settings.zone)?;
        Some(keeper.host.clone())
    }

    /// Returns this host's place in the order in which the hosts of its availability zone read the store: the first one
    /// for the host that the others ask for updates.
    pub(super) fn turn(&self) -> Turn {
        let own = &self.settings.host;
        // Over a full link no host reaches its sources, so what a host reaches lets only one of a zone take the first turn.
        let is_first = match self.zone_keeper() {
            Some(keeper) => keeper == *own || self.succeeds(&keeper),
            None => self.larger_host(|_| true).is_none(),
        };
        if is_first { Turn::FIRST } else { Turn::of_follower(self.follower_number.get()) }
    }

    /// Returns whether this host is the largest recorded one of its availability zone but for the keeper, and does not
    /// reach the keeper.
    fn succeeds(&self, keeper: &HostId) -> bool {
        let keeper_addr = self.peer_addr(keeper);
        let is_reached = keeper_addr.is_some_and(|addr| !self.avoided.borrow().contains_key(&addr));
        !is_reached
            && self.peer_addr(&self.settings.host).is_some()
            && self.larger_host(|addr| Some(addr) != keeper_addr).is_none()
    }

    /// Returns whether the registry or the configuration known to this host is too old, although the host has had time
    /// to read the store, or its source is late as well.
    pub(super) fn is_isolated(&self, now: HostTime, is_source_late: bool) -> bool {
        let fleet = self.fleet.borrow();
        let age = |topic| now.since(fleet.known_records.proof_at(topic));
        let min_uptime = if fleet.config.is_none() {
            self.first_read_time()
        } else {
            self.limits.isolation_age()
        };
        let (registry_age, config_age) = (age(Topic::Upstreams), age(Topic::Config));
        now.since(self.started_at) > min_uptime
            && reading::asks_any_host(self.limits, registry_age, config_age, is_source_late)
    }

    /// Returns the largest host of this availability zone that is not avoided, unless it is this one. It relays updates
    /// while the zone's keeper does not.
    fn relay(&self) -> Option<HostId> {
        let avoided = self.avoided.borrow();
        self.larger_host(|addr| !avoided.contains_key(&addr))
    }

    /// Returns the largest host of this availability zone at an address that fits, if it is larger than this one.
    fn larger_host(&self, fits: impl Fn(SocketAddr) -> bool) -> Option<HostId> {
        let settings = &self.settings;
        let fleet = self.fleet.borrow();
        let others = fleet.hosts.values().filter(|record| {
            record.zone == settings.zone && record.host != settings.host && fits(record.peers)
        });
        let own = Rank::of(&settings.host, settings.size);
        let relay =
            relays::select_relay(Some(own), others, |record| Rank::of(&record.host, record.size));
        relay.map(|record| record.host.clone())
    }

    /// Returns the address of another host, or a configured one if no host is known yet. Only keepers ask hosts of other
    /// regions, as the links between regions can't carry the whole registry to all hosts at once.
    fn random_peer(&self) -> Option<SocketAddr> {
        let avoided = self.avoided.borrow();
        let fleet = self.fleet.borrow();
        let own = &self.settings.host;
        let stale = self.stale_sources.borrow();
        let is_keeper = self.is_keeper();
        let others = fleet.hosts.values().filter(|record| {
            record.host != *own && (is_keeper || record.region == self.settings.region)
        });
        let mut addrs: Vec<SocketAddr> = others.map(|record| record.peers).collect();
        if addrs.is_empty() {
            addrs.extend(&self.settings.seeds);
        }
        addrs.retain(|addr| *addr != self.settings.peers && !avoided.contains_key(addr));
        if addrs.iter().any(|addr| !stale.contains_key(addr)) {
            addrs.retain(|addr| !stale.contains_key(addr));
        }
        (!addrs.is_empty()).then(|| addrs[fastrand::usize(..addrs.len())])
    }
}
