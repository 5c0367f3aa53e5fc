//! Permits to send requests to an upstream that limits its rate.
//!
//! An upstream may name the rate of requests that it takes from all hosts together. Hosts don't see each other's
//! requests, demand is uneven, and hosts start and end at any time. For each limited upstream, one host therefore
//! issues permits from a pool ([`PermitPool`]), and each request needs one ([`Permits`]). A permit is used once and
//! expires soon.
//!
//! The hosts need not agree on who issues. A pool refills at the share of the rate that belongs to its members, and a
//! host is a member of one pool at a time: it joins another only once its membership of the former one has ended or
//! has expired there for certain. So the pools of a divided fleet together don't exceed the rate, and a host that
//! reaches no other issues its own share to itself.
//!
//! A cold upstream ([`crate::cold`]) has a bound for any one second instead ([`ColdBound`]). A pool then issues no more
//! than the parts of its members in any second, and a permit has to be used within [`window::COLD_SEND_TIME`].

pub mod window;

use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::HostId;
use skylarkdock_units::measures::RequestRate;
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::VecDeque;
use window::{COLD_PERMIT_LIFETIME, COLD_SEND_TIME, JOIN_TIME, PLACE_TIME, Window};

/// Time after which an unused permit expires, counted from the request for it.
const PERMIT_LIFETIME: Millis = Millis(400);
/// Time for which a pool counts a member after its last request for permits.
const MEMBER_LIFETIME: Millis = Millis(2_000);
/// How much faster than a member's clock the issuer's may run, in percent.
const CLOCK_DRIFT_PERCENT: u64 = 5;
/// Interval between the requests of a member that needs no permits, which keep its membership.
const KEEP_ALIVE_INTERVAL: Millis = Millis(500);
/// Time without an answer after which a request for permits is repeated.
const REPEAT_INTERVAL: Millis = Millis(100);
/// Time without an answer after which the issuer counts as lost.
const ISSUER_TIMEOUT: Millis = Millis(700);
/// Time for which a lost issuer is not used, unless it is heard of before.
const AVOID_TIME: Millis = Millis(30_000);
/// Permits that a pool accumulates while nobody needs them, as a time at its rate.
const POOL_DEPTH: Millis = Millis(250);
/// Smallest number of permits that a pool of all hosts can accumulate, one more than a rank leaves to higher ones.
const MIN_POOL_DEPTH: f32 = 2.0;
/// Time for which a permit lasts in a pool that can't accumulate several. Without it, many hosts that issue to
/// themselves after a pause would all have one at the same moment.
const LONE_PERMIT_TIME: Millis = Millis(500);
/// Smallest part of a permit that a refused member is told to wait for, as another may get the next one before it.
const MIN_MISSING: f32 = 0.2;
/// Smallest rate, in requests per second, at which a pool of all hosts refills: only answers show that a limit has
/// ended.
const PROBE_RATE: f32 = 0.25;
/// Time for which a request for permits shows that its rank has demand.
const DEMAND_TIME: Millis = Millis(1_000);
/// Longest delay with which a member asks again for permits for a cold upstream.
const ASK_DELAY: Millis = Millis(30);
/// Largest number of permits in one request.
pub const MAX_WANTED: u8 = 8;

/// What a host knows of the limit of an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Limit {
    /// Requests that the upstream takes from all hosts together; `None` if it names no limit.
    pub rate: Option<RequestRate>,
    /// When an upstream's answer showed it.
    pub seen_at: HostTime,
}

impl Limit {
    /// Replaces the limit by what another host knows, if that is newer. The time of an equal rate is kept, so that
    /// hosts which tell each other of a limit don't make it look newer than it is.
    fn merge(&mut self, other: Self) {
        if other.rate != self.rate && other.seen_at > self.seen_at {
            *self = other;
        }
    }
}

/// Permits that a host needs now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// Number of permits, at most [`MAX_WANTED`] in a request.
    pub count: u8,
    /// Highest rank, which is the smallest number, among the requests.
    pub rank: u8,
}

