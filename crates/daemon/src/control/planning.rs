//! Decides which records this host writes: first assignments, repairs, relocations and moves.

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

const PLAN_MS: Millis = Millis(200);
const IDLE_PLAN_MS: Millis = Millis(5_000);
const MAX_CHANGES: usize = 256;
const PROPOSAL_MS: Millis = Millis(1_000);
const RANK_DELAY_MS: Millis = Millis(300);
const RESCUE_MS: Millis = Millis(2_000);
/// How lately a host must have been heard of directly before leases are moved to it.
const HEARD_MS: Millis = Millis(500);
/// How long a host must have been live before leases are moved to it.
const STEADY_MS: Millis = Millis(3_000);
const SLACK_PERCENT: u64 = 5;
const MOVES_AT_A_TIME: usize = 8;

impl Control {
    /// Plans again with one of the next ticks, since something has changed.
    pub(super) fn plan_soon(&mut self) {
        self.plan_due = true;
    }

    /// Plans if something has changed or waits for its time.
    pub(super) fn plan_if_due(&mut self, now: HostTime) {
        let since = now.since(self.last_plan);
        let waiting = self.plan_due || !self.absent_since.is_empty();
        if since >= IDLE_PLAN_MS || (waiting && since >= PLAN_MS) {
            self.last_plan = now;
            self.plan_due = false;
            self.share_slots();
            self.plan(now);
            self.plan_due |= self.awaits_steadiness(now);
        }
    }

