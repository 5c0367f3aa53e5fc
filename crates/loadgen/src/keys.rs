//! Distribution of requests over keys: popularity ranks follow a Zipf distribution and are mapped to keys.

use skylarkdock_units::times::Millis;

/// Number of most popular ranks whose keys are swapped with those of other ranks at a hot-key change.
pub const HOT_RANK_COUNT: usize = 16;

/// Zipf distribution over a fixed number of keys, with optional changes of the hot keys.
pub struct KeyDistribution {
    /// Cumulative share of requests up to and including each rank; rank 0 is the most popular.
    cumulative_share: Vec<f64>,
    hot_change_interval: Option<Millis>,
}

impl KeyDistribution {
    /// Returns a distribution over `count` keys, at least one. The popularity of the n-th rank is proportional to
    /// `n.powf(-exponent)`, so that an exponent of 0 makes all keys equally popular. Every `hot_change_interval`, the
    /// most popular ranks swap keys with another block of ranks.
    pub fn new(count: usize, exponent: f64, hot_change_interval: Option<Millis>) -> Self {
        let mut sum = 0.0;
        let mut cumulative_share = Vec::with_capacity(count.max(1));
        for rank in 1..=count.max(1) {
            sum += (rank as f64).powf(-exponent);
            cumulative_share.push(sum);
        }
        cumulative_share.iter_mut().for_each(|share| *share /= sum);
        Self { cumulative_share, hot_change_interval }
    }

    /// Returns the rank at `fraction` of the cumulative distribution. A uniform `fraction` from 0 to 1 gives ranks with
    /// their Zipf probability.
    pub fn rank_at(&self, fraction: f64) -> usize {
        let rank = self.cumulative_share.partition_point(|share| *share <= fraction);
        rank.min(self.cumulative_share.len() - 1)
    }

    /// Returns the index of the key that `rank` is mapped to at `elapsed` since the start of the run.
    pub fn key_index(&self, rank: usize, elapsed: Millis) -> usize {
        let Some(interval) = self.hot_change_interval else { return rank };
        let changes = usize::try_from(elapsed.0 / interval.0.max(1)).unwrap_or(usize::MAX);
        let blocks = self.cumulative_share.len() / HOT_RANK_COUNT;
        if changes == 0 || blocks < 2 {
            return rank;
        }
        let hot_block_start = HOT_RANK_COUNT * (1 + (changes - 1) % (blocks - 1));
        if rank < HOT_RANK_COUNT {
            hot_block_start + rank
        } else if (hot_block_start..hot_block_start + HOT_RANK_COUNT).contains(&rank) {
            rank - hot_block_start
        } else {
            rank
        }
    }
}
