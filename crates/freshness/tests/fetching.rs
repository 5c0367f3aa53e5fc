//! Whom a host asks for a configuration of which it was told, and when.

use rstest::rstest;
use skylarkdock_freshness::fetching::{
    Distance, FarTurn, Fetching, RecentAnswers, Step, UrgentAge,
};
use skylarkdock_freshness::versions::Origin;
use skylarkdock_units::times::{HostTime, Millis};

const OWN: Origin = Origin(1);
const START: HostTime = HostTime(100_000);
/// With this time, a version is asked for at once from an age of 1.8 s on.
const APPLY_TIME: Millis = Millis(3_000);
/// Publication of a version that is asked for at once.
const LONG_AGO: HostTime = HostTime(START.0 - 2_000);

fn fetching() -> Fetching {
    let mut fetching = Fetching::new(OWN, UrgentAge::new(APPLY_TIME));
    fetching.on_in_force(9);
    fetching
}

/// Hosts 10 to 19 are in the same zone, 20 to 29 in the same region, 30 to 39 in another one. Others are not known.
fn place(origin: Origin) -> Option<(Distance, Origin)> {
    let distance = match origin.0 {
        10..=19 => Distance::Zone,
        20..=29 => Distance::Region,
        30..=39 => Distance::Far,
        _ => return None,
    };
    Some((distance, origin))
}

/// Returns a turn of which the host waits for at least the given time before it asks another region.
fn far_turn(min_wait: Millis) -> FarTurn {
    let others = (0..200).map(|other| Origin(1_000 + other));
    let mut turns = (0..500).map(|version| FarTurn::new(OWN, others.clone(), version));
    let waits = |turn: &FarTurn| match claimed(&[30]).next(place, *turn, START) {
        Step::WaitUntil(at) => at.since(START) >= min_wait,
        Step::Ask(_) => min_wait == Millis(0),
        Step::Idle => false,
    };
    turns.find(waits).unwrap_or_else(|| panic!("no such turn"))
}

fn claimed(origins: &[u32]) -> Fetching {
    let mut fetching = fetching();
    for origin in origins {
        fetching.on_claim(Origin(*origin), 12, LONG_AGO, START);
    }
    fetching
}

fn step(fetching: &Fetching, after_ms: u64) -> Step<Origin> {
    let alone = FarTurn::new(OWN, std::iter::empty(), 12);
    fetching.next(place, alone, START + Millis(after_ms))
}

/// Guards against calls across regions, or to another zone, while a nearer host has the version.
#[rstest]
#[case::same_zone(&[30, 20, 10], 10)]
#[case::same_region(&[30, 20, 31], 20)]
#[case::far(&[30], 30)]
#[case::unknown_ones_are_left_out(&[50, 30, 51], 30)]
fn the_nearest_host_is_asked(#[case] origins: &[u32], #[case] asked: u32) {
    assert_eq!(step(&claimed(origins), 0), Step::Ask(Origin(asked)));
}

/// Guards against a second transfer of each version that updates bring anyway.
#[test]
fn a_young_version_is_left_to_updates_for_a_while() {
    let mut fetching = fetching();
    fetching.on_claim(Origin(10), 12, START - Millis(500), START);
    assert_eq!(step(&fetching, 0), Step::WaitUntil(START + Millis(400)));
    assert_eq!(step(&fetching, 399), Step::WaitUntil(START + Millis(400)));
    assert_eq!(step(&fetching, 400), Step::Ask(Origin(10)));
    // Updates have brought it.
    fetching.on_in_force(12);
    assert_eq!(step(&fetching, 400), Step::Idle);
}

/// Guards against refusals that begin while the source of updates still has its time.
#[test]
fn a_version_is_asked_for_well_before_hosts_without_it_refuse() {
    let mut fetching = fetching();
    fetching.on_claim(Origin(10), 12, START - Millis(1_700), START);
    assert_eq!(step(&fetching, 99), Step::WaitUntil(START + Millis(100)));
    assert_eq!(step(&fetching, 100), Step::Ask(Origin(10)));
}

