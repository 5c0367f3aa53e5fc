//! The traffic thread, which serves callers' requests.

mod accept;
mod attempt;
mod cold;
mod config_wait;
mod crash_reports;
mod detours;
mod evacuation;
mod history;
mod newer_versions;
mod permits;
mod race;
mod rejection;
mod reported_load;
mod reports;
mod request;
mod shutdown;
mod silence;
mod trials;
mod waiting;

use crate::clock;
use crate::detour::DetourClient;
use crate::framing::SizeJudge;
use crate::listener::{BodyJudge, ListenerState};
use crate::listing::{Listing, ListingUpdate};
use crate::load_reports::NameHash;
use crate::pool::{self, Pool};
use crate::serve::{AnswerFuture, Incoming};
use crate::settings::Settings;
use crate::status::Status;
use crate::tasks;
use crate::upstream_connections::ConnectionShare;
use crate::upstreams::Protocol;
use crate::view::{ColdLimits, Config, ListedUpstream, Publication, View};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::Event;
use skylarkdock_dispatch::crash_tracker::CrashTracker;
use skylarkdock_dispatch::retry_budget::{self, RetryBudget};
use skylarkdock_dispatch::routing::RoutingDecision;
use skylarkdock_dispatch::service::Service;
use skylarkdock_dispatch::trials::{TrialAsker, TrialDesk};
use skylarkdock_dispatch::upstream::{Distance, UpstreamInfo};
use skylarkdock_freshness::earlier_configs::EarlierConfigs;
use skylarkdock_freshness::final_answers::Unproven;
use skylarkdock_freshness::missing_routes::MissingRoutes;
use skylarkdock_freshness::versions::{KnownVersions, Origin};
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{ServiceName, UpstreamId};
use skylarkdock_units::times::{HostTime, Millis};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;

/// Interval at which waiting requests are reconsidered.
const WAITING_INTERVAL: Millis = Millis(10);
/// Shortest interval between checks of the age of idle connections.
const POOL_CHECK_INTERVAL: Millis = Millis(500);
/// Shortest interval between samples for the control thread.
const MIN_SAMPLE_INTERVAL: Millis = Millis(350);
/// Interval between samples per known host, so that the leader of up to 125 hosts gets at most 125 samples a second.
/// With more hosts, `MAX_SAMPLE_INTERVAL` applies, and the leader gets one sample a second from each.
const SAMPLE_INTERVAL_PER_HOST: Millis = Millis(8);
/// Longest interval between samples, well below the silence after which a host counts as gone.
const MAX_SAMPLE_INTERVAL: Millis = Millis(1_000);

/// Measurements that the traffic thread sends to the control thread.
#[derive(Debug, Clone, Default)]
pub struct Sample {
    /// Sharding keys of the requests since the last sample, by service.
    pub keys: Vec<(ServiceName, Vec<u16>)>,
    /// Service times that have changed since the last sample, in milliseconds.
    pub service_ms: Vec<(UpstreamId, f32)>,
}

/// State of the traffic thread.
pub struct Traffic {
    settings: Settings,
    protocol: Protocol,
    ex: Rc<LocalExecutor<'static>>,
    shared: Rc<ListenerState>,
    status: Arc<Status>,
    view: RefCell<Arc<View>>,
    earlier_configs: RefCell<EarlierConfigs<Arc<Config>>>,
    missing_routes: RefCell<MissingRoutes>,
    /// Configuration versions that this host or others have.
    versions: RefCell<KnownVersions>,
    /// Since when this host refuses requests because its configuration is out of date.
    config_outdated_since: Cell<Option<HostTime>>,
    services: RefCell<FastMap<ServiceName, ServiceState>>,
    listing: RefCell<Listing>,
    /// Number of notices of upstreams that were applied to their states.
    applied_notices: Cell<u64>,
    /// Version of the evacuations that is applied to the states of the upstreams.
    applied_evacuations: Cell<u64>,
    pool: Rc<RefCell<Pool>>,
    /// Share of the descriptors for connections to upstreams, if they are limited.
    connection_share: Option<ConnectionShare>,
    waiters: RefCell<FastMap<u64, Sender<RoutingDecision>>>,
    /// Notified when a request starts to wait.
    has_waiting: Event,
    crash_tracker: RefCell<CrashTracker>,
    trial_asker: RefCell<TrialAsker>,
    trial_desk: RefCell<TrialDesk>,
    /// Notified when more may be known of requests that crash upstreams, or of their trials.
    crashes_changed: Event,
    /// When it was last checked whether the upstream at an address has ended.
    end_checked_at: RefCell<FastMap<SocketAddr, HostTime>>,
    /// Number of picks by route, and by whether they were among its unsharded services only.
    route_counts: RefCell<FastMap<(Arc<str>, bool), u64>>,
    reports: RefCell<reports::Reports>,
    pools: RefCell<permits::Pools>,
    pace_sends: RefCell<reported_load::SendLimit>,
    cold: RefCell<cold::ColdWork>,
    /// Whether this host may know of a limit of an upstream. Without one, nothing is done about permits.
    knows_limits: Cell<bool>,
    /// Notified when a limit becomes known.
    limit_known: Event,
    detour_client: DetourClient,
    /// When the path to an upstream was last checked because an answer was late.
    path_checked_at: RefCell<FastMap<SocketAddr, HostTime>>,
    /// Socket for load reports and permits, unless it could not be opened.
    datagrams: RefCell<Option<Rc<Async<UdpSocket>>>>,
    /// Number that tells this process from others of the same host.
    run: u32,
    started_at: HostTime,
    sample: RefCell<Sample>,
    last_ticket: Cell<u64>,
    /// When idle connections were last checked for their age.
    pool_checked_at: Cell<HostTime>,
}

