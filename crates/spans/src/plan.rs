//! Assignment of keys to upstreams: every key gets an available owner, and load is balanced by capacity.
//!
//! Load pattern: a few keys near each other get much of the traffic, and which ones changes within seconds. Moving keys
//! costs less than an overloaded owner of hot keys, so load is rebalanced whenever an upstream nears its capacity.

use crate::table::{FencingToken, FormerGrant, Holder, Span, Table};

/// Utilization below which rebalancing takes no keys from an upstream, even if the load is uneven; `fill_unused` takes
/// them regardless. Each move may fill its target up to this utilization, even if the mean is lower.
const MIN_BUSY_UTILIZATION: f32 = 0.55;
/// Multiple of the mean utilization that an upstream must reach to give keys away.
const MIN_IMBALANCE_RATIO: f32 = 1.2;
/// Number of upstreams per move: rebalancing makes at most one move in a plan for this many, or `MIN_MOVES` if that is
/// more.
const UPSTREAMS_PER_MOVE: usize = 8;
/// Smallest limit of the moves that rebalancing makes in a plan, for services with few upstreams.
const MIN_MOVES: usize = 8;
/// Number of upstreams per pending span: spans are merged, unused upstreams filled and load rebalanced only while at
/// most one span for this many awaits its grant, or `MIN_PENDING` if that is more.
const UPSTREAMS_PER_PENDING: usize = 6;
/// Smallest limit of the spans that may await their grants during such changes, for services with few upstreams.
const MIN_PENDING: usize = 10;
/// Share of the wanted load that a move must carry to be worth the interruption of service.
const MIN_MOVED_SHARE: f32 = 0.15;
/// Load assumed for a key beyond its measured requests, in requests per second. It keeps spans of idle keys of similar
/// width.
const IDLE_KEY_RATE: f32 = 0.0005;
/// Spans per upstream above which neighbouring spans of one owner are merged before load is rebalanced.
const MAX_SPANS_PER_UPSTREAM: usize = 4;

/// An upstream that can own keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Current incarnation of the upstream.
    pub holder: Holder,
    /// Requests per second that the upstream can serve.
    pub capacity: f32,
}

/// Returns the spans of a service that has no table yet. Each upstream gets keys in proportion to its capacity, or as many
/// as the others if none has any.
pub fn initial_spans(candidates: &[Candidate], fence: FencingToken) -> Vec<Span> {
    let sum: f32 = candidates.iter().map(|candidate| candidate.capacity).sum();
    let has_capacity = sum > 0.0;
    let total = if has_capacity { sum } else { as_f32(candidates.len()) };
    let mut spans = Vec::new();
    let mut first: u32 = 0;
    let mut assigned_capacity = 0.0;
    for (index, candidate) in candidates.iter().enumerate() {
        assigned_capacity += if has_capacity { candidate.capacity } else { 1.0 };
        let end = if index + 1 == candidates.len() {
            0x1_0000
        } else {
            boundary(assigned_capacity / total)
        };
        if end <= first {
            continue;
        }
        spans.push(Span {
            first: key(first),
            last: key(end - 1),
            owner: candidate.holder.clone(),
            fence,
            is_granted: false,
            former: Vec::new(),
        });
        first = end;
    }
    spans
}

/// Reassigns spans of upstreams that are no candidates any more. If there are none, and not too many spans await their
/// grants, merges spans; if there are none to merge, moves load to upstreams that own no span; if there is none to
/// move, rebalances load. Returns `None` if nothing changes.
///
/// `rates` has the requests per second of keys.
pub fn next_spans(
    table: &Table,
    candidates: &[Candidate],
    rates: &[(u16, f32)],
) -> Option<Vec<Span>> {
    if candidates.is_empty() {
        return None;
    }
    let mut draft = Draft::new(table, candidates, rates);
    let mut changed = draft.reassign_lost();
    let pending = table.spans.iter().filter(|span| !span.is_granted).count();
    if !changed && pending <= (candidates.len() / UPSTREAMS_PER_PENDING).max(MIN_PENDING) {
        changed = draft.merge_neighbours() || draft.fill_unused() || draft.rebalance();
    }
    changed.then_some(draft.spans)
}

