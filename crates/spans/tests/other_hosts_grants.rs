//! Grants that a leader must wait for although its table and its keepers' lists hardly tell of them.

#![allow(clippy::unwrap_used)]

use skylarkdock_spans::end::NotEnded;
use skylarkdock_spans::leader::{Action, Inputs, Leader};
use skylarkdock_spans::plan::Candidate;
use skylarkdock_spans::renewal::{Ack, CallEnd, Connection, Grant, LastSent, Purpose, Renewals};
use skylarkdock_spans::restored::MIN_FIRST_TABLE_UPTIME;
use skylarkdock_spans::table::{FencingToken, FormerGrant, Holder, Keeper, Span, Table};
use skylarkdock_spans::timing::Timing;
use skylarkdock_units::measures::HostSize;
use skylarkdock_units::times::{HostTime, Millis};

const TIMING: Timing =
    Timing { hold: Millis(3_000), call_timeout: Millis(400), proof_lifetime: Millis(14_000) };
const START: HostTime = HostTime(100_000);
const TICK: Millis = Millis(50);
/// Age from which proof no longer suffices for a new connection.
const OLD_PROOF: Millis = Millis(1_500);

fn holder(name: &str, born: u64) -> Holder {
    let port = if name == "a" { 9_000 } else { 9_001 };
    Holder {
        id: name.parse().unwrap(),
        born,
        addr: ([127, 0, 0, 1], port).into(),
        region: "r".parse().unwrap(),
    }
}

fn keeper(host: &str, zone: &str) -> Keeper {
    Keeper {
        host: host.parse().unwrap(),
        zone: zone.parse().unwrap(),
        region: "r".parse().unwrap(),
        size: HostSize(200),
    }
}

fn inputs(owner: &Holder, hosts: &[Keeper]) -> Inputs {
    let candidate = Candidate { holder: owner.clone(), capacity: 20.0 };
    Inputs {
        candidates: vec![candidate],
        hosts: hosts.to_vec(),
        uptime: MIN_FIRST_TABLE_UPTIME,
        ..Inputs::default()
    }
}

/// Returns a table of one span.
fn table(version: u64, owner: &Holder, fence: u64, former: Option<(&Holder, u64)>) -> Table {
    let former = former
        .map(|(former, fence)| FormerGrant { holder: former.clone(), fence: FencingToken(fence) });
    Table {
        service: "s".parse().unwrap(),
        version,
        leader: "h".parse().unwrap(),
        keepers: vec![keeper("h", "z"), keeper("k", "y")],
        retired: Vec::new(),
        copy: None,
        next_fence: FencingToken(fence + 1),
        spans: vec![Span {
            first: 0,
            last: u16::MAX,
            owner: owner.clone(),
            fence: FencingToken(fence),
            is_granted: former.is_none(),
            former: former.into_iter().collect(),
        }],
    }
}

fn ack(host: &str, version: u64, sent: Vec<LastSent>) -> Ack {
    let running = Millis(90_000);
    Ack { host: host.parse().unwrap(), version, running, sent, unreachable: Vec::new() }
}

/// A keeper's late renewal for the earlier incarnation is taken by the later one, which then holds the keys although
/// nobody granted them to it.
#[test]
fn a_renewal_for_an_earlier_incarnation_is_waited_for_at_the_later_one() {
    let (earlier, later, next) = (holder("a", 1), holder("a", 2), holder("b", 1));
    let table = table(3, &next, 3, Some((&later, 2)));
    let inputs = inputs(&next, &table.keepers);
    let mut leader = Leader::new("h".parse().unwrap(), "s".parse().unwrap(), TIMING, Some(table));
    let mut granted_at = None;
    for tick in 0..200 {
        let now = START + Millis(TICK.0 * tick);
        for action in leader.tick(&inputs, now) {
            match action {
                Action::Release(release) => {
                    leader.on_released(&release, Err(NotEnded::Unknown), now)
                }
                Action::Grant(_) => granted_at = granted_at.or(Some(now)),
                Action::RequestAck(host) if host.as_str() == "k" => {
                    let renewed = LastSent {
                        holder: earlier.clone(),
                        first: 0,
                        last: u16::MAX,
                        fence: FencingToken(1),
                        age: now.since(START),
                    };
                    leader.on_ack(ack("k", 3, vec![renewed]), now);
                }
                Action::RequestAck(host) => leader.on_ack(ack(host.as_str(), 3, Vec::new()), now),
                Action::Write(_) => {}
            }
        }
    }
    let waited = granted_at.unwrap().since(START);
    assert!(waited >= TIMING.grant_expiry(), "{waited}");
}

