//! Load reports of other hosts: replacement, expiry and totals over relays.

use rstest::rstest;
use skylarkdock_dispatch::peer_load::{self, PeerLoad};
use skylarkdock_units::times::{HostTime, Millis};

#[test]
fn a_report_replaces_the_previous_one_of_its_source() {
    let mut peer_load = PeerLoad::default();
    peer_load.apply_report("h1", vec![(1, 4), (2, 1)], HostTime(1_000));
    peer_load.apply_report("h2", vec![(1, 3)], HostTime(1_000));
    assert_eq!((peer_load.total(1), peer_load.total(2)), (7, 1));
    let affected = peer_load.apply_report("h1", vec![(3, 2)], HostTime(1_100));
    assert_eq!(affected.len(), 3);
    assert_eq!((peer_load.total(1), peer_load.total(2), peer_load.total(3)), (3, 0, 2));
}

#[test]
fn reports_of_a_silent_host_expire() {
    let mut peer_load = PeerLoad::default();
    peer_load.apply_report("h1", vec![(1, 4)], HostTime(1_000));
    peer_load.apply_report("h2", vec![(1, 3)], HostTime(2_000));
    assert!(peer_load.expire_reports(HostTime(2_100)).is_empty());
    assert!(peer_load.expire_reports(HostTime(2_300)).contains(&1));
    assert_eq!(peer_load.total(1), 3);
}

/// Many hosts with a few requests each, in several availability zones. The totals that a relay computes from the
/// reports of its members and of the other relays must equal the totals over all hosts.
#[rstest]
#[case(3, 4, 1)]
#[case(4, 20, 7)]
#[case(6, 50, 3)]
fn relayed_totals_equal_totals_over_all_hosts(
    #[case] zones: u32,
    #[case] members: u32,
    #[case] seed: u64,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let now = HostTime(1_000);
    let own: Vec<Vec<Vec<(u32, u32)>>> = (0..zones)
        .map(|_| {
            let load = |_| (0..5).map(|_| (rng.u32(..40), rng.u32(1..4))).collect();
            (0..members).map(load).collect()
        })
        .collect();
    let mut relays: Vec<PeerLoad<(u32, u32)>> = vec![PeerLoad::default(); zones as usize];
    for (zone, relay) in relays.iter_mut().enumerate() {
        for (member, load) in (0..).zip(&own[zone]) {
            relay.apply_report((0, member), load.clone(), now);
        }
    }
    let totals: Vec<Vec<(u32, u32)>> =
        relays.iter().map(|relay| relay.totals_where(|_| true).into_iter().collect()).collect();
    for (zone, relay) in relays.iter_mut().enumerate() {
        for (other, total) in (0..).zip(&totals).filter(|(other, _)| *other as usize != zone) {
            relay.apply_report((1, other), total.clone(), now + Millis(50));
        }
        let total = |id: u32| -> u32 {
            let loads = own.iter().flatten().flatten();
            loads.filter(|(named, _)| *named == id).map(|(_, count)| count).sum()
        };
        for id in 0..40 {
            assert_eq!(relay.total(id), total(id), "upstream {id} at relay {zone}");
        }
    }
}

/// A host with requests at a few of many upstreams: some of its parts are empty. What its relay tells it of the others
/// must not contain its own requests, or the host would count them twice.
#[test]
fn a_report_in_parts_is_subtracted_whole() {
    let mut relay: PeerLoad<(&str, u8)> = PeerLoad::default();
    let now = HostTime(1_000);
    relay.apply_report(("member", 0), vec![(9, 1)], now);
    relay.apply_report(("member", 1), Vec::new(), now);
    relay.apply_report(("member", 3), vec![(3, 2), (12, 4)], now);
    relay.apply_report(("other", 0), vec![(9, 5), (12, 1)], now);
    let totals = peer_load::sorted(&relay.totals_where(|_| true));
    let rest = relay.subtract_reports(&totals, (0..=3).map(|part| ("member", part)));
    assert_eq!(rest, [(9, 5), (12, 1)]);
}

/// Reports come over the network, and a sum that overflowed ended builds with checks.
#[test]
fn counts_of_any_size_are_added() {
    let mut load: PeerLoad<u32> = PeerLoad::default();
    load.apply_report(1, vec![(7, u32::MAX)], HostTime(10));
    load.apply_report(2, vec![(7, 3)], HostTime(10));
    assert_eq!(load.total(7), u32::MAX);
    assert_eq!(load.totals_where(|_| true).get(&7), Some(&u32::MAX));
    load.apply_report(1, vec![(7, 1)], HostTime(20));
    load.apply_report(2, vec![(7, 3)], HostTime(20));
    assert_eq!(load.total(7), 4, "the sum stays wrong");
}
