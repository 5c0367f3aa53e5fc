//! Computes the range changes that a host should write for a service.

use crate::members::{Holders, LiveHost, members};
use crate::upstreams::{RangePlacement, target_owners};
use skylarkdock_fold::state::{Assignment, ServiceState};
use skylarkdock_records::envelope::RangeChange;
use skylarkdock_records::service::{Service, Upstream};
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{Member, Offset, RangeIndex, UpstreamId};
use std::cell::{OnceCell, RefCell};
use std::collections::BTreeMap;

/// Cache of the members that leases of each upstream's ranges should have; valid for one plan.
#[derive(Default)]
pub struct MembersCache {
    holders: OnceCell<Holders>,
    members: RefCell<FastMap<UpstreamId, Vec<Member>>>,
}

/// Input of a plan, as one host knows it.
pub struct PlanContext<'a> {
    /// The service, decoded from its record.
    pub service: &'a Service,
    /// State of the service after all records that the host has applied.
    pub state: &'a ServiceState,
    /// Live hosts that are not leaving, ordered by host.
    pub hosts: &'a [LiveHost],
    /// Returns whether an upstream accepts new requests.
    pub usable: &'a dyn Fn(&Upstream) -> bool,
    /// Returns the load of a range, at least 1.
    pub weight: &'a dyn Fn(RangeIndex) -> u64,
    /// Deviation from an upstream's share, in percent, that is tolerated before ranges move.
    pub slack_percent: u64,
    /// Lease members computed so far in this plan.
    pub members_cache: MembersCache,
}

impl PlanContext<'_> {
    /// Returns the owning upstream that each range should have.
    pub fn target_owners(&self) -> BTreeMap<RangeIndex, UpstreamId> {
        let placed = |index: u32| {
            let index = RangeIndex(index);
            let upstream =
                self.state.ranges.get(&index).map(|assignment| assignment.upstream.clone());
            (index, RangePlacement { upstream, weight: (self.weight)(index) })
        };
        let ranges = (0..self.service.ranges).map(placed).collect();
        target_owners(self.service, &ranges, self.usable, self.slack_percent)
    }

    /// Returns assignments for the ranges that have none.
    pub fn initial_assignments(&self) -> Vec<RangeChange> {
        let unassigned =
            |(index, _): &(RangeIndex, UpstreamId)| !self.state.ranges.contains_key(index);
        let owners = self.target_owners().into_iter().filter(unassigned);
        owners
            .filter_map(|(range, upstream)| {
                let members = self.members_for(&upstream)?;
                Some(RangeChange {
                    service: self.service.name.clone(),
                    range,
                    basis: Offset(0),
                    members: Some(members),
                    held: false,
                    upstream,
                    hot: Vec::new(),
                })
            })
            .collect()
    }

    /// Returns a new lease for a range that its members can no longer hold. The writer does not
    /// hold the range.
    pub fn replace_lease(&self, range: RangeIndex) -> Option<RangeChange> {
        let current = self.state.ranges.get(&range)?;
        let members = self.members_for(&current.upstream)?;
        Some(self.change(range, current, Some(members), false))
    }

    /// Returns a lease that replaces the members that are not live, or `None` if there are none.
    /// The writer `me` holds the range and stays its first member.
    pub fn replace_lost_members(&self, range: RangeIndex, me: &Member) -> Option<RangeChange> {
        let current = self.state.ranges.get(&range)?;
        let live = |member: &Member| self.hosts.iter().any(|host| host.member == *member);
        let wanted = self.members_for(&current.upstream)?;
        let is_complete = current.members.len() >= wanted.len() && current.members.iter().all(live);
        if is_complete {
            return None;
        }
        let mut members = vec![me.clone()];
        let live_members = current.members.iter().filter(|member| live(member));
        for member in live_members.chain(wanted.iter()) {
            if members.len() < wanted.len() && !members.contains(member) {
                members.push(member.clone());
            }
        }
        let unchanged = members == current.members;
        (!unchanged).then(|| self.change(range, current, Some(members), true))
    }

    /// Returns a lease with the members that the range should have, or `None` if `me` is the first
    /// of them and already the first member.
    pub fn relocate(&self, range: RangeIndex, me: &Member) -> Option<RangeChange> {
        let current = self.state.ranges.get(&range)?;
        let wanted = self.members_for(&current.upstream)?;
        let should_move = wanted.first() != Some(me) || current.members.first() != Some(me);
        should_move.then(|| self.change(range, current, Some(wanted), true))
    }

    /// Returns a change that assigns a range to another upstream.
    pub fn reassign(&self, range: RangeIndex, upstream: UpstreamId) -> Option<RangeChange> {
        let current = self.state.ranges.get(&range)?;
        let change = self.change(range, current, None, true);
        Some(RangeChange { upstream, ..change })
    }

    fn members_for(&self, upstream: &UpstreamId) -> Option<Vec<Member>> {
        let known = self.members_cache.members.borrow().get(upstream).cloned();
        let members = known.unwrap_or_else(|| self.compute_members(upstream));
        (!members.is_empty()).then_some(members)
    }

    fn compute_members(&self, id: &UpstreamId) -> Vec<Member> {
        let upstream_record = self.service.upstream(id).or_else(|| self.service.upstreams.first());
        let holders =
            self.members_cache.holders.get_or_init(|| Holders::new(self.service, self.hosts));
        let members =
            upstream_record.map(|upstream| members(self.service, upstream, self.hosts, holders));
        let members = members.unwrap_or_default();
        self.members_cache.members.borrow_mut().insert(id.clone(), members.clone());
        members
    }

    fn change(
        &self,
        range: RangeIndex,
        current: &Assignment,
        members: Option<Vec<Member>>,
        held: bool,
    ) -> RangeChange {
        RangeChange {
            service: self.service.name.clone(),
            range,
            basis: current.offset,
            members,
            held,
            upstream: current.upstream.clone(),
            hot: current.hot.clone(),
        }
    }
}