/// Guards against a host that goes on asking one that does not answer while another one could.
#[test]
fn after_a_failure_the_next_host_is_asked() {
    let mut fetching = claimed(&[10, 20, 30]);
    for asked in [10, 20, 30] {
        assert_eq!(step(&fetching, 0), Step::Ask(Origin(asked)));
        fetching.on_failure(Origin(asked), START);
    }
    assert_eq!(step(&fetching, 0), Step::WaitUntil(START + Millis(100)));
    assert_eq!(step(&fetching, 100), Step::Ask(Origin(10)));
}

/// Guards against hosts that load the only one that has a version, or that claims one which does not exist.
#[test]
fn the_pauses_between_calls_to_a_host_grow_up_to_a_limit() {
    let mut fetching = claimed(&[10]);
    let mut now = START;
    let mut pauses = Vec::new();
    for _ in 0..8 {
        assert_eq!(step(&fetching, now.since(START).0), Step::Ask(Origin(10)));
        fetching.on_failure(Origin(10), now);
        let Step::WaitUntil(at) = step(&fetching, now.since(START).0) else { panic!("no pause") };
        pauses.push(at.since(now).0);
        now = at;
    }
    assert_eq!(pauses, [100, 200, 400, 800, 1_600, 3_200, 3_200, 3_200]);
    assert_eq!(step(&fetching, 60_000), Step::Idle);
}

/// Guards against a host that asks all others again and again for a version which it can't use.
#[test]
fn calls_become_rare_however_many_hosts_claim_a_version() {
    let mut fetching = fetching();
    for origin in 0..300 {
        fetching.on_claim(Origin(1_000 + origin), 12, LONG_AGO, START);
    }
    let near = |origin| Some((Distance::Region, origin));
    let alone = FarTurn::new(OWN, std::iter::empty(), 12);
    let mut now = START;
    let mut calls = 0;
    loop {
        match fetching.next(near, alone, now) {
            Step::Ask(origin) => {
                calls += 1;
                now = now + Millis(5);
                fetching.on_failure(origin, now);
            }
            Step::WaitUntil(at) => now = at,
            Step::Idle => break,
        }
    }
    assert!(calls <= 30, "{calls} calls");
}

/// Guards against a host that asks for what it has, or for an older version.
#[test]
fn nothing_is_asked_for_without_a_newer_version() {
    let mut fetching = fetching();
    fetching.on_claim(Origin(10), 9, LONG_AGO, START);
    fetching.on_claim(Origin(11), 8, LONG_AGO, START);
    fetching.on_claim(OWN, 12, LONG_AGO, START);
    assert_eq!((fetching.newest(), step(&fetching, 0)), (None, Step::Idle));
    fetching.on_claim(Origin(12), 12, LONG_AGO, START);
    assert_eq!(fetching.newest(), Some(12));
    fetching.on_in_force(10);
    assert_eq!(step(&fetching, 0), Step::Ask(Origin(12)));
    fetching.on_in_force(12);
    fetching.on_in_force(11);
    assert_eq!((fetching.newest(), step(&fetching, 0)), (None, Step::Idle));
}

/// Guards against a host that starts, which has other ways to its first configuration.
#[test]
fn a_host_without_a_configuration_asks_nobody() {
    let mut fetching = Fetching::new(OWN, UrgentAge::new(APPLY_TIME));
    fetching.on_claim(Origin(10), 12, LONG_AGO, START);
    assert_eq!(step(&fetching, 0), Step::Idle);
}

/// Guards against a host that never asks another one, as that told of its version before its record was known.
#[test]
fn a_host_that_is_not_known_yet_is_looked_for_again() {
    let mut fetching = claimed(&[50]);
    assert_eq!(step(&fetching, 0), Step::WaitUntil(START + Millis(250)));
    let alone = FarTurn::new(OWN, std::iter::empty(), 12);
    let later = START + Millis(250);
    let place = |origin| Some((Distance::Zone, origin));
    assert_eq!(fetching.next(place, alone, later), Step::Ask(Origin(50)));
    fetching.on_in_force(12);
    assert_eq!(step(&fetching, 250), Step::Idle);
}

