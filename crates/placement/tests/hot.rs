//! Hot keys are split out and merged back by their load; a stable load moves nothing.
#![allow(clippy::unwrap_used)]

use skylarkdock_placement::hot::{KeyLoad, TargetPlacement, target_placement};
use skylarkdock_placement::upstreams::{self, RangePlacement};
use skylarkdock_records::service::Service;
use skylarkdock_units::ids::{RangeIndex, UpstreamId};
use skylarkdock_units::keys::KeyHash;
use std::collections::BTreeMap;

const RANGES: u32 = 64;
const SLACK_PERCENT: u64 = 5;

fn service(upstreams: u32) -> Service {
    let upstream = |i: u32| {
        serde_json::json!({
            "id": format!("u{i}"), "address": format!("127.0.0.1:{}", 9000 + i), "zone": "z",
            "slots": 6
        })
    };
    let record = serde_json::json!({
        "schema": 2, "service": "orders", "ranges": RANGES, "on_cut": "move",
        "upstreams": (0..upstreams).map(upstream).collect::<Vec<_>>()
    });
    skylarkdock_records::decode(&record).unwrap()
}

/// Returns unassigned ranges of weight 100 plus that of their keys, and keys with the given weights
/// that are not split out.
fn loads(
    service: &Service,
    weights: &[u64],
) -> (BTreeMap<RangeIndex, RangePlacement>, Vec<KeyLoad>) {
    let place = |i| (RangeIndex(i), RangePlacement { upstream: None, weight: 100 });
    let mut ranges: BTreeMap<_, _> = (0..RANGES).map(place).collect();
    let mut keys = Vec::new();
    for (i, weight) in weights.iter().enumerate() {
        let key = KeyHash::of(&format!("key-{i}"));
        ranges.get_mut(&service.range_of(key)).unwrap().weight += weight;
        keys.push(KeyLoad { key, weight: *weight, upstream: None });
    }
    (ranges, keys)
}

fn apply_target(
    target: &TargetPlacement,
    ranges: &mut BTreeMap<RangeIndex, RangePlacement>,
    keys: &mut [KeyLoad],
) {
    for (index, upstream) in &target.ranges {
        ranges.get_mut(index).unwrap().upstream = Some(upstream.clone());
    }
    for load in keys {
        let hot = target.hot.values().flatten().find(|hot| hot.key == load.key);
        load.upstream = hot.map(|hot| hot.upstream.clone());
    }
}

fn owner_of(service: &Service, target: &TargetPlacement, key: KeyHash) -> UpstreamId {
    let hot = target.hot.values().flatten().find(|hot| hot.key == key);
    hot.map_or_else(|| target.ranges[&service.range_of(key)].clone(), |hot| hot.upstream.clone())
}

fn max_load(service: &Service, target: &TargetPlacement, keys: &[KeyLoad]) -> u64 {
    let mut loads: BTreeMap<UpstreamId, u64> = BTreeMap::new();
    for upstream in target.ranges.values() {
        *loads.entry(upstream.clone()).or_default() += 100;
    }
    for load in keys {
        *loads.entry(owner_of(service, target, load.key)).or_default() += load.weight;
    }
    loads.into_values().max().unwrap()
}

#[test]
fn hot_keys_are_split_out_and_load_is_balanced() {
    let service = service(8);
    let (ranges, keys) = loads(&service, &[700; 10]);
    let target = target_placement(&service, &ranges, &keys, &|_| true, SLACK_PERCENT);
    let mean = (u64::from(RANGES) * 100 + 7_000) / 8;
    assert_eq!(target.hot.values().flatten().count(), 10);
    assert!(max_load(&service, &target, &keys) * 10 <= mean * 11);
}

#[test]
fn light_keys_stay_in_their_ranges() {
    let service = service(8);
    let (ranges, keys) = loads(&service, &[30; 10]);
    let target = target_placement(&service, &ranges, &keys, &|_| true, SLACK_PERCENT);
    assert_eq!(target.hot.values().flatten().count(), 0);
}

#[test]
fn a_balanced_placement_moves_nothing() {
    let service = service(8);
    let (mut ranges, mut keys) = loads(&service, &[900, 800, 700, 600, 500, 400, 300]);
    let first = target_placement(&service, &ranges, &keys, &|_| true, SLACK_PERCENT);
    apply_target(&first, &mut ranges, &mut keys);
    assert_eq!(target_placement(&service, &ranges, &keys, &|_| true, SLACK_PERCENT), first);
}

#[test]
fn a_split_key_is_merged_only_below_the_merge_threshold() {
    let service = service(8);
    let (mut ranges, mut keys) = loads(&service, &[700]);
    let first = target_placement(&service, &ranges, &keys, &|_| true, SLACK_PERCENT);
    apply_target(&first, &mut ranges, &mut keys);
    let split_keys_at_weight = |weight: u64| {
        let (mut lighter_ranges, mut key) = (ranges.clone(), keys.clone());
        lighter_ranges.get_mut(&service.range_of(key[0].key)).unwrap().weight = 100 + weight;
        key[0].weight = weight;
        let target = target_placement(&service, &lighter_ranges, &key, &|_| true, SLACK_PERCENT);
        target.hot.values().flatten().count()
    };
    assert_eq!(split_keys_at_weight(30), 1);
    assert_eq!(split_keys_at_weight(5), 0);
}

#[test]
fn a_range_heavier_than_any_share_does_not_move() {
    let service = service(8);
    let (mut ranges, _) = loads(&service, &[]);
    ranges.get_mut(&RangeIndex(7)).unwrap().weight = 5_000;
    let first = upstreams::target_owners(&service, &ranges, &|_| true, SLACK_PERCENT);
    for (index, upstream) in &first {
        ranges.get_mut(index).unwrap().upstream = Some(upstream.clone());
    }
    assert_eq!(upstreams::target_owners(&service, &ranges, &|_| true, SLACK_PERCENT), first);
}

#[test]
fn a_new_upstream_among_many_gets_its_share() {
    let (before, after) = (service(31), service(32));
    let (mut ranges, _) = loads(&before, &[]);
    let first = upstreams::target_owners(&before, &ranges, &|_| true, SLACK_PERCENT);
    for (index, upstream) in &first {
        ranges.get_mut(index).unwrap().upstream = Some(upstream.clone());
    }
    let second = upstreams::target_owners(&after, &ranges, &|_| true, SLACK_PERCENT);
    let new: UpstreamId = "u31".parse().unwrap();
    assert_eq!(second.values().filter(|id| **id == new).count(), 2);
    assert_eq!(first.iter().filter(|(index, id)| second[*index] != **id).count(), 2);
}

#[test]
fn a_hot_key_of_a_lost_upstream_overloads_no_other() {
    let service = service(16);
    let (mut ranges, mut keys) = loads(&service, &[300; 10]);
    let first = target_placement(&service, &ranges, &keys, &|_| true, SLACK_PERCENT);
    apply_target(&first, &mut ranges, &mut keys);
    let lost_upstream = owner_of(&service, &first, keys[0].key);
    let after =
        target_placement(&service, &ranges, &keys, &|u| u.id != lost_upstream, SLACK_PERCENT);
    let mean = (u64::from(RANGES) * 100 + 3_000) / 15;
    // A range of weight 100 is the smallest unit that can move, so the load may exceed the mean by
    // one range.
    assert!(max_load(&service, &after, &keys) <= mean + 100);
}
