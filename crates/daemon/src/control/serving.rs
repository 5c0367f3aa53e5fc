//! Ranges served here: getting grants for them, letting requests in, and moving them to another
//! upstream without a request that two upstreams could run.

use crate::clock;
use crate::control::Control;
use crate::control::events::{Health, UpstreamKey};
use crate::control::upstreams::Upstream;
use crate::desk::Desk;
use crate::exchange::Report;
use crate::table::Lease;
use skylarkdock_grants::{CallOutcome, FencedRange, GrantManager, GrantPhase};
use skylarkdock_policy::slots::RangeShare;
use skylarkdock_timeline::kind::{EventKind, Fingerprint};
use skylarkdock_timeline::reasons::AssignReason;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{Epoch, Member, Offset, RangeId, ServiceName, UpstreamId};
use skylarkdock_units::times::{HostTime, Millis};
use std::sync::Arc;

const HEALTH_MS: Millis = Millis(200);
const HEALTH_BESIDE_GRANTS_MS: Millis = Millis(1_000);
const DOWN_AFTER_FAILURES: u32 = 2;
const QUARANTINE_DEATHS: u32 = 2;
const PROPOSAL_MS: Millis = Millis(1_000);

/// A range whose lease is held here.
pub(super) struct Served {
    /// The epoch under which it is held.
    pub(super) epoch: Epoch,
    /// The fencing token that the upstream knows: an epoch under which the range has been held here
    /// without a gap since. It stays when the epoch is renewed, so that what runs is not fenced.
    token: Epoch,
    /// The upstream that has or is to get a grant.
    pub(super) upstream: Option<UpstreamId>,
    /// How far it is.
    pub(super) stage: Stage,
    /// When the lease was acquired.
    pub(super) acquired: HostTime,
}

/// How far the serving of a range is.
#[derive(Clone)]
pub(super) enum Stage {
    /// The upstream is being asked to take a grant; requests wait.
    Granting,
    /// Requests are let in.
    Open,
    /// The upstream gives the range up; requests wait.
    Closing {
        /// The upstream to propose next; nothing if a record names it already.
        to: Option<UpstreamId>,
        /// Why.
        why: AssignReason,
        /// Since when.
        since: HostTime,
    },
    /// A record that names the next upstream is on its way.
    Moving {
        /// That upstream.
        to: UpstreamId,
        /// Why.
        why: AssignReason,
        /// When the record was written.
        since: HostTime,
    },
    /// The lease goes to another host; what runs is finished.
    Draining {
        /// The epoch given up.
        epoch: Epoch,
        /// Who gets it.
        successor: Option<Member>,
        /// Since when.
        since: HostTime,
    },
}

impl Served {
    pub(super) fn new(epoch: Epoch, now: HostTime) -> Self {
        Self { epoch, token: epoch, upstream: None, stage: Stage::Granting, acquired: now }
    }
}

/// What is known of an upstream with ranges served here.
#[derive(Default)]
pub(super) struct UpstreamState {
    keeper: GrantManager,
    failures: u32,
    down: bool,
    draining: bool,
    asked: Option<HostTime>,
    asking: bool,
}

impl UpstreamState {
    /// Tells whether the upstream can take new ranges, as far as is known.
    pub(super) fn is_usable(&self) -> bool {
        !self.down && !self.draining
    }

    /// Returns the time between two looks at its health. Renewed grants are a sign of life too.
    fn health_interval(&self) -> Millis {
        let renewed = !self.keeper.is_fencing_unsupported() && self.failures == 0;
        if renewed { HEALTH_BESIDE_GRANTS_MS } else { HEALTH_MS }
    }

    /// Tells whether the upstream does not answer.
    pub(super) fn is_down(&self) -> bool {
        self.down
    }
}

impl Control {
    /// Moves every range served here on as far as it goes now.
    pub(super) fn serve(&mut self, now: HostTime) {
        self.extend_leases();
        let ranges: Vec<RangeId> = self.served.keys().cloned().collect();
        for range in ranges {
            self.advance(&range, now);
        }
        self.call_upstreams(now);
        for desk in self.desks.values() {
            desk.pump();
        }
    }

    fn advance(&mut self, range: &RangeId, now: HostTime) {
        let Some(served) = self.served.get(range) else { return };
        match served.stage.clone() {
            Stage::Granting => self.advance_granting(range, now),
            Stage::Open => self.advance_open(range, now),
            Stage::Closing { to, why, since } => self.advance_closing(range, to, why, since, now),
            Stage::Moving { to, why, since } => self.advance_moving(range, &to, why, since, now),
            Stage::Draining { epoch, successor, since } => {
                let drained = self.slot(range).in_flight() == 0;
                if drained || now.since(since) >= self.parts.settings.drain_limit {
                    self.finish_drain(range, epoch, successor);
                }
            }
        }
    }

