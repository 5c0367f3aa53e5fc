//! Quarantine: few losses per crashing request, no lasting effect on other requests, and crash histories that merge.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use skylarkdock_outcomes::crash_history::{
    CrashHistories, Death, QUARANTINE_DEATHS, SuspicionShare, Verdict,
};
use skylarkdock_outcomes::fingerprint::Fingerprint;
use skylarkdock_outcomes::quarantine::{Admission, Quarantine};
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{Millis, WallTime};
use std::collections::BTreeMap;

const SEED: u64 = 23;
const NOW: WallTime = WallTime(1_000_000);
const HOUR: Millis = Millis(60 * 60 * 1000);

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() }
}

fn fingerprint(number: u8) -> Fingerprint {
    Fingerprint([number; 16])
}

fn upstream(number: usize) -> UpstreamId {
    format!("upstream-{number}").parse().unwrap()
}

#[test]
fn an_answer_clears_a_suspect_and_a_second_loss_quarantines_it() {
    let mut quarantine = Quarantine::default();
    let (first, second) = (upstream(1), upstream(2));
    assert_eq!(quarantine.admit(&first, fingerprint(1), NOW), Admission::Run);
    assert_eq!(quarantine.admit(&first, fingerprint(2), NOW), Admission::Run);
    assert_eq!(quarantine.lost(&first, NOW), [fingerprint(1), fingerprint(2)]);
    assert!(quarantine.lost(&first, NOW).is_empty());
    assert_eq!(quarantine.admit(&second, fingerprint(1), NOW), Admission::Run);
    assert_eq!(quarantine.admit(&second, fingerprint(2), NOW), Admission::Wait);
    assert_eq!(quarantine.admit(&second, fingerprint(3), NOW), Admission::Wait);
    quarantine.answered(&second, fingerprint(1), NOW);
    assert_eq!(quarantine.verdict(fingerprint(1), NOW), Verdict::Clean);
    assert_eq!(quarantine.admit(&second, fingerprint(2), NOW), Admission::Run);
    quarantine.lost(&second, NOW + Millis(1));
    let refused = quarantine.admit(&first, fingerprint(2), NOW + Millis(2));
    assert!(matches!(refused, Admission::Quarantined(_)));
    assert_eq!(quarantine.admit(&first, fingerprint(2), NOW + HOUR), Admission::Run);
}

#[test]
fn a_waiting_suspect_reserves_an_upstream_for_a_limited_time() {
    let mut quarantine = Quarantine::default();
    let (first, second) = (upstream(1), upstream(2));
    quarantine.admit(&first, fingerprint(1), NOW);
    quarantine.lost(&first, NOW);
    quarantine.admit(&second, fingerprint(2), NOW);
    assert_eq!(quarantine.admit(&second, fingerprint(1), NOW), Admission::Wait);
    assert_eq!(quarantine.admit(&second, fingerprint(3), NOW), Admission::Wait);
    assert_eq!(quarantine.admit(&second, fingerprint(3), NOW + Millis(1000)), Admission::Run);
    quarantine.ended(&second, fingerprint(2));
    quarantine.ended(&second, fingerprint(3));
    assert_eq!(quarantine.admit(&second, fingerprint(1), NOW + Millis(1001)), Admission::Run);
}

#[test]
fn a_request_that_crashes_again_is_quarantined_for_longer() {
    let mut quarantine = Quarantine::default();
    let mut now = NOW;
    let mut durations_ms = Vec::new();
    for _ in 0..4 {
        if let Verdict::Quarantined(until) = quarantine.verdict(fingerprint(1), now) {
            durations_ms.push(until.0 - now.0);
            now = until;
        }
        assert_eq!(quarantine.admit(&upstream(1), fingerprint(1), now), Admission::Run);
        quarantine.lost(&upstream(1), now);
    }
    assert_eq!(durations_ms, [4_000, 300_000]);
}

/// Guards against a long first quarantine: upstreams that are killed from outside while the same harmless request is in
/// flight alone would keep that request refused for minutes. Seen with
/// `skylarkdock-trial kill-upstream --rounds 3 --seed 901`.
#[test]
fn a_harmless_request_is_cleared_within_seconds_of_two_losses() {
    let mut quarantine = Quarantine::default();
    for loss in 0..2 {
        let now = NOW + Millis(loss * 1_000);
        assert_eq!(quarantine.admit(&upstream(1), fingerprint(1), now), Admission::Run);
        quarantine.lost(&upstream(1), now);
    }
    let Verdict::Quarantined(until) = quarantine.verdict(fingerprint(1), NOW + Millis(1_001))
    else {
        panic!("not in quarantine");
    };
    assert!(until.0 - NOW.0 <= 6_000);
    assert_eq!(quarantine.admit(&upstream(1), fingerprint(1), until), Admission::Run);
    quarantine.answered(&upstream(1), fingerprint(1), until);
    assert_eq!(quarantine.verdict(fingerprint(1), until), Verdict::Clean);
}

