//! Who stands for election.

use rstest::rstest;
use skylarkdock_freshness::election::{self, Candidate};
use skylarkdock_freshness::reading::Turn;
use skylarkdock_units::times::Millis;

/// Time within which another host has to lead after the loss of the leader.
const LEADER_BOUND: Millis = Millis(3_000);
/// Longest time between two checks of a host whether it stands, and of its call to the store.
const CHECK_AND_CALL: Millis = Millis(150 + 50);

/// A host near the store that reads it and last heard of a leader some time ago.
fn candidate(leader_age: u64) -> Candidate {
    Candidate {
        leader_age: Some(Millis(leader_age)),
        uptime: Millis(60_000),
        read_age: Some(Millis(300)),
        min_latency: Millis(5),
        knows_hosts: true,
        is_small: false,
        turn: Turn::FIRST,
    }
}

fn first_stand(stands: impl Fn(u64) -> bool) -> u64 {
    (0..60_000).find(|age| stands(*age)).unwrap_or(u64::MAX)
}

#[rstest]
fn the_first_host_of_a_zone_stands_in_time(#[values(false, true)] is_small: bool) {
    let age = first_stand(|age| election::stands(&Candidate { is_small, ..candidate(age) }));
    assert!(Millis(age) + CHECK_AND_CALL <= LEADER_BOUND, "{age}");
}

/// The first hosts of all zones may be lost with the leader.
#[rstest]
fn further_hosts_stand_one_after_the_other(#[values(1, 7, 50)] turn: u64) {
    let stand = |turn| {
        first_stand(|age| election::stands(&Candidate { turn: Turn(turn), ..candidate(age) }))
    };
    assert!(stand(turn) > stand(0));
    assert!(stand(turn) <= 10_000, "{}", stand(turn));
}

/// Members that can't hear the store held leadership without knowing it, and each further member may move it.
#[rstest]
#[case::never_read(None)]
#[case::read_long_ago(Some(Millis(1_500)))]
fn a_host_that_does_not_read_the_store_does_not_stand(#[case] read_age: Option<Millis>) {
    for leader_age in [None, Some(Millis(2_500)), Some(Millis(60_000))] {
        let late = Candidate { leader_age, read_age, ..candidate(0) };
        assert!(!election::stands(&late), "{late:?}");
    }
}

/// A host that is late but knows of a recent heartbeat of the leader stood, and so did dozens of others.
#[test]
fn a_host_that_knows_a_leader_does_not_stand() {
    assert!(!election::stands(&candidate(1_900)));
    assert!(!election::lacks_leader(Some(Millis(1_900))));
    assert!(!election::lacks_leader(None));
}

#[test]
fn hosts_of_another_region_leave_it_to_those_near_the_store() {
    let far = |age| Candidate { min_latency: Millis(17), ..candidate(age) };
    let near = first_stand(|age| election::stands(&candidate(age)));
    let far = first_stand(|age| election::stands(&far(age)));
    assert!(far >= near + 1_000, "{near} and {far}");
}

#[test]
fn a_host_that_starts_waits_for_news_of_a_leader_if_it_knows_others() {
    let started = |uptime, knows_hosts| Candidate {
        leader_age: None,
        uptime: Millis(uptime),
        knows_hosts,
        ..candidate(0)
    };
    assert!(election::stands(&started(10, false)));
    assert!(!election::stands(&started(300, true)));
    assert!(election::stands(&started(600, true)));
}
