//! Assessment of suspects: which of them caused the crashes at which they were in flight.

use super::{
    CrashTracker, Fingerprint, KnownCrash, MAX_REFUSED, NEEDED_CRASHES, NEEDED_CRASHES_ALONE,
    Suspect, known_crash,
};
use skylarkdock_units::times::{HostTime, Millis};

/// Crashes at which a request must have been in flight to be refused if it is probably not the cause: it was answered
/// shortly before the first of them, or several others were in flight at all of them. Three more than otherwise, as many
/// as sends are allowed after the third crash.
const NEEDED_CRASHES_IF_DOUBTFUL: usize = 6;
/// Other requests in flight at all crashes of a request, and never answered, that make it doubtful which is the cause.
const DOUBTFUL_RIVALS: usize = 3;
/// Largest difference between the times of crashes that count as simultaneous.
const SIMULTANEOUS: Millis = Millis(2_000);
/// Simultaneous crashes without a known cause that make it uncertain whether a request caused its own.
const UNEXPLAINED_CRASHES: usize = 2;
/// Time after the last crash from which its assessment no longer changes, and other hosts are told.
const SETTLING_TIME: Millis = Millis(3_000);

/// Assessment of a request that was in flight at enough crashes to be refused.
#[derive(Debug, Clone, Copy)]
pub(super) struct Assessment {
    pub(super) last_crash_at: HostTime,
    pub(super) is_certain: bool,
}

impl CrashTracker {
    /// Assesses the suspects again after a change of what is known.
    pub(super) fn assess(&mut self, now: HostTime) {
        for known in &mut self.crashes {
            known.is_explained = false;
        }
        let causes = self.suspects.values();
        let causes = causes.filter(|s| !s.was_answered && s.crashes.len() >= NEEDED_CRASHES);
        for number in causes.flat_map(|suspect| &suspect.crashes) {
            let index = number.checked_sub(self.first_crash).map(usize::try_from);
            if let Some(known) = index.and_then(Result::ok).and_then(|i| self.crashes.get_mut(i)) {
                known.is_explained = true;
            }
        }
        let candidates = self.suspects.iter();
        let candidates = candidates.filter(|(_, s)| s.crashes.len() >= NEEDED_CRASHES_ALONE);
        let assessed: Vec<(Fingerprint, Option<Assessment>)> =
            candidates.map(|(fp, suspect)| (*fp, self.assessment(*fp, suspect))).collect();
        for (fingerprint, assessment) in assessed {
            if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
                suspect.assessment = assessment;
            }
        }
        self.settle(now);
    }

    /// Assesses a suspect; returns `None` if it is not refused.
    fn assessment(&self, fingerprint: Fingerprint, suspect: &Suspect) -> Option<Assessment> {
        let known = |number: &u64| known_crash(&self.crashes, self.first_crash, *number);
        let own: Vec<&KnownCrash> = suspect.crashes.iter().filter_map(known).collect();
        let is_alone = |known: &&KnownCrash| known.crash.load <= 1;
        let rivals = self.rivals(fingerprint, suspect).count();
        let is_doubtful = suspect.was_answered || rivals >= DOUBTFUL_RIVALS;
        let needed = if is_doubtful {
            NEEDED_CRASHES_IF_DOUBTFUL
        } else if rivals == 0 || own.iter().all(is_alone) {
            NEEDED_CRASHES_ALONE
        } else {
            NEEDED_CRASHES
        };
        let mut rivals = self.rivals(fingerprint, suspect);
        let is_explained = rivals.any(|rival| rival.crashes.len() > suspect.crashes.len());
        if own.len() < needed || is_explained {
            return None;
        }
        let last_crash_at = own.iter().map(|known| known.at).max()?;
        // A doubtful one has to crash upstreams again after a pause.
        let mut times: Vec<HostTime> = own.iter().map(|known| known.at).collect();
        times.sort_unstable();
        let came_again = times.windows(2).any(|pair| pair[1].since(pair[0]) > SIMULTANEOUS);
        let is_certain = (!is_doubtful || came_again)
            && own.iter().any(|known| self.is_alone_in_time(known, fingerprint));
        Some(Assessment { last_crash_at, is_certain })
    }

    /// Returns the other suspects that were in flight at all crashes of a suspect, and were not answered before.
    fn rivals<'a>(
        &'a self,
        fingerprint: Fingerprint,
        suspect: &'a Suspect,
    ) -> impl Iterator<Item = &'a Suspect> {
        let first = suspect.crashes.first();
        let first = first.and_then(|number| known_crash(&self.crashes, self.first_crash, *number));
        let others = first.into_iter().flat_map(|known| &known.crash.in_flight);
        let others = others.filter(move |other| **other != fingerprint);
        others.filter_map(|other| self.suspects.get(other)).filter(|rival| {
            !rival.was_answered
                && suspect.crashes.iter().all(|number| rival.crashes.contains(number))
        })
    }

    /// Returns whether few upstreams ended for unknown reasons at the time of a crash of a request.
    fn is_alone_in_time(&self, crash: &KnownCrash, fingerprint: Fingerprint) -> bool {
        let others = self.crashes.iter().filter(|other| {
            let distance = other.at.since(crash.at).max(crash.at.since(other.at));
            distance <= SIMULTANEOUS
                && !other.is_explained
                && !other.crash.in_flight.contains(&fingerprint)
        });
        others.count() < UNEXPLAINED_CRASHES
    }

    /// Makes the certain assessments final that no longer change.
    pub(super) fn settle(&mut self, now: HostTime) {
        for (fingerprint, suspect) in &self.suspects {
            let Some(assessment) = suspect.assessment.filter(|assessment| assessment.is_certain)
            else {
                continue;
            };
            let is_settled = now.since(assessment.last_crash_at) >= SETTLING_TIME;
            if is_settled
                && (self.refused.len() < MAX_REFUSED || self.refused.contains_key(fingerprint))
            {
                self.refused.insert(*fingerprint, assessment.last_crash_at);
            }
        }
    }
}
