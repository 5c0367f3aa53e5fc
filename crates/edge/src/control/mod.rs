//! The control thread: what the host believes, and its part in the ownership of keys.

mod follow;
mod leading;
mod news;
mod owners;
mod peers;
pub mod registry;

use crate::client::ControlClient;
use crate::clock;
use crate::relays::Rank;
use crate::serve::ListenerState;
use crate::settings::Settings;
use crate::status::Status;
use crate::store::{Store, Topic};
use crate::traffic::Sample;
use crate::upstreams::Protocol;
use crate::view::{Config, PeerInfo, View};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_lock::Mutex;
use event_listener::Event;
use metrics::gauge;
use metrics_exporter_prometheus::PrometheusHandle;
use registry::Registry;
use serde::{Deserialize, Serialize};
use skylarkdock_dispatch::key_owners::KeyMap;
use skylarkdock_spans::keep::Keep;
use skylarkdock_spans::lead::{Lead, SpanKey};
use skylarkdock_spans::load::KeyLoad;
use skylarkdock_spans::table::{Keeper, Table};
use skylarkdock_spans::timing::Timing;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{HostId, Region, ServiceName, UpstreamId, Zone};
use skylarkdock_units::measures::HostSize;
use skylarkdock_units::times::{HostTime, Millis};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

/// Hold of a grant. A lost upstream's keys move after this; renewals go on through the loss of any host.
const HOLD: Millis = Millis(3_000);
/// Time for a grant or another short call.
const CALL_TIMEOUT: Millis = Millis(400);
/// Time for which keepers renew without proof from the store; longer than its usual outages.
const PROOF_LIFETIME: Millis = Millis(14_000);
/// Silence after which another host counts as gone.
const HOST_SILENCE: Millis = Millis(2_500);

/// Names of the topics in metrics.
const TOPIC_NAMES: [(Topic, &str); 3] =
    [(Topic::Config, "config"), (Topic::Upstreams, "upstreams"), (Topic::Fleet, "fleet")];

/// A host's record in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Its name.
    pub host: HostId,
    /// Its availability zone.
    pub zone: Zone,
    /// Its region.
    pub region: Region,
    /// Its size.
    #[serde(default)]
    pub size: HostSize,
    /// Where it takes calls of other hosts.
    pub peers: SocketAddr,
    /// Where it takes load reports.
    pub reports: SocketAddr,
}

/// State of the control thread.
pub struct Control {
    settings: Settings,
    protocol: Protocol,
    store: Store,
    ex: Rc<LocalExecutor<'static>>,
    views: Sender<Arc<View>>,
    timing: Timing,
    started_at: HostTime,
    beliefs: RefCell<Beliefs>,
    owners: RefCell<Owners>,
    calls: owners::Calls,
    is_leader: Cell<bool>,
    /// Told when something is believed that other hosts may want to know.
    changed: Event,
    joined_at: Cell<HostTime>,
    /// Shortest call to the store so far.
    store_trip: Cell<Millis>,
    status: Arc<Status>,
    /// Until when this host neither leads nor tells others what is new.
    out_until: Cell<HostTime>,
    /// Whether the leader finishes its moves to hand over.
    is_handing_over: Cell<bool>,
    leads_since: Cell<HostTime>,
    resigned_at: Cell<HostTime>,
    /// The connection to the leader.
    to_leader: RefCell<Option<(SocketAddr, Rc<Mutex<ControlClient>>)>>,
}

/// What the host believes of the world.
#[derive(Default)]
struct Beliefs {
    config: Option<Arc<Config>>,
    is_config_sure: bool,
    registry: Registry,
    hosts: FastMap<HostId, HostRecord>,
    fleet_end: u64,
    news: news::News,
    heard: FastMap<HostId, HostTime>,
    service_ms: FastMap<UpstreamId, f32>,
}

/// The host's part in the ownership of keys.
#[derive(Default)]
struct Owners {
    keeps: FastMap<ServiceName, Keep>,
    leads: FastMap<ServiceName, Lead>,
    /// Spans that the leader has granted and not recorded yet, as told.
    told: Vec<(ServiceName, SpanKey)>,
    loads: FastMap<ServiceName, KeyLoad>,
}

impl Owners {
    /// Returns the spans that have been granted and are not recorded yet, as far as this host knows.
    fn granted(&self) -> Vec<(ServiceName, SpanKey)> {
        let own = self
            .keeps
            .iter()
            .flat_map(|(name, keep)| keep.granted().map(|key| (name.clone(), key)));
        let mut own: Vec<(ServiceName, SpanKey)> = own.chain(self.told.iter().cloned()).collect();
        own.sort();
        own.dedup();
        own
    }
}

