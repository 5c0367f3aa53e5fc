//! How long a configuration takes to reach all hosts.

use rstest::rstest;
use skylarkdock_emulator::distribution::{self, Rules, Scenario};

/// Half of the time in which a configuration has to be in force.
const GOAL_MS: u64 = 1_500;

fn scenario(hosts: usize, routes: usize, rules: Rules) -> Scenario {
    Scenario {
        hosts,
        routes,
        // One that adds routes, and changes in series.
        changes_at_ms: vec![1_000, 3_000, 3_400, 3_800, 4_200, 4_600],
        host_traffic: 0.5,
        region_traffic: 0.9,
        rules,
    }
}

/// Half of each host's link and nine tenths of the link between the regions are taken by requests.
#[rstest]
fn a_configuration_is_in_force_everywhere_in_half_of_the_time(
    #[values(79, 300)] hosts: usize,
    #[values(0, 100, 1_400, 5_000)] routes: usize,
) {
    let spread = distribution::simulate(scenario(hosts, routes, Rules::Differences));
    assert!(spread.last_host_ms.is_some_and(|ms| ms <= GOAL_MS), "{spread:?}");
}

/// The scenario must show the fault, or the test above proves nothing.
#[rstest]
fn whole_records_take_too_long(#[values(79, 300)] hosts: usize) {
    let spread = distribution::simulate(scenario(hosts, 1_400, Rules::Whole));
    assert!(spread.last_host_ms.is_none_or(|ms| ms > 2 * GOAL_MS), "{spread:?}");
}

/// A site with 0.36 of the traffic has that share of the links, and configurations as large as ever.
#[rstest]
fn a_configuration_is_in_force_everywhere_over_thin_links(
    #[values(79, 300)] hosts: usize,
    #[values(0, 100, 1_400)] routes: usize,
) {
    const LINK_SHARE: f64 = 0.36;
    let taken = |traffic: f64| 1.0 - (1.0 - traffic) * LINK_SHARE;
    let usual = scenario(hosts, routes, Rules::Differences);
    let thin = Scenario {
        host_traffic: taken(usual.host_traffic),
        region_traffic: taken(usual.region_traffic),
        ..usual
    };
    let spread = distribution::simulate(thin);
    assert!(spread.last_host_ms.is_some_and(|ms| ms <= GOAL_MS), "{spread:?}");
}
