//! The traffic thread: callers' requests, from their arrival to their answer.

mod attempt;
mod deaths;
mod race;
mod reports;
mod request;
mod tries;
mod waiting;

use crate::pool::{self, Pool};
use crate::serve::{Answer, AnswerFuture, Incoming, ListenerState};
use crate::settings::Settings;
use crate::upstreams::Protocol;
use crate::view::{ListedUpstream, View};
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use event_listener::Event;
use skylarkdock_dispatch::crash_tracker::CrashTracker;
use skylarkdock_dispatch::retry_budget::{self, RetryBudget};
use skylarkdock_dispatch::routing::RoutingDecision;
use skylarkdock_dispatch::service::Service;
use skylarkdock_dispatch::upstream::{Distance, UpstreamInfo};
use skylarkdock_units::collections::{FastMap, FastSet};
use skylarkdock_units::ids::{ServiceName, UpstreamId};
use skylarkdock_units::times::Millis;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

/// Time between looks at the requests that wait.
const WAITING_INTERVAL: Millis = Millis(10);
/// Time between the samples that the control thread gets.
const SAMPLE_INTERVAL: Millis = Millis(350);
/// The same for each host, so that a leader of many gets no more than 125 a second; and the longest, well below the
/// silence after which a host counts as gone.
const SAMPLE_PAUSE: Millis = Millis(8);
const MAX_SAMPLE_INTERVAL: Millis = Millis(1_000);

/// What the control thread gets from traffic.
#[derive(Debug, Clone, Default)]
pub struct Sample {
    /// Keys of the requests since the last sample.
    pub keys: Vec<(ServiceName, Vec<u16>)>,
    /// Times of upstreams that were learnt since the last sample, in milliseconds.
    pub service_ms: Vec<(UpstreamId, f32)>,
}

/// State of the traffic thread.
pub struct Traffic {
    settings: Settings,
    protocol: Protocol,
    ex: Rc<LocalExecutor<'static>>,
    shared: Rc<ListenerState>,
    view: RefCell<Arc<View>>,
    services: RefCell<FastMap<ServiceName, ServiceState>>,
    lives: RefCell<FastMap<UpstreamId, ListedUpstream>>,
    pool: RefCell<Pool>,
    waiters: RefCell<FastMap<u64, Sender<RoutingDecision>>>,
    /// Told when a request begins to wait.
    has_waiting: Event,
    crashes: RefCell<CrashTracker>,
    /// Ends of upstreams that other hosts are still told of.
    deaths: RefCell<Vec<deaths::Told>>,
    route_counts: RefCell<FastMap<Arc<str>, u64>>,
    reports: RefCell<reports::Reports>,
    sample: RefCell<Sample>,
    next_ticket: Cell<u64>,
}

/// A service with its budget.
struct ServiceState {
    service: Service,
    budget: RetryBudget,
    /// Idle connections kept to each upstream.
    max_idle: usize,
}

impl Traffic {
    /// Starts the thread's state and its tasks.
    pub fn start(
        settings: Settings,
        protocol: Protocol,
        ex: Rc<LocalExecutor<'static>>,
        shared: Rc<ListenerState>,
        views: Receiver<Arc<View>>,
        samples: Sender<Sample>,
    ) -> Rc<Self> {
        let traffic = Rc::new(Self {
            settings,
            protocol,
            ex: Rc::clone(&ex),
            shared,
            view: RefCell::default(),
            services: RefCell::default(),
            lives: RefCell::default(),
            pool: RefCell::default(),
            waiters: RefCell::default(),
            has_waiting: Event::new(),
            crashes: RefCell::default(),
            deaths: RefCell::default(),
            route_counts: RefCell::default(),
            reports: RefCell::default(),
            sample: RefCell::default(),
            next_ticket: Cell::new(0),
        });
        ex.spawn(Rc::clone(&traffic).follow(views)).detach();
        ex.spawn(Rc::clone(&traffic).look_after_waiting()).detach();
        ex.spawn(Rc::clone(&traffic).send_samples(samples)).detach();
        reports::start(&traffic);
        traffic
    }

    /// Answers one request.
    pub fn answer(self: &Rc<Self>, req: Incoming) -> AnswerFuture {
        Box::pin(Rc::clone(self).serve(req))
    }

    /// Takes over what the control thread believes.
    async fn follow(self: Rc<Self>, views: Receiver<Arc<View>>) {
        while let Ok(view) = views.recv().await {
            self.apply(view);
            self.look();
        }
    }

