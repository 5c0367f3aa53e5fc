//! The control thread: it keeps the state that this host knows of the fleet, renews grants and, on the leader, changes
//! the owners of keys.

mod config_fetch;
pub mod config_page;
mod directory;
mod election;
pub mod encoded;
mod evacuations;
mod fresh_proof;
mod identity;
pub mod key_maps;
pub mod known_records;
mod lateness;
mod lost_tables;
mod owners;
mod peers;
mod registration;
pub mod registry;
mod sources;
mod store_sync;
pub mod table_reader;
mod table_search;
mod updates;

use crate::client::{self, ControlClient};
use crate::clock;
use crate::detour::{DetourClient, DetourServer};
use crate::memory;
use crate::relays::Rank;
use crate::settings::Settings;
use crate::status::Status;
use crate::store::{Store, Topic};
use crate::tasks;
use crate::traffic::Sample;
use crate::upstreams::Protocol;
use crate::view::{Config, PeerInfo, Publication, UpstreamChange, View};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_lock::Mutex;
use event_listener::Event;
use metrics::{counter, gauge};
use metrics_exporter_prometheus::PrometheusHandle;
use registry::Registry;
use serde::{Deserialize, Serialize};
use skylarkdock_freshness::copies::KnownCopy;
use skylarkdock_freshness::fetching::RecentAnswers;
use skylarkdock_freshness::reading::Limits;
use skylarkdock_spans::leader::{Leader, SpanId};
use skylarkdock_spans::load::KeyLoad;
use skylarkdock_spans::renewal::Renewals;
use skylarkdock_spans::table::Keeper;
use skylarkdock_spans::timing::Timing;
use skylarkdock_units::collections::{FastMap, FastSet};
use skylarkdock_units::ids::{HostId, Region, ServiceName, UpstreamId, Zone};
use skylarkdock_units::measures::HostSize;
use skylarkdock_units::times::{HostTime, Millis};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// Lifetime of a grant. The keys of a lost upstream move after it; the loss of any host does not end renewals.
const GRANT_LIFETIME: Millis = Millis(3_000);
/// Time-out of a call that grants keys to an upstream.
const CALL_TIMEOUT: Millis = Millis(400);
/// How long a keeper renews grants after its last proof that its table is the newest. Longer than the usual outages of
/// the store.
const PROOF_LIFETIME: Millis = Millis(14_000);
/// Time without a sample from another host after which the leader no longer counts it as available.
const HOST_TIMEOUT: Millis = Millis(2_500);

/// Time for which a host counts after its last sample. Longer than the window of the retry budget, in which it may have
/// sent retries before it ended.
const COUNTING_TIME: Millis = Millis(12_000);
/// Number of hosts among which one that has had no source of updates yet takes a random turn.
const UNKNOWN_FOLLOWERS: u32 = 8;

/// Label of each topic in metrics.
const TOPIC_LABELS: [(Topic, &str); 3] =
    [(Topic::Config, "config"), (Topic::Upstreams, "upstreams"), (Topic::Fleet, "fleet")];

/// Prefix of the key of a host's record.
const HOST_PREFIX: &str = "host/";

/// Record of an entry host in the store's fleet topic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Name of the host.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: Zone,
    /// Region of the host.
    pub region: Region,
    /// Size of the host.
    #[serde(default)]
    pub size: HostSize,
    /// Address for calls of other hosts' control threads.
    pub peers: SocketAddr,
    /// Address for load reports of other hosts.
    pub reports: SocketAddr,
}