/// Requests that a cold upstream takes in any [`crate::cold::BOUND_WINDOW`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ColdBound {
    /// From all hosts together.
    pub all: u16,
    /// Part of one host, see [`crate::cold::own_part`].
    pub own: u16,
}

/// Part of a request for permits for a cold upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdRequest {
    /// The bound as the requesting host knows it.
    pub bound: ColdBound,
    /// The permits in the answers to requests up to this number have been used or have expired.
    pub settled: u32,
}

/// A host's request for permits, which also makes it a member of the pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PermitRequest {
    /// Increases with each request of a host; the issuer ignores one that was overtaken.
    pub seq: u32,
    /// What the host knows of the limit.
    pub limit: Limit,
    /// Permits that the host needs.
    pub demand: Demand,
    /// Whether the host leaves the pool.
    pub is_leaving: bool,
    /// Present if the host takes the upstream for cold.
    pub cold: Option<ColdRequest>,
}

/// Answer to a [`PermitRequest`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PermitReply {
    /// Number of the request that this answers.
    pub seq: u32,
    /// What the issuer knows of the limit.
    pub limit: Limit,
    /// Number of permits issued.
    pub granted: u8,
    /// Time until the host may expect a permit, if it got fewer than it needs.
    pub next_in: Millis,
    /// Time after which it should ask again. Earlier than `next_in` for a cold upstream, whose permits are for those that
    /// ask first.
    pub ask_in: Millis,
}

#[derive(Debug, Clone)]
struct Membership {
    issuer: HostId,
    /// When the last request was sent. The issuer may count this host until `MEMBER_LIFETIME` after its arrival.
    sent_at: HostTime,
    /// When the first request was sent that has had no answer yet.
    unanswered_since: Option<HostTime>,
    /// Number of the request that asks to leave, once it was sent.
    leave_seq: Option<u32>,
}

#[derive(Debug, Clone, Copy)]
struct Permit {
    /// Number of the request that it was issued for.
    seq: u32,
    expiry: HostTime,
}

/// One host's permits for one upstream.
#[derive(Debug, Clone, Default)]
pub struct Permits {
    limit: Limit,
    /// Present while the upstream counts as cold.
    cold: Option<ColdBound>,
    unused: VecDeque<Permit>,
    /// Until when requests may be sent to the cold upstream that have been decided on, one for each.
    taken: VecDeque<HostTime>,
    membership: Option<Membership>,
    seq: u32,
    /// When the requests that may still be answered were sent.
    sent: VecDeque<(u32, HostTime, Demand)>,
    /// The best rank that the issuer had no permit for, and until when.
    refused: Option<(u8, HostTime)>,
    /// When the issuer may be asked again for a refused rank.
    ask_at: HostTime,
    /// Number of the last request that got permits for the cold upstream of which the issuer does not know that they are
    /// used or expired.
    unsettled: Option<u32>,
    avoided: Vec<(HostId, HostTime)>,
}

impl Permits {
    /// Returns the rate that the upstream takes from all hosts together, `None` without a limit.
    pub const fn rate(&self) -> Option<RequestRate> {
        self.limit.rate
    }

    /// Returns what is known of the limit.
    pub const fn limit(&self) -> Limit {
        self.limit
    }

    /// Returns the rate of the permits that may be issued to all hosts together, `None` if none are needed.
    pub fn permit_rate(&self) -> Option<RequestRate> {
        let cold = self.cold.map(|bound| RequestRate(f32::from(bound.all)));
        match (self.limit.rate, cold) {
            (Some(rate), Some(cold)) => Some(RequestRate(rate.0.min(cold.0))),
            (rate, cold) => rate.or(cold),
        }
    }

    /// Returns whether requests to the upstream need permits, or the host has not left a pool of them yet.
    pub fn is_in_use(&self) -> bool {
        self.limit != Limit::default() || self.cold.is_some() || self.membership.is_some()
    }

