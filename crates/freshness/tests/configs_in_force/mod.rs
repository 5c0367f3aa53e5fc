//! The operator's configurations, and which of them may be in force.

pub mod simulation;

use fastrand::Rng;

/// Number of routes that configurations may have; requests may name one more.
pub const ROUTES: usize = 3;
/// Time from its acknowledgement within which a version has to be in force.
pub const APPLY_MS: u64 = 2_000;
/// Longest time from when hosts can read a version until it is acknowledged.
const MAX_ACK_DELAY_MS: u64 = 5_000;
const SIZE_LIMITS: [u64; 3] = [10, 60, 200];

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    pub route: usize,
    pub has_key: bool,
    pub size: u64,
}

/// Version with what it allows, and its times at the store.
#[derive(Debug, Clone)]
pub struct Version {
    pub number: u64,
    routes: [bool; ROUTES],
    is_sharded: [bool; ROUTES],
    size_limit: u64,
    sent_at: u64,
    /// From when on the store returns it.
    pub readable_at: u64,
    acknowledged_at: u64,
    /// Hosts that can't read it, as bits.
    unreadable_by: u8,
}

impl Version {
    pub fn has_route(&self, route: usize) -> bool {
        self.routes.get(route).is_some_and(|exists| *exists)
    }

    pub fn takes_without_key(&self, route: usize) -> bool {
        self.has_route(route) && !self.is_sharded[route]
    }

    pub const fn is_size_allowed(&self, size: u64) -> bool {
        size <= self.size_limit
    }

    pub fn allows(&self, req: Request) -> bool {
        self.has_route(req.route)
            && (req.has_key || self.takes_without_key(req.route))
            && self.is_size_allowed(req.size)
    }

    pub const fn is_readable_by(&self, host: usize) -> bool {
        self.unreadable_by & (1 << host) == 0
    }
}

/// All versions of a case, in order.
#[derive(Debug)]
pub struct Operator {
    pub versions: Vec<Version>,
}

impl Operator {
    /// Plans versions up to a time. Some follow each other at once, some are acknowledged late or can't be read by some hosts.
    pub fn new(rng: &mut Rng, end: u64) -> Self {
        let mut versions = vec![Version {
            number: rng.u64(1..5),
            routes: std::array::from_fn(|_| rng.bool()),
            is_sharded: std::array::from_fn(|_| rng.bool()),
            size_limit: *rng.choice(&SIZE_LIMITS).unwrap(),
            sent_at: 1,
            readable_at: 5,
            acknowledged_at: 10,
            unreadable_by: 0,
        }];
        let is_series = rng.bool();
        loop {
            let last = versions.last().unwrap();
            let pause = if is_series && rng.u8(..) < 220 { 330 } else { rng.u64(500..12_000) };
            let sent_at = last.readable_at + pause;
            if sent_at > end {
                return Self { versions };
            }
            let mut next = Version {
                number: last.number + rng.u64(1..4),
                sent_at,
                readable_at: sent_at + rng.u64(1..400),
                unreadable_by: if rng.u8(..) < 40 { rng.u8(1..8) } else { 0 },
                ..last.clone()
            };
            let late = if rng.u8(..) < 80 { MAX_ACK_DELAY_MS } else { 100 };
            next.acknowledged_at = next.readable_at + rng.u64(1..=late);
            let route = rng.usize(..ROUTES);
            match rng.u8(..4) {
                0 => next.routes[route] = !next.routes[route],
                1 | 2 => next.is_sharded[route] = !next.is_sharded[route],
                _ => next.size_limit = *rng.choice(&SIZE_LIMITS).unwrap(),
            }
            versions.push(next);
        }
    }

    /// Returns the number of versions that the store has at a time.
    pub fn count_readable(&self, now: u64) -> usize {
        self.versions.iter().filter(|version| version.readable_at <= now).count()
    }

    /// Returns the versions that may be in force: each from its sending until a later one has been acknowledged for the apply
    /// time.
    pub fn in_force(&self, now: u64) -> Vec<&Version> {
        let is_replaced = |index: usize| {
            let later = &self.versions[index + 1..];
            later.iter().any(|version| version.acknowledged_at + APPLY_MS <= now)
        };
        let sent = self.versions.iter().enumerate().filter(|(_, version)| version.sent_at <= now);
        sent.filter(|(index, _)| !is_replaced(*index)).map(|(_, version)| version).collect()
    }
}
