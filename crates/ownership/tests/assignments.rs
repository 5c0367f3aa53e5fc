//! Newer assignments of a held range: once the holder acts on one, every successor must know it.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod cluster;

use cluster::{Cluster, ClusterConfig};
use rstest::rstest;
use skylarkdock_ownership::Timing;
use skylarkdock_units::ids::Offset;

const STABILIZATION_MS: u64 = 2000;
const ASSIGNMENT_SPREAD_MS: u64 = 500;

/// Returns a cluster whose only range has five members and is held by host 0, together with the
/// offsets of its old assignment and of a newer one that only `readers` have read.
fn cluster(seed: u64, readers: &[usize]) -> (Cluster, Offset, Offset) {
    let timing = Timing::default();
    let (loss, duplicates, delayed, catch_up) = (0, 0, 0, false);
    let config = ClusterConfig {
        nodes: 5,
        members: 5,
        ranges: 1,
        seed,
        loss,
        duplicates,
        delayed,
        catch_up,
        timing,
    };
    let mut cluster = Cluster::new(config);
    cluster.run(STABILIZATION_MS);
    let old = Offset(cluster.log.records.len() as u64);
    cluster.cut_log(|index| !readers.contains(&index));
    cluster.move_upstream(0, readers[0]);
    cluster.run(ASSIGNMENT_SPREAD_MS);
    let new = Offset(cluster.log.records.len() as u64);
    assert!(new > old);
    (cluster, old, new)
}

fn served_assignment(cluster: &Cluster) -> Option<Offset> {
    cluster.served().first().map(|(_, hold)| hold.assignment)
}

#[rstest]
#[case(&[0], false)]
#[case(&[0, 4], false)]
#[case(&[0, 3, 4], true)]
fn a_holder_adopts_an_assignment_once_a_majority_has_applied_it(
    #[case] readers: &[usize],
    #[case] adopted: bool,
) {
    let (mut cluster, old, new) = cluster(1, readers);
    assert_eq!(served_assignment(&cluster), Some(if adopted { new } else { old }));
    cluster.kill(0);
    cluster.run(ASSIGNMENT_SPREAD_MS);
    cluster.config.catch_up = true;
    cluster.run(STABILIZATION_MS);
    let expected = if readers.len() > 1 { new } else { old };
    assert_eq!(served_assignment(&cluster), Some(expected));
    assert_eq!(cluster.failure, None);
}

#[test]
fn a_claimant_waits_for_an_assignment_that_it_has_not_read() {
    let (mut cluster, _, new) = cluster(2, &[0, 3, 4]);
    cluster.kill(0);
    cluster.run(STABILIZATION_MS);
    assert!(cluster.served().iter().all(|(_, hold)| hold.assignment == new));
    cluster.cut_log(|_| false);
    cluster.run(STABILIZATION_MS);
    assert_eq!(served_assignment(&cluster), Some(new));
    assert_eq!(cluster.failure, None);
}

#[test]
fn a_claimant_does_not_adopt_an_assignment_without_a_majority() {
    let (mut cluster, old, _) = cluster(3, &[0, 1]);
    cluster.kill(0);
    cluster.run(1000);
    assert_eq!(served_assignment(&cluster), None);
    cluster.kill(1);
    cluster.run(STABILIZATION_MS);
    assert_eq!(served_assignment(&cluster), Some(old));
    assert_eq!(cluster.failure, None);
}
