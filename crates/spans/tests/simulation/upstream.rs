//! A simulated upstream, which checks the fencing tokens of grants and holds keys until a grant expires.

use skylarkdock_spans::renewal::{CallEnd, Grant, Release};
use skylarkdock_spans::table::{FencingToken, Holder};

#[derive(Debug, Clone, Copy)]
struct Held {
    first: u16,
    last: u16,
    fence: FencingToken,
    until: u64,
}

/// Work on a key, which ends with the grant of the key at the latest.
#[derive(Debug, Clone, Copy)]
struct Work {
    key: u16,
    until: u64,
    /// End of the grant that was in force as the key was released; zero before that.
    released_until: u64,
}

pub struct Upstream {
    index: usize,
    born: u64,
    former_born: u64,
    pub started_at: u64,
    down_until: u64,
    pub reaches_store: bool,
    pub cut_at: u64,
    held: Vec<Held>,
    seen_fences: Vec<(u16, u16, FencingToken)>,
    clock_drift_percent: u64,
    port: u16,
    /// Entry that another writer put in place of this upstream's, and until when it stands.
    foreign: Option<(Holder, u64)>,
    /// When it stops turning most calls away before it looks at them.
    pub refuses_until: u64,
    works: Vec<Work>,
}

/// Ports between the addresses of two incarnations of an upstream.
const PORTS_PER_MOVE: u16 = 10;

impl Upstream {
    pub fn new(index: usize, rng: &mut fastrand::Rng) -> Self {
        Self {
            index,
            born: 1,
            former_born: 0,
            started_at: 0,
            down_until: 0,
            reaches_store: true,
            cut_at: 0,
            held: Vec::new(),
            seen_fences: Vec::new(),
            clock_drift_percent: rng.u64(0..=2),
            port: 9_000 + u16::try_from(index).unwrap_or_default(),
            foreign: None,
            refuses_until: 0,
            works: Vec::new(),
        }
    }

    pub const fn born(&self) -> u64 {
        self.born
    }

    pub const fn former_born(&self) -> u64 {
        self.former_born
    }

    pub const fn is_up(&self, now: u64) -> bool {
        now >= self.down_until
    }

    pub fn holder(&self) -> Holder {
        Holder {
            id: format!("u{}", self.index).parse().unwrap_or_else(|e| panic!("{e}")),
            born: self.born,
            addr: ([127, 0, 0, 1], self.port).into(),
            region: if self.index.is_multiple_of(2) { "east" } else { "west" }
                .parse()
                .unwrap_or_else(|e| panic!("{e}")),
        }
    }

    pub fn crash(&mut self, now: u64, down_ms: u64, born_increase: u64) {
        self.former_born = self.born;
        self.born += born_increase;
        self.started_at = now + down_ms;
        self.down_until = now + down_ms;
        self.held.clear();
        self.works.clear();
        self.seen_fences.clear();
    }

    /// Moves the upstream to another address, where its next incarnation will listen.
    pub const fn change_address(&mut self) {
        self.port += PORTS_PER_MOVE;
    }

    pub const fn port(&self) -> u16 {
        self.port
    }

    pub const fn set_port(&mut self, port: u16) {
        self.port = port;
    }

    /// Puts an entry with a later start in place of the upstream's, until the upstream writes its own again.
    pub fn overwrite_entry(&mut self, born_increase: u64, is_elsewhere: bool, until: u64) {
        let own = self.holder();
        let port = if is_elsewhere { self.port + PORTS_PER_MOVE / 2 } else { self.port };
        let addr = ([127, 0, 0, 1], port).into();
        self.foreign = Some((Holder { born: own.born + born_increase, addr, ..own }, until));
    }

    /// Returns the incarnation that the registry shows.
    pub fn listed_holder(&self, now: u64) -> Holder {
        self.foreign_entry(now).unwrap_or_else(|| self.holder())
    }

    /// Returns the entry of another writer that stands in place of the upstream's.
    pub fn foreign_entry(&self, now: u64) -> Option<Holder> {
        let (holder, until) = self.foreign.as_ref()?;
        (now < *until).then(|| holder.clone())
    }

