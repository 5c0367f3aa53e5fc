//! Selection of the relay host, and the limit of idle connections per host.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_edge::pool;
use skylarkdock_edge::relays::{self, Rank};
use skylarkdock_units::ids::HostId;
use skylarkdock_units::measures::HostSize;

fn ranks(sizes: &[u32]) -> Vec<(HostId, Rank)> {
    let host = |(index, size): (usize, &u32)| {
        let host: HostId = format!("h{index}").parse().unwrap();
        let rank = Rank::of(&host, HostSize(*size));
        (host, rank)
    };
    sizes.iter().enumerate().map(host).collect()
}

#[test]
fn largest_host_is_the_relay_and_has_none_itself() {
    let hosts = ranks(&[100, 500, 100, 100]);
    for (host, rank) in &hosts {
        let others = hosts.iter().filter(|(other, _)| other != host);
        let relay = relays::select_relay(Some(*rank), others, |(_, rank)| *rank);
        assert_eq!(relay.map(|(host, _)| host.as_str()), (host.as_str() != "h1").then_some("h1"));
    }
}

/// Hosts with different views of the membership never form a cycle of relays.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn relays_form_no_cycle_whatever_hosts_are_known(#[case] seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    for _ in 0..200 {
        let sizes: Vec<u32> = (0..8).map(|_| rng.choice([100, 100, 500]).unwrap()).collect();
        let hosts = ranks(&sizes);
        let relays_of: Vec<Option<usize>> = (0..hosts.len())
            .map(|own| {
                let known: Vec<usize> =
                    (0..hosts.len()).filter(|other| *other != own && rng.bool()).collect();
                let rank = |index: &usize| hosts[*index].1;
                relays::select_relay(Some(hosts[own].1), known.iter(), rank).copied()
            })
            .collect();
        for start in 0..hosts.len() {
            let mut current = start;
            for _ in 0..hosts.len() {
                let Some(relay) = relays_of[current] else { break };
                assert!(hosts[relay].1 > hosts[current].1);
                current = relay;
            }
            assert!(relays_of[current].is_none());
        }
    }
}

/// The idle connections of many hosts together stay below an upstream's connection limit.
#[rstest]
#[case(50, 6, 5)]
#[case(110, 79, 1)]
#[case(530, 79, 4)]
#[case(530, 6, 12)]
fn idle_connections_are_divided_among_hosts(
    #[case] limit: u32,
    #[case] hosts: u32,
    #[case] max_idle: usize,
) {
    assert_eq!(pool::max_idle(limit, hosts), max_idle);
}
