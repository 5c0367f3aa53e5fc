//! Upstreams that limit their rate, under load from 12 to 300 hosts. Virtual time and fixed seeds.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_emulator::policy::Policy;
use skylarkdock_emulator::shape::Shape;
use skylarkdock_emulator::simulation;
use skylarkdock_emulator::stats::RunStats;
use std::path::PathBuf;

fn simulate(name: &str, hosts: u32) -> RunStats {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("shapes");
    let mut shape = Shape::read(&dir.join(format!("{name}.json"))).unwrap();
    shape.hosts = hosts;
    simulation::simulate(&shape, Policy::Dispatch, shape.capacity(), 1)
}

/// Hosts that share no state would exceed a limit by their number. Demand is even and uneven, the limit changes and
/// ends, and hosts are suspended, isolated and lost.
#[rstest]
fn no_window_exceeds_the_limit(
    #[values("limited", "limited-uneven", "limited-changes", "limited-faults")] name: &str,
    #[values(12, 79, 300)] hosts: u32,
) {
    let stats = simulate(name, hosts);
    assert!(stats.limited.arrivals > 0);
    assert!(stats.limited.worst_window <= 1.0, "{:?}", stats.limited);
}

/// A fleet that refuses too much would keep to the limit as well.
#[rstest]
fn a_connected_fleet_uses_the_limit(
    #[values("limited", "limited-uneven", "limited-changes")] name: &str,
    #[values(12, 79, 300)] hosts: u32,
) {
    let used = simulate(name, hosts).limited.used_share();
    assert!(used >= 0.7, "{used:.2}");
}

#[rstest]
fn higher_ranks_are_served_first(#[values(12, 79, 300)] hosts: u32) {
    let stats = simulate("limited", hosts);
    assert!(stats.answered_ratio(0) >= stats.answered_ratio(2), "{stats:?}");
}
