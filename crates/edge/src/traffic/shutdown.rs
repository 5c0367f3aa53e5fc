//! Requests of a host that was told to stop: those that probably outlast it are refused, and those that are still open near
//! its exit get a final answer. [`skylarkdock_dispatch::shutdown`] decides.

use super::Traffic;
use super::history::{HOST_IS_LEAVING, History, RequestEnd};
use super::request::Request;
use crate::answer::Answer;
use crate::clock;
use async_io::Timer;
use futures_lite::FutureExt;
use skylarkdock_dispatch::retry_after;
use skylarkdock_dispatch::shutdown::{self, RequestTimes};
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::Millis;
use std::rc::Rc;

impl Traffic {
    /// Makes the attempts of a request, and ends them shortly before the exit of a host that was told to stop.
    pub(super) async fn run_until_exit(
        self: &Rc<Self>,
        req: &Request,
        history: &mut History,
    ) -> (Answer, RequestEnd) {
        let ended = {
            let run = async { Some(self.run_attempts(req, history).await) };
            let exit = async {
                self.until_final_answers().await;
                None
            };
            run.or(exit).await
        };
        ended.unwrap_or_else(|| self.end_at_exit(req, history))
    }

    /// Returns the final answer to a request whose answer probably comes after the exit of a host that was told to stop, if
    /// it is sent now. `id` is its upstream, once one is chosen.
    pub(super) fn refuse_outlasting(
        &self,
        req: &Request,
        history: &mut History,
        id: Option<&UpstreamId>,
    ) -> Option<(Answer, RequestEnd)> {
        let shutdown = self.shared.shutdown.get()?;
        let expected = self.expected_time(req, id);
        let may_send = shutdown.may_send(&req.times(), expected, clock::now());
        (!may_send).then(|| self.end_as_leaving(req, history))
    }

    /// Waits until a request that waits for an upstream would probably outlast the host.
    pub(super) async fn until_outlasting(&self, req: &Request) {
        loop {
            let started = self.shared.shutdown_started.listen();
            let Some(shutdown) = self.shared.shutdown.get() else {
                started.await;
                continue;
            };
            let latest_send = shutdown.latest_send(&req.times(), self.expected_time(req, None));
            if clock::now() >= latest_send {
                return;
            }
            Timer::at(clock::instant(latest_send)).await;
        }
    }

    /// Counts a request that ended during the shutdown, if there is one.
    pub(super) fn count_shutdown_end(&self, end: RequestEnd) {
        if self.shared.shutdown.get().is_none() {
            return;
        }
        let mut ends = self.shared.shutdown_ends.get();
        match end {
            RequestEnd::Answered => ends.answered += 1,
            RequestEnd::Refused(_) => ends.refused += 1,
            RequestEnd::Unknown | RequestEnd::Exit => ends.unknown += 1,
        }
        self.shared.shutdown_ends.set(ends);
    }

    async fn until_final_answers(&self) {
        loop {
            let started = self.shared.shutdown_started.listen();
            if let Some(shutdown) = self.shared.shutdown.get() {
                Timer::at(clock::instant(shutdown.final_answers_at())).await;
                return;
            }
            started.await;
        }
    }

    /// Returns the final answer to a request that is open when the host ends.
    fn end_at_exit(&self, req: &Request, history: &mut History) -> (Answer, RequestEnd) {
        match history.under_way.take() {
            Some(id) => {
                history.record_exit(req.arrived, &id);
                (req.gateway_error(), RequestEnd::Exit)
            }
            None => self.end_as_leaving(req, history),
        }
    }

    fn end_as_leaving(&self, req: &Request, history: &mut History) -> (Answer, RequestEnd) {
        let remaining = req.deadline.since(clock::now());
        let delay = retry_after::delay(shutdown::RETRY_AFTER, remaining, req.jitter_per_mille);
        self.final_answer(req, history, delay, HOST_IS_LEAVING)
    }

    fn expected_time(&self, req: &Request, id: Option<&UpstreamId>) -> Millis {
        let services = self.services.borrow();
        let state = services.get(&req.service);
        state.map_or(Millis(0), |state| state.service.expected_time(id, clock::now()))
    }
}

impl Request {
    fn times(&self) -> RequestTimes {
        RequestTimes {
            idempotency: self.route.idempotency,
            arrived: self.arrived,
            objective: self.route.objective,
            deadline: self.deadline,
        }
    }
}
