//! What upstreams asked of this host, shared by its threads: both send requests, this host's own and those that it passes
//! on for other hosts.

use crate::clock;
use skylarkdock_dispatch::notices::{CurrentNotices, HostNotices, Notices, Withheld};
use skylarkdock_dispatch::upstream::Upstream;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Time after which the notices of an upstream that is not listed are forgotten. Entries may come back, as the store
/// drops those of upstreams that it has not heard of for a while.
const FORGET_AFTER: Millis = Millis(120_000);

#[derive(Debug, Default)]
struct State {
    notices: HostNotices,
    /// When each incarnation that gave a notice was last listed, or gave one.
    seen_at: FastMap<(UpstreamId, u64), HostTime>,
    /// Number of notices that were recorded.
    count: u64,
}

/// Notices of upstreams, shared by the threads of a host. An incarnation of an upstream is an id and the time of its
/// start.
#[derive(Debug, Default)]
pub struct SharedNotices(Mutex<State>);

impl SharedNotices {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the notices of an answer that has just arrived from an incarnation of an upstream. Returns whether a rest
    /// began or the upstream had not said before that it leaves.
    pub fn record(&self, id: &UpstreamId, born: u64, notices: Notices) -> bool {
        if notices == Notices::default() {
            return false;
        }
        let now = clock::now();
        let mut state = self.lock();
        let was_resting = state.notices.resting_until(id, born, now).is_some();
        let was_leaving = state.notices.leaving_since(id, born).is_some();
        state.notices.record(id, born, notices, now);
        state.count += 1;
        state.seen_at.insert((id.clone(), born), now);
        let until = state.notices.resting_until(id, born, now);
        let is_leaving = state.notices.leaving_since(id, born).is_some();
        drop(state);
        if let (false, Some(until)) = (was_resting, until) {
            log::info!(upstream:% = id, rest_ms = until.since(now).0; "notices: an upstream asked for rest");
        }
        if is_leaving && !was_leaving {
            log::info!(upstream:% = id; "notices: an upstream said that it leaves");
        }
        was_resting != until.is_some() || was_leaving != is_leaving
    }

    /// Checks whether a request may be sent to an incarnation of an upstream now.
    ///
    /// # Errors
    ///
    /// Fails as [`HostNotices::may_send`] does.
    pub fn may_send(&self, id: &UpstreamId, born: u64, drain_time: Millis) -> Result<(), Withheld> {
        self.lock().notices.may_send(id, born, drain_time, clock::now())
    }

    /// Returns the remaining rest that an incarnation of an upstream asked for, if it has not ended.
    pub fn remaining_rest(&self, id: &UpstreamId, born: u64) -> Option<Millis> {
        let now = clock::now();
        let until = self.lock().notices.resting_until(id, born, now)?;
        Some(until.since(now))
    }

    /// Returns whether an incarnation of an upstream has said that it leaves.
    pub fn is_leaving(&self, id: &UpstreamId, born: u64) -> bool {
        self.lock().notices.leaving_since(id, born).is_some()
    }

    /// Tells the state of an upstream what its incarnation `born` asked for.
    pub fn apply_to(&self, upstream: &mut Upstream, born: u64) {
        let state = self.lock();
        let id = upstream.info().id.clone();
        if let Some(until) = state.notices.resting_until(&id, born, clock::now()) {
            upstream.on_rest(until);
        }
        if let Some(since) = state.notices.leaving_since(&id, born) {
            upstream.on_leaving_notice(since);
        }
    }

    /// Calls `visit` with what each incarnation that asked for something wants now.
    pub fn for_each(&self, visit: impl FnMut(CurrentNotices<'_>)) {
        self.lock().notices.iter(clock::now()).for_each(visit);
    }

    /// Returns the number of notices that were recorded.
    pub fn count(&self) -> u64 {
        self.lock().count
    }

    /// Forgets incarnations that have not been listed for `FORGET_AFTER`. `is_listed` is given an id and the time of a
    /// start.
    pub fn forget_unlisted(&self, is_listed: impl Fn(&UpstreamId, u64) -> bool) {
        let now = clock::now();
        let State { notices, seen_at, .. } = &mut *self.lock();
        seen_at.retain(|(id, born), at| {
            if is_listed(id, *born) {
                *at = now;
            }
            now.since(*at) < FORGET_AFTER
        });
        notices.retain(|id, born| seen_at.contains_key(&(id.clone(), born)));
    }
}
