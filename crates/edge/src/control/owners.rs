//! Renewal of grants and, on the leader, the actions that change owners of keys.

use super::identity::Path;
use super::{Control, FleetState, lost_tables, store_sync};
use crate::client::{ControlClient, Failure, Outgoing, Reply};
use crate::clock;
use crate::detour::DetourError;
use crate::framing;
use crate::net::ConnectError;
use crate::traffic::Sample;
use crate::upstreams::ReleaseReply;
use async_channel::Receiver;
use async_io::Timer;
use async_lock::Mutex;
use skylarkdock_dispatch::notices::Notices;
use skylarkdock_dispatch::paths::Intermediary;
use skylarkdock_dispatch::regions::AllowedRegions;
use skylarkdock_spans::end::{GrantEnd, NotEnded};
use skylarkdock_spans::evacuated::keep_owners;
use skylarkdock_spans::leader::{Action, Inputs};
use skylarkdock_spans::load::{KeyLoad, Rates};
use skylarkdock_spans::plan::Candidate;
use skylarkdock_spans::renewal::{CallEnd, Connection, Grant, Purpose, Release};
use skylarkdock_spans::resting::is_widely_resting;
use skylarkdock_spans::restored::Recall;
use skylarkdock_spans::table::{Holder, Keeper, Table};
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{HostId, ServiceName, UpstreamId};
use skylarkdock_units::times::{HostTime, Millis};
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;

/// Time between checks for due renewals and, on the leader, between ticks of the leader state.
const TICK: Millis = Millis(50);
/// Time between these checks on a host that is neither leader nor keeper.
const IDLE_TICK: Millis = Millis(300);
/// Time-out of a release. The upstream answers only when its work on the keys has ended.
pub(super) const RELEASE_TIMEOUT: Millis = Millis(4_000);
/// Service time assumed while no upstream of the service has a measured one, in milliseconds.
const ASSUMED_SERVICE_MS: f32 = 150.0;
/// Weight of a new sample in the smoothed service time of an upstream.
const SAMPLE_WEIGHT: f32 = 0.3;
/// Share of its capacity that an upstream is planned with while it is slow after its start.
const COLD_CAPACITY_SHARE: f32 = 0.6;
/// Time for which a holder must have been suspended to count as unreachable.
const UNREACHABLE_AFTER: Millis = Millis(1_200);

/// Calls to holders: their connections, and the heartbeats at which they were suspended.
#[derive(Default)]
pub(super) struct HolderCalls {
    /// Connection for grants to each holder.
    callers: RefCell<FastMap<Holder, Rc<Mutex<ControlClient>>>>,
    /// Number of the last heartbeat of each holder when it was suspended.
    suspended_at_seq: RefCell<FastMap<Holder, u64>>,
    /// When the store last gave no fresh proof of the recorded tables; zero if it never failed to.
    pub(super) proof_failed_at: Mutex<HostTime>,
}

/// Starts the tasks that renew grants, lead services and process samples.
pub(super) fn start(control: &Rc<Control>, samples: Receiver<Sample>) {
    control.spawn("ownership", Rc::clone(control).run_ownership());
    control.spawn("samples", Rc::clone(control).process_samples(samples));
}

impl Control {
    async fn run_ownership(self: Rc<Self>) {
        loop {
            let tick = if self.is_leader.get() || self.is_keeper() { TICK } else { IDLE_TICK };
            Timer::after(tick.duration()).await;
            let now = clock::now();
            self.resume_holders();
            self.send_due_renewals(now);
            if self.is_leader.get() {
                self.count_hosts(now);
                self.tick_leaders(now);
            }
        }
    }

    pub(super) fn is_keeper(&self) -> bool {
        let owners = self.owners.borrow();
        let mut tables = owners.renewals.values().filter_map(|renewals| renewals.table());
        tables.any(|table| table.keepers.iter().any(|keeper| keeper.host == self.settings.host))
    }

