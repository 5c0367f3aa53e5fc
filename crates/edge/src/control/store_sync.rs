//! Synchronization with the store: reads of the operators' configuration, the registry of upstreams and the fleet
//! topic, and writes of ownership tables to the fleet topic.

use super::config_page::ConfigPage;
use super::registry::{Registry, RegistryChange, RegistryPage};
use super::{Control, FleetState, HOST_PREFIX, HostRecord, lost_tables};
use crate::clock;
use crate::store::{Page, Record, StoreError, Topic};
use async_io::Timer;
use metrics::counter;
use skylarkdock_freshness::copies::Position;
use skylarkdock_freshness::reading::{self, Knowledge, Records};
use skylarkdock_freshness::versions;
use skylarkdock_spans::leader::Leader;
use skylarkdock_spans::renewal::Renewals;
use skylarkdock_spans::table::Table;
use skylarkdock_units::collections::FastSet;
use skylarkdock_units::ids::{ServiceName, UpstreamId};
use skylarkdock_units::times::{HostTime, Millis};
use std::rc::Rc;
use std::sync::Arc;

/// Longest time that a read of the fleet topic waits for a record.
const FLEET_WAIT: Millis = Millis(1_500);
/// Time between reads of the registry. They don't wait for a record, as the upstreams' heartbeats arrive all the time.
const REGISTRY_INTERVAL: Millis = Millis(300);
/// Pause after a read of the fleet topic, as all hosts write their records there when they start together: on the leader,
/// whose tables must follow the newest record, and on other hosts.
const LEADER_FLEET_PAUSE: Millis = Millis(100);
const FLEET_PAUSE: Millis = Millis(250);
/// Time after its start within which a host reads the fleet topic before it reads others, to learn which hosts it can ask
/// for them.
const FIRST_FLEET_TIME: Millis = Millis(400);
/// Pause after the first failed call; it doubles with each further failure, as each call is charged for even while the
/// store is unavailable.
const FIRST_RETRY_PAUSE: Millis = Millis(150);
/// Upper limit of the pause after failed calls, without its random part.
const MAX_RETRY_PAUSE: Millis = Millis(900);
/// Prefix of the key of an ownership table's record.
const TABLE_PREFIX: &str = "owners/";

/// Returns how long a read of a topic waits for a record.
const fn max_wait(topic: Topic) -> Millis {
    match topic {
        Topic::Config => reading::CONFIG_WAIT,
        Topic::Upstreams => Millis(0),
        Topic::Fleet => FLEET_WAIT,
    }
}

const fn records_of(topic: Topic) -> Records {
    match topic {
        Topic::Config => Records::Config,
        Topic::Upstreams => Records::Registry,
        Topic::Fleet => Records::Fleet,
    }
}

/// Exponential backoff with jitter for failed reads of a topic.
struct Backoff {
    pause: Millis,
    is_failing: bool,
    topic: Topic,
}

impl Backoff {
    const fn new(topic: Topic) -> Self {
        Self { pause: FIRST_RETRY_PAUSE, is_failing: false, topic }
    }

    fn on_success(&mut self) {
        if self.is_failing {
            log::info!(topic:? = self.topic; "store: reads succeed again");
        }
        self.is_failing = false;
        self.pause = FIRST_RETRY_PAUSE;
    }

    async fn on_failure(&mut self, error: &StoreError) {
        if !self.is_failing {
            log::warn!(topic:? = self.topic, error:? = error; "store: reads fail");
        }
        self.is_failing = true;
        let jitter = fastrand::u64(0..=self.pause.0 / 2);
        Timer::after(Millis(self.pause.0 + jitter).duration()).await;
        self.pause = Millis((self.pause.0 * 2).min(MAX_RETRY_PAUSE.0));
    }
}

/// Reads of a topic that a host makes itself, as no other host keeps it up to date.
#[derive(Default)]
struct OwnReads {
    calls: u32,
    bytes: usize,
}

impl OwnReads {
    fn add(&mut self, topic: Topic, page: &Page) {
        let bytes = size(page);
        self.calls += 1;
        self.bytes += bytes;
        counter!("skylarkdock_store_read_bytes_total", "topic" => format!("{topic:?}").to_lowercase())
            .increment(bytes as u64);
    }
}

