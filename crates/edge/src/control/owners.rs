//! Renewing grants, and on the leader carrying out changes of owners.

use super::{Beliefs, Control};
use crate::client::{ControlClient, Failure, Reply};
use crate::clock;
use crate::traffic::Sample;
use async_channel::Receiver;
use async_io::Timer;
use async_lock::Mutex;
use skylarkdock_spans::keep::{CallEnd, Grant, Release};
use skylarkdock_spans::lead::{Action, Inputs};
use skylarkdock_spans::load::KeyLoad;
use skylarkdock_spans::plan::Candidate;
use skylarkdock_spans::table::{Holder, Keeper, Table};
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{HostId, ServiceName, UpstreamId};
use skylarkdock_units::times::{HostTime, Millis};
use std::cell::RefCell;
use std::rc::Rc;

/// Time between looks at what is due.
const TICK: Millis = Millis(50);
/// The same on a host that neither leads nor renews.
const IDLE_TICK: Millis = Millis(300);
/// Time that a release may take: the upstream answers when the work on the keys has ended.
pub(super) const RELEASE_TIMEOUT: Millis = Millis(4_000);
/// Time assumed for a request before any was measured, in milliseconds.
const ASSUMED_SERVICE_MS: f32 = 150.0;
/// Weight of the time of an upstream that one host tells.
const TOLD_WEIGHT: f32 = 0.3;
/// Part of its capacity that an upstream which is slow after its start is counted with.
const COLD_PART: f32 = 0.6;
/// Time for which a holder's connection must have been broken to count as unreachable.
const UNREACHABLE_AFTER: Millis = Millis(1_200);

/// Connections for grants, one for each holder.
#[derive(Default)]
pub(super) struct Calls {
    callers: RefCell<FastMap<Holder, Rc<Mutex<ControlClient>>>>,
    /// Sign of life of a holder at which renewals to it were stopped.
    seen: RefCell<FastMap<Holder, u64>>,
}

/// Starts the tasks of ownership.
pub(super) fn start(control: &Rc<Control>, samples: Receiver<Sample>) {
    control.ex.spawn(Rc::clone(control).tick_owners()).detach();
    control.ex.spawn(Rc::clone(control).take_samples(samples)).detach();
}

impl Control {
    async fn tick_owners(self: Rc<Self>) {
        loop {
            let tick = if self.is_leader.get() || self.is_keeper() { TICK } else { IDLE_TICK };
            Timer::after(tick.duration()).await;
            let now = clock::now();
            self.renew(now);
            if self.is_leader.get() {
                self.lead(now);
            }
        }
    }

    fn is_keeper(&self) -> bool {
        let owners = self.owners.borrow();
        let mut tables = owners.keeps.values().filter_map(|keep| keep.table());
        tables.any(|table| table.keepers.iter().any(|keeper| keeper.host == self.settings.host))
    }

    fn renew(self: &Rc<Self>, now: HostTime) {
        let mut due = Vec::new();
        let beliefs = self.beliefs.borrow();
        let is_dead = |holder: &Holder| {
            beliefs.registry.entry(&holder.id).is_some_and(|entry| entry.born > holder.born)
        };
        for (name, keep) in &mut self.owners.borrow_mut().keeps {
            let grants = keep.due(now).into_iter().filter(|grant| !is_dead(&grant.holder));
            due.extend(grants.map(|grant| (name.clone(), grant)));
        }
        drop(beliefs);
        for (name, grant) in due {
            self.ex.spawn(Rc::clone(self).renew_one(name, grant)).detach();
        }
    }

    async fn renew_one(self: Rc<Self>, service: ServiceName, grant: Grant) {
        let end = self.send_grant(&service, &grant).await;
        if let Some(keep) = self.owners.borrow_mut().keeps.get_mut(&service) {
            keep.on_end(&grant, end, clock::now());
        }
    }

    fn caller(&self, holder: &Holder) -> Rc<Mutex<ControlClient>> {
        let mut callers = self.calls.callers.borrow_mut();
        let new = || Rc::new(Mutex::new(ControlClient::new(holder.addr)));
        Rc::clone(callers.entry(holder.clone()).or_insert_with(new))
    }

