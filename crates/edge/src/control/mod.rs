//! The control thread: what the host believes, and its part in the ownership of keys.

mod follow;
mod owners;
mod peers;
pub mod registry;

use crate::clock;
use crate::serve::Shared;
use crate::settings::Settings;
use crate::store::Store;
use crate::traffic::Sample;
use crate::upstreams::Protocol;
use crate::view::{Config, PeerInfo, View};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use registry::Registry;
use serde::{Deserialize, Serialize};
use skylarkdock_dispatch::service::KeyMap;
use skylarkdock_spans::keep::Keep;
use skylarkdock_spans::lead::Lead;
use skylarkdock_spans::load::KeyLoad;
use skylarkdock_spans::table::{Keeper, Table};
use skylarkdock_spans::timing::Timing;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{HostId, Region, ServiceName, UpstreamId, Zone};
use skylarkdock_units::times::{HostTime, Millis};
use std::cell::{Cell, RefCell};
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

/// A host's record in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Its name.
    pub host: HostId,
    /// Its availability zone.
    pub zone: Zone,
    /// Its region.
    pub region: Region,
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
    joined_at: Cell<HostTime>,
    is_ready: std::sync::Arc<std::sync::atomic::AtomicBool>,
}

/// What the host believes of the world.
#[derive(Default)]
struct Beliefs {
    config: Option<Arc<Config>>,
    is_config_sure: bool,
    registry: Registry,
    hosts: FastMap<HostId, HostRecord>,
    fleet_end: u64,
    raw: follow::RawRecords,
    heard: FastMap<HostId, HostTime>,
    service_ms: FastMap<UpstreamId, f32>,
}

/// The host's part in the ownership of keys.
#[derive(Default)]
struct Owners {
    keeps: FastMap<ServiceName, Keep>,
    leads: FastMap<ServiceName, Lead>,
    loads: FastMap<ServiceName, KeyLoad>,
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
        is_ready: Arc<std::sync::atomic::AtomicBool>,
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
            joined_at: Cell::new(HostTime(0)),
            is_ready,
        });
        follow::start(&control);
        owners::start(&control, samples);
        peers::start(&control, Rc::new(Shared::default()));
        control
    }

    /// Gives the traffic thread what the host believes now.
    fn publish(&self) {
        let beliefs = self.beliefs.borrow();
        let owners = self.owners.borrow();
        let tables = owners.keeps.iter().filter_map(|(name, keep)| Some((name, keep.table()?)));
        let keys = tables.map(|(name, table)| (name.clone(), key_map(table, &beliefs.registry)));
        let others = beliefs.hosts.values().filter(|record| record.host != self.settings.host);
        let view = View {
            config: beliefs.config.clone(),
            is_config_sure: beliefs.is_config_sure,
            upstreams: beliefs.registry.listed().cloned().collect(),
            keys: keys.collect(),
            peers: others
                .map(|record| PeerInfo {
                    host: record.host.clone(),
                    region: record.region.clone(),
                    reports: record.reports,
                })
                .collect(),
        };
        let is_ready = view.config.is_some() && !view.upstreams.is_empty();
        self.is_ready.store(is_ready, std::sync::atomic::Ordering::Relaxed);
        if self.views.try_send(Arc::new(view)).is_err() {
            log::error!("control: the traffic thread has ended");
        }
    }

    /// Returns the hosts that are there, this one first.
    fn present(&self, now: HostTime) -> Vec<Keeper> {
        let beliefs = self.beliefs.borrow();
        let own = Keeper { host: self.settings.host.clone(), region: self.settings.region.clone() };
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
        others.sort_by(|a, b| a.host.cmp(&b.host));
        // One host of each availability zone before a second one of any.
        let mut zones: Vec<&Zone> = Vec::new();
        let (first, rest): (Vec<&HostRecord>, Vec<&HostRecord>) =
            others.into_iter().partition(|record| {
                let is_new = !zones.contains(&&record.zone);
                if is_new {
                    zones.push(&record.zone);
                }
                is_new
            });
        hosts.extend(
            first
                .into_iter()
                .chain(rest)
                .map(|r| Keeper { host: r.host.clone(), region: r.region.clone() }),
        );
        hosts
    }
}

/// Returns the owners that requests may be sent to. A later life of an owner does not hold its keys.
fn key_map(table: &Table, registry: &Registry) -> KeyMap {
    let owner = |span: &skylarkdock_spans::table::Span| {
        let entry = registry.entry(&span.owner.id)?;
        let is_same_life = entry.born == span.owner.born;
        (span.is_granted && is_same_life).then(|| span.owner.id.clone())
    };
    KeyMap::new(table.spans.iter().map(|span| (span.last, owner(span))).collect())
}