/// Returns the size of a page's records in bytes.
fn size(page: &Page) -> usize {
    page.records.iter().map(|record| record.key.len() + record.value.len()).sum()
}

/// Starts one task for each topic that keeps its records up to date.
pub(super) fn start(control: &Rc<Control>) {
    for topic in [Topic::Config, Topic::Upstreams, Topic::Fleet] {
        control.spawn("store", Rc::clone(control).read_topic(topic));
    }
}

/// Returns the key of the record of a service's ownership table.
pub(super) fn table_key(service: &ServiceName) -> String {
    format!("{TABLE_PREFIX}{service}")
}

impl Control {
    /// Reads a topic of the store again and again, except while another host keeps this one up to date on it.
    async fn read_topic(self: Rc<Self>, topic: Topic) {
        let mut cursor: Option<u64> = None;
        let mut backoff = Backoff::new(topic);
        let mut own_reads: Option<OwnReads> = None;
        loop {
            if self.is_updated_by_peer(topic) {
                if let Some(OwnReads { calls, bytes }) = own_reads.take() {
                    log::info!(topic:? = topic, calls, bytes; "store: another host keeps this one up to date again");
                }
                cursor = self.fleet.borrow().known_records.next(topic);
                if topic == Topic::Upstreams {
                    self.fleet.borrow_mut().known_records.set_reads_fail(false);
                }
                let known = self.knowledge(topic, clock::now());
                let interval = reading::check_interval(self.limits, records_of(topic), &known);
                Timer::after(self.at_start(interval).duration()).await;
                continue;
            }
            if topic == Topic::Upstreams {
                // Updates may have replaced what this host read last.
                cursor = self.fleet.borrow().known_records.next(topic);
            }
            let asked_at = clock::now();
            if own_reads.is_none() {
                let fleet = self.fleet.borrow();
                let age = asked_at.since(fleet.known_records.proof_at(topic));
                let has_source = fleet.known_records.has_source();
                let turn = self.turn();
                log::info!(topic:? = topic, age:% = age, has_source, turn:% = turn, leads = self.is_leader.get(), is_whole = cursor.is_none(); "store: this host reads it itself");
            }
            let reads = own_reads.get_or_insert_default();
            match self.read_page(topic, cursor, asked_at).await {
                Ok((page, is_whole)) => {
                    backoff.on_success();
                    reads.add(topic, &page);
                    if topic == Topic::Upstreams {
                        let latency = clock::now().since(asked_at);
                        self.registry_read_at.set(Some(asked_at));
                        self.registry_read.notify(usize::MAX);
                        self.min_store_latency.set(self.min_store_latency.get().min(latency));
                        self.fleet.borrow_mut().known_records.set_reads_fail(false);
                        if !self.fits_registry(cursor, is_whole, asked_at) {
                            Timer::after(REGISTRY_INTERVAL.duration()).await;
                            continue;
                        }
                    }
                    self.publish_together(|| {
                        cursor = self.apply_evacuations(topic, &page, cursor.filter(|_| !is_whole));
                        self.apply_page(topic, page, is_whole, asked_at);
                    });
                    if topic == Topic::Fleet {
                        let leads = self.is_leader.get();
                        let pause = if leads { LEADER_FLEET_PAUSE } else { FLEET_PAUSE };
                        Timer::after(pause.duration()).await;
                    }
                    if topic == Topic::Upstreams {
                        Timer::after(REGISTRY_INTERVAL.duration()).await;
                    }
                }
                Err(StoreError::Deleted) => {
                    log::info!(topic:? = topic; "store: records at the read offset were deleted; reading the newest record of each key");
                    cursor = None;
                    if topic == Topic::Upstreams {
                        self.fleet.borrow_mut().known_records.registry_next = None;
                    }
                }
                Err(e) => {
                    if topic == Topic::Upstreams {
                        let mut fleet = self.fleet.borrow_mut();
                        fleet.registry.on_failed_read(asked_at);
                        fleet.known_records.set_reads_fail(true);
                    }
                    backoff.on_failure(&e).await;
                }
            }
        }
    }

