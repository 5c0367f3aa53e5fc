//! Detection of requests that crash the upstreams which run them.
//!
//! Load pattern: a request with the same content arrives repeatedly, at any host, and crashes each upstream that runs
//! it. Upstreams return after seconds, at the same address under a new id. At the same time upstreams end for other
//! reasons, with popular requests in flight at many of them.
//!
//! Each request without an answer from an upstream that ended is a suspect. It is refused once it is one at two crashes
//! that have no other suspect in common, or else at three, and no answer to it arrived since; the load does not matter. Three things keep requests
//! that cause no crash from being refused for long: an answer on any host clears a request, a request whose crashes are
//! all explained by another with more of them is served, and a suspect is refused for a short pause only if it was
//! answered before the crashes or many upstreams end at the same time for no known request.
//!
//! A broken connection alone is no proof of a crash, since links reset connections and upstreams lose answers. It
//! counts once the upstream is known to have ended.
//!
//! Hosts report crashes to each other. An end counts once, however many hosts report it and however late, because each
//! start of an upstream has a hash of its own. Hosts that missed the reports learn of refused requests from digests.

mod answers;
mod assessment;
mod digest;

pub use crate::crash_tracker::digest::Digest;

use crate::crash_tracker::answers::RecentAnswers;
use crate::crash_tracker::assessment::Assessment;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::VecDeque;

/// Crashes at which a request must have been in flight to be refused.
const NEEDED_CRASHES: usize = 3;
/// The same for a request that was alone in flight at each of them, or is the only suspect of all of them.
const NEEDED_CRASHES_ALONE: usize = 2;
/// Time for which an answer speaks for a request at a later crash.
const ANSWER_LIFETIME: Millis = Millis(30_000);
/// Time after the last crash for which a request is refused that caused it for certain. A shorter time would let a
/// caller that comes back end one upstream after the other.
const REFUSAL_LIFETIME: Millis = Millis(600_000);
/// Time after the last crash for which a request is refused that may have been in flight by chance. Longer than
/// upstreams take to return.
const UNCERTAIN_PAUSE: Millis = Millis(3_000);
/// Longest time between the end of an attempt without an answer and the proof that the upstream ended. The proof that
/// comes last is that its entry in the registry lapsed.
const PROOF_WINDOW: Millis = Millis(6_000);
/// Shortest time without an answer that makes a request a suspect when the entry of its upstream lapses. An upstream
/// that merely can't write its entry answers within it.
const SILENCE: Millis = Millis(2_000);
/// Time for which a crash is included in reports; long enough for two reports to other regions.
const REPORT_PERIOD: Millis = Millis(1_700);
/// Largest numbers of known crashes, of requests kept for each, of crashes in one report and of requests for each of
/// them, of suspects, of refused requests, and of entries of each kind in a digest.
const MAX_CRASHES: usize = 256;
const MAX_IN_FLIGHT: usize = 32;
const MAX_REPORTED: usize = 8;
const MAX_REPORTED_IN_FLIGHT: usize = 16;
const MAX_SUSPECTS: usize = 4_096;
const MAX_REFUSED: usize = 1_024;
const MAX_DIGEST_ENTRIES: usize = 48;

/// Hash that is equal for requests with the same content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

/// Hash of an upstream's id and the time of its start; the same on all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct IncarnationHash(pub u32);

/// Crash of an upstream with requests in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The incarnation that ended.
    pub upstream: IncarnationHash,
    /// Requests in flight, as far as they are known.
    pub in_flight: Vec<Fingerprint>,
    /// Number of requests in flight from all hosts.
    pub load: u32,
}

/// How an upstream is known to have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndProof {
    /// It refuses connections, another upstream answers at its address, or it has started anew.
    Certain,
    /// Its entry in the registry lapsed, or there is one of another upstream at its address. It may only have lost its path
    /// to the registry, and another writer may have written that entry.
    Lapsed,
}

/// How an attempt ended without an answer from the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unanswered {
    /// The connection broke, or no answer came in time.
    Failed,
    /// The host gave the attempt up.
    Cancelled,
}

/// Why and for how long a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It crashes upstreams.
    Certain,
    /// It may have been in flight at crashes by chance, and is served again after this time.
    Uncertain(Millis),
}

