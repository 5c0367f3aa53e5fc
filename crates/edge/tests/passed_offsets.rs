//! Hosts that got the registry from others, through several hosts, and read it on from the offset that came with it.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_edge::control::known_records::KnownRecords;
use skylarkdock_edge::control::registry::{KeptEntry, Registry, RegistryChange};
use skylarkdock_edge::store::{Page, Topic};
use skylarkdock_edge::view::Entry;
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::BTreeMap;

const HEARTBEAT: Millis = Millis(870);
const HOSTS: usize = 4;
/// Differences of times between hosts: the latency of a call, and that up to which proofs count as equally old.
const MAX_LATENCY_MS: u64 = 30;
const PROOF_TOLERANCE: Millis = Millis(40);

fn entry(id: u64, born: u64, seq: u64, is_leaving: bool) -> Entry {
    Entry {
        id: format!("i-{id}").parse().unwrap(),
        born,
        service: "s".parse().unwrap(),
        addr: ([127, 0, 0, 1], 9_000).into(),
        zone: "z".parse().unwrap(),
        region: None,
        slots: 2,
        is_leaving,
        cold: Millis(0),
        seq,
    }
}

/// Entries with whether their upstreams are leaving.
type Listed = BTreeMap<String, bool>;

struct Host {
    registry: Registry,
    known: KnownRecords,
    /// Source of updates, its run and the version of its registry up to which this host has the changes.
    source: usize,
    received: (u64, u64),
    /// Read of the store whose answer has not arrived yet.
    asked: Option<Asked>,
}

/// Read of the store and its answer.
struct Asked {
    from: Option<u64>,
    changes: Vec<RegistryChange>,
    next: u64,
    asked_at: HostTime,
}

impl Host {
    fn new() -> Self {
        let (registry, known) = (Registry::new(HEARTBEAT), KnownRecords::default());
        Self { registry, known, source: 0, received: (0, 0), asked: None }
    }

    fn listed(&self) -> Listed {
        let listed = self.registry.listed();
        listed.map(|l| (l.entry.id.to_string(), l.entry.is_leaving)).collect()
    }

    fn record(&mut self, changes: &[RegistryChange]) {
        self.known.record_changes(changes);
        self.known.keeps_entries = self.registry.keeps_entries();
    }
}

