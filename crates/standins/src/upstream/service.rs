//! HTTP API of an upstream, with its faults.

use crate::clock;
use crate::responses::{self, Body, NoResponse, RequestError};
use crate::server;
use crate::shared::Shared;
use crate::upstream::UpstreamSettings;
use crate::upstream::admission::RefusalCounts;
use crate::upstream::execution;
use crate::upstream::faults::UpstreamFaults;
use crate::upstream::grants::{GrantRequest, GrantResponse};
use crate::upstream::runs::Interval;
use crate::upstream::state::{self, State};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use skylarkdock_units::{ids, times};
use std::sync::Arc;
use std::time::Duration;

use ids::RangeIndex;
use times::HostTime;

const WITHDRAWAL_TIMEOUT_MS: u64 = 1000;
const MAX_PAGE_RUNS: usize = 10_000;

/// Response to `GET /_upstream/health`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Health {
    /// Whether the upstream can serve requests.
    pub healthy: bool,
    /// Whether the upstream is draining.
    pub draining: bool,
    /// Maximum number of requests that run at once.
    pub slots: usize,
    /// Number of running requests.
    pub busy: usize,
    /// Share of the slots that are in use.
    pub load: f64,
}

#[derive(Serialize)]
struct ClockResponse {
    now_ms: HostTime,
}

#[derive(Serialize)]
struct WithdrawalPending {
    running: Vec<RangeIndex>,
}

#[derive(Serialize)]
struct DrainResponse {
    draining: bool,
}

/// Response to `GET /_standin/owners`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Owners {
    /// Intervals in which each key was served.
    pub intervals: Vec<Interval>,
}

#[derive(Serialize)]
struct Stats {
    refused: RefusalCounts,
    busy: usize,
}

/// A cloneable handle to an upstream.
#[derive(Clone)]
pub struct UpstreamService {
    settings: Arc<UpstreamSettings>,
    state: Shared<State>,
}

impl UpstreamService {
    /// Creates an idle upstream without faults.
    pub fn new(settings: &UpstreamSettings) -> Self {
        let state = Shared::new(State::new(settings));
        Self { settings: Arc::new(settings.clone()), state }
    }

    /// Handles a control call, a call of the platform or a request that is to run.
    ///
    /// # Errors
    /// Fails when the connection is to be closed without a response.
    pub async fn handle(self, req: Request<Incoming>) -> Result<Response<Body>, NoResponse> {
        let path = req.uri().path();
        if path.starts_with("/_standin/") {
            return self.handle_control(req).await;
        }
        if !path.starts_with("/_upstream/") {
            return execution::run(&self.settings, &self.state, req).await;
        }
        state::wait_until_thawed(&self.state).await;
        let res = self.handle_platform_call(req).await;
        state::wait_until_thawed(&self.state).await;
        Ok(res)
    }

    /// Handles a control call, even while the upstream is frozen.
    ///
    /// # Errors
    /// Never fails; [`Server::start`](crate::server::Server::start) requires a `Result`.
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
                    state.admission.cancel_expired(clock::host_now());
                    state.admission.runs().intervals()
                });
                responses::ok(&Owners { intervals })
            }
            (&Method::GET, "/_standin/stats") => responses::ok(&self.state.with(|state| Stats {
                refused: state.admission.refused(),
                busy: state.admission.runs().running_count(),
            })),
            _ => responses::not_found(),
        };
        Ok(res)
    }

    /// Refuses new requests and waits until no request is running.
    pub async fn drain(&self) {
        self.state.update(|state| state.admission.drain(clock::host_now()));
        self.state.wait_for(|state| state.admission.is_drained().then_some(())).await;
    }

    async fn handle_platform_call(&self, req: Request<Incoming>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::GET, "/_upstream/health") => responses::ok(&self.health()),
            (&Method::GET, "/_upstream/clock") => {
                responses::ok(&ClockResponse { now_ms: clock::host_now() })
            }
            (&Method::PUT, "/_upstream/grant") if self.settings.admission().checks_orders => {
                self.grant(req).await
            }
            (&Method::PUT, "/_upstream/drain") => {
                self.state.update(|state| state.admission.drain(clock::host_now()));
                responses::ok(&DrainResponse { draining: true })
            }
            _ => responses::not_found(),
        }
    }

    fn health(&self) -> Health {
        let slots = self.settings.admission().slots;
        self.state.with(|state| {
            let status = state.admission.status(clock::host_now());
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
        let request: GrantRequest = match responses::read_json(req.into_body()).await {
            Ok(request) => request,
            Err(e) => return responses::bad_request(e),
        };
        if request.service != *self.settings.service() {
            return responses::error(
                StatusCode::BAD_REQUEST,
                "the grant request is for another service",
            );
        }
        let refused = self.state.with(|state| state.admission.apply(clock::host_now(), &request));
        let withdrawn = self.state.wait_for(|state| {
            let running = state.admission.still_running(&request);
            running.is_empty().then_some(())
        });
        let timeout = Duration::from_millis(WITHDRAWAL_TIMEOUT_MS);
        if server::with_timeout(timeout, withdrawn).await.is_some() {
            return responses::ok(&GrantResponse { now_ms: clock::host_now(), refused });
        }
        let running = self.state.with(|state| state.admission.still_running(&request));
        responses::json(StatusCode::CONFLICT, &WithdrawalPending { running })
    }

    async fn set_faults(&self, req: Request<Incoming>) -> Response<Body> {
        let faults: UpstreamFaults = match responses::read_json(req.into_body()).await {
            Ok(faults) => faults,
            Err(e) => return responses::bad_request(e),
        };
        if let Err(e) = check_faults(&faults) {
            return responses::bad_request(e);
        }
        self.state.update(|state| state.set_faults(faults.clone()));
        responses::ok(&faults)
    }

    fn runs(&self, req: &Request<Incoming>) -> Response<Body> {
        let from = responses::parameter(req, "from").map(|from| from.unwrap_or(1));
        let max = responses::parameter(req, "max").map(|max| max.unwrap_or(MAX_PAGE_RUNS));
        let (from, max) = match (from, max) {
            (Ok(from), Ok(max)) => (from, max),
            (Err(e), _) | (_, Err(e)) => return responses::bad_request(e),
        };
        let max = max.min(MAX_PAGE_RUNS);
        let page = self.state.with(|state| {
            state.admission.cancel_expired(clock::host_now());
            state.admission.runs().page(from, max)
        });
        responses::ok(&page)
    }
}

fn check_faults(faults: &UpstreamFaults) -> Result<(), RequestError> {
    responses::check_share("error_share", faults.error_share)?;
    if faults.slow_factor.is_finite() && faults.slow_factor >= 0.0 {
        return Ok(());
    }
    Err(RequestError::OutOfRange { field: "slow_factor", allowed: "0 or more" })
}
