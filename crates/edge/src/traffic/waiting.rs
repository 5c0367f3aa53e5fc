//! Requests that wait for an upstream.

use super::{Traffic, WAITING_INTERVAL};
use crate::clock;
use async_io::Timer;
use skylarkdock_dispatch::routing::{RoutingDecision, RoutingRequest};
use skylarkdock_units::ids::ServiceName;
use std::rc::Rc;

/// Removes a request from the queue when it is dropped, for example because its caller disconnects.
struct QueueGuard<'a> {
    traffic: &'a Traffic,
    service: &'a ServiceName,
    ticket: u64,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.traffic.waiters.borrow_mut().remove(&self.ticket);
        if let Some(state) = self.traffic.services.borrow_mut().get_mut(self.service) {
            state.service.cancel(self.ticket);
        }
    }
}

impl Traffic {
    /// Selects an upstream for a request, and waits for one if it may still be answered in time. Returns `None` if the
    /// service is unknown.
    pub(super) async fn choose_upstream(
        &self,
        service: &ServiceName,
        request: RoutingRequest,
    ) -> Option<RoutingDecision> {
        let ticket = request.ticket;
        let decision = {
            let mut services = self.services.borrow_mut();
            let state = services.get_mut(service)?;
            state.service.decide(request, clock::now())
        };
        if decision != RoutingDecision::Wait {
            self.request_permits(service);
            return Some(decision);
        }
        let (tx, rx) = async_channel::bounded(1);
        self.waiters.borrow_mut().insert(ticket, tx);
        self.has_waiting.notify(1);
        let _guard = QueueGuard { traffic: self, service, ticket };
        self.request_permits(service);
        rx.recv().await.ok()
    }

    /// Makes the decisions that are due for waiting requests.
    pub(super) fn decide_waiting(&self) {
        let now = clock::now();
        let mut services = self.services.borrow_mut();
        for state in services.values_mut().filter(|state| state.service.waiting() > 0) {
            for (request, decision) in state.service.decide_waiting(now) {
                if let Some(waiter) = self.waiters.borrow_mut().remove(&request.ticket)
                    && waiter.try_send(decision).is_err()
                {
                    log::debug!(
                        "traffic: a request was cancelled while an upstream was assigned to it"
                    );
                }
            }
        }
    }

    /// Reconsiders the waiting requests at intervals, because decisions depend on the time.
    pub(super) async fn poll_waiting(self: Rc<Self>) {
        loop {
            let listener = self.has_waiting.listen();
            if self.waiters.borrow().is_empty() {
                listener.await;
            }
            Timer::after(WAITING_INTERVAL.duration()).await;
            self.decide_waiting();
            self.request_cold_permits();
        }
    }
}
