//! For how long an earlier configuration may allow what the newest one does not.

use rstest::rstest;
use skylarkdock_freshness::earlier_configs::EarlierConfigs;
use skylarkdock_freshness::final_answers::Unproven;
use skylarkdock_units::times::{HostTime, Millis};

const APPLY_TIME: Millis = Millis(2_000);
/// Time after a host learned of a version for which an earlier one may be in force: the apply time, and the time that its
/// acknowledgement may take.
const WINDOW: u64 = 7_000;
const START: HostTime = HostTime(100_000);

/// Returns the state of a host that got version 1 long ago.
fn host() -> EarlierConfigs<u64> {
    let mut earlier = EarlierConfigs::new(APPLY_TIME);
    earlier.on_applied(None, HostTime(1_000));
    earlier
}

/// Returns what a host can say `after_ms` after the start of the test of a request that the version `allowing` allows.
fn judge(earlier: &EarlierConfigs<u64>, allowing: u64, after_ms: u64) -> Result<(), Unproven> {
    let now = START + Millis(after_ms);
    earlier.prove_none_allows(now, |version| *version == allowing).map(|_| ())
}

/// Guards against a rejection by a version whose acknowledgement took seconds, as the one before is in force meanwhile.
#[rstest]
#[case::at_once(0)]
#[case::after_the_apply_time(APPLY_TIME.0)]
#[case::after_a_late_acknowledgement(WINDOW - 1)]
fn a_replaced_version_counts_until_it_can_not_be_in_force(#[case] after_ms: u64) {
    let mut earlier = host();
    earlier.on_applied(Some(1), START);
    assert_eq!(judge(&earlier, 1, after_ms), Err(Unproven::EarlierAllows));
    assert_eq!(judge(&earlier, 1, WINDOW), Ok(()));
}

/// Guards against a rejection of what the first of many versions allows, as only some of them are remembered.
#[test]
fn the_first_of_nine_versions_in_series_counts_until_it_can_not_be_in_force() {
    let mut earlier = host();
    for version in 1..=9 {
        earlier.on_applied(Some(version), START + Millis(version * 330));
    }
    for after_ms in (9 * 330..9 * 330 + WINDOW).step_by(10) {
        assert!(judge(&earlier, 1, after_ms).is_err(), "{after_ms}");
    }
    assert_eq!(judge(&earlier, 1, 9 * 330 + WINDOW), Ok(()));
}

/// Guards against a rejection by a host that has just started, and knows of no version before its own.
#[test]
fn a_host_that_starts_does_not_know_what_earlier_versions_allow() {
    let mut earlier = EarlierConfigs::new(APPLY_TIME);
    assert_eq!(judge(&earlier, 0, 0), Err(Unproven::NoConfig));
    earlier.on_applied(None, START);
    assert_eq!(judge(&earlier, 0, WINDOW - 1), Err(Unproven::EarlierUnknown));
    assert_eq!(judge(&earlier, 0, WINDOW), Ok(()));
}

/// Guards against a rejection of what a version allows that the host never got, as the next one followed at once.
#[test]
fn a_version_may_have_been_in_force_between_two_that_a_host_had() {
    let mut earlier = host();
    earlier.on_applied(Some(1), START);
    assert_eq!(judge(&earlier, 0, WINDOW - 1), Err(Unproven::EarlierUnknown));
    assert_eq!(judge(&earlier, 0, WINDOW), Ok(()));
}

/// Guards against a 404 that is put down to a route that was removed long ago.
#[test]
fn a_replaced_version_is_found_until_it_can_not_be_in_force() {
    let mut earlier = host();
    earlier.on_applied(Some(1), START);
    earlier.on_applied(Some(2), START + Millis(10));
    let find = |after_ms| earlier.find_latest(START + Millis(after_ms), |version| *version < 3);
    assert_eq!(find(WINDOW - 1), Some(&2));
    assert_eq!(find(WINDOW + 9), Some(&2));
    assert_eq!(find(WINDOW + 10), None);
}
