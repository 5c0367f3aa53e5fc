//! Following the store: configuration, upstreams and the hosts' own records.

use super::registry::RegistryChange;
use super::{Beliefs, Control, HostRecord};
use crate::clock;
use crate::store::{Page, Record, StoreError, Topic};
use crate::view::Config;
use async_io::Timer;
use metrics::counter;
use skylarkdock_spans::leader::Leader;
use skylarkdock_spans::renewal::Renewals;
use skylarkdock_spans::table::Table;
use skylarkdock_units::times::{HostTime, Millis};
use std::rc::Rc;
use std::sync::Arc;

/// Longest wait of a read for a configuration. Well within the time in which one has to be in force, should the store
/// not tell of a record at once.
pub(super) const CONFIG_WAIT: Millis = Millis(250);
/// Longest wait of a read for a record of the hosts.
const FLEET_WAIT: Millis = Millis(1_500);
/// Time between reads of the upstreams' entries. Their signs of life come all the time, so a waiting read would never
/// wait.
const REGISTRY_INTERVAL: Millis = Millis(300);
/// Age of what another host tells from which this host reads the store itself, in percent of the time in which a
/// configuration has to be in force. News over two hosts are 0.9 s old; reading the store late still has to fit.
const STALE_PERCENT: u64 = 55;
/// Pause after a read of the hosts' records: when all hosts start, each of them is recorded.
const FLEET_PAUSE: Millis = Millis(100);
/// The same for the hosts' records, which are read less often.
const FLEET_STALE_AFTER: Millis = Millis(4_000);
/// Time between looks at that age.
const STALE_INTERVAL: Millis = Millis(150);
/// First and longest pause after a failed call. Each call is charged for, also while the store is away.
const FIRST_RETRY: Millis = Millis(150);
const MAX_RETRY: Millis = Millis(900);
/// Prefix of a host's record.
const HOST_PREFIX: &str = "host/";
/// Prefix of a table's record.
const TABLE_PREFIX: &str = "owners/";

