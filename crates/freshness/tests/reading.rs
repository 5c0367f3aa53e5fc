//! Turns of the hosts of a zone, and the ages from which they read the store.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_freshness::reading::{self, Knowledge, Limits, Records, Turn};
use skylarkdock_units::ids::HostId;
use skylarkdock_units::times::Millis;

/// Times of the platform within which a configuration has to be in force and an upstream that leaves must get no more
/// requests, on small and large fleets.
const EFFECT_TIMES: [Millis; 2] = [Millis(2_000), Millis(3_000)];

fn knowledge(age: u64, turn: Turn) -> Knowledge {
    Knowledge {
        age: Millis(age),
        registry_age: Millis(age),
        is_known: true,
        leader_age: Some(Millis(0)),
        has_source: true,
        turn,
    }
}

/// Returns the age from which a host reads records itself.
fn read_age(limits: Limits, records: Records, turn: Turn) -> u64 {
    (0..200_000).find(|age| reading::reads_store(limits, records, &knowledge(*age, turn))).unwrap()
}

fn turns(hosts: usize) -> Vec<Turn> {
    let hosts = (0..hosts).map(|index| -> HostId { format!("h{index}").parse().unwrap() });
    let followers: Vec<HostId> = hosts.collect();
    let count = u32::try_from(followers.len()).unwrap();
    followers.iter().map(|host| Turn::of_follower(host, count)).collect()
}

/// The first host of a zone must have read the registry, and told the others, within the bound.
#[rstest]
fn the_first_host_of_a_zone_reads_while_there_is_time_to_tell_the_others() {
    for effect_time in EFFECT_TIMES {
        let limits = Limits::new(effect_time, effect_time);
        for records in [Records::Registry, Records::Config] {
            let age = read_age(limits, records, Turn::FIRST);
            assert!(age * 10 <= effect_time.0 * 6, "{age} of {effect_time}");
        }
        assert!(limits.isolation_age() < effect_time);
    }
}

/// With all hosts late at the same time, their reads of a 0.4 MB configuration must leave most of a link of 60 Mbit/s
/// free, whatever the number of hosts behind it.
#[rstest]
fn reads_of_late_hosts_take_a_small_part_of_the_link(#[values(3, 20, 50, 150)] hosts: usize) {
    const CONFIG_BYTES: u64 = 400_000;
    const LINK_BYTES_PER_SECOND: u64 = 7_500_000;
    const ZONES_OF_REGION: u64 = 2;
    let limits = Limits::new(Millis(3_000), Millis(3_000));
    let mut ages: Vec<u64> =
        turns(hosts).into_iter().map(|turn| read_age(limits, Records::Config, turn)).collect();
    ages.sort_unstable();
    let busiest_second = ages.iter().map(|start| {
        ages.iter().filter(|age| (*start..start + 1_000).contains(age)).count() as u64
    });
    let bytes = busiest_second.max().unwrap() * ZONES_OF_REGION * CONFIG_BYTES;
    assert!(bytes * 10 <= LINK_BYTES_PER_SECOND * 8, "{bytes} bytes in a second");
}

#[test]
fn followers_of_a_host_have_different_turns_after_the_first() {
    let turns = turns(20);
    assert!(turns.iter().all(|turn| *turn > Turn::FIRST && *turn <= Turn(20)));
    let distinct: std::collections::BTreeSet<Turn> = turns.iter().copied().collect();
    assert!(distinct.len() >= 10, "{distinct:?}");
}

/// A host that has no other one to ask must not wait until its records are too old.
#[test]
fn the_first_host_reads_at_once_without_a_source() {
    let limits = Limits::new(Millis(2_000), Millis(2_000));
    let known = Knowledge { has_source: false, ..knowledge(10, Turn::FIRST) };
    assert!(reading::reads_store(limits, Records::Registry, &known));
    let follower = Knowledge { turn: Turn(3), ..known };
    assert!(!reading::reads_store(limits, Records::Registry, &follower));
}

/// Hosts that start together take turns, too.
#[test]
fn a_host_that_starts_reads_at_its_turn() {
    let limits = Limits::new(Millis(3_000), Millis(3_000));
    let starting = |age, turn| Knowledge { is_known: false, ..knowledge(age, turn) };
    assert!(reading::reads_store(limits, Records::Config, &starting(0, Turn::FIRST)));
    assert!(!reading::reads_store(limits, Records::Config, &starting(599, Turn(1))));
    assert!(reading::reads_store(limits, Records::Config, &starting(600, Turn(1))));
}

/// All keepers may be unable to lead. Then others find out whether they could.
#[test]
fn hosts_read_the_registry_after_seconds_without_a_leader() {
    let limits = Limits::new(Millis(3_000), Millis(3_000));
    let unled = |age| Knowledge { leader_age: Some(Millis(age)), ..knowledge(0, Turn(1)) };
    assert!(!reading::reads_store(limits, Records::Registry, &unled(3_000)));
    assert!(reading::reads_store(limits, Records::Registry, &unled(6_000)));
    assert!(!reading::reads_store(limits, Records::Config, &unled(6_000)));
}
