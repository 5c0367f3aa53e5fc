//! Limits for upstreams that do not answer a request that finds them full.
//!
//! Such an upstream neither rejects requests nor reports its load, and an attempt that finds no place ends unknown. Load
//! reports of hosts arrive too late to prevent that: within the age of a report, tens of hosts send to the upstream that
//! looks free. Once an attempt has timed out, each host therefore keeps to its own places at each upstream, which
//! together are fewer than those that the upstream has. A service whose upstreams reject requests or report load is not
//! limited.

use crate::upstream::AttemptOutcome;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};

/// Requests that all hosts may have at an upstream, as a multiple of its slots. Upstreams with 3 slots were seen to have 12
/// further places, so one place for each slot is left for requests that outlive their attempt.
const PLACES_PER_SLOT: u32 = 4;
/// Places for the hosts of other regions, as a multiple of the slots, if there are other regions.
const OTHER_REGIONS_PLACES_PER_SLOT: u32 = 1;
/// Time after a timeout for which a service stays limited.
const LIMITED_TIME: Millis = Millis(600_000);
/// Time after a timeout for which a host tells the others of it. Several reports may be lost in it.
const TOLD_TIME: Millis = Millis(3_000);
/// Time after a timeout in which the upstream gets nothing from this host, as the request may still be there. The only
/// upstream of a service is not held, as no other could serve.
const HOLD_TIME: Millis = Millis(1_000);
/// Load below which a host without a free place may use another's, in percent of the capacity of all upstreams. Trials with
/// 300 hosts: at 40 more answers are late, at 55 upstreams are overfilled if few hosts have most callers.
const QUIET_PERCENT: u64 = 47;
/// Smallest time until the deadline with which a once-only request is sent, as a multiple of the expected time.
const ONCE_TIME_FACTOR: f32 = 3.0;

/// What a host knows of the timeouts of a service's upstreams, and its places at them.
#[derive(Debug, Clone, Default)]
pub struct Silence {
    last_timeout: Option<HostTime>,
    /// When another host last told of a timeout.
    last_told: Option<HostTime>,
    /// Whether an upstream rejected a request or reported its load.
    has_other_signal: bool,
    /// Position of this host among those of its region, in an order that is the same on all of them.
    position: u32,
    /// Position of each upstream in the order of ids.
    order: FastMap<UpstreamId, u32>,
    held_until: FastMap<UpstreamId, HostTime>,
}

impl Silence {
    /// Records how an attempt at an upstream ended.
    pub fn on_end(&mut self, id: &UpstreamId, outcome: AttemptOutcome, now: HostTime) {
        match outcome {
            AttemptOutcome::TimedOut => {
                self.last_timeout = Some(now);
                self.held_until.insert(id.clone(), now + HOLD_TIME);
            }
            AttemptOutcome::Shed => self.has_other_signal = true,
            AttemptOutcome::Answered => {
                self.held_until.remove(id);
            }
            _ => {}
        }
    }

    /// Records that another host told of a timeout at an upstream of the service.
    pub const fn on_told(&mut self, now: HostTime) {
        self.last_told = Some(now);
    }

    /// Returns whether this host tells the others of a timeout.
    pub fn is_told(&self, now: HostTime) -> bool {
        !self.has_other_signal && self.last_timeout.is_some_and(|at| now.since(at) < TOLD_TIME)
    }

    /// Records that an upstream reported its load.
    pub const fn on_report(&mut self) {
        self.has_other_signal = true;
    }

    /// Sets the position of this host among those of its region.
    pub const fn set_position(&mut self, position: u32) {
        self.position = position;
    }

    /// Sets the upstreams.
    pub fn set_upstreams<'a>(&mut self, ids: impl Iterator<Item = &'a UpstreamId>) {
        let mut ids: Vec<&UpstreamId> = ids.collect();
        ids.sort_unstable_by_key(|id| id.as_str());
        self.order = ids.into_iter().cloned().zip(0..).collect();
        self.held_until.retain(|id, _| self.order.contains_key(id));
    }

    /// Returns whether the service is limited.
    pub fn is_limited(&self, now: HostTime) -> bool {
        let last = self.last_timeout.max(self.last_told);
        !self.has_other_signal && last.is_some_and(|at| now.since(at) < LIMITED_TIME)
    }

    /// Returns the requests that this host may have at an upstream of a limited service. Over all `region_hosts`, which
    /// differ in their position, they add up to the places of the upstream.
    pub fn limit(&self, id: &UpstreamId, hosts: HostCounts, slots: u32, now: HostTime) -> u32 {
        if self.order.len() > 1 && self.held_until.get(id).is_some_and(|until| now < *until) {
            return 0;
        }
        let count = hosts.region.max(1);
        let per_slot = match (hosts.is_far, hosts.all > hosts.region) {
            (true, _) => OTHER_REGIONS_PLACES_PER_SLOT,
            (false, true) => PLACES_PER_SLOT - OTHER_REGIONS_PLACES_PER_SLOT,
            (false, false) => PLACES_PER_SLOT,
        };
        let places = slots.max(1).saturating_mul(per_slot);
        let order = self.order.get(id).copied().unwrap_or_default();
        // The places of all upstreams are dealt to the hosts in turn.
        let first = u64::from(order) * u64::from(places) % u64::from(count);
        let turn = (u64::from(self.position % count) + u64::from(count) - first) % u64::from(count);
        places / count + u32::from(turn < u64::from(places % count))
    }
}

/// Numbers of hosts that share an upstream.
#[derive(Debug, Clone, Copy)]
pub struct HostCounts {
    /// In all regions.
    pub all: u32,
    /// In the region of this host.
    pub region: u32,
    /// Whether the upstream is in another region.
    pub is_far: bool,
}

/// Returns whether a once-only request can be expected to be answered before its deadline.
pub fn is_in_time(expected_ms: f32, until_deadline_ms: f32) -> bool {
    expected_ms * ONCE_TIME_FACTOR <= until_deadline_ms
}

/// Returns whether the load is so low that hosts do not overload upstreams together before they learn of each other.
pub const fn is_quiet(load: u64, capacity: u64) -> bool {
    load * 100 < capacity * QUIET_PERCENT
}
