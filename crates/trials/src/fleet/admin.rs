//! Admin calls to the daemons of a fleet.

use crate::errors::TrialError;
use crate::fleet::{Fleet, SERVICE};
use crate::waiting;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use skylarkdock_admin::envelope::{NoParams, Request, Response};
use skylarkdock_admin::hosts::{HostRow, HostState};
use skylarkdock_admin::methods;
use skylarkdock_admin::ranges::{RangeRow, RangesParams};
use skylarkdock_admin::records::{PublishParams, RecordRow, SettleParams};
use skylarkdock_admin::status::{ServingState, Status};
use skylarkdock_admin::verdict::Verdict;
use skylarkdock_units::collections::FastSet;
use skylarkdock_units::ids::{Offset, RangeId};
use skylarkdock_units::requests::RecordId;
use skylarkdock_units::times::Millis;
use uuid::Uuid;

const PUBLISHER_NAME: &str = "trial";
const VERDICT_TIMEOUT_MS: Millis = Millis(10_000);
const DEFAULT_DEADLINE_MS: u64 = 10_000;
const UPSTREAM_SLOTS: u32 = 64;
const UPSTREAM_CONNECTIONS: u32 = 400;

impl Fleet {
    /// Sends an admin call to a host and returns its result.
    ///
    /// # Errors
    /// Fails when the host was never started, the HTTP call fails, or the host answers with an error.
    pub fn call<P: Serialize, R: DeserializeOwned>(
        &self,
        host: usize,
        method: &str,
        params: P,
    ) -> Result<R, TrialError> {
        let addr = self.addresses(host)?.http;
        let call = Request::new(1, method, params);
        let res: Response<R> = self.client.post(addr, methods::RPC_PATH, &call)?;
        Ok(res.into_result()?)
    }

    /// Returns the status of a host.
    ///
    /// # Errors
    /// Fails when the call fails.
    pub fn status(&self, host: usize) -> Result<Status, TrialError> {
        self.call(host, methods::STATUS, NoParams {})
    }

    /// Returns the ranges as known to a host.
    ///
    /// # Errors
    /// Fails when the call fails.
    pub fn range_rows(&self, host: usize) -> Result<Vec<RangeRow>, TrialError> {
        self.call(host, methods::RANGES, RangesParams::default())
    }

    /// Returns the record of the service that is in force on a host.
    ///
    /// # Errors
    /// Fails when the call fails.
    pub fn record(&self, host: usize) -> Result<Option<RecordRow>, TrialError> {
        let rows: Vec<RecordRow> = self.call(host, methods::RECORDS, NoParams {})?;
        Ok(rows.into_iter().find(|row| row.service.as_str() == SERVICE))
    }

    /// Returns the members as known to a host.
    ///
    /// # Errors
    /// Fails when the call fails.
    pub fn host_rows(&self, host: usize) -> Result<Vec<HostRow>, TrialError> {
        self.call(host, methods::HOSTS, NoParams {})
    }

    /// Publishes or replaces the record of the service through a running host, and returns its offset once accepted.
    ///
    /// # Errors
    /// Fails when the record is refused or its verdict is not known in time.
    pub fn publish(&mut self) -> Result<Offset, TrialError> {
        let host = self.running_hosts().first().copied().unwrap_or(0);
        self.publish_through(host, DEFAULT_DEADLINE_MS)
    }

    /// Publishes the record through `host`, with `deadline_ms` as the deadline of requests.
    ///
    /// # Errors
    /// Fails when the record is refused or its verdict is not known in time.
    pub fn publish_through(&mut self, host: usize, deadline_ms: u64) -> Result<Offset, TrialError> {
        let basis = self.record(host)?.map_or(Offset(0), |row| row.revision);
        let params = PublishParams {
            record: self.record_text(deadline_ms),
            basis,
            by: PUBLISHER_NAME.to_owned(),
            id: RecordId(Uuid::from_u128(self.record_id_rng.u128(..))),
            wait_ms: VERDICT_TIMEOUT_MS,
        };
        let id = params.id;
        match self.call(host, methods::PUBLISH, params)? {
            Verdict::Accepted { offset } => Ok(offset),
            Verdict::Unknown { .. } => self.wait_for_verdict(host, id),
            refused @ Verdict::Refused { .. } => Err(TrialError::RecordNotAccepted(refused)),
        }
    }

    /// Waits until each running host is serving and regards all others as live.
    ///
    /// # Errors
    /// Fails when the condition is not met in time.
    pub fn wait_until_serving(&self) -> Result<(), TrialError> {
        let running = self.running_hosts();
        waiting::until("all hosts serve and regard each other as live", || {
            for host in &running {
                let rows = self.host_rows(*host)?;
                let is_known_live = |other: &usize| {
                    let id = self.host_id(*other);
                    let is_live = |row: &HostRow| row.state == HostState::Live;
                    other == host || rows.iter().any(|row| row.member.host == *id && is_live(row))
                };
                let knows_all = running.iter().all(is_known_live);
                let is_serving = self.status(*host)?.state == ServingState::Serving;
                if !is_serving || !knows_all {
                    return Ok(false);
                }
            }
            Ok(true)
        })
    }

    /// Waits until each range is held by a running host.
    ///
    /// # Errors
    /// Fails when the condition is not met in time.
    pub fn wait_until_held(&self) -> Result<(), TrialError> {
        waiting::until("all ranges are held", || {
            Ok(self.held_ranges()?.len() == self.ranges() as usize)
        })
    }

    /// Waits until a host has applied the log up to `offset`.
    ///
    /// # Errors
    /// Fails when the condition is not met in time.
    pub fn wait_until_applied(&self, host: usize, offset: Offset) -> Result<(), TrialError> {
        waiting::until("a host applies the log up to a record", || {
            Ok(self.status(host)?.applied >= offset)
        })
    }

    /// Returns the ranges that are held by running hosts.
    ///
    /// # Errors
    /// Fails when a call fails.
    pub fn held_ranges(&self) -> Result<FastSet<RangeId>, TrialError> {
        let mut held = FastSet::default();
        for host in self.running_hosts() {
            let rows = self.range_rows(host)?;
            held.extend(rows.into_iter().filter(|row| row.held.is_some()).map(|row| row.range));
        }
        Ok(held)
    }

    fn wait_for_verdict(&self, host: usize, id: RecordId) -> Result<Offset, TrialError> {
        let mut verdict = Verdict::Unknown { id };
        waiting::until("the verdict of a record is known", || {
            verdict = self.call(host, methods::SETTLE, SettleParams { id })?;
            Ok(!matches!(verdict, Verdict::Unknown { .. }))
        })?;
        match verdict {
            Verdict::Accepted { offset } => Ok(offset),
            other => Err(TrialError::RecordNotAccepted(other)),
        }
    }

    fn record_text(&self, deadline_ms: u64) -> Value {
        let upstreams = self.upstreams.iter().filter_map(|upstream| {
            let address = upstream.link_process.as_ref()?.link(0);
            Some(json!({
                "id": upstream.id, "address": address, "zone": upstream.zone, "slots": UPSTREAM_SLOTS,
                "connections": UPSTREAM_CONNECTIONS, "checks_orders": true,
            }))
        });
        json!({
            "schema": 2,
            "service": SERVICE,
            "ranges": self.settings.ranges,
            "deadline_ms": deadline_ms,
            "on_cut": self.settings.on_cut.to_string(),
            "operations": [
                { "method": "GET", "class": "repeatable", "priority": "interactive" },
                { "method": "POST", "class": "once-only", "priority": "critical" },
            ],
            "upstreams": upstreams.collect::<Vec<_>>(),
        })
    }
}