    /// Returns the upstream that the newest usable assignment of a range names.
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
                None => self.ask_grant(range, assigned, now),
                Some(_) => self.close(range, None, AssignReason::Kept, now),
            }
            return;
        }
        let (epoch, key) = (served.token, (range.service.clone(), assigned));
        if self.phase_of(&key, range, now) != GrantPhase::Granted {
            return;
        }
        let Some(desk) = self.desk(&key) else { return };
        self.slot(range).open(Lease { epoch, desk });
        if let Some(served) = self.served.get_mut(range) {
            served.stage = Stage::Open;
            let held = now.since(served.acquired);
            metrics::histogram!("skylarkdock_range_opened_ms")
                .record(crate::utils::float(held.0 as usize));
        }
        self.extend_leases();
    }

    fn ask_grant(&mut self, range: &RangeId, upstream: UpstreamId, now: HostTime) {
        let Some(served) = self.served.get_mut(range) else { return };
        served.upstream = Some(upstream.clone());
        served.stage = Stage::Granting;
        served.token = served.epoch;
        let token = served.token;
        let lapse = Self::earlier_grants(now);
        let key = (range.service.clone(), upstream);
        self.upstreams.entry(key).or_default().keeper.request_grant(range.index, token, lapse);
    }

    fn advance_open(&mut self, range: &RangeId, now: HostTime) {
        let Some(served) = self.served.get(range) else { return };
        let Some(upstream) = served.upstream.clone() else { return };
        match self.assigned_upstream(range) {
            Some((_, assigned)) if assigned != upstream => {
                self.close(range, None, AssignReason::Record, now);
            }
            _ => {}
        }
    }

    /// Lets no more requests in and has the upstream give the range up.
    pub(super) fn close(
        &mut self,
        range: &RangeId,
        to: Option<UpstreamId>,
        why: AssignReason,
        now: HostTime,
    ) {
        let Some(served) = self.served.get_mut(range) else { return };
        served.stage = Stage::Closing { to, why, since: now };
        let upstream = served.upstream.clone();
        self.slot(range).close();
        if let Some(upstream) = upstream {
            let key = (range.service.clone(), upstream);
            self.upstreams.entry(key).or_default().keeper.withdraw(range.index);
        }
    }

    fn advance_closing(
        &mut self,
        range: &RangeId,
        to: Option<UpstreamId>,
        why: AssignReason,
        since: HostTime,
        now: HostTime,
    ) {
        let upstream = self.served.get(range).and_then(|served| served.upstream.clone());
        let key = upstream.map(|upstream| (range.service.clone(), upstream));
        let free =
            key.as_ref().is_none_or(|key| self.phase_of(key, range, now) == GrantPhase::Released);
        if !free {
            return;
        }
        let slot = self.slot(range);
        let lost = key.as_ref().and_then(|key| self.upstreams.get(key)).is_some_and(|u| u.down);
        let waited = now.since(since) >= self.parts.settings.drain_limit;
        if slot.in_flight() > 0 {
            if lost || waited {
                slot.end();
            }
            return;
        }
        match to {
            Some(to) => self.propose_upstream(range, to, why, now),
            None => {
                if let Some((_, assigned)) = self.assigned_upstream(range) {
                    self.ask_grant(range, assigned, now);
                }
            }
        }
    }

    fn propose_upstream(
        &mut self,
        range: &RangeId,
        to: UpstreamId,
        why: AssignReason,
        now: HostTime,
    ) {
        self.propose_move(range, &to);
        if let Some(served) = self.served.get_mut(range) {
            served.stage = Stage::Moving { to, why, since: now };
        }
    }

    /// Goes on with the upstream that is assigned by now; proposes again if the record did not come.
    fn advance_moving(
        &mut self,
        range: &RangeId,
        to: &UpstreamId,
        why: AssignReason,
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
                why,
            });
            self.ask_grant(range, assigned, now);
        } else if now.since(since) >= PROPOSAL_MS {
            if self.is_unusable(range, &assigned) {
                self.propose_upstream(range, to.clone(), why, now);
            } else {
                self.ask_grant(range, assigned, now);
            }
        }
    }

    fn is_unusable(&self, range: &RangeId, upstream: &UpstreamId) -> bool {
        let key = (range.service.clone(), upstream.clone());
        self.upstreams.get(&key).is_some_and(|state| !state.is_usable())
    }

    /// Ends the serving of a range whose lease is gone.
    pub(super) fn stop_serving(&mut self, range: &RangeId) {
        let slot = self.slot(range);
        slot.end();
        *slot.memory() = None;
        let Some(served) = self.served.remove(range) else { return };
        if let Some(upstream) = served.upstream {
            let key = (range.service.clone(), upstream);
            if let Some(state) = self.upstreams.get_mut(&key) {
                state.keeper.forget(range.index);
            }
        }
    }

    fn phase_of(&self, key: &UpstreamKey, range: &RangeId, now: HostTime) -> GrantPhase {
        self.upstreams
            .get(key)
            .map_or(GrantPhase::Released, |state| state.keeper.phase(range.index, now))
    }

    /// Returns the desk of an upstream that the record in force names.
    fn desk(&mut self, key: &UpstreamKey) -> Option<Arc<Desk>> {
        let service = self.fold.service(&key.0)?;
        let upstream = service.upstream(&key.1)?;
        let fresh = || Arc::new(Desk::new(key.0.clone(), upstream));
        let desk = self.desks.entry(key.clone()).or_insert_with(fresh);
        if desk.addr != upstream.address {
            *desk = fresh();
        }
        Some(Arc::clone(desk))
    }

    /// Gives each desk the part of its upstream's slots that goes with the ranges held here.
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
        for (key, desk) in &self.desks {
            let held = held.get(key).copied().unwrap_or(0);
            let total = totals.get(&(&key.0, &key.1)).copied().unwrap_or(held).max(held);
            desk.set_share(RangeShare { held, total });
        }
    }

    fn upstream_at(&self, key: &UpstreamKey) -> Option<Upstream> {
        let record = self.fold.service(&key.0)?.upstream(&key.1)?;
        let (addr, checks_orders) = (record.address, record.checks_orders);
        Some(Upstream { key: key.clone(), addr, checks_orders, pool: self.parts.pool.clone() })
    }

    fn call_upstreams(&mut self, now: HostTime) {
        let keys: Vec<UpstreamKey> = self.upstreams.keys().cloned().collect();
        for key in keys {
            let Some(upstream) = self.upstream_at(&key) else {
                self.forget_upstream(&key);
                continue;
            };
            let Some(state) = self.upstreams.get_mut(&key) else { continue };
            let events = self.parts.events.clone();
            if let Some(call) = state.keeper.poll(now) {
                if !upstream.checks_orders {
                    state.keeper.handle_outcome(now, CallOutcome::FencingUnsupported);
                    self.serve_due = true;
                    continue;
                }
                self.parts.executor.spawn(upstream.clone().grant(call, events.clone())).detach();
            }
            if let Some(orders) = state.keeper.poll_withdrawals() {
                let withdrawal = upstream.clone().withdraw(orders, events.clone());
                self.parts.executor.spawn(withdrawal).detach();
            }
            let due = state.asked.is_none_or(|asked| now.since(asked) >= state.health_interval());
            if due && !state.asking && !state.keeper.is_idle() {
                state.asked = Some(now);
                state.asking = true;
                self.parts.executor.spawn(upstream.health(events)).detach();
            }
        }
    }

    /// Forgets an upstream that no record names any more, once it has no range left.
    fn forget_upstream(&mut self, key: &UpstreamKey) {
        if self.upstreams.get(key).is_some_and(|state| state.keeper.is_idle()) {
            self.upstreams.remove(key);
            self.desks.remove(key);
        }
    }

    pub(super) fn handle_grant_outcome(&mut self, key: &UpstreamKey, outcome: CallOutcome) {
        let now = clock::host_time();
        let no_response = outcome == CallOutcome::NoResponse;
        let Some(state) = self.upstreams.get_mut(key) else { return };
        state.keeper.handle_outcome(now, outcome);
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
            state.keeper.handle_withdrawal(clock::host_time(), ranges, confirmed);
            self.serve_due = true;
        }
    }

    pub(super) fn handle_health(&mut self, key: &UpstreamKey, health: Option<Health>) {
        let Some(state) = self.upstreams.get_mut(key) else { return };
        state.asking = false;
        if let Some(health) = health {
            self.set_draining(key, health.draining);
        }
        self.record_reachability(key, health.is_some());
    }

    fn set_draining(&mut self, key: &UpstreamKey, draining: bool) {
        let Some(state) = self.upstreams.get_mut(key) else { return };
        let began = draining && !state.draining;
        state.draining = draining;
        if let Some(desk) = self.desks.get(key) {
            desk.set_draining(draining);
        }
        if began {
            self.plan_soon();
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
            if let Some(desk) = self.desks.get(key) {
                desk.lost();
            }
            self.record_event(EventKind::UpstreamDown { service, upstream });
        } else {
            self.record_event(EventKind::UpstreamUp { service, upstream });
        }
        self.plan_soon();
    }

    pub(super) fn handle_report(&mut self, report: Report) {
        match report {
            Report::UpstreamFailed { service, upstream } => {
                // The health call tells whether it is the upstream or one connection.
                if let Some(state) = self.upstreams.get_mut(&(service, upstream)) {
                    state.asked = None;
                }
            }
            Report::RequestUnknown { id } => self.record_event(EventKind::RequestUnknown { id }),
            Report::Quarantined { fingerprint } => {
                let mut short = [0; 8];
                short.copy_from_slice(&fingerprint.0[..8]);
                let fingerprint = Fingerprint(u64::from_be_bytes(short));
                self.record_event(EventKind::Quarantined {
                    fingerprint,
                    deaths: QUARANTINE_DEATHS,
                });
            }
            Report::UpstreamDraining { service, upstream } => {
                self.set_draining(&(service, upstream), true);
                self.plan_soon();
            }
        }
    }
}
