//! The ring keeps to its bounds and hands out pages.

#![allow(clippy::unwrap_used)]

use skylarkdock_timeline::clock::Clock;
use skylarkdock_timeline::filter::Filter;
use skylarkdock_timeline::journal::Journal;
use skylarkdock_timeline::reasons::LossReason;
use skylarkdock_timeline::ring::Limits;
use skylarkdock_timeline::{EventKind, Topic};
use skylarkdock_units::ids::Epoch;
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::times::WallTime;

fn journal(events: usize, bytes: u64) -> Journal {
    let limits = Limits { events, bytes: ByteSize(bytes) };
    Journal::new("host-1".parse().unwrap(), Clock::default(), limits)
}

fn lost(range: &str) -> EventKind {
    let range = range.parse().unwrap();
    EventKind::LeaseLost { range, epoch: Epoch::default(), why: LossReason::Expired }
}

#[test]
fn the_oldest_events_are_dropped_by_number() {
    let mut journal = journal(3, u64::MAX);
    for now in 1..=5 {
        journal.record(WallTime(now), EventKind::LogOutage, None);
    }
    let seqs: Vec<u64> = journal.ring().since(0, 10).map(|event| event.seq).collect();
    assert_eq!(seqs, [3, 4, 5]);
    assert_eq!(journal.ring().since(3, 1).next().unwrap().seq, 4);
}

#[test]
fn the_oldest_events_are_dropped_by_memory() {
    let mut journal = journal(1000, 2000);
    for now in 1..=100 {
        journal.record(WallTime(now), lost("orders/7"), None);
    }
    let weight: usize = journal.ring().since(0, 1000).map(|event| event.weight()).sum();
    assert!(weight <= 2000 && !journal.ring().is_empty(), "{weight}");
}

#[test]
fn pages_go_on_behind_events_that_the_filter_leaves_out() {
    let mut journal = journal(100, u64::MAX);
    for now in 1..=6 {
        let kind = if now % 2 == 0 { lost("orders/7") } else { EventKind::LogOutage };
        journal.record(WallTime(now), kind, None);
    }
    let filter = Filter { service: Some("orders".parse().unwrap()), ..Filter::default() };
    let first = journal.ring().page(0, 2, &filter);
    let second = journal.ring().page(first.last, 2, &filter);
    assert_eq!((first.oldest, first.last, first.events.len()), (1, 4, 2));
    assert_eq!((second.last, second.events.len()), (6, 1));
}

#[test]
fn filters_select_by_each_condition() {
    let mut journal = journal(100, u64::MAX);
    journal.record(WallTime(10), lost("orders/7"), None);
    journal.record(WallTime(20), lost("permits/7"), None);
    journal.record(WallTime(30), EventKind::DrainStarted, None);
    let count = |filter: Filter| journal.ring().page(0, 10, &filter).events.len();
    let none = Filter::default;
    assert_eq!(count(none()), 3);
    assert_eq!(count(Filter { range: Some("orders/7".parse().unwrap()), ..none() }), 1);
    assert_eq!(count(Filter { topic: Some(Topic::Lease), ..none() }), 2);
    assert_eq!(count(Filter { host: Some("host-2".parse().unwrap()), ..none() }), 0);
    assert_eq!(count(Filter { from: Some(WallTime(20)), ..none() }), 2);
    assert_eq!(count(Filter { to: Some(WallTime(19)), ..none() }), 1);
}
