//! Claims of other hosts that they have a newer configuration, on their way from the traffic thread, which gets the notices, to
//! the control thread, which fetches the configuration.

use event_listener::{Event, EventListener};
use skylarkdock_freshness::versions::{Claim, Origin};
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::times::{HostTime, Millis};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Number of hosts whose claims are passed on.
const MAX_CLAIMANTS: usize = 512;

/// Difference in age up to which a repeated claim says nothing new.
const AGE_TOLERANCE: Millis = Millis(50);

/// Newer version than the one in force that a host claims to have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewerVersion {
    /// Host that has the version.
    pub origin: Origin,
    /// The version.
    pub version: u64,
    /// Earliest time at which it may have been published.
    pub since: HostTime,
}

impl NewerVersion {
    /// Returns whether another claim of the same host says nothing new. One that waited on its way, as on a host that was
    /// suspended, is followed by some that know the version to be older.
    fn covers(&self, other: &Self) -> bool {
        self.version >= other.version && self.since <= other.since + AGE_TOLERANCE
    }

    /// Adds another claim of the same host. Of its newer versions, the newest is asked for, and the first one says since when
    /// the one in force is out of date.
    fn merge(&mut self, other: &Self) {
        self.version = self.version.max(other.version);
        self.since = self.since.min(other.since);
    }
}

#[derive(Debug, Default)]
struct State {
    /// Version that the traffic thread applies; zero if none.
    applied: u64,
    /// What each host was heard to have that is newer than the version in force: the newest version, and the earliest time of
    /// all.
    known: FastMap<Origin, NewerVersion>,
    /// Claims that the control thread has not taken yet.
    added: Vec<NewerVersion>,
    /// Whether a call for a configuration is under way, or has brought one that the traffic thread does not apply yet.
    is_fetching: bool,
}

/// Claims of newer versions, shared by the threads of a host.
#[derive(Debug, Default)]
pub struct VersionClaims {
    state: Mutex<State>,
    /// Notified when a host is heard to have a newer version than before.
    has_added: Event,
    /// Notified when a call for a configuration has failed, or a configuration is applied.
    fetch_ended: Event,
}

impl VersionClaims {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds those claims of a notice that are newer than the version in force; none on a host without a configuration, which
    /// has other ways to its first one and is told of the version again. Repeated ones do not wake the control thread,
    /// as notices arrive from all hosts in each round.
    pub fn add(&self, claims: &[Claim], in_force: u64, now: HostTime) {
        if in_force == 0 || claims.iter().all(|claim| claim.version <= in_force) {
            return;
        }
        let mut state = self.lock();
        let State { known, added, .. } = &mut *state;
        known.retain(|_, claim| claim.version > in_force);
        let count = added.len();
        for Claim { origin, version, age } in claims {
            let claim = NewerVersion { origin: *origin, version: *version, since: now - *age };
            let is_known = known.get(origin).is_some_and(|known| known.covers(&claim));
            let has_room = known.len() < MAX_CLAIMANTS || known.contains_key(origin);
            if *version > in_force && !is_known && has_room {
                known.entry(*origin).or_insert(claim).merge(&claim);
                added.push(claim);
            }
        }
        let has_added = added.len() > count;
        drop(state);
        if has_added {
            self.has_added.notify(usize::MAX);
        }
    }

    /// Takes the claims that were added since they were last taken, of versions newer than the applied one. If there are
    /// any, a call for a configuration counts as under way until [`Self::on_fetch_end`] or [`Self::on_applied`] is called.
    pub fn take(&self) -> Vec<NewerVersion> {
        let mut state = self.lock();
        let mut added = std::mem::take(&mut state.added);
        added.retain(|claim| claim.version > state.applied);
        state.is_fetching |= !added.is_empty();
        added
    }

    /// Records that a call for a configuration begins.
    pub fn on_fetch(&self) {
        self.lock().is_fetching = true;
    }

    /// Records that a call for a configuration has failed.
    pub fn on_fetch_end(&self) {
        self.lock().is_fetching = false;
        self.fetch_ended.notify(usize::MAX);
    }

    /// Records that the traffic thread applies a newer configuration.
    pub fn on_applied(&self, version: u64) {
        self.lock().applied = version;
        self.on_fetch_end();
    }

    /// Returns whether a newer configuration may be here soon: a call for it is under way, or begins for claims that were
    /// just added.
    pub fn is_fetching(&self) -> bool {
        let state = self.lock();
        state.is_fetching || !state.added.is_empty()
    }

    /// Returns a listener that is notified when a call for a configuration has failed, or one is applied, from now on.
    pub fn listen_for_end(&self) -> EventListener {
        self.fetch_ended.listen()
    }

    /// Returns a listener that is notified when claims are added from now on.
    pub fn listen(&self) -> EventListener {
        self.has_added.listen()
    }
}
