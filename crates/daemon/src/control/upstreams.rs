//! Calls to upstreams: grants and health.

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

const MAX_ANSWER: ByteSize = ByteSize(256 * 1024);
const GRANT_PATH: &str = "/_upstream/grant";
const CLOCK_PATH: &str = "/_upstream/clock";
const HEALTH_PATH: &str = "/_upstream/health";

#[derive(Serialize)]
struct GrantBody<'a> {
    service: &'a ServiceName,
    grants: Vec<OrderBody>,
    until_ms: Millis,
    withdraw: Vec<OrderBody>,
}

#[derive(Serialize)]
struct OrderBody {
    range: RangeIndex,
    token: String,
}

#[derive(Deserialize)]
struct Taken {
    now_ms: Millis,
    #[serde(default)]
    refused: Vec<RefusedBody>,
}

#[derive(Deserialize)]
struct RefusedBody {
    range: RangeIndex,
}

#[derive(Deserialize)]
struct HealthBody {
    healthy: bool,
    #[serde(default)]
    draining: bool,
}

/// An upstream and the connections to it.
#[derive(Clone)]
pub struct Upstream {
    /// Which one.
    pub key: UpstreamKey,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Whether it checks tokens and grants, as its record says.
    pub checks_orders: bool,
    /// The connections.
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
            max_response_size: MAX_ANSWER,
        }
    }

    /// Makes a grant call.
    pub async fn grant(self, call: Call, events: Sender<Event>) {
        let taken: Result<Taken, CallError> = match call {
            Call::ReadClock => json::get_json(self.call(CLOCK_PATH, CALL_TIMEOUT_MS)).await,
            Call::Renew { grants, until } => {
                let body = self.body(&grants, until, &[]);
                json::put_json(self.call(GRANT_PATH, CALL_TIMEOUT_MS), &body).await
            }
        };
        let answer = match taken {
            Ok(taken) => {
                let refused = taken.refused.iter().map(|refused| refused.range).collect();
                CallOutcome::Answered { now: taken.now_ms, refused }
            }
            Err(CallError::Status { status: StatusCode::NOT_FOUND, .. }) => {
                CallOutcome::FencingUnsupported
            }
            Err(_) => CallOutcome::NoResponse,
        };
        tell(&events, Event::Granted { key: self.key, answer }).await;
    }

    /// Withdraws grants and waits until the upstream serves the ranges no more.
    pub async fn withdraw(self, orders: Vec<FencedRange>, events: Sender<Event>) {
        let body = self.body(&[], Millis(0), &orders);
        let call = self.call(GRANT_PATH, WITHDRAW_TIMEOUT_MS);
        let taken: Result<Taken, CallError> = json::put_json(call, &body).await;
        let confirmed = taken.is_ok();
        tell(&events, Event::Withdrawn { key: self.key, orders, confirmed }).await;
    }

    /// Asks for the upstream's health.
    pub async fn health(self, events: Sender<Event>) {
        let call = self.call(HEALTH_PATH, CALL_TIMEOUT_MS);
        let body: Result<HealthBody, CallError> = json::get_json(call).await;
        let health = body.ok().map(|body| Health { draining: body.draining || !body.healthy });
        tell(&events, Event::Health { key: self.key, health }).await;
    }

    fn body(
        &self,
        grants: &[FencedRange],
        until: Millis,
        withdraw: &[FencedRange],
    ) -> GrantBody<'_> {
        GrantBody {
            service: &self.key.0,
            grants: grants.iter().map(order_body).collect(),
            until_ms: until,
            withdraw: withdraw.iter().map(order_body).collect(),
        }
    }
}

fn order_body(order: &FencedRange) -> OrderBody {
    let Epoch { offset, place } = order.token;
    OrderBody { range: order.range, token: format!("{offset}.{place}") }
}

async fn tell(events: &Sender<Event>, event: Event) {
    // The control thread is gone when the channel is closed.
    let _ = events.send(event).await;
}