/// Attempt that has no answer yet.
#[derive(Debug, Clone, Copy)]
struct Sent {
    fingerprint: Fingerprint,
    at: HostTime,
}

/// Attempt that ended without an answer, at an upstream that is not known to have ended.
#[derive(Debug, Clone, Copy)]
struct Failed {
    fingerprint: Fingerprint,
    at: HostTime,
}

/// Attempts at one upstream.
#[derive(Debug, Default)]
struct Attempts {
    sent: Vec<Sent>,
    failed: Vec<Failed>,
    /// Largest number of requests in flight from all hosts when an attempt failed.
    load: u32,
}

#[derive(Debug)]
struct KnownCrash {
    crash: Crash,
    at: HostTime,
    /// When this host last learnt of a request in it.
    updated_at: HostTime,
    /// Whether a request in it is a suspect at enough crashes to be the cause.
    is_explained: bool,
}

/// Request in flight at crashes, and not answered since.
#[derive(Debug, Default)]
struct Suspect {
    /// Numbers of the crashes, ascending.
    crashes: Vec<u64>,
    /// Whether it was answered shortly before the first of them.
    was_answered: bool,
    assessment: Option<Assessment>,
}

/// Attempts, crashes and suspects, as known to one host.
#[derive(Debug, Default)]
pub struct CrashTracker {
    attempts: FastMap<UpstreamId, Attempts>,
    crashes: VecDeque<KnownCrash>,
    /// Number of the first crash in `crashes`.
    first_crash: u64,
    suspects: FastMap<Fingerprint, Suspect>,
    /// Requests that certainly crash upstreams, and when they last did.
    refused: FastMap<Fingerprint, HostTime>,
    answers: RecentAnswers,
}

impl CrashTracker {
    /// Records that a request is sent to an upstream.
    pub fn on_sent(&mut self, id: &UpstreamId, fingerprint: Fingerprint, now: HostTime) {
        let sent = Sent { fingerprint, at: now };
        match self.attempts.get_mut(id) {
            Some(attempts) => attempts.sent.push(sent),
            None => {
                let attempts = Attempts { sent: vec![sent], ..Attempts::default() };
                self.attempts.insert(id.clone(), attempts);
            }
        }
    }

    /// Records that an upstream answered a request, or did not run it. With `is_answered` it ran the request, which
    /// clears a suspect.
    pub fn on_answered(
        &mut self,
        id: &UpstreamId,
        fingerprint: Fingerprint,
        is_answered: bool,
        now: HostTime,
    ) {
        self.take_sent(id, fingerprint);
        if is_answered {
            self.clear(fingerprint, now, now);
        }
    }

    /// Records that an attempt ended without an answer, while all hosts had `load` requests at the upstream.
    pub fn on_unanswered(
        &mut self,
        id: &UpstreamId,
        fingerprint: Fingerprint,
        how: Unanswered,
        load: u32,
        now: HostTime,
    ) {
        let sent_at = self.take_sent(id, fingerprint);
        // Attempts are given up all the time, as their callers leave or another attempt is answered first.
        let is_late = sent_at.is_some_and(|at| now.since(at) >= SILENCE);
        if how == Unanswered::Cancelled && !is_late {
            return;
        }
        let attempts = self.attempts.entry(id.clone()).or_default();
        attempts.failed.retain(|failed| now.since(failed.at) < PROOF_WINDOW);
        if attempts.failed.is_empty() {
            attempts.load = 0;
        }
        attempts.load = attempts.load.max(load);
        attempts.failed.push(Failed { fingerprint, at: now });
    }

    fn take_sent(&mut self, id: &UpstreamId, fingerprint: Fingerprint) -> Option<HostTime> {
        let attempts = self.attempts.get_mut(id)?;
        let index = attempts.sent.iter().position(|sent| sent.fingerprint == fingerprint)?;
        Some(attempts.sent.swap_remove(index).at)
    }