    /// Returns whether a page of the registry, read from an offset on, fits what this host knows. Meanwhile another host may
    /// have sent a later state, which the page must not replace, or one that the changes in it don't continue.
    fn fits_registry(&self, from: Option<u64>, is_whole: bool, asked_at: HostTime) -> bool {
        let fleet = self.fleet.borrow();
        let known = &fleet.known_records;
        known.proof_at(Topic::Upstreams) <= asked_at
            && (is_whole || known.next(Topic::Upstreams) == from)
    }

    /// Reads the records from an offset on, or the newest record of each key without one, or if so many records are missing
    /// that most of them are replaced. Returns whether the page contains all keys.
    async fn read_page(
        &self,
        topic: Topic,
        next: Option<u64>,
        asked_at: HostTime,
    ) -> Result<(Page, bool), StoreError> {
        let age = asked_at.since(self.fleet.borrow().known_records.proof_at(topic));
        let mut next = next;
        if let Some(offset) = next
            && reading::skips_replaced(self.limits, records_of(topic), age)
        {
            counter!("skylarkdock_store_calls_total", "call" => "read").increment(1);
            match (self.store.end)(topic).await {
                Ok(end) => next = next.filter(|_| end <= offset + 1),
                Err(e @ (StoreError::Unanswered(_) | StoreError::EarlierCopy)) => return Err(e),
                Err(e) => {
                    log::warn!(topic:? = topic, error:% = e; "store: the end of a topic could not be read");
                }
            }
        }
        let is_whole = next.is_none();
        self.lateness.on_read(topic, is_whole, asked_at);
        counter!("skylarkdock_store_calls_total", "call" => "read").increment(1);
        let read = match next {
            None => (self.store.newest)(topic).await,
            Some(next) => (self.store.read)(topic, next, max_wait(topic)).await,
        };
        self.lateness.on_read_end(topic);
        if is_whole {
            let took = clock::now().since(asked_at);
            match &read {
                Ok(page) => {
                    log::info!(topic:? = topic, bytes = size(page), took:% = took; "store: whole records were read");
                }
                Err(e) => {
                    log::info!(topic:? = topic, error:% = e, took:% = took; "store: whole records could not be read");
                }
            }
        }
        read.map(|page| (page, is_whole))
    }

    /// Returns whether another host keeps this one up to date on a topic, so that it need not read the store itself. After
    /// a read of its own, it gives other hosts some time to do so.
    pub(super) fn is_updated_by_peer(&self, topic: Topic) -> bool {
        // Updates omit heartbeats. Suspended renewals resume on a heartbeat, so they need the registry itself.
        let needs_heartbeats = topic == Topic::Upstreams
            && self
                .owners
                .borrow()
                .renewals
                .values()
                .any(|renewals| !renewals.suspended().is_empty());
        let now = clock::now();
        // Keepers replace the leader as readers of the store if it can't read it, or no longer leads and may only return
        // what it was told. If all hosts did, they would overload the store.
        let replaces_leader = topic != Topic::Fleet
            && self.is_keeper()
            && (self.fleet.borrow().known_records.source_reads_fail() || self.lacks_leader(now));
        let records = records_of(topic);
        !needs_heartbeats
            && !self.must_read_evacuations(topic, now)
            && !self.is_leader.get()
            && !replaces_leader
            && (self.waits_for_fleet(topic, now)
                || !reading::reads_store(self.limits, records, &self.knowledge(topic, now)))
    }

    /// Returns whether this host has just started and does not know yet which hosts it can ask for a topic.
    fn waits_for_fleet(&self, topic: Topic, now: HostTime) -> bool {
        if self.asks_for_hosts(now) || self.awaits_first_updates(topic, now) {
            return true;
        }
        topic != Topic::Fleet
            && now.since(self.started_at) < FIRST_FLEET_TIME
            && self.fleet.borrow().known_records.proof_at(Topic::Fleet).0 == 0
    }

