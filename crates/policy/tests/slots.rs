//! Limits on slots and connections, ramp-up, and retry budgets.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;
use skylarkdock_policy::budget::{AttemptBudget, BudgetExhausted};
use skylarkdock_policy::slots::{LimitError, LimiterBuilder, RangeShare};
use skylarkdock_units::times::{HostTime, Millis};

const SEED: u64 = 7;

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() }
}

#[derive(Debug, Clone)]
enum Step {
    Acquire,
    Release,
    Connect,
    Healthy,
    Lost,
    Drain(bool),
    Share(u32, u32),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Acquire),
        2 => Just(Step::Release),
        1 => Just(Step::Connect),
        1 => Just(Step::Healthy),
        1 => Just(Step::Lost),
        1 => any::<bool>().prop_map(Step::Drain),
        1 => (0..9_u32, 1..9_u32).prop_map(|(held, total)| Step::Share(held.min(total), total)),
        2 => (0..5_000_u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn requests_in_flight_and_connections_stay_within_their_limits(
        slots in 0..9_u32,
        steps in prop::collection::vec(step(), 0..200),
    ) {
        let mut limiter = LimiterBuilder::new().slots(slots).connections(5).build();
        let mut now = HostTime(0);
        let mut held = Vec::new();
        let mut connections = Vec::new();
        for step in steps {
            match step {
                Step::Acquire => {
                    let limit = limiter.limit(now);
                    if let Ok(slot) = limiter.acquire(now) {
                        held.push(slot);
                        prop_assert!(limiter.in_flight() <= limit);
                    } else {
                        prop_assert!(limiter.in_flight() >= limit);
                    }
                }
                Step::Release => held.pop().into_iter().for_each(|slot| limiter.release(slot)),
                Step::Connect => connections.extend(limiter.acquire_connection()),
                Step::Healthy => limiter.mark_healthy(now),
                Step::Lost => limiter.mark_lost(),
                Step::Drain(draining) => limiter.set_draining(draining),
                Step::Share(held, total) => limiter.set_share(RangeShare { held, total }),
                Step::Wait(span) => now = now + Millis(span),
            }
            prop_assert_eq!(usize::try_from(limiter.in_flight()).unwrap(), held.len());
            prop_assert!(held.len() <= usize::try_from(slots).unwrap());
            prop_assert!(connections.len() <= 5);
        }
    }

    #[test]
    fn extra_attempts_stay_within_burst_and_percentage(
        percent in 0..50_u32,
        burst in 0..20_u32,
        steps in prop::collection::vec(any::<bool>(), 0..2000),
    ) {
        let mut budget = AttemptBudget::new(percent, burst);
        let (mut successes, mut extra) = (0, 0);
        for success in steps {
            if success {
                budget.record_success();
                successes += 1;
            } else if budget.try_spend() == Ok(()) {
                extra += 1;
            }
            prop_assert!(100 * extra <= 100 * u64::from(burst) + u64::from(percent) * successes);
        }
    }
}

#[rstest]
#[case(0, 1)]
#[case(5_000, 3)]
#[case(9_999, 5)]
#[case(10_000, 6)]
fn a_cold_upstream_ramps_up(#[case] after: u64, #[case] limit: u32) {
    let mut limiter = LimiterBuilder::new().slots(6).ramp(Millis(10_000)).build();
    assert_eq!(limiter.limit(HostTime(after)), 1);
    limiter.mark_healthy(HostTime(100));
    assert_eq!(limiter.limit(HostTime(100 + after)), limit);
    limiter.mark_lost();
    assert_eq!(limiter.limit(HostTime(100 + after)), 1);
}

#[test]
fn a_draining_upstream_gets_no_requests() {
    let mut limiter = LimiterBuilder::new().slots(6).build();
    limiter.set_draining(true);
    assert_eq!(limiter.acquire(HostTime(0)), Err(LimitError::Draining));
    assert_eq!(limiter.limit(HostTime(0)), 0);
}

#[rstest]
#[case(RangeShare { held: 0, total: 4 }, 0)]
#[case(RangeShare { held: 1, total: 12 }, 1)]
#[case(RangeShare { held: 2, total: 4 }, 3)]
#[case(RangeShare::WHOLE, 6)]
fn a_holder_gets_its_share_of_the_slots(#[case] share: RangeShare, #[case] slots: u32) {
    assert_eq!(share.of(6), slots);
}

#[test]
fn an_exhausted_budget_is_refilled_by_successes() {
    let mut budget = AttemptBudget::new(10, 1);
    assert_eq!(budget.try_spend(), Ok(()));
    assert_eq!(budget.try_spend(), Err(BudgetExhausted));
    (0..10).for_each(|_| budget.record_success());
    assert_eq!(budget.try_spend(), Ok(()));
}
