//! Decides which range changes this host proposes: initial assignments, replaced lease members,
//! relocated leases and moves to other upstreams.

use crate::clock;
use crate::control::Control;
use crate::control::serving::Stage;
use skylarkdock_fold::state::Assignment;
use skylarkdock_peer::message::Payload;
use skylarkdock_placement::LiveHost;
use skylarkdock_placement::plan::{MembersCache, PlanContext};
use skylarkdock_records::Service;
use skylarkdock_records::envelope::{Assign, Body, RangeChange};
use skylarkdock_records::service::Upstream;
use skylarkdock_timeline::reasons::AssignReason;
use skylarkdock_units::collections::FastSet;
use skylarkdock_units::ids::{Member, RangeId, ServiceName, UpstreamId};
use skylarkdock_units::keys::KeyHash;
use skylarkdock_units::requests::RecordId;
use skylarkdock_units::times::{HostTime, Millis};
use std::sync::Arc;

const MIN_PLAN_INTERVAL_MS: Millis = Millis(200);
const MAX_PLAN_INTERVAL_MS: Millis = Millis(5_000);
const MAX_CHANGES_PER_RECORD: usize = 256;
const PROPOSAL_RETRY_MS: Millis = Millis(1_000);
const DELAY_PER_RANK_MS: Millis = Millis(300);
const REPLACE_LEASE_DELAY_MS: Millis = Millis(2_000);
/// Maximum time since the last direct message from a host that a lease is moved to.
const MAX_SILENCE_MS: Millis = Millis(500);
/// Minimum time for which a host must have been live before leases are moved to it.
const MIN_STABLE_MS: Millis = Millis(3_000);
const SLACK_PERCENT: u64 = 5;
/// Number of ranges moving between upstreams at which no more moves for balance are started.
const MAX_CONCURRENT_MOVES: usize = 8;

impl Control {
    /// Requests a plan in one of the next ticks, because an input of the plan has changed.
    pub(super) fn schedule_plan(&mut self) {
        self.plan_due = true;
    }

    /// Plans if an input has changed or a range awaits its delay, and otherwise at long intervals.
    pub(super) fn plan_if_due(&mut self, now: HostTime) {
        let since = now.since(self.last_plan);
        let has_work = self.plan_due || !self.unheld_since.is_empty();
        if since >= MAX_PLAN_INTERVAL_MS || (has_work && since >= MIN_PLAN_INTERVAL_MS) {
            self.last_plan = now;
            self.plan_due = false;
            self.share_slots();
            self.plan(now);
            self.plan_due |= self.awaits_stability(now);
        }
    }

    fn awaits_stability(&self, now: HostTime) -> bool {
        self.stable_since.values().any(|since| now.since(*since) < MIN_STABLE_MS)
    }

    fn plan(&mut self, now: HostTime) {
        if self.leaving || self.log_failed_since.is_some() {
            self.plan_due = true;
            return;
        }
        let live_hosts = self.live_hosts();
        let services: Vec<Arc<Service>> = self.fold.services().values().cloned().collect();
        for service in services {
            let mut changes = self.plan_unheld(&service, &live_hosts, now);
            changes.extend(self.plan_held(&service, &live_hosts, now));
            self.propose(changes, now);
            self.plan_moves(&service, &live_hosts, now);
        }
    }

    /// Returns this host's rank among the live hosts for a task. Each task has its own order of hosts.
    pub(super) fn rank(&self, task: &str) -> Option<usize> {
        let mut hosts: Vec<_> = self.live_hosts().into_iter().map(|host| host.member).collect();
        hosts.sort_by_key(|member| KeyHash::of(&format!("{task} {}", member.host)));
        hosts.iter().position(|member| *member == self.deps.me)
    }

    /// Plans ranges without an assignment and ranges that their members can no longer hold.
    fn plan_unheld(
        &mut self,
        service: &Arc<Service>,
        live_hosts: &[LiveHost],
        now: HostTime,
    ) -> Vec<RangeChange> {
        let Some(rank) = self.rank(service.name.as_str()) else { return Vec::new() };
        let rank_delay = Millis(DELAY_PER_RANK_MS.0 * rank as u64);
        let unheld = self.unheld_ranges(&service.name, live_hosts);
        self.unheld_since.retain(|range, _| {
            range.service != service.name || unheld.iter().any(|(other, _)| other == range)
        });
        let mut due = Vec::new();
        for (range, assigned) in unheld {
            let since = *self.unheld_since.entry(range.clone()).or_insert(now);
            let base_delay = if assigned { REPLACE_LEASE_DELAY_MS } else { Millis(0) };
            if now.since(since) >= base_delay + rank_delay && self.may_propose(&range, now) {
                due.push((range, assigned));
            }
        }
        if due.is_empty() {
            return Vec::new();
        }
        self.with_plan_context(service, live_hosts, |context| {
            let mut changes = context.initial_assignments();
            changes.retain(|change| due.iter().any(|(range, _)| range.index == change.range));
            let assigned = due.iter().filter(|(_, assigned)| *assigned);
            changes.extend(assigned.filter_map(|(range, _)| context.replace_lease(range.index)));
            changes
        })
    }

