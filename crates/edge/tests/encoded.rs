//! Large records in updates between hosts.

#![allow(clippy::unwrap_used)]

use skylarkdock_edge::control::encoded::{EncodedRecord, EncodedRecordError, Versions};

const KEY: &str = "config";

fn record(version: u32) -> Vec<u8> {
    let routes = (0..400).map(|n| format!("{{\"name\":\"r{n}\",\"prefix\":\"/{}/\"}}", n * 7_919));
    let routes: Vec<String> = routes.collect();
    format!("{{\"version\":\"r{version}\",\"routes\":[{}]}}", routes.join(",")).into_bytes()
}

fn versions(numbers: impl IntoIterator<Item = u32>) -> Versions {
    let mut versions = Versions::default();
    numbers.into_iter().for_each(|number| versions.add(&record(number)));
    versions
}

fn size(encoded: &EncodedRecord) -> usize {
    serde_json::to_vec(encoded).unwrap().len()
}

#[test]
fn a_host_with_a_recent_version_gets_the_difference() {
    let (mut sender, receiver) = (versions(1..=3), versions([2]));
    let encoded = sender.encode(KEY, &record(3), receiver.newest()).unwrap();
    assert!(size(&encoded) < 400, "{}", size(&encoded));
    assert_eq!(receiver.decode(&encoded).unwrap(), record(3));
}

#[test]
fn a_host_without_a_known_version_gets_the_whole_record() {
    let mut sender = versions(1..=6);
    for receiver in [versions([]), versions([1]), versions([9])] {
        let encoded = sender.encode(KEY, &record(6), receiver.newest()).unwrap();
        assert!(size(&encoded) < record(6).len());
        assert_eq!(receiver.decode(&encoded).unwrap(), record(6));
    }
}

/// A host that restarted, or that was told another version than it has, must not make one up.
#[test]
fn a_difference_to_a_version_that_a_host_lacks_is_refused() {
    let mut sender = versions(1..=3);
    let encoded = sender.encode(KEY, &record(3), versions([2]).newest()).unwrap();
    for receiver in [versions([]), versions([1])] {
        assert!(matches!(receiver.decode(&encoded), Err(EncodedRecordError::UnknownBase)));
    }
}

/// The same version is read twice, as a page and as an update.
#[test]
fn a_version_that_is_added_twice_counts_once() {
    let mut sender = versions([1, 2, 2, 2, 2]);
    let receiver = versions([1]);
    let encoded = sender.encode(KEY, &record(2), receiver.newest()).unwrap();
    assert!(size(&encoded) < 400, "{}", size(&encoded));
}
