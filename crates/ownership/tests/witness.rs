//! Witnesses that forget: closed sessions, dropped ballots, restarts.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod cluster;

use cluster::{Cluster, Setup};
use skylarkdock_ownership::Timing;
use skylarkdock_ownership::message::MAX_BATCH;
use skylarkdock_units::ids::{Member, Offset};
use skylarkdock_units::times::Millis;

const READY_MS: u64 = 2000;

/// Ranges of which host 0 holds the first with the members 0, 1 and 2 since offset 2.
fn cluster_of(nodes: usize, ranges: usize, seed: u64) -> Cluster {
    let (session_timeout, drain_limit) = (Millis(0), Millis(500));
    let timing = Timing { session_timeout, drain_limit, ..Timing::default() };
    let members = 3;
    let (loss, duplicates, slow, catch_up) = (0, 0, 0, false);
    let setup = Setup { nodes, members, ranges, seed, loss, duplicates, slow, catch_up, timing };
    let mut cluster = Cluster::new(setup);
    cluster.run(READY_MS);
    assert_eq!(cluster.holder(&cluster.ranges[0]), Some(0));
    cluster
}

fn cluster(nodes: usize, seed: u64) -> Cluster {
    cluster_of(nodes, 1, seed)
}

fn cut(cluster: &mut Cluster, pairs: &[(usize, usize)]) {
    cluster.cuts.extend(pairs.iter().flat_map(|(a, b)| [(*a, *b), (*b, *a)]));
}

fn join(cluster: &mut Cluster, a: usize, b: usize) {
    cluster.cuts.remove(&(a, b));
    cluster.cuts.remove(&(b, a));
}

fn assign(cluster: &mut Cluster, basis: Offset, members: &[usize], held: bool) -> Offset {
    let member = |index: &usize| cluster.hosts[*index].me.clone();
    let members: Vec<Member> = members.iter().map(member).collect();
    let range = cluster.ranges[0].clone();
    cluster.journal.assign(&range, basis, Some(members), held)
}

#[test]
fn a_closed_session_takes_its_promises_with_it() {
    for seed in 0..10 {
        let mut cluster = cluster(4, seed);
        cluster.cut_log(|index| index == 0);
        cut(&mut cluster, &[(0, 1), (3, 2), (3, 0)]);
        cluster.run(300);
        assign(&mut cluster, Offset(2), &[3, 1, 2], true);
        cluster.run(READY_MS);
        assert_eq!(cluster.holder(&cluster.ranges[0]), Some(0));
        join(&mut cluster, 0, 1);
        cluster.run(500);
        join(&mut cluster, 3, 2);
        cluster.run(READY_MS);
        assert_eq!(cluster.failure, None);
        assert!(cluster.holder(&cluster.ranges[0]).is_some_and(|holder| holder != 0));
    }
}

#[test]
fn a_witness_that_has_folded_a_newer_lease_seals_no_older_one() {
    for seed in 0..10 {
        let mut cluster = cluster(7, seed);
        cluster.cut_log(|index| index == 2);
        let all: Vec<_> = (0..7).filter(|other| *other != 2).map(|other| (2, other)).collect();
        cut(&mut cluster, &all);
        let second = assign(&mut cluster, Offset(2), &[3, 4, 5], true);
        cluster.run(READY_MS);
        assign(&mut cluster, second, &[6, 3, 4], true);
        cluster.run(READY_MS);
        assert_eq!(cluster.holder(&cluster.ranges[0]), Some(6));
        cluster.cuts.clear();
        cluster.run(READY_MS);
        assert_eq!(cluster.failure, None);
        assert_eq!(cluster.holder(&cluster.ranges[0]), Some(6));
    }
}

#[test]
fn the_promises_of_an_earlier_run_are_waited_out() {
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
fn a_holder_learns_of_more_revocations_than_one_answer_carries() {
    let count = 3 * (MAX_BATCH + 20);
    let mut cluster = cluster_of(3, count, 1);
    let members: Vec<_> = [1, 2, 0].iter().map(|index| cluster.hosts[*index].me.clone()).collect();
    for index in (0..count).step_by(3) {
        let basis = Offset(2 + index as u64);
        let range = cluster.ranges[index].clone();
        cluster.journal.assign(&range, basis, Some(members.clone()), true);
    }
    cluster.run(READY_MS);
    assert_eq!(cluster.failure, None);
    assert_eq!(cluster.holder(&cluster.ranges[0]), Some(1));
}

#[test]
fn a_range_of_a_service_that_is_published_again_waits_for_its_last_holder() {
    for (seed, pause) in (0..10).zip([0, 100, 400, 600, 900, 1200].into_iter().cycle()) {
        let mut cluster = cluster(5, seed);
        cluster.cut_log(|index| index == 0);
        let range = cluster.ranges[0].clone();
        cluster.journal.retire(&range, Offset(1));
        cluster.run(pause);
        cluster.journal.publish(&range);
        assign(&mut cluster, Offset(0), &[3, 4, 2], false);
        cluster.run(READY_MS);
        assert_eq!(cluster.failure, None, "seed {seed}");
        assert_eq!(cluster.holder(&range), Some(3), "seed {seed}");
    }
}

#[test]
fn a_ballot_for_a_lease_that_is_not_folded_yet_outlives_the_retired_one() {
    for seed in 0..10 {
        let mut cluster = cluster(4, seed);
        let range = cluster.ranges[0].clone();
        cluster.journal.retire(&range, Offset(1));
        cluster.run(600);
        cluster.cut_log(|index| index == 1);
        cut(&mut cluster, &[(2, 3)]);
        cluster.journal.publish(&range);
        assign(&mut cluster, Offset(0), &[3, 1, 2], false);
        cluster.run(2 * READY_MS);
        assert_eq!(cluster.failure, None, "seed {seed}");
        assert_eq!(cluster.holder(&range), Some(3), "seed {seed}");
    }
}
