//! Serves ranges: requests grants for them, admits requests, and moves ranges to other upstreams so
//! that no request can run on two upstreams.

use crate::clock;
use crate::control::Control;
use crate::control::events::{Health, UpstreamKey};
use crate::control::upstreams::Upstream;
use crate::routing_table::Lease;
use crate::shared_state::TrafficReport;
use crate::upstream_queue::UpstreamQueue;
use skylarkdock_grants::{CallOutcome, FencedRange, GrantManager, GrantPhase};
use skylarkdock_peer::message::{Crashes, Payload};
use skylarkdock_policy::slots::RangeShare;
use skylarkdock_timeline::kind::{EventKind, Fingerprint};
use skylarkdock_timeline::reasons::AssignReason;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{Epoch, Member, Offset, RangeId, ServiceName, UpstreamId};
use skylarkdock_units::times::{HostTime, Millis};
use std::sync::Arc;

const HEALTH_INTERVAL_MS: Millis = Millis(200);
const HEALTH_INTERVAL_WITH_GRANTS_MS: Millis = Millis(1_000);
const DOWN_AFTER_FAILURES: u32 = 2;
const QUARANTINE_DEATHS: u32 = 2;
const PROPOSAL_RETRY_MS: Millis = Millis(1_000);

/// A range whose lease is held here.
pub(super) struct ServedRange {
    /// The epoch under which the range is held.
    pub(super) epoch: Epoch,
    /// The fencing token sent to the upstream: the epoch when the grant was requested. This host has
    /// held the range without a gap since then. Renewing the epoch does not change the token, so that
    /// running requests are not fenced.
    token: Epoch,
    /// The upstream that has a grant for the range or is to get one.
    pub(super) upstream: Option<UpstreamId>,
    /// Stage that the serving of the range has reached.
    pub(super) stage: Stage,
    /// When the lease was acquired.
    pub(super) acquired: HostTime,
}

/// Stage of the serving of a range.
#[derive(Clone)]
pub(super) enum Stage {
    /// A grant is requested from the upstream; requests wait.
    Granting,
    /// Requests are admitted.
    Open,
    /// The upstream's grant is being withdrawn; requests wait.
    Closing {
        /// The upstream to propose next; `None` if a record assigns it already.
        to: Option<UpstreamId>,
        /// Why the range leaves its upstream.
        reason: AssignReason,
        /// When the withdrawal was started.
        since: HostTime,
    },
    /// A record that assigns the next upstream is proposed and not applied yet.
    Moving {
        /// The proposed upstream.
        to: UpstreamId,
        /// Why the range moves.
        reason: AssignReason,
        /// When the record was proposed.
        since: HostTime,
    },
    /// The lease goes to another host; running requests are finished.
    Draining {
        /// The epoch to release.
        epoch: Epoch,
        /// The member that should hold the range next, if known.
        successor: Option<Member>,
        /// When the drain was started.
        since: HostTime,
    },
}

impl ServedRange {
    pub(super) fn new(epoch: Epoch, now: HostTime) -> Self {
        Self { epoch, token: epoch, upstream: None, stage: Stage::Granting, acquired: now }
    }
}

/// Grants and health of an upstream that owns ranges served here.
#[derive(Default)]
pub(super) struct UpstreamState {
    grant_manager: GrantManager,
    failures: u32,
    down: bool,
    draining: bool,
    last_health_check: Option<HostTime>,
    health_check_in_flight: bool,
}

impl UpstreamState {
    /// Returns whether the upstream accepts new ranges, as far as this host knows.
    pub(super) fn is_usable(&self) -> bool {
        !self.down && !self.draining
    }

    /// Returns the interval between health checks. It is longer while grants are renewed, because a
    /// renewal is a sign of life too.
    fn health_interval(&self) -> Millis {
        let renews_grants = !self.grant_manager.is_fencing_unsupported() && self.failures == 0;
        if renews_grants { HEALTH_INTERVAL_WITH_GRANTS_MS } else { HEALTH_INTERVAL_MS }
    }

    /// Returns whether the upstream counts as down because it did not answer calls.
    pub(super) fn is_down(&self) -> bool {
        self.down
    }
}

impl Control {
    /// Advances the stages of all ranges served here, and makes the calls to upstreams that are due.
    pub(super) fn serve(&mut self, now: HostTime) {
        self.extend_leases();
        let ranges: Vec<RangeId> = self.served.keys().cloned().collect();
        for range in ranges {
            self.advance(&range, now);
        }
        self.call_upstreams(now);
        for queue in self.upstream_queues.values() {
            queue.process_queue();
        }
    }