    /// Carries out a grant that arrived at `arrived`, from which time its lifetime counts.
    pub fn grant(
        &mut self,
        grant: &Grant,
        arrived: u64,
        now: u64,
        has_fencing: bool,
    ) -> Result<CallEnd, String> {
        let overlaps = |first: u16, last: u16| first <= grant.last && grant.first <= last;
        let has_larger_fence = self
            .seen_fences
            .iter()
            .any(|(first, last, fence)| overlaps(*first, *last) && *fence > grant.fence);
        if has_fencing && has_larger_fence {
            return Ok(CallEnd::Fenced);
        }
        self.seen_fences.push((grant.first, grant.last, grant.fence));
        let hold = 3_000 + 3_000 * self.clock_drift_percent / 100;
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

    /// Begins to work on a key if it is held.
    pub fn work(&mut self, key: u16, now: u64, until: u64) {
        let held_until = self.held_until(key);
        self.works.retain(|work| now < work.until && now < work.released_until.max(held_until));
        if self.holds(key, now) {
            self.works.push(Work { key, until, released_until: 0 });
        }
    }

    /// Returns whether work on a key runs, within the time of its grant.
    pub fn works_on(&self, key: u16, now: u64) -> bool {
        let held_until = self.held_until(key);
        let is_running = |work: &Work| {
            work.key == key && now < work.until && now < work.released_until.max(held_until)
        };
        self.is_up(now) && self.works.iter().any(is_running)
    }

    /// Returns when the work on the keys of a release has ended.
    pub fn idle_at(&self, release: &Release, now: u64) -> u64 {
        let works = self.works.iter().filter(|w| release.first <= w.key && w.key <= release.last);
        works.map(|work| work.until.min(work.released_until)).max().unwrap_or(now).max(now)
    }

    /// Returns whether work on keys that were released before still runs.
    pub fn is_releasing(&self, release: &Release, now: u64) -> bool {
        let mut works = self.works.iter();
        let is_of = |work: &Work| release.first <= work.key && work.key <= release.last;
        works.any(|work| is_of(work) && now < work.until.min(work.released_until))
    }

    fn held_until(&self, key: u16) -> u64 {
        let held = self.held.iter().filter(|held| held.first <= key && key <= held.last);
        held.map(|held| held.until).max().unwrap_or(0)
    }

    pub fn release(&mut self, release: &Release) {
        let works = std::mem::take(&mut self.works);
        self.works = works.into_iter().map(|work| self.with_release(work, release)).collect();
        let mut remaining = Vec::new();
        for held in self.held.drain(..) {
            if held.last < release.first || held.first > release.last {
                remaining.push(held);
                continue;
            }
            if held.first < release.first {
                remaining.push(Held { last: release.first - 1, ..held });
            }
            if held.last > release.last {
                remaining.push(Held { first: release.last + 1, ..held });
            }
        }
        self.held = remaining;
        self.seen_fences.push((release.first, release.last, release.fence));
    }

    /// Returns work on a key whose grant is no longer renewed if it is released.
    fn with_release(&self, work: Work, release: &Release) -> Work {
        let is_released = release.first <= work.key && work.key <= release.last;
        let held_until = if is_released { self.held_until(work.key) } else { 0 };
        Work { released_until: work.released_until.max(held_until), ..work }
    }

    pub fn holds(&self, key: u16, now: u64) -> bool {
        self.is_up(now)
            && self
                .held
                .iter()
                .any(|held| held.first <= key && key <= held.last && now < held.until)
    }

    pub fn grants_of(&self, key: u16) -> Vec<(u64, u64)> {
        let held = self.held.iter().filter(|held| held.first <= key && key <= held.last);
        held.map(|held| (held.fence.0, held.until)).collect()
    }
}

impl PartialEq<&Grant> for Held {
    fn eq(&self, grant: &&Grant) -> bool {
        self.first == grant.first && self.last == grant.last && self.fence == grant.fence
    }
}
