//! Balances units of load over upstreams in proportion to their slots and moves as few as possible.

use crate::score::score;
use skylarkdock_records::service::{Service, Upstream};
use skylarkdock_units::ids::UpstreamId;
use std::cmp::Reverse;
use std::collections::BTreeMap;

const PERMILLE: u64 = 1_000;
/// Placement passes before the best result so far is used.
const MAX_PASSES: usize = 6;

/// A range or hot key; exactly one upstream owns it.
pub(crate) struct LoadUnit {
    /// Identifies the unit within the service; input of the rendezvous score.
    pub(crate) name: String,
    /// Load of the unit, at least 1.
    pub(crate) weight: u64,
    /// The current owning upstream, if any.
    pub(crate) upstream: Option<UpstreamId>,
}

/// Returns the owning upstream of each unit, in the order of `units`; `None` if no upstream is
/// usable.
pub(crate) fn balance(
    service: &Service,
    mut units: Vec<LoadUnit>,
    usable: &dyn Fn(&Upstream) -> bool,
    slack_percent: u64,
) -> Vec<Option<UpstreamId>> {
    let candidates: Vec<&Upstream> = service.upstreams.iter().filter(|u| usable(u)).collect();
    let shares = Shares::new(&units, &candidates, slack_percent);
    let mut best: Option<(u64, Vec<Option<UpstreamId>>)> = None;
    // A heavy unit that fits nowhere overloads an upstream; the next pass moves that upstream's
    // light units away.
    for _ in 0..MAX_PASSES {
        let (excess, owners) = place_units(service, &units, &candidates, &shares);
        for (unit, owner) in units.iter_mut().zip(&owners) {
            unit.upstream.clone_from(owner);
        }
        if best.as_ref().is_none_or(|(lowest, _)| excess < *lowest) {
            best = Some((excess, owners));
        }
        if excess == 0 {
            break;
        }
    }
    best.map(|(_, owners)| owners).unwrap_or_default()
}

/// Places all units once. Also returns by how much the most loaded upstream exceeds its upper
/// bound, in thousandths of its share.
fn place_units(
    service: &Service,
    units: &[LoadUnit],
    candidates: &[&Upstream],
    shares: &Shares,
) -> (u64, Vec<Option<UpstreamId>>) {
    let mut placement =
        Placement { service, units, loads: BTreeMap::new(), owners: vec![None; units.len()] };
    let mut unplaced = placement.retain_units(candidates, shares);
    unplaced.sort_by_key(|index| (Reverse(units[*index].weight), *index));
    for index in unplaced {
        placement.place(index, candidates, shares);
    }
    let overload = |upstream: &&Upstream| {
        placement.load(&upstream.id).saturating_sub(shares.upper_bound(upstream)) * PERMILLE
            / shares.share_ceil(upstream).max(1)
    };
    let excess = candidates.iter().map(overload).max().unwrap_or(0);
    (excess, placement.owners)
}

/// Each upstream's share of the total load, in proportion to its slots.
struct Shares {
    total_weight: u64,
    total_slots: u64,
    slack_percent: u64,
}

impl Shares {
    fn new(units: &[LoadUnit], candidates: &[&Upstream], slack_percent: u64) -> Self {
        let total_weight = units.iter().map(|unit| unit.weight).sum();
        let total_slots = candidates.iter().map(|upstream| u64::from(upstream.slots)).sum();
        Self { total_weight, total_slots, slack_percent }
    }

    /// Returns an upstream's share, rounded up.
    fn share_ceil(&self, upstream: &Upstream) -> u64 {
        (self.total_weight * u64::from(upstream.slots)).div_ceil(self.total_slots.max(1))
    }

    /// Returns an upstream's share, rounded down.
    fn share_floor(&self, upstream: &Upstream) -> u64 {
        self.total_weight * u64::from(upstream.slots) / self.total_slots.max(1)
    }

    /// Returns the load up to which an upstream retains its units, unless another is below its
    /// lower bound.
    fn upper_bound(&self, upstream: &Upstream) -> u64 {
        self.share_ceil(upstream) * (100 + self.slack_percent) / 100
    }

    /// Returns the load below which an upstream is underloaded.
    fn lower_bound(&self, upstream: &Upstream) -> u64 {
        self.share_ceil(upstream) * 100_u64.saturating_sub(self.slack_percent) / 100
    }

    /// Returns the load that upstreams retain, in thousandths of their share, so that the load
    /// above it is enough to bring the underloaded upstreams up to their share.
    fn retained_permille(&self, loads: &[(&Upstream, u64)]) -> u64 {
        let max_permille = PERMILLE + self.slack_percent * PERMILLE / 100;
        let underloaded =
            loads.iter().filter(|(upstream, load)| *load < self.lower_bound(upstream));
        let deficit: u64 = underloaded
            .map(|(upstream, load)| self.share_floor(upstream).saturating_sub(*load))
            .sum();
        let surplus_above = |retained_permille: u64| -> u64 {
            let surpluses = loads.iter().map(|(upstream, load)| {
                load.saturating_sub(self.share_floor(upstream) * retained_permille / PERMILLE)
            });
            surpluses.sum()
        };
        (PERMILLE..=max_permille)
            .rev()
            .find(|retained_permille| surplus_above(*retained_permille) >= deficit)
            .unwrap_or(PERMILLE)
    }
}

