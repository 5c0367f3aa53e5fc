//! How the registry applies records of upstreams.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_edge::control::registry::{KeptEntry, Registry, RegistryChange};
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
    now: HostTime,
}

impl Reads {
    /// Starts with a read of all entries.
    fn start(entries: Vec<RegistryChange>) -> Self {
        let mut reads = Self { registry: Registry::new(HEARTBEAT), now: HostTime(10_000) };
        reads.apply(Millis(0), entries, true);
        reads
    }

    /// Applies a read that is sent some time after the last event. Returns the changes that are more than heartbeats.
    fn apply(
        &mut self,
        after: Millis,
        changes: Vec<RegistryChange>,
        is_whole: bool,
    ) -> Vec<RegistryChange> {
        self.now = self.now + after;
        self.registry.apply_read(changes, is_whole, self.now, self.now)
    }

    /// Sends a read that fails.
    fn fail(&mut self, after: Millis) {
        self.now = self.now + after;
        self.registry.on_failed_read(self.now);
    }

    /// Applies changes that another host has read from the store just now.
    fn update(&mut self, after: Millis, changes: Vec<RegistryChange>) -> Vec<RegistryChange> {
        self.now = self.now + after;
        self.registry.apply_update(changes, Vec::new(), false, self.now, self.now)
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
    reads.apply(Millis(300), vec![put("a", 2), delete("a")], false);
    assert_eq!(reads.listed(), ["b"]);
    reads.apply(Millis(300), vec![delete("b"), put("b", 3)], false);
    assert_eq!(reads.listed(), ["b"]);
}

#[test]
fn heartbeats_are_not_reported_as_changes() {
    let mut reads = Reads::start(Vec::new());
    assert_eq!(reads.apply(Millis(300), vec![put("a", 1)], true).len(), 1);
    assert_eq!(reads.apply(Millis(300), vec![put("a", 2)], false), []);
    let mut leaving = entry("a", 3);
    leaving.is_leaving = true;
    assert_eq!(reads.apply(Millis(300), vec![RegistryChange::Put(leaving)], false).len(), 1);
}

#[test]
fn entry_of_an_earlier_start_does_not_replace_a_later_one() {
    let mut later = entry("a", 1);
    later.born = 2;
    let mut reads = Reads::start(vec![RegistryChange::Put(later)]);
    reads.apply(Millis(300), vec![put("a", 9)], false);
    assert_eq!(reads.registry.entry(&"a".parse().unwrap()).unwrap().born, 2);
}

/// Entries expire while the store is unavailable. Running upstreams write theirs again within about two seconds, so an
/// expired entry is kept that long.
#[rstest]
#[case::is_written_again(true)]
#[case::is_not_written_again(false)]
fn entry_expired_during_a_store_outage_is_kept_until_it_may_return(#[case] is_written_again: bool) {
    let mut reads = Reads::start(vec![put("a", 1)]);
    reads.fail(Millis(300));
    reads.apply(Millis(7_700), vec![delete("a")], false);
    assert_eq!(reads.listed(), ["a"], "dropped although it may be written again");
    let written = if is_written_again { vec![put("a", 2)] } else { Vec::new() };
    reads.apply(Millis(1_000), written, false);
    assert_eq!(reads.listed(), ["a"], "dropped although it may be written again");
    reads.apply(Millis(1_000), Vec::new(), false);
    assert_eq!(!reads.listed().is_empty(), is_written_again);
}

/// A store that came back from an older copy lacks the entries that were written since, until their upstreams write them
/// again. Dropping them at once would move the keys of upstreams that run.
#[rstest]
#[case::is_written_again(true)]
#[case::is_not_written_again(false)]
fn entry_that_an_older_copy_of_the_store_lacks_is_kept_until_it_may_return(
    #[case] is_written_again: bool,
) {
    let mut reads = Reads::start(vec![put("a", 1), put("b", 1)]);
    reads.now = reads.now + Millis(300);
    reads.registry.on_restored(reads.now);
    assert!(reads.apply(Millis(0), vec![put("b", 2)], true).is_empty());
    assert_eq!(reads.listed(), ["a", "b"], "dropped although it may be written again");
    let written = if is_written_again { vec![put("a", 2)] } else { Vec::new() };
    reads.apply(Millis(1_000), written, false);
    assert_eq!(reads.listed(), ["a", "b"], "dropped although it may be written again");
    reads.apply(Millis(1_000), vec![put("b", 3)], false);
    assert_eq!(reads.listed().contains(&"a".to_owned()), is_written_again);
    // An upstream that leaves then is dropped at once, and so is what a later whole read lacks.
    assert_eq!(reads.apply(Millis(300), vec![delete("b")], false), [delete("b")]);
    reads.apply(Millis(300), Vec::new(), true);
    assert!(reads.listed().is_empty());
}

#[test]
fn entry_deleted_while_the_store_is_available_is_dropped() {
    let mut reads = Reads::start(vec![put("a", 1)]);
    assert_eq!(reads.apply(Millis(300), vec![delete("a")], false).len(), 1);
    assert!(reads.listed().is_empty());
}

/// After the store has refused a host for a while, an upstream that leaves after the first successful read must be
/// dropped at once, not kept for 2 s.
#[test]
fn entry_deleted_after_the_first_read_is_dropped() {
    let mut reads = Reads::start(vec![put("a", 1), put("b", 1)]);
    reads.fail(Millis(300));
    reads.apply(Millis(7_700), vec![delete("a")], false);
    reads.apply(Millis(300), vec![delete("b")], false);
    assert_eq!(reads.listed(), ["a"]);
}

/// A host that had no reason to read the store must not take the time without a read for an outage, however long it was.
#[rstest]
#[case::longest_age_of_updates(Millis(1_650))]
#[case::paused_for_a_minute(Millis(60_000))]
fn entry_deleted_between_distant_reads_is_dropped(#[case] after: Millis) {
    let mut reads = Reads::start(vec![put("a", 1), put("b", 1)]);
    assert_eq!(reads.apply(after, vec![put("b", 9)], true), [delete("a")]);
    assert_eq!(reads.listed(), ["b"]);
}

/// The store may refuse one host, whose reads fail, while it serves others and the upstreams. That is no outage.
#[test]
fn entry_deleted_while_the_store_refuses_this_host_alone_is_dropped() {
    let mut reads = Reads::start(vec![put("a", 1), put("b", 1)]);
    for _ in 0..10 {
        reads.fail(Millis(300));
        reads.update(Millis(600), vec![put("b", 2)]);
    }
    reads.fail(Millis(300));
    assert_eq!(reads.apply(Millis(300), vec![put("b", 3)], true), [delete("a")]);
}

/// No entry expires in an outage of less than two heartbeat intervals, so one that is gone then has left.
#[test]
fn entry_deleted_during_a_short_outage_is_dropped() {
    let mut reads = Reads::start(vec![put("a", 1)]);
    reads.fail(Millis(300));
    assert_eq!(reads.apply(Millis(1_400), vec![delete("a")], false), [delete("a")]);
}

/// Reads with long pauses between them must not extend the time for which an entry is kept after an outage.
#[test]
fn kept_entry_is_dropped_in_time_whatever_the_pauses_between_reads() {
    let mut reads = Reads::start(vec![put("a", 1), put("b", 1)]);
    reads.fail(Millis(300));
    reads.apply(Millis(7_700), vec![put("b", 2)], true);
    assert_eq!(reads.listed(), ["a", "b"]);
    reads.apply(Millis(1_700), vec![put("b", 4)], true);
    assert_eq!(reads.listed(), ["a", "b"], "dropped although it may be written again");
    assert_eq!(reads.apply(Millis(1_700), vec![put("b", 6)], true), [delete("a")]);
}

/// A host that takes a refusal of its own for an outage is corrected by one that has read the store meanwhile.
#[test]
fn kept_entry_is_dropped_if_another_host_knows_that_it_is_gone() {
    let mut reads = Reads::start(vec![put("a", 1), put("b", 1)]);
    reads.fail(Millis(300));
    reads.apply(Millis(7_700), vec![put("b", 2)], true);
    assert_eq!(reads.update(Millis(10), vec![delete("a")]), [delete("a")]);
    assert_eq!(reads.listed(), ["b"]);
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
    reads.now = reads.now + Millis(300);
    let kept = vec![KeptEntry { entry: entry("a", 3), remaining: Millis(2_000) }];
    reads.registry.apply_update(vec![put("b", 9)], kept, true, reads.now, reads.now);
    assert_eq!(reads.listed(), expected);
    reads.apply(Millis(2_000), vec![put("b", 11)], true);
    assert_eq!(reads.listed(), ["b"], "kept for longer than the other host said");
}

/// Hosts that keep an entry tell each other of it, and each message takes time. That must not extend the entry's time.
#[test]
fn kept_entry_of_another_host_is_not_kept_for_longer_than_known() {
    let mut reads = Reads::start(vec![put("a", 1), put("b", 1)]);
    reads.fail(Millis(300));
    reads.apply(Millis(7_700), vec![put("b", 2)], true);
    for _ in 0..5 {
        reads.now = reads.now + Millis(300);
        let kept = vec![KeptEntry { entry: entry("a", 1), remaining: Millis(1_900) }];
        reads.registry.apply_update(vec![put("b", 2)], kept, true, reads.now, reads.now);
    }
    assert_eq!(reads.apply(Millis(500), vec![put("b", 3)], true), [delete("a")]);
}

/// A list of another host may be put together before an upstream reported that it leaves, and arrive after that.
#[test]
fn older_heartbeat_from_another_host_does_not_replace_a_later_one() {
    let mut leaving = entry("a", 5);
    leaving.is_leaving = true;
    let mut reads = Reads::start(vec![RegistryChange::Put(leaving)]);
    assert_eq!(reads.update(Millis(10), vec![put("a", 4)]), []);
    assert!(reads.registry.entry(&"a".parse().unwrap()).unwrap().is_leaving);
}

/// The store drops an entry after three heartbeat intervals of silence, so one that is still there has been written.
#[rstest]
#[case::read_all_along(5, Millis(900), true)]
#[case::not_long_enough(3, Millis(900), false)]
#[case::with_a_pause(5, Millis(1_900), false)]
fn an_entry_that_stays_shows_that_its_upstream_lives(
    #[case] reads: u32,
    #[case] interval: Millis,
    #[case] expected: bool,
) {
    let mut fleet = Reads::start(vec![put("a", 1)]);
    let since = fleet.now;
    for _ in 0..reads {
        fleet.apply(interval, Vec::new(), false);
    }
    let id = "a".parse().unwrap();
    assert_eq!(fleet.registry.has_written_since(&id, since), expected);
    fleet.apply(Millis(300), vec![RegistryChange::Drop("a".parse().unwrap())], false);
    assert!(!fleet.registry.has_written_since(&id, since));
}

/// Returns the entry of `a` from a process that started at `born`.
fn started(born: u64, seq: u64) -> Entry {
    Entry { born, ..entry("a", seq) }
}

fn put_started(born: u64, seq: u64) -> RegistryChange {
    RegistryChange::Put(started(born, seq))
}

fn known_born(registry: &Registry) -> Option<u64> {
    registry.entry(&"a".parse().unwrap()).map(|entry| entry.born)
}

/// The clock of an upstream may have been ahead when its former process started, and another writer may give any start.
/// The upstream must not be shut out by that for as long as it runs.
#[rstest]
#[case::clock_set_back(7)]
#[case::another_writer(u64::MAX)]
fn an_upstream_is_listed_again_after_an_entry_with_a_later_start(#[case] former: u64) {
    let mut reads = Reads::start(vec![put_started(former, 1)]);
    reads.apply(Millis(300), vec![put_started(3, 1)], false);
    assert_eq!(
        known_born(&reads.registry),
        Some(former),
        "may be a late write of an earlier process"
    );
    for _ in 0..2 {
        assert_eq!(reads.apply(HEARTBEAT, Vec::new(), false), []);
        assert_eq!(known_born(&reads.registry), Some(former), "not all heartbeats are missed yet");
    }
    let expected = [delete("a"), put_started(3, 1)];
    assert_eq!(reads.apply(HEARTBEAT, Vec::new(), false), expected);
    assert_eq!(known_born(&reads.registry), Some(3));

    let mut follower = Reads::start(vec![put_started(former, 1)]);
    assert_eq!(follower.update(Millis(10), expected.to_vec()), expected);
    assert_eq!(known_born(&follower.registry), Some(3));
}

/// The process that runs writes its entry again one heartbeat after a late write of an earlier one.
#[test]
fn a_late_write_of_an_earlier_process_has_no_effect() {
    let mut reads = Reads::start(vec![put_started(2, 1)]);
    for beat in 2..9 {
        reads.apply(Millis(300), vec![put_started(1, 20)], false);
        assert_eq!(reads.apply(HEARTBEAT, vec![put_started(2, beat)], false), []);
        assert_eq!(known_born(&reads.registry), Some(2));
    }
}

/// While the store is away, nobody can write an entry, so that time shows nothing.
#[test]
fn an_outage_does_not_count_for_an_entry_with_an_earlier_start() {
    let mut reads = Reads::start(vec![put_started(2, 1)]);
    reads.apply(Millis(300), vec![put_started(1, 20)], false);
    reads.fail(Millis(300));
    assert_eq!(reads.apply(Millis(7_700), Vec::new(), false), []);
    assert_eq!(known_born(&reads.registry), Some(2));
    reads.apply(Millis(300), vec![put_started(2, 9)], false);
    assert_eq!(known_born(&reads.registry), Some(2));
}

/// Renewals to a holder resume once its incarnation has certainly written its entry. If the entry is another one's, the
/// process that runs would get the grants of the one before, with the same tokens.
#[test]
fn an_entry_of_another_incarnation_shows_no_life_of_the_one_before() {
    let mut reads = Reads::start(vec![put_started(2, 1)]);
    let (id, since) = ("a".parse().unwrap(), reads.now);
    reads.apply(Millis(300), vec![put_started(1, 1)], false);
    for _ in 0..5 {
        reads.apply(HEARTBEAT, Vec::new(), false);
        let is_confirmed = reads.registry.has_written_since(&id, since);
        assert!(!is_confirmed || known_born(&reads.registry) == Some(1));
    }
}

/// An entry that expired in an outage is no reason to wait: the store has the later one no more.
#[test]
fn an_entry_with_an_earlier_start_replaces_an_expired_one() {
    let mut reads = Reads::start(vec![put_started(2, 1)]);
    reads.fail(Millis(300));
    reads.apply(Millis(7_700), vec![delete("a")], false);
    assert_eq!(known_born(&reads.registry), Some(2));
    reads.apply(Millis(300), vec![put_started(1, 1)], false);
    assert_eq!(known_born(&reads.registry), Some(1));
}

/// A host took over that an entry is kept from one that knew only the incarnation before, or the deletion before it was written
/// again, and dropped it two seconds later although its upstream was registered.
#[test]
fn an_entry_that_is_registered_again_is_not_kept_for_an_earlier_deletion() {
    let now = HostTime(20_000);
    let kept = |entry| vec![KeptEntry { entry, remaining: Millis(2_000) }];
    let later = |born, seq| RegistryChange::Put(Entry { born, ..entry("a", seq) });
    let mut registry = Registry::new(HEARTBEAT);
    registry.apply_read(vec![later(2, 9)], true, now, now);
    registry.apply_update(Vec::new(), kept(entry("a", 5)), true, now, now);
    assert!(!registry.keeps_entries(), "of a later incarnation");
    let again = Entry { born: 2, ..entry("a", 7) };
    registry.apply_update(Vec::new(), kept(again), true, now, now);
    registry.apply_update(vec![later(2, 8)], Vec::new(), true, now, now);
    assert!(!registry.keeps_entries(), "of one that another host has read again");
    registry.apply_read(Vec::new(), false, now + Millis(3_000), now + Millis(3_000));
    assert_eq!(listed(&registry), ["a"]);
}