struct Draft<'a> {
    spans: Vec<Span>,
    candidates: &'a [Candidate],
    /// Prefix sums of the key rates: element `k` is the load of all keys below `k`.
    prefix_sums: Vec<f32>,
    /// Load of each candidate, in the order of `candidates`.
    loads: Vec<f32>,
    fence: FencingToken,
}

impl<'a> Draft<'a> {
    fn new(table: &Table, candidates: &'a [Candidate], rates: &[(u16, f32)]) -> Self {
        let mut prefix_sums = vec![IDLE_KEY_RATE; 0x1_0001];
        prefix_sums[0] = 0.0;
        for (key, rate) in rates {
            prefix_sums[usize::from(*key) + 1] += rate;
        }
        let mut sum = 0.0;
        for element in &mut prefix_sums {
            sum += *element;
            *element = sum;
        }
        let spans = table.spans.clone();
        let mut draft =
            Self { spans, candidates, prefix_sums, loads: Vec::new(), fence: table.next_fence };
        draft.loads = candidates
            .iter()
            .map(|candidate| {
                let own = draft.spans.iter().filter(|span| span.owner == candidate.holder);
                own.map(|span| draft.load(span.first, span.last)).sum()
            })
            .collect();
        draft
    }

    fn load(&self, first: u16, last: u16) -> f32 {
        self.prefix_sums[usize::from(last) + 1] - self.prefix_sums[usize::from(first)]
    }

    fn utilization(&self, index: usize) -> f32 {
        self.loads[index] / self.candidates[index].capacity.max(0.001)
    }

    /// Reassigns the spans of upstreams that are not among the candidates; returns whether there were any.
    fn reassign_lost(&mut self) -> bool {
        let candidates = self.candidates;
        let has_candidate = |span: &Span| candidates.iter().any(|c| c.holder == span.owner);
        if self.spans.iter().all(has_candidate) {
            return false;
        }
        let spans = std::mem::take(&mut self.spans);
        let mut rest: Vec<Span> = Vec::new();
        for span in spans {
            if has_candidate(&span) {
                self.spans.push(span);
                continue;
            }
            // A new incarnation of the same upstream keeps the keys; otherwise a loaded span is split among several
            // upstreams.
            let is_restarted = self.candidates.iter().any(|c| c.holder.id == span.owner.id);
            let pieces = if is_restarted { vec![span] } else { self.split_evenly(span) };
            rest.extend(pieces);
        }
        rest.sort_by(|a, b| self.load(b.first, b.last).total_cmp(&self.load(a.first, a.last)));
        for span in rest {
            let load = self.load(span.first, span.last);
            let same = self.candidates.iter().position(|c| c.holder.id == span.owner.id);
            let target = same.unwrap_or_else(|| self.least_loaded(load));
            let moved = self.with_owner(span, target);
            self.loads[target] += load;
            self.spans.push(moved);
        }
        self.spans.sort_by_key(|span| span.first);
        true
    }

    /// Splits a span of a lost upstream into up to three pieces of about equal load.
    fn split_evenly(&self, span: Span) -> Vec<Span> {
        let mean: f32 = self.prefix_sums[0x1_0000] / as_f32(self.candidates.len());
        let load = self.load(span.first, span.last);
        let wanted = ((load / (mean * 0.34).max(0.001)).ceil()).clamp(1.0, 3.0);
        let mut pieces = Vec::new();
        let mut rest = span;
        let mut remaining = wanted;
        while remaining > 1.0 {
            let part = self.load(rest.first, rest.last) / remaining;
            let Some((piece, remainder)) = self.split_at_load(&rest, part) else { break };
            pieces.push(piece);
            rest = remainder;
            remaining -= 1.0;
        }
        pieces.push(rest);
        pieces
    }

