//! Pseudo-random numbers for one step, generated from the random number that the caller passes in.

/// `SplitMix64` generator, seeded anew in each step.
pub(crate) struct SplitMix64(u64);

impl SplitMix64 {
    pub(crate) const fn new(seed: u64) -> Self {
        Self(seed)
    }

    const fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number in `0..bound`, or 0 if `bound` is 0.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        let scaled = (u128::from(self.next_u64()) * bound as u128) >> 64;
        usize::try_from(scaled).unwrap_or_default()
    }
}
