//! Events that the control thread handles.

use crate::links::LinkEvent;
use crate::shared_state::TrafficReport;
use async_channel::Sender;
use serde_json::Value;
use skylarkdock_admin::{envelope, explain, ranges, records, status};
use skylarkdock_fold::State;
use skylarkdock_grants::{CallOutcome, FencedRange};
use skylarkdock_logclient::hosts::ListedHost;
use skylarkdock_logclient::log::{AppendError, LogPage};
use skylarkdock_units::ids::{Offset, ServiceName, UpstreamId};
use skylarkdock_units::requests::RecordId;
use skylarkdock_units::times::HostTime;

/// An upstream of a service.
pub type UpstreamKey = (ServiceName, UpstreamId);

/// An event for the control thread.
#[derive(Debug)]
pub enum Event {
    /// The whole log was read.
    LogLoaded {
        /// The resulting state.
        state: Box<State>,
        /// When the first read was sent.
        asked_at: HostTime,
    },
    /// Records were read from the log.
    LogRead {
        /// The records.
        page: LogPage,
        /// When the read was sent.
        asked_at: HostTime,
    },
    /// The log did not answer, or records older than its oldest one are missing.
    LogFailed,
    /// An append finished.
    AppendFinished {
        /// Id of the record.
        id: RecordId,
        /// Its outcome.
        result: Result<Offset, AppendError>,
    },
    /// The platform's host list was fetched.
    HostListFetched(Vec<ListedHost>),
    /// A payload was received from another host, or a connection or frame was refused.
    Link(LinkEvent),
    /// A report from the traffic threads.
    Report(TrafficReport),
    /// A grant call finished.
    GrantCallFinished {
        /// The upstream.
        key: UpstreamKey,
        /// Outcome of the call.
        outcome: CallOutcome,
    },
    /// A withdrawal finished.
    WithdrawalFinished {
        /// The upstream.
        key: UpstreamKey,
        /// The ranges to withdraw.
        ranges: Vec<FencedRange>,
        /// Whether the upstream confirmed the withdrawal.
        confirmed: bool,
    },
    /// A health check finished.
    HealthChecked {
        /// The upstream.
        key: UpstreamKey,
        /// The reported health; `None` if the upstream did not answer.
        health: Option<Health>,
    },
    /// A call from an operator.
    Admin(AdminCall),
    /// The process was asked to stop.
    Leave,
}

/// Health as reported by an upstream; it may be outdated or wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Health {
    /// Whether the upstream is leaving or unhealthy.
    pub draining: bool,
}

/// Result of an admin call.
pub type AdminResult = Result<Value, envelope::RpcError>;

/// An admin call with the channel for its result.
#[derive(Debug)]
pub struct AdminCall {
    /// The request.
    pub request: AdminRequest,
    /// Channel for the result.
    pub reply: Sender<AdminResult>,
}

/// The request of an admin call: its method and parameters.
#[derive(Debug)]
pub enum AdminRequest {
    /// Return the status of this host.
    Status,
    /// List the records in force.
    Records,
    /// Publish a record.
    Publish(records::PublishParams),
    /// Check a record for faults without publishing it.
    Check(records::CheckParams),
    /// Retire a service.
    Retire(records::RetireParams),
    /// Return the verdict on a record.
    Settle(records::SettleParams),
    /// List the hosts.
    Hosts,
    /// List the ranges.
    Ranges(ranges::RangesParams),
    /// Explain which upstream owns a key and which host holds its range.
    ExplainKey(explain::KeyParams),
    /// Explain the outcome of a request.
    ExplainRequest(explain::RequestParams),
    /// List events of the timeline.
    Events(status::EventsParams),
    /// Drain the host and stop it.
    Drain,
}
