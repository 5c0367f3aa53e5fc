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

use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::HostId;
use skylarkdock_units::measures::RequestRate;
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::VecDeque;

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

/// One host's permits for one upstream.
#[derive(Debug, Clone, Default)]
pub struct Permits {
    limit: Limit,
    expiries: VecDeque<HostTime>,
    membership: Option<Membership>,
    seq: u32,
    /// When the requests that may still be answered were sent.
    sent: VecDeque<(u32, HostTime, Demand)>,
    /// The best rank that the issuer had no permit for, and until when.
    refused: Option<(u8, HostTime)>,
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
        self.limit.rate.is_none() || self.expiries.iter().any(|expiry| now < *expiry)
    }

    /// Uses a permit, the one that expires first.
    pub fn take(&mut self, now: HostTime) {
        self.expiries.retain(|expiry| now < *expiry);
        self.expiries.pop_front();
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
        self.expiries.retain(|expiry| now < *expiry);
        if self.limit.rate.is_none() && self.membership.is_none() {
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
        let is_leaving =
            member.leave_seq.is_some() || member.issuer != issuer || self.limit.rate.is_none();
        let missing =
            demand.count.saturating_sub(u8::try_from(self.expiries.len()).unwrap_or(u8::MAX));
        let needs_permits = missing > 0
            && !is_leaving
            && !matches!(self.refused, Some((rank, until)) if demand.rank >= rank && now < until);
        let is_repeat_due = now.since(member.sent_at) >= REPEAT_INTERVAL;
        let is_due = if member.unanswered_since.is_some() {
            is_repeat_due
        } else {
            needs_permits || is_leaving || now.since(member.sent_at) >= KEEP_ALIVE_INTERVAL
        };
        if !is_new && !is_due {
            return None;
        }
        self.seq = self.seq.wrapping_add(1);
        if is_leaving {
            member.leave_seq.get_or_insert(self.seq);
        }
        member.sent_at = now;
        member.unanswered_since.get_or_insert(now);
        let demand = Demand {
            count: if needs_permits { missing.min(MAX_WANTED) } else { 0 },
            rank: demand.rank,
        };
        self.sent.push_back((self.seq, now, demand));
        self.sent.retain(|(_, sent_at, _)| now.since(*sent_at) < PERMIT_LIFETIME);
        let request = PermitRequest { seq: self.seq, limit: self.limit, demand, is_leaving };
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
        let expiry = sent_at + PERMIT_LIFETIME;
        self.expiries.extend((0..reply.granted.min(demand.count)).map(|_| expiry));
        if reply.granted < demand.count {
            self.refused = Some((demand.rank, now + reply.next_in));
        } else if demand.count > 0 {
            self.refused = None;
        }
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
    /// When it last got fewer permits than it needed.
    short_at: HostTime,
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
        let short_at = self.members.get(&process).map_or(HostTime(0), |known| known.short_at);
        let is_leaving = request.is_leaving;
        let member = Member { seq: request.seq, heard_at: now, is_leaving, short_at };
        self.members.insert(process, member);
        let granted = self.issue(request.demand, now);
        let is_short = granted < request.demand.count;
        if let Some(member) = self.members.get_mut(&process) {
            member.short_at = if is_short { now } else { HostTime(0) };
        }
        let next_in = if is_short { self.next_in(hosts, now) } else { Millis(0) };
        Some(PermitReply { seq: request.seq, limit: self.limit, granted, next_in })
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
        self.demand_at.insert(demand.rank, now);
        self.demand_at.retain(|_, at| now.since(*at) < DEMAND_TIME);
        let has_higher = self.demand_at.keys().any(|rank| *rank < demand.rank);
        let reserved = if has_higher { 1.0 } else { 0.0 };
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
        let is_short = |member: &&Member| now.since(member.short_at) < DEMAND_TIME;
        let short = self.members.values().filter(is_short).count().max(1);
        let rate = self.rate_per_ms(hosts).max(1e-6);
        let missing = as_f32(u32::try_from(short).unwrap_or(u32::MAX)) - self.tokens;
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