    async fn send_grant(&self, service: &ServiceName, grant: &Grant) -> CallEnd {
        let caller = self.caller(&grant.holder);
        let mut caller = caller.lock().await;
        let req = (self.protocol.build_grant)(grant, self.timing.hold);
        let done = caller.call(&req, self.timing.call_timeout).await;
        match done {
            Ok(reply) => (self.protocol.parse_grant_reply)(&reply),
            Err(failure) => {
                self.note_failure(service, &grant.holder, &failure);
                CallEnd::Unknown
            }
        }
    }

    /// Stops renewals to a holder whose connection broke until the registry shows that it lives on.
    fn note_failure(&self, service: &ServiceName, holder: &Holder, failure: &Failure) {
        let timed_out = match failure {
            Failure::TimedOut => true,
            Failure::NotSent(e) => e.kind() == std::io::ErrorKind::TimedOut,
            Failure::Broken(_) | Failure::Malformed => false,
        };
        log::debug!(upstream:% = holder.id, error:% = failure; "owners: call to an upstream failed");
        if timed_out {
            return;
        }
        let seq = self.beliefs.borrow().registry.entry(&holder.id).map_or(0, |entry| entry.seq);
        self.calls.seen.borrow_mut().entry(holder.clone()).or_insert(seq);
        if let Some(keep) = self.owners.borrow_mut().keeps.get_mut(service) {
            keep.suspend(holder, clock::now());
        }
    }

    /// Renews again to holders that gave a later sign of life in the same life.
    pub(super) fn confirm_holders(&self) {
        let now = clock::now();
        let beliefs = self.beliefs.borrow();
        let mut seen = self.calls.seen.borrow_mut();
        for keep in self.owners.borrow_mut().keeps.values_mut() {
            for (holder, _) in keep.suspended() {
                let Some(entry) = beliefs.registry.entry(&holder.id) else { continue };
                let last = *seen.entry(holder.clone()).or_insert(entry.seq);
                if entry.born == holder.born && entry.seq > last {
                    seen.remove(&holder);
                    keep.resume(&holder, now);
                }
            }
        }
    }

    fn lead(self: &Rc<Self>, now: HostTime) {
        let services: Vec<ServiceName> = {
            let beliefs = self.beliefs.borrow();
            let infos = beliefs.config.iter().flat_map(|config| &config.services);
            infos.filter(|info| info.is_sharded).map(|info| info.name.clone()).collect()
        };
        if self.beliefs.borrow().fleet_end == 0 {
            // The recorded tables have not been read yet.
            return;
        }
        for service in services {
            let inputs = self.inputs(&service, now);
            let actions = {
                let mut owners = self.owners.borrow_mut();
                let table = owners.keeps.get(&service).and_then(|keep| keep.table().cloned());
                let lead = owners
                    .leads
                    .entry(service.clone())
                    .or_insert_with(|| self.new_lead(&service, table));
                lead.tick(&inputs, now)
            };
            for action in actions {
                self.ex.spawn(Rc::clone(self).act(service.clone(), action)).detach();
            }
        }
    }

