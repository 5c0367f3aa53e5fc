//! Detection of the most requested keys in constant memory.
//!
//! Uses the Space-Saving algorithm: a new key replaces the key with the lowest count and inherits that count as its
//! possible error. All counts are halved at intervals, so that keys that are no longer hot get replaced.

use skylarkdock_units::collections::FastMap;
use skylarkdock_units::keys::KeyHash;
use skylarkdock_units::times::{HostTime, Millis};

/// Largest number of keys that a sketch counts at the same time.
pub const MAX_COUNTERS: usize = 256;

const HALF_LIFE_MS: u64 = 30_000;
const COUNT_SCALE: u64 = 1 << 20;

/// A key with its estimated number of recent requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HotKey {
    /// The key's hash.
    pub key: KeyHash,
    /// Upper bound on its recent requests; older requests count for less.
    pub count: u64,
    /// Largest amount by which `count` may be too high.
    pub error: u64,
}

/// Space-Saving sketch of the most requested keys of a service.
#[derive(Debug, Clone)]
pub struct HotKeySketch {
    counters: Vec<HotKey>,
    index_by_key: FastMap<KeyHash, usize>,
    halved_at: HostTime,
}

impl HotKeySketch {
    /// Creates an empty sketch.
    pub fn new(now: HostTime) -> Self {
        Self {
            counters: Vec::with_capacity(MAX_COUNTERS),
            index_by_key: FastMap::with_capacity_and_hasher(MAX_COUNTERS, Default::default()),
            halved_at: now,
        }
    }

    /// Counts a request for a key.
    pub fn observe(&mut self, key: KeyHash, now: HostTime) {
        self.decay(now);
        if let Some(index) = self.index_by_key.get(&key) {
            self.counters[*index].count += COUNT_SCALE;
        } else if self.counters.len() < MAX_COUNTERS {
            self.index_by_key.insert(key, self.counters.len());
            self.counters.push(HotKey { key, count: COUNT_SCALE, error: 0 });
        } else {
            self.replace_least(key);
        }
    }

    /// Returns up to `max` keys with the highest guaranteed counts, highest first.
    pub fn hottest(&self, max: usize) -> Vec<HotKey> {
        let mut keys = self.counters.clone();
        keys.sort_unstable_by_key(|hot| (std::cmp::Reverse(hot.count - hot.error), hot.key));
        keys.truncate(max);
        keys.iter_mut().for_each(|hot| {
            hot.count /= COUNT_SCALE;
            hot.error /= COUNT_SCALE;
        });
        keys
    }

    /// Returns how many keys are counted.
    pub fn len(&self) -> usize {
        self.counters.len()
    }

    /// Returns whether no request has been counted.
    pub fn is_empty(&self) -> bool {
        self.counters.is_empty()
    }

    fn replace_least(&mut self, key: KeyHash) {
        let least = self.counters.iter().enumerate().min_by_key(|(_, hot)| hot.count);
        let Some((index, hot)) = least.map(|(index, hot)| (index, *hot)) else { return };
        self.index_by_key.remove(&hot.key);
        self.index_by_key.insert(key, index);
        self.counters[index] = HotKey { key, count: hot.count + COUNT_SCALE, error: hot.count };
    }

    fn decay(&mut self, now: HostTime) {
        let halvings = now.since(self.halved_at).0 / HALF_LIFE_MS;
        if halvings == 0 {
            return;
        }
        let shift = u32::try_from(halvings).unwrap_or(u32::MAX).min(u64::BITS - 1);
        for hot in &mut self.counters {
            hot.count >>= shift;
            hot.error >>= shift;
        }
        self.halved_at = self.halved_at + Millis(halvings * HALF_LIFE_MS);
    }
}
