//! Whom a host asks for a configuration of which it was told, and when.
//!
//! Small messages tell a host of a version long before the record arrives if the host's source of updates is cut off or late.
//! The hosts that claim to have the version can send it at once. Usually the source does so as soon, and all hosts are told at
//! the same time. So a host leaves a young version to its source for a while, asks near hosts before far ones, and few hosts
//! of a region ask another region before one of them can have told the others.

use crate::versions::Origin;
use skylarkdock_units::times::{HostTime, Millis};
use std::cmp::Reverse;
use std::collections::VecDeque;

/// Age from which on a version is asked for at once, in percent of the time within which it has to be in force. The rest is
/// for several calls before requests are refused.
const URGENT_PERCENT: u64 = 60;
/// Time after the first claim of a younger version that the source of updates gets to send it. Updates reach all of some
/// hundred hosts within it.
const UPDATE_TIME: Millis = Millis(400);
/// Pause after the first call to a host without success; it doubles with each further one, up to the second value.
const FIRST_PAUSE: Millis = Millis(100);
const MAX_PAUSE: Millis = Millis(3_200);
/// Number of calls in a row without success, to any hosts, from which on the next one waits as well, by the same pauses.
const MAX_UNPAUSED_FAILURES: u32 = 3;
/// Pause after a call to a host that had answered as many hosts as it may.
const BUSY_PAUSE: Millis = ANSWER_WINDOW;
/// Pause before hosts that claim to have a version are looked for again, if none of them is known. Their records may be late.
const UNKNOWN_PAUSE: Millis = Millis(250);
/// Number of hosts of a region that may ask another region at once. With each further turn the number of those that may has
/// more than doubled.
const FIRST_FAR_ASKERS: u32 = 4;
/// Time between two such turns. Within it the first hosts get a large configuration over a shared link, and tell their
/// region.
const FAR_TURN_TIME: Millis = Millis(300);
/// Time after which a claim is forgotten. The version may not exist.
const CLAIM_LIFETIME: Millis = Millis(60_000);
/// Number of hosts whose claims are kept.
const MAX_CLAIMANTS: usize = 512;

/// Time of which the answers of a host are counted, and how many answers and bytes it sends in it to its own region: half of
/// the link of the smallest host.
const ANSWER_WINDOW: Millis = Millis(100);
const MAX_ANSWERS: usize = 16;
const MAX_ANSWER_BYTES: usize = 64 * 1024;
/// Number of answers to hosts of other regions in the same time.
const MAX_FAR_ANSWERS: usize = FIRST_FAR_ASKERS as usize;

/// How far a host is from this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Distance {
    /// Same availability zone.
    Zone,
    /// Same region.
    Region,
    /// Another region.
    Far,
}

/// Age from which on a version is asked for at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UrgentAge(Millis);

impl UrgentAge {
    /// Creates the age for the time within which a configuration has to be in force.
    pub const fn new(apply_time: Millis) -> Self {
        Self(Millis(apply_time.0 * URGENT_PERCENT / 100))
    }
}

/// Place of a host in the order in which the hosts of a region ask another region.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FarTurn(u32);

impl FarTurn {
    /// Returns the turn of a host among the others of its region. The order differs for each version.
    pub fn new(own: Origin, others: impl Iterator<Item = Origin>, version: u64) -> Self {
        let salt = version ^ (version >> 32);
        let place = |origin: Origin| (mix(u64::from(origin.0) ^ (salt << 32)), origin);
        let before = others.filter(|other| place(*other) < place(own)).count();
        let before = u32::try_from(before).unwrap_or(u32::MAX);
        Self((before / FIRST_FAR_ASKERS).saturating_add(1).ilog2())
    }

    const fn wait(self) -> Millis {
        Millis(FAR_TURN_TIME.0 * self.0 as u64)
    }
}

/// What a host does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step<T> {
    /// Ask this host for the configuration.
    Ask(T),
    /// Nothing before this time, unless another claim arrives.
    WaitUntil(HostTime),
    /// Nothing until another claim arrives.
    Idle,
}

/// Host that claims to have a newer version than the one in force here.
#[derive(Debug, Clone, Copy)]
struct Claimant {
    origin: Origin,
    version: u64,
    /// Earliest time at which the version may have been published.
    since: HostTime,
    /// When a newer version of this host was first heard of.
    heard_at: HostTime,
    /// Calls to it without success, and the end of the pause after the last one.
    failures: u32,
    retry_at: HostTime,
}

/// Hosts that a host can ask for a newer configuration than it has.
#[derive(Debug)]
pub struct Fetching {
    own: Origin,
    urgent_age: UrgentAge,
    in_force: u64,
    claimants: Vec<Claimant>,
    /// Calls without success since the version in force changed, and the end of the pause after the last one.
    failures: u32,
    retry_at: HostTime,
}

impl Fetching {
    /// Creates the state of a host that has no configuration.
    pub const fn new(own: Origin, urgent_age: UrgentAge) -> Self {
        let retry_at = HostTime(0);
        Self { own, urgent_age, in_force: 0, claimants: Vec::new(), failures: 0, retry_at }
    }

    /// Records the version in force on this host.
    pub fn on_in_force(&mut self, version: u64) {
        if version > self.in_force {
            self.in_force = version;
            (self.failures, self.retry_at) = (0, HostTime(0));
        }
        self.claimants.retain(|claimant| claimant.version > self.in_force);
    }

