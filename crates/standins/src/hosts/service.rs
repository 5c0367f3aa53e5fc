//! HTTP API of the host list, with its faults.

use crate::clock;
use crate::hosts::list::{HostList, HostListError, HostsFaults};
use crate::lagged::Lagged;
use crate::responses::{self, Body, NoResponse, RequestError};
use crate::shared::Shared;
use async_io::Timer;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use skylarkdock_units::{ids, times};
use std::time::Duration;

use ids::HostId;
use times::Millis;

struct State {
    list: Lagged<HostList>,
    faults: HostsFaults,
}

/// A cloneable handle to the host list and its faults.
#[derive(Clone)]
pub struct HostsService {
    state: Shared<State>,
}

impl HostsService {
    /// Creates a host list without faults.
    ///
    /// # Errors
    /// Fails when two hosts have the same id.
    pub fn new(list: HostList) -> Result<Self, HostListError> {
        list.check()?;
        let state = State { list: Lagged::new(list), faults: HostsFaults::default() };
        Ok(Self { state: Shared::new(state) })
    }

    /// Handles an HTTP request to the host list.
    ///
    /// # Errors
    /// Never fails; [`Server::start`](crate::server::Server::start) requires a `Result`.
    pub async fn handle(self, req: Request<Incoming>) -> Result<Response<Body>, NoResponse> {
        let path = req.uri().path().to_owned();
        let res = match (req.method(), path.as_str()) {
            (&Method::GET, "/hosts") => self.list(&req).await,
            (&Method::GET, "/_standin/hosts") => {
                responses::ok(&self.state.with(|state| state.list.latest().clone()))
            }
            (&Method::PUT, "/_standin/hosts") => self.set_list(req).await,
            (&Method::GET, "/_standin/faults") => {
                responses::ok(&self.state.with(|state| state.faults.clone()))
            }
            (&Method::PUT, "/_standin/faults") => self.set_faults(req).await,
            _ => responses::not_found(),
        };
        Ok(res)
    }

    async fn list(&self, req: &Request<Incoming>) -> Response<Body> {
        let requester: Result<Option<HostId>, RequestError> = responses::parameter(req, "from");
        let requester = match requester {
            Ok(requester) => requester,
            Err(e) => return responses::bad_request(e),
        };
        let latency = self.state.with(|state| state.faults.latency_ms);
        if latency > 0 {
            Timer::after(Duration::from_millis(latency)).await;
        }
        self.state.with(|state| state.list_response(requester.as_ref()))
    }

    async fn set_list(&self, req: Request<Incoming>) -> Response<Body> {
        let list: HostList = match responses::read_json(req.into_body()).await {
            Ok(list) => list,
            Err(e) => return responses::bad_request(e),
        };
        if let Err(e) = list.check() {
            return responses::bad_request(e);
        }
        self.state.with(|state| {
            let lag = Millis(state.faults.lag_ms);
            state.list.set(clock::host_now(), lag, list.clone());
        });
        responses::ok(&list)
    }

    async fn set_faults(&self, req: Request<Incoming>) -> Response<Body> {
        let faults: HostsFaults = match responses::read_json(req.into_body()).await {
            Ok(faults) => faults,
            Err(e) => return responses::bad_request(e),
        };
        self.state.with(|state| {
            state.list.apply_due(clock::host_now(), Millis(state.faults.lag_ms));
            state.faults = faults.clone();
        });
        responses::ok(&faults)
    }
}

impl State {
    fn list_response(&mut self, requester: Option<&HostId>) -> Response<Body> {
        if self.faults.outage {
            return responses::error(StatusCode::SERVICE_UNAVAILABLE, "simulated outage");
        }
        let lag = Millis(self.faults.lag_ms);
        let list = self.list.visible(clock::host_now(), lag);
        responses::ok(&list.view_for(requester, &self.faults))
    }
}