impl Control {
    /// Starts the thread's state and its tasks.
    #[expect(clippy::too_many_arguments, reason = "the parts of a host, each of its own type")]
    pub fn start(
        settings: Settings,
        protocol: Protocol,
        store: Store,
        ex: Rc<LocalExecutor<'static>>,
        views: Sender<Arc<View>>,
        samples: Receiver<Sample>,
        status: Arc<Status>,
    ) -> Rc<Self> {
        let hold = HOLD.min(settings.max_hold);
        let timing = Timing { hold, call_timeout: CALL_TIMEOUT, proof_lifetime: PROOF_LIFETIME };
        let control = Rc::new(Self {
            settings,
            protocol,
            store,
            ex: Rc::clone(&ex),
            views,
            timing,
            started_at: clock::now(),
            beliefs: RefCell::default(),
            owners: RefCell::default(),
            calls: owners::Calls::default(),
            is_leader: Cell::new(false),
            changed: Event::new(),
            joined_at: Cell::new(HostTime(0)),
            store_trip: Cell::new(Millis(u64::MAX)),
            status,
            out_until: Cell::default(),
            is_handing_over: Cell::new(false),
            leads_since: Cell::default(),
            resigned_at: Cell::default(),
            to_leader: RefCell::default(),
        });
        follow::start(&control);
        leading::start(&control);
        owners::start(&control, samples);
        peers::start(&control, Rc::new(ListenerState::default()));
        news::start(&control);
        control
    }

    /// Serves the metrics, with gauges of what the host believes and how old that is.
    pub fn serve_metrics(self: &Rc<Self>, handle: PrometheusHandle) {
        let control = Rc::clone(self);
        crate::metrics::serve(&self.ex, self.settings.metrics, handle, move || {
            control.set_gauges()
        });
    }

    #[expect(clippy::cast_precision_loss, reason = "gauges need no more")]
    fn set_gauges(&self) {
        let now = clock::now();
        let beliefs = self.beliefs.borrow();
        let owners = self.owners.borrow();
        let version = beliefs.config.as_ref().map_or(0, |config| config.version);
        gauge!("skylarkdock_config_version").set(version as f64);
        for (topic, name) in TOPIC_NAMES {
            let age = now.since(beliefs.news.proof_at(topic)).duration().as_secs_f64();
            gauge!("skylarkdock_belief_age_seconds", "topic" => name).set(age);
        }
        gauge!("skylarkdock_upstreams_listed").set(beliefs.registry.listed().count() as f64);
        gauge!("skylarkdock_hosts_known").set(beliefs.hosts.len() as f64);
        gauge!("skylarkdock_leads").set(f64::from(u8::from(self.is_leader.get())));
        for (id, ms) in &beliefs.service_ms {
            gauge!("skylarkdock_upstream_service_seconds", "upstream" => id.to_string())
                .set(f64::from(*ms) / 1000.0);
        }
        for (service, keep) in &owners.keeps {
            let Some(table) = keep.table() else { continue };
            let service = service.to_string();
            let pending = table.spans.iter().filter(|span| !span.is_granted).count();
            gauge!("skylarkdock_table_version", "service" => service.clone())
                .set(table.version as f64);
            gauge!("skylarkdock_spans", "service" => service.clone()).set(table.spans.len() as f64);
            gauge!("skylarkdock_spans_moving", "service" => service).set(pending as f64);
        }
    }

    /// Gives the traffic thread what the host believes now.
    fn publish(&self) {
        let beliefs = self.beliefs.borrow();
        let owners = self.owners.borrow();
        let tables = owners.keeps.iter().filter_map(|(name, keep)| Some((name, keep.table()?)));
        let granted = owners.granted();
        let keys =
            tables.map(|(name, table)| (name.clone(), key_map(table, &granted, &beliefs.registry)));
        let others = beliefs.hosts.values().filter(|record| record.host != self.settings.host);
        let peers = others.map(|record| PeerInfo {
            host: record.host.clone(),
            zone: record.zone.clone(),
            region: record.region.clone(),
            size: record.size,
            reports: record.reports,
        });
        let view = View {
            config: beliefs.config.clone(),
            is_config_current: beliefs.is_config_sure,
            upstreams: beliefs.registry.listed().cloned().collect(),
            keys: keys.collect(),
            peers: (beliefs.fleet_end > 0).then(|| peers.collect()),
        };
        self.changed.notify(usize::MAX);
        let is_ready = view.config.is_some() && !view.upstreams.is_empty();
        self.status.set_ready(is_ready);
        if self.views.try_send(Arc::new(view)).is_err() {
            log::error!("control: the traffic thread has ended");
        }
    }

    /// Returns the hosts that are there, this one first, then the largest.
    fn present(&self, now: HostTime) -> Vec<Keeper> {
        let beliefs = self.beliefs.borrow();
        let own = Keeper {
            host: self.settings.host.clone(),
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            size: self.settings.size,
        };
        let mut hosts = vec![own];
        let mut others: Vec<&HostRecord> = beliefs
            .hosts
            .values()
            .filter(|record| record.host != self.settings.host)
            .filter(|record| {
                let heard = beliefs.heard.get(&record.host);
                heard.is_some_and(|at| now.since(*at) < HOST_SILENCE)
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

/// Returns the owners that requests may be sent to. A later life of an owner does not hold its keys.
fn key_map(table: &Table, granted: &[(ServiceName, SpanKey)], registry: &Registry) -> KeyMap {
    let owner = |span: &skylarkdock_spans::table::Span| {
        let entry = registry.entry(&span.owner.id)?;
        let is_same_life = entry.born == span.owner.born;
        let is_told = || {
            granted.iter().any(|(service, key)| {
                *service == table.service && *key == (span.first, span.last, span.fence)
            })
        };
        ((span.is_granted || is_told()) && is_same_life).then(|| span.owner.id.clone())
    };
    KeyMap::new(table.spans.iter().map(|span| (span.last, owner(span))).collect())
}
