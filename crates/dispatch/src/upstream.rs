//! State of one upstream as seen by one host: load, service time, failures and backoff.

use crate::cold::{ColdChange, ColdState};
use crate::permits::{ColdBound, Demand, MAX_WANTED, Permits};
use crate::reported_load::Reported;
use skylarkdock_units::collections::FastHasher;
use skylarkdock_units::ids::{Region, UpstreamId};
use skylarkdock_units::measures::RequestRate;
use skylarkdock_units::times::{HostTime, Millis};
use std::hash::{Hash, Hasher};

/// Weight of a new sample in the moving average of the service time.
const SAMPLE_WEIGHT: f32 = 0.15;
/// Weight of a new attempt in the moving averages of the failure and shed rates.
const OUTCOME_WEIGHT: f32 = 0.12;
/// First backoff after a failed connect or consecutive misdirected attempts.
const INITIAL_BACKOFF: Millis = Millis(200);
/// Largest backoff, which bounds the time until a restarted upstream is used again.
const MAX_BACKOFF: Millis = Millis(1_600);
/// Lower bound for the expected service time of an upstream that has just started, as a multiple of the mean.
const COLD_FACTOR: f32 = 2.0;
/// An attempt that takes more than this multiple of the measured service time indicates a stalled upstream.
const STALL_FACTOR: f32 = 3.0;
/// Requests sent to an upstream beyond its slots, in percent of them. Enough to keep a slot busy between an answer and
/// the next request; further requests wait on the host, where they are ordered by rank.
const BACKLOG_PERCENT: u64 = 34;
/// Number of equal shares of an upstream's capacity that one host may use. Keeps the hosts from overloading an upstream
/// together when a key becomes hot before the next load reports arrive.
const HOST_SHARES: u32 = 3;
/// Requests that a host may always have in flight at an upstream, however many hosts share it.
const MIN_HOST_LIMIT: u32 = 2;
/// Time for which an upstream counts as full after it shed a request while all its slots were taken.
const SHED_BACKOFF: Millis = Millis(40);
/// Failure rate above which other upstreams are preferred.
const FAILURE_RATE_THRESHOLD: f32 = 0.45;
/// Time after the last [`Upstream::set_peer_load`] for which its count is used. The reports behind the count expire
/// separately, in [`crate::peer_load`].
const PEER_LOAD_LIFETIME: Millis = Millis(1_500);

/// Multiplier for Fibonacci hashing: 2^64 divided by the golden ratio, which mixes all bits into the highest ones.
const MIXER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Network distance between the host and an upstream.
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
    /// Returns the assumed round-trip time, in milliseconds.
    const fn round_trip_ms(self) -> f32 {
        match self {
            Self::Zone => 0.5,
            Self::Region => 3.0,
            Self::Far => 18.0,
        }
    }
}

/// How an attempt to run a request on an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The upstream returned a complete answer that does not report a failure of the upstream.
    Answered,
    /// The upstream ran the request and answered with a failure.
    Failed,
    /// The upstream answered that it did not run the request because it had no capacity.
    Shed,
    /// The upstream answered that it does not hold the request's key, or another upstream answered at the address.
    Misdirected,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke before the answer, or the answer was invalid.
    Broken,
    /// No answer arrived before the deadline.
    TimedOut,
    /// The caller disconnected, or another attempt was answered first.
    Cancelled,
}

/// Registered properties of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamInfo {
    /// Id of the upstream, the same on all hosts.
    pub id: UpstreamId,
    /// Network distance from this host.
    pub distance: Distance,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// End of the warm-up after a start, during which the upstream is slower.
    pub cold_until: HostTime,
    /// Whether the upstream is shutting down and gets no new requests.
    pub is_leaving: bool,
    /// Region of the upstream, if the settings list its availability zone.
    pub region: Option<Region>,
    /// Whether operators have evacuated its availability zone, so that it gets no new requests.
    pub is_evacuated: bool,
}

/// Times until which an idle connection to an upstream may be used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct IdleConnection {
    /// For requests that may run more than once.
    pub until: HostTime,
    /// For requests that may run only once.
    pub once_until: HostTime,
}