    fn advance(&mut self, range: &RangeId, now: HostTime) {
        let Some(served) = self.served.get(range) else { return };
        match served.stage.clone() {
            Stage::Granting => self.advance_granting(range, now),
            Stage::Open => self.advance_open(range, now),
            Stage::Closing { to, reason, since } => {
                self.advance_closing(range, to, reason, since, now)
            }
            Stage::Moving { to, reason, since } => {
                self.advance_moving(range, &to, reason, since, now)
            }
            Stage::Draining { epoch, successor, since } => {
                let drained = self.slot(range).in_flight() == 0;
                if drained || now.since(since) >= self.deps.settings.drain_limit {
                    self.finish_drain(range, epoch, successor);
                }
            }
        }
    }

    /// Returns the offset and the upstream of a range's assignment, if this host may act on it.
    fn assigned_upstream(&self, range: &RangeId) -> Option<(Offset, UpstreamId)> {
        let assignment = self.fold.state().assignment(range)?;
        let usable = self.usable_assignment(range)?;
        (assignment.offset <= usable).then(|| (assignment.offset, assignment.upstream.clone()))
    }

    fn advance_granting(&mut self, range: &RangeId, now: HostTime) {
        let Some((_, assigned)) = self.assigned_upstream(range) else { return };
        let Some(served) = self.served.get(range) else { return };
        if served.upstream.as_ref() != Some(&assigned) {
            match served.upstream.clone() {
                None => self.request_grant(range, assigned, now),
                Some(_) => self.start_closing(range, None, AssignReason::Kept, now),
            }
            return;
        }
        let (epoch, key) = (served.token, (range.service.clone(), assigned));
        if self.grant_phase(&key, range, now) != GrantPhase::Granted {
            return;
        }
        let Some(upstream_queue) = self.upstream_queue(&key) else { return };
        self.slot(range).open(Lease { epoch, upstream_queue });
        if let Some(served) = self.served.get_mut(range) {
            served.stage = Stage::Open;
            let held = now.since(served.acquired);
            metrics::histogram!("skylarkdock_range_opened_ms")
                .record(crate::utils::metric_value(held.0 as usize));
        }
        self.extend_leases();
    }

    fn request_grant(&mut self, range: &RangeId, upstream: UpstreamId, now: HostTime) {
        let Some(served) = self.served.get_mut(range) else { return };
        served.upstream = Some(upstream.clone());
        served.stage = Stage::Granting;
        served.token = served.epoch;
        let token = served.token;
        let expiry = Self::earlier_grants_expiry(now);
        let key = (range.service.clone(), upstream);
        self.upstreams.entry(key).or_default().grant_manager.request_grant(
            range.index,
            token,
            expiry,
        );
    }

    fn advance_open(&mut self, range: &RangeId, now: HostTime) {
        let Some(served) = self.served.get(range) else { return };
        let Some(upstream) = served.upstream.clone() else { return };
        match self.assigned_upstream(range) {
            Some((_, assigned)) if assigned != upstream => {
                self.start_closing(range, None, AssignReason::Record, now);
            }
            _ => {}
        }
    }

    /// Stops admitting requests and withdraws the upstream's grant of the range.
    pub(super) fn start_closing(
        &mut self,
        range: &RangeId,
        to: Option<UpstreamId>,
        reason: AssignReason,
        now: HostTime,
    ) {
        let Some(served) = self.served.get_mut(range) else { return };
        served.stage = Stage::Closing { to, reason, since: now };
        let upstream = served.upstream.clone();
        self.slot(range).close();
        if let Some(upstream) = upstream {
            let key = (range.service.clone(), upstream);
            self.upstreams.entry(key).or_default().grant_manager.withdraw(range.index);
        }
    }

    fn advance_closing(
        &mut self,
        range: &RangeId,
        to: Option<UpstreamId>,
        reason: AssignReason,
        since: HostTime,
        now: HostTime,
    ) {
        let upstream = self.served.get(range).and_then(|served| served.upstream.clone());
        let key = upstream.map(|upstream| (range.service.clone(), upstream));
        let released = key
            .as_ref()
            .is_none_or(|key| self.grant_phase(key, range, now) == GrantPhase::Released);
        if !released {
            return;
        }
        let slot = self.slot(range);
        let down =
            key.as_ref().and_then(|key| self.upstreams.get(key)).is_some_and(|state| state.down);
        let drain_limit_reached = now.since(since) >= self.deps.settings.drain_limit;
        if slot.in_flight() > 0 {
            if down || drain_limit_reached {
                slot.end_lease();
            }
            return;
        }
        match to {
            Some(to) => self.propose_upstream(range, to, reason, now),
            None => {
                if let Some((_, assigned)) = self.assigned_upstream(range) {
                    self.request_grant(range, assigned, now);
                }
            }
        }
    }

    fn propose_upstream(
        &mut self,
        range: &RangeId,
        to: UpstreamId,
        reason: AssignReason,
        now: HostTime,
    ) {
        self.propose_move(range, &to);
        if let Some(served) = self.served.get_mut(range) {
            served.stage = Stage::Moving { to, reason, since: now };
        }
    }

