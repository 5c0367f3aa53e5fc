//! How soon a range is held again, and what must go on or stop under a cut.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod cluster;

use cluster::{Cluster, Setup};
use rstest::rstest;
use skylarkdock_ownership::message::MAX_BATCH;
use skylarkdock_ownership::{ClaimReason, Timing};

const READY_MS: u64 = 2000;
const HELD_AGAIN_MS: u64 = 1000;

fn cluster(nodes: usize, members: usize, ranges: usize, seed: u64) -> Cluster {
    let setup = Setup {
        nodes,
        members,
        ranges,
        seed,
        loss: 0,
        duplicates: 0,
        slow: 0,
        catch_up: true,
        timing: Timing::default(),
    };
    let mut cluster = Cluster::new(setup);
    cluster.run(READY_MS);
    cluster
}

fn assert_sound(cluster: &Cluster) {
    assert_eq!(cluster.failure, None);
}

fn holders(cluster: &Cluster) -> Vec<Option<usize>> {
    cluster.ranges.iter().map(|range| cluster.holder(range)).collect()
}

#[rstest]
#[case(3, 3)]
#[case(5, 3)]
#[case(7, 5)]
fn a_quiet_cluster_keeps_its_holders(#[case] nodes: usize, #[case] members: usize) {
    for seed in 0..5 {
        let mut cluster = cluster(nodes, members, 4, seed);
        let first: Vec<_> = (0..4).map(|range| Some(range % nodes)).collect();
        assert_eq!(holders(&cluster), first);
        cluster.run(60_000);
        assert_eq!(holders(&cluster), first);
        assert_eq!(cluster.oracle.acquired.len(), 4, "no range changes hands");
        assert_eq!(cluster.oracle.lost, 0);
        assert_sound(&cluster);
    }
}

#[rstest]
fn a_lost_holder_is_replaced_within_a_second(
    #[values(false, true)] log_away: bool,
    #[values(3, 5)] members: usize,
    #[values(0, 5)] loss: u8,
) {
    for seed in 0..40 {
        let mut cluster = cluster(members + 2, members, 3, seed);
        cluster.setup.loss = loss;
        cluster.cut_log(|_| log_away);
        let offset = cluster.rng.u64(0..100);
        cluster.run(offset);
        cluster.kill(0);
        cluster.run(HELD_AGAIN_MS);
        let held = holders(&cluster);
        assert!(held.iter().all(Option::is_some), "seed {seed}: {held:?}");
        assert_sound(&cluster);
    }
}

#[test]
fn members_take_turns_for_more_than_one_round_while_the_log_is_away() {
    let mut cluster = cluster(3, 3, 1, 1);
    cluster.cut_log(|_| true);
    for lost in [0, 1, 2, 0, 1, 2] {
        cluster.pause(lost);
        cluster.run(HELD_AGAIN_MS);
        assert!(holders(&cluster)[0].is_some_and(|holder| holder != lost));
        cluster.resume(lost);
        cluster.run(HELD_AGAIN_MS);
    }
    assert_sound(&cluster);
}

#[test]
fn a_cut_off_minority_stops_and_the_majority_goes_on() {
    let mut cluster = cluster(3, 3, 3, 4);
    cluster.cuts.extend([(0, 1), (1, 0), (0, 2), (2, 0)]);
    cluster.cut_log(|index| index == 0);
    cluster.run(HELD_AGAIN_MS);
    assert!(cluster.hosts[0].published.is_empty());
    assert!(holders(&cluster).iter().all(Option::is_some));
    cluster.cuts.clear();
    cluster.run(60_000);
    assert!(holders(&cluster).iter().all(Option::is_some));
    assert_sound(&cluster);
}

#[test]
fn a_holder_whose_answers_are_cut_off_is_replaced() {
    let mut cluster = cluster(3, 3, 1, 4);
    cluster.cuts.extend([(1, 0), (2, 0)]);
    cluster.run(HELD_AGAIN_MS + HELD_AGAIN_MS / 2);
    assert!(holders(&cluster)[0].is_some_and(|holder| holder != 0));
    assert_sound(&cluster);
}