/// Load, service time and health of one upstream, as observed by one host.
#[derive(Debug, Clone)]
pub struct Upstream {
    info: UpstreamInfo,
    /// Hash of the id, which makes [`Upstream::request_jitter`] differ between upstreams.
    id_hash: u64,
    attempt_starts: Vec<HostTime>,
    peer_load: u32,
    peer_load_at: HostTime,
    service_ms: Option<f32>,
    /// Whether `service_ms` has changed since the last [`Upstream::take_updated_service_ms`].
    has_new_service_ms: bool,
    failure_rate: f32,
    shed_rate: f32,
    shed_until: HostTime,
    connect_failures: u32,
    /// Consecutive attempts that ended as misdirected.
    misdirections: u32,
    down_until: HostTime,
    rest_until: HostTime,
    /// When the upstream first said in an answer that it leaves.
    leaving_since: Option<HostTime>,
    permits: Permits,
    cold: ColdState,
    /// Requests that were sent elsewhere or refused for want of a permit since the last [`Upstream::take_demand`].
    demand: Option<Demand>,
    /// Idle connection of this host that was used last.
    idle_connection: IdleConnection,
    reported: Reported,
}

impl Upstream {
    /// Creates the state of an upstream that no request was sent to.
    pub fn new(info: UpstreamInfo) -> Self {
        let mut hasher = FastHasher::default();
        info.id.hash(&mut hasher);
        Self {
            id_hash: hasher.finish(),
            info,
            attempt_starts: Vec::new(),
            peer_load: 0,
            peer_load_at: HostTime(0),
            service_ms: None,
            has_new_service_ms: false,
            failure_rate: 0.0,
            shed_rate: 0.0,
            shed_until: HostTime(0),
            connect_failures: 0,
            misdirections: 0,
            down_until: HostTime(0),
            rest_until: HostTime(0),
            leaving_since: None,
            permits: Permits::default(),
            cold: ColdState::default(),
            demand: None,
            idle_connection: IdleConnection::default(),
            reported: Reported::default(),
        }
    }

    /// Returns the registered properties.
    pub const fn info(&self) -> &UpstreamInfo {
        &self.info
    }

    /// Replaces the registered properties; measurements are kept.
    pub fn set_info(&mut self, info: UpstreamInfo) {
        self.info = info;
    }

    /// Clears failures, backoff, limit, cold time and what the upstream asked for, because the upstream has restarted under
    /// the same id.
    pub fn on_restart(&mut self, now: HostTime) {
        self.permits.on_restart(now);
        self.reported.clear();
        self.cold = ColdState::default();
        self.failure_rate = 0.0;
        self.shed_rate = 0.0;
        self.connect_failures = 0;
        self.misdirections = 0;
        self.down_until = HostTime(0);
        self.shed_until = HostTime(0);
        self.rest_until = HostTime(0);
        self.leaving_since = None;
    }

    /// Records that the upstream wants no requests from this host until a time. An earlier end than the known one is
    /// ignored.
    pub fn on_rest(&mut self, until: HostTime) {
        self.rest_until = self.rest_until.max(until);
    }

    /// Returns the end of the rest that the upstream asked for, if it has not ended yet.
    pub fn rest_until(&self, now: HostTime) -> Option<HostTime> {
        (now < self.rest_until).then_some(self.rest_until)
    }

    /// Records when the upstream first said in an answer that it leaves. Later notices do not renew it.
    pub const fn on_leaving_notice(&mut self, since: HostTime) {
        if self.leaving_since.is_none() {
            self.leaving_since = Some(since);
        }
    }

    /// Returns when the upstream first said in an answer that it leaves.
    pub const fn leaving_since(&self) -> Option<HostTime> {
        self.leaving_since
    }

    /// Sets the number of requests that the other hosts have at the upstream.
    pub const fn set_peer_load(&mut self, count: u32, now: HostTime) {
        self.peer_load = count;
        self.peer_load_at = now;
    }