    /// Gathers what the leader goes by.
    fn inputs(&self, service: &ServiceName, now: HostTime) -> Inputs {
        let beliefs = self.beliefs.borrow();
        let mut owners = self.owners.borrow_mut();
        let keep = owners.keeps.get(service);
        let holders = beliefs.registry.listed().filter(|listed| listed.entry.service == *service);
        let assumed = assumed_ms(&beliefs, service);
        let mut candidates = Vec::new();
        let mut unreachable = Vec::new();
        for listed in holders {
            let entry = &listed.entry;
            let Some(region) = entry.region.clone() else { continue };
            if entry.is_leaving {
                continue;
            }
            let holder =
                Holder { id: entry.id.clone(), born: entry.born, addr: entry.addr, region };
            let service_ms = beliefs.service_ms.get(&entry.id).copied().unwrap_or(assumed);
            let mut capacity = slots(entry.slots) * 1000.0 / service_ms.max(1.0);
            if now < listed.cold_until {
                capacity *= COLD_PART;
            }
            let is_unreachable = keep.is_some_and(|keep| {
                let since = keep.suspended_at(&holder);
                since.is_some_and(|at| now.since(at) > UNREACHABLE_AFTER)
            });
            let list = if is_unreachable { &mut unreachable } else { &mut candidates };
            list.push(Candidate { holder, capacity });
        }
        if unreachable.len() > candidates.len() {
            // More likely this host is cut off than most upstreams are.
            candidates.append(&mut unreachable);
        }
        candidates.sort_by(|a, b| a.holder.id.cmp(&b.holder.id));
        let dead = keep
            .and_then(|keep| keep.table())
            .map(|table| dead_holders(table, &beliefs.registry))
            .unwrap_or_default();
        let load = owners.loads.entry(service.clone()).or_insert_with(|| KeyLoad::new(now));
        let rates = load.rates(now);
        drop(owners);
        drop(beliefs);
        Inputs {
            candidates,
            rates,
            hosts: self.present(now),
            dead,
            is_leaving: self.is_handing_over.get(),
        }
    }

    async fn act(self: Rc<Self>, service: ServiceName, action: Action) {
        match action {
            Action::Write(table) => self.replace_table(&service, table).await,
            Action::Ask(host) => self.ask(&service, host).await,
            Action::Grant(grant) => {
                if let Some(keep) = self.owners.borrow_mut().keeps.get_mut(&service) {
                    if !keep.has_proof(clock::now()) {
                        log::warn!(service:% = service; "owners: no grant without proof that the table is the newest");
                    }
                    keep.on_sent(&grant, clock::now());
                }
                let end = self.send_grant(&service, &grant).await;
                log::info!(service:% = service, first = grant.first, last = grant.last, upstream:% = grant.holder.id, fence:% = grant.fence, end:? = end; "owners: granted");
                if let Some(lead) = self.owners.borrow_mut().leads.get_mut(&service) {
                    lead.on_granted(&grant, end, clock::now());
                }
                if end == CallEnd::Done {
                    if let Some(keep) = self.owners.borrow_mut().keeps.get_mut(&service) {
                        keep.on_granted(&grant);
                    }
                    // Requests may go there already; the record follows.
                    self.publish();
                }
            }
            Action::Release(release) => {
                let mut end = self.send_release(&release).await;
                if end == Err(CallEnd::Unknown)
                    && let Some(told) = self.release_by_peer(&service, &release).await
                {
                    end = told;
                }
                log::info!(service:% = service, first = release.first, last = release.last, upstream:% = release.holder.id, fence:% = release.fence, end:? = end; "owners: released");
                if let Some(lead) = self.owners.borrow_mut().leads.get_mut(&service) {
                    lead.on_released(&release, end, clock::now());
                }
            }
        }
    }

    async fn replace_table(&self, service: &ServiceName, table: Table) {
        let is_recorded = self.write_table(&table).await;
        log::info!(service:% = service, version = table.version, spans = table.spans.len(), recorded = is_recorded; "owners: table");
        if is_recorded {
            self.adopt(table.clone());
            self.publish();
        }
        if let Some(lead) = self.owners.borrow_mut().leads.get_mut(service) {
            lead.on_written(table, is_recorded, clock::now());
        }
    }

    /// Asks a host for its word on the table.
    async fn ask(&self, service: &ServiceName, host: HostId) {
        let table = {
            let owners = self.owners.borrow();
            owners.keeps.get(service).and_then(|keep| keep.table().cloned())
        };
        let Some(table) = table else { return };
        let ack = if host == self.settings.host {
            let owners = self.owners.borrow();
            owners.keeps.get(service).map(|keep| keep.ack(clock::now()))
        } else {
            self.ask_peer(&host, &table).await
        };
        if let Some(ack) = ack
            && let Some(lead) = self.owners.borrow_mut().leads.get_mut(service)
        {
            lead.on_ack(ack, clock::now());
        }
    }