    fn knowledge(&self, topic: Topic, now: HostTime) -> Knowledge {
        let turn = self.turn();
        let fleet = self.fleet.borrow();
        let known = &fleet.known_records;
        let age = |topic| now.since(known.proof_at(topic).max(self.started_at));
        Knowledge {
            age: age(topic),
            registry_age: age(Topic::Upstreams),
            is_known: known.proof_at(topic).0 > 0,
            reads_whole: known.next(topic).is_none(),
            leader_age: known.leader_seen_at().map(|seen_at| now.since(seen_at)),
            has_source: known.has_source() && !self.is_source_late.get(),
            turn,
        }
    }

    /// Applies a page of a topic, of which the store had no newer records at `asked_at`: the time at which this host
    /// sent the read or, for updates, the computed time for which the other host had proof. With `is_whole` the page
    /// contains all keys of the topic.
    pub(super) fn apply_page(&self, topic: Topic, page: Page, is_whole: bool, asked_at: HostTime) {
        self.record_copy(page.next);
        match topic {
            Topic::Config => {
                // An invalid configuration must not replace a valid one, neither here nor on hosts that get updates
                // from this one.
                let next = page.next;
                let records = self.apply_config(page, is_whole).into_iter().collect();
                let mut fleet = self.fleet.borrow_mut();
                // The record counts as known even if it can't be read: reading it once more would not help.
                let page = Page { records, next };
                fleet.known_records.record_page(topic, &page, false, asked_at);
                if fleet.unread_config.is_none() && fleet.store_copy.shows_newest(asked_at) {
                    let version = fleet.config.as_ref().map_or(0, |config| config.version);
                    self.status.set_config_proof(asked_at, version);
                }
            }
            Topic::Upstreams => {
                if is_whole || !page.records.is_empty() {
                    self.registry_pages.set(self.registry_pages.get() + 1);
                }
                self.fleet.borrow_mut().known_records.record_page(topic, &page, is_whole, asked_at);
                let page = self.decode_entries(&page, is_whole);
                self.change_registry(|registry, now| registry.apply_page(page, asked_at, now));
                self.resume_holders();
            }
            Topic::Fleet => {
                self.fleet.borrow_mut().known_records.record_page(topic, &page, is_whole, asked_at);
                self.apply_fleet(&page, asked_at);
            }
        }
    }

    /// Records the copy of the store that an offset belongs to.
    pub(super) fn record_copy(&self, offset: u64) {
        let copy = Position::of(offset).copy;
        let mut fleet = self.fleet.borrow_mut();
        if let Some(before) = fleet.store_copy.on_records(copy, clock::now()) {
            fleet.registry.on_restored(clock::now());
            counter!("skylarkdock_store_restored_total").increment(1);
            log::warn!(before:% = before, copy:% = copy; "store: it came back from an older copy");
        }
    }

    /// Puts the newest valid configuration of a page in force and returns its record; `None` if the page has none or
    /// the one in force is newer. With `is_whole` the page has the newest record of each key.
    fn apply_config(&self, page: Page, is_whole: bool) -> Option<Record> {
        let known = self.fleet.borrow_mut().unread_config.take();
        let was_unread = known.is_some();
        let page = ConfigPage::read(page, is_whole, known, self.store.decode_config);
        for (record, e) in &page.rejected {
            counter!("skylarkdock_records_ignored_total", "topic" => "config").increment(1);
            log::error!(key = record.key.as_str(), error:% = e; "config: rejected");
        }
        if was_unread && page.unread.is_none() {
            log::info!("config: the record that could not be read has been replaced");
        }
        let has_unread_news = !page.rejected.is_empty();
        self.fleet.borrow_mut().unread_config = page.unread;
        if has_unread_news {
            self.changed.notify(usize::MAX);
        }
        let known = self.fleet.borrow().config.as_ref().map_or(0, |known| known.version);
        let newest = page.newest.filter(|(config, _)| config.version >= known);
        newest.map(|(config, record)| {
            if known < config.version {
                log::info!(version = config.version, routes = config.routes.len(); "config: in force");
                let absent_at = self.fleet.borrow().known_records.proof_at(Topic::Config);
                self.record_config_publication(absent_at, None);
                self.fleet.borrow_mut().config = Some(Arc::new(config));
                self.publish();
            }
            record
        })
    }