    /// Requests a grant from the upstream that is assigned by now. If it is still the old one after
    /// [`PROPOSAL_RETRY_MS`], goes back to it if it is usable, or else proposes the move again.
    fn advance_moving(
        &mut self,
        range: &RangeId,
        to: &UpstreamId,
        reason: AssignReason,
        since: HostTime,
        now: HostTime,
    ) {
        let Some((_, assigned)) = self.assigned_upstream(range) else { return };
        let from = self.served.get(range).and_then(|served| served.upstream.clone());
        let moved = Some(&assigned) != from.as_ref();
        if moved {
            let upstream = assigned.clone();
            self.record_event(EventKind::UpstreamAssigned {
                range: range.clone(),
                upstream,
                from,
                why: reason,
            });
            self.request_grant(range, assigned, now);
        } else if now.since(since) >= PROPOSAL_RETRY_MS {
            if self.is_unusable(range, &assigned) {
                self.propose_upstream(range, to.clone(), reason, now);
            } else {
                self.request_grant(range, assigned, now);
            }
        }
    }

    fn is_unusable(&self, range: &RangeId, upstream: &UpstreamId) -> bool {
        let key = (range.service.clone(), upstream.clone());
        self.upstreams.get(&key).is_some_and(|state| !state.is_usable())
    }

    /// Stops serving a range whose lease has ended.
    pub(super) fn stop_serving(&mut self, range: &RangeId) {
        let slot = self.slot(range);
        slot.end_lease();
        *slot.memory() = None;
        let Some(served) = self.served.remove(range) else { return };
        if let Some(upstream) = served.upstream {
            let key = (range.service.clone(), upstream);
            if let Some(state) = self.upstreams.get_mut(&key) {
                state.grant_manager.forget(range.index);
            }
        }
    }

    fn grant_phase(&self, key: &UpstreamKey, range: &RangeId, now: HostTime) -> GrantPhase {
        self.upstreams
            .get(key)
            .map_or(GrantPhase::Released, |state| state.grant_manager.phase(range.index, now))
    }

    /// Returns the queue of an upstream that the record in force lists.
    fn upstream_queue(&mut self, key: &UpstreamKey) -> Option<Arc<UpstreamQueue>> {
        let service = self.fold.service(&key.0)?;
        let upstream = service.upstream(&key.1)?;
        let new_queue = || Arc::new(UpstreamQueue::new(key.0.clone(), upstream));
        let queue = self.upstream_queues.entry(key.clone()).or_insert_with(new_queue);
        if queue.addr != upstream.address {
            *queue = new_queue();
        }
        Some(Arc::clone(queue))
    }

    /// Sets each queue's share of its upstream's slots, from the ranges of the upstream held here and
    /// in total.
    pub(super) fn share_slots(&self) {
        let mut totals: FastMap<(&ServiceName, &UpstreamId), u32> = FastMap::default();
        for (service, state) in &self.fold.state().services {
            for assignment in state.ranges.values() {
                *totals.entry((service, &assignment.upstream)).or_default() += 1;
            }
        }
        let mut held: FastMap<UpstreamKey, u32> = FastMap::default();
        for (range, served) in &self.served {
            if let Some(upstream) = &served.upstream {
                *held.entry((range.service.clone(), upstream.clone())).or_default() += 1;
            }
        }
        for (key, queue) in &self.upstream_queues {
            let held = held.get(key).copied().unwrap_or(0);
            let total = totals.get(&(&key.0, &key.1)).copied().unwrap_or(held).max(held);
            queue.set_share(RangeShare { held, total });
        }
    }

    fn upstream_client(&self, key: &UpstreamKey) -> Option<Upstream> {
        let record = self.fold.service(&key.0)?.upstream(&key.1)?;
        let (addr, checks_orders) = (record.address, record.checks_orders);
        Some(Upstream { key: key.clone(), addr, checks_orders, pool: self.deps.pool.clone() })
    }

    fn call_upstreams(&mut self, now: HostTime) {
        let keys: Vec<UpstreamKey> = self.upstreams.keys().cloned().collect();
        for key in keys {
            let Some(upstream) = self.upstream_client(&key) else {
                self.remove_unused_upstream(&key);
                continue;
            };
            let Some(state) = self.upstreams.get_mut(&key) else { continue };
            let events = self.deps.events.clone();
            if let Some(call) = state.grant_manager.poll(now) {
                if !upstream.checks_orders {
                    state.grant_manager.handle_outcome(now, CallOutcome::FencingUnsupported);
                    self.serve_due = true;
                    continue;
                }
                self.deps.executor.spawn(upstream.clone().grant(call, events.clone())).detach();
            }
            if let Some(ranges) = state.grant_manager.poll_withdrawals() {
                let withdrawal = upstream.clone().withdraw(ranges, events.clone());
                self.deps.executor.spawn(withdrawal).detach();
            }
            let due = state
                .last_health_check
                .is_none_or(|checked_at| now.since(checked_at) >= state.health_interval());
            if due && !state.health_check_in_flight && !state.grant_manager.is_idle() {
                state.last_health_check = Some(now);
                state.health_check_in_flight = true;
                self.deps.executor.spawn(upstream.health(events)).detach();
            }
        }
    }