    /// Records that an upstream has ended. Returns the crash if it had requests in flight.
    pub fn on_ended(
        &mut self,
        id: &UpstreamId,
        upstream: IncarnationHash,
        proof: EndProof,
        now: HostTime,
    ) -> Option<Crash> {
        let attempts = self.attempts.get_mut(id)?;
        let failed = attempts.failed.drain(..);
        let failed = failed.filter(|failed| now.since(failed.at) < PROOF_WINDOW);
        let mut in_flight: Vec<Fingerprint> = failed.map(|failed| failed.fingerprint).collect();
        let silent = attempts
            .sent
            .iter()
            .filter(|sent| proof == EndProof::Certain || now.since(sent.at) >= SILENCE);
        in_flight.extend(silent.map(|sent| sent.fingerprint));
        in_flight.sort_unstable();
        in_flight.dedup();
        let load = attempts.load.max(u32::try_from(in_flight.len()).unwrap_or(u32::MAX));
        if attempts.sent.is_empty() {
            self.attempts.remove(id);
        }
        if in_flight.is_empty() {
            return None;
        }
        let crash = Crash { upstream, in_flight, load };
        self.on_crashes(std::slice::from_ref(&crash), now);
        Some(crash)
    }

    /// Records crashes seen by this host or reported by another one. Returns the number of those that were new for any
    /// request in them.
    pub fn on_crashes(&mut self, crashes: &[Crash], now: HostTime) -> usize {
        self.expire(now);
        let new = crashes.iter().filter(|crash| self.add_crash(crash, now)).count();
        if new > 0 {
            self.assess(now);
        }
        new
    }

    /// Returns whether the crash was new for any request in it.
    fn add_crash(&mut self, crash: &Crash, now: HostTime) -> bool {
        let (number, new) = self.merge(crash, now);
        if new.is_empty() {
            return false;
        }
        if self.suspects.len() + new.len() > MAX_SUSPECTS {
            self.evict_suspects();
        }
        for fingerprint in new {
            let answered_at = self.answers.get(fingerprint);
            let suspect = self.suspects.entry(fingerprint).or_default();
            if suspect.crashes.is_empty() {
                let is_recent = |at| now.since(at) < ANSWER_LIFETIME;
                suspect.was_answered = answered_at.is_some_and(is_recent);
            }
            suspect.crashes.push(number);
            suspect.crashes.sort_unstable();
        }
        true
    }

    /// Adds a crash to the known ones. Returns its number, and the requests that were not known to be in it and were not
    /// answered since.
    fn merge(&mut self, crash: &Crash, now: HostTime) -> (u64, Vec<Fingerprint>) {
        let known = self.crashes.iter().position(|known| known.crash.upstream == crash.upstream);
        let index = known.unwrap_or_else(|| {
            if self.crashes.len() == MAX_CRASHES {
                self.crashes.pop_front();
                self.first_crash += 1;
                self.forget_crashes();
            }
            let crash = Crash { in_flight: Vec::new(), ..crash.clone() };
            let is_explained = false;
            self.crashes.push_back(KnownCrash { crash, at: now, updated_at: now, is_explained });
            self.crashes.len() - 1
        });
        let known = &mut self.crashes[index];
        known.crash.load = known.crash.load.max(crash.load);
        let mut new = Vec::new();
        for fingerprint in &crash.in_flight {
            let in_flight = &mut known.crash.in_flight;
            if in_flight.len() < MAX_IN_FLIGHT && !in_flight.contains(fingerprint) {
                in_flight.push(*fingerprint);
                new.push(*fingerprint);
            }
        }
        if !new.is_empty() {
            known.updated_at = now;
        }
        let at = known.at;
        new.retain(|fingerprint| self.answers.get(*fingerprint).is_none_or(|answer| answer < at));
        (self.first_crash + index as u64, new)
    }

    /// Returns whether attempts at an upstream have no answer yet.
    pub fn awaits_answers(&self, id: &UpstreamId) -> bool {
        self.attempts.get(id).is_some_and(|attempts| !attempts.sent.is_empty())
    }

    /// Forgets the attempts at upstreams that are not listed, unless one of them has no answer yet.
    pub fn retain_upstreams(&mut self, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.attempts.retain(|id, attempts| !attempts.sent.is_empty() || is_listed(id));
    }

    /// Returns whether a request is refused because it probably crashes upstreams.
    pub fn refusal(&self, fingerprint: Fingerprint, now: HostTime) -> Option<Refusal> {
        if self.suspects.is_empty() && self.refused.is_empty() {
            return None;
        }
        let last_crash_at = self.refused.get(&fingerprint);
        if last_crash_at.is_some_and(|at| now.since(*at) < REFUSAL_LIFETIME) {
            return Some(Refusal::Certain);
        }
        let assessment = self.suspects.get(&fingerprint)?.assessment?;
        if assessment.is_certain {
            return Some(Refusal::Certain);
        }
        let left = UNCERTAIN_PAUSE.0.saturating_sub(now.since(assessment.last_crash_at).0);
        (left > 0).then_some(Refusal::Uncertain(Millis(left)))
    }