/// State of the control thread, shared by its tasks.
pub struct Control {
    settings: Settings,
    protocol: Protocol,
    store: Store,
    ex: Rc<LocalExecutor<'static>>,
    publications: Sender<Publication>,
    key_maps: RefCell<key_maps::KeyMaps>,
    /// Decoders of the ownership tables, by the keys of their records.
    table_readers: RefCell<FastMap<String, table_reader::TableReader>>,
    /// Whether changes are being applied that are published together, and whether there are any.
    collects_changes: Cell<bool>,
    has_unpublished: Cell<bool>,
    timing: Timing,
    started_at: HostTime,
    fleet: RefCell<FleetState>,
    owners: RefCell<Owners>,
    holder_calls: owners::HolderCalls,
    is_leader: Cell<bool>,
    /// Notified when there may be an update for hosts that wait for one.
    changed: Event,
    /// When the heartbeat was sent that the store last accepted from this host as leader.
    accepted_as_leader_at: Cell<HostTime>,
    /// Notified when this host has read the registry from the store.
    registry_read: Event,
    /// Number of pages with entries of the registry that this host has read itself.
    registry_pages: Cell<u64>,
    /// When this host sent its last read of the registry that succeeded; `None` if none has.
    registry_read_at: Cell<Option<HostTime>>,
    /// Limits of the age of what this host knows.
    limits: Limits,
    /// Until when each host that gave no usable updates is avoided as a source of them.
    avoided: RefCell<FastMap<SocketAddr, HostTime>>,
    /// Number of hosts, recorded or not, as counted by the leader; zero if not known.
    host_count: Cell<u32>,
    /// Until when each host whose updates were too old, as its reads fail, is asked only if there is no other source.
    stale_sources: RefCell<FastMap<SocketAddr, HostTime>>,
    /// Whether the last updates were too old, as the reads of their source fail.
    is_source_late: Cell<bool>,
    /// When each host last requested updates from this one.
    followers: RefCell<BTreeMap<HostId, HostTime>>,
    /// Answers to hosts that asked this one for its configuration, as it told them of it.
    config_answers: RefCell<RecentAnswers>,
    /// Number of this host among those that request updates from its source; random before it has one.
    follower_number: Cell<u32>,
    /// Shortest read of the registry so far. Shows whether the store is in this host's region.
    min_store_latency: Cell<Millis>,
    evacuation_checks: evacuations::EvacuationChecks,
    /// Where this host's records came from lately.
    lateness: lateness::Lateness,
    status: Arc<Status>,
    /// Until when this host takes no part in the election and gives other hosts no updates, as it resigned.
    resigned_until: Cell<HostTime>,
    /// Whether another host has told this one the hosts of its zone since the start.
    has_asked_for_hosts: Cell<bool>,
    /// Whether the next request for updates asks for whole records, as one could not be decoded.
    needs_whole_records: Cell<bool>,
    /// Whether this host is handing leadership over. It finishes pending moves and plans no others.
    is_handing_over: Cell<bool>,
    leader_since: Cell<HostTime>,
    /// When this host last handed leadership over or began to stop; zero if it did neither.
    resigned_at: Cell<HostTime>,
    detour_client: DetourClient,
    detour_server: DetourServer,
    /// Address of the leader and the connection over which samples are sent to it.
    leader_connection: RefCell<Option<(SocketAddr, Rc<Mutex<ControlClient>>)>>,
}

/// State of the fleet as this host knows it from the store and from other hosts.
struct FleetState {
    config: Option<Arc<Config>>,
    /// Time from which on the configuration may have been published; zero without one.
    config_published_after: HostTime,
    /// Newest record of the configuration, if this host can't read it.
    unread_config: Option<config_page::UnreadRecord>,
    /// Copy of the store from which the records are.
    store_copy: KnownCopy,
    registry: Registry,
    hosts: FastMap<HostId, HostRecord>,
    /// The other hosts as published; `None` if the host records have changed since.
    published_peers: Option<Arc<Vec<PeerInfo>>>,
    /// Offset after the last known record of the fleet topic; zero until the topic was read.
    fleet_end: u64,
    known_records: known_records::KnownRecords,
    /// Ownership tables of which the newest record can't be read.
    unreadable_tables: table_search::UnreadableTables,
    /// What other hosts told of tables that the store may have lost.
    recalled_tables: lost_tables::RecalledTables,
    /// When each host last sent this one a sample.
    last_sample_at: FastMap<HostId, HostTime>,
    /// Hosts that said in their last sample that they reach no upstream.
    cut_off: FastSet<HostId>,
    /// Upstreams that asked hosts for rest according to their last samples, with the times of their starts and the ends
    /// of the rests.
    rests: FastMap<HostId, Vec<(UpstreamId, u64, HostTime)>>,
    /// Smoothed service time of each upstream, in milliseconds.
    service_ms: FastMap<UpstreamId, f32>,
}

impl FleetState {
    fn new(heartbeat: Millis) -> Self {
        Self {
            config: None,
            config_published_after: HostTime(0),
            unread_config: None,
            store_copy: KnownCopy::default(),
            registry: Registry::new(heartbeat),
            hosts: FastMap::default(),
            published_peers: None,
            fleet_end: 0,
            known_records: known_records::KnownRecords::default(),
            unreadable_tables: table_search::UnreadableTables::default(),
            recalled_tables: lost_tables::RecalledTables::default(),
            last_sample_at: FastMap::default(),
            cut_off: FastSet::default(),
            rests: FastMap::default(),
            service_ms: FastMap::default(),
        }
    }