#[test]
fn a_zone_with_the_majority_goes_on_without_the_log() {
    let mut cluster = cluster(5, 3, 5, 9);
    cluster.cut_log(|_| true);
    let zone = [0, 1, 2];
    for a in 0..5 {
        for b in 0..5 {
            if zone.contains(&a) != zone.contains(&b) {
                cluster.cuts.insert((a, b));
            }
        }
    }
    cluster.run(HELD_AGAIN_MS);
    for (range, id) in cluster.ranges.iter().enumerate() {
        let inside = (0..3).filter(|place| zone.contains(&((range + place) % 5))).count();
        let holder = cluster.holder(id);
        assert_eq!(holder.is_some_and(|holder| zone.contains(&holder)), inside >= 2, "{id}");
    }
    cluster.run(30_000);
    assert_sound(&cluster);
}

#[test]
fn a_leaving_host_hands_its_ranges_to_the_next_member() {
    let mut cluster = cluster(3, 3, 3, 2);
    cluster.cut_log(|_| true);
    cluster.leave(0);
    assert!(cluster.hosts[0].published.iter().all(|hold| !hold.accepting));
    cluster.run(2 * HELD_AGAIN_MS);
    assert_eq!(holders(&cluster), [Some(1), Some(1), Some(2)]);
    assert!(cluster.oracle.acquired.iter().any(|(.., reason)| *reason == ClaimReason::HandedOver));
    assert_eq!(cluster.hosts[0].node.unconfirmed_releases(), 0);
    assert_eq!(cluster.oracle.lost, 0);
    assert_sound(&cluster);
}

#[test]
fn a_handed_over_range_is_drained_before_it_moves() {
    for seed in 0..20 {
        let mut cluster = cluster(5, 3, 1, seed);
        cluster.hand_over(0, 4);
        cluster.run(2 * HELD_AGAIN_MS);
        assert_eq!(holders(&cluster), [Some(4)], "seed {seed}");
        assert_eq!(cluster.oracle.lost, 0, "seed {seed}: the drain was cut short");
        assert_sound(&cluster);
    }
}

#[test]
fn a_holder_that_renews_its_members_serves_without_a_gap() {
    for seed in 0..20 {
        let mut cluster = cluster(5, 3, 1, seed);
        cluster.hand_over(0, 0);
        for _ in 0..500 {
            cluster.run(1);
            assert_eq!(holders(&cluster), [Some(0)], "seed {seed}");
        }
        assert!(cluster.oracle.acquired.iter().any(|(.., reason)| *reason == ClaimReason::Renewed));
        assert_sound(&cluster);
    }
}

#[test]
fn more_ranges_than_fit_one_message_change_hands() {
    let mut cluster = cluster(3, 3, 3 * (MAX_BATCH + 50), 6);
    assert!(holders(&cluster).iter().all(Option::is_some));
    cluster.pause(0);
    cluster.run(HELD_AGAIN_MS);
    assert!(holders(&cluster).iter().all(Option::is_some));
    cluster.resume(0);
    cluster.run(READY_MS);
    cluster.pause(1);
    cluster.run(HELD_AGAIN_MS);
    assert!(holders(&cluster).iter().all(Option::is_some));
    assert_sound(&cluster);
}

#[test]
fn a_retired_range_is_drained_and_dropped() {
    let mut cluster = cluster(3, 3, 2, 2);
    let range = cluster.ranges[0].clone();
    cluster.journal.retire(&range, skylarkdock_units::ids::Offset(1));
    cluster.run(2 * HELD_AGAIN_MS);
    assert_eq!(holders(&cluster), [None, None]);
    assert_eq!(cluster.oracle.lost, 0);
    assert_sound(&cluster);
}