    /// Returns the ranges without an assignment and those without a majority of live members. The flag
    /// says whether the range is assigned.
    fn unheld_ranges(
        &self,
        service: &ServiceName,
        live_hosts: &[LiveHost],
    ) -> Vec<(RangeId, bool)> {
        let Some(record) = self.fold.service(service) else { return Vec::new() };
        let live: FastSet<&Member> = live_hosts.iter().map(|host| &host.member).collect();
        let is_live = |member: &Member| live.contains(member);
        let ranges = (0..record.ranges).map(|index| RangeId {
            service: service.clone(),
            index: skylarkdock_units::ids::RangeIndex(index),
        });
        let unheld_range = |range: RangeId| match self.fold.state().assignment(&range) {
            None => Some((range, false)),
            Some(assignment) => {
                let live_count = assignment.members.iter().filter(|member| is_live(member)).count();
                (live_count * 2 <= assignment.members.len()).then_some((range, true))
            }
        };
        ranges.filter_map(unheld_range).collect()
    }

    /// Plans ranges held here: replaces members that are not live, or else relocates leases to the
    /// hosts that should hold them.
    fn plan_held(
        &mut self,
        service: &Arc<Service>,
        live_hosts: &[LiveHost],
        now: HostTime,
    ) -> Vec<RangeChange> {
        let stable_hosts = self.stable_hosts(live_hosts, now);
        let held: Vec<RangeId> = self.held_ranges(&service.name);
        let due: Vec<RangeId> =
            held.into_iter().filter(|range| self.may_propose(range, now)).collect();
        let me = self.deps.me.clone();
        let replacements = self.with_plan_context(service, live_hosts, |context| {
            let replacements =
                due.iter().filter_map(|range| context.replace_lost_members(range.index, &me));
            replacements.collect::<Vec<_>>()
        });
        if !replacements.is_empty() {
            return replacements;
        }
        let relocations = self.with_plan_context(service, &stable_hosts, |context| {
            let relocations = due.iter().filter_map(|range| context.relocate(range.index, &me));
            relocations.collect::<Vec<_>>()
        });
        self.retain_changes_to_heard_hosts(relocations, now)
    }

    /// Keeps the changes whose first member sent this host a message within [`MAX_SILENCE_MS`] and
    /// since the range is held here, and pings the other first members. Gossip through third hosts does
    /// not show that this host can hand a range over.
    fn retain_changes_to_heard_hosts(
        &mut self,
        changes: Vec<RangeChange>,
        now: HostTime,
    ) -> Vec<RangeChange> {
        let (mut heard, mut unheard) = (Vec::new(), FastSet::default());
        for change in changes {
            let Some(first_member) = change.members.as_ref().and_then(|members| members.first())
            else {
                continue;
            };
            let range = RangeId { service: change.service.clone(), index: change.range };
            let since = self.served.get(&range).map_or(now, |served| served.acquired);
            let heard_at = self.last_heard.get(first_member).copied().unwrap_or_default();
            let recently_heard = now.since(heard_at) < MAX_SILENCE_MS && heard_at > since;
            if recently_heard || *first_member == self.deps.me {
                heard.push(change);
            } else {
                unheard.insert(first_member.host.clone());
            }
        }
        for host in unheard {
            self.plan_due = true;
            self.send(&host, None, Payload::Ping);
        }
        heard
    }

    /// Returns the hosts that have been live for long enough to get leases.
    fn stable_hosts(&self, live_hosts: &[LiveHost], now: HostTime) -> Vec<LiveHost> {
        let is_stable = |host: &&LiveHost| {
            let since = self.stable_since.get(&host.member);
            host.member == self.deps.me || since.is_some_and(|at| now.since(*at) >= MIN_STABLE_MS)
        };
        live_hosts.iter().filter(is_stable).cloned().collect()
    }