    fn send_due_renewals(self: &Rc<Self>, now: HostTime) {
        let mut due = Vec::new();
        let fleet = self.fleet.borrow();
        let is_dead = |holder: &Holder| {
            fleet.registry.entry(&holder.id).is_some_and(|entry| entry.born > holder.born)
        };
        for (name, renewals) in &mut self.owners.borrow_mut().renewals {
            let grants =
                renewals.due_renewals(now).into_iter().filter(|grant| !is_dead(&grant.holder));
            due.extend(grants.map(|grant| (name.clone(), grant)));
        }
        drop(fleet);
        for (name, grant) in due {
            self.spawn("renewal", Rc::clone(self).send_renewal(name, grant));
        }
    }

    async fn send_renewal(self: Rc<Self>, service: ServiceName, grant: Grant) {
        let Some(end) = self.send_grant(&service, &grant, Purpose::Renewal).await else { return };
        if let Some(renewals) = self.owners.borrow_mut().renewals.get_mut(&service) {
            let was_suspended = renewals.suspended_at(&grant.holder).is_some();
            renewals.on_renewal_end(&grant, end, clock::now());
            if !was_suspended && renewals.suspended_at(&grant.holder).is_some() {
                log::info!(service:% = service, upstream:% = grant.holder.id, end:? = end; "owners: renewals suspended");
            }
        }
    }

    fn caller(&self, holder: &Holder) -> Rc<Mutex<ControlClient>> {
        let mut callers = self.holder_calls.callers.borrow_mut();
        let new = || Rc::new(Mutex::new(ControlClient::new(holder.addr)));
        Rc::clone(callers.entry(holder.clone()).or_insert_with(new))
    }

    /// Sends a grant once the calls to its holder before it have ended, over another host if this one has no path to the
    /// upstream. Returns `None` if it may no longer be sent then, and for a renewal if this host lacks what that needs.
    async fn send_grant(
        &self,
        service: &ServiceName,
        grant: &Grant,
        purpose: Purpose,
    ) -> Option<CallEnd> {
        let addr = grant.holder.addr;
        let paths = self.status.paths();
        let decided_at = clock::now();
        let caller = self.caller(&grant.holder);
        let mut caller = caller.lock().await;
        let is_direct = paths.lock().is_direct(addr);
        let is_open = is_direct && caller.is_connected();
        let conn = if is_open { Connection::Open } else { Connection::New };
        if conn == Connection::New {
            self.refresh_proof(service, &grant.holder).await;
        }
        let started = clock::now();
        if !self.confirm_send(service, grant, purpose, conn, started) {
            let waited = started.since(decided_at);
            log::debug!(service:% = service, first = grant.first, last = grant.last, upstream:% = grant.holder.id, waited:% = waited, connection:? = conn; "owners: grant not sent, as it is no longer due");
            return None;
        }
        // Another host opens a new connection, which a later incarnation may have accepted.
        let may_detour = self.may_connect(service, &grant.holder, started);
        let req = (self.protocol.build_grant)(grant, self.timing.hold);
        // A renewal that this host had nothing to send on is no news of the holder, so it is as if it had not been due.
        let unsent = |has_lacked: bool| {
            (!has_lacked || matches!(purpose, Purpose::Move)).then_some(CallEnd::Unknown)
        };
        let mut has_lacked = false;
        if is_direct {
            let failure = match caller.call(&req, self.timing.call_timeout).await {
                Ok(reply) => {
                    paths.on_success(addr);
                    return Some(self.read_grant_reply(grant, &reply));
                }
                Err(failure) => failure,
            };
            if is_path_failure(&failure) {
                paths.on_failure(addr, &failure);
            }
            has_lacked = matches!(failure, Failure::Shortage(_));
            if has_lacked {
                log::warn!(service:% = service, upstream:% = grant.holder.id, error:? = failure; "owners: grant not sent, for lack of what a connection needs");
            } else if !matches!(&failure, Failure::NotSent(e) if e.kind() != ErrorKind::ConnectionReset)
            {
                self.on_call_failure(service, &grant.holder, &failure);
                return Some(CallEnd::Unknown);
            }
        }
        drop(caller);
        if !may_detour {
            return unsent(has_lacked);
        }
        let remaining = self.timing.call_timeout.saturating_sub(clock::now().since(started));
        let end = match self.call_over_detour(addr, &req, remaining).await {
            Ok(Ok(reply)) => self.read_grant_reply(grant, &reply),
            Ok(Err(failure)) => {
                self.on_call_failure(service, &grant.holder, &failure);
                CallEnd::Unknown
            }
            Err(DetourError::Refused) => {
                let refused = Failure::NotSent(ErrorKind::ConnectionRefused.into());
                self.on_call_failure(service, &grant.holder, &refused);
                CallEnd::Unknown
            }
            Err(DetourError::NoDetour | DetourError::Unreached) => return unsent(has_lacked),
            Err(DetourError::Shortage(_)) => return unsent(true),
        };
        Some(end)
    }