    /// Returns the recorded hosts other than this one. Calls without a change in between share the list.
    fn peers(&mut self, own_host: &HostId) -> Arc<Vec<PeerInfo>> {
        if let Some(peers) = &self.published_peers {
            return Arc::clone(peers);
        }
        let others = self.hosts.values().filter(|record| record.host != *own_host);
        let peers = others.map(|record| PeerInfo {
            host: record.host.clone(),
            zone: record.zone.clone(),
            region: record.region.clone(),
            size: record.size,
            reports: record.reports,
            calls: record.peers,
        });
        let peers = Arc::new(peers.collect());
        self.published_peers = Some(Arc::clone(&peers));
        peers
    }

    /// Returns whether an incarnation of an upstream is listed.
    fn is_listed(&self, id: &UpstreamId, born: u64) -> bool {
        self.registry.entry(id).is_some_and(|entry| entry.born == born)
    }

    /// Stores the record of a host. Returns whether it was not known.
    fn put_host(&mut self, record: HostRecord) -> bool {
        if self.hosts.get(&record.host) == Some(&record) {
            return false;
        }
        self.hosts.insert(record.host.clone(), record);
        self.published_peers = None;
        true
    }

    /// Returns whether the store has a record of a host, as far as this host knows.
    fn is_recorded(&self, host: &HostId) -> bool {
        let record = self.known_records.fleet.records.get(&format!("{HOST_PREFIX}{host}"));
        record.is_some_and(|(value, _)| !value.is_empty())
    }

    /// Removes the record of a host. Returns whether it was known.
    fn remove_host(&mut self, host: &HostId) -> bool {
        let is_known = self.hosts.remove(host).is_some();
        if is_known {
            self.published_peers = None;
        }
        is_known
    }
}

/// This host's part in the ownership of keys: the grants that it renews and the services that it leads.
#[derive(Default)]
struct Owners {
    renewals: FastMap<ServiceName, Renewals>,
    leaders: FastMap<ServiceName, Leader>,
    /// Spans that are granted although not recorded as granted, according to the source of updates.
    reported_grants: Vec<(ServiceName, SpanId)>,
    key_loads: FastMap<ServiceName, KeyLoad>,
}

impl Owners {
    /// Returns the spans that this host knows to be granted although they are not recorded as granted, sorted.
    fn unrecorded_grants(&self) -> Vec<(ServiceName, SpanId)> {
        let own = self.renewals.iter().flat_map(|(name, renewals)| {
            renewals.unrecorded_grants().map(|key| (name.clone(), key))
        });
        let mut spans: Vec<(ServiceName, SpanId)> =
            own.chain(self.reported_grants.iter().cloned()).collect();
        spans.sort();
        spans.dedup();
        spans
    }
}

impl Control {
    /// Creates the state of the control thread and starts its tasks.
    #[expect(clippy::too_many_arguments, reason = "the parts of a host, each of its own type")]
    pub fn start(
        settings: Settings,
        protocol: Protocol,
        store: Store,
        ex: Rc<LocalExecutor<'static>>,
        publications: Sender<Publication>,
        samples: Receiver<Sample>,
        status: Arc<Status>,
    ) -> Rc<Self> {
        let hold = GRANT_LIFETIME.min(settings.max_hold);
        let timing = Timing { hold, call_timeout: CALL_TIMEOUT, proof_lifetime: PROOF_LIFETIME };
        let fleet = RefCell::new(FleetState::new(settings.heartbeat));
        let limits = Limits::new(settings.apply_time, settings.drain_time);
        let detour_server = DetourServer::new(protocol, settings.drain_time);
        let control = Rc::new(Self {
            settings,
            protocol,
            store,
            ex: Rc::clone(&ex),
            publications,
            key_maps: RefCell::default(),
            table_readers: RefCell::default(),
            collects_changes: Cell::default(),
            has_unpublished: Cell::default(),
            timing,
            started_at: clock::now(),
            fleet,
            owners: RefCell::default(),
            holder_calls: owners::HolderCalls::default(),
            is_leader: Cell::new(false),
            changed: Event::new(),
            accepted_as_leader_at: Cell::new(HostTime(0)),
            registry_pages: Cell::default(),
            registry_read_at: Cell::default(),
            registry_read: Event::new(),
            limits,
            avoided: RefCell::default(),
            host_count: Cell::default(),
            stale_sources: RefCell::default(),
            is_source_late: Cell::default(),
            followers: RefCell::default(),
            config_answers: RefCell::default(),
            follower_number: Cell::new(fastrand::u32(..UNKNOWN_FOLLOWERS)),
            min_store_latency: Cell::new(Millis(u64::MAX)),
            evacuation_checks: evacuations::EvacuationChecks::default(),
            lateness: lateness::Lateness::default(),
            status,
            resigned_until: Cell::default(),
            has_asked_for_hosts: Cell::default(),
            needs_whole_records: Cell::default(),
            is_handing_over: Cell::new(false),
            leader_since: Cell::default(),
            resigned_at: Cell::default(),
            detour_client: DetourClient::default(),
            detour_server,
            leader_connection: RefCell::default(),
        });
        store_sync::start(&control);
        registration::start(&control);
        directory::start(&control);
        election::start(&control);
        owners::start(&control, samples);
        peers::start(&control);
        updates::start(&control);
        config_fetch::start(&control);
        lateness::start(&control);
        evacuations::start(&control);
        control
    }

