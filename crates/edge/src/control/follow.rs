//! Following the store: configuration, upstreams and the hosts' own records.

use super::{Control, HostRecord};
use crate::clock;
use crate::store::{Page, Record, StoreError, Topic};
use async_io::Timer;
use skylarkdock_spans::keep::Keep;
use skylarkdock_spans::lead::Lead;
use skylarkdock_spans::table::Table;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::times::{HostTime, Millis};
use std::rc::Rc;
use std::sync::Arc;

/// Longest wait of a read for a record.
const READ_WAIT: Millis = Millis(4_000);
/// Time between reads of the upstreams' entries. Their signs of life come all the time, so a waiting read would never
/// wait.
const REGISTRY_INTERVAL: Millis = Millis(500);
/// First and longest pause after a failed call. Each call is charged for, also while the store is away.
const FIRST_RETRY: Millis = Millis(150);
const MAX_RETRY: Millis = Millis(900);
/// Time between signs of life to the group that chooses the leader.
const JOIN_INTERVAL: Millis = Millis(1_000);
/// Time after the last sign of life that was taken from which another host may lead.
const LEADER_LIFETIME: Millis = Millis(2_800);

/// Prefix of a host's record.
const HOST_PREFIX: &str = "host/";
/// Prefix of a table's record.
const TABLE_PREFIX: &str = "owners/";

/// The newest records as read, for hosts that can't reach the store.
#[derive(Default)]
pub(super) struct RawRecords {
    topics: FastMap<Topic, RawTopic>,
}

/// The newest records of one topic.
#[derive(Default, Clone)]
pub(super) struct RawTopic {
    pub(super) records: FastMap<String, Vec<u8>>,
    pub(super) next: u64,
    pub(super) proof_at: HostTime,
}

impl RawRecords {
    pub(super) fn topic(&mut self, topic: Topic) -> &mut RawTopic {
        self.topics.entry(topic).or_default()
    }
}

/// Pause between failed calls, growing, with a random part.
struct Backoff {
    pause: Millis,
    is_lost: bool,
    topic: Topic,
}

impl Backoff {
    const fn new(topic: Topic) -> Self {
        Self { pause: FIRST_RETRY, is_lost: false, topic }
    }

    fn succeeded(&mut self) {
        if self.is_lost {
            log::info!(topic:? = self.topic; "store: regained");
        }
        self.is_lost = false;
        self.pause = FIRST_RETRY;
    }

    async fn failed(&mut self, error: &StoreError) {
        if !self.is_lost {
            log::warn!(topic:? = self.topic, error:? = error; "store: lost");
        }
        self.is_lost = true;
        let jitter = fastrand::u64(0..=self.pause.0 / 2);
        Timer::after(Millis(self.pause.0 + jitter).duration()).await;
        self.pause = Millis((self.pause.0 * 2).min(MAX_RETRY.0));
    }
}

/// Starts the tasks that follow the store.
pub(super) fn start(control: &Rc<Control>) {
    for topic in [Topic::Config, Topic::Upstreams, Topic::Fleet] {
        control.ex.spawn(Rc::clone(control).follow(topic)).detach();
    }
    control.ex.spawn(Rc::clone(control).join()).detach();
}

impl Control {
    async fn follow(self: Rc<Self>, topic: Topic) {
        let mut cursor: Option<u64> = None;
        let mut backoff = Backoff::new(topic);
        loop {
            let asked_at = clock::now();
            let read = match cursor {
                None => (self.store.newest)(topic).await,
                Some(next) if topic == Topic::Upstreams => {
                    (self.store.read)(topic, next, Millis(0)).await
                }
                Some(next) => (self.store.read)(topic, next, READ_WAIT).await,
            };
            match read {
                Ok(page) => {
                    backoff.succeeded();
                    let is_whole = cursor.is_none();
                    cursor = Some(page.next);
                    self.take(topic, page, is_whole, asked_at);
                    if topic == Topic::Fleet {
                        self.register().await;
                    }
                    if topic == Topic::Upstreams {
                        Timer::after(REGISTRY_INTERVAL.duration()).await;
                    }
                }
                Err(StoreError::Deleted) => {
                    log::info!(topic:? = topic; "store: records were deleted, reading the newest");
                    cursor = None;
                }
                Err(e) => {
                    if topic == Topic::Config {
                        self.set_config_sure(false);
                    }
                    backoff.failed(&e).await;
                }
            }
        }
    }

