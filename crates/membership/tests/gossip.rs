//! Many hosts in virtual time, under loss, cuts, suspension, restarts and a wrong host list.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod network;

use network::{Network, host_id};
use rstest::rstest;
use skylarkdock_membership::{HostState, Output};

const SETTLE_MS: u64 = 15_000;

fn settled(hosts: usize, seed: u64) -> Network {
    let mut net = Network::new(hosts, seed);
    let took = net.run_until(SETTLE_MS, Network::all_agree);
    assert!(took.is_some(), "{hosts} hosts do not agree after {SETTLE_MS} ms");
    net
}

#[rstest]
#[case(10)]
#[case(100)]
#[case(480)]
fn hosts_find_each_other_and_hear_of_a_leave(#[case] hosts: usize) {
    let mut net = Network::new(hosts, 1);
    net.loss = 0.02;
    let joined = net.run_until(SETTLE_MS, Network::all_agree).expect("all agree");
    net.run(10_000);
    net.reset_traffic();
    net.run(5_000);
    let traffic = net.traffic(5.0);
    let (everywhere, regions) = (traffic.bytes, traffic.region_bytes);
    println!(
        "hosts {hosts:>3}: join {joined:>5} ms, per host {:.1} messages/s (largest {:.1}), {everywhere:.0} bytes/s, {regions:.0} bytes/s between regions",
        traffic.messages, traffic.messages_max
    );
    net.reset_traffic();
    net.leave(3);
    let heard =
        net.run_until(3_000, |net| net.all_see(3, HostState::Leaving)).expect("leave is heard");
    println!("hosts {hosts:>3}: leave heard by all after {heard} ms");
    assert!(traffic.messages < 50.0 && traffic.messages_max < 60.0, "not all to all");
    assert!(everywhere < 1_500.0);
}

#[test]
fn loss_alone_makes_no_host_gone() {
    let mut net = settled(40, 2);
    net.loss = 0.1;
    net.run(60_000);
    assert_eq!(net.count(HostState::Gone), 0);
    net.loss = 0.0;
    net.run_until(SETTLE_MS, Network::all_agree).expect("all agree");
}

#[test]
fn both_sides_of_a_cut_go_on_and_meet_again() {
    let mut net = settled(60, 3);
    net.blocked = Box::new(|from, to| (from < 30) != (to < 30));
    let apart = net.run_until(40_000, |net| net.count(HostState::Gone) == 60 * 30);
    assert!(apart.is_some(), "{}", net.count(HostState::Gone));
    net.blocked = Box::new(|_, _| false);
    let gone_within_side = |net: &Network| {
        let seen = (0..60).flat_map(|at| (0..60).map(move |of| (at, of)));
        seen.filter(|(at, of)| (*at < 30) == (*of < 30))
            .filter(|(at, of)| net.state(*at, *of) == Some(HostState::Gone))
            .count()
    };
    let healed = net.run_until(20_000, |net| {
        assert_eq!(gone_within_side(net), 0);
        net.all_agree()
    });
    println!("cut of 30 and 30 hosts: apart after {apart:?} ms, healed after {healed:?} ms");
    assert!(healed.is_some());
}

#[test]
fn a_one_way_cut_is_noticed_and_takes_nobody_out() {
    let mut net = settled(12, 4);
    net.blocked = Box::new(|from, to| from == 2 && (to == 3 || to == 4));
    net.run(20_000);
    assert_eq!(net.count(HostState::Gone), 0);
    assert_eq!(net.count(HostState::Suspect), 0);
    let cuts = net.outputs.iter().filter(|(at, output)| {
        (*at == 3 || *at == 4) && *output == Output::PartialPartition(host_id(2))
    });
    assert!(cuts.count() > 0);
}

#[test]
fn a_suspended_host_is_gone_and_returns_without_blaming_others() {
    let mut net = settled(20, 5);
    net.pause(7, 20_000);
    net.run(2_500);
    let suspected = (0..20).filter(|at| *at != 7 && net.state(*at, 7) == Some(HostState::Suspect));
    assert_eq!(suspected.count(), 19);
    net.run(7_500);
    assert!((0..20).all(|at| at == 7 || net.state(at, 7) == Some(HostState::Gone)));
    net.run(10_000);
    let back = net.run_until(5_000, |net| {
        assert!((0..20).all(|of| net.state(7, of) == Some(HostState::Live)));
        net.all_agree()
    });
    assert!(back.is_some());
}

#[test]
fn a_lost_host_is_gone_and_its_next_run_replaces_it() {
    let mut net = settled(20, 6);
    net.stop(7);
    let gone = net.run_until(10_000, |net| {
        (0..20).all(|at| at == 7 || net.state(at, 7) == Some(HostState::Gone))
    });
    assert!(gone.is_some());
    net.restart(7, 2);
    assert!(net.run_until(5_000, Network::all_agree).is_some());
    net.restart(9, 2);
    assert!(net.run_until(5_000, Network::all_agree).is_some());
}

#[test]
fn leaving_holds_until_the_host_is_gone_and_forgotten() {
    let mut net = settled(20, 7);
    net.leave(7);
    net.run(10_000);
    assert!(net.all_see(7, HostState::Leaving));
    net.stop(7);
    net.run(6_000);
    assert!((0..20).all(|at| at == 7 || net.state(at, 7) == Some(HostState::Gone)));
    net.list((0..20).filter(|host| *host != 7));
    net.run(70_000);
    assert!((0..20).all(|at| at == 7 || net.state(at, 7).is_none()));
}

#[test]
fn a_wrong_host_list_neither_adds_nor_removes() {
    let mut net = settled(20, 8);
    net.list((0..5).chain(900..920));
    net.run(20_000);
    assert!(net.all_agree());
    net.misdirect(3);
    net.run(20_000);
    assert!(net.all_agree());
    assert_eq!(net.count(HostState::Gone) + net.count(HostState::Suspect), 0);
}
