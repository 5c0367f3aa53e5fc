//! Calls that an upstream refuses before it looks at them, so that it goes on holding its keys.

use super::{Simulation, UPSTREAMS};
use skylarkdock_spans::end::{GrantEnd, NotEnded};
use skylarkdock_spans::renewal::CallEnd;
use skylarkdock_spans::table::Holder;
use skylarkdock_units::ids::UpstreamId;

/// One step in so many begins a time in which an upstream refuses calls.
const STEPS_PER_TIME: u32 = 120;

impl Simulation {
    pub(super) fn start_refusals(&mut self) {
        if self.trouble_rng.u32(..STEPS_PER_TIME) == 0 {
            let index = self.trouble_rng.usize(..UPSTREAMS);
            self.upstreams[index].refuses_until = self.now + self.trouble_rng.u64(300..6_000);
        }
    }

    /// Returns whether an upstream refuses a call. It refuses three of four.
    fn refuses(&mut self, index: usize) -> bool {
        self.now < self.upstreams[index].refuses_until && self.trouble_rng.u32(..4) > 0
    }

    /// Returns the answer to a grant that an upstream refuses.
    pub(super) fn refuse_grant(&mut self, index: usize) -> Option<CallEnd> {
        if !self.refuses(index) {
            return None;
        }
        self.fault_counts.refused_grants += 1;
        Some(if self.trouble_rng.bool() { CallEnd::Gone } else { CallEnd::Refused })
    }

    /// Returns what a host learns from a release that an upstream refuses.
    pub(super) fn refuse_release(
        &mut self,
        index: usize,
        holder: &Holder,
    ) -> Option<Result<GrantEnd, NotEnded>> {
        if !self.refuses(index) {
            return None;
        }
        self.fault_counts.refused_releases += 1;
        let own = self.upstreams[index].holder().id;
        let name = Some(own).filter(|_| self.trouble_rng.u32(..3) == 0);
        Some(self.judge_refusal(holder, name.as_ref()))
    }

    /// Returns what the refusal of a release shows, with the name of the process that gave it.
    pub(super) fn judge_refusal(
        &self,
        holder: &Holder,
        name: Option<&UpstreamId>,
    ) -> Result<GrantEnd, NotEnded> {
        match name {
            Some(found) if self.safeguards.compares_names => {
                GrantEnd::replaced(holder, found).ok_or(NotEnded::Refused)
            }
            None if self.safeguards.doubts_bare_refusals => Err(NotEnded::Refused),
            // Without the safeguard, the refusal counts as the end.
            Some(_) | None => Ok(GrantEnd::released(None)),
        }
    }
}