    /// Records that a host claims to have a version that may have been published from `since` on.
    pub fn on_claim(&mut self, origin: Origin, version: u64, since: HostTime, now: HostTime) {
        self.claimants.retain(|claimant| is_current(claimant, now));
        if origin == self.own || version <= self.in_force {
            return;
        }
        if let Some(known) = self.claimants.iter_mut().find(|known| known.origin == origin) {
            known.version = known.version.max(version);
            known.since = known.since.min(since);
            return;
        }
        if self.claimants.len() >= MAX_CLAIMANTS {
            let claimants = self.claimants.iter().enumerate();
            let oldest = claimants.min_by_key(|(_, claimant)| claimant.heard_at);
            if let Some((index, _)) = oldest {
                self.claimants.swap_remove(index);
            }
        }
        self.claimants.push(Claimant {
            origin,
            version,
            since,
            heard_at: now,
            failures: 0,
            retry_at: now,
        });
    }

    /// Records that a call to a host brought no newer configuration.
    pub fn on_failure(&mut self, origin: Origin, now: HostTime) {
        if let Some(claimant) = self.claimants.iter_mut().find(|known| known.origin == origin) {
            claimant.retry_at = now + pause(claimant.failures);
            claimant.failures = claimant.failures.saturating_add(1);
        }
        self.failures = self.failures.saturating_add(1);
        if let Some(paused) = self.failures.checked_sub(MAX_UNPAUSED_FAILURES) {
            self.retry_at = now + pause(paused);
        }
    }

    /// Records that a host had answered as many other hosts lately as it may.
    pub fn on_busy(&mut self, origin: Origin, now: HostTime) {
        if let Some(claimant) = self.claimants.iter_mut().find(|known| known.origin == origin) {
            claimant.retry_at = now + BUSY_PAUSE;
        }
    }

    /// Returns the newest version that a host claims to have; `None` if none is newer than the one in force.
    pub fn newest(&self) -> Option<u64> {
        self.claimants.iter().map(|claimant| claimant.version).max()
    }

    /// Returns what to do next. `place` returns the distance of a host and what to call it by, `None` if it is not known.
    pub fn next<T>(
        &self,
        place: impl Fn(Origin) -> Option<(Distance, T)>,
        far_turn: FarTurn,
        now: HostTime,
    ) -> Step<T> {
        if self.in_force == 0 {
            return Step::Idle;
        }
        let current = || self.claimants.iter().filter(|claimant| is_current(claimant, now));
        let (Some(heard_at), Some(since)) = (
            current().map(|claimant| claimant.heard_at).min(),
            current().map(|claimant| claimant.since).min(),
        ) else {
            return Step::Idle;
        };
        let due_at = (heard_at + UPDATE_TIME).min(heard_at.max(since + self.urgent_age.0));
        let known = current().filter_map(|claimant| {
            let (distance, called) = place(claimant.origin)?;
            Some((claimant, distance, called))
        });
        let known: Vec<_> = known.collect();
        if known.is_empty() {
            return Step::WaitUntil(now + UNKNOWN_PAUSE);
        }
        let answers_near = known
            .iter()
            .any(|(claimant, distance, _)| *distance != Distance::Far && claimant.failures == 0);
        let known = known
            .into_iter()
            .filter(|(_, distance, _)| !answers_near || *distance != Distance::Far);
        let timed = known.map(|(claimant, distance, called)| {
            let wait = if distance == Distance::Far { far_turn.wait() } else { Millis(0) };
            let at = claimant.retry_at.max(self.retry_at).max(due_at + wait);
            (claimant, distance, called, at)
        });
        let (ready, later): (Vec<_>, Vec<_>) = timed.partition(|(_, _, _, at)| *at <= now);
        // Hosts that are told of the same claims at the same time ask different ones.
        let spread = |origin: Origin| mix(u64::from(self.own.0) << 32 | u64::from(origin.0));
        let best = ready.into_iter().min_by_key(|(claimant, distance, _, _)| {
            let Claimant { origin, version, failures, .. } = **claimant;
            (*distance, failures, Reverse(version), spread(origin))
        });
        if let Some((_, _, called, _)) = best {
            return Step::Ask(called);
        }
        later.into_iter().map(|(_, _, _, at)| at).min().map_or(Step::Idle, Step::WaitUntil)
    }
}

/// Returns the pause after a call without success, by the number of those before it.
fn pause(failures: u32) -> Millis {
    Millis(FIRST_PAUSE.0 << failures.min(MAX_PAUSE.0.ilog2())).min(MAX_PAUSE)
}

fn is_current(claimant: &Claimant, now: HostTime) -> bool {
    now.since(claimant.heard_at) < CLAIM_LIFETIME
}

/// Answer to a host that asked for the configuration.
#[derive(Debug, Clone, Copy)]
struct Answered {
    at: HostTime,
    bytes: usize,
    is_far: bool,
}

/// Answers that a host has lately sent to hosts that asked it for its configuration.
#[derive(Debug, Default)]
pub struct RecentAnswers(VecDeque<Answered>);

impl RecentAnswers {
    /// Returns whether this host may answer another host. The load of a host stays bounded if many are told at once that it has
    /// a version. Hosts of other regions are counted apart: few ask, and each of them has a region that waits for it.
    pub fn admits(&mut self, is_far: bool, now: HostTime) -> bool {
        self.0.retain(|answered| now.since(answered.at) < ANSWER_WINDOW);
        let of_kind = || self.0.iter().filter(|answered| answered.is_far == is_far);
        if is_far {
            return of_kind().count() < MAX_FAR_ANSWERS;
        }
        let bytes: usize = of_kind().map(|answered| answered.bytes).sum();
        of_kind().count() < MAX_ANSWERS && bytes < MAX_ANSWER_BYTES
    }

    /// Records an answer of some bytes.
    pub fn record(&mut self, bytes: usize, is_far: bool, now: HostTime) {
        self.0.push_back(Answered { at: now, bytes, is_far });
    }
}

/// Mixes the bits of a number, the same on all hosts.
const fn mix(number: u64) -> u64 {
    let mixed = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