    fn read_grant_reply(&self, grant: &Grant, reply: &Reply) -> CallEnd {
        self.record_answer(&grant.holder, reply);
        let end = (self.protocol.parse_grant_reply)(reply);
        if end != CallEnd::Done {
            let (headers, names) = (&reply.head.headers, &self.protocol.names);
            log::info!(upstream:% = grant.holder.id, first = grant.first, last = grant.last, fence:% = grant.fence, end:? = end, path:% = Path(reply), status = reply.head.status, instance = framing::excerpt(headers.get(names.instance).unwrap_or_default()), not_run = headers.get(names.not_run).is_some(); "owners: grant refused");
        }
        end
    }

    /// Returns whether a grant may still be sent, and records it as sent if so.
    fn confirm_send(
        &self,
        service: &ServiceName,
        grant: &Grant,
        purpose: Purpose,
        conn: Connection,
        now: HostTime,
    ) -> bool {
        let entry_born =
            self.fleet.borrow().registry.entry(&grant.holder.id).map_or(0, |entry| entry.born);
        let mut owners = self.owners.borrow_mut();
        let renewals = owners.renewals.get_mut(service);
        entry_born <= grant.holder.born
            && renewals.is_some_and(|renewals| renewals.confirm_send(grant, purpose, conn, now))
    }

    /// Records what the answer to a grant or release asks of this host.
    pub(super) fn record_answer(&self, holder: &Holder, reply: &Reply) {
        let notices = (self.protocol.parse_notices)(reply, &holder.id);
        self.record_notices(&holder.id, holder.born, notices);
    }

    /// Records notices of an upstream, and tells the traffic thread of new ones.
    pub(super) fn record_notices(&self, id: &UpstreamId, born: u64, notices: Notices) {
        if self.status.notices().record(id, born, notices) {
            self.publish();
        }
    }

    /// Returns the listed upstreams that said that they leave, with the times of their starts.
    pub(super) fn leaving_upstreams(&self) -> Vec<(UpstreamId, u64)> {
        let fleet = self.fleet.borrow();
        let mut leaving = Vec::new();
        self.status.notices().for_each(|asked| {
            if asked.leaving_since.is_some() && fleet.is_listed(asked.id, asked.born) {
                leaving.push((asked.id.clone(), asked.born));
            }
        });
        leaving
    }

    /// Returns the listed upstreams that asked this host for rest, with the times of their starts and the remaining
    /// rests.
    pub(super) fn resting_upstreams(&self) -> Vec<(UpstreamId, u64, Millis)> {
        let (fleet, now) = (self.fleet.borrow(), clock::now());
        let mut resting = Vec::new();
        self.status.notices().for_each(|asked| {
            if let Some(until) = asked.rest_until
                && fleet.is_listed(asked.id, asked.born)
            {
                resting.push((asked.id.clone(), asked.born, until.since(now)));
            }
        });
        resting
    }

    /// Returns the remaining rests that an upstream asked for, of all hosts that said so lately.
    fn rests(&self, fleet: &FleetState, id: &UpstreamId, born: u64, now: HostTime) -> Vec<Millis> {
        let of_upstream = |rests: &Vec<(UpstreamId, u64, HostTime)>| {
            let found = rests.iter().find(|(other, at, _)| other == id && *at == born);
            found.map(|(_, _, until)| until.since(now))
        };
        let others = fleet.rests.iter().filter(|(host, _)| **host != self.settings.host);
        let others = others.filter_map(|(_, rests)| of_upstream(rests));
        others.chain(self.status.notices().remaining_rest(id, born)).collect()
    }