/// While the write that replaces a keeper is not recorded, the keeper gets proof of the former table and renews.
#[test]
fn a_replaced_keeper_is_remembered_from_the_recorded_replacement_on() {
    let owner = holder("a", 1);
    let recorded = table(3, &owner, 3, None);
    let own = [keeper("h", "z")];
    let inputs = inputs(&owner, &own);
    let mut leader =
        Leader::new("h".parse().unwrap(), "s".parse().unwrap(), TIMING, Some(recorded));
    let mut writes = 0;
    for tick in 0..1_000 {
        let now = START + Millis(TICK.0 * tick);
        for action in leader.tick(&inputs, now) {
            let Action::Write(table) = action else { continue };
            writes += 1;
            assert_eq!(table.keepers, own);
            assert_eq!(table.retired, ["k".parse().unwrap()], "after {}", now.since(START));
            leader.on_written(table, false, now);
        }
    }
    // One write every 1.6 s, after the first ones.
    assert!(writes > 20, "{writes}");
}

/// The leader may count all grants to the former owner as expired, as the keeper's earlier process acknowledged the newer
/// table. A host that lags behind still sends the new process the older one, with proof from before.
#[test]
fn a_restarted_keeper_renews_nothing_by_proof_from_before_its_start() {
    let mut renewals = Renewals::new("k".parse().unwrap(), "r".parse().unwrap(), TIMING, START);
    renewals.adopt(table(3, &holder("a", 1), 3, None));
    let now = START + Millis(500);
    renewals.prove(HostTime(START.0 - 1_000));
    assert_eq!(renewals.due_renewals(now), []);
    renewals.prove(START + Millis(100));
    assert_eq!(renewals.due_renewals(now).len(), 1);
}

/// The store takes a write if the host knows all records. A planned table that replaced another leader's of the same
/// version would take away owners whose grants are sent by then.
#[test]
fn a_table_that_was_planned_before_another_leader_recorded_one_is_not_written() {
    let mut renewals = Renewals::new("h".parse().unwrap(), "r".parse().unwrap(), TIMING, START);
    let owner = holder("a", 1);
    assert!(renewals.confirm_write(&table(1, &owner, 1, None)));
    renewals.adopt(table(3, &owner, 3, None));
    let planned = table(4, &owner, 4, None);
    assert!(renewals.confirm_write(&planned));
    renewals.adopt(Table { leader: "k".parse().unwrap(), ..planned.clone() });
    assert!(!renewals.confirm_write(&planned));
}

/// While the host was stopped, the holder may have released the keys and started anew, so that it takes a renewal with the
/// former token.
#[test]
fn a_host_that_was_stopped_renews_nothing_by_proof_from_before() {
    let started = HostTime(START.0 - 1_000);
    let mut renewals = Renewals::new("k".parse().unwrap(), "r".parse().unwrap(), TIMING, started);
    renewals.adopt(table(3, &holder("a", 1), 3, None));
    renewals.prove(START);
    let due = renewals.due_renewals(START);
    assert_eq!(due.len(), 1);
    let now = START + TIMING.hold + Millis(1_000);
    assert!(!renewals.confirm_send(&due[0], Purpose::Renewal, Connection::Open, now));
    assert_eq!(renewals.due_renewals(now), []);
    renewals.prove(now);
    assert_eq!(renewals.due_renewals(now + TICK).len(), 1);
}

/// Since the proof, the keys may have got another owner, and the holder may have released them and started anew. A new
/// connection would reach the next incarnation, which knows of no larger token.
#[test]
fn a_grant_by_old_proof_goes_over_no_new_connection() {
    let started = HostTime(START.0 - 1_000);
    let mut renewals = Renewals::new("h".parse().unwrap(), "r".parse().unwrap(), TIMING, started);
    let owner = holder("a", 1);
    renewals.adopt(table(3, &owner, 3, None));
    renewals.prove(START);
    let grant = renewals.due_renewals(START).remove(0);
    let mut may_renew = |conn, now| {
        assert!(renewals.has_proof(now));
        renewals.due_renewals(now);
        renewals.confirm_send(&grant, Purpose::Renewal, conn, now)
    };
    assert!(may_renew(Connection::New, START + OLD_PROOF - TICK), "by recent proof");
    assert!(!may_renew(Connection::New, START + OLD_PROOF + TICK));
    assert!(
        may_renew(Connection::Open, START + OLD_PROOF + TICK),
        "to the process that accepted it"
    );
    let answered_at = START + OLD_PROOF + OLD_PROOF;
    renewals.on_renewal_end(&grant, CallEnd::Done, answered_at);
    let soon = answered_at + Millis(1_000);
    assert!(renewals.confirm_send(&grant, Purpose::Renewal, Connection::New, soon));
}

