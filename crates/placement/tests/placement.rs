//! Ranges and leases are spread evenly, and a change of upstreams moves only as many ranges as it
//! must.
#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_placement::members::{Holders, LiveHost, members};
use skylarkdock_placement::upstreams::{RangePlacement, target_owners};
use skylarkdock_records::service::{OnCut, Service};
use skylarkdock_units::ids::{Incarnation, Member, RangeIndex, UpstreamId};
use std::collections::BTreeMap;

fn service(upstreams: u32, ranges: u32, on_cut: &str) -> Service {
    let list: Vec<_> = (0..upstreams)
        .map(|i| {
            serde_json::json!({
                "id": format!("u{i}"), "address": format!("127.0.0.1:{}", 9000 + i),
                "zone": format!("z{}", i % 4), "slots": 6
            })
        })
        .collect();
    let record = serde_json::json!({
        "schema": 2, "service": "orders", "ranges": ranges, "on_cut": on_cut, "upstreams": list
    });
    skylarkdock_records::decode(&record).unwrap()
}

fn live_hosts(count: u32) -> Vec<LiveHost> {
    (0..count)
        .map(|i| LiveHost {
            member: Member { host: format!("h{i}").parse().unwrap(), incarnation: Incarnation(1) },
            zone: format!("z{}", i % 4).parse().unwrap(),
            region: format!("r{}", i % 4 / 2).parse().unwrap(),
        })
        .collect()
}

fn unassigned_ranges(ranges: u32) -> BTreeMap<RangeIndex, RangePlacement> {
    (0..ranges).map(|i| (RangeIndex(i), RangePlacement { upstream: None, weight: 1 })).collect()
}

fn assigned_ranges(
    target: &BTreeMap<RangeIndex, UpstreamId>,
) -> BTreeMap<RangeIndex, RangePlacement> {
    let placed = |id: &UpstreamId| RangePlacement { upstream: Some(id.clone()), weight: 1 };
    target.iter().map(|(index, id)| (*index, placed(id))).collect()
}

fn max_and_min_ranges(target: &BTreeMap<RangeIndex, UpstreamId>) -> (usize, usize) {
    let mut counts = BTreeMap::new();
    for id in target.values() {
        *counts.entry(id).or_insert(0) += 1;
    }
    (*counts.values().max().unwrap(), *counts.values().min().unwrap())
}

#[rstest]
#[case(8, 64)]
#[case(9, 256)]
#[case(15, 1024)]
fn load_is_balanced(#[case] upstreams: u32, #[case] ranges: u32) {
    let service = service(upstreams, ranges, "move");
    let target = target_owners(&service, &unassigned_ranges(ranges), &|_| true, 5);
    let (max_ranges, min_ranges) = max_and_min_ranges(&target);
    assert_eq!(target.len(), ranges as usize);
    let share = ranges.div_ceil(upstreams) as usize;
    assert!(max_ranges <= share && min_ranges > 0, "{max_ranges} and {min_ranges} around {share}");
}

#[test]
fn a_stable_service_moves_nothing() {
    let service = service(8, 64, "move");
    let first = target_owners(&service, &unassigned_ranges(64), &|_| true, 5);
    assert_eq!(target_owners(&service, &assigned_ranges(&first), &|_| true, 5), first);
}

#[test]
fn a_lost_upstream_moves_only_its_own_ranges() {
    let service = service(8, 64, "move");
    let lost: UpstreamId = "u3".parse().unwrap();
    let first = target_owners(&service, &unassigned_ranges(64), &|_| true, 5);
    let after =
        target_owners(&service, &assigned_ranges(&first), &|upstream| upstream.id != lost, 5);
    for (index, id) in &first {
        assert!(*id == lost || after[index] == *id, "range {index} moved without need");
    }
    assert!(!after.values().any(|id| *id == lost));
}

#[test]
fn a_new_upstream_takes_no_more_than_its_share() {
    let (before, after) = (service(8, 72, "move"), service(9, 72, "move"));
    let first = target_owners(&before, &unassigned_ranges(72), &|_| true, 0);
    let second = target_owners(&after, &assigned_ranges(&first), &|_| true, 0);
    let moved = first.iter().filter(|(index, id)| second[*index] != **id).count();
    assert_eq!(moved, 8);
}

#[rstest]
#[case("move", 3)]
#[case("hold", 1)]
fn members_are_spread_over_zones_as_on_cut_says(#[case] on_cut: &str, #[case] zones: usize) {
    let service = service(8, 64, on_cut);
    let live_hosts = live_hosts(12);
    let holders = Holders::new(&service, &live_hosts);
    for upstream in &service.upstreams {
        let chosen = members(&service, upstream, &live_hosts, &holders);
        let zone_of = |m: &Member| live_hosts.iter().find(|s| s.member == *m).unwrap().zone.clone();
        let mut member_zones: Vec<_> = chosen.iter().map(zone_of).collect();
        assert_eq!(member_zones[0], upstream.zone);
        member_zones.sort();
        member_zones.dedup();
        assert_eq!(chosen.len(), 3);
        assert_eq!(member_zones.len(), zones);
    }
    assert_eq!(service.on_cut, on_cut.parse::<OnCut>().unwrap());
}

#[test]
fn upstreams_are_spread_evenly_over_holders() {
    let service = service(16, 64, "move");
    let live_hosts = live_hosts(12);
    let holders = Holders::new(&service, &live_hosts);
    let mut counts = BTreeMap::new();
    for upstream in &service.upstreams {
        let chosen = members(&service, upstream, &live_hosts, &holders);
        *counts.entry(chosen[0].clone()).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 12);
    assert!(counts.values().all(|count| *count <= 2), "{counts:?}");
}
