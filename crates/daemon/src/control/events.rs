//! What the control thread is told.

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

/// An upstream of a service.
pub type UpstreamKey = (ServiceName, UpstreamId);

/// What the control thread is told.
#[derive(Debug)]
pub enum Event {
    /// The log was read from its beginning: the state to fold on from.
    Loaded(Box<State>),
    /// Records were read from the log.
    Read(LogPage),
    /// The log did not answer, or its oldest record is newer than the next one needed.
    LogFailed,
    /// An append ended.
    Appended {
        /// Id of the record.
        id: RecordId,
        /// How.
        result: Result<Offset, AppendError>,
    },
    /// The platform's host list was fetched.
    Listed(Vec<ListedHost>),
    /// Something came from another host.
    Link(LinkEvent),
    /// Traffic noticed something.
    Report(TrafficReport),
    /// An upstream answered a grant call, or did not.
    Granted {
        /// The upstream.
        key: UpstreamKey,
        /// Its answer.
        answer: CallOutcome,
    },
    /// A withdrawal ended.
    Withdrawn {
        /// The upstream.
        key: UpstreamKey,
        /// What was withdrawn.
        orders: Vec<FencedRange>,
        /// Whether the upstream confirmed it.
        confirmed: bool,
    },
    /// An upstream's health endpoint answered, or did not.
    Health {
        /// The upstream.
        key: UpstreamKey,
        /// What it said; nothing if it did not answer.
        health: Option<Health>,
    },
    /// An operator asks.
    Admin(AdminCall),
    /// The process was asked to stop.
    Leave,
}

/// What an upstream says of itself; it may lag or be wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Health {
    /// Whether it leaves.
    pub draining: bool,
}

/// The answer to an admin call.
pub type AdminAnswer = Result<Value, envelope::RpcError>;

/// An admin call, and where its answer goes.
#[derive(Debug)]
pub struct AdminCall {
    /// What is asked.
    pub ask: Ask,
    /// Where the answer goes.
    pub reply: Sender<AdminAnswer>,
}

/// What an operator asks.
#[derive(Debug)]
pub enum Ask {
    /// How the host is doing.
    Status,
    /// Records in force.
    Records,
    /// Publish a record.
    Publish(records::PublishParams),
    /// Check a record.
    Check(records::CheckParams),
    /// Retire a service.
    Retire(records::RetireParams),
    /// What became of a record.
    Settle(records::SettleParams),
    /// Hosts.
    Hosts,
    /// Ranges.
    Ranges(ranges::RangesParams),
    /// Who serves a key.
    ExplainKey(explain::KeyParams),
    /// What became of a request.
    ExplainRequest(explain::RequestParams),
    /// Events.
    Events(status::EventsParams),
    /// Leave gracefully.
    Drain,
}
