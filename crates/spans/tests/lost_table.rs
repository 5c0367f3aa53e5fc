//! The search for the version of a table before a record that can't be read, and a table that nobody knows.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_spans::leader::{Action, Inputs, Leader};
use skylarkdock_spans::lost::{self, LogSearch, LostTable, Search};
use skylarkdock_spans::plan::{self, Candidate};
use skylarkdock_spans::renewal::Renewals;
use skylarkdock_spans::restored::MIN_FIRST_TABLE_UPTIME;
use skylarkdock_spans::restored::StoreCopy;
use skylarkdock_spans::table::{FencingToken, Holder, Keeper, Table};
use skylarkdock_spans::timing::Timing;
use skylarkdock_units::measures::HostSize;
use skylarkdock_units::times::{HostTime, Millis};

const TIMING: Timing =
    Timing { hold: Millis(3_000), call_timeout: Millis(400), proof_lifetime: Millis(14_000) };
const START: HostTime = HostTime(100_000);
const LOST: LostTable = LostTable { unreadable_since: START, records: 40 };

fn candidate() -> Candidate {
    let holder = Holder {
        id: "a".parse().unwrap(),
        born: 1,
        addr: ([127, 0, 0, 1], 9_000).into(),
        region: "r".parse().unwrap(),
    };
    Candidate { holder, capacity: 20.0 }
}

fn inputs(search: Search) -> Inputs {
    let keeper = Keeper {
        host: "h".parse().unwrap(),
        zone: "z".parse().unwrap(),
        region: "r".parse().unwrap(),
        size: HostSize(200),
    };
    Inputs {
        candidates: vec![candidate()],
        hosts: vec![keeper],
        is_record_unreadable: true,
        search,
        uptime: MIN_FIRST_TABLE_UPTIME,
        ..Inputs::default()
    }
}

fn table(version: u64) -> Table {
    Table {
        service: "s".parse().unwrap(),
        version,
        leader: "other".parse().unwrap(),
        keepers: Vec::new(),
        retired: Vec::new(),
        copy: None,
        next_fence: FencingToken(2),
        spans: plan::initial_spans(&[candidate()], FencingToken(1)),
    }
}

fn leader(table: Option<Table>) -> Leader {
    Leader::new("h".parse().unwrap(), "s".parse().unwrap(), TIMING, table)
}

fn renewals() -> Renewals {
    Renewals::new("other".parse().unwrap(), "r".parse().unwrap(), TIMING, HostTime(1))
}

/// Hosts that know the former table renew its grants until their last proof lapses, and upstreams refuse smaller tokens.
#[test]
fn a_lost_table_is_replaced_after_all_its_grants_have_expired() {
    let mut leader = leader(None);
    let written = (0..1_000).find_map(|tick| {
        let now = START + Millis(tick * 50);
        let action = leader.tick(&inputs(Search::Nothing(LOST)), now).pop()?;
        Some((now, action))
    });
    let (now, Action::Write(table)) = written.unwrap() else { panic!("no table") };
    assert!(now.since(START) >= TIMING.expiry_without_acks(), "{now}");
    assert!(now.since(START) <= TIMING.expiry_without_acks() + Millis(100), "{now}");
    assert!(table.version > LOST.records && table.check().is_ok(), "{table:?}");
    assert!(table.spans.iter().all(|span| span.fence.0 > LOST.records), "{table:?}");
    assert!(renewals().confirm_write(&table));
    let mut others = renewals();
    others.adopt(self::table(30));
    assert!(!others.confirm_write(&table));
}

/// A leader that missed a version wrote its own one in its place.
#[test]
fn a_leader_records_nothing_while_a_newer_version_may_precede_the_record() {
    let mut leader = leader(Some(table(6)));
    for tick in 0..1_000 {
        let now = START + Millis(tick * 50);
        let actions = leader.tick(&inputs(Search::Pending), now);
        assert!(!actions.iter().any(|action| matches!(action, Action::Write(_))), "{actions:?}");
    }
    let actions = leader.tick(&inputs(Search::Ended), START + Millis(50_000));
    assert!(actions.iter().any(|action| matches!(action, Action::Write(_))), "{actions:?}");
}

/// A record that can't be read counted as proof that the table before it was the newest.
#[test]
fn a_record_that_cannot_be_read_is_no_proof() {
    let mut renewals = renewals();
    renewals.adopt(table(6));
    renewals.on_read(START, StoreCopy::default(), true);
    for second in 1..20 {
        renewals.on_read(START + Millis(second * 1_000), StoreCopy::default(), false);
    }
    assert!(!renewals.has_proof(START + TIMING.proof_lifetime));
}

#[rstest]
#[case::logged(None, Some(7), &[], Some(7), Search::Ended)]
#[case::told(None, None, &[5, 7], Some(7), Search::Ended)]
#[case::told_of_a_later_one(Some(6), Some(6), &[7], Some(7), Search::Ended)]
#[case::known(Some(7), Some(7), &[6], None, Search::Ended)]
#[case::known_to_this_host_alone(Some(7), None, &[], None, Search::Ended)]
#[case::known_to_nobody(None, None, &[], None, Search::Nothing(LOST))]
fn the_newest_version_is_adopted(
    #[case] known: Option<u64>,
    #[case] logged: Option<u64>,
    #[case] told: &[u64],
    #[case] adopted: Option<u64>,
    #[case] search: Search,
) {
    let known = known.map(table);
    let told = told.iter().copied().map(table).collect();
    let (ended, found) = lost::conclude(LOST, known.as_ref(), logged.map(table), told);
    assert_eq!((ended, found.map(|table| table.version)), (search, adopted));
}

/// Reads each log to its first retained record, whose offset is not known.
#[rstest]
fn all_retained_records_are_read(
    #[values(0, 1, 63, 64, 65, 700, 9_999, 10_000)] first: u64,
    #[values(1, 64, 65, 10_000)] end: u64,
) {
    let first = first.min(end);
    let mut search = LogSearch::new(end);
    let mut read_from = end;
    let mut calls = 0;
    while let Some((from, to)) = search.next_part() {
        calls += 1;
        assert!(calls < 100 && to == read_from, "{search:?}");
        if from < first {
            search.on_deleted(from);
        } else {
            read_from = from;
            search.on_read(from);
        }
    }
    assert_eq!(read_from, first);
}
