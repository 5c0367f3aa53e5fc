//! Renewal, withdrawal and expiry of an upstream's grants.

use skylarkdock_grants::manager::{GRANT_DURATION_MS, MAX_CLOCK_DRIFT_MS, RENEWAL_INTERVAL_MS};
use skylarkdock_grants::{Call, CallOutcome, GrantManager, GrantPhase};
use skylarkdock_units::ids::{Epoch, Offset, RangeIndex};
use skylarkdock_units::times::{HostTime, Millis};

const RANGE: RangeIndex = RangeIndex(7);

fn token(offset: u64) -> Epoch {
    Epoch { offset: Offset(offset), place: 0 }
}

fn answered_at(now: u64) -> CallOutcome {
    CallOutcome::Answered { now: Millis(now), refused: Vec::new() }
}

/// Returns a manager whose grant of [`RANGE`] was confirmed at host time 1,010 and is based on an
/// upstream clock of 50,000.
fn manager_with_grant() -> GrantManager {
    let mut manager = GrantManager::default();
    manager.request_grant(RANGE, token(3), HostTime(0));
    assert_eq!(manager.poll(HostTime(1_000)), Some(Call::ReadClock));
    manager.handle_outcome(HostTime(1_005), answered_at(50_000));
    let call = manager.poll(HostTime(1_006));
    assert!(
        matches!(call, Some(Call::Renew { until, .. }) if until == Millis(50_000) + GRANT_DURATION_MS)
    );
    manager.handle_outcome(HostTime(1_010), answered_at(50_005));
    assert_eq!(manager.phase(RANGE, HostTime(1_010)), GrantPhase::Granted);
    manager
}

#[test]
fn a_grant_is_based_on_the_upstreams_clock_and_renewed() {
    let mut manager = manager_with_grant();
    assert_eq!(manager.poll(HostTime(1_050)), None);
    let call = manager.poll(HostTime(1_006) + RENEWAL_INTERVAL_MS);
    assert!(
        matches!(call, Some(Call::Renew { until, .. }) if until == Millis(50_005) + GRANT_DURATION_MS)
    );
}

#[test]
fn a_renewal_without_a_response_still_extends_the_expiry() {
    let mut manager = manager_with_grant();
    assert!(manager.poll(HostTime(1_150)).is_some());
    manager.handle_outcome(HostTime(1_400), CallOutcome::NoResponse);
    manager.withdraw(RANGE);
    let expiry = HostTime(1_010) + GRANT_DURATION_MS + MAX_CLOCK_DRIFT_MS;
    assert_eq!(manager.phase(RANGE, expiry), GrantPhase::Withdrawing);
    assert_eq!(manager.phase(RANGE, expiry + Millis(1)), GrantPhase::Released);
}

#[test]
fn a_confirmed_withdrawal_releases_the_range_at_once() {
    let mut manager = manager_with_grant();
    manager.withdraw(RANGE);
    let ranges = manager.poll_withdrawals().unwrap_or_default();
    assert_eq!(ranges.len(), 1);
    assert_eq!(manager.poll_withdrawals(), None);
    manager.handle_withdrawal(HostTime(1_012), &ranges, true);
    assert_eq!(manager.phase(RANGE, HostTime(1_012)), GrantPhase::Released);
}

#[test]
fn an_unconfirmed_withdrawal_is_repeated() {
    let mut manager = manager_with_grant();
    manager.withdraw(RANGE);
    let ranges = manager.poll_withdrawals().unwrap_or_default();
    manager.handle_withdrawal(HostTime(1_012), &ranges, false);
    assert_eq!(manager.phase(RANGE, HostTime(1_012)), GrantPhase::Withdrawing);
    assert_eq!(manager.poll_withdrawals(), Some(ranges));
}

#[test]
fn the_outcome_of_a_renewal_does_not_confirm_a_withdrawal() {
    let mut manager = manager_with_grant();
    assert!(manager.poll(HostTime(1_150)).is_some());
    manager.withdraw(RANGE);
    manager.handle_outcome(HostTime(1_152), answered_at(50_150));
    assert_eq!(manager.phase(RANGE, HostTime(1_152)), GrantPhase::Withdrawing);
}