    fn held_ranges(&self, service: &ServiceName) -> Vec<RangeId> {
        let open_or_granting = self
            .served
            .iter()
            .filter(|(_, served)| matches!(served.stage, Stage::Open | Stage::Granting));
        let of_service = open_or_granting.filter(|(range, _)| range.service == *service);
        of_service.map(|(range, _)| range.clone()).collect()
    }

    /// Starts to move ranges away from upstreams that are down, leaving or overloaded.
    fn plan_moves(&mut self, service: &Arc<Service>, live_hosts: &[LiveHost], now: HostTime) {
        let moving = self
            .served
            .values()
            .filter(|served| matches!(served.stage, Stage::Closing { .. } | Stage::Moving { .. }));
        let mut moves_left = MAX_CONCURRENT_MOVES.saturating_sub(moving.count());
        let target_owners =
            self.with_plan_context(service, live_hosts, |context| context.target_owners());
        for range in self.held_ranges(&service.name) {
            let Some(target) = target_owners.get(&range.index) else { continue };
            let Some(assignment) = self.fold.state().assignment(&range) else { continue };
            if assignment.upstream == *target {
                continue;
            }
            let Some(reason) = self.move_reason(service, assignment, &range, now) else { continue };
            if reason == AssignReason::Balance {
                if moves_left == 0 {
                    continue;
                }
                moves_left -= 1;
            }
            let to = Some(target.clone());
            ::log::info!("planning: moving {range} to {target}: {reason}.");
            self.start_closing(&range, to, reason, now);
        }
    }

    /// Returns the reason to move a range to its target upstream, or `None` if it should stay for now.
    fn move_reason(
        &self,
        service: &Service,
        assignment: &Assignment,
        range: &RangeId,
        now: HostTime,
    ) -> Option<AssignReason> {
        let key = (range.service.clone(), assignment.upstream.clone());
        if service.upstream(&assignment.upstream).is_none() {
            return Some(AssignReason::Record);
        }
        match self.upstreams.get(&key) {
            Some(state) if state.is_down() => Some(AssignReason::Down),
            Some(state) if !state.is_usable() => Some(AssignReason::Draining),
            _ => self.may_propose(range, now).then_some(AssignReason::Balance),
        }
    }

    fn with_plan_context<T>(
        &self,
        service: &Arc<Service>,
        live_hosts: &[LiveHost],
        plan: impl FnOnce(&PlanContext<'_>) -> T,
    ) -> T
    where
        T: Default,
    {
        let Some(state) = self.fold.state().services.get(&service.name) else {
            return T::default();
        };
        let usable = |upstream: &Upstream| {
            let key = (service.name.clone(), upstream.id.clone());
            self.upstreams.get(&key).is_none_or(super::serving::UpstreamState::is_usable)
        };
        plan(&PlanContext {
            service,
            state,
            hosts: live_hosts,
            usable: &usable,
            weight: &|_| 1,
            slack_percent: SLACK_PERCENT,
            members_cache: MembersCache::default(),
        })
    }

    fn may_propose(&self, range: &RangeId, now: HostTime) -> bool {
        self.last_proposed.get(range).is_none_or(|at| now.since(*at) >= PROPOSAL_RETRY_MS)
    }

    /// Appends records with changes, at most [`MAX_CHANGES_PER_RECORD`] in each.
    fn propose(&mut self, changes: Vec<RangeChange>, now: HostTime) {
        self.plan_due |= !changes.is_empty();
        for change in &changes {
            let range = RangeId { service: change.service.clone(), index: change.range };
            self.last_proposed.insert(range, now);
        }
        let by = self.deps.me.host.to_string();
        for batch in changes.chunks(MAX_CHANGES_PER_RECORD) {
            let id = RecordId(uuid::Uuid::new_v4());
            self.append(Body::Assign(Assign { changes: batch.to_vec() }), by.clone(), id);
        }
    }

    /// Adds the change of a range to another upstream to the pending moves.
    pub(super) fn propose_move(&mut self, range: &RangeId, to: &UpstreamId) {
        let now = clock::host_time();
        let Some(assignment) = self.fold.state().assignment(range) else { return };
        let change = RangeChange {
            service: range.service.clone(),
            range: range.index,
            basis: assignment.offset,
            members: None,
            held: true,
            upstream: to.clone(),
            hot: assignment.hot.clone(),
        };
        self.pending_moves.push(change);
        self.last_proposed.insert(range.clone(), now);
    }

    /// Proposes the pending moves together.
    pub(super) fn flush_moves(&mut self, now: HostTime) {
        if !self.pending_moves.is_empty() {
            let moves = std::mem::take(&mut self.pending_moves);
            self.propose(moves, now);
        }
    }
}
