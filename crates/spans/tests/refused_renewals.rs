//! Renewals that an upstream turns away because it has no capacity.

#![allow(clippy::unwrap_used)]

use skylarkdock_spans::renewal::{CallEnd, Connection, Purpose, Renewals};
use skylarkdock_spans::table::{FencingToken, Holder, Keeper, Span, Table};
use skylarkdock_spans::timing::Timing;
use skylarkdock_units::measures::HostSize;
use skylarkdock_units::times::{HostTime, Millis};

const TIMING: Timing =
    Timing { hold: Millis(3_000), call_timeout: Millis(400), proof_lifetime: Millis(14_000) };
const START: HostTime = HostTime(100_000);
/// Time between two checks for due renewals.
const TICK: Millis = Millis(50);
/// Far longer than the time without an answer after which a holder is suspended.
const REFUSED_TIME: Millis = Millis(10_000);
/// Longer than the time after which an answer no longer proves that the same incarnation runs.
const SILENCE: Millis = Millis(2_000);

fn holder() -> Holder {
    let (id, region) = ("i-1".parse().unwrap(), "r".parse().unwrap());
    Holder { id, born: 1, addr: ([127, 0, 0, 1], 9_000).into(), region }
}

/// Creates a keeper of one span, which is granted to the holder.
fn keeper() -> Renewals {
    let mut renewals = Renewals::new("h".parse().unwrap(), "r".parse().unwrap(), TIMING, START);
    let keeper = Keeper {
        host: "h".parse().unwrap(),
        zone: "z".parse().unwrap(),
        region: "r".parse().unwrap(),
        size: HostSize(200),
    };
    let fence = FencingToken(1);
    let (owner, former) = (holder(), Vec::new());
    let span = Span { first: 0, last: u16::MAX, owner, fence, is_granted: true, former };
    renewals.adopt(Table {
        service: "s".parse().unwrap(),
        version: 1,
        leader: "h".parse().unwrap(),
        keepers: vec![keeper],
        retired: Vec::new(),
        copy: None,
        next_fence: FencingToken(2),
        spans: vec![span],
    });
    renewals
}

/// Sends what is due in a time and ends it with `end`. Returns the number of renewals sent.
fn renew(renewals: &mut Renewals, start: HostTime, time: Millis, end: CallEnd) -> u64 {
    let mut sent = 0;
    let mut now = start;
    while now < start + time {
        renewals.prove(now);
        for grant in renewals.due_renewals(now) {
            sent += 1;
            renewals.on_renewal_end(&grant, end, now);
        }
        now = now + TICK;
    }
    sent
}

/// An overloaded upstream would lose its keys, as renewals would stop although it is there.
#[test]
fn renewals_that_are_turned_away_go_on_at_their_usual_interval() {
    let mut renewals = keeper();
    renew(&mut renewals, START, TICK, CallEnd::Done);
    let sent = renew(&mut renewals, START + TICK, REFUSED_TIME, CallEnd::Refused);
    assert!(renewals.suspended().is_empty());
    assert!(!renewals.is_unreachable(&holder()));
    let usual = REFUSED_TIME.0 / TIMING.renewal_interval().0;
    assert!(usual - 1 <= sent && sent <= usual + 1, "{sent} renewals, usual {usual}");
}

/// A later incarnation may listen at the address after a silence, and its refusal must not pass for the earlier one's.
#[test]
fn a_refusal_after_a_silence_suspends_the_holder() {
    let mut renewals = keeper();
    renew(&mut renewals, START, TICK, CallEnd::Done);
    renew(&mut renewals, START + SILENCE, TICK, CallEnd::Refused);
    assert_eq!(renewals.suspended().len(), 1);
}

/// Refusals of a process other than the holder passed for its answers, so that a renewal went over a new connection by old
/// proof.
#[test]
fn refusals_take_the_place_of_no_answer_for_a_new_connection() {
    let mut renewals = keeper();
    renew(&mut renewals, START, TICK, CallEnd::Done);
    let mut now = START + TICK;
    let mut last = None;
    while now < START + REFUSED_TIME {
        for grant in renewals.due_renewals(now) {
            renewals.on_renewal_end(&grant, CallEnd::Refused, now);
            last = Some(grant);
        }
        now = now + TICK;
    }
    let grant = last.unwrap();
    assert!(renewals.suspended().is_empty());
    assert!(renewals.has_proof(now));
    assert!(!renewals.confirm_send(&grant, Purpose::Renewal, Connection::New, now));
    assert!(renewals.confirm_send(&grant, Purpose::Renewal, Connection::Open, now));
    renewals.prove(now);
    assert!(renewals.confirm_send(&grant, Purpose::Renewal, Connection::New, now));
}
