//! Tests of the log's store and rate limiter in this process, with simulated time.

use skylarkdock_standins::log::store::{LogStore, Page, Retention};
use skylarkdock_standins::log::token_bucket::TokenBucket;
use skylarkdock_units::ids::Offset;
use skylarkdock_units::measures::PerSecond;
use skylarkdock_units::times::{HostTime, Millis, WallTime};

fn offsets(page: &Page) -> Vec<u64> {
    page.records.iter().map(|record| record.offset.0).collect()
}

#[test]
fn offsets_are_consecutive_and_start_at_one() {
    let mut log = LogStore::new(Retention::default());
    assert_eq!(log.bounds(WallTime(1)), (Offset(1), Offset(1)));
    let offsets_appended: Vec<u64> = (0..4).map(|n| log.append(WallTime(n), "text").0).collect();
    assert_eq!(offsets_appended, [1, 2, 3, 4]);
    assert_eq!(offsets(&log.read(Offset(0), 10)), [1, 2, 3, 4]);
    assert_eq!(offsets(&log.read(Offset(2), 2)), [2, 3]);
    assert_eq!(offsets(&log.read(Offset(9), 10)), [0_u64; 0]);
}

#[test]
fn records_beyond_the_maximum_number_are_evicted() {
    let retention = Retention { max_records: Some(2), max_age: None };
    let mut log = LogStore::new(retention);
    (0..5).for_each(|_| _ = log.append(WallTime(0), "text"));
    let page = log.read(Offset(1), 10);
    assert_eq!((page.oldest, page.next), (Offset(4), Offset(6)));
    assert_eq!(offsets(&page), [4, 5]);
}

#[test]
fn expired_records_are_evicted_and_offsets_continue() {
    let retention = Retention { max_records: None, max_age: Some(Millis(100)) };
    let mut log = LogStore::new(retention);
    log.append(WallTime(1000), "old");
    log.append(WallTime(1050), "newer");
    assert_eq!(log.bounds(WallTime(1100)), (Offset(1), Offset(3)));
    assert_eq!(log.bounds(WallTime(1101)), (Offset(2), Offset(3)));
    assert_eq!(log.bounds(WallTime(9000)), (Offset(3), Offset(3)));
    assert_eq!(log.append(WallTime(9000), "next"), Offset(3));
}

#[test]
fn a_page_has_at_least_one_record_and_a_maximum_size() {
    let mut log = LogStore::new(Retention::default());
    let large = "x".repeat(3 * 1024 * 1024);
    (0..3).for_each(|_| _ = log.append(WallTime(0), &large));
    assert_eq!(offsets(&log.read(Offset(2), 10)), [2]);
}

#[test]
fn the_token_bucket_allows_a_burst_of_one_second_then_the_rate() {
    let mut bucket = TokenBucket::new(PerSecond(4), HostTime(0));
    let taken = (0..6).filter(|_| bucket.try_take(HostTime(0)).is_ok()).count();
    assert_eq!(taken, 4);
    assert_eq!(bucket.try_take(HostTime(0)), Err(Millis(250)));
    assert_eq!(bucket.try_take(HostTime(100)), Err(Millis(150)));
    assert_eq!(bucket.try_take(HostTime(250)), Ok(()));
    assert!(bucket.try_take(HostTime(250)).is_err());
    let later = (0..9).filter(|_| bucket.try_take(HostTime(60_000)).is_ok()).count();
    assert_eq!(later, 4);
}