    fn apply(&self, view: Arc<View>) {
        if let Some(config) = &view.config {
            self.shared.limits.set(Some(config.limits));
        }
        let mut services = self.services.borrow_mut();
        let (hosts, near) = self.count_hosts(&view);
        let names = view.config.iter().flat_map(|config| &config.services);
        for info in names {
            let state = services.entry(info.name.clone()).or_insert_with(|| ServiceState {
                service: Service::default(),
                budget: RetryBudget::new(self.budget_limits(), hosts),
                max_idle: 1,
            });
            state.max_idle = pool::max_idle(info.connection_limit, hosts);
            state.budget.set_hosts(hosts);
            state.service.set_host_counts(hosts, near);
            let keys = view.keys.iter().find(|(service, _)| *service == info.name);
            let keys = keys.map(|(_, keys)| keys.clone());
            state.service.set_keys(info.is_sharded.then(|| keys.unwrap_or_default()));
        }
        let listed = view.upstreams.iter().map(|listed| (&listed.entry.service, &listed.entry.id));
        self.reports.borrow_mut().set_upstreams(listed);
        let mut lives = self.lives.borrow_mut();
        let mut by_service: FastMap<&ServiceName, Vec<&ListedUpstream>> = FastMap::default();
        for listed in &view.upstreams {
            by_service.entry(&listed.entry.service).or_default().push(listed);
        }
        for (name, state) in services.iter_mut() {
            let mut listings = Vec::new();
            for listed in by_service.remove(name).unwrap_or_default() {
                listings.push(self.listing(listed));
                let known = lives.insert(listed.entry.id.clone(), listed.clone());
                let is_new_life = known.is_some_and(|known| known.entry.born != listed.entry.born);
                if is_new_life {
                    self.note_gone(&listed.entry.id);
                    if let Some(upstream) = state.service.upstream_mut(&listed.entry.id) {
                        upstream.on_restart();
                    }
                }
            }
            state.service.set_upstreams(listings);
        }
        let there: FastSet<&UpstreamId> =
            view.upstreams.iter().map(|listed| &listed.entry.id).collect();
        lives.retain(|id, listed| {
            let is_there = there.contains(id);
            if !is_there && !listed.entry.is_leaving {
                self.note_gone(id);
            }
            is_there
        });
        drop((services, lives));
        self.pool.borrow_mut().close_expired();
        *self.view.borrow_mut() = view;
    }

    /// Returns how many hosts there are and how many of them in this region. While that is unknown there may be any
    /// number, so that the budget has no constant part.
    fn count_hosts(&self, view: &View) -> (u32, u32) {
        let Some(peers) = &view.peers else { return (u32::MAX, 1) };
        let near = peers.iter().filter(|peer| peer.region == self.settings.region).count();
        let count = |others: usize| u32::try_from(others + 1).unwrap_or(u32::MAX);
        (count(peers.len()), count(near))
    }

    fn listing(&self, listed: &ListedUpstream) -> UpstreamInfo {
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
            let hosts = self.view.borrow().peers.as_ref().map_or(0, Vec::len) as u64;
            let interval = SAMPLE_INTERVAL.max(Millis(hosts * SAMPLE_PAUSE.0));
            Timer::after(interval.min(MAX_SAMPLE_INTERVAL).duration()).await;
            let mut sample = self.sample.take();
            for state in self.services.borrow_mut().values_mut() {
                let learnt = state.service.upstreams_mut().filter_map(|upstream| {
                    let ms = upstream.take_updated_service_ms()?;
                    Some((upstream.info().id.clone(), ms))
                });
                sample.service_ms.extend(learnt);
            }
            if samples.send(sample).await.is_err() {
                return;
            }
        }
    }

    fn note_key(&self, service: &ServiceName, key: u16) {
        let mut sample = self.sample.borrow_mut();
        match sample.keys.iter_mut().find(|(name, _)| name == service) {
            Some((_, keys)) => keys.push(key),
            None => sample.keys.push((service.clone(), vec![key])),
        }
    }

    fn ticket(&self) -> u64 {
        let ticket = self.next_ticket.get() + 1;
        self.next_ticket.set(ticket);
        ticket
    }
}

/// Builds a refusal: the request has not run and will not.
fn refusal(pause: Millis) -> Answer {
    let mut answer = Answer::empty(503);
    #[expect(clippy::cast_precision_loss, reason = "a pause of seconds")]
    let seconds = pause.0 as f64 / 1000.0;
    answer.headers.push("Retry-After", format!("{seconds:.3}"));
    answer
}
