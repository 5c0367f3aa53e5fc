//! Merged events are ordered, and an event never precedes its cause.

#![allow(clippy::unwrap_used)]

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use skylarkdock_timeline::clock::{Clock, Stamp};
use skylarkdock_timeline::journal::Journal;
use skylarkdock_timeline::merge::merge;
use skylarkdock_timeline::ring::Limits;
use skylarkdock_timeline::{Event, EventKind, EventRef};
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::HostId;
use skylarkdock_units::times::{Millis, WallTime};

const HOSTS: usize = 4;

/// A host records an event, possibly caused by the latest event of a host.
#[derive(Debug, Clone)]
struct Step {
    host: usize,
    from: Option<usize>,
    elapsed_ms: u64,
}

fn steps() -> impl Strategy<Value = (Vec<u64>, Vec<Step>)> {
    let step = (0..HOSTS, prop::option::of(0..HOSTS), 0..5u64)
        .prop_map(|(host, from, elapsed_ms)| Step { host, from, elapsed_ms });
    (vec(0..20_000u64, HOSTS), vec(step, 0..200))
}

/// Runs the steps on hosts whose wall clocks are ahead by `skews_ms` and whose logical clocks accept a
/// lead of `max_lead`. Returns the events of each host.
fn run(skews_ms: &[u64], steps: &[Step], max_lead: Millis) -> Vec<Vec<Event>> {
    let new_journal = |index: usize| {
        let host: HostId = format!("host-{index}").parse().unwrap();
        Journal::new(host, Clock::new(max_lead), Limits::default())
    };
    let mut journals: Vec<Journal> = (0..HOSTS).map(new_journal).collect();
    let mut latest: Vec<Option<(EventRef, Stamp)>> = vec![None; HOSTS];
    let mut time_ms = 1_000_000;
    for step in steps {
        time_ms += step.elapsed_ms;
        let message = step.from.and_then(|from| latest[from].clone());
        let now = WallTime(time_ms + skews_ms[step.host]);
        if let Some((_, stamp)) = &message {
            let _ = journals[step.host].observe(*stamp, now);
        }
        let cause = message.map(|(cause, _)| cause);
        let reference = journals[step.host].record(now, EventKind::LogOutage, cause);
        let sent = journals[step.host].stamp(now);
        latest[step.host] = Some((reference, sent));
    }
    journals.iter().map(|journal| journal.ring().since(0, 1000).cloned().collect()).collect()
}

fn check_causes_come_first(merged: &[Event]) -> Result<(), TestCaseError> {
    let positions: FastMap<EventRef, usize> =
        merged.iter().enumerate().map(|(position, event)| (event.reference(), position)).collect();
    for (position, event) in merged.iter().enumerate() {
        let cause = event.cause.as_ref().and_then(|cause| positions.get(cause));
        prop_assert!(
            cause.is_none_or(|cause| *cause < position),
            "{event} stands before its cause"
        );
        let predecessor = EventRef { host: event.host.clone(), seq: event.seq - 1 };
        prop_assert!(positions.get(&predecessor).is_none_or(|predecessor| *predecessor < position));
    }
    Ok(())
}

fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    TestRunner::new_with_rng(Config { failure_persistence: None, ..Config::default() }, rng)
}

#[test]
fn stamp_order_puts_causes_first_when_stamps_are_accepted() {
    let property = |(skews_ms, steps): (Vec<u64>, Vec<Step>)| {
        let merged = merge(run(&skews_ms, &steps, Millis(60_000)));
        prop_assert_eq!(merged.len(), steps.len());
        let order = |event: &Event| (event.stamp, event.host.clone(), event.seq);
        prop_assert!(merged.is_sorted_by_key(order));
        check_causes_come_first(&merged)
    };
    runner().run(&steps(), property).unwrap();
}

#[test]
fn causes_come_first_even_when_stamps_are_rejected() {
    let property = |(skews_ms, steps): (Vec<u64>, Vec<Step>)| {
        let merged = merge(run(&skews_ms, &steps, Millis(1)));
        prop_assert_eq!(merged.len(), steps.len());
        check_causes_come_first(&merged)
    };
    runner().run(&steps(), property).unwrap();
}

#[test]
fn duplicate_events_are_merged_and_a_causal_cycle_loses_no_event() {
    let mut first = Journal::new("host-1".parse().unwrap(), Clock::default(), Limits::default());
    let later_event = EventRef { host: "host-1".parse().unwrap(), seq: 2 };
    first.record(WallTime(1), EventKind::DrainStarted, Some(later_event));
    first.record(WallTime(2), EventKind::DrainDone, None);
    let events: Vec<Event> = first.ring().since(0, 10).cloned().collect();
    let merged = merge(vec![events.clone(), events.clone()]);
    assert_eq!(merged, events);
}