    /// Returns the number of requests from this host.
    pub fn in_flight(&self) -> u32 {
        u32::try_from(self.attempt_starts.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of requests from all hosts. Those of other hosts are left out if the last
    /// [`Upstream::set_peer_load`] is too old.
    pub fn load(&self, now: HostTime) -> u32 {
        let is_fresh = now.since(self.peer_load_at) <= PEER_LOAD_LIFETIME;
        self.in_flight().saturating_add(if is_fresh { self.peer_load } else { 0 })
    }

    /// Returns the load that the upstream reports of itself.
    pub const fn reported(&self) -> &Reported {
        &self.reported
    }

    /// Returns the load that the upstream reports of itself for changes.
    pub const fn reported_mut(&mut self) -> &mut Reported {
        &mut self.reported
    }

    /// Returns the number of requests to place others by: [`Self::load`], or more if the upstream reports more.
    pub fn placement_load(&self, now: HostTime) -> u32 {
        let sent_since = |at| {
            let sent = self.attempt_starts.iter().filter(|started| **started >= at);
            u32::try_from(sent.count()).unwrap_or(u32::MAX)
        };
        self.reported.load(self.load(now), sent_since, now)
    }

    /// Returns the measured mean time for one request, without the time in queues.
    pub const fn service_ms(&self) -> Option<f32> {
        self.service_ms
    }

    /// Returns the service time at which the upstream can be planned with, if it has changed since the last call: the
    /// measured one, or the one at which its slots take no more requests than its limit allows.
    pub fn take_updated_service_ms(&mut self) -> Option<f32> {
        if !std::mem::replace(&mut self.has_new_service_ms, false) {
            return None;
        }
        let limited = self
            .permits
            .permit_rate()
            .map(|rate| as_f32(self.info.slots) * 1_000.0 / rate.0.max(0.1));
        let cold = limited.filter(|_| self.permits.cold_bound().is_some());
        let measured = self.service_ms.map(|ms| ms.max(limited.unwrap_or_default()));
        measured.or(cold)
    }

    /// Returns the permits for this upstream.
    pub const fn permits(&self) -> &Permits {
        &self.permits
    }

    /// Returns the permits for this upstream for changes.
    pub const fn permits_mut(&mut self) -> &mut Permits {
        &mut self.permits
    }

    /// Returns for changes whether the upstream counts as cold. They take effect at the next [`Upstream::refresh_cold`].
    pub const fn cold_mut(&mut self) -> &mut ColdState {
        &mut self.cold
    }

    /// Returns whether the upstream counts as cold.
    pub const fn cold(&self) -> &ColdState {
        &self.cold
    }

    /// Applies the bound if the upstream counts as cold, and returns whether that has begun or ended.
    pub fn refresh_cold(&mut self, bound: ColdBound, now: HostTime) -> Option<ColdChange> {
        let bound = self.cold.reason(now).map(|_| bound);
        self.has_new_service_ms |= self.permits.set_cold_bound(bound);
        self.cold.take_change(now)
    }

    /// Records whether an answer to a request that was sent at `sent_at` named a limit.
    pub fn on_limit(&mut self, rate: Option<RequestRate>, sent_at: HostTime, now: HostTime) {
        let known = self.permits.rate();
        self.permits.on_answer(rate, sent_at, now);
        self.has_new_service_ms |= known != self.permits.rate();
    }

    /// Returns the requests per millisecond that the upstream takes from all hosts. `mean_service_ms` stands in for an
    /// upstream without measurements.
    pub fn requests_per_ms(&self, mean_service_ms: f32) -> f32 {
        let service_ms = self.service_ms.unwrap_or(mean_service_ms).max(1.0);
        let by_slots = as_f32(self.info.slots.max(1)) / service_ms;
        self.permits.permit_rate().map_or(by_slots, |rate| by_slots.min(rate.0 / 1_000.0))
    }

    /// Records that a request lacked a permit.
    pub fn record_demand(&mut self, rank: u8) {
        let known = self.demand.unwrap_or(Demand { count: 0, rank });
        let count = known.count.saturating_add(1).min(MAX_WANTED);
        self.demand = Some(Demand { count, rank: known.rank.min(rank) });
    }

    /// Returns the requests that lacked a permit since the last call.
    pub const fn take_demand(&mut self) -> Option<Demand> {
        self.demand.take()
    }

    /// Sets the idle connection that the next request would be sent on; the default if there is none.
    pub const fn set_idle_connection(&mut self, connection: IdleConnection) {
        self.idle_connection = connection;
    }

    /// Returns whether a request can be sent on an open connection and finds a free slot beside `load` requests. Without one
    /// it would wait at the upstream while others have free slots.
    pub fn can_reuse_connection(&self, is_once: bool, load: u32, now: HostTime) -> bool {
        let IdleConnection { until, once_until } = self.idle_connection;
        let is_open = now < if is_once { once_until } else { until };
        is_open && load < self.info.slots
    }

    /// Returns the moving average of failed attempts, from 0 to 1.
    pub const fn failure_rate(&self) -> f32 {
        self.failure_rate
    }

    /// Returns the moving average of shed attempts, from 0 to 1.
    pub const fn shed_rate(&self) -> f32 {
        self.shed_rate
    }

    /// Returns whether attempts fail so often that other upstreams are preferred.
    pub const fn is_failing(&self) -> bool {
        self.failure_rate > FAILURE_RATE_THRESHOLD
    }

    /// Returns whether new requests may be sent: the upstream is neither leaving, nor evacuated, nor in backoff.
    pub fn is_usable(&self, now: HostTime) -> bool {
        !self.info.is_leaving && !self.info.is_evacuated && now >= self.down_until
    }

    /// Returns whether the upstream said at least `leaving_time` ago that it leaves.
    pub fn has_left(&self, leaving_time: Millis, now: HostTime) -> bool {
        self.leaving_since.is_some_and(|since| now >= since + leaving_time)
    }

    /// Returns whether the upstream is usable and does not rest.
    pub fn accepts(&self, now: HostTime) -> bool {
        self.is_usable(now) && self.rest_until(now).is_none()
    }

    /// Returns whether the upstream is in backoff after a failed connect or consecutive misdirected attempts.
    pub fn is_down(&self, now: HostTime) -> bool {
        now < self.down_until
    }

    /// Returns a deterministic number from 0 to 1 that varies with the upstream and the ticket.
    pub const fn request_jitter(&self, ticket: u64) -> f32 {
        let mixed = (ticket ^ self.id_hash).wrapping_mul(MIXER);
        #[expect(clippy::cast_precision_loss, reason = "16 bits fit into an f32")]
        let bits = (mixed >> 48) as f32;
        bits / 65_536.0
    }

    /// Returns the number of requests that all hosts together may have at the upstream.
    pub fn capacity(&self) -> u32 {
        let slots = u64::from(self.info.slots.max(1));
        let capacity = slots + (slots * BACKLOG_PERCENT).div_ceil(100);
        u32::try_from(capacity).unwrap_or(u32::MAX)
    }

    /// Returns whether the upstream can take one more request beside the `load` known requests. `sharing_hosts` hosts
    /// send to it without seeing each other's latest requests, which bounds the requests of each.
    pub fn has_capacity(&self, sharing_hosts: u32, load: u32, now: HostTime) -> bool {
        if !self.permits.is_available(now) {
            return false;
        }
        if self.uses_host_limit(sharing_hosts) {
            return false;
        }
        let limit = self.capacity();
        // After a failed connect, requests are sent one at a time, to test whether the upstream can be reached again.
        let limit = if self.connect_failures > 0 { 1 } else { limit };
        now >= self.shed_until && load < limit
    }

    /// Returns whether this host has as many requests at the upstream as it may have, one of `sharing_hosts`.
    pub fn uses_host_limit(&self, sharing_hosts: u32) -> bool {
        let shares = self.capacity().saturating_mul(HOST_SHARES);
        self.in_flight() >= shares.div_ceil(sharing_hosts.max(1)).max(MIN_HOST_LIMIT)
    }

    /// Returns the expected time for one more request beside `load` others, in milliseconds. Failures and stalls raise
    /// it. `mean_service_ms` stands in for an upstream without measurements.
    pub fn expected_ms(&self, mean_service_ms: f32, load: u32, now: HostTime) -> f32 {
        let mut service_ms = self.service_ms.unwrap_or(mean_service_ms);
        service_ms *= self.reported.service_factor(now);
        if now < self.info.cold_until || self.permits.cold_bound().is_some() {
            service_ms = service_ms.max(mean_service_ms * COLD_FACTOR);
        }
        let slots = as_f32(self.info.slots.max(1));
        let load = as_f32(load);
        let queue_ratio = if load < slots { 0.0 } else { (load - slots + 1.0) / slots };
        // Upstreams slow down slightly before they are full. The small slope also spreads requests over equal
        // upstreams.
        let utilization_penalty = 0.1 * (load / slots).min(1.0);
        let mut expected_ms = service_ms * (1.0 + queue_ratio + utilization_penalty);
        if let Some(oldest) = self.attempt_starts.iter().min() {
            let age_ms = as_f32(u32::try_from(now.since(*oldest).0).unwrap_or(u32::MAX));
            if age_ms > service_ms * STALL_FACTOR {
                expected_ms = expected_ms.max(age_ms);
            }
        }
        let success_rate = (1.0 - self.failure_rate.max(self.shed_rate)).max(0.1);
        expected_ms / success_rate + self.info.distance.round_trip_ms()
    }

    /// Records the start of an attempt.
    pub fn on_start(&mut self, now: HostTime) {
        self.attempt_starts.push(now);
    }

    /// Records the end of the attempt that started at `started`. If it was answered, returns its time as a multiple of
    /// the measured service time.
    pub fn on_end(
        &mut self,
        started: HostTime,
        outcome: AttemptOutcome,
        now: HostTime,
    ) -> Option<f32> {
        let load = self.load(now);
        if let Some(index) =
            self.attempt_starts.iter().position(|attempt_start| *attempt_start == started)
        {
            self.attempt_starts.swap_remove(index);
        }
        let elapsed_ms = as_f32(u32::try_from(now.since(started).0).unwrap_or(u32::MAX));
        match outcome {
            AttemptOutcome::Answered => {
                self.on_response(false);
                return Some(self.record_service_time(elapsed_ms, load));
            }
            AttemptOutcome::Failed => self.on_response(true),
            AttemptOutcome::Shed => {
                self.connect_failures = 0;
                self.shed_rate += (1.0 - self.shed_rate) * OUTCOME_WEIGHT;
                if load >= self.info.slots {
                    self.shed_until = now + SHED_BACKOFF;
                }
            }
            AttemptOutcome::Misdirected => {
                // A span in handover causes one. More in a row indicate that another upstream now has the address.
                self.misdirections += 1;
                if self.misdirections > 1 {
                    let factor = 1_u64 << (self.misdirections - 2).min(3);
                    self.down_until = now + Millis((INITIAL_BACKOFF.0 * factor).min(MAX_BACKOFF.0));
                }
            }
            AttemptOutcome::Unreachable => {
                let factor = 1_u64 << self.connect_failures.min(3);
                self.connect_failures += 1;
                self.down_until = now + Millis((INITIAL_BACKOFF.0 * factor).min(MAX_BACKOFF.0));
            }
            AttemptOutcome::Broken | AttemptOutcome::TimedOut => {
                self.failure_rate += (1.0 - self.failure_rate) * OUTCOME_WEIGHT;
            }
            AttemptOutcome::Cancelled => {
                if let Some(service_ms) = self.service_ms
                    && elapsed_ms > service_ms * STALL_FACTOR
                {
                    self.failure_rate += (1.0 - self.failure_rate) * OUTCOME_WEIGHT;
                }
            }
        }
        None
    }

    fn on_response(&mut self, is_failure: bool) {
        self.connect_failures = 0;
        self.misdirections = 0;
        self.down_until = HostTime(0);
        let target = if is_failure { 1.0 } else { 0.0 };
        self.failure_rate += (target - self.failure_rate) * OUTCOME_WEIGHT;
        self.shed_rate -= self.shed_rate * OUTCOME_WEIGHT;
    }

    /// Adds a sample to the service time and returns it as a multiple of the previous mean. The estimated time in the
    /// upstream's queue is subtracted first.
    fn record_service_time(&mut self, elapsed_ms: f32, load: u32) -> f32 {
        let slots = as_f32(self.info.slots.max(1));
        let queue_ratio = ((as_f32(load) - slots) / slots).max(0.0);
        let work_ms =
            (elapsed_ms - self.info.distance.round_trip_ms()).max(1.0) / (1.0 + queue_ratio);
        self.has_new_service_ms = true;
        let service_ms = self.service_ms.get_or_insert(work_ms);
        let ratio = work_ms / service_ms.max(1.0);
        *service_ms += (work_ms - *service_ms) * SAMPLE_WEIGHT;
        ratio
    }
}

#[expect(clippy::cast_precision_loss, reason = "times and counts are far below 2^24")]
pub(crate) const fn as_f32(value: u32) -> f32 {
    value as f32
}
