//! Digests: what hosts that missed reports of crashes need to know.

use super::{
    ANSWER_LIFETIME, CrashTracker, Fingerprint, MAX_DIGEST_ENTRIES, MAX_REFUSED,
    NEEDED_CRASHES_ALONE, REFUSAL_LIFETIME,
};
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::times::{HostTime, Millis};

/// Time after a crash for which other hosts are told of answers to the requests in it.
const ANSWERS_PERIOD: Millis = Millis(8_000);

/// What a host tells others of requests whose crashes they may not know.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Digest {
    /// Requests that certainly crash upstreams, and the times since their last crashes.
    pub refused: Vec<(Fingerprint, Millis)>,
    /// Requests in flight at several recent crashes that were answered before or since, and the times since the answers.
    pub answered: Vec<(Fingerprint, Millis)>,
}

impl Digest {
    /// Returns whether there is nothing to tell.
    pub const fn is_empty(&self) -> bool {
        self.refused.is_empty() && self.answered.is_empty()
    }
}

impl CrashTracker {
    /// Returns what hosts that missed reports need to know.
    pub fn digest(&mut self, now: HostTime) -> Digest {
        self.expire(now);
        self.settle(now);
        let mut refused: Vec<(Fingerprint, Millis)> =
            self.refused.iter().map(|(fingerprint, at)| (*fingerprint, now.since(*at))).collect();
        refused.sort_unstable_by_key(|(fingerprint, age)| (*age, *fingerprint));
        refused.truncate(MAX_DIGEST_ENTRIES);
        Digest { refused, answered: self.answered_in_flight(now) }
    }

    /// Returns the answers to requests that were in flight at several recent crashes, latest first.
    fn answered_in_flight(&self, now: HostTime) -> Vec<(Fingerprint, Millis)> {
        let recent = self.crashes.iter().filter(|known| now.since(known.at) < ANSWERS_PERIOD);
        let mut counts: FastMap<Fingerprint, usize> = FastMap::default();
        for fingerprint in recent.flat_map(|known| &known.crash.in_flight) {
            *counts.entry(*fingerprint).or_default() += 1;
        }
        let several = counts.into_iter().filter(|(_, count)| *count >= NEEDED_CRASHES_ALONE);
        let answered = several.filter_map(|(fingerprint, _)| {
            let age = now.since(self.answers.get(fingerprint)?);
            (age < ANSWER_LIFETIME).then_some((fingerprint, age))
        });
        let mut answered: Vec<(Fingerprint, Millis)> = answered.collect();
        answered.sort_unstable_by_key(|(fingerprint, age)| (*age, *fingerprint));
        answered.truncate(MAX_DIGEST_ENTRIES);
        answered
    }

    /// Applies the digest of another host.
    pub fn on_digest(&mut self, digest: &Digest, now: HostTime) {
        let at = |age: Millis| HostTime(now.0.saturating_sub(age.0));
        for (fingerprint, age) in &digest.answered {
            self.clear(*fingerprint, at(*age), now);
        }
        for (fingerprint, age) in &digest.refused {
            let crashed_at = at(*age);
            let is_cleared =
                self.answers.get(*fingerprint).is_some_and(|answer| answer >= crashed_at);
            if is_cleared || *age >= REFUSAL_LIFETIME {
                continue;
            }
            if self.refused.len() < MAX_REFUSED || self.refused.contains_key(fingerprint) {
                let known = self.refused.entry(*fingerprint).or_insert(crashed_at);
                *known = (*known).max(crashed_at);
            }
        }
    }
}
