//! What one host knows of one upstream: its room, its pace and its failures.

use skylarkdock_units::collections::FastHasher;
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};
use std::hash::{Hash, Hasher};

/// Weight of a new sample in a moving average.
const SAMPLE_WEIGHT: f32 = 0.15;
/// Weight of a new outcome in the failure rate.
const OUTCOME_WEIGHT: f32 = 0.12;
/// First pause after an upstream could not be connected to.
const FIRST_PAUSE: Millis = Millis(200);
/// Longest pause between tries to connect; a crashed upstream is noticed within this once it is back.
const MAX_PAUSE: Millis = Millis(1_600);
/// How much longer work takes on an upstream that has just started.
const COLD_FACTOR: f32 = 2.0;
/// An answer that takes this many times the learnt time shows an upstream that is stuck.
const STALL_FACTOR: f32 = 3.0;
/// Requests sent to an upstream beyond its slots, in percent of them. Enough to keep a slot busy between an answer and
/// the next request; the rest waits on the host, where urgent requests pass others.
const BACKLOG_PERCENT: u32 = 34;
/// Equal shares of an upstream's room that one host may use, so that all hosts together don't overrun it when a key
/// gets hot within the time that load reports take.
const OWN_SHARES: u32 = 3;
/// Requests that a host may have at an upstream however many share it.
const MIN_OWN: u32 = 2;
/// Time for which an upstream that shed a request under load counts as full.
const SHED_PAUSE: Millis = Millis(40);
/// Failure rate from which an upstream is avoided.
const FAILING_RATE: f32 = 0.45;
/// Age from which the reported load of other hosts is no longer counted.
const REPORT_LIFETIME: Millis = Millis(1_500);

/// Multiplier that spreads the bits of a number over the highest ones, near 2^64 by the golden section.
const MIXER: u64 = 0x9e37_79b9_7f4a_7c15;

/// How far an upstream is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the host's availability zone.
    Zone,
    /// In another availability zone of the region.
    Region,
    /// In another region.
    Far,
}

impl Distance {
    /// Returns the round trip that is added to the work, in milliseconds.
    const fn round_trip_ms(self) -> f32 {
        match self {
            Self::Zone => 0.5,
            Self::Region => 3.0,
            Self::Far => 18.0,
        }
    }
}

/// How an attempt at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// The upstream's answer came whole.
    Answered,
    /// The upstream answered that its work failed.
    Failed,
    /// The upstream answered that it did not run the request, for lack of room.
    Shed,
    /// The upstream does not hold the request's key, or is another one.
    Misdirected,
    /// No connection could be made.
    Unreachable,
    /// The connection broke, or what came was no answer.
    Broken,
    /// Nothing came in time.
    TimedOut,
    /// The caller left, or another attempt answered.
    Cancelled,
}

/// Description of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Its id.
    pub id: UpstreamId,
    /// How far it is.
    pub distance: Distance,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Until when it is slow after its start.
    pub cold_until: HostTime,
    /// Whether it is leaving; it gets no new requests.
    pub is_leaving: bool,
}

/// An upstream as one host sees it.
#[derive(Debug, Clone)]
pub struct Upstream {
    listing: Listing,
    /// Differs between upstreams.
    seed: u64,
    starts: Vec<HostTime>,
    peer_load: u32,
    peer_load_at: HostTime,
    service_ms: Option<f32>,
    /// Whether the time was learnt anew since it was last told.
    is_untold: bool,
    failure_rate: f32,
    shed_rate: f32,
    shed_until: HostTime,
    refusals: u32,
    /// Requests in a row that it said are not for it.
    misdirections: u32,
    down_until: HostTime,
}

impl Upstream {
    /// Starts with nothing known.
    pub fn new(listing: Listing) -> Self {
        let mut hasher = FastHasher::default();
        listing.id.hash(&mut hasher);
        Self {
            seed: hasher.finish(),
            listing,
            starts: Vec::new(),
            peer_load: 0,
            peer_load_at: HostTime(0),
            service_ms: None,
            is_untold: false,
            failure_rate: 0.0,
            shed_rate: 0.0,
            shed_until: HostTime(0),
            refusals: 0,
            misdirections: 0,
            down_until: HostTime(0),
        }
    }

