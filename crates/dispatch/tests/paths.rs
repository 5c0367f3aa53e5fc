//! Paths to upstreams: failures, probes and intermediaries.

use skylarkdock_dispatch::paths::{Intermediary, Paths};
use skylarkdock_units::times::{HostTime, Millis};
use std::net::SocketAddr;

const START: HostTime = HostTime(100_000);

fn upstream(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn intermediary(number: u16, is_near: bool) -> Intermediary {
    Intermediary { addr: SocketAddr::from(([127, 0, 0, 2], number)), is_near }
}

#[test]
fn a_failed_path_is_used_again_once_a_probe_succeeds() {
    let mut paths = Paths::default();
    assert!(paths.on_failure(upstream(1), START));
    assert!(!paths.is_direct(upstream(1)) && paths.is_direct(upstream(2)));
    assert!(paths.take_due_probes(START + Millis(100)).is_empty());
    assert_eq!(paths.take_due_probes(START + Millis(500)), [upstream(1)]);
    assert!(paths.take_due_probes(START + Millis(600)).is_empty());
    assert!(paths.on_success(upstream(1)));
    assert!(paths.is_direct(upstream(1)));
}

#[test]
fn failures_to_several_upstreams_in_a_row_show_that_the_host_is_cut_off() {
    let mut paths = Paths::default();
    for number in 1..=3 {
        assert!(!paths.is_cut_off());
        paths.on_failure(upstream(number), START);
    }
    assert!(paths.is_cut_off() && !paths.is_direct(upstream(9)));
    paths.on_success(upstream(2));
    assert!(paths.is_direct(upstream(9)) && !paths.is_direct(upstream(1)));
}

#[test]
fn upstreams_that_end_while_others_answer_don_t_make_the_host_seem_cut_off() {
    let mut paths = Paths::default();
    for number in 1..=20 {
        paths.on_failure(upstream(number), START);
        paths.on_success(upstream(100));
    }
    assert!(!paths.is_cut_off());
}

#[test]
fn a_cut_off_host_probes_few_paths_at_a_time() {
    let mut paths = Paths::default();
    paths.set_upstreams((1..=40).map(upstream).collect());
    for number in 1..=40 {
        paths.on_failure(upstream(number), START);
    }
    let due = paths.take_due_probes(START + Millis(500));
    assert!((1..=3).contains(&due.len()), "{due:?}");
    assert!(paths.take_due_probes(START + Millis(600)).is_empty());
    assert_ne!(paths.take_due_probes(START + Millis(1_000)), due);
}

#[test]
fn intermediaries_of_the_region_come_first_and_failed_ones_are_avoided() {
    let mut paths = Paths::default();
    let (near, far) = (intermediary(1, true), intermediary(2, false));
    let pick =
        |paths: &Paths, number, now| paths.pick_detour(upstream(number), &[far, near], 7, now);
    assert_eq!(pick(&paths, 1, START), Some(near.addr));
    paths.on_detour_failure(near.addr, Some(upstream(1)), START);
    assert_eq!(pick(&paths, 1, START), Some(far.addr));
    assert_eq!(pick(&paths, 2, START), Some(near.addr));
    paths.on_detour_failure(far.addr, None, START);
    assert_eq!(pick(&paths, 1, START), None);
    assert_eq!(pick(&paths, 1, START + Millis(2_000)), Some(near.addr));
    assert_eq!(paths.pick_detour(upstream(1), &[], 0, START), None);
}

#[test]
fn load_is_spread_over_intermediaries() {
    let paths = Paths::default();
    let intermediaries = [intermediary(1, true), intermediary(2, true), intermediary(3, true)];
    for (seed, expected) in (0..3).zip(intermediaries) {
        assert_eq!(
            paths.pick_detour(upstream(1), &intermediaries, seed, START),
            Some(expected.addr)
        );
    }
}

/// Otherwise a host would stay cut off for as long as the upstreams that ended.
#[test]
fn a_cut_off_host_also_probes_upstreams_that_did_not_fail() {
    let mut paths = Paths::default();
    paths.set_upstreams((1..=8).map(upstream).collect());
    for number in 1..=3 {
        paths.on_failure(upstream(number), START);
    }
    let mut now = START;
    while paths.is_cut_off() {
        now = now + Millis(100);
        assert!(now.since(START) < Millis(3_000));
        for probed in paths.take_due_probes(now) {
            if probed.port() > 3 {
                paths.on_success(probed);
            }
        }
    }
    assert!(paths.is_direct(upstream(8)) && !paths.is_direct(upstream(1)));
}

#[test]
fn paths_to_upstreams_that_are_gone_are_forgotten() {
    let mut paths = Paths::default();
    paths.on_failure(upstream(1), START);
    paths.set_upstreams(vec![upstream(2)]);
    assert!(paths.is_direct(upstream(1)));
}
