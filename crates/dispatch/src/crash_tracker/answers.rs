//! Requests that were answered recently, in a table of fixed size.

use super::Fingerprint;
use skylarkdock_units::times::HostTime;

/// Number of entries; a power of two. A newer answer replaces the one in its place.
const ENTRIES: usize = 4_096;

/// When requests were last answered, as far as later answers have not replaced them.
#[derive(Debug, Default)]
pub(super) struct RecentAnswers {
    entries: Vec<Option<(Fingerprint, HostTime)>>,
}

impl RecentAnswers {
    /// Records an answer.
    pub(super) fn record(&mut self, fingerprint: Fingerprint, at: HostTime) {
        if self.entries.is_empty() {
            self.entries = vec![None; ENTRIES];
        }
        let entry = &mut self.entries[index(fingerprint)];
        match entry {
            Some((known, known_at)) if *known == fingerprint => *known_at = at.max(*known_at),
            _ => *entry = Some((fingerprint, at)),
        }
    }

    /// Returns when a request was last answered, if that is known.
    pub(super) fn get(&self, fingerprint: Fingerprint) -> Option<HostTime> {
        let (known, at) = (*self.entries.get(index(fingerprint))?)?;
        (known == fingerprint).then_some(at)
    }
}

fn index(fingerprint: Fingerprint) -> usize {
    usize::try_from(fingerprint.0 % ENTRIES as u64).unwrap_or_default()
}
