//! Witnesses that lose state: closed sessions, dropped ballots and restarts.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod cluster;

use cluster::{Cluster, ClusterConfig};
use skylarkdock_ownership::Timing;
use skylarkdock_ownership::message::MAX_BATCH;
use skylarkdock_units::ids::{Member, Offset};
use skylarkdock_units::times::Millis;

const STABILIZATION_MS: u64 = 2000;

/// Returns a cluster in which host 0 holds the first range under the lease at offset 2 with hosts
/// 0, 1 and 2 as members. Sessions and drains time out early.
fn cluster_with_ranges(nodes: usize, ranges: usize, seed: u64) -> Cluster {
    let (session_timeout, drain_limit) = (Millis(0), Millis(500));
    let timing = Timing { session_timeout, drain_limit, ..Timing::default() };
    let members = 3;
    let (loss, duplicates, delayed, catch_up) = (0, 0, 0, false);
    let config =
        ClusterConfig { nodes, members, ranges, seed, loss, duplicates, delayed, catch_up, timing };
    let mut cluster = Cluster::new(config);
    cluster.run(STABILIZATION_MS);
    assert_eq!(cluster.holder(&cluster.ranges[0]), Some(0));
    cluster
}

fn cluster(nodes: usize, seed: u64) -> Cluster {
    cluster_with_ranges(nodes, 1, seed)
}

fn cut(cluster: &mut Cluster, pairs: &[(usize, usize)]) {
    cluster.cuts.extend(pairs.iter().flat_map(|(a, b)| [(*a, *b), (*b, *a)]));
}

fn reconnect(cluster: &mut Cluster, a: usize, b: usize) {
    cluster.cuts.remove(&(a, b));
    cluster.cuts.remove(&(b, a));
}

fn assign(cluster: &mut Cluster, basis: Offset, members: &[usize], held: bool) -> Offset {
    let member = |index: &usize| cluster.hosts[*index].me.clone();
    let members: Vec<Member> = members.iter().map(member).collect();
    let range = cluster.ranges[0].clone();
    cluster.log.assign(&range, basis, Some(members), held)
}

#[test]
fn promises_end_with_their_session() {
    for seed in 0..10 {
        let mut cluster = cluster(4, seed);
        cluster.cut_log(|index| index == 0);
        cut(&mut cluster, &[(0, 1), (3, 2), (3, 0)]);
        cluster.run(300);
        assign(&mut cluster, Offset(2), &[3, 1, 2], true);
        cluster.run(STABILIZATION_MS);
        assert_eq!(cluster.holder(&cluster.ranges[0]), Some(0));
        reconnect(&mut cluster, 0, 1);
        cluster.run(500);
        reconnect(&mut cluster, 3, 2);
        cluster.run(STABILIZATION_MS);
        assert_eq!(cluster.failure, None);
        assert!(cluster.holder(&cluster.ranges[0]).is_some_and(|holder| holder != 0));
    }
}

#[test]
fn a_witness_does_not_seal_a_lease_older_than_the_folded_one() {
    for seed in 0..10 {
        let mut cluster = cluster(7, seed);
        cluster.cut_log(|index| index == 2);
        let cuts: Vec<_> = (0..7).filter(|other| *other != 2).map(|other| (2, other)).collect();
        cut(&mut cluster, &cuts);
        let second_lease = assign(&mut cluster, Offset(2), &[3, 4, 5], true);
        cluster.run(STABILIZATION_MS);
        assign(&mut cluster, second_lease, &[6, 3, 4], true);
        cluster.run(STABILIZATION_MS);
        assert_eq!(cluster.holder(&cluster.ranges[0]), Some(6));
        cluster.cuts.clear();
        cluster.run(STABILIZATION_MS);
        assert_eq!(cluster.failure, None);
        assert_eq!(cluster.holder(&cluster.ranges[0]), Some(6));
    }
}

#[test]
fn promises_of_an_earlier_incarnation_are_waited_out() {
    for seed in 0..10 {
        let mut cluster = cluster(5, seed);
        cluster.cut_log(|index| index == 0);
        cut(&mut cluster, &[(0, 2)]);
        cluster.run(1000);
        assert_eq!(cluster.holder(&cluster.ranges[0]), Some(0));
        cluster.kill(1);
        cluster.restart(1);
        assign(&mut cluster, Offset(2), &[3, 4, 2], false);
        cluster.run(1000);
        assert_eq!(cluster.failure, None);
        assert_eq!(cluster.holder(&cluster.ranges[0]), Some(3));
    }
}

#[test]
fn a_holder_receives_more_revocations_than_fit_one_answer() {
    let count = 3 * (MAX_BATCH + 20);
    let mut cluster = cluster_with_ranges(3, count, 1);
    let members: Vec<_> = [1, 2, 0].iter().map(|index| cluster.hosts[*index].me.clone()).collect();
    for index in (0..count).step_by(3) {
        let basis = Offset(2 + index as u64);
        let range = cluster.ranges[index].clone();
        cluster.log.assign(&range, basis, Some(members.clone()), true);
    }
    cluster.run(STABILIZATION_MS);
    assert_eq!(cluster.failure, None);
    assert_eq!(cluster.holder(&cluster.ranges[0]), Some(1));
}

#[test]
fn a_republished_range_waits_for_its_last_holder() {
    for (seed, delay) in (0..10).zip([0, 100, 400, 600, 900, 1200].into_iter().cycle()) {
        let mut cluster = cluster(5, seed);
        cluster.cut_log(|index| index == 0);
        let range = cluster.ranges[0].clone();
        cluster.log.retire(&range, Offset(1));
        cluster.run(delay);
        cluster.log.publish(&range);
        assign(&mut cluster, Offset(0), &[3, 4, 2], false);
        cluster.run(STABILIZATION_MS);
        assert_eq!(cluster.failure, None, "seed {seed}");
        assert_eq!(cluster.holder(&range), Some(3), "seed {seed}");
    }
}

#[test]
fn a_ballot_for_an_unread_lease_is_kept_when_the_earlier_lease_is_retired() {
    for seed in 0..10 {
        let mut cluster = cluster(4, seed);
        let range = cluster.ranges[0].clone();
        cluster.log.retire(&range, Offset(1));
        cluster.run(600);
        cluster.cut_log(|index| index == 1);
        cut(&mut cluster, &[(2, 3)]);
        cluster.log.publish(&range);
        assign(&mut cluster, Offset(0), &[3, 1, 2], false);
        cluster.run(2 * STABILIZATION_MS);
        assert_eq!(cluster.failure, None, "seed {seed}");
        assert_eq!(cluster.holder(&range), Some(3), "seed {seed}");
    }
}