    /// Removes an upstream that no record lists any more, unless it still has ranges.
    fn remove_unused_upstream(&mut self, key: &UpstreamKey) {
        if self.upstreams.get(key).is_some_and(|state| state.grant_manager.is_idle()) {
            self.upstreams.remove(key);
            self.upstream_queues.remove(key);
        }
    }

    pub(super) fn handle_grant_outcome(&mut self, key: &UpstreamKey, outcome: CallOutcome) {
        let now = clock::host_time();
        let no_response = outcome == CallOutcome::NoResponse;
        let Some(state) = self.upstreams.get_mut(key) else { return };
        state.grant_manager.handle_outcome(now, outcome);
        self.serve_due = true;
        self.record_reachability(key, !no_response);
    }

    pub(super) fn handle_withdrawal(
        &mut self,
        key: &UpstreamKey,
        ranges: &[FencedRange],
        confirmed: bool,
    ) {
        if let Some(state) = self.upstreams.get_mut(key) {
            state.grant_manager.handle_withdrawal(clock::host_time(), ranges, confirmed);
            self.serve_due = true;
        }
    }

    pub(super) fn handle_health(&mut self, key: &UpstreamKey, health: Option<Health>) {
        let Some(state) = self.upstreams.get_mut(key) else { return };
        state.health_check_in_flight = false;
        if let Some(health) = health {
            self.set_draining(key, health.draining);
        }
        self.record_reachability(key, health.is_some());
    }

    fn set_draining(&mut self, key: &UpstreamKey, draining: bool) {
        let Some(state) = self.upstreams.get_mut(key) else { return };
        let started_draining = draining && !state.draining;
        state.draining = draining;
        if let Some(queue) = self.upstream_queues.get(key) {
            queue.set_draining(draining);
        }
        if started_draining {
            self.schedule_plan();
            ::log::info!("upstreams: {}/{} is leaving.", key.0, key.1);
            let (service, upstream) = key.clone();
            self.record_event(EventKind::UpstreamDraining { service, upstream });
        }
    }

    /// Records whether an upstream answered a call and updates whether it counts as down.
    fn record_reachability(&mut self, key: &UpstreamKey, answered: bool) {
        let Some(state) = self.upstreams.get_mut(key) else { return };
        state.failures = if answered { 0 } else { state.failures + 1 };
        let down = state.failures >= DOWN_AFTER_FAILURES;
        if down == state.down {
            return;
        }
        state.down = down;
        let (service, upstream) = key.clone();
        ::log::info!("upstreams: {service}/{upstream} is {}.", if down { "down" } else { "up" });
        if down {
            if let Some(queue) = self.upstream_queues.get(key) {
                queue.mark_lost();
            }
            self.record_event(EventKind::UpstreamDown { service, upstream });
        } else {
            self.record_event(EventKind::UpstreamUp { service, upstream });
        }
        self.schedule_plan();
    }

    pub(super) fn handle_report(&mut self, report: TrafficReport) {
        match report {
            TrafficReport::UpstreamFailed { service, upstream } => {
                // Triggers a health check, to distinguish a failed upstream from a failed connection.
                if let Some(state) = self.upstreams.get_mut(&(service, upstream)) {
                    state.last_health_check = None;
                }
            }
            TrafficReport::RequestUnknown { id } => {
                self.record_event(EventKind::RequestUnknown { id })
            }
            TrafficReport::Quarantined { fingerprint } => {
                let mut prefix = [0; 8];
                prefix.copy_from_slice(&fingerprint.0[..8]);
                let fingerprint = Fingerprint(u64::from_be_bytes(prefix));
                self.record_event(EventKind::Quarantined {
                    fingerprint,
                    deaths: QUARANTINE_DEATHS,
                });
            }
            TrafficReport::Crashed { service, histories } => {
                for host in self.live_hosts() {
                    if host.member != self.deps.me {
                        let crashes =
                            Crashes { service: service.clone(), histories: histories.clone() };
                        self.send(&host.member.host, None, Payload::Crashes(crashes));
                    }
                }
            }
            TrafficReport::UpstreamDraining { service, upstream } => {
                self.set_draining(&(service, upstream), true);
                self.schedule_plan();
            }
        }
    }
}
