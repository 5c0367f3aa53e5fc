//! Requests of one host that may be served only in some regions, and the capacity that others leave them.
//!
//! Load pattern: the upstreams of a region are nearly full, and some requests may be served only there while others of the
//! same service could be served in another region. By order of arrival both would be refused alike, although there is room
//! for the latter elsewhere. Each host therefore learns how many requests arrive for each list of allowed regions, assumes
//! that the other hosts get as many, and lets its other requests use only what those leave.

use crate::arrivals::ArrivalRates;
use crate::regions::AllowedRegions;
use crate::upstream::as_f32;
use skylarkdock_units::ids::Region;
use skylarkdock_units::times::{HostTime, Millis};

/// Largest number of lists of allowed regions whose demand is learnt for one service. Configurations have one or two.
const MAX_LISTS: usize = 8;
/// Time without an arrival after which a list is forgotten: its aged demand is below 1 % then.
const FORGET_TIME: Millis = Millis(20_000);
/// Time constant of the aged demand. With 1 s, a host of 63 that gets 4 such requests a second misjudges their rate by a
/// third, and in sum too little is reserved.
const DEMAND_TIME_MS: f32 = 4_000.0;
/// Load from which the upstreams of a region are short of room, in percent of their slots. Below it, requests find a free slot
/// whatever the order in which they arrive.
const SHORT_PERCENT: u64 = 80;
/// Capacity that is reserved, as a multiple of the demand, so that requests which arrive unevenly find a slot.
const RESERVE_FACTOR: f32 = 1.1;
/// Requests that a host may send to a region beside those that it is reserved for, as a multiple of its equal share.
const OWN_SHARE_FACTOR: f32 = 1.3;

/// Upstreams of the regions of a list, as known to one host.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RegionCapacity {
    /// Slots of the upstreams.
    pub(crate) slots: u64,
    /// Requests from all hosts.
    pub(crate) load: u64,
    /// Requests per millisecond that the upstreams take from all hosts.
    pub(crate) requests_per_ms: f32,
    /// Number of hosts whose other requests share what is left.
    pub(crate) hosts: u32,
}

/// Demand for the regions of one list.
#[derive(Debug)]
struct ListDemand {
    regions: AllowedRegions,
    last_arrival: HostTime,
    /// Arrivals of requests with this list.
    arrivals: ArrivalRates,
    /// The same, over [`DEMAND_TIME_MS`].
    demand: ArrivalRates,
    /// Requests with this list that were sent.
    sends: ArrivalRates,
    /// Other requests that were sent to the regions of the list, over [`DEMAND_TIME_MS`].
    other_sends: ArrivalRates,
}

/// Demand for each list of allowed regions.
#[derive(Debug, Default)]
pub(crate) struct RestrictedDemand {
    lists: Vec<ListDemand>,
}

impl RestrictedDemand {
    /// Returns whether no restricted request has arrived.
    pub(crate) const fn is_empty(&self) -> bool {
        self.lists.is_empty()
    }

    /// Counts the arrival of a request.
    pub(crate) fn record_arrival(&mut self, regions: &AllowedRegions, rank: u8, now: HostTime) {
        self.lists.retain(|list| now < list.last_arrival + FORGET_TIME);
        if !regions.is_restricted() {
            return;
        }
        let index = self.lists.iter().position(|list| list.regions == *regions);
        let index = index.unwrap_or_else(|| self.add(regions, now));
        let list = &mut self.lists[index];
        list.last_arrival = now;
        list.arrivals.record(rank, now);
        list.demand.record(rank, now);
    }

    /// Adds a list, in place of the one that was used least recently if there are too many, and returns its index.
    fn add(&mut self, regions: &AllowedRegions, now: HostTime) -> usize {
        if self.lists.len() >= MAX_LISTS {
            let oldest = self.lists.iter().enumerate().min_by_key(|(_, list)| list.last_arrival);
            if let Some((index, _)) = oldest {
                self.lists.swap_remove(index);
            }
        }
        self.lists.push(ListDemand {
            regions: regions.clone(),
            last_arrival: now,
            arrivals: ArrivalRates::default(),
            demand: ArrivalRates::over(DEMAND_TIME_MS),
            sends: ArrivalRates::default(),
            other_sends: ArrivalRates::over(DEMAND_TIME_MS),
        });
        self.lists.len() - 1
    }

    /// Counts a request that is sent to an upstream in a region.
    pub(crate) fn record_send(
        &mut self,
        regions: &AllowedRegions,
        sent_to: Option<&Region>,
        now: HostTime,
    ) {
        for list in self.lists.iter_mut().filter(|list| list.regions.allows(sent_to)) {
            if list.regions == *regions {
                list.sends.record(0, now);
            } else {
                list.other_sends.record(0, now);
            }
        }
    }

    /// Returns the lists whose regions have no room for a request with the list `regions` at the moment, as requests up to
    /// `max_rank` that may be served only there need it. `capacity` returns what the regions of a list take, or `None` if
    /// the request can't be served elsewhere.
    pub(crate) fn reserved(
        &self,
        regions: &AllowedRegions,
        max_rank: u8,
        hosts: u32,
        now: HostTime,
        capacity: impl Fn(&AllowedRegions) -> Option<RegionCapacity>,
    ) -> Vec<AllowedRegions> {
        let is_reserved = |list: &&ListDemand| {
            if list.regions == *regions {
                return false;
            }
            let need = list.demand.rate_up_to(max_rank, now) * as_f32(hosts) * RESERVE_FACTOR;
            if need <= 0.0 {
                return false;
            }
            let Some(capacity) = capacity(&list.regions) else { return false };
            if capacity.load * 100 < capacity.slots * SHORT_PERCENT {
                return false;
            }
            let room = (capacity.requests_per_ms - need).max(0.0);
            let own_room = room * OWN_SHARE_FACTOR / as_f32(capacity.hosts.max(1));
            list.other_sends.rate(now) >= own_room
        };
        self.lists.iter().filter(is_reserved).map(|list| list.regions.clone()).collect()
    }

    /// Returns the requests per millisecond of this host, up to a rank, for which regions are reserved.
    pub(crate) fn need_per_ms(
        &self,
        reserved: &[AllowedRegions],
        max_rank: u8,
        now: HostTime,
    ) -> f32 {
        let lists = self.lists.iter().filter(|list| reserved.contains(&list.regions));
        lists.map(|list| list.demand.rate_up_to(max_rank, now)).sum::<f32>() * RESERVE_FACTOR
    }

    /// Returns the arrivals per millisecond with a list that are more urgent than a rank.
    pub(crate) fn rate_above(&self, regions: &AllowedRegions, rank: u8, now: HostTime) -> f32 {
        let list = self.lists.iter().find(|list| list.regions == *regions);
        match list {
            Some(list) => list.arrivals.rate_above(rank, now),
            None => 0.0,
        }
    }

    /// Returns the requests per millisecond with any list that were sent.
    pub(crate) fn all_sent_per_ms(&self, now: HostTime) -> f32 {
        self.lists.iter().map(|list| list.sends.rate(now)).sum()
    }

    /// Returns the requests per millisecond with a list that were sent.
    pub(crate) fn sent_per_ms(&self, regions: &AllowedRegions, now: HostTime) -> f32 {
        let list = self.lists.iter().find(|list| list.regions == *regions);
        list.map_or(0.0, |list| list.sends.rate(now))
    }
}
