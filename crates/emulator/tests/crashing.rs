//! Requests that crash the upstreams which run them, with 12 to 300 hosts. Virtual time and fixed seeds.

use rstest::rstest;
use skylarkdock_emulator::crashes::{self, CrashStats, Scenario};
use std::ops::RangeInclusive;

const SEEDS: RangeInclusive<u64> = 1..=4;
/// Sends of a crashing request that are allowed later than the window after the third crash.
const ALLOWED_LATE_SENDS: u64 = 3;
/// Time within which requests that cause no crash are served again.
const MAX_REFUSAL_MS: u64 = 6_000;

/// Upstreams for each number of hosts, as on the users' sites.
const fn upstreams(hosts: usize) -> usize {
    match hosts {
        12 => 12,
        79 => 94,
        _ => 360,
    }
}

fn scenario(hosts: usize, seed: u64) -> Scenario {
    Scenario {
        hosts,
        upstreams: upstreams(hosts),
        crashing_per_s: 0.0,
        mass_restarts_at: &[],
        is_silent: false,
        length_ms: 60_000,
        seed,
    }
}

fn runs(scenario: impl Fn(u64) -> Scenario) -> Vec<CrashStats> {
    SEEDS.map(|seed| crashes::simulate(scenario(seed))).collect()
}

/// A request that crashes upstreams came again for a minute, and ended them again and again.
#[rstest]
fn a_crashing_request_is_not_sent_again_after_the_third_crash(
    #[values(12, 79, 300)] hosts: usize,
    #[values(0.5, 2.0, 10.0)] crashing_per_s: f64,
) {
    for stats in runs(|seed| Scenario { crashing_per_s, ..scenario(hosts, seed) }) {
        assert!(stats.ended >= 2, "{stats:?}");
        assert_eq!((stats.sends_when_known, stats.late_sends), (0, 0), "{stats:?}");
        assert!(stats.longest_refusal_ms <= MAX_REFUSAL_MS, "{stats:?}");
    }
}

/// An upstream that goes silent resets nothing, so its end shows only in the registry, some seconds later.
#[rstest]
fn a_request_that_silences_upstreams_is_not_sent_again(#[values(12, 79, 300)] hosts: usize) {
    for stats in
        runs(|seed| Scenario { crashing_per_s: 0.5, is_silent: true, ..scenario(hosts, seed) })
    {
        assert!(stats.late_sends <= ALLOWED_LATE_SENDS, "{stats:?}");
    }
}

/// Popular requests are in flight wherever an upstream ends.
#[rstest]
fn popular_requests_are_served_soon_after_a_mass_restart(#[values(12, 79, 300)] hosts: usize) {
    let restarts = |seed| Scenario {
        mass_restarts_at: &[10_000, 25_000, 28_000],
        length_ms: 45_000,
        ..scenario(hosts, seed)
    };
    for stats in runs(restarts) {
        assert!(stats.longest_refusal_ms <= MAX_REFUSAL_MS, "{stats:?}");
    }
}