    /// Splits a span in two, the first with about `load`; returns `None` if the second would be empty.
    fn split_at_load(&self, span: &Span, load: f32) -> Option<(Span, Span)> {
        let from = usize::from(span.first);
        let target = self.prefix_sums[from] + load;
        let range = &self.prefix_sums[from + 1..=usize::from(span.last) + 1];
        let count = range.partition_point(|sum| *sum <= target).max(1);
        let end = from + count;
        if end > usize::from(span.last) {
            return None;
        }
        let end = u32::try_from(end).ok()?;
        let piece = Span { last: key(end - 1), ..span.clone() };
        let rest = Span { first: key(end), ..span.clone() };
        Some((piece, rest))
    }

    /// Returns the index of the candidate whose utilization would be lowest with `load` added.
    fn least_loaded(&self, load: f32) -> usize {
        let after =
            |index: usize| (self.loads[index] + load) / self.candidates[index].capacity.max(0.001);
        (0..self.candidates.len()).min_by(|a, b| after(*a).total_cmp(&after(*b))).unwrap_or(0)
    }

    /// Returns the span with another owner. The present owner's grant becomes a former one, which has to end first. A later
    /// incarnation in the registry does not end it: its start is what a writer of the entry claims.
    fn with_owner(&self, span: Span, target: usize) -> Span {
        let mut former = span.former;
        former.push(FormerGrant { holder: span.owner, fence: span.fence });
        let owner = self.candidates[target].holder.clone();
        // An earlier grant to the new owner, or to an earlier incarnation at its address, needs no release: its new grant
        // covers the same keys and rules out renewals with smaller tokens.
        former.retain(|former| !former.holder.is_reached_as(&owner));
        Span { owner, fence: self.fence, is_granted: false, former, ..span }
    }

    /// Merges neighbouring granted spans of one owner if the table has too many spans; returns whether it merged any.
    fn merge_neighbours(&mut self) -> bool {
        if self.spans.len() <= self.candidates.len() * MAX_SPANS_PER_UPSTREAM {
            return false;
        }
        let mut merged: Vec<Span> = Vec::with_capacity(self.spans.len());
        let mut changed = false;
        for span in self.spans.drain(..) {
            match merged.last_mut() {
                Some(last) if last.owner == span.owner && last.is_granted && span.is_granted => {
                    // The owner holds both spans already, so keepers may renew the merged span without a release.
                    last.last = span.last;
                    last.fence = self.fence;
                    changed = true;
                }
                _ => merged.push(span),
            }
        }
        self.spans = merged;
        changed
    }

    /// Moves load from the busiest upstream to each one that owns no span; returns whether it moved any.
    fn fill_unused(&mut self) -> bool {
        let mut changed = false;
        for to in 0..self.candidates.len() {
            let holder = &self.candidates[to].holder;
            if self.spans.iter().any(|span| span.owner == *holder) {
                continue;
            }
            let busiest = (0..self.candidates.len())
                .filter(|index| *index != to)
                .max_by(|a, b| self.utilization(*a).total_cmp(&self.utilization(*b)));
            changed |= busiest.is_some_and(|from| self.move_load(from, to));
        }
        changed
    }

    /// Moves load from upstreams above the utilization limits to the least loaded ones; returns whether it moved any.
    fn rebalance(&mut self) -> bool {
        let capacity: f32 = self.candidates.iter().map(|candidate| candidate.capacity).sum();
        let mean = self.loads.iter().sum::<f32>() / capacity.max(0.001);
        let mut moves = 0;
        let mut is_exhausted = vec![false; self.candidates.len()];
        let max_moves = (self.candidates.len() / UPSTREAMS_PER_MOVE).max(MIN_MOVES);
        while moves < max_moves {
            let busiest = (0..self.candidates.len())
                .filter(|index| !is_exhausted[*index])
                .max_by(|a, b| self.utilization(*a).total_cmp(&self.utilization(*b)));
            let Some(from) = busiest else { break };
            let utilization = self.utilization(from);
            if utilization < MIN_BUSY_UTILIZATION || utilization < mean * MIN_IMBALANCE_RATIO {
                break;
            }
            let to = self.least_loaded(0.0);
            if to == from || !self.move_load(from, to) {
                is_exhausted[from] = true;
                continue;
            }
            moves += 1;
        }
        moves > 0
    }

