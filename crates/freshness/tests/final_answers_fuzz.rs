//! Randomized simulation of hosts that answer requests while configurations replace each other, with late acknowledgements,
//! unreadable records, restarts, late and lost messages and proofs that are passed on. Each final answer is checked against
//! the configurations that may be in force, of which the hosts know nothing but what they read and are told.
//!
//! `SKYLARKDOCK_FUZZ_CASES` sets the number of cases, `SKYLARKDOCK_FUZZ_SEED` the seed of the first one.

#![allow(clippy::unwrap_used)]

mod configs_in_force;

use configs_in_force::simulation::{Counts, Simulation};

const DEFAULT_CASES: u64 = 200;
/// Duration of a case in steps.
const STEPS: usize = 5_000;

fn variable(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Guards against a final answer to a request that each configuration that may be in force allows, or an earlier one for
/// what callers can't know yet, or a newer one that the host was told of.
#[test]
fn no_final_answer_is_given_to_an_allowed_request() {
    let cases = variable("SKYLARKDOCK_FUZZ_CASES", DEFAULT_CASES);
    let first = variable("SKYLARKDOCK_FUZZ_SEED", 1);
    let mut sum = Counts::default();
    for seed in first..first + cases {
        let mut simulation = Simulation::new(seed);
        for _ in 0..STEPS {
            if let Err(violation) = simulation.step() {
                panic!("seed {seed}: {violation}");
            }
        }
        sum.add(&simulation.counts);
    }
    println!("{cases} cases: {sum:?}");
    assert!(sum.has_all(), "{sum:?}");
}
