//! How hosts come up to date again after the leader and other hosts were lost.

use rstest::rstest;
use skylarkdock_emulator::recovery::{self, Rules, Scenario};

/// Times within which another host leads, and within which changes must have an effect.
const LEADER_BOUND_MS: u64 = 3_000;
const EFFECT_TIME_MS: u64 = 3_000;

fn scenario(hosts: usize, lost: f64, seed: u64) -> Scenario {
    Scenario { hosts, lost, configs: 12, rules: Rules::Turns, seed }
}

#[rstest]
fn hosts_come_up_to_date_after_a_loss(
    #[values(12, 79, 300)] hosts: usize,
    #[values(0.0, 0.4)] lost: f64,
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let recovery = recovery::simulate(scenario(hosts, lost, seed));
    assert!(recovery.leader_ms.is_some_and(|ms| ms <= LEADER_BOUND_MS), "{recovery:?}");
    assert!(recovery.registry_ms <= EFFECT_TIME_MS, "{recovery:?}");
    assert!(recovery.config_ms <= EFFECT_TIME_MS, "{recovery:?}");
}

/// The scenario must show the fault, or the test above proves nothing. Whether the hosts get into the loop depends on who is
/// lost.
#[rstest]
fn hosts_that_act_alone_may_stay_late(#[values(79, 300)] hosts: usize) {
    let late = (1..=8).filter(|seed| {
        let alone = Scenario { rules: Rules::Alone, ..scenario(hosts, 0.4, *seed) };
        let recovery = recovery::simulate(alone);
        recovery.leader_ms.is_none_or(|ms| ms > LEADER_BOUND_MS)
            || recovery.registry_ms > EFFECT_TIME_MS
            || recovery.config_ms > EFFECT_TIME_MS
    });
    assert!(late.count() >= 2);
}