    fn awaits_steadiness(&self, now: HostTime) -> bool {
        self.steady_since.values().any(|since| now.since(*since) < STEADY_MS)
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

    /// Returns this host's place in the order of hosts for a task.
    pub(super) fn rank(&self, task: &str) -> Option<usize> {
        let mut hosts: Vec<_> = self.live_hosts().into_iter().map(|site| site.member).collect();
        hosts.sort_by_key(|member| KeyHash::of(&format!("{task} {}", member.host)));
        hosts.iter().position(|member| *member == self.parts.me)
    }

    /// Plans ranges that have no assignment, or whose members can't hold them any more.
    fn plan_unheld(
        &mut self,
        service: &Arc<Service>,
        live_hosts: &[LiveHost],
        now: HostTime,
    ) -> Vec<RangeChange> {
        let Some(rank) = self.rank(service.name.as_str()) else { return Vec::new() };
        let delay = Millis(RANK_DELAY_MS.0 * rank as u64);
        let orphans = self.orphans(&service.name, live_hosts);
        self.absent_since.retain(|range, _| {
            range.service != service.name || orphans.iter().any(|(orphan, _)| orphan == range)
        });
        let mut due = Vec::new();
        for (range, assigned) in orphans {
            let since = *self.absent_since.entry(range.clone()).or_insert(now);
            let wait = if assigned { RESCUE_MS } else { Millis(0) };
            if now.since(since) >= wait + delay && self.may_propose(&range, now) {
                due.push((range, assigned));
            }
        }
        if due.is_empty() {
            return Vec::new();
        }
        self.with_facts(service, live_hosts, |facts| {
            let mut changes = facts.initial_assignments();
            changes.retain(|change| due.iter().any(|(range, _)| range.index == change.range));
            let rescues = due.iter().filter(|(_, assigned)| *assigned);
            changes.extend(rescues.filter_map(|(range, _)| facts.replace_lease(range.index)));
            changes
        })
    }

    /// Returns ranges without an assignment and those with too few live members; the latter marked.
    fn orphans(&self, service: &ServiceName, live_hosts: &[LiveHost]) -> Vec<(RangeId, bool)> {
        let Some(record) = self.fold.service(service) else { return Vec::new() };
        let live: FastSet<&Member> = live_hosts.iter().map(|site| &site.member).collect();
        let live = |member: &Member| live.contains(member);
        let ranges = (0..record.ranges).map(|index| RangeId {
            service: service.clone(),
            index: skylarkdock_units::ids::RangeIndex(index),
        });
        let orphan = |range: RangeId| match self.fold.state().assignment(&range) {
            None => Some((range, false)),
            Some(found) => {
                let present = found.members.iter().filter(|member| live(member)).count();
                (present * 2 <= found.members.len()).then_some((range, true))
            }
        };
        ranges.filter_map(orphan).collect()
    }

    /// Plans leases held here: members that are gone, and hosts where ranges belong.
    fn plan_held(
        &mut self,
        service: &Arc<Service>,
        live_hosts: &[LiveHost],
        now: HostTime,
    ) -> Vec<RangeChange> {
        let steady = self.steady_sites(live_hosts, now);
        let held: Vec<RangeId> = self.held_ranges(&service.name);
        let due: Vec<RangeId> =
            held.into_iter().filter(|range| self.may_propose(range, now)).collect();
        let me = self.parts.me.clone();
        let repairs = self.with_facts(service, live_hosts, |facts| {
            let repairs =
                due.iter().filter_map(|range| facts.replace_lost_members(range.index, &me));
            repairs.collect::<Vec<_>>()
        });
        if !repairs.is_empty() {
            return repairs;
        }
        let moves = self.with_facts(service, &steady, |facts| {
            let moves = due.iter().filter_map(|range| facts.relocate(range.index, &me));
            moves.collect::<Vec<_>>()
        });
        self.only_to_heard_hosts(moves, now)
    }

    /// Keeps the changes whose first member was heard of directly just now, and since the range is
    /// held here; asks the others for a sign of life. Gossip through others does not show that this host can hand a range over.
    fn only_to_heard_hosts(
        &mut self,
        changes: Vec<RangeChange>,
        now: HostTime,
    ) -> Vec<RangeChange> {
        let (mut heard, mut unheard) = (Vec::new(), FastSet::default());
        for change in changes {
            let Some(first) = change.members.as_ref().and_then(|members| members.first()) else {
                continue;
            };
            let range = RangeId { service: change.service.clone(), index: change.range };
            let since = self.served.get(&range).map_or(now, |served| served.acquired);
            let heard_at = self.heard.get(first).copied().unwrap_or_default();
            let lately = now.since(heard_at) < HEARD_MS && heard_at > since;
            if lately || *first == self.parts.me {
                heard.push(change);
            } else {
                unheard.insert(first.host.clone());
            }
        }
        for host in unheard {
            self.plan_due = true;
            self.send(&host, None, Payload::Ping);
        }
        heard
    }

    /// Returns the live_hosts that have been live for long enough to get leases.
    fn steady_sites(&self, live_hosts: &[LiveHost], now: HostTime) -> Vec<LiveHost> {
        let steady = |site: &&LiveHost| {
            let since = self.steady_since.get(&site.member);
            site.member == self.parts.me || since.is_some_and(|at| now.since(*at) >= STEADY_MS)
        };
        live_hosts.iter().filter(steady).cloned().collect()
    }

    fn held_ranges(&self, service: &ServiceName) -> Vec<RangeId> {
        let open = self
            .served
            .iter()
            .filter(|(_, served)| matches!(served.stage, Stage::Open | Stage::Granting));
        let own = open.filter(|(range, _)| range.service == *service);
        own.map(|(range, _)| range.clone()).collect()
    }

    /// Begins to move ranges away from upstreams that are lost, leaving or overloaded.
    fn plan_moves(&mut self, service: &Arc<Service>, live_hosts: &[LiveHost], now: HostTime) {
        let moving = self
            .served
            .values()
            .filter(|served| matches!(served.stage, Stage::Closing { .. } | Stage::Moving { .. }));
        let mut room = MOVES_AT_A_TIME.saturating_sub(moving.count());
        let owners = self.with_facts(service, live_hosts, |facts| facts.target_owners());
        for range in self.held_ranges(&service.name) {
            let Some(wanted) = owners.get(&range.index) else { continue };
            let Some(assignment) = self.fold.state().assignment(&range) else { continue };
            if assignment.upstream == *wanted {
                continue;
            }
            let Some(why) = self.move_reason(service, assignment, &range, now) else { continue };
            if why == AssignReason::Balance {
                if room == 0 {
                    continue;
                }
                room -= 1;
            }
            let to = Some(wanted.clone());
            ::log::info!("planning: {range} moves to {wanted}: {why}.");
            self.start_closing(&range, to, why, now);
        }
    }

    /// Returns why a range leaves its upstream; nothing if it had better stay for now.
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

    fn with_facts<T>(
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
        self.proposed.get(range).is_none_or(|at| now.since(*at) >= PROPOSAL_MS)
    }

    /// Writes changes, as many in a record as fit.
    fn propose(&mut self, changes: Vec<RangeChange>, now: HostTime) {
        self.plan_due |= !changes.is_empty();
        for change in &changes {
            let range = RangeId { service: change.service.clone(), index: change.range };
            self.proposed.insert(range, now);
        }
        let by = self.parts.me.host.to_string();
        for part in changes.chunks(MAX_CHANGES) {
            let id = RecordId(uuid::Uuid::new_v4());
            self.append(Body::Assign(Assign { changes: part.to_vec() }), by.clone(), id);
        }
    }

    /// Writes the record that gives a range another owning upstream.
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
        self.moves.push(change);
        self.proposed.insert(range.clone(), now);
    }

    /// Writes the moves that were proposed since the last time, as one record.
    pub(super) fn flush_moves(&mut self, now: HostTime) {
        if !self.moves.is_empty() {
            let moves = std::mem::take(&mut self.moves);
            self.propose(moves, now);
        }
    }
}
