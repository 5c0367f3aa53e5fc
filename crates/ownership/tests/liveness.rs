//! Ranges are held again within a bounded time after faults, and stay held where a majority
//! remains.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod cluster;

use cluster::{Cluster, ClusterConfig};
use rstest::rstest;
use skylarkdock_ownership::message::MAX_BATCH;
use skylarkdock_ownership::{ClaimReason, Timing};

const STABILIZATION_MS: u64 = 2000;
const TAKEOVER_LIMIT_MS: u64 = 1000;

fn cluster(nodes: usize, members: usize, ranges: usize, seed: u64) -> Cluster {
    let config = ClusterConfig {
        nodes,
        members,
        ranges,
        seed,
        loss: 0,
        duplicates: 0,
        delayed: 0,
        catch_up: true,
        timing: Timing::default(),
    };
    let mut cluster = Cluster::new(config);
    cluster.run(STABILIZATION_MS);
    cluster
}

fn assert_no_failure(cluster: &Cluster) {
    assert_eq!(cluster.failure, None);
}

fn holders(cluster: &Cluster) -> Vec<Option<usize>> {
    cluster.ranges.iter().map(|range| cluster.holder(range)).collect()
}

#[rstest]
#[case(3, 3)]
#[case(5, 3)]
#[case(7, 5)]
fn holders_do_not_change_without_faults(#[case] nodes: usize, #[case] members: usize) {
    for seed in 0..5 {
        let mut cluster = cluster(nodes, members, 4, seed);
        let first: Vec<_> = (0..4).map(|range| Some(range % nodes)).collect();
        assert_eq!(holders(&cluster), first);
        cluster.run(60_000);
        assert_eq!(holders(&cluster), first);
        assert_eq!(cluster.oracle.acquired.len(), 4, "a range was acquired again");
        assert_eq!(cluster.oracle.lost, 0);
        assert_no_failure(&cluster);
    }
}

#[rstest]
fn a_lost_holder_is_replaced_within_a_second(
    #[values(false, true)] log_unavailable: bool,
    #[values(3, 5)] members: usize,
    #[values(0, 5)] loss: u8,
) {
    for seed in 0..40 {
        let mut cluster = cluster(members + 2, members, 3, seed);
        cluster.config.loss = loss;
        cluster.cut_log(|_| log_unavailable);
        let offset = cluster.rng.u64(0..100);
        cluster.run(offset);
        cluster.kill(0);
        cluster.run(TAKEOVER_LIMIT_MS);
        let held = holders(&cluster);
        assert!(held.iter().all(Option::is_some), "seed {seed}: {held:?}");
        assert_no_failure(&cluster);
    }
}

#[test]
fn members_succeed_one_another_for_two_rounds_without_the_log() {
    let mut cluster = cluster(3, 3, 1, 1);
    cluster.cut_log(|_| true);
    for lost in [0, 1, 2, 0, 1, 2] {
        cluster.pause(lost);
        cluster.run(TAKEOVER_LIMIT_MS);
        assert!(holders(&cluster)[0].is_some_and(|holder| holder != lost));
        cluster.resume(lost);
        cluster.run(TAKEOVER_LIMIT_MS);
    }
    assert_no_failure(&cluster);
}

#[test]
fn an_isolated_holder_stops_and_the_majority_takes_over() {
    let mut cluster = cluster(3, 3, 3, 4);
    cluster.cuts.extend([(0, 1), (1, 0), (0, 2), (2, 0)]);
    cluster.cut_log(|index| index == 0);
    cluster.run(TAKEOVER_LIMIT_MS);
    assert!(cluster.hosts[0].published.is_empty());
    assert!(holders(&cluster).iter().all(Option::is_some));
    cluster.cuts.clear();
    cluster.run(60_000);
    assert!(holders(&cluster).iter().all(Option::is_some));
    assert_no_failure(&cluster);
}

#[test]
fn a_holder_whose_answers_are_cut_off_is_replaced() {
    let mut cluster = cluster(3, 3, 1, 4);
    cluster.cuts.extend([(1, 0), (2, 0)]);
    cluster.run(TAKEOVER_LIMIT_MS + TAKEOVER_LIMIT_MS / 2);
    assert!(holders(&cluster)[0].is_some_and(|holder| holder != 0));
    assert_no_failure(&cluster);
}

