//! Calls to upstreams: grants, withdrawals and health checks.

use crate::control::events::{Event, Health, UpstreamKey};
use async_channel::Sender;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use skylarkdock_grants::manager::{CALL_TIMEOUT_MS, WITHDRAW_TIMEOUT_MS};
use skylarkdock_grants::{Call, CallOutcome, FencedRange};
use skylarkdock_httppath::json::{self, CallError};
use skylarkdock_httppath::pool::Pool;
use skylarkdock_units::ids::{Epoch, RangeIndex, ServiceName};
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::times::Millis;
use std::net::SocketAddr;
use std::time::Instant;

const MAX_RESPONSE: ByteSize = ByteSize(256 * 1024);
const GRANT_PATH: &str = "/_upstream/grant";
const CLOCK_PATH: &str = "/_upstream/clock";
const HEALTH_PATH: &str = "/_upstream/health";

#[derive(Serialize)]
struct GrantBody<'a> {
    service: &'a ServiceName,
    grants: Vec<FencedRangeBody>,
    until_ms: Millis,
    withdraw: Vec<FencedRangeBody>,
}

#[derive(Serialize)]
struct FencedRangeBody {
    range: RangeIndex,
    token: String,
}

#[derive(Deserialize)]
struct GrantResponse {
    now_ms: Millis,
    #[serde(default)]
    refused: Vec<RefusedRange>,
}

#[derive(Deserialize)]
struct RefusedRange {
    range: RangeIndex,
}

#[derive(Deserialize)]
struct HealthBody {
    healthy: bool,
    #[serde(default)]
    draining: bool,
}

/// Client of the grant and health endpoints of one upstream.
#[derive(Clone)]
pub struct Upstream {
    /// The service and the upstream.
    pub key: UpstreamKey,
    /// Address that the upstream listens on.
    pub addr: SocketAddr,
    /// Whether the upstream checks tokens and grants, according to the routing record.
    pub checks_orders: bool,
    /// Connections for the calls.
    pub pool: Pool,
}

impl Upstream {
    fn call<'a>(&'a self, path: &'a str, timeout: Millis) -> json::Call<'a> {
        json::Call {
            pool: &self.pool,
            addr: self.addr,
            path,
            connect_timeout: timeout,
            deadline: Instant::now() + timeout.duration(),
            max_response_size: MAX_RESPONSE,
        }
    }

    /// Makes a grant call and reports its outcome.
    pub async fn grant(self, call: Call, events: Sender<Event>) {
        let response: Result<GrantResponse, CallError> = match call {
            Call::ReadClock => json::get_json(self.call(CLOCK_PATH, CALL_TIMEOUT_MS)).await,
            Call::Renew { grants, until } => {
                let body = self.body(&grants, until, &[]);
                json::put_json(self.call(GRANT_PATH, CALL_TIMEOUT_MS), &body).await
            }
        };
        let outcome = match response {
            Ok(response) => {
                let refused = response.refused.iter().map(|refused| refused.range).collect();
                CallOutcome::Answered { now: response.now_ms, refused }
            }
            Err(CallError::Status { status: StatusCode::NOT_FOUND, .. }) => {
                CallOutcome::FencingUnsupported
            }
            Err(_) => CallOutcome::NoResponse,
        };
        send_event(&events, Event::GrantCallFinished { key: self.key, outcome }).await;
    }

    /// Withdraws the grants of ranges and waits until the upstream no longer serves them.
    pub async fn withdraw(self, ranges: Vec<FencedRange>, events: Sender<Event>) {
        let body = self.body(&[], Millis(0), &ranges);
        let call = self.call(GRANT_PATH, WITHDRAW_TIMEOUT_MS);
        let response: Result<GrantResponse, CallError> = json::put_json(call, &body).await;
        let confirmed = response.is_ok();
        send_event(&events, Event::WithdrawalFinished { key: self.key, ranges, confirmed }).await;
    }

    /// Checks the upstream's health.
    pub async fn health(self, events: Sender<Event>) {
        let call = self.call(HEALTH_PATH, CALL_TIMEOUT_MS);
        let response: Result<HealthBody, CallError> = json::get_json(call).await;
        let health = response.ok().map(|body| Health { draining: body.draining || !body.healthy });
        send_event(&events, Event::HealthChecked { key: self.key, health }).await;
    }

    fn body(
        &self,
        grants: &[FencedRange],
        until: Millis,
        withdraw: &[FencedRange],
    ) -> GrantBody<'_> {
        GrantBody {
            service: &self.key.0,
            grants: grants.iter().map(fenced_range_body).collect(),
            until_ms: until,
            withdraw: withdraw.iter().map(fenced_range_body).collect(),
        }
    }
}

fn fenced_range_body(fenced: &FencedRange) -> FencedRangeBody {
    let Epoch { offset, place } = fenced.token;
    FencedRangeBody { range: fenced.range, token: format!("{offset}.{place}") }
}

async fn send_event(events: &Sender<Event>, event: Event) {
    // Fails only if the control thread has stopped.
    let _ = events.send(event).await;
}