    /// Takes over what a read returned. `asked_at` is when it was sent: what it shows was the newest then.
    pub(super) fn take(&self, topic: Topic, page: Page, is_whole: bool, asked_at: HostTime) {
        self.keep_raw(topic, &page, is_whole, asked_at);
        match topic {
            Topic::Config => self.take_config(&page),
            Topic::Upstreams => self.take_upstreams(&page, is_whole),
            Topic::Fleet => self.take_fleet(&page, asked_at),
        }
    }

    fn keep_raw(&self, topic: Topic, page: &Page, is_whole: bool, asked_at: HostTime) {
        let mut beliefs = self.beliefs.borrow_mut();
        let raw = beliefs.raw.topic(topic);
        if is_whole {
            raw.records.clear();
        }
        for record in &page.records {
            if record.value.is_empty() {
                raw.records.remove(&record.key);
            } else {
                raw.records.insert(record.key.clone(), record.value.clone());
            }
        }
        raw.next = page.next;
        raw.proof_at = raw.proof_at.max(asked_at);
    }

    fn set_config_sure(&self, is_sure: bool) {
        let was_sure = std::mem::replace(&mut self.beliefs.borrow_mut().is_config_sure, is_sure);
        if was_sure != is_sure {
            self.publish();
        }
    }

    fn take_config(&self, page: &Page) {
        for record in &page.records {
            match (self.store.decode_config)(record) {
                Ok(Some(config)) => {
                    let mut beliefs = self.beliefs.borrow_mut();
                    let known = beliefs.config.as_ref().map(|known| known.version);
                    if known.is_none_or(|known| known < config.version) {
                        log::info!(version = config.version, routes = config.routes.len(); "config: in force");
                        beliefs.config = Some(Arc::new(config));
                        drop(beliefs);
                        self.publish();
                    }
                }
                Ok(None) => {}
                Err(e) => {
                    log::error!(key = record.key.as_str(), error:% = e; "config: rejected");
                }
            }
        }
        self.set_config_sure(true);
    }

    fn take_upstreams(&self, page: &Page, is_whole: bool) {
        let now = clock::now();
        let mut changed = false;
        let mut entries = Vec::new();
        {
            let mut beliefs = self.beliefs.borrow_mut();
            beliefs.registry.on_read(now);
            for record in &page.records {
                if record.value.is_empty() {
                    if let Ok(id) = record.key.parse() {
                        changed |= beliefs.registry.drop_entry(&id, now);
                    }
                    continue;
                }
                match (self.store.decode_entry)(record) {
                    Ok(mut entry) => {
                        entry.region = self.settings.zones.get(&entry.zone).cloned();
                        entries.push(entry);
                    }
                    Err(e) => {
                        log::warn!(key = record.key.as_str(), error:% = e; "registry: entry ignored");
                    }
                }
            }
            if is_whole {
                changed |= beliefs.registry.replace(entries, now);
            } else {
                for entry in entries {
                    changed |= beliefs.registry.put(entry, now);
                }
            }
            changed |= beliefs.registry.sweep(now);
        }
        if changed {
            self.publish();
        }
        self.confirm_holders();
    }

    fn take_fleet(&self, page: &Page, asked_at: HostTime) {
        let mut changed = false;
        for record in &page.records {
            changed |= self.take_fleet_record(record);
        }
        self.beliefs.borrow_mut().fleet_end = page.next;
        for keep in self.owners.borrow_mut().keeps.values_mut() {
            keep.prove(asked_at);
        }
        if changed {
            self.publish();
        }
    }

