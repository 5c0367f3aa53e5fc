//! Limits on what a host accepts from one message, and handling of a host's incarnations and host list.

#![allow(clippy::unwrap_used)]

use skylarkdock_membership::messages::Body;
use skylarkdock_membership::{
    Config, Gossip, HostEntry, HostListEntry, HostState, Input, Membership, Output,
};
use skylarkdock_units::ids::{Incarnation, Member};
use skylarkdock_units::times::HostTime;

const INCARNATION: Incarnation = Incarnation(5);

fn entry(host: &str, incarnation: Incarnation) -> HostEntry {
    HostEntry {
        member: Member { host: host.parse().unwrap(), incarnation },
        version: 0,
        state: HostState::Live,
        zone: "norte-a".parse().unwrap(),
        region: "bajio-norte".parse().unwrap(),
        peer: "10.0.0.1:7000".parse().unwrap(),
        http: "10.0.0.1:8000".parse().unwrap(),
    }
}

fn gossip(incarnation: Incarnation, changes: Vec<HostEntry>, body: Body) -> Input {
    let sender = Some(entry("host-2", incarnation));
    let msg = Box::new(Gossip { incarnation, digest: 0, sender, changes, body });
    Input::Received { from: "host-2".parse().unwrap(), msg }
}

fn membership() -> Membership {
    Membership::new(entry("host-1", INCARNATION), Config::default())
}

fn many_entries(count: usize) -> Vec<HostEntry> {
    (0..count).map(|index| entry(&format!("other-{index}"), INCARNATION)).collect()
}

fn bodies(outputs: &[Output]) -> Vec<&Body> {
    let sent = outputs.iter().filter_map(|output| match output {
        Output::Send { msg, .. } => Some(&msg.body),
        _ => None,
    });
    sent.collect()
}

#[test]
fn one_message_adds_a_limited_number_of_hosts() {
    let mut membership = membership();
    membership.step(HostTime(1), 1, gossip(INCARNATION, many_entries(100), Body::Ping));
    assert_eq!(membership.view().len(), 2 + 13);
}

#[test]
fn a_chunk_that_was_not_pulled_is_dropped() {
    let mut membership = membership();
    let contains_pull =
        |outputs: &[Output]| bodies(outputs).iter().any(|b| matches!(b, Body::Pull { .. }));
    let first = membership.step(HostTime(1), 1, gossip(INCARNATION, Vec::new(), Body::Ping));
    assert!(contains_pull(&first));
    let again = membership.step(HostTime(2), 1, gossip(INCARNATION, Vec::new(), Body::Ping));
    assert!(!contains_pull(&again), "pulls are rate limited");
    let chunk = || Body::Chunk { entries: many_entries(100), next: None };
    membership.step(HostTime(3), 1, gossip(INCARNATION, Vec::new(), chunk()));
    assert_eq!(membership.view().len(), 2 + 40);
    let unrequested = Body::Chunk { entries: vec![entry("late", INCARNATION)], next: None };
    membership.step(HostTime(4), 1, gossip(INCARNATION, Vec::new(), unrequested));
    assert_eq!(membership.view().len(), 2 + 40);
}

#[test]
fn a_malformed_pull_is_not_answered_and_chunks_are_rate_limited() {
    let mut membership = membership();
    let pull = |len: usize| Body::Pull { bucket_digests: vec![0; len], after: None };
    let outputs = membership.step(HostTime(1), 1, gossip(INCARNATION, Vec::new(), pull(31)));
    assert!(!bodies(&outputs).iter().any(|body| matches!(body, Body::Chunk { .. })));
    let mut chunks = 0;
    for now in 2..30 {
        let outputs = membership.step(HostTime(now), 1, gossip(INCARNATION, Vec::new(), pull(32)));
        chunks += bodies(&outputs).iter().filter(|b| matches!(b, Body::Chunk { .. })).count();
    }
    assert_eq!(chunks, 8);
}

#[test]
fn only_the_latest_incarnation_of_a_host_counts() {
    let mut membership = membership();
    let later = Incarnation(6);
    membership.step(HostTime(1), 1, gossip(later, Vec::new(), Body::Ping));
    let outputs = membership.step(HostTime(2), 1, gossip(INCARNATION, many_entries(1), Body::Ping));
    assert!(outputs.is_empty() && membership.view().len() == 2);
    let me = vec![entry("host-1", later)];
    let outputs = membership.step(HostTime(3), 1, gossip(later, me, Body::Ack));
    assert!(outputs.contains(&Output::Superseded(later)));
    assert_eq!(membership.get(&"host-1".parse().unwrap()).unwrap().member.incarnation, INCARNATION);
}

#[test]
fn a_host_refutes_that_it_is_gone() {
    let mut membership = membership();
    let reported_gone = HostEntry { state: HostState::Gone, ..entry("host-1", INCARNATION) };
    let outputs =
        membership.step(HostTime(1), 1, gossip(INCARNATION, vec![reported_gone], Body::Ping));
    let ack = outputs.iter().find_map(|output| match output {
        Output::Send { msg, .. } if msg.body == Body::Ack => msg.sender.clone(),
        _ => None,
    });
    let ack = ack.unwrap();
    assert_eq!((ack.state, ack.version), (HostState::Live, 1));
}

#[test]
fn a_host_list_changes_only_the_addresses_in_views() {
    let mut membership = membership();
    membership.step(HostTime(1), 1, gossip(INCARNATION, Vec::new(), Body::Ping));
    let listed = |host: &str, peer: &str| HostListEntry {
        host: host.parse().unwrap(),
        peer: peer.parse().unwrap(),
        http: "10.0.0.1:8000".parse().unwrap(),
    };
    let list = |peer| vec![listed("host-1", "10.9.9.9:1"), listed("host-2", peer)];
    let same = membership.step(HostTime(2), 1, Input::HostList(list("10.0.0.1:7000")));
    assert_eq!(same, []);
    let moved = membership.step(HostTime(3), 1, Input::HostList(list("10.0.0.2:7000")));
    let view = membership.get(&"host-2".parse().unwrap()).unwrap();
    assert_eq!(view.peer, "10.0.0.2:7000".parse().unwrap());
    assert_eq!(moved, [Output::HostChanged(view)]);
}

#[test]
fn each_round_updates_when_a_host_was_last_heard_by_itself() {
    let mut membership = membership();
    membership.step(HostTime(5000), 1, Input::Tick);
    let heard = membership.get(&"host-1".parse().unwrap()).unwrap().last_heard;
    assert_eq!(heard, HostTime(5000));
}