/// Guards against hosts of a region that all ask another region at once.
#[test]
fn few_hosts_ask_another_region_at_first() {
    for version in 0..50 {
        let hosts: Vec<Origin> = (0..147).map(|host| Origin(host * 7 + 5)).collect();
        let waits = hosts.iter().map(|own| {
            let others = hosts.iter().copied().filter(|other| other != own);
            let turn = FarTurn::new(*own, others, version);
            match claimed(&[30]).next(place, turn, START) {
                Step::Ask(_) => 0,
                Step::WaitUntil(at) => at.since(START).0,
                Step::Idle => panic!("no call"),
            }
        });
        let waits: Vec<u64> = waits.collect();
        let count = |wait| waits.iter().filter(|other| **other == wait).count();
        let counts = [0, 300, 600, 900, 1_200, 1_500].map(count);
        assert_eq!(counts, [4, 8, 16, 32, 64, 23], "version {version}");
    }
}

/// Guards against a turn in asking other regions that puts off a call to a near host.
#[test]
fn a_late_turn_concerns_other_regions_only() {
    let late = far_turn(Millis(600));
    let at = |fetching: &Fetching| fetching.next(place, late, START);
    assert!(matches!(at(&claimed(&[30])), Step::WaitUntil(_)));
    assert_eq!(at(&claimed(&[30, 20])), Step::Ask(Origin(20)));
}

/// Guards against calls to another region as the near hosts that have the version can't answer all at once.
#[test]
fn a_near_host_that_is_busy_is_asked_again() {
    let mut fetching = claimed(&[10, 20, 30]);
    for asked in [10, 20] {
        assert_eq!(step(&fetching, 0), Step::Ask(Origin(asked)));
        fetching.on_busy(Origin(asked), START);
    }
    assert_eq!(step(&fetching, 0), Step::WaitUntil(START + Millis(100)));
    assert_eq!(step(&fetching, 100), Step::Ask(Origin(10)));
    for asked in [10, 20] {
        fetching.on_failure(Origin(asked), START + Millis(100));
    }
    assert_eq!(step(&fetching, 100), Step::Ask(Origin(30)));
}

/// Guards against a host that answers so many others that its link is full.
#[test]
fn the_answers_of_a_host_are_bounded() {
    let mut answers = RecentAnswers::default();
    for _ in 0..16 {
        assert!(answers.admits(false, START));
        answers.record(100, false, START);
    }
    assert!(!answers.admits(false, START + Millis(99)));
    assert!(answers.admits(false, START + Millis(100)));
    answers.record(500_000, false, START + Millis(100));
    assert!(!answers.admits(false, START + Millis(199)));
    assert!(answers.admits(false, START + Millis(200)));
}

/// Guards against a region that waits as the hosts near the only one that has a version ask it as well.
#[test]
fn near_hosts_do_not_use_up_the_answers_to_another_region() {
    let mut answers = RecentAnswers::default();
    (0..16).for_each(|_| answers.record(500_000, false, START));
    for _ in 0..4 {
        assert!(answers.admits(true, START));
        answers.record(500_000, true, START);
    }
    assert!(!answers.admits(true, START + Millis(99)));
    assert!(answers.admits(true, START + Millis(100)));
}

/// Guards against memory that grows with damaged or invented claims.
#[test]
fn the_claimants_that_are_kept_are_bounded() {
    let mut fetching = fetching();
    for number in 0..10_000 {
        let origin = Origin(1_000 + number);
        fetching.on_claim(origin, 12, LONG_AGO, START + Millis(u64::from(number)));
    }
    fetching.on_claim(Origin(10), 12, LONG_AGO, START + Millis(20_000));
    assert_eq!(step(&fetching, 20_000), Step::Ask(Origin(10)));
    assert!(format!("{fetching:?}").matches("origin").count() <= 512);
}
