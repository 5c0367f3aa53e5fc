//! Tables of a store that came back from an older copy.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_spans::lost::{LostTable, Search};
use skylarkdock_spans::renewal::Renewals;
use skylarkdock_spans::restored::{self, Asked, Memory, Recall, StoreCopy};
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
    let (table, running) = (version.map(table), Millis(running));
    Some(Memory { table, proof_age, running, first_copy: None })
}

/// Returns what host `h` concludes from its own memory and those of others, which it asked after the longest wait.
fn recall(own: Memory, others: &[Option<Memory>], now: HostTime) -> (Recall, Option<Table>) {
    let name = |n: usize| format!("o{n}").parse().unwrap();
    let others = others.iter().enumerate().map(|(n, memory)| (name(n), memory.clone())).collect();
    let own = ("h".parse().unwrap(), own);
    Asked { own, others, copy: LATER, restored_at: START }.recall(TIMING, now)
}

/// Time at which hosts whose records were lost are recorded again.
fn settled() -> HostTime {
    START + TIMING.grant_expiry()
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
    let (recall, table) = recall(own, others, settled());
    assert_eq!(recall == Recall::Certain, is_certain, "{recall:?}");
    assert_eq!(table.unwrap().version, newest);
}

#[test]
fn a_host_whose_proof_is_the_latest_knows_the_last_version() {
    let own = memory(Some(7), Some(500), 90_000).unwrap();
    assert_eq!(recall(own, &[], settled()).0, Recall::Certain);
}

/// A host that was added in the lost seconds was not asked, as its record was lost too.
#[test]
fn hosts_whose_records_were_lost_are_waited_for() {
    let own = || memory(Some(7), Some(500), 90_000).unwrap();
    assert_eq!(recall(own(), &[], START).0, Recall::Pending);
    assert_eq!(recall(own(), &[], HostTime(settled().0 - 1)).0, Recall::Pending);
    let named = |leader: &str| {
        let table = Table { leader: leader.parse().unwrap(), ..table(7) };
        recall(Memory { table: Some(table), ..own() }, &[], settled()).0
    };
    assert_eq!(named("h"), Recall::Certain);
    assert_eq!(named("unknown"), Recall::Uncertain { restored_at: START });
}

/// The loss of a first table, together with all processes that knew it, was taken for a first start.
#[rstest]
#[case::all_have_started_since(memory(None, None, 100), memory(None, None, 100))]
#[case::one_has_run_before(memory(None, None, 90_000), memory(None, None, 100))]
#[case::the_leader_has_started_since(memory(None, None, 100), memory(None, None, 90_000))]
fn that_no_host_remembers_a_table_is_no_first_start(
    #[case] own: Option<Memory>,
    #[case] other: Option<Memory>,
) {
    let (recall, table) = recall(own.unwrap(), &[other.clone(), other], settled());
    assert_eq!((recall, table), (Recall::Uncertain { restored_at: START }, None));
    let expired = START + TIMING.expiry_without_acks();
    let numbers = |now| recall.first_numbers(Some(LATER), TIMING, now);
    assert_eq!(numbers(HostTime(expired.0 - 1)), None);
    let (version, fence) = numbers(expired).unwrap();
    assert!(version > MANY_VERSIONS && fence.0 > MANY_VERSIONS, "holders may have seen any token");
}

/// A service of a fleet that starts would wait as if a table were lost.
#[rstest]
#[case::own(Some(LATER), None, true)]
#[case::of_another_host(None, Some(LATER), true)]
#[case::of_an_earlier_copy(Some(FORMER), Some(FORMER), false)]
fn a_copy_that_was_read_at_the_first_start_lacks_no_table(
    #[case] own: Option<StoreCopy>,
    #[case] other: Option<StoreCopy>,
    #[case] is_certain: bool,
) {
    let with = |first_copy| Memory { first_copy, ..memory(None, None, 100).unwrap() };
    let others = [None, Some(with(other))];
    let (found, _) = recall(with(own), &others, START);
    assert_eq!(found == Recall::Certain, is_certain, "{found:?}");
    let late = Memory { table: Some(table(7)), ..with(Some(LATER)) };
    assert_ne!(
        recall(late, &others, settled()).0,
        Recall::Certain,
        "a table was lost all the same"
    );
}

/// Another host may have recorded a table, and ended, before the store came back.
#[test]
fn only_an_early_read_of_a_first_start_shows_a_first_copy() {
    let early = Millis(900);
    assert_eq!(restored::first_copy(true, LATER, early), Some(LATER));
    assert_eq!(restored::first_copy(false, LATER, early), None);
    assert_eq!(restored::first_copy(true, LATER, restored::MIN_FIRST_TABLE_UPTIME), None);
}

/// Holders that had seen a token refused a smaller one for good.
#[test]
fn first_numbers_are_larger_than_those_of_earlier_copies() {
    let numbers = |recall: Recall, copy| recall.first_numbers(copy, TIMING, START).unwrap().0;
    assert_eq!(numbers(Recall::Certain, None), 1);
    assert_eq!(numbers(Recall::Certain, Some(StoreCopy(0))), 1);
    assert!(numbers(Recall::Certain, Some(FORMER)) > MANY_VERSIONS);
    let later = numbers(Recall::Certain, Some(LATER));
    assert!(later > numbers(Recall::Certain, Some(FORMER)) + MANY_VERSIONS);
    let lost = LostTable { unreadable_since: HostTime(0), records: 5 };
    let over_unreadable = |copy| Search::Nothing(lost).unused_numbers(Some(copy), TIMING, START);
    assert!(over_unreadable(LATER).unwrap().0 > later);
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

/// A version of an earlier copy was recorded in a later one, and passed for its newest.
#[test]
fn a_table_is_written_only_to_the_copy_that_it_was_planned_for() {
    assert!(table(9).is_planned_for(FORMER));
    assert!(!table(9).is_planned_for(LATER));
    assert!(
        Table { copy: None, ..table(9) }.is_planned_for(LATER),
        "of a host that knew no copies"
    );
}
