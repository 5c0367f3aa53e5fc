//! Applies random faults to a simulated cluster and checks it with the oracle.
//!
//! By default the seed and the number of cases are fixed, for CI. To run more cases from another
//! seed:
//! `SKYLARKDOCK_FUZZ_CASES=20000 SKYLARKDOCK_FUZZ_SEED=7 cargo test --release -p
//! skylarkdock-ownership --test fuzz -- --nocapture`

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod cluster;

use cluster::oracle::SituationCounts;
use cluster::{Cluster, ClusterConfig};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use skylarkdock_ownership::Timing;
use skylarkdock_units::times::Millis;
use std::cell::RefCell;

const CI_CASES: u32 = 250;
const CI_SEED: u64 = 1;
const RECOVERY_MS: u64 = 4000;

/// A fault, a repair or a change of leases; numbers select hosts and ranges modulo their count.
#[derive(Debug, Clone)]
enum Action {
    Kill(usize),
    Restart(usize),
    KillAndRestart(usize),
    Pause(usize),
    Resume(usize),
    CutPair(usize, usize),
    CutOneWay(usize, usize),
    Isolate(usize),
    ReconnectNetwork,
    CutLogForHosts(u8),
    CutLog,
    ReconnectLog,
    HandOver(usize, usize),
    ReplaceLease(usize, usize, usize),
    ConcurrentWrites(usize, usize, usize, usize),
    MoveUpstream(usize, usize),
    MoveUpstreamSeenBy(usize, u8),
    Leave(usize),
    Republish(usize),
    KillHolder(usize),
    PauseHolder(usize),
    ResumeAndRestartAll,
}

fn action() -> impl Strategy<Value = Action> {
    let n = 0..7_usize;
    let r = 0..2_usize;
    prop_oneof![
        2 => n.clone().prop_map(Action::Kill),
        3 => n.clone().prop_map(Action::Restart),
        2 => n.clone().prop_map(Action::KillAndRestart),
        2 => n.clone().prop_map(Action::Pause),
        4 => n.clone().prop_map(Action::Resume),
        2 => (n.clone(), n.clone()).prop_map(|(a, b)| Action::CutPair(a, b)),
        2 => (n.clone(), n.clone()).prop_map(|(a, b)| Action::CutOneWay(a, b)),
        1 => n.clone().prop_map(Action::Isolate),
        4 => Just(Action::ReconnectNetwork),
        2 => any::<u8>().prop_map(Action::CutLogForHosts),
        1 => Just(Action::CutLog),
        3 => Just(Action::ReconnectLog),
        3 => (r.clone(), n.clone()).prop_map(|(r, to)| Action::HandOver(r, to)),
        3 => (r.clone(), n.clone(), n.clone()).prop_map(|(r, w, to)| Action::ReplaceLease(r, w, to)),
        2 => (r.clone(), n.clone(), n.clone(), n.clone())
            .prop_map(|(r, w, v, to)| Action::ConcurrentWrites(r, w, v, to)),
        4 => (r.clone(), n.clone()).prop_map(|(r, w)| Action::MoveUpstream(r, w)),
        4 => (r.clone(), any::<u8>()).prop_map(|(r, mask)| Action::MoveUpstreamSeenBy(r, mask)),
        1 => n.clone().prop_map(Action::Leave),
        1 => n.prop_map(Action::Republish),
        3 => r.clone().prop_map(Action::KillHolder),
        3 => r.prop_map(Action::PauseHolder),
        2 => Just(Action::ResumeAndRestartAll),
    ]
}

/// Returns the default timing or, if `short` is set, one under which sessions are closed and drains
/// time out within a case.
fn timing(short: bool) -> Timing {
    let default = Timing::default();
    if !short {
        return default;
    }
    Timing { session_timeout: Millis(0), drain_limit: Millis(500), ..default }
}

fn cluster_config() -> impl Strategy<Value = ClusterConfig> {
    let sizes = (3..=7_usize, prop_oneof![4 => Just(3_usize), 1 => Just(5_usize)], 1..=2_usize);
    let fault_percentages = (0..20_u8, 0..15_u8, prop_oneof![Just(0_u8), 0..15_u8]);
    let rest = (any::<u64>(), any::<bool>(), any::<bool>());
    (sizes, fault_percentages, rest).prop_map(
        |(sizes, fault_percentages, (seed, catch_up, short))| {
            let (nodes, members, ranges) = sizes;
            let (loss, duplicates, delayed) = fault_percentages;
            let (members, timing) = (members.min(nodes), timing(short));
            ClusterConfig {
                nodes,
                members,
                ranges,
                seed,
                loss,
                duplicates,
                delayed,
                catch_up,
                timing,
            }
        },
    )
}

fn duration_ms() -> impl Strategy<Value = u64> {
    prop_oneof![3 => 1..60_u64, 4 => 60..500_u64, 2 => 500..1500_u64]
}