/// A leader that can't read the store does not know that another one has moved the keys on.
#[test]
fn a_leader_grants_nothing_by_old_proof_over_a_new_connection() {
    let started = HostTime(START.0 - 1_000);
    let mut renewals = Renewals::new("h".parse().unwrap(), "r".parse().unwrap(), TIMING, started);
    let owner = holder("a", 1);
    renewals.adopt(table(3, &owner, 3, Some((&holder("b", 1), 2))));
    renewals.prove(START);
    let fence = FencingToken(3);
    let grant = Grant { first: 0, last: u16::MAX, holder: owner, fence, handover: None };
    let now = START + OLD_PROOF + TICK;
    assert!(!renewals.confirm_send(&grant, Purpose::Move, Connection::New, now));
    assert!(renewals.confirm_send(&grant, Purpose::Move, Connection::Open, now));
    renewals.prove(now);
    assert!(renewals.confirm_send(&grant, Purpose::Move, Connection::New, now));
}

/// The registry showed an entry that was written before the connection broke; keys that had moved on were renewed at the
/// next incarnation.
#[test]
fn a_holder_that_the_registry_confirms_has_not_answered() {
    let started = HostTime(START.0 - 1_000);
    let mut renewals = Renewals::new("h".parse().unwrap(), "r".parse().unwrap(), TIMING, started);
    let owner = holder("a", 1);
    renewals.adopt(table(3, &owner, 3, None));
    renewals.prove(START);
    let grant = renewals.due_renewals(START).remove(0);
    renewals.on_renewal_end(&grant, CallEnd::Done, START);
    let mut now = START;
    while now < START + Millis(5_000) {
        now = now + TICK;
        renewals.due_renewals(now);
    }
    renewals.suspend(&owner, now);
    renewals.resume(&owner, now);
    assert!(renewals.has_proof(now));
    assert!(!renewals.has_recent_answer(&owner, now));
    assert!(!renewals.may_connect(&owner, now));
    assert!(!renewals.confirm_send(&grant, Purpose::Renewal, Connection::New, now));
    // A refusal does not tell which incarnation gave it.
    renewals.on_renewal_end(&grant, CallEnd::Refused, now);
    assert!(!renewals.has_recent_answer(&owner, now));
    assert!(renewals.confirm_send(&grant, Purpose::Renewal, Connection::Open, now));
    renewals.on_renewal_end(&grant, CallEnd::Done, now);
    assert!(renewals.confirm_send(&grant, Purpose::Renewal, Connection::New, now));
}

/// A resumed holder has time for an answer: without the store, nothing would end a second suspension.
#[test]
fn a_resumed_holder_is_renewed_while_the_store_is_away_where_that_is_safe() {
    let started = HostTime(START.0 - 1_000);
    let mut renewals = Renewals::new("h".parse().unwrap(), "r".parse().unwrap(), TIMING, started);
    let owner = holder("a", 1);
    renewals.adopt(table(3, &owner, 3, None));
    renewals.prove(START);
    let grant = renewals.due_renewals(START).remove(0);
    renewals.suspend(&owner, START);
    let resumed_at = START + Millis(1_000);
    renewals.due_renewals(resumed_at);
    renewals.resume(&owner, resumed_at);
    assert!(
        renewals.confirm_send(&grant, Purpose::Renewal, Connection::New, resumed_at),
        "by recent proof"
    );
    let failed_at = resumed_at + Millis(400);
    renewals.on_renewal_end(&grant, CallEnd::Unknown, failed_at);
    assert_eq!(renewals.suspended_at(&owner), None);
    let repeated = renewals.due_renewals(failed_at + TICK);
    assert_eq!(repeated, std::slice::from_ref(&grant));
    let answered_at = failed_at + TICK + TICK;
    renewals.on_renewal_end(&grant, CallEnd::Done, answered_at);
    // The answers keep it renewed as long as there is proof at all.
    let mut now = answered_at;
    while now < START + TIMING.proof_lifetime {
        for due in renewals.due_renewals(now) {
            assert!(renewals.confirm_send(&due, Purpose::Renewal, Connection::New, now), "{now}");
            renewals.on_renewal_end(&due, CallEnd::Done, now);
        }
        now = now + TICK;
    }
    assert!(renewals.has_recent_answer(&owner, now));
    let failed_at = now + OLD_PROOF + TICK;
    renewals.on_renewal_end(&grant, CallEnd::Unknown, failed_at);
    assert!(renewals.suspended_at(&owner).is_some(), "after a silence");
}

