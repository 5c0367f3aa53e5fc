//! An upstream that checks grants.

use skylarkdock_spans::renewal::{CallEnd, Grant, Release};
use skylarkdock_spans::table::{FencingToken, Holder};

#[derive(Debug, Clone, Copy)]
struct Held {
    first: u16,
    last: u16,
    fence: FencingToken,
    until: u64,
}

pub struct Upstream {
    index: usize,
    born: u64,
    pub started_at: u64,
    down_until: u64,
    pub has_store: bool,
    pub cut_at: u64,
    held: Vec<Held>,
    seen: Vec<(u16, u16, FencingToken)>,
    slow_percent: u64,
}

impl Upstream {
    pub fn new(index: usize, rng: &mut fastrand::Rng) -> Self {
        Self {
            index,
            born: 1,
            started_at: 0,
            down_until: 0,
            has_store: true,
            cut_at: 0,
            held: Vec::new(),
            seen: Vec::new(),
            slow_percent: rng.u64(0..=2),
        }
    }

    pub const fn born(&self) -> u64 {
        self.born
    }

    pub const fn is_up(&self, now: u64) -> bool {
        now >= self.down_until
    }

    pub fn holder(&self) -> Holder {
        Holder {
            id: format!("u{}", self.index).parse().unwrap_or_else(|e| panic!("{e}")),
            born: self.born,
            addr: ([127, 0, 0, 1], 9_000).into(),
            region: if self.index.is_multiple_of(2) { "east" } else { "west" }
                .parse()
                .unwrap_or_else(|e| panic!("{e}")),
        }
    }

    pub fn crash(&mut self, now: u64, down: u64, gap: u64) {
        self.born += gap;
        self.started_at = now + down;
        self.down_until = now + down;
        self.held.clear();
        self.seen.clear();
    }

    /// Carries a grant out that arrived earlier; its time counts from then.
    pub fn grant(
        &mut self,
        grant: &Grant,
        arrived: u64,
        now: u64,
        fences: bool,
    ) -> Result<CallEnd, String> {
        let overlaps = |first: u16, last: u16| first <= grant.last && grant.first <= last;
        let higher = self
            .seen
            .iter()
            .any(|(first, last, fence)| overlaps(*first, *last) && *fence > grant.fence);
        if fences && higher {
            return Ok(CallEnd::Fenced);
        }
        self.seen.push((grant.first, grant.last, grant.fence));
        let hold = 3_000 + 3_000 * self.slow_percent / 100;
        let until = arrived + hold;
        if until > now {
            self.held.retain(|held| held.until > now && *held != grant);
            self.held.push(Held {
                first: grant.first,
                last: grant.last,
                fence: grant.fence,
                until,
            });
        }
        Ok(CallEnd::Done)
    }

    pub fn release(&mut self, release: &Release) {
        let mut left = Vec::new();
        for held in self.held.drain(..) {
            if held.last < release.first || held.first > release.last {
                left.push(held);
                continue;
            }
            if held.first < release.first {
                left.push(Held { last: release.first - 1, ..held });
            }
            if held.last > release.last {
                left.push(Held { first: release.last + 1, ..held });
            }
        }
        self.held = left;
        self.seen.push((release.first, release.last, release.fence));
    }

    pub fn holds(&self, key: u16, now: u64) -> bool {
        self.is_up(now)
            && self
                .held
                .iter()
                .any(|held| held.first <= key && key <= held.last && now < held.until)
    }

    pub fn describe(&self, key: u16) -> Vec<(u64, u64)> {
        let held = self.held.iter().filter(|held| held.first <= key && key <= held.last);
        held.map(|held| (held.fence.0, held.until)).collect()
    }
}

impl PartialEq<&Grant> for Held {
    fn eq(&self, grant: &&Grant) -> bool {
        self.first == grant.first && self.last == grant.last && self.fence == grant.fence
    }
}