struct Fleet {
    rng: fastrand::Rng,
    now: HostTime,
    log: Vec<RegistryChange>,
    hosts: Vec<Host>,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let hosts = (0..HOSTS).map(|_| Host::new()).collect();
        Self { rng: fastrand::Rng::with_seed(seed), now: HostTime(10_000), log: Vec::new(), hosts }
    }

    /// Returns the entries of the store.
    fn stored(&self) -> BTreeMap<String, Entry> {
        let mut stored = BTreeMap::new();
        for change in &self.log {
            match change {
                RegistryChange::Put(entry) => stored.insert(entry.id.to_string(), entry.clone()),
                RegistryChange::Drop(id) => stored.remove(&id.to_string()),
            };
        }
        stored
    }

    /// An upstream starts, writes its entry again, says that it leaves, or is gone.
    fn write(&mut self) {
        let (id, seq) = (self.rng.u64(..6), 1 + self.log.len() as u64);
        let drop = RegistryChange::Drop(format!("i-{id}").parse().unwrap());
        let known = self.stored().remove(&format!("i-{id}"));
        let change = match (known, self.rng.u8(..4)) {
            (None, _) => RegistryChange::Put(entry(id, seq, seq, false)),
            (Some(known), 0) => RegistryChange::Put(entry(id, known.born, seq, known.is_leaving)),
            (Some(known), 1) => RegistryChange::Put(entry(id, known.born, seq, true)),
            (Some(_), 2) => RegistryChange::Put(entry(id, seq, seq, false)),
            (Some(_), _) => drop,
        };
        self.log.push(change);
    }

    /// Lets a host get what it last asked the store for, and ask again.
    fn read(&mut self, index: usize) {
        self.finish_read(index);
        let stored = self.stored();
        let from = self.hosts[index].known.next(Topic::Upstreams);
        let changes = match from {
            Some(from) => self.log[usize::try_from(from).unwrap()..].to_vec(),
            None => stored.into_values().map(RegistryChange::Put).collect(),
        };
        // Over a full link a call may arrive at the store long after it was sent.
        let longest = if self.rng.u8(..4) == 0 { 3_000 } else { MAX_LATENCY_MS };
        let asked_at = HostTime(self.now.0 - self.rng.u64(..longest));
        let next = self.log.len() as u64;
        self.hosts[index].asked = Some(Asked { from, changes, next, asked_at });
        if self.rng.bool() {
            self.finish_read(index);
        }
    }

    fn finish_read(&mut self, index: usize) {
        let (now, host) = (self.now, &mut self.hosts[index]);
        let Some(Asked { from, changes, next, asked_at }) = host.asked.take() else { return };
        let is_whole = from.is_none();
        let fits = is_whole || host.known.next(Topic::Upstreams) == from;
        if !fits || host.known.registry_proof_at > asked_at {
            return;
        }
        if is_whole || !changes.is_empty() {
            host.received = (0, 0);
        }
        let page = Page { records: Vec::new(), next };
        host.known.record_page(Topic::Upstreams, &page, is_whole, asked_at);
        let significant = host.registry.apply_read(changes, is_whole, asked_at, now);
        host.record(&significant);
    }

    /// Sends a host updates of another one, as `updates` does.
    fn update(&mut self, index: usize, source: usize) {
        if self.hosts[index].source != source {
            self.hosts[index].received = (0, 0);
            self.hosts[index].source = source;
        }
        let (now, latency) = (self.now, self.rng.u64(..MAX_LATENCY_MS));
        let from = &self.hosts[source];
        if from.known.registry_proof_at.0 == 0 {
            return;
        }
        let (run, version) = self.hosts[index].received;
        let missing = from.known.version.checked_sub(version);
        let missing = missing.and_then(|count| usize::try_from(count).ok());
        let missing =
            missing.filter(|count| from.known.run == run && *count <= from.known.changes.len());
        let (changes, kept): (Vec<RegistryChange>, Vec<KeptEntry>) = match missing {
            Some(count) => {
                let changes = from.known.changes.iter();
                (changes.skip(from.known.changes.len() - count).cloned().collect(), Vec::new())
            }
            None => {
                let puts = from.registry.confirmed().cloned().map(RegistryChange::Put);
                (puts.collect(), from.registry.kept(now).collect())
            }
        };
        let is_whole = missing.is_none();
        let received = (from.known.run, from.known.version);
        let next = from.known.registry_next_for_others();
        let proof_at = HostTime(from.known.registry_proof_at.0 - latency);
        let host = &mut self.hosts[index];
        let tolerance = if is_whole { Millis(0) } else { PROOF_TOLERANCE };
        if proof_at + tolerance < host.known.registry_proof_at {
            host.received = (0, 0);
            return;
        }
        host.received = received;
        host.known.registry_proof_at = host.known.registry_proof_at.max(proof_at);
        host.known.registry_next = next;
        let significant = host.registry.apply_update(changes, kept, is_whole, proof_at, now);
        host.record(&significant);
    }

    /// Lets hosts read the store, update each other and lose the store for a while, as at random.
    fn run(&mut self, steps: usize) {
        let mut refused = [false; HOSTS];
        for _ in 0..steps {
            self.now = self.now + Millis(self.rng.u64(1..400));
            let index = self.rng.usize(..HOSTS);
            match self.rng.u8(..10) {
                0..3 => self.write(),
                3 => refused[index] = !refused[index],
                4 => refused = [self.rng.bool(); HOSTS],
                5 | 6 if refused[index] => self.hosts[index].registry.on_failed_read(self.now),
                5 | 6 => self.read(index),
                _ => {
                    let source = (index + self.rng.usize(1..HOSTS)) % HOSTS;
                    self.update(index, source);
                }
            }
        }
    }
}

/// An upstream that a host still lists although its entry is gone, or that it takes for one that stays, gets requests for as
/// long as the host only reads changes.
#[rstest]
fn a_host_that_reads_on_knows_what_one_knows_that_reads_all(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    for case in 0..1_000 {
        let mut fleet = Fleet::new(seed * 100_000 + case);
        fleet.run(120);
        // Entries that are kept have expired by then.
        for _ in 0..2 {
            fleet.now = fleet.now + Millis(5_000);
            for index in 0..HOSTS {
                fleet.hosts[index].asked = None;
                fleet.read(index);
                fleet.finish_read(index);
            }
        }
        let stored = fleet.stored();
        let stored: Listed = stored.into_iter().map(|(id, e)| (id, e.is_leaving)).collect();
        for (index, host) in fleet.hosts.iter().enumerate() {
            assert_eq!(host.listed(), stored, "host {index} of case {case}");
        }
    }
}