#[test]
fn shared_suspicion_for_two_losses_does_not_quarantine() {
    let (mut here, mut there) = (CrashHistories::default(), CrashHistories::default());
    let death = |at: u64| Death {
        at: WallTime(at),
        upstream: upstream(1),
        share: SuspicionShare::among(4),
    };
    here.add(fingerprint(1), death(1));
    there.add(fingerprint(1), death(2));
    here.merge(&there);
    assert_eq!(here.verdict(fingerprint(1), WallTime(3)), Verdict::Suspect);
}

/// Requests that run on one upstream, each with the step at which it ends.
type RunningRequests = Vec<(u8, usize)>;

const CRASHING_REQUESTS: u8 = 3;
const REQUESTS: u8 = 20;
const UPSTREAMS: usize = 3;
const SLOTS: usize = 4;

proptest! {
    #![proptest_config(config())]

    /// Requests with a number below `CRASHING_REQUESTS` crash their upstream when they end. Callers repeat all requests
    /// many times.
    #[test]
    fn a_crashing_request_costs_at_most_three_upstreams_and_others_are_never_quarantined(
        sends in prop::collection::vec((0..REQUESTS, 0..UPSTREAMS, 1..12_usize), 300..600),
    ) {
        let mut quarantine = Quarantine::default();
        let mut slots = vec![RunningRequests::new(); UPSTREAMS];
        let mut crashes = BTreeMap::new();
        for (step, (number, at, length)) in sends.into_iter().enumerate() {
            let now = WallTime(NOW.0 + u64::try_from(step).unwrap() * 50);
            for (index, slots) in slots.iter_mut().enumerate() {
                let ended: Vec<u8> = slots.iter().filter(|run| run.1 <= step).map(|run| run.0).collect();
                slots.retain(|run| run.1 > step);
                for number in ended.iter().filter(|number| **number >= CRASHING_REQUESTS) {
                    quarantine.answered(&upstream(index), fingerprint(*number), now);
                }
                if let Some(number) = ended.iter().find(|number| **number < CRASHING_REQUESTS) {
                    *crashes.entry(*number).or_insert(0_usize) += 1;
                    quarantine.lost(&upstream(index), now);
                    slots.clear();
                }
            }
            // A request belongs to one key, so it runs on at most one upstream at a time.
            let is_running = slots.iter().flatten().any(|run| run.0 == number);
            if is_running || slots[at].len() >= SLOTS {
                continue;
            }
            let admit = quarantine.admit(&upstream(at), fingerprint(number), now);
            if admit == Admission::Run {
                slots[at].push((number, step + length));
            }
            prop_assert!(number < CRASHING_REQUESTS || !matches!(admit, Admission::Quarantined(_)));
        }
        prop_assert!(crashes.values().all(|count| *count <= QUARANTINE_DEATHS + 1));
    }
}

#[derive(Debug, Clone)]
enum Change {
    Death { number: u8, at: u64, upstream: usize, count: usize },
    Clear { number: u8, at: u64 },
}

fn change() -> impl Strategy<Value = Change> {
    let death = (0..3_u8, 1..20_u64, 0..3_usize, 1..4_usize);
    prop_oneof![
        4 => death.prop_map(|(number, at, upstream, count)| Change::Death { number, at, upstream, count }),
        1 => (0..3_u8, 1..20_u64).prop_map(|(number, at)| Change::Clear { number, at }),
    ]
}

fn histories() -> impl Strategy<Value = CrashHistories> {
    prop::collection::vec(change(), 0..30).prop_map(|changes| {
        let mut histories = CrashHistories::default();
        for change in changes {
            match change {
                Change::Death { number, at, upstream: index, count } => {
                    let share = SuspicionShare::among(count);
                    let death = Death { at: WallTime(at), upstream: upstream(index), share };
                    histories.add(fingerprint(number), death);
                }
                Change::Clear { number, at } => histories.clear(fingerprint(number), WallTime(at)),
            }
        }
        histories
    })
}

fn merged(first: &CrashHistories, second: &CrashHistories) -> CrashHistories {
    let mut histories = first.clone();
    histories.merge(second);
    histories
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn crash_histories_merge_in_any_order(a in histories(), b in histories(), c in histories()) {
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &a), a);
    }

    #[test]
    fn pruning_limits_the_number_of_requests(a in histories(), max in 0..4_usize) {
        let mut pruned = a.clone();
        pruned.prune(WallTime(20), max);
        prop_assert_eq!(pruned.len(), a.len().min(max));
    }
}

/// The next holder of a range knew of no crash, and ran the request again.
#[test]
fn a_holder_that_merges_the_histories_of_a_crash_quarantines_at_the_next() {
    let (mut former, mut next) = (Quarantine::default(), Quarantine::default());
    for other in [fingerprint(7), fingerprint(1)] {
        former.admit(&upstream(1), other, NOW);
    }
    let lost = former.lost(&upstream(1), NOW);
    next.merge(&former.histories().select(&lost), NOW);
    assert_eq!(next.verdict(fingerprint(1), NOW), Verdict::Suspect);
    assert_eq!(next.admit(&upstream(2), fingerprint(1), NOW), Admission::Run);
    next.lost(&upstream(2), NOW);
    assert!(matches!(next.verdict(fingerprint(1), NOW), Verdict::Quarantined(_)));
    assert_eq!(former.histories().select(&[fingerprint(9)]), CrashHistories::default());
}