    /// Makes a call to an upstream over another host.
    pub(super) async fn call_over_detour(
        &self,
        upstream: SocketAddr,
        req: &Outgoing,
        timeout: Millis,
    ) -> Result<Result<Reply, Failure>, DetourError> {
        let intermediaries: Vec<Intermediary> = {
            let fleet = self.fleet.borrow();
            let others = fleet.hosts.values().filter(|record| record.host != self.settings.host);
            let others = others.map(|record| (record.peers, &record.region));
            // Grants and releases carry no caller's request, so they may go over hosts of any region.
            Intermediary::list(others, &self.settings.region, &AllowedRegions::default())
        };
        self.detour_client
            .call(self.status.paths(), &intermediaries, upstream, (req, true), timeout)
            .await
    }

    /// Suspends a holder after a failed call, except a time-out or what this host lacked. Its renewals resume when the
    /// registry shows that the same incarnation still runs.
    fn on_call_failure(&self, service: &ServiceName, holder: &Holder, failure: &Failure) {
        let says_nothing = match failure {
            Failure::TimedOut | Failure::Shortage(_) => true,
            Failure::NotSent(e) => e.kind() == ErrorKind::TimedOut,
            Failure::Broken(_) | Failure::Malformed | Failure::InvalidStatus(_) => false,
        };
        log::debug!(upstream:% = holder.id, error:% = failure; "owners: call to an upstream failed");
        if says_nothing {
            return;
        }
        log::info!(service:% = service, upstream:% = holder.id, error:% = failure; "owners: renewals suspended");
        let seq = self.fleet.borrow().registry.entry(&holder.id).map_or(0, |entry| entry.seq);
        self.holder_calls.suspended_at_seq.borrow_mut().entry(holder.clone()).or_insert(seq);
        if let Some(renewals) = self.owners.borrow_mut().renewals.get_mut(service) {
            renewals.suspend(holder, clock::now());
        }
    }

    /// Resumes renewals to suspended holders that wrote their entry in the same incarnation since. The store tells of a
    /// heartbeat only if something else in the entry changes, so mostly the entry's presence shows it.
    pub(super) fn resume_holders(&self) {
        let now = clock::now();
        let fleet = self.fleet.borrow();
        let mut suspended_at_seq = self.holder_calls.suspended_at_seq.borrow_mut();
        for renewals in self.owners.borrow_mut().renewals.values_mut() {
            for (holder, since) in renewals.suspended() {
                let Some(entry) = fleet.registry.entry(&holder.id) else { continue };
                let last = *suspended_at_seq.entry(holder.clone()).or_insert(entry.seq);
                let has_written =
                    entry.seq > last || fleet.registry.has_written_since(&holder.id, since);
                if entry.born == holder.born && has_written {
                    log::info!(upstream:% = holder.id; "owners: renewals resumed");
                    suspended_at_seq.remove(&holder);
                    renewals.resume(&holder, now);
                }
            }
        }
    }

    fn tick_leaders(self: &Rc<Self>, now: HostTime) {
        let services: Vec<ServiceName> = {
            let fleet = self.fleet.borrow();
            let infos = fleet.config.iter().flat_map(|config| &config.services);
            infos.filter(|info| info.is_sharded).map(|info| info.name.clone()).collect()
        };
        if self.fleet.borrow().fleet_end == 0 {
            // The recorded tables have not been read yet.
            return;
        }
        for service in services {
            self.search_table(&service);
            let recall = self.recall_table(&service);
            let leader_inputs = Inputs { recall, ..self.leader_inputs(&service, now) };
            let actions = {
                let mut owners = self.owners.borrow_mut();
                let table =
                    owners.renewals.get(&service).and_then(|renewals| renewals.table().cloned());
                let leader = owners
                    .leaders
                    .entry(service.clone())
                    .or_insert_with(|| self.new_leader(&service, table));
                leader.tick(&leader_inputs, now)
            };
            for action in actions {
                self.spawn("leader", Rc::clone(self).execute_action(service.clone(), action));
            }
        }
    }

