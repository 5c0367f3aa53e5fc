//! The hosts of an availability zone, as another host knows them.
//!
//! Load pattern: all hosts start again at the same time, and none knows which ones there are. If each of them read that
//! from the store, and then the registry as well, the reads of one region would fill the link to the store's region for
//! seconds, and the requests that cross it would fail with them. So a host that starts asks the configured hosts first
//! for those of its zone, a few kilobytes. The largest of these keeps it up to date from then on, and only that one reads
//! the store.
//!
//! When the whole fleet starts for the first time, no host is recorded yet. The hosts that ask tell of themselves, and all
//! hosts of a zone ask the same configured host first, which therefore knows them all after a moment.

use super::{Control, HostRecord, peers};
use crate::client::{ControlClient, Failure, Patience};
use crate::clock;
use crate::store::Topic;
use async_io::Timer;
use futures_lite::FutureExt;
use serde::{Deserialize, Serialize};
use skylarkdock_freshness::reading::Turn;
use skylarkdock_units::ids::Zone;
use skylarkdock_units::times::{HostTime, Millis};
use std::io::ErrorKind;
use std::rc::Rc;
use xxhash_rust::xxh3;

pub(super) const DIRECTORY_PATH: &str = "/hosts";
/// Time after its start for which a host looks for sources at short intervals, and that interval.
const STARTING_TIME: Millis = Millis(2_000);
const STARTING_INTERVAL: Millis = Millis(40);
/// Time in which a connection to a configured host has to open. One that starts a little later answers nothing before, and
/// the hosts of a zone would all wait for it until they read the store themselves.
const CONNECT_TIMEOUT: Millis = Millis(100);
/// Longest time for which a host that does not know the fleet yet holds back its answer.
const DIRECTORY_WAIT: Millis = Millis(250);
/// Time that a host without a configuration waits for the store after its start before it asks any other host, if no
/// other has told it the hosts of its zone.
const FIRST_READ_TIME: Millis = Millis(300);
/// Pause after a request that was not answered.
const RETRY_PAUSE: Millis = Millis(50);

/// Request for the hosts of an availability zone.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct DirectoryRequest {
    zone: Zone,
    /// Host that asks; `None` for a host of an earlier version.
    #[serde(default)]
    host: Option<HostRecord>,
}

/// Starts the task that learns of the hosts of this zone.
pub(super) fn start(control: &Rc<Control>) {
    control.spawn("directory", Rc::clone(control).learn_hosts());
}

impl Control {
    /// Returns whether this host has just started and may still learn from others which ones there are, so that it need
    /// not read the fleet topic.
    pub(super) fn asks_for_hosts(&self, now: HostTime) -> bool {
        let fleet = self.fleet.borrow();
        let own = self.settings.peers;
        let is_seed = self.settings.seeds.contains(&own);
        !is_seed
            && !self.settings.seeds.is_empty()
            && !self.has_asked_for_hosts.get()
            && fleet.known_records.fleet.proof_at.0 == 0
            && now.since(self.started_at) < self.limits.directory_time()
    }

    /// Returns whether this host waits for the first updates on a topic from the largest host of its zone.
    pub(super) fn awaits_first_updates(&self, topic: Topic, now: HostTime) -> bool {
        self.has_asked_for_hosts.get()
            && now.since(self.started_at) < self.limits.first_updates_time()
            && self.fleet.borrow().known_records.proof_at(topic).0 == 0
            && self.turn() != Turn::FIRST
    }

    /// Returns the interval of checks that should soon succeed after a start, and otherwise the given one.
    pub(super) fn at_start(&self, interval: Millis) -> Millis {
        let is_starting = clock::now().since(self.started_at) < STARTING_TIME;
        if is_starting { STARTING_INTERVAL.min(interval) } else { interval }
    }

    /// Returns the time after its start for which a host without a configuration asks no random host for one.
    pub(super) fn first_read_time(&self) -> Millis {
        if self.has_asked_for_hosts.get() {
            self.limits.first_updates_time()
        } else if self.asks_for_hosts(clock::now()) {
            // The answer of a random host would not say which one to follow.
            self.limits.directory_time()
        } else {
            FIRST_READ_TIME
        }
    }

