//! Listed upstreams as the traffic thread knows them.
//!
//! Load pattern: hundreds of hosts know hundreds of upstreams, and hot keys, restarts and releases change a few of them
//! many times a second. The control thread passes on what has changed since it last published, so that the work of each
//! host for a change does not grow with the number of upstreams.

use crate::view::{ListedUpstream, UpstreamChange};
use skylarkdock_dispatch::crash_tracker::EndProof;
use skylarkdock_units::collections::{FastMap, FastSet};
use skylarkdock_units::ids::{ServiceName, UpstreamId};
use std::net::SocketAddr;

/// Incarnation of an upstream that has ended, and what shows that.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedUpstream {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Unix time in milliseconds at which the incarnation started, by its own clock.
    pub born: u64,
    /// Whether it has ended for certain. The start of another upstream at its address does not show that: it is what the
    /// writer of that entry claims.
    pub proof: EndProof,
}

/// Effect of changes on the listed upstreams.
#[derive(Debug, Default)]
pub struct ListingUpdate {
    /// Upstreams that are new or have other properties.
    pub changed: Vec<UpstreamId>,
    /// Upstreams among `changed` that started anew under the same id.
    pub restarted: FastSet<UpstreamId>,
    /// Upstreams that are no longer listed for a service.
    pub removed: Vec<(ServiceName, UpstreamId)>,
    /// Incarnations that have ended, except those that were leaving.
    pub ended: Vec<EndedUpstream>,
    /// Addresses at which upstreams are listed now, and were not before.
    pub added_addrs: Vec<SocketAddr>,
    /// Addresses at which no upstream is listed any more.
    pub removed_addrs: Vec<SocketAddr>,
}

/// Listed upstreams by id and by address.
#[derive(Debug, Default)]
pub struct Listing {
    upstreams: FastMap<UpstreamId, ListedUpstream>,
    /// Several upstreams share an address while the entry of an ended one is still listed.
    ids_by_addr: FastMap<SocketAddr, Vec<UpstreamId>>,
}

impl Listing {
    /// Returns a listed upstream.
    pub fn get(&self, id: &UpstreamId) -> Option<&ListedUpstream> {
        self.upstreams.get(id)
    }

    /// Iterates over all listed upstreams, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &ListedUpstream> {
        self.upstreams.values()
    }

    /// Applies changes in the order in which they occurred.
    pub fn apply(&mut self, changes: Vec<UpstreamChange>) -> ListingUpdate {
        let mut former: FastMap<UpstreamId, Option<ListedUpstream>> = FastMap::default();
        let mut had_upstream: FastMap<SocketAddr, bool> = FastMap::default();
        for change in changes {
            let id = change.id().clone();
            let previous = self.upstreams.remove(&id);
            if let Some(previous) = &previous {
                had_upstream.entry(previous.entry.addr).or_insert(true);
                self.remove_addr(previous.entry.addr, &id);
            }
            if let UpstreamChange::Listed(listed) = change {
                let addr = listed.entry.addr;
                had_upstream.entry(addr).or_insert_with(|| self.ids_by_addr.contains_key(&addr));
                self.ids_by_addr.entry(addr).or_default().push(id.clone());
                self.upstreams.insert(id.clone(), *listed);
            }
            former.entry(id).or_insert(previous);
        }
        let mut update = ListingUpdate { ended: self.ended(&former), ..ListingUpdate::default() };
        for (addr, had_upstream) in had_upstream {
            match (had_upstream, self.ids_by_addr.contains_key(&addr)) {
                (false, true) => update.added_addrs.push(addr),
                (true, false) => update.removed_addrs.push(addr),
                _ => {}
            }
        }
        for (id, former) in former {
            let known = self.upstreams.get(&id).map(|listed| &listed.entry);
            let former = former.map(|listed| listed.entry);
            if let Some(former) = &former
                && known.is_none_or(|known| known.service != former.service)
            {
                update.removed.push((former.service.clone(), id.clone()));
            }
            let Some(known) = known else { continue };
            if former.is_some_and(|former| former.born != known.born) {
                update.restarted.insert(id.clone());
            }
            update.changed.push(id);
        }
        update
    }

    fn remove_addr(&mut self, addr: SocketAddr, id: &UpstreamId) {
        if let Some(ids) = self.ids_by_addr.get_mut(&addr) {
            ids.retain(|other| other != id);
            if ids.is_empty() {
                self.ids_by_addr.remove(&addr);
            }
        }
    }

    /// Returns the incarnations that have ended since `former`, the state of the changed upstreams before: those that
    /// are no longer listed, and those with a later incarnation or a successor at their address.
    fn ended(&self, former: &FastMap<UpstreamId, Option<ListedUpstream>>) -> Vec<EndedUpstream> {
        let mut ended = Vec::new();
        for listed in former.values().flatten().filter(|listed| !listed.entry.is_leaving) {
            let entry = &listed.entry;
            let known_born = self.upstreams.get(&entry.id).map(|known| known.entry.born);
            let proof = match known_born {
                Some(born) if born != entry.born => EndProof::Certain,
                Some(_) if self.newest_at(entry.addr) <= Some(entry.born) => continue,
                Some(_) | None => EndProof::Lapsed,
            };
            ended.push(EndedUpstream { id: entry.id.clone(), born: entry.born, proof });
        }
        // Upstreams that did not change themselves, or that were listed again, where another one has the address.
        let changed = former.keys().filter_map(|id| self.upstreams.get(id));
        let addrs: FastSet<SocketAddr> = changed.map(|listed| listed.entry.addr).collect();
        for addr in addrs {
            let newest = self.newest_at(addr);
            for id in self.ids_by_addr.get(&addr).into_iter().flatten() {
                let Some(entry) = self.upstreams.get(id).map(|listed| &listed.entry) else {
                    continue;
                };
                let is_known = ended.iter().any(|end| end.id == *id && end.born == entry.born);
                if !entry.is_leaving && newest > Some(entry.born) && !is_known {
                    let (id, born) = (id.clone(), entry.born);
                    ended.push(EndedUpstream { id, born, proof: EndProof::Lapsed });
                }
            }
        }
        ended
    }

    /// Returns the latest start of an upstream that is listed at an address.
    fn newest_at(&self, addr: SocketAddr) -> Option<u64> {
        let ids = self.ids_by_addr.get(&addr)?.iter();
        ids.filter_map(|id| self.upstreams.get(id)).map(|listed| listed.entry.born).max()
    }
}
