//! Choice of owners: every key with an upstream that is there, and load in proportion to what each can carry.
//!
//! Load pattern: a few keys near each other get much of the traffic, and which ones changes within seconds. Moving keys
//! is cheap beside serving a hot key badly, so load is evened out whenever an upstream nears its limit.

use crate::table::{FencingToken, FormerGrant, Holder, Span, Table};

/// Utilization below which an upstream is left alone however uneven the load.
const BUSY: f32 = 0.55;
/// How far above the mean utilization an upstream must be to give keys away.
const UNEVEN: f32 = 1.2;
/// Most spans that change hands in one plan for the sake of load: one for so many upstreams, and at least so many.
const UPSTREAMS_PER_MOVE: usize = 8;
const MIN_MOVES: usize = 8;
/// Spans on their way from one upstream to another above which load isn't evened out further, the same way.
const UPSTREAMS_PER_PENDING: usize = 6;
const MIN_PENDING: usize = 10;
/// Part of the wanted load that a move must carry to be worth the interruption.
const MIN_PART: f32 = 0.15;
/// Weight of a key that got no requests, in requests per second. Keeps spans of quiet keys even in width.
const QUIET_RATE: f32 = 0.0005;
/// Most spans for each upstream; beyond, neighbouring spans of one owner are joined first.
const MAX_SPANS_PER_UPSTREAM: usize = 4;

/// An upstream that can own keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The upstream's life.
    pub holder: Holder,
    /// Requests per second that it can carry.
    pub capacity: f32,
}