    /// Returns the bound of the upstream while it counts as cold.
    pub const fn cold_bound(&self) -> Option<ColdBound> {
        self.cold
    }

    /// Sets the bound of the upstream if it counts as cold. Permits that were issued without the bound are discarded when
    /// it becomes cold. Returns whether the permits of all hosts together change.
    pub fn set_cold_bound(&mut self, bound: Option<ColdBound>) -> bool {
        let all = |bound: Option<ColdBound>| bound.map(|bound| bound.all);
        let is_change = all(self.cold) != all(bound);
        if self.cold.is_some() != bound.is_some() {
            self.unused.clear();
            self.taken.clear();
            self.sent.clear();
            self.unsettled = None;
            self.refused = None;
            self.ask_at = HostTime(0);
        }
        self.cold = bound;
        is_change
    }

    /// Uses a permit that [`Permits::take`] took for a request to a cold upstream, directly before the request is sent.
    /// Returns until when the first byte has to be sent, or `None` without such a permit.
    pub fn redeem(&mut self, now: HostTime) -> Option<HostTime> {
        self.taken.retain(|until| now < *until);
        self.taken.pop_front()
    }

    /// Records whether an answer of the upstream named a limit. An answer to a request that was sent before the known
    /// limit was seen may be older than it, and does not end it.
    pub fn on_answer(&mut self, rate: Option<RequestRate>, sent_at: HostTime, now: HostTime) {
        if rate.is_some() || (self.limit.rate.is_some() && sent_at > self.limit.seen_at) {
            self.limit = Limit { rate, seen_at: now };
        }
    }

    /// Records what another host knows of the limit.
    pub fn merge(&mut self, limit: Limit) {
        self.limit.merge(limit);
    }

    /// Records that a host which may issue permits can be reached.
    pub fn on_heard(&mut self, host: &HostId) {
        self.avoided.retain(|(avoided, _)| avoided != host);
    }

    /// Forgets the limit of an earlier incarnation of the upstream.
    pub fn on_restart(&mut self, now: HostTime) {
        self.limit = Limit { rate: None, seen_at: now };
    }

    /// Returns whether a request may be sent.
    pub fn is_available(&self, now: HostTime) -> bool {
        let is_needed = self.limit.rate.is_some() || self.cold.is_some();
        !is_needed || self.unused.iter().any(|permit| now < permit.expiry)
    }

    /// Uses a permit, the one that expires first. For a cold upstream, the request has to be sent within a short time,
    /// see [`Permits::redeem`].
    pub fn take(&mut self, now: HostTime) {
        self.unused.retain(|permit| now < permit.expiry);
        let used = self.unused.pop_front();
        if used.is_some() && self.cold.is_some() {
            self.taken.retain(|until| now < *until);
            self.taken.push_back(now + COLD_SEND_TIME);
        }
    }

    /// Returns the number up to which no permit of this host can be used any more.
    fn settled(&self) -> u32 {
        let open = self.sent.iter().map(|(seq, ..)| *seq);
        let first = open.chain(self.unused.iter().map(|permit| permit.seq)).min();
        first.map_or(self.seq, |first| first.saturating_sub(1))
    }

    /// Returns how long a request of a rank has to wait at least until a permit may be issued, zero if that is not
    /// known.
    pub fn expected_wait(&self, rank: u8, now: HostTime) -> Millis {
        if let Some(member) = &self.membership
            && member.unanswered_since.is_some_and(|since| now.since(since) > REPEAT_INTERVAL)
        {
            return (member.sent_at + membership_expiry()).since(now);
        }
        match self.refused {
            Some((refused, until)) if rank >= refused => until.since(now),
            _ => Millis(0),
        }
    }

