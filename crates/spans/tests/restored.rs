//! Tables of a store that came back from an older copy.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_spans::renewal::Renewals;
use skylarkdock_spans::restored::{self, Memory, Recall, StoreCopy};
use skylarkdock_spans::table::{FencingToken, FormerGrant, Holder, Keeper, Span, Table};
use skylarkdock_spans::timing::Timing;
use skylarkdock_units::measures::HostSize;
use skylarkdock_units::times::{HostTime, Millis};

const TIMING: Timing =
    Timing { hold: Millis(3_000), call_timeout: Millis(400), proof_lifetime: Millis(14_000) };
const START: HostTime = HostTime(100_000);
const FORMER: StoreCopy = StoreCopy(4);
const LATER: StoreCopy = StoreCopy(5);
/// More versions than hosts record in the seconds that a copy lacks.
const MANY_VERSIONS: u64 = 1_000;

fn holder(name: &str) -> Holder {
    Holder {
        id: name.parse().unwrap(),
        born: 1,
        addr: ([127, 0, 0, 1], 9_000).into(),
        region: "r".parse().unwrap(),
    }
}

/// Returns a table of one span, recorded in the former copy.
fn table(version: u64) -> Table {
    Table {
        service: "s".parse().unwrap(),
        version,
        copy: Some(FORMER),
        leader: "h".parse().unwrap(),
        keepers: vec![Keeper {
            host: "h".parse().unwrap(),
            zone: "z".parse().unwrap(),
            region: "r".parse().unwrap(),
            size: HostSize(200),
        }],
        retired: Vec::new(),
        next_fence: FencingToken(version),
        spans: vec![Span {
            first: 0,
            last: u16::MAX,
            owner: holder("a"),
            fence: FencingToken(version - 1),
            is_granted: true,
            former: vec![FormerGrant { holder: holder("b"), fence: FencingToken(version - 2) }],
        }],
    }
}

fn memory(version: Option<u64>, proof_age: Option<u64>, running: u64) -> Option<Memory> {
    let proof_age = proof_age.map(Millis);
    Some(Memory { table: version.map(table), proof_age, running: Millis(running) })
}

/// A process that recorded a lost version may have ended since.
#[rstest]
#[case::all_remember(&[memory(Some(7), Some(900), 90_000), memory(Some(9), None, 90_000)], true, 9)]
#[case::one_is_silent(&[memory(Some(9), Some(900), 90_000), None], false, 9)]
#[case::one_has_started_since(&[memory(Some(9), Some(900), 800), memory(Some(9), Some(900), 90_000)], false, 9)]
#[case::nobody_had_proof(&[memory(Some(9), None, 90_000)], false, 9)]
#[case::alone(&[], false, 7)]
fn only_hosts_that_all_remember_know_the_last_version(
    #[case] others: &[Option<Memory>],
    #[case] is_certain: bool,
    #[case] newest: u64,
) {
    let own = memory(Some(7), None, 90_000).unwrap();
    let (recall, table) = restored::recall(&own, others, START, true);
    assert_eq!(recall == Recall::Certain, is_certain, "{recall:?}");
    assert_eq!(table.unwrap().version, newest);
}

#[test]
fn a_host_whose_proof_is_the_latest_knows_the_last_version() {
    let own = memory(Some(7), Some(500), 90_000).unwrap();
    assert_eq!(restored::recall(&own, &[], START, true).0, Recall::Certain);
}

/// A service of a fleet that starts would wait as if a table were lost.
#[rstest]
#[case::starts(false, true)]
#[case::knew_an_earlier_copy(true, false)]
fn a_fleet_that_starts_remembers_no_table(#[case] is_restored: bool, #[case] is_certain: bool) {
    let none = memory(None, None, 100);
    let others = [none.clone(), none.clone()];
    let (recall, table) = restored::recall(&none.unwrap(), &others, START, is_restored);
    assert_eq!((recall == Recall::Certain, table), (is_certain, None));
    let numbers = recall.first_numbers(Some(LATER), TIMING, START);
    assert_eq!(numbers.is_some(), is_certain);
    let expired = START + TIMING.expiry_without_acks();
    let (version, fence) = recall.first_numbers(Some(LATER), TIMING, expired).unwrap();
    assert!(is_certain || (version > MANY_VERSIONS && fence.0 > MANY_VERSIONS));
}

