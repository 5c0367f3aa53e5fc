//! Copies of the store, and what is known while one is new.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_freshness::copies::{CopyNumber, KnownCopy, Position, REWRITE_TIME};
use skylarkdock_units::times::{HostTime, Millis};

const START: HostTime = HostTime(100_000);

fn copy(number: u64) -> CopyNumber {
    CopyNumber::of(number)
}

#[rstest]
#[case::without_copies(0, 17, 17)]
#[case::first(1, 0, 1 << 40)]
#[case::largest(0xff_ffff, (1 << 40) - 1, u64::MAX)]
fn an_offset_has_the_copy_in_its_high_part(
    #[case] number: u64,
    #[case] index: u64,
    #[case] offset: u64,
) {
    let position = Position { copy: copy(number), index };
    assert_eq!(position.offset(), Some(offset));
    assert_eq!(Position::of(offset), position);
}

#[test]
fn numbers_that_do_not_fit_are_told_apart_by_their_low_bits() {
    assert_eq!(copy(1_764_917_000), copy(1_764_917_000 % (1 << 24)));
    assert!(copy(1_764_917_000) < copy(1_764_917_001));
    assert_eq!(Position { copy: copy(1), index: 1 << 40 }.offset(), None);
}

#[test]
fn any_offset_of_a_later_copy_is_larger() {
    let last = Position { copy: copy(1), index: (1 << 40) - 1 };
    let first = Position { copy: copy(2), index: 0 };
    assert!(last.offset() < first.offset());
}

/// Guards against a 404 for a route that the operator is writing again.
#[test]
fn reads_show_the_newest_configuration_only_some_time_after_the_store_came_back() {
    let mut known = KnownCopy::default();
    assert_eq!(known.on_records(copy(0), START), None);
    assert!(known.shows_newest(START));
    assert_eq!(known.on_records(copy(1), START), Some(copy(0)));
    let last = START + REWRITE_TIME;
    assert!(!known.shows_newest(START) && !known.shows_newest(HostTime(last.0 - 1)));
    assert!(known.shows_newest(last));
    // Further records of this copy, and late ones of the one before, change nothing.
    assert_eq!(known.on_records(copy(1), last), None);
    assert_eq!(known.on_records(copy(0), last), None);
    assert!(known.shows_newest(last));
    // The time begins anew with each copy.
    assert_eq!(known.on_records(copy(2), last), Some(copy(1)));
    assert!(!known.shows_newest(last + Millis(1)));
}

/// The store may have come back just before the start of a host.
#[test]
fn a_host_that_starts_waits_if_the_store_ever_came_back() {
    let mut known = KnownCopy::default();
    assert_eq!(known.on_records(copy(3), START), None);
    assert!(!known.shows_newest(START + Millis(1)));
    assert!(known.shows_newest(START + REWRITE_TIME));
}