    /// Has another host release keys that this one can't reach the holder of.
    async fn release_by_peer(
        &self,
        service: &ServiceName,
        release: &Release,
    ) -> Option<Result<Option<String>, CallEnd>> {
        let host = {
            let owners = self.owners.borrow();
            let table = owners.keeps.get(service)?.table()?;
            let own = &self.settings.host;
            let others: Vec<&Keeper> =
                table.keepers.iter().filter(|keeper| keeper.host != *own).collect();
            others.get(fastrand::usize(..others.len().max(1)))?.host.clone()
        };
        self.ask_release(&host, release).await
    }

    /// Sends a release on a connection of its own: its answer comes only when the work has ended.
    pub(super) async fn send_release(&self, release: &Release) -> Result<Option<String>, CallEnd> {
        let mut caller = ControlClient::new(release.holder.addr);
        let req = (self.protocol.build_release)(release);
        let done: Result<Reply, Failure> = caller.call(&req, RELEASE_TIMEOUT).await;
        match done {
            Ok(reply) => {
                let end = (self.protocol.parse_release_reply)(&reply);
                if end.is_err() {
                    log::info!(upstream:% = release.holder.id, status = reply.head.status, body = String::from_utf8_lossy(&reply.body).as_ref(); "owners: release refused");
                }
                end
            }
            Err(failure) => {
                log::info!(upstream:% = release.holder.id, error:% = failure; "owners: release failed");
                Err(CallEnd::Unknown)
            }
        }
    }

    async fn take_samples(self: Rc<Self>, samples: Receiver<Sample>) {
        while let Ok(sample) = samples.recv().await {
            let now = clock::now();
            self.learn_times(&sample.service_ms);
            self.count_keys(&sample.keys, now);
            if !self.is_leader.get() {
                self.send_load(sample).await;
            }
        }
    }

    /// Takes over what a host has learnt of upstreams. Each of many hosts sees few requests of an upstream, so that all
    /// of their times count.
    pub(super) fn learn_times(&self, service_ms: &[(UpstreamId, f32)]) {
        let mut beliefs = self.beliefs.borrow_mut();
        for (id, ms) in service_ms {
            let known = beliefs.service_ms.entry(id.clone()).or_insert(*ms);
            *known += (ms - *known) * TOLD_WEIGHT;
        }
    }

    /// Counts the keys of requests for the balance of load.
    pub(super) fn count_keys(&self, keys: &[(ServiceName, Vec<u16>)], now: HostTime) {
        if !self.is_leader.get() {
            return;
        }
        let mut owners = self.owners.borrow_mut();
        for (service, keys) in keys {
            let load = owners.loads.entry(service.clone()).or_insert_with(|| KeyLoad::new(now));
            load.add(keys, now);
        }
    }
}

/// Returns the time that requests of a service take at an upstream of which none is known: as at the others.
fn assumed_ms(beliefs: &Beliefs, service: &ServiceName) -> f32 {
    let listed = beliefs.registry.listed().filter(|listed| listed.entry.service == *service);
    let known = listed.filter_map(|listed| beliefs.service_ms.get(&listed.entry.id));
    let (sum, count) = known.fold((0.0, 0.0), |(sum, count), ms| (sum + ms, count + 1.0));
    if count > 0.0 { sum / count } else { ASSUMED_SERVICE_MS }
}

fn dead_holders(table: &Table, registry: &super::registry::Registry) -> Vec<Holder> {
    let former = table.spans.iter().flat_map(|span| &span.former).map(|former| &former.holder);
    let owners = table.spans.iter().map(|span| &span.owner);
    let is_dead =
        |holder: &&Holder| registry.entry(&holder.id).is_some_and(|entry| entry.born > holder.born);
    former.chain(owners).filter(is_dead).cloned().collect()
}

#[expect(clippy::cast_precision_loss, reason = "a count of slots")]
const fn slots(count: u32) -> f32 {
    count as f32
}
