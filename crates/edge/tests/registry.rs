//! How the registry applies records of upstreams.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_edge::control::registry::{KeptEntry, LogPosition, Registry, RegistryChange};
use skylarkdock_edge::view::Entry;
use skylarkdock_units::times::{HostTime, Millis};

fn entry(id: &str, seq: u64) -> Entry {
    Entry {
        id: id.parse().unwrap(),
        born: 1,
        service: "s".parse().unwrap(),
        addr: ([127, 0, 0, 1], 9_000).into(),
        zone: "z".parse().unwrap(),
        region: None,
        slots: 2,
        is_leaving: false,
        cold: Millis(0),
        seq,
    }
}

fn listed(registry: &Registry) -> Vec<String> {
    let mut ids: Vec<String> =
        registry.listed().map(|listed| listed.entry.id.to_string()).collect();
    ids.sort();
    ids
}

fn put(id: &str, seq: u64) -> RegistryChange {
    RegistryChange::Put(entry(id, seq))
}

/// Interval between the heartbeats of an upstream.
const HEARTBEAT: Millis = Millis(870);

/// Reads of the store that are applied to a registry.
struct Reads {
    registry: Registry,
    position: LogPosition,
}

impl Reads {
    /// Starts with a read of all entries.
    fn start(entries: Vec<RegistryChange>) -> Self {
        let position = LogPosition { at: HostTime(10_000), end: 1_000 };
        let mut reads = Self { registry: Registry::new(HEARTBEAT), position };
        reads.apply(Millis(0), 0, entries, true);
        reads
    }

    /// Applies the next read, after which the log has grown by `records`. Returns the changes that are more than
    /// heartbeats.
    fn apply(
        &mut self,
        after: Millis,
        records: u64,
        changes: Vec<RegistryChange>,
        is_whole: bool,
    ) -> Vec<RegistryChange> {
        let LogPosition { at, end } = self.position;
        self.position = LogPosition { at: at + after, end: end + records };
        self.registry.apply_read(changes, is_whole, self.position, self.position.at)
    }

    fn listed(&self) -> Vec<String> {
        listed(&self.registry)
    }
}

fn delete(id: &str) -> RegistryChange {
    RegistryChange::Drop(id.parse().unwrap())
}

/// If an upstream writes its entry again and leaves within one page of records, it must not stay listed.
#[test]
fn records_of_a_page_are_applied_in_order() {
    let mut reads = Reads::start(vec![put("a", 1), put("b", 1)]);
    reads.apply(Millis(300), 2, vec![put("a", 2), delete("a")], false);
    assert_eq!(reads.listed(), ["b"]);
    reads.apply(Millis(300), 2, vec![delete("b"), put("b", 3)], false);
    assert_eq!(reads.listed(), ["b"]);
}

#[test]
fn heartbeats_are_not_reported_as_changes() {
    let mut reads = Reads::start(Vec::new());
    assert_eq!(reads.apply(Millis(300), 1, vec![put("a", 1)], true).len(), 1);
    assert_eq!(reads.apply(Millis(300), 1, vec![put("a", 2)], false), []);
    let mut leaving = entry("a", 3);
    leaving.is_leaving = true;
    let changes = vec![RegistryChange::Put(leaving)];
    assert_eq!(reads.apply(Millis(300), 1, changes, false).len(), 1);
}

#[test]
fn entry_of_an_earlier_start_does_not_replace_a_later_one() {
    let mut later = entry("a", 1);
    later.born = 2;
    let mut reads = Reads::start(vec![RegistryChange::Put(later)]);
    reads.apply(Millis(300), 1, vec![put("a", 9)], false);
    assert_eq!(reads.registry.entry(&"a".parse().unwrap()).unwrap().born, 2);
}

/// Entries expire while the store is unavailable. Running upstreams write theirs again within about two seconds, so an
/// expired entry is kept that long.
#[rstest]
#[case::is_written_again(true)]
#[case::is_not_written_again(false)]
fn entry_expired_during_a_store_outage_is_kept_until_it_may_return(#[case] is_written_again: bool) {
    let mut reads = Reads::start(vec![put("a", 1)]);
    reads.apply(Millis(8_000), 1, vec![delete("a")], false);
    assert_eq!(reads.listed(), ["a"], "dropped although it may be written again");
    let written = if is_written_again { vec![put("a", 2)] } else { Vec::new() };
    reads.apply(Millis(1_000), 1, written, false);
    assert_eq!(reads.listed(), ["a"], "dropped although it may be written again");
    reads.apply(Millis(1_000), 1, Vec::new(), false);
    assert_eq!(!reads.listed().is_empty(), is_written_again);
}