/// Service with its retry budget.
struct ServiceState {
    service: Service,
    budget: RetryBudget,
    /// Largest number of idle connections to keep to each upstream.
    max_idle: usize,
    /// Limits of the upstreams while they are cold.
    cold: Option<ColdLimits>,
}

impl Traffic {
    /// Creates the state of the thread and starts its tasks.
    #[expect(clippy::too_many_arguments, reason = "the parts of a host, each of its own type")]
    pub fn start(
        settings: Settings,
        protocol: Protocol,
        ex: Rc<LocalExecutor<'static>>,
        shared: Rc<ListenerState>,
        status: Arc<Status>,
        publications: Receiver<Publication>,
        samples: Sender<Sample>,
    ) -> Rc<Self> {
        let connection_share =
            shared.shares.get().map(|shares| ConnectionShare::new(shares.upstreams));
        let own = Origin(NameHash::of(settings.host.as_str()).0);
        let traffic = Rc::new(Self {
            protocol,
            ex,
            shared,
            status,
            view: RefCell::default(),
            earlier_configs: RefCell::new(EarlierConfigs::new(settings.apply_time)),
            settings,
            missing_routes: RefCell::default(),
            versions: RefCell::new(KnownVersions::new(own)),
            config_outdated_since: Cell::default(),
            services: RefCell::default(),
            listing: RefCell::default(),
            applied_notices: Cell::default(),
            applied_evacuations: Cell::default(),
            pool: Rc::default(),
            connection_share,
            waiters: RefCell::default(),
            has_waiting: Event::new(),
            crash_tracker: RefCell::default(),
            trial_asker: RefCell::default(),
            trial_desk: RefCell::default(),
            crashes_changed: Event::new(),
            end_checked_at: RefCell::default(),
            route_counts: RefCell::default(),
            reports: RefCell::default(),
            pools: RefCell::default(),
            pace_sends: RefCell::default(),
            cold: RefCell::default(),
            knows_limits: Cell::default(),
            limit_known: Event::new(),
            detour_client: DetourClient::default(),
            path_checked_at: RefCell::default(),
            datagrams: RefCell::default(),
            run: fastrand::u32(..),
            started_at: clock::now(),
            sample: RefCell::default(),
            last_ticket: Cell::new(0),
            pool_checked_at: Cell::default(),
        });
        let weak = Rc::downgrade(&traffic);
        traffic.shared.set_size_judge(SizeJudge(Box::new(move |oversize| {
            weak.upgrade().map_or(Err(Unproven::NoConfig), |traffic| traffic.judge_size(oversize))
        })));
        let weak = Rc::downgrade(&traffic);
        traffic.shared.set_body_judge(BodyJudge(Box::new(move |head| {
            weak.upgrade().is_none_or(|traffic| traffic.may_be_accepted(head))
        })));
        traffic.spawn("publications", Rc::clone(&traffic).apply_publications(publications));
        traffic.spawn("waiting", Rc::clone(&traffic).poll_waiting());
        traffic.spawn("samples", Rc::clone(&traffic).send_samples(samples));
        reports::start(&traffic);
        traffic.spawn("memberships", Rc::clone(&traffic).keep_memberships());
        traffic.spawn("paths", Rc::clone(&traffic).probe_failed_paths());
        traffic
    }

    /// Starts a task that the host can't do without.
    fn spawn(&self, name: &'static str, task: impl Future<Output = ()> + 'static) {
        tasks::spawn(&self.ex, &self.status, name, task);
    }

