//! Hosts that can't open connections to upstreams, while callers and the other hosts reach them. Virtual time and fixed
//! seeds.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_emulator::policy::Policy;
use skylarkdock_emulator::shape::Shape;
use skylarkdock_emulator::simulation;
use std::path::PathBuf;

/// Offered load, well below the capacity.
const LOAD: f64 = 0.5;

/// Callers of hosts that are cut off from the upstreams must be served nearly as well as those of the others.
#[rstest]
fn callers_of_cut_off_hosts_are_served(
    #[values("cut-off", "cut-off-sharded")] name: &str,
    #[values(12, 79, 300)] hosts: u32,
) {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("shapes");
    let mut shape = Shape::read(&dir.join(format!("{name}.json"))).unwrap();
    shape.hosts = hosts;
    let stats = simulation::simulate(&shape, Policy::Dispatch, shape.capacity() * LOAD, 1);
    let (cut_off, others) = (stats.at_cut_off, stats.at_others);
    assert!(cut_off.asked > 100 && others.asked > 100, "{cut_off:?} {others:?}");
    assert!(
        cut_off.served_ratio() >= others.served_ratio() * 2.0 / 3.0,
        "cut off {cut_off:?}, others {others:?}"
    );
}