fn apply(cluster: &mut Cluster, action: &Action) {
    let hosts = cluster.hosts.len();
    let ranges = cluster.ranges.len();
    match *action {
        Action::Kill(n) => cluster.kill(n % hosts),
        Action::Restart(n) => cluster.restart(n % hosts),
        Action::KillAndRestart(n) => {
            cluster.kill(n % hosts);
            cluster.restart(n % hosts);
        }
        Action::Pause(n) => cluster.pause(n % hosts),
        Action::Resume(n) => cluster.resume(n % hosts),
        Action::CutPair(a, b) => {
            cluster.cuts.insert((a % hosts, b % hosts));
            cluster.cuts.insert((b % hosts, a % hosts));
        }
        Action::CutOneWay(a, b) => {
            cluster.cuts.insert((a % hosts, b % hosts));
        }
        Action::Isolate(n) => {
            let n = n % hosts;
            cluster.cuts.extend((0..hosts).flat_map(|other| [(n, other), (other, n)]));
        }
        Action::ReconnectNetwork => cluster.cuts.clear(),
        Action::CutLogForHosts(mask) => cluster.cut_log(|index| mask & (1 << index) != 0),
        Action::CutLog => cluster.cut_log(|_| true),
        Action::ReconnectLog => cluster.cut_log(|_| false),
        Action::HandOver(r, to) => cluster.hand_over(r % ranges, to % hosts),
        Action::ReplaceLease(r, w, to) => cluster.replace_lease(r % ranges, w % hosts, to % hosts),
        Action::ConcurrentWrites(r, w, v, to) => {
            cluster.hand_over(r % ranges, to % hosts);
            cluster.replace_lease(r % ranges, w % hosts, v % hosts);
            cluster.move_upstream(r % ranges, v % hosts);
        }
        Action::MoveUpstream(r, w) => cluster.move_upstream(r % ranges, w % hosts),
        Action::MoveUpstreamSeenBy(r, mask) => {
            let range = cluster.ranges[r % ranges].clone();
            let Some(holder) = cluster.holder(&range) else { return };
            cluster.cut_log(|index| index != holder && mask & (1 << index) != 0);
            cluster.move_upstream(r % ranges, holder);
        }
        Action::Republish(n) => cluster.republish(n % hosts),
        Action::Leave(n) => cluster.leave(n % hosts),
        Action::KillHolder(r) => {
            let range = cluster.ranges[r % ranges].clone();
            let holder = cluster.holder(&range);
            holder.into_iter().for_each(|node| cluster.kill(node));
        }
        Action::PauseHolder(r) => {
            let range = cluster.ranges[r % ranges].clone();
            let holder = cluster.holder(&range);
            holder.into_iter().for_each(|node| cluster.pause(node));
        }
        Action::ResumeAndRestartAll => (0..hosts).for_each(|node| {
            cluster.resume(node);
            cluster.restart(node);
        }),
    }
}

/// Removes all faults and checks that each range is held again after a new lease is written.
fn heal_and_check(cluster: &mut Cluster) -> Result<(), TestCaseError> {
    cluster.heal();
    cluster.run(RECOVERY_MS);
    for range in 0..cluster.ranges.len() {
        let first = range % cluster.hosts.len();
        cluster.replace_lease(range, first, first);
    }
    cluster.run(RECOVERY_MS);
    if let Some(failure) = &cluster.failure {
        return Err(TestCaseError::fail(failure.clone()));
    }
    for range in &cluster.ranges {
        let state = cluster.hosts[0].fold.state();
        let previous = state.assignment(range).map_or(0, |found| found.previous.len());
        if previous < skylarkdock_fold::state::MAX_PREVIOUS_LEASES {
            prop_assert!(
                cluster.holder(range).is_some(),
                "{range} is not held after all faults were removed"
            );
        }
    }
    Ok(())
}

fn run(
    config: &ClusterConfig,
    actions: &[(Action, u64)],
) -> Result<SituationCounts, TestCaseError> {
    let mut cluster = Cluster::new(config.clone());
    cluster.run(500);
    for (action, duration_ms) in actions {
        apply(&mut cluster, action);
        cluster.run(*duration_ms);
        if let Some(failure) = &cluster.failure {
            return Err(TestCaseError::fail(failure.clone()));
        }
    }
    heal_and_check(&mut cluster)?;
    Ok(cluster.oracle.situations)
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|text| text.parse().unwrap())
}

#[test]
fn no_two_hosts_serve_a_range_whatever_fails() {
    let cases =
        env_number("SKYLARKDOCK_FUZZ_CASES").map_or(CI_CASES, |n| u32::try_from(n).unwrap());
    let seed = env_number("SKYLARKDOCK_FUZZ_SEED").unwrap_or(CI_SEED);
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let config =
        Config { cases, failure_persistence: None, max_shrink_iters: 4000, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let total = RefCell::new(SituationCounts::default());
    let actions = prop::collection::vec((action(), duration_ms()), 10..50);
    let result = runner.run(&(cluster_config(), actions), |(config, actions)| {
        let situations = run(&config, &actions)?;
        total.borrow_mut().add(&situations);
        Ok(())
    });
    let total = total.into_inner();
    println!("seed {seed}, {cases} cases");
    total.counts().iter().for_each(|(name, count)| println!("{name}: {count}"));
    if let Err(error) = result {
        panic!("seed {seed}: {error}");
    }
    for (name, count) in total.counts() {
        assert!(count > 0, "{name} was not reached");
    }
}
