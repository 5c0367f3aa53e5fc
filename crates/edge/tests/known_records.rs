//! Which records of the store a host passes on to others.

use skylarkdock_edge::control::known_records::KnownRecords;
use skylarkdock_edge::store::{Page, Record, Topic};
use skylarkdock_units::times::HostTime;

const KEY: &str = "owners/s";

fn page(values: &[&str], next: u64) -> Page {
    let record = |value: &&str| Record { key: KEY.to_owned(), value: value.as_bytes().to_vec() };
    Page { records: values.iter().map(record).collect(), next }
}

/// Guards against a read that was under way during a write of this host and takes the written record away from others.
#[test]
fn a_page_from_before_a_write_replaces_no_written_record() {
    for (earlier, is_whole) in
        [(page(&["2"], 7), false), (page(&["2"], 7), true), (page(&[], 7), true)]
    {
        let mut known = KnownRecords::default();
        known.record_page(Topic::Fleet, &page(&["3"], 8), false, HostTime(50));
        known.record_page(Topic::Fleet, &earlier, is_whole, HostTime(40));
        assert_eq!(known.fleet.records.get(KEY), Some(&(b"3".to_vec(), 8)), "{earlier:?}");
        assert_eq!((known.fleet.next, known.fleet.proof_at), (8, HostTime(50)));
    }
}

#[test]
fn a_page_from_after_a_write_replaces_or_deletes_the_written_record() {
    for (later, is_whole, value) in
        [(page(&["4"], 9), false, "4"), (page(&["4"], 9), true, "4"), (page(&[], 9), true, "")]
    {
        let mut known = KnownRecords::default();
        known.record_page(Topic::Fleet, &page(&["3"], 8), false, HostTime(50));
        known.record_page(Topic::Fleet, &later, is_whole, HostTime(60));
        assert_eq!(
            known.fleet.records.get(KEY),
            Some(&(value.as_bytes().to_vec(), 9)),
            "{later:?}"
        );
    }
}