    /// Moves a part of a span so that two upstreams get about the same utilization. Returns whether a part was found
    /// whose load justifies the move.
    fn move_load(&mut self, from: usize, to: usize) -> bool {
        let (from_capacity, to_capacity) =
            (self.candidates[from].capacity, self.candidates[to].capacity);
        let balancing_load = (self.loads[from] * to_capacity - self.loads[to] * from_capacity)
            / (from_capacity + to_capacity);
        // Fills the target up to the mean utilization, or `MIN_BUSY_UTILIZATION` if that is more, so that the same plan
        // spreads the rest over further upstreams instead of a later plan having to move it again. The bound does not
        // apply to a target that is already above it.
        let capacity: f32 = self.candidates.iter().map(|candidate| candidate.capacity).sum();
        let mean = self.loads.iter().sum::<f32>() / capacity.max(0.001);
        let spare_load = to_capacity * mean.max(MIN_BUSY_UTILIZATION) - self.loads[to];
        let wanted = if spare_load > 0.0 { balancing_load.min(spare_load) } else { balancing_load };
        let holder = &self.candidates[from].holder;
        let mut best: Option<(usize, u16, u16, f32)> = None;
        for (index, span) in self.spans.iter().enumerate() {
            if span.owner != *holder || !span.is_granted {
                continue;
            }
            for (first, last) in self.movable_parts(span, wanted) {
                let load = self.load(first, last);
                let is_better = best
                    .is_none_or(|(_, _, _, found)| (load - wanted).abs() < (found - wanted).abs());
                if load <= wanted * 1.3 && is_better {
                    best = Some((index, first, last, load));
                }
            }
        }
        let Some((index, first, last, load)) =
            best.filter(|(.., load)| *load >= wanted * MIN_MOVED_SHARE)
        else {
            return false;
        };
        self.reassign_part(index, first, last, to);
        self.loads[from] -= load;
        self.loads[to] += load;
        true
    }

    /// Returns the parts of a span that may be moved: the whole, those at its start and end with about the wanted
    /// load, and its hottest key if that has much of the wanted load.
    fn movable_parts(&self, span: &Span, wanted: f32) -> Vec<(u16, u16)> {
        let mut parts = vec![(span.first, span.last)];
        if let Some((start, _)) = self.split_at_load(span, wanted) {
            parts.push((start.first, start.last));
            if start.last > start.first {
                parts.push((start.first, start.last - 1));
            }
        }
        let load = self.load(span.first, span.last);
        if let Some((_, end)) = self.split_at_load(span, load - wanted) {
            parts.push((end.first, end.last));
            if end.last > end.first {
                parts.push((end.first + 1, end.last));
            }
        }
        if let Some((hottest, rate)) = self.hottest(span)
            && rate > wanted * 0.3
        {
            parts.push((hottest, hottest));
        }
        parts
    }

    fn hottest(&self, span: &Span) -> Option<(u16, f32)> {
        let rate = |key: u16| self.load(key, key);
        (span.first..=span.last).map(|key| (key, rate(key))).max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Splits a span so that the keys from `first` to `last` get another owner and the rest stays with the present one.
    fn reassign_part(&mut self, index: usize, first: u16, last: u16, to: usize) {
        let span = self.spans.remove(index);
        let part = Span { first, last, ..span.clone() };
        let moved = self.with_owner(part, to);
        let mut insert_at = index;
        if first > span.first {
            self.spans.insert(insert_at, Span { last: first - 1, ..span.clone() });
            insert_at += 1;
        }
        self.spans.insert(insert_at, moved);
        if last < span.last {
            self.spans.insert(insert_at + 1, Span { first: last + 1, ..span });
        }
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a share of all keys")]
fn boundary(share: f32) -> u32 {
    ((share * 65_536.0) as u32).min(0x1_0000)
}

fn key(number: u32) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}

#[expect(clippy::cast_precision_loss, reason = "counts of upstreams")]
const fn as_f32(count: usize) -> f32 {
    count as f32
}
