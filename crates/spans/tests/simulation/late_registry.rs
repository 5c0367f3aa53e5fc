//! A registry that still shows an earlier incarnation of an upstream for a while, as hosts learn of entries late and over
//! other hosts, also while they can't read the store.

use super::{Simulation, Upstream};
use skylarkdock_spans::table::Holder;
use skylarkdock_units::times::HostTime;

/// Longest time for which the entry of an earlier incarnation is shown after the next one has started, in milliseconds.
const MAX_ENTRY_AGE_MS: u64 = 3_000;
/// One step in so many shows the entry to a host that has suspended the holder.
const STEPS_PER_ENTRY: u32 = 10;

/// Random numbers of the late registry, so that the other faults do not depend on them.
pub(super) struct LateRegistry(fastrand::Rng);

impl LateRegistry {
    pub(super) fn new(seed: u64) -> Self {
        Self(fastrand::Rng::with_seed(seed.rotate_left(32)))
    }
}

impl Simulation {
    /// Resumes suspended holders of a host by entries that may have been written before the suspension.
    pub(super) fn resume_by_late_entries(&mut self, index: usize) {
        let now = self.now;
        for (holder, _) in self.hosts[index].renewals.suspended() {
            let upstream = &self.upstreams[self.index_of(&holder)];
            let is_shown = self.late_registry.0.u32(..STEPS_PER_ENTRY) == 0;
            if is_shown && may_be_shown(upstream, &holder, now) {
                self.hosts[index].renewals.resume(&holder, HostTime(now));
                self.fault_counts.late_entries += u64::from(upstream.born() != holder.born);
            }
        }
    }
}

fn may_be_shown(upstream: &Upstream, holder: &Holder, now: u64) -> bool {
    upstream.holder() == *holder
        || (upstream.former_born() == holder.born && now < upstream.started_at + MAX_ENTRY_AGE_MS)
}
