//! A host that is told of changes of the registry knows the same upstreams as the one that reads them.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_edge::control::registry::{KeptEntry, Registry, RegistryChange, RegistryPage};
use skylarkdock_edge::view::Entry;
use skylarkdock_units::times::{HostTime, Millis};

const HEARTBEAT: Millis = Millis(870);
/// Time between two reads.
const INTERVAL: Millis = Millis(300);

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

/// A registry that is read from the store, and one that is told of its changes.
struct Hosts {
    reader: Registry,
    follower: Registry,
    now: HostTime,
}

impl Hosts {
    fn start(entries: Vec<Entry>) -> Self {
        let mut hosts = Self {
            reader: Registry::new(HEARTBEAT),
            follower: Registry::new(HEARTBEAT),
            now: HostTime(10_000),
        };
        hosts.read(entries, true);
        hosts
    }

    fn read(&mut self, entries: Vec<Entry>, is_whole: bool) {
        self.now = self.now + INTERVAL;
        let entries = entries.into_iter().map(RegistryChange::Put).collect();
        let changes = self.reader.apply_read(entries, is_whole, self.now, self.now);
        self.follower.apply_update(changes, Vec::new(), false, self.now, self.now);
    }

    /// Reads entries, and that the newest ones of some upstreams can't be read.
    fn read_unreadable(&mut self, entries: Vec<Entry>, unreadable: &[&str], is_whole: bool) {
        self.now = self.now + INTERVAL;
        let entries = entries.into_iter().map(RegistryChange::Put).collect();
        let unreadable = unreadable.iter().map(|id| id.parse().unwrap()).collect();
        let page = RegistryPage { changes: entries, unreadable, is_whole };
        let changes = self.reader.apply_page(page, self.now, self.now);
        self.follower.apply_update(changes, Vec::new(), false, self.now, self.now);
    }

    /// Tells the follower of all entries, as if it had missed changes.
    fn tell_all(&mut self) {
        let changes = self.reader.confirmed().cloned().map(RegistryChange::Put).collect();
        let kept: Vec<KeptEntry> = self.reader.kept(self.now).collect();
        self.follower.apply_update(changes, kept, true, self.now, self.now);
    }

    fn follower_entry(&self, id: &str) -> Option<&Entry> {
        self.follower.entry(&id.parse().unwrap())
    }
}

/// Another writer's entry had a higher number of heartbeats than the upstream's own ones after it. Followers took those
/// for older, and went on sending requests to an upstream that leaves.
#[rstest]
#[case::told_of_each_change(false)]
#[case::told_of_all_entries(true)]
fn an_entry_with_a_high_sequence_number_does_not_hide_later_ones(#[case] is_told_all: bool) {
    let mut hosts = Hosts::start(vec![entry("a", 5)]);
    hosts.read(vec![Entry { slots: 3, ..entry("a", u64::MAX) }], false);
    if is_told_all {
        hosts.tell_all();
    }
    let leaving = Entry { is_leaving: true, ..entry("a", 6) };
    if is_told_all {
        hosts.reader.apply_read(
            vec![RegistryChange::Put(leaving.clone())],
            false,
            hosts.now,
            hosts.now,
        );
        hosts.tell_all();
    } else {
        hosts.read(vec![leaving.clone()], false);
    }
    assert_eq!(hosts.reader.entry(&leaving.id), Some(&leaving));
    assert_eq!(hosts.follower_entry("a"), Some(&leaving));
}

/// The entry under an upstream's id is another writer's. The upstream may have ended, so its former entry must not stay in
/// use for good; or it goes on, and then its keys must not move because of that.
#[rstest]
#[case::changes(false)]
#[case::all_entries(true)]
fn an_upstream_is_kept_after_an_unreadable_entry_until_it_may_have_written_again(
    #[case] is_whole: bool,
    #[values(false, true)] writes_again: bool,
) {
    let mut hosts = Hosts::start(vec![entry("a", 5), entry("b", 5)]);
    let others = if is_whole { vec![entry("b", 5)] } else { Vec::new() };
    let unreadable_at = hosts.now;
    hosts.read_unreadable(others.clone(), &["a"], is_whole);
    while hosts.now < unreadable_at + Millis(2 * HEARTBEAT.0) {
        assert!(hosts.follower_entry("a").is_some(), "dropped at {}", hosts.now);
        hosts.read_unreadable(others.clone(), &["a"], is_whole);
    }
    let last = if writes_again { vec![entry("a", 6), entry("b", 6)] } else { vec![entry("b", 6)] };
    for _ in 0..3 {
        hosts.read(last.clone(), is_whole);
    }
    assert_eq!(hosts.reader.entry(&"a".parse().unwrap()).is_some(), writes_again);
    assert_eq!(hosts.follower_entry("a").is_some(), writes_again);
    assert!(hosts.follower_entry("b").is_some());
    hosts.tell_all();
    assert_eq!(hosts.follower_entry("a").is_some(), writes_again);
}

/// An upstream that writes its entry all the time must not be dropped, however often another writer replaces it.
#[test]
fn an_upstream_whose_entry_is_replaced_again_and_again_stays() {
    let mut hosts = Hosts::start(vec![entry("a", 5)]);
    for round in 0..40 {
        // The last record in the log is the other writer's.
        let own = if round % 3 == 0 { vec![entry("a", 6 + round)] } else { Vec::new() };
        hosts.read_unreadable(own, &["a"], false);
        assert!(hosts.follower_entry("a").is_some(), "dropped in round {round}");
    }
}

/// The follower went on sending requests to an upstream that leaves, as it did not take over what an entry said that its
/// source keeps for a time only.
#[test]
fn a_change_just_before_an_unreadable_entry_is_known_to_a_host_that_is_told_of_all_entries() {
    let mut hosts = Hosts::start(vec![entry("a", 5)]);
    let leaving = Entry { is_leaving: true, ..entry("a", 6) };
    let page = RegistryPage {
        changes: vec![RegistryChange::Put(leaving.clone())],
        unreadable: std::iter::once(leaving.id.clone()).collect(),
        is_whole: false,
    };
    hosts.now = hosts.now + INTERVAL;
    hosts.reader.apply_page(page, hosts.now, hosts.now);
    hosts.tell_all();
    assert_eq!(hosts.follower_entry("a"), Some(&leaving));
}

#[test]
fn an_unreadable_entry_lists_no_upstream_that_is_not_known() {
    let mut hosts = Hosts::start(vec![entry("a", 5)]);
    hosts.read_unreadable(Vec::new(), &["odd"], false);
    hosts.read_unreadable(vec![entry("a", 5)], &["odd"], true);
    assert_eq!(hosts.reader.listed().count(), 1);
    assert_eq!(hosts.follower.listed().count(), 1);
}

/// The answers of two sources may overlap, so that an earlier state comes after a later one.
#[test]
fn a_change_of_an_earlier_heartbeat_does_not_replace_a_later_one() {
    let mut hosts = Hosts::start(vec![entry("a", 5)]);
    let leaving = Entry { is_leaving: true, ..entry("a", 6) };
    hosts.read(vec![leaving.clone()], false);
    let earlier = RegistryChange::Put(entry("a", 5));
    hosts.follower.apply_update(vec![earlier], Vec::new(), false, hosts.now, hosts.now);
    assert_eq!(hosts.follower_entry("a"), Some(&leaving));
}