#[test]
fn a_zone_with_a_majority_holds_ranges_without_the_log() {
    let mut cluster = cluster(5, 3, 5, 9);
    cluster.cut_log(|_| true);
    let zone_hosts = [0, 1, 2];
    for a in 0..5 {
        for b in 0..5 {
            if zone_hosts.contains(&a) != zone_hosts.contains(&b) {
                cluster.cuts.insert((a, b));
            }
        }
    }
    cluster.run(TAKEOVER_LIMIT_MS);
    for (range, id) in cluster.ranges.iter().enumerate() {
        let members_in_zone =
            (0..3).filter(|place| zone_hosts.contains(&((range + place) % 5))).count();
        let holder = cluster.holder(id);
        assert_eq!(
            holder.is_some_and(|holder| zone_hosts.contains(&holder)),
            members_in_zone >= 2,
            "{id}"
        );
    }
    cluster.run(30_000);
    assert_no_failure(&cluster);
}

#[test]
fn a_leaving_host_hands_its_ranges_to_the_next_member() {
    let mut cluster = cluster(3, 3, 3, 2);
    cluster.cut_log(|_| true);
    cluster.leave(0);
    assert!(cluster.hosts[0].published.iter().all(|hold| !hold.accepting));
    cluster.run(2 * TAKEOVER_LIMIT_MS);
    assert_eq!(holders(&cluster), [Some(1), Some(1), Some(2)]);
    assert!(cluster.oracle.acquired.iter().any(|(.., reason)| *reason == ClaimReason::HandedOver));
    assert_eq!(cluster.hosts[0].node.unconfirmed_releases(), 0);
    assert_eq!(cluster.oracle.lost, 0);
    assert_no_failure(&cluster);
}

#[test]
fn a_handed_over_range_is_drained_before_it_moves() {
    for seed in 0..20 {
        let mut cluster = cluster(5, 3, 1, seed);
        cluster.hand_over(0, 4);
        cluster.run(2 * TAKEOVER_LIMIT_MS);
        assert_eq!(holders(&cluster), [Some(4)], "seed {seed}");
        assert_eq!(cluster.oracle.lost, 0, "seed {seed}: the drain was cut short");
        assert_no_failure(&cluster);
    }
}

#[test]
fn a_holder_that_changes_its_members_serves_without_a_gap() {
    for seed in 0..20 {
        let mut cluster = cluster(5, 3, 1, seed);
        cluster.hand_over(0, 0);
        for _ in 0..500 {
            cluster.run(1);
            assert_eq!(holders(&cluster), [Some(0)], "seed {seed}");
        }
        assert!(cluster.oracle.acquired.iter().any(|(.., reason)| *reason == ClaimReason::Renewed));
        assert_no_failure(&cluster);
    }
}

#[test]
fn more_ranges_than_fit_one_message_are_taken_over() {
    let mut cluster = cluster(3, 3, 3 * (MAX_BATCH + 50), 6);
    assert!(holders(&cluster).iter().all(Option::is_some));
    cluster.pause(0);
    cluster.run(TAKEOVER_LIMIT_MS);
    assert!(holders(&cluster).iter().all(Option::is_some));
    cluster.resume(0);
    cluster.run(STABILIZATION_MS);
    cluster.pause(1);
    cluster.run(TAKEOVER_LIMIT_MS);
    assert!(holders(&cluster).iter().all(Option::is_some));
    assert_no_failure(&cluster);
}

#[test]
fn a_retired_range_is_drained_and_released() {
    let mut cluster = cluster(3, 3, 2, 2);
    let range = cluster.ranges[0].clone();
    cluster.log.retire(&range, skylarkdock_units::ids::Offset(1));
    cluster.run(2 * TAKEOVER_LIMIT_MS);
    assert_eq!(holders(&cluster), [None, None]);
    assert_eq!(cluster.oracle.lost, 0);
    assert_no_failure(&cluster);
}
