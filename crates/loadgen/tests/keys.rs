//! Tests for the popularity of keys, changes of the hot keys, and plans drawn from equal seeds.

use rstest::rstest;
use skylarkdock_loadgen::keys::{HOT_RANK_COUNT, KeyDistribution};
use skylarkdock_loadgen::plan::Plan;
use skylarkdock_units::times::{Millis, WallTime};
use std::collections::HashSet;
use std::sync::Arc;

#[rstest]
#[case::uniform(0.0, 0.5, 50)]
#[case::most_popular(1.0, 0.0, 0)]
#[case::least_popular(1.0, 0.999_999, 99)]
#[case::skewed(1.0, 0.5, 7)]
fn fraction_gives_rank_by_zipf_popularity(
    #[case] exponent: f64,
    #[case] fraction: f64,
    #[case] rank: usize,
) {
    assert_eq!(KeyDistribution::new(100, exponent, None).rank_at(fraction), rank);
}

#[test]
fn hot_change_remaps_hottest_rank_and_keeps_keys_distinct() {
    let keys = KeyDistribution::new(10 * HOT_RANK_COUNT, 1.0, Some(Millis(1000)));
    let mut hottest_keys = HashSet::new();
    for change in 0..10 {
        let at = Millis(change * 1000 + 1);
        let key_indexes: HashSet<_> =
            (0..10 * HOT_RANK_COUNT).map(|rank| keys.key_index(rank, at)).collect();
        assert_eq!(key_indexes.len(), 10 * HOT_RANK_COUNT);
        hottest_keys.insert(keys.key_index(0, at));
    }
    assert_eq!(hottest_keys.len(), 10);
}

#[test]
fn equal_seeds_draw_equal_plans() {
    let keys = Arc::new(KeyDistribution::new(100, 1.1, None));
    let draw = |seed| {
        let mut plan = Plan::new(Arc::clone(&keys), 0.3, seed);
        (0..200).map(|_| plan.next(Millis(0), WallTime(5))).collect::<Vec<_>>()
    };
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7), draw(8));
    let once_only = draw(7).iter().filter(|planned| planned.once_only).count();
    assert!((30..90).contains(&once_only), "{once_only} of 200 requests are once-only");
}
