//! Single rules of witnesses, of the holder's sessions and of the timing.

#![allow(clippy::unwrap_used, clippy::panic)]

use skylarkdock_fold::State;
use skylarkdock_fold::state::{Assignment, ServiceState};
use skylarkdock_ownership::message::{
    Heartbeat, HeartbeatAck, Message, RangeAnswer, RangeEpoch, Refusal, Seal, SealAnswer,
    SealRange, SealVerdict,
};
use skylarkdock_ownership::{Input, Node, Output, Timing};
use skylarkdock_units::ids::{Epoch, Incarnation, Member, Offset, RangeId};
use skylarkdock_units::times::HostTime;
use std::collections::BTreeMap;

fn member(host: &str, incarnation: u64) -> Member {
    Member { host: host.parse().unwrap(), incarnation: Incarnation(incarnation) }
}

fn range() -> RangeId {
    "orders/0".parse().unwrap()
}

/// Returns a state in which the range has a lease at offset 5 with hosts 1, 2 and 3 as members.
fn state() -> State {
    let members = (1..=3).map(|index| member(&format!("host-{index}"), 1)).collect();
    let assignment = Assignment {
        offset: Offset(5),
        lease: Offset(5),
        members,
        previous: Vec::new(),
        upstream: "u1".parse().unwrap(),
        hot: Vec::new(),
    };
    let service = ServiceState {
        revision: Offset(1),
        by: "test".to_owned(),
        records: BTreeMap::new(),
        ranges: [(range().index, assignment)].into(),
    };
    let services = [(range().service, service)].into();
    State { applied: Offset(9), services, ..State::default() }
}

fn node(host: &str) -> Node {
    Node::new(member(host, 1), Timing::default(), HostTime(1000))
}

fn step_with_message(node: &mut Node, at: u64, from: &str, message: Message) -> Vec<Message> {
    let input = Input::Received { from: member(from, 1), message };
    sent_messages(node.step(HostTime(at), input))
}

fn sent_messages(outputs: Vec<Output>) -> Vec<Message> {
    let message = |output| match output {
        Output::Send { message, .. } => Some(message),
        _ => None,
    };
    outputs.into_iter().filter_map(message).collect()
}

fn heartbeat_to(messages: &[Message], to: &str) -> Heartbeat {
    let mut heartbeats = messages.iter().filter_map(|message| match message {
        Message::Heartbeat(heartbeat) => Some(heartbeat),
        _ => None,
    });
    heartbeats.rfind(|found| found.to.host.as_str() == to).unwrap().clone()
}

#[test]
fn only_the_addressed_incarnation_answers_a_heartbeat() {
    for (incarnation, answers) in [(1, 1), (0, 0)] {
        let (to, newest) = (member("host-1", incarnation), Offset(0));
        let (seq, acked, session, confirmed, draining) = (1, 0, 0, 0, Vec::new());
        let heartbeat = Heartbeat { to, seq, acked, session, confirmed, newest, draining };
        let message = Message::Heartbeat(heartbeat);
        let messages = step_with_message(&mut node("host-1"), 1001, "host-2", message);
        assert_eq!(messages.len(), answers);
    }
}

#[test]
fn a_witness_refuses_a_lease_that_is_not_in_force() {
    for (offset, expected) in [(4, Some(Refusal::Superseded)), (5, None)] {
        let mut witness = node("host-2");
        witness.step(HostTime(1001), Input::Applied(&state()));
        let epoch = Epoch { offset: Offset(offset), place: 0 };
        let (claim, probe, newest, released) = (1, false, Offset(5), Vec::new());
        let ranges = vec![SealRange { range: range(), epoch, claim, probe, newest, released }];
        let seal = Message::Seal(Seal { to: member("host-2", 1), ranges });
        let messages = step_with_message(&mut witness, 1002, "host-1", seal);
        let [Message::SealAnswer(answer)] = &messages[..] else { panic!("{messages:?}") };
        let refusal = match answer.answers[0].verdict {
            SealVerdict::Refused(refusal) => Some(refusal),
            _ => None,
        };
        assert_eq!(refusal, expected);
    }
}

#[test]
fn a_holder_counts_revocations_per_session() {
    let mut holder = node("host-1");
    let first = sent_messages(holder.step(HostTime(1001), Input::Applied(&state())));
    let mut seq = heartbeat_to(&first, "host-2").seq;
    for (session, latest, confirmed) in [(1, 1, 1), (2, 0, 0)] {
        let revoked = RangeEpoch { range: "orders/9".parse().unwrap(), epoch: Epoch::default() };
        let revoked = vec![revoked; usize::try_from(latest).unwrap()];
        let (applied, newest, first) = (Offset(9), Offset(5), 1);
        let ack = HeartbeatAck { seq, session, applied, newest, first, revoked, latest };
        let at = 1000 + 200 * session;
        step_with_message(&mut holder, at, "host-2", Message::HeartbeatAck(ack));
        let next = sent_messages(holder.step(HostTime(at + 100), Input::Tick));
        let next = heartbeat_to(&next, "host-2");
        assert_eq!((next.session, next.confirmed), (session, confirmed));
        seq = next.seq;
    }
}

/// Returns host 2's grant of the first range of the seal that a claimant sent to it.
fn grant(messages: &[Message]) -> Message {
    let seal = messages.iter().find_map(|message| match message {
        Message::Seal(seal) if seal.to.host.as_str() == "host-2" => Some(seal),
        _ => None,
    });
    let SealRange { range, epoch, claim, probe, newest, .. } = seal.unwrap().ranges[0].clone();
    let verdict = SealVerdict::Granted { outstanding: Vec::new() };
    let (ballot, established) = (epoch, false);
    let prior = Epoch::default();
    let answer =
        RangeAnswer { range, epoch, claim, probe, verdict, ballot, prior, newest, established };
    let (on_behalf, applied) = (member("host-2", 1), Offset(9));
    Message::SealAnswer(SealAnswer { on_behalf, session: 1, applied, answers: vec![answer] })
}

#[test]
fn a_promise_is_valid_once_all_earlier_revocations_are_received() {
    let mut holder = node("host-1");
    let first = sent_messages(holder.step(HostTime(1001), Input::Applied(&state())));
    step_with_message(&mut holder, 1002, "host-2", grant(&first));
    let seq = heartbeat_to(&first, "host-2").seq;
    let (session, applied, newest, first) = (1, Offset(9), Offset(5), 1);
    for (latest, held) in [(1, 0), (0, 1)] {
        let revoked = Vec::new();
        let ack = HeartbeatAck { seq, session, applied, newest, first, revoked, latest };
        step_with_message(&mut holder, 1003, "host-2", Message::HeartbeatAck(ack));
        assert_eq!(holder.holds().count(), held);
    }
}

/// Guards against a claimant that starts before the holder stops. The holder's clock is 1 % slow,
/// those of the witness and the claimant are 1 % fast, and each of the three readings is rounded
/// down by up to 1 ms.
#[test]
fn a_hold_ends_before_the_promise_with_the_largest_clock_errors() {
    let timing = Timing::default();
    let hold_end = (timing.usable_promise().0 + 1) as f64 / 0.99;
    let claim_start = (timing.promise_duration.0 - 2) as f64 / 1.01;
    assert!(hold_end <= claim_start, "{hold_end} > {claim_start}");
}