    /// Collects the state that the leader decides on.
    fn leader_inputs(&self, service: &ServiceName, now: HostTime) -> Inputs {
        let hosts = self.available_hosts(now);
        let fleet = self.fleet.borrow();
        let mut owners = self.owners.borrow_mut();
        let renewals = owners.renewals.get(service);
        let upstreams = fleet.registry.listed().filter(|listed| listed.entry.service == *service);
        let assumed = assumed_service_ms(&fleet, service);
        let mut candidates = Vec::new();
        let mut unreachable = Vec::new();
        let mut resting = Vec::new();
        let mut evacuated = Vec::new();
        for listed in upstreams {
            let entry = &listed.entry;
            let Some(region) = entry.region.clone() else { continue };
            if entry.is_leaving || self.status.notices().is_leaving(&entry.id, entry.born) {
                continue;
            }
            let holder =
                Holder { id: entry.id.clone(), born: entry.born, addr: entry.addr, region };
            let service_ms = fleet.service_ms.get(&entry.id).copied().unwrap_or(assumed);
            let mut capacity = slots(entry.slots) * 1000.0 / service_ms.max(1.0);
            if now < listed.cold_until {
                capacity *= COLD_CAPACITY_SHARE;
            }
            let is_unreachable = renewals.is_some_and(|renewals| {
                let since = renewals.suspended_at(&holder);
                since.is_some_and(|at| now.since(at) > UNREACHABLE_AFTER)
            });
            let rests = self.rests(&fleet, &entry.id, entry.born, now);
            let list = if self.status.evacuations().contains(&entry.zone) {
                &mut evacuated
            } else if is_unreachable {
                &mut unreachable
            } else if is_widely_resting(&rests, hosts.len()) {
                &mut resting
            } else {
                &mut candidates
            };
            list.push(Candidate { holder, capacity });
        }
        if unreachable.len() > candidates.len() || self.status.paths().lock().is_cut_off() {
            // More likely this host has lost its paths than the upstreams have ended.
            candidates.append(&mut unreachable);
        }
        if resting.len() > candidates.len() {
            // The others would be overloaded with the keys of so many.
            candidates.append(&mut resting);
        }
        // While no other upstream is left, the keys stay where they are.
        let has_only_evacuated = candidates.is_empty() && !evacuated.is_empty();
        if has_only_evacuated {
            let table = owners.renewals.get(service).and_then(|renewals| renewals.table());
            candidates = keep_owners(evacuated, table);
        }
        candidates.sort_by(|a, b| a.holder.id.cmp(&b.holder.id));
        let load = owners.key_loads.entry(service.clone()).or_insert_with(|| KeyLoad::new(now));
        // Requests are refused then, so their load is no reason to move keys.
        let rates = if has_only_evacuated { Rates::default() } else { load.rates(now) };
        let key = store_sync::table_key(service);
        let is_record_unreadable = fleet.unreadable_tables.contains(&key);
        let search = fleet.unreadable_tables.search(&key);
        let copy = Some(lost_tables::copy_of(fleet.fleet_end));
        drop(owners);
        drop(fleet);
        Inputs {
            candidates,
            rates,
            hosts,
            cut_off: self.cut_off_hosts(),
            is_leaving: self.is_handing_over.get(),
            is_record_unreadable,
            search,
            copy,
            recall: Recall::Certain,
            uptime: now.since(self.started_at),
        }
    }