    /// Returns the request to send now, and the host to send it to. `preferred` returns the host that should issue the
    /// permits of this upstream, out of those that are not among the given ones.
    pub fn next_request(
        &mut self,
        demand: Demand,
        preferred: impl FnOnce(&[HostId]) -> HostId,
        now: HostTime,
    ) -> Option<(HostId, PermitRequest)> {
        self.avoided.retain(|(_, until)| now < *until);
        self.unused.retain(|permit| now < permit.expiry);
        let lifetime = self.permit_lifetime();
        self.sent.retain(|(_, sent_at, _)| now.since(*sent_at) < lifetime);
        let is_limited = self.limit.rate.is_some() || self.cold.is_some();
        if !is_limited && self.membership.is_none() {
            return None;
        }
        let has_expired = |member: &Membership| now.since(member.sent_at) >= membership_expiry();
        if self.membership.as_ref().is_some_and(has_expired) {
            self.membership = None;
        }
        if let Some(member) = &self.membership
            && member.unanswered_since.is_some_and(|since| now.since(since) >= ISSUER_TIMEOUT)
        {
            // The membership may have been renewed by the last request, so it has to expire first.
            if !self.avoided.iter().any(|(host, _)| *host == member.issuer) {
                self.avoided.push((member.issuer.clone(), now + AVOID_TIME));
            }
            return None;
        }
        let avoided: Vec<HostId> = self.avoided.iter().map(|(host, _)| host.clone()).collect();
        let issuer = preferred(&avoided);
        let is_new = self.membership.is_none();
        let member = self.membership.get_or_insert_with(|| Membership {
            issuer: issuer.clone(),
            sent_at: HostTime(0),
            unanswered_since: None,
            leave_seq: None,
        });
        let is_leaving = member.leave_seq.is_some() || member.issuer != issuer || !is_limited;
        // One at a time for a cold upstream, as each has to be used at once.
        let most = if self.cold.is_some() { 1 } else { MAX_WANTED };
        let missing = demand
            .count
            .min(most)
            .saturating_sub(u8::try_from(self.unused.len()).unwrap_or(u8::MAX));
        let is_refused = |rank| demand.rank >= rank && now < self.ask_at;
        let needs_permits =
            missing > 0 && !is_leaving && !self.refused.is_some_and(|(rank, _)| is_refused(rank));
        let is_repeat_due = now.since(member.sent_at) >= REPEAT_INTERVAL;
        let settled = self.settled();
        let member = self.membership.as_mut()?;
        let may_settle = self.unsettled.is_some_and(|seq| seq <= settled);
        let is_due = if member.unanswered_since.is_some() {
            is_repeat_due
        } else {
            needs_permits
                || is_leaving
                || may_settle
                || now.since(member.sent_at) >= KEEP_ALIVE_INTERVAL
        };
        if !is_new && !is_due {
            return None;
        }
        if may_settle {
            self.unsettled = None;
        }
        self.seq = self.seq.wrapping_add(1);
        if is_leaving {
            member.leave_seq.get_or_insert(self.seq);
        }
        member.sent_at = now;
        member.unanswered_since.get_or_insert(now);
        let demand = Demand { count: if needs_permits { missing } else { 0 }, rank: demand.rank };
        self.sent.push_back((self.seq, now, demand));
        let cold = self.cold.map(|bound| ColdRequest { bound, settled });
        let limit = self.limit;
        let request = PermitRequest { seq: self.seq, limit, demand, is_leaving, cold };
        Some((member.issuer.clone(), request))
    }

