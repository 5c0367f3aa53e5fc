//! Grants are renewed, withdrawn and waited out.

use skylarkdock_grants::manager::{DRIFT_MS, GRANT_MS, RENEW_MS};
use skylarkdock_grants::{Answer, Call, Keeper, Phase};
use skylarkdock_units::ids::{Epoch, Offset, RangeIndex};
use skylarkdock_units::times::{HostTime, Millis};

const RANGE: RangeIndex = RangeIndex(7);

fn token(offset: u64) -> Epoch {
    Epoch { offset: Offset(offset), place: 0 }
}

fn taken(now: u64) -> Answer {
    Answer::Taken { now: Millis(now), refused: Vec::new() }
}

/// Returns a keeper whose range was granted at 1,010 on an upstream clock of 50,000.
fn granted() -> Keeper {
    let mut keeper = Keeper::default();
    keeper.want(RANGE, token(3), HostTime(0));
    assert_eq!(keeper.poll(HostTime(1_000)), Some(Call::Clock));
    keeper.answered(HostTime(1_005), taken(50_000));
    let call = keeper.poll(HostTime(1_006));
    assert!(matches!(call, Some(Call::Renew { until, .. }) if until == Millis(50_000) + GRANT_MS));
    keeper.answered(HostTime(1_010), taken(50_005));
    assert_eq!(keeper.phase(RANGE, HostTime(1_010)), Phase::Granted);
    keeper
}

#[test]
fn a_grant_is_based_on_the_upstreams_clock_and_renewed() {
    let mut keeper = granted();
    assert_eq!(keeper.poll(HostTime(1_050)), None);
    let call = keeper.poll(HostTime(1_006) + RENEW_MS);
    assert!(matches!(call, Some(Call::Renew { until, .. }) if until == Millis(50_005) + GRANT_MS));
}

#[test]
fn a_lost_answer_still_counts_towards_the_lapse() {
    let mut keeper = granted();
    assert!(keeper.poll(HostTime(1_150)).is_some());
    keeper.answered(HostTime(1_400), Answer::Lost);
    keeper.withdraw(RANGE);
    let lapse = HostTime(1_010) + GRANT_MS + DRIFT_MS;
    assert_eq!(keeper.phase(RANGE, lapse), Phase::Withdrawing);
    assert_eq!(keeper.phase(RANGE, lapse + Millis(1)), Phase::Free);
}

#[test]
fn a_confirmed_withdrawal_frees_at_once() {
    let mut keeper = granted();
    keeper.withdraw(RANGE);
    let orders = keeper.poll_withdrawals().unwrap_or_default();
    assert_eq!(orders.len(), 1);
    assert_eq!(keeper.poll_withdrawals(), None);
    keeper.withdrawn(HostTime(1_012), &orders, true);
    assert_eq!(keeper.phase(RANGE, HostTime(1_012)), Phase::Free);
}

#[test]
fn an_unconfirmed_withdrawal_is_repeated() {
    let mut keeper = granted();
    keeper.withdraw(RANGE);
    let orders = keeper.poll_withdrawals().unwrap_or_default();
    keeper.withdrawn(HostTime(1_012), &orders, false);
    assert_eq!(keeper.phase(RANGE, HostTime(1_012)), Phase::Withdrawing);
    assert_eq!(keeper.poll_withdrawals(), Some(orders));
}

#[test]
fn an_answer_to_a_renewal_confirms_no_withdrawal() {
    let mut keeper = granted();
    assert!(keeper.poll(HostTime(1_150)).is_some());
    keeper.withdraw(RANGE);
    keeper.answered(HostTime(1_152), taken(50_150));
    assert_eq!(keeper.phase(RANGE, HostTime(1_152)), Phase::Withdrawing);
}

#[test]
fn a_range_wanted_again_is_not_freed_by_the_old_withdrawal() {
    let mut keeper = granted();
    keeper.withdraw(RANGE);
    let orders = keeper.poll_withdrawals().unwrap_or_default();
    keeper.want(RANGE, token(9), HostTime(0));
    keeper.withdrawn(HostTime(1_012), &orders, true);
    assert_eq!(keeper.phase(RANGE, HostTime(1_012)), Phase::Asked);
}

#[test]
fn the_upstreams_clock_alone_grants_nothing() {
    let mut keeper = Keeper::default();
    keeper.want(RANGE, token(3), HostTime(0));
    assert_eq!(keeper.poll(HostTime(1_000)), Some(Call::Clock));
    keeper.answered(HostTime(1_005), taken(50_000));
    assert_eq!(keeper.phase(RANGE, HostTime(1_005)), Phase::Asked);
}

#[test]
fn a_larger_token_fences_the_range() {
    let mut keeper = granted();
    assert!(keeper.poll(HostTime(1_150)).is_some());
    let now = Millis(50_150);
    let answer = Answer::Taken { now, refused: vec![RANGE] };
    keeper.answered(HostTime(1_152), answer);
    assert_eq!(keeper.phase(RANGE, HostTime(1_152)), Phase::Fenced);
}

#[test]
fn a_new_holder_waits_out_the_grants_of_the_old_one() {
    let mut keeper = Keeper::default();
    keeper.want(RANGE, token(4), HostTime(2_000));
    keeper.withdraw(RANGE);
    assert_eq!(keeper.phase(RANGE, HostTime(2_000)), Phase::Withdrawing);
    assert_eq!(keeper.phase(RANGE, HostTime(2_001)), Phase::Free);
}

#[test]
fn an_upstream_that_does_not_check_needs_no_grants() {
    let mut keeper = Keeper::default();
    keeper.want(RANGE, token(3), HostTime(0));
    assert!(keeper.poll(HostTime(1_000)).is_some());
    keeper.answered(HostTime(1_001), Answer::Unchecked);
    assert_eq!(keeper.phase(RANGE, HostTime(1_001)), Phase::Granted);
    assert_eq!(keeper.poll(HostTime(2_000)), None);
}

#[test]
fn a_renewal_that_may_still_arrive_holds_back_a_confirmed_withdrawal() {
    let mut keeper = granted();
    assert!(keeper.poll(HostTime(1_150)).is_some());
    keeper.withdraw(RANGE);
    let orders = keeper.poll_withdrawals().unwrap_or_default();
    keeper.withdrawn(HostTime(1_160), &orders, true);
    assert_eq!(keeper.phase(RANGE, HostTime(1_160)), Phase::Withdrawing);

    keeper.answered(HostTime(1_400), Answer::Lost);
    let orders = keeper.poll_withdrawals().unwrap_or_default();
    keeper.withdrawn(HostTime(1_401), &orders, true);
    assert_eq!(keeper.phase(RANGE, HostTime(1_401)), Phase::Withdrawing);
    let lapse = HostTime(1_010) + GRANT_MS + DRIFT_MS;
    assert_eq!(keeper.phase(RANGE, lapse + Millis(1)), Phase::Free);
}