#[test]
fn a_range_requested_again_is_not_released_by_the_old_withdrawal() {
    let mut manager = manager_with_grant();
    manager.withdraw(RANGE);
    let ranges = manager.poll_withdrawals().unwrap_or_default();
    manager.request_grant(RANGE, token(9), HostTime(0));
    manager.handle_withdrawal(HostTime(1_012), &ranges, true);
    assert_eq!(manager.phase(RANGE, HostTime(1_012)), GrantPhase::Requested);
}

#[test]
fn a_clock_reading_alone_confirms_no_grant() {
    let mut manager = GrantManager::default();
    manager.request_grant(RANGE, token(3), HostTime(0));
    assert_eq!(manager.poll(HostTime(1_000)), Some(Call::ReadClock));
    manager.handle_outcome(HostTime(1_005), answered_at(50_000));
    assert_eq!(manager.phase(RANGE, HostTime(1_005)), GrantPhase::Requested);
}

#[test]
fn a_larger_token_fences_the_range() {
    let mut manager = manager_with_grant();
    assert!(manager.poll(HostTime(1_150)).is_some());
    let now = Millis(50_150);
    let outcome = CallOutcome::Answered { now, refused: vec![RANGE] };
    manager.handle_outcome(HostTime(1_152), outcome);
    assert_eq!(manager.phase(RANGE, HostTime(1_152)), GrantPhase::Fenced);
}

#[test]
fn a_new_holder_waits_until_the_grants_of_the_previous_one_expire() {
    let mut manager = GrantManager::default();
    manager.request_grant(RANGE, token(4), HostTime(2_000));
    manager.withdraw(RANGE);
    assert_eq!(manager.phase(RANGE, HostTime(2_000)), GrantPhase::Withdrawing);
    assert_eq!(manager.phase(RANGE, HostTime(2_001)), GrantPhase::Released);
}

#[test]
fn an_upstream_that_does_not_check_grants_gets_no_calls() {
    let mut manager = GrantManager::default();
    manager.request_grant(RANGE, token(3), HostTime(0));
    assert!(manager.poll(HostTime(1_000)).is_some());
    manager.handle_outcome(HostTime(1_001), CallOutcome::FencingUnsupported);
    assert_eq!(manager.phase(RANGE, HostTime(1_001)), GrantPhase::Granted);
    assert_eq!(manager.poll(HostTime(2_000)), None);
}

/// A 404 of any process on the way released a range at once, while the upstream still served it by its last grant.
#[test]
fn an_answer_that_grants_are_not_checked_releases_no_range_before_its_expiry() {
    let mut manager = manager_with_grant();
    assert!(manager.poll(HostTime(1_150)).is_some());
    manager.withdraw(RANGE);
    manager.handle_outcome(HostTime(1_152), CallOutcome::FencingUnsupported);
    assert_eq!(manager.phase(RANGE, HostTime(1_152)), GrantPhase::Withdrawing);
    let expiry = HostTime(1_010) + GRANT_DURATION_MS + MAX_CLOCK_DRIFT_MS;
    assert_eq!(manager.phase(RANGE, expiry), GrantPhase::Withdrawing);
    assert_eq!(manager.phase(RANGE, expiry + Millis(1)), GrantPhase::Released);
    assert_eq!(manager.poll(expiry + Millis(1)), None);
    assert!(manager.is_idle());
}

#[test]
fn a_renewal_that_may_still_arrive_delays_a_confirmed_withdrawal() {
    let mut manager = manager_with_grant();
    assert!(manager.poll(HostTime(1_150)).is_some());
    manager.withdraw(RANGE);
    let ranges = manager.poll_withdrawals().unwrap_or_default();
    manager.handle_withdrawal(HostTime(1_160), &ranges, true);
    assert_eq!(manager.phase(RANGE, HostTime(1_160)), GrantPhase::Withdrawing);

    manager.handle_outcome(HostTime(1_400), CallOutcome::NoResponse);
    let ranges = manager.poll_withdrawals().unwrap_or_default();
    manager.handle_withdrawal(HostTime(1_401), &ranges, true);
    assert_eq!(manager.phase(RANGE, HostTime(1_401)), GrantPhase::Withdrawing);
    let expiry = HostTime(1_010) + GRANT_DURATION_MS + MAX_CLOCK_DRIFT_MS;
    assert_eq!(manager.phase(RANGE, expiry + Millis(1)), GrantPhase::Released);
}