/// Returns how long a read waits for a record.
const fn wait(topic: Topic) -> Millis {
    match topic {
        Topic::Config => CONFIG_WAIT,
        Topic::Upstreams => Millis(0),
        Topic::Fleet => FLEET_WAIT,
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
}

impl Control {
    async fn follow(self: Rc<Self>, topic: Topic) {
        let mut cursor: Option<u64> = None;
        let mut backoff = Backoff::new(topic);
        loop {
            if self.is_updated_by_peer(topic) {
                cursor = self.beliefs.borrow().known_records.next(topic);
                Timer::after(STALE_INTERVAL.duration()).await;
                continue;
            }
            let asked_at = clock::now();
            counter!("skylarkdock_store_calls_total", "call" => "read").increment(1);
            let read = match cursor {
                None => (self.store.newest)(topic).await,
                Some(next) => (self.store.read)(topic, next, wait(topic)).await,
            };
            match read {
                Ok(page) => {
                    backoff.succeeded();
                    if topic == Topic::Upstreams {
                        let trip = clock::now().since(asked_at);
                        self.min_store_latency.set(self.min_store_latency.get().min(trip));
                    }
                    let is_whole = cursor.is_none();
                    cursor = Some(page.next);
                    self.take(topic, page, is_whole, asked_at);
                    if topic == Topic::Fleet {
                        self.register().await;
                        Timer::after(FLEET_PAUSE.duration()).await;
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

    /// Returns the age of what another host tells from which this host reads the store itself.
    pub(super) fn stale_after(&self) -> Millis {
        Millis(self.settings.apply_time.0 * STALE_PERCENT / 100)
    }

    /// Returns whether another host tells this one of a topic's records, so that it need not read them itself.
    pub(super) fn is_updated_by_peer(&self, topic: Topic) -> bool {
        // Signs of life are not passed on; renewals that wait for one need the entries themselves.
        let needs_signs = topic == Topic::Upstreams
            && self.owners.borrow().keeps.values().any(|keep| !keep.suspended().is_empty());
        let stale_after = self.stale_after();
        let beliefs = self.beliefs.borrow();
        let age = |topic| clock::now().since(beliefs.known_records.proof_at(topic));
        !needs_signs
            && !self.is_leader.get()
            && beliefs.known_records.has_source()
            && age(Topic::Upstreams) < stale_after
            && age(topic) < if topic == Topic::Fleet { FLEET_STALE_AFTER } else { stale_after }
    }

    /// Takes over what a read returned. `asked_at` is when it was sent: what it shows was the newest then.
    pub(super) fn take(&self, topic: Topic, page: Page, is_whole: bool, asked_at: HostTime) {
        match topic {
            Topic::Config => {
                // One that can't be read hides none that can, here and at the hosts that learn from this one.
                let records = self.take_config(&page).into_iter().collect();
                let page = Page { records, next: page.next };
                self.beliefs.borrow_mut().known_records.record_page(topic, &page, false, asked_at);
            }
            Topic::Upstreams => {
                self.beliefs
                    .borrow_mut()
                    .known_records
                    .record_page(topic, &page, is_whole, asked_at);
                let changes = self.decode_entries(&page);
                self.take_upstreams(changes, is_whole, asked_at);
                self.confirm_holders();
            }
            Topic::Fleet => {
                self.beliefs
                    .borrow_mut()
                    .known_records
                    .record_page(topic, &page, is_whole, asked_at);
                self.take_fleet(&page, asked_at);
            }
        }
    }

    fn set_config_sure(&self, is_sure: bool) {
        let was_sure = std::mem::replace(&mut self.beliefs.borrow_mut().is_config_sure, is_sure);
        if was_sure != is_sure {
            self.publish();
        }
    }

    /// Puts the newest configuration that can be read in force, and returns its record; `None` if the one in force is
    /// newer.
    fn take_config(&self, page: &Page) -> Option<Record> {
        let mut newest: Option<(&Record, Config)> = None;
        for record in &page.records {
            match (self.store.decode_config)(record) {
                Ok(Some(config)) => {
                    if newest.as_ref().is_none_or(|(_, known)| known.version < config.version) {
                        newest = Some((record, config));
                    }
                }
                Ok(None) => {}
                Err(e) => {
                    counter!("skylarkdock_records_ignored_total", "topic" => "config").increment(1);
                    log::error!(key = record.key.as_str(), error:% = e; "config: rejected");
                }
            }
        }
        let known = self.beliefs.borrow().config.as_ref().map_or(0, |known| known.version);
        let newest = newest.filter(|(_, config)| config.version >= known);
        let record = newest.map(|(record, config)| {
            if known < config.version {
                log::info!(version = config.version, routes = config.routes.len(); "config: in force");
                self.beliefs.borrow_mut().config = Some(Arc::new(config));
                self.publish();
            }
            record.clone()
        });
        self.set_config_sure(true);
        record
    }

    fn decode_entries(&self, page: &Page) -> Vec<RegistryChange> {
        let mut changes = Vec::new();
        for record in &page.records {
            if record.value.is_empty() {
                changes.extend(record.key.parse().ok().map(RegistryChange::Drop));
                continue;
            }
            match (self.store.decode_entry)(record) {
                Ok(mut entry) => {
                    entry.region = self.settings.zones.get(&entry.zone).cloned();
                    changes.push(RegistryChange::Put(entry));
                }
                Err(e) => {
                    counter!("skylarkdock_records_ignored_total", "topic" => "upstreams")
                        .increment(1);
                    log::warn!(key = record.key.as_str(), error:% = e; "registry: entry ignored");
                }
            }
        }
        changes
    }

    /// Takes over changes of the registry that were the newest at `proof_at`.
    pub(super) fn take_upstreams(
        &self,
        changes: Vec<RegistryChange>,
        is_whole: bool,
        proof_at: HostTime,
    ) {
        let now = clock::now();
        let is_changed = {
            let mut beliefs = self.beliefs.borrow_mut();
            beliefs.registry.on_read(proof_at, now);
            let taken = beliefs.registry.apply(changes, is_whole, now);
            beliefs.known_records.record_changes(&taken);
            let Beliefs { service_ms, registry, .. } = &mut *beliefs;
            service_ms.retain(|id, _| registry.entry(id).is_some());
            !taken.is_empty()
        };
        if is_changed {
            self.publish();
        }
    }

    fn take_fleet(&self, page: &Page, asked_at: HostTime) {
        let mut changed = false;
        for record in &page.records {
            changed |= self.take_fleet_record(record);
        }
        {
            let mut beliefs = self.beliefs.borrow_mut();
            beliefs.fleet_end = beliefs.fleet_end.max(page.next);
        }
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
        let is_led_by_other = table.leader != self.settings.host;
        let mut owners = self.owners.borrow_mut();
        let name = table.service.clone();
        let known =
            owners.keeps.get(&name).and_then(Renewals::table).map_or(0, |known| known.version);
        if is_led_by_other && table.version > known && self.is_leader.replace(false) {
            log::info!(leader:% = table.leader; "fleet: another host leads");
            owners.leads.clear();
        }
        if let Some(lead) = owners.leads.get_mut(&name) {
            lead.on_table(&table);
        }
        let keep = owners.keeps.entry(name).or_insert_with(|| {
            let (host, region) = (self.settings.host.clone(), self.settings.region.clone());
            Renewals::new(host, region, self.timing, self.started_at)
        });
        keep.adopt(table);
    }

    /// Records this host, so that others find it.
    async fn register(&self) {
        let own = HostRecord {
            host: self.settings.host.clone(),
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            size: self.settings.size,
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
        counter!("skylarkdock_store_calls_total", "call" => "append").increment(1);
        match (self.store.append)(vec![record], end).await {
            Ok(end) => {
                let mut beliefs = self.beliefs.borrow_mut();
                beliefs.fleet_end = beliefs.fleet_end.max(end);
                true
            }
            Err(StoreError::Conflict) => {
                log::info!(service:% = table.service, version = table.version; "owners: other records came before the table");
                self.refresh_fleet().await;
                false
            }
            Err(e) => {
                log::info!(service:% = table.service, version = table.version, error:% = e; "owners: table not recorded");
                false
            }
        }
    }

    /// Reads the hosts' records anew, after a write showed that some are missing here.
    async fn refresh_fleet(&self) {
        let asked_at = clock::now();
        match (self.store.newest)(Topic::Fleet).await {
            Ok(page) if page.next >= self.beliefs.borrow().fleet_end => {
                self.take(Topic::Fleet, page, true, asked_at);
            }
            Ok(_) => {}
            Err(e) => log::info!("fleet: can't read the records anew: {e}"),
        }
    }

    /// Returns the leader of a service anew, from its recorded table.
    pub(super) fn new_lead(
        &self,
        service: &skylarkdock_units::ids::ServiceName,
        table: Option<Table>,
    ) -> Leader {
        Leader::new(self.settings.host.clone(), service.clone(), self.timing, table)
    }
}