    /// Handles the answer of an issuer. One to a request that is too old, or of a host that is no longer the issuer, is
    /// ignored.
    pub fn on_reply(&mut self, issuer: &HostId, reply: &PermitReply, now: HostTime) {
        self.limit.merge(reply.limit);
        let Some(member) = self.membership.as_mut().filter(|member| member.issuer == *issuer)
        else {
            return;
        };
        member.unanswered_since = None;
        if member.leave_seq.is_some_and(|seq| reply.seq >= seq) {
            self.membership = None;
            return;
        }
        let Some(index) = self.sent.iter().position(|(seq, ..)| *seq == reply.seq) else { return };
        let Some((_, sent_at, demand)) = self.sent.remove(index) else { return };
        let permit = Permit { seq: reply.seq, expiry: sent_at + self.permit_lifetime() };
        self.unused.extend((0..reply.granted.min(demand.count)).map(|_| permit));
        if self.cold.is_some() && reply.granted > 0 {
            self.unsettled = Some(reply.seq);
        }
        if reply.granted < demand.count {
            self.refused = Some((demand.rank, now + reply.next_in));
            self.ask_at = now + reply.ask_in;
        } else if demand.count > 0 {
            self.refused = None;
        }
    }

    const fn permit_lifetime(&self) -> Millis {
        if self.cold.is_some() { COLD_PERMIT_LIFETIME } else { PERMIT_LIFETIME }
    }
}

/// Returns the time after which a membership has expired for certain, counted from its last renewal.
const fn membership_expiry() -> Millis {
    Millis(MEMBER_LIFETIME.0 * (100 + CLOCK_DRIFT_PERCENT) / 100)
}

#[derive(Debug, Clone)]
struct Member {
    seq: u32,
    heard_at: HostTime,
    is_leaving: bool,
    /// Until when it counts as one that lacks permits, as it got fewer than it needed.
    short_until: HostTime,
    /// Since when it has been a member without a break.
    joined_at: HostTime,
    /// Bound of a cold upstream as the member knows it.
    bound: ColdBound,
}

/// Permits for one upstream on the host that issues them.
#[derive(Debug, Clone)]
pub struct PermitPool {
    limit: Limit,
    /// Members by a number that identifies a process of a host.
    members: FastMap<u64, Member>,
    tokens: f32,
    refilled_at: HostTime,
    /// Since when the pool has been full.
    full_since: Option<HostTime>,
    /// When each rank last asked for permits.
    demand_at: FastMap<u8, HostTime>,
    /// Permits for the upstream while it is cold.
    window: Window,
    /// When permits for the upstream as a cold one were last asked for.
    cold_at: HostTime,
}

impl PermitPool {
    /// Creates an empty pool without members. `phase`, from 0 to 1, should differ between hosts: pools that are created
    /// at the same moment by hosts without any other members then have their permits at different times.
    pub fn new(phase: f32, now: HostTime) -> Self {
        Self {
            limit: Limit::default(),
            members: FastMap::default(),
            tokens: -phase.clamp(0.0, 1.0),
            refilled_at: now,
            full_since: None,
            demand_at: FastMap::default(),
            window: Window::default(),
            cold_at: HostTime(0),
        }
    }

    /// Returns what the issuer knows of the limit.
    pub const fn limit(&self) -> Limit {
        self.limit
    }

    /// Returns whether a process of a host is a member. `host` is the upper half of the processes' numbers.
    pub fn has_member_of(&self, host: u32) -> bool {
        let mut members = self.members.iter().filter(|(_, member)| !member.is_leaving);
        members.any(|(process, _)| process >> 32 == u64::from(host))
    }

    /// Returns whether the pool has no members left, so that it can be dropped.
    pub fn is_abandoned(&self, now: HostTime) -> bool {
        self.members.values().all(|member| now.since(member.heard_at) >= MEMBER_LIFETIME)
    }

    /// Records what this host knows of the limit.
    pub fn merge(&mut self, limit: Limit) {
        self.limit.merge(limit);
    }