    /// Routes a caller's request to an upstream. The future returns the upstream's answer, or the host's own if there
    /// is none to forward.
    pub fn answer(self: &Rc<Self>, req: Incoming) -> AnswerFuture {
        Box::pin(Rc::clone(self).serve(req))
    }

    /// Applies what the control thread publishes. Publications that arrived meanwhile are applied at once.
    async fn apply_publications(self: Rc<Self>, publications: Receiver<Publication>) {
        while let Ok(mut publication) = publications.recv().await {
            while let Ok(next) = publications.try_recv() {
                publication.view = next.view;
                publication.upstreams.extend(next.upstreams);
            }
            self.apply(publication);
            self.decide_waiting();
        }
    }

    fn apply(&self, publication: Publication) {
        let view = publication.view;
        let version = |view: &View| view.config.as_ref().map_or(0, |config| config.version);
        let is_newer = version(&self.view.borrow()) < version(&view);
        if let Some(config) = &view.config {
            self.shared.limits.set(Some(config.limits));
            self.shared.limits_version.set(config.version);
            let since = view.config_published_after;
            self.versions.borrow_mut().on_in_force(config.version, since, clock::now());
        }
        if let Some(config) = &view.config
            && self.config_version() != config.version
        {
            let now = clock::now();
            self.record_found_routes(config, now);
            let replaced = self.view.borrow().config.clone();
            self.earlier_configs.borrow_mut().on_applied(replaced, now);
        }
        let update = self.listing.borrow_mut().apply(publication.upstreams);
        self.record_ends(&update);
        self.apply_services(&view);
        self.apply_upstreams(&update);
        self.apply_new_notices();
        self.apply_evacuations();
        self.apply_paths(&update);
        if self.pool_checked_at.get() + POOL_CHECK_INTERVAL <= clock::now() {
            self.pool_checked_at.set(clock::now());
            self.pool.borrow_mut().close_expired();
        }
        *self.view.borrow_mut() = Arc::new(view);
        self.refresh_cold();
        if is_newer {
            self.status.version_claims().on_applied(self.config_version());
        }
    }

    /// Returns the version of the configuration that is applied; zero if there is none.
    fn config_version(&self) -> u64 {
        self.view.borrow().config.as_ref().map_or(0, |config| config.version)
    }

    /// Applies the configuration, the number of hosts and the owners of keys to the services. A new service starts with
    /// all upstreams that are listed for it.
    fn apply_services(&self, view: &View) {
        let (hosts, hosts_in_region) = self.count_hosts(view);
        let position = self.position_in_region(view);
        let mut services = self.services.borrow_mut();
        for info in view.config.iter().flat_map(|config| &config.services) {
            let state = services.entry(info.name.clone()).or_insert_with(|| {
                let mut service = Service::default();
                service.set_value_rule(self.settings.refuses_by_value);
                let listing = self.listing.borrow();
                let own = listing.iter().filter(|listed| listed.entry.service == info.name);
                service.set_upstreams(own.map(|listed| self.upstream_info(listed)).collect());
                let budget = RetryBudget::new(self.budget_limits(), hosts);
                let budget = budget.with_start(self.started_at);
                let now = clock::now();
                for listed in listing.iter().filter(|listed| listed.entry.service == info.name) {
                    if let Some(upstream) = service.upstream_mut(&listed.entry.id) {
                        let heartbeat = self.settings.heartbeat;
                        cold::apply_entry(upstream, listed, info.cold, heartbeat, now);
                    }
                }
                ServiceState { service, budget, max_idle: 1, cold: info.cold }
            });
            state.cold = info.cold;
            state.max_idle = pool::max_idle(info.connection_limit, hosts);
            state.budget.set_hosts(hosts.max(view.host_count));
            state.service.set_host_counts(hosts, hosts_in_region);
            state.service.silence_mut().set_position(position);
            state.service.set_drain_time(self.settings.drain_time);
            let keys = view.keys.iter().find(|(service, _)| *service == info.name);
            let keys = keys.map(|(_, keys)| keys.clone());
            state.service.set_keys(info.is_sharded.then(|| keys.unwrap_or_default()));
        }
    }