    /// Carries out an action of the leader and reports the result to it.
    async fn execute_action(self: Rc<Self>, service: ServiceName, action: Action) {
        match action {
            Action::Write(table) => self.replace_table(&service, table).await,
            Action::RequestAck(host) => self.collect_ack(&service, host).await,
            Action::Grant(grant) => {
                if let Some(leader) = self.owners.borrow().leaders.get(&service) {
                    for (holder, by) in leader.ends(&grant) {
                        log::info!(service:% = service, first = grant.first, last = grant.last, upstream:% = holder.id, born = holder.born, fence:% = grant.fence, by:% = by; "owners: former grant has ended");
                    }
                }
                let Some(end) = self.send_grant(&service, &grant, Purpose::Move).await else {
                    if let Some(leader) = self.owners.borrow_mut().leaders.get_mut(&service) {
                        leader.on_withheld(&grant, clock::now());
                    }
                    return;
                };
                log::info!(service:% = service, first = grant.first, last = grant.last, upstream:% = grant.holder.id, fence:% = grant.fence, end:? = end; "owners: granted");
                if let Some(leader) = self.owners.borrow_mut().leaders.get_mut(&service) {
                    leader.on_granted(&grant, end, clock::now());
                }
                if end == CallEnd::Fenced
                    && let Some(renewals) = self.owners.borrow_mut().renewals.get_mut(&service)
                {
                    renewals.on_fenced(&grant, clock::now());
                }
                if end == CallEnd::Done {
                    if let Some(renewals) = self.owners.borrow_mut().renewals.get_mut(&service) {
                        renewals.on_granted(&grant);
                    }
                    // Requests may be sent to the owner already, before the grant is recorded.
                    self.publish();
                }
            }
            Action::Release(release) => {
                let mut end = self.send_release(&release).await;
                let mut sender = self.settings.host.clone();
                if end == Err(NotEnded::Unknown)
                    && let Some((host, result)) =
                        self.release_through_peer(&service, &release).await
                {
                    (sender, end) = (host, result);
                }
                match &end {
                    Ok(by) => {
                        log::info!(service:% = service, first = release.first, last = release.last, upstream:% = release.holder.id, fence:% = release.fence, by:% = by, sender:% = sender; "owners: released");
                    }
                    Err(reason) => {
                        log::info!(service:% = service, first = release.first, last = release.last, upstream:% = release.holder.id, fence:% = release.fence, reason:% = reason, sender:% = sender; "owners: not released");
                    }
                }
                if let Some(leader) = self.owners.borrow_mut().leaders.get_mut(&service) {
                    leader.on_released(&release, end, clock::now());
                }
            }
        }
    }

    async fn replace_table(&self, service: &ServiceName, table: Table) {
        let asked_at = clock::now();
        let is_recorded = self.write_table(&table).await;
        log::info!(service:% = service, version = table.version, spans = table.spans.len(), recorded = is_recorded; "owners: table write ended");
        if is_recorded {
            self.adopt_table(table.clone());
            // The write was conditional, so no newer table was recorded before it.
            if let Some(renewals) = self.owners.borrow_mut().renewals.get_mut(service) {
                renewals.prove(asked_at);
            }
            self.publish();
        }
        if let Some(leader) = self.owners.borrow_mut().leaders.get_mut(service) {
            leader.on_written(table, is_recorded, clock::now());
        }
    }

    /// Gets the acknowledgement of the table from a host, which may be this one, and hands it to the leader.
    async fn collect_ack(&self, service: &ServiceName, host: HostId) {
        let table = {
            let owners = self.owners.borrow();
            owners.renewals.get(service).and_then(|renewals| renewals.table().cloned())
        };
        let Some(table) = table else { return };
        let ack = if host == self.settings.host {
            let owners = self.owners.borrow();
            owners.renewals.get(service).map(|renewals| renewals.ack(clock::now()))
        } else {
            self.request_ack(&host, &table).await
        };
        if let Some(ack) = ack
            && let Some(leader) = self.owners.borrow_mut().leaders.get_mut(service)
        {
            leader.on_ack(ack, clock::now());
        }
    }

    /// Requests that a random other keeper sends a release to a holder that this host can't reach. Returns that keeper and
    /// the result.
    async fn release_through_peer(
        &self,
        service: &ServiceName,
        release: &Release,
    ) -> Option<(HostId, Result<GrantEnd, NotEnded>)> {
        let host = {
            let owners = self.owners.borrow();
            let table = owners.renewals.get(service)?.table()?;
            let own = &self.settings.host;
            let others: Vec<&Keeper> =
                table.keepers.iter().filter(|keeper| keeper.host != *own).collect();
            others.get(fastrand::usize(..others.len().max(1)))?.host.clone()
        };
        let result = self.request_release(&host, release).await?;
        Some((host, result))
    }

