//! Compact form of the load in a report: the same load at the receiver, and no panic on damaged numbers.

use rstest::rstest;
use skylarkdock_dispatch::packed_load::{self, UnpackError};

/// Returns a load of `upstreams` upstreams with counts below `max`, sorted by hash.
fn load(rng: &mut fastrand::Rng, upstreams: usize, max: u32) -> Vec<(u32, u32)> {
    let mut load: Vec<(u32, u32)> =
        (0..upstreams).map(|_| (rng.u32(..), rng.u32(1..=max))).collect();
    load.sort_unstable();
    load.dedup_by_key(|(hash, _)| *hash);
    load
}

#[rstest]
#[case::nothing(0, 9)]
#[case::one(1, 9)]
#[case::small_counts(750, 9)]
#[case::counts_around_the_limit(750, 20)]
#[case::any_count(300, u32::MAX)]
fn a_load_survives_packing(#[case] upstreams: usize, #[case] max: u32) {
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..50 {
        let load = load(&mut rng, upstreams, max);
        assert_eq!(packed_load::unpack(&packed_load::pack(&load)), Ok(load));
    }
}

#[test]
fn the_largest_hash_and_count_survive_packing() {
    let load = vec![(0, 1), (u32::MAX, u32::MAX)];
    assert_eq!(packed_load::unpack(&packed_load::pack(&load)), Ok(load));
}

#[rstest]
#[case::no_rest_of_a_count(vec![0x1f], UnpackError::Incomplete)]
#[case::step_beyond_the_largest_hash(vec![0x000f_ffff_fff1, 0x11], UnpackError::OutOfRange)]
#[case::step_of_40_bits(vec![1 << 44], UnpackError::OutOfRange)]
#[case::count_of_40_bits(vec![0x1f, 1 << 40], UnpackError::OutOfRange)]
#[case::count_beyond_the_largest(vec![0x1f, u64::from(u32::MAX)], UnpackError::OutOfRange)]
fn damaged_numbers_are_refused(#[case] numbers: Vec<u64>, #[case] error: UnpackError) {
    assert_eq!(packed_load::unpack(&numbers), Err(error));
}

#[test]
fn random_numbers_never_panic() {
    let mut rng = fastrand::Rng::with_seed(2);
    for _ in 0..10_000 {
        let numbers: Vec<u64> =
            (0..rng.usize(..20)).map(|_| rng.u64(..) >> rng.u32(..64)).collect();
        let _ = packed_load::unpack(&numbers);
    }
}
