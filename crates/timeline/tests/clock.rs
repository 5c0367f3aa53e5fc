//! Stamps of the hybrid logical clock always increase, and a remote stamp can't move it far ahead.

use rstest::rstest;
use skylarkdock_timeline::clock::{Clock, ClockError, Stamp};
use skylarkdock_units::times::{Millis, WallTime};

const MAX_LEAD: Millis = Millis(1000);

fn stamp(wall: u64, count: u32) -> Stamp {
    Stamp { wall: WallTime(wall), count }
}

#[test]
fn stamps_increase_while_the_wall_clock_stops_or_goes_back() {
    let mut clock = Clock::new(MAX_LEAD);
    let stamps = [50, 50, 40, 60].map(|now| clock.tick(WallTime(now)));
    assert_eq!(stamps, [stamp(50, 0), stamp(50, 1), stamp(50, 2), stamp(60, 0)]);
}

#[rstest]
#[case::behind_wall_clock(stamp(10, 5), stamp(100, 0))]
#[case::ahead_of_wall_clock(stamp(200, 5), stamp(200, 6))]
#[case::counter_overflow(stamp(200, u32::MAX), stamp(201, 0))]
#[case::at_max_lead(stamp(1100, 0), stamp(1100, 1))]
fn observing_a_stamp_issues_a_larger_one(#[case] seen: Stamp, #[case] expected: Stamp) {
    let mut clock = Clock::new(MAX_LEAD);
    assert_eq!(clock.observe(seen, WallTime(100)), Ok(expected));
}

#[test]
fn a_stamp_too_far_ahead_leaves_the_clock_unchanged() {
    let mut clock = Clock::new(MAX_LEAD);
    clock.tick(WallTime(100));
    let result = clock.observe(stamp(1101, 0), WallTime(100));
    let expected = ClockError::TooFarAhead {
        stamp: stamp(1101, 0),
        now: WallTime(100),
        lead: Millis(1001),
        max_lead: MAX_LEAD,
    };
    assert_eq!(result, Err(expected));
    assert_eq!(clock.last(), stamp(100, 0));
}