    /// Sends a release over a separate connection, as the answer comes only when the work on the keys has ended. If it is
    /// refused, asks the process at the address for its id.
    pub(super) async fn send_release(&self, release: &Release) -> Result<GrantEnd, NotEnded> {
        let holder = &release.holder;
        let sent_at = clock::now();
        let req = (self.protocol.build_release)(release);
        let is_direct = self.status.paths().lock().is_direct(holder.addr);
        let mut client = is_direct.then(|| ControlClient::new(holder.addr));
        let done: Result<Reply, Failure> = match &mut client {
            Some(client) => client.call(&req, RELEASE_TIMEOUT).await,
            None => {
                let not_sent = |e: DetourError| Err(ConnectError::from(e).into());
                let call = self.call_over_detour(holder.addr, &req, RELEASE_TIMEOUT);
                call.await.unwrap_or_else(not_sent)
            }
        };
        let reply = match done {
            Ok(reply) => reply,
            Err(failure) => {
                log::info!(upstream:% = holder.id, direct = is_direct, error:% = failure; "owners: release failed");
                return Err(NotEnded::Unknown);
            }
        };
        self.record_answer(holder, &reply);
        match (self.protocol.parse_release_reply)(&reply) {
            ReleaseReply::Released { handover } => {
                log::debug!(upstream:% = holder.id, path:% = Path(&reply); "owners: release confirmed");
                Ok(GrantEnd::released(Some(handover)))
            }
            ReleaseReply::RefusedBy(found) => {
                self.log_refusal(release, &reply);
                GrantEnd::replaced(holder, &found).ok_or(NotEnded::Refused)
            }
            ReleaseReply::Refused => {
                self.log_refusal(release, &reply);
                let remaining = RELEASE_TIMEOUT.saturating_sub(clock::now().since(sent_at));
                Box::pin(self.identify(holder, client, remaining)).await
            }
            ReleaseReply::Unknown => {
                self.log_refusal(release, &reply);
                Err(NotEnded::Unknown)
            }
        }
    }

    fn log_refusal(&self, release: &Release, reply: &Reply) {
        let (headers, names) = (&reply.head.headers, &self.protocol.names);
        log::info!(upstream:% = release.holder.id, path:% = Path(reply), status = reply.head.status, instance = framing::excerpt(headers.get(names.instance).unwrap_or_default()), not_run = headers.get(names.not_run).is_some(), body = framing::excerpt(&reply.body); "owners: release refused");
    }

    async fn process_samples(self: Rc<Self>, samples: Receiver<Sample>) {
        while let Ok(sample) = samples.recv().await {
            let now = clock::now();
            self.update_service_times(&sample.service_ms);
            self.count_keys(&sample.keys, now);
            if !self.is_leader.get() {
                self.send_sample(sample).await;
            }
        }
    }

    /// Updates the smoothed service times with those of a host. Each of many hosts sends an upstream only few requests,
    /// so the times of all hosts are combined.
    pub(super) fn update_service_times(&self, service_ms: &[(UpstreamId, f32)]) {
        let mut fleet = self.fleet.borrow_mut();
        for (id, ms) in service_ms {
            let known = fleet.service_ms.entry(id.clone()).or_insert(*ms);
            *known += (ms - *known) * SAMPLE_WEIGHT;
        }
    }

    /// Counts the keys of requests, on the leader only, so that it can balance load.
    pub(super) fn count_keys(&self, keys: &[(ServiceName, Vec<u16>)], now: HostTime) {
        if !self.is_leader.get() {
            return;
        }
        let mut owners = self.owners.borrow_mut();
        for (service, keys) in keys {
            let load = owners.key_loads.entry(service.clone()).or_insert_with(|| KeyLoad::new(now));
            load.add(keys, now);
        }
    }
}

/// Returns whether a failed call may be due to the path: no connection could be opened, or it is silent.
fn is_path_failure(failure: &Failure) -> bool {
    match failure {
        Failure::TimedOut => true,
        Failure::NotSent(e) => e.kind() != ErrorKind::ConnectionReset,
        Failure::Broken(_)
        | Failure::Malformed
        | Failure::InvalidStatus(_)
        | Failure::Shortage(_) => false,
    }
}

/// Returns the service time to assume for an upstream without a known one: the mean of the other upstreams of its
/// service.
fn assumed_service_ms(fleet: &FleetState, service: &ServiceName) -> f32 {
    let listed = fleet.registry.listed().filter(|listed| listed.entry.service == *service);
    let known = listed.filter_map(|listed| fleet.service_ms.get(&listed.entry.id));
    let (sum, count) = known.fold((0.0, 0.0), |(sum, count), ms| (sum + ms, count + 1.0));
    if count > 0.0 { sum / count } else { ASSUMED_SERVICE_MS }
}

#[expect(clippy::cast_precision_loss, reason = "a count of slots")]
const fn slots(count: u32) -> f32 {
    count as f32
}