    /// Applies changes of upstreams to their services and to the names that load reports refer to.
    fn apply_upstreams(&self, update: &ListingUpdate) {
        let listing = self.listing.borrow();
        let mut services = self.services.borrow_mut();
        let mut reports = self.reports.borrow_mut();
        for (service, id) in &update.removed {
            if let Some(state) = services.get_mut(service) {
                state.service.remove_upstream(id);
            }
            reports.remove_upstream(id);
        }
        for id in &update.changed {
            let Some(listed) = listing.get(id) else { continue };
            let entry = &listed.entry;
            reports.put_upstream(&entry.service, id);
            let Some(state) = services.get_mut(&entry.service) else { continue };
            if update.restarted.contains(id)
                && let Some(upstream) = state.service.upstream_mut(id)
            {
                upstream.on_restart(clock::now());
            }
            state.service.put_upstream(self.upstream_info(listed));
            if let Some(upstream) = state.service.upstream_mut(id) {
                let (now, heartbeat) = (clock::now(), self.settings.heartbeat);
                cold::apply_entry(upstream, listed, state.cold, heartbeat, now);
                self.status.notices().apply_to(upstream, entry.born);
            }
        }
    }

    /// Tells the states of the upstreams what those have asked for, if there are notices since the last call, also of the
    /// control thread.
    fn apply_new_notices(&self) {
        let listing = self.listing.borrow();
        let notices = self.status.notices();
        let count = notices.count();
        if self.applied_notices.replace(count) != count {
            let mut services = self.services.borrow_mut();
            notices.for_each(|asked| {
                let Some(listed) = listing.get(asked.id) else { return };
                let is_current = listed.entry.born == asked.born;
                let state = services.get_mut(&listed.entry.service).filter(|_| is_current);
                let Some(upstream) = state.and_then(|state| state.service.upstream_mut(asked.id))
                else {
                    return;
                };
                if let Some(until) = asked.rest_until {
                    upstream.on_rest(until);
                }
                if let Some(since) = asked.leaving_since {
                    upstream.on_leaving_notice(since);
                }
            });
        }
        notices.forget_unlisted(|id, born| {
            listing.get(id).is_some_and(|listed| listed.entry.born == born)
        });
    }

    /// Returns the number of hosts and the number of those in this region, both including this host. While the other
    /// hosts are unknown, assumes the largest number of hosts, so that the retry budget has no constant part, and only
    /// this host in the region.
    fn count_hosts(&self, view: &View) -> (u32, u32) {
        if view.peers.is_none() {
            return (u32::MAX, 1);
        }
        let peers = view.peers();
        let in_region = peers.iter().filter(|peer| peer.region == self.settings.region).count();
        let count = |others: usize| u32::try_from(others + 1).unwrap_or(u32::MAX);
        (count(peers.len()), count(in_region))
    }

    fn upstream_info(&self, listed: &ListedUpstream) -> UpstreamInfo {
        let entry = &listed.entry;
        let distance = if entry.zone == self.settings.zone {
            Distance::Zone
        } else if entry.region.as_ref() == Some(&self.settings.region) {
            Distance::Region
        } else {
            Distance::Far
        };
        UpstreamInfo {
            id: entry.id.clone(),
            distance,
            slots: entry.slots,
            cold_until: listed.cold_until,
            is_leaving: entry.is_leaving,
            region: entry.region.clone(),
            is_evacuated: self.status.evacuations().contains(&entry.zone),
        }
    }

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a small ratio")]
    fn budget_limits(&self) -> retry_budget::RetryLimits {
        retry_budget::RetryLimits {
            per_mille: (self.settings.repeat_ratio.max(0.0) * 1000.0) as u32,
            constant: self.settings.repeat_constant,
            window: self.settings.repeat_window,
        }
    }

    async fn send_samples(self: Rc<Self>, samples: Sender<Sample>) {
        loop {
            let hosts = self.view.borrow().peers().len() as u64;
            let interval = MIN_SAMPLE_INTERVAL.max(Millis(hosts * SAMPLE_INTERVAL_PER_HOST.0));
            Timer::after(interval.min(MAX_SAMPLE_INTERVAL).duration()).await;
            let mut sample = self.sample.take();
            for state in self.services.borrow_mut().values_mut() {
                let updated = state.service.upstreams_mut().filter_map(|upstream| {
                    let ms = upstream.take_updated_service_ms()?;
                    Some((upstream.info().id.clone(), ms))
                });
                sample.service_ms.extend(updated);
            }
            if samples.send(sample).await.is_err() {
                return;
            }
        }
    }

    fn record_key(&self, service: &ServiceName, key: u16) {
        let mut sample = self.sample.borrow_mut();
        match sample.keys.iter_mut().find(|(name, _)| name == service) {
            Some((_, keys)) => keys.push(key),
            None => sample.keys.push((service.clone(), vec![key])),
        }
    }

    fn next_ticket(&self) -> u64 {
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        ticket
    }
}
