//! Upstreams that ask the hosts that they turn away for a rest, with 12 to 300 hosts. Virtual time and fixed seeds.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_emulator::policy::Policy;
use skylarkdock_emulator::shape::Shape;
use skylarkdock_emulator::simulation;
use skylarkdock_emulator::stats::RunStats;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// Several seeds, as few requests in one run have the first rank.
const SEEDS: RangeInclusive<u64> = 1..=8;
/// Goodput that keeping to rests may cost, as a fraction of that of hosts that ignore them.
const MAX_GOODPUT_LOSS: f64 = 0.03;

/// Simulates a shape at its capacity, where upstreams shed requests.
fn simulate(name: &str, hosts: u32, policy: Policy) -> Vec<RunStats> {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("shapes");
    let mut shape = Shape::read(&dir.join(format!("{name}.json"))).unwrap();
    shape.hosts = hosts;
    SEEDS.map(|seed| simulation::simulate(&shape, policy, shape.capacity(), seed)).collect()
}

fn mean(runs: &[RunStats], value: impl Fn(&RunStats) -> f64) -> f64 {
    runs.iter().map(value).sum::<f64>() / runs.len() as f64
}

#[track_caller]
fn assert_ranks_in_order(runs: &[RunStats]) {
    let [first, last] = [0, 2].map(|rank| mean(runs, |stats| stats.answered_ratio(rank)));
    assert!(first >= last, "rank 0: {first:.4}, rank 2: {last:.4}");
}

/// Hosts would go on sending to an upstream that turned them away, first attempts and repeats alike.
#[rstest]
fn no_request_arrives_during_a_rest(
    #[values("resting", "resting-unsharded")] name: &str,
    #[values(12, 79, 300)] hosts: u32,
) {
    for stats in simulate(name, hosts, Policy::Dispatch) {
        assert!(stats.rests.asked > 0, "no upstream asked for a rest");
        assert_eq!(stats.rests.arrivals, 0, "{:?}", stats.rests);
    }
}

/// The shapes must show the fault, or the test above proves nothing.
#[rstest]
fn hosts_that_ignore_rests_send_during_them(
    #[values("resting", "resting-unsharded")] name: &str,
    #[values(12, 79, 300)] hosts: u32,
) {
    let runs = simulate(name, hosts, Policy::IgnoreRest);
    let arrivals: u64 = runs.iter().map(|stats| stats.rests.arrivals).sum();
    assert!(arrivals > 0);
}

/// Hosts that refuse more than a rest requires would keep to it as well.
#[rstest]
fn keeping_to_rests_costs_little_goodput(
    #[values("resting", "resting-unsharded")] name: &str,
    #[values(12, 79, 300)] hosts: u32,
) {
    let goodput = |policy| mean(&simulate(name, hosts, policy), |stats| stats.useful_work);
    let (kept, ignored) = (goodput(Policy::Dispatch), goodput(Policy::IgnoreRest));
    assert!(kept >= ignored * (1.0 - MAX_GOODPUT_LOSS), "{:.4}", kept / ignored);
}

#[rstest]
fn few_hosts_serve_ranks_in_order_while_upstreams_rest(
    #[values("resting", "resting-unsharded")] name: &str,
) {
    assert_ranks_in_order(&simulate(name, 12, Policy::Dispatch));
}

#[rstest]
fn many_hosts_serve_ranks_in_order_while_upstreams_rest(
    #[values("resting", "resting-unsharded")] name: &str,
    #[values(79, 300)] hosts: u32,
) {
    assert_ranks_in_order(&simulate(name, hosts, Policy::Dispatch));
}
