//! Keys with Zipf-distributed popularity, whose hottest ranks can be moved to other keys.

use skylarkdock_units::keys::KeyHash;

/// Number of hottest ranks that move to other keys at each change.
pub const HOT_RANKS: usize = 10;

/// Keys in order of popularity, each with its share of the requests.
pub struct Keys {
    hashes: Vec<KeyHash>,
    shares: Vec<f64>,
    cumulative: Vec<f64>,
    changes: usize,
}

impl Keys {
    /// Creates `count` keys whose popularity is proportional to `1 / rank^exponent`.
    pub fn new(count: usize, exponent: f64) -> Self {
        let raw: Vec<f64> = (1..=count).map(|rank| (rank as f64).powf(-exponent)).collect();
        let sum: f64 = raw.iter().sum();
        let shares: Vec<f64> = raw.iter().map(|share| share / sum).collect();
        let mut running_sum = 0.0;
        let cumulative = shares.iter().map(|share| {
            running_sum += share;
            running_sum
        });
        Self {
            cumulative: cumulative.collect(),
            hashes: (0..count).map(|number| KeyHash::of(&format!("key-{number}"))).collect(),
            shares,
            changes: 0,
        }
    }

    /// Moves the hottest ranks to keys that were not hot before.
    pub fn move_hot_ranks(&mut self) {
        self.changes += 1;
        let other = self.changes * HOT_RANKS;
        for rank in 0..HOT_RANKS.min(self.hashes.len().saturating_sub(other)) {
            self.hashes.swap(rank, other + rank);
        }
    }

    /// Returns each key with its share of the requests.
    pub fn shares(&self) -> impl Iterator<Item = (KeyHash, f64)> {
        self.hashes.iter().copied().zip(self.shares.iter().copied())
    }

    /// Returns the key for `fraction`, a uniform random number between 0 and 1.
    pub fn draw(&self, fraction: f64) -> KeyHash {
        let rank = self.cumulative.partition_point(|running_sum| *running_sum <= fraction);
        self.hashes[rank.min(self.hashes.len() - 1)]
    }
}
