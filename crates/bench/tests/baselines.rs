//! Baseline placement strategies: movement on a join, and the bound of the load.

use skylarkdock_bench::baselines;

fn upstream_ids(count: usize) -> Vec<String> {
    (0..count).map(|index| format!("u{index}")).collect()
}

#[test]
fn modulo_moves_most_ranges_on_a_join() {
    let (before, after) =
        (baselines::modulo(900, &upstream_ids(8)), baselines::modulo(900, &upstream_ids(9)));
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    assert_eq!(moved, 796);
}

#[test]
fn bounded_loads_stay_within_their_bound() {
    let owners = baselines::bounded(&[1; 800], &upstream_ids(8), 1.05);
    for id in upstream_ids(8) {
        let load = owners.iter().filter(|owner| **owner == id).count();
        assert!(load <= 105, "{id} has {load}");
    }
}

#[test]
fn bounded_loads_move_part_of_the_ranges_on_a_join() {
    let before = baselines::bounded(&[1; 900], &upstream_ids(8), 1.05);
    let after = baselines::bounded(&[1; 900], &upstream_ids(9), 1.05);
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    assert!((100..450).contains(&moved), "{moved} moved");
}
