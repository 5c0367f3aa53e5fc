//! The upstream's calls.

use crate::clock;
use crate::responses::{self, Body, NoResponse, RequestError};
use crate::server;
use crate::shared::Shared;
use crate::upstream::UpstreamSettings;
use crate::upstream::desk::RefusedCounts;
use crate::upstream::faults::UpstreamFaults;
use crate::upstream::grants::{GrantAnswer, GrantOrder};
use crate::upstream::runs::Interval;
use crate::upstream::state::{self, State};
use crate::upstream::work;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use skylarkdock_units::{ids, times};
use std::sync::Arc;
use std::time::Duration;

use ids::RangeIndex;
use times::HostTime;

const WITHDRAW_WAIT_MS: u64 = 1000;
const MAX_RUNS: usize = 10_000;

/// Answer to the health call.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Health {
    /// Whether it can serve.
    pub healthy: bool,
    /// Whether it is leaving.
    pub draining: bool,
    /// Most requests that run at once.
    pub slots: usize,
    /// Requests that run.
    pub busy: usize,
    /// Share of the slots that are busy.
    pub load: f64,
}

#[derive(Serialize)]
struct ClockAnswer {
    now_ms: HostTime,
}

#[derive(Serialize)]
struct StillRunning {
    running: Vec<RangeIndex>,
}

#[derive(Serialize)]
struct DrainAnswer {
    draining: bool,
}

/// Answer to `GET /_standin/owners`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Owners {
    /// When each key was served.
    pub intervals: Vec<Interval>,
}

#[derive(Serialize)]
struct Stats {
    refused: RefusedCounts,
    busy: usize,
}

/// An upstream.
#[derive(Clone)]
pub struct UpstreamService {
    settings: Arc<UpstreamSettings>,
    state: Shared<State>,
}

impl UpstreamService {
    /// Starts idle and without faults.
    pub fn new(settings: &UpstreamSettings) -> Self {
        let state = Shared::new(State::new(settings));
        Self { settings: Arc::new(settings.clone()), state }
    }

    /// Answers a call or runs a request.
    ///
    /// # Errors
    /// Fails when the connection is to close without an answer.
    pub async fn handle(self, req: Request<Incoming>) -> Result<Response<Body>, NoResponse> {
        let path = req.uri().path();
        if path.starts_with("/_standin/") {
            return self.handle_control(req).await;
        }
        if !path.starts_with("/_upstream/") {
            return work::run(&self.settings, &self.state, req).await;
        }
        state::thawed(&self.state).await;
        let res = self.handle_order(req).await;
        state::thawed(&self.state).await;
        Ok(res)
    }

    /// Answers a call of the test control, also while frozen.
    ///
    /// # Errors
    /// Never fails; the type is the server's.
    pub async fn handle_control(
        self,
        req: Request<Incoming>,
    ) -> Result<Response<Body>, NoResponse> {
        let path = req.uri().path().to_owned();
        let res = match (req.method(), path.as_str()) {
            (&Method::GET, "/_standin/faults") => {
                responses::ok(&self.state.with(|state| state.faults().clone()))
            }
            (&Method::PUT, "/_standin/faults") => self.set_faults(req).await,
            (&Method::GET, "/_standin/runs") => self.runs(&req),
            (&Method::GET, "/_standin/owners") => {
                let intervals = self.state.with(|state| {
                    state.desk.abandon_lapsed(clock::host_now());
                    state.desk.runs().intervals()
                });
                responses::ok(&Owners { intervals })
            }
            (&Method::GET, "/_standin/stats") => responses::ok(&self.state.with(|state| Stats {
                refused: state.desk.refused(),
                busy: state.desk.runs().running(),
            })),
            _ => responses::not_found(),
        };
        Ok(res)
    }

    /// Refuses new requests and returns when none runs any more.
    pub async fn drain(&self) {
        self.state.update(|state| state.desk.drain(clock::host_now()));
        self.state.wait_for(|state| state.desk.is_drained().then_some(())).await;
    }

    async fn handle_order(&self, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::GET, "/_upstream/health") => responses::ok(&self.health()),
            (&Method::GET, "/_upstream/clock") => {
                responses::ok(&ClockAnswer { now_ms: clock::host_now() })
            }
            (&Method::PUT, "/_upstream/grant") if self.settings.desk().checks_orders => {
                self.grant(req).await
            }
            (&Method::PUT, "/_upstream/drain") => {
                self.state.update(|state| state.desk.drain(clock::host_now()));
                responses::ok(&DrainAnswer { draining: true })
            }
            _ => responses::not_found(),
        }
    }

    fn health(&self) -> Health {
        let slots = self.settings.desk().slots;
        self.state.with(|state| {
            let status = state.desk.status(clock::host_now());
            let load = status.busy as f64 / slots as f64;
            let faults = state.faults();
            Health {
                healthy: faults.lie_healthy.unwrap_or(!faults.shed),
                draining: status.draining,
                slots,
                busy: status.busy,
                load: faults.lie_load.unwrap_or(load),
            }
        })
    }

    async fn grant(&self, req: Request<Incoming>) -> Response<Body> {
        let order: GrantOrder = match responses::read_json(req.into_body()).await {
            Ok(order) => order,
            Err(e) => return responses::bad_request(e),
        };
        if order.service != *self.settings.service() {
            return responses::error(StatusCode::BAD_REQUEST, "the grant is for another service");
        }
        let refused = self.state.with(|state| state.desk.apply(clock::host_now(), &order));
        let ended = self.state.wait_for(|state| {
            let running = state.desk.still_running(&order);
            running.is_empty().then_some(())
        });
        let wait = Duration::from_millis(WITHDRAW_WAIT_MS);
        if server::with_timeout(wait, ended).await.is_some() {
            return responses::ok(&GrantAnswer { now_ms: clock::host_now(), refused });
        }
        let running = self.state.with(|state| state.desk.still_running(&order));
        responses::json(StatusCode::CONFLICT, &StillRunning { running })
    }

    async fn set_faults(&self, req: Request<Incoming>) -> Response<Body> {
        let faults: UpstreamFaults = match responses::read_json(req.into_body()).await {
            Ok(faults) => faults,
            Err(e) => return responses::bad_request(e),
        };
        if let Err(e) = check(&faults) {
            return responses::bad_request(e);
        }
        self.state.update(|state| state.set_faults(faults.clone()));
        responses::ok(&faults)
    }

    fn runs(&self, req: &Request<Incoming>) -> Response<Body> {
        let from = responses::parameter(req, "from").map(|from| from.unwrap_or(1));
        let max = responses::parameter(req, "max").map(|max| max.unwrap_or(MAX_RUNS));
        let (from, max) = match (from, max) {
            (Ok(from), Ok(max)) => (from, max),
            (Err(e), _) | (_, Err(e)) => return responses::bad_request(e),
        };
        let max = max.min(MAX_RUNS);
        let page = self.state.with(|state| {
            state.desk.abandon_lapsed(clock::host_now());
            state.desk.runs().page(from, max)
        });
        responses::ok(&page)
    }
}

fn check(faults: &UpstreamFaults) -> Result<(), RequestError> {
    responses::check_share("error_share", faults.error_share)?;
    if faults.slow_factor.is_finite() && faults.slow_factor >= 0.0 {
        return Ok(());
    }
    Err(RequestError::OutOfRange { field: "slow_factor", allowed: "0 and more" })
}
