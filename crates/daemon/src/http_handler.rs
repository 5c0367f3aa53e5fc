//! Handles HTTP requests: health, metrics, admin calls and lease queries; all others go to the router.

use crate::proxy::Router;
use crate::proxy::forward::HOLDS_PATH;
use crate::rpc::Rpc;
use crate::shared_state::SharedServingState;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use metrics_exporter_prometheus::PrometheusHandle;
use skylarkdock_admin::methods::RPC_PATH;
use skylarkdock_admin::status::ServingState;
use skylarkdock_httppath::body::{self, Body};
use skylarkdock_peer::secret::Secret;
use skylarkdock_units::measures::ByteSize;
use std::net::SocketAddr;
use std::sync::Arc;

/// Path of the health endpoint, which load balancers query.
pub const HEALTH_PATH: &str = "/health";
/// Path of the metrics endpoint.
pub const METRICS_PATH: &str = "/metrics";

const MAX_RPC_BODY_SIZE: ByteSize = ByteSize(4 * 1024 * 1024);

/// Handles every HTTP request that the daemon receives.
pub struct HttpHandler {
    /// Handles callers' requests.
    pub router: Arc<Router>,
    /// Handles admin calls.
    pub rpc: Rpc,
    /// Renders the metrics.
    pub metrics: PrometheusHandle,
    /// Serving state that the health endpoint returns.
    pub serving_state: SharedServingState,
    /// Bearer token required for admin calls; `None` disables authentication.
    pub admin_token: Option<Secret>,
}

impl HttpHandler {
    /// Routes a request to its endpoint and returns the response.
    pub async fn handle(&self, req: Request<Incoming>, remote: SocketAddr) -> Response<Body> {
        match (req.method(), req.uri().path()) {
            (&Method::GET, HEALTH_PATH) => self.health(),
            (&Method::GET, METRICS_PATH) => self.render_metrics(),
            (&Method::POST, RPC_PATH) => self.admin_call(req).await,
            (&Method::GET, path) if path.starts_with(HOLDS_PATH) => self.lease_query(path),
            _ => self.router.serve(req, remote).await,
        }
    }

    fn health(&self) -> Response<Body> {
        let state = self.serving_state.get();
        let mut res = Response::new(body::full(format!("{state}\n")));
        if state != ServingState::Serving {
            *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        res
    }

    /// Answers another host's query whether this host holds a range: 204 if it does, 404 if not.
    fn lease_query(&self, path: &str) -> Response<Body> {
        let range = path.strip_prefix(HOLDS_PATH).and_then(|text| text.parse().ok());
        let held = range.is_some_and(|range| self.router.holds(&range));
        empty_response(if held { StatusCode::NO_CONTENT } else { StatusCode::NOT_FOUND })
    }

    /// Checks whether an admin call carries the admin token. Compares authentication tags instead of the tokens, so
    /// that the response time does not reveal how much of a wrong token is right.
    fn is_authorized(&self, headers: &HeaderMap) -> bool {
        let Some(expected) = &self.admin_token else { return true };
        let given = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
        let token = given.and_then(|value| value.strip_prefix("Bearer "));
        let token = token.and_then(|token| token.parse::<Secret>().ok());
        token.is_some_and(|token| token.tag(&[]) == expected.tag(&[]))
    }

    fn render_metrics(&self) -> Response<Body> {
        self.metrics.run_upkeep();
        let mut res = Response::new(body::full(self.metrics.render()));
        let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
        res.headers_mut().insert(CONTENT_TYPE, content_type);
        res
    }

    async fn admin_call(&self, req: Request<Incoming>) -> Response<Body> {
        if !self.is_authorized(req.headers()) {
            metrics::counter!("skylarkdock_admin_calls_refused_total").increment(1);
            return empty_response(StatusCode::UNAUTHORIZED);
        }
        let Ok(bytes) = body::collect(req.into_body(), MAX_RPC_BODY_SIZE).await else {
            return empty_response(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let answer = match std::str::from_utf8(&bytes) {
            Ok(call) => self.rpc.answer(call).await,
            Err(_) => None,
        };
        let Some(answer) = answer else { return empty_response(StatusCode::BAD_REQUEST) };
        let mut res = Response::new(body::full(answer));
        let content_type = HeaderValue::from_static("application/json");
        res.headers_mut().insert(CONTENT_TYPE, content_type);
        res
    }
}

fn empty_response(status: StatusCode) -> Response<Body> {
    let mut res = Response::new(body::empty());
    *res.status_mut() = status;
    res
}