    /// Asks the configured hosts for the hosts of this zone, until one has answered or the time for it has passed.
    async fn learn_hosts(self: Rc<Self>) {
        let seeds = &self.settings.seeds;
        let zone = &self.settings.zone;
        let first = first_seed(zone, seeds.len());
        let request = DirectoryRequest { zone: zone.clone(), host: Some(self.own_record()) };
        let mut next = seeds.iter().cycle().skip(first).peekable();
        while self.asks_for_hosts(clock::now()) {
            let Some(addr) = next.peek().copied().copied() else { return };
            let patience = Patience::whole(self.limits.directory_time());
            let mut caller = ControlClient::new(addr);
            let asked = async {
                caller.connect(CONNECT_TIMEOUT).await?;
                peers::call(&mut caller, DIRECTORY_PATH, &request, patience).await
            };
            let answer = asked.await.map(|body| {
                serde_json::from_slice::<Vec<HostRecord>>(&body)
                    .inspect_err(|e| log::warn!(peer:% = addr, error:% = e; "fleet: can't decode a list of hosts"))
                    .unwrap_or_default()
            });
            match answer {
                Ok(hosts) => {
                    log::info!(peer:% = addr, hosts = hosts.len(); "fleet: learnt the hosts of this zone");
                    let mut fleet = self.fleet.borrow_mut();
                    for host in hosts {
                        // What the store says of a host is newer.
                        if !fleet.hosts.contains_key(&host.host) {
                            fleet.put_host(host);
                        }
                    }
                    self.has_asked_for_hosts.set(true);
                }
                Err(e) => {
                    log::info!(peer:% = addr, error:% = e; "fleet: can't ask for the hosts of this zone");
                    // One that starts at the same time may not listen yet, and another one knows fewer hosts of this zone.
                    let is_starting = matches!(&e, Failure::NotSent(e) if e.kind() == ErrorKind::ConnectionRefused)
                        && clock::now().since(self.started_at) < self.limits.gathering_time();
                    if !is_starting {
                        next.next();
                    }
                    Timer::after(RETRY_PAUSE.duration()).await;
                }
            }
        }
    }

    /// Returns the hosts of a zone: those that are recorded and those that have asked, but for the asking one if it is not
    /// recorded. Returns `None` if this host does not learn of the fleet in time.
    pub(super) async fn on_directory_request(
        &self,
        request: DirectoryRequest,
    ) -> Option<Vec<HostRecord>> {
        let DirectoryRequest { zone, host: asking } = request;
        let asked_at = clock::now();
        if let Some(record) = &asking {
            let mut fleet = self.fleet.borrow_mut();
            if !fleet.hosts.contains_key(&record.host) {
                fleet.put_host(record.clone());
            }
        }
        let is_known = || self.fleet.borrow().known_records.fleet.proof_at.0 > 0;
        self.wait_for_fleet(asked_at + DIRECTORY_WAIT, is_known).await;
        if !is_known() {
            return None;
        }
        if !self.has_recorded_host(&zone) {
            let gathered_at = self.started_at + self.limits.gathering_time();
            self.wait_for_fleet(gathered_at, || self.has_recorded_host(&zone)).await;
        }
        let fleet = self.fleet.borrow();
        let is_listed = |record: &&HostRecord| {
            let is_asking = asking.as_ref().is_some_and(|asking| asking.host == record.host);
            record.zone == zone && (!is_asking || fleet.is_recorded(&record.host))
        };
        Some(fleet.hosts.values().filter(is_listed).cloned().collect())
    }

    /// Waits until a condition on the known fleet holds or a time has come.
    async fn wait_for_fleet(&self, until: HostTime, is_met: impl Fn() -> bool) {
        loop {
            let listener = self.changed.listen();
            if is_met() || clock::now() >= until {
                return;
            }
            let passed = async {
                Timer::at(clock::instant(until)).await;
            };
            listener.or(passed).await;
        }
    }

    fn has_recorded_host(&self, zone: &Zone) -> bool {
        let fleet = self.fleet.borrow();
        fleet.hosts.values().any(|record| record.zone == *zone && fleet.is_recorded(&record.host))
    }
}

/// Returns the index of the configured host that all hosts of a zone ask first.
fn first_seed(zone: &Zone, seeds: usize) -> usize {
    let hash = xxh3::xxh3_64(zone.as_str().as_bytes()) % u64::try_from(seeds.max(1)).unwrap_or(1);
    usize::try_from(hash).unwrap_or_default()
}