    /// Answers a request for permits of a process in a fleet of `hosts` hosts, including this one. Returns `None` if
    /// the request was overtaken by a later one.
    pub fn on_request(
        &mut self,
        process: u64,
        request: &PermitRequest,
        hosts: u32,
        now: HostTime,
    ) -> Option<PermitReply> {
        if self.members.get(&process).is_some_and(|known| known.seq >= request.seq) {
            return None;
        }
        self.limit.merge(request.limit);
        self.refill(hosts, now);
        let known = self.members.get(&process).filter(|known| !known.is_leaving);
        let short_until = known.map_or(HostTime(0), |known| known.short_until);
        let joined_at = known.map_or(now, |known| known.joined_at);
        let is_leaving = request.is_leaving;
        let bound = request.cold.map_or(ColdBound::default(), |cold| cold.bound);
        let member =
            Member { seq: request.seq, heard_at: now, is_leaving, short_until, joined_at, bound };
        self.members.insert(process, member);
        let is_cold = request.cold.is_some();
        if let Some(ColdRequest { settled, .. }) = request.cold {
            self.window.settle(process, settled, now);
            if now.since(self.cold_at) >= MEMBER_LIFETIME {
                self.begin_cold(now);
            }
            self.cold_at = now;
        }
        let granted = if is_cold {
            self.issue_cold(process, request, now)
        } else {
            self.issue(request.demand, now)
        };
        let is_short = granted < request.demand.count;
        let set_short = |pool: &mut Self, until: HostTime| {
            if let Some(member) = pool.members.get_mut(&process) {
                member.short_until = until;
            }
        };
        // This member is one of those that are short.
        set_short(self, if is_short { now + Millis(1) } else { HostTime(0) });
        let (next_in, ask_in) = match is_short {
            true if is_cold => self.cold_waits(now),
            true => {
                let next_in = self.next_in(hosts, now);
                (next_in, next_in)
            }
            false => (Millis(0), Millis(0)),
        };
        if is_short {
            // A member of a pool for a cold upstream asks again as long as its requests wait.
            let lifetime = if is_cold { ask_in + ASK_DELAY } else { DEMAND_TIME };
            set_short(self, now + lifetime);
        }
        Some(PermitReply { seq: request.seq, limit: self.limit, granted, next_in, ask_in })
    }

    /// Lets the parts of all members count anew, as they could get permits without the bound until now.
    fn begin_cold(&mut self, now: HostTime) {
        for member in self.members.values_mut() {
            member.joined_at = now;
        }
    }

    /// Returns the number of permits that may be in use for the cold upstream at any time: the parts of the members, not
    /// more than the whole bound as any of them knows it.
    fn places(&self, now: HostTime) -> u32 {
        let has_part = |member: &&Member| {
            !member.is_leaving
                && now.since(member.heard_at) < MEMBER_LIFETIME
                && now.since(member.joined_at) >= JOIN_TIME
        };
        let members = self.members.iter().filter(|(_, member)| has_part(member));
        // A restarted host has two processes among the members for a time, and one part.
        let mut parts: FastMap<u64, u16> = FastMap::default();
        let mut all = u16::MAX;
        for (process, member) in members.filter(|(_, member)| member.bound.all > 0) {
            let part = parts.entry(process >> 32).or_default();
            *part = member.bound.own.max(*part);
            all = all.min(member.bound.all);
        }
        let sum: u32 = parts.into_values().map(u32::from).sum();
        sum.min(u32::from(all))
    }

    /// Issues permits for a cold upstream. One is left for each higher rank that has demand.
    fn issue_cold(&mut self, process: u64, request: &PermitRequest, now: HostTime) -> u8 {
        let demand = request.demand;
        if demand.count == 0 || request.is_leaving {
            return 0;
        }
        let reserved = u32::from(self.has_higher_demand(demand.rank, now));
        let places = self.places(now);
        let mut granted = 0;
        while granted < demand.count
            && self.window.free(places, now) > reserved
            && (self.limit.rate.is_none() || self.tokens >= 1.0)
        {
            self.window.occupy(process, request.seq, now);
            self.tokens -= if self.limit.rate.is_some() { 1.0 } else { 0.0 };
            granted += 1;
        }
        granted
    }