    fn take_fleet_record(&self, record: &Record) -> bool {
        if let Some(name) = record.key.strip_prefix(HOST_PREFIX) {
            if record.value.is_empty() {
                return name
                    .parse()
                    .is_ok_and(|host| self.beliefs.borrow_mut().hosts.remove(&host).is_some());
            }
            match serde_json::from_slice::<HostRecord>(&record.value) {
                Ok(host) => {
                    self.beliefs.borrow_mut().hosts.insert(host.host.clone(), host);
                    return true;
                }
                Err(e) => log::warn!(key = record.key.as_str(), error:% = e; "fleet: host ignored"),
            }
            return false;
        }
        if !record.key.starts_with(TABLE_PREFIX) {
            return false;
        }
        match serde_json::from_slice::<Table>(&record.value) {
            Ok(table) if table.check().is_ok() => {
                self.adopt(table);
                true
            }
            Ok(_) => {
                log::error!(key = record.key.as_str(); "fleet: table is inconsistent, ignored");
                false
            }
            Err(e) => {
                log::warn!(key = record.key.as_str(), error:% = e; "fleet: table ignored");
                false
            }
        }
    }

    /// Goes by a table from now on, if it is newer than the one known.
    pub(super) fn adopt(&self, table: Table) {
        let mut owners = self.owners.borrow_mut();
        let name = table.service.clone();
        if let Some(lead) = owners.leads.get_mut(&name) {
            lead.on_table(&table);
        }
        let keep = owners.keeps.entry(name).or_insert_with(|| {
            let (host, region) = (self.settings.host.clone(), self.settings.region.clone());
            Keep::new(host, region, self.timing, self.started_at)
        });
        keep.adopt(table);
    }

    /// Records this host, so that others find it.
    async fn register(&self) {
        let own = HostRecord {
            host: self.settings.host.clone(),
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            peers: self.settings.peers,
            reports: self.settings.reports,
        };
        let (known, end) = {
            let beliefs = self.beliefs.borrow();
            (beliefs.hosts.get(&own.host) == Some(&own), beliefs.fleet_end)
        };
        if known {
            return;
        }
        let value = match serde_json::to_vec(&own) {
            Ok(value) => value,
            Err(e) => {
                log::error!("fleet: can't encode the host's record: {e}");
                return;
            }
        };
        let record = Record { key: format!("{HOST_PREFIX}{}", own.host), value };
        match (self.store.append)(vec![record], end).await {
            Ok(_) => log::info!(host:% = own.host; "fleet: registered"),
            Err(e) => log::debug!("fleet: not registered yet: {e}"),
        }
    }

    /// Replaces a recorded table. Returns whether it is recorded for certain.
    pub(super) async fn write_table(&self, table: &Table) -> bool {
        let end = self.beliefs.borrow().fleet_end;
        let value = match serde_json::to_vec(table) {
            Ok(value) => value,
            Err(e) => {
                log::error!("fleet: can't encode a table: {e}");
                return false;
            }
        };
        let record = Record { key: format!("{TABLE_PREFIX}{}", table.service), value };
        match (self.store.append)(vec![record], end).await {
            Ok(_) => true,
            Err(e) => {
                log::info!(service:% = table.service, version = table.version, error:% = e; "owners: table not recorded");
                false
            }
        }
    }

    /// Takes part in the choice of a leader.
    async fn join(self: Rc<Self>) {
        loop {
            let asked_at = clock::now();
            match (self.store.join)().await {
                Ok(is_leader) => {
                    self.joined_at.set(asked_at);
                    self.set_leader(is_leader);
                }
                Err(e) => log::debug!("fleet: no sign of life was taken: {e}"),
            }
            if clock::now().since(self.joined_at.get()) > LEADER_LIFETIME {
                self.set_leader(false);
            }
            Timer::after(JOIN_INTERVAL.duration()).await;
        }
    }

    fn set_leader(&self, is_leader: bool) {
        if self.is_leader.replace(is_leader) != is_leader {
            log::info!(leads = is_leader; "fleet: leadership changed");
            if !is_leader {
                self.owners.borrow_mut().leads.clear();
            }
        }
    }

    /// Returns the leader of a service anew, from its recorded table.
    pub(super) fn new_lead(
        &self,
        service: &skylarkdock_units::ids::ServiceName,
        table: Option<Table>,
    ) -> Lead {
        Lead::new(self.settings.host.clone(), service.clone(), self.timing, table)
    }
}