    /// Returns the upstream's description.
    pub const fn listing(&self) -> &Listing {
        &self.listing
    }

    /// Replaces the upstream's description.
    pub fn set_listing(&mut self, listing: Listing) {
        self.listing = listing;
    }

    /// Forgets what was learnt, because another run of the upstream has the id.
    pub fn restart(&mut self) {
        self.failure_rate = 0.0;
        self.shed_rate = 0.0;
        self.refusals = 0;
        self.misdirections = 0;
        self.down_until = HostTime(0);
        self.shed_until = HostTime(0);
    }

    /// Sets how many requests the other hosts have at the upstream.
    pub const fn set_peer_load(&mut self, count: u32, now: HostTime) {
        self.peer_load = count;
        self.peer_load_at = now;
    }

    /// Returns how many requests this host has at the upstream.
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.starts.len()).unwrap_or(u32::MAX)
    }

    /// Returns how many requests all hosts have there, as far as known.
    pub fn load(&self, now: HostTime) -> u32 {
        let is_fresh = now.since(self.peer_load_at) <= REPORT_LIFETIME;
        self.in_flight() + if is_fresh { self.peer_load } else { 0 }
    }

    /// Returns the learnt time for one request, without waiting.
    pub const fn service_ms(&self) -> Option<f32> {
        self.service_ms
    }

    /// Returns the learnt time if it was learnt anew since the last call.
    pub const fn take_learnt(&mut self) -> Option<f32> {
        if !std::mem::replace(&mut self.is_untold, false) {
            return None;
        }
        self.service_ms
    }

    /// Returns the rate of failed attempts, 0 to 1.
    pub const fn failure_rate(&self) -> f32 {
        self.failure_rate
    }

    /// Returns the rate of shed attempts, 0 to 1.
    pub const fn shed_rate(&self) -> f32 {
        self.shed_rate
    }

    /// Returns whether attempts fail so often that others are to be preferred.
    pub const fn is_failing(&self) -> bool {
        self.failure_rate > FAILING_RATE
    }

    /// Returns whether it may be sent to at all.
    pub fn is_usable(&self, now: HostTime) -> bool {
        !self.listing.is_leaving && now >= self.down_until
    }

    /// Returns whether it was found unreachable and is not yet to be tried again.
    pub fn is_down(&self, now: HostTime) -> bool {
        now < self.down_until
    }

    /// Returns a number from 0 to 1 that differs between upstreams and requests, and not between plays.
    pub const fn unit(&self, request: u64) -> f32 {
        let mixed = (request ^ self.seed).wrapping_mul(MIXER);
        #[expect(clippy::cast_precision_loss, reason = "sixteen bits")]
        let bits = (mixed >> 48) as f32;
        bits / 65_536.0
    }

    /// Returns how many requests may be sent to it at a time by all hosts.
    pub fn room(&self) -> u32 {
        let slots = self.listing.slots.max(1);
        slots + (slots * BACKLOG_PERCENT).div_ceil(100)
    }

    /// Returns whether it takes one more request now, if `sharers` hosts send to it without seeing each other's latest
    /// requests and `load` are known to be there.
    pub fn has_room(&self, sharers: u32, load: u32, now: HostTime) -> bool {
        let limit = self.room();
        let own_limit = (limit * OWN_SHARES).div_ceil(sharers.max(1)).max(MIN_OWN);
        if self.in_flight() >= own_limit {
            return false;
        }
        // After a failed connect, a single request finds out whether it is back.
        let limit = if self.refusals > 0 { 1 } else { limit };
        now >= self.shed_until && load < limit
    }

    /// Returns the time that one more request is expected to take beside `load` others, in milliseconds.
    pub fn expected_ms(&self, typical_ms: f32, load: u32, now: HostTime) -> f32 {
        let mut service = self.service_ms.unwrap_or(typical_ms);
        if now < self.listing.cold_until {
            service = service.max(typical_ms * COLD_FACTOR);
        }
        let slots = as_f32(self.listing.slots.max(1));
        let load = as_f32(load);
        let queued = if load < slots { 0.0 } else { (load - slots + 1.0) / slots };
        // Upstreams slow down a little before they are full; the gentle slope also spreads equal ones.
        let crowding = 0.1 * (load / slots).min(1.0);
        let mut expected = service * (1.0 + queued + crowding);
        if let Some(oldest) = self.starts.iter().min() {
            let age = as_f32(u32::try_from(now.since(*oldest).0).unwrap_or(u32::MAX));
            if age > service * STALL_FACTOR {
                expected = expected.max(age);
            }
        }
        let success = (1.0 - self.failure_rate.max(self.shed_rate)).max(0.1);
        expected / success + self.listing.distance.round_trip_ms()
    }

    /// Notes that a request was sent.
    pub fn on_start(&mut self, now: HostTime) {
        self.starts.push(now);
    }

    /// Notes how a request that was sent at `started` ended. Returns its time as a multiple of the learnt time, if it
    /// was answered.
    pub fn on_end(&mut self, started: HostTime, ended: Ended, now: HostTime) -> Option<f32> {
        let load = self.load(now);
        if let Some(index) = self.starts.iter().position(|start| *start == started) {
            self.starts.swap_remove(index);
        }
        let took = as_f32(u32::try_from(now.since(started).0).unwrap_or(u32::MAX));
        match ended {
            Ended::Answered => {
                self.reached(false);
                return Some(self.learn(took, load));
            }
            Ended::Failed => self.reached(true),
            Ended::Shed => {
                self.refusals = 0;
                self.shed_rate += (1.0 - self.shed_rate) * OUTCOME_WEIGHT;
                if load >= self.listing.slots {
                    self.shed_until = now + SHED_PAUSE;
                }
            }
            Ended::Misdirected => {
                // A span on the move costs one; further ones in a row show that another upstream has the address.
                self.misdirections += 1;
                if self.misdirections > 1 {
                    let factor = 1_u64 << (self.misdirections - 2).min(3);
                    self.down_until = now + Millis((FIRST_PAUSE.0 * factor).min(MAX_PAUSE.0));
                }
            }
            Ended::Unreachable => {
                let factor = 1_u64 << self.refusals.min(3);
                self.refusals += 1;
                self.down_until = now + Millis((FIRST_PAUSE.0 * factor).min(MAX_PAUSE.0));
            }
            Ended::Broken | Ended::TimedOut => {
                self.failure_rate += (1.0 - self.failure_rate) * OUTCOME_WEIGHT;
            }
            Ended::Cancelled => {
                if let Some(service) = self.service_ms
                    && took > service * STALL_FACTOR
                {
                    self.failure_rate += (1.0 - self.failure_rate) * OUTCOME_WEIGHT;
                }
            }
        }
        None
    }

    fn reached(&mut self, failed: bool) {
        self.refusals = 0;
        self.misdirections = 0;
        self.down_until = HostTime(0);
        let target = if failed { 1.0 } else { 0.0 };
        self.failure_rate += (target - self.failure_rate) * OUTCOME_WEIGHT;
        self.shed_rate -= self.shed_rate * OUTCOME_WEIGHT;
    }

    /// Learns the time of one request, and returns it as a multiple of the learnt time. Time spent in the upstream's
    /// queue is taken off.
    fn learn(&mut self, took: f32, load: u32) -> f32 {
        let slots = as_f32(self.listing.slots.max(1));
        let queued = ((as_f32(load) - slots) / slots).max(0.0);
        let work = (took - self.listing.distance.round_trip_ms()).max(1.0) / (1.0 + queued);
        self.is_untold = true;
        let learnt = self.service_ms.get_or_insert(work);
        let ratio = work / learnt.max(1.0);
        *learnt += (work - *learnt) * SAMPLE_WEIGHT;
        ratio
    }
}

#[expect(clippy::cast_precision_loss, reason = "times and counts are far below 2^24")]
pub(crate) const fn as_f32(value: u32) -> f32 {
    value as f32
}