    /// Starts a task that the host can't do without.
    fn spawn(&self, name: &'static str, task: impl Future<Output = ()> + 'static) {
        tasks::spawn(&self.ex, &self.status, name, task);
    }

    /// Returns the record by which other hosts know this one.
    fn own_record(&self) -> HostRecord {
        HostRecord {
            host: self.settings.host.clone(),
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            size: self.settings.size,
            peers: self.settings.peers,
            reports: self.settings.reports,
        }
    }

    /// Serves the metrics. The gauges of the known state and its age are set at each scrape.
    pub fn serve_metrics(self: &Rc<Self>, handle: PrometheusHandle) {
        let control = Rc::clone(self);
        let (addr, limits) = (self.settings.metrics, self.settings.client_limits);
        crate::metrics::serve(&self.ex, (addr, limits), handle, move || control.set_gauges());
    }

    #[expect(clippy::cast_precision_loss, reason = "gauges need no more")]
    fn set_gauges(&self) {
        let now = clock::now();
        let fleet = self.fleet.borrow();
        let owners = self.owners.borrow();
        let version = fleet.config.as_ref().map_or(0, |config| config.version);
        gauge!("skylarkdock_config_version").set(version as f64);
        let is_unread = fleet.unread_config.is_some();
        gauge!("skylarkdock_config_unread").set(f64::from(u8::from(is_unread)));
        for (topic, name) in TOPIC_LABELS {
            let age = now.since(fleet.known_records.proof_at(topic)).duration().as_secs_f64();
            gauge!("skylarkdock_belief_age_seconds", "topic" => name).set(age);
        }
        self.set_source_gauges(now);
        self.set_evacuation_gauges(&fleet);
        memory::set_gauges();
        gauge!("skylarkdock_answers_buffered_bytes").set(client::buffered() as f64);
        gauge!("skylarkdock_upstreams_listed").set(fleet.registry.listed().count() as f64);
        gauge!("skylarkdock_upstreams_kept").set(fleet.registry.kept(now).count() as f64);
        gauge!("skylarkdock_hosts_known").set(fleet.hosts.len() as f64);
        gauge!("skylarkdock_leads").set(f64::from(u8::from(self.is_leader.get())));
        for (id, ms) in &fleet.service_ms {
            gauge!("skylarkdock_upstream_service_seconds", "upstream" => id.to_string())
                .set(f64::from(*ms) / 1000.0);
        }
        for (service, renewals) in &owners.renewals {
            let Some(table) = renewals.table() else { continue };
            let service = service.to_string();
            let pending = table.spans.iter().filter(|span| !span.is_granted).count();
            gauge!("skylarkdock_table_version", "service" => service.clone())
                .set(table.version as f64);
            gauge!("skylarkdock_spans", "service" => service.clone()).set(table.spans.len() as f64);
            gauge!("skylarkdock_spans_moving", "service" => service.clone()).set(pending as f64);
            gauge!("skylarkdock_holders_suspended", "service" => service)
                .set(renewals.suspended().len() as f64);
        }
    }

    /// Applies several changes and publishes them at once.
    fn publish_together<T>(&self, apply: impl FnOnce() -> T) -> T {
        let is_outermost = !self.collects_changes.replace(true);
        let result = apply();
        if is_outermost {
            self.collects_changes.set(false);
            if self.has_unpublished.replace(false) {
                self.publish();
            }
        }
        result
    }

