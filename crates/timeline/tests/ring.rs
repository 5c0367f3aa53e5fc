//! Limits, pages and filters of the ring buffer.

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

fn lease_lost(range: &str) -> EventKind {
    let range = range.parse().unwrap();
    EventKind::LeaseLost { range, epoch: Epoch::default(), why: LossReason::Expired }
}

#[test]
fn the_oldest_events_are_evicted_above_the_number_limit() {
    let mut journal = journal(3, u64::MAX);
    for now in 1..=5 {
        journal.record(WallTime(now), EventKind::LogOutage, None);
    }
    let seqs: Vec<u64> = journal.ring().since(0, 10).map(|event| event.seq).collect();
    assert_eq!(seqs, [3, 4, 5]);
    assert_eq!(journal.ring().since(3, 1).next().unwrap().seq, 4);
}

#[test]
fn the_oldest_events_are_evicted_above_the_memory_limit() {
    let mut journal = journal(1000, 2000);
    for now in 1..=100 {
        journal.record(WallTime(now), lease_lost("orders/7"), None);
    }
    let total_bytes: usize = journal.ring().since(0, 1000).map(|event| event.memory_bytes()).sum();
    assert!(total_bytes <= 2000 && !journal.ring().is_empty(), "{total_bytes}");
}

#[test]
fn the_next_page_continues_after_events_that_the_filter_excludes() {
    let mut journal = journal(100, u64::MAX);
    for now in 1..=6 {
        let kind = if now % 2 == 0 { lease_lost("orders/7") } else { EventKind::LogOutage };
        journal.record(WallTime(now), kind, None);
    }
    let filter = Filter { service: Some("orders".parse().unwrap()), ..Filter::default() };
    let first = journal.ring().page(0, 2, &filter);
    let second = journal.ring().page(first.last, 2, &filter);
    assert_eq!((first.oldest, first.last, first.events.len()), (1, 4, 2));
    assert_eq!((second.last, second.events.len()), (6, 1));
}

#[test]
fn each_filter_condition_selects_events() {
    let mut journal = journal(100, u64::MAX);
    journal.record(WallTime(10), lease_lost("orders/7"), None);
    journal.record(WallTime(20), lease_lost("permits/7"), None);
    journal.record(WallTime(30), EventKind::DrainStarted, None);
    let count = |filter: Filter| journal.ring().page(0, 10, &filter).events.len();
    let no_conditions = Filter::default;
    assert_eq!(count(no_conditions()), 3);
    assert_eq!(count(Filter { range: Some("orders/7".parse().unwrap()), ..no_conditions() }), 1);
    assert_eq!(count(Filter { topic: Some(Topic::Lease), ..no_conditions() }), 2);
    assert_eq!(count(Filter { host: Some("host-2".parse().unwrap()), ..no_conditions() }), 0);
    assert_eq!(count(Filter { from: Some(WallTime(20)), ..no_conditions() }), 2);
    assert_eq!(count(Filter { to: Some(WallTime(19)), ..no_conditions() }), 1);
}