/// A read of an older table was taken for proof of whatever table the host knew.
#[test]
fn a_read_of_a_later_copy_is_no_proof_of_a_table_of_an_earlier_one() {
    let mut renewals = Renewals::new("h".parse().unwrap(), "r".parse().unwrap(), TIMING, START);
    renewals.adopt(table(9));
    renewals.on_read(START, FORMER, true);
    let mut now = START;
    while now < START + TIMING.proof_lifetime {
        assert!(renewals.has_proof(now));
        renewals.due_renewals(now);
        renewals.on_read(now, LATER, true);
        now = now + Millis(100);
    }
    assert!(!renewals.has_proof(now));
    renewals.adopt(Table { version: 10, copy: Some(LATER), ..table(9) });
    renewals.on_read(now, LATER, true);
    assert!(renewals.has_proof(now));
}

/// The next version had a number, and granted tokens, that a lost one had.
#[test]
fn a_table_that_is_carried_on_has_larger_numbers_than_any_lost_one() {
    let known = table(7);
    let carried_on = |recall, now| restored::carried_on(&known, LATER, recall, TIMING, now);
    assert_eq!(carried_on(Recall::Pending, START), None);
    let next = carried_on(Recall::Certain, START).unwrap();
    assert!(next.version > known.version + MANY_VERSIONS);
    assert!(next.next_fence.0 > known.next_fence.0 + MANY_VERSIONS);
    assert_eq!(next.copy, Some(LATER));
    assert_eq!(next.spans, known.spans, "grants go on");
    next.check().unwrap();
    let twice = restored::carried_on(&known, StoreCopy(6), Recall::Certain, TIMING, START).unwrap();
    assert!(twice.version > next.version + MANY_VERSIONS, "{}", twice.version);
    let uncertain = Recall::Uncertain { restored_at: START };
    let expired = START + TIMING.expiry_without_acks();
    assert_eq!(carried_on(uncertain, HostTime(expired.0 - 1)), None);
    let next = carried_on(uncertain, expired).unwrap();
    next.check().unwrap();
    assert!(next.spans.iter().all(|span| span.fence.0 > MANY_VERSIONS && !span.is_granted));
    assert!(next.spans.iter().all(|span| span.former.is_empty()), "they have expired");
}

/// Hosts that know a lost version of the same number as the next one would not take it.
#[test]
fn the_first_table_of_a_copy_may_follow_the_known_one_at_a_distance() {
    let mut renewals = Renewals::new("h".parse().unwrap(), "r".parse().unwrap(), TIMING, START);
    renewals.adopt(table(9));
    let distant = |copy| Table { version: 9 + MANY_VERSIONS, copy: Some(copy), ..table(9) };
    assert!(renewals.confirm_write(&distant(LATER)));
    assert!(!renewals.confirm_write(&distant(FORMER)));
    renewals.adopt(Table { version: 8 + MANY_VERSIONS, copy: Some(LATER), ..table(9) });
    assert!(renewals.confirm_write(&distant(LATER)));
    renewals.adopt(distant(LATER));
    assert!(!renewals.confirm_write(&distant(LATER)));
}

/// A read without the table, of a later copy, was taken for proof of a lost table that the host learnt of afterwards.
#[test]
fn a_read_of_a_later_copy_without_a_table_proves_nothing() {
    let new = || Renewals::new("h".parse().unwrap(), "r".parse().unwrap(), TIMING, START);
    let mut renewals = new();
    renewals.on_read(START, LATER, true);
    assert_eq!(renewals.memory(START).proof_age, None);
    renewals.adopt(table(9));
    assert!(!renewals.has_proof(START));
    let mut renewals = new();
    renewals.on_read(START, StoreCopy(0), true);
    assert!(renewals.memory(START).proof_age.is_some(), "no copy was ever lost");
}
