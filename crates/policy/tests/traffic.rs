//! Hedged requests, latency percentiles, the bandwidth budget between regions and hot-key detection.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use fastrand::Rng;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use skylarkdock_policy::budget::AttemptBudget;
use skylarkdock_policy::hedge::{Action, Hedge, HedgeAttempt};
use skylarkdock_policy::hotkeys::{HotKeySketch, MAX_COUNTERS};
use skylarkdock_policy::latencies::LatencyHistogram;
use skylarkdock_policy::link::{LinkBudget, SendDecision};
use skylarkdock_policy::queue::Priority;
use skylarkdock_units::ids::ServiceName;
use skylarkdock_units::keys::KeyHash;
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::BTreeSet;

const SEED: u64 = 61;
const LINK_BYTES_PER_MS: u64 = 3750;

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() }
}

/// One sample for each latency from 1 to 100 ms.
fn latencies() -> LatencyHistogram {
    let mut latencies = LatencyHistogram::default();
    (1..=100).for_each(|millis| latencies.observe(Millis(millis)));
    latencies
}

#[test]
fn a_slow_read_is_hedged_once_and_the_slower_attempt_is_cancelled() {
    let mut budget = AttemptBudget::new(10, 1);
    let mut hedge = Hedge::new(HostTime(0), true, &latencies());
    let due = hedge.due().unwrap();
    assert!((95..=104).contains(&due.0), "{due}");
    assert_eq!(hedge.on_timer(HostTime(due.0 - 1), &mut budget), None);
    assert_eq!(hedge.on_timer(due, &mut budget), Some(Action::Start));
    assert_eq!(hedge.on_timer(due, &mut budget), None);
    assert_eq!(hedge.on_answer(HedgeAttempt::Second), Some(Action::Cancel(HedgeAttempt::First)));
    assert_eq!(hedge.on_failure(HedgeAttempt::First), None);
    let mut other = Hedge::new(HostTime(0), true, &latencies());
    assert_eq!(other.on_timer(due, &mut budget), None, "the budget is exhausted");
}

#[test]
fn once_only_requests_and_missing_percentiles_are_not_hedged() {
    assert_eq!(Hedge::new(HostTime(0), false, &latencies()).due(), None);
    assert_eq!(Hedge::new(HostTime(0), true, &LatencyHistogram::default()).due(), None);
}

#[test]
fn a_read_fails_when_its_last_attempt_fails() {
    let mut hedge = Hedge::new(HostTime(0), true, &latencies());
    hedge.on_timer(HostTime(200), &mut AttemptBudget::new(10, 1));
    assert_eq!(hedge.on_failure(HedgeAttempt::First), None);
    assert_eq!(hedge.on_failure(HedgeAttempt::Second), Some(Action::Fail));
}

fn services() -> [ServiceName; 2] {
    ["footage".parse().unwrap(), "orders".parse().unwrap()]
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn percentiles_are_within_an_eighth(mut values in prop::collection::vec(0..100_000_u64, 50..500)) {
        let mut latencies = LatencyHistogram::default();
        values.iter().for_each(|value| latencies.observe(Millis(*value)));
        values.sort_unstable();
        let exact = values[(values.len() * 95).div_ceil(100) - 1];
        let estimate = latencies.percentile(95).unwrap().0;
        prop_assert!(exact <= estimate && estimate <= exact + exact / 8);
    }

    /// The bytes sent never exceed the link's rate by more than one burst and one transfer, and a transfer may be
    /// sent once the wait that it was given is over.
    #[test]
    fn the_link_rate_is_never_exceeded(
        transfers in prop::collection::vec((0..2_usize, 0..3_usize, 1..400_000_u64, 0..200_u64), 1..200),
    ) {
        let services = services();
        let mut link = LinkBudget::new(1, &services, HostTime(0));
        let (mut now, mut sent) = (HostTime(0), 0);
        for (service, class, bytes, gap) in transfers {
            now = now + Millis(gap);
            let try_send = |link: &mut LinkBudget, now| {
                link.try_send(&services[service], Priority::ALL[class], ByteSize(bytes), now)
            };
            if let SendDecision::Wait(span) = try_send(&mut link, now) {
                now = now + span;
                prop_assert_eq!(try_send(&mut link, now), SendDecision::Send);
            }
            sent += bytes;
            prop_assert!(sent <= LINK_BYTES_PER_MS * (now.0 + 500) + 400_000);
        }
        let counted: u64 = services.iter().map(|service| link.sent(service).0).sum();
        prop_assert_eq!(counted, sent);
    }
}

#[test]
fn bulk_transfers_do_not_block_urgent_ones_or_the_other_service() {
    let [footage, orders] = services();
    let mut link = LinkBudget::new(1, &[footage.clone(), orders.clone()], HostTime(0));
    let megabyte = ByteSize(1_000_000);
    assert_eq!(link.try_send(&footage, Priority::Bulk, megabyte, HostTime(0)), SendDecision::Send);
    let wait = link.try_send(&footage, Priority::Bulk, megabyte, HostTime(0));
    assert!(matches!(wait, SendDecision::Wait(_)));
    assert_eq!(
        link.try_send(&orders, Priority::Interactive, ByteSize(1000), HostTime(0)),
        SendDecision::Send
    );
    let later = HostTime(20);
    assert!(matches!(
        link.try_send(&footage, Priority::Bulk, megabyte, later),
        SendDecision::Wait(_)
    ));
    assert_eq!(link.try_send(&orders, Priority::Bulk, megabyte, later), SendDecision::Send);
}

/// Ten hot keys together get a tenth of the requests. They are replaced by ten others after ten minutes, then after
/// two, and so on in turn.
#[test]
fn the_ten_hottest_keys_are_found_within_two_minutes() {
    let mut rng = Rng::with_seed(SEED);
    let mut sketch = HotKeySketch::new(HostTime(0));
    let mut now = 0;
    for phase in 0..4 {
        let hot: BTreeSet<KeyHash> = (0..10).map(|key| KeyHash(1000 * phase + key)).collect();
        let keys: Vec<KeyHash> = hot.iter().copied().collect();
        let minutes = if phase % 2 == 0 { 10 } else { 2 };
        for _ in 0..minutes * 60 * 200 {
            now += 5;
            let is_hot = rng.u32(0..10) == 0;
            let cold = KeyHash(1_000_000 + rng.u64(0..100_000));
            sketch.observe(if is_hot { keys[rng.usize(0..10)] } else { cold }, HostTime(now));
        }
        let found: BTreeSet<KeyHash> = sketch.hottest(10).iter().map(|hot| hot.key).collect();
        assert_eq!(found, hot, "phase {phase}");
        assert!(sketch.len() <= MAX_COUNTERS);
    }
}