    /// Records from when on the configuration that is now in force may have been published; see
    /// [`versions::published_after`].
    pub(super) fn record_config_publication(&self, absent_at: HostTime, told: Option<HostTime>) {
        let limits = versions::Limits::new(self.settings.apply_time);
        self.fleet.borrow_mut().config_published_after =
            versions::published_after(absent_at, told, limits, clock::now());
    }

    /// Decodes a page of the registry. Entries that can't be decoded are logged.
    fn decode_entries(&self, page: &Page, is_whole: bool) -> RegistryPage {
        let mut changes = Vec::new();
        let mut unreadable: FastSet<UpstreamId> = FastSet::default();
        for record in &page.records {
            let id: Option<UpstreamId> = record.key.parse().ok();
            if record.value.is_empty() {
                if let Some(id) = id {
                    unreadable.remove(&id);
                    changes.push(RegistryChange::Drop(id));
                }
                continue;
            }
            match (self.store.decode_entry)(record) {
                Ok(mut entry) => {
                    entry.region = self.settings.zones.get(&entry.zone).cloned();
                    unreadable.remove(&entry.id);
                    changes.push(RegistryChange::Put(entry));
                }
                Err(e) => {
                    counter!("skylarkdock_records_ignored_total", "topic" => "upstreams")
                        .increment(1);
                    log::warn!(key = record.key.as_str(), error:% = e; "registry: entry ignored");
                    unreadable.extend(id);
                }
            }
        }
        RegistryPage { changes, unreadable, is_whole }
    }

    /// Changes the registry with `apply`, which returns the changes that are more than heartbeats, and passes those on.
    pub(super) fn change_registry(
        &self,
        apply: impl FnOnce(&mut Registry, HostTime) -> Vec<RegistryChange>,
    ) {
        let is_changed = {
            let mut fleet = self.fleet.borrow_mut();
            if let Some(config) = fleet.config.clone() {
                let cold = config.services.iter().filter(|info| info.cold.is_some());
                fleet.registry.set_cold_services(cold.map(|info| &info.name));
            }
            let significant = apply(&mut fleet.registry, clock::now());
            fleet.known_records.record_changes(&significant);
            fleet.known_records.keeps_entries = fleet.registry.keeps_entries();
            let FleetState { service_ms, registry, .. } = &mut *fleet;
            service_ms.retain(|id, _| registry.entry(id).is_some());
            !significant.is_empty()
        };
        if is_changed {
            self.publish();
        }
    }

    fn apply_fleet(&self, page: &Page, asked_at: HostTime) {
        let mut changed = false;
        for record in &page.records {
            changed |= self.apply_fleet_record(record);
        }
        {
            let mut fleet = self.fleet.borrow_mut();
            fleet.fleet_end = fleet.fleet_end.max(page.next);
        }
        {
            let fleet = self.fleet.borrow();
            for (service, renewals) in &mut self.owners.borrow_mut().renewals {
                let is_readable = !fleet.unreadable_tables.contains(&table_key(service));
                renewals.on_read(asked_at, lost_tables::copy_of(page.next), is_readable);
            }
        }
        if changed {
            self.publish();
        }
    }

    /// Applies a record of the fleet topic. Returns whether the known hosts or tables may have changed.
    fn apply_fleet_record(&self, record: &Record) -> bool {
        if let Some(name) = record.key.strip_prefix(HOST_PREFIX) {
            if record.value.is_empty() {
                return name.parse().is_ok_and(|host| self.fleet.borrow_mut().remove_host(&host));
            }
            match serde_json::from_slice::<HostRecord>(&record.value) {
                Ok(host) => return self.fleet.borrow_mut().put_host(host),
                Err(e) => log::warn!(key = record.key.as_str(), error:% = e; "fleet: host ignored"),
            }
            return false;
        }
        if !record.key.starts_with(TABLE_PREFIX) {
            return false;
        }
        let table = {
            let mut readers = self.table_readers.borrow_mut();
            readers.entry(record.key.clone()).or_default().read(&record.value)
        };
        let table = match table {
            Ok(table) if table.check().is_ok() => Some(table),
            Ok(_) => {
                log::error!(key = record.key.as_str(); "fleet: inconsistent table ignored");
                None
            }
            Err(e) => {
                log::warn!(key = record.key.as_str(), error:% = e; "fleet: table ignored");
                None
            }
        };
        self.fleet.borrow_mut().unreadable_tables.record(
            &record.key,
            table.is_some(),
            clock::now(),
        );
        table.is_some_and(|table| self.adopt_table(table))
    }