    /// Sends the traffic thread the known state, and wakes the hosts that wait for updates.
    fn publish(&self) {
        if self.collects_changes.get() {
            self.has_unpublished.set(true);
            return;
        }
        let mut fleet = self.fleet.borrow_mut();
        let owners = self.owners.borrow();
        let upstreams = fleet.registry.take_changes();
        let changed: Vec<UpstreamId> = upstreams.iter().map(UpstreamChange::id).cloned().collect();
        let unrecorded_grants = owners.unrecorded_grants();
        let grants_of = |name: &ServiceName| -> FastSet<SpanId> {
            let grants = unrecorded_grants.iter().filter(|(service, _)| service == name);
            grants.map(|(_, grant)| *grant).collect()
        };
        let mut key_maps = self.key_maps.borrow_mut();
        let tables = owners.renewals.values().filter_map(Renewals::table);
        let keys = tables.map(|table| {
            let name = table.service.clone();
            let grants = grants_of(&name);
            (name, key_maps.update(table, grants, &fleet.registry, &changed))
        });
        let keys = keys.collect();
        let view = View {
            config: self.servable_config(&fleet),
            config_published_after: fleet.config_published_after,
            keys,
            peers: (fleet.fleet_end > 0).then(|| fleet.peers(&self.settings.host)),
            host_count: self.host_count.get(),
            is_recorded: fleet.hosts.contains_key(&self.settings.host),
        };
        self.changed.notify(usize::MAX);
        self.status.set_ready(view.config.is_some() && !fleet.registry.is_empty());
        counter!("skylarkdock_publications_total").increment(1);
        if self.publications.try_send(Publication { view, upstreams }).is_err() {
            log::error!("control: the traffic thread has ended");
        }
    }

    /// Counts the hosts that sent this leader samples. Tells the traffic thread of another number.
    fn count_hosts(&self, now: HostTime) {
        let heard = {
            let fleet = self.fleet.borrow();
            let sampled = fleet.last_sample_at.values();
            sampled.filter(|at| now.since(**at) < COUNTING_TIME).count() + 1
        };
        let heard = u32::try_from(heard).unwrap_or(u32::MAX);
        // A new leader has not heard all yet.
        let is_new = now.since(self.leader_since.get()) < COUNTING_TIME;
        self.set_host_count(if is_new { heard.max(self.host_count.get()) } else { heard });
    }

    fn set_host_count(&self, count: u32) {
        if self.host_count.replace(count) != count {
            self.publish();
        }
    }

    /// Returns the hosts, possibly including this one, that seem to reach no upstream.
    fn cut_off_hosts(&self) -> Vec<HostId> {
        let fleet = self.fleet.borrow();
        let own = self.status.paths().lock().is_cut_off().then(|| self.settings.host.clone());
        fleet.cut_off.iter().cloned().chain(own).collect()
    }

    /// Returns the available hosts, which are the candidates for keepers: this one first, then the others from the
    /// largest down.
    fn available_hosts(&self, now: HostTime) -> Vec<Keeper> {
        let fleet = self.fleet.borrow();
        let owners = self.owners.borrow();
        // Hosts have sent their samples to the former leader, which judged the recorded keepers by them.
        let is_new_leader = now.since(self.leader_since.get()) < HOST_TIMEOUT;
        let is_recorded_keeper = |host: &HostId| {
            let mut tables = owners.renewals.values().filter_map(Renewals::table);
            tables.any(|table| {
                table.leader != *host && table.keepers.iter().any(|keeper| keeper.host == *host)
            })
        };
        let own = Keeper {
            host: self.settings.host.clone(),
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            size: self.settings.size,
        };
        let mut hosts = vec![own];
        let mut others: Vec<&HostRecord> = fleet
            .hosts
            .values()
            .filter(|record| record.host != self.settings.host)
            .filter(|record| {
                let last_sample_at = fleet.last_sample_at.get(&record.host);
                last_sample_at.is_some_and(|at| now.since(*at) < HOST_TIMEOUT)
                    || (is_new_leader && is_recorded_keeper(&record.host))
            })
            .collect();
        others.sort_by_key(|record| Reverse(Rank::of(&record.host, record.size)));
        hosts.extend(others.into_iter().map(|record| Keeper {
            host: record.host.clone(),
            zone: record.zone.clone(),
            region: record.region.clone(),
            size: record.size,
        }));
        hosts
    }
}
