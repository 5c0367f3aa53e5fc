//! What is made of the registry's records.

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

fn gone(id: &str) -> RegistryChange {
    RegistryChange::Drop(id.parse().unwrap())
}

/// Found by a hunt: an upstream wrote once more and left within one page, and stayed in use.
#[test]
fn records_count_in_their_order() {
    let now = HostTime(10_000);
    let mut registry = Registry::default();
    registry.apply(vec![put("a", 1), put("b", 1)], true, now);
    registry.apply(vec![put("a", 2), gone("a")], false, now);
    assert_eq!(listed(&registry), ["b"]);
    registry.apply(vec![gone("b"), put("b", 3)], false, now);
    assert_eq!(listed(&registry), ["b"]);
}

#[test]
fn signs_of_life_are_no_changes() {
    let now = HostTime(10_000);
    let mut registry = Registry::default();
    assert_eq!(registry.apply(vec![put("a", 1)], true, now).len(), 1);
    assert_eq!(registry.apply(vec![put("a", 2)], false, now), []);
    let mut leaving = entry("a", 3);
    leaving.is_leaving = true;
    assert_eq!(registry.apply(vec![RegistryChange::Put(leaving)], false, now).len(), 1);
}

#[test]
fn an_earlier_life_does_not_replace_a_later_one() {
    let now = HostTime(10_000);
    let mut registry = Registry::default();
    let mut later = entry("a", 1);
    later.born = 2;
    registry.apply(vec![RegistryChange::Put(later)], true, now);
    registry.apply(vec![put("a", 9)], false, now);
    assert_eq!(registry.entry(&"a".parse().unwrap()).unwrap().born, 2);
}

/// While the store is away entries lapse; those of living upstreams come back within two seconds or so.
#[rstest]
#[case::comes_back(true)]
#[case::stays_away(false)]
fn what_lapsed_with_the_store_may_come_back(#[case] comes_back: bool) {
    let mut now = HostTime(10_000);
    let mut registry = Registry::default();
    registry.on_read(now, now);
    registry.apply(vec![put("a", 1)], true, now);
    now = now + Millis(8_000);
    registry.on_read(now, now);
    registry.apply(vec![gone("a")], false, now);
    assert_eq!(listed(&registry), ["a"], "dropped while it may come back");
    now = now + Millis(1_000);
    registry.on_read(now, now);
    if comes_back {
        registry.apply(vec![put("a", 2)], false, now);
    }
    now = now + Millis(1_450);
    registry.on_read(now, now);
    registry.apply(Vec::new(), false, now);
    assert_eq!(!listed(&registry).is_empty(), comes_back);
}

#[test]
fn what_vanishes_while_the_store_is_there_is_gone() {
    let mut now = HostTime(10_000);
    let mut registry = Registry::default();
    registry.on_read(now, now);
    registry.apply(vec![put("a", 1)], true, now);
    now = now + Millis(300);
    registry.on_read(now, now);
    assert_eq!(registry.apply(vec![gone("a")], false, now).len(), 1);
    assert!(listed(&registry).is_empty());
}

/// Found by a hunt: the store refused a host for a while; an upstream that left after its return was kept for 2 s more.
#[test]
fn what_vanishes_after_the_first_read_is_gone() {
    let mut now = HostTime(10_000);
    let mut registry = Registry::default();
    registry.on_read(now, now);
    registry.apply(vec![put("a", 1), put("b", 1)], true, now);
    now = now + Millis(8_000);
    registry.on_read(now, now);
    registry.apply(vec![gone("a")], false, now);
    now = now + Millis(300);
    registry.on_read(now, now);
    registry.apply(vec![gone("b")], false, now);
    assert_eq!(listed(&registry), ["a"]);
}
