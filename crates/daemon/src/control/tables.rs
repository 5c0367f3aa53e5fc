//! Builds and publishes the routing table.

use crate::control::Control;
use crate::routing_table::{RangeRoute, RoutingTable, ServiceTable};
use skylarkdock_membership::HostState;
use skylarkdock_records::Service;
use skylarkdock_units::collections::{FastMap, FastSet};
use skylarkdock_units::ids::{HostId, RangeId, RangeIndex};
use std::net::SocketAddr;
use std::sync::Arc;

impl Control {
    /// Returns the slot of a range, which is created if there is none.
    pub(super) fn slot(&mut self, range: &RangeId) -> Arc<RangeRoute> {
        let new_slot = || Arc::new(RangeRoute::new(range.clone()));
        Arc::clone(self.slots.entry(range.clone()).or_insert_with(new_slot))
    }

    /// Publishes the services in force, their ranges and the addresses of the hosts.
    pub(super) fn publish_table(&mut self) {
        let services: Vec<Arc<Service>> = self.fold.services().values().cloned().collect();
        let in_force = |service: &Service| self.fold.state().services.contains_key(&service.name);
        let services: Vec<_> = services.into_iter().filter(|service| in_force(service)).collect();
        let names = self.fold.state().services.keys();
        let unreadable = names.filter(|name| !self.fold.services().contains_key(*name));
        let mut table = RoutingTable {
            services: FastMap::default(),
            unreadable: unreadable.cloned().collect(),
            hosts: self.host_addresses(),
            suspect_hosts: self.suspect_hosts(),
        };
        for service in services {
            let entry = Arc::new(self.service_table(&service));
            table.services.insert(service.name.clone(), entry);
        }
        self.drop_retired(&table);
        self.deps.table.store(Arc::new(table));
    }

    fn host_addresses(&self) -> FastMap<HostId, SocketAddr> {
        let views = self.membership.view().into_iter();
        let reachable = views.filter(|view| view.state != HostState::Gone);
        reachable.map(|view| (view.member.host, view.http)).collect()
    }

    fn suspect_hosts(&self) -> FastSet<HostId> {
        let views = self.membership.view().into_iter();
        let silent = views.filter(|view| view.state == HostState::Suspect);
        silent.map(|view| view.member.host).collect()
    }

    fn service_table(&mut self, service: &Arc<Service>) -> ServiceTable {
        let ranges = (0..service.ranges).map(|index| {
            let id = RangeId { service: service.name.clone(), index: RangeIndex(index) };
            let slot = self.slot(&id);
            let assignment = self.fold.state().assignment(&id);
            let members =
                assignment.map(|assignment| assignment.members.clone()).unwrap_or_default();
            if **slot.members.load() != members {
                slot.members.store(Arc::new(members));
            }
            slot
        });
        let ranges = ranges.collect();
        let shared = Arc::clone(self.shared.entry(service.name.clone()).or_default());
        ServiceTable { service: Arc::clone(service), ranges, shared }
    }

    /// Drops the slots and shared state of services that are no longer in force. Slots of ranges
    /// served here stay.
    fn drop_retired(&mut self, table: &RoutingTable) {
        let served = &self.served;
        let in_force = |range: &RangeId| table.services.contains_key(&range.service);
        self.slots.retain(|range, _| in_force(range) || served.contains_key(range));
        self.shared.retain(|service, _| table.services.contains_key(service));
    }
}