    /// Returns the time in which each member that lacks permits for the cold upstream can expect one, and the time after
    /// which it should ask again.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
    #[expect(clippy::cast_precision_loss, reason = "small constants")]
    fn cold_waits(&self, now: HostTime) -> (Millis, Millis) {
        let places = self.places(now);
        let short = self.count_short(now);
        let (until_free, ask_in) = self.window.waits(places, short, now);
        let others = as_f32(short.saturating_sub(1));
        let ms = others * PLACE_TIME.0 as f32 / as_f32(places).max(1e-6);
        let next_in = Millis(ms.min(DEMAND_TIME.0 as f32) as u64) + until_free;
        (next_in.min(DEMAND_TIME), ask_in)
    }

    /// Records that a rank has demand, and returns whether a higher one has some.
    fn has_higher_demand(&mut self, rank: u8, now: HostTime) -> bool {
        self.demand_at.insert(rank, now);
        self.demand_at.retain(|_, at| now.since(*at) < DEMAND_TIME);
        self.demand_at.keys().any(|other| *other < rank)
    }

    fn count_short(&self, now: HostTime) -> u32 {
        let is_short = |member: &&Member| now < member.short_until;
        let short = self.members.values().filter(is_short).count().max(1);
        u32::try_from(short).unwrap_or(u32::MAX)
    }

    /// Returns the rate at which the pool refills: the members' share of the limit.
    fn rate_per_ms(&self, hosts: u32) -> f32 {
        let members = self.members.values().filter(|member| !member.is_leaving).count();
        let members = as_f32(u32::try_from(members).unwrap_or(u32::MAX));
        let share = (members / as_f32(hosts.max(1))).min(1.0);
        self.limit.rate.map_or(0.0, |rate| rate.0.max(PROBE_RATE) / 1_000.0 * share)
    }

    fn refill(&mut self, hosts: u32, now: HostTime) {
        self.members.retain(|_, member| now.since(member.heard_at) < MEMBER_LIFETIME);
        let rate = self.rate_per_ms(hosts);
        let elapsed = u32::try_from(now.since(self.refilled_at).0).unwrap_or(u32::MAX);
        self.refilled_at = now;
        let members = self.members.values().filter(|member| !member.is_leaving).count();
        let is_complete = 2 * members >= hosts as usize;
        #[expect(clippy::cast_precision_loss, reason = "a small constant")]
        let accumulated = rate * POOL_DEPTH.0 as f32;
        let depth =
            if is_complete { accumulated.max(MIN_POOL_DEPTH) } else { accumulated.max(1.0) };
        self.tokens += rate * as_f32(elapsed);
        if self.tokens < depth {
            self.full_since = None;
            return;
        }
        self.tokens = depth;
        let full_since = *self.full_since.get_or_insert(now);
        if !is_complete && now.since(full_since) >= LONE_PERMIT_TIME {
            self.tokens = 0.0;
            self.full_since = None;
        }
    }

    /// Issues permits while there are any. One is left for each higher rank that has demand.
    fn issue(&mut self, demand: Demand, now: HostTime) -> u8 {
        if demand.count == 0 {
            return 0;
        }
        let reserved = if self.has_higher_demand(demand.rank, now) { 1.0 } else { 0.0 };
        let mut granted = 0;
        while granted < demand.count && self.tokens >= 1.0 + reserved {
            self.tokens -= 1.0;
            granted += 1;
        }
        granted
    }

    /// Returns the time in which each member that lacks permits can expect one.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
    fn next_in(&self, hosts: u32, now: HostTime) -> Millis {
        let rate = self.rate_per_ms(hosts).max(1e-6);
        let missing = as_f32(self.count_short(now)) - self.tokens;
        let ms = missing.max(MIN_MISSING) / rate;
        #[expect(clippy::cast_precision_loss, reason = "a small constant")]
        let longest = DEMAND_TIME.0 as f32;
        Millis(ms.min(longest) as u64)
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts and times far below 2^24 matter")]
const fn as_f32(value: u32) -> f32 {
    value as f32
}
