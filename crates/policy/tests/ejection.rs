//! Outlier ejection, its limits and readmission, and the choice among upstreams.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;
use skylarkdock_policy::ejection::{
    MAX_EJECTED_PERCENT, OutlierDetector, Sample, StandingChange, UpstreamReport,
};
use skylarkdock_policy::health::Standing;
use skylarkdock_policy::pick::{Candidate, pick};
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};

const SEED: u64 = 31;
const NOW: HostTime = HostTime(1000);
const FAST: Sample = Sample::Success(Millis(10));

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() }
}

fn upstream(number: usize) -> UpstreamId {
    format!("upstream-{number}").parse().unwrap()
}

fn detector(count: usize) -> OutlierDetector {
    let mut detector = OutlierDetector::default();
    (0..count).for_each(|number| detector.add(upstream(number)));
    detector
}

fn observe(
    detector: &mut OutlierDetector,
    number: usize,
    sample: Sample,
    times: usize,
) -> Option<StandingChange> {
    (0..times).find_map(|_| detector.observe(&upstream(number), sample, NOW))
}

#[test]
fn consecutive_failures_eject() {
    let mut detector = detector(4);
    assert_eq!(observe(&mut detector, 0, Sample::Failure, 4), None);
    let change = observe(&mut detector, 0, Sample::Failure, 1);
    assert_eq!(change, Some(StandingChange::Ejected(NOW + Millis(5000))));
    assert_eq!(detector.standing(&upstream(0), NOW), Standing::Ejected);
    assert_eq!(observe(&mut detector, 1, Sample::Failure, 20), None);
}

#[test]
fn a_high_error_rate_ejects() {
    let mut detector = detector(4);
    let mut samples = (0..100).map(|index| if index % 4 == 3 { FAST } else { Sample::Failure });
    assert!(samples.any(|sample| observe(&mut detector, 0, sample, 1).is_some()));
}

#[test]
fn an_upstream_much_slower_than_its_peers_is_ejected() {
    let mut detector = detector(4);
    (1..4).for_each(|number| assert_eq!(observe(&mut detector, number, FAST, 30), None));
    assert_eq!(observe(&mut detector, 0, Sample::Success(Millis(50)), 30), None);
    let slow = observe(&mut detector, 0, Sample::Success(Millis(500)), 30);
    assert!(matches!(slow, Some(StandingChange::Ejected(_))));
}

#[test]
fn trials_readmit_one_at_a_time_and_a_failed_trial_doubles_the_ejection() {
    let mut detector = detector(4);
    observe(&mut detector, 0, Sample::Failure, 5);
    let id = upstream(0);
    let first = NOW + Millis(5000);
    assert!(!detector.begin_trial(&id, NOW));
    assert!(detector.begin_trial(&id, first));
    assert!(!detector.begin_trial(&id, first));
    let again = detector.observe(&id, Sample::Failure, first);
    assert_eq!(again, Some(StandingChange::Ejected(first + Millis(10_000))));
    let second = first + Millis(10_000);
    assert_eq!(detector.observe(&id, FAST, second), None, "no trial was begun");
    for expected in [None, None, Some(StandingChange::Readmitted)] {
        assert!(detector.begin_trial(&id, second));
        assert_eq!(detector.observe(&id, FAST, second), expected);
    }
    assert_eq!(detector.standing(&id, second), Standing::Usable);
}

#[test]
fn reports_lower_the_preference_until_they_expire_and_never_eject() {
    let mut detector = detector(4);
    let id = upstream(0);
    for _ in 0..1000 {
        detector.report(&id, UpstreamReport { healthy: false, load: 9.0 }, NOW);
        assert_eq!(detector.observe(&id, FAST, NOW), None);
    }
    assert!(detector.preference(&id, NOW) < 1.0);
    assert!(detector.preference(&id, NOW + Millis(5000)) >= 1.0);
    assert_eq!(detector.standing(&id, NOW), Standing::Usable);
}

#[derive(Debug, Clone)]
enum Step {
    Observe(usize, Option<u64>),
    Trial(usize),
    Add(usize),
    Remove(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let sample = prop_oneof![2 => Just(None), 1 => (1..900_u64).prop_map(Some)];
    prop_oneof![
        20 => (0..9_usize, sample).prop_map(|(number, sample)| Step::Observe(number, sample)),
        4 => (0..9_usize).prop_map(Step::Trial),
        2 => (0..9_usize).prop_map(Step::Add),
        1 => (0..9_usize).prop_map(Step::Remove),
        1 => (0..20_000_u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn the_ejected_share_stays_within_its_limit(count in 0..9_usize, steps in prop::collection::vec(step(), 0..400)) {
        let mut detector = detector(count);
        let mut now = NOW;
        for step in steps {
            match step {
                Step::Observe(number, span) => {
                    let sample = span.map_or(Sample::Failure, |span| Sample::Success(Millis(span)));
                    detector.observe(&upstream(number), sample, now);
                }
                Step::Trial(number) => drop(detector.begin_trial(&upstream(number), now)),
                Step::Add(number) => detector.add(upstream(number)),
                Step::Remove(number) => detector.remove(&upstream(number)),
                Step::Wait(span) => now = now + Millis(span),
            }
            prop_assert!(100 * detector.ejected_count() <= MAX_EJECTED_PERCENT * detector.len());
            prop_assert!(detector.is_empty() || detector.ejected_count() < detector.len());
        }
    }

    #[test]
    fn a_pick_is_runnable_and_prefers_the_region(
        params in prop::collection::vec((0..3_usize, any::<bool>(), 0..9_u32, 0..4_u32), 0..12),
        random in any::<[u32; 2]>(),
    ) {
        let standings = [Standing::Usable, Standing::Trial, Standing::Ejected];
        let candidates: Vec<Candidate> = params
            .into_iter()
            .map(|(index, is_same_region, outstanding, limit)| {
                let standing = standings[index];
                Candidate { standing, is_same_region, outstanding, limit, preference: 1.0 }
            })
            .collect();
        let is_runnable = |candidate: &&Candidate| {
            candidate.standing != Standing::Ejected && candidate.limit > 0
        };
        let any_same_region =
            candidates.iter().filter(is_runnable).any(|candidate| candidate.is_same_region);
        match pick(&candidates, random) {
            None => prop_assert_eq!(candidates.iter().filter(is_runnable).count(), 0),
            Some(index) => {
                prop_assert!(is_runnable(&&candidates[index]));
                prop_assert!(candidates[index].is_same_region || !any_same_region);
            }
        }
    }
}

#[rstest]
#[case([0, 0])]
#[case([u32::MAX, u32::MAX])]
fn the_less_loaded_of_two_candidates_is_picked(#[case] random: [u32; 2]) {
    let candidate = |outstanding, preference| Candidate {
        standing: Standing::Usable,
        is_same_region: true,
        outstanding,
        limit: 4,
        preference,
    };
    assert_eq!(pick(&[candidate(3, 1.0), candidate(1, 1.0)], random), Some(1));
    assert_eq!(pick(&[candidate(2, 1.0), candidate(1, 0.5)], random), Some(0));
}