#[test]
fn entry_deleted_while_the_store_is_available_is_dropped() {
    let mut reads = Reads::start(vec![put("a", 1)]);
    assert_eq!(reads.apply(Millis(300), 1, vec![delete("a")], false).len(), 1);
    assert!(reads.listed().is_empty());
}

/// After the store has refused a host for a while, an upstream that leaves after the first successful read must be
/// dropped at once, not kept for 2 s.
#[test]
fn entry_deleted_after_the_first_read_is_dropped() {
    let mut reads = Reads::start(vec![put("a", 1), put("b", 1)]);
    reads.apply(Millis(8_000), 1, vec![delete("a")], false);
    reads.apply(Millis(300), 1, vec![delete("b")], false);
    assert_eq!(reads.listed(), ["a"]);
}

/// A host that had no reason to read the store, or that the store refused while it served the upstreams, finds their
/// heartbeats in the log, so an entry deleted in between must not be kept, however long that was.
#[rstest]
#[case::longest_age_of_updates(Millis(1_650))]
#[case::refused_for_seconds(Millis(7_000))]
#[case::paused_for_a_minute(Millis(60_000))]
fn entry_deleted_between_distant_reads_is_dropped(#[case] after: Millis) {
    let mut reads = Reads::start(vec![put("a", 1), put("b", 1), put("c", 1), put("d", 1)]);
    let seq = after.0 / HEARTBEAT.0;
    // Until its entry was deleted half way, `a` wrote heartbeats like the others.
    let records = 3 * seq + seq / 2 + 1;
    let changes = vec![put("b", seq), put("c", seq), put("d", seq)];
    let significant = reads.apply(after, records, changes, true);
    assert_eq!(significant, [delete("a")]);
    assert_eq!(reads.listed(), ["b", "c", "d"]);
}

/// Reads with long pauses between them must not extend the time for which an entry is kept after an outage.
#[test]
fn kept_entry_is_dropped_in_time_whatever_the_pauses_between_reads() {
    let mut reads = Reads::start(vec![put("a", 1), put("b", 1)]);
    reads.apply(Millis(8_000), 2, vec![put("b", 2)], true);
    assert_eq!(reads.listed(), ["a", "b"]);
    reads.apply(Millis(1_700), 3, vec![put("b", 4)], true);
    assert_eq!(reads.listed(), ["a", "b"], "dropped although it may be written again");
    let significant = reads.apply(Millis(1_700), 3, vec![put("b", 6)], true);
    assert_eq!(significant, [delete("a")]);
}

/// If the store comes back from an older copy, its log is shorter than before, and entries written since are missing.
#[test]
fn entry_missing_from_a_log_that_became_shorter_is_kept() {
    let mut reads = Reads::start(vec![put("a", 1), put("b", 1)]);
    reads.position.end -= 10;
    reads.apply(Millis(300), 0, vec![put("b", 1)], true);
    assert_eq!(reads.listed(), ["a", "b"]);
}

/// A host that keeps a deleted entry must not give it back to a host that knows that it is gone, only to one that knows
/// nothing yet.
#[rstest]
#[case::knows_others(vec![put("b", 9)], vec!["b"])]
#[case::knows_it(vec![put("a", 9), put("b", 9)], vec!["a", "b"])]
#[case::knows_nothing(Vec::new(), vec!["a", "b"])]
fn kept_entry_of_another_host_is_not_added(
    #[case] known: Vec<RegistryChange>,
    #[case] expected: Vec<&str>,
) {
    let mut reads = Reads::start(known);
    let now = reads.position.at + Millis(300);
    let position = LogPosition { at: now, end: reads.position.end + 1 };
    let kept = vec![KeptEntry { entry: entry("a", 3), remaining: Millis(2_000) }];
    reads.registry.apply_update(vec![put("b", 9)], kept, true, Some(position), now);
    assert_eq!(reads.listed(), expected);
    reads.position = position;
    reads.apply(Millis(2_000), 3, vec![put("b", 11)], true);
    assert_eq!(reads.listed(), ["b"], "kept for longer than the other host said");
}

/// A list of another host may be put together before an upstream reported that it leaves, and arrive after that.
#[test]
fn older_heartbeat_from_another_host_does_not_replace_a_later_one() {
    let mut leaving = entry("a", 5);
    leaving.is_leaving = true;
    let mut reads = Reads::start(vec![RegistryChange::Put(leaving)]);
    let now = reads.position.at + Millis(10);
    let significant = reads.registry.apply_update(vec![put("a", 4)], Vec::new(), true, None, now);
    assert_eq!(significant, []);
    assert!(reads.registry.entry(&"a".parse().unwrap()).unwrap().is_leaving);
}