/// The load that an upstream gives away.
struct Surplus {
    /// Load above what the upstream retains.
    excess: u64,
    /// The largest amount by which any upstream is below its share.
    largest_deficit: u64,
}

struct Placement<'a> {
    service: &'a Service,
    units: &'a [LoadUnit],
    loads: BTreeMap<UpstreamId, u64>,
    owners: Vec<Option<UpstreamId>>,
}

impl Placement<'_> {
    fn load(&self, id: &UpstreamId) -> u64 {
        self.loads.get(id).copied().unwrap_or(0)
    }

    fn assign(&mut self, index: usize, id: &UpstreamId) {
        *self.loads.entry(id.clone()).or_default() += self.units[index].weight;
        self.owners[index] = Some(id.clone());
    }

    fn score(&self, index: usize, id: &UpstreamId) -> u64 {
        score(&[self.service.name.as_str(), &self.units[index].name], id.as_str())
    }

    /// Assigns the units that stay to their current upstreams and returns the units that must move.
    fn retain_units(&mut self, candidates: &[&Upstream], shares: &Shares) -> Vec<usize> {
        let mut unplaced = Vec::new();
        let mut by_upstream: BTreeMap<&UpstreamId, Vec<usize>> = BTreeMap::new();
        let units = self.units;
        for (index, unit) in units.iter().enumerate() {
            match candidates.iter().find(|upstream| Some(&upstream.id) == unit.upstream.as_ref()) {
                Some(upstream) => by_upstream.entry(&upstream.id).or_default().push(index),
                None => unplaced.push(index),
            }
        }
        let load_of = |own: &[usize]| own.iter().map(|index| units[*index].weight).sum::<u64>();
        let own = |id: &UpstreamId| by_upstream.get(id).cloned().unwrap_or_default();
        let loads: Vec<_> = candidates.iter().map(|u| (*u, load_of(&own(&u.id)))).collect();
        let retained_permille = shares.retained_permille(&loads);
        let deficit = |(upstream, load): &(&Upstream, u64)| {
            shares.share_floor(upstream).saturating_sub(*load)
        };
        let largest_deficit = loads.iter().map(deficit).max().unwrap_or(0);
        for (upstream, load) in loads {
            let is_overloaded = load > shares.upper_bound(upstream);
            let kept = shares.share_floor(upstream)
                * if is_overloaded { PERMILLE } else { retained_permille }
                / PERMILLE;
            let surplus = Surplus { excess: load.saturating_sub(kept), largest_deficit };
            unplaced.extend(self.retain_upstream_units(upstream, own(&upstream.id), surplus));
        }
        unplaced
    }

    /// Assigns the units that stay to their upstream and returns those that must move to remove its
    /// excess: the heaviest ones that fit both the excess and the largest deficit, and the lightest
    /// other one for what is left.
    fn retain_upstream_units(
        &mut self,
        upstream: &Upstream,
        mut own: Vec<usize>,
        surplus: Surplus,
    ) -> Vec<usize> {
        own.sort_by_key(|index| {
            (Reverse(self.units[*index].weight), self.score(*index, &upstream.id))
        });
        let (mut kept, mut unplaced) = (Vec::new(), Vec::new());
        let mut excess = surplus.excess;
        for index in own {
            let weight = self.units[index].weight;
            if weight <= excess.min(surplus.largest_deficit) {
                excess -= weight;
                unplaced.push(index);
            } else {
                kept.push(index);
            }
        }
        if excess > 0 && kept.len() > 1 {
            unplaced.extend(kept.pop());
        }
        kept.into_iter().for_each(|index| self.assign(index, &upstream.id));
        unplaced
    }

    /// Places a unit on the upstream with the highest score among those that stay within their
    /// share. If there is none, those that stay within the share rounded up are tried, its current
    /// upstream first. Otherwise the least loaded upstream is used, its current one in a tie.
    fn place(&mut self, index: usize, candidates: &[&Upstream], shares: &Shares) {
        let LoadUnit { weight, upstream: own, .. } = &self.units[index];
        let load_after = |upstream: &Upstream| self.load(&upstream.id) + weight;
        let is_own = |upstream: &Upstream| own.as_ref() == Some(&upstream.id);
        let within_share = candidates.iter().filter(|u| load_after(u) <= shares.share_floor(u));
        let within_share_ceil = candidates.iter().filter(|u| load_after(u) <= shares.share_ceil(u));
        let relative_load = |upstream: &Upstream| {
            let load = self.load(&upstream.id) * PERMILLE / u64::from(upstream.slots.max(1));
            (load, !is_own(upstream))
        };
        let best = within_share.max_by_key(|u| self.score(index, &u.id));
        let chosen = best
            .or_else(|| within_share_ceil.max_by_key(|u| (is_own(u), self.score(index, &u.id))))
            .or_else(|| candidates.iter().min_by_key(|u| relative_load(u)));
        if let Some(id) = chosen.map(|upstream| upstream.id.clone()) {
            self.assign(index, &id);
        }
    }
}
