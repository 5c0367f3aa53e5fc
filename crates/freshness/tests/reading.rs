//! Turns of the hosts of a zone, and the ages from which they read the store.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_freshness::reading::{self, Knowledge, Limits, Read, Records, Turn};
use skylarkdock_units::times::Millis;

/// Times of the platform within which a configuration has to be in force and an upstream that leaves must get no more
/// requests, on small and large fleets.
const EFFECT_TIMES: [Millis; 2] = [Millis(2_000), Millis(3_000)];

fn knowledge(age: u64, turn: Turn) -> Knowledge {
    Knowledge {
        age: Millis(age),
        registry_age: Millis(age),
        is_known: true,
        reads_whole: false,
        leader_age: Some(Millis(0)),
        has_source: true,
        turn,
    }
}

/// Returns the age from which a host reads records itself.
fn read_age(limits: Limits, records: Records, turn: Turn) -> u64 {
    let (mut late, mut early) = (1_000_000, 0);
    while early < late {
        let age = u64::midpoint(early, late);
        if reading::reads_store(limits, records, &knowledge(age, turn)) {
            late = age;
        } else {
            early = age + 1;
        }
    }
    late
}

/// Returns the turns of the hosts of a zone.
fn turns(hosts: u32) -> impl Iterator<Item = Turn> {
    std::iter::once(Turn::FIRST).chain((0..hosts - 1).map(Turn::of_follower))
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

/// On a grown site hosts of the last turns sent requests to an upstream 3.3 s after it had said that it leaves: they
/// waited 4.5 s for their turns, and no other host had the registry.
#[rstest]
fn every_host_reads_the_registry_in_time(#[values(0, 1, 5, 19, 149)] turn: u64) {
    for effect_time in EFFECT_TIMES {
        let age = read_age(Limits::new(effect_time, effect_time), Records::Registry, Turn(turn));
        assert!(age * 10 <= effect_time.0 * 8, "{age} of {effect_time}");
    }
}

/// Asking another host costs little, and its answer must arrive in time.
#[test]
fn a_host_asks_any_other_one_while_there_is_time() {
    for effect_time in EFFECT_TIMES {
        let limits = Limits::new(effect_time, effect_time);
        let asks = |age| reading::asks_any_host(limits, Millis(0), Millis(age), false);
        assert!(asks(effect_time.0 * 85 / 100));
    }
}

/// With all hosts late at the same time, their reads of a 0.4 MB configuration must leave half of a link of 60 Mbit/s
/// free, whatever the number of hosts behind it.
#[rstest]
fn reads_of_late_hosts_take_a_small_part_of_the_link(#[values(3, 20, 50, 150)] hosts: u32) {
    const CONFIG_BYTES: u64 = 400_000;
    const LINK_BYTES_PER_SECOND: u64 = 7_500_000;
    const ZONES_OF_REGION: u64 = 2;
    let limits = Limits::new(Millis(3_000), Millis(3_000));
    let mut ages: Vec<u64> =
        turns(hosts).map(|turn| read_age(limits, Records::Config, turn)).collect();
    ages.sort_unstable();
    let busiest_second = ages.iter().map(|start| {
        ages.iter().filter(|age| (*start..start + 1_000).contains(age)).count() as u64
    });
    let bytes = busiest_second.max().unwrap() * ZONES_OF_REGION * CONFIG_BYTES;
    assert!(bytes * 10 <= LINK_BYTES_PER_SECOND * 5, "{bytes} bytes in a second");
}

/// Returns how many of the hosts of a zone make a large read within the effect time, from the moment on at which the first
/// one does, while none of them hears another.
fn count_large_reads(hosts: u32, effect_time: Millis, reads: impl Fn(u64, Turn) -> bool) -> u64 {
    let first = (0..100_000).find(|age| reads(*age, Turn::FIRST)).unwrap();
    let readers = turns(hosts).filter(|turn| reads(first + effect_time.0, *turn));
    readers.count() as u64
}

/// With a share of the traffic links are thinner, and configurations and tables as large as ever. The hosts of a far region
/// that lost their sources began to read whole records faster than the link carried them, so no read ended.
#[rstest]
fn large_reads_of_late_hosts_fit_a_thin_link(
    #[values(20, 50, 150)] hosts: u32,
    #[values(false, true)] is_known: bool,
) {
    const NEWEST_CONFIG_BYTES: u64 = 533_000;
    const ZONES_OF_REGION: u64 = 2;
    const LINK_BYTES_PER_SECOND: u64 = 2_700_000;
    let effect_time = Millis(3_000);
    let limits = Limits::new(effect_time, effect_time);
    let reads = |age, turn| {
        let has_source = turn == Turn::FIRST;
        let known =
            Knowledge { is_known, reads_whole: !is_known, has_source, ..knowledge(age, turn) };
        reading::reads_store(limits, Records::Config, &known)
    };
    let bytes =
        count_large_reads(hosts, effect_time, reads) * ZONES_OF_REGION * NEWEST_CONFIG_BYTES;
    assert!(bytes * 2 <= LINK_BYTES_PER_SECOND * effect_time.0 / 1_000, "{bytes} bytes");
}

/// All hosts that started together read the whole registry within a fifth of the effect time.
#[test]
fn hosts_that_know_no_registry_take_turns() {
    for effect_time in EFFECT_TIMES {
        let limits = Limits::new(effect_time, effect_time);
        let reads = |age, turn| {
            let known = Knowledge {
                is_known: false,
                reads_whole: true,
                has_source: false,
                leader_age: None,
                ..knowledge(age, turn)
            };
            reading::reads_store(limits, Records::Registry, &known)
        };
        let readers = count_large_reads(150, effect_time, reads);
        assert!(readers <= 4, "{readers} hosts");
    }
}

/// The last host of a zone may have a late turn, and nobody to ask.
#[rstest]
fn a_host_that_is_left_alone_reads_in_time_to_recover(#[values(1, 4, 8)] turn: u64) {
    const RECOVERY: Millis = Millis(15_000);
    for effect_time in EFFECT_TIMES {
        let limits = Limits::new(effect_time, effect_time);
        assert!(limits.wait_for_turn(Turn(turn), Read::Bulk, false) < RECOVERY);
    }
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
    let starting =
        |age, turn| Knowledge { is_known: false, reads_whole: true, ..knowledge(age, turn) };
    assert!(reading::reads_store(limits, Records::Config, &starting(0, Turn::FIRST)));
    for has_source in [false, true] {
        let wait = limits.wait_for_turn(Turn(1), Read::Bulk, has_source).0;
        let known = |age| Knowledge { has_source, ..starting(age, Turn(1)) };
        assert!(!reading::reads_store(limits, Records::Config, &known(wait - 1)));
        assert!(reading::reads_store(limits, Records::Config, &known(wait)));
    }
}

/// All keepers may be unable to lead. Then others find out whether they could.
#[test]
fn hosts_read_the_registry_after_seconds_without_a_leader() {
    let limits = Limits::new(Millis(3_000), Millis(3_000));
    let unled = |age| Knowledge { leader_age: Some(Millis(age)), ..knowledge(0, Turn(1)) };
    assert!(!reading::reads_store(limits, Records::Registry, &unled(3_000)));
    assert!(reading::reads_store(limits, Records::Registry, &unled(7_000)));
    assert!(!reading::reads_store(limits, Records::Config, &unled(7_000)));
}

/// A keeper that the store refuses answers its followers, which waited for their turns or until they counted as isolated.
/// With 2 s for a configuration they had it 2.0 s after it was published.
#[test]
fn a_host_whose_source_can_not_read_asks_others_while_there_is_time() {
    for effect_time in EFFECT_TIMES {
        let limits = Limits::new(effect_time, effect_time);
        let asks = |age| reading::asks_any_host(limits, Millis(0), Millis(age), true);
        assert!(asks(effect_time.0 * 7 / 10));
        assert!(!asks(limits.max_age().0));
    }
}

/// A host that others don't follow wakes up rarely while it gets updates, and still finds in time that they have stopped:
/// it reads no later than 150 ms after the age from which it has to.
#[rstest]
fn checks_are_rare_and_in_time(
    #[values(Records::Registry, Records::Config, Records::Fleet)] records: Records,
    #[values(1, 7, 36)] turn: u64,
) {
    for effect_time in EFFECT_TIMES {
        let limits = Limits::new(effect_time, effect_time);
        let turn = Turn(turn);
        assert!(reading::check_interval(limits, records, &knowledge(300, turn)) >= Millis(600));
        let from = read_age(limits, records, turn);
        let mut age = 0;
        let mut previous = 0;
        while !reading::reads_store(limits, records, &knowledge(age, turn)) {
            previous = age;
            age += reading::check_interval(limits, records, &knowledge(age, turn)).0;
        }
        assert!(age <= from + 150, "{records:?}: checked at {previous} and {age}, due at {from}");
    }
}

/// The first host of a zone, and one that has lost its source, find out at once.
#[test]
fn the_hosts_that_others_follow_check_often() {
    let limits = Limits::new(Millis(3_000), Millis(3_000));
    for records in [Records::Registry, Records::Config, Records::Fleet] {
        let first = reading::check_interval(limits, records, &knowledge(0, Turn::FIRST));
        let lost = Knowledge { has_source: false, ..knowledge(0, Turn(4)) };
        let lost = reading::check_interval(limits, records, &lost);
        assert_eq!((first, lost), (Millis(150), Millis(150)), "{records:?}");
    }
}
