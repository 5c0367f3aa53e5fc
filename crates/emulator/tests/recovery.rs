//! How hosts come up to date again after the leader and other hosts were lost.

use rstest::rstest;
use skylarkdock_emulator::recovery::{self, Rules, Scenario};

/// Times within which another host leads, and within which changes must have an effect.
const LEADER_BOUND_MS: u64 = 3_000;
const EFFECT_TIME_MS: u64 = 3_000;
/// Time in which hosts hear nothing of each other.
const SILENT_MS: u64 = 3_000;

fn scenario(hosts: usize, lost: f64, seed: u64) -> Scenario {
    Scenario {
        hosts,
        lost,
        configs: 12,
        silent_ms: 0,
        link_share: 1.0,
        rules: Rules::Changes,
        seed,
    }
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

/// Hosts of a region read whole records together once their sources were silent, over the link that the sources need as well.
/// With 0.36 of the traffic links have that share of their capacity, and records are as large as ever.
#[rstest]
fn hosts_come_up_to_date_after_their_sources_were_silent(
    #[values(79, 295)] hosts: usize,
    #[values(1.0, 0.36)] link_share: f64,
    #[values(0.0, 1.0)] lost: f64,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let silent = Scenario { silent_ms: SILENT_MS, link_share, ..scenario(hosts, lost, seed) };
    let recovery = recovery::simulate(silent);
    assert!(recovery.registry_ms <= EFFECT_TIME_MS, "{recovery:?}");
    assert!(recovery.config_ms <= EFFECT_TIME_MS, "{recovery:?}");
}

#[rstest]
#[case::thin_links(79, 0.36)]
#[case::large_fleet(295, 1.0)]
#[case::large_fleet_and_thin_links(295, 0.36)]
fn hosts_that_read_whole_registries_at_equal_intervals_may_stay_late(
    #[case] hosts: usize,
    #[case] link_share: f64,
) {
    let late = (1..=4).filter(|seed| {
        let silent = Scenario { silent_ms: SILENT_MS, link_share, ..scenario(hosts, 1.0, *seed) };
        let recovery = recovery::simulate(Scenario { rules: Rules::Turns, ..silent });
        recovery.registry_ms > EFFECT_TIME_MS || recovery.config_ms > EFFECT_TIME_MS
    });
    assert!(late.count() >= 1);
}