/// Returns the spans of a service that has no table yet, of equal capacity shares.
pub fn first(candidates: &[Candidate], fence: FencingToken) -> Vec<Span> {
    let total: f32 = candidates.iter().map(|candidate| candidate.capacity).sum();
    if candidates.is_empty() || total <= 0.0 {
        return Vec::new();
    }
    let mut spans = Vec::new();
    let mut first: u32 = 0;
    let mut carried = 0.0;
    for (index, candidate) in candidates.iter().enumerate() {
        carried += candidate.capacity;
        let end = if index + 1 == candidates.len() { 0x1_0000 } else { boundary(carried / total) };
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

/// Returns the table's spans with owners that are there and evenly loaded, `None` if nothing is to change.
///
/// `rates` has the requests per second of keys. `is_dead` says of a life that it has ended for sure.
pub fn next(
    table: &Table,
    candidates: &[Candidate],
    rates: &[(u16, f32)],
    is_dead: impl Fn(&Holder) -> bool,
) -> Option<Vec<Span>> {
    if candidates.is_empty() {
        return None;
    }
    let mut draft = Draft::new(table, candidates, rates);
    let mut changed = draft.rehome(&is_dead);
    let pending = table.spans.iter().filter(|span| !span.is_granted).count();
    if !changed && pending <= (candidates.len() / UPSTREAMS_PER_PENDING).max(MIN_PENDING) {
        changed = draft.join() || draft.fill_empty() || draft.even_out();
    }
    changed.then_some(draft.spans)
}

struct Draft<'a> {
    spans: Vec<Span>,
    candidates: &'a [Candidate],
    /// Sums of the rates: element `k` is the load of the keys below `k`.
    sums: Vec<f32>,
    loads: Vec<f32>,
    fence: FencingToken,
}

impl<'a> Draft<'a> {
    fn new(table: &Table, candidates: &'a [Candidate], rates: &[(u16, f32)]) -> Self {
        let mut sums = vec![QUIET_RATE; 0x1_0001];
        sums[0] = 0.0;
        for (key, rate) in rates {
            sums[usize::from(*key) + 1] += rate;
        }
        let mut sum = 0.0;
        for element in &mut sums {
            sum += *element;
            *element = sum;
        }
        let spans = table.spans.clone();
        let mut draft =
            Self { spans, candidates, sums, loads: Vec::new(), fence: table.next_fence };
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
        self.sums[usize::from(last) + 1] - self.sums[usize::from(first)]
    }

    fn utilization(&self, index: usize) -> f32 {
        self.loads[index] / self.candidates[index].capacity.max(0.001)
    }

    /// Gives the spans of upstreams that left to others; returns whether there were any.
    fn rehome(&mut self, is_dead: &impl Fn(&Holder) -> bool) -> bool {
        let candidates = self.candidates;
        let is_there = |span: &Span| candidates.iter().any(|c| c.holder == span.owner);
        if self.spans.iter().all(is_there) {
            return false;
        }
        let spans = std::mem::take(&mut self.spans);
        let mut rest: Vec<Span> = Vec::new();
        for span in spans {
            if is_there(&span) {
                self.spans.push(span);
                continue;
            }
            // A new life of the same upstream keeps its keys; else wide spans are split among several.
            let reborn = self.candidates.iter().any(|c| c.holder.id == span.owner.id);
            let pieces = if reborn { vec![span] } else { self.pieces(span) };
            rest.extend(pieces);
        }
        rest.sort_by(|a, b| self.load(b.first, b.last).total_cmp(&self.load(a.first, a.last)));
        for span in rest {
            let load = self.load(span.first, span.last);
            let same = self.candidates.iter().position(|c| c.holder.id == span.owner.id);
            let target = same.unwrap_or_else(|| self.least_loaded(load));
            let moved = self.moved(span, target, is_dead);
            self.loads[target] += load;
            self.spans.push(moved);
        }
        self.spans.sort_by_key(|span| span.first);
        true
    }

    /// Splits a span that has no owner into pieces of about equal load.
    fn pieces(&self, span: Span) -> Vec<Span> {
        let mean: f32 = self.sums[0x1_0000] / as_f32(self.candidates.len());
        let load = self.load(span.first, span.last);
        let wanted = ((load / (mean * 0.34).max(0.001)).ceil()).clamp(1.0, 3.0);
        let mut pieces = Vec::new();
        let mut rest = span;
        let mut left = wanted;
        while left > 1.0 {
            let part = self.load(rest.first, rest.last) / left;
            let Some((piece, remainder)) = self.cut(&rest, part) else { break };
            pieces.push(piece);
            rest = remainder;
            left -= 1.0;
        }
        pieces.push(rest);
        pieces
    }

    /// Cuts a piece with about `load` off the start of a span.
    fn cut(&self, span: &Span, load: f32) -> Option<(Span, Span)> {
        let from = usize::from(span.first);
        let target = self.sums[from] + load;
        let range = &self.sums[from + 1..=usize::from(span.last) + 1];
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

    fn least_loaded(&self, load: f32) -> usize {
        let after =
            |index: usize| (self.loads[index] + load) / self.candidates[index].capacity.max(0.001);
        (0..self.candidates.len()).min_by(|a, b| after(*a).total_cmp(&after(*b))).unwrap_or(0)
    }

    /// Returns the span with another owner; the present one has to let go first, if it may hold the keys.
    fn moved(&self, span: Span, target: usize, is_dead: &impl Fn(&Holder) -> bool) -> Span {
        let mut former = span.former;
        former.push(FormerGrant { holder: span.owner, fence: span.fence });
        former.retain(|former| !is_dead(&former.holder));
        let owner = self.candidates[target].holder.clone();
        // What the new owner itself may hold needs no release: its own later grant covers it.
        former.retain(|former| former.holder != owner);
        Span { owner, fence: self.fence, is_granted: false, former, ..span }
    }

    /// Joins neighbouring spans of one owner if there are too many spans; returns whether it did.
    fn join(&mut self) -> bool {
        if self.spans.len() <= self.candidates.len() * MAX_SPANS_PER_UPSTREAM {
            return false;
        }
        let mut joined: Vec<Span> = Vec::with_capacity(self.spans.len());
        let mut changed = false;
        for span in self.spans.drain(..) {
            match joined.last_mut() {
                Some(last) if last.owner == span.owner && last.is_granted && span.is_granted => {
                    // The owner holds both, so that keepers may grant the joined span at once.
                    last.last = span.last;
                    last.fence = self.fence;
                    changed = true;
                }
                _ => joined.push(span),
            }
        }
        self.spans = joined;
        changed
    }

    /// Gives a share to upstreams that own nothing; returns whether there were any.
    fn fill_empty(&mut self) -> bool {
        let mut changed = false;
        for to in 0..self.candidates.len() {
            let holder = &self.candidates[to].holder;
            if self.spans.iter().any(|span| span.owner == *holder) {
                continue;
            }
            let busiest = (0..self.candidates.len())
                .filter(|index| *index != to)
                .max_by(|a, b| self.utilization(*a).total_cmp(&self.utilization(*b)));
            changed |= busiest.is_some_and(|from| self.shift(from, to));
        }
        changed
    }

    /// Moves load from busy upstreams to idle ones; returns whether it moved any.
    fn even_out(&mut self) -> bool {
        let capacity: f32 = self.candidates.iter().map(|candidate| candidate.capacity).sum();
        let mean = self.loads.iter().sum::<f32>() / capacity.max(0.001);
        let mut moves = 0;
        let mut stuck = vec![false; self.candidates.len()];
        let most = (self.candidates.len() / UPSTREAMS_PER_MOVE).max(MIN_MOVES);
        while moves < most {
            let busiest = (0..self.candidates.len())
                .filter(|index| !stuck[*index])
                .max_by(|a, b| self.utilization(*a).total_cmp(&self.utilization(*b)));
            let Some(from) = busiest else { break };
            let utilization = self.utilization(from);
            if utilization < BUSY || utilization < mean * UNEVEN {
                break;
            }
            let to = self.least_loaded(0.0);
            if to == from || !self.shift(from, to) {
                stuck[from] = true;
                continue;
            }
            moves += 1;
        }
        moves > 0
    }

    /// Moves the load that evens out two upstreams; returns whether a part worth it was found.
    fn shift(&mut self, from: usize, to: usize) -> bool {
        let (from_capacity, to_capacity) =
            (self.candidates[from].capacity, self.candidates[to].capacity);
        let even = (self.loads[from] * to_capacity - self.loads[to] * from_capacity)
            / (from_capacity + to_capacity);
        // What would overload the other upstream is left for further ones: in one plan, not in one after the other.
        let capacity: f32 = self.candidates.iter().map(|candidate| candidate.capacity).sum();
        let mean = self.loads.iter().sum::<f32>() / capacity.max(0.001);
        let room = to_capacity * mean.max(BUSY) - self.loads[to];
        let wanted = if room > 0.0 { even.min(room) } else { even };
        let holder = &self.candidates[from].holder;
        let mut best: Option<(usize, u16, u16, f32)> = None;
        for (index, span) in self.spans.iter().enumerate() {
            if span.owner != *holder || !span.is_granted {
                continue;
            }
            for (first, last) in self.parts(span, wanted) {
                let load = self.load(first, last);
                let is_better = best
                    .is_none_or(|(_, _, _, found)| (load - wanted).abs() < (found - wanted).abs());
                if load <= wanted * 1.3 && is_better {
                    best = Some((index, first, last, load));
                }
            }
        }
        let Some((index, first, last, load)) = best.filter(|(.., load)| *load >= wanted * MIN_PART)
        else {
            return false;
        };
        self.take_out(index, first, last, to);
        self.loads[from] -= load;
        self.loads[to] += load;
        true
    }

    /// Returns parts of a span with about the wanted load: at its start, at its end, and the whole.
    fn parts(&self, span: &Span, wanted: f32) -> Vec<(u16, u16)> {
        let mut parts = vec![(span.first, span.last)];
        if let Some((start, _)) = self.cut(span, wanted) {
            parts.push((start.first, start.last));
            if start.last > start.first {
                parts.push((start.first, start.last - 1));
            }
        }
        let load = self.load(span.first, span.last);
        if let Some((_, end)) = self.cut(span, load - wanted) {
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

    /// Gives a part of a span to another upstream.
    fn take_out(&mut self, index: usize, first: u16, last: u16, to: usize) {
        let span = self.spans.remove(index);
        let part = Span { first, last, ..span.clone() };
        let moved = self.moved(part, to, &|_| false);
        let mut place = index;
        if first > span.first {
            self.spans.insert(place, Span { last: first - 1, ..span.clone() });
            place += 1;
        }
        self.spans.insert(place, moved);
        if last < span.last {
            self.spans.insert(place + 1, Span { first: last + 1, ..span });
        }
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a part of all keys")]
fn boundary(part: f32) -> u32 {
    ((part * 65_536.0) as u32).min(0x1_0000)
}

fn key(number: u32) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}

#[expect(clippy::cast_precision_loss, reason = "counts of upstreams")]
const fn as_f32(count: usize) -> f32 {
    count as f32
}
