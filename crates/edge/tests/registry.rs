//! How the registry applies records of upstreams.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_edge::control::registry::{Registry, RegistryChange};
use skylarkdock_edge::view::Entry;
use skylarkdock_units::times::{HostTime, Millis};

fn entry(id: &str, seq: u64) -> Entry {
    Entry {
        id: id.parse().unwrap(),
        born: 1,
        service: "s".parse().unwrap(),
        addr: ([127, 0, 0, 1], 9_000).into(),
        zone: "z".parse().unwrap(),
        region: None,
        slots: 2,
        is_leaving: false,
        cold: Millis(0),
        seq,
    }
}

fn listed(registry: &Registry) -> Vec<String> {
    let mut ids: Vec<String> =
        registry.listed().map(|listed| listed.entry.id.to_string()).collect();
    ids.sort();
    ids
}

fn put(id: &str, seq: u64) -> RegistryChange {
    RegistryChange::Put(entry(id, seq))
}

fn delete(id: &str) -> RegistryChange {
    RegistryChange::Drop(id.parse().unwrap())
}

/// If an upstream writes its entry again and leaves within one page of records, it must not stay listed.
#[test]
fn records_of_a_page_are_applied_in_order() {
    let now = HostTime(10_000);
    let mut registry = Registry::default();
    registry.apply(vec![put("a", 1), put("b", 1)], true, now);
    registry.apply(vec![put("a", 2), delete("a")], false, now);
    assert_eq!(listed(&registry), ["b"]);
    registry.apply(vec![delete("b"), put("b", 3)], false, now);
    assert_eq!(listed(&registry), ["b"]);
}

#[test]
fn heartbeats_are_not_reported_as_changes() {
    let now = HostTime(10_000);
    let mut registry = Registry::default();
    assert_eq!(registry.apply(vec![put("a", 1)], true, now).len(), 1);
    assert_eq!(registry.apply(vec![put("a", 2)], false, now), []);
    let mut leaving = entry("a", 3);
    leaving.is_leaving = true;
    assert_eq!(registry.apply(vec![RegistryChange::Put(leaving)], false, now).len(), 1);
}

#[test]
fn entry_of_an_earlier_start_does_not_replace_a_later_one() {
    let now = HostTime(10_000);
    let mut registry = Registry::default();
    let mut later = entry("a", 1);
    later.born = 2;
    registry.apply(vec![RegistryChange::Put(later)], true, now);
    registry.apply(vec![put("a", 9)], false, now);
    assert_eq!(registry.entry(&"a".parse().unwrap()).unwrap().born, 2);
}

/// Entries expire while the store is unavailable. Running upstreams write theirs again within about two seconds, so an
/// expired entry is kept that long.
#[rstest]
#[case::is_written_again(true)]
#[case::is_not_written_again(false)]
fn entry_expired_during_a_store_outage_is_kept_until_it_may_return(#[case] is_written_again: bool) {
    let mut now = HostTime(10_000);
    let mut registry = Registry::default();
    registry.on_read(now, now);
    registry.apply(vec![put("a", 1)], true, now);
    now = now + Millis(8_000);
    registry.on_read(now, now);
    registry.apply(vec![delete("a")], false, now);
    assert_eq!(listed(&registry), ["a"], "dropped although it may be written again");
    now = now + Millis(1_000);
    registry.on_read(now, now);
    if is_written_again {
        registry.apply(vec![put("a", 2)], false, now);
    }
    now = now + Millis(1_450);
    registry.on_read(now, now);
    registry.apply(Vec::new(), false, now);
    assert_eq!(!listed(&registry).is_empty(), is_written_again);
}

#[test]
fn entry_deleted_while_the_store_is_available_is_dropped() {
    let mut now = HostTime(10_000);
    let mut registry = Registry::default();
    registry.on_read(now, now);
    registry.apply(vec![put("a", 1)], true, now);
    now = now + Millis(300);
    registry.on_read(now, now);
    assert_eq!(registry.apply(vec![delete("a")], false, now).len(), 1);
    assert!(listed(&registry).is_empty());
}

/// After the store has refused a host for a while, an upstream that leaves after the first successful read must be
/// dropped at once, not kept for 2 s.
#[test]
fn entry_deleted_after_the_first_read_is_dropped() {
    let mut now = HostTime(10_000);
    let mut registry = Registry::default();
    registry.on_read(now, now);
    registry.apply(vec![put("a", 1), put("b", 1)], true, now);
    now = now + Millis(8_000);
    registry.on_read(now, now);
    registry.apply(vec![delete("a")], false, now);
    now = now + Millis(300);
    registry.on_read(now, now);
    registry.apply(vec![delete("b")], false, now);
    assert_eq!(listed(&registry), ["a"]);
}
