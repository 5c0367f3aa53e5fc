//! Plans: the changes that a host should write for a service.

use crate::members::{Holders, Site, members};
use crate::upstreams::{Placed, target};
use skylarkdock_fold::state::{Assignment, ServiceState};
use skylarkdock_records::envelope::RangeChange;
use skylarkdock_records::service::{Service, Upstream};
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{Member, Offset, RangeIndex, UpstreamId};
use std::cell::{OnceCell, RefCell};
use std::collections::BTreeMap;

/// Members that leases of an upstream's ranges should have, computed once per plan.
#[derive(Default)]
pub struct Wanted {
    holders: OnceCell<Holders>,
    members: RefCell<FastMap<UpstreamId, Vec<Member>>>,
}

/// What a host knows when it plans.
pub struct Facts<'a> {
    /// The service as it reads it.
    pub service: &'a Service,
    /// The service's state in force.
    pub state: &'a ServiceState,
    /// Live hosts that stay, ordered by host.
    pub sites: &'a [Site],
    /// Tells whether an upstream takes new work.
    pub usable: &'a dyn Fn(&Upstream) -> bool,
    /// The load of a range, at least 1.
    pub weight: &'a dyn Fn(RangeIndex) -> u64,
    /// Percentage over its share from which an upstream gives ranges away.
    pub slack_percent: u64,
    /// Members computed so far.
    pub wanted: Wanted,
}

impl Facts<'_> {
    /// Returns the owning upstream that each range should have.
    pub fn owners(&self) -> BTreeMap<RangeIndex, UpstreamId> {
        let placed = |index: u32| {
            let index = RangeIndex(index);
            let upstream = self.state.ranges.get(&index).map(|found| found.upstream.clone());
            (index, Placed { upstream, weight: (self.weight)(index) })
        };
        let ranges = (0..self.service.ranges).map(placed).collect();
        target(self.service, &ranges, self.usable, self.slack_percent)
    }

    /// Returns first assignments for the ranges that have none.
    pub fn initial(&self) -> Vec<RangeChange> {
        let unassigned =
            |(index, _): &(RangeIndex, UpstreamId)| !self.state.ranges.contains_key(index);
        let owners = self.owners().into_iter().filter(unassigned);
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

    /// Returns a new lease for a range whose members can't hold it any more. Written by a host that
    /// does not hold the range.
    pub fn rescue(&self, range: RangeIndex) -> Option<RangeChange> {
        let present = self.state.ranges.get(&range)?;
        let members = self.members_for(&present.upstream)?;
        Some(self.change(range, present, Some(members), false))
    }

    /// Returns a lease with the members that are gone replaced, if any is; the writer, who holds
    /// the range, stays first.
    pub fn repair(&self, range: RangeIndex, me: &Member) -> Option<RangeChange> {
        let present = self.state.ranges.get(&range)?;
        let live = |member: &Member| self.sites.iter().any(|site| site.member == *member);
        let wanted = self.members_for(&present.upstream)?;
        let whole = present.members.len() >= wanted.len() && present.members.iter().all(live);
        if whole {
            return None;
        }
        let mut members = vec![me.clone()];
        let kept = present.members.iter().filter(|member| live(member));
        for member in kept.chain(wanted.iter()) {
            if members.len() < wanted.len() && !members.contains(member) {
                members.push(member.clone());
            }
        }
        let unchanged = members == present.members;
        (!unchanged).then(|| self.change(range, present, Some(members), true))
    }

    /// Returns the lease that moves a range to the host where it belongs, if that is another one.
    pub fn relocate(&self, range: RangeIndex, me: &Member) -> Option<RangeChange> {
        let present = self.state.ranges.get(&range)?;
        let wanted = self.members_for(&present.upstream)?;
        let moves = wanted.first() != Some(me) || present.members.first() != Some(me);
        moves.then(|| self.change(range, present, Some(wanted), true))
    }

    /// Returns the assignment that gives a range another owning upstream.
    pub fn reassign(&self, range: RangeIndex, upstream: UpstreamId) -> Option<RangeChange> {
        let present = self.state.ranges.get(&range)?;
        let change = self.change(range, present, None, true);
        Some(RangeChange { upstream, ..change })
    }

    fn members_for(&self, upstream: &UpstreamId) -> Option<Vec<Member>> {
        let known = self.wanted.members.borrow().get(upstream).cloned();
        let members = known.unwrap_or_else(|| self.compute_members(upstream));
        (!members.is_empty()).then_some(members)
    }

    fn compute_members(&self, id: &UpstreamId) -> Vec<Member> {
        let named = self.service.upstream(id).or_else(|| self.service.upstreams.first());
        let holders = self.wanted.holders.get_or_init(|| Holders::new(self.service, self.sites));
        let members = named.map(|upstream| members(self.service, upstream, self.sites, holders));
        let members = members.unwrap_or_default();
        self.wanted.members.borrow_mut().insert(id.clone(), members.clone());
        members
    }

    fn change(
        &self,
        range: RangeIndex,
        present: &Assignment,
        members: Option<Vec<Member>>,
        held: bool,
    ) -> RangeChange {
        RangeChange {
            service: self.service.name.clone(),
            range,
            basis: present.offset,
            members,
            held,
            upstream: present.upstream.clone(),
            hot: present.hot.clone(),
        }
    }
}
