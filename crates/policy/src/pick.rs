//! Choice of an upstream for requests that any of them may run, such as those for a range without an owner.

use crate::health::Standing;

/// An upstream that may be picked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Its ejection state.
    pub standing: Standing,
    /// Whether it is in this host's region.
    pub is_same_region: bool,
    /// Requests in flight and waiting.
    pub outstanding: u32,
    /// Limit on its concurrent requests; at 0 it is never picked.
    pub limit: u32,
    /// Weight from its own load and health reports, from 0 to 1.
    pub preference: f32,
}

impl Candidate {
    fn is_runnable(&self) -> bool {
        self.standing != Standing::Ejected && self.limit > 0
    }

    /// Returns the relative load after one more request; the candidate with the lowest is picked.
    fn cost(&self) -> f32 {
        let preference = self.preference.max(f32::EPSILON);
        (to_f32(self.outstanding) + 1.0) / to_f32(self.limit) / preference
    }
}

/// Picks the less loaded of two random candidates (power of two choices). Candidates of other regions are considered
/// only if none of this host's region can run a request.
///
/// `random` holds two uniformly distributed numbers. Returns `None` if no candidate can run a request.
pub fn pick(candidates: &[Candidate], random: [u32; 2]) -> Option<usize> {
    let is_local = |candidate: &Candidate| candidate.is_same_region && candidate.is_runnable();
    pick_eligible(candidates, is_local, random)
        .or_else(|| pick_eligible(candidates, |candidate| candidate.is_runnable(), random))
}

fn pick_eligible(
    candidates: &[Candidate],
    is_eligible: impl Fn(&Candidate) -> bool,
    random: [u32; 2],
) -> Option<usize> {
    let count = candidates.iter().filter(|candidate| is_eligible(candidate)).count();
    let first = scale_to_index(count, random[0])?;
    let second = (first + 1 + scale_to_index(count - 1, random[1]).unwrap_or(0)) % count;
    let eligible = candidates.iter().enumerate().filter(|(_, candidate)| is_eligible(candidate));
    let sampled =
        eligible.enumerate().filter(|(position, _)| *position == first || *position == second);
    let sampled = sampled.map(|(_, candidate)| candidate);
    sampled.min_by(|a, b| a.1.cost().total_cmp(&b.1.cost())).map(|(index, _)| index)
}

/// Scales a random number to an index below `count`; `None` if `count` is 0.
fn scale_to_index(count: usize, random: u32) -> Option<usize> {
    let count = u64::try_from(count).ok().filter(|count| *count > 0)?;
    usize::try_from((u64::from(random) * count) >> u32::BITS).ok()
}

#[allow(clippy::cast_precision_loss)]
fn to_f32(count: u32) -> f32 {
    count as f32
}