    /// Replaces the ownership table of a service if this one is newer, and returns whether it is. A newer table of another
    /// leader ends the leadership of this host.
    pub(super) fn adopt_table(&self, table: Table) -> bool {
        let is_led_by_other = table.leader != self.settings.host;
        let mut owners = self.owners.borrow_mut();
        let name = table.service.clone();
        let known =
            owners.renewals.get(&name).and_then(Renewals::table).map_or(0, |known| known.version);
        let is_newer = table.version > known;
        if is_led_by_other && is_newer && self.is_leader.replace(false) {
            log::info!(leader:% = table.leader; "fleet: another host leads");
            owners.leaders.clear();
        }
        if let Some(leader) = owners.leaders.get_mut(&name) {
            leader.on_table(&table);
        }
        let renewals = owners.renewals.entry(name).or_insert_with(|| {
            let (host, region) = (self.settings.host.clone(), self.settings.region.clone());
            Renewals::new(host, region, self.timing, self.started_at)
        });
        renewals.adopt(table);
        is_newer
    }

    /// Writes a table to the store in place of the recorded one that it was planned for. Returns `true` only if the store
    /// confirmed it.
    pub(super) async fn write_table(&self, table: &Table) -> bool {
        let is_confirmed = {
            let owners = self.owners.borrow();
            let renewals = owners.renewals.get(&table.service);
            renewals.is_none_or(|renewals| renewals.confirm_write(table))
        };
        let end = self.fleet.borrow().fleet_end;
        if !is_confirmed || !table.is_planned_for(lost_tables::copy_of(end)) {
            log::info!(service:% = table.service, version = table.version; "owners: table not written, as another was recorded since it was planned, or the store came back from an older copy");
            return false;
        }
        let value = match serde_json::to_vec(table) {
            Ok(value) => value,
            Err(e) => {
                log::error!("fleet: can't encode an ownership table: {e}");
                return false;
            }
        };
        let record = Record { key: table_key(&table.service), value };
        counter!("skylarkdock_store_calls_total", "call" => "append").increment(1);
        let asked_at = clock::now();
        match (self.store.append)(vec![record.clone()], Some(end)).await {
            Ok(end) => {
                let mut fleet = self.fleet.borrow_mut();
                fleet.fleet_end = fleet.fleet_end.max(end);
                fleet.unreadable_tables.record(&record.key, true, asked_at);
                // Hosts that start in an outage need the table even if this host can't read it any more.
                let page = Page { records: vec![record], next: end };
                fleet.known_records.record_page(Topic::Fleet, &page, false, asked_at);
                true
            }
            Err(StoreError::Conflict) => {
                log::info!(service:% = table.service, version = table.version; "owners: table not recorded, as other records were appended before it");
                self.refresh_fleet().await;
                false
            }
            Err(e) => {
                log::info!(service:% = table.service, version = table.version, error:% = e; "owners: table not recorded");
                false
            }
        }
    }

    /// Reads the fleet topic from the store, after a conflict showed that this host lacks records.
    async fn refresh_fleet(&self) {
        let asked_at = clock::now();
        match (self.store.newest)(Topic::Fleet).await {
            Ok(page) if page.next >= self.fleet.borrow().fleet_end => {
                self.apply_page(Topic::Fleet, page, true, asked_at);
            }
            Ok(_) => {}
            Err(e) => log::info!("fleet: can't read the records after a conflict: {e}"),
        }
    }

    /// Creates the leader state of a service, which resumes from the recorded table if there is one.
    pub(super) fn new_leader(
        &self,
        service: &skylarkdock_units::ids::ServiceName,
        table: Option<Table>,
    ) -> Leader {
        Leader::new(self.settings.host.clone(), service.clone(), self.timing, table)
    }
}
