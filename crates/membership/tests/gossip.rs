//! Many hosts in virtual time, under packet loss, partitions, suspension, restarts and a wrong host list.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod network;

use network::{Network, host_id};
use rstest::rstest;
use skylarkdock_membership::{HostState, Output};

const CONVERGENCE_LIMIT_MS: u64 = 15_000;

fn converged_network(hosts: usize, seed: u64) -> Network {
    let mut net = Network::new(hosts, seed);
    let took = net.run_until(CONVERGENCE_LIMIT_MS, Network::all_views_match);
    assert!(
        took.is_some(),
        "the views of {hosts} hosts do not match after {CONVERGENCE_LIMIT_MS} ms"
    );
    net
}

#[rstest]
#[case(10)]
#[case(100)]
#[case(480)]
fn hosts_converge_and_learn_that_one_leaves(#[case] hosts: usize) {
    let mut net = Network::new(hosts, 1);
    net.loss = 0.02;
    let joined =
        net.run_until(CONVERGENCE_LIMIT_MS, Network::all_views_match).expect("all views match");
    net.run(10_000);
    net.reset_traffic();
    net.run(5_000);
    let traffic = net.traffic(5.0);
    let (everywhere, regions) = (traffic.bytes, traffic.cross_region_bytes);
    println!(
        "hosts {hosts:>3}: join {joined:>5} ms, per host {:.1} messages/s (largest {:.1}), {everywhere:.0} bytes/s, {regions:.0} bytes/s between regions",
        traffic.messages, traffic.max_messages
    );
    net.reset_traffic();
    net.leave(3);
    let heard = net
        .run_until(3_000, |net| net.all_see(3, HostState::Leaving))
        .expect("all hosts learn that one leaves");
    println!("hosts {hosts:>3}: all hosts know of the leave after {heard} ms");
    assert!(
        traffic.messages < 50.0 && traffic.max_messages < 60.0,
        "messages per host must not grow with the number of hosts"
    );
    assert!(everywhere < 1_500.0);
}

#[test]
fn packet_loss_alone_marks_no_host_gone() {
    let mut net = converged_network(40, 2);
    net.loss = 0.1;
    net.run(60_000);
    assert_eq!(net.count(HostState::Gone), 0);
    net.loss = 0.0;
    net.run_until(CONVERGENCE_LIMIT_MS, Network::all_views_match).expect("all views match");
}

#[test]
fn both_sides_of_a_partition_stay_up_and_merge_when_it_heals() {
    let mut net = converged_network(60, 3);
    net.blocked = Box::new(|from, to| (from < 30) != (to < 30));
    let apart = net.run_until(40_000, |net| net.count(HostState::Gone) == 60 * 30);
    assert!(apart.is_some(), "{}", net.count(HostState::Gone));
    net.blocked = Box::new(|_, _| false);
    let gone_on_own_side = |net: &Network| {
        let seen = (0..60).flat_map(|observer| (0..60).map(move |subject| (observer, subject)));
        seen.filter(|(observer, subject)| (*observer < 30) == (*subject < 30))
            .filter(|(observer, subject)| net.state(*observer, *subject) == Some(HostState::Gone))
            .count()
    };
    let healed = net.run_until(20_000, |net| {
        assert_eq!(gone_on_own_side(net), 0);
        net.all_views_match()
    });
    println!(
        "partition of 30 and 30 hosts: complete after {apart:?} ms, healed after {healed:?} ms"
    );
    assert!(healed.is_some());
}

#[test]
fn a_one_way_partition_is_reported_and_marks_no_host_gone() {
    let mut net = converged_network(12, 4);
    net.blocked = Box::new(|from, to| from == 2 && (to == 3 || to == 4));
    net.run(20_000);
    assert_eq!(net.count(HostState::Gone), 0);
    assert_eq!(net.count(HostState::Suspect), 0);
    let reports = net.outputs.iter().filter(|(observer, output)| {
        (*observer == 3 || *observer == 4) && *output == Output::PartialPartition(host_id(2))
    });
    assert!(reports.count() > 0);
}

#[test]
fn a_suspended_host_is_marked_gone_and_suspects_no_other_when_it_resumes() {
    let mut net = converged_network(20, 5);
    net.pause(7, 20_000);
    net.run(2_500);
    let suspected = (0..20)
        .filter(|observer| *observer != 7 && net.state(*observer, 7) == Some(HostState::Suspect));
    assert_eq!(suspected.count(), 19);
    net.run(7_500);
    assert!(
        (0..20).all(|observer| observer == 7 || net.state(observer, 7) == Some(HostState::Gone))
    );
    net.run(10_000);
    let back = net.run_until(5_000, |net| {
        assert!((0..20).all(|subject| net.state(7, subject) == Some(HostState::Live)));
        net.all_views_match()
    });
    assert!(back.is_some());
}

#[test]
fn a_stopped_host_is_marked_gone_and_replaced_by_its_next_incarnation() {
    let mut net = converged_network(20, 6);
    net.stop(7);
    let gone = net.run_until(10_000, |net| {
        (0..20).all(|observer| observer == 7 || net.state(observer, 7) == Some(HostState::Gone))
    });
    assert!(gone.is_some());
    net.restart(7, 2);
    assert!(net.run_until(5_000, Network::all_views_match).is_some());
    net.restart(9, 2);
    assert!(net.run_until(5_000, Network::all_views_match).is_some());
}

#[test]
fn a_leaving_host_stays_leaving_until_it_is_gone_and_forgotten() {
    let mut net = converged_network(20, 7);
    net.leave(7);
    net.run(10_000);
    assert!(net.all_see(7, HostState::Leaving));
    net.stop(7);
    net.run(6_000);
    assert!(
        (0..20).all(|observer| observer == 7 || net.state(observer, 7) == Some(HostState::Gone))
    );
    net.set_host_list((0..20).filter(|host| *host != 7));
    net.run(70_000);
    assert!((0..20).all(|observer| observer == 7 || net.state(observer, 7).is_none()));
}

#[test]
fn a_wrong_host_list_adds_and_removes_no_host() {
    let mut net = converged_network(20, 8);
    net.set_host_list((0..5).chain(900..920));
    net.run(20_000);
    assert!(net.all_views_match());
    net.list_wrong_address(3);
    net.run(20_000);
    assert!(net.all_views_match());
    assert_eq!(net.count(HostState::Gone) + net.count(HostState::Suspect), 0);
}