    /// Returns whether a request may be the cause of a crash and was not answered before or since. At most one copy of
    /// such a request should be under way.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|suspect| !suspect.was_answered)
    }

    /// Records that another host got an answer to a request some time ago.
    pub fn on_answered_elsewhere(&mut self, fingerprint: Fingerprint, age: Millis, now: HostTime) {
        self.clear(fingerprint, HostTime(now.0.saturating_sub(age.0)), now);
    }

    /// Returns the number of crashes at which a request was in flight since its last answer.
    pub fn crash_count(&self, fingerprint: Fingerprint) -> usize {
        self.suspects.get(&fingerprint).map_or(0, |suspect| suspect.crashes.len())
    }

    /// Returns the crashes to include in a report: those that this host learnt of recently, newest first.
    pub fn recent_crashes(&self, now: HostTime) -> Vec<Crash> {
        let recent = self.crashes.iter().rev();
        let recent = recent.filter(|known| now.since(known.updated_at) < REPORT_PERIOD);
        let crashes = recent.take(MAX_REPORTED).map(|KnownCrash { crash, .. }| {
            let newest = crash.in_flight.iter().rev().copied().take(MAX_REPORTED_IN_FLIGHT);
            Crash { in_flight: newest.collect(), ..*crash }
        });
        crashes.collect()
    }

    /// Returns whether this host learnt of a crash within a time.
    pub fn has_crash_since(&self, period: Millis, now: HostTime) -> bool {
        self.crashes.iter().any(|known| now.since(known.updated_at) < period)
    }

    /// Records an answer: the request did not cause the crashes before it, and probably not those soon after it.
    fn clear(&mut self, fingerprint: Fingerprint, answered_at: HostTime, now: HostTime) {
        self.answers.record(fingerprint, answered_at);
        if self.refused.get(&fingerprint).is_some_and(|at| *at <= answered_at) {
            self.refused.remove(&fingerprint);
        }
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return };
        let (first, crashes) = (self.first_crash, &self.crashes);
        let at = |number: &u64| known_crash(crashes, first, *number).map(|known| known.at);
        let is_assessed = suspect.crashes.len() >= NEEDED_CRASHES_ALONE;
        suspect.crashes.retain(|number| at(number).is_some_and(|at| at > answered_at));
        match suspect.crashes.first().and_then(at) {
            Some(first) => suspect.was_answered |= first.since(answered_at) < ANSWER_LIFETIME,
            None => drop(self.suspects.remove(&fingerprint)),
        }
        if is_assessed {
            self.assess(now);
        }
    }

    /// Forgets what is too old.
    fn expire(&mut self, now: HostTime) {
        self.refused.retain(|_, at| now.since(*at) < REFUSAL_LIFETIME);
        let mut is_changed = false;
        while self.crashes.front().is_some_and(|known| now.since(known.at) >= REFUSAL_LIFETIME) {
            self.crashes.pop_front();
            self.first_crash += 1;
            is_changed = true;
        }
        if is_changed {
            self.forget_crashes();
        }
    }

    /// Removes the crashes that are no longer known from the suspects.
    fn forget_crashes(&mut self) {
        let first = self.first_crash;
        self.suspects.retain(|_, suspect| {
            suspect.crashes.retain(|number| *number >= first);
            !suspect.crashes.is_empty()
        });
    }

    /// Drops suspects of a single crash, and all suspects if too many remain. With so many suspects, a single suspicion
    /// says little.
    fn evict_suspects(&mut self) {
        self.suspects.retain(|_, suspect| suspect.crashes.len() > 1);
        if self.suspects.len() > MAX_SUSPECTS / 2 {
            self.suspects.clear();
        }
    }
}

fn known_crash(crashes: &VecDeque<KnownCrash>, first: u64, number: u64) -> Option<&KnownCrash> {
    crashes.get(usize::try_from(number.checked_sub(first)?).ok()?)
}