/// An answer just before the connection broke let a grant go over a new one, to whatever listened by then.
#[test]
fn an_answer_from_before_a_connection_broke_does_not_count() {
    let started = HostTime(START.0 - 1_000);
    let mut renewals = Renewals::new("h".parse().unwrap(), "r".parse().unwrap(), TIMING, started);
    let owner = holder("a", 1);
    renewals.adopt(table(3, &owner, 3, None));
    renewals.prove(START);
    let grant = renewals.due_renewals(START).remove(0);
    let now = START + OLD_PROOF + TICK;
    renewals.on_renewal_end(&grant, CallEnd::Done, now);
    assert!(renewals.may_connect(&owner, now));
    renewals.suspend(&owner, now + TICK);
    renewals.resume(&owner, now + TICK);
    assert!(!renewals.may_connect(&owner, now + TICK));
    renewals.on_renewal_end(&grant, CallEnd::Done, now + TICK);
    renewals.on_renewal_end(&grant, CallEnd::Gone, now + TICK);
    renewals.resume(&owner, now + TICK);
    assert!(!renewals.may_connect(&owner, now + TICK), "another one answered");
}

/// A holder that has seen a larger token was sent the grant again by proof from before, also at its next incarnation.
#[test]
fn a_grant_that_was_refused_for_a_larger_token_waits_for_newer_proof() {
    let started = HostTime(START.0 - 1_000);
    let mut renewals = Renewals::new("h".parse().unwrap(), "r".parse().unwrap(), TIMING, started);
    let owner = holder("a", 1);
    let mut shared = table(3, &owner, 3, None);
    shared.spans = vec![
        Span { last: 9, ..shared.spans[0].clone() },
        Span { first: 10, ..shared.spans[0].clone() },
    ];
    renewals.adopt(shared);
    renewals.prove(START);
    let due = renewals.due_renewals(START);
    let [fenced, other] = due.as_slice() else { panic!("{due:?}") };
    let now = START + TIMING.renewal_interval();
    renewals.due_renewals(now);
    renewals.on_renewal_end(fenced, CallEnd::Fenced, now);
    // Other keys of the holder are still its own, so it answers.
    renewals.on_renewal_end(other, CallEnd::Done, now);
    for conn in [Connection::New, Connection::Open] {
        assert!(renewals.confirm_send(other, Purpose::Renewal, conn, now));
        assert!(!renewals.confirm_send(fenced, Purpose::Renewal, conn, now), "{conn:?}");
    }
    renewals.prove(now);
    assert!(!renewals.confirm_send(fenced, Purpose::Renewal, Connection::New, now));
    renewals.prove(now + TICK);
    assert!(renewals.confirm_send(fenced, Purpose::Renewal, Connection::New, now + TICK));
}

/// A late copy of an answer passes for the one to a grant that the owner refused, so that the keys are recorded as granted.
#[test]
fn a_grant_that_was_recorded_by_mistake_is_renewed_within_an_interval() {
    let started = HostTime(START.0 - 1_000);
    let owner = holder("a", 1);
    let pending = table(3, &owner, 3, Some((&holder("b", 1), 2)));
    let mut recorded = table(4, &owner, 3, None);
    recorded.next_fence = pending.next_fence;
    let fence = FencingToken(3);
    let grant = Grant { first: 0, last: u16::MAX, holder: owner, fence, handover: None };
    for (host, sends_grant) in [("h", true), ("k", false)] {
        let region = "r".parse().unwrap();
        let mut renewals = Renewals::new(host.parse().unwrap(), region, TIMING, started);
        renewals.adopt(pending.clone());
        renewals.prove(START);
        if sends_grant {
            assert!(renewals.confirm_send(&grant, Purpose::Move, Connection::New, START));
            renewals.on_granted(&grant);
        }
        renewals.adopt(recorded.clone());
        let is_renewed = |now: &HostTime| renewals.due_renewals(*now) == [grant.clone()];
        let interval = if sends_grant { TIMING.renewal_interval() } else { Millis(0) };
        let mut ticks = (0..100).map(|tick| START + Millis(TICK.0 * tick));
        assert_eq!(ticks.find(is_renewed), Some(START + interval));
    }
}
