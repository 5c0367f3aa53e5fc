//! What a page of records says about the configuration.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_dispatch::routes::Routes;
use skylarkdock_edge::control::config_page::{ConfigPage, UnreadRecord};
use skylarkdock_edge::serve::Limits;
use skylarkdock_edge::store::{DecodeError, Page, Record};
use skylarkdock_edge::view::Config;
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::times::Millis;

/// Reads versions written as numbers, under one key.
fn decode(record: &Record) -> Result<Option<Config>, DecodeError> {
    if record.key != "config" || record.value.is_empty() {
        return Ok(None);
    }
    let text = std::str::from_utf8(&record.value).map_err(|_| DecodeError::new("", "no text"))?;
    let version = text.parse().map_err(|_| DecodeError::new("", "no number"))?;
    let size = ByteSize(1);
    let limits = Limits { head: size, body: size, head_time: Millis(1), idle_time: Millis(1) };
    Ok(Some(Config { version, routes: Routes::new(Vec::new()), services: Vec::new(), limits }))
}

fn record(key: &str, value: &str) -> Record {
    Record { key: key.to_owned(), value: value.as_bytes().to_vec() }
}

/// Guards against a host that holds its configuration for the newest one although it can't read a newer one.
#[rstest]
#[case::readable(&["1"], false, None, Some(1), None)]
#[case::unread_after_readable(&["2", "1", "x"], false, None, Some(2), Some("x"))]
#[case::readable_after_unread(&["x", "1"], false, None, Some(1), None)]
#[case::two_unread(&["x", "y"], false, None, None, Some("y"))]
#[case::nothing_new(&[], false, Some("x"), None, Some("x"))]
#[case::replaced(&["3"], false, Some("x"), Some(3), None)]
#[case::replaced_by_unread(&["y"], false, Some("x"), None, Some("y"))]
#[case::deleted(&[""], false, Some("x"), None, None)]
#[case::gone_from_the_store(&[], true, Some("x"), None, None)]
#[case::replaced_in_the_store(&["1"], true, Some("x"), Some(1), None)]
#[case::still_in_the_store(&["x"], true, Some("x"), None, Some("x"))]
fn the_newest_record_counts_also_if_it_cannot_be_read(
    #[case] values: &[&str],
    #[case] is_whole: bool,
    #[case] known: Option<&str>,
    #[case] version: Option<u64>,
    #[case] unread: Option<&str>,
) {
    let known = known.map(|value| UnreadRecord::new(record("config", value), 3));
    let mut records = vec![record("other", "x")];
    records.extend(values.iter().map(|value| record("config", value)));
    let page = ConfigPage::read(Page { records, next: 9 }, is_whole, known, decode);
    assert_eq!(page.newest.map(|(config, _)| config.version), version);
    assert_eq!(
        page.unread.map(|unread| unread.record),
        unread.map(|value| record("config", value))
    );
}

/// Each read of all records returns the record again, and would be a line of the log each.
#[test]
fn a_record_that_cannot_be_read_is_reported_once() {
    let page = || Page { records: vec![record("config", "x")], next: 9 };
    let first = ConfigPage::read(page(), true, None, decode);
    assert_eq!(first.rejected.len(), 1);
    let second = ConfigPage::read(page(), true, first.unread.clone(), decode);
    assert!(second.rejected.is_empty());
    assert_eq!(second.unread, first.unread);
}

/// Guards against a host that gets no record that its source can't read: the source knew the same one from an older copy of
/// the store, and took it for one that all hosts which have read the later copy know.
#[test]
fn a_record_that_was_written_again_counts_from_its_new_offset() {
    let page = |next| Page { records: vec![record("config", "x")], next };
    let first = ConfigPage::read(page(9), true, None, decode).unread;
    let again = ConfigPage::read(page(1 << 40), true, first.clone(), decode).unread;
    assert_eq!(first.map(|unread| unread.offset), Some(9));
    assert_eq!(again.map(|unread| unread.offset), Some(1 << 40));
}
