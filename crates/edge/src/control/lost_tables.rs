//! Tables of a store that came back from an older copy: the leader asks the other hosts which versions they remember.

use super::Control;
use crate::clock;
use async_executor::Task;
use async_io::Timer;
use skylarkdock_freshness::copies::Position;
use skylarkdock_spans::renewal::Renewals;
use skylarkdock_spans::restored::{self, Asked, Memory, Recall, StoreCopy};
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{HostId, ServiceName};
use skylarkdock_units::times::Millis;
use std::net::SocketAddr;
use std::rc::Rc;

/// Pause before the hosts are asked again, as one that did not answer may do so later.
const RECALL_PAUSE: Millis = Millis(500);

/// What the other hosts told of the table of one service.
struct Recalled {
    copy: StoreCopy,
    recall: Recall,
    is_asking: bool,
}

/// What the other hosts told of tables that the store may have lost, by service.
#[derive(Default)]
pub(super) struct RecalledTables(FastMap<ServiceName, Recalled>);

impl RecalledTables {
    /// Returns whether the hosts have to be asked now, and records that they are if so.
    fn start(&mut self, service: &ServiceName, copy: StoreCopy) -> bool {
        let new = Recalled { copy, recall: Recall::Pending, is_asking: false };
        let recalled = self.0.entry(service.clone()).or_insert(new);
        if recalled.copy != copy {
            *recalled = Recalled { copy, recall: Recall::Pending, is_asking: false };
        }
        let is_due = recalled.recall != Recall::Certain && !recalled.is_asking;
        recalled.is_asking |= is_due;
        is_due
    }

    /// Records what the hosts told of a copy, unless the store has come back from another one since.
    fn record(&mut self, service: &ServiceName, copy: StoreCopy, recall: Recall) {
        if let Some(recalled) = self.0.get_mut(service).filter(|recalled| recalled.copy == copy) {
            recalled.recall = recall;
        }
    }

    fn end(&mut self, service: &ServiceName, copy: StoreCopy) {
        if let Some(recalled) = self.0.get_mut(service).filter(|recalled| recalled.copy == copy) {
            recalled.is_asking = false;
        }
    }
}

/// Returns the copy of the store that an offset belongs to.
pub(super) fn copy_of(offset: u64) -> StoreCopy {
    StoreCopy(Position::of(offset).copy.get())
}

impl Control {
    /// Returns whether this host knows the last version of a table that an earlier copy of the store had, and asks the others
    /// if it may not.
    pub(super) fn recall_table(self: &Rc<Self>, service: &ServiceName) -> Recall {
        let copy = copy_of(self.fleet.borrow().fleet_end);
        let is_current = {
            let owners = self.owners.borrow();
            let known = owners.renewals.get(service).and_then(Renewals::table);
            known.map_or(copy == StoreCopy::default(), |table| !table.is_of_earlier_copy(copy))
        };
        let mut fleet = self.fleet.borrow_mut();
        if is_current {
            fleet.recalled_tables.0.remove(service);
            return Recall::Certain;
        }
        if fleet.recalled_tables.start(service, copy) {
            self.spawn("table recall", Rc::clone(self).ask_for_memories(service.clone(), copy));
        }
        fleet.recalled_tables.0.get(service).map_or(Recall::Pending, |recalled| recalled.recall)
    }

    async fn ask_for_memories(self: Rc<Self>, service: ServiceName, copy: StoreCopy) {
        let hosts: Vec<(HostId, SocketAddr)> = {
            let fleet = self.fleet.borrow();
            let others = fleet.hosts.values().filter(|record| record.host != self.settings.host);
            others.map(|record| (record.host.clone(), record.peers)).collect()
        };
        let ask = |(host, addr)| {
            let (control, service) = (Rc::clone(&self), service.clone());
            self.ex.spawn(async move { (host, control.request_memory(addr, &service).await) })
        };
        let answers: Vec<Task<(HostId, Option<Memory>)>> = hosts.into_iter().map(ask).collect();
        let mut others = Vec::new();
        for answer in answers {
            others.push(answer.await);
        }
        let own = (self.settings.host.clone(), self.memory(&service));
        let restored_at = self.fleet.borrow().store_copy.known_at();
        let asked = Asked { own, others, copy, restored_at };
        let (recall, newest) = asked.recall(self.timing, clock::now());
        let answers = asked.others.iter().filter(|(_, memory)| memory.is_some()).count();
        let version = newest.as_ref().map_or(0, |table| table.version);
        log::info!(service:% = service, version, copy = copy.0, asked = asked.others.len(), answers, recall:? = recall; "owners: asked for tables that the store may have lost");
        if let Some(table) = newest
            && self.adopt_table(table)
        {
            self.publish();
        }
        self.fleet.borrow_mut().recalled_tables.record(&service, copy, recall);
        if recall != Recall::Certain {
            Timer::after(RECALL_PAUSE.duration()).await;
        }
        self.fleet.borrow_mut().recalled_tables.end(&service, copy);
    }

    /// Returns what this process remembers of the table of a service.
    pub(super) fn memory(&self, service: &ServiceName) -> Memory {
        let now = clock::now();
        let owners = self.owners.borrow();
        let known = owners.renewals.get(service).map(|renewals| renewals.memory(now));
        let running = now.since(self.started_at);
        let none = Memory { table: None, proof_age: None, running, first_copy: None };
        Memory { first_copy: self.first_copy(), ..known.unwrap_or(none) }
    }

    /// Returns the copy of the store that this process read before any host can have recorded a table.
    fn first_copy(&self) -> Option<StoreCopy> {
        let known = self.fleet.borrow().store_copy;
        let uptime = known.known_at().since(self.started_at);
        let copy = StoreCopy(known.number().get());
        restored::first_copy(self.settings.is_first_start, copy, uptime)
            .filter(|_| known.known_at() >= self.started_at)
    }
}
