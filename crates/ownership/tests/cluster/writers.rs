//! Appends records on behalf of hosts of the cluster.

use super::Cluster;
use skylarkdock_units::ids::{Member, Offset};

impl Cluster {
    /// Returns the members of a lease: the given host first, then other hosts in random order, with
    /// running ones preferred.
    fn members_from(&mut self, first: usize) -> Vec<Member> {
        let mut rest: Vec<_> = (0..self.hosts.len()).filter(|index| *index != first).collect();
        self.rng.shuffle(&mut rest);
        rest.sort_by_key(|index| !self.hosts[*index].alive);
        rest.truncate(self.config.members - 1);
        let order = std::iter::once(first).chain(rest);
        order.map(|index| self.hosts[index].me.clone()).collect()
    }

    fn can_write(&self, writer: usize) -> bool {
        let host = &self.hosts[writer];
        host.alive && !host.paused && !host.log_cut
    }

    fn basis(&self, writer: usize, range: usize) -> Option<Offset> {
        let state = self.hosts[writer].fold.state();
        Some(state.assignment(&self.ranges[range])?.offset)
    }

    /// The holder of a range writes a new lease whose first member is the given host, which may be
    /// the holder itself.
    pub fn hand_over(&mut self, range: usize, to: usize) {
        let id = self.ranges[range].clone();
        let Some(holder) = self.holder(&id) else { return };
        let Some(basis) = self.basis(holder, range) else { return };
        let held = self.hosts[holder].published.iter().find(|hold| hold.range == id);
        let held = held.map(|hold| hold.epoch.offset);
        let lease = self.hosts[holder].fold.state().assignment(&id).map(|found| found.lease);
        if self.can_write(holder) && held == lease {
            let members = self.members_from(to);
            self.log.assign(&id, basis, Some(members), true);
        }
    }

    /// A host that need not hold the range writes a new lease for it.
    pub fn replace_lease(&mut self, range: usize, writer: usize, first: usize) {
        let Some(basis) = self.basis(writer, range) else { return };
        if self.can_write(writer) {
            let members = self.members_from(first);
            let id = self.ranges[range].clone();
            let offset = self.log.assign(&id, basis, Some(members), false);
            self.log.replacements.insert(offset);
        }
    }

    /// Retires the service and publishes it again; a host then assigns its ranges.
    pub fn republish(&mut self, writer: usize) {
        let range = self.ranges[0].clone();
        let state = self.hosts[writer].fold.state();
        let Some(revision) = state.services.get(&range.service).map(|found| found.revision) else {
            return;
        };
        if !self.can_write(writer) {
            return;
        }
        self.log.retire(&range, revision);
        self.log.publish(&range);
        for (index, range) in self.ranges.clone().iter().enumerate() {
            let members = self.members_from((writer + index) % self.hosts.len());
            self.log.assign(range, Offset(0), Some(members), false);
        }
    }

    /// A host assigns a range to another upstream.
    pub fn move_upstream(&mut self, range: usize, writer: usize) {
        let Some(basis) = self.basis(writer, range) else { return };
        if self.can_write(writer) {
            let id = self.ranges[range].clone();
            self.log.assign(&id, basis, None, false);
        }
    }
}
